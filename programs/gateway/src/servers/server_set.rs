//! Backend servers of one service, and the choice among them.

use super::InFlightRequest;
use super::notices::Words;
use super::server::Server;
use crate::settings::Settings;
use base::id::{DataCentre, Label, Region, Server as ServerId};
use base::sync::lock;
use indexmap::{IndexMap, IndexSet};
use rand::RngExt;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use steering::affinity::Digest;
use steering::backlog::Sent;
use steering::cost;
use steering::hedge;
use steering::locality::{self, PinnedShares};
use steering::placement::{
    self, Candidate, Choice, Estimate, Overload, PlacementRequest, ServiceTime,
};
use steering::priority::{Admission, Priority};
use steering::registry::Entry;
use steering::retry::{Budget, RetryCause};
use steering::routing::Route;
use steering::warmth::{self, ObjectUse, WarmObjects};
use steering::work::{self, ServiceTimeEstimate};

/// Round trip to a server of the own region.
const SAME_REGION_ROUND_TRIP: Duration = Duration::from_millis(1);
/// Round trip to a server of another region; the sites state 12 ms one way.
const OTHER_REGION_ROUND_TRIP: Duration = Duration::from_millis(25);
/// Time for which a service's estimates are learned after a server stated its pace.
const PACE_MEMORY: Duration = Duration::from_secs(30);
/// Share of requests that are faster than the slow few.
const SLOWEST_SHARE: f64 = 0.99;
/// Time for which a new version without a takeover order gets no requests, since the order may
/// arrive after its servers.
const NEW_VERSION_DELAY: Duration = Duration::from_secs(5);

/// Versions that a request may use.
#[derive(Debug, Clone, PartialEq)]
pub enum VersionFilter {
    /// Any version in service.
    InService,
    /// Any version in service but this new one.
    Except(Label),
    /// Only this new version.
    Only(Label),
}

/// Criteria for the server of a request.
#[derive(Debug)]
pub struct ServerCriteria<'a> {
    /// Route of the request.
    pub route: &'a Route,
    /// Digest of its object, if servers are faster at objects that they handled before.
    pub object: Option<Digest>,
    /// Latency objective of the route.
    pub objective: Duration,
    /// Time until its deadline.
    pub time_left: Duration,
    /// Its priority; 0 is the most urgent.
    pub priority: Priority,
    /// Versions that it may use.
    pub version: &'a VersionFilter,
    /// Digest that selects the server, for a request that samples a new version.
    pub sample: Option<Digest>,
    /// Servers to which it was sent before.
    pub tried: &'a [ServerId],
    /// Evacuated data centres, whose servers get no requests.
    pub evacuated: &'a [DataCentre],
}

/// Result of choosing a server.
#[derive(Debug)]
pub enum Placement {
    /// The request goes to this server.
    Server(Box<InFlightRequest>),
    /// No server can answer in time; the earliest expected answer is late by this.
    Late(Duration),
    /// No server may be used, as those that could be want nothing; the first one's time ends then.
    Rejected(Instant),
    /// No server may be used.
    NoServer,
}

/// A server and an object that it handled lately.
#[derive(Debug)]
pub(super) struct HandledRecord {
    pub(super) at: Instant,
    pub(super) pair: ObjectUse,
    /// Whether another VM of the data centre reported it, so that only other data centres need to
    /// be told.
    pub(super) is_from_peer: bool,
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) servers: IndexMap<ServerId, Server>,
    pub(super) service_times: IndexMap<Duration, ServiceTimeEstimate>,
    /// Costs by route; used by [`Estimate::Learned`].
    pub(super) costs: cost::Model,
    /// Number of routes that lead to the service.
    pub(super) route_count: usize,
    /// Last time when a server stated its pace.
    pub(super) pace_stated_at: Option<Instant>,
    pub(super) retry_budget: Budget,
    /// Overload, by the regions to which requests are pinned, separated by spaces; the key is empty
    /// for requests that may run in every region.
    pub(super) overload: IndexMap<Box<str>, Overload>,
    pub(super) pinned_shares: PinnedShares,
    pub(super) warm_objects: WarmObjects,
    /// Objects that servers handled lately, to be reported to other VMs.
    pub(super) recently_handled: Vec<HandledRecord>,
    /// Versions in service.
    pub(super) labels: IndexSet<Label>,
    /// Versions that appeared while others were in service, with the time.
    pub(super) new_labels: IndexMap<Label, Instant>,
    pub(super) warmup_rate: f64,
    pub(super) warmup: Duration,
    /// Admission of requests that compete for the service; none if all have the same priority.
    pub(super) admission: Option<Admission>,
    /// Ticket of the latest request.
    pub(super) last_ticket: u64,
    /// Words that this VM passes on.
    pub(super) words: Words,
}

