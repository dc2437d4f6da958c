//! Revisioned changes of settings and roster, and what the core holds of the latter.

use crate::interface::{Condition, Entry, Micros, RosterForm, ServerId, Settings};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// An engine as it is listed.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    /// What the module is told of it.
    pub entry: Entry,
    /// Its name in the list, by which operators speak of it.
    pub name: Arc<str>,
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
    /// The names of the engines that operators have taken out of use, all of them.
    Withheld(BTreeSet<Arc<str>>),
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

/// How many names of engines that are gone are kept, to know that they were listed.
const EARLIER: usize = 1024;
/// How long it is known of a server that is gone since when it was not to be used.
const UNREADY_KEPT: Duration = Duration::from_secs(60);

/// The list as it stands.
#[derive(Debug, Default)]
pub(super) struct Roster {
    engines: RefCell<BTreeMap<ServerId, Listed>>,
    /// Names of engines that operators have taken out of use, whatever the list says of them.
    withheld: RefCell<BTreeSet<Arc<str>>>,
    /// Names that were listed, the oldest first.
    earlier: RefCell<VecDeque<Arc<str>>>,
    /// Since when servers are not to be used, as it was told here; those that are gone for a while.
    unready: RefCell<BTreeMap<ServerId, Instant>>,
    /// When listed servers started, where that is told.
    starts: RefCell<BTreeMap<ServerId, Start>>,
}

