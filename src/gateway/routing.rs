//! Third stage: the decision module, fed what has happened since its last turn.

use crate::choice::Router;
use crate::interface::{Action, Event, Micros, RequestId, ServerId};
use std::collections::BTreeSet;

/// The module with its pending events and timers.
pub(super) struct Routing {
    router: Router,
    events: Vec<Event>,
    timers: BTreeSet<(Micros, u64)>,
}

impl Routing {
    pub(super) fn new(router: Router) -> Self {
        Self { router, events: Vec::new(), timers: BTreeSet::new() }
    }

    pub(super) fn tell(&mut self, event: Event) {
        self.events.push(event);
    }

    /// Whether something has happened that the module has not been told yet.
    pub(super) fn is_pending(&self) -> bool {
        !self.events.is_empty()
    }

    pub(super) fn set_timer(&mut self, due: Micros, token: u64) {
        self.timers.insert((due, token));
    }

    /// When the next timer is due.
    pub(super) fn next_timer(&self) -> Option<Micros> {
        self.timers.first().map(|(due, _)| *due)
    }

    /// How many listed engines the module avoids.
    pub(super) fn avoided(&mut self, now: Micros) -> usize {
        self.router.avoided(now)
    }

    /// Sends since the last call that went beyond the quota of a server in slow start.
    pub(super) fn take_over_quota(&mut self) -> Vec<(RequestId, ServerId)> {
        self.router.take_over_quota()
    }

    /// What is to be done now; nothing if nothing has happened.
    pub(super) fn decide(&mut self, now: Micros) -> Vec<Action> {
        while let Some(&(due, token)) = self.timers.first()
            && due <= now
        {
            self.timers.pop_first();
            self.events.push(Event::Timer { token });
        }
        let events = std::mem::take(&mut self.events);
        if events.is_empty() { Vec::new() } else { self.router.handle(now, &events) }
    }
}
