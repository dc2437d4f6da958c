//! Clients that disconnect before their answer has begun, on real sockets. No further attempt may begin for
//! them.

mod loopback;
use loopback::*;
use rstest::rstest;
use serde_json::json;
use socket2::SockRef;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// How a client ends its connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Disconnect {
    Close,
    /// Ends only the sending direction.
    HalfClose,
    Reset,
    /// Sends one more request while the first is being answered, then closes.
    PipelineAndClose,
    /// Sends more further requests than the gateway reads ahead, then closes.
    FloodAndClose,
}

/// Sends a request and ends the connection a while later. Returns the connection if the client ended only the
/// sending direction.
async fn send_and_leave(
    daemon: &Daemon,
    path: &str,
    headers: &str,
    body: &str,
    disconnect: Disconnect,
) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(daemon.address).await.expect("the daemon accepts connections");
    let request = |id: &str| {
        let length = body.len();
        format!(
            "POST {path} HTTP/1.1\r\nHost: h\r\nReq-Id: {id}\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
        )
    };
    stream.write_all(request("a1").as_bytes()).await.expect("written");
    tokio::time::sleep(Duration::from_millis(150)).await;
    let extra_requests = match disconnect {
        Disconnect::PipelineAndClose => 1,
        Disconnect::FloodAndClose => 1_500,
        _ => 0,
    };
    for n in 0..extra_requests {
        // The gateway may close the connection before all requests are sent.
        let _ = stream.write_all(request(&format!("b{n}")).as_bytes()).await;
    }
    match disconnect {
        Disconnect::Reset => SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("linger is set"),
        _ => stream.shutdown().await.expect("the sending direction is closed"),
    }
    (disconnect == Disconnect::HalfClose).then_some(stream)
}

const CHAT_HEADERS: &str = "Req-Kind: lookup\r\nReq-Owner: desk\r\nReq-Deadline: 9000m\r\n";

// The parser reads nothing beyond a pipelined request, so the gateway did not notice the close behind it. The
// prompt was read and passed to a writer although the client had disconnected.
#[rstest]
#[tokio::test]
async fn no_further_attempt_for_a_client_that_left_during_the_first(
    #[values(
        Disconnect::Close,
        Disconnect::HalfClose,
        Disconnect::Reset,
        Disconnect::PipelineAndClose,
        Disconnect::FloodAndClose
    )]
    disconnect: Disconnect,
) {
    run_local(async {
        let (reader, writer) = (Engine::start("r1", "reader").await, Engine::start("w1", "writer").await);
        reader.mode.set(Mode::Slow(600));
        let discovery = Discovery::start(&[&reader, &writer]).await;
        let daemon = Daemon::with_limits(json!({"memory_mb": 32, "sockets": 128}), &discovery, None).await;
        let _half_closed =
            send_and_leave(&daemon, "/v1/chat/completions", CHAT_HEADERS, CHAT_BODY, disconnect).await;
        tokio::time::sleep(Duration::from_millis(900)).await;
        assert_eq!((reader.count("/v1/"), writer.count("/v1/")), (1, 0));
    })
    .await;
}

#[rstest]
#[case::chat("/v1/chat/completions", CHAT_HEADERS, CHAT_BODY, "reader")]
#[case::embeddings("/v1/embeddings", "", r#"{"model":"embedder","input":["a"]}"#, "embedder")]
#[tokio::test]
async fn no_first_attempt_for_a_client_that_left_while_its_request_waited(
    #[case] path: &str,
    #[case] headers: &str,
    #[case] body: &str,
    #[case] kind: &'static str,
    #[values(Disconnect::Close, Disconnect::HalfClose, Disconnect::Reset, Disconnect::PipelineAndClose)]
    disconnect: Disconnect,
) {
    run_local(async {
        let (reader, writer) = (Engine::start("r1", "reader").await, Engine::start("w1", "writer").await);
        let late_engine = Engine::start("late", kind).await;
        // At first chat has a writer but no reader, and the embedding model has no engine at all.
        let initial_engines: &[&Engine] = if kind == "reader" { &[&writer] } else { &[&reader, &writer] };
        let chat = Discovery::start(initial_engines).await;
        let models = Discovery::start(&[]).await;
        let pool = json!({"model": "embedder", "api": "embeddings", "effect": "safe", "aimMs": 4000,
            "deadlineMs": 20000, "maxInputs": 8, "discovery": models.address.to_string()});
        let file = json!({"pools": [pool]});
        let daemon = Daemon::without_list(json!({}), chat.address, Some(file)).await;
        let _half_closed = send_and_leave(&daemon, path, headers, body, disconnect).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        let (updated_discovery, watched_discovery) =
            if kind == "reader" { (&chat, &chat) } else { (&models, &models) };
        updated_discovery.add(&late_engine);
        wait_until("the daemon has received the new list", async || watched_discovery.has_announced(2)).await;
        tokio::time::sleep(Duration::from_millis(400)).await;
        assert_eq!(late_engine.count("/v1/"), 0);
        // A client that stays connected gets an answer from the new engine.
        let headers = [("Req-Id", "c1"), ("Req-Kind", "lookup"), ("Req-Owner", "desk")];
        assert_eq!(send_request(daemon.address, "POST", path, &headers, body).await.status, 200);
        assert_eq!(late_engine.count("/v1/"), 1);
    })
    .await;
}

