//! Upgrades of a gateway with real processes that share the clients' socket: the old process serves beside the new
//! one and is then asked to stop. Whatever becomes of the new process, no client may be left without an answer.

mod loopback;
use loopback::{Daemon, Discovery, Engine, chat, run_local, send_request, wait_until};
use rstest::rstest;
use rustix::io::{FdFlags, fcntl_setfd};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;
use tokio::task::spawn_local;

/// Time between the start of two clients.
const CLIENT_INTERVAL: Duration = Duration::from_millis(20);
/// Number of clients that arrive after the order to stop: new connections keep coming for 0.2 to 0.4 s.
const CLIENTS: usize = 15;
/// Maximum time until a client has its answer. The deadline of a request is 3 s.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(3_500);

/// Returns an operators' address that only one process uses. Its port lies outside the range from which the system
/// assigns ports: a port that was merely free could be assigned again before the process listens.
fn operators_address() -> SocketAddr {
    static NEXT_PROCESS: AtomicU8 = AtomicU8::new(1);
    let run_octet = (std::process::id() % 250) as u8;
    SocketAddr::from(([127, 79, run_octet, NEXT_PROCESS.fetch_add(1, Ordering::Relaxed)], 9001))
}

/// A gateway process, which is killed when this is dropped.
struct GatewayProcess {
    child: Child,
    management: SocketAddr,
}

impl GatewayProcess {
    /// Starts a process that inherits the clients' listening socket.
    fn start(listener: &std::net::TcpListener, discovery: &Discovery, folder: &Path) -> Self {
        let management = operators_address();
        let mut settings = Daemon::settings();
        for class in 0..2 {
            settings["categories"][class]["hardLimitMs"] = json!(3_000);
        }
        let listen = listener.local_addr().expect("the listener has an address").to_string();
        let config = json!({
            "name": "n0", "listen": listen, "management": management.to_string(), "seed": "5", "known": null,
            "discovery": discovery.address.to_string(), "limits": {}, "settings": settings,
        });
        let path = folder.join(format!("config-{}.json", management.ip()));
        std::fs::write(&path, config.to_string()).expect("the file can be written");
        let child = Command::new(env!("CARGO_BIN_EXE_meadowlug"))
            .env("BALANCER_CONFIG", path)
            .env("BALANCER_INHERITED_FD", listener.as_raw_fd().to_string())
            .env("TMPDIR", folder)
            .env("MEADOWLUG_LOG", "error")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .spawn()
            .expect("the gateway process can be spawned");
        Self { child, management }
    }

    async fn wait_ready(&self) {
        wait_until("the process accepts clients", async || {
            tokio::net::TcpStream::connect(self.management).await.is_ok()
                && send_request(self.management, "GET", "/ops/readiness", &[], "").await.status == 200
        })
        .await;
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("the process exists");
    }

