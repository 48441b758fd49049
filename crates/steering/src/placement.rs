//! Choice of a backend server by the expected end of a request.
//!
//! Load: requests for objects, of which servers that handled the object lately need about a third
//! of the work. A server is warm for an object if VMs saw it handle the object. The first server of
//! the object's order counts as warm even so, because it soon will be; the second counts as a
//! quarter warm, so that a second copy is made when the first server has a queue worth it. Under
//! overload a request that cannot end in time is refused at once: sent to a cold server it would
//! take three times the work and push out another object there. So a first server that keeps as many
//! objects as it can then counts as what it is.

use crate::affinity::{self, Digest};
use std::time::{Duration, Instant};

base::value! {
    /// Settings of the choice.
    #[derive(Copy)]
    pub struct Settings {
        /// Share of the work saved by warmth that is expected of the second server of an object's
        /// order before it handled the object.
        pub second_copy: f64,
        /// Latest expected end, in latency objectives, while the service is busy. Trials: 2.0 and
        /// 3.0 cost a tenth of the worth against 1.4.
        pub patience: f64,
        /// The same under lasting overload. Requests then queue up to the limit, so one beyond the
        /// objective would make nearly every answer late.
        pub pressed_patience: f64,
        /// Latest expected end, in latency objectives, while the service has idle slots; covers
        /// the cold work of about 1.6 objectives.
        pub idle_patience: f64,
        /// Share of a service's slots in use from which it counts as busy.
        pub busy_share: f64,
        /// Part of the time left that an expected end may use.
        pub deadline_share: f64,
        /// Weight of recent failures of a server: its expected end is multiplied by
        /// `1 + failure_weight * failed share`.
        pub failure_weight: f64,
    }

    /// Estimated work of a request of a service on an idle server of ordinary speed.
    #[derive(Copy)]
    pub struct Work {
        /// On a server that handled the object lately.
        pub warm: Duration,
        /// On any other server.
        pub cold: Duration,
    }

    /// What is known of a server that may be used.
    #[derive(Copy)]
    pub struct Candidate {
        /// Digest of the server's id.
        pub server: Digest,
        /// Requests that it runs at once.
        pub slots: u32,
        /// Requests that it has, running or waiting.
        pub load: u32,
        /// Time to the server and back.
        pub distance: Duration,
        /// Weight of one of its slots in an object's order, as [`crate::locality`] tells it.
        pub weight: f64,
        /// Its time for a request divided by the time of an ordinary server.
        pub slowdown: f64,
        /// Share of recent requests that it failed, from 0 to 1.
        pub failed: f64,
        /// Whether it handled the object lately.
        pub warm: bool,
        /// Whether it can keep a further object without losing another one.
        pub has_room: bool,
    }

    /// Request to be placed.
    #[derive(Copy)]
    pub struct Demand {
        /// Digest of its object, if servers are faster at objects they know.
        pub object: Option<Digest>,
        /// Latency objective of the route.
        pub objective: Duration,
        /// Time until its deadline.
        pub left: Duration,
        /// Overload of the service, from 0 to 1, as [`Pressure`] tells it.
        pub pressure: f64,
    }

    /// Server chosen for a request, or by how much the best one is too late.
    #[derive(Copy)]
    pub enum Choice {
        /// A server that ends the request in time.
        Server {
            /// Index among the candidates.
            index: usize,
            /// Expected time until the answer; against it the server's speed is judged.
            time: Duration,
            /// Whether it handled the object lately.
            warm: bool,
        },
        /// No server ends the request in time; the best one is late by this.
        Late(Duration),
        /// There is no candidate.
        Empty,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            second_copy: 0.25,
            patience: 1.4,
            pressed_patience: 0.95,
            idle_patience: 2.5,
            busy_share: 0.5,
            deadline_share: 0.9,
            failure_weight: 4.0,
        }
    }
}

impl Candidate {
    /// Returns the time until a request that arrives now gets a slot.
    fn wait(&self, work: &Work) -> Duration {
        let before = (self.load + 1).saturating_sub(self.slots);
        let each = work.warm.mul_f64(self.slowdown);
        each.mul_f64(f64::from(before) / f64::from(self.slots.max(1)))
    }

    /// Returns the expected time until the answer, failures included; `place` is the server's in
    /// the order of the object.
    fn end(&self, settings: &Settings, work: &Work, place: Place, pressure: f64) -> Duration {
        let saved = work.cold.saturating_sub(work.warm);
        // A server without room loses an object that it keeps with each cold request. Under overload
        // that costs the next request for the lost object more than the refusal of this one.
        let pressure = if self.has_room { 0.0 } else { pressure };
        let credit = match place {
            _ if self.warm => 1.0,
            Place::Any => 1.0,
            Place::First => 1.0 - pressure,
            Place::Second => settings.second_copy * (1.0 - pressure),
            Place::Later => 0.0,
        };
        let own = work.cold.saturating_sub(saved.mul_f64(credit));
        let end = self.wait(work) + own.mul_f64(self.slowdown) + self.distance;
        end.mul_f64(1.0 + settings.failure_weight * self.failed)
    }

    /// Returns the expected time until the answer if the server has ordinary speed.
    pub fn ordinary(&self, work: &Work) -> Duration {
        let server = Self {
            slowdown: 1.0,
            ..*self
        };
        server.time(work)
    }

