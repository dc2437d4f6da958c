//! Versioned changes of the settings and the roster, and the core's copy of the roster.

use crate::interface::{Condition, Entry, Micros, RosterForm, ServerId, Settings};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// An engine as listed in the roster.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEngine {
    /// The entry that is passed to the decision module.
    pub entry: Entry,
    /// Name of the engine in the roster, which operators use to identify it.
    pub name: Arc<str>,
    /// Address at which the engine listens. The core does not interpret it.
    pub endpoint: Arc<str>,
}

/// The content of a change.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeContent {
    /// New settings, which replace the current ones.
    Settings(Settings),
    /// An update of the roster.
    Roster {
        /// Specifies if `engines` is the full list or only the changed entries.
        form: RosterForm,
        /// The entries.
        engines: Vec<ListedEngine>,
    },
    /// Names of all engines that operators withhold, which replace the current ones.
    Withheld(BTreeSet<Arc<str>>),
}

/// A change of the settings, the roster or the set of withheld engines.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Version number, at the source, of the state after this change.
    pub revision: u64,
    /// The content of the change.
    pub content: ChangeContent,
}

/// A source of changes, for example discovery or a file.
pub trait Changes {
    /// Waits for the next change. Returns `None` when the source can report no more changes.
    fn next(&mut self) -> impl Future<Output = Option<Change>>;
}

/// Maximum number of names of removed engines that are kept, so that these engines are still known to have
/// been listed.
const MAX_FORMER_NAMES: usize = 1024;
/// Time for which a removed server stays in the record of servers that must not be used. It counts from when
/// the server was recorded there: from the drain, if the server drained before its removal.
const UNREADY_RETENTION: Duration = Duration::from_secs(60);

/// The current roster.
#[derive(Debug, Default)]
pub(super) struct Roster {
    engines: RefCell<BTreeMap<ServerId, ListedEngine>>,
    /// Names of engines that operators withhold, independent of their condition in the roster.
    withheld: RefCell<BTreeSet<Arc<str>>>,
    /// Names of removed engines, the oldest first.
    former_names: RefCell<VecDeque<Arc<str>>>,
    /// For each server that must not be used, the time at which the gateway was notified of that. Removed
    /// servers stay for `UNREADY_RETENTION`.
    unready: RefCell<BTreeMap<ServerId, Instant>>,
    /// Start times of the listed servers whose start time is reported.
    starts: RefCell<BTreeMap<ServerId, Start>>,
}

/// The start time of a server.
#[derive(Clone, Copy, Debug)]
struct Start {
    /// Start time as reported, in Unix time.
    reported: Micros,
    /// Start time on the gateway's clock. It is computed when the start time is first reported, since the
    /// system clock may be stepped after that.
    gateway_time: Micros,
}

impl Roster {
    /// Applies an update. Returns the endpoints whose idle connections must be closed, since the engine there
    /// was removed, restarted or moved to another endpoint. A removed engine is deleted, since another engine
    /// may use its endpoint from then on.
    pub(super) fn apply(&self, form: RosterForm, updates: &[ListedEngine]) -> Vec<Arc<str>> {
        let mut engines = self.engines.borrow_mut();
        let mut endpoints_to_close = Vec::new();
        if form == RosterForm::Full {
            for listed in engines.values_mut() {
                listed.entry.condition = Condition::Gone;
            }
        }
        for new in updates {
            if let Some(old) = engines.insert(new.entry.server, new.clone())
                && (old.endpoint != new.endpoint || old.entry.started_at != new.entry.started_at)
            {
                endpoints_to_close.push(old.endpoint);
            }
        }
        let mut former_names = self.former_names.borrow_mut();
        let mut removed = Vec::new();
        for (server, gone) in engines.extract_if(.., |_, listed| listed.entry.condition == Condition::Gone) {
            log::info!("server removed uid={} server={:08x}", gone.name, server.0);
            removed.push(server);
            endpoints_to_close.push(gone.endpoint);
            former_names.retain(|name| *name != gone.name);
            former_names.push_back(gone.name);
        }
        let excess = former_names.len().saturating_sub(MAX_FORMER_NAMES);
        former_names.drain(..excess);
        drop(engines);
        self.update_unready(&removed);
        endpoints_to_close
    }

    /// Records which servers must not be used from now on, including the removed servers.
    fn update_unready(&self, removed: &[ServerId]) {
        let now = Instant::now();
        let engines = self.engines.borrow();
        let mut unready = self.unready.borrow_mut();
        for server in removed {
            unready.entry(*server).or_insert(now);
        }
        for (server, listed) in engines.iter() {
            if self.effective_condition(listed) == Condition::Ready {
                unready.remove(server);
            } else {
                unready.entry(*server).or_insert(now);
            }
        }
        unready.retain(|server, since| engines.contains_key(server) || now < *since + UNREADY_RETENTION);
    }

    /// Returns the time since which a server must not be used; `None` if it may be used or the time is
    /// unknown.
    pub(super) fn unready_since(&self, server: ServerId) -> Option<Instant> {
        self.unready.borrow().get(&server).copied()
    }

    /// Returns the condition under which an engine is used: a withheld engine counts as draining.
    fn effective_condition(&self, listed: &ListedEngine) -> Condition {
        match listed.entry.condition {
            Condition::Ready if self.withheld.borrow().contains(&listed.name) => Condition::Draining,
            condition => condition,
        }
    }

