//! Clients that are slow, silent, greedy or hostile, on real sockets, and the usual ones beside them.

mod loopback;
use loopback::*;
use rstest::rstest;
use serde_json::json;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

struct World {
    reader: Engine,
    #[allow(dead_code)] // kept for as long as the daemon
    writer: Engine,
    daemon: Daemon,
}

impl World {
    async fn start() -> Self {
        Self::within(json!({"memory_mb": 32, "sockets": 128})).await
    }

    async fn within(limits: serde_json::Value) -> Self {
        let (reader, writer) = (Engine::start("r1", "reader").await, Engine::start("w1", "writer").await);
        let discovery = Discovery::start(&[&reader, &writer]).await;
        let daemon = Daemon::within(limits, &discovery, None).await;
        Self { reader, writer, daemon }
    }
}

const HEAD: &str = "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nReq-Kind: lookup\r\nReq-Owner: desk\r\nReq-Deadline: 9000m\r\n";

/// A chat request whose body is framed by its length.
fn request(id: &str) -> String {
    format!("{HEAD}Req-Id: {id}\r\nContent-Length: {}\r\n\r\n{CHAT}", CHAT.len())
}

async fn connect(to: SocketAddr) -> TcpStream {
    TcpStream::connect(to).await.expect("the daemon listens")
}

/// All that comes on a connection until the daemon closes it.
async fn rest(mut stream: TcpStream) -> String {
    let mut bytes = Vec::new();
    // A reset is a close too.
    let _ = stream.read_to_end(&mut bytes).await;
    String::from_utf8(bytes).expect("text")
}

// Connections kept open for good filled the table for good: every newcomer after them was turned away.
#[tokio::test]
async fn kept_connections_make_room_for_new_ones() {
    local(async {
        let w = World::start().await;
        let mut kept = Vec::new();
        for n in 0..150 {
            let mut stream = connect(w.daemon.address).await;
            stream.write_all(request(&format!("a{n}")).as_bytes()).await.expect("written");
            let mut first = [0; 15];
            stream.read_exact(&mut first).await.expect("answered");
            assert_eq!(&first, b"HTTP/1.1 200 OK", "request {n}");
            kept.push(stream);
        }
    })
    .await;
}

// Those who connect and say nothing must neither keep the usual ones out nor stay.
#[tokio::test]
async fn silent_connections_make_room_and_are_closed() {
    local(async {
        let w = World::start().await;
        let mut silent = Vec::new();
        for _ in 0..90 {
            silent.push(connect(w.daemon.address).await);
        }
        tokio::time::sleep(std::time::Duration::from_millis(60)).await;
        for n in 0..8 {
            assert_eq!(chat(w.daemon.address, &format!("a{n}"), "lookup", 9000).await.status, 200);
        }
        for stream in silent {
            assert_eq!(rest(stream).await, "");
        }
    })
    .await;
}

// A request that stops coming is told so, soon, and not after the ten seconds that a long body may take.
#[rstest]
#[case::in_its_head("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nReq-")]
#[case::in_its_body("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n{")]
#[tokio::test]
async fn request_that_stops_coming_is_given_up(#[case] half: &str) {
    local(async {
        let w = World::start().await;
        let mut stream = connect(w.daemon.address).await;
        let start = std::time::Instant::now();
        stream.write_all(half.as_bytes()).await.expect("written");
        let answer = rest(stream).await;
        assert!(answer.starts_with("HTTP/1.1 408 "), "{answer}");
        assert!(start.elapsed() < std::time::Duration::from_secs(8));
    })
    .await;
}

