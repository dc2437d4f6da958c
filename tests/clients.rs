//! Clients that are slow, silent, greedy or hostile, on real sockets, and ordinary clients beside them.

mod loopback;
use loopback::*;
use rstest::rstest;
use serde_json::json;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

struct Fixture {
    reader: Engine,
    #[allow(dead_code)] // must live as long as the daemon
    writer: Engine,
    daemon: Daemon,
}

impl Fixture {
    async fn start() -> Self {
        Self::with_limits(json!({"memory_mb": 32, "sockets": 128})).await
    }

    async fn with_limits(limits: serde_json::Value) -> Self {
        let (reader, writer) = (Engine::start("r1", "reader").await, Engine::start("w1", "writer").await);
        let discovery = Discovery::start(&[&reader, &writer]).await;
        let daemon = Daemon::with_limits(limits, &discovery, None).await;
        Self { reader, writer, daemon }
    }
}

const HEAD: &str = "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nReq-Kind: lookup\r\nReq-Owner: desk\r\nReq-Deadline: 9000m\r\n";

/// Returns a chat request whose body is framed by its length.
fn request(id: &str) -> String {
    format!("{HEAD}Req-Id: {id}\r\nContent-Length: {}\r\n\r\n{CHAT_BODY}", CHAT_BODY.len())
}

async fn connect(address: SocketAddr) -> TcpStream {
    TcpStream::connect(address).await.expect("the daemon listens")
}

/// Returns everything received on a connection until the daemon closes it.
async fn read_to_close(mut stream: TcpStream) -> String {
    let mut bytes = Vec::new();
    // A reset counts as a close too.
    let _ = stream.read_to_end(&mut bytes).await;
    String::from_utf8(bytes).expect("valid UTF-8")
}

// Connections that clients kept open filled the connection table for good, and every new client was refused.
#[tokio::test]
async fn idle_connections_are_closed_to_make_room_for_new_ones() {
    run_local(async {
        let fixture = Fixture::start().await;
        let mut open_connections = Vec::new();
        for n in 0..150 {
            let mut stream = connect(fixture.daemon.address).await;
            stream.write_all(request(&format!("a{n}")).as_bytes()).await.expect("the request is written");
            let mut response_start = [0; 15];
            stream.read_exact(&mut response_start).await.expect("a response arrives");
            assert_eq!(&response_start, b"HTTP/1.1 200 OK", "request {n}");
            open_connections.push(stream);
        }
    })
    .await;
}

// Clients that connect and send nothing must neither keep ordinary clients out nor stay connected.
#[tokio::test]
async fn silent_connections_are_closed_and_make_room() {
    run_local(async {
        let fixture = Fixture::start().await;
        let mut silent_connections = Vec::new();
        for _ in 0..90 {
            silent_connections.push(connect(fixture.daemon.address).await);
        }
        tokio::time::sleep(std::time::Duration::from_millis(60)).await;
        for n in 0..8 {
            assert_eq!(chat(fixture.daemon.address, &format!("a{n}"), "lookup", 9000).await.status, 200);
        }
        for stream in silent_connections {
            assert_eq!(read_to_close(stream).await, "");
        }
    })
    .await;
}

// A request that stalls gets a timeout response soon, not after the ten seconds that a long body may take.
#[rstest]
#[case::in_its_head("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nReq-")]
#[case::in_its_body("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n{")]
#[tokio::test]
async fn request_that_stalls_times_out(#[case] partial_request: &str) {
    run_local(async {
        let fixture = Fixture::start().await;
        let mut stream = connect(fixture.daemon.address).await;
        let start = std::time::Instant::now();
        stream.write_all(partial_request.as_bytes()).await.expect("the request is written");
        let answer = read_to_close(stream).await;
        assert!(answer.starts_with("HTTP/1.1 408 "), "{answer}");
        assert!(start.elapsed() < std::time::Duration::from_secs(8));
    })
    .await;
}

