//! Graceful shutdown on SIGTERM and SIGINT.

use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// Exit status after a second stop signal.
const EXIT_AT_ONCE: i32 = 1;

/// What a second stop signal does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SecondSignal {
    /// It ends the process at once, and cuts off its requests.
    EndsAtOnce,
    /// Nothing: the stop has an end of its own, and SIGKILL ends the process sooner.
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
        log::warn!("received a second stop signal; stopping at once");
        std::process::exit(EXIT_AT_ONCE);
    });
    Ok(token)
}
