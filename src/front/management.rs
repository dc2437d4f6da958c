//! Front for operators: readiness of this process, metrics, withholding of engines, and drain of the gateway.

use super::reply;
use crate::config::SharedState;
use crate::gateway::{Change, ChangeContent, Gateway, PREFIX};
use crate::memory::{Memory, MemoryUse};
use crate::net::{Front, FrontBody, HttpEngines, Phase};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use std::cell::Cell;
use std::fmt::Write;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Delay between the start of a drain and the closing of client connections. The load balancer in front of
/// the gateways polls readiness and needs this time to send new connections elsewhere.
const DRAIN_NOTICE_DELAY: Duration = Duration::from_millis(400);

/// Front for operators.
pub struct Management {
    /// Handle of the chat driver.
    pub gateway: Gateway<HttpEngines>,
    /// Names of the request classes.
    pub classes: Vec<String>,
    /// Number of attempts that were completely written to an engine.
    pub written_attempts: Rc<Cell<u64>>,
    /// The memory from which connections, requests and answers reserve.
    pub memory: Arc<Memory>,
    /// State shared with the other processes of the gateway, which persists operator commands.
    pub shared: SharedState,
    /// Current phase of a drain or a planned stop.
    pub phase: Rc<watch::Sender<Phase>>,
}

/// A call of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OperatorCall {
    Readiness,
    Stats,
    SetWithheld { withheld: bool },
    Drain { start: bool },
}

/// Parses a method and path. The error holds the method that the path supports, if the path exists.
fn parse_call(method: &Method, path: &str) -> Result<OperatorCall, Option<&'static str>> {
    let (supported_method, call) = match path {
        "/ops/readiness" => ("GET", OperatorCall::Readiness),
        "/ops/stats" => ("GET", OperatorCall::Stats),
        "/ops/engines/down" => ("POST", OperatorCall::SetWithheld { withheld: true }),
        "/ops/engines/up" => ("POST", OperatorCall::SetWithheld { withheld: false }),
        "/ops/drain/start" => ("POST", OperatorCall::Drain { start: true }),
        "/ops/drain/stop" => ("POST", OperatorCall::Drain { start: false }),
        _ => return Err(None),
    };
    if method.as_str() == supported_method { Ok(call) } else { Err(Some(supported_method)) }
}

/// Name of the engine in a query.
fn queried_engine(query: Option<&str>) -> Option<String> {
    let mut pairs = form_urlencoded::parse(query?.as_bytes());
    pairs.find(|(name, _)| name == "host").map(|(_, id)| id.into_owned()).filter(|id| !id.is_empty())
}

/// Advances the phase to the next one, if the current phase has one. Returns true if the phase changed.
fn advance_phase(phase: &watch::Sender<Phase>, next: impl Fn(Phase) -> Option<Phase>) -> bool {
    phase.send_if_modified(|phase| {
        let next = next(*phase);
        *phase = next.unwrap_or(*phase);
        next.is_some()
    })
}

fn done_response() -> Response<FrontBody> {
    reply::json(StatusCode::OK, Bytes::from_static(b"{\"done\":true}"))
}

impl Management {
    fn readiness(&self) -> Response<FrontBody> {
        if !self.phase.borrow().is_shutdown() && self.shared.is_claimed() && self.gateway.can_serve() {
            done_response()
        } else {
            reply::error(StatusCode::SERVICE_UNAVAILABLE, "takes no clients")
        }
    }

