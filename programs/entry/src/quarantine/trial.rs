//! Servers that are left free for trial runs.

use super::crash::accepts;
use super::{Quarantine, Reserved, SILENCE, lock};
use crate::server::Server;
use crate::snapshot::Snapshot;
use base::id;
use indexmap::IndexSet;
use operators::service;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time after the last suspected request of a service until its trial server is freed.
const RESERVED: Duration = Duration::from_secs(15);

impl Quarantine {
    /// Returns the trial server of a service if it is empty and reserved for long enough;
    /// reserves another one if it is gone.
    pub(super) async fn trial_server(
        &self,
        service: &service::Service,
        snapshot: &Snapshot,
    ) -> Option<Arc<Server>> {
        let name = &service.service.value;
        let reserved = lock(&self.trials).get(name).cloned();
        let failed = reserved.as_ref().map(|reserved| reserved.server.clone());
        if let Some(reserved) = reserved.filter(|reserved| !reserved.failed) {
            let server = snapshot
                .all_servers()
                .find(|server| server.listed.name == reserved.server);
            if let Some(server) = server
                && accepts(server.listed.address).await
            {
                self.reserve(name, &reserved.server, snapshot);
                return (server.in_flight() == 0).then(|| server.clone());
            }
        }
        let own = snapshot.nodes().iter().find(|node| node.name == self.vm)?;
        let mut candidates: Vec<_> = snapshot.servers(name, snapshot.label(service)).collect();
        candidates.sort_by_key(|server| {
            let listed = &server.listed;
            let far = listed.data_centre != own.data_centre;
            let failed = failed.as_ref() == Some(&listed.name);
            (
                failed,
                far,
                listed.region != own.region,
                listed.name.clone(),
            )
        });
        for server in candidates {
            if accepts(server.listed.address).await {
                log::info!("server {} is left free for trial runs", server.listed.name);
                self.reserve(name, &server.listed.name, snapshot);
                // Other VMs may still have requests on it.
                lock(&self.register).restart_settling(Instant::now());
                self.news.notify_one();
                break;
            }
        }
        None
    }

    fn reserve(&self, service: &str, server: &str, snapshot: &Snapshot) {
        let reserved = Reserved {
            server: server.into(),
            until: Instant::now() + RESERVED,
            failed: false,
        };
        lock(&self.trials).insert(service.into(), reserved);
        self.mark(snapshot);
    }

    /// Servers that this VM has reserved.
    pub(super) fn own_reserved(&self) -> Vec<id::Server> {
        let now = Instant::now();
        let mut trials = lock(&self.trials);
        trials.retain(|_, reserved| now < reserved.until);
        trials
            .values()
            .map(|reserved| reserved.server.clone())
            .collect()
    }

    /// Marks the servers that any live VM has reserved.
    pub(super) fn mark(&self, snapshot: &Snapshot) {
        let now = Instant::now();
        let mut reserved: IndexSet<id::Server> = self.own_reserved().into_iter().collect();
        let peers = lock(&self.peers);
        let live = peers.values().filter(|peer| now < peer.heard + SILENCE);
        reserved.extend(live.flat_map(|peer| peer.reserved.iter().cloned()));
        drop(peers);
        for server in snapshot.all_servers() {
            server.set_reserved(reserved.contains(&server.listed.name));
        }
    }
}
