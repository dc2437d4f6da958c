//! A toy fleet on loopback: a reader, a writer, an embedder, a reranker, and the discovery service that lists
//! them. `cargo run --example toy-fleet` starts the fleet; the README in this folder describes its use.
#![forbid(unsafe_code)]

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use std::convert::Infallible;
use std::time::Duration;
use tokio::net::TcpListener;

const DISCOVERY: &str = "127.0.0.1:8500";
/// Uid, model and address of each engine.
const ENGINES: [(&str, &str, &str); 4] = [
    ("toy-reader", "prefill", "127.0.0.1:9101"),
    ("toy-writer", "decode", "127.0.0.1:9102"),
    ("toy-embedder", "toy-embed", "127.0.0.1:9103"),
    ("toy-reranker", "toy-rerank", "127.0.0.1:9104"),
];

type Answer = Response<Full<Bytes>>;

fn answer(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(Full::new(body.into()));
    *answer.status_mut() = status;
    answer
}

fn engine_list() -> Value {
    let target = |(uid, model, endpoint): (&str, &str, &str)| {
        json!({"uid": uid, "endpoint": endpoint, "az": "here", "model": model, "pod_group": 0,
            "state": "SERVING", "capacity_hint": 1.0, "boot_ms": 0})
    };
    json!({"rev": 1, "all": true, "targets": ENGINES.map(target)})
}

/// Answers discovery requests. A watch always waits for its full time, because the list never changes.
async fn discovery(request: Request<Incoming>) -> Answer {
    let query = request.uri().query().unwrap_or("");
    if let Some(wait) = query.split('&').find_map(|part| part.strip_prefix("wait=")) {
        tokio::time::sleep(Duration::from_millis(wait.parse().unwrap_or(0))).await;
        return answer(StatusCode::OK, json!({"rev": 1, "all": false, "targets": []}).to_string());
    }
    answer(StatusCode::OK, engine_list().to_string())
}

/// Relevance of a text to another: the fraction of its words that the other contains.
fn relevance(text: &str, other: &str) -> f64 {
    let words: Vec<_> = text.split_whitespace().collect();
    let shared = words.iter().filter(|word| other.contains(**word)).count();
    shared as f64 / words.len().max(1) as f64
}

async fn engine(model: &str, request: Request<Incoming>) -> Answer {
    if request.method() == Method::DELETE {
        return answer(StatusCode::NO_CONTENT, "");
    }
    let Ok(body) = request.into_body().collect().await else {
        return answer(StatusCode::BAD_REQUEST, "");
    };
    let call: Value = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
    let texts = |field: &str| call[field].as_array().cloned().unwrap_or_else(|| vec![call[field].clone()]);
    match model {
        "prefill" => answer(StatusCode::ACCEPTED, json!({"cached_tokens": 0}).to_string()),
        "decode" => {
            let event =
                |text: &str| format!("data: {}\n\n", json!({"choices": [{"delta": {"content": text}}]}));
            let events = event("It rained ") + &event("in Derby.") + "data: [DONE]\n\n";
            let mut answer = answer(StatusCode::OK, events);
            let content_type = hyper::header::HeaderValue::from_static("text/event-stream");
            answer.headers_mut().insert(hyper::header::CONTENT_TYPE, content_type);
            answer
        }
        "toy-embed" => {
            let vector = |(index, text): (usize, Value)| {
                let text = text.to_string();
                let vowels = text.chars().filter(|c| "aeiou".contains(*c)).count();
                json!({"object": "embedding", "index": index, "embedding": [text.len(), vowels]})
            };
            let data: Vec<_> = texts("input").into_iter().enumerate().map(vector).collect();
            answer(StatusCode::OK, json!({"object": "list", "model": model, "data": data}).to_string())
        }
        _ => {
            let query = call["query"].as_str().unwrap_or("");
            let score = |(index, text): (usize, Value)| (relevance(query, &text.to_string()), index);
            let mut scores: Vec<_> = texts("documents").into_iter().enumerate().map(score).collect();
            scores.sort_by(|a, b| b.0.total_cmp(&a.0));
            let top_n = call["top_n"].as_u64().map_or(scores.len(), |n| n as usize);
            let result = |(score, index): (f64, usize)| json!({"index": index, "relevance_score": score});
            let results: Vec<_> = scores.into_iter().take(top_n).map(result).collect();
            answer(StatusCode::OK, json!({"model": model, "results": results}).to_string())
        }
    }
}

async fn serve(address: &'static str, model: Option<&'static str>) -> std::io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    println!("{} on {address}", model.unwrap_or("discovery"));
    loop {
        let (stream, _) = listener.accept().await?;
        let service = service_fn(move |request| async move {
            Ok::<_, Infallible>(match model {
                Some(model) => engine(model, request).await,
                None => discovery(request).await,
            })
        });
        tokio::task::spawn_local(async move {
            let server = hyper::server::conn::http1::Builder::new();
            if let Err(error) = server.serve_connection(TokioIo::new(stream), service).await {
                eprintln!("connection: {error}");
            }
        });
    }
}

fn main() -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        for (_, model, address) in ENGINES {
            tokio::task::spawn_local(serve(address, Some(model)));
        }
        serve(DISCOVERY, None).await
    })
}
