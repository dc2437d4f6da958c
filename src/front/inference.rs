//! Embeddings and rerank in their usual shapes, on the same core as chat: one driver for each model.

use super::intake::{Bodies, TOKEN_CHARS, Whole, header, span};
use super::reply;
use crate::config::Api;
use crate::gateway::{Answer, Gateway, Key, Submission};
use crate::interface::{Arrival, Micros, RequestId};
use crate::net::{FrontBody, HttpEngines, Job, Manner};
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::{HeaderMap, Request, Response, StatusCode};
use serde::Deserialize;
use std::cell::Cell;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Longest idempotency key.
const KEY_CHARS: usize = 255;

/// One model: its driver and what its calls may be.
pub struct Model {
    /// Its name in calls.
    pub name: String,
    /// Which call it answers.
    pub api: Api,
    /// How long a call may take, in microseconds.
    pub deadline: Micros,
    /// Most inputs or documents in a call.
    pub max_inputs: usize,
    /// The driver.
    pub gateway: Gateway<HttpEngines>,
}

/// The front for embeddings and rerank.
pub struct Inference {
    models: Vec<Model>,
    bodies: Rc<Bodies>,
    /// Sets this process's request ids apart from others'.
    stamp: u64,
    calls: Cell<u64>,
}

/// An embeddings call, as far as it is looked at.
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
    Lists(Vec<Vec<u32>>),
}

/// A rerank call, as far as it is looked at.
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

/// What a call asks: its model, how many inputs, how many tokens, and how many entries answer it.
#[derive(Debug, PartialEq)]
struct Ask {
    model: String,
    inputs: usize,
    tokens: usize,
    entries: usize,
}

fn tokens(chars: usize) -> usize {
    chars.div_ceil(TOKEN_CHARS)
}

fn embeddings(body: &[u8]) -> Result<Ask, String> {
    let call: Embeddings = serde_json::from_slice(body).map_err(|_| "the body is no embeddings call")?;
    let (inputs, count, empty) = match &call.input {
        Input::Text(text) => (1, tokens(text.len()), text.is_empty()),
        Input::Texts(texts) => {
            (texts.len(), texts.iter().map(|t| tokens(t.len())).sum(), texts.iter().any(String::is_empty))
        }
        Input::Tokens(list) => (1, list.len(), list.is_empty()),
        Input::Lists(lists) => {
            (lists.len(), lists.iter().map(Vec::len).sum(), lists.iter().any(Vec::is_empty))
        }
    };
    if inputs == 0 || empty {
        return Err("input: empty".into());
    }
    Ok(Ask { model: call.model, inputs, tokens: count, entries: inputs })
}

fn rerank(body: &[u8]) -> Result<Ask, String> {
    let call: Rerank = serde_json::from_slice(body).map_err(|_| "the body is no rerank call")?;
    if call.query.is_empty() || call.documents.is_empty() {
        return Err("query or documents: empty".into());
    }
    if call.top_n == Some(0) {
        return Err("top_n: below 1".into());
    }
    let length = |document: &Document| match document {
        Document::Text(text) | Document::Object { text } => tokens(call.query.len() + text.len()),
    };
    let inputs = call.documents.len();
    Ok(Ask {
        tokens: call.documents.iter().map(length).sum(),
        entries: call.top_n.map_or(inputs, |top| top.min(inputs)),
        inputs,
        model: call.model,
    })
}

/// Under which key a call is repeated: a key is its client's own.
fn key(headers: &HeaderMap, api: Api, body: &[u8]) -> Result<Option<Key>, String> {
    let Some(key) = header(headers, "idempotency-key")? else { return Ok(None) };
    if key.is_empty() || key.len() > KEY_CHARS {
        return Err("idempotency-key: empty or too long".into());
    }
    let mut client = DefaultHasher::new();
    headers.get(AUTHORIZATION).map(|value| value.as_bytes()).hash(&mut client);
    let mut asks = DefaultHasher::new();
    (api == Api::Rerank, body).hash(&mut asks);
    let key = Arc::from(format!("{:016x}:{key}", client.finish()));
    Ok(Some(Key { key, fingerprint: asks.finish() }))
}

impl Inference {
    /// A front of these models; the stamp sets its request ids apart from other processes'.
    pub fn new(models: Vec<Model>, bodies: Rc<Bodies>, stamp: u64) -> Self {
        Self { models, bodies, stamp, calls: Cell::new(0) }
    }

