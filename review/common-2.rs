//! Helpers of the cases 6 to 10: the record, processes of the gateway, and stand-ins for clients, engines and
//! discovery. Standard library only. Every address is a loopback address.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn dup2(old: i32, new: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn prctl(option: i32, ...) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn connect(socket: i32, address: *const u8, length: u32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// A case stops by itself after this time; it counts as one that couldn't run.
const MAX_CASE_TIME: Duration = Duration::from_secs(112);

pub fn lock<T>(value: &Mutex<T>) -> MutexGuard<'_, T> {
    value.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

pub fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

pub fn sleep_ms(milliseconds: u64) {
    thread::sleep(ms(milliseconds));
}

pub fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// The run of one case: its record, its processes and its temporary folder.
pub struct Run {
    pub trouble: bool,
    pub folder: PathBuf,
    pub start: Instant,
    record: Mutex<File>,
    processes: Mutex<Vec<(String, Child)>>,
}

static RUN: OnceLock<Run> = OnceLock::new();

pub fn run() -> &'static Run {
    RUN.get().expect("the run has begun")
}

/// Begins the run. The only argument is the folder of the case; the current folder is the repository's root.
pub fn begin() -> &'static Run {
    let case_folder = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
    let folder = std::env::temp_dir().join(format!("meadowlug-review-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a temporary folder");
    let file = File::create(case_folder.join("record.txt")).expect("record.txt can be written");
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let new = Run { trouble, folder, start: Instant::now(), record: Mutex::new(file), processes: Mutex::default() };
    assert!(RUN.set(new).is_ok());
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        default_hook(info);
        // Threads of stand-ins may end by a broken connection; only the main thread decides.
        if thread::current().name() == Some("main") {
            end(2, &format!("could not run: {info}"));
        }
    }));
    thread::spawn(|| {
        thread::sleep(MAX_CASE_TIME);
        end(2, "could not run: out of time");
    });
    record(&format!("trouble={trouble}"));
    self::run()
}

/// Writes a line to record.txt, with the time in ms since the run began.
pub fn record(text: &str) {
    let run = run();
    let line = format!("{:9.1} {text}\n", run.start.elapsed().as_secs_f64() * 1e3);
    let _ = lock(&run.record).write_all(line.as_bytes());
}

/// Ends all processes and the run.
pub fn end(code: i32, verdict: &str) -> ! {
    static ENDING: Mutex<()> = Mutex::new(());
    let _only_once = lock(&ENDING);
    for (name, mut process) in lock(&run().processes).drain(..) {
        let _ = process.kill();
        let _ = process.wait();
        copy_log(&name);
    }
    record(&format!("exit={code} {verdict}"));
    println!("{verdict}");
    let _ = fs::remove_dir_all(&run().folder);
    std::process::exit(code)
}

/// Ends the run with its verdict on the rule.
pub fn judge(broken: bool, verdict: &str) -> ! {
    end(i32::from(broken), &format!("{}: {verdict}", if broken { "the rule was broken" } else { "the rule held" }))
}

fn copy_log(name: &str) {
    let log = fs::read_to_string(run().folder.join(format!("{name}.log"))).unwrap_or_default();
    let lines: Vec<_> = log.lines().filter(|line| !line.contains(" debug ")).collect();
    record(&format!("log of {name}, last lines:"));
    for line in &lines[lines.len().saturating_sub(25)..] {
        record(&format!("    {line}"));
    }
}

/// Returns an address with a port that is free at this moment.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port")
}

pub fn wait_until(what: &str, limit: Duration, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + limit;
    while !holds() {
        assert!(Instant::now() < until, "not within {limit:?}: {what}");
        sleep_ms(5);
    }
}

/// The command under the given name in the deploy file.
fn deploy_command(name: &str) -> String {
    let text = fs::read_to_string("deploy/balancer.toml").expect("the deploy file");
    let prefix = format!("{name} = \"");
    let line = text.lines().find(|line| line.starts_with(&prefix)).expect("the command");
    line[prefix.len()..].split('"').next().unwrap_or_default().to_owned()
}

/// A process of the gateway, started with the command of the deploy file.
pub struct Gateway {
    pub name: String,
    pub pid: i32,
    pub listen: SocketAddr,
    pub management: SocketAddr,
}

