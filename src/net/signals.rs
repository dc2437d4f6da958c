//! Signals that request a planned shutdown or a reload of the configuration.
//!
//! The signal handlers only set flags, which a task polls. A pipe from the handler to the event loop would be
//! one more descriptor to read, and a read may be interrupted.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::flag;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Interval at which the signal flags are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Installs handlers for SIGTERM and SIGINT, which request a shutdown, and for SIGHUP, which requests a
/// reload. Returns a future that completes on a shutdown request, and a receiver of reload requests. A signal
/// that arrives before either is awaited is not lost. Must be called within a local task set.
pub fn listen_for_signals() -> io::Result<(impl Future<Output = ()>, mpsc::Receiver<()>)> {
    let (stop_requested, reload_requested) = (Arc::<AtomicBool>::default(), Arc::<AtomicBool>::default());
    for signal in [SIGTERM, SIGINT] {
        flag::register(signal, stop_requested.clone())?;
    }
    flag::register(SIGHUP, reload_requested.clone())?;
    let (stop_sender, stop_receiver) = oneshot::channel();
    let (reload_sender, reload_receiver) = mpsc::channel(1);
    tokio::task::spawn_local(async move {
        let mut stop_sender = Some(stop_sender);
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            if reload_requested.swap(false, Ordering::Relaxed) {
                // If a reload is already pending, it reads the current
                // file when it begins, so the request may be dropped.
                let _ = reload_sender.try_send(());
            }
            if stop_requested.load(Ordering::Relaxed)
                && let Some(stop_sender) = stop_sender.take()
            {
                // The receiver is gone once the daemon has returned.
                let _ = stop_sender.send(());
            }
        }
    });
    let shutdown = async move {
        if stop_receiver.await.is_err() {
            // The polling task has ended, so no signal can be reported any more.
            std::future::pending::<()>().await;
        }
    };
    Ok((shutdown, reload_receiver))
}
