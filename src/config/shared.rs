//! The folder that the processes of one gateway share while a new version takes over from an old one: what
//! operators have ordered, and which process takes clients.

use crate::gateway::{Change, Changes, News};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::{fs, io};

/// How often it is looked whether the other process has written down an order.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// The names of the engines that are out by hand, as a list in JSON.
const WITHHELD: &str = "withheld.json";
/// The mark of the process that took clients last.
const SERVING: &str = "serving";

type Engines = BTreeSet<Arc<str>>;

/// What the processes of one gateway share; without a folder, what this one keeps to itself.
#[derive(Clone, Debug)]
pub struct Shared {
    folder: Option<Rc<Path>>,
    /// Tells this process from the others.
    mark: Rc<str>,
    claimed: Rc<Cell<bool>>,
    /// Whether it is known what is written down: until then an engine that is out by hand might be used.
    known: Rc<Cell<bool>>,
    withheld: Rc<RefCell<Engines>>,
}

impl Shared {
    /// What a gateway of that name shares in a folder below this one. A folder that cannot be read or written for a while
    /// is no reason not to start: what is written down there is looked for until it is known.
    pub fn new(below: Option<PathBuf>, name: &str) -> Self {
        let plain: String = name.chars().filter(char::is_ascii_alphanumeric).collect();
        let folder = below.map(|below| below.join(format!("meadowlug-{plain}")));
        let mark = format!("{}-{}", std::process::id(), crate::gateway::Clock::default().now());
        let (claimed, known, withheld) = (Rc::default(), Rc::default(), Rc::default());
        let shared = Self { folder: folder.map(Rc::from), mark: mark.into(), claimed, known, withheld };
        if let Err(error) = shared.look() {
            log::warn!("orders cannot be read yet {error}");
        }
        shared
    }

    /// Whether what operators have ordered before is known.
    pub fn is_known(&self) -> bool {
        self.known.get()
    }

    fn read(&self, file: &str) -> io::Result<Option<Vec<u8>>> {
        let Some(folder) = &self.folder else { return Ok(None) };
        match fs::read(folder.join(file)) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            read => read.map(Some),
        }
    }

    /// Writes a file so that whoever reads it finds it whole.
    fn write(&self, file: &str, text: &[u8]) -> io::Result<()> {
        let Some(folder) = &self.folder else { return Ok(()) };
        fs::create_dir_all(folder)?;
        let new = folder.join(format!("{file}.{}", self.mark));
        let written = fs::write(&new, text).and_then(|()| fs::rename(&new, folder.join(file)));
        if written.is_err() {
            // What was written of it takes room; where even that fails it is written over the next time.
            let _ = fs::remove_file(new);
        }
        written
    }

    /// The engines that are out by hand as it is written down, if it is.
    fn written_down(&self) -> io::Result<Option<Engines>> {
        let Some(text) = self.read(WITHHELD)? else { return Ok(None) };
        match serde_json::from_slice::<Vec<String>>(&text) {
            Ok(names) => Ok(Some(names.into_iter().map(Arc::from).collect())),
            Err(error) => {
                log::error!("orders written down make no sense, none of them holds {error}");
                Ok(None)
            }
        }
    }

    /// Takes over what is written down; whether that differs from what was known.
    fn look(&self) -> io::Result<bool> {
        let written_down = self.written_down()?;
        self.known.set(true);
        let Some(names) = written_down else { return Ok(false) };
        let differs = *self.withheld.borrow() != names;
        self.withheld.replace(names);
        Ok(differs)
    }

    /// The engines that are out by hand.
    pub fn withheld(&self) -> Engines {
        self.withheld.borrow().clone()
    }

    /// Takes an engine out by hand, or back into use, and writes that down.
    pub fn withhold(&self, name: &str, out: bool) -> io::Result<()> {
        // Taken over only with what is ordered here: another process's order is told on by whoever looks for it.
        let mut names = self.written_down()?.unwrap_or_else(|| self.withheld());
        if out {
            names.insert(name.into());
        } else {
            names.remove(name);
        }
        let list: Vec<&str> = names.iter().map(|name| &**name).collect();
        self.write(WITHHELD, serde_json::to_string(&list)?.as_bytes())?;
        self.withheld.replace(names);
        Ok(())
    }

    /// This process takes clients from now on, also where that cannot be written down.
    pub fn claim(&self) -> io::Result<()> {
        let written = self.write(SERVING, self.mark.as_bytes());
        self.claimed.set(true);
        written
    }

    /// Whether this process has begun to take clients.
    pub fn is_claimed(&self) -> bool {
        self.claimed.get()
    }

    /// Whether another process has begun to take clients since.
    pub fn is_superseded(&self) -> bool {
        matches!(self.read(SERVING), Ok(Some(mark)) if mark != self.mark.as_bytes())
    }
}

