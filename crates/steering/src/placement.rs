//! Choice of a backend server by the expected end of a request.
//!
//! Load: requests for objects, of which servers that handled the object lately need about a third
//! of the work. The first servers of the object's order count as warm, all others as cold. Under
//! overload a request that no warm server can end in time is refused at once: sent to a cold
//! server it would take three times the work and push out another object there.

use crate::affinity::{self, Digest};
use std::time::Duration;

base::value! {
    /// Settings of the choice.
    #[derive(Copy)]
    pub struct Settings {
        /// Servers of an object's order that count as warm. Trials on both sites: three warm
        /// servers in place of two cost a quarter of the worth on the heaviest day.
        pub warm_servers: usize,
        /// Latest expected end, in latency objectives, while the service is busy. Trials: 2.0 and
        /// 3.0 cost a tenth of the worth against 1.4.
        pub patience: f64,
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
        /// Its time for a request divided by the time of an ordinary server.
        pub slowdown: f64,
        /// Share of recent requests that it failed, from 0 to 1.
        pub failed: f64,
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
    }

    /// Server chosen for a request, or by how much the best one is too late.
    #[derive(Copy)]
    pub enum Choice {
        /// Index of the candidate, its expected end, and whether it counts as warm.
        Server {
            /// Index among the candidates.
            index: usize,
            /// Expected time until the answer.
            end: Duration,
            /// Whether it is among the first of the object's order.
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
            warm_servers: 2,
            patience: 1.4,
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

    /// Returns the expected time until the answer, failures included.
    fn end(&self, work: &Work, warm: bool, failure_weight: f64) -> Duration {
        let own = if warm { work.warm } else { work.cold };
        let end = self.wait(work) + own.mul_f64(self.slowdown) + self.distance;
        end.mul_f64(1.0 + failure_weight * self.failed)
    }
}

/// Returns the indices of the servers that count as warm for an object.
pub fn warm(settings: &Settings, object: Digest, candidates: &[Candidate]) -> Vec<usize> {
    let mut ranked: Vec<(f64, usize)> = candidates
        .iter()
        .enumerate()
        .map(|(index, c)| (affinity::rank(object, c.server, c.slots), index))
        .collect();
    ranked.sort_by(|a, b| b.0.total_cmp(&a.0));
    ranked.truncate(settings.warm_servers);
    ranked.into_iter().map(|(_, index)| index).collect()
}

/// Chooses the server with the earliest expected end among `candidates`.
///
/// `warm` holds the indices of the servers that are warm for the object, as [`warm`] returns them
/// for all servers that hold objects, usable for this request or not; a request without an object
/// is equally fast everywhere.
pub fn choose(
    settings: &Settings,
    demand: &Demand,
    work: &Work,
    candidates: &[Candidate],
    usable: impl Fn(usize) -> bool,
) -> Choice {
    let ranked = demand.object.map(|o| warm(settings, o, candidates));
    let is_warm = |index: usize| ranked.as_ref().is_none_or(|r| r.contains(&index));
    let best = candidates
        .iter()
        .enumerate()
        .filter(|(index, _)| usable(*index))
        .map(|(index, c)| (c.end(work, is_warm(index), settings.failure_weight), index))
        .min();
    let Some((end, index)) = best else {
        return Choice::Empty;
    };
    let slots: u32 = candidates.iter().map(|c| c.slots).sum();
    let load: u32 = candidates.iter().map(|c| c.load.min(c.slots)).sum();
    let busy = f64::from(load) >= settings.busy_share * f64::from(slots);
    let patience = match busy {
        true => settings.patience,
        false => settings.idle_patience,
    };
    let latest = demand
        .objective
        .mul_f64(patience)
        .min(demand.left.mul_f64(settings.deadline_share));
    if end > latest {
        return Choice::Late(end - latest);
    }
    Choice::Server {
        index,
        end,
        warm: is_warm(index),
    }
}
