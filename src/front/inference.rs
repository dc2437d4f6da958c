//! Embeddings and rerank APIs in their usual formats. They use the core of chat, with one driver per model.

use super::intake::{BYTES_PER_TOKEN, BodyReader, ReceivedRequest, header_text, parse_duration};
use super::reply;
use crate::config::Api;
use crate::gateway::{Answer, Gateway, Key, Submission};
use crate::interface::{Arrival, Micros, RequestId};
use crate::net::{FrontBody, HttpEngines, Job, Processing};
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::{HeaderMap, Request, Response, StatusCode};
use serde::Deserialize;
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

/// The fields of an embeddings call that the gateway reads.
#[derive(Deserialize)]
struct Embeddings {
    model: String,
    input: Input,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Input {
    Text(String),
    Texts(Vec<String>),
    Tokens(Vec<u32>),
    TokenLists(Vec<Vec<u32>>),
}

/// The fields of a rerank call that the gateway reads.
#[derive(Deserialize)]
struct Rerank {
    model: String,
    query: String,
    documents: Vec<Document>,
    #[serde(default)]
    top_n: Option<usize>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Document {
    Text(String),
    Object { text: String },
}

/// Model, number of inputs, number of tokens, and number of entries in a complete answer of a call.
#[derive(Debug, PartialEq)]
struct CallSummary {
    model: String,
    inputs: usize,
    tokens: usize,
    entries: usize,
}

fn estimate_tokens(bytes: usize) -> usize {
    bytes.div_ceil(BYTES_PER_TOKEN)
}

fn parse_embeddings(body: &[u8]) -> Result<CallSummary, String> {
    let call: Embeddings = serde_json::from_slice(body).map_err(|_| "the body is no embeddings call")?;
    let (inputs, token_count, empty) = match &call.input {
        Input::Text(text) => (1, estimate_tokens(text.len()), text.is_empty()),
        Input::Texts(texts) => (
            texts.len(),
            texts.iter().map(|t| estimate_tokens(t.len())).sum(),
            texts.iter().any(String::is_empty),
        ),
        Input::Tokens(list) => (1, list.len(), list.is_empty()),
        Input::TokenLists(lists) => {
            (lists.len(), lists.iter().map(Vec::len).sum(), lists.iter().any(Vec::is_empty))
        }
    };
    if inputs == 0 || empty {
        return Err("input: empty".into());
    }
    Ok(CallSummary { model: call.model, inputs, tokens: token_count, entries: inputs })
}

fn parse_rerank(body: &[u8]) -> Result<CallSummary, String> {
    let call: Rerank = serde_json::from_slice(body).map_err(|_| "the body is no rerank call")?;
    if call.query.is_empty() || call.documents.is_empty() {
        return Err("query or documents: empty".into());
    }
    if call.top_n == Some(0) {
        return Err("top_n: below 1".into());
    }
    let document_tokens = |document: &Document| match document {
        Document::Text(text) | Document::Object { text } => estimate_tokens(call.query.len() + text.len()),
    };
    let inputs = call.documents.len();
    Ok(CallSummary {
        tokens: call.documents.iter().map(document_tokens).sum(),
        entries: call.top_n.map_or(inputs, |top| top.min(inputs)),
        inputs,
        model: call.model,
    })
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

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    // A call that no engine could answer is rejected before it is sent to an engine.
    #[rstest]
    #[case(r#"{"model":"m","input":"four characters"}"#, Some((1, 4, 1)))]
    #[case(r#"{"model":"m","input":["a","b"],"dimensions":8}"#, Some((2, 2, 2)))]
    #[case(r#"{"model":"m","input":[1,2,3]}"#, Some((1, 3, 1)))]
    #[case(r#"{"model":"m","input":[[1],[2,3]]}"#, Some((2, 3, 2)))]
    #[case(r#"{"model":"m","input":[]}"#, None)]
    #[case(r#"{"model":"m","input":["a",""]}"#, None)]
    #[case(r#"{"model":"m","input":7}"#, None)]
    #[case(r#"{"input":"a"}"#, None)]
    #[case("[]", None)]
    fn embeddings_call_is_parsed(#[case] body: &str, #[case] expected: Option<(usize, usize, usize)>) {
        let summary = parse_embeddings(body.as_bytes()).ok().map(|a| (a.inputs, a.tokens, a.entries));
        assert_eq!(summary, expected);
    }

    #[rstest]
    #[case(r#"{"model":"m","query":"ab","documents":["cd","ef"]}"#, Some((2, 2, 2)))]
    #[case(r#"{"model":"m","query":"ab","documents":[{"text":"cd"}],"top_n":9}"#, Some((1, 1, 1)))]
    #[case(r#"{"model":"m","query":"q","documents":["a","b","c"],"top_n":2}"#, Some((3, 3, 2)))]
    #[case(r#"{"model":"m","query":"q","documents":["a"],"top_n":0}"#, None)]
    #[case(r#"{"model":"m","query":"q","documents":[]}"#, None)]
    #[case(r#"{"model":"m","query":"","documents":["a"]}"#, None)]
    #[case(r#"{"model":"m","documents":["a"]}"#, None)]
    fn rerank_call_is_parsed(#[case] body: &str, #[case] expected: Option<(usize, usize, usize)>) {
        let summary = parse_rerank(body.as_bytes()).ok().map(|a| (a.inputs, a.tokens, a.entries));
        assert_eq!(summary, expected);
    }
}
