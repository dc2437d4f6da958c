//! Stand-ins on loopback: engines of each kind, discovery, and a client; and the daemon between them.
#![allow(dead_code)] // each test file uses its own part

use meadowlug::config::{Config, Inference, Reload, Shared};
use meadowlug::daemon::Operation;
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

/// What an engine does with a request once it has all of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    Well,
    /// Well, after a while.
    Slow(u64),
    /// Says nothing, like a machine that has vanished.
    Silent,
    /// Breaks the connection in the middle of its answer.
    Cut,
    /// Does so once, and is well from then on.
    CutOnce,
    /// Turns the request away with proof that it never ran.
    Declines,
    /// Answers, then closes the connection.
    Closes,
    /// Finds every request at fault.
    Faults,
    /// Answers with a list that lacks entries.
    Short,
    /// Sends these bytes once and keeps the connection open; is well from then on.
    SaysOnce(&'static str),
}

/// A request as it was seen.
#[derive(Clone, Debug)]
pub struct Seen {
    pub at: Instant,
    pub method: String,
    pub path: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// Reads one message off a connection: its first line's words, its headers and its body.
pub async fn message(stream: &mut (impl AsyncRead + Unpin)) -> Option<Seen> {
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\n") {
        text.push(stream.read_u8().await.ok()?);
    }
    let text = String::from_utf8(text).expect("a head of text");
    let mut lines = text.split("\r\n");
    let first = lines.next()?;
    let mut words = first.split(' ').map(str::to_owned);
    let pair = |line: &str| line.split_once(": ").map(|(n, v)| (n.to_ascii_lowercase(), v.to_owned()));
    let headers: BTreeMap<_, _> = lines.filter_map(pair).collect();
    let length = headers.get("content-length").map_or(0, |l| l.parse().expect("a length"));
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    Some(Seen { at: Instant::now(), method: words.next()?, path: words.next()?, headers, body })
}

/// An engine; what it is depends on the calls it gets.
pub struct Engine {
    pub uid: &'static str,
    pub model: &'static str,
    pub address: SocketAddr,
    pub mode: Rc<Cell<Mode>>,
    /// Whether it takes releases without ever answering them.
    pub mute_to_releases: Rc<Cell<bool>>,
    pub seen: Rc<RefCell<Vec<Seen>>>,
}

impl Engine {
    pub async fn start(uid: &'static str, model: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
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

    /// How many requests it got on a path that begins so.
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
        let part = if cut { &answer[..answer.len() - 12] } else { &answer };
        let written = stream.write_all(part.as_bytes()).await;
        if cut || mode == Mode::Closes || written.is_err() {
            return;
        }
    }
}

fn engine_answer(model: &str, request: &Seen) -> String {
    let whole = |status: &str, body: String| {
        format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
    };
    let call: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    let entries = |list: &str| call[list].as_array().map_or(1, Vec::len);
    match (request.method.as_str(), model) {
        ("GET", _) if request.path == "/status/load" => whole("200 OK", json!({"x0": 0.25}).to_string()),
        ("DELETE", _) => "HTTP/1.1 204 No Content\r\n\r\n".to_owned(),
        (_, "reader") => whole("202 Accepted", "{\"cached_tokens\":0}".into()),
        (_, "writer") => {
            let chunks: String = EVENTS.iter().map(|e| format!("{:x}\r\n{e}\r\n", e.len())).collect();
            format!(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n"
            )
        }
        (_, "embedder") => {
            let data: Vec<_> =
                (0..entries("input")).map(|i| json!({"index": i, "embedding": [0.5]})).collect();
            whole("200 OK", json!({"object": "list", "data": data}).to_string())
        }
        _ => {
            let results: Vec<_> = (0..entries("documents")).map(|i| json!({"index": i})).collect();
            whole("200 OK", json!({"results": results}).to_string())
        }
    }
}

