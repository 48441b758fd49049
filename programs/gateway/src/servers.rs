//! Backend servers of each service: their state and the choice among them.

mod admission;
mod explanation;
mod in_flight;
mod notices;
mod server;
mod server_set;
mod survey;

pub use admission::{AdmissionGuard, Thinned};
pub use in_flight::InFlightRequest;
pub use notices::PassedWords;
pub use server_set::{Placement, ServerCriteria, ServerSet, VersionFilter};

use crate::settings::Settings;
use base::id::{DataCentre, Label, Server as ServerId, Service};
use base::sync::lock;
use indexmap::{IndexMap, IndexSet};
use notices::{HeardWords, Words};
use server::{DOWN_RETRY_TIME, Server};
use server_set::{HandledRecord, State};
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, Instant};
use steering::affinity::Digest;
use steering::backlog::StatedPace;
use steering::cost;
use steering::intake::Place;
use steering::locality::PinnedShares;
use steering::priority::Competition;
use steering::registry::Registry;
use steering::retry::{self, Budget};
use steering::routing::Configuration;
use steering::warmth::{self, ObjectUse, ShortDigest, WarmObjects};

/// Time beyond the warm-up for which servers count as cold after an evacuation: one report period.
const EVACUATION_MARGIN: Duration = Duration::from_millis(1_500);
/// Time for which a handled object is reported, above the half second between two reports to other
/// regions.
const HANDLED_REPORT_TIME: Duration = Duration::from_millis(600);
/// Share of the operator's bound on sends beyond the first that all VMs together use. The rest
/// absorbs that the bound and the budget are counted over different windows.
const RETRY_BOUND_SHARE: f64 = 0.7;

/// Maximum number of paces in one report; a summary of them takes about 250 bytes.
const MAX_PACES: usize = 32;
/// Pace of an ordinary machine in percent, and the least deviation from it that is summarised.
const USUAL_PACE: u16 = 100;
const MIN_DEVIATION: u16 = 15;

/// Parts of this VM in what all VMs together may send to a server.
pub trait Parts {
    /// Returns whether this VM is the one that sends requests to a cold server.
    fn is_warmup_owner(&self, server: Digest) -> bool;

    /// Returns the place of this VM among those that may hold a part of the limit that a server in
    /// `region` names.
    fn intake_place(&self, server: Digest, region: &str) -> Place;
}

/// Backend servers of all services.
#[derive(Debug)]
pub struct Services {
    server_sets: RwLock<IndexMap<Service, Arc<ServerSet>>>,
    /// Service and id of each server, by which reports of other VMs find it.
    by_server: RwLock<IndexMap<ShortDigest, (Arc<ServerSet>, ServerId)>>,
    heard_words: Mutex<HeardWords>,
    settings: Settings,
}

impl Services {
    /// Creates the state without any service.
    pub fn new(settings: &Settings) -> Self {
        Self {
            server_sets: RwLock::default(),
            by_server: RwLock::default(),
            heard_words: Mutex::default(),
            settings: settings.clone(),
        }
    }

    /// Returns the servers of a service.
    pub fn server_set(&self, service: &str) -> Option<Arc<ServerSet>> {
        self.read().get(service).cloned()
    }

    fn read(&self) -> std::sync::RwLockReadGuard<'_, IndexMap<Service, Arc<ServerSet>>> {
        self.server_sets
            .read()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Calls `change` with a server, if it is known; returns whether it is.
    fn with_server(&self, server: ShortDigest, change: impl FnOnce(&mut Server)) -> bool {
        let by_server = self
            .by_server
            .read()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let Some((set, id)) = by_server.get(&server) else {
            return false;
        };
        let mut state = lock(&set.state);
        state.find(id).map(change).is_some()
    }

