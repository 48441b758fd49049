//! Selection of the backend server with the earliest expected completion time.
//!
//! A server that has cached an object (a warm server) needs about a third of the service time of a
//! cold one. The first server in the rendezvous order of an object is credited with a warm cache in
//! advance, the second with a quarter of the saving, so that a second copy is made only when the
//! queue of the first server is worth it. Under overload the credit is withdrawn from servers whose
//! cache is full: a cold request takes three times as long and evicts another object.

use crate::affinity::{self, Digest};
use std::time::{Duration, Instant};

base::value! {
    /// Settings of the server selection.
    #[derive(Copy)]
    pub struct Settings {
        /// Share of the time saved by a warm cache that is credited to the second server in an
        /// object's order before it has cached the object.
        pub second_server_credit: f64,
        /// Maximum expected completion time, in latency objectives, while the service is busy.
        /// At 2.0 or 3.0, the answers lose a tenth of their total worth to callers.
        pub busy_limit: f64,
        /// The same under lasting overload. Requests then queue up to the limit, so a limit above
        /// the objective would make nearly every answer late.
        pub overload_limit: f64,
        /// Maximum expected completion time, in latency objectives, while the service has idle
        /// slots; covers the cold service time of about 1.6 objectives.
        pub idle_limit: f64,
        /// Share of a service's slots in use from which it counts as busy.
        pub busy_share: f64,
        /// Share of the time left until the deadline that the expected completion time may use.
        pub deadline_share: f64,
        /// Weight of the failure rate of a server: its expected completion time is multiplied by
        /// `1 + failure_weight * failure rate`.
        pub failure_weight: f64,
    }

    /// Estimated service time of a request on an idle server of ordinary speed.
    #[derive(Copy)]
    pub struct ServiceTime {
        /// On a server that has cached the object.
        pub warm: Duration,
        /// On any other server.
        pub cold: Duration,
    }

    /// A server that may be selected.
    #[derive(Copy)]
    pub struct Candidate {
        /// Digest of the server's id.
        pub server: Digest,
        /// Number of requests that it runs concurrently.
        pub slots: u32,
        /// Number of requests on the server, running or queued.
        pub load: u32,
        /// Network round-trip time to the server.
        pub round_trip: Duration,
        /// Weight of one of its slots in an object's order, from [`crate::locality`].
        pub weight: f64,
        /// Its time for a request divided by the time of a server of ordinary speed.
        pub slowdown: f64,
        /// Share of recent requests that failed, from 0 to 1.
        pub failure_rate: f64,
        /// Whether it has cached the object.
        pub warm: bool,
        /// Whether it can cache a further object without evicting one.
        pub has_cache_room: bool,
        /// Expected time until a slot is free, from [`crate::backlog`]; used by
        /// [`Estimate::Learned`].
        pub wait: Duration,
    }

    /// How the expected completion time is estimated.
    #[derive(Copy, Default)]
    pub enum Estimate {
        /// Number of requests times the average service time of the objective.
        #[default]
        Fixed,
        /// Learned costs, and the backlog of each server.
        Learned {
            /// Random number that decides between servers whose times do not differ by more than
            /// their uncertainty. Without it all VMs would choose the same server.
            draw: u64,
        },
    }

    /// Request for which a server is selected.
    #[derive(Copy)]
    pub struct PlacementRequest {
        /// Digest of its object, if servers are faster at objects that they have cached.
        pub object: Option<Digest>,
        /// Latency objective of the route.
        pub objective: Duration,
        /// Time until its deadline.
        pub time_left: Duration,
        /// Overload of the service, from 0 to 1, from [`Overload`].
        pub overload: f64,
        /// Terms for a request that competes with more urgent ones.
        pub terms: Terms,
        /// How expected times are estimated.
        pub estimate: Estimate,
    }

    /// Terms of a placement, from [`crate::priority`]; the default restricts nothing.
    #[derive(Copy, Default)]
    pub struct Terms {
        /// Maximum wait at the selected server that the request may leave to the next one.
        pub max_wait: Option<Duration>,
        /// Whether the request may go to a server that has not cached its object.
        pub cold: ColdPolicy,
    }

    /// Whether a request may go to a server that has not cached its object.
    #[derive(Copy, Eq, Default)]
    pub enum ColdPolicy {
        /// To any server.
        #[default]
        Any,
        /// Only if no server has cached the object, and to a server with a free slot.
        IfNoneIsWarm,
    }

    /// Server selected for a request, or why none was.
    #[derive(Copy)]
    pub enum Choice {
        /// A server that is expected to complete the request in time.
        Server {
            /// Index among the candidates.
            index: usize,
            /// Expected time until the answer, to which the measured time is compared.
            time: Duration,
            /// Whether it has cached the object.
            warm: bool,
        },
        /// No server is expected to complete the request in time; the earliest one is late by this.
        Late(Duration),
        /// There is no candidate.
        NoCandidate,
    }
}