/// Discovery: a list, its version, and those who wait for the next.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    list: Rc<RefCell<(u64, Vec<Value>)>>,
    /// What the last version changed, if it is to be told as a change.
    changed: Rc<RefCell<Vec<Value>>>,
    news: Rc<Notify>,
    /// Whether it is down: it closes what is open and what comes.
    down: Rc<Cell<bool>>,
    /// Versions as they were written to a watch, and when.
    written: Rc<RefCell<Vec<(u64, Instant)>>>,
}

impl Discovery {
    pub async fn start(engines: &[&Engine]) -> Self {
        Self::at(1, engines.iter().map(|e| e.target("SERVING")).collect()).await
    }

    /// One that begins with a list of that version.
    pub async fn at(version: u64, targets: Vec<Value>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let discovery = Self {
            address,
            list: Rc::new(RefCell::new((version, targets))),
            changed: Rc::default(),
            news: Rc::default(),
            down: Rc::default(),
            written: Rc::default(),
        };
        let serving = discovery.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(serving.clone().connection(stream));
            }
        });
        discovery
    }

    /// Lists an engine in another state; gives the version from which it is.
    pub fn set(&self, engine: &Engine, state: &str) -> u64 {
        let (rev, targets) = &mut *self.list.borrow_mut();
        *rev += 1;
        for target in targets.iter_mut().filter(|t| t["uid"] == engine.uid) {
            *target = engine.target(state);
        }
        self.news.notify_waiters();
        *rev
    }

    /// When a version, or a later one, was first written to a watch: from then on it counts as told.
    pub fn told(&self, version: u64) -> Instant {
        let written = self.written.borrow();
        written.iter().find(|(rev, _)| *rev >= version).expect("it was told").1
    }

    /// Whether that version, or a later one, was written to a watch.
    pub fn has_told(&self, version: u64) -> bool {
        self.written.borrow().iter().any(|(rev, _)| *rev >= version)
    }

    /// Lists engines more, and tells that as a change.
    pub fn change(&self, targets: Vec<Value>) {
        let (rev, listed) = &mut *self.list.borrow_mut();
        *rev += 1;
        listed.extend(targets.clone());
        self.changed.replace(targets);
        self.news.notify_waiters();
    }

    /// Lists one more engine.
    pub fn add(&self, engine: &Engine) {
        let (rev, targets) = &mut *self.list.borrow_mut();
        *rev += 1;
        targets.push(engine.target("SERVING"));
        self.news.notify_waiters();
    }

    /// Has it go down, or come back.
    pub fn set_down(&self, down: bool) {
        self.down.set(down);
        self.news.notify_waiters();
    }

    async fn connection(self, mut stream: TcpStream) {
        while let Some(request) = message(&mut stream).await {
            if self.down.get() {
                return;
            }
            let index = request.path.split_once("index=").and_then(|(_, rest)| rest.split('&').next());
            let index: u64 = index.map_or(0, |i| i.parse().expect("a version"));
            while self.list.borrow().0 <= index {
                self.news.notified().await;
                if self.down.get() {
                    return;
                }
            }
            let (rev, targets) = self.list.borrow().clone();
            let changed = self.changed.borrow().clone();
            let all = changed.is_empty() || index + 1 != rev;
            let body =
                json!({"rev": rev, "all": all, "targets": if all { targets } else { changed }}).to_string();
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
            self.written.borrow_mut().push((rev, Instant::now()));
        }
    }
}

/// A client's answer; `whole` tells whether its framing came to its end.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
    pub whole: bool,
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).expect("a body of JSON")
    }
}

/// Sends one request on a connection of its own and reads its answer.
pub async fn ask(to: SocketAddr, method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> Answer {
    let mut stream = TcpStream::connect(to).await.expect("the daemon listens");
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n");
    headers.iter().for_each(|(name, value)| text += &format!("{name}: {value}\r\n"));
    text += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    // A body that is refused early may not be read to its end.
    let _ = stream.write_all(text.as_bytes()).await;
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes).await;
    let text = String::from_utf8(bytes).expect("text");
    let (head, rest) = text.split_once("\r\n\r\n").expect("a head");
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status");
    let (mut body, mut whole) = (rest.to_owned(), true);
    if head.to_ascii_lowercase().contains("transfer-encoding: chunked") {
        whole = rest.ends_with("0\r\n\r\n");
        body = rest.split("\r\n").filter(|l| l.starts_with("data") || l.is_empty()).collect();
    }
    Answer { status, head: head.to_ascii_lowercase(), body, whole }
}

