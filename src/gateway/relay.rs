//! Fifth stage: relays a streamed answer to its client, chunk by chunk and unchanged.

use super::{AttemptError, EventStream, Progress};
use bytes::{Bytes, BytesMut};
use std::cell::Cell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::time::{Instant, Sleep};

/// How a relayed answer ended.
#[derive(Debug)]
pub(super) enum RelayEnd {
    /// The last chunk was passed on.
    Complete,
    /// The connection to the engine broke, or the engine sent nothing for too long.
    Broken(AttemptError),
    /// The client disconnected.
    ClientGone,
    /// The gateway shuts down, and the client resumes the answer at another gateway.
    HandedOff,
}

/// The shutdown schedule of the core.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownSchedule {
    /// Time from which no further request is accepted, since its answer could still be streaming when the
    /// process is killed. `None` if requests are accepted until the end.
    pub accept_until: Option<Instant>,
    /// Time by which every request has its final answer.
    pub answer_deadline: Instant,
    /// Start time and duration of the period in which streamed answers are handed off, where clients resume
    /// them at another gateway. The oldest answers are ended first: most answers are short, so those that
    /// began last are the likeliest to end by themselves. If `None`, the shutdown ends no streamed answer: a
    /// slow engine cannot be told from one that hangs, and its client would lose the rest.
    pub hand_off: Option<(Instant, Duration)>,
}

/// Age from which an answer is handed off at the start of the period. A younger answer gets a share of the
/// period in which to end by itself.
const OLD_ANSWER_AGE: Duration = Duration::from_secs(10);
/// Maximum interval at which an answer is checked while no event arrives. An engine that hangs sends no event,
/// so without this check its answer would stay open until the process is killed.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two polls after which it is unknown how long the engine has been silent: the client did not
/// read, or the process was held up.
const MAX_POLL_GAP: Duration = Duration::from_millis(120);
/// Time after such a gap in which events that have arrived meanwhile can be received.
const RECEIVE_TIME: Duration = Duration::from_millis(10);
/// Maximum time without a byte within an event whose engine still writes it, beyond the maximum time without an
/// event.
const MAX_GAP_WITHIN_EVENT: Duration = Duration::from_secs(1);
/// Maximum time between two events, however steadily the bytes of the second arrive.
const MAX_EVENT_DURATION: Duration = Duration::from_secs(30);
/// Maximum number of bytes read from an answer that is due to be handed off, to find out if its engine has
/// finished.
const MAX_REMAINDER_BYTES: usize = 64 << 10;

impl ShutdownSchedule {
    /// Returns the time at which an answer is to be handed off, given when it began. `None` if the gateway
    /// waits for the answer to end by itself.
    fn due(&self, started_at: Instant) -> Option<Instant> {
        let (start, duration) = self.hand_off?;
        let age = start.saturating_duration_since(started_at);
        Some(start + duration.mul_f64(1.0 - (age.as_secs_f64() / OLD_ANSWER_AGE.as_secs_f64()).min(1.0)))
    }
}

/// The shutdown schedule, shared by all parts of the core; `None` until a shutdown is requested.
pub(super) type ShutdownState = Rc<Cell<Option<ShutdownSchedule>>>;

type EndCallback = Box<dyn FnOnce(RelayEnd)>;

/// A streamed answer. Dropping the relay before the end closes the connection to the engine.
pub struct Relay<S: EventStream> {
    first_chunk: Option<Bytes>,
    events: Option<S>,
    max_silence: Duration,
    idle_check: Pin<Box<Sleep>>,
    started_at: Instant,
    last_event_at: Instant,
    /// Time at which the engine counts as hanging if no event arrives until then.
    silence_end: Instant,
    last_polled_at: Instant,
    shutdown: ShutdownState,
    on_end: Option<EndCallback>,
}

impl<S: EventStream> Relay<S> {
    pub(super) fn new(
        first_chunk: Option<Bytes>,
        events: S,
        max_silence: Duration,
        shutdown: ShutdownState,
        on_end: EndCallback,
    ) -> Self {
        let idle_check = Box::pin(tokio::time::sleep(IDLE_CHECK_INTERVAL));
        let (started_at, on_end) = (Instant::now(), Some(on_end));
        Self {
            first_chunk,
            events: Some(events),
            max_silence,
            idle_check,
            started_at,
            last_event_at: started_at,
            silence_end: started_at + max_silence,
            last_polled_at: started_at,
            shutdown,
            on_end,
        }
    }

