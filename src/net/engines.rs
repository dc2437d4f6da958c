//! Engines over HTTP/1.1: attempts, their answers, and releases.

use super::events::Events;
use super::pool::{Channel, Pool};
use super::transport::WriteWatch;
use crate::config::LoadNames;
use crate::gateway::{AttemptError, Call, Engines, EventStream, Progress, Replied, Reply};
use crate::interface::{Load, RequestId};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{HeaderMap, Method, Request, StatusCode};
use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::time::Instant;

/// Most bytes of an answer that says no more than a status does.
const SHORT_BYTES: usize = 64 << 10;

/// How a request is worked on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// First read, then answered as a stream of events.
    Staged,
    /// Answered in one piece, whose list of that name holds so many entries.
    Single {
        /// The list's name.
        list: &'static str,
        /// Its entries; an answer with fewer is one in part.
        entries: usize,
    },
}

/// A request as engines are sent it.
#[derive(Clone, Debug)]
pub struct Job {
    /// Path and query.
    pub path: String,
    /// The body.
    pub body: Bytes,
    /// The key by which engines recognise a repeat of the request, as its client sent it.
    pub idempotency_key: Option<HeaderValue>,
    /// How it is worked on.
    pub manner: Manner,
}

/// The engines behind a pool of connections.
pub struct HttpEngines {
    pool: Rc<Pool>,
    load: LoadNames,
    /// Whether engines hold state that must be let go.
    stateful: bool,
    /// Most bytes of one answer.
    answer_bytes: usize,
    /// Attempts that were written whole.
    tries: Rc<Cell<u64>>,
}

impl HttpEngines {
    /// Engines that hold state between the stages of a request, or not, with answers of so many bytes at
    /// most.
    pub fn new(pool: Rc<Pool>, load: LoadNames, stateful: bool, answer_bytes: usize) -> Self {
        Self { pool, load, stateful, answer_bytes, tries: Rc::default() }
    }

    /// Where the attempts that were written whole are counted.
    pub fn tries(&self) -> Rc<Cell<u64>> {
        self.tries.clone()
    }
}

