//! Servers of one service, and the choice among them.

use super::Flight;
use super::server::Server;
use crate::settings::Settings;
use base::id::{DataCentre, Label, Region, Server as ServerId};
use base::sync::lock;
use indexmap::{IndexMap, IndexSet};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use steering::affinity::Digest;
use steering::hedge;
use steering::locality::{self, PinnedShares};
use steering::placement::{self, Candidate, Choice, Overload, PlacementRequest};
use steering::registry::Entry;
use steering::retry::{Budget, RetryCause};
use steering::warmth::{self, ObjectUse, WarmObjects};
use steering::work::ServiceTimeEstimate;

/// Time to a server of the own region and back.
const NEAR: Duration = Duration::from_millis(1);
/// Time to a server of another region and back; the sites state 12 ms one way.
const FAR: Duration = Duration::from_millis(25);
/// Time for which a version that no order names is left alone: the order may still be on its way.
const NEW_LABEL_TIME: Duration = Duration::from_secs(5);

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
    /// Digest of its object, if servers are faster at objects they know.
    pub object: Option<Digest>,
    /// Latency objective of the route.
    pub objective: Duration,
    /// Time until its deadline.
    pub left: Duration,
    /// Version that it may use.
    pub version: &'a Version,
    /// Digest that chooses the server of a request that samples a version.
    pub sample: Option<Digest>,
    /// Servers that it was sent to before.
    pub tried: &'a [ServerId],
    /// Data centres whose servers get nothing.
    pub evacuated: &'a [DataCentre],
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
pub(super) struct Told {
    pub(super) at: Instant,
    pub(super) pair: ObjectUse,
    /// Whether another VM of the data centre told it; only other data centres are told then.
    pub(super) is_near: bool,
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) servers: IndexMap<ServerId, Server>,
    pub(super) estimates: IndexMap<Duration, ServiceTimeEstimate>,
    pub(super) budget: Budget,
    /// Overload of the requests that are bound to the same regions; free ones have the empty key.
    pub(super) pressure: IndexMap<Box<str>, Overload>,
    pub(super) bound: PinnedShares,
    pub(super) warmth: WarmObjects,
    /// Objects that servers handled lately, to be told to other VMs.
    pub(super) handled: Vec<Told>,
    /// Versions in service, and those that appeared without an order, with the time.
    pub(super) labels: IndexSet<Label>,
    pub(super) appeared: IndexMap<Label, Instant>,
    pub(super) warmup_rate: f64,
    pub(super) warmup: Duration,
    pub(super) tickets: u64,
}

/// Servers of one service.
#[derive(Debug)]
pub struct Shard {
    pub(super) state: Mutex<State>,
    pub(super) region: Region,
    /// Number of regions.
    pub(super) regions: usize,
}

