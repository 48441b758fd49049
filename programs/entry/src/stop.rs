//! Shutdown of the entry in steps.

use crate::settings::Settings;
use std::time::{Duration, Instant};
use steering::drain::{Stop, StopTimes};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Time between two checks whether the next step may begin.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits for `stop`, then until no caller can have a cached look-up answer that names this VM, and
/// then cancels `refuse`, on which the server stops accepting connections and finishes the requests
/// in flight. `end` is set to the time until which the entry finishes requests at least.
pub async fn run(
    settings: &Settings,
    stop: CancellationToken,
    withdrawn: CancellationToken,
    refuse: CancellationToken,
    end: watch::Sender<Option<Instant>>,
) {
    stop.cancelled().await;
    let times = StopTimes {
        propagation: settings.stop_spread.0,
        cache_ttl: settings.stop_cached.0,
        max_request: settings.drain_timeout.0,
    };
    log::info!("stopping: waiting until look-up answers no longer name this VM");
    let now = Instant::now();
    end.send_replace(Some(now + times.cache_ttl + times.max_request));
    let mut step = Stop::begin(now, times);
    let mut cached = loop {
        match step.withdrawn(Instant::now(), withdrawn.is_cancelled()) {
            Ok(next) => break next,
            Err(same) => step = same,
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    };
    end.send_replace(Some(cached.until() + times.max_request));
    log::info!("stopping: waiting until cached look-up answers have expired");
    while let Err(same) = cached.refuse(Instant::now()) {
        cached = same;
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    log::info!("stopping: refusing new connections");
    refuse.cancel();
}
