//! Receives requests for all fronts: reads the head and the body within limits of size and time.

use super::reply;
use crate::gateway::Rejected;
use crate::interface::{Micros, RequestId};
use crate::memory::{Memory, MemoryUse, Reservation};
use crate::net::{FrontBody, Phase};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Request, Response, StatusCode};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Average number of bytes in a token, by which prompt lengths are estimated.
pub(super) const BYTES_PER_TOKEN: usize = 4;
/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 256 << 10;
/// Maximum time between two chunks of a request body.
const BODY_STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time for receiving a complete request body.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// A request that has been received completely.
pub(super) struct ReceivedRequest {
    /// Time at which the head was received.
    pub(super) received_at: Instant,
    /// Path and query of the request.
    pub(super) path: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// The memory of the request while it is open.
    pub(super) reservation: Reservation,
}

/// Reads request bodies within the memory that is left for them.
pub struct BodyReader {
    memory: Arc<Memory>,
    /// Memory of an open request in addition to its body and path, in bytes.
    request_bytes: usize,
    phase: watch::Receiver<Phase>,
}

impl BodyReader {
    /// Creates a reader that reserves memory for each body, and for each request `request_bytes` in addition to
    /// its body and path. Reading ends when a planned stop has ended.
    pub fn new(memory: Arc<Memory>, request_bytes: usize, phase: watch::Receiver<Phase>) -> Self {
        Self { memory, request_bytes, phase }
    }

    /// Waits until the planned stop has ended, after which no body is read any more.
    async fn wait_for_end(&self) {
        if self.phase.clone().wait_for(|phase| *phase == Phase::Ended).await.is_err() {
            // The sender of the phase was dropped, so that the phase can no longer change.
            std::future::pending::<()>().await;
        }
    }

    /// Reads a request within the limits of size and time, or returns the error response.
    pub(super) async fn read(
        &self,
        request: Request<Incoming>,
    ) -> Result<ReceivedRequest, Response<FrontBody>> {
        let received_at = Instant::now();
        let (head, body) = request.into_parts();
        let too_long = || reply::error(StatusCode::PAYLOAD_TOO_LARGE, "the body is longer than 256 KiB");
        let size_hint = body.size_hint();
        if size_hint.lower() > MAX_BODY_BYTES as u64 {
            return Err(too_long());
        }
        let max_size = size_hint.upper().unwrap_or(MAX_BODY_BYTES as u64);
        let busy = || reply::rejection(Rejected::Busy);
        let incoming_body =
            self.memory.try_reserve(MemoryUse::IncomingBody, max_size as usize).ok_or_else(busy)?;
        let read = tokio::time::timeout(BODY_READ_TIMEOUT, read_body(body, size_hint.lower() as usize));
        let read = tokio::select! {
            read = read => read,
            () = self.wait_for_end() => return Err(reply::rejection(Rejected::Stopped)),
        };
        let body = match read {
            Ok(Ok(body)) => body,
            Ok(Err(BodyError::Long)) => return Err(too_long()),
            Ok(Err(BodyError::Broken)) => {
                return Err(reply::error(StatusCode::BAD_REQUEST, "the body could not be read"));
            }
            Ok(Err(BodyError::Stalled)) | Err(_) => {
                return Err(reply::error(StatusCode::REQUEST_TIMEOUT, "the body did not come in time"));
            }
        };
        let path = head.uri.path_and_query().map_or_else(String::new, ToString::to_string);
        drop(incoming_body);
        let request_bytes = self.request_bytes + path.len() + body.len();
        let reservation = self.memory.try_reserve(MemoryUse::OpenRequest, request_bytes).ok_or_else(busy)?;
        Ok(ReceivedRequest { received_at, path, headers: head.headers, body, reservation })
    }
}

/// Reason why a body was not read to its end.
enum BodyError {
    Long,
    Broken,
    Stalled,
}

/// Reads a complete body. Reading fails if the body stalls, breaks or exceeds the maximum size.
async fn read_body(mut body: Incoming, length: usize) -> Result<Bytes, BodyError> {
    let mut bytes = Vec::with_capacity(length);
    loop {
        match tokio::time::timeout(BODY_STALL_TIMEOUT, body.frame()).await {
            Err(_) => return Err(BodyError::Stalled),
            Ok(None) => {
                bytes.shrink_to_fit();
                return Ok(bytes.into());
            }
            Ok(Some(Err(_))) => return Err(BodyError::Broken),
            Ok(Some(Ok(frame))) => {
                let data = frame.data_ref().map_or(&[][..], |data| data);
                if bytes.len() + data.len() > MAX_BODY_BYTES {
                    return Err(BodyError::Long);
                }
                if bytes.len() + data.len() > bytes.capacity() {
                    let capacity = (2 * bytes.capacity()).max(bytes.len() + data.len()).min(MAX_BODY_BYTES);
                    bytes.reserve_exact(capacity - bytes.len());
                }
                bytes.extend_from_slice(data);
            }
        }
    }
}

/// Text of a header, if the header is present.
pub(super) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, String> {
    let to_text = |value: &'a HeaderValue| value.to_str().map_err(|_| format!("{name}: not text"));
    headers.get(name).map(to_text).transpose().map(|value| value.map(str::trim))
}

/// Parses a duration such as `4800m` (milliseconds) or `250u` (microseconds), in microseconds.
pub(super) fn parse_duration(text: &str) -> Option<Micros> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let scale = match unit {
        "m" => 1_000.0,
        "u" => 1.0,
        _ => return None,
    };
    let number: f64 = number.parse().ok()?;
    (number.is_finite() && (0.0..=1e12).contains(&number)).then_some((number * scale) as Micros)
}

/// Parses a request id. Only path-safe characters are allowed, because the id becomes part of a path.
pub(super) fn parse_request_id(text: &str) -> Option<RequestId> {
    let is_path_safe = |c: u8| c.is_ascii_alphanumeric() || b"-._~".contains(&c);
    (!text.is_empty() && text.len() <= 128 && text.bytes().all(is_path_safe))
        .then(|| RequestId(Arc::from(text)))
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
    fn duration_has_a_number_and_a_unit(#[case] text: &str, #[case] expected: Option<Micros>) {
        assert_eq!(parse_duration(text), expected);
    }

    // The id becomes part of a path at an engine, so that no character of the id may change the path.
    #[rstest]
    #[case("9b1f03aa5c7e2d41", true)]
    #[case("5d3a91c4-338c-4494", true)]
    #[case("", false)]
    #[case("a/b", false)]
    #[case("a?b", false)]
    #[case("a b", false)]
    #[case("%2e", false)]
    fn request_id_has_only_path_safe_characters(#[case] text: &str, #[case] valid: bool) {
        assert_eq!(parse_request_id(text).is_some(), valid);
    }
}
