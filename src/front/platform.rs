//! The platform's protocol: chat requests whose headers carry the inputs of the decision module.

use super::intake::{
    BYTES_PER_TOKEN, BodyReader, ReceivedRequest, header_text, parse_duration, parse_request_id,
};
use super::reply;
use crate::config::{NameTables, index_of};
use crate::gateway::{Gateway, Invariant, RequestResult, Submission, Ticket};
use crate::interface::{Arrival, Class, Micros, RequestId};
use crate::net::{ClosedConnection, FrontBody, HttpEngines, Job, Processing};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Request, Response, StatusCode};
use std::rc::Rc;
use std::sync::Arc;

/// Front for the platform's protocol.
pub struct Platform {
    gateway: Gateway<HttpEngines>,
    names: NameTables,
    body_reader: Rc<BodyReader>,
}

impl Platform {
    /// Creates a front for the gateway, with the names of the classes and tenants in client requests.
    pub fn new(gateway: Gateway<HttpEngines>, names: NameTables, body_reader: Rc<BodyReader>) -> Self {
        Self { gateway, names, body_reader }
    }

    pub(super) fn can_serve(&self) -> bool {
        self.gateway.can_serve()
    }

    fn class(&self, headers: &HeaderMap) -> Option<usize> {
        index_of(&self.names.classes, header_text(headers, "req-kind").ok()??)
    }

    /// Counts a request that is refused before it reaches the gateway's core.
    pub(super) fn count_refused_before_submission(&self, headers: &HeaderMap) {
        self.count_refused(self.class(headers));
    }

    fn count_refused(&self, class: Option<usize>) {
        if let Some(class) = class {
            self.gateway.count_result(class, RequestResult::Refused);
        }
    }

    /// Counts a closed client connection.
    pub(super) fn connection_closed(&self, closed: &ClosedConnection) {
        let (number, reason) = (closed.number, closed.reason.name());
        log::debug!("connection closed number={number} reason={reason}");
        self.gateway.metrics().count_closed(reason);
        if let Some(id) = &closed.unanswered_request_id {
            let request = RequestId(Arc::from(&**id));
            let detail = format!("connection={number} reason={reason}");
            self.gateway.invariants().report_violation(Invariant::NoCloseUnanswered, &request, detail);
        }
    }

    /// Answers a chat request.
    pub(super) async fn chat(&self, request: Request<Incoming>) -> Response<FrontBody> {
        let class = self.class(request.headers());
        match self.submit(request).await {
            Ok(ticket) => reply::respond(ticket.answer().await),
            Err(response) => {
                if response.status() == StatusCode::SERVICE_UNAVAILABLE {
                    self.count_refused(class);
                }
                response
            }
        }
    }