// The parser keeps one of the two lengths and would take what hides behind for a request of its own.
#[rstest]
#[case::length_first("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n")]
#[case::chunks_first("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n")]
#[tokio::test]
async fn request_hidden_behind_contradicting_lengths_is_not_passed_on(#[case] lengths: &str) {
    local(async {
        let w = World::start().await;
        let mut stream = connect(w.daemon.address).await;
        let text = format!("{HEAD}Req-Id: a1\r\n{lengths}\r\n0\r\n\r\n{}", request("hidden"));
        stream.write_all(text.as_bytes()).await.expect("written");
        let answer = rest(stream).await;
        assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
        assert_eq!(answer.matches("HTTP/1.1").count(), 1, "the hidden one had an answer: {answer}");
        assert_eq!(w.reader.count("/v1/"), 0);
    })
    .await;
}

// Chunks alone are lawful, but what follows them is not followed here: it is not taken for a request.
#[tokio::test]
async fn request_in_chunks_is_served_and_is_the_last_on_its_connection() {
    local(async {
        let w = World::start().await;
        let mut stream = connect(w.daemon.address).await;
        let chunk = format!("{:x}\r\n{CHAT}\r\n0\r\n\r\n", CHAT.len());
        let text = format!("{HEAD}Req-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}{}", request("a2"));
        stream.write_all(text.as_bytes()).await.expect("written");
        let answer = rest(stream).await;
        assert!(answer.starts_with("HTTP/1.1 200 ") && answer.contains(EVENTS[2].trim()), "{answer}");
        assert_eq!((answer.matches("HTTP/1.1").count(), w.reader.count("/v1/")), (1, 1));
    })
    .await;
}