    fn get_or_create(&self, service: &Service) -> Arc<ServerSet> {
        let mut server_sets = self
            .server_sets
            .write()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let create = || {
            Arc::new(ServerSet {
                state: Mutex::new(State {
                    servers: IndexMap::new(),
                    absent: IndexMap::new(),
                    service_times: IndexMap::new(),
                    costs: cost::Model::default(),
                    pace_stated_at: None,
                    retry_budget: Budget::new(retry::Settings {
                        ratio: self.settings.bounds.retry_ratio * RETRY_BOUND_SHARE,
                        max_saved: 1.0,
                    }),
                    overload: IndexMap::new(),
                    pinned_shares: PinnedShares::default(),
                    warm_objects: WarmObjects::default(),
                    recently_handled: Vec::new(),
                    labels: IndexSet::new(),
                    new_labels: IndexMap::new(),
                    warmup_rate: 1.0,
                    warmup: Duration::ZERO,
                    admission: None,
                    last_ticket: 0,
                    words: Words::default(),
                }),
                region: self.settings.region.clone(),
                region_count: self.settings.region_count(),
            })
        };
        server_sets
            .entry(service.clone())
            .or_insert_with(create)
            .clone()
    }

    /// Applies the settings of the services.
    pub fn configure(&self, configuration: &Configuration) {
        for (name, settings) in &configuration.services {
            let set = self.get_or_create(name);
            let mut state = lock(&set.state);
            state.warmup_rate = settings.warmup_rate;
            state.warmup = settings.warmup;
            let routes: Vec<&str> = configuration
                .routes_to(name)
                .map(|route| &*route.name)
                .collect();
            state.costs.retain(|route| routes.contains(&route));
        }
        let now = Instant::now();
        let parts = configuration.routes.iter().flat_map(|route| &route.parts);
        let routed: IndexSet<&Service> = parts.map(|part| &part.service).collect();
        let competing = |name: &&&Service| Competition::new(configuration, name).is_some();
        for name in routed.iter().filter(competing) {
            self.get_or_create(name);
        }
        for (name, set) in &*self.read() {
            set.configure_admission(name, configuration, now);
        }
    }

    /// Replaces the servers by the registered ones.
    pub fn update(&self, registry: &Registry, now: Instant) {
        let mut by_service: IndexMap<&Service, Vec<_>> = IndexMap::new();
        for entry in registry.entries() {
            let service = &entry.registration.service;
            by_service.entry(service).or_default().push(entry);
        }
        let known: Vec<Service> = self.read().keys().cloned().collect();
        for service in known.iter().filter(|name| !by_service.contains_key(*name)) {
            self.get_or_create(service)
                .replace(&[], &self.settings, now);
        }
        for (service, entries) in by_service {
            let set = self.get_or_create(service);
            set.replace(&entries, &self.settings, now);
        }
        let mut by_server = IndexMap::new();
        for set in self.read().values() {
            let state = lock(&set.state);
            let absent = state.absent.iter().map(|(id, (_, server))| (id, server));
            by_server.extend(absent.chain(&state.servers).map(|(id, server)| {
                let digest = warmth::short_digest(server.digest);
                (digest, (set.clone(), id.clone()))
            }));
        }
        *self
            .by_server
            .write()
            .unwrap_or_else(std::sync::PoisonError::into_inner) = by_server;
    }

    /// Returns whether a version of a service has servers, or had some lately.
    pub fn knows(&self, service: &Service, label: &Label) -> bool {
        self.server_set(service).is_some_and(|set| {
            let state = lock(&set.state);
            let absent = state.absent.values().map(|(_, server)| server);
            let mut servers = state.servers.values().chain(absent);
            servers.any(|server| server.registration.label == *label)
        })
    }

    /// Treats the servers of these data centres as cold, since their evacuation ended and they had
    /// no requests meanwhile.
    pub fn end_evacuation(&self, data_centres: &[DataCentre], now: Instant) {
        for set in self.read().values() {
            let mut state = lock(&set.state);
            let until = now + state.warmup + EVACUATION_MARGIN;
            for server in state.servers.values_mut() {
                if data_centres.contains(&server.registration.data_centre) {
                    server.warm_up(until, now);
                }
            }
        }
    }

