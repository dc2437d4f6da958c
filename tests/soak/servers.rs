//! Prefill and decode servers that hold states as the protocol says, and report what comes to them.

use crate::judge::Judge;
use crate::loopback::{Seen, message};
use crate::network::{Link, Proxy};
use fastrand::Rng;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader, DuplexStream};
use tokio::task::spawn_local;

/// How a server behaves now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behaviour {
    #[default]
    Well,
    /// Answers errors.
    Errors,
    /// Turns everything away.
    Declines,
    /// Begins what comes and answers nothing.
    Hangs,
    /// Breaks connections under requests that have begun.
    Breaks,
}

/// What the servers hold for requests: which is waited for by an attempt.
#[derive(Default)]
pub struct States(RefCell<HashMap<String, bool>>);

/// One server behind its proxy.
pub struct Server {
    pub number: usize,
    pub reads: bool,
    pub proxy: Rc<Proxy>,
    behaviour: Rc<Cell<Behaviour>>,
    pub boot_ms: Cell<u64>,
}

/// What all servers share.
#[derive(Clone)]
pub struct Fleet {
    pub judge: Rc<RefCell<Judge>>,
    pub states: Rc<States>,
}

impl Server {
    pub async fn start(number: usize, reads: bool, fleet: &Fleet) -> Rc<Self> {
        let behaviour = Rc::<Cell<Behaviour>>::default();
        let (at, fleet) = (behaviour.clone(), fleet.clone());
        let proxy = Proxy::start(move |stream, link| {
            let line = Line { number, reads, behaviour: at.clone(), fleet: fleet.clone(), link };
            spawn_local(line.serve(stream));
        })
        .await;
        Rc::new(Self { number, reads, proxy, behaviour, boot_ms: Cell::new(0) })
    }

    pub fn behave(&self, behaviour: Behaviour) {
        self.behaviour.set(behaviour);
    }

    pub fn uid(&self) -> String {
        format!("s-{}", self.number)
    }
}

/// One connection to a server.
struct Line {
    number: usize,
    reads: bool,
    behaviour: Rc<Cell<Behaviour>>,
    fleet: Fleet,
    link: Rc<Link>,
}

/// An attempt that has arrived; it ends with this.
struct Arrived<'a> {
    line: &'a Line,
    id: &'a str,
}

impl Drop for Arrived<'_> {
    fn drop(&mut self) {
        self.line.fleet.judge.borrow_mut().attempt_ended(self.id);
    }
}

impl Line {
    async fn serve(self, stream: DuplexStream) {
        let mut stream = BufReader::new(stream);
        while let Some(request) = message(&mut stream).await {
            if self.answer(&mut stream, &request).await.is_none() {
                return;
            }
            self.link.prepare_next_request();
        }
    }

    /// Answers one request; nothing if its connection is to end.
    async fn answer(&self, stream: &mut BufReader<DuplexStream>, request: &Seen) -> Option<()> {
        if let Some(id) = request.path.strip_prefix("/state/") {
            if self.behaviour.get() == Behaviour::Hangs {
                return std::future::pending().await;
            }
            self.release(id);
            return say(stream, "HTTP/1.1 204 No Content\r\n\r\n").await;
        }
        let id = request.headers.get("req-id").cloned().unwrap_or_default();
        let told = request.headers.get("req-deadline").and_then(|told| told.strip_suffix('m'));
        let told = Duration::from_millis(told.and_then(|told| told.parse().ok()).unwrap_or(0));
        let first = self.link.first_byte_at();
        self.fleet.judge.borrow_mut().attempt_arrived(&id, self.number, !self.reads, first, told);
        let arrived = Arrived { line: self, id: &id };
        let held = !self.reads && self.take(&id);
        let answered = self.work(stream, &arrived, held).await;
        self.link.wait_until_delivered().await;
        // Said in full it is lost, too, where the network broke the connection before it was delivered.
        let lost = answered.is_none() && !self.link.is_closed() || self.link.was_reset();
        if lost && held {
            self.fleet.judge.borrow_mut().record_fault(&id);
        }
        answered
    }

