//! Order of the steps of the entry's own stop.

use crate::settings::Settings;
use std::time::{Duration, Instant};
use steering::drain::{Stop, StopTimes};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Time between two looks at whether the next step may begin.
const LOOK: Duration = Duration::from_millis(20);

/// Waits for `stop`, then until no caller can have a cached answer that names this VM, and then
/// cancels `refuse`, on which the server stops accepting and finishes what is in flight. `end` is told
/// until when requests are finished at least.
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
    log::info!("leaving the look-up answers");
    let now = Instant::now();
    end.send_replace(Some(now + times.cache_ttl + times.max_request));
    let mut step = Stop::begin(now, times);
    let mut cached = loop {
        match step.withdrawn(Instant::now(), withdrawn.is_cancelled()) {
            Ok(next) => break next,
            Err(same) => step = same,
        }
        tokio::time::sleep(LOOK).await;
    };
    end.send_replace(Some(cached.until() + times.max_request));
    log::info!("waiting until cached look-up answers have expired");
    while let Err(same) = cached.refuse(Instant::now()) {
        cached = same;
        tokio::time::sleep(LOOK).await;
    }
    log::info!("refusing new connections");
    refuse.cancel();
}