/// Backend servers of one service.
#[derive(Debug)]
pub struct ServerSet {
    pub(super) state: Mutex<State>,
    pub(super) region: Region,
    pub(super) region_count: usize,
}

impl ServerSet {
    /// Chooses a server and adds the request to its load.
    ///
    /// `is_allowed_in` returns whether the request may run in a region, `is_warmup_owner` whether
    /// this VM is the one that sends requests to a cold server.
    pub fn place(
        self: &Arc<Self>,
        criteria: &ServerCriteria<'_>,
        is_allowed_in: impl Fn(&str) -> bool,
        is_warmup_owner: impl Fn(Digest) -> bool,
        now: Instant,
    ) -> Placement {
        let mut state = lock(&self.state);
        let state = &mut *state;
        let (terms, shortage) = state.terms(criteria);
        let estimate = state.estimate(now);
        let service_time = state.service_time(criteria, estimate);
        let slowest = state.slowest(criteria, estimate);
        let silence_unit = work::silence_unit(service_time.cold, slowest);
        let labels = state.usable_labels(criteria.version, now);
        let is_serving = |server: &&Server| {
            let registration = &server.registration;
            !server.is_leaving()
                && labels.contains(&registration.label)
                && !criteria.evacuated.contains(&registration.data_centre)
                && !server.is_down(now)
        };
        let serving: Vec<&Server> = state.servers.values().filter(is_serving).collect();
        let all_slots = slots_by_region(&serving);
        let servers: Vec<&Server> = serving
            .into_iter()
            .filter(|server| is_allowed_in(&server.region))
            .collect();
        let slots = slots_by_region(&servers);
        // A request that may run in some of the serving regions only is pinned to these.
        let pinned_regions: Vec<&str> = match slots.len() < all_slots.len() {
            true => slots.keys().copied().collect(),
            false => Vec::new(),
        };
        let weights = match pinned_regions.is_empty() {
            true => locality::weights(
                &self.region,
                &slots,
                self.region_count,
                &state.pinned_shares,
            ),
            false => locality::weights(&self.region, &slots, slots.len(), &PinnedShares::default()),
        };
        if criteria.tried.is_empty() {
            state.pinned_shares.record(&pinned_regions);
        }
        let overload = state
            .overload
            .entry(pinned_regions.join(" ").into())
            .or_insert_with(|| Overload::new(now));
        let learned = match estimate {
            Estimate::Fixed => None,
            Estimate::Learned { .. } => {
                Some((&state.costs, state.costs.average(criteria.objective)))
            }
        };
        let candidates: Vec<Candidate> = servers
            .iter()
            .map(|server| {
                let weight = weights.get(&*server.region).copied().unwrap_or(0.0);
                let candidate = self.candidate(server, criteria.object, &state.warm_objects, now);
                let candidate = Candidate {
                    weight,
                    ..candidate
                };
                let pace = server.backlog.pace(candidate.slowdown, now);
                match learned {
                    None => candidate,
                    Some((costs, average)) => Candidate {
                        load: server.backlog.load(now),
                        slowdown: pace,
                        wait: server
                            .backlog
                            .wait(candidate.slots, pace, costs, average, now),
                        ..candidate
                    },
                }
            })
            .collect();
        if let Some(admission) = &mut state.admission {
            admission.record_occupancy(placement::occupancy(&candidates));
        }
        let is_usable = |index: usize| {
            let server = servers[index];
            let registration = &server.registration;
            !criteria.tried.contains(&registration.server)
                && !server.is_silent(now, service_time.cold, silence_unit)
                && server.takes_requests(now)
                && server.warmup.as_ref().is_none_or(|warmup| {
                    !warmup.is_cold(now) || (warmup.allows(now) && is_warmup_owner(server.digest))
                })
        };
        let demand = PlacementRequest {
            object: criteria.object,
            objective: criteria.objective,
            time_left: criteria.time_left,
            overload: overload.level().max(shortage),
            terms,
            estimate,
        };
        let settings = placement::Settings::default();
        let choice = match criteria.sample {
            Some(sample) => placement::choose_sampled(
                &settings,
                &demand,
                &service_time,
                &candidates,
                is_usable,
                sample,
            ),
            None => placement::choose(&settings, &demand, &service_time, &candidates, is_usable),
        };
        if criteria.tried.is_empty() && criteria.sample.is_none() {
            let is_late = matches!(choice, Choice::Late(_));
            overload.record(is_late, now);
        }
        let (index, time, warm) = match choice {
            Choice::Server { index, time, warm } => (index, time, warm),
            Choice::Late(excess) => return Placement::Late(excess),
            Choice::NoCandidate => {
                let ends = servers.iter().filter(|server| !server.takes_requests(now));
                let ends = ends.filter_map(|server| Some(server.rejection.as_ref()?.until()));
                return ends.min().map_or(Placement::NoServer, Placement::Rejected);
            }
        };
        let id = servers[index].registration.server.clone();
        let candidate = candidates[index];
        state.record_send(criteria.priority, warm);
        state.last_ticket += 1;
        let ticket = state.last_ticket;
        let warmup_rate = state.warmup_rate;
        let Some(server) = state.servers.get_mut(&id) else {
            return Placement::NoServer;
        };
        let sent = Sent {
            at: now,
            starts_at: now + candidate.wait,
            route: criteria.route.name.clone(),
            objective: criteria.objective,
            warm,
        };
        server.backlog.add(ticket, sent);
        if server.rejection.is_some() {
            server.update_pool(now);
        }
        if let Some(warmup) = &mut server.warmup {
            warmup.record_send(warmup_rate, now);
        }
        let send = hedge::Dispatch {
            at: now,
            deadline: now + criteria.time_left,
            expected: time,
            cold: service_time.cold,
            slowest,
        };
        Placement::Server(Box::new(InFlightRequest {
            servers: self.clone(),
            ticket,
            born: server.registration.born,
            server: id,
            label: server.registration.label.clone(),
            data_centre: server.registration.data_centre.clone(),
            pool: server.pool.clone(),
            route: criteria.route.name.clone(),
            objective: criteria.objective,
            estimate,
            expected: time,
            wait: candidate.wait,
            pace: candidate.slowdown,
            round_trip: candidate.round_trip,
            baseline: candidate.nominal_time(&service_time, estimate),
            cold_service_time: service_time.cold,
            silence_unit,
            hedge_at: hedge::due(&hedge::Settings::default(), &send),
            had_free_slot: candidate.load < candidate.slots,
            load: candidate.load,
            warm,
            object: criteria.object,
            sent_at: now,
        }))
    }

