//! The agents that tell each gateway of the servers, all from one list.

use crate::judge::Judge;
use crate::loopback::message;
use crate::servers::Server;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// When what a silent watch misses counts as told.
const TOLD_AFTER_SILENCE: Duration = Duration::from_secs(6);

/// The list, and how discovery behaves.
pub struct Discovery {
    servers: Vec<Rc<Server>>,
    /// Which servers drain.
    draining: RefCell<Vec<bool>>,
    revision: Cell<u64>,
    news: Notify,
    /// Watches that were opened before this are silent.
    silent_before: Cell<Option<Instant>>,
    down: Cell<bool>,
    judge: Rc<RefCell<Judge>>,
    gateways: usize,
}

impl Discovery {
    pub fn new(servers: Vec<Rc<Server>>, judge: Rc<RefCell<Judge>>, gateways: usize) -> Rc<Self> {
        let draining = RefCell::new(vec![false; servers.len()]);
        Rc::new(Self {
            servers,
            draining,
            revision: Cell::new(1),
            news: Notify::new(),
            silent_before: Cell::default(),
            down: Cell::default(),
            judge,
            gateways,
        })
    }

    pub fn list(&self) -> Value {
        let draining = self.draining.borrow();
        let target = |server: &Rc<Server>| {
            json!({"uid": server.uid(), "endpoint": server.proxy.address.to_string(), "az": "a",
                "model": if server.is_reader { "reader" } else { "writer" }, "pod_group": 0,
                "state": if draining[server.number] { "DRAINING" } else { "SERVING" },
                "capacity_hint": 1.0, "boot_ms": server.boot_ms.get()})
        };
        let targets: Vec<_> = self.servers.iter().map(target).collect();
        json!({"rev": self.revision.get(), "all": true, "targets": targets})
    }

    /// Lists a server as draining, or as serving again.
    pub fn set_draining(&self, server: usize, drains: bool) {
        self.draining.borrow_mut()[server] = drains;
        self.revision.set(self.revision.get() + 1);
        // Told at the latest then, whether or not a watch hears of it.
        let late = Instant::now() + TOLD_AFTER_SILENCE;
        for gateway in 0..self.gateways {
            let at = if drains { late } else { Instant::now() };
            self.judge.borrow_mut().drain_changed(gateway, server, drains, at);
        }
        self.news.notify_waiters();
    }

    /// A server's process has started anew just now.
    pub fn restarted(&self, server: usize) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970");
        self.servers[server].boot_ms.set(unix.as_millis() as u64);
        self.revision.set(self.revision.get() + 1);
        self.news.notify_waiters();
    }

    /// Has all open watches fall silent.
    pub fn silence(&self) {
        self.silent_before.set(Some(Instant::now()));
    }

    /// Goes down, or comes back.
    pub fn set_down(&self, down: bool) {
        self.down.set(down);
        self.news.notify_waiters();
    }

    /// All that is listed counts as told to a gateway from now on, if it did not before.
    pub fn record_listed_drains(&self, gateway: usize) {
        let now = Instant::now();
        let draining = self.draining.borrow();
        for (server, _) in draining.iter().enumerate().filter(|(_, drains)| **drains) {
            self.judge.borrow_mut().drain_known_at(gateway, server, now);
        }
    }

    /// An agent of one gateway at an address of its own.
    pub async fn start_agent(self: &Rc<Self>, gateway: usize) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let discovery = self.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(discovery.clone().watch(gateway, stream));
            }
        });
        address
    }

    async fn watch(self: Rc<Self>, gateway: usize, mut stream: TcpStream) {
        let opened = Instant::now();
        let silent = || self.silent_before.get().is_some_and(|at| opened < at);
        while let Some(request) = message(&mut stream).await {
            if silent() || self.down.get() {
                return std::future::pending().await;
            }
            let number = |name: &str| {
                let value = request.path.split_once(name).and_then(|(_, rest)| rest.split('&').next());
                value.and_then(|value| value.parse::<u64>().ok()).unwrap_or(0)
            };
            let end = Instant::now() + Duration::from_millis(number("wait="));
            while self.revision.get() <= number("index=") && Instant::now() < end {
                let news = tokio::time::timeout(Duration::from_millis(50), self.news.notified());
                let _ = news.await;
            }
            if silent() || self.down.get() {
                return std::future::pending().await;
            }
            let list = if self.revision.get() > number("index=") {
                self.list()
            } else {
                json!({"rev": self.revision.get(), "all": false, "targets": []})
            };
            let body = list.to_string();
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
            self.record_listed_drains(gateway);
        }
    }
}
