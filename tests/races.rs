//! Moments in which two things cross, each forced on real sockets; `docs/RACES.md` lists them all.

mod loopback;
use hyper::body::Incoming;
use hyper::{Request, Response};
use loopback::*;
use meadowlug::net::{Front, FrontBody, Phase, ServeLimits};
use rstest::rstest;
use serde_json::json;
use std::io::{Read, Write};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;

fn request(id: &str, class: &str, body: &str) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nReq-Id: {id}\r\nReq-Kind: {class}\r\nReq-Owner: desk\r\n\
         Req-Deadline: 9000m\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

// The time that is left was told as it stood when an attempt was decided on. What was held went first, and a dial took its
// time: the engine went on for a client that had left.
#[tokio::test]
async fn attempt_tells_the_time_that_is_left_when_it_is_written() {
    local(async {
        let readers = [Engine::start("r1", "reader").await, Engine::start("r2", "reader").await];
        let writer = Engine::start("w1", "writer").await;
        let discovery = Discovery::start(&[&readers[0], &readers[1], &writer]).await;
        let daemon = Daemon::start(&discovery, None).await;
        for engine in readers.iter().chain([&writer]) {
            engine.mute_to_releases.set(true);
        }
        readers.iter().for_each(|reader| reader.mode.set(Mode::CutOnce));
        let asked = Instant::now();
        assert_eq!(chat(daemon.address, "a1", "lookup", 3000).await.status, 200);
        let mut further = 0;
        for seen in readers.iter().chain([&writer]).flat_map(|engine| engine.seen.borrow().clone()) {
            let Some(told) = seen.headers.get("req-deadline") else { continue };
            let told: f64 = told.trim_end_matches('m').parse().expect("milliseconds");
            let left = 3000.0 - seen.at.duration_since(asked).as_secs_f64() * 1e3;
            assert!(told <= left + 50.0, "{told} ms told with {left} ms left");
            further += usize::from(left < 2800.0);
        }
        assert!(further > 0, "no attempt came after a release that nobody answered");
    })
    .await;
}

// A call for embeddings that ran as the gateway was told to end was held until the process was killed.
#[tokio::test]
async fn call_of_the_second_front_is_answered_before_a_stopping_gateway_is_killed() {
    local(async {
        let (reader, writer) = (Engine::start("r1", "reader").await, Engine::start("w1", "writer").await);
        let embedder = Engine::start("e1", "embedder").await;
        embedder.mode.set(Mode::Silent);
        let chat = Discovery::start(&[&reader, &writer]).await;
        let models = Discovery::start(&[&embedder]).await;
        let pool = json!({"model": "embedder", "api": "embeddings", "effect": "unsafe", "aimMs": 4000,
            "deadlineMs": 20000, "maxInputs": 8, "discovery": models.address.to_string()});
        let daemon = Daemon::start(&chat, Some(json!({"pools": [pool]}))).await;
        let address = daemon.address;
        let body = r#"{"model":"embedder","input":["a"]}"#;
        let asked = spawn_local(async move { ask(address, "POST", "/v1/embeddings", &[], body).await });
        until("sent on", async || embedder.count("/v1/") == 1).await;
        let told = Instant::now();
        daemon.stop.notify_one();
        assert_eq!(asked.await.expect("an answer").status, 504);
        // It is killed 3.7 s after it was told.
        assert!(told.elapsed() < Duration::from_millis(3650), "{:?}", told.elapsed());
        tokio::time::timeout(Duration::from_secs(5), daemon.ended).await.expect("ends").expect("well");
    })
    .await;
}

/// Answers every request.
struct Answers;

impl Front for Answers {
    async fn handle(&self, _: Request<Incoming>) -> Response<FrontBody> {
        Response::new(FrontBody::Whole(Some("served".into())))
    }

    fn too_many(&self, _: &Request<Incoming>) -> Response<FrontBody> {
        panic!("there is room")
    }

    fn contradicting(&self) -> Response<FrontBody> {
        panic!("there is one length")
    }
}

// Connections that the system had accepted by itself were reset with the listener, and with them requests that had come
// whole. Where another process serves the same socket they are left to that.
#[rstest]
#[case::at_a_stop(Phase::Closing, "served")]
#[case::where_another_takes_over(Phase::Superseded, "")]
#[tokio::test]
async fn requests_that_wait_to_be_accepted_as_the_gateway_closes(#[case] phase: Phase, #[case] body: &str) {
    local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let kept = listener.into_std().expect("a socket");
        let listener = TcpListener::from_std(kept.try_clone().expect("a duplicate")).expect("a socket");
        let waiting: Vec<_> = (0..24)
            .map(|n| {
                let mut stream = std::net::TcpStream::connect(address).expect("it listens");
                stream.write_all(request(&format!("a{n}"), "lookup", CHAT).as_bytes()).expect("written");
                stream
            })
            .collect();
        let second = Duration::from_secs(1);
        let limits = ServeLimits {
            connections: 64,
            spare: 0,
            buffer: 8 << 10,
            ahead: 8 << 10,
            stall: second,
            head: second,
            idle: second,
            idle_least: second,
        };
        let (_phase, phases) = watch::channel(phase);
        meadowlug::net::serve(listener, Rc::new(Answers), limits, phases).await;
        // The other process serves nobody here: what was left to it is reset with the socket.
        drop(kept);
        for mut stream in waiting {
            let mut answer = String::new();
            let read = stream.read_to_string(&mut answer);
            assert!(answer.ends_with(body) && read.is_err() == body.is_empty(), "{read:?} {answer}");
        }
    })
    .await;
}
