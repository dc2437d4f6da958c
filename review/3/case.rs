//! Case 3: a planned restart while a slow writer goes on writing its answers.

#[path = "../common.rs"]
mod common;

use common::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

const REQUESTS: usize = 36;
/// Events of an answer, each of three tokens, before the last ones.
const EVENTS: usize = 6;
/// Time between two events: three tokens at 70 ms each, and 8.8 times as much at the slow writer.
const EVENT_MS: u64 = 210;
const SLOW_EVENT_MS: u64 = 1_850;
/// Time from SIGTERM to SIGKILL. The protocol allows no less than 3.7 s.
const KILL_MS: u64 = 20_000;

fn main() {
    let record = Record::open();
    let (code, text) = run(&record);
    record.finish(code, &text)
}

/// Starts a writer that sends an event every `event_ms` milliseconds.
fn start_writer(uid: &'static str, event_ms: u64, states: States, record: Arc<Record>) -> Target {
    let endpoint = start_engine(move |stream, request| {
        if let Some(open) = common_call(stream, request, &states) {
            return open;
        }
        let id = request.header("req-id").to_owned();
        if !take_state(stream, &id, &states) {
            return true;
        }
        std::thread::sleep(ms(event_ms / 10));
        let mut text = STREAM_HEAD.to_owned();
        for n in 0..EVENTS {
            text += &chunk(&event(&format!("{id} part {n}")));
            if stream.write_all(text.as_bytes()).is_err() || closed(stream) {
                record.line(format!("{uid}: the gateway has closed the connection of {id} before event {n}"));
                return false;
            }
            record.line(format!("{uid}: {id} event {n}"));
            text.clear();
            std::thread::sleep(ms(event_ms));
        }
        last_events(3 * EVENTS).iter().for_each(|event| text += &chunk(event));
        let sent = stream.write_all((text + "0\r\n\r\n").as_bytes()).is_ok() && !closed(stream);
        record.line(format!("{uid}: {id} last events, sent={sent}"));
        sent
    });
    Target { uid: uid.into(), endpoint, model: "decode".into(), state: "SERVING".into() }
}

/// Returns true if the other side has closed or reset the connection.
fn closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(n) => n == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}

fn run(record: &Arc<Record>) -> (i32, String) {
    let folder = TempFolder::new();
    let states = States::default();
    let mut targets = vec![
        start_reader("reader-1", states.clone(), record.clone(), 30),
        start_reader("reader-2", states.clone(), record.clone(), 30),
        start_reader("reader-3", states.clone(), record.clone(), 30),
        start_reader("reader-4", states.clone(), record.clone(), 30),
    ];
    for (uid, event_ms) in
        [("writer-1", EVENT_MS), ("writer-2", EVENT_MS), ("writer-3", EVENT_MS), ("writer-slow", SLOW_EVENT_MS)]
    {
        targets.push(start_writer(uid, event_ms, states.clone(), record.clone()));
    }
    let discovery = Discovery::start(targets);
    let setup = Setup { discovery: &discovery, memory_mb: 192, resume: false, inference: None, inherited_fd: None };
    let mut gateway = start_gateway(&setup, (free_address(), free_address()), &folder.0, &folder.0.join("tmp"), "gateway");
    if !wait_ready(gateway.address, "/ready", Duration::from_secs(10)) {
        return (2, "the gateway was not ready within 10 s".into());
    }
    let address = gateway.address;
    let mut clients = Vec::new();
    for n in 0..REQUESTS {
        let record = record.clone();
        clients.push(std::thread::spawn(move || {
            let id = format!("req{n:03}");
            let class = if n % 3 == 0 { "correction" } else { "lookup" };
            let answer = chat(address, &id, class);
            let end = answer.text().contains("[DONE]") && answer.whole;
            record.line(format!("client: {id} ({class}) status {} last chunk={} whole={end}", answer.status, answer.whole));
            (id, answer.status, answer.body.len(), end)
        }));
        std::thread::sleep(ms(55));
    }
    if trouble() {
        record.line("platform: SIGTERM");
        signal(&gateway.child, "TERM");
        let end = std::time::Instant::now() + ms(KILL_MS);
        while std::time::Instant::now() < end {
            if let Ok(Some(status)) = gateway.child.try_wait() {
                record.line(format!("platform: the gateway has ended, {status}"));
                break;
            }
            std::thread::sleep(ms(20));
        }
        if gateway.child.try_wait().ok().flatten().is_none() {
            record.line("platform: SIGKILL");
            let _ = gateway.child.kill();
        }
    }
    let answers: Vec<_> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    drop(gateway);
    let _ = std::fs::remove_dir_all(&folder.0);
    let cut: Vec<_> = answers.iter().filter(|(_, status, _, whole)| *status == 200 && !whole).map(|a| &a.0).collect();
    let silent = answers.iter().filter(|a| a.1 == 0).count();
    let whole = answers.iter().filter(|a| a.3).count();
    let slow = format!("{whole} of {REQUESTS} answers whole, {} cut {cut:?}, {silent} without any answer", cut.len());
    record.line(&slow);
    if cut.is_empty() && silent == 0 { (0, slow) } else { (1, slow) }
}

fn chat(address: SocketAddr, id: &str, class: &str) -> Answer {
    let Ok(mut stream) = TcpStream::connect(address) else { return Answer::default() };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(40)));
    if stream.write_all(chat_text(id, class, 7000).as_bytes()).is_err() {
        return Answer::default();
    }
    read_answer(&mut BufReader::new(stream), |_| {})
}
