//! Puts the parts together and serves until it is stopped.

mod stop;

use crate::config::{self, Bounds, Config};
use crate::front::{Bodies, Fronts, Inference, Management, Model, Platform};
use crate::gateway::{self, Changes, Gateway, News, Tuning};
use crate::interface::Settings;
use crate::net::{self, Asking, HttpEngines, Phase, Pool, PoolLimits, ServeLimits, Watch};
use std::error::Error;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use stop::StopPlan;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// How often it is looked, after the last answer, whether all that servers hold was let go; and how long that may begin
/// to be let go after it.
const LAST_LOOK_EVERY: Duration = Duration::from_millis(5);
const LAST_RELEASES: Duration = Duration::from_millis(50);
/// How long a call of an operator may stand still, and how long it may take.
const CALL_STALL: Duration = Duration::from_millis(800);
const CALL: Duration = Duration::from_secs(2);
/// Most bytes of one that are kept.
const CALL_BYTES: usize = 8 << 10;
/// Which part of the connections to engines is kept for calls that let states go.
const RESERVED_PART: usize = 16;
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
    tuning.limits.bytes = bounds.open_chat_bytes;
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
            tuning.limits.bytes = self.bounds.inference_bytes / 2 / file.pools.len();
            tuning.limits.keep_bytes = tuning.limits.bytes;
            let most = self.bounds.max_answer_bytes;
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
        while !(shared.is_loaded() && chat.can_serve()) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        if let Err(error) = shared.claim() {
            log::warn!("claim not written down {error}");
        }
    });
}

/// Answers operators until the process ends: `connections` at a time, and above that so many are turned away.
fn serve_operators(listener: TcpListener, front: Management, (connections, spare): (usize, usize)) {
    let limits = ServeLimits {
        connections,
        spare,
        buffer: CALL_BYTES,
        ahead: CALL_BYTES,
        stall: CALL_STALL,
        head: CALL,
        idle: CALL_STALL,
        idle_least: CALL_STALL / 4,
    };
    let always = watch::Sender::new(Phase::Serving);
    let phases = always.subscribe();
    tokio::task::spawn_local(async move {
        net::serve(listener, Rc::new(front), limits, phases).await;
        drop(always);
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
        reserved: (bounds.engine_connections / RESERVED_PART).max(1),
        buffer: bounds.connection_buffer_bytes,
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
        told_after: config.informed_after,
    };
    let drivers = Drivers { pool: pool.clone(), bounds, seed: config.seed, asking, ended };
    let engines = HttpEngines::new(pool.clone(), config.load.clone(), true, bounds.max_answer_bytes);
    let tries = engines.tries();
    let address = reload.as_ref().map_or_else(|| fixed(&config.discovery), config::Reload::discovery);
    let roster = Watch::new(address, config.names.clone(), config.known, asking);
    let chat = drivers.start("chat", config.settings, tuning(&bounds), engines, roster)?;
    let Operation { management, shared } = operation;
    tokio::task::spawn_local(follow(config::OperatorCommands::new(shared.clone()), chat.clone()));
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
        serve_operators(listener, front, bounds.management_connections);
    }
    let bodies = Rc::new(Bodies::new(bounds.body_read_bytes, phases.clone()));
    let fronts = Fronts {
        platform: Platform::new(chat.clone(), config.names, bodies.clone()),
        inference: models.map(|models| Inference::new(models, bodies, stamp)),
        phase: phases.clone(),
        shared: shared.clone(),
    };
    log::info!("serving name={} listen={}", config.name, listener.local_addr()?);
    let limits = ServeLimits {
        connections: bounds.client_connections,
        spare: bounds.excess_client_connections,
        buffer: bounds.connection_buffer_bytes,
        ahead: bounds.read_ahead_bytes,
        stall: CLIENT_STALL,
        head: CLIENT_HEAD,
        idle: CLIENT_IDLE,
        idle_least: CLIENT_IDLE_LEAST,
    };
    claim_when_ready(&chat, &shared);
    let mut served = tokio::task::spawn_local(net::serve(listener, Rc::new(fronts), limits, phases));
    tokio::select! {
        Some(how) = drivers_end.recv() => return Err(format!("a driver ended: {how}").into()),
        how = &mut served => return Err(format!("no client is taken any more: {how:?}").into()),
        () = stop => {}
    }
    // Where a new version takes clients already on the same socket, none must come here any more.
    let superseded = shared.is_superseded();
    log::info!("stopping open={} superseded={superseded}", chat.open());
    phase.send_replace(if superseded { Phase::Superseded } else { Phase::Leaving });
    let plan = StopPlan::new(Instant::now(), &chat.settings(), config.resume);
    gateways.iter().for_each(|gateway| gateway.leave(plan.departure));
    if !superseded {
        tokio::time::sleep(plan.serve_for).await;
        phase.send_replace(Phase::Closing);
    }
    tokio::select! {
        served = &mut served => served?,
        () = tokio::time::sleep_until(plan.departure.answers_by) => {
            // Whatever has not come to its end by now would come to a process that is being killed.
            phase.send_replace(Phase::Ended);
            served.await?;
        }
    }
    end_releases(&gateways, plan.ends_by).await;
    log::info!("stopped open={}", chat.open());
    Ok(())
}

/// Waits until all that servers hold for requests was let go, or the process has to end.
async fn end_releases(gateways: &[Gateway<HttpEngines>], by: Instant) {
    tokio::time::sleep(LAST_RELEASES).await;
    let is_busy = |gateway: &Gateway<HttpEngines>| gateway.open() > 0 || gateway.is_releasing();
    while gateways.iter().any(is_busy) && Instant::now() < by {
        tokio::time::sleep(LAST_LOOK_EVERY).await;
    }
}
