//! The server side: connections of clients, bounded, each with a task of its own where panics stop.

use super::accept::{ACCEPT_AGAIN, AcceptFailure, waiting};
use super::closing::{CloseReason, ClosedConnection, Closing, last_words, linger};
use super::connection::{ClientBody, ClientStream, Connection, RequestInProgress};
use super::engines::HttpEvents;
use super::eviction::{Connections, Registration, Room, ServeLimits};
use super::heads::Framing;
use crate::gateway::{AttemptError, Relay};
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;

/// How long what was sent to a client may stay untaken.
const UNREAD: Duration = Duration::from_secs(30);
/// How often quiet connections are looked at.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// How often it is looked whether a request that crosses the close of its connection has come.
const NEWS_EVERY: Duration = Duration::from_millis(2);
/// What a client is told whose request does not come to its end.
const REQUEST_TIMEOUT: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Not asked to stop.
    Serving,
    /// Operators send clients away: no longer ready, but still serving as before.
    Draining,
    /// The same a little later: connections close after the answer in hand, new ones after their first.
    Away,
    /// Asked to stop; new connections and requests are still served.
    Leaving,
    /// Connections close after the answer in hand.
    Closing,
    /// The same where another process takes clients on the same socket: what waits there is left to it.
    Superseded,
    /// All that was taken has its answer; what still comes is ended.
    Ended,
}

impl Phase {
    /// Whether the process was asked to stop.
    pub fn is_stop(self) -> bool {
        matches!(self, Self::Leaving | Self::Closing | Self::Superseded | Self::Ended)
    }

    /// Whether new connections are no longer taken.
    fn is_closed(self) -> bool {
        matches!(self, Self::Closing | Self::Superseded | Self::Ended)
    }
}

/// What answers requests.
pub trait Front: 'static {
    /// Answers one request.
    fn handle(&self, request: Request<Incoming>) -> impl Future<Output = Response<FrontBody>>;
    /// Turns a request away because there are too many connections.
    fn too_many(&self, request: &Request<Incoming>) -> Response<FrontBody>;
    /// Turns a request away whose head gives two lengths that contradict each other.
    fn contradicting(&self) -> Response<FrontBody>;
    /// A connection was closed.
    fn closed(&self, _: &ClosedConnection) {}
}

