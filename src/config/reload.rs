//! The configuration file read again on request: its settings as revisioned changes.

use super::{Config, ConfigError, Names, wrong};
use crate::gateway::{Change, Changes, News};
use crate::interface::{Role, Settings};
use std::path::PathBuf;
use tokio::sync::mpsc;

/// Reads a configuration file again whenever it is asked to. Only the settings change, and only where
/// the names in them and the roles stay: for the rest the program has to be started again.
pub struct Reload {
    path: PathBuf,
    names: Names,
    roles: Vec<Role>,
    revision: u64,
    asked: mpsc::Receiver<()>,
}

impl Reload {
    /// Reads the file of a running configuration again with every message.
    pub fn new(path: PathBuf, running: &Config, asked: mpsc::Receiver<()>) -> Self {
        Self { path, names: running.names.clone(), roles: running.settings.roles.clone(), revision: 0, asked }
    }

    fn read(&self) -> Result<Settings, ConfigError> {
        let config = Config::decode(&std::fs::read(&self.path).map_err(wrong)?)?;
        if config.names != self.names || config.settings.roles != self.roles {
            return Err(wrong("names or roles differ: start the program again"));
        }
        Ok(config.settings)
    }
}

impl Changes for Reload {
    async fn next(&mut self) -> Option<Change> {
        loop {
            self.asked.recv().await?;
            match self.read() {
                Ok(settings) => {
                    self.revision += 1;
                    return Some(Change { revision: self.revision, news: News::Settings(settings) });
                }
                Err(error) => log::error!("reload refused, the settings before it stay: {error}"),
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    const FILE: &str = r#"{"listen":"l","discovery":"d","settings":{"replicasOfMe":3,"kinds":["k"],
        "categories":[{"name":"c","objectiveMs":1,"hardLimitMs":2,"effect":"safe"}],"extra":{"roleByKind":["both"]}}}"#;

    // A slip in a file that is edited under a running gateway must change nothing.
    #[rstest]
    #[case::replicas(":3,", ":4,", Some(4))]
    #[case::class_renamed(r#""c""#, r#""d""#, None)]
    #[case::role_changed("both", "read", None)]
    #[case::half_written("}", "", None)]
    #[tokio::test]
    async fn settings_change_where_names_and_roles_stay(
        #[case] from: &str,
        #[case] to: &str,
        #[case] replicas: Option<u32>,
    ) {
        let file = tempfile::NamedTempFile::new().expect("a file of this case's own");
        std::fs::write(file.path(), FILE.replacen(from, to, 1)).expect("it can be written");
        let (ask, asked) = mpsc::channel(1);
        ask.send(()).await.expect("it listens");
        drop(ask);
        let running = Config::decode(FILE.as_bytes()).expect("lawful");
        let change = Reload::new(file.path().into(), &running, asked).next().await;
        let told = change.map(|change| match change.news {
            News::Settings(settings) => settings.replicas,
            News::Roster { .. } => panic!("no roster in it"),
        });
        assert_eq!(told, replicas);
    }
}
