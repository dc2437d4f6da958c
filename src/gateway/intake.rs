//! First stage: a front submits a request and receives a ticket, on which it waits for the answer.

use super::driver::Input;
use super::{Answer, Engines, EventStream, Key};
use crate::interface::{Arrival, RequestId};
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};

/// A request as submitted by a front.
pub struct Submission<J> {
    /// Description of the request for the decision module.
    pub arrival: Arrival,
    /// The message for the engines.
    pub job: J,
    /// Memory that the request occupies while it is open, in bytes.
    pub size: usize,
    /// Idempotency key under which the client may repeat the request, if it sent one.
    pub key: Option<Key>,
}

/// The reason why a request was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejected {
    /// A request of the same id is open, or may have run and must not run twice.
    Duplicate,
    /// The idempotency key was already used for a different request.
    KeyReused,
    /// A limit on open requests is reached.
    Busy,
    /// The gateway has stopped, or is shutting down and accepts no more requests.
    Stopped,
}

/// A front's claim to the answer of a submitted request. Dropping the ticket before the answer arrives
/// signals that the client has disconnected.
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
            // The send fails only if the driver has stopped, and then no request is open.
            let _ = inbox.send(Input::CallerGone { id: self.id.clone(), caller: self.caller });
        }
    }
}

/// A caller that waits for the answer of a request.
pub(super) struct Caller<S: EventStream> {
    pub(super) number: u64,
    pub(super) answer: oneshot::Sender<Answer<S>>,
}

impl<S: EventStream> Caller<S> {
    /// Sends the answer to the caller. The answer is dropped if the caller has disconnected.
    pub(super) fn respond(self, answer: Answer<S>) {
        drop(self.answer.send(answer));
    }
}

/// A request that admission has accepted, on its way to the driver.
pub(super) struct AcceptedRequest<E: Engines> {
    pub(super) arrival: Arrival,
    pub(super) job: Rc<E::Job>,
}
