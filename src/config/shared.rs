//! Folder shared by the processes of one gateway while a new version replaces an old one. The folder holds
//! the operator commands in force and the leases of the processes that accept clients.

use super::lease::Leases;
use crate::gateway::{Change, ChangeContent, Changes};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::{fs, io};

/// Interval at which the folder is polled for operator commands received by the other process.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// File with the names of the engines withheld by an operator, as a JSON list.
const WITHHELD_FILE: &str = "withheld.json";

type EngineNames = BTreeSet<Arc<str>>;

/// State shared by the processes of one gateway. Without a folder the state is private to this process.
#[derive(Clone, Debug)]
pub struct SharedState {
    folder: Option<Rc<Path>>,
    /// Identifier that distinguishes this process from the other processes of the gateway.
    process_tag: Rc<str>,
    leases: Rc<Leases>,
    /// True once this process has begun to accept clients.
    claimed: Rc<Cell<bool>>,
    /// True once the persisted commands have been read. Before that a withheld engine could be used.
    loaded: Rc<Cell<bool>>,
    withheld: Rc<RefCell<EngineNames>>,
}

impl SharedState {
    /// Opens the state that the processes of the named gateway share in a folder inside `parent`. A folder
    /// that cannot be read or written for a while does not prevent the start: the folder is polled until the
    /// persisted commands have been read.
    pub fn new(parent: Option<PathBuf>, name: &str) -> Self {
        let folder_name: String = name.chars().filter(char::is_ascii_alphanumeric).collect();
        let folder: Option<Rc<Path>> =
            parent.map(|parent| parent.join(format!("meadowlug-{folder_name}")).into());
        let process_tag: Rc<str> =
            format!("{}-{}", std::process::id(), crate::gateway::Clock::default().now()).into();
        let leases = Rc::new(Leases::new(folder.clone(), process_tag.clone()));
        let (claimed, loaded, withheld) = (Rc::default(), Rc::default(), Rc::default());
        let shared = Self { folder, process_tag, leases, claimed, loaded, withheld };
        if let Err(error) = shared.refresh() {
            log::warn!("operator commands cannot be read yet error={error}");
        }
        shared
    }

    /// Returns true if the operator commands persisted before the start have been read.
    pub fn is_loaded(&self) -> bool {
        self.loaded.get()
    }

    fn read(&self, file: &str) -> io::Result<Option<Vec<u8>>> {
        let Some(folder) = &self.folder else { return Ok(None) };
        match fs::read(folder.join(file)) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            result => result.map(Some),
        }
    }

    /// Writes a file atomically, so that a concurrent reader never sees a part of it.
    fn write(&self, file: &str, text: &[u8]) -> io::Result<()> {
        let Some(folder) = &self.folder else { return Ok(()) };
        fs::create_dir_all(folder)?;
        let temporary = folder.join(format!("{file}.{}", self.process_tag));
        let result = fs::write(&temporary, text).and_then(|()| fs::rename(&temporary, folder.join(file)));
        if result.is_err() {
            // Frees the space of the partly written file. If removal fails, the next write replaces the file.
            let _ = fs::remove_file(temporary);
        }
        result
    }

    /// Reads the names of the withheld engines from the folder, if they have been persisted.
    fn persisted_engines(&self) -> io::Result<Option<EngineNames>> {
        let Some(text) = self.read(WITHHELD_FILE)? else { return Ok(None) };
        match serde_json::from_slice::<Vec<String>>(&text) {
            Ok(names) => Ok(Some(names.into_iter().map(Arc::from).collect())),
            Err(error) => {
                log::error!("persisted operator commands are malformed and ignored error={error}");
                Ok(None)
            }
        }
    }

    /// Replaces the withheld engines by the persisted ones. Returns true if the two differed.
    fn refresh(&self) -> io::Result<bool> {
        let persisted = self.persisted_engines()?;
        self.loaded.set(true);
        let Some(names) = persisted else { return Ok(false) };
        let differs = *self.withheld.borrow() != names;
        self.withheld.replace(names);
        Ok(differs)
    }

    /// Names of the engines withheld by an operator.
    pub fn withheld(&self) -> EngineNames {
        self.withheld.borrow().clone()
    }

    /// Withholds an engine, or puts it back into use, and persists the command.
    pub fn withhold(&self, name: &str, withheld: bool) -> io::Result<()> {
        // Commands of another process are adopted here only if this command is persisted. If the write fails,
        // `self.withheld` stays unchanged, so that the next poll finds the difference and the driver is
        // notified.
        let mut names = self.persisted_engines()?.unwrap_or_else(|| self.withheld());
        if withheld {
            names.insert(name.into());
        } else {
            names.remove(name);
        }
        let list: Vec<&str> = names.iter().map(|name| &**name).collect();
        self.write(WITHHELD_FILE, serde_json::to_string(&list)?.as_bytes())?;
        self.withheld.replace(names);
        Ok(())
    }

    /// Acquires the lease of a process that accepts clients. Even if that fails, this process counts as one that
    /// accepts clients from now on.
    pub fn claim(&self) -> io::Result<()> {
        let result = self.leases.acquire();
        self.claimed.set(true);
        result
    }

    /// Returns true if this process has begun to accept clients.
    pub fn is_claimed(&self) -> bool {
        self.claimed.get()
    }

    /// Releases the lease, since this process was asked to stop: from now on it supersedes no other process.
    pub fn release_claim(&self) {
        self.leases.release();
    }

    /// Returns true if another process, which lives and was not asked to stop, has begun to accept clients after
    /// this one.
    pub fn is_superseded(&self) -> bool {
        self.leases.is_superseded()
    }
}

