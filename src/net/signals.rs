//! The signals that ask for a planned stop.

use std::io;
use tokio::signal::unix::{SignalKind, signal};

/// Waits until the process is asked to stop.
pub async fn stop_asked() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
