//! Test doubles on the loopback interface: engines of each
//! kind, discovery, and a client; and a daemon between them.
#![allow(dead_code)] // each test file uses its own part

use meadowlug::config::{Config, Inference, Reload, SharedState};
use meadowlug::daemon::OperatorInterface;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc};
use tokio::task::spawn_local;

pub const EVENTS: [&str; 3] = ["data: {\"a\":1}\n\n", "data: {\"b\":2}\n\n", "data: [DONE]\n\n"];

/// How an engine responds to a request that it has received completely.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    /// Responds normally.
    Well,
    /// Responds normally after the given number of milliseconds.
    Slow(u64),
    /// Never responds, like a machine that has vanished.
    Silent,
    /// Breaks the connection in the middle of its response.
    Cut,
    /// Breaks the connection once, then responds normally.
    CutOnce,
    /// Declines the request with proof that it never ran.
    Declines,
    /// Responds, then closes the connection.
    Closes,
    /// Rejects every request as invalid.
    Faults,
    /// Responds with a list that lacks entries.
    Short,
    /// Sends these bytes once and keeps the connection open, then responds normally.
    SaysOnce(&'static str),
}

/// A request as the engine received it.
#[derive(Clone, Debug)]
pub struct Seen {
    pub at: Instant,
    pub method: String,
    pub path: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// Reads one message from a connection: the words of its first line, its headers and its body.
pub async fn message(stream: &mut (impl AsyncRead + Unpin)) -> Option<Seen> {
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\n") {
        text.push(stream.read_u8().await.ok()?);
    }
    let text = String::from_utf8(text).expect("a head in valid UTF-8");
    let mut lines = text.split("\r\n");
    let first_line = lines.next()?;
    let mut words = first_line.split(' ').map(str::to_owned);
    let header =
        |line: &str| line.split_once(": ").map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()));
    let headers: BTreeMap<_, _> = lines.filter_map(header).collect();
    let length = headers.get("content-length").map_or(0, |l| l.parse().expect("a valid length"));
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    Some(Seen { at: Instant::now(), method: words.next()?, path: words.next()?, headers, body })
}

/// An engine; its role depends on the calls that it receives.
pub struct Engine {
    pub uid: &'static str,
    pub model: &'static str,
    pub address: SocketAddr,
    pub mode: Rc<Cell<Mode>>,
    /// True if it accepts releases without ever responding to them.
    pub mute_to_releases: Rc<Cell<bool>>,
    pub seen: Rc<RefCell<Vec<Seen>>>,
}

impl Engine {
    pub async fn start(uid: &'static str, model: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let (mode, seen) = (Rc::new(Cell::new(Mode::Well)), Rc::<RefCell<Vec<Seen>>>::default());
        let mute_to_releases = Rc::<Cell<bool>>::default();
        let mute = mute_to_releases.clone();
        let engine = Self { uid, model, address, mode: mode.clone(), mute_to_releases, seen: seen.clone() };
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(engine_connection(stream, model, mode.clone(), mute.clone(), seen.clone()));
            }
        });
        engine
    }

    /// Returns the number of received requests whose path starts with the given text.
    pub fn count(&self, path: &str) -> usize {
        self.seen.borrow().iter().filter(|s| s.path.starts_with(path)).count()
    }

    pub fn target(&self, state: &str) -> Value {
        json!({"uid": self.uid, "endpoint": self.address.to_string(), "az": "a", "model": self.model,
            "pod_group": 0, "state": state, "capacity_hint": 1.0, "boot_ms": 0})
    }
}

