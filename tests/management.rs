//! The operators' address: engines in and out by hand, the drain, the figures, and callers that say nothing.

mod loopback;
use loopback::*;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

struct World {
    readers: [Engine; 2],
    #[allow(dead_code)] // kept for as long as the daemon
    writer: Engine,
    discovery: Discovery,
    daemon: Daemon,
}

impl World {
    async fn start() -> Self {
        let readers = [Engine::start("r1", "reader").await, Engine::start("r2", "reader").await];
        let writer = Engine::start("w1", "writer").await;
        let discovery = Discovery::start(&[&readers[0], &readers[1], &writer]).await;
        let daemon = Daemon::start(&discovery, None).await;
        Self { readers, writer, discovery, daemon }
    }

    async fn order(&self, method: &str, path: &str) -> Answer {
        ask(self.daemon.management, method, path, &[], "").await
    }

    async fn figure(&self, name: &str) -> u64 {
        let stats = self.order("GET", "/ops/stats").await.body;
        let line = stats.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        line.and_then(|value| value.parse().ok()).unwrap_or_else(|| panic!("no {name} in {stats}"))
    }

    async fn serve(&self, ids: impl Iterator<Item = String>) {
        for id in ids {
            assert_eq!(chat(self.daemon.address, &id, "lookup", 9000).await.status, 200);
        }
    }
}

// An engine that is out by hand is about to be restarted: what it got then was lost, whatever discovery said.
#[tokio::test]
async fn engine_out_by_hand_gets_nothing_until_it_is_called_back() {
    local(async {
        let w = World::start().await;
        w.serve((0..8).map(|n| format!("a{n}"))).await;
        assert!(w.readers[0].count("/v1/") > 0);
        assert_eq!(w.order("POST", "/ops/engines/down?host=r1").await.status, 200);
        assert_eq!(w.order("POST", "/ops/engines/down?host=r1").await.status, 200, "said again");
        let before = w.readers[0].count("/v1/");
        w.serve((0..8).map(|n| format!("b{n}"))).await;
        w.discovery.set(&w.readers[0], "DRAINING");
        w.discovery.set(&w.readers[0], "SERVING");
        until("told", async || w.figure("edge_balancer_skipped_engines").await == 1).await;
        w.serve((0..8).map(|n| format!("c{n}"))).await;
        assert_eq!(w.readers[0].count("/v1/"), before);
        assert_eq!(w.order("POST", "/ops/engines/up?host=r1").await.status, 200);
        until("used again", async || {
            let id = format!("d{}", w.readers[1].count("/v1/"));
            w.serve(std::iter::once(id)).await;
            w.readers[0].count("/v1/") > before
        })
        .await;
        assert_eq!(w.order("POST", "/ops/engines/down?host=never").await.status, 404);
        assert_eq!(w.order("POST", "/ops/engines/up").await.status, 400);
        assert_eq!(w.order("GET", "/ops/engines/up?host=r1").await.status, 405);
    })
    .await;
}

async fn kept(to: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(to).await.expect("the daemon listens");
    stream.write_all(b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n").await.expect("written");
    let mut first = [0; 15];
    stream.read_exact(&mut first).await.expect("answered");
    stream
}

// Clients keep their connections: a gateway that was drained kept them for as long as they came.
#[tokio::test]
async fn drained_gateway_is_not_ready_and_closes_connections_until_the_drain_ends() {
    local(async {
        let w = World::start().await;
        let ready = async || ask(w.daemon.address, "GET", "/ready", &[], "").await.status;
        let mut idle = kept(w.daemon.address).await;
        assert_eq!(w.order("POST", "/ops/drain/start").await.status, 200);
        assert_eq!(ready().await, 503);
        assert_eq!(chat(w.daemon.address, "a", "lookup", 9000).await.status, 200, "still served");
        let start = Instant::now();
        let _ = idle.read_to_end(&mut Vec::new()).await;
        assert!(start.elapsed() < Duration::from_secs(2), "closed well before 4 s");
        let mut late = kept(w.daemon.address).await;
        let _ = late.read_to_end(&mut Vec::new()).await;
        assert!(!w.daemon.ended.is_finished());
        assert_eq!(w.order("POST", "/ops/drain/stop").await.status, 200);
        assert_eq!(ready().await, 200);
        let mut idle = kept(w.daemon.address).await;
        let mut rest = Vec::new();
        let closed = tokio::time::timeout(Duration::from_millis(800), idle.read_to_end(&mut rest)).await;
        assert!(closed.is_err(), "kept again");
    })
    .await;
}

// The figures are what operators judge a gateway by: each request stands under one outcome of its class.
#[tokio::test]
async fn figures_count_requests_by_class_and_outcome() {
    local(async {
        let w = World::start().await;
        w.serve((0..3).map(|n| format!("a{n}"))).await;
        w.writer.mode.set(Mode::CutOnce);
        assert!(!chat(w.daemon.address, "b", "correction", 9000).await.whole);
        let handled = async |class: &str, outcome: &str| {
            w.figure(&format!("edge_balancer_handled{{category=\"{class}\",outcome=\"{outcome}\"}}")).await
        };
        until("counted", async || handled("correction", "bad_gateway").await == 1).await;
        assert_eq!(handled("lookup", "passed").await, 3);
        assert_eq!(handled("lookup", "dropped").await, 0);
        assert_eq!(w.figure("edge_balancer_upstream_tries").await, 8, "each read and each written once");
        assert_eq!(w.figure("edge_balancer_known_engines").await, 3);
        assert_eq!(w.figure("edge_balancer_in_progress").await, 0);
        w.readers.iter().for_each(|reader| reader.mode.set(Mode::Silent));
        let address = w.daemon.address;
        tokio::task::spawn_local(async move { chat(address, "c", "lookup", 9000).await });
        until("open", async || w.figure("edge_balancer_in_progress").await == 1).await;
    })
    .await;
}

// Callers that say nothing filled the few places there are, and operators were not heard. Those that had said
// half a call lingered in the place that was to be made free, and the next caller was closed without a word.
#[rstest::rstest]
#[case::half_of_them_in_a_call(2, 300)]
#[case::all_in_a_call_for_long(1, 700)]
#[tokio::test]
async fn silent_callers_leave_room_for_operators(#[case] in_a_call_every: usize, #[case] after_ms: u64) {
    local(async {
        let w = World::start().await;
        let mut silent = Vec::new();
        for n in 0..40 {
            let mut stream = TcpStream::connect(w.daemon.management).await.expect("it listens");
            if n % in_a_call_every == 0 {
                stream.write_all(b"GET /ops/sta").await.expect("written");
            }
            silent.push(stream);
        }
        tokio::time::sleep(Duration::from_millis(after_ms)).await;
        for _ in 0..8 {
            assert_eq!(w.order("GET", "/ops/readiness").await.status, 200);
        }
        for mut stream in silent {
            // Closed, with a word or without.
            let _ = stream.read_to_end(&mut Vec::new()).await;
        }
    })
    .await;
}
