//! One seed of the soak: a fleet, its traffic, and troubles that overlap.

use crate::clients::{CLASSES, Traffic};
use crate::discovery::Discovery;
use crate::gateways::{Faults, Gateway};
use crate::judge::{Effect, Judge};
use crate::loopback::ask;
use crate::network::{Weather, measure_lateness};
use crate::servers::{Behaviour, Fleet, Server, States};
use fastrand::Rng;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{LocalSet, spawn_local};

const READERS: usize = 5;
const SERVERS: usize = 10;
const CLIENTS_EACH: usize = 3;
/// How long what is under way may take to end once the traffic is over.
const WIND_DOWN: Duration = Duration::from_secs(6);

/// What goes wrong.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    OldConnectionsSilent(usize),
    ServerCutOff(usize),
    ConnectionsReset(usize),
    ServerBehaves(usize, Behaviour),
    ServerDrains(usize),
    ServerRestarts(usize),
    WatchesSilent,
    DiscoveryDown,
    GatewaysStop,
    GatewaysKilled,
    GatewaysReload,
    GatewaysPause,
}

impl Trouble {
    fn draw(draws: &mut Rng) -> Self {
        let server = draws.usize(0..SERVERS);
        let behaviours = [Behaviour::Errors, Behaviour::Declines, Behaviour::Hangs, Behaviour::Breaks];
        match draws.u8(0..15) {
            0 | 1 => Self::OldConnectionsSilent(server),
            2 => Self::ServerCutOff(server),
            3 => Self::ConnectionsReset(server),
            4 | 5 => Self::ServerBehaves(server, behaviours[draws.usize(0..behaviours.len())]),
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

/// What is played.
pub struct Scenario {
    pub seed: u64,
    pub gateways: usize,
    pub seconds: u64,
    /// The library that has system calls fail.
    pub library: PathBuf,
    pub logs: PathBuf,
}

/// What came of it.
pub struct Report {
    pub summary: String,
    pub violations: Vec<String>,
}

struct World {
    servers: Vec<Rc<Server>>,
    discovery: Rc<Discovery>,
    gateways: Vec<Rc<Gateway>>,
    judge: Rc<RefCell<Judge>>,
    logs: PathBuf,
}

impl Scenario {
    pub fn run(&self) -> Report {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        LocalSet::new().block_on(&runtime, self.play())
    }

    fn settings(&self, resume: bool) -> Value {
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

    async fn play(&self) -> Report {
        let mut draws = Rng::with_seed(self.seed);
        let resume = draws.bool();
        let judge = Rc::new(RefCell::new(Judge::new(resume)));
        let world = Rc::new(self.build(&mut draws, &judge, resume).await);
        spawn_local(measure_lateness(judge.clone()));
        let traffic = Rc::new(Traffic {
            gateways: world.gateways.clone(),
            judge: judge.clone(),
            over: Cell::new(false),
            next_id: Cell::new(1),
        });
        let mut clients = Vec::new();
        for gateway in 0..self.gateways {
            for _ in 0..CLIENTS_EACH {
                clients.push(spawn_local(traffic.clone().client(gateway, draws.u64(..))));
            }
        }
        let troubles = self.troubles(&mut draws);
        let drawn: Vec<_> =
            troubles.iter().map(|(at, trouble, span)| format!("{at}+{span}:{trouble:?}")).collect();
        let running: Vec<_> = troubles
            .into_iter()
            .map(|(at, trouble, span)| {
                let (world, seed) = (world.clone(), draws.u64(..));
                spawn_local(async move {
                    tokio::time::sleep(Duration::from_millis(at)).await;
                    world.strike(trouble, Duration::from_millis(span), Rng::with_seed(seed)).await;
                })
            })
            .collect();
        for _ in 0..self.seconds * 20 {
            tokio::time::sleep(Duration::from_millis(50)).await;
            world.gateways.iter().for_each(|gateway| gateway.look());
        }
        traffic.over.set(true);
        for task in running {
            task.await.expect("a trouble ends");
        }
        let ended = async {
            for client in clients {
                client.await.expect("a client ends");
            }
        };
        let _ = tokio::time::timeout(WIND_DOWN, ended).await;
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        world.read_figures().await;
        let summary = {
            let judge = judge.borrow();
            format!(
                "resume={resume} outcomes={:?} lateness={:?} troubles={drawn:?}",
                judge.outcomes, judge.lateness
            )
        };
        world.gateways.iter().for_each(|gateway| gateway.kill());
        let violations = std::mem::take(&mut judge.borrow_mut().violations);
        Report { summary, violations }
    }

    async fn build(&self, draws: &mut Rng, judge: &Rc<RefCell<Judge>>, resume: bool) -> World {
        let fleet = Fleet { judge: judge.clone(), states: Rc::<States>::default() };
        let mut servers = Vec::new();
        for number in 0..SERVERS {
            servers.push(Server::start(number, number < READERS, &fleet).await);
        }
        let discovery = Discovery::new(servers.clone(), judge.clone(), self.gateways);
        let mut gateways = Vec::new();
        for number in 0..self.gateways {
            let agent = discovery.agent(number).await;
            let config = json!({"discovery": agent.to_string(), "seed": format!("{:x}", draws.u64(..)),
                "limits": {"memory_mb": 64, "sockets": 256}, "settings": self.settings(resume)});
            let faults = self.faults(number, draws);
            gateways.push(Gateway::new(number, config, faults, judge.clone(), discovery.clone()));
        }
        let starts = gateways.iter().map(|gateway| {
            let (gateway, logs) = (gateway.clone(), self.logs.clone());
            spawn_local(async move { gateway.start(&logs).await })
        });
        for start in starts.collect::<Vec<_>>() {
            start.await.expect("it starts");
        }
        World { servers, discovery, gateways, judge: judge.clone(), logs: self.logs.clone() }
    }

    /// A third of the processes have system calls that fail; some of those a clock that is stepped.
    fn faults(&self, number: usize, draws: &mut Rng) -> Faults {
        let steps = [0, 3, -3, 3_600, -3_600];
        let step = (draws.u64(1_000..5_000), steps[draws.usize(0..steps.len())]);
        let seed = draws.u64(..);
        if !number.is_multiple_of(3) {
            return Faults::default();
        }
        let per_mille = [2, 10, 30][draws.usize(0..3)];
        Faults { library: Some(self.library.clone()), seed, per_mille, step, files: draws.bool() }
    }

    /// When troubles begin, what they are, and how long they last. Two or three overlap at any time.
    fn troubles(&self, draws: &mut Rng) -> Vec<(u64, Trouble, u64)> {
        let span_ms = self.seconds * 1_000;
        let count = self.seconds as usize * 3 / 2;
        let mut troubles: Vec<_> = (0..count)
            .map(|_| (draws.u64(500..span_ms - 1_500), Trouble::draw(draws), draws.u64(500..2_500)))
            .collect();
        troubles.sort_by_key(|(at, ..)| *at);
        troubles
    }
}

impl World {
    async fn strike(&self, trouble: Trouble, span: Duration, mut draws: Rng) {
        match trouble {
            Trouble::OldConnectionsSilent(server) => self.weather(server, Weather::OldHeld, span).await,
            Trouble::ServerCutOff(server) => self.weather(server, Weather::AllHeld, span).await,
            Trouble::ConnectionsReset(server) => self.servers[server].proxy.reset(),
            Trouble::ServerBehaves(server, behaviour) => {
                self.servers[server].behave(behaviour);
                tokio::time::sleep(span).await;
                self.servers[server].behave(Behaviour::Well);
            }
            Trouble::ServerDrains(server) => {
                self.discovery.set_draining(server, true);
                tokio::time::sleep(span + Duration::from_secs(1)).await;
                self.discovery.set_draining(server, false);
            }
            Trouble::ServerRestarts(server) => {
                self.servers[server].proxy.reset();
                self.servers[server].behave(Behaviour::Breaks);
                tokio::time::sleep(span / 2).await;
                self.servers[server].behave(Behaviour::Well);
                self.discovery.restarted(server);
            }
            Trouble::WatchesSilent => self.discovery.silence(),
            Trouble::DiscoveryDown => {
                self.discovery.set_down(true);
                tokio::time::sleep(span).await;
                self.discovery.set_down(false);
            }
            Trouble::GatewaysStop => {
                for gateway in self.some(&mut draws) {
                    let logs = self.logs.clone();
                    gateway.restarts.set(true);
                    spawn_local(async move {
                        gateway.stop().await;
                        gateway.start(&logs).await;
                    });
                    tokio::time::sleep(Duration::from_millis(200)).await;
                }
            }
            Trouble::GatewaysKilled => {
                for gateway in self.some(&mut draws) {
                    gateway.restarts.set(true);
                    gateway.kill();
                    let logs = self.logs.clone();
                    spawn_local(async move { gateway.start(&logs).await });
                }
            }
            Trouble::GatewaysReload => {
                for gateway in self.some(&mut draws) {
                    gateway.reload().await;
                }
            }
            Trouble::GatewaysPause => {
                for gateway in self.some(&mut draws) {
                    spawn_local(async move { gateway.pause().await });
                }
            }
        }
    }

    async fn weather(&self, server: usize, weather: Weather, span: Duration) {
        self.servers[server].proxy.set(weather);
        tokio::time::sleep(span).await;
        self.servers[server].proxy.set(Weather::Fair);
    }

    /// Some of the gateways that take clients.
    fn some(&self, draws: &mut Rng) -> Vec<Rc<Gateway>> {
        let mut open: Vec<_> =
            self.gateways.iter().filter(|g| g.admitted.get() && !g.restarts.get()).cloned().collect();
        draws.shuffle(&mut open);
        open.truncate(self.gateways.len().div_ceil(6));
        open
    }

    /// What the processes counted themselves: no invariant may have been violated, and nothing may be open any more.
    async fn read_figures(&self) {
        for gateway in self.gateways.iter().filter(|gateway| gateway.admitted.get()) {
            let asked = ask(gateway.management, "GET", "/ops/stats", &[], "");
            let Ok(answer) = tokio::time::timeout(Duration::from_secs(2), asked).await else {
                self.judge.borrow_mut().gateway_crashed(gateway.number, "no figures in time");
                continue;
            };
            for line in answer.body.lines().filter(|line| !line.starts_with('#')) {
                let Some((name, value)) = line.rsplit_once(' ') else { continue };
                let counted = name.contains("invariant_violations") || name.ends_with("in_progress");
                if counted && value != "0" {
                    let violation = format!("figures: gateway={} {line}", gateway.number);
                    self.judge.borrow_mut().violations.push(violation);
                }
            }
        }
    }
}
