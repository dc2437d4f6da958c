//! A gateway process whose resident memory is sampled while it runs.

use serde_json::{Value, json};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

/// Interval at which the resident memory is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(2);
/// Size of a memory page in bytes.
const PAGE_BYTES: u64 = 4096;
/// Part of the memory limit that is not for connections, requests and answers, in megabytes (README, "Bounds").
const BASE_MEMORY_MB: u64 = 12;
/// Number of file descriptors that the gateway may hold: the most that a deployment grants.
const SOCKETS: usize = 1024;

/// A running gateway process, which is killed when this is dropped.
pub struct GatewayProcess {
    pub address: SocketAddr,
    management: SocketAddr,
    memory_mb: u64,
    child: Child,
    peak_bytes: Arc<AtomicU64>,
    stopped: Arc<AtomicBool>,
    _directory: tempfile::TempDir,
}

/// Returns a loopback address whose port is free at this moment.
fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("the listener has an address")
}

/// Returns the resident memory of a process in bytes, or `None` if the process has ended.
fn resident_bytes(pid: u32) -> Option<u64> {
    let statistics = std::fs::read_to_string(format!("/proc/{pid}/statm")).ok()?;
    let pages: u64 = statistics.split(' ').nth(1)?.parse().ok()?;
    Some(pages * PAGE_BYTES)
}

impl GatewayProcess {
    /// Starts a gateway with a memory limit and waits until it is ready. `pools` are the pools for embeddings
    /// and rerank.
    pub async fn start(memory_mb: u64, settings: Value, discovery: SocketAddr, pools: Vec<Value>) -> Self {
        let directory = tempfile::tempdir().expect("a temporary directory can be created");
        let (address, management) = (free_address(), free_address());
        let config = json!({
            "name": "n0", "listen": address.to_string(), "management": management.to_string(),
            "discovery": discovery.to_string(), "seed": "5", "known": null,
            "limits": {"memory_mb": memory_mb, "sockets": SOCKETS}, "settings": settings,
        });
        let write_file = |name: &str, content: &Value| {
            let path = directory.path().join(name);
            std::fs::write(&path, content.to_string()).expect("the file can be written");
            path
        };
        let mut command = Command::new(env!("CARGO_BIN_EXE_meadowlug"));
        command.env("BALANCER_CONFIG", write_file("config.json", &config)).env("TMPDIR", directory.path());
        if !pools.is_empty() {
            let inference = json!({"keepAnswersMs": 60_000, "pools": pools});
            command.env("MEADOWLUG_INFERENCE", write_file("inference.json", &inference));
        }
        command.env("MEADOWLUG_LOG", "error").stdin(Stdio::null()).stdout(Stdio::null());
        let child = command.spawn().expect("the gateway process can be spawned");
        let (peak_bytes, stopped) = (Arc::<AtomicU64>::default(), Arc::<AtomicBool>::default());
        let (pid, peak, sampling_ended) = (child.id(), peak_bytes.clone(), stopped.clone());
        std::thread::spawn(move || {
            while !sampling_ended.load(Ordering::SeqCst) {
                peak.fetch_max(resident_bytes(pid).unwrap_or(0), Ordering::SeqCst);
                std::thread::sleep(SAMPLE_INTERVAL);
            }
        });
        let gateway =
            Self { address, management, memory_mb, child, peak_bytes, stopped, _directory: directory };
        crate::loopback::wait_until("the gateway is ready", async || gateway.is_ready().await).await;
        gateway
    }

    async fn is_ready(&self) -> bool {
        tokio::net::TcpStream::connect(self.address).await.is_ok()
            && crate::loopback::send_request(self.address, "GET", "/ready", &[], "").await.status == 200
    }

    /// Returns the memory that the gateway reports as reserved for a use, in bytes.
    pub async fn reserved_bytes(&self, memory_use: &str) -> u64 {
        let answer = crate::loopback::send_request(self.management, "GET", "/ops/stats", &[], "").await;
        let name = format!("edge_balancer_reserved_bytes{{use=\"{memory_use}\"}} ");
        let value = answer.body.lines().find_map(|line| line.strip_prefix(&name));
        value.and_then(|value| value.parse().ok()).expect("the figure is reported")
    }

    /// Returns the resident memory at this moment, in megabytes.
    pub fn resident_mb(&self) -> f64 {
        let bytes = resident_bytes(self.child.id()).expect("the process runs");
        bytes as f64 / f64::from(1 << 20)
    }

    /// Fails the test if the memory has grown by more than the given part of what the limit leaves for
    /// connections, requests and answers.
    pub fn assert_grown_by_at_most(&self, idle_mb: f64, divisor: u64) {
        let allowed_mb = (self.memory_mb - BASE_MEMORY_MB) as f64 / divisor as f64;
        let grown_mb = self.peak_mb() - idle_mb;
        assert!(grown_mb <= allowed_mb, "grown by {grown_mb:.1} MB, allowed {allowed_mb:.1} MB");
    }

    /// Returns the largest resident memory so far, in megabytes.
    fn peak_mb(&self) -> f64 {
        self.peak_bytes.load(Ordering::SeqCst) as f64 / f64::from(1 << 20)
    }

    /// Fails the test if the process has ended or has ever held more than its memory limit.
    pub fn assert_within_memory_limit(&mut self) {
        let exit_status = self.child.try_wait().expect("the exit status can be read");
        assert_eq!(exit_status, None, "the gateway has ended");
        let peak_mb = self.peak_mb();
        println!("limit={} MB peak={peak_mb:.1} MB now={:.1} MB", self.memory_mb, self.resident_mb());
        assert!(peak_mb <= self.memory_mb as f64, "peak {peak_mb:.1} MB, limit {} MB", self.memory_mb);
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
        // The process may have ended before; nothing is left to do then.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
