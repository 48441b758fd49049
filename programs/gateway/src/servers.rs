//! Backend servers of each service: what is known of them, and the choice among them.

use crate::settings::Settings;
use adapter::header::Load;
use backends::client::{self, Names, Pool};
use base::id::{DataCentre, Label, Region, Server as ServerId, Service, Vm};
use base::sync::lock;
use hyper::header::HeaderName;
use indexmap::{IndexMap, IndexSet};
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, Instant};
use steering::affinity::{self, Digest};
use steering::placement::{self, Candidate, Choice, Demand, Pressure};
use steering::registry::Registry;
use steering::retry::{self, Budget};
use steering::routing::{Configuration, Registration};
use steering::warmth::{self, Handled, Short, Warmth};
use steering::warmup::{self, Warmup};
use steering::work::{Condition, Estimate};

mod flight;

pub use flight::Flight;

/// Time to a server of the own region and back.
const NEAR: Duration = Duration::from_millis(1);
/// Time to a server of another region and back; the sites state 12 ms one way.
const FAR: Duration = Duration::from_millis(25);
/// Age up to which a server's own report of its load is used.
const LOAD_AGE: Duration = Duration::from_millis(300);
/// Longest time to make a connection; two regions are 24 ms apart, and a lost packet is sent again
/// after 200 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle connections are closed after this time, unless the server announced less.
const IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Longest time for which sent bytes may stay unacknowledged.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1_500);
/// Time after which a server that refused connections is tried again, though it did not report.
const DOWN_TIME: Duration = Duration::from_secs(4);
/// Reports of a server after which it counts as up again. The first may have been on its way when
/// the server went down.
const DOWN_REPORTS: u64 = 2;
/// Time for which a version that no order names is left alone: the order may still be on its way.
const NEW_LABEL_TIME: Duration = Duration::from_secs(5);
/// Time beyond the warm-up for which servers count as cold after an evacuation: one report.
const EVACUATION_MARGIN: Duration = Duration::from_millis(1_500);
/// Time for which a handled object is told: reports to other regions go out every half second.
const HANDLED_TIME: Duration = Duration::from_millis(600);
/// Part of the operator's bound on sends beyond the first that VMs use together. Windows of the
/// bound and of the budget differ.
const RETRY_PART: f64 = 0.7;

#[derive(Debug)]
struct Server {
    registration: Registration,
    digest: Digest,
    region: Region,
    pool: Pool,
    condition: Condition,
    warmup: Option<Warmup>,
    /// When each unanswered request of this VM was sent, by ticket.
    sent: IndexMap<u64, Instant>,
    /// Requests of other VMs, as they report.
    others: u32,
    /// What the server said last.
    load: Option<(Load, Instant)>,
    /// When the server refused a connection, and the number of its report then.
    down: Option<(Instant, u64)>,
}

impl Server {
    fn load(&self, now: Instant) -> u32 {
        let own = u32::try_from(self.sent.len()).unwrap_or(u32::MAX);
        let others = match self.load {
            Some((load, at)) if now.saturating_duration_since(at) < LOAD_AGE => {
                (load.running + load.waiting).saturating_sub(own)
            }
            _ => self.others,
        };
        own.saturating_add(others)
    }

    fn is_down(&self, now: Instant) -> bool {
        self.down.is_some_and(|(since, sequence)| {
            let reports = self.registration.sequence.saturating_sub(sequence);
            reports < DOWN_REPORTS && now.saturating_duration_since(since) < DOWN_TIME
        })
    }

    fn is_cold(&self, now: Instant) -> bool {
        self.warmup.as_ref().is_some_and(|w| w.is_cold(now))
    }

    fn warm_up(&mut self, until: Instant, now: Instant) {
        match &mut self.warmup {
            Some(warmup) if warmup.is_cold(now) => warmup.extend(until),
            _ => self.warmup = Some(Warmup::new(until, now)),
        }
    }
}