/// Source of changes to the set of withheld engines. The first change is the set at the start.
pub struct OperatorCommands {
    shared: SharedState,
    revision: u64,
}

impl OperatorCommands {
    /// Creates a source of the commands persisted in the shared folder.
    pub fn new(shared: SharedState) -> Self {
        Self { shared, revision: 0 }
    }
}

impl Changes for OperatorCommands {
    async fn next(&mut self) -> Option<Change> {
        let mut changed = self.revision == 0;
        if !changed && self.shared.folder.is_none() {
            // Without a folder there is no other process whose commands could be read.
            return None;
        }
        while !changed {
            tokio::time::sleep(POLL_INTERVAL).await;
            changed = self.shared.refresh().unwrap_or_else(|error| {
                log::debug!("operator commands cannot be read error={error}");
                false
            });
        }
        self.revision += 1;
        Some(Change { revision: self.revision, content: ChangeContent::Withheld(self.shared.withheld()) })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn withheld_names(change: Option<Change>) -> Vec<String> {
        match change.map(|change| change.content) {
            Some(ChangeContent::Withheld(names)) => names.iter().map(ToString::to_string).collect(),
            other => panic!("not a set of withheld engines: {other:?}"),
        }
    }

    // A gateway version that had just started used to send requests to an engine that an operator had
    // withheld because the engine was about to restart.
    #[tokio::test(start_paused = true)]
    async fn command_applies_in_both_processes() {
        let folder = tempfile::tempdir().expect("a temporary folder can be created");
        let process = || SharedState::new(Some(folder.path().into()), "n/3");
        let old = process();
        old.withhold("s-1", true).expect("the command is persisted");
        let new = process();
        let (mut old_commands, mut new_commands) =
            (OperatorCommands::new(old.clone()), OperatorCommands::new(new.clone()));
        assert_eq!(
            (withheld_names(old_commands.next().await), withheld_names(new_commands.next().await)),
            (vec!["s-1".into()], vec!["s-1".into()])
        );
        new.withhold("s-2", true).expect("the command is persisted");
        old.withhold("s-1", false).expect("the command is persisted");
        assert_eq!(withheld_names(new_commands.next().await), ["s-2"]);
        new.withhold("s-2", false).expect("the command is persisted");
        assert_eq!(withheld_names(old_commands.next().await), Vec::<String>::new());
    }

    // A command that could not be persisted used to adopt another process's command without notifying the
    // driver, so the engine that the other process had withheld was still used.
    #[tokio::test(start_paused = true)]
    async fn command_of_another_process_applies_although_a_local_command_fails() {
        let folder = tempfile::tempdir().expect("a temporary folder can be created");
        let process = || SharedState::new(Some(folder.path().into()), "n3");
        let (old, new) = (process(), process());
        let mut commands = OperatorCommands::new(new.clone());
        assert_eq!(withheld_names(commands.next().await), Vec::<String>::new());
        old.withhold("s-1", true).expect("the command is persisted");
        // A folder at the temporary file's path makes the write fail.
        let blocking_folder =
            folder.path().join("meadowlug-n3").join(format!("{WITHHELD_FILE}.{}", new.process_tag));
        fs::create_dir(&blocking_folder).expect("the folder can be created");
        assert!(new.withhold("s-2", true).is_err());
        assert_eq!(withheld_names(commands.next().await), ["s-1"]);
        fs::remove_dir(blocking_folder).expect("the folder is empty");
        new.withhold("s-2", true).expect("the command is persisted");
        assert_eq!(new.withheld().len(), 2);
    }

    // A shared folder that could not be created at once used to end the program at its start.
    #[test]
    fn gateway_starts_although_the_folder_is_not_usable_yet() {
        let folder = tempfile::tempdir().expect("a temporary folder can be created");
        let blocking_file = folder.path().join("meadowlug-n3");
        fs::write(&blocking_file, "in the way").expect("the file can be written");
        let shared = SharedState::new(Some(folder.path().into()), "n3");
        assert!(!shared.is_loaded() && shared.withhold("s-1", true).is_err());
        fs::remove_file(&blocking_file).expect("the file can be removed");
        assert!(shared.refresh().is_ok() && shared.is_loaded());
        shared.withhold("s-1", true).expect("the command is persisted");
    }

    // A process that stops must know whether another process accepts the clients that it no longer serves.
    #[test]
    fn process_detects_that_it_is_superseded() {
        let folder = tempfile::tempdir().expect("a temporary folder can be created");
        let process = |name| SharedState::new(Some(folder.path().into()), name);
        let (old, new, other) = (process("n3"), process("n3"), process("n4"));
        assert!(!old.is_superseded());
        old.claim().expect("the claim is persisted");
        other.claim().expect("the claim is persisted");
        assert!(!old.is_superseded());
        new.claim().expect("the claim is persisted");
        assert!(old.is_superseded() && !new.is_superseded());
        let alone = SharedState::new(None, "n3");
        alone.claim().expect("without a folder nothing is written");
        assert!(!alone.is_superseded());
    }
}