impl Estimate {
    /// Returns the name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Fixed => "fixed",
            Self::Learned { .. } => "learned",
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            second_server_credit: 0.25,
            busy_limit: 1.4,
            overload_limit: 0.95,
            idle_limit: 2.5,
            busy_share: 0.5,
            deadline_share: 0.9,
            failure_weight: 4.0,
        }
    }
}

impl Candidate {
    /// Returns the time that a request which arrives now waits for a slot.
    pub fn queue_wait(&self, service_time: &ServiceTime, estimate: Estimate) -> Duration {
        if let Estimate::Learned { .. } = estimate {
            return self.wait;
        }
        let ahead = (self.load + 1).saturating_sub(self.slots);
        let each = service_time.warm.mul_f64(self.slowdown);
        each.mul_f64(f64::from(ahead) / f64::from(self.slots.max(1)))
    }

    /// Returns the time that a request waits for a slot that arrives after this one has joined.
    fn wait_behind(&self, service_time: &ServiceTime, estimate: Estimate) -> Duration {
        let joined = Self {
            load: self.load + 1,
            // The request adds its own work, divided among the slots.
            wait: self.wait
                + service_time
                    .warm
                    .mul_f64(self.slowdown / f64::from(self.slots.max(1))),
            ..*self
        };
        joined.queue_wait(service_time, estimate)
    }

    /// Returns the expected time until the answer, with the credit for the server's rank in the
    /// object's order and the penalty for failures.
    fn score(
        &self,
        settings: &Settings,
        service_time: &ServiceTime,
        rank: Rank,
        request: &PlacementRequest,
    ) -> Duration {
        let saved = service_time.cold.saturating_sub(service_time.warm);
        // A cold request on a server with a full cache evicts an object. Under overload that costs
        // the next request for the evicted object more than refusing this one.
        let overload = if self.has_cache_room {
            0.0
        } else {
            request.overload
        };
        let credit = match rank {
            _ if self.warm => 1.0,
            Rank::NoObject => 1.0,
            Rank::First => 1.0 - overload,
            Rank::Second => settings.second_server_credit * (1.0 - overload),
            Rank::Later => 0.0,
        };
        let own = service_time.cold.saturating_sub(saved.mul_f64(credit));
        let wait = self.queue_wait(service_time, request.estimate);
        let time = wait + own.mul_f64(self.slowdown) + self.round_trip;
        time.mul_f64(1.0 + settings.failure_weight * self.failure_rate)
    }

    /// Returns the expected time until the answer, as if the server had ordinary speed.
    pub fn nominal_time(&self, service_time: &ServiceTime, estimate: Estimate) -> Duration {
        let server = Self {
            slowdown: 1.0,
            wait: self.wait.div_f64(self.slowdown.max(0.1)),
            ..*self
        };
        server.time(service_time, estimate)
    }

    /// Returns the expected time until the answer, without the credit for a cache that is still
    /// cold and without the penalty for failures.
    fn time(&self, service_time: &ServiceTime, estimate: Estimate) -> Duration {
        let own = if self.warm {
            service_time.warm
        } else {
            service_time.cold
        };
        let wait = self.queue_wait(service_time, estimate);
        wait + own.mul_f64(self.slowdown) + self.round_trip
    }
}

/// Time constant of the average share of refusals; shorter bursts are not lasting overload.
const REFUSAL_TIME_CONSTANT: Duration = Duration::from_secs(3);
/// Shares of refusals at which the overload begins and at which it is complete.
const REFUSAL_SHARES: (f64, f64) = (0.25, 0.4);

/// Lasting overload of a service, from the requests that no server could complete in time.
#[derive(Debug, Clone, PartialEq)]
pub struct Overload {
    refused: f64,
    at: Instant,
}

