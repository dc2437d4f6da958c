//! Clients: usual ones, and such as leave early, write slowly, or stop in the middle of a request.

use crate::gateways::Gateway;
use crate::judge::{Effect, Judge, Outcome};
use crate::loopback::CHAT;
use fastrand::Rng;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// How much longer than its deadline a client waits before it says that there was no answer.
const PATIENCE: Duration = Duration::from_millis(1_200);

/// Whether the gateway at that address is ready for clients.
pub async fn is_ready(address: SocketAddr) -> bool {
    let asked = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(b"GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n").await.ok()?;
        let mut head = [0; 12];
        stream.read_exact(&mut head).await.ok()?;
        Some(head.ends_with(b"200"))
    };
    tokio::time::timeout(Duration::from_secs(1), asked).await.ok().flatten().unwrap_or(false)
}

/// The classes of the days' settings.
pub const CLASSES: [(&str, Effect); 3] = [
    ("lookup", Effect::Safe),
    ("correction", Effect::Unsafe),
    ("filing", Effect::Keyed(Duration::from_millis(1_500))),
];

/// How a client goes about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Manner {
    Usual,
    LeavesEarly,
    WritesSlowly,
    StopsMidway,
}

/// What all clients share.
pub struct Traffic {
    pub gateways: Vec<Rc<Gateway>>,
    pub judge: Rc<RefCell<Judge>>,
    pub over: Cell<bool>,
    pub next_id: Cell<u64>,
}

/// What came of one exchange.
struct Exchange {
    outcome: Outcome,
    /// Whether the connection can be used again.
    keeps: bool,
}

impl Traffic {
    fn id(&self) -> String {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        format!("q{id:08x}")
    }

    /// One client of one gateway, until the traffic is over.
    pub async fn client(self: Rc<Self>, gateway: usize, seed: u64) {
        let mut draws = Rng::with_seed(seed);
        let mut kept: Option<TcpStream> = None;
        while !self.over.get() {
            tokio::time::sleep(Duration::from_millis(draws.u64(10..250))).await;
            let to = &self.gateways[gateway];
            if kept.is_none() && !to.admitted.get() {
                continue;
            }
            kept = self.request(to, kept.take(), &mut draws).await;
        }
    }

    /// Makes one request, on the connection that was kept or a new one; gives the connection if it can be used again.
    async fn request(
        &self,
        gateway: &Gateway,
        mut kept: Option<TcpStream>,
        draws: &mut Rng,
    ) -> Option<TcpStream> {
        let (id, (class, effect)) = (self.id(), CLASSES[draws.usize(0..CLASSES.len())]);
        let deadline = Duration::from_millis(draws.u64(1_500..3_500));
        let manner = match draws.u8(0..20) {
            0 => Manner::LeavesEarly,
            1 => Manner::WritesSlowly,
            2 => Manner::StopsMidway,
            _ => Manner::Usual,
        };
        // A request that crosses the close of a connection that rested is sent once more on a new one.
        for _ in 0..2 {
            let rested = kept.is_some();
            let mut stream = match kept.take() {
                Some(stream) => stream,
                None => TcpStream::connect(gateway.address).await.ok()?,
            };
            self.judge.borrow_mut().request_sent(&id, gateway.number, effect, deadline);
            let exchange = self.exchange(&mut stream, &id, class, deadline, manner, draws).await?;
            let crossed = exchange.outcome == Outcome::Closed && rested;
            if !crossed || self.judge.borrow().attempt_count(&id) > 0 {
                self.judge.borrow_mut().request_answered(&id, exchange.outcome);
                return exchange.keeps.then_some(stream);
            }
        }
        None
    }

    /// Nothing if no answer is owed.
    async fn exchange(
        &self,
        stream: &mut TcpStream,
        id: &str,
        class: &str,
        deadline: Duration,
        manner: Manner,
        draws: &mut Rng,
    ) -> Option<Exchange> {
        let closed = Exchange { outcome: Outcome::Closed, keeps: false };
        let (millis, length) = (deadline.as_millis(), CHAT.len());
        let text = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nReq-Id: {id}\r\nReq-Kind: {class}\r\nReq-Owner: desk\r\n\
             Req-Deadline: {millis}m\r\nReq-Extra: prompt_len=100,max_out=60\r\nContent-Length: {length}\r\n\r\n{CHAT}"
        );
        let half = draws.usize(1..text.len());
        let (first, rest) = if manner == Manner::Usual { (text.as_str(), "") } else { text.split_at(half) };
        if stream.write_all(first.as_bytes()).await.is_err() {
            return Some(closed);
        }
        match manner {
            Manner::StopsMidway => {
                let _ = tokio::time::timeout(Duration::from_secs(4), stream.read(&mut [0; 64])).await;
                return None;
            }
            Manner::WritesSlowly => tokio::time::sleep(Duration::from_millis(draws.u64(100..1_800))).await,
            Manner::Usual | Manner::LeavesEarly => {}
        }
        if stream.write_all(rest.as_bytes()).await.is_err() {
            return Some(closed);
        }
        self.judge.borrow_mut().request_fully_sent(id);
        if manner == Manner::LeavesEarly {
            let stays = Duration::from_millis(draws.u64(1..900));
            let gone = tokio::time::timeout(stays, read_answer(stream)).await.is_err();
            if gone {
                self.judge.borrow_mut().client_left(id);
            }
            // Dropped by the caller in the same turn.
            return None;
        }
        let answer = tokio::time::timeout(deadline + PATIENCE, read_head(stream)).await;
        let Ok(head) = answer else { return Some(Exchange { outcome: Outcome::NoAnswer, keeps: false }) };
        let Some(head) = head else { return Some(closed) };
        let keeps = !head.to_ascii_lowercase().contains("connection: close");
        let whole = read_body(stream, &head).await;
        let outcome = match (head.split(' ').nth(1), whole) {
            (Some("200"), true) => Outcome::Served,
            (Some("200"), false) => Outcome::StreamCut,
            (Some("429" | "503"), _) => Outcome::Refused,
            _ => Outcome::Failed,
        };
        Some(Exchange { outcome, keeps: keeps && whole })
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

/// Reads a body; whether it came whole. A stream that stands still for too long has not.
async fn read_body(stream: &mut TcpStream, head: &str) -> bool {
    let head = head.to_ascii_lowercase();
    let length = head.split("content-length: ").nth(1).and_then(|rest| rest.split('\r').next()?.parse().ok());
    if let Some(length) = length {
        let mut body = vec![0; length];
        return stream.read_exact(&mut body).await.is_ok();
    }
    let mut tail = Vec::new();
    let began = Instant::now();
    while !tail.ends_with(b"\r\n0\r\n\r\n") {
        let byte = tokio::time::timeout(Duration::from_secs(6), stream.read_u8()).await;
        let Ok(Ok(byte)) = byte else { return false };
        tail.push(byte);
        if tail.len() > 64 {
            tail.drain(..32);
        }
        if began.elapsed() > Duration::from_secs(30) {
            return false;
        }
    }
    true
}