/// When a server started.
#[derive(Clone, Copy, Debug)]
struct Start {
    /// As it is listed, in Unix time.
    told: Micros,
    /// On the gateway's own clock, as worked out when it was first listed: the machine's clock may be stepped after that.
    at: Micros,
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
        let mut earlier = self.earlier.borrow_mut();
        let mut removed = Vec::new();
        for (server, gone) in engines.extract_if(.., |_, l| l.entry.condition == Condition::Gone) {
            removed.push(server);
            unused.push(gone.endpoint);
            earlier.retain(|name| *name != gone.name);
            earlier.push_back(gone.name);
        }
        let beyond = earlier.len().saturating_sub(EARLIER);
        earlier.drain(..beyond);
        drop(engines);
        self.note_unready(&removed);
        unused
    }

    /// Notes which servers are not to be used from now on, those that were just removed among them.
    fn note_unready(&self, removed: &[ServerId]) {
        let now = Instant::now();
        let engines = self.engines.borrow();
        let mut unready = self.unready.borrow_mut();
        for server in removed {
            unready.entry(*server).or_insert(now);
        }
        for (server, listed) in engines.iter() {
            if self.condition(listed) == Condition::Ready {
                unready.remove(server);
            } else {
                unready.entry(*server).or_insert(now);
            }
        }
        unready.retain(|server, since| engines.contains_key(server) || now < *since + UNREADY_KEPT);
    }

    /// Since when a server is not to be used, if that is so and is known.
    pub(super) fn unready_since(&self, server: ServerId) -> Option<Instant> {
        self.unready.borrow().get(&server).copied()
    }

    /// The condition that counts: one that is withheld drains.
    fn condition(&self, listed: &Listed) -> Condition {
        match listed.entry.condition {
            Condition::Ready if self.withheld.borrow().contains(&listed.name) => Condition::Draining,
            condition => condition,
        }
    }

    /// Notes when servers started that are listed, with what gives a told time on the gateway's clock.
    pub(super) fn note_starts(&self, listed: &[Listed], on_own_clock: impl Fn(Micros) -> Micros) {
        let mut starts = self.starts.borrow_mut();
        for Entry { server, started_at: told, .. } in listed.iter().map(|listed| &listed.entry) {
            let known = starts.get(server).is_some_and(|start| start.told == *told);
            if *told > 0 && !known {
                starts.insert(*server, Start { told: *told, at: on_own_clock(*told).max(1) });
            } else if *told == 0 {
                starts.remove(server);
            }
        }
        let engines = self.engines.borrow();
        starts.retain(|server, _| engines.contains_key(server));
    }

    /// An entry as it is to be used.
    pub(super) fn as_used(&self, listed: &Listed) -> Entry {
        let started_at = self.starts.borrow().get(&listed.entry.server).map_or(0, |start| start.at);
        Entry { condition: self.condition(listed), started_at, ..listed.entry.clone() }
    }

    /// Takes over which engines are withheld; gives the entries that change by it, as they are to be used.
    pub(super) fn withhold(&self, names: BTreeSet<Arc<str>>) -> Vec<Entry> {
        let before = self.withheld.replace(names);
        self.note_unready(&[]);
        let withheld = self.withheld.borrow();
        let engines = self.engines.borrow();
        let changed = engines.values().filter(|l| before.contains(&l.name) != withheld.contains(&l.name));
        changed.map(|listed| self.as_used(listed)).collect()
    }

    /// Whether an engine of that name is listed or, not too long ago, was.
    pub(super) fn has_listed(&self, name: &str) -> bool {
        let listed = self.engines.borrow().values().any(|l| &*l.name == name);
        listed || self.withheld.borrow().contains(name) || self.earlier.borrow().iter().any(|n| &**n == name)
    }

    /// How many engines are listed, and how many of them are withheld.
    pub(super) fn count(&self) -> (usize, usize) {
        let (engines, withheld) = (self.engines.borrow(), self.withheld.borrow());
        (engines.len(), engines.values().filter(|l| withheld.contains(&l.name)).count())
    }

    pub(super) fn entry(&self, server: ServerId) -> Option<Listed> {
        self.engines.borrow().get(&server).cloned()
    }

    /// All engines.
    pub(super) fn listed(&self) -> Vec<Listed> {
        self.engines.borrow().values().cloned().collect()
    }

    pub(super) fn is_ready(&self, server: ServerId) -> bool {
        let engines = self.engines.borrow();
        engines.get(&server).is_some_and(|l| self.condition(l) == Condition::Ready)
    }

    /// The kinds of the engines that take work.
    pub(super) fn ready_kinds(&self) -> Vec<usize> {
        let engines = self.engines.borrow();
        let ready = engines.values().filter(|l| self.condition(l) == Condition::Ready);
        ready.map(|l| l.entry.kind).collect()
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
            [Listed { entry, name: format!("s-{number}").into(), endpoint: Arc::from("e") }]
        };
        let roster = Roster::default();
        assert!(roster.apply(RosterForm::Full, &listed(1, Condition::Ready)).is_empty());
        assert_eq!(roster.apply(RosterForm::Delta, &listed(1, Condition::Gone)), ["e".into()]);
        assert!(roster.apply(RosterForm::Delta, &listed(2, Condition::Ready)).is_empty());
        assert!(!roster.is_ready(ServerId(1)) && roster.is_ready(ServerId(2)));
    }

    // The list of a withheld engine's state goes on: what it says must not bring the engine back into use.
    #[test]
    fn withheld_engine_stays_out_whatever_the_list_says() {
        let listed = |condition| {
            let entry = Entry { server: ServerId(1), condition, ..Entry::default() };
            [Listed { entry, name: "s-1".into(), endpoint: "e".into() }]
        };
        let roster = Roster::default();
        roster.apply(RosterForm::Full, &listed(Condition::Ready));
        let changed = roster.withhold(["s-1".into()].into());
        assert_eq!((changed.len(), changed[0].condition), (1, Condition::Draining));
        for condition in [Condition::Draining, Condition::Gone, Condition::Ready] {
            roster.apply(RosterForm::Delta, &listed(condition));
            assert!(!roster.is_ready(ServerId(1)), "{condition:?}");
            assert!(roster.has_listed("s-1") && !roster.has_listed("s-2"));
        }
        assert_eq!(roster.count(), (1, 1));
        let changed = roster.withhold(BTreeSet::new());
        assert_eq!((changed.len(), changed[0].condition), (1, Condition::Ready));
        assert!(roster.is_ready(ServerId(1)));
    }
}
