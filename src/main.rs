//! The meadowlug gateway: reads its configuration, starts the parts, and serves until it is stopped.
#![forbid(unsafe_code)]

use meadowlug::config::Config;
use meadowlug::front::{Platform, Shared};
use meadowlug::gateway::{self, Changes, Gateway, Tuning};
use meadowlug::net::{self, HttpEngines, Phase, Pool, PoolLimits, ServeLimits, Watch};
use std::error::Error;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// How long after the signal new connections and requests are still taken.
const LEAVING: Duration = Duration::from_millis(500);
/// What is let go after the last answer still has to reach an engine.
const LAST_RELEASES: Duration = Duration::from_millis(300);

/// Hands the roster's changes to the gateway.
async fn follow(mut changes: impl Changes, gateway: Gateway<HttpEngines>) {
    while let Some(change) = changes.next().await {
        log::info!("roster rev={} form={:?} entries={}", change.revision, change.form, change.engines.len());
        if gateway.tell(change).is_err() {
            return;
        }
    }
}

async fn run(config: Config) -> Result<(), Box<dyn Error>> {
    let sockets = config.resources.sockets;
    let pool = Pool::new(PoolLimits {
        connections: sockets * 3 / 10,
        dial_timeout: config.dial_timeout,
        idle: config.idle_limit / 2,
    });
    let engines = HttpEngines::new(pool.clone(), config.load.clone(), true);
    let classes = config.settings.classes.clone();
    let (gateway, driver) = gateway::start(config.settings, config.seed, engines, Tuning::default())?;
    let roster = Watch::new(&config.discovery, config.names.clone(), config.known);
    tokio::task::spawn_local(follow(roster, gateway.clone()));
    tokio::task::spawn_local(async move {
        loop {
            tokio::time::sleep(Duration::from_secs(1)).await;
            pool.retire();
        }
    });
    let (phase, phases) = watch::channel(Phase::Serving);
    let shared = Shared { names: config.names, classes };
    let front = Rc::new(Platform::new(gateway.clone(), shared, phases.clone()));
    let listener = tokio::net::TcpListener::bind(&config.listen).await?;
    log::info!("serving name={} listen={}", config.name, config.listen);
    let limits = ServeLimits { connections: sockets / 2, spare: sockets / 10, idle: Duration::from_secs(60) };
    let served = tokio::task::spawn_local(net::serve(listener, front, limits, phases));
    tokio::select! {
        ended = driver => return Err(format!("the driver ended: {ended:?}").into()),
        asked = net::stop_asked() => asked?,
    }
    log::info!("stopping open={}", gateway.open());
    phase.send_replace(Phase::Leaving);
    tokio::time::sleep(LEAVING).await;
    phase.send_replace(Phase::Closing);
    served.await?;
    tokio::time::sleep(LAST_RELEASES).await;
    log::info!("stopped open={}", gateway.open());
    Ok(())
}

fn start() -> Result<(), Box<dyn Error>> {
    meadowlug::log::start(std::env::var("MEADOWLUG_LOG").ok().as_deref());
    let path = std::env::var("BALANCER_CONFIG").map_err(|_| "BALANCER_CONFIG is not set")?;
    let config = Config::decode(&std::fs::read(path)?)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, run(config))
}

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("meadowlug: {error}");
            ExitCode::FAILURE
        }
    }
}
