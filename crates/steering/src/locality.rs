//! Weights of regions in the rendezvous order of an object's servers.
//!
//! Most requests for an object come from one region, and traffic between regions is expensive, so
//! the object should be served in that region. But the servers of a region are not in proportion to
//! its requests, and requests pinned to a region use part of them. So each region keeps as many of
//! its objects as its capacity allows, and the others go where capacity is left.

use base::id::Region;
use indexmap::IndexMap;

/// Maximum share of a region's objects whose first server is in it. The rest keeps connections and
/// warm caches in other regions for peaks.
const MAX_LOCAL_SHARE: f64 = 0.9;
/// Share of a region's capacity that its own objects may use; demand varies by half its mean.
const LOCAL_FILL: f64 = 0.95;
/// Requests over which the shares of pinned requests are averaged; about 50 s of one VM's requests
/// for a service, so that objects rarely change their first server.
const AVERAGED_REQUESTS: f64 = 200.0;
/// Requests that the initial estimate counts as seen, none of them pinned.
const PRIOR_REQUESTS: f64 = 20.0;

/// Shares of a service's requests that are pinned to regions, by region.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PinnedShares {
    shares: IndexMap<Region, f64>,
    seen: f64,
}

impl PinnedShares {
    /// Records a request and the regions to which it is pinned, if any.
    pub fn record(&mut self, regions: &[&str]) {
        let gain = (1.0 / (PRIOR_REQUESTS + self.seen)).max(1.0 / AVERAGED_REQUESTS);
        self.seen += 1.0;
        for share in self.shares.values_mut() {
            *share -= gain * *share;
        }
        for region in regions {
            let share = self.shares.entry((*region).into()).or_insert(0.0);
            *share += gain / regions.len() as f64;
        }
    }

    /// Returns the share of all requests that is pinned to a region.
    pub fn share(&self, region: &str) -> f64 {
        self.shares.get(region).copied().unwrap_or(0.0)
    }
}

/// Returns the weight of one slot of each region in the order of objects requested from `own`.
///
/// `slots` are those of the regions where the request may run; `regions` is the number of regions
/// from which objects are requested, each assumed to request the same number.
pub fn weights<'a>(
    own: &str,
    slots: &IndexMap<&'a str, f64>,
    regions: usize,
    pinned: &PinnedShares,
) -> IndexMap<&'a str, f64> {
    let all: f64 = slots.values().sum();
    let free = |region: &str, slots: f64| (slots / all.max(1.0) - pinned.share(region)).max(0.0);
    let sum: f64 = slots
        .iter()
        .map(|(region, slots)| free(region, *slots))
        .sum();
    if sum <= 0.0 {
        return slots.keys().map(|region| (*region, 1.0)).collect();
    }
    // Shares of all objects: those requested from one region, and those a region has capacity for.
    let requested = 1.0 / regions.max(1) as f64;
    let capacity = |region: &str| {
        slots
            .get(region)
            .map_or(0.0, |slots| free(region, *slots) / sum)
    };
    let kept = |region: &str| (LOCAL_FILL * capacity(region) / requested).min(MAX_LOCAL_SHARE);
    let left = |region: &str| (capacity(region) - requested * kept(region)).max(0.0);
    let others: f64 = slots.keys().filter(|r| **r != own).map(|r| left(r)).sum();
    let part = |region: &str| match (region == own, others > 0.0) {
        (true, _) => kept(own),
        (false, true) => (1.0 - kept(own)) * left(region) / others,
        (false, false) => (1.0 - kept(own)) * capacity(region),
    };
    slots
        .iter()
        .map(|(region, slots)| (*region, part(region) / slots.max(1.0)))
        .collect()
}