    /// Extends the silence that is allowed if events may have arrived that could not be received yet. Called
    /// at each poll.
    fn allow_for_poll_gap(&mut self, now: Instant) {
        let poll_gap = now - std::mem::replace(&mut self.last_polled_at, now);
        if poll_gap > MAX_POLL_GAP {
            self.silence_end = self.silence_end.max(now + RECEIVE_TIME);
        }
    }

    /// Returns true if the engine counts as hanging. It does not while it is still writing an event.
    fn is_silent_for_too_long(&mut self, now: Instant) -> bool {
        let incomplete_chunk = || self.events.as_ref()?.last_bytes_of_incomplete_chunk();
        if self.silence_end <= now
            && let Some(last_bytes_at) = incomplete_chunk()
        {
            let latest_end = self.last_event_at + MAX_EVENT_DURATION;
            self.silence_end = self.silence_end.max((last_bytes_at + MAX_GAP_WITHIN_EVENT).min(latest_end));
        }
        self.silence_end <= now
    }

    fn finish(&mut self, end: RelayEnd) {
        self.events = None;
        if let Some(on_end) = self.on_end.take() {
            on_end(end);
        }
    }

    fn hand_off(&mut self) -> Poll<Option<Result<Bytes, AttemptError>>> {
        self.finish(RelayEnd::HandedOff);
        Poll::Ready(Some(Err(AttemptError::new(
            Progress::FullyWritten,
            "ended by the shutdown of the gateway",
        ))))
    }

    /// Ends an answer that is due to be handed off. If the engine has already finished and only the client
    /// reads slowly, passes on the rest of the answer at once; otherwise hands the answer off.
    fn finish_or_hand_off(
        &mut self,
        chunk: &[u8],
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, AttemptError>>> {
        let mut remainder = BytesMut::from(chunk);
        while let Some(events) = &mut self.events
            && remainder.len() <= MAX_REMAINDER_BYTES
        {
            match events.poll_event(context) {
                Poll::Ready(Some(Ok(chunk))) => remainder.extend_from_slice(&chunk),
                Poll::Ready(None) => {
                    self.finish(RelayEnd::Complete);
                    return Poll::Ready(Some(Ok(remainder.freeze())));
                }
                Poll::Ready(Some(Err(_))) | Poll::Pending => break,
            }
        }
        self.hand_off()
    }

    /// Polls for the next chunk; `None` once the answer is complete, an error if it cannot be completed.
    pub fn poll_chunk(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, AttemptError>>> {
        if let Some(first_chunk) = self.first_chunk.take() {
            return Poll::Ready(Some(Ok(first_chunk)));
        }
        loop {
            let now = Instant::now();
            self.allow_for_poll_gap(now);
            let Some(events) = &mut self.events else { return Poll::Ready(None) };
            let due = self.shutdown.get().and_then(|schedule| schedule.due(self.started_at));
            match events.poll_event(context) {
                Poll::Pending if due.is_some_and(|due| due <= now) => return self.hand_off(),
                Poll::Ready(Some(Ok(chunk))) if due.is_some_and(|due| due <= now) => {
                    return self.finish_or_hand_off(&chunk, context);
                }
                Poll::Ready(Some(Ok(chunk))) => {
                    self.last_event_at = now;
                    self.silence_end = now + self.max_silence;
                    self.idle_check.as_mut().reset(now + IDLE_CHECK_INTERVAL);
                    return Poll::Ready(Some(Ok(chunk)));
                }
                Poll::Ready(Some(Err(error))) => {
                    self.finish(RelayEnd::Broken(error.clone()));
                    return Poll::Ready(Some(Err(error)));
                }
                Poll::Ready(None) => {
                    self.finish(RelayEnd::Complete);
                    return Poll::Ready(None);
                }
                Poll::Pending if self.is_silent_for_too_long(now) => {
                    let error =
                        AttemptError::new(Progress::TimedOut, "the engine stopped sending within its answer");
                    self.finish(RelayEnd::Broken(error.clone()));
                    return Poll::Ready(Some(Err(error)));
                }
                Poll::Pending => {}
            }
            ready!(self.idle_check.as_mut().poll(context));
            self.idle_check.as_mut().reset((now + IDLE_CHECK_INTERVAL).min(self.silence_end));
        }
    }
}

impl<S: EventStream> Drop for Relay<S> {
    fn drop(&mut self) {
        self.finish(RelayEnd::ClientGone);
    }
}
