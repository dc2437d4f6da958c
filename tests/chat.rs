//! The platform's rules on real sockets, one test a rule.

mod loopback;
use loopback::*;
use rstest::rstest;
use std::time::{Duration, Instant};

struct World {
    readers: [Engine; 2],
    writers: [Engine; 2],
    discovery: Discovery,
    daemon: Daemon,
}

impl World {
    async fn start() -> Self {
        let readers = [Engine::start("r1", "reader").await, Engine::start("r2", "reader").await];
        let writers = [Engine::start("w1", "writer").await, Engine::start("w2", "writer").await];
        let discovery = Discovery::start(&[&readers[0], &readers[1], &writers[0], &writers[1]]).await;
        let daemon = Daemon::start(&discovery, None).await;
        Self { readers, writers, discovery, daemon }
    }

    fn set(&self, engines: &[Engine; 2], mode: Mode) {
        engines.iter().for_each(|e| e.mode.set(mode));
    }

    fn calls(&self, engines: &[Engine; 2]) -> usize {
        engines.iter().map(|e| e.count("/v1/")).sum()
    }

    fn releases(&self, id: &str) -> usize {
        let all = self.readers.iter().chain(&self.writers);
        all.map(|e| e.count(&format!("/state/{id}"))).sum()
    }
}

#[tokio::test]
async fn events_reach_the_client_unchanged_and_the_job_reaches_both_engines() {
    local(async {
        let w = World::start().await;
        let answer = chat(w.daemon.address, "a1", "lookup", 9000).await;
        assert_eq!((answer.status, answer.body, answer.whole), (200, EVENTS.concat(), true));
        for engine in w.readers.iter().chain(&w.writers) {
            for seen in engine.seen.borrow().iter() {
                assert_eq!((seen.headers["req-id"].as_str(), seen.body.as_slice()), ("a1", CHAT.as_bytes()));
            }
        }
        assert_eq!((w.calls(&w.readers), w.calls(&w.writers), w.releases("a1")), (1, 1, 0));
    })
    .await;
}

// Engines drop repeats of a request by its key: sent without it, a repeat would run a second time.
#[rstest]
#[case::with_a_key(Some("6a85b48b0ccb33ef"))]
#[case::without_one(None)]
#[tokio::test]
async fn idempotency_key_reaches_every_engine_as_the_client_sent_it(#[case] key: Option<&str>) {
    local(async {
        let w = World::start().await;
        w.set(&w.writers, Mode::Declines);
        w.writers[0].mode.set(Mode::Well);
        let plain = [("Req-Kind", "lookup"), ("Req-Owner", "desk"), ("Req-Deadline", "9000m")];
        for n in 0..6 {
            let id = format!("a{n}");
            let mut headers = plain.to_vec();
            headers.push(("Req-Id", &id));
            headers.extend(key.map(|key| ("Idempotency-Key", key)));
            let answer = ask(w.daemon.address, "POST", "/v1/chat/completions", &headers, CHAT).await;
            assert_eq!(answer.status, 200);
        }
        assert!(w.writers[1].count("/v1/") > 0, "no attempt was repeated");
        for engine in w.readers.iter().chain(&w.writers) {
            let seen = engine.seen.borrow();
            let attempts = seen.iter().filter(|seen| seen.path.starts_with("/v1/"));
            let keys: Vec<_> =
                attempts.map(|s| s.headers.get("idempotency-key").map(String::as_str)).collect();
            assert!(keys.iter().all(|sent| *sent == key), "{keys:?}");
        }
    })
    .await;
}

