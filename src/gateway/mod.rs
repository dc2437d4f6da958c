//! The core of the gateway: it drives the decision module and is independent of network protocols.
//!
//! A request passes the stages `intake`, `admission`, `routing`, `dispatch`, `relay` and `accounting`, each
//! of which is a module. `driver` is the event loop that moves requests through the stages. The core reaches
//! engines through [`Engines`] and receives the roster and the settings through [`Changes`]. Fronts submit
//! requests to a [`Gateway`] and wait for the [`Answer`].

mod accounting;
mod admission;
mod attempts;
mod clock;
mod dispatch;
mod driver;
mod figures;
mod guard;
mod handle;
mod intake;
mod invariants;
mod metrics;
mod open_request;
mod relay;
mod releases;
mod roster;
mod routing;
mod spent_ids;
mod tuning;

pub use admission::{Key, Limits};
pub use clock::Clock;
pub use driver::start;
pub use figures::{RequestCounts, RequestResult, Statistics};
pub use guard::{SendGuard, SendRefusal};
pub use handle::Gateway;
pub use intake::{Rejected, Submission, Ticket};
pub use invariants::{Invariant, Invariants};
pub use metrics::{Metrics, PREFIX};
pub use relay::{Relay, ShutdownSchedule};
pub use roster::{Change, ChangeContent, Changes, ListedEngine};
pub use tuning::Tuning;

use crate::interface::{Load, Micros, RequestId};
use bytes::Bytes;
use std::fmt;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::time::Instant;

/// Progress of an attempt at the time of its failure. Only the first three variants prove that the attempt
/// never ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Nothing was sent to the engine, since the send guard refused the attempt; [`SendRefusal`] lists the
    /// reasons.
    NotSent,
    /// No connection could be established.
    NotConnected,
    /// The connection broke before the last byte of the request was written.
    PartiallyWritten,
    /// The whole request was written; the attempt may have run.
    FullyWritten,
    /// The gateway stopped waiting; the attempt may have run or may still run.
    TimedOut,
}

/// The failure of an attempt: its progress and the cause.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptError {
    /// Progress of the attempt when it failed.
    pub progress: Progress,
    /// Description of the failure for the log.
    pub cause: String,
}

impl AttemptError {
    /// Creates an error from the progress of the attempt and the cause of its failure.
    pub fn new(progress: Progress, cause: impl fmt::Display) -> Self {
        Self { progress, cause: cause.to_string() }
    }
}

impl fmt::Display for AttemptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.progress, self.cause)
    }
}

impl std::error::Error for AttemptError {}

/// The reply of an engine to an attempt.
#[derive(Debug)]
pub enum Reply<S> {
    /// The prompt is read; the reader holds its state until a writer fetches it.
    Read {
        /// Number of prompt tokens found in the reader's prefix cache.
        cached_tokens: f64,
    },
    /// The answer as a stream of events.
    Events(S),
    /// The complete answer.
    Complete(Bytes),
    /// Rejected, with proof that the attempt never ran.
    Rejected {
        /// True if the writer found no state to fetch.
        no_state: bool,
    },
    /// The engine reports that the request is invalid; its answer is passed on to the client.
    InvalidRequest(Bytes),
    /// An error of the engine; the attempt may have run.
    Error,
}

/// A reply, the load report that was sent with it, and the time at which its connection was established.
#[derive(Debug)]
pub struct EngineReply<S> {
    /// The reply.
    pub reply: Reply<S>,
    /// The load that the engine reported; empty if it reported none.
    pub load: Load,
    /// Time at which the connection was established.
    pub connected_at: Instant,
}

/// A streamed answer: its chunks in order, then its end or an error.
pub trait EventStream: 'static {
    /// Polls for the next chunk; `None` once the answer is complete.
    fn poll_event(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, AttemptError>>>;

    /// Returns the time at which the last bytes of a chunk arrived that is still incomplete, and valid so far.
    /// `None` if there is no such chunk.
    fn last_bytes_of_incomplete_chunk(&self) -> Option<Instant> {
        None
    }
}

/// One attempt: a request to one engine.
pub struct Call<J> {
    /// Address of the engine, as listed in the roster.
    pub endpoint: Arc<str>,
    /// Id of the request.
    pub id: RequestId,
    /// The message to send, in the format of the engines.
    pub job: Rc<J>,
    /// Time until which the gateway waits for the answer.
    pub deadline: Instant,
    /// Checked right before the first byte is written, and notified when that byte is written.
    pub guard: SendGuard,
}

/// The core's interface to the engines.
pub trait Engines: 'static {
    /// A request in the format of the engines.
    type Job: 'static;
    /// A streamed answer.
    type Events: EventStream;

    /// Makes one attempt. Dropping the future cancels the attempt and closes its connection.
    fn call(
        &self,
        call: Call<Self::Job>,
    ) -> impl Future<Output = Result<EngineReply<Self::Events>, AttemptError>> + 'static;

    /// Releases all states that are held for a request. Any engine accepts this call, whichever engine holds
    /// the states.
    fn release(
        &self,
        endpoint: Arc<str>,
        id: RequestId,
    ) -> impl Future<Output = Result<(), AttemptError>> + 'static;

    /// Asks an engine for its load.
    fn probe(&self, endpoint: Arc<str>) -> impl Future<Output = Result<Load, AttemptError>> + 'static;

    /// Closes the idle connections and drops whatever else is kept for an endpoint. Called when the engine
    /// there has left the roster, has restarted or has moved to another endpoint. Calls in flight are
    /// not ended.
    fn close_idle_connections(&self, endpoint: &str);
}

/// The final answer of a request. Each request has exactly one.
pub enum Answer<S: EventStream> {
    /// Served as a stream of events.
    Events(Relay<S>),
    /// Served as a complete answer.
    Complete(Bytes),
    /// The engine reported that the request is invalid.
    InvalidRequest(Bytes),
    /// Refused: a retry is harmless.
    Refused {
        /// Recommended delay before a retry, in microseconds.
        retry_after: Micros,
    },
    /// Failed: it is unknown if a retry is harmless.
    Failed {
        /// True if the request failed at its deadline or shortly before it; false if it failed for another
        /// reason, such as the failure of an engine.
        timed_out: bool,
    },
}

impl<S: EventStream> fmt::Debug for Answer<S> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Events(_) => f.write_str("events"),
            Self::Complete(_) => f.write_str("whole"),
            Self::InvalidRequest(_) => f.write_str("faulty"),
            Self::Refused { retry_after } => write!(f, "refused retry_after={retry_after}"),
            Self::Failed { timed_out } => write!(f, "failed timed_out={timed_out}"),
        }
    }
}

impl<S: EventStream> Answer<S> {
    /// Copies the answer for another caller.
    fn copy_for_repeat(&self) -> Self {
        match self {
            Self::Complete(body) => Self::Complete(body.clone()),
            Self::InvalidRequest(body) => Self::InvalidRequest(body.clone()),
            Self::Refused { retry_after } => Self::Refused { retry_after: *retry_after },
            Self::Failed { timed_out } => Self::Failed { timed_out: *timed_out },
            // A streamed answer has only one receiver.
            Self::Events(_) => Self::Failed { timed_out: false },
        }
    }

    /// Approximate memory of the answer while it is retained, without its key, in bytes.
    fn retained_size(&self) -> usize {
        let overhead = 256;
        match self {
            Self::Complete(body) | Self::InvalidRequest(body) => overhead + body.len(),
            _ => overhead,
        }
    }
}
