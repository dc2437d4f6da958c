//! Revisioned changes of settings and roster, and what the core holds of the latter.

use crate::interface::{Condition, Entry, RosterForm, ServerId, Settings};
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

/// What has changed.
#[derive(Clone, Debug, PartialEq)]
pub enum News {
    /// The settings, all of them.
    Settings(Settings),
    /// The roster.
    Roster {
        /// The whole list, or the changed entries only.
        form: RosterForm,
        /// The entries.
        engines: Vec<Listed>,
    },
}

/// A change of what the core is told from outside.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The version, at its source, that it leads to.
    pub revision: u64,
    /// What has changed.
    pub news: News,
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
    /// Takes a change in; gives the endpoints that are no longer used. An engine that is gone is not kept:
    /// its endpoint may serve another from then on.
    pub(super) fn apply(&self, form: RosterForm, listed: &[Listed]) -> Vec<Arc<str>> {
        let mut engines = self.engines.borrow_mut();
        let mut unused = Vec::new();
        if form == RosterForm::Full {
            for listed in engines.values_mut() {
                listed.entry.condition = Condition::Gone;
            }
        }
        for new in listed {
            if let Some(old) = engines.insert(new.entry.server, new.clone())
                && (old.endpoint != new.endpoint || old.entry.started_at != new.entry.started_at)
            {
                unused.push(old.endpoint);
            }
        }
        let gone = engines.extract_if(.., |_, l| l.entry.condition == Condition::Gone);
        unused.extend(gone.map(|(_, l)| l.endpoint));
        unused
    }

    pub(super) fn entry(&self, server: ServerId) -> Option<Listed> {
        self.engines.borrow().get(&server).cloned()
    }

    /// All engines.
    pub(super) fn listed(&self) -> Vec<(ServerId, Arc<str>)> {
        self.engines.borrow().iter().map(|(id, l)| (*id, l.endpoint.clone())).collect()
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

#[cfg(test)]
mod tests {
    use super::*;

    // Forgotten again with every later change, the warm connections of whoever listens there next would go.
    #[test]
    fn endpoint_of_an_engine_that_is_gone_is_given_up_once() {
        let listed = |number, condition| {
            let entry = Entry { server: ServerId(number), condition, ..Entry::default() };
            [Listed { entry, endpoint: Arc::from("e") }]
        };
        let roster = Roster::default();
        assert!(roster.apply(RosterForm::Full, &listed(1, Condition::Ready)).is_empty());
        assert_eq!(roster.apply(RosterForm::Delta, &listed(1, Condition::Gone)), ["e".into()]);
        assert!(roster.apply(RosterForm::Delta, &listed(2, Condition::Ready)).is_empty());
        assert!(!roster.is_ready(ServerId(1)) && roster.is_ready(ServerId(2)));
    }
}
