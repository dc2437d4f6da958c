//! Embeddings and rerank beside chat on real sockets: drains, broken connections, repeats and errors.

mod loopback;
use loopback::*;
use rstest::rstest;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

struct Fixture {
    reader: Engine,
    writer: Engine,
    embedders: [Engine; 2],
    rerankers: [Engine; 2],
    discovery: Discovery,
    daemon: Daemon,
}

impl Fixture {
    async fn start(rerank_effect: &str, deadline_ms: u64) -> Self {
        let reader = Engine::start("r1", "reader").await;
        let writer = Engine::start("w1", "writer").await;
        let embedders = [Engine::start("e1", "embedder").await, Engine::start("e2", "embedder").await];
        let rerankers = [Engine::start("k1", "reranker").await, Engine::start("k2", "reranker").await];
        let engines = [&reader, &writer, &embedders[0], &embedders[1], &rerankers[0], &rerankers[1]];
        let discovery = Discovery::start(&engines).await;
        let pool = |model: &str, api: &str, effect: &str| {
            json!({"model": model, "api": api, "effect": effect, "aimMs": deadline_ms / 4,
                "deadlineMs": deadline_ms, "maxInputs": 8, "discovery": discovery.address.to_string()})
        };
        let pools = [pool("embedder", "embeddings", "safe"), pool("reranker", "rerank", rerank_effect)];
        let daemon = Daemon::start(&discovery, Some(json!({"pools": pools}))).await;
        Self { reader, writer, embedders, rerankers, discovery, daemon }
    }

    fn rerank_calls(&self) -> usize {
        self.rerankers.iter().map(|e| e.count("/v1/rerank")).sum()
    }
}

fn embed_body(text: &str) -> String {
    json!({"model": "embedder", "input": [text, "second"]}).to_string()
}

fn rerank_body(text: &str) -> String {
    json!({"model": "reranker", "query": text, "documents": ["a", "b", "c"]}).to_string()
}

async fn embed(address: SocketAddr, text: &str) -> ClientResponse {
    send_request(address, "POST", "/v1/embeddings", &[], &embed_body(text)).await
}

async fn rerank(address: SocketAddr, text: &str, headers: &[(&str, &str)]) -> ClientResponse {
    send_request(address, "POST", "/v1/rerank", headers, &rerank_body(text)).await
}

fn entries(answer: &ClientResponse, list: &str) -> usize {
    answer.json()[list].as_array().map_or(0, Vec::len)
}

