//! Stand-ins for the review's cases: engines, discovery's agent, clients and the platform that starts a gateway.
//! Only the standard library is used. Everything listens on loopback addresses and on free ports.
#![allow(dead_code)] // each case uses its own part

use std::collections::{HashMap, HashSet};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// True unless the script runs with `TROUBLE=0`.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The record of a run, with the time of each line since the start in milliseconds.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Opens `record.txt` in the folder that the script names in `CASE_DIR`.
    pub fn open() -> Arc<Self> {
        let folder = std::env::var("CASE_DIR").expect("CASE_DIR is set by run.sh");
        let file = File::create(Path::new(&folder).join("record.txt")).expect("record.txt can be written");
        Arc::new(Self { start: Instant::now(), file: Mutex::new(file) })
    }

    /// A record that keeps nothing, for what would fill it.
    pub fn nowhere() -> Self {
        Self { start: Instant::now(), file: Mutex::new(File::create("/dev/null").expect("/dev/null can be opened")) }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap_or_else(|e| e.into_inner());
        let _ = writeln!(file, "{:>7} ms  {}", self.start.elapsed().as_millis(), text.as_ref());
    }

    /// Writes the verdict, also to standard output, and ends the process with the code of `run.sh`.
    pub fn finish(&self, code: i32, text: &str) -> ! {
        self.line(format!("verdict {code}: {text}"));
        println!("exit {code}: {text}");
        std::process::exit(code)
    }
}

/// One HTTP message: its first line, its headers with names in lower case, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Reads the head of a message.
pub fn read_head(stream: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    loop {
        line.clear();
        if stream.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let text = line.trim_end();
        if text.is_empty() {
            if message.first.is_empty() {
                continue;
            }
            return Some(message);
        }
        if message.first.is_empty() {
            message.first = text.to_owned();
        } else if let Some((name, value)) = text.split_once(':') {
            message.headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

/// Reads a request to the last byte of its body.
pub fn read_request(stream: &mut impl BufRead) -> Option<Message> {
    let mut message = read_head(stream)?;
    let length = message.header("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    stream.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// What a client received.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if the connection ended without an answer.
    pub status: u16,
    pub body: Vec<u8>,
    /// True if the answer came to its end: the announced length, or the last chunk.
    pub whole: bool,
    /// Length that the answer announced, if any.
    pub length: Option<usize>,
}

impl Answer {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads an answer. `pace` is called after each read with the number of body bytes read so far.
pub fn read_answer(stream: &mut BufReader<TcpStream>, mut pace: impl FnMut(usize)) -> Answer {
    let mut answer = Answer::default();
    let Some(head) = read_head(stream) else { return answer };
    answer.status = head.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    if head.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let mut line = String::new();
            if !matches!(stream.read_line(&mut line), Ok(n) if n > 0) {
                return answer;
            }
            let Ok(size) = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16) else {
                return answer;
            };
            let mut chunk = vec![0; size + 2];
            if stream.read_exact(&mut chunk).is_err() {
                return answer;
            }
            if size == 0 {
                answer.whole = true;
                return answer;
            }
            answer.body.extend_from_slice(&chunk[..size]);
            pace(answer.body.len());
        }
    }
    let length = head.header("content-length").parse().unwrap_or(0);
    answer.length = Some(length);
    let mut piece = vec![0; 16 << 10];
    while answer.body.len() < length {
        let room = piece.len().min(length - answer.body.len());
        match stream.read(&mut piece[..room]) {
            Ok(read) if read > 0 => answer.body.extend_from_slice(&piece[..read]),
            _ => return answer,
        }
        pace(answer.body.len());
    }
    answer.whole = true;
    answer
}

/// Sends a request on a new connection and reads its answer.
pub fn call(address: SocketAddr, method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> Answer {
    let Ok(mut stream) = TcpStream::connect(address) else { return Answer::default() };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(40)));
    if stream.write_all(request_text(method, path, headers, body).as_bytes()).is_err() {
        return Answer::default();
    }
    read_answer(&mut BufReader::new(stream), |_| {})
}

pub fn request_text(method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> String {
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: origin.svc\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if method == "POST" {
        text += &format!("Content-Type: application/json\r\nContent-Length: {}\r\n", body.len());
    }
    text + "\r\n" + body
}

/// The headers and the body of a chat request, as a client sends them.
pub fn chat_text(id: &str, class: &str, deadline_ms: u64) -> String {
    let deadline = format!("{deadline_ms}m");
    let key = format!("k{id}");
    let headers = [
        ("Req-Id", id),
        ("Req-Kind", class),
        ("Req-Owner", "desk"),
        ("Req-Key", key.as_str()),
        ("Req-Deadline", deadline.as_str()),
        ("Req-Extra", "prompt_len=400,max_out=80"),
    ];
    let body = r#"{"model":"chat","stream":true,"max_tokens":80,"messages":[{"role":"user","content":"Rain in May?"}]}"#;
    request_text("POST", "/v1/chat/completions", &headers, body)
}

/// The agent of discovery beside the gateway.
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<(u64, Vec<Target>)>, Condvar)>,
}

