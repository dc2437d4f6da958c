//! A deployment whose servers report nothing and may not be asked, and where a request may have one attempt out at a time.

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

async fn daemon(targets: Vec<Value>) -> Daemon {
    let discovery = Discovery::at(1, targets).await;
    let daemon = Daemon::configured(settings(), json!(null), json!({}), discovery.address, None).await;
    until("ready", async || daemon.is_ready().await).await;
    daemon
}

/// Ids of requests that a hung reader got, and when their connections closed.
type Closed = Rc<RefCell<Vec<(String, Instant)>>>;

/// A reader that takes requests and answers none.
async fn hung() -> (SocketAddr, Closed) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let closed = Closed::default();
    let noted = closed.clone();
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let noted = noted.clone();
            spawn_local(async move {
                let Some(request) = message(&mut stream).await else { return };
                let _ = stream.read_u8().await;
                noted.borrow_mut().push((request.headers["req-id"].clone(), Instant::now()));
            });
        }
    });
    (address, closed)
}

// The next attempt of a request begins only once the connection of the one that was given up is closed: the engine would
// count the two as out at once.
#[rstest]
#[tokio::test]
async fn attempt_begins_after_the_one_before_it_has_closed(#[values("lookup", "correction")] class: &str) {
    local(async {
        let (reader, writer) = (Engine::start("r1", "reader").await, Engine::start("w1", "writer").await);
        let (address, closed) = hung().await;
        let mut silent = reader.target("SERVING");
        silent["uid"] = json!("r0");
        silent["endpoint"] = json!(address.to_string());
        let daemon = daemon(vec![silent, reader.target("SERVING"), writer.target("SERVING")]).await;
        for n in 0..8 {
            let answer = chat(daemon.address, &format!("a{n}"), class, 8000).await;
            assert_eq!(answer.status, 200, "{answer:?}");
        }
        let closed = closed.borrow();
        assert!(!closed.is_empty(), "the hung reader got nothing");
        for (id, at) in closed.iter() {
            let seen = reader.seen.borrow();
            let again =
                seen.iter().find(|seen| seen.headers.get("req-id") == Some(id) && seen.method == "POST");
            let again = again.expect("read elsewhere").at;
            assert!(*at <= again, "{id} was sent on {:?} before its connection closed", *at - again);
        }
    })
    .await;
}

// A probe that the settings do not allow is an error there, and costs where it is not.
#[tokio::test]
async fn nothing_is_probed_and_no_place_is_asked_for() {
    local(async {
        let reader = Engine::start("r1", "reader").await;
        let writers = [Engine::start("w1", "writer").await, Engine::start("w2", "writer").await];
        writers[0].mode.set(Mode::Slow(300));
        let daemon = daemon(vec![
            reader.target("SERVING"),
            writers[0].target("SERVING"),
            writers[1].target("SERVING"),
        ])
        .await;
        let to = daemon.address;
        let asked: Vec<_> = (0..40)
            .map(|n| spawn_local(async move { chat(to, &format!("a{n}"), "lookup", 8000).await.status }))
            .collect();
        for asked in asked {
            assert!(matches!(asked.await, Ok(200 | 429)));
        }
        for engine in writers.iter().chain([&reader]) {
            let seen = engine.seen.borrow();
            let other: Vec<_> = seen.iter().filter(|s| s.path != "/v1/chat/completions").collect();
            assert!(other.iter().all(|seen| seen.method == "DELETE"), "{other:?}");
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    })
    .await;
}
