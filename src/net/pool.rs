//! Connections to engines: each carries one request at a
//! time, idle ones are reused, and their number is bounded.

use super::transport::{Meter, MeteredStream, WriteWatch, is_closed_or_has_input};
use crate::gateway::{AttemptError, Progress};
use crate::memory::{Memory, MemoryLimits, MemoryUse, Reservation};
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response, body::Incoming};
use hyper_util::rt::TokioIo;
use rustix::io::Errno;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use std::{fmt, io};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Limits on connections.
#[derive(Clone, Copy, Debug)]
pub struct PoolLimits {
    /// Maximum number of connections to all engines together.
    pub connections: usize,
    /// Number of these connections that are reserved for calls that release states.
    pub reserved_for_releases: usize,
    /// Maximum size of a response head, and of the read buffer of a connection, in bytes.
    pub buffer_bytes: usize,
    /// Memory that is reserved for a connection while it is open, in bytes.
    pub connection_bytes: usize,
    /// Maximum time to establish a connection.
    pub dial_timeout: Duration,
    /// Maximum idle time of a connection; well below the idle timeout of the engines.
    pub idle_timeout: Duration,
}

/// Delay before a connection is reused after a response: unsolicited bytes
/// that follow the response must not be taken for the next response.
const REUSE_DELAY: Duration = Duration::from_millis(10);

/// Returns the error of an attempt for which this process has no connection. Nothing was sent, and the engine has
/// not shown any failure.
fn local_shortage(cause: impl fmt::Display) -> AttemptError {
    AttemptError::new(Progress::NotSent, cause)
}

/// Returns true if a connection could not be opened because this process or this machine lacks resources.
fn is_local_shortage(error: &io::Error) -> bool {
    // The errors by which socket(2) and connect(2) report a lack of descriptors, memory or local ports.
    const SHORTAGES: [Errno; 5] =
        [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::ADDRNOTAVAIL];
    Errno::from_io_error(error).is_some_and(|errno| SHORTAGES.contains(&errno))
}

/// Counts a connection as open until it is dropped.
struct OpenCount(Rc<Cell<usize>>);

impl Drop for OpenCount {
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
    /// Time at which the connection was established.
    pub(super) opened: tokio::time::Instant,
    /// True while the response to a sent request has not been read to its end.
    in_use: bool,
    _open_count: OpenCount,
    _reservation: Reservation,
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
    /// Sends one request and waits for the head of its response. Nothing is sent a second time.
    pub(super) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        body: usize,
        watch: WriteWatch,
    ) -> Result<Response<Incoming>, AttemptError> {
        self.meter.begin(body, watch);
        self.in_use = true;
        let response = self.sender.try_send_request(request).await;
        response.map_err(|error| self.connection_error(error.into_error()))
    }

    /// Marks the response as read to its end.
    pub(super) fn mark_response_read(&mut self) {
        self.in_use = false;
    }

    /// Makes the kernel reset the connection when it is closed. Otherwise the
    /// kernel would still deliver the buffered bytes, and a server that hung
    /// or was unreachable would start a request that was given up long before.
    fn discard_unsent(&self) {
        if let Err(error) = SockRef::from(&*self.stream).set_linger(Some(Duration::ZERO)) {
            log::debug!("connection closes without a reset {error}");
        }
    }

    /// Returns the error of the request in progress when this connection breaks.
    pub(super) fn connection_error(&self, cause: hyper::Error) -> AttemptError {
        let progress =
            if self.meter.is_complete() { Progress::FullyWritten } else { Progress::PartiallyWritten };
        AttemptError::new(progress, cause)
    }
}

struct Idle {
    channel: Channel,
    since: Instant,
}

/// The connections of one gateway to engines.
pub struct Pool {
    limits: PoolLimits,
    memory: Arc<Memory>,
    open_connections: Rc<Cell<usize>>,
    idle: RefCell<HashMap<Arc<str>, Vec<Idle>>>,
}