/// Starts a process of the gateway with a configuration. `variables` are further environment variables.
pub fn start_gateway(
    name: &str,
    config: &str,
    listen: SocketAddr,
    management: SocketAddr,
    variables: &[(&str, String)],
) -> Gateway {
    let folder = &run().folder;
    let config_file = folder.join(format!("{name}.json"));
    fs::write(&config_file, config).expect("the configuration can be written");
    let log = File::create(folder.join(format!("{name}.log"))).expect("the log can be written");
    let mut command = Command::new("/bin/sh");
    command.arg("-c").arg(deploy_command("run")).env("BALANCER_CONFIG", &config_file);
    command.env("MEADOWLUG_LOG", "info").env_remove("MEADOWLUG_INFERENCE").env_remove("BALANCER_INHERITED_FD");
    for (variable, value) in variables {
        command.env(variable, value);
    }
    // The gateway ends with this program, however that ends.
    // SAFETY: the call takes integers only (PR_SET_PDEATHSIG) and is allowed between fork and exec.
    unsafe { command.pre_exec(|| Ok(_ = prctl(1, SIGKILL as u64))) };
    let log_copy = log.try_clone().expect("the log can be shared");
    let process = command.stdin(Stdio::null()).stdout(log_copy).stderr(log).spawn().expect("the gateway starts");
    let pid = process.id() as i32;
    lock(&run().processes).push((name.to_owned(), process));
    record(&format!("gateway {name} started"));
    Gateway { name: name.to_owned(), pid, listen, management }
}

impl Gateway {
    pub fn signal(&self, signal: i32) {
        record(&format!("signal {signal} to gateway {}", self.name));
        // SAFETY: the call takes integers only; the process is a child that was not waited for.
        unsafe { kill(self.pid, signal) };
    }

    /// Returns true once the process has ended.
    pub fn has_ended(&self) -> bool {
        let mut processes = lock(&run().processes);
        let Some((_, process)) = processes.iter_mut().find(|(name, _)| *name == self.name) else { return true };
        process.try_wait().ok().flatten().is_some()
    }

    pub fn wait_ready(&self) {
        wait_until("the gateway is ready", Duration::from_secs(20), || {
            get(self.listen, "/ready").is_some_and(|answer| answer.status == 200)
        });
        record(&format!("gateway {} is ready", self.name));
    }

    /// Waits until the operators' address says that this process takes clients.
    pub fn wait_readiness(&self) {
        wait_until("the process takes clients", Duration::from_secs(20), || {
            get(self.management, "/ops/readiness").is_some_and(|answer| answer.status == 200)
        });
        record(&format!("gateway {} says yes to /ops/readiness", self.name));
    }
}

/// Has all processes that are started from now on inherit the socket under this number.
pub fn let_inherit(listener: &TcpListener, number: i32) {
    // SAFETY: the call takes integers only; the number is not in use in this process.
    assert!(unsafe { dup2(listener.as_raw_fd(), number) } == number, "the socket can be passed on");
}

/// Connects a client as over an ordinary network: with segments of 1,400 bytes (on the loopback device a
/// segment has 64 KiB, and the system would take megabytes for a client that hasn't read anything) and a
/// receive buffer of the given size.
pub fn connect_as_over_ethernet(address: SocketAddr, receive_buffer: i32) -> TcpStream {
    use std::os::fd::FromRawFd;
    let SocketAddr::V4(v4) = address else { panic!("an address of version 4") };
    let mut name = [0; 16]; // struct sockaddr_in
    name[..2].copy_from_slice(&2u16.to_ne_bytes());
    name[2..4].copy_from_slice(&v4.port().to_be_bytes());
    name[4..8].copy_from_slice(&v4.ip().octets());
    // SAFETY: the socket is new and owned by the stream from here on; the pointer refers to 16 bytes.
    unsafe {
        let number = socket(2, 1, 0);
        assert!(number >= 0, "a socket");
        let stream = TcpStream::from_raw_fd(number);
        set_option(&stream, 6, 2, 1400); // TCP_MAXSEG
        set_option(&stream, 1, 8, receive_buffer); // SO_RCVBUF
        assert!(connect(number, name.as_ptr(), 16) == 0, "the gateway accepts the connection");
        stream
    }
}

