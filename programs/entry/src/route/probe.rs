//! Probes the health of local servers.

use super::Router;
use crate::server::Server;
use base::id;
use indexmap::IndexMap;
use rand::RngExt;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;

/// Time between two checks for servers whose probe is due.
const TICK: Duration = Duration::from_millis(50);
/// Most entries by which the probe interval of a server is multiplied.
///
/// Entries don't share the results of probes, and each must know a leaving server within 3 s.
const MAX_PROBING_ENTRIES: u32 = 2;
/// Width of the random spread of probe times, as a share of the interval.
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
        let probing =
            u32::try_from(entries).map_or(MAX_PROBING_ENTRIES, |n| n.clamp(1, MAX_PROBING_ENTRIES));
        let interval = settings.probe_interval.0 * probing;
        let now = Instant::now();
        due.retain(|name, _| snapshot.server(name).is_some());
        for server in snapshot.listed() {
            let listed = &server.listed;
            // Servers of services that aren't configured get no requests.
            let local = listed.data_centre == settings.data_centre
                && snapshot.service(&listed.service).is_some();
            if !local {
                continue;
            }
            // The first probe comes at a random time within the interval, to spread the probes.
            let first_at = || now + interval.mul_f64(rand::rng().random());
            let probe_at = due.entry(listed.name.clone()).or_insert_with(first_at);
            if *probe_at <= now {
                let factor = 1.0 + JITTER * (rand::rng().random::<f64>() - 0.5);
                *probe_at = now + interval.mul_f64(factor);
                tokio::spawn(probe(router.clone(), server.clone()));
            }
        }
        stop.run_until_cancelled(tokio::time::sleep(TICK)).await;
    }
}

async fn probe(router: Arc<Router>, server: Arc<Server>) {
    let sent_at = Instant::now();
    let timeout = router.settings.probe_timeout.0;
    let health = backends::probe::check(server.listed.address, timeout).await;
    router.metrics.record_probe(health.is_ok());
    let state = router.service_state(&server.listed.service);
    state.record_probe(&server.listed.name, health.ok().as_ref(), sent_at);
}
