//! What every front does with a request first: its head and body read within their bounds.

use super::reply;
use crate::gateway::Rejected;
use crate::interface::{Micros, RequestId};
use crate::net::{FrontBody, Phase};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Request, Response, StatusCode};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{Semaphore, watch};

/// Characters of a token.
pub(super) const TOKEN_CHARS: usize = 4;
/// Most bytes of a body.
const BODY_BYTES: usize = 256 << 10;
/// How long a body may stand still while it comes in, and how long it may take in all.
const BODY_STALL: Duration = Duration::from_secs(2);
const BODY_PATIENCE: Duration = Duration::from_secs(10);

/// A request that has come in whole.
pub(super) struct Whole {
    /// When its head had come.
    pub(super) came: Instant,
    /// Path and query.
    pub(super) path: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

/// Bounds the bytes of all bodies that are being read: many at once could hold more than there is.
pub struct Bodies {
    room: Semaphore,
    phase: watch::Receiver<Phase>,
}

impl Bodies {
    /// Room for so many bytes; none is read any more once the gateway's stop has ended.
    pub fn new(bytes: usize, phase: watch::Receiver<Phase>) -> Self {
        Self { room: Semaphore::new(bytes), phase }
    }

    /// Waits until no more is to be read.
    async fn ended(&self) {
        if self.phase.clone().wait_for(|phase| *phase == Phase::Ended).await.is_err() {
            // Nobody is left to end anything.
            std::future::pending::<()>().await;
        }
    }

    /// Reads a request within its bounds of size and time.
    pub(super) async fn read(&self, request: Request<Incoming>) -> Result<Whole, Response<FrontBody>> {
        let came = Instant::now();
        let (head, body) = request.into_parts();
        let long = || reply::error(StatusCode::PAYLOAD_TOO_LARGE, "the body is longer than 256 KiB");
        let told = body.size_hint();
        if told.lower() > BODY_BYTES as u64 {
            return Err(long());
        }
        let most = told.upper().unwrap_or(BODY_BYTES as u64);
        let Ok(_room) = self.room.try_acquire_many(most as u32) else {
            return Err(reply::rejection(Rejected::Busy));
        };
        let read = tokio::time::timeout(BODY_PATIENCE, whole(body, told.lower() as usize));
        let read = tokio::select! {
            read = read => read,
            () = self.ended() => return Err(reply::rejection(Rejected::Stopped)),
        };
        let body = match read {
            Ok(Ok(body)) => body,
            Ok(Err(Cut::Long)) => return Err(long()),
            Ok(Err(Cut::Broken)) => {
                return Err(reply::error(StatusCode::BAD_REQUEST, "the body could not be read"));
            }
            Ok(Err(Cut::Stalled)) | Err(_) => {
                return Err(reply::error(StatusCode::REQUEST_TIMEOUT, "the body did not come in time"));
            }
        };
        let path = head.uri.path_and_query().map_or_else(String::new, ToString::to_string);
        Ok(Whole { came, path, headers: head.headers, body })
    }
}

/// Why a body was not read to its end.
enum Cut {
    Long,
    Broken,
    Stalled,
}

/// Reads a body whole; one whose next piece does not come, or that grows too long, is given up.
async fn whole(mut body: Incoming, length: usize) -> Result<Bytes, Cut> {
    let mut bytes = BytesMut::with_capacity(length);
    loop {
        match tokio::time::timeout(BODY_STALL, body.frame()).await {
            Err(_) => return Err(Cut::Stalled),
            Ok(None) => return Ok(bytes.freeze()),
            Ok(Some(Err(_))) => return Err(Cut::Broken),
            Ok(Some(Ok(frame))) => {
                let data = frame.data_ref().map_or(&[][..], |data| data);
                if bytes.len() + data.len() > BODY_BYTES {
                    return Err(Cut::Long);
                }
                bytes.extend_from_slice(data);
            }
        }
    }
}

/// A header's text.
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
}
