//! The platform's protocol: chat requests whose headers say what the module needs to know.

use super::reply;
use crate::config::{Names, place};
use crate::gateway::{Answer, Gateway, Rejected, Submission};
use crate::interface::{Arrival, Class, Micros, RequestId};
use crate::net::{FrontBody, HttpEngines, Job, Manner};
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{HeaderMap, Request, Response, StatusCode};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Semaphore;

/// Most bytes of a body.
pub(super) const BODY_BYTES: usize = 256 << 10;
/// Most bytes of all bodies that are being read.
const READING_BYTES: usize = 24 << 20;
/// How long a body may take to come in.
pub(super) const BODY_PATIENCE: Duration = Duration::from_secs(10);
/// Characters of a token.
const TOKEN_CHARS: f64 = 4.0;
/// When to come back after the gateway itself had no room.
const BUSY_RETRY: Micros = 500_000;

/// The platform's front.
pub struct Platform {
    gateway: Gateway<HttpEngines>,
    names: Names,
    classes: Vec<Class>,
    bodies: Rc<Bodies>,
}

impl Platform {
    /// A front of the gateway; the classes give the deadline of a request that tells none.
    pub fn new(gateway: Gateway<HttpEngines>, names: Names, classes: Vec<Class>, bodies: Rc<Bodies>) -> Self {
        Self { gateway, names, classes, bodies }
    }

    pub(super) fn can_serve(&self) -> bool {
        self.gateway.can_serve()
    }

    /// Answers a chat request.
    pub(super) async fn chat(&self, request: Request<Incoming>) -> Response<FrontBody> {
        let came = Instant::now();
        let path = request.uri().path_and_query().map_or_else(String::new, ToString::to_string);
        let (head, body) = request.into_parts();
        let body = match read_body(&self.bodies, body).await {
            Ok(body) => body,
            Err(response) => return response,
        };
        if let Err(message) = check_chat(&body) {
            return reply::error(StatusCode::BAD_REQUEST, message);
        }
        let mut arrival = match arrival(&head.headers, &self.names, &self.classes, body.len()) {
            Ok(arrival) => arrival,
            Err(message) => return reply::error(StatusCode::BAD_REQUEST, &message),
        };
        arrival.expires_in = arrival.expires_in.saturating_sub(came.elapsed().as_micros() as Micros);
        let size = body.len();
        let job = Job { path, body, manner: Manner::Staged };
        let submission = Submission { arrival, job, size, key: None };
        match self.gateway.submit(submission) {
            Ok(ticket) => respond(ticket.answer().await),
            Err(rejected) => rejection(rejected),
        }
    }
}

/// Bounds the bytes of all bodies that are being read: many at once could hold more than there is.
pub struct Bodies(Semaphore);

impl Default for Bodies {
    fn default() -> Self {
        Self(Semaphore::new(READING_BYTES))
    }
}

/// Reads a request's body within its bounds of size and time.
pub(super) async fn read_body(bodies: &Bodies, body: Incoming) -> Result<Bytes, Response<FrontBody>> {
    let most = body.size_hint().upper().unwrap_or(BODY_BYTES as u64).min(BODY_BYTES as u64);
    let Ok(_room) = bodies.0.try_acquire_many(most as u32) else {
        return Err(rejection(Rejected::Busy));
    };
    match tokio::time::timeout(BODY_PATIENCE, Limited::new(body, BODY_BYTES).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            Err(reply::error(StatusCode::PAYLOAD_TOO_LARGE, "the body is longer than 256 KiB"))
        }
        Ok(Err(_)) => Err(reply::error(StatusCode::BAD_REQUEST, "the body could not be read")),
        Err(_) => Err(reply::error(StatusCode::REQUEST_TIMEOUT, "the body did not come in time")),
    }
}

