//! Clients' connections as they stand: which carry a request, how long the others have been quiet, and
//! which of those goes first when room is short.

use super::heads::{Framing, Heads};
use super::transport::{self, is_stale};
use crate::gateway::{AttemptError, Progress};
use bytes::BytesMut;
use hyper::body::{Body, Frame, SizeHint};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
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

/// Bounds on clients' connections.
#[derive(Clone, Copy, Debug)]
pub struct ServeLimits {
    /// Connections served; those above are told to come back and closed.
    pub connections: usize,
    /// Connections above that, at most; what comes then is closed without a word.
    pub spare: usize,
    /// Most bytes of a head, and of what is buffered for a connection.
    pub buffer: usize,
    /// Most bytes that are read ahead of the parser, on all connections together.
    pub ahead: usize,
    /// How long a connection may stand quiet before its first request or within one.
    pub stall: Duration,
    /// How long a head may take to come in.
    pub head: Duration,
    /// How long a connection may stand idle between requests while there is room.
    pub idle: Duration,
    /// How long it may stand so in any case, unless nothing else gives room.
    pub idle_least: Duration,
}

/// Part of the connections from which idle ones make room for new ones.
const CROWDED: f64 = 0.75;
/// A connection younger than this may have its first request under way.
const YOUNG: Duration = Duration::from_millis(50);

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
pub(super) struct Standing {
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

impl Standing {
    fn new(stream: Rc<TcpStream>, ahead_room: Rc<Cell<usize>>) -> Self {
        let now = Instant::now();
        Self {
            stream,
            heads: RefCell::default(),
            ahead: RefCell::default(),
            ahead_room,
            ended: Cell::new(false),
            answering: Cell::new(0),
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

    /// It closes by itself from now on, and makes room for nothing more.
    pub(super) fn leave(&self) {
        self.leaving.set(true);
    }

    fn ask_to_close(&self) {
        self.leaving.set(true);
        self.close.notify_one();
    }

    /// Has it closed so that another can have its place at once.
    fn make_way(&self) {
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
    fn quiet(&self) -> Option<Duration> {
        (!self.leaving.get() && self.answering.get() == 0).then(|| self.quiet_since.get().elapsed())
    }

    fn is_overdue(&self, limits: &ServeLimits) -> bool {
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

impl Drop for Standing {
    fn drop(&mut self) {
        self.ahead_room.set(self.ahead_room.get() + self.ahead.borrow().len());
    }
}

/// A request that is being answered on a connection.
pub(super) struct Answering(Rc<Standing>);

impl Answering {
    pub(super) fn new(standing: Rc<Standing>) -> Self {
        standing.answering.set(standing.answering.get() + 1);
        standing.used.set(true);
        Self(standing)
    }
}

impl Drop for Answering {
    fn drop(&mut self) {
        self.0.answering.set(self.0.answering.get() - 1);
        self.0.quiet_since.set(Instant::now());
    }
}

/// An answer's body, with which the request's time on the connection ends.
pub(super) struct Marked<B: Body> {
    body: B,
    /// A break that is still to be told, and when.
    broken: Option<(B::Error, Pin<Box<Sleep>>)>,
    gone: Pin<Box<dyn Future<Output = ClientGone>>>,
    _answering: Answering,
}

impl<B: Body> Marked<B> {
    pub(super) fn new(body: B, answering: Answering) -> Self {
        let standing = answering.0.clone();
        let gone = Box::pin(async move { standing.client_gone().await });
        Self { body, broken: None, gone, _answering: answering }
    }
}

impl<B: Body + Unpin> Body for Marked<B>
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
pub(super) struct Watched(pub(super) Rc<Standing>);

impl AsyncRead for Watched {
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

impl AsyncWrite for Watched {
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

/// All connections of clients.
pub(super) struct Clients {
    limits: ServeLimits,
    all: RefCell<BTreeMap<u64, Rc<Standing>>>,
    ahead_room: Rc<Cell<usize>>,
    next: Cell<u64>,
}

/// What becomes of a new connection.
pub(super) enum Place {
    /// It is served.
    Served(Seat),
    /// It is told that there is no room.
    Turned(Seat),
    /// There is not even room to tell it.
    None,
}

/// A connection's place among the others, for as long as it lives.
pub(super) struct Seat {
    clients: Rc<Clients>,
    number: u64,
    pub(super) standing: Rc<Standing>,
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.clients.all.borrow_mut().remove(&self.number);
    }
}

impl Clients {
    pub(super) fn new(limits: ServeLimits) -> Rc<Self> {
        let ahead_room = Rc::new(Cell::new(limits.ahead));
        Rc::new(Self { limits, all: RefCell::default(), ahead_room, next: Cell::new(0) })
    }

    pub(super) fn open(&self) -> usize {
        self.all.borrow().len()
    }

    /// Takes a new connection in; idle ones make room for it.
    pub(super) async fn take(self: &Rc<Self>, stream: TcpStream) -> Place {
        let full = self.make_room();
        let most = self.limits.connections + self.limits.spare;
        if self.open() >= most {
            // What was just asked to close does so in its own task.
            tokio::task::yield_now().await;
        }
        if self.open() >= most {
            return Place::None;
        }
        let (number, standing) =
            (self.next.get(), Rc::new(Standing::new(Rc::new(stream), self.ahead_room.clone())));
        self.next.set(number + 1);
        self.all.borrow_mut().insert(number, standing.clone());
        let seat = Seat { clients: self.clone(), number, standing };
        if full { Place::Turned(seat) } else { Place::Served(seat) }
    }

    /// Has the connection that is missed least closed where room is short. Whether there is none left.
    fn make_room(&self) -> bool {
        let all = self.all.borrow();
        let staying = all.values().filter(|s| !s.leaving.get()).count();
        let full = staying >= self.limits.connections;
        if (staying as f64) < self.limits.connections as f64 * CROWDED {
            return false;
        }
        let quiet = all.values().filter_map(|s| Some((s.quiet()?, s)));
        let open = quiet.filter(|(quiet, s)| {
            let old = *quiet >= self.limits.idle_least;
            old || full && (*quiet >= YOUNG || s.is_used()) && !s.in_request()
        });
        // First what has had its time, then what never asked anything, then the longest idle.
        let least = open.max_by_key(|(quiet, s)| (*quiet >= self.limits.idle_least, !s.is_used(), *quiet));
        match least {
            Some((_, standing)) => {
                standing.make_way();
                false
            }
            None => full,
        }
    }

    /// Has those closed that were quiet for too long.
    pub(super) fn close_overdue(&self) {
        for standing in self.all.borrow().values().filter(|s| s.is_overdue(&self.limits)) {
            standing.ask_to_close();
        }
    }
}
