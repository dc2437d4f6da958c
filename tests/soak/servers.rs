//! Prefill and decode servers that hold states as the protocol defines, and report the attempts that they
//! receive to the judge.

use crate::judge::Judge;
use crate::loopback::{ReceivedRequest, read_message};
use crate::network::{Link, Proxy};
use fastrand::Rng;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader, DuplexStream};
use tokio::task::spawn_local;

/// Present behaviour of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behaviour {
    #[default]
    Normal,
    /// Answers every attempt with an internal error.
    AnswersErrors,
    /// Declines every attempt.
    Declines,
    /// Accepts attempts and never answers.
    Hangs,
    /// Closes connections while attempts run on them.
    BreaksConnections,
}

/// The states that servers hold, by request id. The value is true while an attempt waits for the state.
#[derive(Default)]
pub struct HeldStates(RefCell<HashMap<String, bool>>);

/// One server behind its proxy.
pub struct Server {
    pub number: usize,
    /// True for a prefill server, false for a decode server.
    pub is_reader: bool,
    pub proxy: Rc<Proxy>,
    behaviour: Rc<Cell<Behaviour>>,
    /// Start time of the server's process in ms since the Unix epoch, or 0 if the server was never restarted.
    pub boot_ms: Cell<u64>,
}

/// The judge and the states that all servers share.
#[derive(Clone)]
pub struct SharedContext {
    pub judge: Rc<RefCell<Judge>>,
    pub states: Rc<HeldStates>,
}

impl Server {
    pub async fn start(number: usize, is_reader: bool, context: &SharedContext) -> Rc<Self> {
        let behaviour = Rc::<Cell<Behaviour>>::default();
        let (shared_behaviour, context) = (behaviour.clone(), context.clone());
        let proxy = Proxy::start(move |stream, link| {
            let connection = Connection {
                number,
                is_reader,
                behaviour: shared_behaviour.clone(),
                context: context.clone(),
                link,
            };
            spawn_local(connection.serve(stream));
        })
        .await;
        Rc::new(Self { number, is_reader, proxy, behaviour, boot_ms: Cell::new(0) })
    }

    pub fn behave(&self, behaviour: Behaviour) {
        self.behaviour.set(behaviour);
    }

    pub fn uid(&self) -> String {
        format!("s-{}", self.number)
    }
}

/// One connection to a server.
struct Connection {
    number: usize,
    is_reader: bool,
    behaviour: Rc<Cell<Behaviour>>,
    context: SharedContext,
    link: Rc<Link>,
}

/// Reports the end of an arrived attempt to the judge when dropped.
struct AttemptGuard<'a> {
    connection: &'a Connection,
    id: &'a str,
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        self.connection.context.judge.borrow_mut().attempt_ended(self.id);
    }
}

impl Connection {
    async fn serve(self, stream: DuplexStream) {
        let mut stream = BufReader::new(stream);
        while let Some(request) = read_message(&mut stream).await {
            if self.answer(&mut stream, &request).await.is_none() {
                return;
            }
            self.link.prepare_next_request();
        }
    }

    /// Answers one request. Returns `None` if the connection must end.
    async fn answer(&self, stream: &mut BufReader<DuplexStream>, request: &ReceivedRequest) -> Option<()> {
        if let Some(id) = request.path.strip_prefix("/state/") {
            if self.behaviour.get() == Behaviour::Hangs {
                return std::future::pending().await;
            }
            self.release_state(id);
            return send(stream, "HTTP/1.1 204 No Content\r\n\r\n").await;
        }
        let id = request.headers.get("req-id").cloned().unwrap_or_default();
        let deadline_ms = request.headers.get("req-deadline").and_then(|value| value.strip_suffix('m'));
        let announced_time_left =
            Duration::from_millis(deadline_ms.and_then(|value| value.parse().ok()).unwrap_or(0));
        let first_byte_at = self.link.first_byte_at();
        self.context.judge.borrow_mut().attempt_arrived(
            &id,
            self.number,
            !self.is_reader,
            first_byte_at,
            announced_time_left,
        );
        let attempt = AttemptGuard { connection: self, id: &id };
        let state_reserved = !self.is_reader && self.reserve_state(&id);
        let answer_sent = self.run_attempt(stream, &attempt, state_reserved).await;
        self.link.wait_until_delivered().await;
        // A fully sent response is also lost if the proxy reset the connection before delivering it.
        let response_lost = answer_sent.is_none() && !self.link.is_closed() || self.link.was_reset();
        if response_lost && state_reserved {
            self.context.judge.borrow_mut().record_fault(&id);
        }
        answer_sent
    }

