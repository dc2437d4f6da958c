//! Case 1: bad clients that send hundreds of requests at once and keep their connection, and the limit on memory.

#[path = "../common.rs"]
mod common;

use common::*;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const MEMORY_MB: u64 = 192;
/// Bad clients, and the time between two of them.
const BAD_CLIENTS: usize = 100;
const CLIENT_INTERVAL_MS: u64 = 80;
/// Requests of a nonexistent class that each of them sends behind a usual one, and the length of their bodies.
const BAD_REQUESTS: usize = 300;
const BODY_BYTES: usize = 8_000;

fn main() {
    let record = Record::open();
    let (code, text) = run(&record);
    record.finish(code, &text)
}

fn start_engines(record: &Arc<Record>) -> Vec<Target> {
    let states = States::default();
    let mut targets = vec![
        start_reader("reader-1", states.clone(), record.clone(), 40),
        start_reader("reader-2", states.clone(), record.clone(), 40),
    ];
    for uid in ["writer-1", "writer-2"] {
        let states = states.clone();
        let endpoint = start_engine(move |stream, request| {
            if let Some(open) = common_call(stream, request, &states) {
                return open;
            }
            if !take_state(stream, request.header("req-id"), &states) {
                return true;
            }
            let mut text = STREAM_HEAD.to_owned() + &chunk(&event("It rained."));
            last_events(4).iter().for_each(|event| text += &chunk(event));
            stream.write_all((text + "0\r\n\r\n").as_bytes()).is_ok()
        });
        targets.push(Target { uid: uid.into(), endpoint, model: "decode".into(), state: "SERVING".into() });
    }
    targets
}

