//! Cost of requests, learned from answers by route and cache state.
//!
//! The routes of a service differ in cost, and a small share of requests takes several times as
//! long as the rest with nothing to tell them apart before they run. The distribution therefore
//! counts: its middle predicts a new request, its mean residual the time that a request of a known age
//! still takes, and its upper quantile the time after which an answer is missing.

mod histogram;

pub use histogram::Histogram;

use crate::placement::ServiceTime;
use crate::work;
use base::id::Route;
use indexmap::IndexMap;
use std::time::Duration;

/// Maximum number of routes with distributions of their own; further ones share the service's.
const MAX_ROUTES: usize = 16;
/// Samples that a distribution counts as having before its first: the prior for a service, the
/// service's samples for a route. A route's own samples prevail after the first few.
const PRIOR_SAMPLES: f32 = 4.0;
/// Quantiles that stand for a warm and a cold request. A server that counts as warm may have evicted
/// the object, one that counts as cold may be reading it for another request, and some requests waited
/// although a slot seemed free. With means, the two times approach each other under load, more
/// requests run cold, and the share of reads in time in steering/uneven falls from 0.92 to 0.75.
const WARM_QUANTILE: f64 = 0.25;
const COLD_QUANTILE: f64 = 0.6;
/// Weight of a sample in the average cost: averages about 50 samples.
const AVERAGE_WEIGHT: f64 = 0.02;

/// Distributions of one service or route on warm and on cold servers.
#[derive(Debug, Clone)]
struct Pair {
    warm: Histogram,
    cold: Histogram,
}

impl Pair {
    fn get(&self, warm: bool) -> &Histogram {
        match warm {
            true => &self.warm,
            false => &self.cold,
        }
    }

    fn get_mut(&mut self, warm: bool) -> &mut Histogram {
        match warm {
            true => &mut self.warm,
            false => &mut self.cold,
        }
    }
}

/// Costs of the requests of one service, in units of their latency objective.
#[derive(Debug, Clone)]
pub struct Model {
    service: Pair,
    routes: IndexMap<Route, Pair>,
    /// Average cost of the service's requests in seconds, if there are samples.
    average: Option<f64>,
}

impl Default for Model {
    /// Starts from the service times that [`work`] assumes.
    fn default() -> Self {
        let (warm, cold) = work::prior_service_times();
        Self {
            service: Pair {
                warm: Histogram::around(warm, PRIOR_SAMPLES),
                cold: Histogram::around(cold, PRIOR_SAMPLES),
            },
            routes: IndexMap::new(),
            average: None,
        }
    }
}

impl Model {
    /// Returns the cost of a route's requests with this latency objective.
    pub fn cost(&self, route: &str, objective: Duration, warm: bool) -> Cost<'_> {
        let pair = self.routes.get(route).unwrap_or(&self.service);
        Cost {
            histogram: pair.get(warm),
            objective,
        }
    }

    /// Returns the service time of a route's requests, by which servers are compared.
    pub fn service_time(&self, route: &str, objective: Duration) -> ServiceTime {
        let warm = self.cost(route, objective, true).quantile(WARM_QUANTILE);
        let cold = self.cost(route, objective, false).quantile(COLD_QUANTILE);
        ServiceTime {
            warm: warm.min(cold),
            cold,
        }
    }

    /// Returns the average cost of a request of the service, of any route and cache state; before
    /// the first sample that of a warm one with this objective.
    pub fn average(&self, objective: Duration) -> Duration {
        match self.average {
            Some(average) => Duration::from_secs_f64(average),
            None => self.service.warm.mean_duration(objective),
        }
    }

    /// Records the time of a request that found a free slot, as if the machine had ordinary pace.
    pub fn record(&mut self, route: &str, objective: Duration, warm: bool, took: Duration) {
        let seconds = took.as_secs_f64();
        let average = self.average.unwrap_or(seconds);
        self.average = Some(average + AVERAGE_WEIGHT * (seconds - average));
        let ratio = seconds / objective.as_secs_f64().max(0.001);
        if !self.routes.contains_key(route) && self.routes.len() < MAX_ROUTES {
            let prior = Pair {
                warm: self.service.warm.scaled_to(PRIOR_SAMPLES),
                cold: self.service.cold.scaled_to(PRIOR_SAMPLES),
            };
            self.routes.insert(route.into(), prior);
        }
        self.service.get_mut(warm).record(ratio);
        if let Some(pair) = self.routes.get_mut(route) {
            pair.get_mut(warm).record(ratio);
        }
    }

    /// Drops the distributions of routes for which `is_configured` returns false.
    pub fn retain(&mut self, is_configured: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| is_configured(route));
    }
}

/// Cost of the requests of one route and cache state, on a machine of ordinary pace.
#[derive(Debug, Clone, Copy)]
pub struct Cost<'a> {
    histogram: &'a Histogram,
    objective: Duration,
}

impl Cost<'_> {
    /// Returns the mean.
    pub fn mean(&self) -> Duration {
        self.histogram.mean_duration(self.objective)
    }

    /// Returns the time that this share of the requests, from 0 to 1, does not exceed.
    pub fn quantile(&self, share: f64) -> Duration {
        self.objective.mul_f64(self.histogram.quantile(share))
    }

    /// Returns the mean of the time that a request which has run for `age` still takes.
    pub fn residual(&self, age: Duration) -> Duration {
        let age = age.as_secs_f64() / self.objective.as_secs_f64().max(0.001);
        self.objective.mul_f64(self.histogram.residual(age))
    }
}
