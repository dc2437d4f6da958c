//! The state of one client connection: whether it carries a request, which bytes were read ahead of the HTTP
//! parser, how long it has been idle, and whether the client has disconnected.

use super::discard::DiscardBudget;
use super::heads::{Framing, Heads};
use super::limits::ServeLimits;
use super::read_ahead::{ReadAhead, SEGMENT_BYTES};
use super::transport::{self, Received, is_closed_or_has_input};
use crate::gateway::{AttemptError, Progress};
use crate::memory::Memory;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::future::poll_fn;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};
use tokio::io::{Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Interval at which a connection is checked for a disconnect while nothing is read ahead.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Size of the buffer for bytes that are discarded.
const DISCARD_BUFFER_BYTES: usize = 16 << 10;
/// Maximum number of reads after the last response, so that a client that goes on sending does not delay the close.
const MAX_FINAL_READS: usize = 16;
/// Maximum number of bytes that are discarded on one connection: more than the system buffers between two
/// sockets, so that the end of the stream of a client that has left is found behind them.
const MAX_DISCARDED_BYTES: usize = 32 << 20;

/// The client has closed or reset its connection, or has
/// shut down its sending side: no response is owed any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ClientDisconnected;

impl fmt::Display for ClientDisconnected {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("client disconnected")
    }
}

impl std::error::Error for ClientDisconnected {}

impl From<ClientDisconnected> for AttemptError {
    fn from(cause: ClientDisconnected) -> Self {
        Self::new(Progress::FullyWritten, cause)
    }
}

/// The outcome of reading ahead of the parser.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadAheadOutcome {
    /// Received bytes were stored for the parser.
    Received,
    /// Received bytes were discarded.
    Discarded,
    /// The client has shut down its sending side, or the connection has failed.
    ClientDisconnected,
    /// Nothing may be read now. This tells nothing about the client.
    NotRead,
}

/// One client connection.
pub(super) struct Connection {
    pub(super) stream: Rc<TcpStream>,
    heads: RefCell<Heads>,
    /// Bytes received after the request in progress, which the parser reads once that request is finished.
    read_ahead: RefCell<ReadAhead>,
    /// True once the client has shut down its sending side or the connection has failed.
    read_ended: Cell<bool>,
    /// True once more was received behind a request than may wait for the parser. The requests behind it are
    /// refused.
    overflowed: Cell<bool>,
    overflow: Notify,
    discarded_bytes: Cell<usize>,
    discard_budget: Rc<DiscardBudget>,
    /// Number of requests that are being answered: their response is not yet written to the socket completely.
    requests_in_progress: Cell<usize>,
    /// Number of these requests whose response was passed on to the HTTP library completely.
    unflushed_responses: Cell<usize>,
    /// The id of the request that has no response yet.
    unanswered_id: RefCell<Option<Rc<str>>>,
    /// True once the head of a request has been received on this connection.
    has_received_request: Cell<bool>,
    /// Time of the last received byte or the end of the last response.
    last_activity: Cell<Instant>,
    /// Time at which the request that is being received started.
    request_started: Cell<Instant>,
    /// True if the connection was asked to close or is closing on its own.
    closing: Cell<bool>,
    /// True if another connection waits for the slot of this one.
    slot_awaited: Cell<bool>,
    close_request: Notify,
}

impl Connection {
    pub(super) fn new(stream: Rc<TcpStream>, memory: Arc<Memory>, discard_budget: Rc<DiscardBudget>) -> Self {
        let now = Instant::now();
        Self {
            stream,
            heads: RefCell::default(),
            read_ahead: RefCell::new(ReadAhead::new(memory)),
            read_ended: Cell::new(false),
            overflowed: Cell::new(false),
            overflow: Notify::new(),
            discarded_bytes: Cell::new(0),
            discard_budget,
            requests_in_progress: Cell::new(0),
            unflushed_responses: Cell::new(0),
            unanswered_id: RefCell::default(),
            has_received_request: Cell::new(false),
            last_activity: Cell::new(now),
            request_started: Cell::new(now),
            closing: Cell::new(false),
            slot_awaited: Cell::new(false),
            close_request: Notify::new(),
        }
    }

    /// Waits until the connection is asked to close.
    pub(super) async fn wait_for_close_request(&self) {
        self.close_request.notified().await;
    }

    /// Waits until more was received behind a request than may wait for the parser.
    pub(super) async fn wait_for_overflow(&self) {
        self.overflow.notified().await;
    }

    /// Returns the budget for bytes that are received only to be discarded.
    pub(super) fn discard_budget(&self) -> &DiscardBudget {
        &self.discard_budget
    }

    /// Returns true once more was received behind a request than may wait for the parser.
    pub(super) fn has_overflowed(&self) -> bool {
        self.overflowed.get()
    }

