//! Engines over HTTP/1.1: attempts, their responses, and releases.

use super::answer::{count_entries, read_body};
use super::events::{Events, MAX_EVENT_BYTES};
use super::pool::{Channel, Pool};
use super::transport::WriteWatch;
use crate::config::LoadReportFields;
use crate::gateway::{AttemptError, Call, EngineReply, Engines, EventStream, Progress, Reply};
use crate::interface::{Load, RequestId};
use crate::memory::{MemoryUse, Reservation};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{HeaderMap, Method, Request, StatusCode};
use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::time::Instant;

/// Maximum size of a short response body, in bytes: that of a prefill step, a release or a probe,
/// or of a decode step that was refused or failed.
const MAX_SHORT_BODY_BYTES: usize = 64 << 10;

/// How engines process a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Processing {
    /// A prefill step, then a decode step whose response is a stream of events.
    PrefillThenDecode,
    /// A single step whose response is a JSON object with a list of results.
    SingleStep {
        /// The name of the list in the response.
        list: &'static str,
        /// Expected number of its entries; a response with any other number counts as incomplete.
        entries: usize,
    },
}

/// Memory that is reserved for a large event of a stream, in bytes. The buffer may have twice the size of the event.
const LARGE_EVENT_MEMORY: usize = 2 * MAX_EVENT_BYTES;

/// A request in the form in which it is sent to engines.
#[derive(Debug)]
pub struct Job {
    /// Path and query of the request.
    pub path: String,
    /// The request body.
    pub body: Bytes,
    /// The idempotency key that the client sent, by which engines recognise a repeat of the request.
    pub idempotency_key: Option<HeaderValue>,
    /// How engines process the request.
    pub processing: Processing,
    /// The memory of the request, which is held until it has ended.
    pub reservation: Reservation,
}

/// The engines behind a pool of connections.
pub struct HttpEngines {
    pool: Rc<Pool>,
    load: LoadReportFields,
    /// True if engines hold KV-cache state that must be released.
    stateful: bool,
    /// Maximum size of one response, in bytes.
    max_response_bytes: usize,
    /// Number of attempts whose request was written completely.
    written_attempts: Rc<Cell<u64>>,
}

impl HttpEngines {
    /// Creates the client. `stateful` is true if engines hold state between the stages of a request;
    /// `max_response_bytes` is the maximum size of a response in bytes.
    pub fn new(pool: Rc<Pool>, load: LoadReportFields, stateful: bool, max_response_bytes: usize) -> Self {
        Self { pool, load, stateful, max_response_bytes, written_attempts: Rc::default() }
    }

    /// Returns the counter of the attempts whose request was written completely.
    pub fn written_attempts(&self) -> Rc<Cell<u64>> {
        self.written_attempts.clone()
    }
}

fn request(
    method: Method,
    endpoint: &str,
    path: &str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, AttemptError> {
    let request = Request::builder().method(method).uri(path).header(HOST, endpoint);
    request.body(Full::new(body)).map_err(|e| AttemptError::new(Progress::NotConnected, e))
}

fn call_request<J: AsRef<Job>>(call: &Call<J>) -> Result<Request<Full<Bytes>>, AttemptError> {
    let job = (*call.job).as_ref();
    let mut request = request(Method::POST, &call.endpoint, &job.path, job.body.clone())?;
    let invalid_header = |e: hyper::header::InvalidHeaderValue| AttemptError::new(Progress::NotConnected, e);
    let headers = request.headers_mut();
    headers.insert("req-id", call.id.0.parse().map_err(invalid_header)?);
    let remaining = call.deadline.saturating_duration_since(Instant::now());
    let deadline = format!("{}m", remaining.as_millis().max(1));
    headers.insert("req-deadline", deadline.parse().map_err(invalid_header)?);
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(key) = &job.idempotency_key {
        headers.insert("idempotency-key", key.clone());
    }
    Ok(request)
}

impl AsRef<Job> for Job {
    fn as_ref(&self) -> &Job {
        self
    }
}

/// Returns true if a response proves that its request never ran.
/// The header `srv-declined` has that meaning only with these statuses.
fn is_declined(status: StatusCode, headers: &HeaderMap) -> bool {
    let may_decline =
        matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT | StatusCode::GONE);
    may_decline && headers.get("srv-declined").is_some_and(|value| value.as_bytes() == b"1")
}

