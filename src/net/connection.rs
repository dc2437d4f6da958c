//! The state of one client's connection: whether it carries a request, what came ahead of the parser, how long it has been
//! quiet, and whether its client has gone.

use super::eviction::ServeLimits;
use super::heads::{Framing, Heads};
use super::transport::{self, is_stale};
use crate::gateway::{AttemptError, Progress};
use bytes::BytesMut;
use hyper::body::{Body, Frame, SizeHint};
use std::cell::{Cell, RefCell};
use std::fmt;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Sleep;

/// How long what was handed on may take to be written out before a break ends the connection.
const WRITE_OUT: Duration = Duration::from_millis(20);

/// Bytes that are read at a time while a client waits for its answer.
const READ_AHEAD: usize = 2 << 10;
/// How often the poller is asked whether a client has gone that sends more than is read ahead.
const ASK_EVERY: Duration = Duration::from_millis(50);

/// The client has closed its connection, or its sending on it, or reset it: no answer is owed any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ClientGone;

impl fmt::Display for ClientGone {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the client has gone")
    }
}

impl std::error::Error for ClientGone {}

impl From<ClientGone> for AttemptError {
    fn from(gone: ClientGone) -> Self {
        Self::new(Progress::Written, gone)
    }
}

/// One connection.
pub(super) struct Connection {
    pub(super) stream: Rc<TcpStream>,
    heads: RefCell<Heads>,
    /// What has come behind the request that is being answered, for the parser to read after it.
    ahead: RefCell<BytesMut>,
    /// Room that is left for that on all connections.
    ahead_room: Rc<Cell<usize>>,
    /// Whether the client's sending has come to its end.
    ended: Cell<bool>,
    /// Requests that are being answered.
    answering: Cell<usize>,
    /// The id of the one that has no answer yet.
    unanswered: RefCell<Option<Rc<str>>>,
    /// Whether one was.
    used: Cell<bool>,
    /// When the last byte came or the last answer ended.
    quiet_since: Cell<Instant>,
    /// When the request that is coming began.
    begun: Cell<Instant>,
    /// Whether it was asked to close.
    leaving: Cell<bool>,
    /// Whether another connection waits for its place.
    awaited: Cell<bool>,
    close: Notify,
}

impl Connection {
    pub(super) fn new(stream: Rc<TcpStream>, ahead_room: Rc<Cell<usize>>) -> Self {
        let now = Instant::now();
        Self {
            stream,
            heads: RefCell::default(),
            ahead: RefCell::default(),
            ahead_room,
            ended: Cell::new(false),
            answering: Cell::new(0),
            unanswered: RefCell::default(),
            used: Cell::new(false),
            quiet_since: Cell::new(now),
            begun: Cell::new(now),
            leaving: Cell::new(false),
            awaited: Cell::new(false),
            close: Notify::new(),
        }
    }

    /// Waits until the connection is to be closed.
    pub(super) async fn asked_to_close(&self) {
        self.close.notified().await;
    }

    /// The framing of the request that is handed over next.
    pub(super) fn next_framing(&self) -> Framing {
        // A head that was not seen whole cannot be vouched for.
        self.heads.borrow_mut().next().unwrap_or(Framing::Both)
    }

    /// Whether a request has begun to come, and has not ended.
    pub(super) fn in_request(&self) -> bool {
        self.heads.borrow().in_request()
    }

    /// Whether a request is being answered on it.
    pub(super) fn is_answering(&self) -> bool {
        self.answering.get() > 0
    }

    /// The id of a request that was read and has no answer yet, unless its client has gone.
    pub(super) fn unanswered(&self) -> Option<Rc<str>> {
        self.unanswered.borrow().clone().filter(|_| !self.ended.get())
    }

    /// Whether a request was ever answered on it.
    pub(super) fn is_used(&self) -> bool {
        self.used.get()
    }

    /// Whether something has come that was not read yet, or the other side has closed.
    pub(super) fn has_news(&self) -> bool {
        self.ended.get() || !self.ahead.borrow().is_empty() || is_stale(&self.stream)
    }

    /// Waits until the client has gone. The parser reads nothing more while a request is being answered and
    /// something waits behind it, so what comes is read here, and kept for the parser.
    pub(super) async fn client_gone(&self) -> ClientGone {
        while !self.ended.get() {
            if self.ahead_room.get() >= READ_AHEAD {
                poll_fn(|context| self.poll_ahead(context)).await;
            } else {
                // The end stands behind what is not read: only the poller tells of it.
                let ready = self.stream.ready(Interest::READABLE).await;
                self.ended.set(ready.is_ok_and(|ready| ready.is_read_closed()));
                if !self.ended.get() {
                    tokio::time::sleep(ASK_EVERY).await;
                }
            }
        }
        ClientGone
    }

    /// Reads on ahead of the parser; ready once something has come, or the end.
    fn poll_ahead(&self, context: &mut Context<'_>) -> Poll<()> {
        let mut bytes = [0; READ_AHEAD];
        let mut buffer = ReadBuf::new(&mut bytes);
        let read = ready!(transport::poll_read(&self.stream, context, &mut buffer));
        if read.is_err() || buffer.filled().is_empty() {
            self.ended.set(true);
        } else {
            self.came(buffer.filled());
            self.ahead_room.set(self.ahead_room.get().saturating_sub(buffer.filled().len()));
            self.ahead.borrow_mut().extend_from_slice(buffer.filled());
        }
        Poll::Ready(())
    }