    /// Which call a path is.
    pub(super) fn api(path: &str) -> Option<Api> {
        match path {
            "/v1/embeddings" => Some(Api::Embeddings),
            "/v1/rerank" => Some(Api::Rerank),
            _ => None,
        }
    }

    /// Answers a call.
    pub(super) async fn call(&self, api: Api, request: Request<Incoming>) -> Response<FrontBody> {
        let Whole { came, path, headers, body } = match self.bodies.read(request).await {
            Ok(whole) => whole,
            Err(response) => return response,
        };
        let asked = match api {
            Api::Embeddings => embeddings(&body),
            Api::Rerank => rerank(&body),
        };
        let bad = |message: &str| reply::error(StatusCode::BAD_REQUEST, message);
        let ask = match asked {
            Ok(ask) => ask,
            Err(message) => return bad(&message),
        };
        let Some(model) = self.models.iter().find(|m| m.api == api && m.name == ask.model) else {
            return reply::error(StatusCode::NOT_FOUND, "no such model for this call");
        };
        if ask.inputs > model.max_inputs {
            return reply::error(StatusCode::PAYLOAD_TOO_LARGE, "more inputs than the model takes in a call");
        }
        let deadline = match header(&headers, "req-deadline") {
            Ok(None) => model.deadline,
            Ok(Some(text)) => match span(text) {
                Some(span) => span.min(model.deadline),
                None => return bad("req-deadline: not a span"),
            },
            Err(message) => return bad(&message),
        };
        let key = match key(&headers, api, &body) {
            Ok(key) => key,
            Err(message) => return bad(&message),
        };
        let expires_in = deadline.saturating_sub(came.elapsed().as_micros() as Micros);
        let list = if api == Api::Rerank { "results" } else { "data" };
        let size = body.len();
        let submission = Submission {
            arrival: Arrival {
                id: self.next_id(),
                prompt_tokens: ask.tokens as f64,
                expires_in,
                ..Arrival::default()
            },
            // Repeats under a key are recognised here; engines are sent no more than one run of it at a time.
            job: Job {
                path,
                body,
                idempotency_key: None,
                manner: Manner::Single { list, entries: ask.entries },
            },
            size,
            key,
        };
        let ticket = match model.gateway.submit(submission) {
            Ok(ticket) => ticket,
            Err(rejected) => return reply::rejection(rejected),
        };
        // A repeat waits for a try with a deadline of its own; it is answered in its own time.
        let own = tokio::time::timeout(Duration::from_micros(expires_in), ticket.answer()).await;
        reply::respond(own.unwrap_or(Answer::Failed { timed_out: true }))
    }

    fn next_id(&self) -> RequestId {
        let call = self.calls.get();
        self.calls.set(call + 1);
        RequestId(Arc::from(format!("{:016x}-{call:08x}", self.stamp)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    // What cannot be answered is told before it takes an engine's time.
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
    fn embeddings_call_is_read(#[case] body: &str, #[case] expected: Option<(usize, usize, usize)>) {
        let ask = embeddings(body.as_bytes()).ok().map(|a| (a.inputs, a.tokens, a.entries));
        assert_eq!(ask, expected);
    }

    #[rstest]
    #[case(r#"{"model":"m","query":"ab","documents":["cd","ef"]}"#, Some((2, 2, 2)))]
    #[case(r#"{"model":"m","query":"ab","documents":[{"text":"cd"}],"top_n":9}"#, Some((1, 1, 1)))]
    #[case(r#"{"model":"m","query":"q","documents":["a","b","c"],"top_n":2}"#, Some((3, 3, 2)))]
    #[case(r#"{"model":"m","query":"q","documents":["a"],"top_n":0}"#, None)]
    #[case(r#"{"model":"m","query":"q","documents":[]}"#, None)]
    #[case(r#"{"model":"m","query":"","documents":["a"]}"#, None)]
    #[case(r#"{"model":"m","documents":["a"]}"#, None)]
    fn rerank_call_is_read(#[case] body: &str, #[case] expected: Option<(usize, usize, usize)>) {
        let ask = rerank(body.as_bytes()).ok().map(|a| (a.inputs, a.tokens, a.entries));
        assert_eq!(ask, expected);
    }
}
