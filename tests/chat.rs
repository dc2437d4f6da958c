//! Rules of the platform's protocol on real sockets, with one test for each rule.

mod loopback;
use loopback::*;
use rstest::rstest;
use std::time::{Duration, Instant};

struct Fixture {
    readers: [Engine; 2],
    writers: [Engine; 2],
    discovery: Discovery,
    daemon: Daemon,
}

impl Fixture {
    async fn start() -> Self {
        let readers = [Engine::start("r1", "reader").await, Engine::start("r2", "reader").await];
        let writers = [Engine::start("w1", "writer").await, Engine::start("w2", "writer").await];
        let discovery = Discovery::start(&[&readers[0], &readers[1], &writers[0], &writers[1]]).await;
        let daemon = Daemon::start(&discovery, None).await;
        Self { readers, writers, discovery, daemon }
    }

    fn set_mode(&self, engines: &[Engine; 2], mode: Mode) {
        engines.iter().for_each(|e| e.mode.set(mode));
    }

    fn calls(&self, engines: &[Engine; 2]) -> usize {
        engines.iter().map(|e| e.count("/v1/")).sum()
    }

    fn releases(&self, id: &str) -> usize {
        let engines = self.readers.iter().chain(&self.writers);
        engines.map(|e| e.count(&format!("/state/{id}"))).sum()
    }
}

#[tokio::test]
async fn events_reach_the_client_unchanged_and_the_job_reaches_both_engines() {
    run_local(async {
        let fixture = Fixture::start().await;
        let answer = chat(fixture.daemon.address, "a1", "lookup", 9000).await;
        assert_eq!((answer.status, answer.body, answer.complete), (200, EVENTS.concat(), true));
        for engine in fixture.readers.iter().chain(&fixture.writers) {
            for request in engine.received.borrow().iter() {
                assert_eq!(
                    (request.headers["req-id"].as_str(), request.body.as_slice()),
                    ("a1", CHAT_BODY.as_bytes())
                );
            }
        }
        assert_eq!(
            (fixture.calls(&fixture.readers), fixture.calls(&fixture.writers), fixture.releases("a1")),
            (1, 1, 0)
        );
    })
    .await;
}

// Engines recognise repeats of a request by its idempotency key. A repeat sent without the key would run a
// second time.
#[rstest]
#[case::with_a_key(Some("6a85b48b0ccb33ef"))]
#[case::without_a_key(None)]
#[tokio::test]
async fn idempotency_key_reaches_every_engine_as_the_client_sent_it(#[case] key: Option<&str>) {
    run_local(async {
        let fixture = Fixture::start().await;
        fixture.set_mode(&fixture.writers, Mode::Declines);
        fixture.writers[0].mode.set(Mode::Healthy);
        let required_headers = [("Req-Kind", "lookup"), ("Req-Owner", "desk"), ("Req-Deadline", "9000m")];
        for n in 0..6 {
            let id = format!("a{n}");
            let mut headers = required_headers.to_vec();
            headers.push(("Req-Id", &id));
            headers.extend(key.map(|key| ("Idempotency-Key", key)));
            let answer =
                send_request(fixture.daemon.address, "POST", "/v1/chat/completions", &headers, CHAT_BODY)
                    .await;
            assert_eq!(answer.status, 200);
        }
        assert!(fixture.writers[1].count("/v1/") > 0, "no attempt was repeated");
        for engine in fixture.readers.iter().chain(&fixture.writers) {
            let received = engine.received.borrow();
            let attempts = received.iter().filter(|request| request.path.starts_with("/v1/"));
            let keys: Vec<_> =
                attempts.map(|request| request.headers.get("idempotency-key").map(String::as_str)).collect();
            assert!(keys.iter().all(|sent| *sent == key), "{keys:?}");
        }
    })
    .await;
}

// A malformed request must not reach an engine, and must not make the gateway panic.
#[rstest]
#[case::no_id(&[("Req-Kind", "lookup"), ("Req-Owner", "desk")], CHAT_BODY, 400)]
#[case::id_that_is_a_path(&[("Req-Id", "a/../b"), ("Req-Kind", "lookup"), ("Req-Owner", "desk")], CHAT_BODY, 400)]
#[case::unknown_class(&[("Req-Id", "a"), ("Req-Kind", "poem"), ("Req-Owner", "desk")], CHAT_BODY, 400)]
#[case::unknown_tenant(&[("Req-Id", "a"), ("Req-Kind", "lookup"), ("Req-Owner", "nobody")], CHAT_BODY, 400)]
#[case::deadline_without_unit(&[("Req-Id", "a"), ("Req-Kind", "lookup"), ("Req-Owner", "desk"), ("Req-Deadline", "5")], CHAT_BODY, 400)]
#[case::negative_prompt_length(&[("Req-Id", "a"), ("Req-Kind", "lookup"), ("Req-Owner", "desk"), ("Req-Extra", "prompt_len=-1")], CHAT_BODY, 400)]
#[case::truncated_body(&[("Req-Id", "a"), ("Req-Kind", "lookup"), ("Req-Owner", "desk")], "{\"messages\":", 400)]
#[tokio::test]
async fn malformed_request_is_rejected_without_being_sent(
    #[case] headers: &[(&str, &str)],
    #[case] body: &str,
    #[case] status: u16,
) {
    run_local(async {
        let fixture = Fixture::start().await;
        let answer =
            send_request(fixture.daemon.address, "POST", "/v1/chat/completions", headers, body).await;
        assert_eq!(answer.status, status);
        assert!(answer.json()["error"]["message"].is_string());
        assert_eq!(fixture.calls(&fixture.readers), 0);
        assert_eq!(
            chat(fixture.daemon.address, "b", "lookup", 9000).await.status,
            200,
            "the gateway no longer serves requests"
        );
    })
    .await;
}

