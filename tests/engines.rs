//! Engines that send invalid or surplus data, on real sockets: none of it reaches a client.

mod loopback;
use loopback::*;
use meadowlug::config::Config;
use meadowlug::gateway::Engines;
use meadowlug::net::{HttpEngines, Pool, PoolLimits};
use rstest::rstest;
use serde_json::json;
use std::sync::Arc;
use std::time::{Duration, Instant};

struct Fixture {
    readers: [Engine; 2],
    writers: [Engine; 2],
    daemon: Daemon,
}

impl Fixture {
    async fn start(response: &'static str) -> Self {
        let readers = [Engine::start("r1", "reader").await, Engine::start("r2", "reader").await];
        let writers = [Engine::start("w1", "writer").await, Engine::start("w2", "writer").await];
        let discovery = Discovery::start(&[&readers[0], &readers[1], &writers[0], &writers[1]]).await;
        let daemon = Daemon::start(&discovery, None).await;
        writers.iter().for_each(|writer| writer.mode.set(Mode::SendsOnce(response)));
        Self { readers, writers, daemon }
    }

    fn run_count(&self) -> usize {
        self.writers.iter().map(|writer| writer.count("/v1/")).sum()
    }
}

macro_rules! stream {
    ($chunks:expr) => {
        concat!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            $chunks
        )
    };
}

// Nothing of the response was passed on, so the attempt counts as failed and may have run. If a part had been
// passed on, the client would have lost the request.
#[rstest]
#[case::noise("\u{1}\u{2}noise\r\n\r\n")]
#[case::unreadable_head("HTTP/9.9 200 OK\r\n\r\n")]
#[case::unreadable_chunk_size(stream!("zz\r\ndata: {\"a\":1}\n\n\r\n"))]
#[case::chunk_that_is_too_short(stream!("9\r\ndata: {\"a\":1}\n\n\r\n"))]
#[case::chunk_of_noise(stream!("C0000000\r\n\u{1}\u{2}noise"))]
#[case::no_event(stream!("0\r\n\r\n"))]
#[tokio::test]
async fn malformed_start_is_a_failed_attempt(
    #[case] response: &'static str,
    #[values(("lookup", 200), ("correction", 502))] class: (&str, u16),
) {
    run_local(assert_failed_attempt_that_may_have_run(response, class)).await;
}

/// Checks that the response of a decode server is one failed attempt:
/// another server handles a safe request, other requests fail with it.
async fn assert_failed_attempt_that_may_have_run(response: &'static str, (class, status): (&str, u16)) {
    let fixture = Fixture::start(response).await;
    let answer = chat(fixture.daemon.address, "a1", class, 9000).await;
    assert_eq!(answer.status, status, "{answer:?}");
    if status == 200 {
        assert_eq!((answer.body, answer.complete), (EVENTS.concat(), true));
    } else {
        assert_eq!(fixture.run_count(), 1, "the request was sent again though it may have run");
    }
}

// Once an event was passed on, no other response can follow: the client must see that this one is incomplete.
#[rstest]
#[case::unreadable_chunk_size(stream!("f\r\ndata: {\"a\":1}\n\n\r\nzz\r\nx"))]
#[case::noise_in_a_chunk(stream!("f\r\ndata: {\"a\":1}\n\n\r\nC0000000\r\n\u{1}\u{2}noise"))]
#[case::chunk_that_never_fills(stream!("f\r\ndata: {\"a\":1}\n\n\r\nC0000000\r\ndata: "))]
#[tokio::test]
async fn stream_malformed_later_ends_without_the_last_chunk(#[case] response: &'static str) {
    run_local(async {
        let fixture = Fixture::start(response).await;
        let start = Instant::now();
        let answer = chat(fixture.daemon.address, "a1", "lookup", 9000).await;
        assert_eq!((answer.status, answer.body.as_str(), answer.complete), (200, EVENTS[0], false));
        assert_eq!(fixture.run_count(), 1);
        assert!(start.elapsed() < Duration::from_secs(8));
    })
    .await;
}

// Surplus data around a valid response harms neither its client nor the next one.
#[rstest]
#[case::interim_responses(concat!("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n",
    stream!("f\r\ndata: {\"a\":1}\n\n\r\n0\r\n\r\n")))]
#[case::unreadable_report(
    "HTTP/1.1 200 OK\r\nSrv-Load: {\"infl\r\nTransfer-Encoding: chunked\r\n\r\nf\r\ndata: {\"a\":1}\n\n\r\n0\r\n\r\n"
)]
#[case::unreadable_header(
    "HTTP/1.1 200 OK\r\nSrv\u{1}Load {\r\nTransfer-Encoding: chunked\r\n\r\nf\r\ndata: {\"a\":1}\n\n\r\n0\r\n\r\n"
)]
#[case::second_response(concat!(stream!("f\r\ndata: {\"a\":1}\n\n\r\n0\r\n\r\n"),
    stream!("f\r\ndata: {\"z\":9}\n\n\r\n0\r\n\r\n")))]
