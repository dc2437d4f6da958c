//! Leases by which the processes of one gateway know which of them accepts clients. A process holds a lease from
//! the moment it can serve until it is asked to stop. The lease is a locked file: the kernel releases the lock
//! when the process ends, however it ends, so that a lease never outlives its holder.

use std::cell::{Cell, RefCell};
use std::fs::{self, File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// Start of the name of a lease file. The number of the lease and the tag of its holder follow.
const LEASE_PREFIX: &str = "serving-";

/// Position of a lease in the order in which leases were acquired.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct LeaseNumber(u64);

/// A lease that this process holds. Dropping it releases the lease.
#[derive(Debug)]
struct HeldLease {
    path: PathBuf,
    /// The open file holds the lock.
    _file: File,
}

impl Drop for HeldLease {
    fn drop(&mut self) {
        // A file that stays is not locked any more, so that nobody takes it for a lease.
        let _ = fs::remove_file(&self.path);
    }
}

/// The leases of all processes of one gateway. Without a folder there are no other processes.
#[derive(Debug)]
pub(super) struct Leases {
    folder: Option<Rc<Path>>,
    /// Identifier of this process.
    process_tag: Rc<str>,
    held: RefCell<Option<HeldLease>>,
    /// Number of the lease that this process acquired last.
    number: Cell<LeaseNumber>,
}

/// Parses the name of a lease file into the number of the lease and the tag of its holder.
fn parse_name(name: &str) -> Option<(LeaseNumber, &str)> {
    let (number, process_tag) = name.strip_prefix(LEASE_PREFIX)?.split_once('-')?;
    Some((LeaseNumber(number.parse().ok()?), process_tag))
}

/// Returns true if a process holds the lock on a lease file.
fn is_locked(path: &Path) -> io::Result<bool> {
    match File::open(path)?.try_lock_shared() {
        Ok(()) => Ok(false),
        Err(TryLockError::WouldBlock) => Ok(true),
        Err(TryLockError::Error(error)) => Err(error),
    }
}

impl Leases {
    pub(super) fn new(folder: Option<Rc<Path>>, process_tag: Rc<str>) -> Self {
        Self { folder, process_tag, held: RefCell::default(), number: Cell::default() }
    }

    /// Acquires a lease that is later than all others. Does nothing if this process holds one.
    pub(super) fn acquire(&self) -> io::Result<()> {
        let Some(folder) = &self.folder else { return Ok(()) };
        if self.held.borrow().is_some() {
            return Ok(());
        }
        fs::create_dir_all(folder)?;
        let last = self.other_live_leases()?.into_iter().max().unwrap_or_default();
        let number = LeaseNumber(last.0 + 1);
        // The file gets its name only when it is locked, so that no other process sees it without the lock.
        let unlocked_path = folder.join(format!("unlocked-{}", self.process_tag));
        let path = folder.join(format!("{LEASE_PREFIX}{}-{}", number.0, self.process_tag));
        let file = File::create(&unlocked_path)?;
        let locked = file.lock().and_then(|()| fs::rename(&unlocked_path, &path));
        if locked.is_err() {
            let _ = fs::remove_file(&unlocked_path);
        }
        locked?;
        self.number.set(number);
        self.held.replace(Some(HeldLease { path, _file: file }));
        Ok(())
    }

    /// Releases the lease of this process, if it holds one.
    pub(super) fn release(&self) {
        self.held.take();
    }

    /// Returns true if another process holds a later lease at this moment. A folder that cannot be read counts as
    /// empty: a process that goes on serving beside another does no harm.
    pub(super) fn is_superseded(&self) -> bool {
        match self.other_live_leases() {
            Ok(numbers) => numbers.iter().any(|number| *number > self.number.get()),
            Err(error) => {
                log::warn!("leases cannot be read error={error}");
                false
            }
        }
    }

    /// Returns the numbers of the leases that other processes hold. Removes the files of those that have ended.
    fn other_live_leases(&self) -> io::Result<Vec<LeaseNumber>> {
        let mut numbers = Vec::new();
        let Some(folder) = &self.folder else { return Ok(numbers) };
        let entries = match fs::read_dir(folder) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(numbers),
            entries => entries?,
        };
        for entry in entries {
            let entry = entry?;
            let name = entry.file_name();
            let Some((number, process_tag)) = name.to_str().and_then(parse_name) else { continue };
            if process_tag == &*self.process_tag {
                continue;
            }
            match is_locked(&entry.path()) {
                Ok(true) => numbers.push(number),
                Ok(false) => drop(fs::remove_file(entry.path())),
                // The holder has released its lease meanwhile.
                Err(error) if error.kind() == io::ErrorKind::NotFound => {}
                Err(error) => return Err(error),
            }
        }
        Ok(numbers)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn leases(folder: &Path, process_tag: &str) -> Leases {
        Leases::new(Some(folder.into()), process_tag.into())
    }

    #[test]
    fn lease_lasts_until_it_is_released() {
        let folder = tempfile::tempdir().expect("a temporary folder can be created");
        let (old, new) = (leases(folder.path(), "1-a"), leases(folder.path(), "2-b"));
        old.acquire().expect("the folder is writable");
        new.acquire().expect("the folder is writable");
        assert!(old.is_superseded() && !new.is_superseded());
        new.release();
        assert!(!old.is_superseded());
        new.acquire().expect("the folder is writable");
        assert!(old.is_superseded());
    }

    // The tag of a process that had ended made the process that went on serving act as if it were superseded.
    #[test]
    fn file_without_a_lock_is_no_lease() {
        let folder = tempfile::tempdir().expect("a temporary folder can be created");
        let old = leases(folder.path(), "1-a");
        old.acquire().expect("the folder is writable");
        let file_of_a_killed_process = folder.path().join("serving-7-2-b");
        fs::write(&file_of_a_killed_process, "").expect("the folder is writable");
        assert!(!old.is_superseded());
        assert!(!file_of_a_killed_process.exists());
    }

    #[test]
    fn later_lease_of_any_process_supersedes() {
        let folder = tempfile::tempdir().expect("a temporary folder can be created");
        let processes = ["1-a", "2-b", "3-c"].map(|tag| leases(folder.path(), tag));
        for process in &processes {
            process.acquire().expect("the folder is writable");
        }
        processes[2].release();
        assert_eq!(processes.each_ref().map(Leases::is_superseded), [true, false, false]);
    }

    #[test]
    fn folder_that_is_not_usable_yet_supersedes_nobody() {
        let folder = tempfile::tempdir().expect("a temporary folder can be created");
        let path = folder.path().join("leases");
        fs::write(&path, "in the way").expect("the file can be written");
        let process = leases(&path, "1-a");
        assert!(process.acquire().is_err() && !process.is_superseded());
        fs::remove_file(&path).expect("the file can be removed");
        process.acquire().expect("the folder can be created");
    }
}