    /// Applies the load that other VMs report, the servers that refuse their connections, and the
    /// number of VMs.
    pub fn apply_peer_loads(
        &self,
        loads: &IndexMap<ShortDigest, u32>,
        down: &IndexSet<ShortDigest>,
        members: usize,
    ) {
        let now = Instant::now();
        let slack = self.settings.bounds.retry_slack * RETRY_BOUND_SHARE;
        for set in self.read().values() {
            let mut state = lock(&set.state);
            state
                .retry_budget
                .set_max_saved(slack / members.max(1) as f64);
            for server in state.servers.values_mut() {
                let digest = warmth::short_digest(server.digest);
                let load = loads.get(&digest).copied().unwrap_or(0);
                server.backlog.set_reported(load);
                if server.down_since.is_none() && down.contains(&digest) {
                    server.down_since = Some((now, server.registration.sequence));
                }
            }
        }
    }

    /// Returns the paces that servers stated to this VM lately, or those of slow and fast machines
    /// that any VM of its data centre knows if `is_summary`.
    pub fn stated_paces(&self, is_summary: bool, now: Instant) -> Vec<(ShortDigest, StatedPace)> {
        let mut paces = Vec::new();
        for set in self.read().values() {
            let state = lock(&set.state);
            let stated = state.servers.values().filter_map(|server| {
                let (pace, is_own) = server.backlog.stated_pace(now)?;
                let is_reported = match is_summary {
                    true => pace.percent.abs_diff(USUAL_PACE) >= MIN_DEVIATION,
                    false => is_own,
                };
                is_reported.then(|| (warmth::short_digest(server.digest), pace))
            });
            paces.extend(stated);
        }
        paces.sort_by_key(|(_, pace)| pace.age_ms);
        paces.truncate(MAX_PACES);
        paces
    }

    /// Applies the paces of servers that other VMs report.
    pub fn apply_paces(&self, paces: &[(ShortDigest, StatedPace)], now: Instant) {
        let by_server = self
            .by_server
            .read()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        for (server, pace) in paces {
            let Some((set, id)) = by_server.get(server) else {
                continue;
            };
            let mut state = lock(&set.state);
            state.pace_stated_at = Some(now);
            if let Some(server) = state.servers.get_mut(id) {
                server.backlog.apply_pace(*pace, now);
            }
        }
    }

    /// Records objects that servers handled for other VMs; `is_same_data_centre` if these VMs are
    /// in the data centre of this one.
    pub fn merge_handled(&self, pairs: &[ObjectUse], is_same_data_centre: bool, now: Instant) {
        let by_server = self
            .by_server
            .read()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        for pair in pairs {
            let Some((set, _)) = by_server.get(&pair.server) else {
                continue;
            };
            let mut state = lock(&set.state);
            let is_new = state.warm_objects.record(*pair, now);
            if is_same_data_centre && is_new {
                state.recently_handled.push(HandledRecord {
                    at: now,
                    pair: *pair,
                    is_from_peer: is_same_data_centre,
                });
            }
        }
    }

    /// Returns the objects that servers handled lately for this VM, or for all VMs of its data
    /// centre if `is_summary`.
    pub fn recent_handled(&self, is_summary: bool, now: Instant) -> Vec<ObjectUse> {
        let mut pairs = Vec::new();
        for set in self.read().values() {
            let mut state = lock(&set.state);
            let is_recent = |at: Instant| now.saturating_duration_since(at) < HANDLED_REPORT_TIME;
            state.recently_handled.retain(|record| is_recent(record.at));
            let records = state
                .recently_handled
                .iter()
                .filter(|record| is_summary || !record.is_from_peer);
            pairs.extend(records.map(|record| record.pair));
        }
        pairs
    }

    /// Returns the number of requests of this VM at each server, and the servers that refused its
    /// connections lately.
    pub fn load_report(&self, now: Instant) -> (Vec<(ShortDigest, u16)>, Vec<ShortDigest>) {
        let mut loads = Vec::new();
        let mut down = Vec::new();
        for set in self.read().values() {
            let state = lock(&set.state);
            for server in state.servers.values() {
                let own = u16::try_from(server.backlog.own()).unwrap_or(u16::MAX);
                if own > 0 {
                    loads.push((warmth::short_digest(server.digest), own));
                }
                let is_recent =
                    |since: Instant| now.saturating_duration_since(since) < DOWN_RETRY_TIME / 4;
                if server.down_since.is_some_and(|(since, _)| is_recent(since)) {
                    down.push(warmth::short_digest(server.digest));
                }
            }
        }
        (loads, down)
    }
}