/// Version that a request may use.
#[derive(Debug, Clone, PartialEq)]
pub enum Version {
    /// Any version in service.
    Current,
    /// Any but this new one.
    Except(Label),
    /// This new one.
    Only(Label),
}

/// What a request asks of a server.
#[derive(Debug)]
pub struct Query<'a> {
    /// Request to be placed.
    pub demand: Demand,
    /// Version that it may use.
    pub version: &'a Version,
    /// Servers that it was sent to before.
    pub tried: &'a [ServerId],
    /// Data centres whose servers get nothing.
    pub evacuated: &'a [DataCentre],
    /// VMs that serve.
    pub alive: &'a [Vm],
    /// VMs known.
    pub members: usize,
    /// This VM.
    pub own: &'a Vm,
}

/// Where a request goes.
#[derive(Debug)]
pub enum Placed {
    /// To this server.
    Sent(Box<Flight>),
    /// Nowhere: the earliest end is late by this.
    Late(Duration),
    /// Nowhere: no server may be used.
    Empty,
}

/// An object that a server handled.
#[derive(Debug)]
struct Told {
    at: Instant,
    pair: Handled,
    /// Whether another VM of the data centre told it; only other data centres are told then.
    is_near: bool,
}

#[derive(Debug)]
struct State {
    servers: IndexMap<ServerId, Server>,
    estimates: IndexMap<Duration, Estimate>,
    budget: Budget,
    pressure: Pressure,
    warmth: Warmth,
    /// Objects that servers handled lately, to be told to other VMs.
    handled: Vec<Told>,
    /// Versions in service, and those that appeared without an order, with the time.
    labels: IndexSet<Label>,
    appeared: IndexMap<Label, Instant>,
    warmup_rate: f64,
    warmup: Duration,
    tickets: u64,
}

/// Servers of one service.
#[derive(Debug)]
pub struct Shard {
    state: Mutex<State>,
    placement: placement::Settings,
    region: Region,
}

impl Shard {
    /// Chooses a server and counts the request against it.
    pub fn place(
        self: &Arc<Self>,
        query: &Query<'_>,
        may_run: impl Fn(&str) -> bool,
        now: Instant,
    ) -> Placed {
        let mut state = lock(&self.state);
        let state = &mut *state;
        let labels = state.usable_labels(query.version, now);
        let is_candidate = |server: &&Server| {
            let listed = &server.registration;
            !listed.leaving
                && labels.contains(&listed.label)
                && may_run(&server.region)
                && !query.evacuated.contains(&listed.data_centre)
                && !server.is_down(now)
        };
        let servers: Vec<&Server> = state.servers.values().filter(is_candidate).collect();
        let object = query.demand.object.map(warmth::short);
        let candidates: Vec<Candidate> = servers
            .iter()
            .map(|server| {
                let digest = warmth::short(server.digest);
                let warm = object.is_none_or(|object| state.warmth.is_warm(digest, object));
                self.candidate(server, warm, now)
            })
            .collect();
        let estimate = state
            .estimates
            .entry(query.demand.objective)
            .or_insert_with(|| Estimate::new(query.demand.objective));
        let work = estimate.work();
        let is_usable = |index: usize| {
            let server = servers[index];
            let listed = &server.registration;
            let oldest = server.sent.values().copied().min();
            !query.tried.contains(&listed.server)
                && !server.condition.is_silent(now, oldest, work.cold)
                && server.warmup.as_ref().is_none_or(|warmup| {
                    !warmup.is_cold(now)
                        || (warmup.admits(now)
                            && warmup::is_owner(
                                &listed.server,
                                query.own,
                                query.alive,
                                query.members,
                            ))
                })
        };
        let choice = placement::choose(
            &self.placement,
            &Demand {
                pressure: state.pressure.get(),
                ..query.demand
            },
            &work,
            &candidates,
            is_usable,
        );
        if query.tried.is_empty() {
            let is_late = matches!(choice, Choice::Late(_));
            state.pressure.count(is_late, now);
        }
        let (index, end, warm) = match choice {
            Choice::Server { index, end, warm } => (index, end, warm),
            Choice::Late(excess) => return Placed::Late(excess),
            Choice::Empty => return Placed::Empty,
        };
        let id = servers[index].registration.server.clone();
        let found = candidates[index];
        state.tickets += 1;
        let ticket = state.tickets;
        let rate = state.warmup_rate;
        let Some(server) = state.servers.get_mut(&id) else {
            return Placed::Empty;
        };
        server.sent.insert(ticket, now);
        if let Some(warmup) = &mut server.warmup {
            warmup.sent(rate, now);
        }
        Placed::Sent(Box::new(Flight {
            shard: self.clone(),
            ticket,
            born: server.registration.born,
            server: id,
            label: server.registration.label.clone(),
            data_centre: server.registration.data_centre.clone(),
            pool: server.pool.clone(),
            objective: query.demand.objective,
            expected: end,
            cold_work: work.cold,
            is_free: found.load < found.slots,
            load: found.load,
            warm,
            object: query.demand.object,
            sent: now,
        }))
    }

