//! The configuration file read again on request: its settings as revisioned changes.

use super::{Config, ConfigError, RestartOnly, config_error};
use crate::gateway::{Change, Changes, News};
use crate::interface::Settings;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// How long after a file that makes no sense it is read once more: it may be in the middle of being written.
const AGAIN: [Duration; 3] =
    [Duration::from_millis(100), Duration::from_millis(400), Duration::from_millis(1000)];
/// Longest file that is read.
const FILE_BYTES: u64 = 16 << 20;

/// Reads a configuration file again whenever it is asked to. The discovery address always changes with it,
/// the settings only as a whole, where none of them is of the part that needs a new start: a mixture of two files
/// would hold otherwise.
pub struct Reload {
    path: PathBuf,
    restart_only: RestartOnly,
    revision: u64,
    asked: mpsc::Receiver<()>,
    discovery: watch::Sender<Arc<str>>,
}

impl Reload {
    /// Reads the file of a running configuration again with every message.
    pub fn new(path: PathBuf, running: &Config, asked: mpsc::Receiver<()>) -> Self {
        Self {
            path,
            restart_only: running.restart_only(),
            revision: 0,
            asked,
            discovery: watch::Sender::new(Arc::from(running.discovery.as_str())),
        }
    }

    /// The discovery address, as the file names it now.
    pub fn discovery(&self) -> watch::Receiver<Arc<str>> {
        self.discovery.subscribe()
    }

    /// Reads the file; anything but a file of a usual size could keep the whole program waiting.
    fn read(&self) -> Result<Config, ConfigError> {
        let about = std::fs::metadata(&self.path).map_err(config_error)?;
        if !about.is_file() || about.len() > FILE_BYTES {
            return Err(config_error("not a file of a usual size"));
        }
        Config::decode(&std::fs::read(&self.path).map_err(config_error)?)
    }

    async fn read_again(&self) -> Result<Config, ConfigError> {
        for pause in AGAIN {
            if let Ok(config) = self.read() {
                return Ok(config);
            }
            tokio::time::sleep(pause).await;
        }
        self.read()
    }

    /// Takes over what may change; gives the settings if they are among it.
    fn take(&self, config: Config) -> Result<Settings, ConfigError> {
        let restart_only = config.restart_only();
        let discovery = Arc::from(config.discovery);
        self.discovery.send_if_modified(|known| {
            let moves = *known != discovery;
            *known = discovery;
            moves
        });
        if restart_only != self.restart_only {
            let what = "names, roles, reports, connections, membership or resumption differ";
            return Err(config_error(format!("{what}: start the program again")));
        }
        Ok(config.settings)
    }
}

impl Changes for Reload {
    async fn next(&mut self) -> Option<Change> {
        loop {
            self.asked.recv().await?;
            match self.read_again().await.and_then(|config| self.take(config)) {
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
    #[case::replicas(":3,", ":4,", Some(4), "d")]
    #[case::discovery_moved(r#""d","#, r#""e","#, Some(3), "e")]
    #[case::class_renamed(r#""c""#, r#""f""#, None, "d")]
    #[case::role_changed("both", "read", None, "d")]
    #[case::names_changed_and_moved(r#""d","settings":{"#, r#""e","settings":{"zones":["z"],"#, None, "e")]
    #[case::resumption_changed(r#"["both"]"#, r#"["both"],"resume":true"#, None, "d")]
    #[case::dials_changed(
        r#""replicasOfMe":3"#,
        r#""replicasOfMe":4,"permissions":{"dialTimeoutMs":90}"#,
        None,
        "d"
    )]
    #[case::half_written("}", "", None, "d")]
    #[tokio::test(start_paused = true)]
    async fn settings_change_where_names_and_roles_stay(
        #[case] from: &str,
        #[case] to: &str,
        #[case] replicas: Option<u32>,
        #[case] discovery: &str,
    ) {
        let file = tempfile::NamedTempFile::new().expect("a file of this case's own");
        std::fs::write(file.path(), FILE.replacen(from, to, 1)).expect("it can be written");
        let (ask, asked) = mpsc::channel(1);
        ask.send(()).await.expect("it listens");
        drop(ask);
        let running = Config::decode(FILE.as_bytes()).expect("lawful");
        let mut reload = Reload::new(file.path().into(), &running, asked);
        let address = reload.discovery();
        let change = reload.next().await;
        let told = change.map(|change| match change.news {
            News::Settings(settings) => settings.replicas,
            _ => panic!("no settings"),
        });
        assert_eq!((told, &**address.borrow()), (replicas, discovery));
    }

    // Read while it was being written, the file was given up for good and the old address kept.
    #[tokio::test(start_paused = true)]
    async fn half_written_file_is_read_once_more() {
        let file = tempfile::NamedTempFile::new().expect("a file of its own");
        std::fs::write(file.path(), &FILE[..FILE.len() / 2]).expect("it can be written");
        let (ask, asked) = mpsc::channel(1);
        let running = Config::decode(FILE.as_bytes()).expect("lawful");
        let mut reload = Reload::new(file.path().into(), &running, asked);
        ask.send(()).await.expect("it listens");
        let written = async {
            tokio::time::sleep(Duration::from_millis(250)).await;
            std::fs::write(file.path(), FILE).expect("it can be written");
        };
        let (change, ()) = tokio::join!(reload.next(), written);
        assert!(change.is_some());
    }
}
