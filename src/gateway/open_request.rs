//! A request that has no final answer yet, or still has attempts out.

use super::Engines;
use super::guard::Lifecycle;
use super::invariants::Invariant;
use crate::interface::{Effect, Group, Micros, ServerId, Settings, Status};
use std::cell::Cell;
use std::rc::Rc;
use tokio::task::{AbortHandle, JoinHandle};
use tokio::time::Instant;

/// Whether an attempt is out, and by what.
pub(super) enum Out {
    /// A task works on it until its answer begins.
    Sent(AbortHandle),
    /// No task does: its answer is being relayed, or it could not be sent.
    Untasked,
    Over,
}

pub(super) struct Attempt {
    pub(super) server: ServerId,
    pub(super) reading: bool,
    pub(super) out: Out,
    /// How it ended, once it has.
    pub(super) outcome: Option<Status>,
}

impl Attempt {
    /// Whether it may have had the effect that its class must not have twice. A read has none, however it ends.
    fn may_have_run(&self) -> bool {
        let never = [Status::Full, Status::Moot, Status::NoConnection];
        !self.reading && self.outcome.is_none_or(|outcome| !never.contains(&outcome))
    }

    fn is_out(&self) -> bool {
        !matches!(self.out, Out::Over)
    }
}

pub(super) struct Open<E: Engines> {
    pub(super) job: Rc<E::Job>,
    pub(super) class: usize,
    /// The settings under which it came.
    pub(super) settings: Rc<Settings>,
    pub(super) expires: Micros,
    pub(super) attempts: Vec<Attempt>,
    /// How many attempts are out.
    pub(super) out: usize,
    pub(super) answered: bool,
    /// Whether somebody still waits for its answer; asked before an attempt is written.
    pub(super) lifecycle: Rc<Lifecycle>,
    /// Whether an answer has begun: engines let go of the rest by themselves.
    pub(super) streamed: bool,
    /// Whether an attempt may have come to an engine: before that nothing is held.
    pub(super) reached: bool,
    /// Whether a read broke, whose state may turn up just after.
    pub(super) broken_read: bool,
    /// Whether a release is already about to go out.
    pub(super) release_waits: Rc<Cell<bool>>,
    /// The release that went out last: an attempt is written only after it.
    pub(super) releasing: Option<JoinHandle<()>>,
    /// By when what a server holds for it has to be taken or let go, if one does.
    pub(super) held_until: Rc<Cell<Option<Instant>>>,
}

impl<E: Engines> Open<E> {
    /// Whether a run that may have begun can be repeated without harm.
    pub(super) fn is_harmless(&self) -> bool {
        self.settings.classes.get(self.class).is_some_and(|class| class.effect == Effect::Safe)
    }

    fn effect(&self) -> Effect {
        self.settings.classes.get(self.class).map_or(Effect::Unsafe, |class| class.effect)
    }

    /// Which invariant one more attempt would violate, after what earlier ones may have done.
    pub(super) fn violated_by_send(&self, reading: bool) -> Option<Invariant> {
        if self.attempts.iter().any(Attempt::is_out) {
            return Some(Invariant::NoSecondCopy);
        }
        let repeats = !reading && self.effect() == Effect::Unsafe;
        let ran = repeats && self.attempts.iter().any(Attempt::may_have_run);
        ran.then_some(Invariant::NoUnsafeRepeat)
    }

    /// Whether a refusal would promise what is not so: that trying again is harmless.
    pub(super) fn refusal_is_untrue(&self) -> bool {
        let harmless = matches!(self.effect(), Effect::Safe | Effect::Keyed { group: Group::All, .. });
        !harmless && self.attempts.iter().any(|attempt| attempt.is_out() || attempt.may_have_run())
    }

    /// Whether a read is out, whose state a release could take away.
    pub(super) fn has_read_out(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.reading && attempt.is_out())
    }

    /// Marks an attempt as over; gives its server if it was out.
    pub(super) fn over(&mut self, attempt: u32, outcome: Status) -> Option<ServerId> {
        let attempt = self.attempts.get_mut(attempt as usize)?;
        if !attempt.is_out() {
            return None;
        }
        attempt.out = Out::Over;
        attempt.outcome = Some(outcome);
        self.out -= 1;
        Some(attempt.server)
    }
}