    async fn work(
        &self,
        stream: &mut BufReader<DuplexStream>,
        arrived: &Arrived<'_>,
        held: bool,
    ) -> Option<()> {
        let mut draws = Rng::new();
        let judge = &self.fleet.judge;
        match self.behaviour.get() {
            Behaviour::Well => {}
            Behaviour::Errors => {
                self.give_back(arrived.id, held);
                return say(stream, "HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n").await;
            }
            Behaviour::Declines => {
                judge.borrow_mut().attempt_declined(arrived.id, !self.reads);
                self.give_back(arrived.id, held);
                return say(stream, "HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
                    .await;
            }
            Behaviour::Hangs => {
                judge.borrow_mut().record_fault(arrived.id);
                self.link.wait_until_closed(Duration::from_secs(60)).await;
                self.give_back(arrived.id, held);
                return None;
            }
            Behaviour::Breaks => {
                judge.borrow_mut().record_fault(arrived.id);
                self.link.wait_until_closed(Duration::from_millis(draws.u64(0..40))).await;
                self.give_back(arrived.id, held);
                return None;
            }
        }
        if self.reads {
            // A read that was given up leaves nothing.
            if self.link.wait_until_closed(Duration::from_millis(draws.u64(10..120))).await {
                return None;
            }
            self.fleet.states.0.borrow_mut().insert(arrived.id.to_owned(), false);
            judge.borrow_mut().set_state_held(arrived.id, true);
            let body = "{\"cached_tokens\":0}";
            let head = format!("HTTP/1.1 202 Accepted\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            return say(stream, &head).await;
        }
        if !held {
            judge.borrow_mut().attempt_declined(arrived.id, true);
            return say(stream, "HTTP/1.1 410 Gone\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n").await;
        }
        let queued = if draws.u8(0..6) == 0 { draws.u64(300..1200) } else { draws.u64(5..80) };
        if self.link.wait_until_closed(Duration::from_millis(queued)).await {
            self.give_back(arrived.id, held);
            return None;
        }
        self.fleet.states.0.borrow_mut().remove(arrived.id);
        let events = if draws.u8(0..5) == 0 { draws.usize(80..160) } else { draws.usize(3..20) };
        self.stream(stream, arrived.id, events).await
    }

    async fn stream(&self, stream: &mut BufReader<DuplexStream>, id: &str, events: usize) -> Option<()> {
        const HEAD: &str =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        let chunk = |text: String| format!("{:x}\r\n{text}\r\n", text.len());
        say(stream, HEAD).await?;
        for n in 0..events {
            say(stream, &chunk(format!("data: {{\"n\":{n}}}\n\n"))).await?;
            if matches!(self.behaviour.get(), Behaviour::Hangs | Behaviour::Breaks) {
                self.fleet.judge.borrow_mut().record_fault(id);
                let hangs = self.behaviour.get() == Behaviour::Hangs;
                self.link.wait_until_closed(Duration::from_secs(if hangs { 60 } else { 0 })).await;
                return None;
            }
            if self.link.wait_until_closed(Duration::from_millis(25)).await {
                return None;
            }
            if self.link.is_held() {
                // Its gateway hears no more of it than of a server that hangs, and may end it.
                self.fleet.judge.borrow_mut().record_fault(id);
            }
        }
        say(stream, &chunk("data: [DONE]\n\n".to_owned())).await?;
        say(stream, "0\r\n\r\n").await
    }

    /// Takes a state for an attempt that waits for it; whether there was one.
    fn take(&self, id: &str) -> bool {
        let mut states = self.fleet.states.0.borrow_mut();
        let Some(waited_for) = states.get_mut(id).filter(|waited_for| !**waited_for) else { return false };
        *waited_for = true;
        self.fleet.judge.borrow_mut().set_state_held(id, false);
        true
    }

    /// The attempt that waited for a state has ended without it.
    fn give_back(&self, id: &str, held: bool) {
        if let Some(waited_for) = self.fleet.states.0.borrow_mut().get_mut(id).filter(|_| held) {
            *waited_for = false;
            self.fleet.judge.borrow_mut().set_state_held(id, true);
        }
    }

    /// Lets go of a state that no attempt waits for.
    fn release(&self, id: &str) {
        let mut states = self.fleet.states.0.borrow_mut();
        if states.get(id) == Some(&false) {
            states.remove(id);
            self.fleet.judge.borrow_mut().set_state_held(id, false);
        }
    }
}

async fn say(stream: &mut BufReader<DuplexStream>, text: &str) -> Option<()> {
    stream.write_all(text.as_bytes()).await.ok()
}