/// Interprets a complete response.
fn interpret(processing: Processing, status: StatusCode, declined: bool, body: Bytes) -> Reply<HttpEvents> {
    match (processing, status) {
        (_, StatusCode::GONE) if declined => Reply::Rejected { no_state: true },
        _ if declined => Reply::Rejected { no_state: false },
        (Processing::PrefillThenDecode, StatusCode::ACCEPTED) => {
            let json: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
            let cached_tokens = json.get("cached_tokens").and_then(serde_json::Value::as_f64);
            Reply::Read { cached_tokens: cached_tokens.unwrap_or(0.0).max(0.0) }
        }
        (Processing::SingleStep { list, entries }, StatusCode::OK) => {
            // A body without a length ends when its connection
            // closes, so only its content shows that it is complete.
            let complete = count_entries(&body, list) == Some(entries);
            if complete { Reply::Complete(body) } else { Reply::Error }
        }
        (Processing::SingleStep { .. }, status) if is_request_error(status) => Reply::InvalidRequest(body),
        _ => Reply::Error,
    }
}

/// Returns true if the status says that the request itself is invalid, whichever engine receives it.
fn is_request_error(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE | StatusCode::UNPROCESSABLE_ENTITY
    )
}

impl Engines for HttpEngines {
    type Job = Job;
    type Events = HttpEvents;

    fn call(
        &self,
        call: Call<Job>,
    ) -> impl Future<Output = Result<EngineReply<HttpEvents>, AttemptError>> + 'static {
        let (pool, load_fields, max_bytes) = (self.pool.clone(), self.load.clone(), self.max_response_bytes);
        let written_attempts = self.written_attempts.clone();
        async move {
            let mut channel = pool.acquire(&call.endpoint).await?;
            if let Some(cause) = call.guard.refusal_reason() {
                pool.put_back(call.endpoint, channel);
                return Err(AttemptError::new(Progress::NotSent, cause));
            }
            let request = call_request(&call)?;
            let watch = WriteWatch { guard: Some(call.guard), written_counter: Some(written_attempts) };
            let response = channel.send(request, call.job.body.len(), watch).await?;
            let (head, body) = response.into_parts();
            let load =
                head.headers.get("srv-load").map_or(Load::default(), |l| load_fields.parse(l.as_bytes()));
            if call.job.processing == Processing::PrefillThenDecode && head.status == StatusCode::OK {
                let connected_at = channel.opened;
                let (events, connection) = (Events::new(max_bytes), Some((pool, call.endpoint, channel)));
                let last_received_at = Instant::now();
                let body = Some(body);
                let events = HttpEvents { body, events, event_memory: None, last_received_at, connection };
                return Ok(EngineReply { reply: Reply::Events(events), load, connected_at });
            }
            let max_bytes = if call.job.processing == Processing::PrefillThenDecode {
                MAX_SHORT_BODY_BYTES
            } else {
                max_bytes
            };
            let body = read_body(&pool, &channel, body, max_bytes).await?;
            let connected_at = channel.opened;
            pool.put_back(call.endpoint, channel);
            let declined = is_declined(head.status, &head.headers);
            let reply = interpret(call.job.processing, head.status, declined, body);
            Ok(EngineReply { reply, load, connected_at })
        }
    }

    fn release(
        &self,
        endpoint: Arc<str>,
        id: RequestId,
    ) -> impl Future<Output = Result<(), AttemptError>> + 'static {
        let (pool, stateful) = (self.pool.clone(), self.stateful);
        async move {
            if !stateful {
                return Ok(());
            }
            let request = request(Method::DELETE, &endpoint, &format!("/state/{}", id.0), Bytes::new())?;
            let mut channel = pool.acquire_for_release(&endpoint).await?;
            let response = channel.send(request, 0, WriteWatch::default()).await?;
            let status = response.status();
            read_body(&pool, &channel, response.into_body(), MAX_SHORT_BODY_BYTES).await?;
            pool.put_back(endpoint, channel);
            let rejected = || AttemptError::new(Progress::FullyWritten, format!("status {status}"));
            status.is_success().then_some(()).ok_or_else(rejected)
        }
    }

    fn probe(&self, endpoint: Arc<str>) -> impl Future<Output = Result<Load, AttemptError>> + 'static {
        let (pool, load_fields) = (self.pool.clone(), self.load.clone());
        async move {
            let request = request(Method::GET, &endpoint, "/status/load", Bytes::new())?;
            let mut channel = pool.acquire(&endpoint).await?;
            let response = channel.send(request, 0, WriteWatch::default()).await?;
            let status = response.status();
            let body = read_body(&pool, &channel, response.into_body(), MAX_SHORT_BODY_BYTES).await?;
            pool.put_back(endpoint, channel);
            let failed = || AttemptError::new(Progress::FullyWritten, format!("status {status}"));
            status.is_success().then(|| load_fields.parse(&body)).ok_or_else(failed)
        }
    }

    fn close_idle_connections(&self, endpoint: &str) {
        self.pool.close_idle_to(endpoint);
    }
}

