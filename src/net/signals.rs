//! The signals that ask for a planned stop or for the configuration to be read again.

use std::io;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;

/// Passes on each SIGHUP, which asks for the configuration to be read again.
pub fn reload_asked() -> io::Result<mpsc::Receiver<()>> {
    let mut hangups = signal(SignalKind::hangup())?;
    let (ask, asked) = mpsc::channel(1);
    tokio::task::spawn_local(
        async move { while hangups.recv().await.is_some() && ask.send(()).await.is_ok() {} },
    );
    Ok(asked)
}

/// Waits until the process is asked to stop, from the call on: a signal that comes before the wait counts.
pub fn stop_asked() -> io::Result<impl Future<Output = ()>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    })
}
