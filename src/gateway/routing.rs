//! Third stage: runs the decision module on the events since its last turn.

use crate::choice::{Router, SlowStartCall};
use crate::interface::{Action, Event, Micros, RequestId, ServerId};
use std::collections::BTreeSet;

/// The decision module with its pending events and timers.
pub(super) struct Routing {
    router: Router,
    events: Vec<Event>,
    timers: BTreeSet<(Micros, u64)>,
}

impl Routing {
    pub(super) fn new(router: Router) -> Self {
        Self { router, events: Vec::new(), timers: BTreeSet::new() }
    }

    /// Adds an event for the next turn.
    pub(super) fn push_event(&mut self, event: Event) {
        self.events.push(event);
    }

    /// Returns true if an event waits for the next turn.
    pub(super) fn is_pending(&self) -> bool {
        !self.events.is_empty()
    }

    /// Sets a timer, which becomes an event with this token at `due`.
    pub(super) fn set_timer(&mut self, due: Micros, token: u64) {
        self.timers.insert((due, token));
    }

    /// Returns the time at which the next timer is due.
    pub(super) fn next_timer(&self) -> Option<Micros> {
        self.timers.first().map(|(due, _)| *due)
    }

    /// Returns the number of listed engines that the decision module avoids.
    pub(super) fn avoided_server_count(&mut self, now: Micros) -> usize {
        self.router.avoided_server_count(now)
    }

    /// Returns the sends since the last call that exceeded the quota of a server in slow start.
    pub(super) fn take_sends_over_quota(&mut self) -> Vec<(RequestId, ServerId)> {
        self.router.take_sends_over_quota()
    }

    /// Returns the calls to servers in slow start in the last turn.
    pub(super) fn slow_start_calls(&self) -> &[SlowStartCall] {
        self.router.slow_start_calls()
    }

    /// Runs one turn of the decision module and returns its actions. Does nothing if there are no events.
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
