//! Graceful shutdown on SIGTERM and SIGINT.

use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// Exit status after a second stop signal.
const EXIT_AT_ONCE: i32 = 1;

/// Returns a token that is cancelled when the process receives SIGTERM or SIGINT.
/// A second signal ends the process at once.
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
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        log::warn!("received a second stop signal; stopping at once");
        std::process::exit(EXIT_AT_ONCE);
    });
    Ok(token)
}
