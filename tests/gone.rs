//! Clients that go before their answer has begun, on real sockets: nothing is begun for them any more.

mod loopback;
use loopback::*;
use rstest::rstest;
use serde_json::json;
use socket2::SockRef;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

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
