//! Puts the parts together and serves until it is stopped.

use crate::config::{self, Bounds, Config};
use crate::front::{Bodies, Fronts, Inference, Management, Model, Platform};
use crate::gateway::{self, Changes, Departure, Gateway, News, Tuning};
use crate::interface::Settings;
use crate::net::{self, Asking, HttpEngines, Phase, Pool, PoolLimits, ServeLimits, Watch};
use std::error::Error;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// A program that was asked to stop is killed no sooner than after its longest deadline, counted as this
/// where it is longer, and a little more.
const LONGEST_COUNTED: Duration = Duration::from_secs(3);
const KILLED_AFTER: Duration = Duration::from_millis(700);
/// How long before that the last answer is given.
const ANSWERED_BEFORE: Duration = Duration::from_millis(300);
/// For how long new connections and requests are still taken, in any case and as a part of the longest
/// deadline: another gateway may be restarting just then.
const LEAVING: Duration = Duration::from_millis(500);
const LEAVING_PART: f64 = 0.3;
/// Where clients do not ask for the rest of an answer no more is taken that could still run when the program is
/// killed: what comes within this time of the order may (protocol: 0.7 s).
const LEAVING_WHOLE: Duration = Duration::from_millis(600);
/// When running answers are handed over, as parts of the time until the end, first and last: late, so that
/// most end by themselves and a gateway that stopped before this one is back.
const HAND_OVER: (f64, f64) = (0.65, 0.85);
/// What is let go after the last answer still has to reach an engine.
const LAST_RELEASES: Duration = Duration::from_millis(300);
/// How long a call of an operator may stand still, and how long it may take.
const CALL_STALL: Duration = Duration::from_millis(800);
const CALL: Duration = Duration::from_secs(2);
/// Most bytes of one that are kept.
const CALL_BYTES: usize = 8 << 10;
/// How often idle connections are looked at.
const RETIRE_EVERY: Duration = Duration::from_secs(1);
/// How long a client's connection may stand still in a request, or before its first; and idle between two,
/// in any case and at most.
const CLIENT_STALL: Duration = Duration::from_secs(2);
const CLIENT_HEAD: Duration = Duration::from_secs(8);
const CLIENT_IDLE_LEAST: Duration = Duration::from_secs(2);
const CLIENT_IDLE: Duration = Duration::from_secs(10);

/// Hands changes to a driver.
async fn follow(mut changes: impl Changes, gateway: Gateway<HttpEngines>) {
    while let Some(change) = changes.next().await {
        match &change.news {
            News::Settings(_) => log::info!("settings rev={}", change.revision),
            News::Withheld(names) => log::info!("withheld engines={}", names.len()),
            News::Roster { form, engines } => {
                log::info!("roster rev={} form={form:?} entries={}", change.revision, engines.len());
            }
        }
        if gateway.tell(change).is_err() {
            return;
        }
    }
}

fn tuning(bounds: &Bounds) -> Tuning {
    let mut tuning = Tuning::default();
    tuning.limits.requests = bounds.requests;
    tuning.limits.bytes = bounds.open_bytes;
    tuning
}

/// An address that stays.
fn fixed(address: &str) -> watch::Receiver<Arc<str>> {
    watch::Sender::new(Arc::from(address)).subscribe()
}

/// Starts drivers, and tells when one has ended.
struct Drivers {
    pool: Rc<Pool>,
    bounds: Bounds,
    seed: u64,
    asking: Asking,
    ended: mpsc::Sender<String>,
}

impl Drivers {
    fn start(
        &self,
        name: &str,
        settings: Settings,
        tuning: Tuning,
        engines: HttpEngines,
        roster: Watch,
    ) -> Result<Gateway<HttpEngines>, Box<dyn Error>> {
        let (gateway, driver) = gateway::start(name, settings, self.seed, engines, tuning)?;
        tokio::task::spawn_local(follow(roster, gateway.clone()));
        let ended = self.ended.clone();
        tokio::task::spawn_local(async move {
            let how = format!("{:?}", driver.await);
            // Nobody is left to tell when the daemon has returned.
            let _ = ended.send(how).await;
        });
        Ok(gateway)
    }

    fn models(&self, file: &config::Inference) -> Result<Vec<Model>, Box<dyn Error>> {
        let mut models = Vec::new();
        for pool in &file.pools {
            let mut tuning = tuning(&self.bounds);
            tuning.limits.keep = file.keep_answers();
            tuning.limits.bytes = self.bounds.model_bytes / 2 / file.pools.len();
            tuning.limits.keep_bytes = tuning.limits.bytes;
            let most = self.bounds.answer_bytes;
            let engines = HttpEngines::new(self.pool.clone(), config::LoadNames::default(), false, most);
            let names = config::Names { kinds: vec![pool.model.clone()], ..config::Names::default() };
            let mode = pool.membership_mode.map(|mode| mode == config::MembershipMode::Ask);
            let asking = Asking { shared: mode.unwrap_or(self.asking.shared), ..self.asking };
            let roster = Watch::new(fixed(&pool.discovery), names, pool.known.clone(), asking);
            let gateway = self.start(&pool.model, file.settings(pool), tuning, engines, roster)?;
            models.push(Model {
                name: pool.model.clone(),
                api: pool.api,
                deadline: pool.deadline_ms * 1000,
                max_inputs: pool.max_inputs,
                gateway,
            });
        }
        Ok(models)
    }
}

/// Lets the other process of this gateway know as soon as this one can serve, and then says so: whoever hears
/// that this one takes clients may stop the other at once.
fn claim_when_ready(chat: &Gateway<HttpEngines>, shared: &config::Shared) {
    let (chat, shared) = (chat.clone(), shared.clone());
    tokio::task::spawn_local(async move {
        while !chat.can_serve() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        if let Err(error) = shared.claim() {
            log::warn!("claim not written down {error}");
        }
    });
}