    async fn wait_until_ended(&mut self) {
        wait_until("the process has ended", async || {
            self.child.try_wait().expect("the exit status can be read").is_some()
        })
        .await;
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        // The process may have ended before; nothing is left to do then.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A gateway whose old process serves, with what it needs.
struct Fixture {
    listener: std::net::TcpListener,
    address: SocketAddr,
    discovery: Discovery,
    folder: tempfile::TempDir,
    #[allow(dead_code)] // must live as long as the processes
    engines: [Engine; 2],
}

impl Fixture {
    async fn start() -> (Self, GatewayProcess) {
        let engines = [Engine::start("r1", "reader").await, Engine::start("w1", "writer").await];
        let discovery = Discovery::start(&[&engines[0], &engines[1]]).await;
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
        fcntl_setfd(&listener, FdFlags::empty()).expect("child processes may inherit the socket");
        let address = listener.local_addr().expect("the listener has an address");
        let folder = tempfile::tempdir().expect("a temporary directory can be created");
        let fixture = Self { listener, address, discovery, folder, engines };
        let old = fixture.start_process();
        old.wait_ready().await;
        (fixture, old)
    }

    fn start_process(&self) -> GatewayProcess {
        GatewayProcess::start(&self.listener, &self.discovery, self.folder.path())
    }

    /// Starts a process and waits until it accepts clients.
    async fn start_ready_process(&self) -> GatewayProcess {
        let process = self.start_process();
        process.wait_ready().await;
        process
    }

    /// Has clients send a request each on new connections, and fails the test if one is not answered in time.
    async fn assert_clients_are_answered(&self, label: &str) {
        let mut clients = Vec::new();
        for n in 0..CLIENTS {
            let (address, id) = (self.address, format!("{label}{n}"));
            clients.push(spawn_local(async move {
                tokio::time::timeout(MAX_ANSWER_TIME, chat(address, &id, "lookup", 3_000)).await
            }));
            tokio::time::sleep(CLIENT_INTERVAL).await;
        }
        let mut unanswered = 0;
        for client in clients {
            let answered = matches!(client.await, Ok(Ok(answer)) if answer.complete && answer.status == 200);
            unanswered += usize::from(!answered);
        }
        assert_eq!(unanswered, 0, "{label}: clients without an answer, of {CLIENTS}");
    }
}

/// What becomes of the new process before the old one is asked to stop.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Failure {
    KilledAtStart,
    KilledWhenReady,
    KilledLater,
    Stopped,
    Hangs,
}

// An upgrade that had failed left its mark behind. The old process went on serving, but took itself for superseded
// at its next planned restart, and left all new connections to a process that had ended.
#[rstest]
#[tokio::test]
async fn old_process_serves_to_its_end_after_an_upgrade_that_failed(
    #[values(
        Failure::KilledAtStart,
        Failure::KilledWhenReady,
        Failure::KilledLater,
        Failure::Stopped,
        Failure::Hangs
    )]
    failure: Failure,
) {
    run_local(async {
        let (fixture, old) = Fixture::start().await;
        let mut new = fixture.start_process();
        if failure != Failure::KilledAtStart {
            new.wait_ready().await;
        }
        if failure == Failure::KilledLater {
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        match failure {
            Failure::Stopped => new.signal(Signal::TERM),
            Failure::Hangs => new.signal(Signal::STOP),
            _ => new.signal(Signal::KILL),
        }
        if failure != Failure::Hangs {
            new.wait_until_ended().await;
            fixture.assert_clients_are_answered("before").await;
        }
        old.signal(Signal::TERM);
        fixture.assert_clients_are_answered("after").await;
    })
    .await;
}

// The old process closed its listener as soon as it was asked to stop. If the new process failed right then, nobody
// accepted clients although the old process still ran.
#[rstest]
#[case::killed(Signal::KILL)]
#[case::stopped(Signal::TERM)]
#[case::hangs(Signal::STOP)]
#[tokio::test]
async fn stopping_process_accepts_clients_again_if_its_successor_fails(#[case] signal: Signal) {
    run_local(async {
        let (fixture, old) = Fixture::start().await;
        let new = fixture.start_ready_process().await;
        old.signal(Signal::TERM);
        tokio::time::sleep(Duration::from_millis(100)).await;
        new.signal(signal);
        fixture.assert_clients_are_answered("after").await;
    })
    .await;
}

// The usual upgrade, twice in a row: clients that come meanwhile are answered, and the old process ends.
#[tokio::test]
async fn clients_are_answered_during_upgrades() {
    run_local(async {
        let (fixture, mut old) = Fixture::start().await;
        for round in 0..2 {
            let new = fixture.start_ready_process().await;
            fixture.assert_clients_are_answered(&format!("beside{round}-")).await;
            old.signal(Signal::TERM);
            fixture.assert_clients_are_answered(&format!("during{round}-")).await;
            old.wait_until_ended().await;
            fixture.assert_clients_are_answered(&format!("behind{round}-")).await;
            old = new;
        }
    })
    .await;
}
