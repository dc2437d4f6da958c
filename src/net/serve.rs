//! The server side: a bounded number of client connections,
//! each served by its own task, which isolates panics.

use super::accept::{ACCEPT_RETRY_DELAY, AcceptFailure, BacklogWatch, accept_pending};
use super::client_body::ClientBody;
use super::client_stream::ClientStream;
use super::closing::{
    CloseEffect, CloseReason, ClosedConnection, finish_shutdown, linger, refuse_waiting_requests,
};
use super::connection::{Connection, RequestInProgress};
use super::engines::HttpEvents;
use super::eviction::{Admission, Connections, Registration};
use super::heads::Framing;
use super::limits::ServeLimits;
use crate::gateway::{AttemptError, Relay};
use crate::memory::Memory;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;

/// Maximum time that data for a client may stay unacknowledged, or unsent because the client does not read,
/// before the kernel closes the connection.
const CLIENT_TCP_USER_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which connections are checked for timeouts.
const OVERDUE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a connection that is to close is checked for a request that arrived at the same moment.
const UNREAD_CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// The response to a request that does not arrive completely in time.
const REQUEST_TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// The stages of a planned shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Not asked to shut down.
    Serving,
    /// An operator has started a drain: readiness checks fail, but requests are served as before.
    Draining,
    /// Later in a drain: connections close after the response in progress, new connections after their first.
    DrainClosing,
    /// Asked to shut down; new connections and requests are still served.
    Stopping,
    /// Asked to shut down while another process accepts clients on the same socket: connections close after the
    /// response in progress, and new ones are left to that process, unless it does not accept them.
    StandingBy,
    /// No new connections; open ones close after the response in progress.
    Closing,
    /// Like `Closing`, but connections that were not accepted yet are left to another process.
    Superseded,
    /// Every accepted request has its response; all remaining connections are closed.
    Ended,
}

impl Phase {
    /// Returns true if the process was asked to shut down.
    pub fn is_shutdown(self) -> bool {
        matches!(self, Self::Stopping | Self::StandingBy) || self.has_stopped_accepting()
    }

    /// Returns true if new connections are no longer accepted, whatever happens.
    fn has_stopped_accepting(self) -> bool {
        matches!(self, Self::Closing | Self::Superseded | Self::Ended)
    }

    /// Returns true if connections close after the response in progress.
    fn closes_connections(self) -> bool {
        matches!(self, Self::DrainClosing | Self::StandingBy) || self.has_stopped_accepting()
    }
}

/// A protocol front end, which handles requests.
pub trait Front: 'static {
    /// Handles one request.
    fn handle(&self, request: Request<Incoming>) -> impl Future<Output = Response<FrontBody>>;
    /// Refuses a request because there are too many connections, or too many requests on its connection.
    fn refuse_over_limit(&self, request: &Request<Incoming>) -> Response<FrontBody>;
    /// Refuses a request whose head gives both a length and a transfer encoding.
    fn refuse_conflicting_lengths(&self) -> Response<FrontBody>;
    /// Called when a connection was closed.
    fn on_connection_closed(&self, _: &ClosedConnection) {}
}

/// The body of a response.
pub enum FrontBody {
    /// A complete body in one piece.
    Complete(Option<Bytes>),
    /// A stream that is passed on as an engine produces it.
    Relay(Box<Relay<HttpEvents>>),
}

