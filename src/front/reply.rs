//! Responses and error bodies in the format of the API.

use crate::gateway::{Answer, Rejected};
use crate::interface::Micros;
use crate::net::{FrontBody, HttpEvents};
use bytes::Bytes;
use hyper::header::{ALLOW, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// Retry delay sent to clients when the gateway has no capacity for a request or has stopped, in
/// microseconds.
const BUSY_RETRY: Micros = 500_000;

/// Response with a complete body of the given content type.
pub(super) fn complete(status: StatusCode, content_type: &'static str, body: Bytes) -> Response<FrontBody> {
    let mut response = Response::new(FrontBody::Complete(Some(body)));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

/// Response with a JSON body.
pub(super) fn json(status: StatusCode, body: Bytes) -> Response<FrontBody> {
    complete(status, "application/json", body)
}

/// Error response with the error body of the API.
pub(super) fn error(status: StatusCode, message: &str) -> Response<FrontBody> {
    let error_type = match status {
        StatusCode::TOO_MANY_REQUESTS => "rate_limit_error",
        status if status.is_client_error() => "invalid_request_error",
        _ => "server_error",
    };
    let code = status.canonical_reason().unwrap_or("error").to_ascii_lowercase().replace(' ', "_");
    let body =
        serde_json::json!({"error": {"message": message, "type": error_type, "param": null, "code": code}});
    json(status, body.to_string().into())
}

/// Response to a method that the path does not support, with the supported method.
pub(super) fn not_allowed(allowed: &'static str) -> Response<FrontBody> {
    let mut response = error(StatusCode::METHOD_NOT_ALLOWED, "no such method here");
    response.headers_mut().insert(ALLOW, HeaderValue::from_static(allowed));
    response
}

/// Response to a head with both a transfer encoding and a content length.
pub(super) fn conflicting_lengths() -> Response<FrontBody> {
    error(StatusCode::BAD_REQUEST, "both transfer-encoding and content-length")
}

/// Refusal with the time after which the client may retry.
pub(super) fn refusal(status: StatusCode, message: &str, retry_after: Micros) -> Response<FrontBody> {
    let mut response = error(status, message);
    if retry_after > 0 {
        let seconds = format!("{:.3}", retry_after as f64 / 1e6);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

/// Rounds the retry delay of a response up to whole seconds, as clients of common APIs expect.
pub(super) fn round_up_retry_after(mut response: Response<FrontBody>) -> Response<FrontBody> {
    if let Some(value) = response.headers_mut().get_mut(RETRY_AFTER) {
        let seconds = value.to_str().ok().and_then(|text| text.parse::<f64>().ok()).unwrap_or(1.0);
        *value = HeaderValue::from(seconds.ceil() as u64);
    }
    response
}

/// Response to a request that the gateway did not accept.
pub(super) fn rejection(rejected: Rejected) -> Response<FrontBody> {
    match rejected {
        Rejected::Duplicate => error(StatusCode::CONFLICT, "a request of this id is open or has run"),
        Rejected::KeyReused => {
            error(StatusCode::UNPROCESSABLE_ENTITY, "the idempotency key came with another request")
        }
        Rejected::Busy => refusal(StatusCode::SERVICE_UNAVAILABLE, "no room for the request now", BUSY_RETRY),
        Rejected::Stopped => refusal(StatusCode::SERVICE_UNAVAILABLE, "the gateway has stopped", BUSY_RETRY),
    }
}

/// Converts the core's answer to a response.
pub(super) fn respond(answer: Answer<HttpEvents>) -> Response<FrontBody> {
    match answer {
        Answer::Events(relay) => {
            let mut response = Response::new(FrontBody::Relay(Box::new(relay)));
            let content_type = HeaderValue::from_static("text/event-stream");
            response.headers_mut().insert(CONTENT_TYPE, content_type);
            response
        }
        Answer::Complete(body) => json(StatusCode::OK, body),
        Answer::InvalidRequest(body) => json(StatusCode::BAD_REQUEST, body),
        Answer::Refused { retry_after } => {
            refusal(StatusCode::TOO_MANY_REQUESTS, "refused; nothing has run", retry_after)
        }
        Answer::Failed { timed_out: true } => {
            error(StatusCode::GATEWAY_TIMEOUT, "no answer in time; it may have run")
        }
        Answer::Failed { timed_out: false } => {
            error(StatusCode::BAD_GATEWAY, "no engine answered; it may have run")
        }
    }
}
