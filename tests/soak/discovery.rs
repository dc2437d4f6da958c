//! Discovery agents that report the same list of servers to each gateway.

use crate::judge::Judge;
use crate::loopback::read_message;
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

/// Time after which a gateway counts as informed of a change that a silent watch did not report.
const MAX_UPDATE_DELAY: Duration = Duration::from_secs(6);

/// The list of servers and the present state of discovery.
pub struct Discovery {
    servers: Vec<Rc<Server>>,
    /// True for each server that drains, by the server's number.
    draining: RefCell<Vec<bool>>,
    revision: Cell<u64>,
    list_changed: Notify,
    /// Watches that were opened before this time are silent.
    silenced_at: Cell<Option<Instant>>,
    unavailable: Cell<bool>,
    judge: Rc<RefCell<Judge>>,
    gateway_count: usize,
}

impl Discovery {
    pub fn new(servers: Vec<Rc<Server>>, judge: Rc<RefCell<Judge>>, gateway_count: usize) -> Rc<Self> {
        let draining = RefCell::new(vec![false; servers.len()]);
        Rc::new(Self {
            servers,
            draining,
            revision: Cell::new(1),
            list_changed: Notify::new(),
            silenced_at: Cell::default(),
            unavailable: Cell::default(),
            judge,
            gateway_count,
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
        // Latest time at which a gateway knows of a drain, even if its watch does not report the change.
        let latest_known_at = Instant::now() + MAX_UPDATE_DELAY;
        for gateway in 0..self.gateway_count {
            let known_at = if drains { latest_known_at } else { Instant::now() };
            self.judge.borrow_mut().drain_changed(gateway, server, drains, known_at);
        }
        self.list_changed.notify_waiters();
    }

    /// Lists a server's process as started just now.
    pub fn server_restarted(&self, server: usize) {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).expect("the system time is after 1970");
        self.servers[server].boot_ms.set(unix_time.as_millis() as u64);
        self.revision.set(self.revision.get() + 1);
        self.list_changed.notify_waiters();
    }

    /// Makes all open watches silent.
    pub fn silence_watches(&self) {
        self.silenced_at.set(Some(Instant::now()));
    }

    /// Makes discovery unavailable or available again.
    pub fn set_unavailable(&self, unavailable: bool) {
        self.unavailable.set(unavailable);
        self.list_changed.notify_waiters();
    }

    /// Records for the judge that a gateway knows by now of all drains in the list.
    pub fn record_listed_drains(&self, gateway: usize) {
        let now = Instant::now();
        let draining = self.draining.borrow();
        for (server, _) in draining.iter().enumerate().filter(|(_, drains)| **drains) {
            self.judge.borrow_mut().drain_known_at(gateway, server, now);
        }
    }

    /// Starts an agent for one gateway and returns the agent's address.
    pub async fn start_agent(self: &Rc<Self>, gateway: usize) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port can be bound");
        let address = listener.local_addr().expect("the listener has a local address");
        let discovery = self.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(discovery.clone().watch(gateway, stream));
            }
        });
        address
    }

    /// Answers the long polls of one connection. A silenced connection stays open without an answer.
    async fn watch(self: Rc<Self>, gateway: usize, mut stream: TcpStream) {
        let opened_at = Instant::now();
        let is_silenced = || self.silenced_at.get().is_some_and(|silenced_at| opened_at < silenced_at);
        while let Some(request) = read_message(&mut stream).await {
            if is_silenced() || self.unavailable.get() {
                return std::future::pending().await;
            }
            let query_number = |name: &str| {
                let value = request.path.split_once(name).and_then(|(_, rest)| rest.split('&').next());
                value.and_then(|value| value.parse::<u64>().ok()).unwrap_or(0)
            };
            let poll_deadline = Instant::now() + Duration::from_millis(query_number("wait="));
            while self.revision.get() <= query_number("index=") && Instant::now() < poll_deadline {
                let list_change =
                    tokio::time::timeout(Duration::from_millis(50), self.list_changed.notified());
                let _ = list_change.await;
            }
            if is_silenced() || self.unavailable.get() {
                return std::future::pending().await;
            }
            let list = if self.revision.get() > query_number("index=") {
                self.list()
            } else {
                json!({"rev": self.revision.get(), "all": false, "targets": []})
            };
            let body = list.to_string();
            let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            if stream.write_all(response.as_bytes()).await.is_err() {
                return;
            }
            self.record_listed_drains(gateway);
        }
    }
}