    /// Returns the expected time until the answer, with the cold work of a server that has yet to
    /// handle the object, and without the weight of failures.
    fn time(&self, work: &Work) -> Duration {
        let own = if self.warm { work.warm } else { work.cold };
        self.wait(work) + own.mul_f64(self.slowdown) + self.distance
    }
}

/// Time over which refusals are averaged: a burst that ends within it is not lasting overload.
const PRESSURE_TIME: Duration = Duration::from_secs(3);
/// Share of refusals from which a service counts as overloaded, and from which fully so.
const PRESSURE: (f64, f64) = (0.25, 0.4);

/// Lasting overload of a service, from the requests that no server could end in time.
#[derive(Debug, Clone, PartialEq)]
pub struct Pressure {
    refused: f64,
    at: Instant,
}

impl Pressure {
    /// Starts without overload.
    pub fn new(now: Instant) -> Self {
        Self {
            refused: 0.0,
            at: now,
        }
    }

    /// Returns the overload from 0 to 1.
    pub fn get(&self) -> f64 {
        let (from, to) = PRESSURE;
        ((self.refused - from) / (to - from)).clamp(0.0, 1.0)
    }

    /// Takes in a request that was placed, or that no server could end in time.
    pub fn count(&mut self, is_late: bool, now: Instant) {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        let weight = 1.0 - (-elapsed / PRESSURE_TIME.as_secs_f64()).exp();
        let sample = if is_late { 1.0 } else { 0.0 };
        self.refused += weight.clamp(0.01, 0.5) * (sample - self.refused);
    }
}

/// Place of a server in the order of an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Place {
    First,
    Second,
    Later,
    /// The request concerns no object.
    Any,
}

/// Returns the indices of the first two servers in the order of an object.
fn first_two(object: Digest, candidates: &[Candidate]) -> [Option<usize>; 2] {
    let mut best: [Option<(f64, usize)>; 2] = [None, None];
    for (index, candidate) in candidates.iter().enumerate() {
        let weight = candidate.weight * f64::from(candidate.slots);
        let rank = affinity::rank(object, candidate.server, weight);
        if best[0].is_none_or(|(first, _)| rank > first) {
            best = [Some((rank, index)), best[0]];
        } else if best[1].is_none_or(|(second, _)| rank > second) {
            best[1] = Some((rank, index));
        }
    }
    best.map(|place| place.map(|(_, index)| index))
}

/// Chooses the server with the earliest expected end among `candidates`, of which only those that
/// are `usable` may get this request.
pub fn choose(
    settings: &Settings,
    demand: &Demand,
    work: &Work,
    candidates: &[Candidate],
    usable: impl Fn(usize) -> bool,
) -> Choice {
    let order = demand.object.map(|object| first_two(object, candidates));
    let place = |index: usize| match order {
        None => Place::Any,
        Some([first, _]) if first == Some(index) => Place::First,
        Some([_, second]) if second == Some(index) => Place::Second,
        Some(_) => Place::Later,
    };
    let best = candidates
        .iter()
        .enumerate()
        .filter(|(index, _)| usable(*index))
        .map(|(index, c)| (c.end(settings, work, place(index), demand.pressure), index))
        .min();
    let Some((end, index)) = best else {
        return Choice::Empty;
    };
    in_time(settings, demand, work, candidates, index, end)
}

/// Chooses a server for a request that samples its version: the same one for the same `sample`,
/// whatever is known of its speed and failures. A choice by these would show the version by its best
/// servers only.
pub fn sample(
    settings: &Settings,
    demand: &Demand,
    work: &Work,
    candidates: &[Candidate],
    usable: impl Fn(usize) -> bool,
    sample: Digest,
) -> Choice {
    let rank = |index: usize| affinity::rank(sample, candidates[index].server, 1.0);
    let first = (0..candidates.len())
        .filter(|index| usable(*index))
        .max_by(|a, b| rank(*a).total_cmp(&rank(*b)));
    let Some(index) = first else {
        return Choice::Empty;
    };
    let end = candidates[index].ordinary(work);
    in_time(settings, demand, work, candidates, index, end)
}

/// Returns the server at `index`, if it ends the request in time.
fn in_time(
    settings: &Settings,
    demand: &Demand,
    work: &Work,
    candidates: &[Candidate],
    index: usize,
    end: Duration,
) -> Choice {
    let latest = latest(settings, demand, candidates);
    if end > latest {
        return Choice::Late(end - latest);
    }
    Choice::Server {
        index,
        time: candidates[index].time(work),
        warm: candidates[index].warm,
    }
}

/// Returns the time in which a request has to end on one of the servers.
fn latest(settings: &Settings, demand: &Demand, candidates: &[Candidate]) -> Duration {
    let slots: u32 = candidates.iter().map(|c| c.slots).sum();
    let load: u32 = candidates.iter().map(|c| c.load.min(c.slots)).sum();
    let busy = f64::from(load) >= settings.busy_share * f64::from(slots);
    let pressed = settings.pressed_patience - settings.patience;
    let patience = match busy {
        true => settings.patience + pressed * demand.pressure,
        false => settings.idle_patience,
    };
    demand
        .objective
        .mul_f64(patience)
        .min(demand.left.mul_f64(settings.deadline_share))
}
