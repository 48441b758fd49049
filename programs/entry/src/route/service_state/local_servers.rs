//! Local servers of one service with their slots, health and load.

use crate::server::Server;
use crate::settings::Settings;
use crate::snapshot::Snapshot;
use base::id::{self, Incarnation, Label};
use indexmap::{IndexMap, IndexSet};
use peers::share::Load;
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::balance::{self, Balancer, OutlierDetector, Slots};
use steering::drain::LeavingServers;
use steering::retry::{self, Budget};
use tokio::sync::Semaphore;

/// Requests of one version that search for a slot at the same time; the others wait in order.
///
/// Each search sends messages to other entries, so their number must not grow with the queue.
const MAX_SEARCHING: usize = 8;
/// Mean service time before the first measurement.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(50);
/// Time constant of the smoothed rates.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Local servers of one service, and what was measured of their requests.
#[derive(Debug)]
pub(super) struct LocalServers {
    pub(super) slots: Slots,
    pub(super) versions: IndexMap<Label, Version>,
    pub(super) servers: IndexMap<id::Server, Arc<Server>>,
    pub(super) leaving: LeavingServers,
    /// Servers that refused their last connection.
    pub(super) refusing: IndexSet<id::Server>,
    /// Servers whose last probe reported cold caches.
    pub(super) warming: IndexSet<id::Server>,
    pub(super) budget: Budget,
    pub(super) mean_service_time: f64,
    pub(super) arrivals: Rate,
    pub(super) lent: Rate,
}

/// Servers of one version.
#[derive(Debug)]
pub(super) struct Version {
    pub(super) balancer: Balancer,
    pub(super) outliers: OutlierDetector,
    pub(super) search_permits: Arc<Semaphore>,
}

impl Default for Version {
    fn default() -> Self {
        let settings = balance::Settings::default();
        Self {
            balancer: Balancer::new(settings.clone()),
            outliers: OutlierDetector::new(settings),
            search_permits: Arc::new(Semaphore::new(MAX_SEARCHING)),
        }
    }
}

/// Smoothed rate of events.
#[derive(Debug)]
pub(super) struct Rate {
    pub(super) count: u32,
    pub(super) per_second: f64,
    pub(super) since: Instant,
}

impl Rate {
    pub(super) fn new(since: Instant) -> Self {
        Self {
            count: 0,
            per_second: 0.0,
            since,
        }
    }

    pub(super) fn update(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.since).as_secs_f64();
        if elapsed > 0.0 {
            let weight = 1.0 - (-elapsed / RATE_TIME_CONSTANT.as_secs_f64()).exp();
            self.per_second += weight * (f64::from(self.count) / elapsed - self.per_second);
            self.count = 0;
            self.since = now;
        }
    }
}

impl LocalServers {
    /// Creates the state without servers; `now` is the start of the entry.
    pub(super) fn new(settings: &Settings, incarnation: Incarnation, now: Instant) -> Self {
        let settle = settings.settle.0;
        Self {
            slots: Slots::new(settings.vm.clone(), incarnation, settle, now),
            versions: IndexMap::new(),
            servers: IndexMap::new(),
            leaving: LeavingServers::default(),
            refusing: IndexSet::new(),
            warming: IndexSet::new(),
            budget: Budget::new(retry::Settings::default()),
            mean_service_time: INITIAL_SERVICE_TIME.as_secs_f64(),
            arrivals: Rate::new(now),
            lent: Rate::new(now),
        }
    }

    pub(super) fn is_usable(
        &self,
        server: &Server,
        tried: &[id::Server],
        snapshot: &Snapshot,
    ) -> bool {
        let name = &server.listed.name;
        !tried.contains(name)
            && !self.refusing.contains(name)
            && self.leaving.may_start(name)
            && snapshot.accepts_work(server)
    }

    /// Chooses a usable server with a free slot and a free connection of this entry.
    pub(super) fn choose(
        &mut self,
        label: &str,
        tried: &[id::Server],
        snapshot: &Snapshot,
        now: Instant,
    ) -> Option<Arc<Server>> {
        let mut version = self.versions.shift_remove(label)?;
        let has_free_slot = |name: &str| {
            self.servers.get(name).is_some_and(|server| {
                self.is_usable(server, tried, snapshot)
                    && self.slots.free(name) > 0
                    && server.has_connection()
            })
        };
        let outliers = &mut version.outliers;
        let chosen = (version.balancer).choose(has_free_slot, outliers, now, &mut rand::rng());
        self.versions.insert(label.into(), version);
        self.servers.get(&chosen?).cloned()
    }

    pub(super) fn remove(&mut self, name: &str) {
        for version in self.versions.values_mut() {
            version.balancer.remove(name);
            version.outliers.remove(name);
        }
        self.leaving.remove(name);
        self.refusing.swap_remove(name);
        self.warming.swap_remove(name);
        self.servers.shift_remove(name);
    }

    pub(super) fn insert(&mut self, server: &Arc<Server>) {
        let listed = &server.listed;
        let version = self.versions.entry(listed.label.clone()).or_default();
        if !self.servers.contains_key(&listed.name) {
            version.balancer.insert(listed.name.clone(), None);
            version.outliers.insert(listed.name.clone());
        }
        self.servers.insert(listed.name.clone(), server.clone());
    }

    pub(super) fn measure(&mut self, snapshot: &Snapshot, now: Instant) -> Load {
        self.arrivals.update(now);
        self.lent.update(now);
        let is_usable = |server: &&Arc<Server>| self.is_usable(server, &[], snapshot);
        let slots: u32 = (self.servers.values().filter(is_usable))
            .map(|server| server.listed.slots)
            .sum();
        Load {
            healthy: slots > 0,
            capacity: f64::from(slots) / self.mean_service_time,
            demand: self.arrivals.per_second,
        }
    }
}
