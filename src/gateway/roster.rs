//! Revisioned changes of the roster, and what the core holds of it: endpoints and conditions.

use crate::interface::{Condition, Entry, RosterForm, ServerId};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;

/// An engine as it is listed.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    /// What the module is told of it.
    pub entry: Entry,
    /// Where it listens; opaque to the core.
    pub endpoint: Arc<str>,
}

/// A change of the roster.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The version that it leads to.
    pub revision: u64,
    /// The whole list, or the changed entries only.
    pub form: RosterForm,
    /// The entries.
    pub engines: Vec<Listed>,
}

/// Where changes come from, whatever keeps them.
pub trait Changes {
    /// Waits for the next change; `None` when no more can come.
    fn next(&mut self) -> impl Future<Output = Option<Change>>;
}

/// The list as it stands.
#[derive(Debug, Default)]
pub(super) struct Roster {
    engines: RefCell<BTreeMap<ServerId, Listed>>,
}

impl Roster {
    /// Takes a change in; gives the endpoints that are no longer used.
    pub(super) fn apply(&self, change: &Change) -> Vec<Arc<str>> {
        let mut engines = self.engines.borrow_mut();
        let mut unused = Vec::new();
        if change.form == RosterForm::Full {
            for listed in engines.values_mut() {
                listed.entry.condition = Condition::Gone;
            }
        }
        for new in &change.engines {
            if let Some(old) = engines.insert(new.entry.server, new.clone())
                && (old.endpoint != new.endpoint || old.entry.started_at != new.entry.started_at)
            {
                unused.push(old.endpoint);
            }
        }
        let gone = engines.values().filter(|l| l.entry.condition == Condition::Gone);
        unused.extend(gone.map(|l| l.endpoint.clone()));
        unused
    }

    pub(super) fn entry(&self, server: ServerId) -> Option<Listed> {
        self.engines.borrow().get(&server).cloned()
    }

    /// All engines that are not gone.
    pub(super) fn listed(&self) -> Vec<(ServerId, Arc<str>)> {
        let engines = self.engines.borrow();
        let there = engines.iter().filter(|(_, l)| l.entry.condition != Condition::Gone);
        there.map(|(id, l)| (*id, l.endpoint.clone())).collect()
    }

    fn is_ready(&self, server: ServerId) -> bool {
        self.engines.borrow().get(&server).is_some_and(|l| l.entry.condition == Condition::Ready)
    }

    /// The kinds of the engines that take work.
    pub(super) fn ready_kinds(&self) -> Vec<usize> {
        let engines = self.engines.borrow();
        let ready = engines.values().filter(|l| l.entry.condition == Condition::Ready);
        ready.map(|l| l.entry.kind).collect()
    }
}

/// Tells whether an engine still takes new work, by the newest that was told.
#[derive(Clone, Debug)]
pub struct Gate {
    pub(super) roster: Rc<Roster>,
    pub(super) server: ServerId,
}

impl Gate {
    /// Whether a send may begin now.
    pub fn is_open(&self) -> bool {
        self.roster.is_ready(self.server)
    }
}
