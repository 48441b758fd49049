//! Servers of a service as a request finds them, and the choice among them; changes no state.

use super::Parts;
use super::server::Server;
use super::server_set::{Placement, ServerCriteria, ServerSet, State, VersionFilter};
use base::id::{Label, Region};
use indexmap::{IndexMap, IndexSet};
use operators::explain::Obstacle;
use rand::RngExt;
use std::time::{Duration, Instant};
use steering::affinity::Digest;
use steering::locality::{self, PinnedShares};
use steering::placement::{
    self, Candidate, Choice, Estimate, Overload, PlacementRequest, ServiceTime,
};
use steering::priority::Admission;
use steering::warmth;
use steering::warmup::Warmup;
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

/// Servers of a service as a request finds them.
pub(super) struct Survey {
    /// Versions that the request may use.
    pub(super) labels: IndexSet<Label>,
    /// Regions to which the request is pinned; empty if it may run in every serving region.
    pub(super) pinned_regions: Vec<Region>,
    /// Indices of the candidates among the servers of the service.
    pub(super) servers: Vec<usize>,
    /// Candidates, in the order of `servers`.
    pub(super) candidates: Vec<Candidate>,
    /// Why a candidate can't be used now, in the order of `servers`.
    pub(super) obstacles: Vec<Option<Obstacle>>,
    /// When the first server that wants no request of this VM now takes one again; none if a server
    /// can be used, or if no such time is known.
    reopens_at: Option<Instant>,
    /// Servers that are no candidates.
    pub(super) excluded: Vec<(usize, Obstacle)>,
    pub(super) demand: PlacementRequest,
    pub(super) service_time: ServiceTime,
    /// Learned time that very few requests exceed, or zero.
    pub(super) slowest: Duration,
    /// Time by which the silence of a server is measured.
    pub(super) silence_unit: Duration,
    settings: placement::Settings,
}

/// Server that was selected.
pub(super) struct Selected {
    /// Index among the candidates.
    pub(super) index: usize,
    /// Expected time until the answer.
    pub(super) time: Duration,
    /// Whether it has cached the object.
    pub(super) warm: bool,
}

impl Survey {
    /// Returns the key of the overload that the request belongs to.
    pub(super) fn overload_key(&self) -> Box<str> {
        self.pinned_regions.join(" ").into()
    }

    /// Selects a server; `sample` selects it for a request that samples a new version.
    pub(super) fn choose(&self, sample: Option<Digest>) -> Placement<Selected> {
        let Self {
            settings,
            demand,
            service_time,
            candidates,
            ..
        } = self;
        let is_usable = |index: usize| self.obstacles[index].is_none();
        let choice = match sample {
            Some(sample) => placement::choose_sampled(
                settings,
                demand,
                service_time,
                candidates,
                is_usable,
                sample,
            ),
            None => placement::choose(settings, demand, service_time, candidates, is_usable),
        };
        match choice {
            Choice::Server { index, time, warm } => {
                Placement::Server(Selected { index, time, warm })
            }
            Choice::Late(excess) => Placement::Late(excess),
            Choice::NoCandidate => self
                .reopens_at
                .map_or(Placement::NoServer, Placement::Rejected),
        }
    }

    /// Returns the times that the choice compares, in the order of the candidates.
    pub(super) fn scores(&self) -> Vec<Duration> {
        placement::scores(
            &self.settings,
            &self.demand,
            &self.service_time,
            &self.candidates,
        )
    }

    /// Returns the maximum expected time until the answer.
    pub(super) fn time_limit(&self) -> Duration {
        placement::time_limit(&self.settings, &self.demand, &self.candidates)
    }
}

