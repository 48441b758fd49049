//! Results of requests per VM incarnation, route, step and version.

use base::id::{Incarnation, Route};
use indexmap::IndexMap;
use std::time::Duration;

/// Number of latency buckets.
pub const BUCKETS: usize = 12;

/// Upper edges of the latency buckets in milliseconds; the last bucket has none.
///
/// A slow-down by half moves a large part of any usual distribution across an edge when
/// neighbouring edges differ by a factor of two.
pub const EDGES: [u64; BUCKETS - 1] = [2, 4, 8, 16, 32, 64, 128, 256, 512, 1024, 4096];

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
    pub struct Cell {
        /// Finished requests.
        pub requests: u64,
        /// Requests among them that failed.
        pub failures: u64,
        /// Latencies of all finished requests by bucket.
        pub latency: [u64; BUCKETS],
    }

    /// Counts of both versions in the same step.
    #[derive(Copy, Eq, Default)]
    pub struct Pair {
        /// Requests on the old version.
        pub old: Cell,
        /// Requests on the new version.
        pub new: Cell,
    }

    /// What is known of the requests of one release, by incarnation, route and step.
    ///
    /// Each incarnation writes only its own counts. They never decrease, so the maximum of two
    /// copies is the later one, and reordered or duplicated messages have no effect.
    #[derive(Default)]
    #[serde(transparent)]
    pub struct Evidence {
        counts: IndexMap<Incarnation, IndexMap<Route, Vec<Pair>>>,
    }
}

impl Cell {
    fn record(&mut self, failed: bool, latency: Duration) {
        let bucket = EDGES.partition_point(|edge| Duration::from_millis(*edge) < latency);
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

impl Pair {
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
    /// Records a finished request of this VM.
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
            .unwrap_or_else(|| routes.insert_full(route.into(), Vec::new()).0);
        let steps = &mut routes[index];
        if steps.len() <= step {
            steps.resize(step + 1, Pair::default());
        }
        let pair = &mut steps[step];
        match side {
            Side::Old => pair.old.record(failed, latency),
            Side::New => pair.new.record(failed, latency),
        }
    }

    /// Takes over what `other` knows.
    pub fn merge(&mut self, other: &Self) {
        for (incarnation, routes) in &other.counts {
            let mine = self.counts.entry(*incarnation).or_default();
            for (route, steps) in routes {
                let known = mine.entry(route.clone()).or_default();
                if known.len() < steps.len() {
                    known.resize(steps.len(), Pair::default());
                }
                for (pair, theirs) in known.iter_mut().zip(steps) {
                    pair.combine(theirs, u64::max);
                }
            }
        }
    }

    /// Returns the counts of a route in a step, summed over all incarnations.
    pub fn total(&self, route: &str, step: usize) -> Pair {
        let mut sum = Pair::default();
        self.counts
            .values()
            .filter_map(|routes| routes.get(route)?.get(step))
            .for_each(|pair| sum.combine(pair, u64::saturating_add));
        sum
    }
}
