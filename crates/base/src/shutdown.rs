//! Graceful shutdown on SIGTERM and SIGINT.

use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// Exit status after a second stop signal.
const FORCED_EXIT_STATUS: i32 = 1;

/// Effect of a second stop signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SecondSignal {
    /// The process exits at once and aborts its requests.
    EndsAtOnce,
    /// None: the shutdown is bounded in time, and SIGKILL ends the process sooner.
    ChangesNothing,
}

/// Returns a token that is cancelled when the process receives SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if the signal handlers can't be installed.
pub fn on_signal(second: SecondSignal) -> std::io::Result<CancellationToken> {
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
        if second == SecondSignal::ChangesNothing {
            return;
        }
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        log::warn!("received a second stop signal; exiting at once");
        std::process::exit(FORCED_EXIT_STATUS);
    });
    Ok(token)
}