    fn stats(&self) -> Response<FrontBody> {
        let statistics = self.gateway.statistics();
        let mut text = String::new();
        let mut write_metric = |name: &str, kind: &str, values: &[(String, u64)]| {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "# TYPE {PREFIX}_{name} {kind}");
            for (labels, value) in values {
                let _ = writeln!(text, "{PREFIX}_{name}{labels} {value}");
            }
        };
        let mut handled = Vec::new();
        for (class, counts) in self.classes.iter().zip(&statistics.requests_by_class) {
            let class = class.replace('\\', "\\\\").replace('"', "\\\"");
            let counts =
                [("passed", counts.served), ("dropped", counts.refused), ("bad_gateway", counts.failed)];
            for (outcome, count) in counts {
                handled.push((format!("{{category=\"{class}\",outcome=\"{outcome}\"}}"), count));
            }
        }
        let unlabelled = |value: u64| [(String::new(), value)];
        write_metric("handled", "counter", &handled);
        write_metric("upstream_tries", "counter", &unlabelled(self.written_attempts.get()));
        write_metric("in_progress", "gauge", &unlabelled(statistics.open_requests as u64));
        write_metric("known_engines", "gauge", &unlabelled(statistics.listed_engines as u64));
        let reserved = MemoryUse::ALL.map(|memory_use| {
            let label = format!("{{use=\"{}\"}}", memory_use.name());
            (label, self.memory.reserved_bytes(memory_use) as u64)
        });
        write_metric("reserved_bytes", "gauge", &reserved);
        write_metric("skipped_engines", "gauge", &unlabelled(statistics.avoided_engines as u64));
        text += &self.gateway.metrics().text();
        reply::complete(StatusCode::OK, "text/plain; version=0.0.4", text.into())
    }

    fn set_withheld(&self, id: Option<&str>, withheld: bool) -> Response<FrontBody> {
        let Some(id) = id else { return reply::error(StatusCode::BAD_REQUEST, "host: missing") };
        if !self.gateway.knows_engine(id) {
            return reply::error(StatusCode::NOT_FOUND, "no engine of that id was listed");
        }
        if let Err(error) = self.shared.withhold(id, withheld) {
            log::error!("operator command not persisted uid={id} withheld={withheld} error={error}");
            return reply::error(StatusCode::INTERNAL_SERVER_ERROR, "the order could not be written down");
        }
        log::info!("operator command uid={id} withheld={withheld}");
        let content = ChangeContent::Withheld(self.shared.withheld());
        match self.gateway.apply_change(Change { revision: 0, content }) {
            Ok(()) => done_response(),
            Err(rejected) => reply::rejection(rejected),
        }
    }

    fn drain(&self, start: bool) -> Response<FrontBody> {
        let changed = advance_phase(&self.phase, |phase| match phase {
            Phase::Serving if start => Some(Phase::Draining),
            Phase::Draining | Phase::DrainClosing if !start => Some(Phase::Serving),
            _ => None,
        });
        if changed {
            log::info!("drain start={start} open={}", self.gateway.open_request_count());
        }
        if changed && start {
            let phase = self.phase.clone();
            tokio::task::spawn_local(async move {
                tokio::time::sleep(DRAIN_NOTICE_DELAY).await;
                advance_phase(&phase, |phase| (phase == Phase::Draining).then_some(Phase::DrainClosing));
            });
        }
        if start && self.phase.borrow().is_shutdown() {
            return reply::error(StatusCode::CONFLICT, "the gateway stops");
        }
        done_response()
    }
}

impl Front for Management {
    async fn handle(&self, request: Request<Incoming>) -> Response<FrontBody> {
        let uri = request.uri();
        let mut response = match parse_call(request.method(), uri.path()) {
            Ok(OperatorCall::Readiness) => self.readiness(),
            Ok(OperatorCall::Stats) => self.stats(),
            Ok(OperatorCall::SetWithheld { withheld }) => {
                self.set_withheld(queried_engine(uri.query()).as_deref(), withheld)
            }
            Ok(OperatorCall::Drain { start }) => self.drain(start),
            Err(Some(allowed)) => reply::not_allowed(allowed),
            Err(None) => reply::error(StatusCode::NOT_FOUND, "no such path"),
        };
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        response
    }

    fn refuse_over_limit(&self, _: &Request<Incoming>) -> Response<FrontBody> {
        reply::error(StatusCode::SERVICE_UNAVAILABLE, "too many calls at once")
    }

    fn refuse_conflicting_lengths(&self) -> Response<FrontBody> {
        reply::conflicting_lengths()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    #[rstest]
    #[case::single_parameter(Some("host=s-5be2a07c"), Some("s-5be2a07c"))]
    #[case::several_parameters(Some("a=b&host=s%2D1&c"), Some("s-1"))]
    #[case::empty_value(Some("host="), None)]
    #[case::other_parameter(Some("uid=s-1"), None)]
    #[case::no_query(None, None)]
    fn query_names_an_engine(#[case] query: Option<&str>, #[case] expected: Option<&str>) {
        assert_eq!(queried_engine(query).as_deref(), expected);
    }

    #[rstest]
    #[case(Method::GET, "/ops/readiness", Ok(OperatorCall::Readiness))]
    #[case(Method::POST, "/ops/stats", Err(Some("GET")))]
    #[case(Method::POST, "/ops/engines/up", Ok(OperatorCall::SetWithheld { withheld: false }))]
    #[case(Method::GET, "/ops/drain/start", Err(Some("POST")))]
    #[case(Method::GET, "/v1/chat/completions", Err(None))]
    fn call_is_determined_by_path_and_method(
        #[case] method: Method,
        #[case] path: &str,
        #[case] expected: Result<OperatorCall, Option<&'static str>>,
    ) {
        assert_eq!(parse_call(&method, path), expected);
    }
}
