//! Clients that send at full speed, on real sockets: their requests may not delay the answers of other clients.

mod loopback;
use loopback::*;
use rstest::rstest;
use serde_json::json;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Time for which the flood lasts.
const FLOOD_TIME: Duration = Duration::from_secs(3);
/// Maximum time for an answer whose servers take no time: an event may reach its client 0.3 s late.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(300);
/// Maximum median of these times: the gateway has 0.1 s to react to what a client does.
const MAX_MEDIAN_ANSWER_TIME: Duration = Duration::from_millis(100);
/// Time between two requests of an ordinary client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// Number of requests that a flooding client writes at a time.
const REQUESTS_PER_WRITE: usize = 200;

/// What a flooding client sends.
#[derive(Clone, Copy, Debug)]
enum Flood {
    /// Requests for a path that does not exist.
    UnknownPath,
    /// Chat requests that are no valid JSON.
    InvalidBody,
    /// Chat requests that can be served, each with an id, a conversation and a tenant of its own.
    NewNames,
}

impl Flood {
    fn request(self, client: usize, n: usize) -> String {
        let head = "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nReq-Kind: lookup\r\n";
        match self {
            Self::UnknownPath => "GET /none HTTP/1.1\r\n\r\n".to_owned(),
            Self::InvalidBody => {
                format!("{head}Req-Id: f{client}-{n}\r\nReq-Owner: desk\r\nContent-Length: 2\r\n\r\n{{}}")
            }
            Self::NewNames => format!(
                "{head}Req-Id: f{client}-{n}\r\nReq-Owner: owner{n}\r\nReq-Key: key{client}-{n}\r\n\
                 Content-Length: {}\r\n\r\n{CHAT_BODY}",
                CHAT_BODY.len()
            ),
        }
    }

    /// Sends at full speed, on one connection after the other, and reads what comes back.
    fn run(self, client: usize, address: SocketAddr, stopped: &AtomicBool) {
        let mut n = 0;
        while !stopped.load(Ordering::SeqCst) {
            let Ok(mut stream) = std::net::TcpStream::connect(address) else { continue };
            let timeout = Some(Duration::from_millis(200));
            stream.set_write_timeout(timeout).expect("the option can be set");
            let mut reading = stream.try_clone().expect("a duplicate");
            let reader = std::thread::spawn(move || {
                let mut buffer = vec![0; 64 << 10];
                while matches!(reading.read(&mut buffer), Ok(1..)) {}
            });
            while !stopped.load(Ordering::SeqCst) {
                let text: String = (n..n + REQUESTS_PER_WRITE).map(|n| self.request(client, n)).collect();
                n += REQUESTS_PER_WRITE;
                if stream.write_all(text.as_bytes()).is_err() {
                    break;
                }
            }
            // The gateway may have closed the connection.
            let _ = stream.shutdown(std::net::Shutdown::Both);
            reader.join().expect("the reader ends");
        }
    }
}

// Clients that sent at full speed on a few connections had several of their requests handled, or some megabytes
// read, in each turn of the event loop, and the answers of all others came late or never.
#[rstest]
#[tokio::test]
async fn ordinary_clients_are_answered_in_time_during_a_flood(
    #[values(Flood::UnknownPath, Flood::InvalidBody, Flood::NewNames)] flood: Flood,
    #[values(1, 16)] flooding_clients: usize,
) {
    run_local(async {
        let (reader, writer) = (Engine::start("r1", "reader").await, Engine::start("w1", "writer").await);
        let discovery = Discovery::start(&[&reader, &writer]).await;
        let limits = json!({"memory_mb": 32, "sockets": 256});
        let daemon = Daemon::with_limits(limits, &discovery, None).await;
        let (address, stopped) = (daemon.address, Arc::new(AtomicBool::new(false)));
        let threads: Vec<JoinHandle<()>> = (0..flooding_clients)
            .map(|client| {
                let stopped = stopped.clone();
                std::thread::spawn(move || flood.run(client, address, &stopped))
            })
            .collect();
        let (start, mut answer_times) = (Instant::now(), Vec::new());
        while start.elapsed() < FLOOD_TIME {
            let sent_at = Instant::now();
            let id = format!("usual{}", answer_times.len());
            let answer = chat(address, &id, "lookup", 9000).await;
            assert!(answer.complete && answer.status == 200, "{answer:?}");
            answer_times.push(sent_at.elapsed());
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
        stopped.store(true, Ordering::SeqCst);
        // The daemon has to run on, so that the connections of the flooding clients end.
        wait_until("the flooding clients have ended", async || threads.iter().all(JoinHandle::is_finished))
            .await;
        answer_times.sort();
        let (median, slowest) = (answer_times[answer_times.len() / 2], answer_times[answer_times.len() - 1]);
        println!("{} answers, median {median:?}, slowest {slowest:?}", answer_times.len());
        assert!(median <= MAX_MEDIAN_ANSWER_TIME && slowest <= MAX_ANSWER_TIME, "{median:?}, {slowest:?}");
    })
    .await;
}
