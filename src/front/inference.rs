//! Embeddings and rerank APIs in their usual formats. They use the core of chat, with one driver per model.

use super::inference_call::{parse_embeddings, parse_rerank};
use super::intake::{BodyReader, ReceivedRequest, header_text, parse_duration};
use super::reply;
use crate::config::Api;
use crate::gateway::{Answer, Gateway, Key, Submission};
use crate::interface::{Arrival, Micros, RequestId};
use crate::net::{FrontBody, HttpEngines, Job, Processing};
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::{HeaderMap, Request, Response, StatusCode};
use std::cell::Cell;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Maximum length of an idempotency key, in characters.
const MAX_KEY_CHARS: usize = 255;

/// A model with its driver and the limits of its calls.
pub struct Model {
    /// Name of the model in calls.
    pub name: String,
    /// API call that the model answers.
    pub api: Api,
    /// Maximum duration of a call, in microseconds.
    pub deadline: Micros,
    /// Maximum number of inputs or documents in a call.
    pub max_inputs: usize,
    /// Handle of the model's driver.
    pub gateway: Gateway<HttpEngines>,
}

/// The front for embeddings and rerank.
pub struct Inference {
    models: Vec<Model>,
    body_reader: Rc<BodyReader>,
    /// Identifier of this process, which distinguishes its request ids from those of other processes.
    instance_id: u64,
    call_count: Cell<u64>,
}

/// Parses the idempotency key of a call. The key is combined with the client's credentials, because different
/// clients may choose equal keys.
fn parse_key(headers: &HeaderMap, api: Api, body: &[u8]) -> Result<Option<Key>, String> {
    let Some(key) = header_text(headers, "idempotency-key")? else { return Ok(None) };
    if key.is_empty() || key.len() > MAX_KEY_CHARS {
        return Err("idempotency-key: empty or too long".into());
    }
    let mut client_hasher = DefaultHasher::new();
    headers.get(AUTHORIZATION).map(|value| value.as_bytes()).hash(&mut client_hasher);
    let mut fingerprint_hasher = DefaultHasher::new();
    (api == Api::Rerank, body).hash(&mut fingerprint_hasher);
    let key = Arc::from(format!("{:016x}:{key}", client_hasher.finish()));
    Ok(Some(Key { key, fingerprint: fingerprint_hasher.finish() }))
}

impl Inference {
    /// Creates a front. `instance_id` distinguishes its request ids from those of other processes.
    pub fn new(models: Vec<Model>, body_reader: Rc<BodyReader>, instance_id: u64) -> Self {
        Self { models, body_reader, instance_id, call_count: Cell::new(0) }
    }

    /// Returns the API call that a path stands for.
    pub(super) fn api(path: &str) -> Option<Api> {
        match path {
            "/v1/embeddings" => Some(Api::Embeddings),
            "/v1/rerank" => Some(Api::Rerank),
            _ => None,
        }
    }

    /// Answers a call.
    pub(super) async fn call(&self, api: Api, request: Request<Incoming>) -> Response<FrontBody> {
        let ReceivedRequest { received_at, path, headers, body, reservation } =
            match self.body_reader.read(request).await {
                Ok(received) => received,
                Err(response) => return response,
            };
        let parsed = match api {
            Api::Embeddings => parse_embeddings(&body),
            Api::Rerank => parse_rerank(&body),
        };
        let bad_request = |message: &str| reply::error(StatusCode::BAD_REQUEST, message);
        let summary = match parsed {
            Ok(summary) => summary,
            Err(message) => return bad_request(&message),
        };
        let Some(model) = self.models.iter().find(|m| m.api == api && m.name == summary.model) else {
            return reply::error(StatusCode::NOT_FOUND, "no such model for this call");
        };
        if summary.inputs > model.max_inputs {
            return reply::error(StatusCode::PAYLOAD_TOO_LARGE, "more inputs than the model takes in a call");
        }
        let deadline = match header_text(&headers, "req-deadline") {
            Ok(None) => model.deadline,
            Ok(Some(text)) => match parse_duration(text) {
                Some(duration) => duration.min(model.deadline),
                None => return bad_request("req-deadline: not a span"),
            },
            Err(message) => return bad_request(&message),
        };
        let key = match parse_key(&headers, api, &body) {
            Ok(key) => key,
            Err(message) => return bad_request(&message),
        };
        let expires_in = deadline.saturating_sub(received_at.elapsed().as_micros() as Micros);
        let list = if api == Api::Rerank { "results" } else { "data" };
        let size = body.len();
        let submission = Submission {
            arrival: Arrival {
                id: self.next_id(),
                prompt_tokens: summary.tokens as f64,
                expires_in,
                ..Arrival::default()
            },
            // The engine gets no key: the gateway itself detects repeats by their key, and sends at most one
            // run of a call at a time.
            job: Job {
                path,
                body,
                idempotency_key: None,
                processing: Processing::SingleStep { list, entries: summary.entries },
                reservation,
            },
            size,
            key,
        };
        let ticket = match model.gateway.submit(submission) {
            Ok(ticket) => ticket,
            Err(rejected) => return reply::rejection(rejected),
        };
        // A repeat waits for the answer to an earlier call with another deadline, so the repeat's own
        // deadline is applied here.
        let result = tokio::time::timeout(Duration::from_micros(expires_in), ticket.answer()).await;
        reply::respond(result.unwrap_or(Answer::Failed { timed_out: true }))
    }

    fn next_id(&self) -> RequestId {
        let call = self.call_count.get();
        self.call_count.set(call + 1);
        RequestId(Arc::from(format!("{:016x}-{call:08x}", self.instance_id)))
    }
}
