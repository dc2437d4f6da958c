//! Clients that send requests. Some of them leave early, write slowly or stop in the middle of a request.

use crate::gateways::Gateway;
use crate::judge::{Effect, Judge, Outcome};
use crate::loopback::CHAT_BODY;
use fastrand::Rng;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time after its deadline for which a client waits before it reports that there was no answer.
const NO_ANSWER_MARGIN: Duration = Duration::from_millis(1_200);

/// Returns true if the gateway at this address is ready for clients.
pub async fn is_ready(address: SocketAddr) -> bool {
    let readiness_request = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(b"GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n").await.ok()?;
        let mut head = [0; 12];
        stream.read_exact(&mut head).await.ok()?;
        Some(head.ends_with(b"200"))
    };
    tokio::time::timeout(Duration::from_secs(1), readiness_request).await.ok().flatten().unwrap_or(false)
}

/// Request classes of the gateways' settings, with the effect of repeating a request.
pub const CLASSES: [(&str, Effect); 3] = [
    ("lookup", Effect::Safe),
    ("correction", Effect::Unsafe),
    ("filing", Effect::Keyed(Duration::from_millis(1_500))),
];

/// Behaviour of a client during one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClientBehaviour {
    Normal,
    /// Closes the connection before the answer is complete.
    LeavesEarly,
    /// Pauses in the middle of sending the request.
    WritesSlowly,
    /// Never sends the rest of the request.
    StopsMidway,
}

/// State that all clients share.
pub struct Traffic {
    pub gateways: Vec<Rc<Gateway>>,
    pub judge: Rc<RefCell<Judge>>,
    pub finished: Cell<bool>,
    pub next_id: Cell<u64>,
}

/// Result of one exchange.
struct Exchange {
    outcome: Outcome,
    /// True if the connection can be used for another request.
    reusable: bool,
}

impl Traffic {
    fn new_request_id(&self) -> String {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        format!("q{id:08x}")
    }

    /// Runs one client of one gateway until the traffic is over.
    pub async fn run_client(self: Rc<Self>, gateway: usize, seed: u64) {
        let mut rng = Rng::with_seed(seed);
        let mut idle_connection: Option<TcpStream> = None;
        while !self.finished.get() {
            tokio::time::sleep(Duration::from_millis(rng.u64(10..250))).await;
            let target = &self.gateways[gateway];
            if idle_connection.is_none() && !target.accepts_clients.get() {
                continue;
            }
            idle_connection = self.request(target, idle_connection.take(), &mut rng).await;
        }
    }

    /// Sends one request on the idle connection or a new one. Returns the connection if it can be used again.
    async fn request(
        &self,
        gateway: &Gateway,
        mut idle_connection: Option<TcpStream>,
        rng: &mut Rng,
    ) -> Option<TcpStream> {
        let (id, (class, effect)) = (self.new_request_id(), CLASSES[rng.usize(0..CLASSES.len())]);
        let deadline = Duration::from_millis(rng.u64(1_500..3_500));
        let behaviour = match rng.u8(0..20) {
            0 => ClientBehaviour::LeavesEarly,
            1 => ClientBehaviour::WritesSlowly,
            2 => ClientBehaviour::StopsMidway,
            _ => ClientBehaviour::Normal,
        };
        // The gateway may close an idle connection while the client sends a request on it. The client then
        // sends the request once more on a new connection.
        for _ in 0..2 {
            let was_idle = idle_connection.is_some();
            let mut stream = match idle_connection.take() {
                Some(stream) => stream,
                None => TcpStream::connect(gateway.address).await.ok()?,
            };
            self.judge.borrow_mut().request_sent(&id, gateway.number, effect, deadline);
            let exchange = self.exchange(&mut stream, &id, class, deadline, behaviour, rng).await?;
            let closed_on_idle_connection = exchange.outcome == Outcome::Closed && was_idle;
            if !closed_on_idle_connection || self.judge.borrow().attempt_count(&id) > 0 {
                self.judge.borrow_mut().request_answered(&id, exchange.outcome);
                return exchange.reusable.then_some(stream);
            }
        }
        None
    }