async fn engine_connection(
    mut stream: TcpStream,
    model: &'static str,
    mode: Rc<Cell<Mode>>,
    mute_to_releases: Rc<Cell<bool>>,
    seen: Rc<RefCell<Vec<Seen>>>,
) {
    while let Some(request) = message(&mut stream).await {
        seen.borrow_mut().push(request.clone());
        if request.method == "DELETE" && mute_to_releases.get() {
            return std::future::pending().await;
        }
        let once = matches!(mode.get(), Mode::CutOnce | Mode::SaysOnce(_)) && request.method != "DELETE";
        let mode = if once { mode.replace(Mode::Well) } else { mode.get() };
        if let Mode::Slow(ms) = mode {
            tokio::time::sleep(Duration::from_millis(ms)).await;
        }
        let answer = match mode {
            Mode::SaysOnce(bytes) => bytes.to_owned(),
            Mode::Silent => return std::future::pending().await,
            Mode::Declines => "HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n".to_owned(),
            Mode::Faults => "HTTP/1.1 400 Bad\r\nContent-Length: 2\r\n\r\n{}".to_owned(),
            Mode::Short => {
                let body = "{\"results\":[{\"index\":0}]}";
                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
            }
            _ => engine_answer(model, &request),
        };
        let cut = matches!(mode, Mode::Cut | Mode::CutOnce) && request.method == "POST";
        let sent_part = if cut { &answer[..answer.len() - 12] } else { &answer };
        let written = stream.write_all(sent_part.as_bytes()).await;
        if cut || mode == Mode::Closes || written.is_err() {
            return;
        }
    }
}

fn engine_answer(model: &str, request: &Seen) -> String {
    let complete_response = |status: &str, body: String| {
        format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
    };
    let call: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    let entry_count = |list: &str| call[list].as_array().map_or(1, Vec::len);
    match (request.method.as_str(), model) {
        ("GET", _) if request.path == "/status/load" => {
            complete_response("200 OK", json!({"x0": 0.25}).to_string())
        }
        ("DELETE", _) => "HTTP/1.1 204 No Content\r\n\r\n".to_owned(),
        (_, "reader") => complete_response("202 Accepted", "{\"cached_tokens\":0}".into()),
        (_, "writer") => {
            let chunks: String = EVENTS.iter().map(|e| format!("{:x}\r\n{e}\r\n", e.len())).collect();
            format!(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n"
            )
        }
        (_, "embedder") => {
            let data: Vec<_> =
                (0..entry_count("input")).map(|i| json!({"index": i, "embedding": [0.5]})).collect();
            complete_response("200 OK", json!({"object": "list", "data": data}).to_string())
        }
        _ => {
            let results: Vec<_> = (0..entry_count("documents")).map(|i| json!({"index": i})).collect();
            complete_response("200 OK", json!({"results": results}).to_string())
        }
    }
}

/// A discovery server: a list, its revision, and the watches that wait for the next one.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    list: Rc<RefCell<(u64, Vec<Value>)>>,
    /// The targets that the last revision changed, if it is sent as a change.
    changed_targets: Rc<RefCell<Vec<Value>>>,
    list_changed: Rc<Notify>,
    /// True while the server is down: it closes waiting watches at once, and other connections at their next
    /// request.
    is_down: Rc<Cell<bool>>,
    /// The revisions that were written to a watch, with the time of each.
    written_revisions: Rc<RefCell<Vec<(u64, Instant)>>>,
}

impl Discovery {
    pub async fn start(engines: &[&Engine]) -> Self {
        Self::at(1, engines.iter().map(|e| e.target("SERVING")).collect()).await
    }

