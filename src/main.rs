//! The meadowlug gateway: reads the configuration and serves requests until the process is asked to stop.
#![forbid(unsafe_code)]

use meadowlug::config::{Config, Inference, Reload, SharedState};
use meadowlug::{daemon, net};
use std::error::Error;
use std::process::ExitCode;

fn run() -> Result<(), Box<dyn Error>> {
    meadowlug::log::start(std::env::var("MEADOWLUG_LOG").ok().as_deref());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, serve())
}

async fn serve() -> Result<(), Box<dyn Error>> {
    // The handlers are installed first, because a signal without a handler would end the process.
    let (stop_requested, reload_requests) = net::listen_for_signals()?;
    let path = std::env::var_os("BALANCER_CONFIG").ok_or("BALANCER_CONFIG is not set")?;
    let config = Config::decode(&std::fs::read(&path)?)?;
    let inference = match std::env::var_os("MEADOWLUG_INFERENCE") {
        Some(path) => Some(Inference::decode(&std::fs::read(path)?)?),
        None => None,
    };
    let listener = match std::env::var("BALANCER_INHERITED_FD") {
        Ok(inherited_fd) => tokio::net::TcpListener::from_std(net::inherited_listener(&inherited_fd)?)?,
        Err(_) => net::bind(&config.listen).await?,
    };
    let management = match config.management.clone().or(std::env::var("BALANCER_MANAGEMENT").ok()) {
        Some(address) => Some(net::bind(&address).await?),
        None => None,
    };
    // Without a management address there are no operator commands and no handover to a new version, so
    // nothing is shared between processes.
    let folder = std::env::var_os("TMPDIR").filter(|_| management.is_some()).map(Into::into);
    let operator_interface =
        daemon::OperatorInterface { management, shared: SharedState::new(folder, &config.name) };
    let reload = Reload::new(path.into(), &config, reload_requests);
    daemon::run(config, inference, Some(reload), listener, operator_interface, stop_requested).await
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("meadowlug: {error}");
            ExitCode::FAILURE
        }
    }
}