/// A chat request of a class with so many milliseconds.
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

/// A chat request as a client writes it.
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
    hangup: mpsc::Sender<()>,
}

impl Daemon {
    pub async fn start(discovery: &Discovery, inference: Option<Value>) -> Self {
        Self::within(json!({}), discovery, inference).await
    }

    /// A daemon that may hold no more than these limits.
    pub async fn within(limits: Value, discovery: &Discovery, inference: Option<Value>) -> Self {
        let daemon = Self::before_its_list(limits, discovery.address, inference).await;
        until("ready", async || daemon.is_ready().await).await;
        daemon
    }

    /// Whether it takes clients.
    pub async fn is_ready(&self) -> bool {
        ask(self.address, "GET", "/ready", &[], "").await.status == 200
    }

    /// A daemon that listens, whether or not it has heard of any engine.
    pub async fn before_its_list(limits: Value, discovery: SocketAddr, inference: Option<Value>) -> Self {
        Self::knowing(Value::Null, limits, discovery, inference).await
    }

    /// A daemon that held this list last.
    pub async fn knowing(
        known: Value,
        limits: Value,
        discovery: SocketAddr,
        inference: Option<Value>,
    ) -> Self {
        Self::configured(Self::settings(), known, limits, discovery, inference).await
    }

    /// The settings of a daemon unless others are told.
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

    /// A daemon of these settings.
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
        let told = config.clone();
        let config = Config::decode(config.to_string().as_bytes()).expect("a lawful configuration");
        let file = tempfile::NamedTempFile::new().expect("a file");
        let (hangup, asked) = mpsc::channel(1);
        let reload = Reload::new(file.path().into(), &config, asked);
        let inference =
            inference.map(|file| Inference::decode(file.to_string().as_bytes()).expect("a lawful file"));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let operators = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let management = operators.local_addr().expect("an address");
        let shared = Shared::new(None, "n0");
        let operation = Operation { management: Some(operators), shared };
        let stop = Rc::new(Notify::new());
        let asked = stop.clone();
        let ended = spawn_local(async move {
            let stop = async move { asked.notified().await };
            meadowlug::daemon::run(config, inference, Some(reload), listener, operation, stop)
                .await
                .expect("a clean end");
        });
        Self { address, management, stop, ended, config: told, file, hangup }
    }

    /// Has the daemon read a configuration again that names another address for discovery.
    pub async fn move_discovery(&self, to: SocketAddr) {
        let mut config = self.config.clone();
        config["discovery"] = json!(to.to_string());
        self.reread(&config.to_string()).await;
    }

    /// Has the daemon read a configuration again that differs in its settings alone.
    pub async fn change_settings(&self, settings: Value) {
        let mut config = self.config.clone();
        config["settings"] = settings;
        self.reread(&config.to_string()).await;
    }

    /// Has the daemon read its configuration again.
    pub async fn reread(&self, text: &str) {
        std::fs::write(self.file.path(), text).expect("it can be written");
        self.hangup.send(()).await.expect("it listens");
    }
}

/// Waits until something is so, for as long as a slow machine may need.
pub async fn until(what: &str, mut so: impl AsyncFnMut() -> bool) {
    let start = Instant::now();
    while !so().await {
        assert!(start.elapsed() < Duration::from_secs(20), "never {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Runs a test's tasks on this thread.
pub async fn local(test: impl Future<Output = ()>) {
    tokio::task::LocalSet::new().run_until(test).await;
}

/// An address at which nothing listens.
pub async fn closed_port() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    listener.local_addr().expect("an address")
}
