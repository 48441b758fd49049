//! What is known of the local servers of one service.

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

/// Requests of one version that look for a slot at the same time; the others wait in their order.
///
/// Each look costs messages to other entries, so their number must not grow with the queue.
const FRONT: usize = 8;
/// Assumed time of a request before one was measured.
const ASSUMED_TIME: Duration = Duration::from_millis(50);
/// Time constant of the measured rates.
const RATE_MEMORY: Duration = Duration::from_secs(2);

/// Shared state of the requests of one service.
#[derive(Debug)]
pub(super) struct State {
    pub(super) slots: Slots,
    pub(super) versions: IndexMap<Label, Version>,
    pub(super) servers: IndexMap<id::Server, Arc<Server>>,
    pub(super) leaving: LeavingServers,
    /// Servers that refused their last connection.
    pub(super) down: IndexSet<id::Server>,
    /// Servers whose last probe told of cold caches.
    pub(super) warming: IndexSet<id::Server>,
    pub(super) budget: Budget,
    pub(super) time: f64,
    pub(super) arrived: Rate,
    pub(super) lent: Rate,
}

/// Servers of one version.
#[derive(Debug)]
pub(super) struct Version {
    pub(super) chooser: Balancer,
    pub(super) outlier: OutlierDetector,
    pub(super) front: Arc<Semaphore>,
}

impl Default for Version {
    fn default() -> Self {
        let settings = balance::Settings::default();
        Self {
            chooser: Balancer::new(settings.clone()),
            outlier: OutlierDetector::new(settings),
            front: Arc::new(Semaphore::new(FRONT)),
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
            let weight = 1.0 - (-elapsed / RATE_MEMORY.as_secs_f64()).exp();
            self.per_second += weight * (f64::from(self.count) / elapsed - self.per_second);
            self.count = 0;
            self.since = now;
        }
    }
}

impl State {
    /// Starts without servers; `now` is the start of the entry.
    pub(super) fn new(settings: &Settings, incarnation: Incarnation, now: Instant) -> Self {
        let settle = settings.settle.0;
        Self {
            slots: Slots::new(settings.vm.clone(), incarnation, settle, now),
            versions: IndexMap::new(),
            servers: IndexMap::new(),
            leaving: LeavingServers::default(),
            down: IndexSet::new(),
            warming: IndexSet::new(),
            budget: Budget::new(retry::Settings::default()),
            time: ASSUMED_TIME.as_secs_f64(),
            arrived: Rate::new(now),
            lent: Rate::new(now),
        }
    }

    pub(super) fn fit(&self, server: &Server, tried: &[id::Server], snapshot: &Snapshot) -> bool {
        let name = &server.listed.name;
        !tried.contains(name)
            && !self.down.contains(name)
            && self.leaving.may_start(name)
            && snapshot.accepts_work(server)
    }

    /// Chooses a server of which this entry has a free slot and a free connection.
    pub(super) fn choose(
        &mut self,
        label: &str,
        tried: &[id::Server],
        snapshot: &Snapshot,
        now: Instant,
    ) -> Option<Arc<Server>> {
        let mut version = self.versions.shift_remove(label)?;
        let free = |name: &str| {
            self.servers.get(name).is_some_and(|server| {
                self.fit(server, tried, snapshot)
                    && self.slots.free(name) > 0
                    && server.has_connection()
            })
        };
        let outlier = &mut version.outlier;
        let chosen = (version.chooser).choose(free, outlier, now, &mut rand::rng());
        self.versions.insert(label.into(), version);
        self.servers.get(&chosen?).cloned()
    }

    pub(super) fn remove(&mut self, name: &str) {
        for version in self.versions.values_mut() {
            version.chooser.remove(name);
            version.outlier.remove(name);
        }
        self.leaving.remove(name);
        self.down.swap_remove(name);
        self.warming.swap_remove(name);
        self.servers.shift_remove(name);
    }

    pub(super) fn insert(&mut self, server: &Arc<Server>) {
        let listed = &server.listed;
        let version = self.versions.entry(listed.label.clone()).or_default();
        if !self.servers.contains_key(&listed.name) {
            version.chooser.insert(listed.name.clone(), None);
            version.outlier.insert(listed.name.clone());
        }
        self.servers.insert(listed.name.clone(), server.clone());
    }

    pub(super) fn measure(&mut self, snapshot: &Snapshot, now: Instant) -> Load {
        self.arrived.update(now);
        self.lent.update(now);
        let fit = |server: &&Arc<Server>| self.fit(server, &[], snapshot);
        let slots: u32 = (self.servers.values().filter(fit))
            .map(|server| server.listed.slots)
            .sum();
        Load {
            healthy: slots > 0,
            capacity: f64::from(slots) / self.time,
            demand: self.arrived.per_second,
        }
    }
}
