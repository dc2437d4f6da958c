//! Handover of clients between the processes of one gateway that share the clients' socket.

use crate::config::SharedState;
use crate::gateway::Gateway;
use crate::net::{HttpEngines, Phase};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Interval at which a starting process checks whether it can serve.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Delay before another attempt to acquire the lease of a process that accepts clients.
const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Interval at which a stopping process checks whether the process that superseded it still holds its lease.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Acquires the lease of a process that accepts clients, as soon as this process can serve and unless it was
/// asked to stop. The lease lets the gateway's other process detect that it is superseded. Readiness is reported
/// to operators only afterwards, because an operator who sees this process ready may immediately stop the other
/// process.
pub(super) fn claim_when_ready(
    chat: &Gateway<HttpEngines>,
    shared: &SharedState,
    phase: watch::Receiver<Phase>,
) {
    let (chat, shared) = (chat.clone(), shared.clone());
    tokio::task::spawn_local(async move {
        while !(shared.is_loaded() && chat.can_serve()) {
            tokio::time::sleep(READY_CHECK_INTERVAL).await;
        }
        while !phase.borrow().is_shutdown() {
            match shared.claim() {
                Ok(()) => return,
                Err(error) => log::warn!("lease not acquired yet error={error}"),
            }
            tokio::time::sleep(CLAIM_RETRY_DELAY).await;
        }
    });
}

/// Releases the lease of this process, which was asked to stop, and goes on accepting clients for the given time.
/// While another process accepts clients on the same socket, this one only stands by, and accepts them again
/// when the other one ends.
pub(super) async fn accept_or_stand_by(
    shared: &SharedState,
    phase: &watch::Sender<Phase>,
    serve_for: Duration,
) {
    shared.release_claim();
    let serve_until = Instant::now() + serve_for;
    let mut superseded = shared.is_superseded();
    if superseded {
        log::info!("standing by: another process accepts clients");
        phase.send_replace(Phase::StandingBy);
    } else {
        phase.send_replace(Phase::Stopping);
    }
    while superseded && Instant::now() < serve_until {
        tokio::time::sleep(LEASE_CHECK_INTERVAL).await;
        superseded = shared.is_superseded();
        if !superseded {
            log::warn!("accepting clients again: the process that superseded this one does not any more");
            phase.send_replace(Phase::Stopping);
        }
    }
    tokio::time::sleep_until(serve_until).await;
    phase.send_replace(if superseded { Phase::Superseded } else { Phase::Closing });
}