    /// Whether it was asked to close, or closes by itself.
    pub(super) fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// It closes by itself from now on, and makes room for nothing more.
    pub(super) fn leave(&self) {
        self.leaving.set(true);
    }

    pub(super) fn ask_to_close(&self) {
        self.leaving.set(true);
        self.close.notify_one();
    }

    /// Has it closed so that another can have its place at once.
    pub(super) fn make_way(&self) {
        self.awaited.set(true);
        self.ask_to_close();
    }

    /// Whether another connection waits for its place: it must not linger.
    pub(super) fn is_awaited(&self) -> bool {
        self.awaited.get()
    }

    /// Stays, since something came in the last moment.
    pub(super) fn stay(&self) {
        self.leaving.set(false);
        self.awaited.set(false);
    }

    /// How long it has been quiet, if no request is open on it.
    pub(super) fn quiet(&self) -> Option<Duration> {
        (!self.leaving.get() && self.answering.get() == 0).then(|| self.quiet_since.get().elapsed())
    }

    pub(super) fn is_overdue(&self, limits: &ServeLimits) -> bool {
        let Some(quiet) = self.quiet() else { return false };
        if self.in_request() {
            return quiet >= limits.stall || self.begun.get().elapsed() >= limits.head;
        }
        quiet >= if self.used.get() { limits.idle } else { limits.stall }
    }

    fn came(&self, bytes: &[u8]) {
        let now = Instant::now();
        let mut heads = self.heads.borrow_mut();
        if !heads.in_request() {
            self.begun.set(now);
        }
        heads.push(bytes);
        self.quiet_since.set(now);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.ahead_room.set(self.ahead_room.get() + self.ahead.borrow().len());
    }
}

/// A request that is being answered on a connection.
pub(super) struct RequestInHand(Rc<Connection>);

impl RequestInHand {
    /// A request of that id on that connection.
    pub(super) fn new(connection: Rc<Connection>, id: &str) -> Self {
        connection.answering.set(connection.answering.get() + 1);
        connection.used.set(true);
        connection.unanswered.replace(Some(Rc::from(id)));
        Self(connection)
    }
}

impl Drop for RequestInHand {
    fn drop(&mut self) {
        self.0.answering.set(self.0.answering.get() - 1);
        self.0.quiet_since.set(Instant::now());
    }
}

/// An answer's body, with which the request's time on the connection ends.
pub(super) struct ClientBody<B: Body> {
    body: B,
    /// A break that is still to be told, and when.
    broken: Option<(B::Error, Pin<Box<Sleep>>)>,
    gone: Pin<Box<dyn Future<Output = ClientGone>>>,
    _answering: RequestInHand,
}

impl<B: Body> ClientBody<B> {
    pub(super) fn new(body: B, answering: RequestInHand) -> Self {
        let connection = answering.0.clone();
        connection.unanswered.take();
        let gone = Box::pin(async move { connection.client_gone().await });
        Self { body, broken: None, gone, _answering: answering }
    }
}

impl<B: Body + Unpin> Body for ClientBody<B>
where
    B::Error: Unpin + From<ClientGone>,
{
    type Data = B::Data;
    type Error = B::Error;

    /// A break is told a little late: the connection is dropped on it with all that was not written out, and
    /// what was handed on just before, the head included, would never reach the client.
    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        let marked = self.get_mut();
        // Nobody reads the answer any more. One whose end is at hand may still be written.
        if !marked.body.is_end_stream() && marked.gone.as_mut().poll(context).is_ready() {
            return Poll::Ready(Some(Err(ClientGone.into())));
        }
        if marked.broken.is_none() {
            match ready!(Pin::new(&mut marked.body).poll_frame(context)) {
                Some(Err(error)) => {
                    marked.broken = Some((error, Box::pin(tokio::time::sleep(WRITE_OUT))));
                }
                frame => return Poll::Ready(frame),
            }
        }
        if let Some((_, due)) = &mut marked.broken {
            ready!(due.as_mut().poll(context));
        }
        Poll::Ready(marked.broken.take().map(|(error, _)| Err(error)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A connection's bytes, with what has come noted.
pub(super) struct ClientStream(pub(super) Rc<Connection>);

impl AsyncRead for ClientStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut ahead = self.0.ahead.borrow_mut();
        if !ahead.is_empty() {
            let here = ahead.len().min(buffer.remaining());
            buffer.put_slice(&ahead.split_to(here));
            self.0.ahead_room.set(self.0.ahead_room.get() + here);
            return Poll::Ready(Ok(()));
        }
        if self.0.ended.get() {
            return Poll::Ready(Ok(()));
        }
        let before = buffer.filled().len();
        let read = transport::poll_read(&self.0.stream, context, buffer);
        if buffer.filled().len() > before {
            self.0.came(&buffer.filled()[before..]);
        }
        read
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        transport::poll_write(&self.0.stream, context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(transport::end_writing(&self.0.stream))
    }
}
