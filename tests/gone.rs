//! Clients that go before their answer has begun, on real sockets: nothing is begun for them any more.

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

/// How a client goes.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Going {
    Closes,
    EndsSending,
    Resets,
    /// Sends one more request behind the one that is being answered, then closes.
    PipelinesAndCloses,
    /// Sends more of them than are read ahead.
    FloodsAndCloses,
}

/// Sends a request and goes a while later; gives the connection of a client that only ended its sending.
async fn ask_and_go(
    daemon: &Daemon,
    path: &str,
    headers: &str,
    body: &str,
    going: Going,
) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(daemon.address).await.expect("the daemon listens");
    let request = |id: &str| {
        let length = body.len();
        format!(
            "POST {path} HTTP/1.1\r\nHost: h\r\nReq-Id: {id}\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
        )
    };
    stream.write_all(request("a1").as_bytes()).await.expect("written");
    tokio::time::sleep(Duration::from_millis(150)).await;
    let more = match going {
        Going::PipelinesAndCloses => 1,
        Going::FloodsAndCloses => 1_500,
        _ => 0,
    };
    for n in 0..more {
        // A flood may be cut short.
        let _ = stream.write_all(request(&format!("b{n}")).as_bytes()).await;
    }
    match going {
        Going::Resets => SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("set"),
        _ => stream.shutdown().await.expect("the sending ends"),
    }
    (going == Going::EndsSending).then_some(stream)
}

const CHAT_HEADERS: &str = "Req-Kind: lookup\r\nReq-Owner: desk\r\nReq-Deadline: 9000m\r\n";

// The parser reads nothing more behind a pipelined request: the close was not seen, the prompt was read and
// handed to a writer for nobody.
#[rstest]
#[tokio::test]
async fn no_further_attempt_for_a_client_that_went_during_the_first(
    #[values(
        Going::Closes,
        Going::EndsSending,
        Going::Resets,
        Going::PipelinesAndCloses,
        Going::FloodsAndCloses
    )]
    going: Going,
) {
    local(async {
        let (reader, writer) = (Engine::start("r1", "reader").await, Engine::start("w1", "writer").await);
        reader.mode.set(Mode::Slow(600));
        let discovery = Discovery::start(&[&reader, &writer]).await;
        let daemon = Daemon::within(json!({"memory_mb": 32, "sockets": 128}), &discovery, None).await;
        let _half_closed = ask_and_go(&daemon, "/v1/chat/completions", CHAT_HEADERS, CHAT, going).await;
        tokio::time::sleep(Duration::from_millis(900)).await;
        assert_eq!((reader.count("/v1/"), writer.count("/v1/")), (1, 0));
    })
    .await;
}

#[rstest]
#[case::chat("/v1/chat/completions", CHAT_HEADERS, CHAT, "reader")]
#[case::embeddings("/v1/embeddings", "", r#"{"model":"embedder","input":["a"]}"#, "embedder")]
#[tokio::test]
async fn no_first_attempt_for_a_client_that_went_while_its_request_waited(
    #[case] path: &str,
    #[case] headers: &str,
    #[case] body: &str,
    #[case] kind: &'static str,
    #[values(Going::Closes, Going::EndsSending, Going::Resets, Going::PipelinesAndCloses)] going: Going,
) {
    local(async {
        let (reader, writer) = (Engine::start("r1", "reader").await, Engine::start("w1", "writer").await);
        let late = Engine::start("late", kind).await;
        // Chat has a writer but no reader to begin with, the model no engine at all.
        let listed: &[&Engine] = if kind == "reader" { &[&writer] } else { &[&reader, &writer] };
        let chat = Discovery::start(listed).await;
        let models = Discovery::start(&[]).await;
        let pool = json!({"model": "embedder", "api": "embeddings", "effect": "safe", "aimMs": 4000,
            "deadlineMs": 20000, "maxInputs": 8, "discovery": models.address.to_string()});
        let file = json!({"pools": [pool]});
        let daemon = Daemon::before_its_list(json!({}), chat.address, Some(file)).await;
        let _half_closed = ask_and_go(&daemon, path, headers, body, going).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        let (news, known) = if kind == "reader" { (&chat, &chat) } else { (&models, &models) };
        news.add(&late);
        until("the new list told", async || known.has_told(2)).await;
        tokio::time::sleep(Duration::from_millis(400)).await;
        assert_eq!(late.count("/v1/"), 0);
        // One that stays gets its answer there.
        let headers = [("Req-Id", "c1"), ("Req-Kind", "lookup"), ("Req-Owner", "desk")];
        assert_eq!(ask(daemon.address, "POST", path, &headers, body).await.status, 200);
        assert_eq!(late.count("/v1/"), 1);
    })
    .await;
}

/// An engine that takes connections but reads nothing until it is told to, with room for little. Gives how many bytes came
/// then, and whether that was all of a request.
async fn hung_engine(listener: TcpListener, resume: Rc<Notify>) -> (usize, bool) {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    resume.notified().await;
    let mut bytes = Vec::new();
    // A reset is the end of what comes, too.
    let _ = tokio::time::timeout(Duration::from_secs(2), stream.read_to_end(&mut bytes)).await;
    let text = String::from_utf8_lossy(&bytes).to_ascii_lowercase();
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return (bytes.len(), false) };
    let told = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let length: usize = told.and_then(|length| length.parse().ok()).expect("a length");
    (bytes.len(), body.len() >= length)
}

// The system had taken all of an attempt but could not deliver it: its engine hung. Its client went and the attempt was
// given up, yet the system went on to deliver it, and the engine began it for nobody when it read again.
#[tokio::test]
async fn attempt_that_was_given_up_is_not_delivered_later() {
    local(async {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        socket.set_recv_buffer_size(4 << 10).expect("little room");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
        socket.listen(8).expect("it listens");
        socket.set_nonblocking(true).expect("a socket");
        let listener = TcpListener::from_std(socket.into()).expect("a listener");
        let writer = Engine::start("w1", "writer").await;
        let mut reader = writer.target("SERVING");
        reader["uid"] = json!("r1");
        reader["model"] = json!("reader");
        reader["endpoint"] = json!(listener.local_addr().expect("an address").to_string());
        let discovery = Discovery::at(1, vec![reader, writer.target("SERVING")]).await;
        let daemon = Daemon::start(&discovery, None).await;
        let resume = Rc::new(Notify::new());
        let engine = spawn_local(hung_engine(listener, resume.clone()));
        let headers = "Req-Kind: lookup\r\nReq-Owner: desk\r\nReq-Deadline: 9000m\r\n";
        let body = CHAT.replace("hi", &"x".repeat(40 << 10));
        ask_and_go(&daemon, "/v1/chat/completions", headers, &body, Going::Closes).await;
        until("written whole", async || {
            let stats = ask(daemon.management, "GET", "/ops/stats", &[], "").await.body;
            stats.contains("edge_balancer_upstream_tries 1")
        })
        .await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        resume.notify_one();
        let (came, whole) = engine.await.expect("it reads");
        assert!(!whole, "all of it came, {came} bytes, after its client had gone");
    })
    .await;
}