impl Pool {
    /// Creates an empty pool whose connections and answers are not charged to the memory limit.
    pub fn new(limits: PoolLimits) -> Rc<Self> {
        Self::with_memory(limits, Memory::new(MemoryLimits::UNLIMITED))
    }

    /// Creates an empty pool that reserves the memory of its connections and of the answers on them.
    pub fn with_memory(limits: PoolLimits, memory: Arc<Memory>) -> Rc<Self> {
        Rc::new(Self { limits, memory, open_connections: Rc::default(), idle: RefCell::default() })
    }

    /// Returns the memory to which connections and answers are charged.
    pub(super) fn memory(&self) -> &Arc<Memory> {
        &self.memory
    }

    /// Returns the number of bytes of an answer that are covered by the reservation of its connection.
    pub(super) fn buffer_bytes(&self) -> usize {
        self.limits.buffer_bytes
    }

    /// Returns an idle connection, or a new one, for an attempt.
    pub(super) async fn acquire(&self, endpoint: &Arc<str>) -> Result<Channel, AttemptError> {
        self.acquire_within(
            endpoint,
            self.limits.connections.saturating_sub(self.limits.reserved_for_releases),
        )
        .await
    }

    /// Returns a connection for a call that releases a state: attempts may not use up all connections.
    pub(super) async fn acquire_for_release(&self, endpoint: &Arc<str>) -> Result<Channel, AttemptError> {
        self.acquire_within(endpoint, self.limits.connections).await
    }

    async fn acquire_within(
        &self,
        endpoint: &Arc<str>,
        max_connections: usize,
    ) -> Result<Channel, AttemptError> {
        while let Some(idle) = self.pop_reusable(endpoint) {
            let expired = idle.since.elapsed() >= self.limits.idle_timeout;
            if !expired && idle.channel.sender.is_ready() && !is_closed_or_has_input(&idle.channel.stream) {
                return Ok(idle.channel);
            }
        }
        if self.open_connections.get() >= max_connections {
            self.close_one_idle();
        }
        if self.open_connections.get() >= max_connections {
            return Err(local_shortage("all connections are in use"));
        }
        let reservation = self
            .reserve_connection()
            .ok_or_else(|| local_shortage("no memory is left for another connection"))?;
        self.connect(endpoint, reservation).await
    }

    /// Reserves the memory of a new connection. Closes idle connections while too little is left.
    fn reserve_connection(&self) -> Option<Reservation> {
        loop {
            let reservation =
                self.memory.try_reserve(MemoryUse::EngineConnection, self.limits.connection_bytes);
            if reservation.is_some() || !self.close_one_idle() {
                return reservation;
            }
        }
    }

