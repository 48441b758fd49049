//! Tasks of the look-up.

use crate::index::{Index, REFRESH_INTERVAL};
use crate::metrics::Metrics;
use crate::server;
use crate::settings::Settings;
use peers::local;
use prometheus_client::registry::Registry;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use steering::drain::{Stop, StopTimes};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Runs until `stop` is cancelled.
///
/// # Errors
///
/// Fails if an address can't be bound.
pub async fn run(settings: Settings, stop: CancellationToken) -> io::Result<()> {
    let listener = TcpListener::bind(settings.listen).await?;
    let metrics_listener = TcpListener::bind(settings.metrics).await?;
    let metrics = Arc::new(Metrics::default());
    let mut registry = Registry::with_prefix("cardamomhall");
    metrics.register(&mut registry);
    let index = watch::Sender::new(Arc::new(Index::default()));
    let receiver = index.subscribe();
    let home = settings.data_centre.clone();
    let build = |state: &local::State| {
        let seconds = base::clock::unix_millis() / 1000;
        index.send_modify(|current| *current = Arc::new(current.next(state, &home, seconds)));
    };
    let last = Mutex::new(None);
    let update = |state: &local::State| {
        build(state);
        *last.lock().unwrap_or_else(PoisonError::into_inner) = Some(state.clone());
    };
    let refresh = async {
        loop {
            tokio::time::sleep(REFRESH_INTERVAL).await;
            let state = last.lock().unwrap_or_else(PoisonError::into_inner).clone();
            state.iter().for_each(build);
        }
    };
    let refresh_stop = stop.clone();
    log::info!("listening on {}", settings.listen);
    let (signal, stop) = (stop, CancellationToken::new());
    let times = StopTimes {
        propagation: Duration::ZERO,
        cache_ttl: settings.stop_wait.0,
        max_request: Duration::ZERO,
    };
    tokio::join!(
        delay_stop(signal, times, stop.clone()),
        local::follow(settings.control, None, stop.clone(), update),
        refresh_stop.run_until_cancelled(refresh),
        server::run(listener, receiver, metrics, stop.clone()),
        base::metrics::serve(metrics_listener, registry, stop),
    );
    log::info!("stopped");
    Ok(())
}

/// Waits for `signal` and then until callers no longer cache an answer that names this VM, and
/// cancels `stop`.
async fn delay_stop(signal: CancellationToken, times: StopTimes, stop: CancellationToken) {
    signal.cancelled().await;
    let now = Instant::now();
    if let Ok(cached) = Stop::begin(now, times).withdrawn(now, true) {
        tokio::time::sleep_until(cached.until().into()).await;
    }
    stop.cancel();
}