// The HTTP parser keeps one of the two lengths and would treat a request hidden in the body as a separate
// request.
#[rstest]
#[case::length_first("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n")]
#[case::chunks_first("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n")]
#[tokio::test]
async fn request_hidden_behind_conflicting_lengths_is_not_passed_on(#[case] lengths: &str) {
    run_local(async {
        let fixture = Fixture::start().await;
        let mut stream = connect(fixture.daemon.address).await;
        let request_text = format!("{HEAD}Req-Id: a1\r\n{lengths}\r\n0\r\n\r\n{}", request("hidden"));
        stream.write_all(request_text.as_bytes()).await.expect("the request is written");
        let answer = read_to_close(stream).await;
        assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
        assert_eq!(answer.matches("HTTP/1.1").count(), 1, "the hidden request got a response: {answer}");
        assert_eq!(fixture.reader.count("/v1/"), 0);
    })
    .await;
}

// Chunked encoding is valid, but the requests after the body are
// not tracked, so nothing after it may be taken for a request.
#[tokio::test]
async fn chunked_request_is_served_and_is_the_last_on_its_connection() {
    run_local(async {
        let fixture = Fixture::start().await;
        let mut stream = connect(fixture.daemon.address).await;
        let chunk = format!("{:x}\r\n{CHAT_BODY}\r\n0\r\n\r\n", CHAT_BODY.len());
        let request_text =
            format!("{HEAD}Req-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}{}", request("a2"));
        stream.write_all(request_text.as_bytes()).await.expect("the request is written");
        let answer = read_to_close(stream).await;
        assert!(answer.starts_with("HTTP/1.1 200 ") && answer.contains(EVENTS[2].trim()), "{answer}");
        assert_eq!((answer.matches("HTTP/1.1").count(), fixture.reader.count("/v1/")), (1, 1));
    })
    .await;
}