// A request that came again under its id ran a second time, once its first run had been given up or had ended. The
// page has a new id with each request, so that only a repeat of what was sent before has an earlier one.
#[rstest]
#[case::left_during_its_run("correction", true, 409, 1)]
#[case::answered("correction", false, 409, 1)]
#[case::left_during_a_run_that_may_be_repeated("lookup", true, 200, 2)]
#[tokio::test]
async fn id_that_comes_again_does_not_run_twice(
    #[case] class: &str,
    #[case] leaves: bool,
    #[case] expected_status: u16,
    #[case] expected_runs: usize,
) {
    run_local(async {
        let (reader, writer) = (Engine::start("r1", "reader").await, Engine::start("w1", "writer").await);
        let discovery = Discovery::start(&[&reader, &writer]).await;
        let daemon = Daemon::start(&discovery, None).await;
        if leaves {
            writer.mode.set(Mode::Slow(400));
            let mut stream = TcpStream::connect(daemon.address).await.expect("the daemon listens");
            stream.write_all(chat_text("a1", class).as_bytes()).await.expect("the request is written");
            wait_until("the writer has the request", async || writer.count("/v1/") == 1).await;
            drop(stream);
            tokio::time::sleep(Duration::from_millis(200)).await;
        } else {
            assert_eq!(chat(daemon.address, "a1", class, 9000).await.status, 200);
        }
        assert_eq!(chat(daemon.address, "a1", class, 9000).await.status, expected_status);
        assert_eq!(writer.count("/v1/"), expected_runs);
        assert_eq!(chat(daemon.address, "a2", class, 9000).await.status, 200);
    })
    .await;
}

// An id of a request that provably never ran may come again: its client was told that a retry is harmless.
#[tokio::test]
async fn id_that_never_ran_may_come_again() {
    run_local(async {
        let (reader, writer) = (Engine::start("r1", "reader").await, Engine::start("w1", "writer").await);
        writer.mode.set(Mode::Declines);
        let discovery = Discovery::start(&[&reader, &writer]).await;
        let daemon = Daemon::start(&discovery, None).await;
        let refused = chat(daemon.address, "a1", "correction", 900).await;
        assert!(matches!(refused.status, 429 | 503), "{refused:?}");
        writer.mode.set(Mode::Healthy);
        let is_served = async || chat(daemon.address, "a1", "correction", 9000).await.status == 200;
        wait_until("the request is served under its id", is_served).await;
    })
    .await;
}

/// An engine that accepts a connection but reads nothing until `resume` is notified. Returns the number of
/// bytes that it then received, and whether they contain a complete request.
async fn hanging_engine(listener: TcpListener, resume: Rc<Notify>) -> (usize, bool) {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    resume.notified().await;
    let mut bytes = Vec::new();
    // A reset ends the received data, too.
    let _ = tokio::time::timeout(Duration::from_secs(2), stream.read_to_end(&mut bytes)).await;
    let received_text = String::from_utf8_lossy(&bytes).to_ascii_lowercase();
    let Some((head, body)) = received_text.split_once("\r\n\r\n") else { return (bytes.len(), false) };
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let length: usize = length.and_then(|length| length.parse().ok()).expect("a length");
    (bytes.len(), body.len() >= length)
}

// The operating system had buffered a complete attempt but could not deliver it, since the engine hung. The
// client left and the attempt was cancelled, but the operating system still delivered it: when the engine
// read again, it ran the attempt although the client had left.
#[tokio::test]
async fn cancelled_attempt_is_not_delivered_later() {
    run_local(async {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        socket.set_recv_buffer_size(4 << 10).expect("a small receive buffer is set");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
        socket.listen(8).expect("the socket listens");
        socket.set_nonblocking(true).expect("a socket");
        let listener = TcpListener::from_std(socket.into()).expect("a listener");
        let writer = Engine::start("w1", "writer").await;
        let mut reader = writer.target("SERVING");
        reader["uid"] = json!("r1");
        reader["model"] = json!("reader");
        reader["endpoint"] = json!(listener.local_addr().expect("an address").to_string());
        let discovery = Discovery::with_revision(1, vec![reader, writer.target("SERVING")]).await;
        let daemon = Daemon::start(&discovery, None).await;
        let resume = Rc::new(Notify::new());
        let engine = spawn_local(hanging_engine(listener, resume.clone()));
        let headers = "Req-Kind: lookup\r\nReq-Owner: desk\r\nReq-Deadline: 9000m\r\n";
        let body = CHAT_BODY.replace("hi", &"x".repeat(40 << 10));
        send_and_leave(&daemon, "/v1/chat/completions", headers, &body, Disconnect::Close).await;
        wait_until("the complete attempt is written", async || {
            let stats = send_request(daemon.management, "GET", "/ops/stats", &[], "").await.body;
            stats.contains("edge_balancer_upstream_tries 1")
        })
        .await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        resume.notify_one();
        let (received, complete) = engine.await.expect("the engine does not panic");
        assert!(!complete, "the complete attempt, {received} bytes, was delivered after its client had left");
    })
    .await;
}
