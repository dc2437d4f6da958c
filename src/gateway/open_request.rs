//! A request that has no final answer yet, or still has attempts out.

use super::Engines;
use crate::interface::{Effect, Micros, ServerId, Settings};
use std::cell::Cell;
use std::rc::Rc;
use tokio::task::{AbortHandle, JoinHandle};

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
    pub(super) wanted: Rc<Cell<bool>>,
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
}

impl<E: Engines> Open<E> {
    /// Whether a run that may have begun can be repeated without harm.
    pub(super) fn is_harmless(&self) -> bool {
        self.settings.classes.get(self.class).is_some_and(|class| class.effect == Effect::Safe)
    }

    /// Marks an attempt as over; gives its server if it was out.
    pub(super) fn over(&mut self, attempt: u32) -> Option<ServerId> {
        let attempt = self.attempts.get_mut(attempt as usize)?;
        if matches!(attempt.out, Out::Over) {
            return None;
        }
        attempt.out = Out::Over;
        self.out -= 1;
        Some(attempt.server)
    }
}
