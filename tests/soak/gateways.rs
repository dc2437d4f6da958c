//! The gateway processes: started, signalled, killed, and started again.

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

/// A stop is followed by a kill after the longest deadline, counted as 3 s where it is longer, and a little more.
const KILLED_AFTER: Duration = Duration::from_millis(3_000 + 700);
const READY_WITHIN: Duration = Duration::from_secs(10);

/// Faults of the system calls of a process.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    pub fault_library: Option<PathBuf>,
    pub seed: u64,
    pub per_mille: u64,
    pub step: (u64, i64),
    pub files: bool,
}

/// One gateway.
pub struct Gateway {
    pub number: usize,
    pub address: SocketAddr,
    pub management: SocketAddr,
    folder: tempfile::TempDir,
    child: RefCell<Option<Child>>,
    config: RefCell<Value>,
    faults: Faults,
    judge: Rc<RefCell<Judge>>,
    discovery: Rc<Discovery>,
    /// Whether it takes clients as far as the front knows.
    pub admitted: Cell<bool>,
    /// Whether it is being restarted.
    pub restarts: Cell<bool>,
    /// How its processes were started, for the log's name.
    starts: Cell<usize>,
}

/// An address of this run's own, with ports that the system gives to nobody by itself.
fn own_address(gateway: usize, port: u16) -> SocketAddr {
    let run = std::process::id() % 250;
    SocketAddr::from(([127, 77, run as u8, gateway as u8 + 1], port))
}

impl Gateway {
    pub fn new(
        number: usize,
        mut config: Value,
        faults: Faults,
        judge: Rc<RefCell<Judge>>,
        discovery: Rc<Discovery>,
    ) -> Rc<Self> {
        let (address, management) = (own_address(number, 9000), own_address(number, 9001));
        config["name"] = json!(format!("n{number}"));
        config["listen"] = json!(address.to_string());
        config["management"] = json!(management.to_string());
        let folder = tempfile::tempdir().expect("a folder");
        Rc::new(Self {
            number,
            address,
            management,
            folder,
            child: RefCell::default(),
            config: RefCell::new(config),
            faults,
            judge,
            discovery,
            admitted: Cell::new(false),
            restarts: Cell::new(false),
            starts: Cell::new(0),
        })
    }

    fn config_path(&self) -> PathBuf {
        self.folder.path().join("config.json")
    }

    fn write_config(&self) {
        let new = self.folder.path().join("config.json.new");
        std::fs::write(&new, self.config.borrow().to_string()).expect("it can be written");
        std::fs::rename(new, self.config_path()).expect("it can be replaced");
    }

    /// Starts the program; ready once it says so.
    pub async fn start(&self, logs: &Path) {
        self.config.borrow_mut()["known"] = self.discovery.list();
        self.write_config();
        let log = format!("n{}-{}.log", self.number, self.starts.replace(self.starts.get() + 1));
        let log = std::fs::File::create(logs.join(log)).expect("a log");
        let mut command = Command::new(env!("CARGO_BIN_EXE_meadowlug"));
        command.env("BALANCER_CONFIG", self.config_path()).env("TMPDIR", self.folder.path());
        command.env("MEADOWLUG_LOG", "debug").stderr(log).stdin(Stdio::null());
        if let Some(fault_library) = &self.faults.fault_library {
            let (after_ms, seconds) = self.faults.step;
            command.env("LD_PRELOAD", fault_library).env("FAULT_SEED", self.faults.seed.to_string());
            command.env("FAULT_PER_MILLE", self.faults.per_mille.to_string());
            command.env("FAULT_STEP_AFTER_MS", after_ms.to_string());
            command.env("FAULT_STEP_S", seconds.to_string());
            command.env("FAULT_FILES", if self.faults.files { "1" } else { "0" });
        }
        self.child.replace(Some(command.spawn().expect("it starts")));
        self.judge.borrow_mut().gateway_started(self.number);
        self.discovery.told_all(self.number);
        let began = Instant::now();
        while !crate::clients::is_ready(self.address).await {
            if began.elapsed() > READY_WITHIN {
                self.judge.borrow_mut().gateway_crashed(self.number, "not ready in time");
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        self.admitted.set(true);
        self.restarts.set(false);
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = self.child.borrow().as_ref().and_then(|child| Pid::from_raw(child.id() as i32)) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Whether the process has ended, and how.
    fn has_ended(&self) -> Option<String> {
        let mut child = self.child.borrow_mut();
        let status = child.as_mut()?.try_wait().expect("its state")?;
        Some(status.to_string())
    }

    /// Notes a process that ended though nobody asked it to.
    pub fn look(&self) {
        if self.admitted.get()
            && !self.restarts.get()
            && let Some(how) = self.has_ended()
        {
            self.admitted.set(false);
            self.judge.borrow_mut().gateway_crashed(self.number, &how);
        }
    }

    pub fn kill(&self) {
        self.admitted.set(false);
        if let Some(mut child) = self.child.take() {
            let running = child.try_wait().expect("its state").is_none();
            let _ = child.kill();
            let _ = child.wait();
            if running {
                self.judge.borrow_mut().gateway_killed(self.number);
            }
        }
    }

    /// Asks it to stop; new clients come for a moment longer. It is killed when its time is over.
    pub async fn stop(&self) {
        self.judge.borrow_mut().gateway_stopping(self.number);
        self.signal(Signal::TERM);
        let asked = Instant::now();
        tokio::time::sleep(Duration::from_millis(300)).await;
        self.admitted.set(false);
        while asked.elapsed() < KILLED_AFTER && self.has_ended().is_none() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        self.kill();
    }

    /// Has it read a configuration again that names another agent.
    pub async fn reload(&self) {
        let agent = self.discovery.agent(self.number).await;
        self.config.borrow_mut()["discovery"] = json!(agent.to_string());
        self.write_config();
        self.signal(Signal::HUP);
    }

    /// Holds the process up for a moment.
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
