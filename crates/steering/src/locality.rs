//! Weights of regions in the order of an object's servers.
//!
//! Load: an object is mostly asked for from one region, and bytes between regions are dear, so it
//! belongs on servers of that region. Regions have servers out of proportion to what they ask for,
//! and requests that may run in some regions only fill the servers there. So each region keeps as
//! many of its objects as it has room for, and the rest goes where room is left over.

use base::id::Region;
use indexmap::IndexMap;

/// Largest part of a region's objects that have their first server in it. The rest keeps connections
/// and warm copies in other regions for peaks. Trial: 0.98 made no difference on either site.
const NEAR_MOST: f64 = 0.9;
/// Part of a region's room that its own objects may fill; demand comes in waves of half its mean.
const NEAR_FILL: f64 = 0.95;
/// Requests over which the shares of bound requests are averaged; about 50 s of one VM's requests
/// for a service on the sites, so that objects rarely change their first server.
const MEMORY: f64 = 200.0;
/// Requests that the first estimate counts as seen, none of them bound.
const PRIOR: f64 = 20.0;

/// Shares of a service's requests that may run in some regions only, by region.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PinnedShares {
    shares: IndexMap<Region, f64>,
    seen: f64,
}

impl PinnedShares {
    /// Takes in a request and the regions to which it is bound; none for a free one.
    pub fn record(&mut self, regions: &[&str]) {
        let gain = (1.0 / (PRIOR + self.seen)).max(1.0 / MEMORY);
        self.seen += 1.0;
        for share in self.shares.values_mut() {
            *share -= gain * *share;
        }
        for region in regions {
            let share = self.shares.entry((*region).into()).or_insert(0.0);
            *share += gain / regions.len() as f64;
        }
    }

    /// Returns the share of all requests that is bound to a region.
    pub fn share(&self, region: &str) -> f64 {
        self.shares.get(region).copied().unwrap_or(0.0)
    }
}

/// Returns the weight of one slot of each region in the order of objects asked for in `own`.
///
/// `slots` are those of the regions where the request may run; `regions` that many ask for objects,
/// each for the same number.
pub fn weights<'a>(
    own: &str,
    slots: &IndexMap<&'a str, f64>,
    regions: usize,
    bound: &PinnedShares,
) -> IndexMap<&'a str, f64> {
    let all: f64 = slots.values().sum();
    let free = |region: &str, slots: f64| (slots / all.max(1.0) - bound.share(region)).max(0.0);
    let sum: f64 = slots
        .iter()
        .map(|(region, slots)| free(region, *slots))
        .sum();
    if sum <= 0.0 {
        return slots.keys().map(|region| (*region, 1.0)).collect();
    }
    // Parts of the objects: what each region asks for, and what it has room for.
    let asked = 1.0 / regions.max(1) as f64;
    let room = |region: &str| {
        slots
            .get(region)
            .map_or(0.0, |slots| free(region, *slots) / sum)
    };
    let kept = |region: &str| (NEAR_FILL * room(region) / asked).min(NEAR_MOST);
    let left = |region: &str| (room(region) - asked * kept(region)).max(0.0);
    let others: f64 = slots.keys().filter(|r| **r != own).map(|r| left(r)).sum();
    let part = |region: &str| match (region == own, others > 0.0) {
        (true, _) => kept(own),
        (false, true) => (1.0 - kept(own)) * left(region) / others,
        (false, false) => (1.0 - kept(own)) * room(region),
    };
    slots
        .iter()
        .map(|(region, slots)| (*region, part(region) / slots.max(1.0)))
        .collect()
}