/// One engine in discovery's list.
#[derive(Clone)]
pub struct Target {
    pub uid: String,
    pub endpoint: SocketAddr,
    pub model: String,
    pub state: String,
}

fn target_json(target: &Target) -> String {
    format!(
        r#"{{"uid":"{}","endpoint":"{}","az":"a","model":"{}","pod_group":0,"state":"{}","capacity_hint":1.0,"boot_ms":0}}"#,
        target.uid, target.endpoint, target.model, target.state
    )
}

impl Discovery {
    pub fn start(targets: Vec<Target>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let state = Arc::new((Mutex::new((1, targets)), Condvar::new()));
        let served = state.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = served.clone();
                std::thread::spawn(move || discovery_connection(stream, &state));
            }
        });
        Self { address, state }
    }

    /// The whole list, in the form of the configuration's `known`.
    pub fn list(&self) -> String {
        let state = self.state.0.lock().unwrap();
        whole_list(state.0, &state.1)
    }
}

fn whole_list(rev: u64, targets: &[Target]) -> String {
    let targets: Vec<_> = targets.iter().map(target_json).collect();
    format!(r#"{{"rev":{rev},"all":true,"targets":[{}]}}"#, targets.join(","))
}

fn discovery_connection(stream: TcpStream, state: &(Mutex<(u64, Vec<Target>)>, Condvar)) {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let path = request.first.split(' ').nth(1).unwrap_or("").to_owned();
        let query = |name: &str| {
            let query = path.split_once('?').map_or("", |(_, query)| query);
            query.split('&').find_map(|part| part.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
        };
        let (lock, changed) = state;
        let mut held = lock.lock().unwrap();
        if let Some(index) = query("index") {
            let wait = ms(query("wait").unwrap_or(0));
            held = changed.wait_timeout_while(held, wait, |state| state.0 <= index).unwrap().0;
            if held.0 <= index {
                let body = format!(r#"{{"rev":{},"all":false,"targets":[]}}"#, held.0);
                drop(held);
                if !respond(reader.get_mut(), "200 OK", "application/json", &[], body.as_bytes()) {
                    return;
                }
                continue;
            }
        }
        let body = whole_list(held.0, &held.1);
        drop(held);
        if !respond(reader.get_mut(), "200 OK", "application/json", &[], body.as_bytes()) {
            return;
        }
    }
}

/// Writes a complete response. Returns false if the connection has failed.
pub fn respond(stream: &mut TcpStream, status: &str, kind: &str, headers: &[&str], body: &[u8]) -> bool {
    let mut head = format!("HTTP/1.1 {status}\r\nContent-Type: {kind}\r\nContent-Length: {}\r\n", body.len());
    for header in headers {
        head += &format!("{header}\r\n");
    }
    head += "\r\n";
    let mut text = head.into_bytes();
    text.extend_from_slice(body);
    stream.write_all(&text).is_ok()
}

/// The states that readers hold for requests, by request id.
pub type States = Arc<Mutex<HashSet<String>>>;

/// Starts an engine: each request that has arrived whole is passed to `handle`, on a thread for each
/// connection. `handle` returns false if the connection has to end.
pub fn start_engine(handle: impl Fn(&mut TcpStream, &Message) -> bool + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut reader = BufReader::new(stream);
                while let Some(request) = read_request(&mut reader) {
                    if !handle(reader.get_mut(), &request) {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Handles the calls that every engine knows. Returns `None` for other requests.
pub fn common_call(stream: &mut TcpStream, request: &Message, states: &States) -> Option<bool> {
    let path = request.first.split(' ').nth(1).unwrap_or("");
    if let Some(id) = path.strip_prefix("/state/") {
        if request.first.starts_with("DELETE ") {
            states.lock().unwrap().remove(id);
            return Some(stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").is_ok());
        }
        return Some(respond(stream, "404 Not Found", "text/plain", &[], b""));
    }
    if !request.first.starts_with("POST ") {
        return Some(respond(stream, "404 Not Found", "text/plain", &[], b""));
    }
    None
}

/// Starts a reader, which needs some milliseconds for a prompt.
pub fn start_reader(uid: &'static str, states: States, record: Arc<Record>, read_ms: u64) -> Target {
    let endpoint = start_engine(move |stream, request| {
        if let Some(open) = common_call(stream, request, &states) {
            return open;
        }
        let id = request.header("req-id").to_owned();
        record.line(format!("{uid} reads {id}"));
        std::thread::sleep(ms(read_ms));
        states.lock().unwrap().insert(id);
        respond(stream, "202 Accepted", "application/json", &[], br#"{"cached_tokens":0}"#)
    });
    Target { uid: uid.into(), endpoint, model: "prefill".into(), state: "SERVING".into() }
}

/// Takes the state of a request at a writer. Without one the writer answers 410, and false is returned.
pub fn take_state(stream: &mut TcpStream, id: &str, states: &States) -> bool {
    let taken = states.lock().unwrap().remove(id);
    if !taken {
        respond(stream, "410 Gone", "text/plain", &["Srv-Declined: 1"], b"");
    }
    taken
}

pub const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

pub fn chunk(event: &str) -> String {
    format!("{:x}\r\n{event}\r\n", event.len())
}

pub fn event(text: &str) -> String {
    format!("data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{text}\"}},\"finish_reason\":null}}]}}\n\n")
}

pub fn last_events(tokens: usize) -> [String; 3] {
    [
        "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"\"},\"finish_reason\":\"stop\"}]}\n\n".into(),
        format!("data: {{\"choices\":[],\"usage\":{{\"prompt_tokens\":400,\"completion_tokens\":{tokens},\"prompt_tokens_details\":{{\"cached_tokens\":0}}}}}}\n\n"),
        "data: [DONE]\n\n".into(),
    ]
}

/// A folder that is removed at the end.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn new() -> Self {
        let parent = std::env::var_os("CASE_TMP").map_or_else(std::env::temp_dir, PathBuf::from);
        let nanos = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).map_or(0, |d| d.as_nanos());
        let path = parent.join(format!("meadowlug-review-{}-{nanos}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a temporary folder can be created");
        Self(path)
    }
}

/// A gateway process. It is killed when this is dropped.
pub struct Gateway {
    pub child: Child,
    pub address: SocketAddr,
    pub management: Option<SocketAddr>,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns an address whose port is free at this moment.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port is free")
}

/// What a gateway's configuration says. The rest is fixed: the settings of a small deployment.
pub struct Setup<'a> {
    pub discovery: &'a Discovery,
    pub memory_mb: u64,
    pub resume: bool,
    /// The operator's file for embeddings and rerank, if any.
    pub inference: Option<String>,
    /// Descriptor of the clients' listening socket, which the platform holds, if it does.
    pub inherited_fd: Option<i32>,
}

/// Starts a gateway with the deploy file's command and the given addresses. `TMPDIR` is `tmp`.
pub fn start_gateway(
    setup: &Setup,
    (listen, management): (SocketAddr, SocketAddr),
    folder: &Path,
    tmp: &Path,
    name: &str,
) -> Gateway {
    let config = format!(
        r#"{{"name":"n1","listen":"{listen}","management":"{management}","discovery":"{}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{},"sockets":1024}},"known":{},
"settings":{{"replicasOfMe":1,"me":0,"zone":0,"zones":["a"],"kinds":["prefill","decode"],"membershipMode":"push",
"categories":[
{{"name":"lookup","objectiveMs":1500,"hardLimitMs":7500,"effect":"safe","group":"all","windowMs":5000,"stream":true}},
{{"name":"correction","objectiveMs":2500,"hardLimitMs":12000,"effect":"unsafe","group":"all","windowMs":5000,"stream":true}}],
"projects":[{{"name":"desk","quotaPerS":100,"share":1.0}}],
"permissions":{{"cancelling":true,"connIdleMs":15000,"dialTimeoutMs":250,"maxAttempts":6,"probes":false,"retryAfter":true}},
"rules":{{"coldFrom":0.25,"drainGraceMs":250,"fallMs":1500,"overloadFactor":2.5,"warmAfterMs":13000,"askWithinMs":10000}},
"report":{{"how":"none","fields":[]}},"resolutionMs":4.0,
"extra":{{"roleByKind":["read","write"],"tokensByKind":[234886,155834],"tokenAimMs":[70,80],
"aimUsPer1000PromptTokens":[40000,40000],"letGoByMs":300,"resume":{}}}}}}}"#,
        setup.discovery.address,
        setup.memory_mb,
        setup.discovery.list(),
        setup.resume
    );
    let path = folder.join(format!("{name}.json"));
    std::fs::write(&path, config).expect("the configuration can be written");
    std::fs::create_dir_all(tmp).expect("TMPDIR can be created");
    let log = File::create(folder.join(format!("{name}.log"))).expect("the log can be written");
    let run = std::env::var("RUN").expect("RUN is set by run.sh");
    let mut command = Command::new("/bin/sh");
    command.arg("-c").arg(run).current_dir(std::env::var("ROOT").expect("ROOT is set by run.sh"));
    command.env("BALANCER_CONFIG", &path).env("BALANCER_NAME", "n1").env("TMPDIR", tmp);
    command.env("BALANCER_LISTEN", listen.to_string()).env("MEADOWLUG_LOG", "info");
    command.env_remove("MEADOWLUG_INFERENCE").env_remove("BALANCER_INHERITED_FD");
    if let Some(text) = &setup.inference {
        let path = folder.join("inference.json");
        std::fs::write(&path, text).expect("the operator's file can be written");
        command.env("MEADOWLUG_INFERENCE", path);
    }
    if let Some(number) = setup.inherited_fd {
        command.env("BALANCER_INHERITED_FD", number.to_string());
    }
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
    let child = command.spawn().expect("the gateway can be started");
    Gateway { child, address: listen, management: Some(management) }
}

/// Waits until an address answers 200 to a GET of the path.
pub fn wait_ready(address: SocketAddr, path: &str, limit: Duration) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if call(address, "GET", path, &[("Connection", "close")], "").status == 200 {
            return true;
        }
        std::thread::sleep(ms(10));
    }
    false
}

/// Sends a signal to a process that the case started.
pub fn signal(child: &Child, name: &str) {
    let pid = child.id().to_string();
    let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {pid}")).status();
}

/// Resident memory of a process in bytes, or `None` if it has ended.
pub fn resident_bytes(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.split_whitespace().next()?.parse::<u64>().ok().map(|kilobytes| kilobytes << 10)
}
