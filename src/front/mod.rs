//! Protocol front ends, which convert client requests to submissions and the core's answers to responses.

mod inference;
mod inference_call;
mod intake;
mod management;
mod platform;
mod reply;

pub use inference::{Inference, Model};
pub use intake::BodyReader;
pub use management::Management;
pub use platform::Platform;

use crate::config::SharedState;
use crate::gateway::Rejected;
use crate::net::{ClosedConnection, Front, FrontBody, Phase};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::sync::watch;

/// The fronts of one listener, selected by path.
pub struct Fronts {
    /// Front for chat in the platform's protocol.
    pub platform: Platform,
    /// Front for embeddings and rerank, if configured.
    pub inference: Option<Inference>,
    /// Current phase of a drain or a planned stop.
    pub phase: watch::Receiver<Phase>,
    /// State shared with the gateway's other processes. The operator commands must be loaded before serving.
    pub shared: SharedState,
}

impl Fronts {
    fn ready(&self) -> Response<FrontBody> {
        // Only chat determines readiness: a failed embeddings or rerank model must not stop chat traffic.
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
        let supported_method = match path {
            "/ready" => "GET",
            "/v1/chat/completions" => "POST",
            _ if inference.is_some() => "POST",
            _ => return reply::error(StatusCode::NOT_FOUND, "no such path"),
        };
        if request.method().as_str() != supported_method {
            return reply::not_allowed(supported_method);
        }
        match inference {
            Some((front, api)) => reply::round_up_retry_after(front.call(api, request).await),
            None if supported_method == "GET" => self.ready(),
            None => self.platform.chat(request).await,
        }
    }

    fn refuse_over_limit(&self, request: &Request<Incoming>) -> Response<FrontBody> {
        self.platform.count_refused_before_submission(request.headers());
        reply::rejection(Rejected::Busy)
    }

    fn refuse_conflicting_lengths(&self) -> Response<FrontBody> {
        reply::conflicting_lengths()
    }

    fn on_connection_closed(&self, closed: &ClosedConnection) {
        self.platform.connection_closed(closed);
    }
}