    /// Starts a server with a list of the given revision.
    pub async fn at(revision: u64, targets: Vec<Value>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let discovery = Self {
            address,
            list: Rc::new(RefCell::new((revision, targets))),
            changed_targets: Rc::default(),
            list_changed: Rc::default(),
            is_down: Rc::default(),
            written_revisions: Rc::default(),
        };
        let server = discovery.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(server.clone().connection(stream));
            }
        });
        discovery
    }

    /// Lists an engine in another state; returns the revision in which it is listed so.
    pub fn set(&self, engine: &Engine, state: &str) -> u64 {
        let (rev, targets) = &mut *self.list.borrow_mut();
        *rev += 1;
        for target in targets.iter_mut().filter(|t| t["uid"] == engine.uid) {
            *target = engine.target(state);
        }
        self.list_changed.notify_waiters();
        *rev
    }

    /// Returns the time at which the revision, or a later one, was
    /// first written to a watch: from then on it counts as announced.
    pub fn told(&self, revision: u64) -> Instant {
        let written_revisions = self.written_revisions.borrow();
        written_revisions.iter().find(|(rev, _)| *rev >= revision).expect("the revision was written").1
    }

    /// Returns true if the revision, or a later one, was written to a watch.
    pub fn has_told(&self, revision: u64) -> bool {
        self.written_revisions.borrow().iter().any(|(rev, _)| *rev >= revision)
    }

    /// Lists further engines, and sends that as a change.
    pub fn change(&self, targets: Vec<Value>) {
        let (rev, listed) = &mut *self.list.borrow_mut();
        *rev += 1;
        listed.extend(targets.clone());
        self.changed_targets.replace(targets);
        self.list_changed.notify_waiters();
    }

    /// Lists one more engine.
    pub fn add(&self, engine: &Engine) {
        let (rev, targets) = &mut *self.list.borrow_mut();
        *rev += 1;
        targets.push(engine.target("SERVING"));
        self.list_changed.notify_waiters();
    }

    /// Takes the server down, or back up.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.set(is_down);
        self.list_changed.notify_waiters();
    }

    async fn connection(self, mut stream: TcpStream) {
        while let Some(request) = message(&mut stream).await {
            if self.is_down.get() {
                return;
            }
            let index = request.path.split_once("index=").and_then(|(_, rest)| rest.split('&').next());
            let index: u64 = index.map_or(0, |i| i.parse().expect("a valid revision"));
            while self.list.borrow().0 <= index {
                self.list_changed.notified().await;
                if self.is_down.get() {
                    return;
                }
            }
            let (rev, targets) = self.list.borrow().clone();
            let changed_targets = self.changed_targets.borrow().clone();
            let all = changed_targets.is_empty() || index + 1 != rev;
            let body =
                json!({"rev": rev, "all": all, "targets": if all { targets } else { changed_targets }})
                    .to_string();
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
            self.written_revisions.borrow_mut().push((rev, Instant::now()));
        }
    }
}

/// The response that a client received; `whole` is true if it is complete according to its framing.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
    pub whole: bool,
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).expect("a JSON body")
    }
}

/// Sends one request on a connection of its own and reads the response.
pub async fn ask(to: SocketAddr, method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> Answer {
    let mut stream = TcpStream::connect(to).await.expect("the daemon listens");
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n");
    headers.iter().for_each(|(name, value)| text += &format!("{name}: {value}\r\n"));
    text += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    // The daemon may refuse a request early without reading its body to the end.
    let _ = stream.write_all(text.as_bytes()).await;
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes).await;
    let text = String::from_utf8(bytes).expect("valid UTF-8");
    let (head, rest) = text.split_once("\r\n\r\n").expect("a complete head");
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a valid status");
    let (mut body, mut complete) = (rest.to_owned(), true);
    if head.to_ascii_lowercase().contains("transfer-encoding: chunked") {
        complete = rest.ends_with("0\r\n\r\n");
        body = rest.split("\r\n").filter(|l| l.starts_with("data") || l.is_empty()).collect();
    }
    Answer { status, head: head.to_ascii_lowercase(), body, whole: complete }
}

/// Sends a chat request of the given class with a deadline in milliseconds.
pub async fn chat(to: SocketAddr, id: &str, class: &str, deadline_ms: u64) -> Answer {
    let deadline = format!("{deadline_ms}m");
    let headers = [
        ("Req-Id", id),
        ("Req-Kind", class),
        ("Req-Owner", "desk"),
        ("Req-Deadline", deadline.as_str()),
        ("Req-Extra", "prompt_len=100,max_out=20"),
    ];
    ask(to, "POST", "/v1/chat/completions", &headers, CHAT).await
}

/// Returns the bytes of a chat request as a client sends them.
pub fn chat_text(id: &str, class: &str) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nReq-Id: {id}\r\nReq-Kind: {class}\r\nReq-Owner: desk\r\n\
         Req-Deadline: 9000m\r\nContent-Length: {}\r\n\r\n{CHAT}",
        CHAT.len()
    )
}

pub const CHAT: &str = r#"{"model":"chat","stream":true,"messages":[{"role":"user","content":"hi"}]}"#;

/// A running daemon.
pub struct Daemon {
    pub address: SocketAddr,
    pub management: SocketAddr,
    pub stop: Rc<Notify>,
    pub ended: tokio::task::JoinHandle<()>,
    config: Value,
    file: tempfile::NamedTempFile,
    reload_sender: mpsc::Sender<()>,
}

impl Daemon {
    pub async fn start(discovery: &Discovery, inference: Option<Value>) -> Self {
        Self::within(json!({}), discovery, inference).await
    }