    fn candidate(&self, server: &Server, warm: bool, now: Instant) -> Candidate {
        Candidate {
            warm,
            server: server.digest,
            slots: server.registration.slots,
            load: server.load(now),
            near: server.region == self.region,
            distance: if server.region == self.region {
                NEAR
            } else {
                FAR
            },
            slowdown: server.condition.slowdown(now),
            failed: server.condition.failed(now),
        }
    }

    /// Counts a request that succeeded at its first send.
    pub fn succeeded(&self) {
        lock(&self.state).budget.succeeded();
    }

    /// Takes a send beyond the first from the budget.
    pub fn may_retry(&self) -> bool {
        lock(&self.state).budget.take()
    }
}

impl State {
    fn usable_labels(&mut self, version: &Version, now: Instant) -> IndexSet<Label> {
        let waited = |at: &Instant| now.saturating_duration_since(*at) >= NEW_LABEL_TIME;
        let late: Vec<Label> = self
            .appeared
            .iter()
            .filter(|(_, at)| waited(at))
            .map(|(label, _)| label.clone())
            .collect();
        match version {
            Version::Only(label) => {
                self.labels.insert(label.clone());
                IndexSet::from([label.clone()])
            }
            Version::Except(label) => {
                let old: IndexSet<Label> = self
                    .labels
                    .iter()
                    .filter(|l| *l != label)
                    .cloned()
                    .collect();
                let is_served =
                    |s: &Server| !s.registration.leaving && old.contains(&s.registration.label);
                // An old version that is gone can't be what the operator wants to keep.
                match self.servers.values().any(is_served) {
                    true => old,
                    false => IndexSet::from([label.clone()]),
                }
            }
            Version::Current => {
                self.labels.extend(late);
                self.labels.clone()
            }
        }
    }

