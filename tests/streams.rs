//! Events on their way from an engine to a client: each is passed on as it comes.

mod loopback;
use loopback::*;
use rstest::rstest;
use serde_json::json;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

const EVENTS_EACH: usize = 8;
const APART: Duration = Duration::from_millis(60);
/// What an event may take from the engine's last byte to the client (protocol).
const MOST: Duration = Duration::from_millis(300);

/// How a writer puts an event's bytes on the wire.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Writing {
    AtOnce,
    /// In pieces, some of which end within a chunk's head or an event's line.
    InPieces,
}

/// When the last byte of each event was written, by stream.
type Written = Rc<RefCell<Vec<Vec<Instant>>>>;

/// A writer whose events come one by one.
async fn writer(writing: Writing) -> (SocketAddr, Written) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let written = Written::default();
    let streams = written.clone();
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            stream.set_nodelay(true).expect("set");
            spawn_local(answer(stream, writing, streams.clone()));
        }
    });
    (address, written)
}

async fn answer(mut stream: TcpStream, writing: Writing, streams: Written) {
    while message(&mut stream).await.is_some() {
        let number = streams.borrow().len();
        streams.borrow_mut().push(Vec::new());
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        stream.write_all(head.as_bytes()).await.expect("the gateway reads");
        for n in 0..EVENTS_EACH {
            let event = format!("data: {{\"stream\":{number},\"n\":{n}}}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            let pieces: Vec<_> = match writing {
                Writing::AtOnce => vec![chunk.as_bytes()],
                Writing::InPieces => chunk.as_bytes().chunks(7).collect(),
            };
            for piece in pieces {
                stream.write_all(piece).await.expect("the gateway reads");
                if writing == Writing::InPieces {
                    tokio::time::sleep(Duration::from_millis(2)).await;
                }
            }
            streams.borrow_mut()[number].push(Instant::now());
            tokio::time::sleep(APART).await;
        }
        stream.write_all(b"0\r\n\r\n").await.expect("the gateway reads");
    }
}

/// Asks and notes when each event has come; the number of the stream tells whose they are.
async fn read(to: SocketAddr, id: String) -> (usize, Vec<Instant>) {
    let mut stream = TcpStream::connect(to).await.expect("it listens");
    let request = chat_text(&id, "lookup");
    stream.write_all(request.as_bytes()).await.expect("written");
    let (mut text, mut came) = (String::new(), Vec::new());
    while !text.ends_with("\r\n0\r\n\r\n") {
        let mut bytes = [0; 4096];
        let length = stream.read(&mut bytes).await.expect("not reset");
        assert!(length > 0, "it ends early: {text}");
        text += std::str::from_utf8(&bytes[..length]).expect("text");
        let events = text.matches("}\n\n").count();
        came.resize(events.max(came.len()), Instant::now());
    }
    let number = text.split("\"stream\":").nth(1).and_then(|rest| rest.split(',').next());
    (number.and_then(|number| number.parse().ok()).expect("a stream's number"), came)
}

// Held back until there was more, or sent together, events come too late for who reads along.
#[rstest]
#[tokio::test]
async fn events_are_passed_on_one_by_one(
    #[values(Writing::AtOnce, Writing::InPieces)] writing: Writing,
    #[values(1, 60)] streams: usize,
    #[values(false, true)] beside_slow_readers: bool,
) {
    local(async {
        let reader = Engine::start("r1", "reader").await;
        let (address, written) = writer(writing).await;
        let mut target = reader.target("SERVING");
        target["uid"] = json!("w1");
        target["model"] = json!("writer");
        target["endpoint"] = json!(address.to_string());
        let discovery = Discovery::at(1, vec![reader.target("SERVING"), target]).await;
        let daemon = Daemon::start(&discovery, None).await;
        let to = daemon.address;
        let mut idle = Vec::new();
        if beside_slow_readers {
            for n in 0..20 {
                let mut stream = TcpStream::connect(to).await.expect("it listens");
                let request = chat_text(&format!("slow{n}"), "lookup");
                stream.write_all(request.as_bytes()).await.expect("written");
                idle.push(stream);
            }
        }
        let reads: Vec<_> = (0..streams).map(|n| spawn_local(read(to, format!("a{n}")))).collect();
        for read in reads {
            let (number, came) = read.await.expect("read to its end");
            let written = &written.borrow()[number];
            assert_eq!((came.len(), written.len()), (EVENTS_EACH, EVENTS_EACH));
            for (came, written) in came.iter().zip(written) {
                let took = came.saturating_duration_since(*written);
                assert!(took <= MOST, "{took:?}");
            }
            let together = came.windows(2).filter(|pair| pair[0] == pair[1]).count();
            assert!(together <= 1, "{together} came with the one before");
        }
    })
    .await;
}