    /// Reads a request and submits it to the core. Returns the error response if the request is not accepted.
    async fn submit(&self, request: Request<Incoming>) -> Result<Ticket<HttpEngines>, Response<FrontBody>> {
        let ReceivedRequest { received_at, path, headers, body, reservation } =
            self.body_reader.read(request).await?;
        let bad_request = |message: &str| reply::error(StatusCode::BAD_REQUEST, message);
        check_chat(&body).map_err(bad_request)?;
        // A request without a deadline header gets the deadline of its class in the current settings.
        let parsed = parse_arrival(&headers, &self.names, &self.gateway.settings().classes, body.len());
        let mut arrival = parsed.map_err(|message| bad_request(&message))?;
        arrival.expires_in = arrival.expires_in.saturating_sub(received_at.elapsed().as_micros() as Micros);
        let size = body.len();
        // The key is copied, because a header value holds the buffer of the whole head.
        let idempotency_key = headers.get("idempotency-key");
        let idempotency_key = idempotency_key.and_then(|key| HeaderValue::from_bytes(key.as_bytes()).ok());
        let processing = Processing::PrefillThenDecode;
        let job = Job { path, body, idempotency_key, processing, reservation };
        let submission = Submission { arrival, job, size, key: None };
        self.gateway.submit(submission).map_err(reply::rejection)
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

/// Parses the headers of a chat request whose body has `body_bytes` bytes.
fn parse_arrival(
    headers: &HeaderMap,
    names: &NameTables,
    classes: &[Class],
    body_bytes: usize,
) -> Result<Arrival, String> {
    let required = |name: &str| header_text(headers, name)?.ok_or_else(|| format!("{name}: missing"));
    let id = parse_request_id(required("req-id")?).ok_or("req-id: not an id")?;
    let class = index_of(&names.classes, required("req-kind")?).ok_or("req-kind: no such class")?;
    let tenant = match header_text(headers, "req-owner")? {
        None if names.tenants.is_empty() => 0,
        None => return Err("req-owner: missing".into()),
        Some(name) => index_of(&names.tenants, name).ok_or("req-owner: no such tenant")?,
    };
    let expires_in = match header_text(headers, "req-deadline")? {
        None => classes[class].deadline,
        Some(text) => parse_duration(text).ok_or("req-deadline: not a span")?,
    };
    let mut arrival = Arrival {
        id,
        class,
        tenant,
        session: header_text(headers, "req-key")?.map(Arc::from),
        expected_answer_time: header_text(headers, "req-cost")?
            .and_then(|text| text.parse::<f64>().ok())
            .map(|h| h as Micros),
        prompt_tokens: body_bytes as f64 / BYTES_PER_TOKEN as f64,
        expires_in,
        resumed: header_text(headers, "req-retry")? == Some("again"),
        ..Arrival::default()
    };
    for part in header_text(headers, "req-extra")?.unwrap_or("").split(',').filter(|part| !part.is_empty()) {
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
    use hyper::header::HeaderValue;
    use rstest::rstest;

    fn parse_with(extra: &[(&'static str, &'static str)]) -> Result<Arrival, String> {
        let required = [("req-id", "a"), ("req-kind", "lookup"), ("req-owner", "desk")];
        let mut headers = HeaderMap::new();
        for (name, value) in required.iter().chain(extra) {
            headers.insert(*name, HeaderValue::from_static(value));
        }
        let names = NameTables {
            classes: vec!["chat".into(), "lookup".into()],
            tenants: vec!["desk".into()],
            ..NameTables::default()
        };
        parse_arrival(&headers, &names, &[Class::default(), Class { deadline: 7, ..Class::default() }], 400)
    }

    #[test]
    fn headers_are_parsed() {
        let extra = "prefix=5c0f,prompt_len=5120,prefix_len=2048,max_out=800,new=1";
        let optional = [
            ("req-key", "s"),
            ("req-deadline", "4800m"),
            ("req-cost", "900"),
            ("req-extra", extra),
            ("req-retry", "again"),
        ];
        let arrival = parse_with(&optional).expect("the headers are valid");
        assert_eq!((arrival.class, arrival.tenant, arrival.expires_in), (1, 0, 4_800_000));
        assert_eq!((arrival.session.as_deref(), arrival.prefix.as_deref()), (Some("s"), Some("5c0f")));
        assert_eq!((arrival.prompt_tokens, arrival.prefix_tokens), (5120.0, 2048.0));
        assert_eq!((arrival.max_output_tokens, arrival.expected_answer_time), (800.0, Some(900)));
        assert!(
            arrival.resumed && !parse_with(&[("req-retry", "1")]).expect("the headers are valid").resumed
        );
        let defaulted = parse_with(&[]).expect("the headers are valid");
        assert_eq!(
            (defaulted.expires_in, defaulted.prompt_tokens),
            (7, 100.0),
            "the deadline comes from the class and the prompt length from the body"
        );
    }

    #[rstest]
    #[case(("req-kind", "poem"))]
    #[case(("req-owner", "nobody"))]
    #[case(("req-deadline", "soon"))]
    #[case(("req-extra", "prompt_len"))]
    #[case(("req-extra", "prompt_len=many"))]
    #[case(("req-extra", "max_out=NaN"))]
    fn invalid_header_is_rejected(#[case] header: (&'static str, &'static str)) {
        assert!(parse_with(&[header]).is_err());
    }
}