/// Where operators call, and what the processes of one gateway share.
pub struct Operation {
    /// Listens for operators' calls.
    pub management: Option<TcpListener>,
    /// Orders, and who takes clients.
    pub shared: config::Shared,
}

/// Serves on the listener until `stop` is done and what is open has ended. Chat's settings and discovery
/// follow `reload`.
pub async fn run(
    config: Config,
    inference: Option<config::Inference>,
    reload: Option<config::Reload>,
    listener: TcpListener,
    operation: Operation,
    stop: impl Future<Output = ()>,
) -> Result<(), Box<dyn Error>> {
    let bounds = Bounds::from(config.resources);
    let pool = Pool::new(PoolLimits {
        connections: bounds.engine_connections,
        buffer: bounds.buffer,
        dial_timeout: config.dial_timeout,
        idle: config.idle_limit / 2,
    });
    let (ended, mut drivers_end) = mpsc::channel(1);
    // A seed that is not told, or told twice, must not make gateways ask in step.
    let stamp = gateway::Clock::default().now() ^ config.seed.rotate_left(32);
    let asking = Asking {
        shared: config.shared_discovery,
        gateways: config.settings.replicas,
        seed: stamp,
        told_after: config.told_after,
    };
    let drivers = Drivers { pool: pool.clone(), bounds, seed: config.seed, asking, ended };
    let engines = HttpEngines::new(pool.clone(), config.load.clone(), true, bounds.answer_bytes);
    let tries = engines.tries();
    let address = reload.as_ref().map_or_else(|| fixed(&config.discovery), config::Reload::discovery);
    let roster = Watch::new(address, config.names.clone(), config.known, asking);
    let chat = drivers.start("chat", config.settings, tuning(&bounds), engines, roster)?;
    let Operation { management, shared } = operation;
    tokio::task::spawn_local(follow(config::Orders::new(shared.clone()), chat.clone()));
    if let Some(reload) = reload {
        tokio::task::spawn_local(follow(reload, chat.clone()));
    }
    let models = inference.as_ref().map(|file| drivers.models(file)).transpose()?;
    let gateways: Vec<_> = models.iter().flatten().map(|m| m.gateway.clone()).chain([chat.clone()]).collect();
    tokio::task::spawn_local(async move {
        loop {
            tokio::time::sleep(RETIRE_EVERY).await;
            pool.retire();
        }
    });
    let (phase, phases) = watch::channel(Phase::Serving);
    let phase = Rc::new(phase);
    if let Some(listener) = management {
        let front = Management {
            gateway: chat.clone(),
            classes: config.names.classes.clone(),
            tries,
            shared: shared.clone(),
            phase: phase.clone(),
        };
        let limits = ServeLimits {
            connections: bounds.management.0,
            spare: bounds.management.1,
            buffer: CALL_BYTES,
            ahead: CALL_BYTES,
            stall: CALL_STALL,
            head: CALL,
            idle: CALL_STALL,
            idle_least: CALL_STALL / 4,
        };
        // Operators are answered until the process ends.
        let always = watch::Sender::new(Phase::Serving);
        let phases = always.subscribe();
        tokio::task::spawn_local(async move {
            net::serve(listener, Rc::new(front), limits, phases).await;
            drop(always);
        });
    }
    let bodies = Rc::new(Bodies::new(bounds.reading_bytes));
    let fronts = Fronts {
        platform: Platform::new(chat.clone(), config.names, bodies.clone()),
        inference: models.map(|models| Inference::new(models, bodies, stamp)),
        phase: phases.clone(),
    };
    log::info!("serving name={} listen={}", config.name, listener.local_addr()?);
    let limits = ServeLimits {
        connections: bounds.client_connections,
        spare: bounds.client_spare,
        buffer: bounds.buffer,
        ahead: bounds.ahead_bytes,
        stall: CLIENT_STALL,
        head: CLIENT_HEAD,
        idle: CLIENT_IDLE,
        idle_least: CLIENT_IDLE_LEAST,
    };
    claim_when_ready(&chat, &shared);
    let served = tokio::task::spawn_local(net::serve(listener, Rc::new(fronts), limits, phases));
    tokio::select! {
        Some(how) = drivers_end.recv() => return Err(format!("a driver ended: {how}").into()),
        () = stop => {}
    }
    // Where a new version takes clients already on the same socket, none must come here any more.
    let superseded = shared.is_superseded();
    log::info!("stopping open={} superseded={superseded}", chat.open());
    phase.send_replace(if superseded { Phase::Superseded } else { Phase::Leaving });
    let longest = chat.settings().classes.iter().map(|class| class.deadline).max().unwrap_or(0);
    let counted = Duration::from_micros(longest).min(LONGEST_COUNTED);
    let (asked, end) = (Instant::now(), counted + KILLED_AFTER);
    let (first, last) = (end.mul_f64(HAND_OVER.0), end.mul_f64(HAND_OVER.1));
    let departure = Departure {
        answers_by: asked + end - ANSWERED_BEFORE,
        hand_over: config.resume.then_some((asked + first, last - first)),
    };
    gateways.iter().for_each(|gateway| gateway.leave(departure));
    if !superseded {
        let leaving = LEAVING + counted.mul_f64(LEAVING_PART);
        tokio::time::sleep(if config.resume { leaving } else { leaving.min(LEAVING_WHOLE) }).await;
        phase.send_replace(Phase::Closing);
    }
    served.await?;
    tokio::time::sleep(LAST_RELEASES).await;
    log::info!("stopped open={}", chat.open());
    Ok(())
}
