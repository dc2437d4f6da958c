//! Case 10: an upgrade is given up, and the old process is restarted later as planned.
#[path = "../common-2.rs"]
mod common;
use common::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

const DEADLINE_MS: u64 = 3000;
/// An answer counts up to half a second after its time.
const LATE_MS: u64 = 500;

fn client(n: usize, gateway: SocketAddr) -> bool {
    let id = format!("r{n:03}");
    let Ok(mut stream) = TcpStream::connect(gateway) else {
        record(&format!("{id}: no connection"));
        return true;
    };
    let class = if n % 2 == 0 { "lookup" } else { "correction" };
    if stream.write_all(&chat_request(&id, class, &format!("k{n}"), DEADLINE_MS, 200)).is_err() {
        record(&format!("{id}: the request could not be written"));
        return true;
    }
    let sent_at = Instant::now();
    record(&format!("{id}: {class} written to an accepted connection"));
    let _ = stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS + LATE_MS + 50)));
    let answer = read_answer(&mut BufReader::new(stream), |_| {});
    let (status, whole) = answer.map_or((0, false), |a| (a.status, a.whole));
    record(&format!("{id}: status {status} whole={whole} after {} ms", sent_at.elapsed().as_millis()));
    whole
}

fn main() {
    let run = begin();
    // The platform holds the clients' listening socket; every process inherits it as descriptor 7.
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let listen = listener.local_addr().expect("an address");
    let_inherit(&listener, 7);
    let writer = serve_requests(|request, stream| match request.method.as_str() {
        "DELETE" => respond(stream, "204 No Content", ""),
        "POST" => {
            sleep_ms(30);
            record(&format!("engine: {} is written", request.id()));
            let text = format!("{STREAM_HEAD}{}{}0\r\n\r\n", chunk(&event("oqvh")), chunk(LAST_EVENTS));
            stream.write_all(text.as_bytes()).is_ok()
        }
        _ => respond(stream, "404 Not Found", "{}"),
    });
    let discovery =
        Discovery::start(vec![target("s-r1", start_reader(20), "prefill"), target("s-w1", writer, "decode")]);
    let shared = scratch("tmp");
    let start = |name: &str| {
        let management = free_address();
        let setup = Setup {
            name: "n1",
            listen,
            management,
            discovery: discovery.address,
            resume: true,
            replicas: 1,
            memory_mb: 192,
        };
        let variables = [("BALANCER_INHERITED_FD", "7".to_owned()), ("TMPDIR", shared.clone())];
        let gateway = start_gateway(name, &configuration(&setup), listen, management, &variables);
        gateway.wait_readiness();
        gateway
    };
    let old = start("old");
    if run.trouble {
        // The new version says yes, and is killed before the old process gets its order.
        let new = start("new");
        sleep_ms(300);
        new.signal(SIGKILL);
        wait_until("the new process is gone", Duration::from_secs(5), || new.has_ended());
    }
    // The old process goes on serving.
    let before = (0..6).map(|n| thread::spawn(move || client(n, listen))).collect::<Vec<_>>();
    let served_before = before.into_iter().filter_map(|c| c.join().ok()).filter(|answered| *answered).count();
    record(&format!("before the planned restart {served_before} of 6 are answered"));
    assert_eq!(served_before, 6, "the old process does not serve before its restart");
    sleep_ms(1000);
    // A planned restart: new connections keep coming for 0.3 s, and the next process starts after SIGKILL is due.
    old.signal(SIGTERM);
    let mut clients = Vec::new();
    for n in 10..20 {
        sleep_ms(30);
        clients.push(thread::spawn(move || client(n, listen)));
    }
    let lost = clients.into_iter().filter_map(|c| c.join().ok()).filter(|answered| !*answered).count();
    record(&format!("the old process has ended: {}", old.has_ended()));
    judge(lost > 0, &format!("{lost} of 10 requests got no answer"));
}