    /// Records the start times of listed servers. `to_gateway_clock` converts a reported Unix time to the
    /// gateway's clock.
    pub(super) fn record_starts(&self, listed: &[ListedEngine], to_gateway_clock: impl Fn(Micros) -> Micros) {
        let mut starts = self.starts.borrow_mut();
        for ListedEngine { entry, name, .. } in listed {
            let Entry { server, started_at: reported, .. } = entry;
            let is_recorded = starts.get(server).is_some_and(|start| start.reported == *reported);
            if *reported > 0 && !is_recorded {
                log::info!(
                    "server started uid={name} server={:08x} started_ms={}",
                    server.0,
                    reported / 1000
                );
                starts.insert(
                    *server,
                    Start { reported: *reported, gateway_time: to_gateway_clock(*reported).max(1) },
                );
            } else if *reported == 0 {
                starts.remove(server);
            }
        }
        let engines = self.engines.borrow();
        starts.retain(|server, _| engines.contains_key(server));
    }

    /// Returns the entry that is passed to the decision module, with the effective condition and start time.
    pub(super) fn effective_entry(&self, listed: &ListedEngine) -> Entry {
        let started_at = self.starts.borrow().get(&listed.entry.server).map_or(0, |start| start.gateway_time);
        Entry { condition: self.effective_condition(listed), started_at, ..listed.entry.clone() }
    }

    /// Replaces the set of withheld engines. Returns the effective entries of the engines that this changes.
    pub(super) fn set_withheld(&self, names: BTreeSet<Arc<str>>) -> Vec<Entry> {
        let before = self.withheld.replace(names);
        self.update_unready(&[]);
        let withheld = self.withheld.borrow();
        let engines = self.engines.borrow();
        let changed = engines
            .values()
            .filter(|listed| before.contains(&listed.name) != withheld.contains(&listed.name));
        changed.map(|listed| self.effective_entry(listed)).collect()
    }

    /// Returns true if an engine of this name is listed or withheld, or is among the last `MAX_FORMER_NAMES`
    /// that were removed.
    pub(super) fn knows_engine(&self, name: &str) -> bool {
        let is_listed = self.engines.borrow().values().any(|listed| &*listed.name == name);
        is_listed
            || self.withheld.borrow().contains(name)
            || self.former_names.borrow().iter().any(|former| &**former == name)
    }

    /// Returns the number of listed engines and the number of withheld engines among them.
    pub(super) fn count_listed_and_withheld(&self) -> (usize, usize) {
        let (engines, withheld) = (self.engines.borrow(), self.withheld.borrow());
        (engines.len(), engines.values().filter(|listed| withheld.contains(&listed.name)).count())
    }

    /// Returns an engine if it is listed.
    pub(super) fn listed_engine(&self, server: ServerId) -> Option<ListedEngine> {
        self.engines.borrow().get(&server).cloned()
    }

    /// Returns all listed engines.
    pub(super) fn listed_engines(&self) -> Vec<ListedEngine> {
        self.engines.borrow().values().cloned().collect()
    }

    /// Returns true if a server is listed and takes work.
    pub(super) fn is_ready(&self, server: ServerId) -> bool {
        let engines = self.engines.borrow();
        engines.get(&server).is_some_and(|listed| self.effective_condition(listed) == Condition::Ready)
    }

    /// Returns the kinds of the engines that take work.
    pub(super) fn ready_kinds(&self) -> Vec<usize> {
        let engines = self.engines.borrow();
        let ready = engines.values().filter(|listed| self.effective_condition(listed) == Condition::Ready);
        ready.map(|listed| listed.entry.kind).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    // If each later update reported the endpoint again, the open connections to the next engine at that
    // endpoint would be closed each time.
    #[test]
    fn endpoint_of_removed_engine_is_reported_unused_once() {
        let listed = |number, condition| {
            let entry = Entry { server: ServerId(number), condition, ..Entry::default() };
            [ListedEngine { entry, name: format!("s-{number}").into(), endpoint: Arc::from("e") }]
        };
        let roster = Roster::default();
        assert!(roster.apply(RosterForm::Full, &listed(1, Condition::Ready)).is_empty());
        assert_eq!(roster.apply(RosterForm::Delta, &listed(1, Condition::Gone)), ["e".into()]);
        assert!(roster.apply(RosterForm::Delta, &listed(2, Condition::Ready)).is_empty());
        assert!(!roster.is_ready(ServerId(1)) && roster.is_ready(ServerId(2)));
    }

    // The roster keeps reporting the condition of a withheld engine. No reported condition may bring the
    // engine back into use.
    #[test]
    fn withheld_engine_is_not_used_under_any_reported_condition() {
        let listed = |condition| {
            let entry = Entry { server: ServerId(1), condition, ..Entry::default() };
            [ListedEngine { entry, name: "s-1".into(), endpoint: "e".into() }]
        };
        let roster = Roster::default();
        roster.apply(RosterForm::Full, &listed(Condition::Ready));
        let changed = roster.set_withheld(["s-1".into()].into());
        assert_eq!((changed.len(), changed[0].condition), (1, Condition::Draining));
        for condition in [Condition::Draining, Condition::Gone, Condition::Ready] {
            roster.apply(RosterForm::Delta, &listed(condition));
            assert!(!roster.is_ready(ServerId(1)), "{condition:?}");
            assert!(roster.knows_engine("s-1") && !roster.knows_engine("s-2"));
        }
        assert_eq!(roster.count_listed_and_withheld(), (1, 1));
        let changed = roster.set_withheld(BTreeSet::new());
        assert_eq!((changed.len(), changed[0].condition), (1, Condition::Ready));
        assert!(roster.is_ready(ServerId(1)));
    }
}
