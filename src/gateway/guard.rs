//! The one guard for sending: whether an attempt may be written, asked right before its first byte, and checked again as
//! that is written.

use super::invariants::{DRAIN_GRACE, Invariant, Invariants, LEFT_GRACE};
use super::roster::Roster;
use crate::interface::{RequestId, ServerId};
use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// For how long the process may be held up between reading its clock and writing (protocol).
const HOLD_UP: Duration = Duration::from_millis(150);

/// What the paths of a request have to know of each other: whether its client has left, and whether it was answered.
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

/// Why a send may not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendRefusal {
    /// Its client has left.
    ClientLeft,
    /// The request has its final answer.
    Answered,
    /// It is a repeat that could arrive after the window in which servers recognise it.
    AfterWindow,
    /// The server drains, was removed, or is out of use by hand.
    NotReady,
}

impl fmt::Display for SendRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::ClientLeft => "its client has left",
            Self::Answered => "the request has its answer",
            Self::AfterWindow => "too late for a repeat",
            Self::NotReady => "told to drain while connecting",
        })
    }
}

/// Tells whether an attempt may still be written, by the newest that was told of its server, its client and its request.
#[derive(Clone, Debug)]
pub struct SendGuard {
    pub(super) roster: Rc<Roster>,
    pub(super) invariants: Invariants,
    pub(super) request: RequestId,
    pub(super) server: ServerId,
    pub(super) lifecycle: Rc<Lifecycle>,
    /// When the window is over in which servers recognise a repeat, if this is one that depends on that.
    pub(super) repeat_before: Option<Instant>,
}

impl SendGuard {
    /// Why a send may not begin now.
    pub fn refusal(&self) -> Option<SendRefusal> {
        if self.lifecycle.client_left.get().is_some() {
            return Some(SendRefusal::ClientLeft);
        }
        if self.lifecycle.answered.get().is_some() {
            return Some(SendRefusal::Answered);
        }
        if self.repeat_before.is_some_and(|end| end <= Instant::now() + HOLD_UP) {
            return Some(SendRefusal::AfterWindow);
        }
        (!self.roster.is_ready(self.server)).then_some(SendRefusal::NotReady)
    }

    /// The first byte is being written: checks the invariants against the times at which each fact became known.
    pub fn check_written(&self) {
        let now = Instant::now();
        let late = |since: Option<Instant>, grace: Duration| since.is_some_and(|at| at + grace < now);
        let broken = [
            (late(self.roster.unready_since(self.server), DRAIN_GRACE), Invariant::NoSendAfterDrain),
            (late(self.lifecycle.client_left.get(), LEFT_GRACE), Invariant::NoSendAfterClientLeft),
            (late(self.lifecycle.answered.get(), Duration::ZERO), Invariant::NoSendAfterAnswer),
            (late(self.repeat_before, Duration::ZERO), Invariant::NoRepeatAfterWindow),
        ];
        for (_, invariant) in broken.iter().filter(|(broken, _)| *broken) {
            let detail = format!("server={:08x}", self.server.0);
            self.invariants.violated(*invariant, &self.request, detail);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::gateway::metrics::Metrics;
    use crate::gateway::roster::Listed;
    use crate::interface::{Condition, Entry, RosterForm};
    use std::sync::Arc;

    fn guard(roster: &Rc<Roster>, repeat_before: Option<Instant>) -> SendGuard {
        SendGuard {
            roster: roster.clone(),
            invariants: Invariants::new(Rc::new(Metrics::new().expect("lawful names"))),
            request: RequestId(Arc::from("a")),
            server: ServerId(1),
            lifecycle: Rc::default(),
            repeat_before,
        }
    }

    fn roster(condition: Condition) -> Rc<Roster> {
        let roster = Roster::default();
        tell(&roster, condition);
        Rc::new(roster)
    }

    fn tell(roster: &Roster, condition: Condition) {
        let entry = Entry { server: ServerId(1), condition, ..Entry::default() };
        roster.apply(RosterForm::Full, &[Listed { entry, name: "s-1".into(), endpoint: "e".into() }]);
    }

    // A process that is held up between its look at the clock and the write sent a repeat after its window.
    #[tokio::test(start_paused = true)]
    async fn repeat_leaves_room_for_a_hold_up() {
        let roster = roster(Condition::Ready);
        let after = |ms| Some(Instant::now() + Duration::from_millis(ms));
        assert_eq!(guard(&roster, after(160)).refusal(), None);
        assert_eq!(guard(&roster, after(150)).refusal(), Some(SendRefusal::AfterWindow));
    }

    // The check of what is written must not rest on the guard before it.
    #[tokio::test(start_paused = true)]
    async fn what_is_written_against_an_invariant_is_counted() {
        let roster = roster(Condition::Ready);
        let guard = guard(&roster, Some(Instant::now() + Duration::from_millis(500)));
        guard.check_written();
        guard.lifecycle.mark_client_left();
        guard.lifecycle.mark_answered();
        tell(&roster, Condition::Draining);
        guard.check_written();
        let counts = || Invariant::ALL.map(|invariant| guard.invariants.count(invariant));
        assert_eq!(counts().iter().sum::<u64>(), 0, "all within their graces");
        tokio::time::advance(Duration::from_millis(90)).await;
        guard.check_written();
        assert_eq!(guard.invariants.count(Invariant::NoSendAfterAnswer), 1);
        tokio::time::advance(Duration::from_millis(20)).await;
        guard.check_written();
        assert_eq!(guard.invariants.count(Invariant::NoSendAfterClientLeft), 1);
        tokio::time::advance(Duration::from_millis(200)).await;
        guard.check_written();
        assert_eq!(guard.invariants.count(Invariant::NoSendAfterDrain), 1);
        tokio::time::advance(Duration::from_millis(200)).await;
        guard.check_written();
        assert_eq!(guard.invariants.count(Invariant::NoRepeatAfterWindow), 1);
    }
}