impl Overload {
    /// Starts without overload.
    pub fn new(now: Instant) -> Self {
        Self {
            refused: 0.0,
            at: now,
        }
    }

    /// Returns the overload from 0 to 1.
    pub fn level(&self) -> f64 {
        let (from, to) = REFUSAL_SHARES;
        ((self.refused - from) / (to - from)).clamp(0.0, 1.0)
    }

    /// Records a request; `is_late` if no server could complete it in time.
    pub fn record(&mut self, is_late: bool, now: Instant) {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        let weight = 1.0 - (-elapsed / REFUSAL_TIME_CONSTANT.as_secs_f64()).exp();
        let sample = if is_late { 1.0 } else { 0.0 };
        self.refused += weight.clamp(0.01, 0.5) * (sample - self.refused);
    }
}

/// Difference of expected times that says nothing under learned estimates, in latency objectives:
/// the figures of other VMs are up to 0.5 s old. It does not apply to requests with an object, whose
/// first servers differ anyway; there it cost 0.01 to 0.03 of the share in time.
const UNCERTAINTY: f64 = 0.05;

/// Rank of a server in the rendezvous order of an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Rank {
    First,
    Second,
    Later,
    /// The request has no object.
    NoObject,
}

/// Returns the first two servers in the order of an object among those at `indices`.
fn first_two(
    object: Digest,
    candidates: &[Candidate],
    indices: impl Iterator<Item = usize>,
) -> [Option<usize>; 2] {
    let mut best: [Option<(f64, usize)>; 2] = [None, None];
    for index in indices {
        let candidate = &candidates[index];
        let weight = candidate.weight * f64::from(candidate.slots);
        let rank = affinity::rank(object, candidate.server, weight);
        if best[0].is_none_or(|(first, _)| rank > first) {
            best = [Some((rank, index)), best[0]];
        } else if best[1].is_none_or(|(second, _)| rank > second) {
            best[1] = Some((rank, index));
        }
    }
    best.map(|ranked| ranked.map(|(_, index)| index))
}

/// Ranks of candidates in the order of a request's object.
struct Order([Option<usize>; 2], bool);

impl Order {
    fn new(request: &PlacementRequest, candidates: &[Candidate]) -> Self {
        let first = |object| first_two(object, candidates, 0..candidates.len());
        let first = request.object.map(first);
        Self(first.unwrap_or_default(), first.is_some())
    }

    fn rank(&self, index: usize) -> Rank {
        let Self([first, second], has_object) = self;
        match Some(index) {
            _ if !has_object => Rank::NoObject,
            index if index == *first => Rank::First,
            index if index == *second => Rank::Second,
            _ => Rank::Later,
        }
    }
}

/// Returns the expected times until the answer that [`choose`] compares, by candidate: with the
/// credit for a server's rank in the object's order and the penalty for failures.
pub fn scores(
    settings: &Settings,
    request: &PlacementRequest,
    service_time: &ServiceTime,
    candidates: &[Candidate],
) -> Vec<Duration> {
    let order = Order::new(request, candidates);
    let candidates = candidates.iter().enumerate();
    candidates
        .map(|(index, candidate)| {
            candidate.score(settings, service_time, order.rank(index), request)
        })
        .collect()
}

/// Selects the server with the earliest expected completion time among the `usable` candidates.
pub fn choose(
    settings: &Settings,
    request: &PlacementRequest,
    service_time: &ServiceTime,
    candidates: &[Candidate],
    usable: impl Fn(usize) -> bool,
) -> Choice {
    let order = Order::new(request, candidates);
    let is_warm_anywhere = (request.terms.cold == ColdPolicy::IfNoneIsWarm)
        && (0..candidates.len()).any(|index| candidates[index].warm && usable(index));
    let fits = |c: &Candidate| match request.terms.cold {
        ColdPolicy::Any => true,
        ColdPolicy::IfNoneIsWarm => {
            c.warm || (c.load < c.slots && (!is_warm_anywhere || c.has_cache_room))
        }
    };
    let score = |index: usize| {
        let candidate: &Candidate = &candidates[index];
        candidate.score(settings, service_time, order.rank(index), request)
    };
    let best = (0..candidates.len())
        .filter(|index| fits(&candidates[*index]) && usable(*index))
        .map(|index| (score(index), index))
        .min();
    let Some((time, index)) = best else {
        return match (0..candidates.len()).any(usable) {
            // Servers that the terms exclude can be used again when the shortage ends.
            true => Choice::Late(service_time.cold),
            false => Choice::NoCandidate,
        };
    };
    let index = match request.estimate {
        Estimate::Fixed => index,
        Estimate::Learned { draw } => {
            let uncertainty = request.object.map_or(UNCERTAINTY, |_| 0.0);
            let limit = time + request.objective.mul_f64(uncertainty);
            let is_near = |other: &usize| {
                let is_as_near = candidates[*other].round_trip <= candidates[index].round_trip;
                is_as_near && fits(&candidates[*other]) && usable(*other) && score(*other) <= limit
            };
            let near = (0..candidates.len()).filter(is_near);
            break_tie(near, request.object, draw, candidates).unwrap_or(index)
        }
    };
    check_limit(settings, request, service_time, candidates, index, time)
}

