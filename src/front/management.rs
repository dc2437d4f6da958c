//! The operators' front: whether this process takes clients, its figures, engines in and out by hand, and
//! the drain of the gateway.

use super::reply;
use crate::config::Shared;
use crate::gateway::{Change, Gateway, News, PREFIX};
use crate::net::{Front, FrontBody, HttpEngines, Phase};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use std::cell::Cell;
use std::fmt::Write;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// How long after a drain's start clients' connections are closed: the front in front of the gateways asks
/// whether this one is ready, and needs a moment to send new ones elsewhere.
const NOTICED: Duration = Duration::from_millis(400);

/// The operators' front.
pub struct Management {
    /// The chat gateway.
    pub gateway: Gateway<HttpEngines>,
    /// The names of its classes.
    pub classes: Vec<String>,
    /// Attempts that were written whole.
    pub sent_attempts: Rc<Cell<u64>>,
    /// Where orders are written down.
    pub shared: Shared,
    /// How far a drain or a stop has come.
    pub phase: Rc<watch::Sender<Phase>>,
}

/// A call as operators make it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Order {
    Readiness,
    Stats,
    Engine { out: bool },
    Drain { start: bool },
}

/// What a path and its method ask for, or which method the path wants.
fn order(method: &Method, path: &str) -> Result<Order, Option<&'static str>> {
    let (wanted, order) = match path {
        "/ops/readiness" => ("GET", Order::Readiness),
        "/ops/stats" => ("GET", Order::Stats),
        "/ops/engines/down" => ("POST", Order::Engine { out: true }),
        "/ops/engines/up" => ("POST", Order::Engine { out: false }),
        "/ops/drain/start" => ("POST", Order::Drain { start: true }),
        "/ops/drain/stop" => ("POST", Order::Drain { start: false }),
        _ => return Err(None),
    };
    if method.as_str() == wanted { Ok(order) } else { Err(Some(wanted)) }
}

/// The engine that a query names.
fn host(query: Option<&str>) -> Option<String> {
    let mut pairs = form_urlencoded::parse(query?.as_bytes());
    pairs.find(|(name, _)| name == "host").map(|(_, id)| id.into_owned()).filter(|id| !id.is_empty())
}

/// Leads on to the next phase, where there is one from the phase as it is; whether there was.
fn lead_on(phase: &watch::Sender<Phase>, next: impl Fn(Phase) -> Option<Phase>) -> bool {
    phase.send_if_modified(|phase| {
        let next = next(*phase);
        *phase = next.unwrap_or(*phase);
        next.is_some()
    })
}

fn done() -> Response<FrontBody> {
    reply::json(StatusCode::OK, Bytes::from_static(b"{\"done\":true}"))
}

impl Management {
    fn readiness(&self) -> Response<FrontBody> {
        if !self.phase.borrow().is_stop() && self.shared.is_claimed() && self.gateway.can_serve() {
            done()
        } else {
            reply::error(StatusCode::SERVICE_UNAVAILABLE, "takes no clients")
        }
    }

