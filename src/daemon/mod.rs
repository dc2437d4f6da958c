//! Connects the parts of the gateway and serves requests until the process is asked to stop.

mod handover;
mod stop;

use crate::config::{self, Bounds, Config};
use crate::front::{BodyReader, Fronts, Inference, Management, Model, Platform};
use crate::gateway::{self, ChangeContent, Changes, Gateway, Tuning};
use crate::interface::Settings;
use crate::memory::Memory;
use crate::net::{self, DiscoveryCallParams, HttpEngines, Phase, Pool, PoolLimits, ServeLimits, Watch};
use std::error::Error;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use stop::StopPlan;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// Interval at which a stopping process checks, after the last answer, whether all states have been released.
const RELEASE_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time after the last answer within which the release of its state may still begin.
const RELEASE_START_DELAY: Duration = Duration::from_millis(50);
/// Maximum time without progress on an operator's connection.
const OPERATOR_STALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum time for receiving the head of an operator's request.
const OPERATOR_HEAD_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of bytes buffered for an operator's connection.
const OPERATOR_BUFFER_BYTES: usize = 8 << 10;
/// One in this many engine connections is reserved for calls that release states.
const RESERVED_CONNECTIONS_DIVISOR: usize = 16;
/// Interval at which the pool closes engine connections that have been idle for too long.
const CLOSE_EXPIRED_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum time without progress on a client's connection within a request or before the first one.
const CLIENT_STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time for receiving the head of a client's request.
const CLIENT_HEAD_TIMEOUT: Duration = Duration::from_secs(8);
/// Minimum idle time between two requests before a client's connection is closed to make room for others,
/// unless the maximum number of connections is reached.
const CLIENT_MIN_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum idle time between two requests on a client's connection.
const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Forwards changes from a source to a driver until either of them ends.
async fn forward_changes(mut changes: impl Changes, gateway: Gateway<HttpEngines>) {
    while let Some(change) = changes.next().await {
        match &change.content {
            ChangeContent::Settings(_) => log::info!("settings rev={}", change.revision),
            ChangeContent::Withheld(names) => log::info!("withheld engines={}", names.len()),
            ChangeContent::Roster { form, engines } => {
                log::info!("roster rev={} form={form:?} entries={}", change.revision, engines.len());
            }
        }
        if gateway.apply_change(change).is_err() {
            return;
        }
    }
}

fn driver_tuning(bounds: &Bounds) -> Tuning {
    let mut tuning = Tuning::default();
    tuning.limits.max_requests = bounds.requests;
    tuning.limits.max_body_bytes = bounds.open_chat_bytes;
    tuning
}

/// Returns a receiver for an address that never changes.
fn constant_address(address: &str) -> watch::Receiver<Arc<str>> {
    watch::Sender::new(Arc::from(address)).subscribe()
}