/// A request of a class that does not exist.
fn bad_request(client: usize, n: usize) -> String {
    let body = format!(r#"{{"model":"chat","stream":true,"messages":[{{"role":"user","content":"{}"}}]}}"#, "x".repeat(BODY_BYTES));
    let id = format!("bad{client:03}x{n:03}");
    let headers = [("Req-Id", id.as_str()), ("Req-Kind", "poem"), ("Req-Owner", "desk"), ("Req-Deadline", "5000m")];
    request_text("POST", "/v1/chat/completions", &headers, &body)
}

/// Sends one usual request and `BAD_REQUESTS` bad ones, with trouble all at once, else each after the answer to the one
/// before it. Reads all answers and returns their number by status, and the connection.
fn bad_client(address: SocketAddr, client: usize) -> (BTreeMap<u16, usize>, Option<BufReader<TcpStream>>) {
    let mut statuses = BTreeMap::new();
    let Ok(mut stream) = TcpStream::connect(address) else { return (statuses, None) };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
    let Ok(reading) = stream.try_clone() else { return (statuses, None) };
    let mut reader = BufReader::new(reading);
    let first = chat_text(&format!("first{client:03}"), "lookup", 5000);
    let requests = (0..BAD_REQUESTS).map(|n| bad_request(client, n));
    let mut texts: Vec<_> = std::iter::once(first).chain(requests).collect();
    if trouble() {
        texts = vec![texts.concat()];
    }
    let answers_each = if trouble() { BAD_REQUESTS + 1 } else { 1 };
    for text in texts {
        let mut writing = match stream.try_clone() {
            Ok(writing) => writing,
            Err(_) => break,
        };
        let writer = std::thread::spawn(move || drop(writing.write_all(text.as_bytes())));
        for _ in 0..answers_each {
            let answer = read_answer(&mut reader, |_| {});
            *statuses.entry(answer.status).or_default() += 1;
            if answer.status == 0 {
                let _ = stream.shutdown(std::net::Shutdown::Both);
                break;
            }
        }
        let _ = writer.join();
        let _ = stream.flush();
    }
    (statuses, Some(reader))
}

fn usual_request(address: SocketAddr, id: &str) -> Answer {
    let Ok(mut stream) = TcpStream::connect(address) else { return Answer::default() };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
    if stream.write_all(chat_text(id, "lookup", 5000).as_bytes()).is_err() {
        return Answer::default();
    }
    read_answer(&mut BufReader::new(stream), |_| {})
}

fn run(record: &Arc<Record>) -> (i32, String) {
    let folder = TempFolder::new();
    let discovery = Discovery::start(start_engines(record));
    let setup = Setup { discovery: &discovery, memory_mb: MEMORY_MB, resume: true, inference: None, inherited_fd: None };
    let gateway = start_gateway(&setup, (free_address(), free_address()), &folder.0, &folder.0.join("tmp"), "gateway");
    if !wait_ready(gateway.address, "/ready", Duration::from_secs(10)) {
        return (2, "the gateway was not ready within 10 s".into());
    }
    let (pid, address) = (gateway.child.id(), gateway.address);
    let (killed, ended, peak) = (Arc::<AtomicBool>::default(), Arc::<AtomicBool>::default(), Arc::<AtomicU64>::default());
    let gateway = Arc::new(Mutex::new(gateway));

    // The platform: over `memory_mb` the gateway is killed.
    let platform = {
        let (killed, ended, peak, record, gateway) = (killed.clone(), ended.clone(), peak.clone(), record.clone(), gateway.clone());
        std::thread::spawn(move || {
            let mut next_line = Instant::now();
            while !ended.load(Ordering::SeqCst) {
                let bytes = resident_bytes(pid).unwrap_or(0);
                peak.fetch_max(bytes, Ordering::SeqCst);
                if Instant::now() >= next_line && !killed.load(Ordering::SeqCst) {
                    record.line(format!("platform: the gateway holds {} MB", bytes >> 20));
                    next_line += ms(500);
                }
                if bytes > MEMORY_MB << 20 && !killed.swap(true, Ordering::SeqCst) {
                    record.line(format!("platform: {} MB are over {MEMORY_MB} MB, the gateway is killed", bytes >> 20));
                    let _ = gateway.lock().unwrap().child.kill();
                }
                std::thread::sleep(ms(20));
            }
        })
    };

    // The usual clients, one request after the other.
    let usual = {
        let (ended, record) = (ended.clone(), record.clone());
        std::thread::spawn(move || {
            let (mut served, mut unanswered) = (0, 0);
            for n in 0.. {
                if ended.load(Ordering::SeqCst) {
                    break;
                }
                let answer = usual_request(address, &format!("usual{n:04}"));
                if answer.status == 200 && answer.whole {
                    served += 1;
                } else {
                    record.line(format!("usual client: usual{n:04} got status {} whole={}", answer.status, answer.whole));
                    unanswered += usize::from(answer.status == 0);
                }
                std::thread::sleep(ms(150));
            }
            (served, unanswered)
        })
    };

    let mut clients = Vec::new();
    for n in 0..BAD_CLIENTS {
        if killed.load(Ordering::SeqCst) {
            break;
        }
        let record = record.clone();
        clients.push(std::thread::spawn(move || {
            let (statuses, connection) = bad_client(address, n);
            record.line(format!("bad client {n}: answers by status {statuses:?}, keeps its connection"));
            connection
        }));
        std::thread::sleep(ms(CLIENT_INTERVAL_MS));
    }
    std::thread::sleep(ms(1000));
    let kept: Vec<_> = clients.into_iter().filter_map(|client| client.join().ok().flatten()).collect();
    ended.store(true, Ordering::SeqCst);
    let _ = platform.join();
    let (served, unanswered) = usual.join().unwrap_or_default();
    let connections = kept.len();
    drop(kept);
    let peak = peak.load(Ordering::SeqCst) >> 20;
    let exited = gateway.lock().unwrap().child.try_wait().ok().flatten().is_some();
    let _ = std::fs::remove_dir_all(&folder.0);
    let figures = format!("peak {peak} MB, {connections} connections of bad clients, usual clients: {served} served, {unanswered} without an answer");
    if killed.load(Ordering::SeqCst) || exited {
        return (1, format!("the gateway went over {MEMORY_MB} MB and was killed; {figures}"));
    }
    (0, format!("the gateway stayed under {MEMORY_MB} MB; {figures}"))
}