/// The body of an answer.
pub enum FrontBody {
    /// In one piece.
    Whole(Option<Bytes>),
    /// As an engine makes it.
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
            Self::Whole(body) => Poll::Ready(body.take().map(|body| Ok(Frame::data(body)))),
            Self::Relay(relay) => relay.poll_piece(context).map(|p| p.map(|p| p.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        match self {
            Self::Whole(body) => {
                hyper::body::SizeHint::with_exact(body.as_ref().map_or(0, Bytes::len) as u64)
            }
            Self::Relay(_) => hyper::body::SizeHint::default(),
        }
    }
}

/// Serves until the stop has come to its close and every connection has ended.
pub async fn serve<F: Front>(
    listener: TcpListener,
    front: Rc<F>,
    limits: ServeLimits,
    mut phase: watch::Receiver<Phase>,
) {
    let connections = Connections::new(limits);
    let mut look = tokio::time::interval(LOOK_EVERY);
    look.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let phases = phase.clone();
    let start = async |stream| {
        let (registration, over) = match connections.take(stream).await {
            Room::Served(registration) => (registration, false),
            Room::Turned(registration) => (registration, true),
            Room::None => return log::debug!("no room for a connection"),
        };
        tokio::task::spawn_local(serve_connection(registration, front.clone(), over, limits, phases.clone()));
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| phase.is_closed()) => break,
            _ = look.tick() => {
                connections.close_overdue();
                continue;
            }
        };
        match accepted {
            Ok((stream, _)) => start(stream).await,
            Err(error) => match AcceptFailure::from(&error) {
                AcceptFailure::OneConnection | AcceptFailure::NoneWaiting => {
                    log::debug!("accept failed for one connection {error}");
                }
                AcceptFailure::NoRoom => {
                    log::warn!("accept failed {error}");
                    tokio::time::sleep(ACCEPT_AGAIN).await;
                }
            },
        }
    }
    if *phase.borrow() == Phase::Closing {
        // The system has accepted these; closed with the listener they would be reset, and their requests lost.
        while let Some(stream) = waiting(&listener).await {
            start(stream).await;
        }
    }
    drop(listener);
    while connections.open() > 0 {
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
    over: bool,
    limits: ServeLimits,
    mut phase: watch::Receiver<Phase>,
) {
    let connection = registration.connection.clone();
    // A client that has vanished, or reads no more, must not hold its connection and stream for good.
    let set = connection.stream.set_nodelay(true);
    let set = set.and_then(|()| SockRef::from(&*connection.stream).set_tcp_user_timeout(Some(UNREAD)));
    if let Err(error) = set {
        log::debug!("connection {error}");
    }
    let service = service_fn(|request| {
        let (front, framing) = (front.clone(), connection.next_framing());
        let answering = RequestInProgress::new(connection.clone(), request_id(&request));
        let connection = connection.clone();
        async move {
            let mut response = match framing {
                _ if over => front.too_many(&request),
                Framing::Both => front.contradicting(),
                // Looked at first each time: nothing is begun for a client that has gone.
                Framing::Length | Framing::Chunks => tokio::select! {
                    biased;
                    gone = connection.wait_for_disconnect() => return Err(gone),
                    response = front.handle(request) => response,
                },
            };
            if framing != Framing::Length {
                // Where its body ends is not known here: nothing behind it is taken for a request.
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok(response.map(|body| ClientBody::new(body, answering)))
        }
    });
    let mut ending = *phase.borrow() == Phase::Away;
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder.timer(TokioTimer::new()).max_buf_size(limits.buffer).keep_alive(!over && !ending);
    let io = TokioIo::new(ClientStream(connection.clone()));
    let mut served = std::pin::pin!(builder.serve_connection(io, service));
    let (result, reason) = loop {
        tokio::select! {
            result = &mut served => {
                let reason = if result.is_ok() { CloseReason::Answered } else { CloseReason::Client };
                break (result, reason);
            }
            () = sent_away(&mut phase, &connection), if !ending => {
                ending = true;
                served.as_mut().graceful_shutdown();
                if !connection.is_answering() {
                    break (last_words(served.as_mut()).await, CloseReason::SentAway);
                }
            }
            () = connection.wait_for_close_request() => match Closing::of(&connection) {
                Closing::Stays => connection.cancel_close(),
                Closing::CutsRequest => {
                    // Nothing is being answered, so nothing else is being written.
                    drop(connection.stream.try_write(REQUEST_TIMEOUT));
                    break (Ok(()), CloseReason::RequestTimeout);
                }
                Closing::Rests => {
                    let awaited = connection.is_slot_awaited();
                    let reason = if awaited { CloseReason::MadeRoom } else { CloseReason::Idle };
                    served.as_mut().graceful_shutdown();
                    break (last_words(served.as_mut()).await, reason);
                }
            }
        }
    };
    if let Err(error) = &result {
        log::debug!("connection ended number={} {error}", registration.number);
    }
    let unanswered = connection.unanswered_request_id().filter(|_| result.is_ok());
    front.closed(&ClosedConnection { number: registration.number, reason, unanswered });
    connection.mark_closing();
    // Closed over bytes that were not read the connection would be reset, and what was written last go with it. On one
    // that rested nothing was written last, and what has come is a request: read and not answered it would be lost, while
    // its client sends it again after a reset. One that lingered in the place that another is to have would have that
    // one closed without a word.
    let unread = connection.in_request() || connection.has_unread_input();
    if unread && !reason.is_of_resting() && !connection.is_slot_awaited() {
        linger(&connection.stream, limits.buffer).await;
    }
}

/// The id that a client gave its request, for the log.
fn request_id(request: &Request<Incoming>) -> &str {
    request.headers().get("req-id").and_then(|id| id.to_str().ok()).unwrap_or("-")
}

/// Waits until connections are to close after the answer in hand, and no request has come on this one, whole or in part:
/// it would meet a reset. One that stops coming is given up as at any other time.
async fn sent_away(phase: &mut watch::Receiver<Phase>, connection: &Connection) {
    // Without a sender there is nobody to end what is served.
    if phase.wait_for(|phase| *phase == Phase::Away || phase.is_closed()).await.is_err() {
        return std::future::pending().await;
    }
    while !connection.is_answering() && (connection.in_request() || connection.has_unread_input()) {
        tokio::time::sleep(NEWS_EVERY).await;
    }
}