/// Starts drivers and reports the end of each driver.
struct Drivers {
    pool: Rc<Pool>,
    bounds: Bounds,
    seed: u64,
    call_params: DiscoveryCallParams,
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
        tokio::task::spawn_local(forward_changes(roster, gateway.clone()));
        let ended = self.ended.clone();
        tokio::task::spawn_local(async move {
            let result = format!("{:?}", driver.await);
            // The send fails only after the daemon has returned, when the result no longer matters.
            let _ = ended.send(result).await;
        });
        Ok(gateway)
    }

    fn models(&self, file: &config::Inference) -> Result<Vec<Model>, Box<dyn Error>> {
        let mut models = Vec::new();
        for pool in &file.pools {
            let mut tuning = driver_tuning(&self.bounds);
            tuning.limits.answer_retention = file.keep_answers();
            tuning.limits.max_body_bytes = self.bounds.inference_bytes / 2 / file.pools.len();
            tuning.limits.max_retained_bytes = tuning.limits.max_body_bytes;
            let max_answer = self.bounds.max_answer_bytes;
            let engines =
                HttpEngines::new(self.pool.clone(), config::LoadReportFields::default(), false, max_answer);
            let names =
                config::NameTables { kinds: vec![pool.model.clone()], ..config::NameTables::default() };
            let mode = pool.membership_mode.map(|mode| mode == config::MembershipMode::Ask);
            let call_params =
                DiscoveryCallParams { shared: mode.unwrap_or(self.call_params.shared), ..self.call_params };
            let roster =
                Watch::new(constant_address(&pool.discovery), names, pool.known.clone(), call_params);
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

/// Serves operators until the process ends: `connections` at a time, and
/// `extra_connections` more get an error response.
fn serve_operators(
    listener: TcpListener,
    front: Management,
    (connections, extra_connections): (usize, usize),
    memory: Arc<Memory>,
) {
    let limits = ServeLimits {
        connections,
        extra_connections,
        buffer_bytes: OPERATOR_BUFFER_BYTES,
        // The limit on all memory leaves out what these connections need.
        connection_bytes: 0,
        stall_timeout: OPERATOR_STALL_TIMEOUT,
        head_timeout: OPERATOR_HEAD_TIMEOUT,
        idle_timeout: OPERATOR_STALL_TIMEOUT,
        min_idle: OPERATOR_STALL_TIMEOUT / 4,
    };
    let serving = watch::Sender::new(Phase::Serving);
    let phases = serving.subscribe();
    tokio::task::spawn_local(async move {
        net::serve(listener, Rc::new(front), limits, memory, phases).await;
        drop(serving);
    });
}

/// Listener for operators, and the state shared by the processes of one gateway.
pub struct OperatorInterface {
    /// Listener for operators' requests, if management is enabled.
    pub management: Option<TcpListener>,
    /// Operator commands, and the identifier of the process that accepts clients.
    pub shared: config::SharedState,
}

/// Serves on the listener until `stop` completes and the open requests have ended. `reload` updates the
/// settings and the discovery address of the chat front.
pub async fn run(
    config: Config,
    inference: Option<config::Inference>,
    reload: Option<config::Reload>,
    listener: TcpListener,
    operator_interface: OperatorInterface,
    stop: impl Future<Output = ()>,
) -> Result<(), Box<dyn Error>> {
    let bounds = Bounds::from(config.resources);
    let memory = Memory::new(bounds.memory);
    let pool_limits = PoolLimits {
        connections: bounds.engine_connections,
        reserved_for_releases: (bounds.engine_connections / RESERVED_CONNECTIONS_DIVISOR).max(1),
        buffer_bytes: bounds.connection_buffer_bytes,
        connection_bytes: bounds.connection_bytes,
        dial_timeout: config.dial_timeout,
        idle_timeout: config.idle_limit / 2,
    };
    let pool = Pool::with_memory(pool_limits, memory.clone());
    let (ended, mut driver_results) = mpsc::channel(1);
    // The id differs between processes even if their configured seeds are missing or equal: gateways with the
    // same seed would query discovery, and send to servers in slow start, at the same moments.
    let instance_id = gateway::Clock::default().now() ^ config.seed.rotate_left(32);
    let call_params = DiscoveryCallParams {
        shared: config.shared_discovery,
        gateways: config.settings.replicas,
        seed: instance_id,
        announced_after: config.announced_after,
    };
    let drivers = Drivers { pool: pool.clone(), bounds, seed: instance_id, call_params, ended };
    let engines = HttpEngines::new(pool.clone(), config.load.clone(), true, bounds.max_answer_bytes);
    let written_attempts = engines.written_attempts();
    let address =
        reload.as_ref().map_or_else(|| constant_address(&config.discovery), config::Reload::discovery);
    let roster = Watch::new(address, config.names.clone(), config.known, call_params);
    let instance = config.settings.instance;
    let chat = drivers.start("chat", config.settings, driver_tuning(&bounds), engines, roster)?;
    let OperatorInterface { management, shared } = operator_interface;
    tokio::task::spawn_local(forward_changes(config::OperatorCommands::new(shared.clone()), chat.clone()));
    if let Some(reload) = reload {
        tokio::task::spawn_local(forward_changes(reload, chat.clone()));
    }
    let models = inference.as_ref().map(|file| drivers.models(file)).transpose()?;
    let gateways: Vec<_> = models.iter().flatten().map(|m| m.gateway.clone()).chain([chat.clone()]).collect();
    tokio::task::spawn_local(async move {
        loop {
            tokio::time::sleep(CLOSE_EXPIRED_INTERVAL).await;
            pool.close_expired();
        }
    });
    let (phase, phases) = watch::channel(Phase::Serving);
    let phase = Rc::new(phase);
    if let Some(listener) = management {
        let front = Management {
            gateway: chat.clone(),
            classes: config.names.classes.clone(),
            written_attempts,
            memory: memory.clone(),
            shared: shared.clone(),
            phase: phase.clone(),
        };
        serve_operators(listener, front, bounds.management_connections, memory.clone());
    }
    let body_reader = Rc::new(BodyReader::new(memory.clone(), bounds.request_bytes, phases.clone()));
    let fronts = Fronts {
        platform: Platform::new(chat.clone(), config.names, body_reader.clone()),
        inference: models.map(|models| Inference::new(models, body_reader, instance_id)),
        phase: phases.clone(),
        shared: shared.clone(),
    };
    log::info!("serving name={} number={instance:?} listen={}", config.name, listener.local_addr()?);
    let limits = ServeLimits {
        connections: bounds.client_connections,
        extra_connections: bounds.extra_client_connections,
        buffer_bytes: bounds.connection_buffer_bytes,
        connection_bytes: bounds.connection_bytes,
        stall_timeout: CLIENT_STALL_TIMEOUT,
        head_timeout: CLIENT_HEAD_TIMEOUT,
        idle_timeout: CLIENT_IDLE_TIMEOUT,
        min_idle: CLIENT_MIN_IDLE_TIMEOUT,
    };
    handover::claim_when_ready(&chat, &shared, phases.clone());
    let mut served = tokio::task::spawn_local(net::serve(listener, Rc::new(fronts), limits, memory, phases));
    tokio::select! {
        Some(result) = driver_results.recv() => return Err(format!("driver ended: {result}").into()),
        result = &mut served => return Err(format!("client listener ended: {result:?}").into()),
        () = stop => {}
    }
    log::info!("stopping open={}", chat.open_request_count());
    let plan = StopPlan::new(Instant::now(), &chat.settings(), config.resume);
    gateways.iter().for_each(|gateway| gateway.shut_down(plan.schedule));
    handover::accept_or_stand_by(&shared, &phase, plan.serve_for).await;
    tokio::select! {
        served = &mut served => served?,
        () = tokio::time::sleep_until(plan.schedule.answer_deadline) => {
            // Requests still open are ended now, because the process is killed shortly afterwards.
            phase.send_replace(Phase::Ended);
            served.await?;
        }
    }
    wait_for_releases(&gateways, plan.ends_by).await;
    log::info!("stopped open={}", chat.open_request_count());
    Ok(())
}

/// Waits until every state held by servers has been released, or until the process has to end.
async fn wait_for_releases(gateways: &[Gateway<HttpEngines>], deadline: Instant) {
    tokio::time::sleep(RELEASE_START_DELAY).await;
    let is_busy =
        |gateway: &Gateway<HttpEngines>| gateway.open_request_count() > 0 || gateway.has_pending_releases();
    while gateways.iter().any(is_busy) && Instant::now() < deadline {
        tokio::time::sleep(RELEASE_POLL_INTERVAL).await;
    }
}