pub fn set_option(socket: &impl AsRawFd, level: i32, name: i32, value: i32) {
    // SAFETY: the pointer refers to an integer of the given length.
    unsafe { setsockopt(socket.as_raw_fd(), level, name, &raw const value, 4) };
}

// ---------------------------------------------------------------------------------------------- messages

/// A request as a stand-in has received it.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn id(&self) -> String {
        self.headers.get("req-id").cloned().unwrap_or_default()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, BTreeMap<String, String>)> {
    let mut line = || {
        let mut text = String::new();
        (reader.read_line(&mut text).ok()? > 0).then(|| text.trim_end().to_owned())
    };
    let first = line()?;
    let mut headers = BTreeMap::new();
    loop {
        let text = line()?;
        if text.is_empty() {
            return Some((first, headers));
        }
        if let Some((name, value)) = text.split_once(':') {
            headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

pub fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ').map(str::to_owned);
    let length = headers.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Request { method: words.next()?, path: words.next()?, headers, body })
}

/// An answer as a client has received it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// True if the answer came to its end: all of its length, or its last chunk.
    pub whole: bool,
    /// True if the gateway closes the connection after it.
    pub closes: bool,
}

impl Answer {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads one answer; `None` if the connection ends before its head is whole. `pace` is called with the number
/// of bytes after each piece of the body.
pub fn read_answer(reader: &mut impl BufRead, mut pace: impl FnMut(usize)) -> Option<Answer> {
    let (first, headers) = read_head(reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let closes = headers.get("connection").is_some_and(|c| c.eq_ignore_ascii_case("close"));
    let mut answer = Answer { status, headers, body: Vec::new(), whole: false, closes };
    let mut piece = vec![0; 16 << 10];
    if answer.headers.get("transfer-encoding").is_some_and(|e| e.contains("chunked")) {
        loop {
            let mut size = String::new();
            if reader.read_line(&mut size).unwrap_or(0) == 0 {
                return Some(answer);
            }
            let Ok(mut left) = usize::from_str_radix(size.trim(), 16) else { return Some(answer) };
            let last = left == 0;
            left += 2;
            while left > 0 {
                let most = left.min(piece.len());
                match reader.read(&mut piece[..most]) {
                    Ok(count) if count > 0 => {
                        answer.body.extend_from_slice(&piece[..count]);
                        left -= count;
                        pace(count);
                    }
                    _ => return Some(answer),
                }
            }
            answer.body.truncate(answer.body.len() - 2);
            if last {
                answer.whole = true;
                return Some(answer);
            }
        }
    }
    let length: usize = answer.headers.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    while answer.body.len() < length {
        let most = (length - answer.body.len()).min(piece.len());
        match reader.read(&mut piece[..most]) {
            Ok(count) if count > 0 => {
                answer.body.extend_from_slice(&piece[..count]);
                pace(count);
            }
            _ => return Some(answer),
        }
    }
    answer.whole = true;
    Some(answer)
}

pub fn get(address: SocketAddr, path: &str) -> Option<Answer> {
    call(address, "GET", path)
}

/// One call without a body on a connection of its own.
pub fn call(address: SocketAddr, method: &str, path: &str) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, ms(1000)).ok()?;
    stream.set_read_timeout(Some(ms(2000))).ok()?;
    let text = format!("{method} {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    stream.write_all(text.as_bytes()).ok()?;
    read_answer(&mut BufReader::new(stream), |_| {})
}

/// The bytes of a chat request in the form of the protocol page.
pub fn chat_request(id: &str, class: &str, key: &str, deadline_ms: u64, prompt_tokens: usize) -> Vec<u8> {
    let text = "word".repeat(prompt_tokens);
    let body = format!(
        "{{\"model\":\"chat\",\"stream\":true,\"max_tokens\":800,\"messages\":[{{\"role\":\"user\",\"content\":\"{id} {text}\"}}]}}"
    );
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {id}\r\nReq-Kind: {class}\r\n\
         Req-Owner: insurance-desk\r\nReq-Key: {key}\r\nReq-Deadline: {deadline_ms}m\r\n\
         Req-Extra: prompt_len={prompt_tokens},prefix_len=0,max_out=800\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    [head.into_bytes(), body.into_bytes()].concat()
}

// ---------------------------------------------------------------------------------------------- stand-ins

/// Listens at a free port and serves each connection by the given function in a thread of its own.
pub fn serve(serve_connection: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    serve_on(listener, serve_connection);
    address
}

pub fn serve_on(listener: TcpListener, serve_connection: impl Fn(TcpStream) + Send + Sync + 'static) {
    let serve_connection = Arc::new(serve_connection);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let serve_connection = serve_connection.clone();
            thread::spawn(move || serve_connection(stream));
        }
    });
}