    fn stats(&self) -> Response<FrontBody> {
        let figures = self.gateway.figures();
        let mut text = String::new();
        let mut line = |name: &str, kind: &str, values: &[(String, u64)]| {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "# TYPE {PREFIX}_{name} {kind}");
            for (labels, value) in values {
                let _ = writeln!(text, "{PREFIX}_{name}{labels} {value}");
            }
        };
        let mut handled = Vec::new();
        for (class, counts) in self.classes.iter().zip(&figures.handled) {
            let class = class.replace('\\', "\\\\").replace('"', "\\\"");
            let counts =
                [("passed", counts.served), ("dropped", counts.refused), ("bad_gateway", counts.failed)];
            for (outcome, count) in counts {
                handled.push((format!("{{category=\"{class}\",outcome=\"{outcome}\"}}"), count));
            }
        }
        let plain = |value: u64| [(String::new(), value)];
        line("handled", "counter", &handled);
        line("upstream_tries", "counter", &plain(self.sent_attempts.get()));
        line("in_progress", "gauge", &plain(figures.open as u64));
        line("known_engines", "gauge", &plain(figures.listed as u64));
        line("skipped_engines", "gauge", &plain(figures.avoided as u64));
        text += &self.gateway.metrics().text();
        reply::whole(StatusCode::OK, "text/plain; version=0.0.4", text.into())
    }

    fn engine(&self, id: Option<&str>, out: bool) -> Response<FrontBody> {
        let Some(id) = id else { return reply::error(StatusCode::BAD_REQUEST, "host: missing") };
        if !self.gateway.has_listed(id) {
            return reply::error(StatusCode::NOT_FOUND, "no engine of that id was listed");
        }
        if let Err(error) = self.shared.withhold(id, out) {
            log::error!("order not written down engine={id} out={out} {error}");
            return reply::error(StatusCode::INTERNAL_SERVER_ERROR, "the order could not be written down");
        }
        log::info!("engine by hand uid={id} out={out}");
        let news = News::Withheld(self.shared.withheld());
        match self.gateway.tell(Change { revision: 0, news }) {
            Ok(()) => done(),
            Err(rejected) => reply::rejection(rejected),
        }
    }

    fn drain(&self, start: bool) -> Response<FrontBody> {
        let changed = lead_on(&self.phase, |phase| match phase {
            Phase::Serving if start => Some(Phase::Draining),
            Phase::Draining | Phase::Away if !start => Some(Phase::Serving),
            _ => None,
        });
        if changed {
            log::info!("drain start={start} open={}", self.gateway.open());
        }
        if changed && start {
            let phase = self.phase.clone();
            tokio::task::spawn_local(async move {
                tokio::time::sleep(NOTICED).await;
                lead_on(&phase, |phase| (phase == Phase::Draining).then_some(Phase::Away));
            });
        }
        if start && self.phase.borrow().is_stop() {
            return reply::error(StatusCode::CONFLICT, "the gateway stops");
        }
        done()
    }
}

impl Front for Management {
    async fn handle(&self, request: Request<Incoming>) -> Response<FrontBody> {
        let uri = request.uri();
        let mut response = match order(request.method(), uri.path()) {
            Ok(Order::Readiness) => self.readiness(),
            Ok(Order::Stats) => self.stats(),
            Ok(Order::Engine { out }) => self.engine(host(uri.query()).as_deref(), out),
            Ok(Order::Drain { start }) => self.drain(start),
            Err(Some(allowed)) => reply::not_allowed(allowed),
            Err(None) => reply::error(StatusCode::NOT_FOUND, "no such path"),
        };
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        response
    }

    fn too_many(&self, _: &Request<Incoming>) -> Response<FrontBody> {
        reply::error(StatusCode::SERVICE_UNAVAILABLE, "too many calls at once")
    }

    fn contradicting(&self) -> Response<FrontBody> {
        reply::contradicting()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    #[rstest]
    #[case::plain(Some("host=s-5be2a07c"), Some("s-5be2a07c"))]
    #[case::among_others(Some("a=b&host=s%2D1&c"), Some("s-1"))]
    #[case::empty(Some("host="), None)]
    #[case::another_name(Some("uid=s-1"), None)]
    #[case::none(None, None)]
    fn query_names_an_engine(#[case] query: Option<&str>, #[case] expected: Option<&str>) {
        assert_eq!(host(query).as_deref(), expected);
    }

    #[rstest]
    #[case(Method::GET, "/ops/readiness", Ok(Order::Readiness))]
    #[case(Method::POST, "/ops/stats", Err(Some("GET")))]
    #[case(Method::POST, "/ops/engines/up", Ok(Order::Engine { out: false }))]
    #[case(Method::GET, "/ops/drain/start", Err(Some("POST")))]
    #[case(Method::GET, "/v1/chat/completions", Err(None))]
    fn call_is_told_by_path_and_method(
        #[case] method: Method,
        #[case] path: &str,
        #[case] expected: Result<Order, Option<&'static str>>,
    ) {
        assert_eq!(order(&method, path), expected);
    }
}