    /// Sends a request and reads the response. Returns `None` if the gateway owes no answer.
    async fn exchange(
        &self,
        stream: &mut TcpStream,
        id: &str,
        class: &str,
        deadline: Duration,
        behaviour: ClientBehaviour,
        rng: &mut Rng,
    ) -> Option<Exchange> {
        let closed_exchange = Exchange { outcome: Outcome::Closed, reusable: false };
        let (deadline_ms, body_length) = (deadline.as_millis(), CHAT_BODY.len());
        let request_text = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nReq-Id: {id}\r\nReq-Kind: {class}\r\nReq-Owner: desk\r\n\
             Req-Deadline: {deadline_ms}m\r\nReq-Extra: prompt_len=100,max_out=60\r\nContent-Length: {body_length}\r\n\r\n{CHAT_BODY}"
        );
        let split_index = rng.usize(1..request_text.len());
        let (first_part, second_part) = if behaviour == ClientBehaviour::Normal {
            (request_text.as_str(), "")
        } else {
            request_text.split_at(split_index)
        };
        if stream.write_all(first_part.as_bytes()).await.is_err() {
            return Some(closed_exchange);
        }
        match behaviour {
            ClientBehaviour::StopsMidway => {
                let _ = tokio::time::timeout(Duration::from_secs(4), stream.read(&mut [0; 64])).await;
                return None;
            }
            ClientBehaviour::WritesSlowly => {
                tokio::time::sleep(Duration::from_millis(rng.u64(100..1_800))).await
            }
            ClientBehaviour::Normal | ClientBehaviour::LeavesEarly => {}
        }
        if stream.write_all(second_part.as_bytes()).await.is_err() {
            return Some(closed_exchange);
        }
        self.judge.borrow_mut().request_fully_sent(id);
        if behaviour == ClientBehaviour::LeavesEarly {
            let leave_after = Duration::from_millis(rng.u64(1..900));
            let left_early = tokio::time::timeout(leave_after, read_answer(stream)).await.is_err();
            if left_early {
                self.judge.borrow_mut().client_left(id);
            }
            // The caller drops the connection without yielding to another task.
            return None;
        }
        let head_result = tokio::time::timeout(deadline + NO_ANSWER_MARGIN, read_head(stream)).await;
        let Ok(head) = head_result else {
            return Some(Exchange { outcome: Outcome::NoAnswer, reusable: false });
        };
        let Some(head) = head else { return Some(closed_exchange) };
        let reusable = !head.to_ascii_lowercase().contains("connection: close");
        let complete = read_body(stream, &head).await;
        let outcome = match (head.split(' ').nth(1), complete) {
            (Some("200"), true) => Outcome::Served,
            (Some("200"), false) => Outcome::StreamCut,
            (Some("429" | "503"), _) => Outcome::Refused,
            _ => Outcome::Failed,
        };
        Some(Exchange { outcome, reusable: reusable && complete })
    }
}

async fn read_answer(stream: &mut TcpStream) {
    if let Some(head) = read_head(stream).await {
        read_body(stream, &head).await;
    }
}

async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    String::from_utf8(head).ok()
}

/// Reads a body. Returns true if the body is complete, and false if the stream ends or stalls earlier.
async fn read_body(stream: &mut TcpStream, head: &str) -> bool {
    let head = head.to_ascii_lowercase();
    let length = head.split("content-length: ").nth(1).and_then(|rest| rest.split('\r').next()?.parse().ok());
    if let Some(length) = length {
        let mut body = vec![0; length];
        return stream.read_exact(&mut body).await.is_ok();
    }
    let mut tail = Vec::new();
    let started_at = Instant::now();
    while !tail.ends_with(b"\r\n0\r\n\r\n") {
        let byte = tokio::time::timeout(Duration::from_secs(6), stream.read_u8()).await;
        let Ok(Ok(byte)) = byte else { return false };
        tail.push(byte);
        if tail.len() > 64 {
            tail.drain(..32);
        }
        if started_at.elapsed() > Duration::from_secs(30) {
            return false;
        }
    }
    true
}