// All three kinds of request run while engines of each kind are set to draining. Every request must get one
// complete answer from one run, and no draining engine may get new work more than 250 ms after the
// announcement.
#[tokio::test]
async fn mixed_traffic_through_a_drain_loses_and_repeats_no_request() {
    run_local(async {
        let fixture = Fixture::start("unsafe", 20_000).await;
        let second_reader = Engine::start("r2", "reader").await;
        let second_writer = Engine::start("w2", "writer").await;
        fixture.discovery.add(&second_reader);
        fixture.discovery.add(&second_writer);
        let engines = [
            &fixture.reader,
            &fixture.writer,
            &fixture.embedders[0],
            &fixture.embedders[1],
            &fixture.rerankers[0],
            &fixture.rerankers[1],
        ];
        for engine in engines.into_iter().chain([&second_reader, &second_writer]) {
            engine.mode.set(Mode::Slow(30));
        }
        let (address, answers) = (fixture.daemon.address, Rc::<RefCell<Vec<_>>>::default());
        let mut clients = Vec::new();
        for client in 0..9 {
            let answers = answers.clone();
            clients.push(tokio::task::spawn_local(async move {
                for n in 0..12 {
                    let name = format!("c{client}-{n}");
                    let (list, answer) = match client % 3 {
                        0 => ("", chat(address, &name, "correction", 15_000).await),
                        1 => ("data", embed(address, &name).await),
                        _ => ("results", rerank(address, &name, &[]).await),
                    };
                    answers.borrow_mut().push((list, answer));
                }
            }));
        }
        wait_until("more than 18 answers have arrived", async || answers.borrow().len() > 18).await;
        let draining_engines =
            [&fixture.reader, &fixture.writer, &fixture.embedders[0], &fixture.rerankers[0]];
        let revisions = draining_engines.map(|engine| fixture.discovery.set_state(engine, "DRAINING"));
        for client in clients {
            client.await.expect("the client task completes");
        }
        assert_eq!(answers.borrow().len(), 9 * 12);
        for (list, answer) in answers.borrow().iter() {
            let complete = match *list {
                "" => answer.body == EVENTS.concat() && answer.complete,
                "data" => entries(answer, list) == 2,
                _ => entries(answer, list) == 3,
            };
            assert!(answer.status == 200 && complete, "{answer:?}");
        }
        for (engine, revision) in draining_engines.iter().zip(revisions) {
            let announced_at = fixture.discovery.announced_at(revision);
            let received = engine.received.borrow();
            let calls: Vec<_> = received.iter().filter(|request| request.method == "POST").collect();
            assert!(
                !calls.is_empty()
                    && calls.iter().all(|call| call.received_at < announced_at + Duration::from_millis(250))
            );
        }
        // Requests that must not be repeated ran once: each rerank call, and each chat request at the
        // writers.
        let mut runs = BTreeSet::new();
        for engine in [&fixture.rerankers[0], &fixture.rerankers[1], &fixture.writer, &second_writer] {
            for request in engine.received.borrow().iter().filter(|request| request.method == "POST") {
                assert!(
                    runs.insert((request.headers["req-id"].clone(), request.path.clone())),
                    "{request:?}"
                );
            }
        }
        assert_eq!(runs.len(), 6 * 12);
    })
    .await;
}

// A truncated ranking looks like a complete one. A call whose answer was cut off must be run again completely
// if its class allows repeats, and fail otherwise.
#[rstest]
#[case::safe("safe", 200, 3)]
#[case::must_not_repeat("unsafe", 502, 1)]
#[tokio::test]
async fn truncated_rerank_answer_is_never_returned(
    #[case] effect: &str,
    #[case] status: u16,
    #[case] runs: usize,
) {
    run_local(async {
        let fixture = Fixture::start(effect, 20_000).await;
        // Each engine cuts off its first answer, so that the first two runs break on any engine.
        fixture.rerankers.iter().for_each(|e| e.mode.set(Mode::TruncatesOnce));
        let answer = rerank(fixture.daemon.address, "q", &[]).await;
        assert_eq!((answer.status, fixture.rerank_calls()), (status, runs));
        assert!(status != 200 || entries(&answer, "results") == 3);
        assert!(status == 200 || answer.json()["error"]["message"].is_string());
    })
    .await;
}

// A body without a length ends with its connection. A truncated body can be detected only by its missing
// entries.
#[tokio::test]
async fn answer_with_missing_entries_counts_as_failed() {
    run_local(async {
        let fixture = Fixture::start("unsafe", 20_000).await;
        fixture.rerankers.iter().for_each(|e| e.mode.set(Mode::IncompleteList));
        assert_eq!((rerank(fixture.daemon.address, "q", &[]).await.status, fixture.rerank_calls()), (502, 1));
    })
    .await;
}

