//! Connections to engines: one request at a time each, warm ones used again, all of them bounded.

use super::transport::{Meter, Wire, WriteWatch, is_stale};
use crate::gateway::{AttemptError, Progress};
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response, body::Incoming};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Bounds on connections.
#[derive(Clone, Copy, Debug)]
pub struct PoolLimits {
    /// Connections to all engines together.
    pub connections: usize,
    /// How many of them are kept for calls that let states go.
    pub reserved: usize,
    /// Most bytes of an answer's head, and of what is buffered for a connection.
    pub buffer: usize,
    /// How long one may take to come up.
    pub dial_timeout: Duration,
    /// How long one may stand idle here; well under what the engines allow.
    pub idle: Duration,
}

/// How long a connection rests after an answer: what comes behind that unasked must not pass for the next.
const REST: Duration = Duration::from_millis(10);

/// Counts a connection for as long as it lives.
struct Counted(Rc<Cell<usize>>);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A connection in use; dropping it closes it.
pub(super) struct Channel {
    sender: SendRequest<Full<Bytes>>,
    stream: Rc<TcpStream>,
    meter: Rc<Meter>,
    task: AbortHandle,
    /// When it came up.
    pub(super) opened: tokio::time::Instant,
    /// Whether a request was sent whose answer has not been read to its end.
    in_use: bool,
    _counted: Counted,
}

impl Drop for Channel {
    fn drop(&mut self) {
        if self.in_use {
            self.discard_unsent();
        }
        self.task.abort();
    }
}

impl Channel {
    /// Sends one request and waits for the head of its answer. Nothing is sent a second time.
    pub(super) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        body: usize,
        watch: WriteWatch,
    ) -> Result<Response<Incoming>, AttemptError> {
        self.meter.begin(body, watch);
        self.in_use = true;
        let answer = self.sender.try_send_request(request).await;
        answer.map_err(|error| self.lost(error.into_error()))
    }

    /// The answer to what was sent has been read to its end.
    pub(super) fn answered(&mut self) {
        self.in_use = false;
    }

    /// Has the system reset the connection as it closes. Otherwise it goes on to deliver what it has taken: a server that
    /// hung, or was cut off, would begin a request that was given up long before.
    fn discard_unsent(&self) {
        if let Err(error) = SockRef::from(&*self.stream).set_linger(Some(Duration::ZERO)) {
            log::debug!("connection closes without a reset {error}");
        }
    }

    /// What a break of this connection means for the request in hand.
    pub(super) fn lost(&self, cause: hyper::Error) -> AttemptError {
        let progress = if self.meter.is_complete() { Progress::Written } else { Progress::Unwritten };
        AttemptError::new(progress, cause)
    }
}

struct Idle {
    channel: Channel,
    since: Instant,
}

/// The connections of one gateway.
pub struct Pool {
    limits: PoolLimits,
    open: Rc<Cell<usize>>,
    idle: RefCell<HashMap<Arc<str>, Vec<Idle>>>,
}

impl Pool {
    /// An empty pool.
    pub fn new(limits: PoolLimits) -> Rc<Self> {
        Rc::new(Self { limits, open: Rc::default(), idle: RefCell::default() })
    }

    /// A warm connection, or a new one, for an attempt.
    pub(super) async fn take(&self, endpoint: &Arc<str>) -> Result<Channel, AttemptError> {
        self.take_within(endpoint, self.limits.connections.saturating_sub(self.limits.reserved)).await
    }

    /// The same for a call that lets a state go: attempts that wait must not keep it from being made.
    pub(super) async fn take_for_release(&self, endpoint: &Arc<str>) -> Result<Channel, AttemptError> {
        self.take_within(endpoint, self.limits.connections).await
    }

    async fn take_within(&self, endpoint: &Arc<str>, most: usize) -> Result<Channel, AttemptError> {
        while let Some(idle) = self.pop(endpoint) {
            let old = idle.since.elapsed() >= self.limits.idle;
            if !old && idle.channel.sender.is_ready() && !is_stale(&idle.channel.stream) {
                return Ok(idle.channel);
            }
        }
        if self.open.get() >= most {
            self.close_one_idle();
        }
        if self.open.get() >= most {
            return Err(AttemptError::new(Progress::Unconnected, "all connections are in use"));
        }
        self.connect(endpoint).await
    }

    fn pop(&self, endpoint: &str) -> Option<Idle> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(endpoint)?;
        let rested = connections.iter().rposition(|idle| idle.since.elapsed() >= REST)?;
        Some(connections.remove(rested))
    }

    fn close_one_idle(&self) {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.values_mut().filter(|i| !i.is_empty()).min_by_key(|i| i[0].since);
        oldest.map(|connections| connections.remove(0));
    }

    async fn connect(&self, endpoint: &str) -> Result<Channel, AttemptError> {
        self.open.set(self.open.get() + 1);
        let counted = Counted(self.open.clone());
        let lost = |cause: String| AttemptError::new(Progress::Unconnected, cause);
        let dialled = tokio::time::timeout(self.limits.dial_timeout, TcpStream::connect(endpoint)).await;
        let stream = dialled.map_err(|_| lost("no connection in time".into()))?;
        let stream = stream.map_err(|e| lost(e.to_string()))?;
        stream.set_nodelay(true).map_err(|e| lost(e.to_string()))?;
        let (stream, meter) = (Rc::new(stream), Rc::<Meter>::default());
        let wire = Wire { stream: stream.clone(), meter: meter.clone() };
        let mut builder = http1::Builder::new();
        // A field that cannot be read says nothing against the answer that it came with.
        builder.max_buf_size(self.limits.buffer).ignore_invalid_headers_in_responses(true);
        let made = builder.handshake(TokioIo::new(wire)).await;
        let (sender, connection) = made.map_err(|e| lost(e.to_string()))?;
        // Its error reaches the request in hand; without one nobody misses the connection.
        let task = tokio::task::spawn_local(async move { drop(connection.await) }).abort_handle();
        let opened = tokio::time::Instant::now();
        Ok(Channel { sender, stream, meter, task, opened, in_use: false, _counted: counted })
    }

    /// Keeps a connection whose answer has been read to its end.
    pub(super) fn put(self: &Rc<Self>, endpoint: Arc<str>, mut channel: Channel) {
        if channel.in_use && !channel.meter.is_complete() {
            // It was answered before its request had ended: what is left of that must not follow.
            return;
        }
        channel.answered();
        let pool = self.clone();
        tokio::task::spawn_local(async move {
            let ready = tokio::time::timeout(Duration::from_secs(1), channel.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                let idle = Idle { channel, since: Instant::now() };
                pool.idle.borrow_mut().entry(endpoint).or_default().push(idle);
            }
        });
    }

    /// Closes what stands idle to an engine.
    pub(super) fn forget(&self, endpoint: &str) {
        self.idle.borrow_mut().remove(endpoint);
    }

    /// Closes what has stood idle too long.
    pub fn retire(&self) {
        let limit = self.limits.idle;
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|i| i.since.elapsed() < limit && !i.channel.sender.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}
