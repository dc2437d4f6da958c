//! Fourth stage: makes one attempt at one engine, up to the first chunk of the answer.

use super::driver::Input;
use super::{AttemptError, Call, EngineReply, Engines, EventStream, Progress, Reply};
use crate::interface::Status;
use bytes::Bytes;
use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinHandle};

/// The reply to an attempt, of which nothing has been passed on to the client yet.
pub(super) struct StartedReply<S> {
    pub(super) engine_reply: EngineReply<S>,
    /// First chunk of a streamed answer; `None` for other replies.
    pub(super) first_chunk: Option<Bytes>,
}

/// Returns the status that the decision module receives for a failed attempt.
pub(super) fn status_for_error(error: &AttemptError) -> Status {
    match error.progress {
        Progress::NotSent => Status::NeverSent,
        Progress::NotConnected | Progress::PartiallyWritten => Status::NoConnection,
        Progress::FullyWritten => Status::Reset,
        Progress::TimedOut => Status::TimedOut,
    }
}

/// Calls an engine. If the answer is streamed, also waits for its first chunk.
async fn call_and_read_first_chunk<E: Engines>(
    engines: &E,
    call: Call<E::Job>,
) -> Result<StartedReply<E::Events>, AttemptError> {
    let mut engine_reply = engines.call(call).await?;
    let mut first_chunk = None;
    if let Reply::Events(events) = &mut engine_reply.reply {
        let ended_early =
            || AttemptError::new(Progress::FullyWritten, "the response ended before its first event");
        first_chunk = Some(poll_fn(|context| events.poll_event(context)).await.ok_or_else(ended_early)??);
    }
    Ok(StartedReply { engine_reply, first_chunk })
}

/// Starts an attempt in a task, which sends the result to `inbox`. The attempt first waits for the preceding
/// release, for `max_release_wait` at most, and then aborts that release. Aborting the task closes the
/// attempt's connection.
pub(super) fn start<E: Engines>(
    engines: &Rc<E>,
    call: Call<E::Job>,
    attempt: u32,
    (preceding_release, max_release_wait): (Option<JoinHandle<()>>, Duration),
    inbox: &mpsc::UnboundedSender<Input<E>>,
) -> AbortHandle {
    let (engines, inbox) = (engines.clone(), inbox.clone());
    let task = tokio::task::spawn_local(async move {
        let (id, deadline) = (call.id.clone(), call.deadline);
        let timeout_error = |_| Err(AttemptError::new(Progress::TimedOut, "no answer in time"));
        let attempt_future = async {
            if let Some(mut preceding_release) = preceding_release
                && tokio::time::timeout(max_release_wait, &mut preceding_release).await.is_err()
            {
                preceding_release.abort();
            }
            call_and_read_first_chunk(&*engines, call).await
        };
        let result = tokio::time::timeout_at(deadline, attempt_future).await.unwrap_or_else(timeout_error);
        // The send fails only if the driver has stopped, and then the result is not needed.
        let _ = inbox.send(Input::AttemptResult { id, attempt, result });
    });
    task.abort_handle()
}