    /// Builds the candidate of a server for an object, with weight 0; the caller sets the weight.
    fn candidate(
        &self,
        server: &Server,
        object: Option<Digest>,
        warm_objects: &WarmObjects,
        now: Instant,
    ) -> Candidate {
        let short = warmth::short_digest(server.digest);
        let object = object.map(warmth::short_digest);
        Candidate {
            warm: object.is_none_or(|object| warm_objects.is_warm(short, object)),
            has_cache_room: warm_objects.has_room(short),
            weight: 0.0,
            server: server.digest,
            slots: server.registration.slots,
            load: server.load(now),
            round_trip: if server.region == self.region {
                SAME_REGION_ROUND_TRIP
            } else {
                OTHER_REGION_ROUND_TRIP
            },
            slowdown: server.performance.slowdown(now),
            failure_rate: server.performance.failure_rate(now),
            wait: Duration::ZERO,
        }
    }

    /// Returns the number of servers of a version that are not leaving.
    pub fn count_of_version(&self, label: &str) -> usize {
        let state = lock(&self.state);
        let servers = state.servers.values().map(|server| &server.registration);
        servers.filter(|s| !s.leaving && *s.label == *label).count()
    }

    /// Adds a request that succeeded at its first send to the retry budget.
    pub fn record_success(&self) {
        lock(&self.state).retry_budget.record_success();
    }

    /// Returns whether the retry budget allows another send of a request for this need.
    pub fn can_retry(&self, need: RetryCause) -> bool {
        lock(&self.state).retry_budget.allows(need)
    }

    /// Takes a send from the retry budget; returns false if there is none.
    pub fn take_retry(&self) -> bool {
        lock(&self.state).retry_budget.try_take()
    }
}

/// Returns the slots of servers by region.
fn slots_by_region<'a>(servers: &[&'a Server]) -> IndexMap<&'a str, f64> {
    let mut slots: IndexMap<&str, f64> = IndexMap::new();
    for server in servers {
        *slots.entry(&server.region).or_default() += f64::from(server.registration.slots);
    }
    slots
}