    async fn run_attempt(
        &self,
        stream: &mut BufReader<DuplexStream>,
        attempt: &AttemptGuard<'_>,
        state_reserved: bool,
    ) -> Option<()> {
        let mut rng = Rng::new();
        let judge = &self.context.judge;
        match self.behaviour.get() {
            Behaviour::Normal => {}
            Behaviour::AnswersErrors => {
                self.unreserve_state(attempt.id, state_reserved);
                return send(stream, "HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n").await;
            }
            Behaviour::Declines => {
                judge.borrow_mut().attempt_declined(attempt.id, !self.is_reader);
                self.unreserve_state(attempt.id, state_reserved);
                return send(stream, "HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
                    .await;
            }
            Behaviour::Hangs => {
                judge.borrow_mut().record_fault(attempt.id);
                self.link.wait_until_closed(Duration::from_secs(60)).await;
                self.unreserve_state(attempt.id, state_reserved);
                return None;
            }
            Behaviour::BreaksConnections => {
                judge.borrow_mut().record_fault(attempt.id);
                self.link.wait_until_closed(Duration::from_millis(rng.u64(0..40))).await;
                self.unreserve_state(attempt.id, state_reserved);
                return None;
            }
        }
        if self.is_reader {
            // A prefill that the gateway abandoned leaves no state.
            if self.link.wait_until_closed(Duration::from_millis(rng.u64(10..120))).await {
                return None;
            }
            self.context.states.0.borrow_mut().insert(attempt.id.to_owned(), false);
            judge.borrow_mut().set_state_held(attempt.id, true);
            let body = "{\"cached_tokens\":0}";
            let response = format!("HTTP/1.1 202 Accepted\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            return send(stream, &response).await;
        }
        if !state_reserved {
            judge.borrow_mut().attempt_declined(attempt.id, true);
            return send(stream, "HTTP/1.1 410 Gone\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n").await;
        }
        let queue_ms = if rng.u8(0..6) == 0 { rng.u64(300..1200) } else { rng.u64(5..80) };
        if self.link.wait_until_closed(Duration::from_millis(queue_ms)).await {
            self.unreserve_state(attempt.id, state_reserved);
            return None;
        }
        self.context.states.0.borrow_mut().remove(attempt.id);
        let event_count = if rng.u8(0..5) == 0 { rng.usize(80..160) } else { rng.usize(3..20) };
        self.stream_events(stream, attempt.id, event_count).await
    }

    async fn stream_events(
        &self,
        stream: &mut BufReader<DuplexStream>,
        id: &str,
        event_count: usize,
    ) -> Option<()> {
        const RESPONSE_HEAD: &str =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        let chunk = |text: String| format!("{:x}\r\n{text}\r\n", text.len());
        send(stream, RESPONSE_HEAD).await?;
        for event_number in 0..event_count {
            send(stream, &chunk(format!("data: {{\"n\":{event_number}}}\n\n"))).await?;
            if matches!(self.behaviour.get(), Behaviour::Hangs | Behaviour::BreaksConnections) {
                self.context.judge.borrow_mut().record_fault(id);
                let hangs = self.behaviour.get() == Behaviour::Hangs;
                self.link.wait_until_closed(Duration::from_secs(if hangs { 60 } else { 0 })).await;
                return None;
            }
            if self.link.wait_until_closed(Duration::from_millis(25)).await {
                return None;
            }
            if self.link.is_held() {
                // The gateway receives as little as from a server that hangs, and may end the attempt.
                self.context.judge.borrow_mut().record_fault(id);
            }
        }
        send(stream, &chunk("data: [DONE]\n\n".to_owned())).await?;
        send(stream, "0\r\n\r\n").await
    }

    /// Reserves the request's state for an attempt. Returns false if there is no state that no other attempt
    /// waits for.
    fn reserve_state(&self, id: &str) -> bool {
        let mut states = self.context.states.0.borrow_mut();
        let Some(waited_for) = states.get_mut(id).filter(|waited_for| !**waited_for) else { return false };
        *waited_for = true;
        self.context.judge.borrow_mut().set_state_held(id, false);
        true
    }

    /// Clears the reservation of an attempt that ended without fetching the state.
    fn unreserve_state(&self, id: &str, state_reserved: bool) {
        if let Some(waited_for) = self.context.states.0.borrow_mut().get_mut(id).filter(|_| state_reserved) {
            *waited_for = false;
            self.context.judge.borrow_mut().set_state_held(id, true);
        }
    }

    /// Releases a state that no attempt waits for.
    fn release_state(&self, id: &str) {
        let mut states = self.context.states.0.borrow_mut();
        if states.get(id) == Some(&false) {
            states.remove(id);
            self.context.judge.borrow_mut().set_state_held(id, false);
        }
    }
}

async fn send(stream: &mut BufReader<DuplexStream>, text: &str) -> Option<()> {
    stream.write_all(text.as_bytes()).await.ok()
}
