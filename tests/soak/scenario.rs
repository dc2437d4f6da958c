//! One seed of the soak: starts the gateways and servers, runs the client traffic and applies overlapping
//! disruptions.

use crate::clients::{CLASSES, Traffic};
use crate::discovery::Discovery;
use crate::gateways::{Gateway, SyscallFaults};
use crate::judge::{Effect, Judge};
use crate::loopback::send_request;
use crate::network::{LinkCondition, measure_lateness};
use crate::servers::{Behaviour, HeldStates, Server, SharedContext};
use fastrand::Rng;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{LocalSet, spawn_local};

const READER_COUNT: usize = 5;
const SERVER_COUNT: usize = 10;
const CLIENTS_PER_GATEWAY: usize = 3;
/// Maximum time for which the clients may still run once the traffic is over.
const WIND_DOWN: Duration = Duration::from_secs(6);

/// A disruption of the network, a server, discovery or some of the gateways.
#[derive(Clone, Copy, Debug)]
enum Disruption {
    /// Connections that are already open carry no data; new ones work.
    OldConnectionsSilent(usize),
    /// No connection to the server carries data.
    ServerCutOff(usize),
    ConnectionsReset(usize),
    ServerMisbehaves(usize, Behaviour),
    ServerDrains(usize),
    ServerRestarts(usize),
    /// Open discovery watches stay open but carry no more updates.
    WatchesSilent,
    DiscoveryDown,
    /// Gateways are stopped by a signal and started again.
    GatewaysStop,
    GatewaysKilled,
    GatewaysReload,
    /// Gateway processes are suspended briefly.
    GatewaysPause,
}

impl Disruption {
    fn sample(rng: &mut Rng) -> Self {
        let server = rng.usize(0..SERVER_COUNT);
        let faulty_behaviours =
            [Behaviour::AnswersErrors, Behaviour::Declines, Behaviour::Hangs, Behaviour::BreaksConnections];
        match rng.u8(0..15) {
            0 | 1 => Self::OldConnectionsSilent(server),
            2 => Self::ServerCutOff(server),
            3 => Self::ConnectionsReset(server),
            4 | 5 => Self::ServerMisbehaves(server, faulty_behaviours[rng.usize(0..faulty_behaviours.len())]),
            6 => Self::ServerDrains(server),
            7 => Self::WatchesSilent,
            8 => Self::DiscoveryDown,
            9 => Self::GatewaysStop,
            10 => Self::GatewaysKilled,
            11 => Self::GatewaysReload,
            12 | 13 => Self::ServerRestarts(server),
            _ => Self::GatewaysPause,
        }
    }
}

/// Parameters of one soak run.
pub struct Scenario {
    pub seed: u64,
    /// Number of gateway processes.
    pub gateways: usize,
    /// Duration of the traffic and the disruptions.
    pub seconds: u64,
    /// The preloaded library that makes system calls fail.
    pub fault_library: PathBuf,
    /// Directory for the logs of the gateways.
    pub logs: PathBuf,
}

/// Result of a run.
pub struct Report {
    pub summary: String,
    pub violations: Vec<String>,
}

/// The running servers, discovery agents and gateways of a run.
struct Environment {
    servers: Vec<Rc<Server>>,
    discovery: Rc<Discovery>,
    gateways: Vec<Rc<Gateway>>,
    judge: Rc<RefCell<Judge>>,
    logs: PathBuf,
}

impl Scenario {
    pub fn run(&self) -> Report {
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_all().build().expect("tokio runtime builds");
        LocalSet::new().block_on(&runtime, self.execute())
    }

    fn gateway_settings(&self, resume: bool) -> Value {
        let class = |(name, effect): &(&str, Effect)| match effect {
            Effect::Safe => {
                json!({"name": name, "objectiveMs": 1000, "hardLimitMs": 4000, "effect": "safe"})
            }
            Effect::Unsafe => {
                json!({"name": name, "objectiveMs": 1000, "hardLimitMs": 4000, "effect": "unsafe"})
            }
            Effect::Keyed(window) => json!({"name": name, "objectiveMs": 1000, "hardLimitMs": 4000,
                "effect": "keyed", "group": "all", "windowMs": window.as_millis() as u64}),
        };
        json!({
            "replicasOfMe": self.gateways, "zones": ["a"], "kinds": ["reader", "writer"],
            "categories": CLASSES.iter().map(class).collect::<Vec<_>>(),
            "projects": [{"name": "desk", "quotaPerS": 200.0}],
            "rules": {"coldFrom": 0.3, "warmAfterMs": 4000, "overloadFactor": 2.5, "fallMs": 1500},
            "permissions": {"cancelling": true, "connIdleMs": 15000, "dialTimeoutMs": 250, "maxAttempts": 6},
            "extra": {"roleByKind": ["read", "write"], "tokensByKind": [200_000, 200_000], "letGoByMs": 300,
                "resume": resume},
        })
    }

