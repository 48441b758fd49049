//! Starts the tasks of the control process.

use crate::settings::Settings;
use crate::state::Shared;
use crate::{admin, gossip, granter, local, reader, release};
use base::http::client::Target;
use prometheus_client::registry::Registry;
use std::io;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Runs until `stop` is cancelled.
///
/// # Errors
///
/// Fails if an address can't be bound.
pub async fn run(settings: Settings, stop: CancellationToken) -> io::Result<()> {
    let local = TcpListener::bind(settings.local).await?;
    let gossip = TcpListener::bind(settings.gossip).await?;
    let admin = TcpListener::bind(settings.admin).await?;
    let metrics = TcpListener::bind(settings.metrics).await?;
    log::info!("vm {} of {} started", settings.vm, settings.data_centre);
    let client = platform::Client::new(Target {
        address: settings.platform,
        timeout: settings.platform_timeout.0,
        authorization: None,
    });
    let shared = Shared::new(settings);
    let (signal, stop) = (stop, CancellationToken::new());
    let mut registry = Registry::with_prefix("cardamomhall");
    shared.metrics.register(&mut registry);
    tokio::join!(
        reader::run(shared.clone(), client.clone(), stop.clone()),
        granter::run(shared.clone(), client.clone(), stop.clone()),
        gossip::run(gossip, shared.clone(), stop.clone()),
        local::run(local, shared.clone(), stop.clone()),
        release::wait_for_entry_shutdown(&shared, signal, stop.clone()),
        release::run(shared.clone(), client.clone(), stop.clone()),
        admin::run(admin, shared.clone(), client, stop.clone()),
        base::metrics::serve(metrics, registry, stop.clone()),
    );
    log::info!("stopped");
    Ok(())
}
