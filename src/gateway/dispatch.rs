//! Fourth stage: one attempt at one engine, up to its answer's first piece.

use super::driver::Input;
use super::{AttemptError, Call, Engines, EventStream, Progress, Replied, Reply};
use crate::interface::Status;
use bytes::Bytes;
use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinHandle};

/// What an attempt brought, its answer begun but not passed on.
pub(super) struct Begun<S> {
    pub(super) replied: Replied<S>,
    /// The first piece, if the answer is a running one.
    pub(super) first: Option<Bytes>,
}

/// What an attempt's loss means to the module.
pub(super) fn status_of(error: &AttemptError) -> Status {
    match error.progress {
        Progress::Withdrawn => Status::Moot,
        Progress::Unconnected | Progress::Unwritten => Status::NoConnection,
        Progress::Written => Status::Reset,
        Progress::TimedOut => Status::TimedOut,
    }
}

async fn begin<E: Engines>(engines: &E, call: Call<E::Job>) -> Result<Begun<E::Events>, AttemptError> {
    let mut replied = engines.call(call).await?;
    let mut first = None;
    if let Reply::Events(events) = &mut replied.reply {
        let broke = || AttemptError::new(Progress::Written, "the answer ended before its first event");
        first = Some(poll_fn(|context| events.poll_event(context)).await.ok_or_else(broke)??);
    }
    Ok(Begun { replied, first })
}

/// Starts an attempt; its result comes to the inbox. Aborting it closes its connection.
pub(super) fn start<E: Engines>(
    engines: &Rc<E>,
    call: Call<E::Job>,
    attempt: u32,
    (releasing, most): (Option<JoinHandle<()>>, Duration),
    inbox: &mpsc::UnboundedSender<Input<E>>,
) -> AbortHandle {
    let (engines, inbox) = (engines.clone(), inbox.clone());
    let task = tokio::task::spawn_local(async move {
        let (id, deadline) = (call.id.clone(), call.deadline);
        let late = |_| Err(AttemptError::new(Progress::TimedOut, "no answer in time"));
        let attempt_made = async {
            if let Some(mut releasing) = releasing
                && tokio::time::timeout(most, &mut releasing).await.is_err()
            {
                releasing.abort();
            }
            begin(&*engines, call).await
        };
        let result = tokio::time::timeout_at(deadline, attempt_made).await.unwrap_or_else(late);
        // A driver that has stopped needs no word of it.
        let _ = inbox.send(Input::Begun { id, attempt, result });
    });
    task.abort_handle()
}