    /// Reads what has arrived, and returns the number of requests that were received completely but not passed on
    /// by the parser. None of them is counted again.
    pub(super) fn take_waiting_requests(&self) -> usize {
        let mut bytes = [0; DISCARD_BUFFER_BYTES];
        for _ in 0..MAX_FINAL_READS {
            if !self.discard_budget.is_available(Instant::now()) {
                break;
            }
            let Ok(count @ 1..) = self.stream.try_read(&mut bytes) else { break };
            self.record_received(&bytes[..count]);
            self.discard_budget.record(count);
        }
        self.heads.borrow_mut().take_waiting_requests()
    }

    /// Moves bytes that were read ahead to the parser's buffer. Returns false if there are none.
    pub(super) fn take_read_ahead(&self, buffer: &mut ReadBuf<'_>) -> bool {
        let mut read_ahead = self.read_ahead.borrow_mut();
        let has_bytes = !read_ahead.is_empty();
        read_ahead.take(buffer);
        has_bytes
    }

    /// Returns true once the client has shut down its sending side or the connection has failed.
    pub(super) fn has_read_ended(&self) -> bool {
        self.read_ended.get()
    }

    /// Returns true if the head of a request was received that the parser has not passed on.
    pub(super) fn has_waiting_request(&self) -> bool {
        self.heads.borrow().has_waiting_head()
    }

    /// Records that the request that was passed on last has a response.
    pub(super) fn mark_response_begun(&self) {
        self.unanswered_id.take();
    }

    /// Returns the framing of the request that the parser passes on next.
    pub(super) fn next_framing(&self) -> Framing {
        // A head that was not seen completely may contain both a length and a transfer encoding.
        self.heads.borrow_mut().next().unwrap_or(Framing::Both)
    }

    /// Returns true while a request has been received in part.
    pub(super) fn in_request(&self) -> bool {
        self.heads.borrow().in_request()
    }

    /// Returns true while a request is being answered on this connection.
    pub(super) fn is_answering(&self) -> bool {
        self.requests_in_progress.get() > 0
    }

    /// Returns the id of a request that was read and has no response yet, unless the client has disconnected.
    pub(super) fn unanswered_request_id(&self) -> Option<Rc<str>> {
        self.unanswered_id.borrow().clone().filter(|_| !self.read_ended.get())
    }

    /// Returns true if the head of a request was ever received on this connection.
    pub(super) fn has_received_request(&self) -> bool {
        self.has_received_request.get()
    }

    /// Returns true if received bytes are still unread or the client has closed the connection.
    pub(super) fn has_unread_input(&self) -> bool {
        self.read_ended.get() || !self.read_ahead.borrow().is_empty() || is_closed_or_has_input(&self.stream)
    }

    /// Waits until the client has disconnected. While a request is being
    /// answered and further bytes wait behind it, the parser reads nothing
    /// more, so this method reads those bytes and keeps them for the parser.
    pub(super) async fn wait_for_disconnect(&self) -> ClientDisconnected {
        loop {
            match poll_fn(|context| self.poll_read_ahead(context)).await {
                ReadAheadOutcome::Received => {}
                // A client that sends at full speed must not keep all others waiting.
                ReadAheadOutcome::Discarded => tokio::task::yield_now().await,
                ReadAheadOutcome::ClientDisconnected => return ClientDisconnected,
                ReadAheadOutcome::NotRead => {
                    // The end of the stream stands behind unread bytes, so only the poller can report it.
                    let ready = self.stream.ready(Interest::READABLE).await;
                    self.read_ended.set(ready.is_ok_and(|ready| ready.is_read_closed()));
                    if !self.read_ended.get() {
                        tokio::time::sleep(DISCONNECT_CHECK_INTERVAL).await;
                    }
                }
            }
        }
    }

    /// Reads ahead of the parser, once the request in progress has been received completely. Until then the
    /// parser reads, in the task that polls this method too, and detects the end of the stream itself.
    fn poll_read_ahead(&self, context: &mut Context<'_>) -> Poll<ReadAheadOutcome> {
        if self.read_ended.get() {
            return Poll::Ready(ReadAheadOutcome::ClientDisconnected);
        }
        if self.heads.borrow().is_body_incomplete() {
            return Poll::Pending;
        }
        if self.overflowed.get() {
            return self.poll_discard(context);
        }
        let mut read_ahead = self.read_ahead.borrow_mut();
        let Some(room) = read_ahead.room() else {
            if self.heads.borrow().is_end_unknown() {
                // The bytes may belong to the request in progress.
                return Poll::Ready(ReadAheadOutcome::NotRead);
            }
            read_ahead.clear();
            self.overflowed.set(true);
            self.overflow.notify_one();
            return self.poll_discard(context);
        };
        let mut bytes = [0; SEGMENT_BYTES];
        let mut buffer = ReadBuf::new(&mut bytes[..room.get()]);
        let outcome = ready!(self.poll_receive(context, &mut buffer));
        read_ahead.push(buffer.filled());
        Poll::Ready(outcome)
    }

