//! The signals that ask for a planned stop or for the configuration to be read again.
//!
//! Their handlers only set flags, which are looked at from time to time: a pipe from the handler to the event loop would be
//! one more thing to read, and a read may be interrupted.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::flag;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// How often it is looked whether a signal has come.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// Listens for SIGTERM and SIGINT, which ask for a stop, and SIGHUP. Gives what waits for a stop, and what tells of each
/// order to read the configuration again; a signal that came before the wait counts. Needs a local set.
pub fn listen_for_signals() -> io::Result<(impl Future<Output = ()>, mpsc::Receiver<()>)> {
    let (stopping, hung_up) = (Arc::<AtomicBool>::default(), Arc::<AtomicBool>::default());
    for signal in [SIGTERM, SIGINT] {
        flag::register(signal, stopping.clone())?;
    }
    flag::register(SIGHUP, hung_up.clone())?;
    let (ask_stop, stop) = oneshot::channel();
    let (ask_reload, reload) = mpsc::channel(1);
    tokio::task::spawn_local(async move {
        let mut ask_stop = Some(ask_stop);
        loop {
            tokio::time::sleep(LOOK_EVERY).await;
            if hung_up.swap(false, Ordering::Relaxed) {
                // One that is asked for already reads what is there when it begins.
                let _ = ask_reload.try_send(());
            }
            if stopping.load(Ordering::Relaxed)
                && let Some(ask_stop) = ask_stop.take()
            {
                // Nobody is left to ask when the daemon has returned.
                let _ = ask_stop.send(());
            }
        }
    });
    let stopped = async move {
        if stop.await.is_err() {
            // Nobody looks for signals any more.
            std::future::pending::<()>().await;
        }
    };
    Ok((stopped, reload))
}