    fn note_label(&mut self, label: &Label, first: bool, now: Instant) {
        if first {
            self.labels.insert(label.clone());
        } else if !self.labels.contains(label) && !self.appeared.contains_key(label) {
            self.appeared.insert(label.clone(), now);
        }
    }
}

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
                        most: 1.0,
                    }),
                    pressure: Pressure::new(Instant::now()),
                    warmth: Warmth::default(),
                    handled: Vec::new(),
                    labels: IndexSet::new(),
                    appeared: IndexMap::new(),
                    warmup_rate: 1.0,
                    warmup: Duration::ZERO,
                    tickets: 0,
                }),
                placement: self.settings.placement(),
                region: self.settings.region.clone(),
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
    pub fn reported(&self, loads: &IndexMap<Short, u32>, down: &IndexSet<Short>, members: usize) {
        let now = Instant::now();
        let slack = self.settings.bounds.retry_slack * RETRY_PART;
        for shard in self.read().values() {
            let mut state = lock(&shard.state);
            state.budget.limit(slack / members.max(1) as f64);
            for server in state.servers.values_mut() {
                let digest = warmth::short(server.digest);
                server.others = loads.get(&digest).copied().unwrap_or(0);
                if server.down.is_none() && down.contains(&digest) {
                    server.down = Some((now, server.registration.sequence));
                }
            }
        }
    }

    /// Takes in that servers handled objects for other VMs, of the own data centre or of others.
    pub fn handled(&self, pairs: &[Handled], is_near: bool, now: Instant) {
        for shard in self.read().values() {
            let mut state = lock(&shard.state);
            let own: Vec<Short> = state
                .servers
                .values()
                .map(|server| warmth::short(server.digest))
                .collect();
            for pair in pairs.iter().filter(|pair| own.contains(&pair.server)) {
                let is_news = state.warmth.handled(*pair, now);
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
    pub fn report_handled(&self, is_summary: bool, now: Instant) -> Vec<Handled> {
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
    pub fn report(&self, now: Instant) -> (Vec<(Short, u16)>, Vec<Short>) {
        let mut loads = Vec::new();
        let mut down = Vec::new();
        for shard in self.read().values() {
            let state = lock(&shard.state);
            for server in state.servers.values() {
                let own = u16::try_from(server.sent.len()).unwrap_or(u16::MAX);
                if own > 0 {
                    loads.push((warmth::short(server.digest), own));
                }
                let is_recent =
                    |since: Instant| now.saturating_duration_since(since) < DOWN_TIME / 4;
                if server.down.is_some_and(|(since, _)| is_recent(since)) {
                    down.push(warmth::short(server.digest));
                }
            }
        }
        (loads, down)
    }
}

impl Shard {
    fn replace(&self, entries: &[&steering::registry::Entry], settings: &Settings, now: Instant) {
        let mut state = lock(&self.state);
        let first = state.servers.is_empty() && state.labels.is_empty();
        let State {
            servers, warmth, ..
        } = &mut *state;
        servers.retain(|id, server| {
            let stays = entries.iter().any(|entry| {
                entry.registration.server == *id
                    && entry.registration.born == server.registration.born
            });
            if !stays {
                server.pool.close_idle();
                warmth.forget(warmth::short(server.digest));
            }
            stays
        });
        for entry in entries {
            let listed = &entry.registration;
            state.note_label(&listed.label, first, now);
            let server = state
                .servers
                .entry(listed.server.clone())
                .or_insert_with(|| server(listed, settings, now));
            server.registration = listed.clone();
            if listed.leaving {
                server.pool.close_idle();
            }
            match entry.cold_until {
                Some(until) if until > now => server.warm_up(until, now),
                _ => {}
            }
        }
    }
}

fn server(listed: &Registration, settings: &Settings, now: Instant) -> Server {
    let pool = client::Settings {
        names: Names {
            request_id: HeaderName::from_static(adapter::header::REQUEST_ID),
            deadline: HeaderName::from_static(adapter::header::DEADLINE),
            not_run: HeaderName::from_static(adapter::header::NOT_RUN),
        },
        accept_unmarked: true,
        unacknowledged: Some(UNACKNOWLEDGED),
        connect_timeout: CONNECT_TIMEOUT,
        idle_timeout: IDLE_TIMEOUT,
        // Requests end by their own deadlines; silence alone does not end one.
        read_timeout: Duration::from_secs(300),
        ..client::Settings::default()
    };
    Server {
        digest: affinity::digest(&listed.server),
        region: settings.region_of(&listed.data_centre),
        pool: Pool::new(listed.address, pool),
        registration: listed.clone(),
        condition: Condition::new(now),
        warmup: None,
        sent: IndexMap::new(),
        others: 0,
        load: None,
        down: None,
    }
}
