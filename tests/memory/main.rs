//! Resident memory of a real gateway process under clients and engines that make it hold as much as they can.
//! Over its memory limit the platform kills a gateway.

mod engines;
mod gateway;
#[path = "../loopback/mod.rs"]
mod loopback;

use engines::{EngineResponse, start_engine};
use gateway::GatewayProcess;
use loopback::{Daemon, Discovery, EVENTS, chat, run_local, send_request, wait_until};
use rstest::rstest;
use serde_json::{Value, json};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{JoinHandle, spawn_local};

/// Number of connections that a group of greedy clients opens: a third of the gateway's descriptors.
const CONNECTIONS: usize = 340;
/// Time that clients keep their connections and the gateway is watched.
const HOLD_TIME: Duration = Duration::from_millis(600);

/// Divisor of the part of the memory that bounds all answers of engines together (README, "Bounds").
const ANSWERS_DIVISOR: u64 = 8;
/// Divisor of the part that bounds the bodies being read and those of open calls: 1/8 and 1/10 of the memory.
const BODIES_DIVISOR: u64 = 4;
/// Number of engines of each kind.
const ENGINES: usize = 6;

/// Starts a gateway before engines of each kind.
async fn start_gateway(memory_mb: u64, writer: EngineResponse, embedder: EngineResponse) -> GatewayProcess {
    let read = EngineResponse::json("202 Accepted", r#"{"cached_tokens":0}"#);
    let mut targets = Vec::new();
    for n in 0..ENGINES {
        for (model, response) in [("reader", &read), ("writer", &writer), ("embedder", &embedder)] {
            targets.push(start_engine(&format!("{model}-{n}"), model, response.clone()).await);
        }
    }
    let discovery = Discovery::with_revision(1, targets).await;
    let pool = json!({"model": "embedder", "api": "embeddings", "effect": "safe", "aimMs": 5000,
        "deadlineMs": 20_000, "maxInputs": 4096, "discovery": discovery.address.to_string()});
    GatewayProcess::start(memory_mb, Daemon::settings(), discovery.address, vec![pool]).await
}

fn usual_stream() -> EngineResponse {
    EngineResponse::chunks("text/event-stream", EVENTS)
}

fn small_embedding() -> EngineResponse {
    EngineResponse::json("200 OK", r#"{"data":[{"index":0,"embedding":[0.5]}]}"#)
}

/// An embeddings answer with one entry, padded to the given number of bytes.
fn embedding_text(bytes: usize) -> String {
    format!(r#"{{"data":[{{"index":0,"embedding":"{}"}}]}}"#, "A".repeat(bytes))
}

fn request_text(path: &str, headers: &str, body: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nHost: h\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

fn chat_request(id: &str, kind: &str, content_bytes: usize) -> String {
    let body = json!({"messages": [{"role": "user", "content": "x".repeat(content_bytes)}]}).to_string();
    let headers = format!("Req-Id: {id}\r\nReq-Kind: {kind}\r\nReq-Owner: desk\r\nReq-Deadline: 9000m\r\n");
    request_text("/v1/chat/completions", &headers, &body)
}

fn embeddings_request() -> String {
    request_text("/v1/embeddings", "", &json!({"model": "embedder", "input": "text"}).to_string())
}

/// Reads one response with a content length and returns its status.
async fn read_response_status(stream: &mut TcpStream) -> Option<u16> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).ok()?.to_ascii_lowercase();
    let (_, length) = head.split_once("content-length: ")?;
    let mut body = vec![0; length.split("\r\n").next()?.parse().ok()?];
    stream.read_exact(&mut body).await.ok()?;
    head.split(' ').nth(1)?.parse().ok()
}

/// Sends the text on a connection of its own and then reads at full speed; the task ends when the gateway
/// closes the connection.
async fn start_reading_client(gateway: &GatewayProcess, text: String) -> JoinHandle<usize> {
    let stream = TcpStream::connect(gateway.address).await.expect("the gateway listens");
    spawn_local(async move {
        let (mut reading, mut writing) = stream.into_split();
        let writer = spawn_local(async move {
            // A refusal ends the connection before all is written.
            let _ = writing.write_all(text.as_bytes()).await;
            writing
        });
        let mut received = 0;
        let mut buffer = vec![0; 64 << 10];
        while let Ok(count @ 1..) = reading.read(&mut buffer).await {
            received += count;
        }
        drop(writer.await);
        received
    })
}

/// Sends the text on a connection of its own and returns the connection, on which nothing is read.
async fn send_without_reading(gateway: &GatewayProcess, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(gateway.address).await.expect("the gateway listens");
    socket2::SockRef::from(&stream).set_recv_buffer_size(4096).expect("the option can be set");
    let _ = tokio::time::timeout(Duration::from_secs(2), stream.write_all(text.as_bytes())).await;
    stream
}

async fn assert_usual_requests_are_served(gateway: &GatewayProcess) {
    for n in 0..3 {
        let answer = chat(gateway.address, &format!("usual{n}"), "lookup", 9000).await;
        assert!(answer.status == 200 && answer.complete, "{answer:?}");
    }
}

/// Requests that clients send at once on one connection, behind a usual one.
fn pipelined_requests(form: &str) -> String {
    let first = chat_request("first", "lookup", 10);
    let following = match form {
        "bodies" => (0..300).map(|n| chat_request(&format!("b{n}"), "poem", 8_000)).collect::<String>(),
        "small" => "GET /none HTTP/1.1\n\n".repeat(8_000),
        "large" => (0..10).map(|n| chat_request(&format!("b{n}"), "poem", 250_000)).collect(),
        _ => unreachable!("no such form"),
    };
    first + &following
}

// Bytes that were read ahead of the parser stayed allocated for each connection after they were answered, and
// so did the record of the heads among them: the budget for bytes that wait did not bound the memory.
#[rstest]
#[tokio::test]
async fn connections_on_which_requests_were_sent_at_once_stay_within_the_memory_limit(
    #[values(32, 192)] memory_mb: u64,
    #[values("bodies", "small", "large")] form: &str,
) {
    run_local(async {
        let mut gateway = start_gateway(memory_mb, usual_stream(), small_embedding()).await;
        let text = pipelined_requests(form);
        let mut clients = Vec::new();
        for _ in 0..CONNECTIONS {
            clients.push(start_reading_client(&gateway, text.clone()).await);
            tokio::time::sleep(Duration::from_millis(8)).await;
        }
        tokio::time::sleep(HOLD_TIME).await;
        assert_usual_requests_are_served(&gateway).await;
        gateway.assert_within_memory_limit();
        let is_answered = async || gateway.reserved_bytes("read_ahead").await == 0;
        wait_until("what was read ahead is answered and its memory returned", is_answered).await;
    })
    .await;
}

// The write buffer of each client connection kept the size of the largest answer that was ever written on it.
#[rstest]
#[tokio::test]
async fn connections_that_have_carried_large_answers_stay_within_the_memory_limit(
    #[values((32, 1 << 20), (64, 2 << 20), (192, 3 << 20))] (memory_mb, answer_bytes): (u64, usize),
) {
    run_local(async {
        let answer = EngineResponse::json("200 OK", &embedding_text(answer_bytes));
        let mut gateway = start_gateway(memory_mb, usual_stream(), answer).await;
        let clients: Vec<_> = {
            let mut clients = Vec::new();
            for _ in 0..100 {
                clients.push(start_reading_client(&gateway, embeddings_request()).await);
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            clients
        };
        tokio::time::sleep(HOLD_TIME).await;
        gateway.assert_within_memory_limit();
        drop(clients);
    })
    .await;
}

// The size of one answer was limited, but not the sum of the answers that were being read or written.
#[rstest]
#[tokio::test]
async fn large_answers_at_the_same_time_stay_within_the_memory_limit(
    #[values((32, 1 << 20), (192, 3 << 20))] (memory_mb, answer_bytes): (u64, usize),
    #[values(true, false)] clients_read: bool,
) {
    run_local(async {
        let answer = EngineResponse {
            delay: Duration::from_millis(300),
            ..EngineResponse::json("200 OK", &embedding_text(answer_bytes))
        };
        let mut gateway = start_gateway(memory_mb, usual_stream(), answer).await;
        let (mut reading, mut silent) = (Vec::new(), Vec::new());
        for _ in 0..150 {
            if clients_read {
                let mut stream = TcpStream::connect(gateway.address).await.expect("the gateway listens");
                stream.write_all(embeddings_request().as_bytes()).await.expect("the request is written");
                reading.push(spawn_local(async move { read_response_status(&mut stream).await }));
            } else {
                silent.push(send_without_reading(&gateway, &embeddings_request()).await);
            }
        }
        for client in reading {
            assert_eq!(client.await.expect("the client ends"), Some(200), "the whole answer arrives");
        }
        tokio::time::sleep(Duration::from_secs(2)).await;
        assert_usual_requests_are_served(&gateway).await;
        gateway.assert_within_memory_limit();
    })
    .await;
}

// Each small piece of an answer held the buffer into which it was read until the answer was complete.
#[rstest]
#[tokio::test]
async fn large_answer_in_small_pieces_stays_within_the_memory_limit(#[values(32, 192)] memory_mb: u64) {
    run_local(async {
        let answer =
            EngineResponse { piece_bytes: 40, ..EngineResponse::json("200 OK", &embedding_text(1 << 20)) };
        let mut gateway = start_gateway(memory_mb, usual_stream(), answer).await;
        let body = json!({"model": "embedder", "input": "text"}).to_string();
        let answer = send_request(gateway.address, "POST", "/v1/embeddings", &[], &body).await;
        gateway.assert_within_memory_limit();
        assert_eq!(answer.status, 200);
        assert!(answer.body.len() > 1 << 20);
    })
    .await;
}

// An answer was decoded as a whole to count its entries, which took a multiple of its size.
#[rstest]
#[tokio::test]
async fn answer_of_many_small_numbers_stays_within_the_memory_limit(
    #[values((32, 600_000), (192, 1_900_000))] (memory_mb, numbers): (u64, usize),
) {
    run_local(async {
        let list = vec!["0"; numbers].join(",");
        let answer = EngineResponse::json("200 OK", &format!(r#"{{"data":[[{list}]]}}"#));
        let mut gateway = start_gateway(memory_mb, usual_stream(), answer).await;
        let idle_mb = gateway.resident_mb();
        let body = json!({"model": "embedder", "input": "text"}).to_string();
        let answer = send_request(gateway.address, "POST", "/v1/embeddings", &[], &body).await;
        gateway.assert_within_memory_limit();
        gateway.assert_grown_by_at_most(idle_mb, ANSWERS_DIVISOR);
        assert_eq!(answer.status, 200);
    })
    .await;
}

// The inputs of a call were stored in a general form, which took a multiple of the call's size.
#[rstest]
#[tokio::test]
async fn call_of_many_small_inputs_stays_within_the_memory_limit(#[values("[1]", "1", "\"a\"")] input: &str) {
    run_local(async {
        let mut gateway = start_gateway(32, usual_stream(), small_embedding()).await;
        let idle_mb = gateway.resident_mb();
        let inputs = vec![input; 250_000 / (input.len() + 1)].join(",");
        let text =
            request_text("/v1/embeddings", "", &format!(r#"{{"model":"embedder","input":[{inputs}]}}"#));
        let mut clients = Vec::new();
        for _ in 0..20 {
            clients.push(start_reading_client(&gateway, text.clone()).await);
        }
        tokio::time::sleep(HOLD_TIME).await;
        gateway.assert_within_memory_limit();
        gateway.assert_grown_by_at_most(idle_mb, BODIES_DIVISOR);
    })
    .await;
}

// The write buffer of each engine connection kept the size of the largest request that was ever sent on it.
#[rstest]
#[tokio::test]
async fn large_requests_at_the_same_time_stay_within_the_memory_limit(#[values(32, 192)] memory_mb: u64) {
    run_local(async {
        let slow_stream = EngineResponse { delay: Duration::from_millis(400), ..usual_stream() };
        let mut gateway = start_gateway(memory_mb, slow_stream, small_embedding()).await;
        let mut clients = Vec::new();
        for round in 0..3 {
            for n in 0..CONNECTIONS {
                let text = chat_request(&format!("a{round}-{n}"), "lookup", 250_000);
                clients.push(start_reading_client(&gateway, text).await);
            }
            tokio::time::sleep(HOLD_TIME).await;
            clients.drain(..).for_each(|client| client.abort());
        }
        assert_usual_requests_are_served(&gateway).await;
        gateway.assert_within_memory_limit();
    })
    .await;
}

// Streams that wait for their clients, with events of the maximum size.
#[rstest]
#[tokio::test]
async fn streams_of_large_events_to_clients_that_do_not_read_stay_within_the_memory_limit(
    #[values(32, 192)] memory_mb: u64,
    #[values("events", "comments")] form: &str,
) {
    run_local(async {
        let event = format!("data: {}\n\n", json!({"a": "x".repeat(60_000)}));
        let stream = match form {
            "events" => EngineResponse::chunks("text/event-stream", vec![event.as_str(); 15]),
            _ => EngineResponse::chunks("text/event-stream", vec![": comment\n\n"; 80_000]),
        };
        let mut gateway = start_gateway(memory_mb, stream, small_embedding()).await;
        let mut clients = Vec::new();
        for n in 0..CONNECTIONS {
            clients.push(send_without_reading(&gateway, &chat_request(&format!("a{n}"), "lookup", 10)).await);
        }
        tokio::time::sleep(Duration::from_secs(2)).await;
        gateway.assert_within_memory_limit();
    })
    .await;
}

// While answers held all memory that was set aside for them, streams whose engines sent many small events in
// one chunk were taken for streams of large events and broken off.
#[rstest]
#[tokio::test]
async fn streams_of_small_events_are_whole_while_answers_hold_their_memory(
    #[values((32, 2), (192, 6))] (memory_mb, answers): (u64, u64),
) {
    run_local(async {
        let events_at_once = EVENTS[0].repeat(8_000);
        let stream = EngineResponse::chunks("text/event-stream", vec![events_at_once.as_str(); 3]);
        let limit_bytes = (memory_mb - 12) * (1 << 20) / ANSWERS_DIVISOR;
        let answer_bytes = limit_bytes / answers - 200;
        let answer = EngineResponse::json("200 OK", &embedding_text(answer_bytes as usize));
        let mut gateway = start_gateway(memory_mb, stream, answer).await;
        let mut silent = Vec::new();
        for _ in 0..20 {
            silent.push(send_without_reading(&gateway, &embeddings_request()).await);
        }
        let is_exhausted = async || gateway.reserved_bytes("answer").await >= limit_bytes - 2 * 200 * answers;
        wait_until("answers hold the memory that is set aside for them", is_exhausted).await;
        for n in 0..12 {
            let answer = chat(gateway.address, &format!("a{n}"), "lookup", 9000).await;
            assert!(answer.status == 200 && answer.complete, "stream {n} ended early");
        }
        gateway.assert_within_memory_limit();
    })
    .await;
}

// Heads of the maximum size, on connections that are kept.
#[rstest]
#[tokio::test]
async fn large_heads_stay_within_the_memory_limit(
    #[values(32, 192)] memory_mb: u64,
    #[values(true, false)] complete: bool,
) {
    run_local(async {
        let mut gateway = start_gateway(memory_mb, usual_stream(), small_embedding()).await;
        let head_bytes = if memory_mb > 100 { 15_000 } else { 7_500 };
        let body: Value = json!({"messages": [{"role": "user", "content": "x"}]});
        let mut clients = Vec::new();
        for n in 0..CONNECTIONS + 180 {
            let headers = format!(
                "Req-Id: a{n}\r\nReq-Kind: lookup\r\nReq-Owner: desk\r\nX: {}\r\n",
                "y".repeat(head_bytes)
            );
            let mut text = request_text("/v1/chat/completions", &headers, &body.to_string());
            if !complete {
                text.truncate(text.len() - 2);
            }
            clients.push(start_reading_client(&gateway, text).await);
        }
        tokio::time::sleep(HOLD_TIME).await;
        gateway.assert_within_memory_limit();
        drop(clients);
    })
    .await;
}

// All of these at the same time.
#[rstest]
#[tokio::test]
async fn greedy_clients_of_all_kinds_at_the_same_time_stay_within_the_memory_limit(
    #[values((32, 1 << 20), (64, 2 << 20), (192, 3 << 20))] (memory_mb, answer_bytes): (u64, usize),
) {
    run_local(async {
        let event = format!("data: {}\n\n", json!({"a": "x".repeat(20_000)}));
        let stream = EngineResponse::chunks("text/event-stream", vec![event.as_str(); 15]);
        let answer = EngineResponse::json("200 OK", &embedding_text(answer_bytes));
        let mut gateway = start_gateway(memory_mb, stream, answer).await;
        let requests_at_once = pipelined_requests("bodies");
        let (mut reading, mut silent) = (Vec::new(), Vec::new());
        for n in 0..90 {
            reading.push(start_reading_client(&gateway, requests_at_once.clone()).await);
            reading.push(start_reading_client(&gateway, embeddings_request()).await);
            let large_request = chat_request(&format!("l{n}"), "lookup", 250_000);
            reading.push(start_reading_client(&gateway, large_request).await);
            silent.push(send_without_reading(&gateway, &embeddings_request()).await);
            silent.push(send_without_reading(&gateway, &chat_request(&format!("s{n}"), "lookup", 10)).await);
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        tokio::time::sleep(Duration::from_secs(2)).await;
        gateway.assert_within_memory_limit();
    })
    .await;
}

// One kind of greedy client after the other: what one kind has freed must serve the next.
#[rstest]
#[tokio::test]
async fn greedy_clients_of_one_kind_after_the_other_stay_within_the_memory_limit(
    #[values((32, 1 << 20), (192, 3 << 20))] (memory_mb, answer_bytes): (u64, usize),
) {
    run_local(async {
        let answer = EngineResponse::json("200 OK", &embedding_text(answer_bytes));
        let mut gateway = start_gateway(memory_mb, usual_stream(), answer).await;
        let large_head = format!("X: {}\r\n", "y".repeat(7_000));
        let texts = [
            chat_request("large", "lookup", 250_000),
            embeddings_request(),
            pipelined_requests("bodies"),
            request_text("/v1/chat/completions", &large_head, "{}"),
            chat_request("middle", "lookup", 30_000),
        ];
        for text in texts.iter().cycle().take(2 * texts.len()) {
            let mut clients = Vec::new();
            for n in 0..150 {
                let text = text.replacen("Req-Id: ", &format!("Req-Id: n{n}-"), 1);
                clients.push(start_reading_client(&gateway, text).await);
            }
            tokio::time::sleep(HOLD_TIME).await;
            clients.into_iter().for_each(|client| client.abort());
        }
        assert_usual_requests_are_served(&gateway).await;
        gateway.assert_within_memory_limit();
    })
    .await;
}
