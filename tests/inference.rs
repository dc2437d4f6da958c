//! Embeddings and rerank beside chat on real sockets: drain, breaks, repeats and errors.

mod loopback;
use loopback::*;
use rstest::rstest;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

struct World {
    reader: Engine,
    writer: Engine,
    embedders: [Engine; 2],
    rerankers: [Engine; 2],
    discovery: Discovery,
    daemon: Daemon,
}

impl World {
    async fn start(rerank_effect: &str, deadline_ms: u64) -> Self {
        let reader = Engine::start("r1", "reader").await;
        let writer = Engine::start("w1", "writer").await;
        let embedders = [Engine::start("e1", "embedder").await, Engine::start("e2", "embedder").await];
        let rerankers = [Engine::start("k1", "reranker").await, Engine::start("k2", "reranker").await];
        let all = [&reader, &writer, &embedders[0], &embedders[1], &rerankers[0], &rerankers[1]];
        let discovery = Discovery::start(&all).await;
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

async fn embed(to: SocketAddr, text: &str) -> Answer {
    ask(to, "POST", "/v1/embeddings", &[], &embed_body(text)).await
}

async fn rerank(to: SocketAddr, text: &str, headers: &[(&str, &str)]) -> Answer {
    ask(to, "POST", "/v1/rerank", headers, &rerank_body(text)).await
}

fn entries(answer: &Answer, list: &str) -> usize {
    answer.json()[list].as_array().map_or(0, Vec::len)
}

// The whole promise at once: all three kinds run while boxes of each are told to drain; every request has
// its one answer, whole, from one run, and no box gets anything new more than 250 ms after the news.
#[tokio::test]
async fn mixed_traffic_through_a_drain_loses_and_repeats_nothing() {
    local(async {
        let w = World::start("unsafe", 20_000).await;
        let second_reader = Engine::start("r2", "reader").await;
        let second_writer = Engine::start("w2", "writer").await;
        w.discovery.add(&second_reader);
        w.discovery.add(&second_writer);
        let engines =
            [&w.reader, &w.writer, &w.embedders[0], &w.embedders[1], &w.rerankers[0], &w.rerankers[1]];
        for engine in engines.into_iter().chain([&second_reader, &second_writer]) {
            engine.mode.set(Mode::Slow(30));
        }
        let (to, answers) = (w.daemon.address, Rc::<RefCell<Vec<_>>>::default());
        let mut clients = Vec::new();
        for client in 0..9 {
            let answers = answers.clone();
            clients.push(tokio::task::spawn_local(async move {
                for n in 0..12 {
                    let name = format!("c{client}-{n}");
                    let (list, answer) = match client % 3 {
                        0 => ("", chat(to, &name, "correction", 15_000).await),
                        1 => ("data", embed(to, &name).await),
                        _ => ("results", rerank(to, &name, &[]).await),
                    };
                    answers.borrow_mut().push((list, answer));
                }
            }));
        }
        until("under way", async || answers.borrow().len() > 18).await;
        let drained = [&w.reader, &w.writer, &w.embedders[0], &w.rerankers[0]];
        let versions = drained.map(|engine| w.discovery.set(engine, "DRAINING"));
        for client in clients {
            client.await.expect("a client ends");
        }
        assert_eq!(answers.borrow().len(), 9 * 12);
        for (list, answer) in answers.borrow().iter() {
            let whole = match *list {
                "" => answer.body == EVENTS.concat() && answer.whole,
                "data" => entries(answer, list) == 2,
                _ => entries(answer, list) == 3,
            };
            assert!(answer.status == 200 && whole, "{answer:?}");
        }
        for (engine, version) in drained.iter().zip(versions) {
            let told = w.discovery.told(version);
            let seen = engine.seen.borrow();
            let calls: Vec<_> = seen.iter().filter(|s| s.method == "POST").collect();
            assert!(!calls.is_empty() && calls.iter().all(|s| s.at < told + Duration::from_millis(250)));
        }
        // What must not run twice ran once: each rerank body and each chat id at the writers.
        let mut runs = BTreeSet::new();
        for engine in [&w.rerankers[0], &w.rerankers[1], &w.writer, &second_writer] {
            for seen in engine.seen.borrow().iter().filter(|s| s.method == "POST") {
                assert!(runs.insert((seen.headers["req-id"].clone(), seen.path.clone())), "{seen:?}");
            }
        }
        assert_eq!(runs.len(), 6 * 12);
    })
    .await;
}

// Half a ranking looks like a ranking: a batch cut off is run again whole, or fails, as its class allows.
#[rstest]
#[case::safe("safe", 200, 3)]
#[case::must_not_repeat("unsafe", 502, 1)]
#[tokio::test]
async fn rerank_cut_off_by_a_vanished_box_is_never_answered_in_part(
    #[case] effect: &str,
    #[case] status: u16,
    #[case] runs: usize,
) {
    local(async {
        let w = World::start(effect, 20_000).await;
        // Both cut one off: the first and the second run break, wherever they go.
        w.rerankers.iter().for_each(|e| e.mode.set(Mode::CutOnce));
        let answer = rerank(w.daemon.address, "q", &[]).await;
        assert_eq!((answer.status, w.rerank_calls()), (status, runs));
        assert!(status != 200 || entries(&answer, "results") == 3);
        assert!(status == 200 || answer.json()["error"]["message"].is_string());
    })
    .await;
}

// Without a length a body ends where its connection does: a cut one shows only by what it lacks.
#[tokio::test]
async fn answer_with_entries_missing_counts_as_none() {
    local(async {
        let w = World::start("unsafe", 20_000).await;
        w.rerankers.iter().for_each(|e| e.mode.set(Mode::Short));
        assert_eq!((rerank(w.daemon.address, "q", &[]).await.status, w.rerank_calls()), (502, 1));
    })
    .await;
}

// A client that repeats under one key while the first try runs, or after it hung up, runs nothing twice.
#[tokio::test]
async fn retry_under_one_key_joins_the_try_that_runs() {
    local(async {
        let w = World::start("unsafe", 20_000).await;
        w.rerankers.iter().for_each(|e| e.mode.set(Mode::Slow(400)));
        let (to, key) = (w.daemon.address, [("Idempotency-Key", "k1")]);
        let first = tokio::time::timeout(Duration::from_millis(150), rerank(to, "q", &key)).await;
        first.expect_err("the first caller has hung up");
        let (second, third) = tokio::join!(rerank(to, "q", &key), rerank(to, "q", &key));
        for answer in [second, third, rerank(to, "q", &key).await] {
            assert_eq!((answer.status, entries(&answer, "results")), (200, 3));
        }
        assert_eq!(w.rerank_calls(), 1);
        assert_eq!(rerank(to, "another", &key).await.status, 422, "the key is taken by another call");
        assert_eq!(rerank(to, "q", &[]).await.status, 200);
        assert_eq!(w.rerank_calls(), 2, "without a key each call is its own");
    })
    .await;
}

#[rstest]
#[case::not_json("/v1/embeddings", json!("text"), 400)]
#[case::empty_input("/v1/embeddings", json!({"model": "embedder", "input": []}), 400)]
#[case::no_documents("/v1/rerank", json!({"model": "reranker", "query": "q", "documents": []}), 400)]
#[case::no_such_model("/v1/rerank", json!({"model": "none", "query": "q", "documents": ["a"]}), 404)]
#[case::model_of_the_other_call("/v1/rerank", json!({"model": "embedder", "query": "q", "documents": ["a"]}), 404)]
#[case::too_many_inputs("/v1/embeddings", json!({"model": "embedder", "input": vec!["a"; 9]}), 413)]
#[case::body_too_long("/v1/embeddings", json!({"model": "embedder", "input": "a".repeat(256 << 10)}), 413)]
#[tokio::test]
async fn call_at_fault_is_told_so_unsent(#[case] path: &str, #[case] body: Value, #[case] status: u16) {
    local(async {
        let w = World::start("safe", 20_000).await;
        let answer = ask(w.daemon.address, "POST", path, &[], &body.to_string()).await;
        assert_eq!(answer.status, status);
        assert!(answer.json()["error"]["type"] == "invalid_request_error");
        let calls: usize = w.embedders.iter().chain(&w.rerankers).map(|e| e.count("/v1/")).sum();
        assert_eq!(calls, 0);
    })
    .await;
}

// An engine that has gone silent costs its caller no more than the deadline; what became of it decides the word.
#[rstest]
#[case::may_have_run("unsafe", Mode::Silent, 504)]
#[case::provably_not_run("unsafe", Mode::Declines, 429)]
#[tokio::test]
async fn deadline_passes_with_one_clear_answer(
    #[case] effect: &str,
    #[case] mode: Mode,
    #[case] status: u16,
) {
    local(async {
        let w = World::start(effect, 1000).await;
        w.rerankers.iter().for_each(|e| e.mode.set(mode));
        let start = Instant::now();
        let answer = rerank(w.daemon.address, "q", &[]).await;
        assert_eq!(answer.status, status, "{answer:?}");
        assert_eq!(answer.head.contains("retry-after"), status == 429);
        assert!(start.elapsed() < Duration::from_secs(5));
    })
    .await;
}

// Taken for answers, what an engine turns down at once would make the estimate call every slow call overdue.
#[tokio::test]
async fn calls_that_engines_find_at_fault_do_not_hurry_the_others() {
    local(async {
        let w = World::start("safe", 20_000).await;
        w.rerankers.iter().for_each(|e| e.mode.set(Mode::Faults));
        for _ in 0..12 {
            assert_eq!(rerank(w.daemon.address, "q", &[]).await.status, 400);
        }
        w.rerankers.iter().for_each(|e| e.mode.set(Mode::Slow(1500)));
        assert_eq!(rerank(w.daemon.address, "q", &[]).await.status, 200);
        assert_eq!(w.rerank_calls(), 12 + 1);
    })
    .await;
}