    async fn execute(&self) -> Report {
        let mut rng = Rng::with_seed(self.seed);
        let resume = rng.bool();
        let judge = Rc::new(RefCell::new(Judge::new(resume)));
        let environment = Rc::new(self.start_environment(&mut rng, &judge, resume).await);
        spawn_local(measure_lateness(judge.clone()));
        let traffic = Rc::new(Traffic {
            gateways: environment.gateways.clone(),
            judge: judge.clone(),
            finished: Cell::new(false),
            next_id: Cell::new(1),
        });
        let mut clients = Vec::new();
        for gateway in 0..self.gateways {
            for _ in 0..CLIENTS_PER_GATEWAY {
                clients.push(spawn_local(traffic.clone().run_client(gateway, rng.u64(..))));
            }
        }
        let disruptions = self.sample_disruptions(&mut rng);
        let schedule: Vec<_> = disruptions
            .iter()
            .map(|(start_ms, disruption, duration_ms)| format!("{start_ms}+{duration_ms}:{disruption:?}"))
            .collect();
        let disruption_tasks: Vec<_> = disruptions
            .into_iter()
            .map(|(start_ms, disruption, duration_ms)| {
                let (environment, seed) = (environment.clone(), rng.u64(..));
                spawn_local(async move {
                    tokio::time::sleep(Duration::from_millis(start_ms)).await;
                    environment
                        .apply(disruption, Duration::from_millis(duration_ms), Rng::with_seed(seed))
                        .await;
                })
            })
            .collect();
        for _ in 0..self.seconds * 20 {
            tokio::time::sleep(Duration::from_millis(50)).await;
            environment.gateways.iter().for_each(|gateway| gateway.check_exit());
        }
        traffic.finished.set(true);
        for task in disruption_tasks {
            task.await.expect("disruption task panicked");
        }
        let clients_ended = async {
            for client in clients {
                client.await.expect("client task panicked");
            }
        };
        let _ = tokio::time::timeout(WIND_DOWN, clients_ended).await;
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        environment.check_metrics().await;
        let summary = {
            let judge = judge.borrow();
            format!(
                "resume={resume} outcomes={:?} lateness={:?} disruptions={schedule:?}",
                judge.outcomes, judge.lateness
            )
        };
        environment.gateways.iter().for_each(|gateway| gateway.kill());
        let violations = std::mem::take(&mut judge.borrow_mut().violations);
        Report { summary, violations }
    }

    async fn start_environment(
        &self,
        rng: &mut Rng,
        judge: &Rc<RefCell<Judge>>,
        resume: bool,
    ) -> Environment {
        let context = SharedContext { judge: judge.clone(), states: Rc::<HeldStates>::default() };
        let mut servers = Vec::new();
        for number in 0..SERVER_COUNT {
            servers.push(Server::start(number, number < READER_COUNT, &context).await);
        }
        let discovery = Discovery::new(servers.clone(), judge.clone(), self.gateways);
        let mut gateways = Vec::new();
        for number in 0..self.gateways {
            let agent = discovery.start_agent(number).await;
            let config = json!({"discovery": agent.to_string(), "seed": format!("{:x}", rng.u64(..)),
                "limits": {"memory_mb": 64, "sockets": 256}, "settings": self.gateway_settings(resume)});
            let faults = self.sample_faults(number, rng);
            gateways.push(Gateway::new(number, config, faults, judge.clone(), discovery.clone()));
        }
        let start_tasks = gateways.iter().map(|gateway| {
            let (gateway, logs) = (gateway.clone(), self.logs.clone());
            spawn_local(async move { gateway.start(&logs).await })
        });
        for start_task in start_tasks.collect::<Vec<_>>() {
            start_task.await.expect("gateway start task panicked");
        }
        Environment { servers, discovery, gateways, judge: judge.clone(), logs: self.logs.clone() }
    }

    /// Samples the system call faults of a gateway. One gateway in three has failing system calls; the wall
    /// clock of some of those is stepped.
    fn sample_faults(&self, number: usize, rng: &mut Rng) -> SyscallFaults {
        let clock_steps_s = [0, 3, -3, 3_600, -3_600];
        let clock_step = (rng.u64(1_000..5_000), clock_steps_s[rng.usize(0..clock_steps_s.len())]);
        let seed = rng.u64(..);
        if !number.is_multiple_of(3) {
            return SyscallFaults::default();
        }
        let failures_per_mille = [2, 10, 30][rng.usize(0..3)];
        SyscallFaults {
            fault_library: Some(self.fault_library.clone()),
            seed,
            failures_per_mille,
            clock_step,
            fail_file_writes: rng.bool(),
        }
    }

