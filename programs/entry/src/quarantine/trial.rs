//! Reserves backend servers for trial runs.

use super::crash::accepts_connections;
use super::{PEER_TIMEOUT, Quarantine, Reservation, lock};
use crate::server::Server;
use crate::snapshot::Snapshot;
use base::id;
use indexmap::IndexSet;
use operators::service;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time after the last suspected request of a service until its trial server is freed.
const RESERVATION_TIME: Duration = Duration::from_secs(15);

impl Quarantine {
    /// Returns the trial server of a service if it has no request in flight. Reserves a server, and
    /// returns none, if the service has no trial server, or if it failed a trial or is gone.
    pub(super) async fn trial_server(
        &self,
        service: &service::Service,
        snapshot: &Snapshot,
    ) -> Option<Arc<Server>> {
        let name = &service.service.value;
        let reserved = lock(&self.trial_servers).get(name).cloned();
        let failed = reserved.as_ref().map(|reserved| reserved.server.clone());
        if let Some(reserved) = reserved.filter(|reserved| !reserved.failed) {
            let server = snapshot
                .all_servers()
                .find(|server| server.listed.name == reserved.server);
            if let Some(server) = server
                && accepts_connections(server.listed.address).await
            {
                self.reserve(name, &reserved.server, snapshot);
                return (server.in_flight() == 0).then(|| server.clone());
            }
        }
        let own = snapshot.nodes().iter().find(|node| node.name == self.vm)?;
        let mut candidates: Vec<_> = snapshot.servers(name, snapshot.label(service)).collect();
        candidates.sort_by_key(|server| {
            let listed = &server.listed;
            let is_remote = listed.data_centre != own.data_centre;
            let failed = failed.as_ref() == Some(&listed.name);
            (
                failed,
                is_remote,
                listed.region != own.region,
                listed.name.clone(),
            )
        });
        for server in candidates {
            if accepts_connections(server.listed.address).await {
                log::info!("server {} is left free for trial runs", server.listed.name);
                self.reserve(name, &server.listed.name, snapshot);
                // Other VMs may still have requests on it.
                lock(&self.register).restart_settling(Instant::now());
                self.exchange_due.notify_one();
                break;
            }
        }
        None
    }

    fn reserve(&self, service: &str, server: &str, snapshot: &Snapshot) {
        let reserved = Reservation {
            server: server.into(),
            expires_at: Instant::now() + RESERVATION_TIME,
            failed: false,
        };
        lock(&self.trial_servers).insert(service.into(), reserved);
        self.mark_reserved(snapshot);
    }

    /// Returns the servers that this VM has reserved.
    pub(super) fn own_reserved(&self) -> Vec<id::Server> {
        let now = Instant::now();
        let mut trials = lock(&self.trial_servers);
        trials.retain(|_, reserved| now < reserved.expires_at);
        trials
            .values()
            .map(|reserved| reserved.server.clone())
            .collect()
    }

    /// Marks the servers that any live VM has reserved, and frees the others.
    pub(super) fn mark_reserved(&self, snapshot: &Snapshot) {
        let now = Instant::now();
        let mut reserved: IndexSet<id::Server> = self.own_reserved().into_iter().collect();
        let peers = lock(&self.peers);
        let live = peers
            .values()
            .filter(|peer| now < peer.last_heard + PEER_TIMEOUT);
        reserved.extend(live.flat_map(|peer| peer.reserved.iter().cloned()));
        drop(peers);
        for server in snapshot.all_servers() {
            server.set_reserved(reserved.contains(&server.listed.name));
        }
    }
}
