//! First stage: a front hands a request over and gets a ticket to wait on.

use super::driver::Input;
use super::{Answer, Engines, EventStream, Key};
use crate::interface::{Arrival, RequestId};
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};

/// A request as a front hands it over.
pub struct Submission<J> {
    /// What the module is told of it.
    pub arrival: Arrival,
    /// What engines are sent.
    pub job: J,
    /// Bytes that it holds while it is open.
    pub size: usize,
    /// The key under which its client repeats it, if it does.
    pub key: Option<Key>,
}

/// Why a request was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejected {
    /// Its id is in use by an open request.
    Duplicate,
    /// The same key came with another request.
    KeyReused,
    /// No room for it now.
    Busy,
    /// The gateway has stopped.
    Stopped,
}

/// An open request at its front; dropping it tells that the client has gone.
pub struct Ticket<E: Engines> {
    id: RequestId,
    caller: u64,
    answer: oneshot::Receiver<Answer<E::Events>>,
    inbox: Option<mpsc::UnboundedSender<Input<E>>>,
}

impl<E: Engines> Ticket<E> {
    pub(super) fn new(
        id: RequestId,
        caller: u64,
        answer: oneshot::Receiver<Answer<E::Events>>,
        inbox: mpsc::UnboundedSender<Input<E>>,
    ) -> Self {
        Self { id, caller, answer, inbox: Some(inbox) }
    }

    /// Waits for the final answer.
    pub async fn answer(mut self) -> Answer<E::Events> {
        let answer = (&mut self.answer).await;
        self.inbox = None;
        answer.unwrap_or(Answer::Failed { timed_out: false })
    }
}

impl<E: Engines> Drop for Ticket<E> {
    fn drop(&mut self) {
        if let Some(inbox) = &self.inbox {
            // A driver that has stopped needs no word of it.
            let _ = inbox.send(Input::Gone { id: self.id.clone(), caller: self.caller });
        }
    }
}

/// One of those who wait for a request's answer.
pub(super) struct Caller<S: EventStream> {
    pub(super) number: u64,
    pub(super) answer: oneshot::Sender<Answer<S>>,
}

impl<S: EventStream> Caller<S> {
    /// Gives the answer; one who has gone needs none.
    pub(super) fn take(self, answer: Answer<S>) {
        drop(self.answer.send(answer));
    }
}

/// A request on its way to the driver.
pub(super) struct Taken<E: Engines> {
    pub(super) arrival: Arrival,
    pub(super) job: Rc<E::Job>,
}