// What is malformed costs an engine nothing and the gateway no panic.
#[rstest]
#[case::no_id(&[("Req-Kind", "lookup"), ("Req-Owner", "desk")], CHAT, 400)]
#[case::id_that_is_a_path(&[("Req-Id", "a/../b"), ("Req-Kind", "lookup"), ("Req-Owner", "desk")], CHAT, 400)]
#[case::class(&[("Req-Id", "a"), ("Req-Kind", "poem"), ("Req-Owner", "desk")], CHAT, 400)]
#[case::tenant(&[("Req-Id", "a"), ("Req-Kind", "lookup"), ("Req-Owner", "nobody")], CHAT, 400)]
#[case::deadline(&[("Req-Id", "a"), ("Req-Kind", "lookup"), ("Req-Owner", "desk"), ("Req-Deadline", "5")], CHAT, 400)]
#[case::lengths(&[("Req-Id", "a"), ("Req-Kind", "lookup"), ("Req-Owner", "desk"), ("Req-Extra", "prompt_len=-1")], CHAT, 400)]
#[case::body(&[("Req-Id", "a"), ("Req-Kind", "lookup"), ("Req-Owner", "desk")], "{\"messages\":", 400)]
#[tokio::test]
async fn malformed_request_is_turned_away_unsent(
    #[case] headers: &[(&str, &str)],
    #[case] body: &str,
    #[case] status: u16,
) {
    local(async {
        let w = World::start().await;
        let answer = ask(w.daemon.address, "POST", "/v1/chat/completions", headers, body).await;
        assert_eq!(answer.status, status);
        assert!(answer.json()["error"]["message"].is_string());
        assert_eq!(w.calls(&w.readers), 0);
        assert_eq!(chat(w.daemon.address, "b", "lookup", 9000).await.status, 200, "still serves");
    })
    .await;
}

#[tokio::test]
async fn oversized_body_and_unknown_path_have_their_status() {
    local(async {
        let w = World::start().await;
        let long = "x".repeat((256 << 10) + 1);
        let headers = [("Req-Id", "a"), ("Req-Kind", "lookup"), ("Req-Owner", "desk")];
        let to = w.daemon.address;
        assert_eq!(ask(to, "POST", "/v1/chat/completions", &headers, &long).await.status, 413);
        assert_eq!(ask(to, "GET", "/v1/chat/completions", &[], "").await.status, 405);
        // The second front is off unless an operator sets it up.
        assert_eq!(ask(to, "POST", "/v1/embeddings", &[], "{}").await.status, 404);
        assert_eq!(w.calls(&w.readers), 0);
    })
    .await;
}

// Ended with the last chunk, a stream that broke would pass for a whole one.
#[tokio::test]
async fn broken_stream_ends_without_the_last_chunk() {
    local(async {
        let w = World::start().await;
        w.set(&w.writers, Mode::Cut);
        let answer = chat(w.daemon.address, "a1", "lookup", 9000).await;
        assert_eq!((answer.status, answer.whole, w.calls(&w.writers)), (200, false, 1));
    })
    .await;
}

// All of the request was written: it may have run, so one that must not run twice fails, sent once.
#[tokio::test]
async fn correction_at_a_silent_writer_fails_in_time_and_is_not_repeated() {
    local(async {
        let w = World::start().await;
        w.set(&w.writers, Mode::Silent);
        let start = Instant::now();
        let answer = chat(w.daemon.address, "a1", "correction", 1500).await;
        assert_eq!((answer.status, w.calls(&w.writers)), (504, 1));
        assert!(start.elapsed() < Duration::from_millis(1500), "the client had already left");
    })
    .await;
}

#[tokio::test]
async fn correction_that_provably_never_ran_goes_to_another_writer() {
    local(async {
        let w = World::start().await;
        w.writers[0].mode.set(Mode::Declines);
        for n in 0..6 {
            let answer = chat(w.daemon.address, &format!("a{n}"), "correction", 9000).await;
            assert_eq!(answer.status, 200);
        }
        assert!(w.writers[0].count("/v1/") > 0, "the one that declines was never tried");
    })
    .await;
}

// A refusal carries when to come back: held or bare, it would cost the client its deadline or the queue.
#[tokio::test]
async fn refusal_is_given_with_a_time_to_come_back() {
    local(async {
        let w = World::start().await;
        w.set(&w.readers, Mode::Silent);
        let answer = chat(w.daemon.address, "a1", "lookup", 1200).await;
        assert_eq!(answer.status, 429);
        assert!(answer.head.contains("retry-after: 0."), "{}", answer.head);
    })
    .await;
}

// Any engine takes a release; one that cannot be reached must not be the end of it.
#[tokio::test]
async fn state_of_a_request_given_up_is_let_go_at_an_engine_that_runs() {
    local(async {
        let w = World::start().await;
        w.set(&w.readers, Mode::Silent);
        assert_eq!(chat(w.daemon.address, "a1", "lookup", 900).await.status, 429);
        let heard = async || w.writers.iter().any(|e| e.count("/state/a1") > 0);
        until("let go", heard).await;
    })
    .await;
}

