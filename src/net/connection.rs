//! The state of one client connection: whether it carries a request, which bytes were read ahead of the HTTP
//! parser, how long it has been idle, and whether the client has disconnected.

use super::discard::DiscardBudget;
use super::eviction::ServeLimits;
use super::heads::{Framing, Heads};
use super::read_ahead::{ReadAhead, SEGMENT_BYTES};
use super::transport::{self, Received, is_closed_or_has_input};
use crate::gateway::{AttemptError, Progress};
use crate::memory::Memory;
use hyper::body::{Body, Frame, SizeHint};
use std::cell::{Cell, RefCell};
use std::fmt;
use std::future::poll_fn;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Sleep;

/// Delay before a body error closes the connection, so that
/// data already passed to hyper is written out first.
const WRITE_OUT_DELAY: Duration = Duration::from_millis(20);

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
    fn record_flushed(&self) {
        let flushed = self.unflushed_responses.take();
        if flushed > 0 {
            self.requests_in_progress.set(self.requests_in_progress.get() - flushed);
            self.last_activity.set(Instant::now());
        }
    }

    fn record_received(&self, bytes: &[u8]) {
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
}

impl Drop for RequestInProgress {
    fn drop(&mut self) {
        self.0.unflushed_responses.set(self.0.unflushed_responses.get() + 1);
    }
}

/// A response body; once it is dropped and written out the request on its connection has ended.
pub(super) struct ClientBody<B: Body> {
    body: B,
    /// An error that is still to be reported, and the timer that delays it.
    delayed_error: Option<(B::Error, Pin<Box<Sleep>>)>,
    disconnect: Pin<Box<dyn Future<Output = ClientDisconnected>>>,
    _request: RequestInProgress,
}

impl<B: Body> ClientBody<B> {
    pub(super) fn new(body: B, request: RequestInProgress) -> Self {
        let connection = request.0.clone();
        connection.unanswered_id.take();
        let disconnect = Box::pin(async move { connection.wait_for_disconnect().await });
        Self { body, delayed_error: None, disconnect, _request: request }
    }
}

impl<B: Body + Unpin> Body for ClientBody<B>
where
    B::Error: Unpin + From<ClientDisconnected>,
{
    type Data = B::Data;
    type Error = B::Error;

    /// Delays an error by a short time: on an error, hyper drops the connection
    /// with everything that was not written out, and data that was passed on
    /// just before, including the response head, would never reach the client.
    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        let this = self.get_mut();
        // The client has disconnected and reads no more. A body that is at its end may still be written.
        if !this.body.is_end_stream() && this.disconnect.as_mut().poll(context).is_ready() {
            return Poll::Ready(Some(Err(ClientDisconnected.into())));
        }
        if this.delayed_error.is_none() {
            match ready!(Pin::new(&mut this.body).poll_frame(context)) {
                Some(Err(error)) => {
                    this.delayed_error = Some((error, Box::pin(tokio::time::sleep(WRITE_OUT_DELAY))));
                }
                frame => return Poll::Ready(frame),
            }
        }
        if let Some((_, timer)) = &mut this.delayed_error {
            ready!(timer.as_mut().poll(context));
        }
        Poll::Ready(this.delayed_error.take().map(|(error, _)| Err(error)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The byte stream of a connection, which records what is received.
pub(super) struct ClientStream(pub(super) Rc<Connection>);

impl AsyncRead for ClientStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut read_ahead = self.0.read_ahead.borrow_mut();
        if !read_ahead.is_empty() {
            read_ahead.take(buffer);
            return Poll::Ready(Ok(()));
        }
        if self.0.read_ended.get() {
            return Poll::Ready(Ok(()));
        }
        if self.0.has_overflowed() {
            // What was discarded is missing. The connection closes after the response in progress.
            return Poll::Pending;
        }
        let filled_before = buffer.filled().len();
        let read = transport::poll_read(&self.0.stream, context, buffer);
        if buffer.filled().len() > filled_before {
            self.0.record_received(&buffer.filled()[filled_before..]);
        }
        read
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        transport::poll_write(&self.0.stream, context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        transport::poll_write_vectored(&self.0.stream, context, slices)
    }

    /// Returns true so that hyper queues the pieces of a response instead of copying them to a write buffer,
    /// which would keep the size of the largest response until the connection closes.
    fn is_write_vectored(&self) -> bool {
        true
    }

    /// Called by the HTTP library when it has written all that it had buffered.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.record_flushed();
        Poll::Ready(Ok(()))
    }

    /// Keeps the sending side open if requests were received that are still to be refused. Dropping the stream
    /// closes the connection.
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.0.heads.borrow().has_waiting_head() {
            return Poll::Ready(Ok(()));
        }
        Poll::Ready(transport::end_writing(&self.0.stream))
    }
}
