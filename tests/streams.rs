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

/// Number of events in each stream, and the time between two of them.
#[derive(Clone, Copy, Debug)]
struct Pace {
    events: usize,
    interval: Duration,
}

const USUAL_PACE: Pace = Pace { events: 8, interval: Duration::from_millis(60) };
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
async fn start_writer(write_mode: WriteMode, pace: Pace) -> (SocketAddr, WriteTimes) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let write_times = WriteTimes::default();
    let streams = write_times.clone();
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            stream.set_nodelay(true).expect("nodelay is set");
            spawn_local(answer_requests(stream, write_mode, pace, streams.clone()));
        }
    });
    (address, write_times)
}

/// Answers each request on a connection with a stream of events and records the write times.
async fn answer_requests(mut stream: TcpStream, write_mode: WriteMode, pace: Pace, streams: WriteTimes) {
    while read_message(&mut stream).await.is_some() {
        let number = streams.borrow().len();
        streams.borrow_mut().push(Vec::new());
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        stream.write_all(head.as_bytes()).await.expect("the gateway reads");
        for n in 0..pace.events {
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
            tokio::time::sleep(pace.interval).await;
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

/// Returns the entry of a writer in the list of discovery.
fn writer_target(reader: &Engine, address: SocketAddr) -> serde_json::Value {
    let mut target = reader.target("SERVING");
    target["uid"] = json!("w1");
    target["model"] = json!("writer");
    target["endpoint"] = json!(address.to_string());
    target
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
        let (address, write_times) = start_writer(write_mode, USUAL_PACE).await;
        let target = writer_target(&reader, address);
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
            assert_eq!((arrivals.len(), write_times.len()), (USUAL_PACE.events, USUAL_PACE.events));
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

/// What happens while streams run.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Disruption {
    None,
    Stop,
    DrainThenStop,
    EngineRemoved,
}

// An engine may pause for up to 5 s between two events. A planned stop ended the answers of engines that had
// paused for a second, and the gateway those of engines that paused for 4 s at any time. Clients that do not
// resume answers lost them.
#[rstest]
#[case::stop(1_850, Disruption::Stop)]
#[case::long_pauses_and_a_stop(4_700, Disruption::Stop)]
#[case::drain(1_850, Disruption::DrainThenStop)]
#[case::engine_removed(1_850, Disruption::EngineRemoved)]
#[case::long_pauses(4_700, Disruption::None)]
#[tokio::test]
async fn streams_of_a_slow_engine_are_passed_on_whole(
    #[case] interval_ms: u64,
    #[case] disruption: Disruption,
) {
    run_local(async {
        let reader = Engine::start("r1", "reader").await;
        let interval = Duration::from_millis(interval_ms);
        let pace = Pace { events: 9_000 / interval_ms as usize + 2, interval };
        let (address, write_times) = start_writer(WriteMode::WholeEvents, pace).await;
        let target = writer_target(&reader, address);
        let discovery = Discovery::with_revision(1, vec![reader.target("SERVING"), target]).await;
        let daemon = Daemon::start(&discovery, None).await;
        let gateway_address = daemon.address;
        let mut reads = Vec::new();
        for n in 0..6 {
            reads.push(spawn_local(read_events(gateway_address, format!("a{n}"))));
            tokio::time::sleep(Duration::from_millis(150)).await;
        }
        wait_until("all streams have begun", async || write_times.borrow().len() == reads.len()).await;
        match disruption {
            Disruption::None => {}
            Disruption::Stop => daemon.stop.notify_one(),
            Disruption::DrainThenStop => {
                let answer = send_request(daemon.management, "POST", "/ops/drain/start", &[], "").await;
                assert_eq!(answer.status, 200);
                tokio::time::sleep(Duration::from_millis(500)).await;
                daemon.stop.notify_one();
            }
            Disruption::EngineRemoved => {
                discovery.replace_list(vec![reader.target("SERVING")]);
            }
        }
        for read in reads {
            let (_, arrivals) = read.await.expect("the stream is read to its end");
            assert_eq!(arrivals.len(), pace.events);
        }
        if matches!(disruption, Disruption::Stop | Disruption::DrainThenStop) {
            let ended = tokio::time::timeout(Duration::from_millis(500), daemon.task).await;
            ended.expect("the daemon ends by itself after the last stream").expect("without an error");
        }
    })
    .await;
}

/// Starts a writer that sends a first event at once, and the bytes of a second one over the given time. It then ends
/// the stream, or stops in the middle of the event.
async fn start_writer_of_a_long_event(bytes: usize, duration: Duration, completes: bool) -> SocketAddr {
    const PIECES: usize = 60;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    spawn_local(async move {
        let (mut stream, _) = listener.accept().await.expect("the gateway connects");
        read_message(&mut stream).await.expect("a request");
        let first = "data: {\"n\":0}\n\n";
        let second = format!("data: {{\"n\":1,\"text\":\"{}\"}}\n\n", "x".repeat(bytes));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{first}\r\n{:x}\r\n",
            first.len(),
            second.len()
        );
        stream.write_all(head.as_bytes()).await.expect("the gateway reads");
        for (n, piece) in second.as_bytes().chunks(second.len().div_ceil(PIECES)).enumerate() {
            if !completes && n > PIECES / 2 {
                return std::future::pending().await;
            }
            // The gateway may have given the answer up.
            let _ = stream.write_all(piece).await;
            tokio::time::sleep(duration / PIECES as u32).await;
        }
        let _ = stream.write_all(b"\r\n0\r\n\r\n").await;
        std::future::pending::<()>().await;
    });
    address
}

// An event that its engine wrote slowly counted as silence, and the answer was cut off while it was being written.
// An engine that stops within an event is still taken for hanging.
#[rstest]
#[case::written_to_its_end(7_000, true)]
#[case::hangs_within_the_event(4_000, false)]
#[tokio::test]
async fn event_that_is_written_slowly_is_passed_on_whole(
    #[values(300, 50_000)] bytes: usize,
    #[case] duration_ms: u64,
    #[case] completes: bool,
) {
    run_local(async {
        let duration = Duration::from_millis(duration_ms);
        let reader = Engine::start("r1", "reader").await;
        let address = start_writer_of_a_long_event(bytes, duration, completes).await;
        let targets = vec![reader.target("SERVING"), writer_target(&reader, address)];
        let discovery = Discovery::with_revision(1, targets).await;
        let daemon = Daemon::start(&discovery, None).await;
        let start = Instant::now();
        let answer = chat(daemon.address, "a1", "lookup", 9000).await;
        assert_eq!((answer.status, answer.complete), (200, completes));
        assert_eq!(answer.body.contains("\"n\":1"), completes);
        if !completes {
            // The client may be left waiting for 5 s after the last event.
            assert!(start.elapsed() < Duration::from_millis(5_100), "{:?}", start.elapsed());
        }
    })
    .await;
}