#[tokio::test]
async fn oversized_body_and_unsupported_calls_get_the_right_status() {
    run_local(async {
        let fixture = Fixture::start().await;
        let oversized_body = "x".repeat((256 << 10) + 1);
        let headers = [("Req-Id", "a"), ("Req-Kind", "lookup"), ("Req-Owner", "desk")];
        let address = fixture.daemon.address;
        assert_eq!(
            send_request(address, "POST", "/v1/chat/completions", &headers, &oversized_body).await.status,
            413
        );
        assert_eq!(send_request(address, "GET", "/v1/chat/completions", &[], "").await.status, 405);
        // The embeddings and rerank front is disabled unless an operator configures it.
        assert_eq!(send_request(address, "POST", "/v1/embeddings", &[], "{}").await.status, 404);
        assert_eq!(fixture.calls(&fixture.readers), 0);
    })
    .await;
}

// A broken stream that ended with the last chunk would look complete to the client.
#[tokio::test]
async fn broken_stream_ends_without_the_last_chunk() {
    run_local(async {
        let fixture = Fixture::start().await;
        fixture.set_mode(&fixture.writers, Mode::Truncates);
        let answer = chat(fixture.daemon.address, "a1", "lookup", 9000).await;
        assert_eq!((answer.status, answer.complete, fixture.calls(&fixture.writers)), (200, false, 1));
    })
    .await;
}

// The request was completely written and may have run. A request that must not run twice must fail after one
// send.
#[tokio::test]
async fn unsafe_request_at_a_silent_writer_fails_in_time_and_is_not_repeated() {
    run_local(async {
        let fixture = Fixture::start().await;
        fixture.set_mode(&fixture.writers, Mode::Silent);
        let start = Instant::now();
        let answer = chat(fixture.daemon.address, "a1", "correction", 1500).await;
        assert_eq!((answer.status, fixture.calls(&fixture.writers)), (504, 1));
        assert!(
            start.elapsed() < Duration::from_millis(1500),
            "the answer arrived after the client's deadline"
        );
    })
    .await;
}

#[tokio::test]
async fn unsafe_request_that_provably_never_ran_goes_to_another_writer() {
    run_local(async {
        let fixture = Fixture::start().await;
        fixture.writers[0].mode.set(Mode::Declines);
        for n in 0..6 {
            let answer = chat(fixture.daemon.address, &format!("a{n}"), "correction", 9000).await;
            assert_eq!(answer.status, 200);
        }
        assert!(fixture.writers[0].count("/v1/") > 0, "the declining writer was never tried");
    })
    .await;
}

// A refusal has a retry delay. Without the delay the client would retry into a full queue at once, and a late
// refusal would use up the client's deadline.
#[tokio::test]
async fn refusal_has_a_retry_delay() {
    run_local(async {
        let fixture = Fixture::start().await;
        fixture.set_mode(&fixture.readers, Mode::Silent);
        let answer = chat(fixture.daemon.address, "a1", "lookup", 1200).await;
        assert_eq!(answer.status, 429);
        assert!(answer.head.contains("retry-after: 0."), "{}", answer.head);
    })
    .await;
}

// Every engine accepts the release of a state. A release that fails at one engine must be sent to another
// engine.
#[tokio::test]
async fn state_of_an_abandoned_request_is_released_at_a_running_engine() {
    run_local(async {
        let fixture = Fixture::start().await;
        fixture.set_mode(&fixture.readers, Mode::Silent);
        assert_eq!(chat(fixture.daemon.address, "a1", "lookup", 900).await.status, 429);
        let release_received = async || fixture.writers.iter().any(|e| e.count("/state/a1") > 0);
        wait_until("a writer has received the release", release_received).await;
    })
    .await;
}

