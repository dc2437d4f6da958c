//! Streamed events on their way from an engine to a client: each event is passed on as soon as it arrives.

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

const EVENTS_PER_STREAM: usize = 8;
const EVENT_INTERVAL: Duration = Duration::from_millis(60);
/// Maximum time from the write of an event's last byte by the engine to its arrival at the client, fixed by
/// the protocol.
const MAX_EVENT_DELAY: Duration = Duration::from_millis(300);

/// How a writer sends the bytes of an event.
#[derive(Clone, Copy, Debug, PartialEq)]
enum WriteMode {
    /// Each event in one write.
    WholeEvents,
    /// In fragments, some of which end within a chunk header or a line of an event.
    Fragments,
}

/// Time at which the last byte of each event was written, by stream.
type WriteTimes = Rc<RefCell<Vec<Vec<Instant>>>>;

/// Starts a writer that sends the events of a stream one by one.
async fn start_writer(write_mode: WriteMode) -> (SocketAddr, WriteTimes) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let write_times = WriteTimes::default();
    let streams = write_times.clone();
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            stream.set_nodelay(true).expect("nodelay is set");
            spawn_local(answer_requests(stream, write_mode, streams.clone()));
        }
    });
    (address, write_times)
}

/// Answers each request on a connection with a stream of events and records the write times.
async fn answer_requests(mut stream: TcpStream, write_mode: WriteMode, streams: WriteTimes) {
    while read_message(&mut stream).await.is_some() {
        let number = streams.borrow().len();
        streams.borrow_mut().push(Vec::new());
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        stream.write_all(head.as_bytes()).await.expect("the gateway reads");
        for n in 0..EVENTS_PER_STREAM {
            let event = format!("data: {{\"stream\":{number},\"n\":{n}}}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            let fragments: Vec<_> = match write_mode {
                WriteMode::WholeEvents => vec![chunk.as_bytes()],
                WriteMode::Fragments => chunk.as_bytes().chunks(7).collect(),
            };
            for fragment in fragments {
                stream.write_all(fragment).await.expect("the gateway reads");
                if write_mode == WriteMode::Fragments {
                    tokio::time::sleep(Duration::from_millis(2)).await;
                }
            }
            streams.borrow_mut()[number].push(Instant::now());
            tokio::time::sleep(EVENT_INTERVAL).await;
        }
        stream.write_all(b"0\r\n\r\n").await.expect("the gateway reads");
    }
}

/// Sends a request and records when each event arrives. Returns the number of the stream and the arrival
/// times.
async fn read_events(address: SocketAddr, id: String) -> (usize, Vec<Instant>) {
    let mut stream = TcpStream::connect(address).await.expect("the gateway accepts connections");
    let request = chat_text(&id, "lookup");
    stream.write_all(request.as_bytes()).await.expect("written");
    let (mut text, mut arrivals) = (String::new(), Vec::new());
    while !text.ends_with("\r\n0\r\n\r\n") {
        let mut bytes = [0; 4096];
        let length = stream.read(&mut bytes).await.expect("the connection is not reset");
        assert!(length > 0, "the answer ends early: {text}");
        text += std::str::from_utf8(&bytes[..length]).expect("UTF-8 text");
        let events = text.matches("}\n\n").count();
        arrivals.resize(events.max(arrivals.len()), Instant::now());
    }
    let number = text.split("\"stream\":").nth(1).and_then(|rest| rest.split(',').next());
    (number.and_then(|number| number.parse().ok()).expect("the number of the stream"), arrivals)
}

// Events that are held back until more data arrives, or sent together, reach a client too late that reads
// them as they arrive.
#[rstest]
#[tokio::test]
async fn events_are_passed_on_one_by_one(
    #[values(WriteMode::WholeEvents, WriteMode::Fragments)] write_mode: WriteMode,
    #[values(1, 60)] streams: usize,
    #[values(false, true)] beside_unread_streams: bool,
) {
    run_local(async {
        let reader = Engine::start("r1", "reader").await;
        let (address, write_times) = start_writer(write_mode).await;
        let mut target = reader.target("SERVING");
        target["uid"] = json!("w1");
        target["model"] = json!("writer");
        target["endpoint"] = json!(address.to_string());
        let discovery = Discovery::with_revision(1, vec![reader.target("SERVING"), target]).await;
        let daemon = Daemon::start(&discovery, None).await;
        let gateway_address = daemon.address;
        let mut unread_streams = Vec::new();
        if beside_unread_streams {
            for n in 0..20 {
                let mut stream =
                    TcpStream::connect(gateway_address).await.expect("the gateway accepts connections");
                let request = chat_text(&format!("slow{n}"), "lookup");
                stream.write_all(request.as_bytes()).await.expect("written");
                unread_streams.push(stream);
            }
        }
        let reads: Vec<_> =
            (0..streams).map(|n| spawn_local(read_events(gateway_address, format!("a{n}")))).collect();
        for read in reads {
            let (number, arrivals) = read.await.expect("the stream is read to its end");
            let write_times = &write_times.borrow()[number];
            assert_eq!((arrivals.len(), write_times.len()), (EVENTS_PER_STREAM, EVENTS_PER_STREAM));
            for (arrival, written) in arrivals.iter().zip(write_times) {
                let delay = arrival.saturating_duration_since(*written);
                assert!(delay <= MAX_EVENT_DELAY, "{delay:?}");
            }
            let simultaneous = arrivals.windows(2).filter(|pair| pair[0] == pair[1]).count();
            assert!(simultaneous <= 1, "{simultaneous} events arrived together with the previous one");
        }
    })
    .await;
}
