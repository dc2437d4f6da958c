//! Engines that send what they should not, on real sockets: none of it reaches a client.

mod loopback;
use loopback::*;
use meadowlug::config::Config;
use meadowlug::gateway::Engines;
use meadowlug::net::{HttpEngines, Pool, PoolLimits};
use rstest::rstest;
use serde_json::json;
use std::sync::Arc;
use std::time::{Duration, Instant};

struct World {
    readers: [Engine; 2],
    writers: [Engine; 2],
    daemon: Daemon,
}

impl World {
    async fn start(says: &'static str) -> Self {
        let readers = [Engine::start("r1", "reader").await, Engine::start("r2", "reader").await];
        let writers = [Engine::start("w1", "writer").await, Engine::start("w2", "writer").await];
        let discovery = Discovery::start(&[&readers[0], &readers[1], &writers[0], &writers[1]]).await;
        let daemon = Daemon::start(&discovery, None).await;
        writers.iter().for_each(|w| w.mode.set(Mode::SaysOnce(says)));
        Self { readers, writers, daemon }
    }

    fn runs(&self) -> usize {
        self.writers.iter().map(|w| w.count("/v1/")).sum()
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

// Nothing of the answer was passed on: it is one failed attempt, which may have run. Passed on in part, it
// would have cost its client the whole request.
#[rstest]
#[case::noise("\u{1}\u{2}noise\r\n\r\n")]
#[case::head_that_cannot_be_read("HTTP/9.9 200 OK\r\n\r\n")]
#[case::chunk_size_that_cannot_be_read(stream!("zz\r\ndata: {\"a\":1}\n\n\r\n"))]
#[case::chunk_that_is_too_short(stream!("9\r\ndata: {\"a\":1}\n\n\r\n"))]
#[case::chunk_of_noise(stream!("C0000000\r\n\u{1}\u{2}noise"))]
#[case::no_event(stream!("0\r\n\r\n"))]
#[tokio::test]
async fn spoilt_opening_is_a_failed_attempt(
    #[case] says: &'static str,
    #[values(("lookup", 200), ("correction", 502))] class: (&str, u16),
) {
    local(is_failed_attempt_that_may_have_run(says, class)).await;
}

/// The answer of a decode server is one failed attempt: safe requests are served by another, others end with it.
async fn is_failed_attempt_that_may_have_run(says: &'static str, (class, status): (&str, u16)) {
    let w = World::start(says).await;
    let answer = chat(w.daemon.address, "a1", class, 9000).await;
    assert_eq!(answer.status, status, "{answer:?}");
    if status == 200 {
        assert_eq!((answer.body, answer.whole), (EVENTS.concat(), true));
    } else {
        assert_eq!(w.runs(), 1, "it may have run");
    }
}

// Once an event was passed on the answer is this one or none: its client must see that it is not whole.
#[rstest]
#[case::chunk_size_that_cannot_be_read(stream!("f\r\ndata: {\"a\":1}\n\n\r\nzz\r\nx"))]
#[case::noise_in_a_chunk(stream!("f\r\ndata: {\"a\":1}\n\n\r\nC0000000\r\n\u{1}\u{2}noise"))]
#[case::chunk_that_never_fills(stream!("f\r\ndata: {\"a\":1}\n\n\r\nC0000000\r\ndata: "))]
#[tokio::test]
async fn stream_spoilt_later_ends_without_the_last_chunk(#[case] says: &'static str) {
    local(async {
        let w = World::start(says).await;
        let start = Instant::now();
        let answer = chat(w.daemon.address, "a1", "lookup", 9000).await;
        assert_eq!((answer.status, answer.body.as_str(), answer.whole), (200, EVENTS[0], false));
        assert_eq!(w.runs(), 1);
        assert!(start.elapsed() < Duration::from_secs(8));
    })
    .await;
}

// What comes with a good answer and is none of its client's costs neither this client nor the next.
#[rstest]
#[case::interim_answers(concat!("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n",
    stream!("f\r\ndata: {\"a\":1}\n\n\r\n0\r\n\r\n")))]
#[case::unreadable_report(
    "HTTP/1.1 200 OK\r\nSrv-Load: {\"infl\r\nTransfer-Encoding: chunked\r\n\r\nf\r\ndata: {\"a\":1}\n\n\r\n0\r\n\r\n"
)]
#[case::field_of_noise(
    "HTTP/1.1 200 OK\r\nSrv\u{1}Load {\r\nTransfer-Encoding: chunked\r\n\r\nf\r\ndata: {\"a\":1}\n\n\r\n0\r\n\r\n"
)]
#[case::second_answer(concat!(stream!("f\r\ndata: {\"a\":1}\n\n\r\n0\r\n\r\n"),
    stream!("f\r\ndata: {\"z\":9}\n\n\r\n0\r\n\r\n")))]