impl ServerSet {
    /// Returns the servers as a request finds them; `admission` is the state in which it was
    /// admitted.
    pub(super) fn survey(
        &self,
        state: &State,
        admission: Option<&Admission>,
        criteria: &ServerCriteria<'_>,
        is_allowed_in: impl Fn(&str) -> bool,
        parts: &impl Parts,
        now: Instant,
    ) -> Survey {
        let (terms, shortage) = state.terms(admission, criteria);
        let estimate = state.estimate(now);
        let service_time = state.service_time(criteria, estimate);
        let slowest = state.slowest(criteria, estimate);
        let silence_unit = work::silence_unit(service_time.cold, slowest);
        let labels = state.usable_labels(criteria, now);
        let mut excluded = Vec::new();
        let mut servers: Vec<(usize, &Server)> = Vec::new();
        for (index, server) in state.servers.values().enumerate() {
            match exclusion(server, criteria, &labels, now) {
                Some(obstacle) => excluded.push((index, obstacle)),
                None => servers.push((index, server)),
            }
        }
        let all_slots = slots_by_region(&servers);
        servers.retain(|(index, server)| {
            let is_allowed = is_allowed_in(&server.region);
            if !is_allowed {
                excluded.push((*index, Obstacle::Region));
            }
            is_allowed
        });
        let slots = slots_by_region(&servers);
        // A request that may run in some of the serving regions only is pinned to these.
        let is_pinned = slots.len() < all_slots.len();
        let weights = match is_pinned && !slots.is_empty() {
            false => locality::weights(
                &self.region,
                &slots,
                self.region_count,
                &state.pinned_shares,
            ),
            true => locality::weights(&self.region, &slots, slots.len(), &PinnedShares::default()),
        };
        let pinned_regions: Vec<Region> = match is_pinned {
            true => slots.keys().map(|region| (*region).into()).collect(),
            false => Vec::new(),
        };
        let average = match estimate {
            Estimate::Fixed => None,
            Estimate::Learned { .. } => Some(state.costs.average(criteria.objective)),
        };
        let candidates: Vec<Candidate> = servers
            .iter()
            .map(|(_, server)| {
                let weight = weights.get(&*server.region).copied().unwrap_or(0.0);
                self.candidate(server, weight, state, criteria.object, average, now)
            })
            .collect();
        let obstacle = |server: &Server| {
            let warmup = server.warmup.as_ref().filter(|warmup| warmup.is_cold(now));
            let is_held_back =
                |warmup: &Warmup| !(warmup.allows(now) && parts.is_warmup_owner(server.digest));
            match () {
                () if criteria.tried.contains(&server.registration.server) => Some(Obstacle::Tried),
                () if server.is_silent(now, service_time.cold, silence_unit) => {
                    Some(Obstacle::Silent)
                }
                () if !server.takes_requests(now) => Some(Obstacle::WantsNothing),
                () if server.is_limited(parts, now) => Some(Obstacle::Limited),
                () if warmup.is_some_and(is_held_back) => Some(Obstacle::Cold),
                () => None,
            }
        };
        let obstacles: Vec<Option<Obstacle>> =
            servers.iter().map(|(_, server)| obstacle(server)).collect();
        let reopens_at = match obstacles.iter().any(Option::is_none) {
            true => None,
            false => reopens_at(&servers, &obstacles, parts),
        };
        let mut survey = Survey {
            labels,
            pinned_regions,
            servers: servers.into_iter().map(|(index, _)| index).collect(),
            candidates,
            obstacles,
            reopens_at,
            excluded,
            demand: PlacementRequest {
                object: criteria.object,
                objective: criteria.objective,
                time_left: criteria.time_left,
                overload: shortage,
                terms,
                estimate,
            },
            service_time,
            slowest,
            silence_unit,
            settings: placement::Settings::default(),
        };
        let overload = state.overload.get(&survey.overload_key());
        survey.demand.overload = overload.map_or(0.0, Overload::level).max(shortage);
        survey
    }

    /// Builds the candidate of a server for an object; `average` is the learned average cost of the
    /// service, if costs are learned.
    fn candidate(
        &self,
        server: &Server,
        weight: f64,
        state: &State,
        object: Option<Digest>,
        average: Option<Duration>,
        now: Instant,
    ) -> Candidate {
        let short = warmth::short_digest(server.digest);
        let object = object.map(warmth::short_digest);
        let warm_objects = &state.warm_objects;
        let candidate = Candidate {
            warm: object.is_none_or(|object| warm_objects.is_warm(short, object)),
            has_cache_room: warm_objects.has_room(short),
            weight,
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
        };
        let Some(average) = average else {
            return candidate;
        };
        let pace = server.backlog.pace(candidate.slowdown, now);
        let backlog = &server.backlog;
        Candidate {
            load: backlog.load(now),
            slowdown: pace,
            wait: backlog.wait(candidate.slots, pace, &state.costs, average, now),
            ..candidate
        }
    }
}

