//! Backend servers of one service, and the choice among them.

use super::notices::Words;
use super::server::Server;
use super::survey::{Selected, Survey};
use super::{InFlightRequest, Parts};
use crate::settings::Settings;
use base::id::{DataCentre, Label, Region, Server as ServerId};
use base::sync::lock;
use indexmap::{IndexMap, IndexSet};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use steering::affinity::Digest;
use steering::backlog::Sent;
use steering::cost;
use steering::hedge;
use steering::locality::PinnedShares;
use steering::placement::{self, Overload};
use steering::priority::{Admission, Priority};
use steering::registry::Entry;
use steering::retry::{Budget, RetryCause};
use steering::routing::Route;
use steering::warmth::{self, ObjectUse, WarmObjects};
use steering::work::ServiceTimeEstimate;

/// Time for which a server that is no longer in the list is remembered.
const ABSENT_RETENTION: Duration = Duration::from_secs(60);

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
    /// Versions that were rolled back, whose servers get no requests while others have servers.
    pub withdrawn: &'a [Label],
}

/// Result of choosing a server.
#[derive(Debug)]
pub enum Placement<T = Box<InFlightRequest>> {
    /// The request goes to this server.
    Server(T),
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
    /// Servers that were in the list lately, with the time at which they left it. What they said
    /// holds on if they return in the same run.
    pub(super) absent: IndexMap<ServerId, (Instant, Server)>,
    pub(super) service_times: IndexMap<Duration, ServiceTimeEstimate>,
    /// Costs by route; used by [`Estimate::Learned`].
    pub(super) costs: cost::Model,
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
    /// `is_allowed_in` returns whether the request may run in a region.
    pub fn place(
        self: &Arc<Self>,
        criteria: &ServerCriteria<'_>,
        is_allowed_in: impl Fn(&str) -> bool,
        parts: &impl Parts,
        now: Instant,
    ) -> Placement {
        let mut state = lock(&self.state);
        let state = &mut *state;
        let admission = state.admission.as_ref();
        let survey = self.survey(state, admission, criteria, is_allowed_in, parts, now);
        if !matches!(criteria.version, VersionFilter::Except(_)) {
            state.labels.extend(survey.labels.iter().cloned());
        }
        if criteria.tried.is_empty() {
            let pinned_regions = survey.pinned_regions.iter().map(|region| &**region);
            let pinned_regions: Vec<&str> = pinned_regions.collect();
            state.pinned_shares.record(&pinned_regions);
        }
        if let Some(admission) = &mut state.admission {
            admission.record_occupancy(placement::occupancy(&survey.candidates));
        }
        let placement = survey.choose(criteria.sample);
        let overload = state
            .overload
            .entry(survey.overload_key())
            .or_insert_with(|| Overload::new(now));
        if criteria.tried.is_empty() && criteria.sample.is_none() {
            overload.record(matches!(placement, Placement::Late(_)), now);
        }
        let Selected { index, time, warm } = match placement {
            Placement::Server(selected) => selected,
            Placement::Late(excess) => return Placement::Late(excess),
            Placement::Rejected(first) => return Placement::Rejected(first),
            Placement::NoServer => return Placement::NoServer,
        };
        let Survey {
            service_time,
            slowest,
            silence_unit,
            ..
        } = survey;
        let estimate = survey.demand.estimate;
        let candidate = survey.candidates[index];
        state.record_send(criteria.priority, warm);
        state.last_ticket += 1;
        let ticket = state.last_ticket;
        let warmup_rate = state.warmup_rate;
        let found = state.servers.get_index_mut(survey.servers[index]);
        let Some((id, server)) = found else {
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
        if server.intake.rate().is_some() {
            let place = parts.intake_place(server.digest, &server.region);
            server.intake.record_send(&place, now, &mut rand::rng());
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
            server: id.clone(),
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

impl State {
    /// Returns a run of a server that is in the list, or was lately.
    pub(super) fn find_run(&mut self, id: &ServerId, born: u64) -> Option<&mut Server> {
        self.find(id)
            .filter(|server| server.registration.born == born)
    }

    /// Returns a server that is in the list, or was lately.
    pub(super) fn find(&mut self, id: &ServerId) -> Option<&mut Server> {
        let absent = self.absent.get_mut(id).map(|(_, server)| server);
        self.servers.get_mut(id).or(absent)
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
            absent,
            warm_objects,
            ..
        } = &mut *state;
        absent.retain(|_, (since, _)| now.saturating_duration_since(*since) < ABSENT_RETENTION);
        let runs: IndexMap<&ServerId, u64> = entries
            .iter()
            .map(|entry| (&entry.registration.server, entry.registration.born))
            .collect();
        let gone = servers.extract_if(.., |id, server| {
            runs.get(id) != Some(&server.registration.born)
        });
        for (id, server) in gone {
            server.pool.close_idle();
            warm_objects.remove(warmth::short_digest(server.digest));
            absent.insert(id, (now, server));
        }
        for entry in entries {
            let registration = &entry.registration;
            state.add_label(&registration.label, is_first, now);
            let State {
                servers, absent, ..
            } = &mut *state;
            let server = servers.entry(registration.server.clone());
            let server = server.or_insert_with(|| {
                let known = absent.swap_remove(&registration.server);
                let known = known.filter(|(_, known)| known.registration.born == registration.born);
                known.map_or_else(
                    || Server::new(registration, settings, now),
                    |(_, server)| server,
                )
            });
            server.registration = registration.clone();
            server.update_pool(now);
            match entry.cold_until {
                Some(until) if until > now => server.warm_up(until, now),
                _ => {}
            }
        }
    }
}