#[tokio::test]
async fn surplus_data_around_a_response_is_dropped(#[case] response: &'static str) {
    run_local(async {
        let fixture = Fixture::start(response).await;
        let answer = chat(fixture.daemon.address, "a1", "correction", 9000).await;
        assert_eq!((answer.status, answer.body.as_str(), answer.complete), (200, EVENTS[0], true));
        for n in 0..6 {
            let answer = chat(fixture.daemon.address, &format!("b{n}"), "lookup", 9000).await;
            assert_eq!(answer.status, 200);
            assert!(answer.body == EVENTS.concat() || answer.body == EVENTS[0], "{answer:?}");
        }
        assert_eq!(fixture.run_count(), 7);
        assert!(fixture.readers.iter().map(|reader| reader.count("/v1/")).sum::<usize>() == 7);
    })
    .await;
}

// During a shutdown the gateway kept a response whose engine hung until the gateway was killed, and its client
// waited. Nobody can tell a hanging engine from a slow one before 5 s without an event have passed, and a
// client must not wait for longer.
#[tokio::test]
async fn hanging_response_is_cut_off_in_time_by_a_stopping_gateway() {
    run_local(async {
        let fixture = Fixture::start(stream!("f\r\ndata: {\"a\":1}\n\n\r\n")).await;
        let address = fixture.daemon.address;
        let client_task = tokio::task::spawn_local(async move { chat(address, "a1", "lookup", 9000).await });
        wait_until("a writer has the request", async || fixture.run_count() == 1).await;
        let last_event = Instant::now();
        fixture.daemon.stop.notify_one();
        let answer = client_task.await.expect("the client task ends");
        let waited = last_event.elapsed();
        let allowed = Duration::from_millis(4_700)..Duration::from_millis(5_050);
        assert!(allowed.contains(&waited), "{waited:?}");
        assert!(answer.status == 200 && answer.body.contains("data") && !answer.complete, "{answer:?}");
        assert_eq!(fixture.run_count(), 1, "the request was sent again though it may have run");
        // Nothing else is open, so the process ends by itself.
        tokio::time::timeout(Duration::from_millis(500), fixture.daemon.task)
            .await
            .expect("the daemon ends in time")
            .expect("the daemon ends without an error");
    })
    .await;
}

// A probe with an unexpected or declining response yields no report and fails nothing but itself.
#[rstest]
#[case::reported(Mode::Healthy, Some(Some(0.25)))]
#[case::declined(Mode::Declines, None)]
#[case::no_report(Mode::IncompleteList, Some(None))]
#[case::noise(Mode::SendsOnce("HTTP/9.9 200 OK\r\n\r\n"), None)]
#[tokio::test]
async fn probe_reports_the_memory_share(#[case] mode: Mode, #[case] expected: Option<Option<f64>>) {
    run_local(async {
        let writer = Engine::start("w1", "writer").await;
        writer.mode.set(mode);
        let config_json = json!({"listen": "", "discovery": "", "settings": {
            "kinds": ["writer"], "permissions": {"probes": true}, "report": {"how": "probe", "fields": ["x0"]},
            "categories": [{"name": "c", "objectiveMs": 1, "hardLimitMs": 2, "effect": "safe"}],
            "extra": {"roleByKind": ["write"], "reportX0": "share of memory that is held"}}});
        let config = Config::decode(config_json.to_string().as_bytes()).expect("a valid configuration");
        assert!(config.settings.may_probe);
        let (dial_timeout, idle_timeout) = (Duration::from_secs(1), Duration::from_secs(1));
        let pool = Pool::new(PoolLimits {
            connections: 4,
            reserved_for_releases: 0,
            buffer_bytes: 8 << 10,
            connection_bytes: 0,
            dial_timeout,
            idle_timeout,
        });
        let engines = HttpEngines::new(pool, config.load, true, 1 << 20);
        let load = engines.probe(Arc::from(writer.address.to_string())).await;
        assert_eq!(load.ok().map(|load| load.memory_share), expected);
        assert_eq!(writer.count("/status/load"), 1);
    })
    .await;
}

// Responses that no decode server gives were taken for proof that the request never ran, so it was sent
// again: requests that must not run twice ran twice.
#[rstest]
#[case::response_of_a_prefill_server(
    "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":0}\n"
)]
#[case::declined_after_an_error("HTTP/1.1 500 Broken\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")]
#[tokio::test]
async fn response_that_proves_nothing_counts_as_may_have_run(
    #[case] response: &'static str,
    #[values(("lookup", 200), ("correction", 502))] class: (&str, u16),
) {
    run_local(assert_failed_attempt_that_may_have_run(response, class)).await;
}