fn request(
    method: Method,
    endpoint: &str,
    path: &str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, AttemptError> {
    let request = Request::builder().method(method).uri(path).header(HOST, endpoint);
    request.body(Full::new(body)).map_err(|e| AttemptError::new(Progress::Unconnected, e))
}

fn call_request<J: AsRef<Job>>(call: &Call<J>) -> Result<Request<Full<Bytes>>, AttemptError> {
    let job = (*call.job).as_ref();
    let mut request = request(Method::POST, &call.endpoint, &job.path, job.body.clone())?;
    let lost = |e: hyper::header::InvalidHeaderValue| AttemptError::new(Progress::Unconnected, e);
    let headers = request.headers_mut();
    headers.insert("req-id", call.id.0.parse().map_err(lost)?);
    let left = call.deadline.saturating_duration_since(Instant::now());
    let wait = format!("{}m", left.as_millis().max(1));
    headers.insert("req-deadline", wait.parse().map_err(lost)?);
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

/// Reads an answer whole.
async fn whole(channel: &Channel, body: Incoming, most: usize) -> Result<Bytes, AttemptError> {
    let read = Limited::new(body, most).collect().await;
    let lost = |e: Box<dyn std::error::Error + Send + Sync>| match e.downcast::<hyper::Error>() {
        Ok(error) => channel.lost(*error),
        Err(error) => AttemptError::new(Progress::Written, error),
    };
    Ok(read.map_err(lost)?.to_bytes())
}

/// Whether an answer proves that its request never ran. The mark has that meaning on these statuses alone.
fn is_declined(status: StatusCode, headers: &HeaderMap) -> bool {
    let may_decline =
        matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT | StatusCode::GONE);
    may_decline && headers.get("srv-declined").is_some_and(|value| value.as_bytes() == b"1")
}

/// What an answer read whole means.
fn meaning(manner: Manner, status: StatusCode, declined: bool, body: Bytes) -> Reply<HttpEvents> {
    match (manner, status) {
        (_, StatusCode::GONE) if declined => Reply::Declined { no_state: true },
        _ if declined => Reply::Declined { no_state: false },
        (Manner::Staged, StatusCode::ACCEPTED) => {
            let told: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
            let cached_tokens = told.get("cached_tokens").and_then(serde_json::Value::as_f64);
            Reply::Read { cached_tokens: cached_tokens.unwrap_or(0.0).max(0.0) }
        }
        (Manner::Single { list, entries }, StatusCode::OK) => {
            // A body without a length ends where its connection does: only its content shows it whole.
            let told: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
            let whole = told.get(list).and_then(|list| list.as_array()).is_some_and(|l| l.len() == entries);
            if whole { Reply::Whole(body) } else { Reply::Error }
        }
        (Manner::Single { .. }, status) if is_fault(status) => Reply::Faulty(body),
        _ => Reply::Error,
    }
}

/// Whether the status says that the request itself is at fault, wherever it is sent.
fn is_fault(status: StatusCode) -> bool {
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
    ) -> impl Future<Output = Result<Replied<HttpEvents>, AttemptError>> + 'static {
        let (pool, names, most) = (self.pool.clone(), self.load.clone(), self.answer_bytes);
        let tries = self.tries.clone();
        async move {
            let mut channel = pool.take(&call.endpoint).await?;
            if let Some(cause) = call.guard.refusal() {
                pool.put(call.endpoint, channel);
                return Err(AttemptError::new(Progress::Withdrawn, cause));
            }
            let request = call_request(&call)?;
            let watch = WriteWatch { guard: Some(call.guard), tally: Some(tries) };
            let answer = channel.send(request, call.job.body.len(), watch).await?;
            let (head, body) = answer.into_parts();
            let load = head.headers.get("srv-load").map_or(Load::default(), |l| names.read(l.as_bytes()));
            if call.job.manner == Manner::Staged && head.status == StatusCode::OK {
                let connected = channel.opened;
                let (events, line) = (Events::new(most), Some((pool, call.endpoint, channel)));
                let events = HttpEvents { body: Some(body), events, line };
                return Ok(Replied { reply: Reply::Events(events), load, connected });
            }
            let most = if call.job.manner == Manner::Staged { SHORT_BYTES } else { most };
            let body = whole(&channel, body, most).await?;
            let connected = channel.opened;
            pool.put(call.endpoint, channel);
            let declined = is_declined(head.status, &head.headers);
            let reply = meaning(call.job.manner, head.status, declined, body);
            Ok(Replied { reply, load, connected })
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
            let mut channel = pool.take_for_release(&endpoint).await?;
            let answer = channel.send(request, 0, WriteWatch::default()).await?;
            let status = answer.status();
            whole(&channel, answer.into_body(), SHORT_BYTES).await?;
            pool.put(endpoint, channel);
            let refused = || AttemptError::new(Progress::Written, format!("status {status}"));
            status.is_success().then_some(()).ok_or_else(refused)
        }
    }

    fn probe(&self, endpoint: Arc<str>) -> impl Future<Output = Result<Load, AttemptError>> + 'static {
        let (pool, names) = (self.pool.clone(), self.load.clone());
        async move {
            let request = request(Method::GET, &endpoint, "/status/load", Bytes::new())?;
            let mut channel = pool.take(&endpoint).await?;
            let answer = channel.send(request, 0, WriteWatch::default()).await?;
            let status = answer.status();
            let body = whole(&channel, answer.into_body(), SHORT_BYTES).await?;
            pool.put(endpoint, channel);
            let failed = || AttemptError::new(Progress::Written, format!("status {status}"));
            status.is_success().then(|| names.read(&body)).ok_or_else(failed)
        }
    }

    fn forget(&self, endpoint: &str) {
        self.pool.forget(endpoint);
    }
}

/// The events of a running answer.
pub struct HttpEvents {
    /// What is still to come, until its end.
    body: Option<Incoming>,
    events: Events,
    /// The connection, until the answer has ended.
    line: Option<(Rc<Pool>, Arc<str>, Channel)>,
}

impl HttpEvents {
    /// Closes the connection: it can serve no other request.
    fn spoilt(&mut self, cause: impl std::fmt::Display) -> AttemptError {
        (self.body, self.line) = (None, None);
        AttemptError::new(Progress::Written, cause)
    }
}

impl EventStream for HttpEvents {
    fn poll_event(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, AttemptError>>> {
        while let Some(body) = &mut self.body {
            let came = match std::task::ready!(Pin::new(body).poll_frame(context)) {
                Some(Ok(frame)) => self.events.push(frame.data_ref().map_or(&[], |data| data)),
                Some(Err(error)) => return Poll::Ready(Some(Err(self.spoilt(error)))),
                None => {
                    self.body = None;
                    self.events.end()
                }
            };
            match came {
                Ok(None) => {}
                Ok(Some(events)) => return Poll::Ready(Some(Ok(events))),
                Err(cause) => return Poll::Ready(Some(Err(self.spoilt(cause)))),
            }
        }
        if let Some((pool, endpoint, channel)) = self.line.take() {
            pool.put(endpoint, channel);
        }
        Poll::Ready(None)
    }
}