/// The engines that are out by hand, as the processes of the gateway order it: first as it stands.
pub struct Orders {
    shared: Shared,
    revision: u64,
}

impl Orders {
    /// What is ordered in the folder.
    pub fn new(shared: Shared) -> Self {
        Self { shared, revision: 0 }
    }
}

impl Changes for Orders {
    async fn next(&mut self) -> Option<Change> {
        let mut changed = self.revision == 0;
        if !changed && self.shared.folder.is_none() {
            // Without a folder there is no other process to hear of.
            return None;
        }
        while !changed {
            tokio::time::sleep(LOOK_EVERY).await;
            changed = self.shared.look().unwrap_or_else(|error| {
                log::debug!("orders {error}");
                false
            });
        }
        self.revision += 1;
        Some(Change { revision: self.revision, news: News::Withheld(self.shared.withheld()) })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn out(change: Option<Change>) -> Vec<String> {
        match change.map(|change| change.news) {
            Some(News::Withheld(names)) => names.iter().map(ToString::to_string).collect(),
            other => panic!("no orders: {other:?}"),
        }
    }

    // A version that has just started sent to an engine that an operator had taken out for its restart.
    #[tokio::test(start_paused = true)]
    async fn order_holds_in_both_processes() {
        let folder = tempfile::tempdir().expect("a folder");
        let process = || Shared::new(Some(folder.path().into()), "n/3");
        let old = process();
        old.withhold("s-1", true).expect("written");
        let new = process();
        let (mut old_orders, mut new_orders) = (Orders::new(old.clone()), Orders::new(new.clone()));
        assert_eq!(
            (out(old_orders.next().await), out(new_orders.next().await)),
            (vec!["s-1".into()], vec!["s-1".into()])
        );
        new.withhold("s-2", true).expect("written");
        old.withhold("s-1", false).expect("written");
        assert_eq!(out(new_orders.next().await), ["s-2"]);
        new.withhold("s-2", false).expect("written");
        assert_eq!(out(old_orders.next().await), Vec::<String>::new());
    }

    // An order that could not be written down took in another process's, which was never told on: the engine was used.
    #[tokio::test(start_paused = true)]
    async fn order_of_another_process_holds_though_one_here_fails() {
        let folder = tempfile::tempdir().expect("a folder");
        let process = || Shared::new(Some(folder.path().into()), "n3");
        let (old, new) = (process(), process());
        let mut orders = Orders::new(new.clone());
        assert_eq!(out(orders.next().await), Vec::<String>::new());
        old.withhold("s-1", true).expect("written");
        // Nothing can be written where a folder stands.
        let in_the_way = folder.path().join("meadowlug-n3").join(format!("{WITHHELD}.{}", new.mark));
        fs::create_dir(&in_the_way).expect("a folder");
        assert!(new.withhold("s-2", true).is_err());
        assert_eq!(out(orders.next().await), ["s-1"]);
        fs::remove_dir(in_the_way).expect("it is empty");
        new.withhold("s-2", true).expect("written");
        assert_eq!(new.withheld().len(), 2);
    }

    // A folder that could not be made just then ended the program at its start.
    #[test]
    fn folder_that_cannot_be_used_yet_is_no_reason_not_to_start() {
        let folder = tempfile::tempdir().expect("a folder");
        let place = folder.path().join("meadowlug-n3");
        fs::write(&place, "in the way").expect("a file");
        let shared = Shared::new(Some(folder.path().into()), "n3");
        assert!(!shared.is_known() && shared.withhold("s-1", true).is_err());
        fs::remove_file(&place).expect("a file");
        assert!(shared.look().is_ok() && shared.is_known());
        shared.withhold("s-1", true).expect("written");
    }

    // A process that stops must know whether another takes the clients that it turns away.
    #[test]
    fn process_knows_its_successor() {
        let folder = tempfile::tempdir().expect("a folder");
        let process = |name| Shared::new(Some(folder.path().into()), name);
        let (old, new, other) = (process("n3"), process("n3"), process("n4"));
        assert!(!old.is_superseded());
        old.claim().expect("written");
        other.claim().expect("written");
        assert!(!old.is_superseded());
        new.claim().expect("written");
        assert!(old.is_superseded() && !new.is_superseded());
        let alone = Shared::new(None, "n3");
        alone.claim().expect("nothing to write");
        assert!(!alone.is_superseded());
    }
}
