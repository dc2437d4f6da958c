//! Management API: withholding engines, the drain, the metrics, and callers that send no complete request.

mod loopback;
use loopback::*;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

struct Fixture {
    readers: [Engine; 2],
    #[allow(dead_code)] // kept alive as long as the daemon
    writer: Engine,
    discovery: Discovery,
    daemon: Daemon,
}

impl Fixture {
    async fn start() -> Self {
        let readers = [Engine::start("r1", "reader").await, Engine::start("r2", "reader").await];
        let writer = Engine::start("w1", "writer").await;
        let discovery = Discovery::start(&[&readers[0], &readers[1], &writer]).await;
        let daemon = Daemon::start(&discovery, None).await;
        Self { readers, writer, discovery, daemon }
    }

    async fn operator_call(&self, method: &str, path: &str) -> ClientResponse {
        send_request(self.daemon.management, method, path, &[], "").await
    }

    async fn metric(&self, name: &str) -> u64 {
        let stats = self.operator_call("GET", "/ops/stats").await.body;
        let line = stats.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        line.and_then(|value| value.parse().ok()).unwrap_or_else(|| panic!("no {name} in {stats}"))
    }

    async fn serve(&self, ids: impl Iterator<Item = String>) {
        for id in ids {
            assert_eq!(chat(self.daemon.address, &id, "lookup", 9000).await.status, 200);
        }
    }
}

// A withheld engine is about to be restarted, so that requests sent to it would be lost. Updates from
// discovery must not put the engine back into use.
#[tokio::test]
async fn withheld_engine_gets_no_request_until_it_is_put_back() {
    run_local(async {
        let fixture = Fixture::start().await;
        fixture.serve((0..8).map(|n| format!("a{n}"))).await;
        assert!(fixture.readers[0].count("/v1/") > 0);
        assert_eq!(fixture.operator_call("POST", "/ops/engines/down?host=r1").await.status, 200);
        assert_eq!(
            fixture.operator_call("POST", "/ops/engines/down?host=r1").await.status,
            200,
            "a repeated command succeeds"
        );
        let count_before = fixture.readers[0].count("/v1/");
        fixture.serve((0..8).map(|n| format!("b{n}"))).await;
        fixture.discovery.set_state(&fixture.readers[0], "DRAINING");
        fixture.discovery.set_state(&fixture.readers[0], "SERVING");
        wait_until("the gateway skips the engine", async || {
            fixture.metric("edge_balancer_skipped_engines").await == 1
        })
        .await;
        fixture.serve((0..8).map(|n| format!("c{n}"))).await;
        assert_eq!(fixture.readers[0].count("/v1/"), count_before);
        assert_eq!(fixture.operator_call("POST", "/ops/engines/up?host=r1").await.status, 200);
        wait_until("the engine is used again", async || {
            let id = format!("d{}", fixture.readers[1].count("/v1/"));
            fixture.serve(std::iter::once(id)).await;
            fixture.readers[0].count("/v1/") > count_before
        })
        .await;
        assert_eq!(fixture.operator_call("POST", "/ops/engines/down?host=never").await.status, 404);
        assert_eq!(fixture.operator_call("POST", "/ops/engines/up").await.status, 400);
        assert_eq!(fixture.operator_call("GET", "/ops/engines/up?host=r1").await.status, 405);
    })
    .await;
}

