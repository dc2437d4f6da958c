//! The gateway's core: it drives the decision module and knows no wire.
//!
//! A request passes the stages `intake`, `admission`, `routing`, `dispatch`, `relay` and `accounting`, each a module of its
//! own; `driver` is the event loop that takes it through them. Engines are reached through [`Engines`], the roster through [`Changes`]; fronts hand
//! requests to a [`Gateway`] and wait for its [`Answer`].

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
mod tuning;

pub use admission::{Key, Limits};
pub use clock::Clock;
pub use driver::start;
pub use figures::{Fate, Figures, Handled};
pub use guard::{SendGuard, SendRefusal};
pub use handle::Gateway;
pub use intake::{Rejected, Submission, Ticket};
pub use invariants::{Invariant, Invariants};
pub use metrics::{Metrics, PREFIX};
pub use relay::{Departure, Relay};
pub use roster::{Change, Changes, Listed, News};
pub use tuning::Tuning;

use crate::interface::{Load, Micros, RequestId};
use bytes::Bytes;
use std::fmt;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::time::Instant;

/// How far an attempt had come when it was lost. Only the first three prove that it never ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Not sent, and the engine was not tried: its drain was told in the meantime, or the client has gone.
    Withdrawn,
    /// No connection came up.
    Unconnected,
    /// The connection broke before the request's last byte was written.
    Unwritten,
    /// All of the request was written; it may have run.
    Written,
    /// The gateway stopped waiting; it may have run or may yet.
    TimedOut,
}

/// An attempt that brought no answer: how far it had come and why it ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptError {
    /// How far it had come.
    pub progress: Progress,
    /// What was seen, for the log.
    pub cause: String,
}

impl AttemptError {
    /// An error of that progress.
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

/// What an engine answered.
#[derive(Debug)]
pub enum Reply<S> {
    /// The prompt is read; its state waits at the reader.
    Read {
        /// Prompt tokens that the reader had kept.
        cached_tokens: f64,
    },
    /// The answer, as it is made.
    Events(S),
    /// The answer in one piece.
    Whole(Bytes),
    /// Turned away with proof that it never ran.
    Declined {
        /// Whether it was because there was no state to fetch.
        no_state: bool,
    },
    /// The engine says that the request itself is at fault; the answer is passed on.
    Faulty(Bytes),
    /// An error; it may have run.
    Error,
}

/// A reply with the load report that came with it.
#[derive(Debug)]
pub struct Replied<S> {
    /// The answer.
    pub reply: Reply<S>,
    /// The engine's report, if any.
    pub load: Load,
    /// Since when the connection that it came over has been open.
    pub connected: Instant,
}

/// A running answer: its pieces in order, then its end or how it broke.
pub trait EventStream: 'static {
    /// The next piece; `None` once the answer is whole.
    fn poll_event(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, AttemptError>>>;
}

/// One request to one engine.
pub struct Call<J> {
    /// Where the engine listens, as the roster told it.
    pub endpoint: Arc<str>,
    /// Which request.
    pub id: RequestId,
    /// What to send, in the engines' own terms.
    pub job: Rc<J>,
    /// Until when the gateway will wait.
    pub deadline: Instant,
    /// Asked again right before the first byte is written, and told when it is.
    pub guard: SendGuard,
}

/// The engines as the core sees them.
pub trait Engines: 'static {
    /// A request in their own terms.
    type Job: 'static;
    /// A running answer.
    type Events: EventStream;

    /// Makes one attempt; dropping the future gives it up and closes its connection.
    fn call(
        &self,
        call: Call<Self::Job>,
    ) -> impl Future<Output = Result<Replied<Self::Events>, AttemptError>> + 'static;

    /// Lets go of all that is held for a request; any engine takes the call.
    fn release(
        &self,
        endpoint: Arc<str>,
        id: RequestId,
    ) -> impl Future<Output = Result<(), AttemptError>> + 'static;

    /// Asks an engine for its load.
    fn probe(&self, endpoint: Arc<str>) -> impl Future<Output = Result<Load, AttemptError>> + 'static;

    /// The engine at the endpoint is gone: nothing is kept for it.
    fn forget(&self, endpoint: &str);
}

/// A request's one final answer.
pub enum Answer<S: EventStream> {
    /// Served: the events as they come.
    Events(Relay<S>),
    /// Served in one piece.
    Whole(Bytes),
    /// The engine found the request at fault.
    Faulty(Bytes),
    /// Refused: trying again is harmless, best after the span.
    Refused {
        /// When to come back.
        retry_after: Micros,
    },
    /// Failed: nothing is promised.
    Failed {
        /// Whether the time ran out, rather than an engine failing.
        timed_out: bool,
    },
}

impl<S: EventStream> fmt::Debug for Answer<S> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Events(_) => f.write_str("events"),
            Self::Whole(_) => f.write_str("whole"),
            Self::Faulty(_) => f.write_str("faulty"),
            Self::Refused { retry_after } => write!(f, "refused retry_after={retry_after}"),
            Self::Failed { timed_out } => write!(f, "failed timed_out={timed_out}"),
        }
    }
}

impl<S: EventStream> Answer<S> {
    /// The same answer for another caller.
    fn again(&self) -> Self {
        match self {
            Self::Whole(body) => Self::Whole(body.clone()),
            Self::Faulty(body) => Self::Faulty(body.clone()),
            Self::Refused { retry_after } => Self::Refused { retry_after: *retry_after },
            Self::Failed { timed_out } => Self::Failed { timed_out: *timed_out },
            // A running answer has one reader.
            Self::Events(_) => Self::Failed { timed_out: false },
        }
    }

    /// About how much memory it takes to keep.
    fn size(&self) -> usize {
        let overhead = 256;
        match self {
            Self::Whole(body) | Self::Faulty(body) => overhead + body.len(),
            _ => overhead,
        }
    }
}