/// Returns when the first of the servers that want no request of this VM now takes one again; none if
/// no such time is known.
fn reopens_at(
    servers: &[(usize, &Server)],
    obstacles: &[Option<Obstacle>],
    parts: &impl Parts,
) -> Option<Instant> {
    let servers = servers.iter().zip(obstacles);
    let times = servers.filter_map(|((_, server), obstacle)| match obstacle {
        Some(Obstacle::WantsNothing) => Some(server.rejection.as_ref()?.until()),
        Some(Obstacle::Limited) => server.turn_at(parts),
        _ => None,
    });
    times.min()
}

/// Returns why a server is no candidate, apart from its region.
fn exclusion(
    server: &Server,
    criteria: &ServerCriteria<'_>,
    labels: &IndexSet<Label>,
    now: Instant,
) -> Option<Obstacle> {
    let registration = &server.registration;
    match () {
        () if server.is_leaving() => Some(Obstacle::Leaving),
        () if !labels.contains(&registration.label) => Some(Obstacle::Version),
        () if criteria.evacuated.contains(&registration.data_centre) => Some(Obstacle::Evacuated),
        () if server.is_down(now) => Some(Obstacle::RefusesConnections),
        () => None,
    }
}

/// Returns the slots of servers by region.
fn slots_by_region<'a>(servers: &[(usize, &'a Server)]) -> IndexMap<&'a str, f64> {
    let mut slots: IndexMap<&str, f64> = IndexMap::new();
    for (_, server) in servers {
        *slots.entry(&server.region).or_default() += f64::from(server.registration.slots);
    }
    slots
}

impl State {
    /// Returns how expected times are estimated: from learned costs where the service's servers
    /// state their pace, and by fixed assumptions elsewhere.
    fn estimate(&self, now: Instant) -> Estimate {
        let states_pace = self
            .pace_stated_at
            .is_some_and(|at| now.saturating_duration_since(at) < PACE_MEMORY);
        match states_pace {
            true => Estimate::Learned {
                draw: rand::rng().random(),
            },
            false => Estimate::Fixed,
        }
    }

    /// Returns the service time that the fixed estimate expects of requests with an objective.
    pub(super) fn fixed_service_time(&self, objective: Duration) -> ServiceTime {
        let known = self.service_times.get(&objective).cloned();
        let estimate = known.unwrap_or_else(|| ServiceTimeEstimate::new(objective));
        estimate.service_time()
    }

    /// Returns the expected service time of a request.
    fn service_time(&self, criteria: &ServerCriteria<'_>, estimate: Estimate) -> ServiceTime {
        let objective = criteria.objective;
        match estimate {
            Estimate::Fixed => self.fixed_service_time(objective),
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

    /// Returns the versions that a request may use now.
    fn usable_labels(&self, criteria: &ServerCriteria<'_>, now: Instant) -> IndexSet<Label> {
        let target = match criteria.version {
            VersionFilter::Only(label) => return IndexSet::from([label.clone()]),
            VersionFilter::Except(label) => Some(label),
            VersionFilter::InService => None,
        };
        let is_due = |at: &Instant| now.saturating_duration_since(*at) >= NEW_VERSION_DELAY;
        let new = self.new_labels.iter().filter(|(_, at)| is_due(at));
        let new = new.map(|(label, _)| label).filter(|_| target.is_none());
        let labels = self.labels.iter().chain(new);
        let labels = labels.filter(|label| Some(*label) != target);
        let (withdrawn, others): (IndexSet<Label>, IndexSet<Label>) = labels
            .cloned()
            .partition(|label| criteria.withdrawn.contains(label));
        let is_served = |labels: &IndexSet<Label>| {
            let mut servers = self.servers.values().map(|server| &server.registration);
            servers.any(|server| !server.leaving && labels.contains(&server.label))
        };
        match target {
            _ if is_served(&others) => others,
            // A version without servers can't be one that the operator wants to keep, so the new one
            // gets the requests.
            Some(label) => IndexSet::from([label.clone()]),
            None => others.into_iter().chain(withdrawn).collect(),
        }
    }
}