    /// Starts a daemon with the given resource limits and waits until it is ready.
    pub async fn within(limits: Value, discovery: &Discovery, inference: Option<Value>) -> Self {
        let daemon = Self::before_its_list(limits, discovery.address, inference).await;
        until("ready", async || daemon.is_ready().await).await;
        daemon
    }

    /// Returns true if the daemon accepts clients.
    pub async fn is_ready(&self) -> bool {
        ask(self.address, "GET", "/ready", &[], "").await.status == 200
    }

    /// Starts a daemon without waiting until it knows an engine.
    pub async fn before_its_list(limits: Value, discovery: SocketAddr, inference: Option<Value>) -> Self {
        Self::with_known_list(Value::Null, limits, discovery, inference).await
    }

    /// Starts a daemon with the given persisted list.
    pub async fn with_known_list(
        known: Value,
        limits: Value,
        discovery: SocketAddr,
        inference: Option<Value>,
    ) -> Self {
        Self::configured(Self::settings(), known, limits, discovery, inference).await
    }

    /// The default settings of a daemon.
    pub fn settings() -> Value {
        let class = |name: &str, effect: &str| json!({"name": name, "objectiveMs": 4000, "hardLimitMs": 20000, "effect": effect});
        json!({
            "zones": ["a"], "kinds": ["reader", "writer"],
            "categories": [class("lookup", "safe"), class("correction", "unsafe")],
            "projects": [{"name": "desk", "quotaPerS": 100000.0}],
            "extra": {"roleByKind": ["read", "write"], "tokensByKind": [200000, 200000], "letGoByMs": 300},
            "permissions": {"cancelling": true},
        })
    }

    /// Starts a daemon with the given settings.
    pub async fn configured(
        settings: Value,
        known: Value,
        limits: Value,
        discovery: SocketAddr,
        inference: Option<Value>,
    ) -> Self {
        let config = json!({
            "name": "n0", "listen": "", "discovery": discovery.to_string(), "seed": "5", "limits": limits,
            "known": known, "settings": settings,
        });
        let config_json = config.clone();
        let config = Config::decode(config.to_string().as_bytes()).expect("a valid configuration");
        let file = tempfile::NamedTempFile::new().expect("a temporary file");
        let (reload_sender, reload_requests) = mpsc::channel(1);
        let reload = Reload::new(file.path().into(), &config, reload_requests);
        let inference = inference
            .map(|file| Inference::decode(file.to_string().as_bytes()).expect("a valid inference file"));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let management_listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let management = management_listener.local_addr().expect("the listener has an address");
        let shared = SharedState::new(None, "n0");
        let operator_interface = OperatorInterface { management: Some(management_listener), shared };
        let stop = Rc::new(Notify::new());
        let stop_requested = stop.clone();
        let ended = spawn_local(async move {
            let stop = async move { stop_requested.notified().await };
            meadowlug::daemon::run(config, inference, Some(reload), listener, operator_interface, stop)
                .await
                .expect("the daemon ends without an error");
        });
        Self { address, management, stop, ended, config: config_json, file, reload_sender }
    }

    /// Makes the daemon reload a configuration with another discovery address.
    pub async fn move_discovery(&self, to: SocketAddr) {
        let mut config = self.config.clone();
        config["discovery"] = json!(to.to_string());
        self.reread(&config.to_string()).await;
    }

    /// Makes the daemon reload a configuration with other settings.
    pub async fn change_settings(&self, settings: Value) {
        let mut config = self.config.clone();
        config["settings"] = settings;
        self.reread(&config.to_string()).await;
    }

    /// Makes the daemon reload its configuration from the given text.
    pub async fn reread(&self, text: &str) {
        std::fs::write(self.file.path(), text).expect("the file is writable");
        self.reload_sender.send(()).await.expect("the daemon accepts the reload");
    }
}

/// Waits until a condition holds; the time limit allows for a slow machine.
pub async fn until(condition: &str, mut holds: impl AsyncFnMut() -> bool) {
    let start = Instant::now();
    while !holds().await {
        assert!(start.elapsed() < Duration::from_secs(20), "condition not met in time: {condition}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Runs the tasks of a test on this thread.
pub async fn local(test: impl Future<Output = ()>) {
    tokio::task::LocalSet::new().run_until(test).await;
}

/// Returns an address at which no process listens.
pub async fn closed_port() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    listener.local_addr().expect("the listener has an address")
}
