//! The server side: connections of clients, bounded, each with a task of its own where panics stop.

use super::engines::HttpEvents;
use crate::gateway::{AttemptError, Relay};
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use std::cell::Cell;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// How long what was sent to a client may stay untaken.
const UNREAD: Duration = Duration::from_secs(30);

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Not asked to stop.
    Serving,
    /// Asked to stop; new connections and requests are still served.
    Leaving,
    /// Connections close after the answer in hand.
    Closing,
}

/// Bounds on clients' connections.
#[derive(Clone, Copy, Debug)]
pub struct ServeLimits {
    /// Connections served; those above are told to come back and closed.
    pub connections: usize,
    /// Connections above that, at most.
    pub spare: usize,
    /// How long a connection may stand without a whole head.
    pub idle: Duration,
}

/// What answers requests.
pub trait Front: 'static {
    /// Answers one request.
    fn handle(&self, request: Request<Incoming>) -> impl Future<Output = Response<FrontBody>>;
    /// Turns a request away because there are too many connections.
    fn too_many(&self) -> Response<FrontBody>;
}

/// The body of an answer.
pub enum FrontBody {
    /// In one piece.
    Whole(Option<Bytes>),
    /// As an engine makes it.
    Relay(Relay<HttpEvents>),
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

struct Open(Rc<Cell<usize>>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Serves until the stop has come to its close and every connection has ended.
pub async fn serve<F: Front>(
    listener: TcpListener,
    front: Rc<F>,
    limits: ServeLimits,
    mut phase: watch::Receiver<Phase>,
) {
    let open = Rc::new(Cell::new(0usize));
    loop {
        if open.get() >= limits.connections + limits.spare {
            tokio::time::sleep(Duration::from_millis(5)).await;
            continue;
        }
        let closing = phase.clone();
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase == Phase::Closing) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                open.set(open.get() + 1);
                let counted = Open(open.clone());
                let over = open.get() > limits.connections;
                let front = front.clone();
                tokio::task::spawn_local(async move {
                    connection(stream, front, over, limits.idle, closing).await;
                    drop(counted);
                });
            }
            Err(error) => {
                log::warn!("accept failed {error}");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
    drop(listener);
    while open.get() > 0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn connection<F: Front>(
    stream: TcpStream,
    front: Rc<F>,
    over: bool,
    idle: Duration,
    mut phase: watch::Receiver<Phase>,
) {
    // A client that has vanished, or reads no more, must not hold its connection and stream for good.
    let set = stream.set_nodelay(true);
    let set = set.and_then(|()| SockRef::from(&stream).set_tcp_user_timeout(Some(UNREAD)));
    if let Err(error) = set {
        log::debug!("connection {error}");
    }
    let service = service_fn(move |request| {
        let front = front.clone();
        async move { Ok::<_, Infallible>(if over { front.too_many() } else { front.handle(request).await }) }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(idle).max_buf_size(64 << 10).keep_alive(!over);
    let mut served = std::pin::pin!(builder.serve_connection(TokioIo::new(stream), service));
    let result = tokio::select! {
        result = &mut served => result,
        _ = phase.wait_for(|phase| *phase == Phase::Closing) => {
            served.as_mut().graceful_shutdown();
            served.await
        }
    };
    if let Err(error) = result {
        log::debug!("connection ended {error}");
    }
}
