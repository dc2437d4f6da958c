//! Requests that clients send at once on one connection, on real sockets: what waits behind the request that is
//! being answered must harm neither other clients nor the requests on the same connection.

mod loopback;
use loopback::*;
use rstest::rstest;
use serde_json::json;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Memory limit of the gateway in megabytes, and the part of it that bounds what all connections read ahead
/// (README, "Bounds").
const MEMORY_MB: usize = 32;
const READ_AHEAD_BYTES: usize = ((MEMORY_MB - 12) << 20) / 64;

struct Fixture {
    reader: Engine,
    #[allow(dead_code)] // must live as long as the daemon
    writer: Engine,
    daemon: Daemon,
}

impl Fixture {
    async fn start() -> Self {
        let (reader, writer) = (Engine::start("r1", "reader").await, Engine::start("w1", "writer").await);
        let discovery = Discovery::start(&[&reader, &writer]).await;
        let limits = json!({"memory_mb": MEMORY_MB, "sockets": 256});
        let daemon = Daemon::with_limits(limits, &discovery, None).await;
        Self { reader, writer, daemon }
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.daemon.address).await.expect("the daemon listens")
    }

    /// Returns the memory that is reserved for reading ahead, in bytes.
    async fn reserved_bytes(&self) -> usize {
        let stats = send_request(self.daemon.management, "GET", "/ops/stats", &[], "").await.body;
        let value = stats
            .lines()
            .find_map(|line| line.strip_prefix("edge_balancer_reserved_bytes{use=\"read_ahead\"} "));
        value.and_then(|value| value.parse().ok()).expect("the figure is reported")
    }
}

/// Returns the head and the body of a chat request with a prompt of the given size.
fn chat_parts(id: &str, prompt_bytes: usize) -> (String, String) {
    let text = chat_text(id, "lookup");
    let (head, _) = text.split_once("Content-Length").expect("the request has a length");
    let body = CHAT_BODY.replace("hi", &"x".repeat(prompt_bytes));
    (format!("{head}Content-Length: {}\r\n\r\n", body.len()), body)
}

/// Returns the complete text of a chat request.
fn chat_of_size(id: &str, prompt_bytes: usize) -> String {
    let (head, body) = chat_parts(id, prompt_bytes);
    head + &body
}

/// Returns the status line of the next response, or nothing if the connection ends without one.
async fn read_status_line(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n") {
        match stream.read_u8().await {
            Ok(byte) => bytes.push(byte),
            Err(_) => break,
        }
    }
    String::from_utf8(bytes).expect("valid UTF-8")
}

// A client that sent hundreds of requests at once used up the memory for reading ahead. A read into the buffer
// of length 0 that was left counted as the end of the stream, and clients whose bodies arrived then were reset.
#[rstest]
#[case::few_large_requests(&[30_000; 5])]
#[case::many_small_requests(&[500; 190])]
#[tokio::test]
async fn body_that_arrives_while_no_memory_is_left_for_reading_ahead_is_answered(#[case] flood: &[usize]) {
    run_local(async {
        let fixture = Fixture::start().await;
        let mut usual_clients = Vec::new();
        for n in 0..12 {
            let (head, body) = chat_parts(&format!("usual{n}"), 2_000 * (n + 1));
            let mut stream = fixture.connect().await;
            stream.write_all(head.as_bytes()).await.expect("the head is written");
            usual_clients.push((stream, body));
        }
        fixture.reader.mode.set(Mode::Slow(1_500));
        // Together these clients send more than all connections may read ahead, but none more than its part.
        let mut flooding_clients = Vec::new();
        for client in 0..3 {
            let requests = flood
                .iter()
                .enumerate()
                .map(|(n, bytes)| chat_of_size(&format!("flood{client}-{n}"), *bytes));
            let text: String = requests.collect();
            let mut stream = fixture.connect().await;
            flooding_clients.push(tokio::task::spawn_local(async move {
                // The daemon does not read all of it.
                let _ = stream.write_all(text.as_bytes()).await;
                stream
            }));
        }
        wait_until("the floods are read ahead", async || {
            fixture.reserved_bytes().await > READ_AHEAD_BYTES * 2 / 3
        })
        .await;
        for (stream, body) in &mut usual_clients {
            stream.write_all(body.as_bytes()).await.expect("the body is written");
        }
        for (n, (stream, _)) in usual_clients.iter_mut().enumerate() {
            let status_line = read_status_line(stream).await;
            assert!(status_line.starts_with("HTTP/1.1 "), "usual client {n} was reset");
        }
    })
    .await;
}

