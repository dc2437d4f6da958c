//! The send guard: decides right before the first byte of an attempt if the attempt may be written, and
//! checks the invariants when that byte is written.

use super::invariants::{DRAIN_GRACE, Invariant, Invariants, LEFT_GRACE};
use super::roster::Roster;
use crate::interface::{RequestId, ServerId};
use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum time for which the process may be paused between reading the clock and writing, fixed by the
/// protocol.
const MAX_PROCESS_PAUSE: Duration = Duration::from_millis(150);

/// The times at which the client of a request disconnected and the request was answered, shared by all tasks
/// that work on the request.
#[derive(Debug, Default)]
pub(super) struct Lifecycle {
    client_left: Cell<Option<Instant>>,
    answered: Cell<Option<Instant>>,
}

impl Lifecycle {
    pub(super) fn mark_client_left(&self) {
        self.client_left.set(self.client_left.get().or_else(|| Some(Instant::now())));
    }

    pub(super) fn mark_answered(&self) {
        self.answered.set(self.answered.get().or_else(|| Some(Instant::now())));
    }
}

/// The reason why a send must not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendRefusal {
    /// The client has disconnected.
    ClientLeft,
    /// The request has its final answer.
    Answered,
    /// The attempt is a repeat that could arrive after the window in which servers recognise repeats.
    AfterWindow,
    /// The server drains, was removed, or is withheld by an operator.
    NotReady,
}

impl fmt::Display for SendRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::ClientLeft => "the client has disconnected",
            Self::Answered => "the request is already answered",
            Self::AfterWindow => "the window for repeats is over",
            Self::NotReady => "the server became unavailable while connecting",
        })
    }
}

/// Decides if an attempt may still be written, from the latest known state of its server, its client and its
/// request.
#[derive(Clone, Debug)]
pub struct SendGuard {
    pub(super) roster: Rc<Roster>,
    pub(super) invariants: Invariants,
    pub(super) request: RequestId,
    pub(super) server: ServerId,
    pub(super) lifecycle: Rc<Lifecycle>,
    /// End of the window in which servers recognise the attempt as a repeat; `None` if the attempt does not
    /// rely on that.
    pub(super) repeat_deadline: Option<Instant>,
}

impl SendGuard {
    /// Returns the reason why a send must not begin now, or `None` if it may begin.
    pub fn refusal_reason(&self) -> Option<SendRefusal> {
        if self.lifecycle.client_left.get().is_some() {
            return Some(SendRefusal::ClientLeft);
        }
        if self.lifecycle.answered.get().is_some() {
            return Some(SendRefusal::Answered);
        }
        if self.repeat_deadline.is_some_and(|window_end| window_end <= Instant::now() + MAX_PROCESS_PAUSE) {
            return Some(SendRefusal::AfterWindow);
        }
        (!self.roster.is_ready(self.server)).then_some(SendRefusal::NotReady)
    }

    /// Checks the invariants when the first byte is written, using the times at which each fact became known.
    pub fn check_invariants_at_write(&self) {
        let now = Instant::now();
        let exceeds = |since: Option<Instant>, grace: Duration| since.is_some_and(|at| at + grace < now);
        let checks = [
            (exceeds(self.roster.unready_since(self.server), DRAIN_GRACE), Invariant::NoSendAfterDrain),
            (exceeds(self.lifecycle.client_left.get(), LEFT_GRACE), Invariant::NoSendAfterClientLeft),
            (exceeds(self.lifecycle.answered.get(), Duration::ZERO), Invariant::NoSendAfterAnswer),
            (exceeds(self.repeat_deadline, Duration::ZERO), Invariant::NoRepeatAfterWindow),
        ];
        for (_, invariant) in checks.iter().filter(|(is_violated, _)| *is_violated) {
            let detail = format!("server={:08x}", self.server.0);
            self.invariants.report_violation(*invariant, &self.request, detail);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::gateway::metrics::Metrics;
    use crate::gateway::roster::ListedEngine;
    use crate::interface::{Condition, Entry, RosterForm};
    use std::sync::Arc;

    fn guard(roster: &Rc<Roster>, repeat_deadline: Option<Instant>) -> SendGuard {
        SendGuard {
            roster: roster.clone(),
            invariants: Invariants::new(Rc::new(Metrics::new().expect("valid metric names"))),
            request: RequestId(Arc::from("a")),
            server: ServerId(1),
            lifecycle: Rc::default(),
            repeat_deadline,
        }
    }

    fn roster(condition: Condition) -> Rc<Roster> {
        let roster = Roster::default();
        set_condition(&roster, condition);
        Rc::new(roster)
    }

    fn set_condition(roster: &Roster, condition: Condition) {
        let entry = Entry { server: ServerId(1), condition, ..Entry::default() };
        roster.apply(RosterForm::Full, &[ListedEngine { entry, name: "s-1".into(), endpoint: "e".into() }]);
    }

    // A process that was paused between reading the clock and writing sent a repeat after the end of its
    // window.
    #[tokio::test(start_paused = true)]
    async fn repeat_is_refused_if_a_pause_could_delay_it_past_its_window() {
        let roster = roster(Condition::Ready);
        let after = |ms| Some(Instant::now() + Duration::from_millis(ms));
        assert_eq!(guard(&roster, after(160)).refusal_reason(), None);
        assert_eq!(guard(&roster, after(150)).refusal_reason(), Some(SendRefusal::AfterWindow));
    }

    // The check at the write must not depend on the guard that is asked before it.
    #[tokio::test(start_paused = true)]
    async fn write_that_violates_an_invariant_is_counted() {
        let roster = roster(Condition::Ready);
        let guard = guard(&roster, Some(Instant::now() + Duration::from_millis(500)));
        guard.check_invariants_at_write();
        guard.lifecycle.mark_client_left();
        guard.lifecycle.mark_answered();
        set_condition(&roster, Condition::Draining);
        guard.check_invariants_at_write();
        let counts = || Invariant::ALL.map(|invariant| guard.invariants.count(invariant));
        assert_eq!(counts().iter().sum::<u64>(), 0, "a violation was counted within the grace periods");
        tokio::time::advance(Duration::from_millis(90)).await;
        guard.check_invariants_at_write();
        assert_eq!(guard.invariants.count(Invariant::NoSendAfterAnswer), 1);
        tokio::time::advance(Duration::from_millis(20)).await;
        guard.check_invariants_at_write();
        assert_eq!(guard.invariants.count(Invariant::NoSendAfterClientLeft), 1);
        tokio::time::advance(Duration::from_millis(200)).await;
        guard.check_invariants_at_write();
        assert_eq!(guard.invariants.count(Invariant::NoSendAfterDrain), 1);
        tokio::time::advance(Duration::from_millis(200)).await;
        guard.check_invariants_at_write();
        assert_eq!(guard.invariants.count(Invariant::NoRepeatAfterWindow), 1);
    }
}