impl Body for FrontBody {
    type Data = Bytes;
    type Error = AttemptError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AttemptError>>> {
        match self.get_mut() {
            Self::Complete(body) => Poll::Ready(body.take().map(|body| Ok(Frame::data(body)))),
            Self::Relay(relay) => relay.poll_chunk(context).map(|chunk| chunk.map(|r| r.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Complete(None))
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        match self {
            Self::Complete(body) => {
                hyper::body::SizeHint::with_exact(body.as_ref().map_or(0, Bytes::len) as u64)
            }
            Self::Relay(_) => hyper::body::SizeHint::default(),
        }
    }
}

/// Accepts and serves connections until the shutdown phase stops accepting and every connection has ended.
pub async fn serve<F: Front>(
    listener: TcpListener,
    front: Rc<F>,
    limits: ServeLimits,
    memory: Arc<Memory>,
    mut phase: watch::Receiver<Phase>,
) {
    let connections = Connections::new(limits, memory);
    let mut overdue_check = tokio::time::interval(OVERDUE_CHECK_INTERVAL);
    overdue_check.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let phases = phase.clone();
    let start_connection = async |stream| {
        let (registration, over_limit) = match connections.register(stream).await {
            Admission::Served(registration) => (registration, false),
            Admission::OverLimit(registration) => (registration, true),
            Admission::Closed => return log::debug!("connection closed: too many connections"),
        };
        tokio::task::spawn_local(serve_connection(
            registration,
            front.clone(),
            over_limit,
            limits,
            phases.clone(),
        ));
    };
    let start_pending = async || {
        while let Some(stream) = accept_pending(&listener).await {
            start_connection(stream).await;
        }
    };
    let mut backlog_watch = BacklogWatch::default();
    loop {
        let current_phase = *phase.borrow_and_update();
        if current_phase.has_stopped_accepting() {
            break;
        }
        let stands_by = current_phase == Phase::StandingBy;
        let accepted = tokio::select! {
            accepted = listener.accept(), if !stands_by => accepted,
            changed = phase.changed() => match changed {
                Ok(()) => continue,
                Err(_) => break,
            },
            _ = overdue_check.tick() => {
                connections.close_overdue();
                continue;
            }
            () = backlog_watch.wait_until_neglected(&listener), if stands_by => {
                log::warn!("connections accepted that the other process left waiting");
                start_pending().await;
                continue;
            }
        };
        match accepted {
            Ok((stream, _)) => start_connection(stream).await,
            Err(error) => match AcceptFailure::from(&error) {
                AcceptFailure::SingleConnection | AcceptFailure::NonePending => {
                    log::debug!("accept failed for a single connection {error}");
                }
                AcceptFailure::NoResources => {
                    log::warn!("accept failed {error}");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
        }
    }
    if *phase.borrow() == Phase::Closing {
        // The kernel has already accepted these connections; closing
        // the listener would reset them and lose their requests.
        start_pending().await;
    }
    drop(listener);
    while connections.open_count() > 0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
        if *phase.borrow() == Phase::Ended {
            connections.close_all();
        }
        connections.close_overdue();
    }
}

async fn serve_connection<F: Front>(
    registration: Registration,
    front: Rc<F>,
    over_limit: bool,
    limits: ServeLimits,
    mut phase: watch::Receiver<Phase>,
) {
    let connection = registration.connection.clone();
    let reservation = if over_limit { None } else { registration.connections.reserve_memory().await };
    let over_limit = reservation.is_none();
    if over_limit {
        registration.mark_over_limit();
    }
    // A client that has vanished or no longer reads must not hold its connection and stream forever.
    let configured = connection.stream.set_nodelay(true);
    let configured = configured.and_then(|()| {
        SockRef::from(&*connection.stream).set_tcp_user_timeout(Some(CLIENT_TCP_USER_TIMEOUT))
    });
    if let Err(error) = configured {
        log::debug!("socket options not set: {error}");
    }
    let service = service_fn(|request| {
        let (front, framing) = (front.clone(), connection.next_framing());
        let is_first_request = !connection.has_received_request();
        let in_progress = RequestInProgress::new(connection.clone(), request_id(&request));
        let connection = connection.clone();
        async move {
            let mut response = match framing {
                _ if over_limit || connection.has_overflowed() => front.refuse_over_limit(&request),
                Framing::Both => front.refuse_conflicting_lengths(),
                // The disconnect is polled first each time, so
                // that no work starts for a client that has left.
                Framing::Length | Framing::Chunks => tokio::select! {
                    biased;
                    disconnected = connection.wait_for_disconnect() => return Err(disconnected),
                    response = async {
                        if !is_first_request {
                            // Between two requests of one connection all other tasks get their turn.
                            tokio::task::yield_now().await;
                        }
                        front.handle(request).await
                    } => response,
                },
            };
            if framing != Framing::Length {
                // The end of the body is not known here, so nothing after it may be parsed as a request.
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok(response.map(|body| ClientBody::new(body, in_progress)))
        }
    });
    let mut shutting_down = *phase.borrow() == Phase::DrainClosing;
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .max_buf_size(limits.buffer_bytes)
        .keep_alive(!over_limit && !shutting_down);
    let io = TokioIo::new(ClientStream(connection.clone()));
    let mut http_connection = std::pin::pin!(builder.serve_connection(io, service));
    let (result, reason) = loop {
        tokio::select! {
            result = &mut http_connection => {
                let reason = if result.is_ok() { CloseReason::Answered } else { CloseReason::Client };
                break (result, reason);
            }
            () = wait_for_graceful_close(&mut phase, &connection), if !shutting_down => {
                shutting_down = true;
                http_connection.as_mut().graceful_shutdown();
                if !connection.is_answering() {
                    break (finish_shutdown(http_connection.as_mut()).await, CloseReason::ShutDownWhileIdle);
                }
            }
            () = connection.wait_for_overflow(), if !shutting_down => {
                shutting_down = true;
                http_connection.as_mut().graceful_shutdown();
            }
            () = connection.wait_for_close_request() => match CloseEffect::of(&connection) {
                CloseEffect::StaysOpen => connection.cancel_close(),
                CloseEffect::InterruptsRequest => {
                    // No request is being answered, so nothing else is being written.
                    drop(connection.stream.try_write(REQUEST_TIMEOUT_RESPONSE));
                    break (Ok(()), CloseReason::RequestTimeout);
                }
                CloseEffect::IsIdle => {
                    let slot_awaited = connection.is_slot_awaited();
                    let reason = if slot_awaited { CloseReason::MadeRoom } else { CloseReason::Idle };
                    http_connection.as_mut().graceful_shutdown();
                    break (finish_shutdown(http_connection.as_mut()).await, reason);
                }
            }
        }
    };
    if let Err(error) = &result {
        log::debug!("connection ended number={} {error}", registration.number);
    }
    let unanswered_request_id = connection.unanswered_request_id().filter(|_| result.is_ok());
    front.on_connection_closed(&ClosedConnection {
        number: registration.number,
        reason,
        unanswered_request_id,
    });
    connection.mark_closing();
    let refused_requests = match &result {
        Ok(()) if !reason.was_idle() => refuse_waiting_requests(&connection).await,
        _ => 0,
    };
    // Closing a socket with unread bytes resets the connection, and the response written
    // last would be lost with it, so the rest is read first. An idle connection has no such
    // response, and its unread bytes are a new request: read but not answered it would be
    // lost, while after a reset the client sends it again. If a connection lingered while
    // another waits for its slot, that other one would be closed without a response.
    let has_unread = refused_requests > 0 || connection.in_request() || connection.has_unread_input();
    if has_unread && !reason.was_idle() && !connection.is_slot_awaited() {
        linger(&connection, limits.buffer_bytes).await;
    }
}

/// Returns the id that the client gave its request, for the log.
fn request_id(request: &Request<Incoming>) -> &str {
    request.headers().get("req-id").and_then(|id| id.to_str().ok()).unwrap_or("-")
}

/// Waits until connections are to close after the response in progress, and then until no request that
/// has arrived on this connection, completely or in part, is still unread: closing would reset the connection
/// and lose that request. A request that stalls times out as at any other time.
async fn wait_for_graceful_close(phase: &mut watch::Receiver<Phase>, connection: &Connection) {
    // Without a sender, nothing ends the connections that are being served.
    if phase.wait_for(|phase| phase.closes_connections()).await.is_err() {
        return std::future::pending().await;
    }
    while !connection.is_answering() && (connection.in_request() || connection.has_unread_input()) {
        tokio::time::sleep(UNREAD_CHECK_INTERVAL).await;
    }
}