/// Sends as much of the text as the system takes, and discards what is received, until the time has passed.
async fn send_and_read_for(stream: &TcpStream, text: &[u8], duration: Duration) {
    let (mut sent, mut discarded) = (0, vec![0; 64 << 10]);
    let start = Instant::now();
    while start.elapsed() < duration {
        sent += stream.try_write(&text[sent..]).unwrap_or(0);
        let _ = stream.try_read(&mut discarded);
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

// The close of a client that had sent more than is read ahead was not noticed, since the end of the stream stood
// behind bytes that nobody read: its requests were sent to servers one after the other.
#[rstest]
#[tokio::test]
async fn nothing_is_sent_for_a_client_that_left_much_unread(
    #[values((100, 1_000), (400, 4_000), (1_500, 4_000), (60, 150_000))] (count, prompt_bytes): (
        usize,
        usize,
    ),
    #[values(false, true)] half_close: bool,
) {
    run_local(async {
        let fixture = Fixture::start().await;
        fixture.reader.mode.set(Mode::Slow(250));
        fixture.writer.mode.set(Mode::Slow(250));
        let text: String = (0..count).map(|n| chat_of_size(&format!("a{n}"), prompt_bytes)).collect();
        let mut stream = fixture.connect().await;
        send_and_read_for(&stream, text.as_bytes(), Duration::from_millis(600)).await;
        let left_at = Instant::now();
        if half_close {
            stream.shutdown().await.expect("the sending direction is closed");
        } else {
            let mut unread = [0; 4096];
            while matches!(stream.try_read(&mut unread), Ok(1..)) {}
        }
        let stream = half_close.then_some(stream);
        tokio::time::sleep(Duration::from_millis(1_200)).await;
        drop(stream);
        let received = [&fixture.reader, &fixture.writer].map(|engine| engine.received.borrow().clone());
        let late = received.iter().flatten().filter(|request| {
            request.path.starts_with("/v1/") && request.received_at > left_at + Duration::from_millis(100)
        });
        assert_eq!(late.count(), 0, "attempts after the client has left");
    })
    .await;
}

// Of the requests that are sent at once, those that find no room are refused: each gets an answer, and none that
// is refused was sent to a server.
#[rstest]
#[tokio::test]
async fn each_of_many_requests_sent_at_once_is_answered(
    #[values((5, 1_000), (400, 4_000), (5_000, 10), (40, 200_000))] (count, prompt_bytes): (usize, usize),
) {
    run_local(async {
        let fixture = Fixture::start().await;
        fixture.reader.mode.set(Mode::Slow(100));
        let text: String = (0..count).map(|n| chat_of_size(&format!("a{n}"), prompt_bytes)).collect();
        let (mut reading, mut writing) = fixture.connect().await.into_split();
        let writer = tokio::task::spawn_local(async move {
            writing.write_all(text.as_bytes()).await.expect("the daemon reads all of it");
            writing
        });
        let mut answers = String::new();
        let is_answered = |answers: &str| answers.matches("HTTP/1.1 ").count() >= count;
        let mut buffer = vec![0; 64 << 10];
        while !is_answered(&answers) {
            let read = tokio::time::timeout(Duration::from_secs(5), reading.read(&mut buffer)).await;
            let bytes = read.expect("the daemon answers in time").expect("the connection is not reset");
            assert!(bytes > 0, "{} of {count} requests are answered", answers.matches("HTTP/1.1 ").count());
            answers += std::str::from_utf8(&buffer[..bytes]).expect("valid UTF-8");
        }
        drop(writer.await);
        let served = answers.matches("HTTP/1.1 200 ").count();
        let refused = answers.matches("HTTP/1.1 503 ").count() + answers.matches("HTTP/1.1 429 ").count();
        assert_eq!((served + refused, served > 0), (count, true));
        assert!(fixture.writer.count("/v1/") == served, "refused requests were sent");
    })
    .await;
}

// The second of two requests that were sent at once had been read, but its connection closed after the first
// answer because of a planned stop, and it got no answer.
#[tokio::test]
async fn request_behind_the_last_answer_at_a_stop_is_answered() {
    run_local(async {
        let fixture = Fixture::start().await;
        fixture.reader.mode.set(Mode::Slow(900));
        let mut clients = Vec::new();
        for n in 0..4 {
            let mut stream = fixture.connect().await;
            let text = chat_of_size(&format!("a{n}"), 10) + &chat_of_size(&format!("b{n}"), 10);
            stream.write_all(text.as_bytes()).await.expect("written");
            clients.push(stream);
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
        fixture.daemon.stop.notify_one();
        for mut stream in clients {
            let mut answers = String::new();
            stream.read_to_string(&mut answers).await.expect("the connection is not reset");
            assert!(answers.starts_with("HTTP/1.1 200 "), "{answers}");
            assert_eq!(answers.matches("HTTP/1.1 ").count(), 2, "{answers}");
        }
    })
    .await;
}