// A client that closes its connection has abandoned the request: the attempt is cancelled and the state
// released.
#[tokio::test]
async fn request_of_a_disconnected_client_is_released() {
    run_local(async {
        let fixture = Fixture::start().await;
        fixture.set_mode(&fixture.readers, Mode::Slow(2000));
        let request = chat(fixture.daemon.address, "a1", "lookup", 15000);
        tokio::time::timeout(Duration::from_millis(300), request)
            .await
            .expect_err("the reader answers only after two seconds");
        wait_until("the state is released", async || fixture.releases("a1") > 0).await;
        assert_eq!(fixture.calls(&fixture.writers), 0);
    })
    .await;
}

#[tokio::test]
async fn draining_engine_gets_no_new_request() {
    run_local(async {
        let fixture = Fixture::start().await;
        assert_eq!(chat(fixture.daemon.address, "a0", "lookup", 9000).await.status, 200);
        let drain_revision = fixture.discovery.set_state(&fixture.readers[0], "DRAINING");
        for n in 1..40 {
            assert_eq!(chat(fixture.daemon.address, &format!("a{n}"), "lookup", 9000).await.status, 200);
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let grace_end = fixture.discovery.announced_at(drain_revision) + Duration::from_millis(250);
        assert!(fixture.readers[0].received.borrow().iter().all(|request| request.received_at < grace_end));
    })
    .await;
}

// Engines close idle connections. A request written to a closed connection would count as one that may have
// run.
#[tokio::test]
async fn connection_that_the_engine_closed_is_not_used_again() {
    run_local(async {
        let fixture = Fixture::start().await;
        fixture.set_mode(&fixture.readers, Mode::Closes);
        fixture.set_mode(&fixture.writers, Mode::Closes);
        for n in 0..8 {
            assert_eq!(chat(fixture.daemon.address, &format!("a{n}"), "correction", 9000).await.status, 200);
        }
        assert_eq!((fixture.calls(&fixture.readers), fixture.calls(&fixture.writers)), (8, 8));
    })
    .await;
}

#[tokio::test]
async fn stopping_gateway_serves_requests_that_still_arrive_and_then_ends() {
    run_local(async {
        let fixture = Fixture::start().await;
        fixture.set_mode(&fixture.readers, Mode::Slow(600));
        let address = fixture.daemon.address;
        let early = tokio::task::spawn_local(async move { chat(address, "a1", "lookup", 9000).await });
        wait_until("the request has reached a reader", async || fixture.calls(&fixture.readers) > 0).await;
        fixture.daemon.stop.notify_one();
        wait_until("the daemon is not ready", async || {
            send_request(address, "GET", "/ready", &[], "").await.status == 503
        })
        .await;
        assert_eq!(
            chat(address, "a2", "lookup", 9000).await.status,
            200,
            "a request within the grace period was not served"
        );
        assert_eq!(early.await.expect("the client task completes").status, 200);
        tokio::time::timeout(Duration::from_secs(10), fixture.daemon.task)
            .await
            .expect("the daemon ends in time")
            .expect("the daemon task completes");
    })
    .await;
}

// A release used to overtake the read that followed it and delete the new state. Writers then found no state
// (410), and the request was read repeatedly. A state that may exist is released before the prompt is read
// again, and not afterwards. A read that never reached the reader leaves no state, so nothing is released.
#[rstest]
#[case::broken_read(false)]
#[case::unreachable_reader(true)]
#[tokio::test]
async fn release_is_sent_before_the_prompt_is_read_again(#[case] unreachable: bool) {
    run_local(async {
        let mut fixture = Fixture::start().await;
        fixture.readers[0].mode.set(Mode::TruncatesOnce);
        if unreachable {
            fixture.readers[0].address = closed_port().await;
            fixture.discovery.set_state(&fixture.readers[0], "SERVING");
        }
        let mut repeated_reads = 0;
        for n in 0..6 {
            let id = format!("a{n}");
            assert_eq!(chat(fixture.daemon.address, &id, "correction", 9000).await.status, 200);
            let times = |engines: &[Engine], path: &str| {
                let received: Vec<_> = engines.iter().flat_map(|e| e.received.borrow().clone()).collect();
                let requests = received.into_iter().filter(|request| request.path.starts_with(path));
                let requests =
                    requests.filter(|request| request.headers.get("req-id").is_none_or(|sent| *sent == id));
                let mut times: Vec<_> = requests.map(|request| request.received_at).collect();
                times.sort();
                times
            };
            let reads = times(&fixture.readers, "/v1/");
            let state_path = format!("/state/{id}");
            let releases =
                [times(&fixture.readers, &state_path), times(&fixture.writers, &state_path)].concat();
            assert_eq!(releases.len(), reads.len() - 1, "one release for each broken read");
            assert!(
                releases.iter().all(|released_at| released_at < reads.last().expect("the prompt was read"))
            );
            repeated_reads += reads.len() - 1;
        }
        assert_eq!(repeated_reads, usize::from(!unreachable));
        assert!(fixture.readers[1].count("/v1/") >= 1);
    })
    .await;
}