async fn keep_alive_connection(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("the daemon accepts connections");
    stream.write_all(b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n").await.expect("the request is sent");
    let mut response_start = [0; 15];
    stream.read_exact(&mut response_start).await.expect("the request is answered");
    stream
}

// Clients keep their connections open. A drained gateway used to serve such connections for as long as
// clients sent requests on them.
#[tokio::test]
async fn drained_gateway_is_not_ready_and_closes_connections_until_the_drain_ends() {
    run_local(async {
        let fixture = Fixture::start().await;
        let ready = async || send_request(fixture.daemon.address, "GET", "/ready", &[], "").await.status;
        let mut idle = keep_alive_connection(fixture.daemon.address).await;
        assert_eq!(fixture.operator_call("POST", "/ops/drain/start").await.status, 200);
        assert_eq!(ready().await, 503);
        assert_eq!(
            chat(fixture.daemon.address, "a", "lookup", 9000).await.status,
            200,
            "a draining gateway still serves requests"
        );
        let start = Instant::now();
        let _ = idle.read_to_end(&mut Vec::new()).await;
        assert!(
            start.elapsed() < Duration::from_secs(2),
            "the idle connection stayed open for 2 s or more; the limit is 4 s"
        );
        let mut late = keep_alive_connection(fixture.daemon.address).await;
        let _ = late.read_to_end(&mut Vec::new()).await;
        assert!(!fixture.daemon.task.is_finished());
        assert_eq!(fixture.operator_call("POST", "/ops/drain/stop").await.status, 200);
        assert_eq!(ready().await, 200);
        let mut idle = keep_alive_connection(fixture.daemon.address).await;
        let mut received = Vec::new();
        let closed = tokio::time::timeout(Duration::from_millis(800), idle.read_to_end(&mut received)).await;
        assert!(closed.is_err(), "the connection was closed after the drain had ended");
    })
    .await;
}

// Operators monitor the gateway by its metrics: each request must be counted under one outcome of its class.
#[tokio::test]
async fn metrics_count_requests_by_class_and_outcome() {
    run_local(async {
        let fixture = Fixture::start().await;
        fixture.serve((0..3).map(|n| format!("a{n}"))).await;
        fixture.writer.mode.set(Mode::TruncatesOnce);
        assert!(!chat(fixture.daemon.address, "b", "correction", 9000).await.complete);
        let handled = async |class: &str, outcome: &str| {
            fixture
                .metric(&format!("edge_balancer_handled{{category=\"{class}\",outcome=\"{outcome}\"}}"))
                .await
        };
        wait_until("the request is counted as failed", async || {
            handled("correction", "bad_gateway").await == 1
        })
        .await;
        assert_eq!(handled("lookup", "passed").await, 3);
        assert_eq!(handled("lookup", "dropped").await, 0);
        assert_eq!(
            fixture.metric("edge_balancer_upstream_tries").await,
            8,
            "each request is sent once to a reader and once to a writer"
        );
        assert_eq!(fixture.metric("edge_balancer_known_engines").await, 3);
        assert_eq!(fixture.metric("edge_balancer_in_progress").await, 0);
        fixture.readers.iter().for_each(|reader| reader.mode.set(Mode::Silent));
        let address = fixture.daemon.address;
        tokio::task::spawn_local(async move { chat(address, "c", "lookup", 9000).await });
        wait_until("the request is counted as in progress", async || {
            fixture.metric("edge_balancer_in_progress").await == 1
        })
        .await;
    })
    .await;
}

// Callers that sent nothing used to occupy all management connections, so that operators got no answer.
// Callers that had sent half a request kept the connection that was to be freed, and the next caller was
// closed without a response.
#[rstest::rstest]
#[case::every_second_caller_in_a_request(2, 300)]
#[case::all_callers_in_a_request_for_long(1, 700)]
#[tokio::test]
async fn silent_callers_do_not_block_operators(#[case] partial_request_every: usize, #[case] after_ms: u64) {
    run_local(async {
        let fixture = Fixture::start().await;
        let mut silent_callers = Vec::new();
        for n in 0..40 {
            let mut stream = TcpStream::connect(fixture.daemon.management)
                .await
                .expect("the management address accepts connections");
            if n % partial_request_every == 0 {
                stream.write_all(b"GET /ops/sta").await.expect("the partial request is sent");
            }
            silent_callers.push(stream);
        }
        tokio::time::sleep(Duration::from_millis(after_ms)).await;
        for _ in 0..8 {
            assert_eq!(fixture.operator_call("GET", "/ops/readiness").await.status, 200);
        }
        for mut stream in silent_callers {
            // The connection may be closed with or without a response.
            let _ = stream.read_to_end(&mut Vec::new()).await;
        }
    })
    .await;
}