#[tokio::test]
async fn more_than_belongs_to_an_answer_is_left_out(#[case] says: &'static str) {
    local(async {
        let w = World::start(says).await;
        let answer = chat(w.daemon.address, "a1", "correction", 9000).await;
        assert_eq!((answer.status, answer.body.as_str(), answer.whole), (200, EVENTS[0], true));
        for n in 0..6 {
            let answer = chat(w.daemon.address, &format!("b{n}"), "lookup", 9000).await;
            assert_eq!(answer.status, 200);
            assert!(answer.body == EVENTS.concat() || answer.body == EVENTS[0], "{answer:?}");
        }
        assert_eq!(w.runs(), 7);
        assert!(w.readers.iter().map(|r| r.count("/v1/")).sum::<usize>() == 7);
    })
    .await;
}

// Told to end, the gateway held an answer whose engine had hung until it was killed, and its client with it.
#[tokio::test]
async fn answer_that_hangs_is_cut_off_before_a_stopping_gateway_is_killed() {
    local(async {
        let w = World::start(stream!("f\r\ndata: {\"a\":1}\n\n\r\n")).await;
        let address = w.daemon.address;
        let asked = tokio::task::spawn_local(async move { chat(address, "a1", "lookup", 9000).await });
        until("sent on", async || w.runs() == 1).await;
        let told = Instant::now();
        w.daemon.stop.notify_one();
        let answer = asked.await.expect("an answer");
        // It is killed 3.7 s after it was told.
        assert!(told.elapsed() < Duration::from_millis(3650), "{:?}", told.elapsed());
        assert!(answer.status == 200 && answer.body.contains("data") && !answer.whole, "{answer:?}");
        assert_eq!(w.runs(), 1, "it may have run");
        tokio::time::timeout(Duration::from_secs(5), w.daemon.ended).await.expect("ends").expect("well");
    })
    .await;
}

// A probe that is answered in another form, or with a refusal, tells nothing and is no failure of more than itself.
#[rstest]
#[case::well(Mode::Well, Some(Some(0.25)))]
#[case::refused(Mode::Declines, None)]
#[case::no_report(Mode::Short, Some(None))]
#[case::noise(Mode::SaysOnce("HTTP/9.9 200 OK\r\n\r\n"), None)]
#[tokio::test]
async fn probe_tells_the_memory_share(#[case] mode: Mode, #[case] told: Option<Option<f64>>) {
    local(async {
        let writer = Engine::start("w1", "writer").await;
        writer.mode.set(mode);
        let file = json!({"listen": "", "discovery": "", "settings": {
            "kinds": ["writer"], "permissions": {"probes": true}, "report": {"how": "probe", "fields": ["x0"]},
            "categories": [{"name": "c", "objectiveMs": 1, "hardLimitMs": 2, "effect": "safe"}],
            "extra": {"roleByKind": ["write"], "reportX0": "share of memory that is held"}}});
        let config = Config::decode(file.to_string().as_bytes()).expect("lawful");
        assert!(config.settings.may_probe);
        let (dial_timeout, idle) = (Duration::from_secs(1), Duration::from_secs(1));
        let pool = Pool::new(PoolLimits { connections: 4, reserved: 0, buffer: 8 << 10, dial_timeout, idle });
        let engines = HttpEngines::new(pool, config.load, true, 1 << 20);
        let load = engines.probe(Arc::from(writer.address.to_string())).await;
        assert_eq!(load.ok().map(|load| load.memory_share), told);
        assert_eq!(writer.count("/status/load"), 1);
    })
    .await;
}

// Answers that no decode server gives were taken for proof that the request never ran, and it was sent again: what must not
// run twice ran twice.
#[rstest]
#[case::as_a_prefill_server_answers(
    "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":0}\n"
)]
#[case::declined_after_an_error("HTTP/1.1 500 Broken\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")]
#[tokio::test]
async fn answer_that_proves_nothing_is_no_proof_that_it_never_ran(
    #[case] says: &'static str,
    #[values(("lookup", 200), ("correction", 502))] class: (&str, u16),
) {
    local(is_failed_attempt_that_may_have_run(says, class)).await;
}
