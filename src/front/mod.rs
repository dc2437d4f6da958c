//! Fronts: what clients speak, turned into what the core takes in, and its answers turned back.

mod inference;
mod intake;
mod management;
mod platform;
mod reply;

pub use inference::{Inference, Model};
pub use intake::BodyReader;
pub use management::Management;
pub use platform::Platform;

use crate::config::Shared;
use crate::gateway::Rejected;
use crate::net::{ClosedConnection, Front, FrontBody, Phase};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::sync::watch;

/// All that one listener answers, by path.
pub struct Fronts {
    /// Chat, by the platform's protocol.
    pub platform: Platform,
    /// Embeddings and rerank, where an operator has set them up.
    pub inference: Option<Inference>,
    /// How far a planned stop has come.
    pub phase: watch::Receiver<Phase>,
    /// What operators have ordered before has to be known first.
    pub shared: Shared,
}

impl Fronts {
    fn ready(&self) -> Response<FrontBody> {
        // Chat alone decides: a model of the other front that is down is no reason to turn chat away.
        if *self.phase.borrow() == Phase::Serving && self.shared.is_loaded() && self.platform.can_serve() {
            reply::json(StatusCode::OK, Bytes::from_static(b"{\"ready\":true}"))
        } else {
            reply::error(StatusCode::SERVICE_UNAVAILABLE, "not ready to serve")
        }
    }
}

impl Front for Fronts {
    async fn handle(&self, request: Request<Incoming>) -> Response<FrontBody> {
        let path = request.uri().path();
        let inference = self.inference.as_ref().and_then(|front| Some((front, Inference::api(path)?)));
        let wanted = match path {
            "/ready" => "GET",
            "/v1/chat/completions" => "POST",
            _ if inference.is_some() => "POST",
            _ => return reply::error(StatusCode::NOT_FOUND, "no such path"),
        };
        if request.method().as_str() != wanted {
            return reply::not_allowed(wanted);
        }
        match inference {
            Some((front, api)) => reply::whole_seconds(front.call(api, request).await),
            None if wanted == "GET" => self.ready(),
            None => self.platform.chat(request).await,
        }
    }

    fn too_many(&self, request: &Request<Incoming>) -> Response<FrontBody> {
        self.platform.count_refused_early(request.headers());
        reply::rejection(Rejected::Busy)
    }

    fn contradicting(&self) -> Response<FrontBody> {
        reply::contradicting()
    }

    fn closed(&self, closed: &ClosedConnection) {
        self.platform.connection_closed(closed);
    }
}
