//! Case 6: one bad client sends hundreds of requests at once while usual clients send theirs in pieces.
#[path = "../common-2.rs"]
mod common;
use common::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Limits are 32 to 192 MB, depending on the day.
const MEMORY_MB: u32 = 64;
/// Requests that the bad client sends at once.
const AT_ONCE: usize = 400;
const BAD_PROMPT_TOKENS: usize = 1000;
/// Prompt of a usual client: a correction begins with 3,900 to 7,900 shared tokens.
const PROMPT_TOKENS: usize = 6000;
/// Pause of a usual client between the two pieces of its request.
const PAUSE_MS: u64 = 300;
const CLIENTS: usize = 40;
const DEADLINE_MS: u64 = 6000;

/// Has one short request served, then sends another in two pieces on the same connection. Returns what the
/// client sees of the second one.
fn usual_client(n: usize, gateway: SocketAddr) -> &'static str {
    let id = format!("usual{n:03}");
    let Ok(stream) = TcpStream::connect(gateway) else { return "no connection" };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS + 550)));
    let mut reader = BufReader::new(stream);
    let first = chat_request(&format!("{id}-first"), "lookup", &format!("k{n}"), DEADLINE_MS, 50);
    let written = reader.get_mut().write_all(&first);
    if written.is_err() || read_answer(&mut reader, |_| {}).is_none_or(|a| a.status != 200 || a.closes) {
        return "no first answer";
    }
    let request = chat_request(&id, "correction", &format!("k{n}"), DEADLINE_MS, PROMPT_TOKENS);
    let body_at = request.windows(4).position(|w| w == b"\r\n\r\n").expect("a head") + 4;
    let head = reader.get_mut().write_all(&request[..body_at]);
    sleep_ms(PAUSE_MS);
    let body = reader.get_mut().write_all(&request[body_at..]);
    let written = head.is_ok() && body.is_ok();
    record(&format!("{id}: the last byte of the request is written: {written}"));
    let sent_at = Instant::now();
    let answer = read_answer(&mut reader, |_| {});
    let seen = match &answer {
        _ if !written => "not taken",
        Some(answer) if answer.status == 200 && answer.whole && answer.text().contains(&id) => "served",
        Some(answer) if answer.status == 429 || answer.status == 503 => "refused",
        Some(answer) if answer.status >= 400 => "failed",
        Some(_) => "broken off",
        None => "closed without an answer",
    };
    let status = answer.map_or(0, |a| a.status);
    record(&format!("{id}: {seen}, status {status}, {} ms after its last byte", sent_at.elapsed().as_millis()));
    seen
}

fn bad_client(gateway: SocketAddr) {
    let Ok(mut stream) = TcpStream::connect(gateway) else { return };
    let request = |n| chat_request(&format!("bad{n:04}"), "lookup", &format!("b{n}"), 6000, BAD_PROMPT_TOKENS);
    let requests: Vec<u8> = (0..AT_ONCE).flat_map(request).collect();
    record(&format!("bad client: {AT_ONCE} requests at once, {} bytes", requests.len()));
    let _ = stream.set_write_timeout(Some(Duration::from_millis(1500)));
    let written = stream.write_all(&requests).is_ok();
    sleep_ms(1000);
    record(&format!("bad client: leaves, all was written: {written}"));
}

fn main() {
    let run = begin();
    let writer = serve_requests(|request, stream| match request.method.as_str() {
        "DELETE" => respond(stream, "204 No Content", ""),
        "POST" => {
            sleep_ms(50);
            record(&format!("engine: writes {}", request.id()));
            let text = format!("{STREAM_HEAD}{}{}0\r\n\r\n", chunk(&event(&request.id())), chunk(LAST_EVENTS));
            stream.write_all(text.as_bytes()).is_ok()
        }
        _ => respond(stream, "404 Not Found", "{}"),
    });
    let readers = (0..4).map(|n| target(&format!("s-r{n}"), start_reader(200), "prefill"));
    let writers = (0..2).map(|n| target(&format!("s-w{n}"), writer, "decode"));
    let discovery = Discovery::start(readers.chain(writers).collect());
    let (listen, management) = (free_address(), free_address());
    let setup = Setup {
        name: "n1",
        listen,
        management,
        discovery: discovery.address,
        resume: true,
        replicas: 1,
        memory_mb: MEMORY_MB,
    };
    start_gateway("n1", &configuration(&setup), listen, management, &[]).wait_ready();
    let mut clients = Vec::new();
    let mut bad = None;
    for n in 0..CLIENTS {
        if n == CLIENTS / 2 && run.trouble {
            bad = Some(thread::spawn(move || bad_client(listen)));
        }
        clients.push(thread::spawn(move || usual_client(n, listen)));
        sleep_ms(50);
    }
    let seen: Vec<_> = clients.into_iter().map(|client| client.join().expect("the client has ended")).collect();
    if let Some(bad) = bad {
        let _ = bad.join();
    }
    let count = |what: &str| seen.iter().filter(|s| **s == what).count();
    let lost = count("closed without an answer") + count("broken off");
    judge(lost > 0, &format!("{lost} of {CLIENTS} requests of usual clients were lost, {} served", count("served")))
}
