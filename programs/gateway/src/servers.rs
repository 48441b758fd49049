//! Backend servers of each service: what is known of them, and the choice among them.

mod flight;
mod server;
mod shard;

pub use flight::Flight;
pub use shard::{Placed, Query, Shard, Version};

use crate::settings::Settings;
use base::id::{DataCentre, Service};
use base::sync::lock;
use indexmap::{IndexMap, IndexSet};
use server::DOWN_TIME;
use shard::{State, Told};
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, Instant};
use steering::locality::PinnedShares;
use steering::registry::Registry;
use steering::retry::{self, Budget};
use steering::routing::Configuration;
use steering::warmth::{self, ObjectUse, ShortDigest, WarmObjects};

/// Time beyond the warm-up for which servers count as cold after an evacuation: one report.
const EVACUATION_MARGIN: Duration = Duration::from_millis(1_500);
/// Time for which a handled object is told: reports to other regions go out every half second.
const HANDLED_TIME: Duration = Duration::from_millis(600);
/// Part of the operator's bound on sends beyond the first that VMs use together. Windows of the
/// bound and of the budget differ.
const RETRY_PART: f64 = 0.7;

/// Backend servers of all services.
#[derive(Debug)]
pub struct Services {
    shards: RwLock<IndexMap<Service, Arc<Shard>>>,
    settings: Settings,
}

impl Services {
    /// Makes an empty set.
    pub fn new(settings: &Settings) -> Self {
        Self {
            shards: RwLock::default(),
            settings: settings.clone(),
        }
    }

    /// Returns the servers of a service.
    pub fn shard(&self, service: &str) -> Option<Arc<Shard>> {
        self.read().get(service).cloned()
    }

    fn read(&self) -> std::sync::RwLockReadGuard<'_, IndexMap<Service, Arc<Shard>>> {
        self.shards
            .read()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn open(&self, service: &Service) -> Arc<Shard> {
        let mut shards = self
            .shards
            .write()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let make = || {
            Arc::new(Shard {
                state: Mutex::new(State {
                    servers: IndexMap::new(),
                    estimates: IndexMap::new(),
                    budget: Budget::new(retry::Settings {
                        ratio: self.settings.bounds.retry_ratio * RETRY_PART,
                        max_saved: 1.0,
                    }),
                    pressure: IndexMap::new(),
                    bound: PinnedShares::default(),
                    warmth: WarmObjects::default(),
                    handled: Vec::new(),
                    labels: IndexSet::new(),
                    appeared: IndexMap::new(),
                    warmup_rate: 1.0,
                    warmup: Duration::ZERO,
                    tickets: 0,
                }),
                region: self.settings.region.clone(),
                regions: self.settings.regions(),
            })
        };
        shards.entry(service.clone()).or_insert_with(make).clone()
    }

    /// Takes in the settings of the services.
    pub fn configure(&self, configuration: &Configuration) {
        for (name, settings) in &configuration.services {
            let shard = self.open(name);
            let mut state = lock(&shard.state);
            state.warmup_rate = settings.warmup_rate;
            state.warmup = settings.warmup;
        }
    }

    /// Takes in the registered servers.
    pub fn update(&self, registry: &Registry, now: Instant) {
        let mut by_service: IndexMap<&Service, Vec<_>> = IndexMap::new();
        for entry in registry.entries() {
            let service = &entry.registration.service;
            by_service.entry(service).or_default().push(entry);
        }
        let known: Vec<Service> = self.read().keys().cloned().collect();
        for service in known.iter().filter(|s| !by_service.contains_key(*s)) {
            self.open(service).replace(&[], &self.settings, now);
        }
        for (service, entries) in by_service {
            self.open(service).replace(&entries, &self.settings, now);
        }
    }

    /// Treats the servers of data centres as cold, because their evacuation ended.
    pub fn returned(&self, data_centres: &[DataCentre], now: Instant) {
        for shard in self.read().values() {
            let mut state = lock(&shard.state);
            let until = now + state.warmup + EVACUATION_MARGIN;
            for server in state.servers.values_mut() {
                if data_centres.contains(&server.registration.data_centre) {
                    server.warm_up(until, now);
                }
            }
        }
    }

    /// Takes in the load that other VMs report, the servers that refuse them, and their number.
    pub fn reported(
        &self,
        loads: &IndexMap<ShortDigest, u32>,
        down: &IndexSet<ShortDigest>,
        members: usize,
    ) {
        let now = Instant::now();
        let slack = self.settings.bounds.retry_slack * RETRY_PART;
        for shard in self.read().values() {
            let mut state = lock(&shard.state);
            state.budget.set_max_saved(slack / members.max(1) as f64);
            for server in state.servers.values_mut() {
                let digest = warmth::short_digest(server.digest);
                server.others = loads.get(&digest).copied().unwrap_or(0);
                if server.down.is_none() && down.contains(&digest) {
                    server.down = Some((now, server.registration.sequence));
                }
            }
        }
    }

    /// Takes in that servers handled objects for other VMs, of the own data centre or of others.
    pub fn handled(&self, pairs: &[ObjectUse], is_near: bool, now: Instant) {
        for shard in self.read().values() {
            let mut state = lock(&shard.state);
            let own: IndexSet<ShortDigest> = state
                .servers
                .values()
                .map(|server| warmth::short_digest(server.digest))
                .collect();
            for pair in pairs.iter().filter(|pair| own.contains(&pair.server)) {
                let is_news = state.warmth.record(*pair, now);
                if is_near && is_news {
                    state.handled.push(Told {
                        at: now,
                        pair: *pair,
                        is_near,
                    });
                }
            }
        }
    }

    /// Returns the objects that servers handled lately: for this VM, or for its data centre.
    pub fn report_handled(&self, is_summary: bool, now: Instant) -> Vec<ObjectUse> {
        let mut pairs = Vec::new();
        for shard in self.read().values() {
            let mut state = lock(&shard.state);
            let is_new = |at: Instant| now.saturating_duration_since(at) < HANDLED_TIME;
            state.handled.retain(|told| is_new(told.at));
            let told = state.handled.iter().filter(|t| is_summary || !t.is_near);
            pairs.extend(told.map(|told| told.pair));
        }
        pairs
    }

    /// Returns the servers that have requests of this VM, and those that refuse its connections.
    pub fn report(&self, now: Instant) -> (Vec<(ShortDigest, u16)>, Vec<ShortDigest>) {
        let mut loads = Vec::new();
        let mut down = Vec::new();
        for shard in self.read().values() {
            let state = lock(&shard.state);
            for server in state.servers.values() {
                let own = u16::try_from(server.sent.len()).unwrap_or(u16::MAX);
                if own > 0 {
                    loads.push((warmth::short_digest(server.digest), own));
                }
                let is_recent =
                    |since: Instant| now.saturating_duration_since(since) < DOWN_TIME / 4;
                if server.down.is_some_and(|(since, _)| is_recent(since)) {
                    down.push(warmth::short_digest(server.digest));
                }
            }
        }
        (loads, down)
    }
}