    /// Discards what was received behind the request in progress, so that the end of the stream is found however
    /// much a client has sent before it left.
    fn poll_discard(&self, context: &mut Context<'_>) -> Poll<ReadAheadOutcome> {
        if self.discarded_bytes.get() > MAX_DISCARDED_BYTES
            || !self.discard_budget.is_available(Instant::now())
        {
            return Poll::Ready(ReadAheadOutcome::NotRead);
        }
        let mut bytes = [0; DISCARD_BUFFER_BYTES];
        let mut buffer = ReadBuf::new(&mut bytes);
        let outcome = match ready!(self.poll_receive(context, &mut buffer)) {
            ReadAheadOutcome::Received => ReadAheadOutcome::Discarded,
            outcome => outcome,
        };
        self.discarded_bytes.set(self.discarded_bytes.get() + buffer.filled().len());
        self.discard_budget.record(buffer.filled().len());
        Poll::Ready(outcome)
    }

    /// Receives bytes into an empty buffer and records them, or the end of the stream.
    fn poll_receive(&self, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<ReadAheadOutcome> {
        if let Ok(Received::Bytes) = ready!(transport::poll_receive(&self.stream, context, buffer)) {
            self.record_received(buffer.filled());
            return Poll::Ready(ReadAheadOutcome::Received);
        }
        self.read_ended.set(true);
        Poll::Ready(ReadAheadOutcome::ClientDisconnected)
    }

    /// Returns true if the connection was asked to close or is closing on its own.
    pub(super) fn is_closing(&self) -> bool {
        self.closing.get()
    }

    /// Marks the connection as closing on its own, so that it is not chosen to make room for another.
    pub(super) fn mark_closing(&self) {
        self.closing.set(true);
    }

    pub(super) fn request_close(&self) {
        self.closing.set(true);
        self.close_request.notify_one();
    }

    /// Asks the connection to close so that a waiting connection can take its slot at once.
    pub(super) fn request_close_for_new_connection(&self) {
        self.slot_awaited.set(true);
        self.request_close();
    }

    /// Returns true if another connection waits for this slot: the connection must not linger.
    pub(super) fn is_slot_awaited(&self) -> bool {
        self.slot_awaited.get()
    }

    /// Cancels a close, since bytes arrived just before it.
    pub(super) fn cancel_close(&self) {
        self.closing.set(false);
        self.slot_awaited.set(false);
    }

    /// Returns how long the connection has been idle, or `None`
    /// if a request is being answered or the connection is closing.
    pub(super) fn idle_time(&self) -> Option<Duration> {
        (!self.closing.get() && self.requests_in_progress.get() == 0)
            .then(|| self.last_activity.get().elapsed())
    }

    pub(super) fn is_overdue(&self, limits: &ServeLimits) -> bool {
        let Some(idle_time) = self.idle_time() else { return false };
        if self.in_request() {
            return idle_time >= limits.stall_timeout
                || self.request_started.get().elapsed() >= limits.head_timeout;
        }
        idle_time >= if self.has_received_request.get() { limits.idle_timeout } else { limits.stall_timeout }
    }

    /// Records that all that was passed on to the HTTP library is written to the socket.
    pub(super) fn record_flushed(&self) {
        let flushed = self.unflushed_responses.take();
        if flushed > 0 {
            self.requests_in_progress.set(self.requests_in_progress.get() - flushed);
            self.last_activity.set(Instant::now());
        }
    }

    pub(super) fn record_received(&self, bytes: &[u8]) {
        let now = Instant::now();
        let mut heads = self.heads.borrow_mut();
        if !heads.in_request() {
            self.request_started.set(now);
        }
        heads.push(bytes);
        self.last_activity.set(now);
    }
}

/// A request that is being answered on a connection. It is in progress until it is dropped and what was passed on
/// to the HTTP library by then is written to the socket: a client that reads slowly still gets its response.
pub(super) struct RequestInProgress(Rc<Connection>);

impl RequestInProgress {
    /// Registers a request with the given id on the connection.
    pub(super) fn new(connection: Rc<Connection>, id: &str) -> Self {
        connection.requests_in_progress.set(connection.requests_in_progress.get() + 1);
        connection.has_received_request.set(true);
        connection.unanswered_id.replace(Some(Rc::from(id)));
        Self(connection)
    }

    /// Returns the connection of the request.
    pub(super) fn connection(&self) -> Rc<Connection> {
        self.0.clone()
    }
}

impl Drop for RequestInProgress {
    fn drop(&mut self) {
        self.0.unflushed_responses.set(self.0.unflushed_responses.get() + 1);
    }
}