/// The answer to a request that was not taken.
pub(super) fn rejection(rejected: Rejected) -> Response<FrontBody> {
    match rejected {
        Rejected::Duplicate => reply::error(StatusCode::CONFLICT, "a request of this id is open"),
        Rejected::KeyReused => {
            reply::error(StatusCode::UNPROCESSABLE_ENTITY, "the idempotency key came with another request")
        }
        Rejected::Busy => {
            reply::refusal(StatusCode::SERVICE_UNAVAILABLE, "no room for the request now", BUSY_RETRY)
        }
        Rejected::Stopped => {
            reply::refusal(StatusCode::SERVICE_UNAVAILABLE, "the gateway has stopped", BUSY_RETRY)
        }
    }
}

/// The core's answer as a response.
pub(super) fn respond(answer: Answer<crate::net::HttpEvents>) -> Response<FrontBody> {
    match answer {
        Answer::Events(relay) => {
            let mut response = Response::new(FrontBody::Relay(relay));
            let kind = HeaderValue::from_static("text/event-stream");
            response.headers_mut().insert(CONTENT_TYPE, kind);
            response
        }
        Answer::Whole(body) => reply::json(StatusCode::OK, body),
        Answer::Faulty(body) => reply::json(StatusCode::BAD_REQUEST, body),
        Answer::Refused { retry_after } => {
            reply::refusal(StatusCode::TOO_MANY_REQUESTS, "refused; nothing has run", retry_after)
        }
        Answer::Failed { timed_out: true } => {
            reply::error(StatusCode::GATEWAY_TIMEOUT, "no answer in time; it may have run")
        }
        Answer::Failed { timed_out: false } => {
            reply::error(StatusCode::BAD_GATEWAY, "no engine answered; it may have run")
        }
    }
}

/// Checks that the body is a chat request: an object with a list of messages.
fn check_chat(body: &[u8]) -> Result<(), &'static str> {
    #[derive(serde::Deserialize)]
    struct Chat {
        messages: Vec<serde::de::IgnoredAny>,
    }
    match serde_json::from_slice::<Chat>(body) {
        Ok(chat) if chat.messages.is_empty() => Err("messages is empty"),
        Ok(_) => Ok(()),
        Err(_) => Err("the body is no chat request"),
    }
}

pub(super) fn header<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, String> {
    let text = |value: &'a HeaderValue| value.to_str().map_err(|_| format!("{name}: not text"));
    headers.get(name).map(text).transpose().map(|value| value.map(str::trim))
}

/// Reads a span such as `4800m` or `250u`, in microseconds.
pub(super) fn span(text: &str) -> Option<Micros> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let scale = match unit {
        "m" => 1_000.0,
        "u" => 1.0,
        _ => return None,
    };
    let number: f64 = number.parse().ok()?;
    (number.is_finite() && (0.0..=1e12).contains(&number)).then_some((number * scale) as Micros)
}

/// A request's id: it becomes part of a path.
pub(super) fn request_id(text: &str) -> Option<RequestId> {
    let plain = |c: u8| c.is_ascii_alphanumeric() || b"-._~".contains(&c);
    (!text.is_empty() && text.len() <= 128 && text.bytes().all(plain)).then(|| RequestId(Arc::from(text)))
}