/// The events of a streaming response.
pub struct HttpEvents {
    /// The rest of the body, until its end.
    body: Option<Incoming>,
    events: Events,
    /// The memory of an incomplete event that is larger than what the reservation of the request covers.
    event_memory: Option<Reservation>,
    /// Time at which the last bytes arrived.
    last_received_at: Instant,
    /// The connection, until the response has ended.
    connection: Option<(Rc<Pool>, Arc<str>, Channel)>,
}

impl HttpEvents {
    /// Closes the connection, which cannot be reused, and returns the error.
    fn close_with_error(&mut self, cause: impl std::fmt::Display) -> AttemptError {
        (self.body, self.connection) = (None, None);
        AttemptError::new(Progress::FullyWritten, cause)
    }

    /// Reserves memory while an incomplete event is large, and binds it to the event once that is complete.
    /// The stream does not wait until memory is left, because all streams with a large event could wait for
    /// each other. Events that are complete are passed on in any case: their memory is in use already.
    fn charge(&mut self, ready: Option<Bytes>) -> Result<Option<Bytes>, &'static str> {
        let Some((pool, _, _)) = &self.connection else { return Ok(ready) };
        let covered_bytes = 2 * pool.buffer_bytes();
        let ready_memory = if ready.is_some() { self.event_memory.take() } else { None };
        if self.events.pending_bytes() > covered_bytes && self.event_memory.is_none() {
            let reservation = pool.memory().try_reserve(MemoryUse::Answer, LARGE_EVENT_MEMORY);
            self.event_memory = Some(reservation.ok_or("no memory for a large event")?);
        }
        Ok(match (ready, ready_memory) {
            (Some(ready), Some(memory)) => Some(memory.bind_to(ready)),
            (ready, _) => ready,
        })
    }
}

impl EventStream for HttpEvents {
    fn poll_event(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, AttemptError>>> {
        while let Some(body) = &mut self.body {
            let parsed = match std::task::ready!(Pin::new(body).poll_frame(context)) {
                Some(Ok(frame)) => {
                    self.last_received_at = Instant::now();
                    self.events.push(frame.data_ref().map_or(&[], |data| data))
                }
                Some(Err(error)) => return Poll::Ready(Some(Err(self.close_with_error(error)))),
                None => {
                    self.body = None;
                    self.events.end()
                }
            };
            match parsed.and_then(|ready| self.charge(ready)) {
                Ok(None) => {}
                Ok(Some(events)) => return Poll::Ready(Some(Ok(events))),
                Err(cause) => return Poll::Ready(Some(Err(self.close_with_error(cause)))),
            }
        }
        if let Some((pool, endpoint, channel)) = self.connection.take() {
            pool.put_back(endpoint, channel);
        }
        Poll::Ready(None)
    }

    fn last_bytes_of_incomplete_chunk(&self) -> Option<Instant> {
        let is_receiving = self.body.is_some() && self.events.has_valid_incomplete_event();
        is_receiving.then_some(self.last_received_at)
    }
}
