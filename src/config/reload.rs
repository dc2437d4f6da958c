//! Rereads the configuration file on request and emits its settings as revisioned changes.

use super::{Config, ConfigError, RestartOnly, config_error};
use crate::gateway::{Change, ChangeContent, Changes};
use crate::interface::Settings;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Delays before a file that cannot be read or decoded is read again, because another process may be writing
/// it.
const RETRY_DELAYS: [Duration; 3] =
    [Duration::from_millis(100), Duration::from_millis(400), Duration::from_millis(1000)];
/// Maximum size of a file that is read, in bytes.
const MAX_FILE_BYTES: u64 = 16 << 20;

/// Rereads a configuration file on request. The discovery address is always updated. The settings are
/// replaced as a whole, and only if nothing that requires a restart has changed, so that settings of two
/// files are never mixed.
pub struct Reload {
    path: PathBuf,
    restart_only: RestartOnly,
    revision: u64,
    reload_requests: mpsc::Receiver<()>,
    discovery: watch::Sender<Arc<str>>,
}

impl Reload {
    /// Creates a source of settings that rereads the file of a running configuration for every message.
    pub fn new(path: PathBuf, running: &Config, reload_requests: mpsc::Receiver<()>) -> Self {
        Self {
            path,
            restart_only: running.restart_only(),
            revision: 0,
            reload_requests,
            discovery: watch::Sender::new(Arc::from(running.discovery.as_str())),
        }
    }

    /// Discovery address of the file that was read last.
    pub fn discovery(&self) -> watch::Receiver<Arc<str>> {
        self.discovery.subscribe()
    }

    /// Reads the file. Only a regular file of limited size is read, because reading blocks the whole program.
    fn read(&self) -> Result<Config, ConfigError> {
        let metadata = std::fs::metadata(&self.path).map_err(config_error)?;
        if !metadata.is_file() || metadata.len() > MAX_FILE_BYTES {
            return Err(config_error("not a regular file, or too large"));
        }
        Config::decode(&std::fs::read(&self.path).map_err(config_error)?)
    }

    async fn read_with_retries(&self) -> Result<Config, ConfigError> {
        for delay in RETRY_DELAYS {
            if let Ok(config) = self.read() {
                return Ok(config);
            }
            tokio::time::sleep(delay).await;
        }
        self.read()
    }

    /// Updates the discovery address, even if another change in the file requires a restart. Returns the
    /// settings, or an error if a restart is required.
    fn check_and_update_discovery(&self, config: Config) -> Result<Settings, ConfigError> {
        let restart_only = config.restart_only();
        let discovery = Arc::from(config.discovery);
        self.discovery.send_if_modified(|current| {
            let modified = *current != discovery;
            *current = discovery;
            modified
        });
        if restart_only != self.restart_only {
            let changed = "names, roles, reports, connections, membership or resumption changed";
            return Err(config_error(format!("{changed}: restart the program")));
        }
        Ok(config.settings)
    }
}

impl Changes for Reload {
    async fn next(&mut self) -> Option<Change> {
        loop {
            self.reload_requests.recv().await?;
            match self.read_with_retries().await.and_then(|config| self.check_and_update_discovery(config)) {
                Ok(settings) => {
                    self.revision += 1;
                    return Some(Change {
                        revision: self.revision,
                        content: ChangeContent::Settings(settings),
                    });
                }
                Err(error) => log::error!("reload refused, the previous settings stay: {error}"),
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

    // A mistake in a file that is edited while the gateway runs must leave the settings unchanged.
    #[rstest]
    #[case::replicas(":3,", ":4,", Some(4), "d")]
    #[case::discovery_moved(r#""d","#, r#""e","#, Some(3), "e")]
    #[case::class_renamed(r#""c""#, r#""f""#, None, "d")]
    #[case::role_changed("both", "read", None, "d")]
    #[case::names_changed_and_discovery_moved(
        r#""d","settings":{"#,
        r#""e","settings":{"zones":["z"],"#,
        None,
        "e"
    )]
    #[case::resumption_changed(r#"["both"]"#, r#"["both"],"resume":true"#, None, "d")]
    #[case::dial_timeout_changed(
        r#""replicasOfMe":3"#,
        r#""replicasOfMe":4,"permissions":{"dialTimeoutMs":90}"#,
        None,
        "d"
    )]
    #[case::half_written("}", "", None, "d")]
    #[tokio::test(start_paused = true)]
    async fn settings_change_only_if_nothing_requires_a_restart(
        #[case] from: &str,
        #[case] to: &str,
        #[case] replicas: Option<u32>,
        #[case] discovery: &str,
    ) {
        let file = tempfile::NamedTempFile::new().expect("a temporary file can be created");
        std::fs::write(file.path(), FILE.replacen(from, to, 1)).expect("the file can be written");
        let (request_reload, reload_requests) = mpsc::channel(1);
        request_reload.send(()).await.expect("the reload source receives requests");
        drop(request_reload);
        let running = Config::decode(FILE.as_bytes()).expect("the file is valid");
        let mut reload = Reload::new(file.path().into(), &running, reload_requests);
        let address = reload.discovery();
        let change = reload.next().await;
        let applied = change.map(|change| match change.content {
            ChangeContent::Settings(settings) => settings.replicas,
            _ => panic!("the change holds no settings"),
        });
        assert_eq!((applied, &**address.borrow()), (replicas, discovery));
    }

    // A file that was read while it was being written used to be rejected for good, and the old discovery
    // address stayed in use.
    #[tokio::test(start_paused = true)]
    async fn half_written_file_is_read_again() {
        let file = tempfile::NamedTempFile::new().expect("a temporary file can be created");
        std::fs::write(file.path(), &FILE[..FILE.len() / 2]).expect("the file can be written");
        let (request_reload, reload_requests) = mpsc::channel(1);
        let running = Config::decode(FILE.as_bytes()).expect("the file is valid");
        let mut reload = Reload::new(file.path().into(), &running, reload_requests);
        request_reload.send(()).await.expect("the reload source receives requests");
        let finish_writing = async {
            tokio::time::sleep(Duration::from_millis(250)).await;
            std::fs::write(file.path(), FILE).expect("the file can be written");
        };
        let (change, ()) = tokio::join!(reload.next(), finish_writing);
        assert!(change.is_some());
    }
}
