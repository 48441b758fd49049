//! Graceful shutdown on SIGTERM and SIGINT.

use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// Returns a token that is cancelled when the process receives SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if the signal handlers can't be installed.
pub fn on_signal() -> std::io::Result<CancellationToken> {
    let token = CancellationToken::new();
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let stop = token.clone();
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        log::info!("received a stop signal");
        stop.cancel();
    });
    Ok(token)
}