impl State {
    /// Returns how expected times are estimated: from learned costs where several routes lead to the
    /// service or its servers state their pace, and by fixed assumptions elsewhere.
    fn estimate(&self, now: Instant) -> Estimate {
        let states_pace = self
            .pace_stated_at
            .is_some_and(|at| now.saturating_duration_since(at) < PACE_MEMORY);
        match self.route_count > 1 || states_pace {
            true => Estimate::Learned {
                draw: rand::rng().random(),
            },
            false => Estimate::Fixed,
        }
    }

    /// Returns the expected service time of a request.
    fn service_time(&mut self, criteria: &ServerCriteria<'_>, estimate: Estimate) -> ServiceTime {
        let objective = criteria.objective;
        let fixed = self
            .service_times
            .entry(objective)
            .or_insert_with(|| ServiceTimeEstimate::new(objective));
        match estimate {
            Estimate::Fixed => fixed.service_time(),
            Estimate::Learned { .. } => self.costs.service_time(&criteria.route.name, objective),
        }
    }

    /// Returns the learned time that very few requests exceed, or zero.
    fn slowest(&self, criteria: &ServerCriteria<'_>, estimate: Estimate) -> Duration {
        match estimate {
            Estimate::Fixed => Duration::ZERO,
            Estimate::Learned { .. } => {
                let route = &criteria.route.name;
                let cost = self.costs.cost(route, criteria.objective, false);
                cost.quantile(SLOWEST_SHARE)
            }
        }
    }

    /// Returns the versions that a request may use now, and updates the versions in service.
    fn usable_labels(&mut self, version: &VersionFilter, now: Instant) -> IndexSet<Label> {
        let is_delay_over = |at: &Instant| now.saturating_duration_since(*at) >= NEW_VERSION_DELAY;
        let due: Vec<Label> = self
            .new_labels
            .iter()
            .filter(|(_, at)| is_delay_over(at))
            .map(|(label, _)| label.clone())
            .collect();
        match version {
            VersionFilter::Only(label) => {
                self.labels.insert(label.clone());
                IndexSet::from([label.clone()])
            }
            VersionFilter::Except(label) => {
                let others: IndexSet<Label> = self
                    .labels
                    .iter()
                    .filter(|other| *other != label)
                    .cloned()
                    .collect();
                let is_served =
                    |s: &Server| !s.registration.leaving && others.contains(&s.registration.label);
                // A version without servers can't be one that the operator wants to keep, so the
                // new one gets the requests.
                match self.servers.values().any(is_served) {
                    true => others,
                    false => IndexSet::from([label.clone()]),
                }
            }
            VersionFilter::InService => {
                self.labels.extend(due);
                self.labels.clone()
            }
        }
    }

    /// Adds the version of a server. Versions of the first registrations are in service at once.
    fn add_label(&mut self, label: &Label, is_first: bool, now: Instant) {
        if is_first {
            self.labels.insert(label.clone());
        } else if !self.labels.contains(label) && !self.new_labels.contains_key(label) {
            self.new_labels.insert(label.clone(), now);
        }
    }
}

impl ServerSet {
    /// Replaces the registrations; servers that remain in the same run keep their state.
    pub(super) fn replace(&self, entries: &[&Entry], settings: &Settings, now: Instant) {
        let mut state = lock(&self.state);
        let is_first = state.servers.is_empty() && state.labels.is_empty();
        let State {
            servers,
            warm_objects,
            ..
        } = &mut *state;
        let runs: IndexMap<&ServerId, u64> = entries
            .iter()
            .map(|entry| (&entry.registration.server, entry.registration.born))
            .collect();
        servers.retain(|id, server| {
            let is_registered = runs.get(id) == Some(&server.registration.born);
            if !is_registered {
                server.pool.close_idle();
                warm_objects.remove(warmth::short_digest(server.digest));
            }
            is_registered
        });
        for entry in entries {
            let registration = &entry.registration;
            state.add_label(&registration.label, is_first, now);
            let server = state
                .servers
                .entry(registration.server.clone())
                .or_insert_with(|| Server::new(registration, settings, now));
            server.registration = registration.clone();
            server.update_pool(now);
            match entry.cold_until {
                Some(until) if until > now => server.warm_up(until, now),
                _ => {}
            }
        }
    }
}