// A client that closes has gone: its work is called off and what it held let go.
#[tokio::test]
async fn abandoned_request_is_let_go() {
    local(async {
        let w = World::start().await;
        w.set(&w.readers, Mode::Slow(2000));
        let request = chat(w.daemon.address, "a1", "lookup", 15000);
        tokio::time::timeout(Duration::from_millis(300), request).await.expect_err("it takes two seconds");
        until("let go", async || w.releases("a1") > 0).await;
        assert_eq!(w.calls(&w.writers), 0);
    })
    .await;
}

#[tokio::test]
async fn nothing_goes_to_a_draining_engine() {
    local(async {
        let w = World::start().await;
        assert_eq!(chat(w.daemon.address, "a0", "lookup", 9000).await.status, 200);
        let drained = w.discovery.set(&w.readers[0], "DRAINING");
        for n in 1..40 {
            assert_eq!(chat(w.daemon.address, &format!("a{n}"), "lookup", 9000).await.status, 200);
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let grace = w.discovery.told(drained) + Duration::from_millis(250);
        assert!(w.readers[0].seen.borrow().iter().all(|seen| seen.at < grace));
    })
    .await;
}

// An engine closes what stood idle; a request written to that would count as one that may have run.
#[tokio::test]
async fn connection_that_the_engine_closed_is_not_used_again() {
    local(async {
        let w = World::start().await;
        w.set(&w.readers, Mode::Closes);
        w.set(&w.writers, Mode::Closes);
        for n in 0..8 {
            assert_eq!(chat(w.daemon.address, &format!("a{n}"), "correction", 9000).await.status, 200);
        }
        assert_eq!((w.calls(&w.readers), w.calls(&w.writers)), (8, 8));
    })
    .await;
}

#[tokio::test]
async fn asked_to_stop_it_serves_what_still_comes_and_ends() {
    local(async {
        let w = World::start().await;
        w.set(&w.readers, Mode::Slow(600));
        let to = w.daemon.address;
        let early = tokio::task::spawn_local(async move { chat(to, "a1", "lookup", 9000).await });
        until("sent", async || w.calls(&w.readers) > 0).await;
        w.daemon.stop.notify_one();
        until("not ready", async || ask(to, "GET", "/ready", &[], "").await.status == 503).await;
        assert_eq!(chat(to, "a2", "lookup", 9000).await.status, 200, "it came in the time of grace");
        assert_eq!(early.await.expect("answered").status, 200);
        tokio::time::timeout(Duration::from_secs(10), w.daemon.ended).await.expect("ends").expect("well");
    })
    .await;
}

// A release overtook the read that followed it and took away its state: writers found none (410), and the
// request was read over and over. What may be held goes before the prompt is read again, and nothing after that;
// nothing is held where no read came.
#[rstest]
#[case::read_that_broke(false)]
#[case::read_that_never_got_there(true)]
#[tokio::test]
async fn request_read_again_is_not_released_in_between(#[case] unreachable: bool) {
    local(async {
        let mut w = World::start().await;
        w.readers[0].mode.set(Mode::CutOnce);
        if unreachable {
            w.readers[0].address = closed_port().await;
            w.discovery.set(&w.readers[0], "SERVING");
        }
        let mut read_again = 0;
        for n in 0..6 {
            let id = format!("a{n}");
            assert_eq!(chat(w.daemon.address, &id, "correction", 9000).await.status, 200);
            let times = |engines: &[Engine], path: &str| {
                let seen: Vec<_> = engines.iter().flat_map(|e| e.seen.borrow().clone()).collect();
                let of = seen.into_iter().filter(|s| s.path.starts_with(path));
                let of = of.filter(|s| s.headers.get("req-id").is_none_or(|told| *told == id));
                let mut times: Vec<_> = of.map(|s| s.at).collect();
                times.sort();
                times
            };
            let reads = times(&w.readers, "/v1/");
            let state = format!("/state/{id}");
            let releases = [times(&w.readers, &state), times(&w.writers, &state)].concat();
            assert_eq!(releases.len(), reads.len() - 1, "one for each read that broke");
            assert!(releases.iter().all(|at| at < reads.last().expect("it was read")));
            read_again += reads.len() - 1;
        }
        assert_eq!(read_again, usize::from(!unreachable));
        assert!(w.readers[1].count("/v1/") >= 1);
    })
    .await;
}
