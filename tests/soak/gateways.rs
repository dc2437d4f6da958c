//! Starts, signals, kills and restarts the gateway processes.

use crate::discovery::Discovery;
use crate::judge::Judge;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time after the stop signal at which a process is killed: the longest request deadline, which counts as 3 s
/// at most, plus 700 ms.
const KILL_TIMEOUT: Duration = Duration::from_millis(3_000 + 700);
/// Maximum time from the start of a process until the gateway is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// System call faults of a gateway process. The default has none.
#[derive(Clone, Debug, Default)]
pub struct SyscallFaults {
    pub fault_library: Option<PathBuf>,
    pub seed: u64,
    /// Number of calls in a thousand that fail or are cut short.
    pub failures_per_mille: u64,
    /// When the wall clock is stepped, in ms after the first intercepted call, and by how many seconds.
    pub clock_step: (u64, i64),
    /// True if writes to files fail as well.
    pub fail_file_writes: bool,
}

/// One gateway, whose process may be restarted.
pub struct Gateway {
    pub number: usize,
    pub address: SocketAddr,
    pub management: SocketAddr,
    directory: tempfile::TempDir,
    process: RefCell<Option<Child>>,
    config: RefCell<Value>,
    faults: SyscallFaults,
    judge: Rc<RefCell<Judge>>,
    discovery: Rc<Discovery>,
    /// True while new clients are sent to the gateway, as far as a load balancer in front of it would know.
    pub accepts_clients: Cell<bool>,
    /// True while the gateway is being restarted.
    pub restarting: Cell<bool>,
    /// Number of processes that were started, which is part of the name of the log file.
    start_count: Cell<usize>,
}

/// Returns a loopback address that only this run uses. The ports lie outside the range from which the system
/// assigns ports.
fn loopback_address(gateway: usize, port: u16) -> SocketAddr {
    let run_octet = std::process::id() % 250;
    SocketAddr::from(([127, 77, run_octet as u8, gateway as u8 + 1], port))
}

impl Gateway {
    pub fn new(
        number: usize,
        mut config: Value,
        faults: SyscallFaults,
        judge: Rc<RefCell<Judge>>,
        discovery: Rc<Discovery>,
    ) -> Rc<Self> {
        let (address, management) = (loopback_address(number, 9000), loopback_address(number, 9001));
        config["name"] = json!(format!("n{number}"));
        config["listen"] = json!(address.to_string());
        config["management"] = json!(management.to_string());
        let directory = tempfile::tempdir().expect("a temporary directory can be created");
        Rc::new(Self {
            number,
            address,
            management,
            directory,
            process: RefCell::default(),
            config: RefCell::new(config),
            faults,
            judge,
            discovery,
            accepts_clients: Cell::new(false),
            restarting: Cell::new(false),
            start_count: Cell::new(0),
        })
    }

    fn config_path(&self) -> PathBuf {
        self.directory.path().join("config.json")
    }

    fn write_config(&self) {
        let new_path = self.directory.path().join("config.json.new");
        std::fs::write(&new_path, self.config.borrow().to_string())
            .expect("the configuration can be written");
        std::fs::rename(new_path, self.config_path()).expect("the configuration can be replaced");
    }

    /// Starts the process and waits until the gateway reports that it is ready.
    pub async fn start(&self, logs: &Path) {
        self.config.borrow_mut()["known"] = self.discovery.list();
        self.write_config();
        let log = format!("n{}-{}.log", self.number, self.start_count.replace(self.start_count.get() + 1));
        let log = std::fs::File::create(logs.join(log)).expect("the log file can be created");
        let mut command = Command::new(env!("CARGO_BIN_EXE_meadowlug"));
        command.env("BALANCER_CONFIG", self.config_path()).env("TMPDIR", self.directory.path());
        command.env("MEADOWLUG_LOG", "debug").stderr(log).stdin(Stdio::null());
        if let Some(fault_library) = &self.faults.fault_library {
            let (step_after_ms, step_s) = self.faults.clock_step;
            command.env("LD_PRELOAD", fault_library).env("FAULT_SEED", self.faults.seed.to_string());
            command.env("FAULT_PER_MILLE", self.faults.failures_per_mille.to_string());
            command.env("FAULT_STEP_AFTER_MS", step_after_ms.to_string());
            command.env("FAULT_STEP_S", step_s.to_string());
            command.env("FAULT_FILES", if self.faults.fail_file_writes { "1" } else { "0" });
        }
        self.process.replace(Some(command.spawn().expect("the gateway process can be spawned")));
        self.judge.borrow_mut().gateway_started(self.number);
        self.discovery.record_listed_drains(self.number);
        let started_at = Instant::now();
        while !crate::clients::is_ready(self.address).await {
            if started_at.elapsed() > READY_TIMEOUT {
                self.judge.borrow_mut().gateway_crashed(self.number, "not ready in time");
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        self.accepts_clients.set(true);
        self.restarting.set(false);
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) =
            self.process.borrow().as_ref().and_then(|process| Pid::from_raw(process.id() as i32))
        {
            let _ = kill_process(pid, signal);
        }
    }

    /// Returns the exit status if the process has ended.
    fn exit_status(&self) -> Option<String> {
        let mut process = self.process.borrow_mut();
        let status = process.as_mut()?.try_wait().expect("the exit status can be read")?;
        Some(status.to_string())
    }

    /// Reports a process that ended without having been stopped or killed.
    pub fn check_exit(&self) {
        if self.accepts_clients.get()
            && !self.restarting.get()
            && let Some(status) = self.exit_status()
        {
            self.accepts_clients.set(false);
            self.judge.borrow_mut().gateway_crashed(self.number, &status);
        }
    }

    pub fn kill(&self) {
        self.accepts_clients.set(false);
        if let Some(mut process) = self.process.take() {
            let running = process.try_wait().expect("the exit status can be read").is_none();
            let _ = process.kill();
            let _ = process.wait();
            if running {
                self.judge.borrow_mut().gateway_killed(self.number);
            }
        }
    }

    /// Sends the stop signal; clients still connect for 300 ms. Kills the process if it runs longer than
    /// `KILL_TIMEOUT`.
    pub async fn stop(&self) {
        self.judge.borrow_mut().gateway_stopping(self.number);
        self.signal(Signal::TERM);
        let stop_requested_at = Instant::now();
        tokio::time::sleep(Duration::from_millis(300)).await;
        self.accepts_clients.set(false);
        while stop_requested_at.elapsed() < KILL_TIMEOUT && self.exit_status().is_none() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        self.kill();
    }

    /// Makes the process reload a configuration that names another discovery agent.
    pub async fn reload(&self) {
        let agent = self.discovery.start_agent(self.number).await;
        self.config.borrow_mut()["discovery"] = json!(agent.to_string());
        self.write_config();
        self.signal(Signal::HUP);
    }

    /// Suspends the process for 150 ms.
    pub async fn pause(&self) {
        self.signal(Signal::STOP);
        tokio::time::sleep(Duration::from_millis(150)).await;
        self.signal(Signal::CONT);
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}