// A client may retry with the same key while the first call still runs, also after closing its connection.
// The retry must not run the call a second time.
#[tokio::test]
async fn retry_with_the_same_key_joins_the_running_call() {
    run_local(async {
        let fixture = Fixture::start("unsafe", 20_000).await;
        fixture.rerankers.iter().for_each(|e| e.mode.set(Mode::Slow(400)));
        let (address, key) = (fixture.daemon.address, [("Idempotency-Key", "k1")]);
        let abandoned = tokio::time::timeout(Duration::from_millis(150), rerank(address, "q", &key)).await;
        abandoned.expect_err("the first client gave up before the answer");
        let (second, third) = tokio::join!(rerank(address, "q", &key), rerank(address, "q", &key));
        for answer in [second, third, rerank(address, "q", &key).await] {
            assert_eq!((answer.status, entries(&answer, "results")), (200, 3));
        }
        assert_eq!(fixture.rerank_calls(), 1);
        assert_eq!(rerank(address, "another", &key).await.status, 422, "the key was used for another call");
        assert_eq!(rerank(address, "q", &[]).await.status, 200);
        assert_eq!(fixture.rerank_calls(), 2, "calls without a key run separately");
    })
    .await;
}

#[rstest]
#[case::not_json("/v1/embeddings", json!("text"), 400)]
#[case::empty_input("/v1/embeddings", json!({"model": "embedder", "input": []}), 400)]
#[case::no_documents("/v1/rerank", json!({"model": "reranker", "query": "q", "documents": []}), 400)]
#[case::unknown_model("/v1/rerank", json!({"model": "none", "query": "q", "documents": ["a"]}), 404)]
#[case::model_of_the_other_api("/v1/rerank", json!({"model": "embedder", "query": "q", "documents": ["a"]}), 404)]
#[case::too_many_inputs("/v1/embeddings", json!({"model": "embedder", "input": vec!["a"; 9]}), 413)]
#[case::body_too_long("/v1/embeddings", json!({"model": "embedder", "input": "a".repeat(256 << 10)}), 413)]
#[tokio::test]
async fn invalid_call_is_rejected_without_being_sent(
    #[case] path: &str,
    #[case] body: Value,
    #[case] status: u16,
) {
    run_local(async {
        let fixture = Fixture::start("safe", 20_000).await;
        let answer = send_request(fixture.daemon.address, "POST", path, &[], &body.to_string()).await;
        assert_eq!(answer.status, status);
        assert!(answer.json()["error"]["type"] == "invalid_request_error");
        let calls: usize = fixture.embedders.iter().chain(&fixture.rerankers).map(|e| e.count("/v1/")).sum();
        assert_eq!(calls, 0);
    })
    .await;
}

// A call to an engine that stops answering ends by its deadline. The status depends on whether the call may
// have run.
#[rstest]
#[case::may_have_run("unsafe", Mode::Silent, 504)]
#[case::provably_not_run("unsafe", Mode::Declines, 429)]
#[tokio::test]
async fn call_without_answer_ends_by_its_deadline_with_the_right_status(
    #[case] effect: &str,
    #[case] mode: Mode,
    #[case] status: u16,
) {
    run_local(async {
        let fixture = Fixture::start(effect, 1000).await;
        fixture.rerankers.iter().for_each(|e| e.mode.set(mode));
        let start = Instant::now();
        let answer = rerank(fixture.daemon.address, "q", &[]).await;
        assert_eq!(answer.status, status, "{answer:?}");
        assert_eq!(answer.head.contains("retry-after"), status == 429);
        assert!(start.elapsed() < Duration::from_secs(5));
    })
    .await;
}

// Engines reject invalid calls at once. If these responses counted as answers, the estimated answer time
// would become so short that every slow call was overdue.
#[tokio::test]
async fn rejected_calls_do_not_shorten_the_estimate_for_other_calls() {
    run_local(async {
        let fixture = Fixture::start("safe", 20_000).await;
        fixture.rerankers.iter().for_each(|e| e.mode.set(Mode::RejectsAsInvalid));
        for _ in 0..12 {
            assert_eq!(rerank(fixture.daemon.address, "q", &[]).await.status, 400);
        }
        fixture.rerankers.iter().for_each(|e| e.mode.set(Mode::Slow(1500)));
        assert_eq!(rerank(fixture.daemon.address, "q", &[]).await.status, 200);
        assert_eq!(fixture.rerank_calls(), 12 + 1);
    })
    .await;
}