/// What the headers of a chat request tell.
fn arrival(headers: &HeaderMap, names: &Names, classes: &[Class], body: usize) -> Result<Arrival, String> {
    let required = |name: &str| header(headers, name)?.ok_or_else(|| format!("{name}: missing"));
    let id = request_id(required("req-id")?).ok_or("req-id: not an id")?;
    let class = place(&names.classes, required("req-kind")?).ok_or("req-kind: no such class")?;
    let tenant = match header(headers, "req-owner")? {
        None if names.tenants.is_empty() => 0,
        None => return Err("req-owner: missing".into()),
        Some(name) => place(&names.tenants, name).ok_or("req-owner: no such tenant")?,
    };
    let expires_in = match header(headers, "req-deadline")? {
        None => classes[class].deadline,
        Some(text) => span(text).ok_or("req-deadline: not a span")?,
    };
    let mut arrival = Arrival {
        id,
        class,
        tenant,
        session: header(headers, "req-key")?.map(Arc::from),
        hint: header(headers, "req-cost")?.and_then(|hint| hint.parse::<f64>().ok()).map(|h| h as Micros),
        prompt_tokens: body as f64 / TOKEN_CHARS,
        expires_in,
        ..Arrival::default()
    };
    for part in header(headers, "req-extra")?.unwrap_or("").split(',').filter(|part| !part.is_empty()) {
        let (name, value) = part.split_once('=').ok_or("req-extra: not a list of pairs")?;
        let tokens = || {
            let tokens = value.trim().parse::<f64>().ok().filter(|t| (0.0..=1e9).contains(t));
            tokens.ok_or_else(|| format!("req-extra: {name}: not a length"))
        };
        match name.trim() {
            "prefix" => arrival.prefix = Some(Arc::from(value.trim())),
            "prompt_len" => arrival.prompt_tokens = tokens()?,
            "prefix_len" => arrival.prefix_tokens = tokens()?,
            "max_out" => arrival.max_output_tokens = tokens()?,
            _ => {}
        }
    }
    Ok(arrival)
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    #[rstest]
    #[case("4800m", Some(4_800_000))]
    #[case("250u", Some(250))]
    #[case("1.5m", Some(1_500))]
    #[case("0m", Some(0))]
    #[case("-1m", None)]
    #[case("nanm", None)]
    #[case("infm", None)]
    #[case("48", None)]
    #[case("m", None)]
    #[case("", None)]
    #[case("5é", None)]
    fn span_has_a_number_and_a_unit(#[case] text: &str, #[case] expected: Option<Micros>) {
        assert_eq!(span(text), expected);
    }

    // The id becomes part of a path at an engine: nothing in it may change that path.
    #[rstest]
    #[case("9b1f03aa5c7e2d41", true)]
    #[case("5d3a91c4-338c-4494", true)]
    #[case("", false)]
    #[case("a/b", false)]
    #[case("a?b", false)]
    #[case("a b", false)]
    #[case("%2e", false)]
    fn id_is_plain(#[case] text: &str, #[case] good: bool) {
        assert_eq!(request_id(text).is_some(), good);
    }

    fn told(extra: &[(&'static str, &'static str)]) -> Result<Arrival, String> {
        let plain = [("req-id", "a"), ("req-kind", "lookup"), ("req-owner", "desk")];
        let mut headers = HeaderMap::new();
        for (name, value) in plain.iter().chain(extra) {
            headers.insert(*name, HeaderValue::from_static(value));
        }
        let names = Names {
            classes: vec!["chat".into(), "lookup".into()],
            tenants: vec!["desk".into()],
            ..Names::default()
        };
        arrival(&headers, &names, &[Class::default(), Class { deadline: 7, ..Class::default() }], 400)
    }

    #[test]
    fn headers_tell_what_the_module_needs() {
        let extra = "prefix=5c0f,prompt_len=5120,prefix_len=2048,max_out=800,new=1";
        let all = [("req-key", "s"), ("req-deadline", "4800m"), ("req-cost", "900"), ("req-extra", extra)];
        let arrival = told(&all).expect("lawful");
        assert_eq!((arrival.class, arrival.tenant, arrival.expires_in), (1, 0, 4_800_000));
        assert_eq!((arrival.session.as_deref(), arrival.prefix.as_deref()), (Some("s"), Some("5c0f")));
        assert_eq!((arrival.prompt_tokens, arrival.prefix_tokens), (5120.0, 2048.0));
        assert_eq!((arrival.max_output_tokens, arrival.hint), (800.0, Some(900)));
        let bare = told(&[]).expect("lawful");
        assert_eq!(
            (bare.expires_in, bare.prompt_tokens),
            (7, 100.0),
            "the class's deadline, the body's length"
        );
    }

    #[rstest]
    #[case(("req-kind", "poem"))]
    #[case(("req-owner", "nobody"))]
    #[case(("req-deadline", "soon"))]
    #[case(("req-extra", "prompt_len"))]
    #[case(("req-extra", "prompt_len=many"))]
    #[case(("req-extra", "max_out=NaN"))]
    fn header_that_makes_no_sense_is_refused(#[case] header: (&'static str, &'static str)) {
        assert!(told(&[header]).is_err());
    }
}