    /// Samples the start time in ms, the kind and the duration in ms of each disruption. Two or three overlap
    /// at any time.
    fn sample_disruptions(&self, rng: &mut Rng) -> Vec<(u64, Disruption, u64)> {
        let run_ms = self.seconds * 1_000;
        let count = self.seconds as usize * 3 / 2;
        let mut disruptions: Vec<_> = (0..count)
            .map(|_| (rng.u64(500..run_ms - 1_500), Disruption::sample(rng), rng.u64(500..2_500)))
            .collect();
        disruptions.sort_by_key(|(start_ms, ..)| *start_ms);
        disruptions
    }
}

impl Environment {
    async fn apply(&self, disruption: Disruption, duration: Duration, mut rng: Rng) {
        match disruption {
            Disruption::OldConnectionsSilent(server) => {
                self.hold_links(server, LinkCondition::OldLinksHeld, duration).await
            }
            Disruption::ServerCutOff(server) => {
                self.hold_links(server, LinkCondition::AllLinksHeld, duration).await
            }
            Disruption::ConnectionsReset(server) => self.servers[server].proxy.reset(),
            Disruption::ServerMisbehaves(server, behaviour) => {
                self.servers[server].behave(behaviour);
                tokio::time::sleep(duration).await;
                self.servers[server].behave(Behaviour::Normal);
            }
            Disruption::ServerDrains(server) => {
                self.discovery.set_draining(server, true);
                tokio::time::sleep(duration + Duration::from_secs(1)).await;
                self.discovery.set_draining(server, false);
            }
            Disruption::ServerRestarts(server) => {
                self.servers[server].proxy.reset();
                self.servers[server].behave(Behaviour::BreaksConnections);
                tokio::time::sleep(duration / 2).await;
                self.servers[server].behave(Behaviour::Normal);
                self.discovery.server_restarted(server);
            }
            Disruption::WatchesSilent => self.discovery.silence_watches(),
            Disruption::DiscoveryDown => {
                self.discovery.set_unavailable(true);
                tokio::time::sleep(duration).await;
                self.discovery.set_unavailable(false);
            }
            Disruption::GatewaysStop => {
                for gateway in self.sample_gateways(&mut rng) {
                    let logs = self.logs.clone();
                    gateway.restarting.set(true);
                    spawn_local(async move {
                        gateway.stop().await;
                        gateway.start(&logs).await;
                    });
                    tokio::time::sleep(Duration::from_millis(200)).await;
                }
            }
            Disruption::GatewaysKilled => {
                for gateway in self.sample_gateways(&mut rng) {
                    gateway.restarting.set(true);
                    gateway.kill();
                    let logs = self.logs.clone();
                    spawn_local(async move { gateway.start(&logs).await });
                }
            }
            Disruption::GatewaysReload => {
                for gateway in self.sample_gateways(&mut rng) {
                    gateway.reload().await;
                }
            }
            Disruption::GatewaysPause => {
                for gateway in self.sample_gateways(&mut rng) {
                    spawn_local(async move { gateway.pause().await });
                }
            }
        }
    }

    async fn hold_links(&self, server: usize, condition: LinkCondition, duration: Duration) {
        self.servers[server].proxy.set_condition(condition);
        tokio::time::sleep(duration).await;
        self.servers[server].proxy.set_condition(LinkCondition::Normal);
    }

    /// Samples up to a sixth of the gateways, rounded up, from those that accept clients.
    fn sample_gateways(&self, rng: &mut Rng) -> Vec<Rc<Gateway>> {
        let mut available: Vec<_> = self
            .gateways
            .iter()
            .filter(|g| g.accepts_clients.get() && !g.restarting.get())
            .cloned()
            .collect();
        rng.shuffle(&mut available);
        available.truncate(self.gateways.len().div_ceil(6));
        available
    }

    /// Checks the metrics of the gateways: no invariant may have been violated and no request may still be in
    /// progress.
    async fn check_metrics(&self) {
        for gateway in self.gateways.iter().filter(|gateway| gateway.accepts_clients.get()) {
            let stats_request = send_request(gateway.management, "GET", "/ops/stats", &[], "");
            let Ok(stats) = tokio::time::timeout(Duration::from_secs(2), stats_request).await else {
                self.judge.borrow_mut().gateway_crashed(gateway.number, "no metrics in time");
                continue;
            };
            for line in stats.body.lines().filter(|line| !line.starts_with('#')) {
                let Some((name, value)) = line.rsplit_once(' ') else { continue };
                let must_be_zero = name.contains("invariant_violations") || name.ends_with("in_progress");
                if must_be_zero && value != "0" {
                    let violation = format!("metrics: gateway={} {line}", gateway.number);
                    self.judge.borrow_mut().violations.push(violation);
                }
            }
        }
    }
}
