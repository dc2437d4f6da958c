//! A deployment whose servers report no load and may not be probed, and in which a request may have only one
//! attempt in flight at a time.

mod loopback;
use loopback::*;
use rstest::rstest;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

fn settings() -> Value {
    let mut settings = Daemon::settings();
    settings["permissions"] =
        json!({"cancelling": true, "probes": false, "secondCopies": false, "maxAttempts": 6});
    settings["report"] = json!({"how": "none", "fields": []});
    settings["extra"]["letGoByMs"] = json!(500);
    settings["replicasOfMe"] = json!(3);
    settings
}

async fn start_daemon(targets: Vec<Value>) -> Daemon {
    let discovery = Discovery::with_revision(1, targets).await;
    let daemon = Daemon::with_settings(settings(), json!(null), json!({}), discovery.address, None).await;
    wait_until("the daemon is ready", async || daemon.is_ready().await).await;
    daemon
}

/// Ids of the requests that a hung reader received, and the times at which their connections closed.
type ClosedConnections = Rc<RefCell<Vec<(String, Instant)>>>;

/// Starts a reader that accepts requests and never answers.
async fn start_hung_reader() -> (SocketAddr, ClosedConnections) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("the listener has an address");
    let closed = ClosedConnections::default();
    let closed_connections = closed.clone();
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let closed_connections = closed_connections.clone();
            spawn_local(async move {
                let Some(request) = read_message(&mut stream).await else { return };
                let _ = stream.read_u8().await;
                closed_connections.borrow_mut().push((request.headers["req-id"].clone(), Instant::now()));
            });
        }
    });
    (address, closed)
}

// The next attempt of a request may start only after the connection of the abandoned attempt is closed.
// Otherwise the servers would count two attempts in flight at once.
#[rstest]
#[tokio::test]
async fn attempt_starts_after_the_connection_of_the_previous_one_has_closed(
    #[values("lookup", "correction")] class: &str,
) {
    run_local(async {
        let (reader, writer) = (Engine::start("r1", "reader").await, Engine::start("w1", "writer").await);
        let (address, closed) = start_hung_reader().await;
        let mut hung_target = reader.target("SERVING");
        hung_target["uid"] = json!("r0");
        hung_target["endpoint"] = json!(address.to_string());
        let daemon =
            start_daemon(vec![hung_target, reader.target("SERVING"), writer.target("SERVING")]).await;
        for number in 0..8 {
            let answer = chat(daemon.address, &format!("a{number}"), class, 8000).await;
            assert_eq!(answer.status, 200, "{answer:?}");
        }
        let closed = closed.borrow();
        assert!(!closed.is_empty(), "the hung reader received no request");
        for (id, closed_at) in closed.iter() {
            let received = reader.received.borrow();
            let repeated = received
                .iter()
                .find(|request| request.headers.get("req-id") == Some(id) && request.method == "POST");
            let repeated_at = repeated.expect("the request was read at the other reader").received_at;
            assert!(
                *closed_at <= repeated_at,
                "{id} was sent again {:?} before its connection closed",
                *closed_at - repeated_at
            );
        }
    })
    .await;
}

// A probe that the settings do not allow is an error in this deployment, and has a cost in others.
#[tokio::test]
async fn servers_receive_only_requests_and_releases() {
    run_local(async {
        let reader = Engine::start("r1", "reader").await;
        let writers = [Engine::start("w1", "writer").await, Engine::start("w2", "writer").await];
        writers[0].mode.set(Mode::Slow(300));
        let daemon = start_daemon(vec![
            reader.target("SERVING"),
            writers[0].target("SERVING"),
            writers[1].target("SERVING"),
        ])
        .await;
        let address = daemon.address;
        let chats: Vec<_> = (0..40)
            .map(|n| spawn_local(async move { chat(address, &format!("a{n}"), "lookup", 8000).await.status }))
            .collect();
        for chat_status in chats {
            assert!(matches!(chat_status.await, Ok(200 | 429)));
        }
        for engine in writers.iter().chain([&reader]) {
            let received = engine.received.borrow();
            let other_calls: Vec<_> =
                received.iter().filter(|request| request.path != "/v1/chat/completions").collect();
            assert!(other_calls.iter().all(|request| request.method == "DELETE"), "{other_calls:?}");
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    })
    .await;
}