    fn pop_reusable(&self, endpoint: &str) -> Option<Idle> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(endpoint)?;
        let index = connections.iter().rposition(|idle| idle.since.elapsed() >= REUSE_DELAY)?;
        Some(connections.remove(index))
    }

    /// Closes the connection that has been idle for the longest time. Returns false if none is idle.
    fn close_one_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.values_mut().filter(|i| !i.is_empty()).min_by_key(|i| i[0].since);
        oldest.map(|connections| connections.remove(0)).is_some()
    }

    async fn connect(&self, endpoint: &str, reservation: Reservation) -> Result<Channel, AttemptError> {
        self.open_connections.set(self.open_connections.get() + 1);
        let open_count = OpenCount(self.open_connections.clone());
        let not_connected = |cause: String| AttemptError::new(Progress::NotSent, cause);
        let dialled = tokio::time::timeout(self.limits.dial_timeout, TcpStream::connect(endpoint)).await;
        let stream = dialled.map_err(|_| not_connected("connect timed out".into()))?;
        let stream = stream.map_err(|error| {
            if is_local_shortage(&error) { local_shortage(error) } else { not_connected(error.to_string()) }
        })?;
        stream.set_nodelay(true).map_err(|e| not_connected(e.to_string()))?;
        let (stream, meter) = (Rc::new(stream), Rc::<Meter>::default());
        let metered_stream = MeteredStream { stream: stream.clone(), meter: meter.clone() };
        let mut builder = http1::Builder::new();
        // An unreadable header does not make the rest of the response invalid.
        builder.max_buf_size(self.limits.buffer_bytes).ignore_invalid_headers_in_responses(true);
        let handshake = builder.handshake(TokioIo::new(metered_stream)).await;
        let (sender, connection) = handshake.map_err(|e| not_connected(e.to_string()))?;
        // An error of the connection reaches the request in progress; an idle connection is simply replaced.
        let task = tokio::task::spawn_local(async move { drop(connection.await) }).abort_handle();
        let opened = tokio::time::Instant::now();
        Ok(Channel {
            sender,
            stream,
            meter,
            task,
            opened,
            in_use: false,
            _open_count: open_count,
            _reservation: reservation,
        })
    }

    /// Returns a connection to the pool once its response has been read to its end.
    pub(super) fn put_back(self: &Rc<Self>, endpoint: Arc<str>, mut channel: Channel) {
        if channel.in_use && !channel.meter.is_complete() {
            // The response arrived before the request was written completely; the rest must not be sent.
            return;
        }
        channel.mark_response_read();
        let pool = self.clone();
        tokio::task::spawn_local(async move {
            let ready = tokio::time::timeout(Duration::from_secs(1), channel.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                let idle = Idle { channel, since: Instant::now() };
                pool.idle.borrow_mut().entry(endpoint).or_default().push(idle);
            }
        });
    }

    /// Closes the idle connections to an engine.
    pub(super) fn close_idle_to(&self, endpoint: &str) {
        self.idle.borrow_mut().remove(endpoint);
    }

    /// Closes connections that have been idle for too long.
    pub fn close_expired(&self) {
        let limit = self.limits.idle_timeout;
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|i| i.since.elapsed() < limit && !i.channel.sender.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;
    use tokio::net::TcpListener;

    const LIMITS: PoolLimits = PoolLimits {
        connections: 1,
        reserved_for_releases: 0,
        buffer_bytes: 8 << 10,
        connection_bytes: 100,
        dial_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(1),
    };

    // A gateway that had no connection or no memory left took its servers for dead or restarted, and sent them
    // less for seconds.
    #[rstest]
    #[case::connections(1, 1_000)]
    #[case::memory(2, 150)]
    #[tokio::test]
    async fn own_shortage_is_no_failure_of_the_engine(
        #[case] connections: usize,
        #[case] total_bytes: usize,
    ) {
        let acquire_twice = async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
            let endpoint = Arc::from(listener.local_addr().expect("an address").to_string());
            let memory = Memory::new(MemoryLimits { total_bytes, ..MemoryLimits::UNLIMITED });
            let pool = Pool::with_memory(PoolLimits { connections, ..LIMITS }, memory);
            let _first = pool.acquire(&endpoint).await.expect("there is room for one connection");
            let second = pool.acquire(&endpoint).await;
            assert_eq!(second.err().map(|error| error.progress), Some(Progress::NotSent));
        };
        tokio::task::LocalSet::new().run_until(acquire_twice).await;
    }

    #[rstest]
    #[case(Errno::NFILE, true)]
    #[case(Errno::NOBUFS, true)]
    #[case(Errno::ADDRNOTAVAIL, true)]
    #[case(Errno::CONNREFUSED, false)]
    #[case(Errno::NETUNREACH, false)]
    #[case(Errno::TIMEDOUT, false)]
    fn local_shortages_are_distinguished(#[case] errno: Errno, #[case] expected: bool) {
        assert_eq!(is_local_shortage(&io::Error::from(errno)), expected);
    }
}