/// Serves the requests of each connection one after the other, until `answer` returns false.
pub fn serve_requests(answer: impl Fn(&Request, &mut TcpStream) -> bool + Send + Sync + 'static) -> SocketAddr {
    serve(move |stream| {
        let mut writer = stream.try_clone().expect("the socket can be shared");
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            if !answer(&request, &mut writer) {
                return;
            }
        }
    })
}

pub fn respond(stream: &mut TcpStream, status: &str, body: &str) -> bool {
    let text = if status.starts_with("204") {
        format!("HTTP/1.1 {status}\r\n\r\n")
    } else {
        format!("HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}", body.len())
    };
    stream.write_all(text.as_bytes()).is_ok()
}

pub const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

pub fn event(content: &str) -> String {
    format!("data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{content}\"}},\"finish_reason\":null}}]}}\n\n")
}

pub const LAST_EVENTS: &str = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"\"},\"finish_reason\":\"stop\"}]}\n\n\
    data: {\"choices\":[],\"usage\":{\"prompt_tokens\":100,\"completion_tokens\":20,\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\n\
    data: [DONE]\n\n";

/// A reader that has read each prompt after the given time.
pub fn start_reader(read_ms: u64) -> SocketAddr {
    serve_requests(move |request, stream| match request.method.as_str() {
        "DELETE" => respond(stream, "204 No Content", ""),
        "POST" if request.path.starts_with("/v1/") => {
            sleep_ms(read_ms);
            respond(stream, "202 Accepted", "{\"cached_tokens\":0}")
        }
        _ => respond(stream, "404 Not Found", "{}"),
    })
}

/// An engine as discovery lists it.
#[derive(Clone, Debug)]
pub struct Target {
    pub uid: String,
    pub endpoint: SocketAddr,
    pub zone: &'static str,
    pub model: &'static str,
    pub state: &'static str,
    pub boot_ms: u64,
}

pub fn target(uid: &str, endpoint: SocketAddr, model: &'static str) -> Target {
    Target { uid: uid.into(), endpoint, zone: "derby-road", model, state: "SERVING", boot_ms: 0 }
}

fn list_text(revision: u64, all: bool, targets: &[Target]) -> String {
    let mut text = format!("{{\"rev\":{revision},\"all\":{all},\"targets\":[");
    for (n, t) in targets.iter().enumerate() {
        let comma = if n > 0 { "," } else { "" };
        let _ = write!(
            text,
            "{comma}{{\"uid\":\"{}\",\"endpoint\":\"{}\",\"az\":\"{}\",\"model\":\"{}\",\"pod_group\":1,\
             \"state\":\"{}\",\"capacity_hint\":1.0,\"boot_ms\":{}}}",
            t.uid, t.endpoint, t.zone, t.model, t.state, t.boot_ms
        );
    }
    text + "]}"
}

/// The discovery agent of a gateway. It answers at once with what it has been sent.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    list: Arc<(Mutex<(u64, Vec<Target>)>, Condvar)>,
}

impl Discovery {
    pub fn start(targets: Vec<Target>) -> Self {
        let list = Arc::new((Mutex::new((41, targets)), Condvar::new()));
        let served = list.clone();
        let address = serve_requests(move |request, stream| {
            let number = |name: &str| {
                let query = request.path.split_once('?').map_or("", |(_, query)| query);
                query.split('&').find_map(|part| part.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
            };
            let (state, changed) = &*served;
            let mut state = lock(state);
            if let Some(known) = number("index") {
                let until = Instant::now() + ms(number("wait").unwrap_or(0));
                while state.0 <= known {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        let text = list_text(state.0, false, &[]);
                        drop(state);
                        return respond(stream, "200 OK", &text);
                    }
                    state = changed.wait_timeout(state, left).unwrap_or_else(|p| p.into_inner()).0;
                }
            }
            let text = list_text(state.0, true, &state.1);
            drop(state);
            respond(stream, "200 OK", &text)
        });
        Self { address, list }
    }

