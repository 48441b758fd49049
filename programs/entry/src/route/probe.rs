//! Probes the health of local servers.

use super::Router;
use crate::server::Server;
use base::id;
use indexmap::IndexMap;
use rand::RngExt;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;

/// Time between two looks for servers that are due.
const TICK: Duration = Duration::from_millis(50);
/// Most entries among which the probes of a server are divided.
///
/// Entries don't tell each other what their probes showed, and a leaving server must be known
/// everywhere within 3 s.
const MOST_ENTRIES: u32 = 2;
/// Part of the interval by which probes are spread.
const JITTER: f64 = 0.2;

/// Probes until `stop` is cancelled.
pub(super) async fn run(router: Arc<Router>, stop: CancellationToken) {
    let mut due: IndexMap<id::Server, Instant> = IndexMap::new();
    while !stop.is_cancelled() {
        let snapshot = router.snapshot.borrow().clone();
        let settings = &router.settings;
        let entries = (snapshot.nodes().iter())
            .filter(|node| node.data_centre == settings.data_centre)
            .count();
        let parts = u32::try_from(entries).map_or(MOST_ENTRIES, |n| n.clamp(1, MOST_ENTRIES));
        let interval = settings.probe_interval.0 * parts;
        let now = Instant::now();
        due.retain(|name, _| snapshot.server(name).is_some());
        for server in snapshot.listed() {
            let listed = &server.listed;
            // Servers of services that the configuration doesn't have get no requests.
            let local = listed.data_centre == settings.data_centre
                && snapshot.service(&listed.service).is_some();
            if !local {
                continue;
            }
            // The first probe of a server comes at a random time within the interval.
            let first = || now + interval.mul_f64(rand::rng().random());
            let at = due.entry(listed.name.clone()).or_insert_with(first);
            if *at <= now {
                let factor = 1.0 + JITTER * (rand::rng().random::<f64>() - 0.5);
                *at = now + interval.mul_f64(factor);
                tokio::spawn(check(router.clone(), server.clone()));
            }
        }
        stop.run_until_cancelled(tokio::time::sleep(TICK)).await;
    }
}

async fn check(router: Arc<Router>, server: Arc<Server>) {
    let asked = Instant::now();
    let limit = router.settings.probe_timeout.0;
    let health = backends::probe::check(server.listed.address, limit).await;
    router.metrics.record_probe(health.is_ok());
    let shard = router.shard(&server.listed.service);
    shard.probed(&server.listed.name, health.ok().as_ref(), asked);
}
