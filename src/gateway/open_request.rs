//! A request that has no final answer yet, or that still has attempts in flight.

use super::Engines;
use super::guard::Lifecycle;
use super::invariants::Invariant;
use crate::interface::{Effect, Group, Micros, ServerId, Settings, Status};
use std::cell::Cell;
use std::rc::Rc;
use tokio::task::{AbortHandle, JoinHandle};
use tokio::time::Instant;

/// Progress of an attempt.
pub(super) enum AttemptState {
    /// In flight: a task sends the attempt and waits for its answer to begin.
    AwaitingReply(AbortHandle),
    /// In flight without a task: the answer is being relayed, the attempt was cancelled, or it could not be
    /// sent.
    WithoutTask,
    /// The attempt has ended.
    Finished,
}

/// One attempt of a request at one server.
pub(super) struct Attempt {
    pub(super) server: ServerId,
    /// True if the server is a reader.
    pub(super) is_read: bool,
    pub(super) state: AttemptState,
    /// How the attempt ended; `None` while it is in flight.
    pub(super) outcome: Option<Status>,
}

impl Attempt {
    /// Returns true if the attempt may have had the effect that must not occur twice. A read never has this
    /// effect.
    fn may_have_run(&self) -> bool {
        let never_ran = [Status::Rejected, Status::NeverSent, Status::NoConnection];
        !self.is_read && self.outcome.is_none_or(|outcome| !never_ran.contains(&outcome))
    }

    fn is_in_flight(&self) -> bool {
        !matches!(self.state, AttemptState::Finished)
    }
}

/// The driver's state of one request, kept until the request is answered and no attempt is in flight.
pub(super) struct OpenRequest<E: Engines> {
    pub(super) job: Rc<E::Job>,
    pub(super) class: usize,
    /// The settings that were current when the request arrived.
    pub(super) settings: Rc<Settings>,
    pub(super) deadline: Micros,
    pub(super) attempts: Vec<Attempt>,
    /// Number of attempts in flight.
    pub(super) in_flight: usize,
    /// True once the request has its final answer, or its client has abandoned it.
    pub(super) answered: bool,
    /// Times at which the client disconnected and the request was answered; checked before an attempt is
    /// written.
    pub(super) lifecycle: Rc<Lifecycle>,
    /// True once an answer has begun. From then on the engines release the request's states by themselves.
    pub(super) answer_started: bool,
    /// True once an attempt may have reached an engine. Before that no engine holds a state of the request.
    pub(super) may_have_reached_engine: bool,
    /// True if a read failed or was cancelled midway. Its state may still appear at the reader shortly
    /// afterwards.
    pub(super) had_broken_read: bool,
    /// True while a delayed release is scheduled but not yet sent.
    pub(super) release_delayed: Rc<Cell<bool>>,
    /// Task of the most recent release. The next attempt is written only after this task has ended.
    pub(super) last_release: Option<JoinHandle<()>>,
    /// Time by which a state held for the request has to be fetched or released; `None` if no state is held.
    pub(super) hold_deadline: Rc<Cell<Option<Instant>>>,
}

impl<E: Engines> OpenRequest<E> {
    /// Returns true if the request may run again although an earlier attempt may have run.
    pub(super) fn is_safe_to_repeat(&self) -> bool {
        self.settings.classes.get(self.class).is_some_and(|class| class.effect == Effect::Safe)
    }

    fn effect(&self) -> Effect {
        self.settings.classes.get(self.class).map_or(Effect::Unsafe, |class| class.effect)
    }

    /// Returns the invariant that a further attempt would violate, given the attempts so far.
    pub(super) fn invariant_violated_by_send(&self, is_read: bool) -> Option<Invariant> {
        if self.attempts.iter().any(Attempt::is_in_flight) {
            return Some(Invariant::NoSecondCopy);
        }
        (!is_read && self.must_not_run_again()).then_some(Invariant::NoUnsafeRepeat)
    }

    /// Returns true if the request may have run and must not run twice.
    pub(super) fn must_not_run_again(&self) -> bool {
        self.effect() == Effect::Unsafe && self.attempts.iter().any(Attempt::may_have_run)
    }

    /// Returns true if a refusal would wrongly promise that a retry is harmless.
    pub(super) fn refusal_is_untrue(&self) -> bool {
        let is_retry_harmless =
            matches!(self.effect(), Effect::Safe | Effect::Keyed { group: Group::All, .. });
        !is_retry_harmless
            && self.attempts.iter().any(|attempt| attempt.is_in_flight() || attempt.may_have_run())
    }

    /// Returns true if a read is in flight. A release could drop the state of that read.
    pub(super) fn has_read_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.is_read && attempt.is_in_flight())
    }

    /// Marks an attempt as finished. Returns its server if the attempt was in flight.
    pub(super) fn mark_finished(&mut self, attempt: u32, outcome: Status) -> Option<ServerId> {
        let attempt = self.attempts.get_mut(attempt as usize)?;
        if !attempt.is_in_flight() {
            return None;
        }
        attempt.state = AttemptState::Finished;
        attempt.outcome = Some(outcome);
        self.in_flight -= 1;
        Some(attempt.server)
    }
}