impl Shard {
    /// Chooses a server and counts the request against it.
    ///
    /// `may_run` says in which regions the request may run, `warms_up` which cold servers get their
    /// requests from this VM.
    pub fn place(
        self: &Arc<Self>,
        query: &Query<'_>,
        may_run: impl Fn(&str) -> bool,
        warms_up: impl Fn(&str) -> bool,
        now: Instant,
    ) -> Placed {
        let mut state = lock(&self.state);
        let state = &mut *state;
        let labels = state.usable_labels(query.version, now);
        let serves = |server: &&Server| {
            let listed = &server.registration;
            !listed.leaving
                && labels.contains(&listed.label)
                && !query.evacuated.contains(&listed.data_centre)
                && !server.is_down(now)
        };
        let serving: Vec<&Server> = state.servers.values().filter(serves).collect();
        let all_slots = slots(&serving);
        let servers: Vec<&Server> = serving
            .into_iter()
            .filter(|server| may_run(&server.region))
            .collect();
        let slots = slots(&servers);
        // A request that may not run in some region that serves is bound to the others.
        let bound_to: Vec<&str> = match slots.len() < all_slots.len() {
            true => slots.keys().copied().collect(),
            false => Vec::new(),
        };
        let weights = match bound_to.is_empty() {
            true => locality::weights(&self.region, &slots, self.regions, &state.bound),
            false => locality::weights(&self.region, &slots, slots.len(), &PinnedShares::default()),
        };
        if query.tried.is_empty() {
            state.bound.record(&bound_to);
        }
        let pressure = state
            .pressure
            .entry(bound_to.join(" ").into())
            .or_insert_with(|| Overload::new(now));
        let candidates: Vec<Candidate> = servers
            .iter()
            .map(|server| Candidate {
                weight: weights.get(&*server.region).copied().unwrap_or(0.0),
                ..self.candidate(server, query.object, &state.warmth, now)
            })
            .collect();
        let estimate = state
            .estimates
            .entry(query.objective)
            .or_insert_with(|| ServiceTimeEstimate::new(query.objective));
        let work = estimate.service_time();
        let is_usable = |index: usize| {
            let server = servers[index];
            let listed = &server.registration;
            let oldest = server.sent.values().copied().min();
            !query.tried.contains(&listed.server)
                && !server.condition.is_silent(now, oldest, work.cold)
                && server.warmup.as_ref().is_none_or(|warmup| {
                    !warmup.is_cold(now) || (warmup.allows(now) && warms_up(&listed.server))
                })
        };
        let demand = PlacementRequest {
            object: query.object,
            objective: query.objective,
            time_left: query.left,
            overload: pressure.level(),
        };
        let settings = placement::Settings::default();
        let choice = match query.sample {
            Some(sample) => {
                placement::choose_sampled(&settings, &demand, &work, &candidates, is_usable, sample)
            }
            None => placement::choose(&settings, &demand, &work, &candidates, is_usable),
        };
        if query.tried.is_empty() && query.sample.is_none() {
            let is_late = matches!(choice, Choice::Late(_));
            pressure.record(is_late, now);
        }
        let (index, time, warm) = match choice {
            Choice::Server { index, time, warm } => (index, time, warm),
            Choice::Late(excess) => return Placed::Late(excess),
            Choice::NoCandidate => return Placed::Empty,
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
            warmup.record_send(rate, now);
        }
        let send = hedge::Dispatch {
            at: now,
            deadline: now + query.left,
            expected: time,
            cold: work.cold,
        };
        Placed::Sent(Box::new(Flight {
            shard: self.clone(),
            ticket,
            born: server.registration.born,
            server: id,
            label: server.registration.label.clone(),
            data_centre: server.registration.data_centre.clone(),
            pool: server.pool.clone(),
            objective: query.objective,
            expected: time,
            ordinary: found.nominal_time(&work),
            cold_work: work.cold,
            overdue: hedge::due(&hedge::Settings::default(), &send),
            is_free: found.load < found.slots,
            load: found.load,
            warm,
            object: query.object,
            sent: now,
        }))
    }

    /// Returns what is known of a server for an object; its weight is left to the caller.
    fn candidate(
        &self,
        server: &Server,
        object: Option<Digest>,
        warmth: &WarmObjects,
        now: Instant,
    ) -> Candidate {
        let short = warmth::short_digest(server.digest);
        let object = object.map(warmth::short_digest);
        Candidate {
            warm: object.is_none_or(|object| warmth.is_warm(short, object)),
            has_cache_room: warmth.has_room(short),
            weight: 0.0,
            server: server.digest,
            slots: server.registration.slots,
            load: server.load(now),
            round_trip: if server.region == self.region {
                NEAR
            } else {
                FAR
            },
            slowdown: server.condition.slowdown(now),
            failure_rate: server.condition.failure_rate(now),
        }
    }

    /// Returns the number of servers of a version.
    pub fn servers_of(&self, label: &str) -> usize {
        let state = lock(&self.state);
        let servers = state.servers.values().map(|server| &server.registration);
        servers.filter(|s| !s.leaving && *s.label == *label).count()
    }

    /// Counts a request that succeeded at its first send.
    pub fn succeeded(&self) {
        lock(&self.state).budget.record_success();
    }

    /// Returns whether the budget has a send beyond the first for this use.
    pub fn can_retry(&self, need: RetryCause) -> bool {
        lock(&self.state).budget.allows(need)
    }

    /// Takes a send beyond the first from the budget.
    pub fn may_retry(&self) -> bool {
        lock(&self.state).budget.try_take()
    }
}

/// Returns the slots of servers by region.
fn slots<'a>(servers: &[&'a Server]) -> IndexMap<&'a str, f64> {
    let mut slots: IndexMap<&str, f64> = IndexMap::new();
    for server in servers {
        *slots.entry(&server.region).or_default() += f64::from(server.registration.slots);
    }
    slots
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

impl Shard {
    pub(super) fn replace(&self, entries: &[&Entry], settings: &Settings, now: Instant) {
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
                warmth.remove(warmth::short_digest(server.digest));
            }
            stays
        });
        for entry in entries {
            let listed = &entry.registration;
            state.note_label(&listed.label, first, now);
            let server = state
                .servers
                .entry(listed.server.clone())
                .or_insert_with(|| Server::new(listed, settings, now));
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