/// Selects one of several servers whose times do not differ by more than their uncertainty.
///
/// With an object it is the first in the object's order, so that few servers cache it. Without one,
/// all VMs would agree on the order, so it is drawn at random, and of the first two servers the one
/// with more free slots is selected.
fn break_tie(
    near: impl Iterator<Item = usize>,
    object: Option<Digest>,
    draw: u64,
    candidates: &[Candidate],
) -> Option<usize> {
    let [first, second] = first_two(object.unwrap_or(draw), candidates, near);
    let free =
        |index: usize| i64::from(candidates[index].slots) - i64::from(candidates[index].load);
    match (first, second) {
        (Some(first), Some(second)) if object.is_none() && free(second) > free(first) => {
            Some(second)
        }
        _ => first,
    }
}

/// Selects a server for a request that samples its version: the same one for the same `sample`,
/// whatever its speed and failures. A selection by these would measure only the version's best
/// servers.
pub fn choose_sampled(
    settings: &Settings,
    request: &PlacementRequest,
    service_time: &ServiceTime,
    candidates: &[Candidate],
    usable: impl Fn(usize) -> bool,
    sample: Digest,
) -> Choice {
    let rank = |index: usize| affinity::rank(sample, candidates[index].server, 1.0);
    let first = (0..candidates.len())
        .filter(|index| usable(*index))
        .max_by(|a, b| rank(*a).total_cmp(&rank(*b)));
    let Some(index) = first else {
        return Choice::NoCandidate;
    };
    let time = candidates[index].nominal_time(service_time, request.estimate);
    check_limit(settings, request, service_time, candidates, index, time)
}

/// Returns the server at `index` if its expected completion time is within the limit.
fn check_limit(
    settings: &Settings,
    request: &PlacementRequest,
    service_time: &ServiceTime,
    candidates: &[Candidate],
    index: usize,
    time: Duration,
) -> Choice {
    let limit = time_limit(settings, request, candidates);
    if time > limit {
        return Choice::Late(time - limit);
    }
    let selected = &candidates[index];
    if let Some(max_wait) = request.terms.max_wait
        && selected.load >= selected.slots
    {
        let wait = selected.wait_behind(service_time, request.estimate);
        if wait > max_wait {
            return Choice::Late(wait - max_wait);
        }
    }
    Choice::Server {
        index,
        time: candidates[index].time(service_time, request.estimate),
        warm: candidates[index].warm,
    }
}

/// Returns the share of the slots that are in use, from 0 to 1; 1 without slots.
pub fn occupancy(candidates: &[Candidate]) -> f64 {
    let slots: u32 = candidates.iter().map(|c| c.slots).sum();
    let load: u32 = candidates.iter().map(|c| c.load.min(c.slots)).sum();
    match slots {
        0 => 1.0,
        _ => f64::from(load) / f64::from(slots),
    }
}

/// Returns the maximum expected completion time of a request.
pub fn time_limit(
    settings: &Settings,
    request: &PlacementRequest,
    candidates: &[Candidate],
) -> Duration {
    let busy = occupancy(candidates) >= settings.busy_share;
    let change = settings.overload_limit - settings.busy_limit;
    let objectives = match busy {
        true => settings.busy_limit + change * request.overload,
        false => settings.idle_limit,
    };
    request
        .objective
        .mul_f64(objectives)
        .min(request.time_left.mul_f64(settings.deadline_share))
}
