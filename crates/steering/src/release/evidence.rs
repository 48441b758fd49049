//! Request counts of a release by VM incarnation, route, step and version.

use base::id::{Incarnation, Route};
use indexmap::IndexMap;
use std::time::Duration;

/// Number of latency buckets.
pub const LATENCY_BUCKETS: usize = 12;

/// Upper edges of the latency buckets; the last bucket has none.
///
/// Because most neighbouring edges differ by a factor of two, a slow-down by half moves a large
/// part of any usual distribution across an edge.
pub const LATENCY_EDGES_MS: [u64; LATENCY_BUCKETS - 1] =
    [2, 4, 8, 16, 32, 64, 128, 256, 512, 1024, 4096];

base::label! {
    /// Version of the software that a request runs on.
    #[serde(rename_all = "kebab-case")]
    pub enum Side {
        /// The version that is replaced.
        Old,
        /// The version that is released.
        New,
    }
}

base::message! {
    /// Counts of finished requests; they only grow.
    #[derive(Copy, Eq, Default)]
    #[serde(rename = "Cell")]
    pub struct RequestCounts {
        /// Finished requests.
        pub requests: u64,
        /// Finished requests that failed.
        pub failures: u64,
        /// Latencies of all finished requests by bucket.
        pub latency: [u64; LATENCY_BUCKETS],
    }

    /// Counts of both versions in the same step.
    #[derive(Copy, Eq, Default)]
    #[serde(rename = "Pair")]
    pub struct VersionCounts {
        /// Requests on the old version.
        pub old: RequestCounts,
        /// Requests on the new version.
        pub new: RequestCounts,
    }

    /// Counts of the requests of one release, by incarnation, route and step.
    ///
    /// Each incarnation writes only its own counts. They never decrease, so copies are merged by
    /// maximum, and reordered or duplicated messages have no effect.
    #[derive(Default)]
    #[serde(transparent)]
    pub struct Evidence {
        counts: IndexMap<Incarnation, IndexMap<Route, IndexMap<usize, VersionCounts>>>,
    }
}

impl RequestCounts {
    fn record(&mut self, failed: bool, latency: Duration) {
        let bucket =
            LATENCY_EDGES_MS.partition_point(|edge| Duration::from_millis(*edge) < latency);
        self.requests += 1;
        self.failures += u64::from(failed);
        self.latency[bucket] += 1;
    }

    fn combine(&mut self, other: &Self, with: impl Fn(u64, u64) -> u64) {
        self.requests = with(self.requests, other.requests);
        self.failures = with(self.failures, other.failures);
        for (mine, theirs) in self.latency.iter_mut().zip(&other.latency) {
            *mine = with(*mine, *theirs);
        }
    }
}

impl VersionCounts {
    fn combine(&mut self, other: &Self, with: impl Fn(u64, u64) -> u64 + Copy) {
        self.old.combine(&other.old, with);
        self.new.combine(&other.new, with);
    }

    /// Returns the counts that were added since `earlier`.
    pub fn since(&self, earlier: &Self) -> Self {
        let mut rest = *self;
        rest.combine(earlier, u64::saturating_sub);
        rest
    }
}

impl Evidence {
    /// Records a finished request of this VM under the step in which it started.
    ///
    /// The caller records a request without an answer as failed when its deadline passes.
    pub fn record(
        &mut self,
        (incarnation, step): (Incarnation, usize),
        route: &str,
        side: Side,
        failed: bool,
        latency: Duration,
    ) {
        let routes = self.counts.entry(incarnation).or_default();
        let index = routes
            .get_index_of(route)
            .unwrap_or_else(|| routes.insert_full(route.into(), IndexMap::new()).0);
        let pair = routes[index].entry(step).or_default();
        match side {
            Side::Old => pair.old.record(failed, latency),
            Side::New => pair.new.record(failed, latency),
        }
    }

    /// Merges the counts of `other`.
    pub fn merge(&mut self, other: &Self) {
        for (incarnation, route, step, pair) in other.pairs() {
            self.entry(incarnation, route, step).combine(pair, u64::max);
        }
    }

    /// Drops the counts of the steps before `step`, which are no longer evaluated.
    ///
    /// A peer that still has them may send them again; that has no effect on verdicts.
    pub fn prune_before(&mut self, step: usize) {
        let routes = self.counts.values_mut().flat_map(IndexMap::values_mut);
        routes.for_each(|steps| steps.retain(|known, _| *known >= step));
    }

    /// Returns the counts that a peer with `known` lacks.
    pub fn delta_for(&self, known: &Self) -> Self {
        let mut delta = Self::default();
        for (incarnation, route, step, pair) in self.pairs() {
            let mut joined = known.get(incarnation, route, step).unwrap_or_default();
            let before = joined;
            joined.combine(pair, u64::max);
            if joined != before {
                *delta.entry(incarnation, route, step) = joined;
            }
        }
        delta
    }

    /// Returns the counts of a route in a step, summed over all incarnations.
    pub fn total(&self, route: &str, step: usize) -> VersionCounts {
        let mut sum = VersionCounts::default();
        self.counts
            .values()
            .filter_map(|routes| routes.get(route)?.get(&step))
            .for_each(|pair| sum.combine(pair, u64::saturating_add));
        sum
    }

    fn pairs(&self) -> impl Iterator<Item = (Incarnation, &Route, usize, &VersionCounts)> {
        self.counts.iter().flat_map(|(incarnation, routes)| {
            routes.iter().flat_map(move |(route, steps)| {
                let steps = steps.iter();
                steps.map(move |(step, pair)| (*incarnation, route, *step, pair))
            })
        })
    }

    fn get(&self, incarnation: Incarnation, route: &str, step: usize) -> Option<VersionCounts> {
        let steps = self.counts.get(&incarnation)?.get(route)?;
        steps.get(&step).copied()
    }

    fn entry(
        &mut self,
        incarnation: Incarnation,
        route: &Route,
        step: usize,
    ) -> &mut VersionCounts {
        let routes = self.counts.entry(incarnation).or_default();
        let steps = routes.entry(route.clone()).or_default();
        steps.entry(step).or_default()
    }
}