    /// Replaces the list.
    pub fn change(&self, edit: impl FnOnce(&mut Vec<Target>)) {
        let (state, changed) = &*self.list;
        let mut state = lock(state);
        edit(&mut state.1);
        state.0 += 1;
        changed.notify_all();
    }
}

/// What differs between the configurations of the cases.
pub struct Setup<'a> {
    pub name: &'a str,
    pub listen: SocketAddr,
    pub management: SocketAddr,
    pub discovery: SocketAddr,
    /// True if clients ask for the rest of a stream that broke.
    pub resume: bool,
    pub replicas: u32,
    pub memory_mb: u32,
}

/// A configuration with settings like those of the deployment in the wire page.
pub fn configuration(setup: &Setup) -> String {
    let Setup { name, listen, management, discovery, resume, replicas, memory_mb } = setup;
    format!(
        r#"{{"name":"{name}","listen":"{listen}","management":"{management}","discovery":"{discovery}",
"seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":1024}},
"settings":{{"me":0,"replicasOfMe":{replicas},"zone":0,"zones":["derby-road","canal-yard","mill-lane"],
"kinds":["prefill","decode"],"membershipMode":"push","workload":"twostage","weightSource":"nominal","worthBy":"work",
"categories":[
{{"name":"lookup","effect":"safe","group":"all","windowMs":5000.0,"objectiveMs":1500.0,"hardLimitMs":7500.0,"lateWorth":0.3,"stream":true,"worth":1.0}},
{{"name":"correction","effect":"unsafe","group":"all","windowMs":5000.0,"objectiveMs":2500.0,"hardLimitMs":12000.0,"lateWorth":0.1,"stream":true,"worth":2.0}}],
"callers":{{"marksRetry":false}},
"projects":[{{"name":"insurance-desk","quotaPerS":15.0,"share":0.71}},{{"name":"archive-desk","quotaPerS":4.0,"share":0.19}},{{"name":"council-desk","quotaPerS":2.0,"share":0.1}}],
"permissions":{{"cancelling":true,"connIdleMs":15000.0,"dialTimeoutMs":250.0,"maxAttempts":6,"maxOpen":23341,"maxRetryAfterMs":1000.0,"maxStreams":1,"probes":false,"retryAfter":true,"secondCopies":false}},
"report":{{"fields":[],"how":"none"}},"resolutionMs":4.0,
"rules":{{"askWithinMs":10000.0,"coldFrom":0.25,"drainGraceMs":250.0,"fallMs":1500.0,"graceToAnswerMs":16.0,"overloadFactor":2.5,"warmAfterMs":13000.0}},
"extra":{{"aimUsPer1000PromptTokens":[40000.0,40000.0],"letGoByMs":300.0,"mayReserve":false,"readInPlace":false,"resume":{resume},"roleByKind":["read","write"],"tokenAimMs":[70.0,80.0],"tokensByKind":[234886,155834]}}}}}}"#
    )
}

/// Starts a gateway in front of the engines that discovery lists, and waits until it is ready.
pub fn start_simple(name: &str, discovery: &Discovery, resume: bool, variables: &[(&str, String)]) -> Gateway {
    let (listen, management) = (free_address(), free_address());
    let setup = Setup { name, listen, management, discovery: discovery.address, resume, replicas: 1, memory_mb: 192 };
    let gateway = start_gateway(name, &configuration(&setup), listen, management, variables);
    gateway.wait_ready();
    gateway
}

/// A folder of its own for a process to write in.
pub fn scratch(name: &str) -> String {
    let folder = run().folder.join(name);
    fs::create_dir_all(&folder).expect("a folder");
    folder.display().to_string()
}

pub fn exists(path: &str) -> bool {
    Path::new(path).exists()
}