// Closing a socket with unread bytes resets the connection, and the response would be lost.
#[tokio::test]
async fn early_response_reaches_a_client_that_still_sends() {
    run_local(async {
        let fixture = Fixture::start().await;
        let mut stream = connect(fixture.daemon.address).await;
        let length = 6 << 20;
        let head = format!("{HEAD}Req-Id: a1\r\nContent-Length: {length}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.expect("the request is written");
        for _ in 0..length >> 16 {
            stream.write_all(&[b'x'; 1 << 16]).await.expect("the daemon keeps reading");
        }
        let answer = read_to_close(stream).await;
        assert!(answer.starts_with("HTTP/1.1 413 ") && answer.ends_with("}}"), "{answer}");
    })
    .await;
}

// Idle clients may take every connection slot while discovery is down: engines, operators and discovery have
// slots of their own, and later clients get a response or a close.
#[tokio::test]
async fn idle_clients_in_every_slot_keep_no_other_client_waiting_while_discovery_is_down() {
    use std::time::{Duration, Instant};
    run_local(async {
        let (reader, writer) = (Engine::start("r1", "reader").await, Engine::start("w1", "writer").await);
        let discovery = Discovery::start(&[&reader, &writer]).await;
        let limits = json!({"memory_mb": 32, "sockets": 128});
        let daemon = Daemon::with_limits(limits, &discovery, None).await;
        discovery.set_down(true);
        let mut idle_connections = Vec::new();
        for n in 0..120 {
            let mut stream = connect(daemon.address).await;
            if n % 3 == 0 {
                stream.write_all(&HEAD.as_bytes()[..40]).await.expect("the request is written");
            }
            idle_connections.push(stream);
        }
        for n in 0..6 {
            let start = Instant::now();
            let mut late_client = connect(daemon.address).await;
            // A client without a free slot is closed, perhaps before it has sent anything.
            let _ = late_client.write_all(request(&format!("late{n}")).as_bytes()).await;
            let mut response_start = [0; 12];
            let read_result =
                tokio::time::timeout(Duration::from_secs(4), late_client.read(&mut response_start)).await;
            assert!(read_result.is_ok(), "neither a response nor a close after {:?}", start.elapsed());
        }
        let metrics = send_request(daemon.management, "GET", "/ops/stats", &[], "").await;
        assert_eq!(metrics.status, 200);
        // At the latest once an idle connection is closed, a new client is served.
        let served = async || {
            let mut stream = connect(daemon.address).await;
            let _ = stream.write_all(request(&format!("b{}", reader.count("/"))).as_bytes()).await;
            first_bytes(stream).await.starts_with("HTTP/1.1 200")
        };
        wait_until("a client is served", served).await;
        discovery.set_down(false);
        let restored_at = Instant::now();
        let revision = discovery.set_state(&reader, "DRAINING");
        wait_until("the drain is announced", async || discovery.has_announced(revision)).await;
        assert!(restored_at.elapsed() < Duration::from_secs(6), "{:?}", restored_at.elapsed());
        drop(idle_connections);
    })
    .await;
}

/// Returns the first bytes received on a connection, or nothing if it is closed.
async fn first_bytes(mut stream: TcpStream) -> String {
    let mut buffer = [0; 64];
    let length = stream.read(&mut buffer).await.unwrap_or(0);
    String::from_utf8_lossy(&buffer[..length]).into_owned()
}

// A connection that was closed while bytes after the request were
// unread was reset, and a response that was still on its way was lost.
#[tokio::test]
async fn connection_closed_with_unread_bytes_is_not_reset() {
    run_local(async {
        let fixture = Fixture::start().await;
        fixture.reader.mode.set(Mode::Slow(700));
        let mut stream = connect(fixture.daemon.address).await;
        stream.write_all(request("a1").as_bytes()).await.expect("the request is written");
        wait_until("the reader has the request", async || fixture.reader.count("/v1/") > 0).await;
        fixture.daemon.stop.notify_one();
        // More data than is read ahead, which ends between two
        // requests: the rest is unread when the response is sent.
        let unpadded_len = request("b1").len();
        let padded = request("b1")
            .replace("\r\n\r\n", &format!("\r\nPad: {}\r\n\r\n", "x".repeat(1024 - unpadded_len - 7)));
        assert_eq!(padded.len(), 1024);
        let (mut read, mut write) = stream.into_split();
        write.write_all(padded.repeat(400).as_bytes()).await.expect("the kernel accepts the bytes");
        let mut bytes = Vec::new();
        let read_result = read.read_to_end(&mut bytes).await;
        let answer = String::from_utf8_lossy(&bytes);
        assert!(answer.starts_with("HTTP/1.1 200") && answer.contains(EVENTS[2].trim()), "{answer}");
        assert!(read_result.is_ok(), "{read_result:?}");
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
        assert!(write.write_all(b"x").await.is_ok(), "the connection was reset");
    })
    .await;
}

// A request may arrive just as its connection is closed. Either it is served completely, or it is refused
// because it arrived too late in the shutdown, or its client sees a close without a response and sends it
// again; in that case no engine may have received it.
#[tokio::test]
async fn request_that_crosses_the_close_at_shutdown_is_served_or_reaches_no_engine() {
    use std::time::Duration;
    run_local(async {
        let fixture = Fixture::with_limits(json!({})).await;
        let mut idle_connections = Vec::new();
        for n in 0..60u64 {
            let mut stream = connect(fixture.daemon.address).await;
            stream.write_all(request(&format!("a{n}")).as_bytes()).await.expect("the request is written");
            let mut answer = Vec::new();
            while !answer.ends_with(b"0\r\n\r\n") {
                answer.push(stream.read_u8().await.expect("a response arrives"));
            }
            idle_connections.push(stream);
        }
        fixture.daemon.stop.notify_one();
        // The connections close 0.6 s after the shutdown request.
        let crossing = idle_connections.into_iter().zip(0..).map(|(mut stream, n)| {
            tokio::task::spawn_local(async move {
                tokio::time::sleep(Duration::from_millis(570 + n)).await;
                let written = stream.write_all(request(&format!("b{n}")).as_bytes()).await.is_ok();
                (n, written, read_to_close(stream).await)
            })
        });
        let (mut served, mut refused, mut closed) = (0, 0, 0);
        for task in crossing.collect::<Vec<_>>() {
            let (n, written, answer) = task.await.expect("the client task ends");
            let reached_reader = fixture
                .reader
                .received
                .borrow()
                .iter()
                .any(|received_request| received_request.headers.get("req-id") == Some(&format!("b{n}")));
            if answer.is_empty() {
                assert!(!reached_reader, "b{n} was sent to an engine and not answered");
                closed += 1;
            } else if answer.starts_with("HTTP/1.1 503") {
                assert!(!reached_reader, "b{n} was sent to an engine and refused");
                assert!(answer.to_ascii_lowercase().contains("retry-after"), "{answer}");
                refused += 1;
            } else {
                assert!(
                    written && answer.starts_with("HTTP/1.1 200") && answer.ends_with("0\r\n\r\n"),
                    "{answer}"
                );
                served += 1;
            }
        }
        assert_eq!(served + refused + closed, 60);
        assert!(served > 0, "no request was served before the shutdown");
    })
    .await;
}
