//! Starts and stops the tasks of the entry.

use crate::metrics::Metrics;
use crate::pipeline::Pipeline;
use crate::quarantine::exchange;
use crate::release::{self, Releases};
use crate::settings::Settings;
use crate::snapshot::Snapshot;
use crate::{share, stop};
use backends::client;
use base::http::server::Limits;
use base::id::Incarnation;
use peers::local;
use prometheus_client::registry::Registry;
use std::io;
use std::sync::Arc;
use std::time::Instant;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Runs until `stop` is cancelled, then withdraws this VM from look-up answers and finishes the
/// requests in flight.
///
/// # Errors
///
/// Fails if an address can't be bound.
pub async fn run(settings: Settings, stop: CancellationToken) -> io::Result<()> {
    let listener = TcpListener::bind(settings.listen).await?;
    let share = TcpListener::bind(settings.share).await?;
    let metrics_listener = TcpListener::bind(settings.metrics).await?;
    // The port stays bound until the process has ended. A successor that could bind it earlier
    // would take over this VM's floor while requests here still spend tokens from it.
    let share = share.into_std()?;
    let _bound = share.try_clone()?;
    let share = TcpListener::from_std(share)?;
    let incarnation = rand::random::<Incarnation>().max(1);
    let metrics = Arc::new(Metrics::default());
    let mut registry = Registry::with_prefix("cardamomhall");
    metrics.register(&mut registry);
    let snapshot = watch::Sender::new(Arc::new(Snapshot::default()));
    let releases = Arc::new(Releases::default());
    let quarantine_snapshots = snapshot.subscribe();
    let confirmed = watch::Sender::new(None::<Instant>);
    let end_time = watch::Sender::new(None::<Instant>);
    let pipeline = Arc::new(Pipeline::new(
        settings.clone(),
        incarnation,
        snapshot.subscribe(),
        releases.clone(),
        confirmed.subscribe(),
        end_time.subscribe(),
        metrics.clone(),
    ));
    let release_snapshots = snapshot.subscribe();
    let pool = client::Settings {
        read_timeout: settings.read_timeout.0,
        ..client::Settings::default()
    };
    let update = move |state: &local::State| {
        snapshot.send_modify(|current| *current = Arc::new(current.updated(state, &pool)));
    };
    let confirm = move |at: Instant| {
        confirmed.send_modify(|last| *last = Some(at).max(*last));
    };
    let limits = Limits {
        connections: settings.connections,
        drain_timeout: settings.drain_timeout.0,
        ..Limits::default()
    };
    let (share_pipeline, admission_pipeline, passed_pipeline) =
        (pipeline.clone(), pipeline.clone(), pipeline.clone());
    let quarantine = pipeline.quarantine().clone();
    let router = pipeline.router().clone();
    let handler = move |request, _| {
        let pipeline = pipeline.clone();
        async move { pipeline.handle(request).await }
    };
    log::info!("vm {} serving on {}", settings.vm, settings.listen);
    let (withdrawn, refuse, end) =
        <(CancellationToken, CancellationToken, CancellationToken)>::default();
    let stop_tokens = (stop.clone(), withdrawn.clone());
    let serve = async {
        tokio::join!(
            base::http::server::serve(listener, limits, refuse.clone(), handler),
            passed_pipeline.finish_passed(refuse.clone()),
        );
        end.cancel();
    };
    tokio::join!(
        stop::run(&settings, stop, withdrawn, refuse.clone(), end_time),
        serve,
        release::run(
            releases,
            release_snapshots,
            &settings,
            stop_tokens,
            end.clone()
        ),
        local::follow(settings.control, Some(incarnation), end.clone(), update),
        admission_pipeline.admission.run(end.clone()),
        local::follow_confirmations(settings.control, end.clone(), confirm),
        exchange::run(
            quarantine,
            quarantine_snapshots,
            settings.control,
            end.clone()
        ),
        router.run(end.clone()),
        share::run(share, share_pipeline, end.clone()),
        base::metrics::serve(metrics_listener, registry, end.clone()),
    );
    log::info!("stopped");
    Ok(())
}
