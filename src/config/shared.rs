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
    withheld: Rc<RefCell<Engines>>,
}

impl Shared {
    /// What a gateway of that name shares in a folder below this one.
    pub fn new(below: Option<PathBuf>, name: &str) -> io::Result<Self> {
        let plain: String = name.chars().filter(char::is_ascii_alphanumeric).collect();
        let folder = below.map(|below| below.join(format!("meadowlug-{plain}")));
        if let Some(folder) = &folder {
            fs::create_dir_all(folder)?;
        }
        let mark = format!("{}-{}", std::process::id(), crate::gateway::Clock::default().now());
        let (claimed, withheld) = (Rc::default(), Rc::default());
        let shared = Self { folder: folder.map(Rc::from), mark: mark.into(), claimed, withheld };
        shared.look()?;
        Ok(shared)
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
        let new = folder.join(format!("{file}.{}", self.mark));
        fs::write(&new, text)?;
        fs::rename(new, folder.join(file))
    }

    /// Takes over what is written down; whether that differs from what was known.
    fn look(&self) -> io::Result<bool> {
        let Some(text) = self.read(WITHHELD)? else { return Ok(false) };
        let names: Vec<String> = serde_json::from_slice(&text)?;
        let names: Engines = names.into_iter().map(Arc::from).collect();
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
        self.look()?;
        let mut names = self.withheld();
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
        let process = || Shared::new(Some(folder.path().into()), "n/3").expect("it can be read");
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

    // A process that stops must know whether another takes the clients that it turns away.
    #[test]
    fn process_knows_its_successor() {
        let folder = tempfile::tempdir().expect("a folder");
        let process = |name| Shared::new(Some(folder.path().into()), name).expect("it can be read");
        let (old, new, other) = (process("n3"), process("n3"), process("n4"));
        assert!(!old.is_superseded());
        old.claim().expect("written");
        other.claim().expect("written");
        assert!(!old.is_superseded());
        new.claim().expect("written");
        assert!(old.is_superseded() && !new.is_superseded());
        let alone = Shared::new(None, "n3").expect("nothing to read");
        alone.claim().expect("nothing to write");
        assert!(!alone.is_superseded());
    }
}
