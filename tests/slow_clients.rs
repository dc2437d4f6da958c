//! Answers on their way to clients that read slowly, on real sockets: as long as a client reads, neither a stop, a
//! drain nor the limit on idle connections may cut its answer off.

mod loopback;
use loopback::*;
use rstest::rstest;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::spawn_local;

/// Size of an answer in bytes: more than the system buffers for a client with small segments and a small buffer.
const ANSWER_BYTES: usize = 3_700_000;
/// Size of the receive buffer of a client in bytes.
const RECEIVE_BUFFER_BYTES: u32 = 8 << 10;
/// Size of a segment in bytes, as over an ordinary network.
const SEGMENT_BYTES: u32 = 1_400;
/// Interval between two reads of a client.
const READ_INTERVAL: Duration = Duration::from_millis(10);

/// Returns a whole embeddings answer with one entry.
fn embeddings_answer() -> String {
    let body = format!(r#"{{"data":[{{"index":0,"embedding":"{}"}}]}}"#, "A".repeat(ANSWER_BYTES));
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Starts an engine that gives each call the answer, and returns its entry in the list of discovery.
async fn start_embedder(answer: String) -> Value {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let answer = answer.clone();
            spawn_local(async move {
                while read_message(&mut stream).await.is_some() {
                    stream.write_all(answer.as_bytes()).await.expect("the gateway reads");
                }
            });
        }
    });
    json!({"uid": "e1", "endpoint": address.to_string(), "az": "a", "model": "embedder", "pod_group": 0,
        "state": "SERVING", "capacity_hint": 1.0, "boot_ms": 0})
}

async fn start_daemon() -> Daemon {
    let (reader, writer) = (Engine::start("r1", "reader").await, Engine::start("w1", "writer").await);
    let chat = Discovery::start(&[&reader, &writer]).await;
    let models = Discovery::with_revision(1, vec![start_embedder(embeddings_answer()).await]).await;
    let pool = json!({"model": "embedder", "api": "embeddings", "effect": "unsafe", "aimMs": 2000,
        "deadlineMs": 8000, "maxInputs": 8, "discovery": models.address.to_string()});
    let limits = json!({"memory_mb": 192, "sockets": 256});
    Daemon::with_limits(limits, &chat, Some(json!({"pools": [pool]}))).await
}

/// Connects a client whose kernel buffers little, as over an ordinary network.
async fn connect(address: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("the option can be set");
    socket2::SockRef::from(&socket).set_tcp_mss(SEGMENT_BYTES).expect("the option can be set");
    socket.connect(address).await.expect("the daemon listens")
}

/// Calls for embeddings and reads the answer in the given time. Returns the number of bytes of its body.
async fn read_slowly(address: SocketAddr, duration: Duration) -> usize {
    let mut stream = connect(address).await;
    let body = r#"{"model":"embedder","input":["a"]}"#;
    let head = format!("POST /v1/embeddings HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n", body.len());
    stream.write_all((head + body).as_bytes()).await.expect("the call is written");
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.expect("a response arrives"));
    }
    let (start, mut received, mut buffer) = (Instant::now(), 0, vec![0; 1 << 20]);
    while received < ANSWER_BYTES {
        let due = (ANSWER_BYTES as f64 * (start.elapsed().as_secs_f64() / duration.as_secs_f64())) as usize;
        let wanted = due.saturating_sub(received).min(buffer.len());
        if wanted > 0 {
            match stream.read(&mut buffer[..wanted]).await {
                Ok(count @ 1..) => received += count,
                _ => return received,
            }
        }
        tokio::time::sleep(READ_INTERVAL).await;
    }
    received
}

/// What happens while the answer is on its way.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Disruption {
    None,
    Stop,
    Drain,
    /// Many other clients connect, so that room for them is sought.
    Crowd,
}

// A whole answer counted as given once it was handed to the HTTP library. What the client had not yet read was cut
// off half a second after a stop or a drain began, when room was made for another client, or after ten seconds.
#[rstest]
#[case::in_a_stop(Disruption::Stop, 3_000)]
#[case::in_a_drain(Disruption::Drain, 3_000)]
#[case::in_a_crowd(Disruption::Crowd, 4_000)]
#[case::for_longer_than_connections_may_be_idle(Disruption::None, 13_000)]
#[tokio::test]
async fn answer_that_is_read_slowly_is_whole(#[case] disruption: Disruption, #[case] read_ms: u64) {
    run_local(async {
        let daemon = start_daemon().await;
        let duration = Duration::from_millis(read_ms);
        let clients = [(); 2].map(|()| spawn_local(read_slowly(daemon.address, duration)));
        tokio::time::sleep(Duration::from_millis(400)).await;
        let mut crowd = Vec::new();
        match disruption {
            Disruption::None => {}
            Disruption::Stop => daemon.stop.notify_one(),
            Disruption::Drain => {
                let answer = send_request(daemon.management, "POST", "/ops/drain/start", &[], "").await;
                assert_eq!(answer.status, 200);
            }
            Disruption::Crowd => {
                for _ in 0..300 {
                    crowd.push(TcpStream::connect(daemon.address).await);
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            }
        }
        for client in clients {
            let received = client.await.expect("the client ends");
            assert!(received >= ANSWER_BYTES, "{received} of {ANSWER_BYTES} bytes arrived");
        }
    })
    .await;
}

// A client that stops reading must not keep its answer and its connection for good.
#[tokio::test]
async fn client_that_stops_reading_is_closed() {
    run_local(async {
        let daemon = start_daemon().await;
        let mut stream = connect(daemon.address).await;
        let body = r#"{"model":"embedder","input":["a"]}"#;
        let head =
            format!("POST /v1/embeddings HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all((head + body).as_bytes()).await.expect("the call is written");
        let reserved = async || {
            let stats = send_request(daemon.management, "GET", "/ops/stats", &[], "").await.body;
            let name = "edge_balancer_reserved_bytes{use=\"answer\"} ";
            let value = stats.lines().find_map(|line| line.strip_prefix(name));
            value.and_then(|value| value.parse::<usize>().ok()).expect("the figure is reported")
        };
        wait_until("the answer is buffered", async || reserved().await > 0).await;
        let start = Instant::now();
        while reserved().await > 0 {
            assert!(start.elapsed() < Duration::from_secs(50), "the answer is kept");
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
    })
    .await;
}