// Closed with bytes unread the connection would be reset, and the answer lost with them.
#[tokio::test]
async fn early_answer_reaches_a_client_that_still_sends() {
    local(async {
        let w = World::start().await;
        let mut stream = connect(w.daemon.address).await;
        let length = 6 << 20;
        let head = format!("{HEAD}Req-Id: a1\r\nContent-Length: {length}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.expect("written");
        for _ in 0..length >> 16 {
            stream.write_all(&[b'x'; 1 << 16]).await.expect("it reads on");
        }
        let answer = rest(stream).await;
        assert!(answer.starts_with("HTTP/1.1 413 ") && answer.ends_with("}}"), "{answer}");
    })
    .await;
}

// Idle clients may take every place there is for them, discovery being down: engines, operators and discovery have
// places of their own, and who comes later gets an answer or a close.
#[tokio::test]
async fn idle_clients_that_take_every_place_keep_nobody_waiting_while_discovery_is_down() {
    use std::time::{Duration, Instant};
    local(async {
        let (reader, writer) = (Engine::start("r1", "reader").await, Engine::start("w1", "writer").await);
        let discovery = Discovery::start(&[&reader, &writer]).await;
        let limits = json!({"memory_mb": 32, "sockets": 128});
        let daemon = Daemon::within(limits, &discovery, None).await;
        discovery.set_down(true);
        let mut idle = Vec::new();
        for n in 0..120 {
            let mut stream = connect(daemon.address).await;
            if n % 3 == 0 {
                stream.write_all(&HEAD.as_bytes()[..40]).await.expect("written");
            }
            idle.push(stream);
        }
        for n in 0..6 {
            let start = Instant::now();
            let mut late = connect(daemon.address).await;
            // One that finds no place is closed, perhaps before it has said anything.
            let _ = late.write_all(request(&format!("late{n}")).as_bytes()).await;
            let mut first = [0; 12];
            let read = tokio::time::timeout(Duration::from_secs(4), late.read(&mut first)).await;
            assert!(read.is_ok(), "neither an answer nor a close after {:?}", start.elapsed());
        }
        let figures = ask(daemon.management, "GET", "/ops/stats", &[], "").await;
        assert_eq!(figures.status, 200);
        // An idle one that is closed makes room at the latest.
        let served = async || {
            let mut stream = connect(daemon.address).await;
            let _ = stream.write_all(request(&format!("b{}", reader.count("/"))).as_bytes()).await;
            rest_of_head(stream).await.starts_with("HTTP/1.1 200")
        };
        until("an engine is reached", served).await;
        discovery.set_down(false);
        let back = Instant::now();
        let version = discovery.set(&reader, "DRAINING");
        until("told of the drain", async || discovery.has_told(version)).await;
        assert!(back.elapsed() < Duration::from_secs(6), "{:?}", back.elapsed());
        drop(idle);
    })
    .await;
}

/// The first bytes that come on a connection, none if it is closed.
async fn rest_of_head(mut stream: TcpStream) -> String {
    let mut first = [0; 64];
    let read = stream.read(&mut first).await.unwrap_or(0);
    String::from_utf8_lossy(&first[..read]).into_owned()
}

// Closed over what its client had sent behind the request, a connection was reset, and an answer that was still on
// its way went with it.
#[tokio::test]
async fn connection_that_is_closed_over_unread_bytes_is_not_reset() {
    local(async {
        let w = World::start().await;
        w.reader.mode.set(Mode::Slow(700));
        let mut stream = connect(w.daemon.address).await;
        stream.write_all(request("a1").as_bytes()).await.expect("written");
        until("sent", async || w.reader.count("/v1/") > 0).await;
        w.daemon.stop.notify_one();
        // More than is read ahead, which ends between two of them: the rest stands unread when the answer is given.
        let plain = request("b1").len();
        let padded =
            request("b1").replace("\r\n\r\n", &format!("\r\nPad: {}\r\n\r\n", "x".repeat(1024 - plain - 7)));
        assert_eq!(padded.len(), 1024);
        let (mut read, mut write) = stream.into_split();
        write.write_all(padded.repeat(400).as_bytes()).await.expect("taken by the system at least");
        let mut bytes = Vec::new();
        let end = read.read_to_end(&mut bytes).await;
        let answer = String::from_utf8_lossy(&bytes);
        assert!(answer.starts_with("HTTP/1.1 200") && answer.contains(EVENTS[2].trim()), "{answer}");
        assert!(end.is_ok(), "{end:?}");
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
        assert!(write.write_all(b"x").await.is_ok(), "it was reset");
    })
    .await;
}

// A request may cross the close of the connection on which it comes. It is served whole, or refused since it came too late
// in the stop, or its client sees a close with no answer and sends it again: then no engine may have been given it.
#[tokio::test]
async fn request_that_crosses_the_close_of_a_stopping_gateway_is_served_or_untouched() {
    use std::time::Duration;
    local(async {
        let w = World::within(json!({})).await;
        let mut resting = Vec::new();
        for n in 0..60u64 {
            let mut stream = connect(w.daemon.address).await;
            stream.write_all(request(&format!("a{n}")).as_bytes()).await.expect("written");
            let mut answer = Vec::new();
            while !answer.ends_with(b"0\r\n\r\n") {
                answer.push(stream.read_u8().await.expect("answered"));
            }
            resting.push(stream);
        }
        w.daemon.stop.notify_one();
        // The connections close 0.6 s after the order.
        let crossing = resting.into_iter().zip(0..).map(|(mut stream, n)| {
            tokio::task::spawn_local(async move {
                tokio::time::sleep(Duration::from_millis(570 + n)).await;
                let written = stream.write_all(request(&format!("b{n}")).as_bytes()).await.is_ok();
                (n, written, rest(stream).await)
            })
        });
        let (mut served, mut refused, mut closed) = (0, 0, 0);
        for crossed in crossing.collect::<Vec<_>>() {
            let (n, written, answer) = crossed.await.expect("it ends");
            let read =
                w.reader.seen.borrow().iter().any(|s| s.headers.get("req-id") == Some(&format!("b{n}")));
            if answer.is_empty() {
                assert!(!read, "b{n} was sent on and not answered");
                closed += 1;
            } else if answer.starts_with("HTTP/1.1 503") {
                assert!(!read, "b{n} was sent on and refused");
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
        assert!(served > 0, "none came in time");
    })
    .await;
}
