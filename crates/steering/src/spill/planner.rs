//! Weights of the data centres for the demand of one service at one data centre.

use super::{DataCentreLoad, Settings, Spread};
use base::id::DataCentre;
use indexmap::IndexMap;
use std::collections::VecDeque;
use std::time::Instant;

/// Plan of one data centre for the demand at its own entry VMs.
///
/// The plan follows from the demand that arrives at each data centre, not from the load of their
/// servers: steering changes loads but not demand, so the plans of several data centres don't chase
/// their own effects through lagging measurements.
#[derive(Debug)]
pub struct Planner {
    home: DataCentre,
    spread: Spread,
    settings: Settings,
    weights: IndexMap<DataCentre, f64>,
    planned: Option<Instant>,
    /// Demand at home by time, over the age of the measurements.
    past: VecDeque<(Instant, f64)>,
}

/// Rates in requests per second from the home data centre to one site.
#[derive(Debug, Clone, Copy, Default)]
struct Flow {
    /// By the configured spread, as far as the site has room.
    base: f64,
    /// Beyond the spread.
    moved: f64,
    /// Most that may be moved there: the home's part of the site's headroom.
    allotted: f64,
    /// Whether the site has room for what the spread sends there.
    roomy: bool,
}

impl Planner {
    /// Starts a plan that sends everything home.
    pub fn new(home: impl Into<DataCentre>, spread: Spread, settings: Settings) -> Self {
        let home = home.into();
        Self {
            weights: IndexMap::from([(home.clone(), 1.0)]),
            home,
            spread,
            settings,
            planned: None,
            past: VecDeque::new(),
        }
    }

    /// Returns the parts of the home demand by data centre; the rest has to wait or be refused.
    pub fn weights(&self) -> &IndexMap<DataCentre, f64> {
        &self.weights
    }

    /// Returns the part of the home demand that has no place.
    pub fn unplaced(&self) -> f64 {
        (1.0 - self.weights.values().sum::<f64>()).max(0.0)
    }

    /// Plans again; `link` gives the requests per second that fit on the link to a region.
    ///
    /// `inbound` is the rate of the requests that other data centres forward to this one now. They
    /// learn of a surge here one lag later; until then their requests leave less room for its own.
    pub fn plan(
        &mut self,
        sites: &[DataCentreLoad],
        inbound: f64,
        link: impl Fn(&str) -> f64,
        now: Instant,
    ) -> &IndexMap<DataCentre, f64> {
        let demand = (sites.iter())
            .find(|site| site.data_centre == self.home)
            .map_or(0.0, |site| site.demand);
        let lags = self.planned.map_or(0.0, |at| {
            now.saturating_duration_since(at).as_secs_f64() / self.settings.lag.as_secs_f64()
        });
        self.planned = Some(now);
        if demand <= 0.0 {
            self.weights = IndexMap::from([(self.home.clone(), 1.0)]);
            return &self.weights;
        }
        self.note(demand, now);
        let sites = &self.extrapolate(sites, demand);
        let mut flows = self.flows(sites, now);
        self.limit(&mut flows, sites, link);
        let mut weights = IndexMap::new();
        let mut base = IndexMap::new();
        for (site, flow) in sites.iter().zip(&flows) {
            if site.data_centre == self.home {
                continue;
            }
            let before = self.weights.get(&site.data_centre).copied().unwrap_or(0.0);
            let weight = self.step(before, flow, demand, lags);
            if weight > 0.0 {
                weights.insert(site.data_centre.clone(), weight);
                base.insert(site.data_centre.clone(), flow.base / demand);
            }
        }
        self.cap(&mut weights, &base);
        let away: f64 = weights.values().sum();
        let room = (sites.iter())
            .find(|site| site.data_centre == self.home)
            .map_or(0.0, |site| {
                (self.usable(site, now) - inbound).max(0.0) / demand
            });
        weights.insert(self.home.clone(), (1.0 - away).min(room).max(0.0));
        self.weights = weights;
        &self.weights
    }

    fn note(&mut self, demand: f64, now: Instant) {
        let stale = self.settings.stale;
        self.past.push_back((now, demand));
        while self.past.front().is_some_and(|(at, _)| *at + stale < now) {
            self.past.pop_front();
        }
    }

    /// Adds to the demand of other sites what home has gained since they were measured.
    ///
    /// The callers of a failed region come to several data centres at once. Without this, each
    /// of them sees the others as they were before and moves its excess there.
    fn extrapolate(&self, sites: &[DataCentreLoad], demand: f64) -> Vec<DataCentreLoad> {
        let home = sites.iter().find(|site| site.data_centre == self.home);
        let capacity = home.map_or(0.0, |site| site.capacity);
        let gained = |site: &DataCentreLoad| {
            let then = self.past.iter().rfind(|(at, _)| *at <= site.measured);
            let then = then.or(self.past.front()).map_or(demand, |(_, past)| *past);
            match capacity > 0.0 {
                true => (demand - then).max(0.0) * site.capacity / capacity,
                false => 0.0,
            }
        };
        let mut sites = sites.to_vec();
        for site in sites
            .iter_mut()
            .filter(|site| site.data_centre != self.home)
        {
            site.demand += gained(site);
        }
        sites
    }

    /// Moves one weight towards its target: up as far as the lag allows, down at once.
    ///
    /// Moving back needs no caution: home knows its own room without lag. A slow retreat would keep
    /// headroom in use that other data centres already count as theirs.
    fn step(&self, before: f64, flow: &Flow, demand: f64, lags: f64) -> f64 {
        let target = (flow.base + flow.moved) / demand;
        let pace = self.settings.gain * lags * (flow.base + flow.allotted.max(flow.moved)) / demand;
        let change = target - before;
        // Small decreases only follow noise, unless the site has no room.
        let noise = flow.roomy && target > 0.0 && change < 0.0;
        match noise && -change < self.settings.dead_band {
            true => before,
            false => (before + pace).min(target),
        }
    }

    /// Shrinks what is moved beyond the spread to the cap on the traffic shift.
    fn cap(&self, weights: &mut IndexMap<DataCentre, f64>, base: &IndexMap<DataCentre, f64>) {
        let configured = |name: &DataCentre| base.get(name).copied().unwrap_or(0.0);
        let moved: f64 = (weights.iter())
            .map(|(name, weight)| (weight - configured(name)).max(0.0))
            .sum();
        if moved > self.settings.cap {
            let part = self.settings.cap / moved;
            for (name, weight) in weights {
                let configured = configured(name).min(*weight);
                *weight = configured + (*weight - configured) * part;
            }
        }
    }

    /// Capacity that steering may fill; a site that is down or not measured has none.
    fn usable(&self, site: &DataCentreLoad, now: Instant) -> f64 {
        let age = now.saturating_duration_since(site.measured);
        let known = site.data_centre == self.home || age <= self.settings.stale;
        match site.healthy && known {
            true => site.capacity * self.settings.bound,
            false => 0.0,
        }
    }

    /// Distributes the demand of all sites and returns the flows from home, in order of the sites.
    fn flows(&self, sites: &[DataCentreLoad], now: Instant) -> Vec<Flow> {
        let usable: Vec<f64> = sites.iter().map(|site| self.usable(site, now)).collect();
        let total: f64 = sites.iter().map(|site| site.demand).sum();
        let shares = self.shares(sites, &usable);
        let desired: Vec<f64> = match &shares {
            Some(shares) => shares.iter().map(|share| share * total).collect(),
            None => sites.iter().map(|site| site.demand).collect(),
        };
        let fits: Vec<f64> = (desired.iter().zip(&usable))
            .map(|(d, c)| if *d > 0.0 { (c / d).min(1.0) } else { 1.0 })
            .collect();
        let sent = |i: usize, j: usize| match &shares {
            Some(shares) => sites[i].demand * shares[j],
            None => sites[i].demand * f64::from(u8::from(i == j)),
        };
        let mut headroom: Vec<f64> = (desired.iter().zip(&usable))
            .map(|(d, c)| (c - d).max(0.0))
            .collect();
        let all = 0..sites.len();
        let mut excess: Vec<f64> = (all.clone())
            .map(|i| all.clone().map(|j| sent(i, j) * (1.0 - fits[j])).sum())
            .collect();
        let Some(home) = sites.iter().position(|s| s.data_centre == self.home) else {
            return vec![Flow::default(); sites.len()];
        };
        let mut flows: Vec<Flow> = (all.clone())
            .map(|j| Flow {
                base: sent(home, j) * fits[j],
                roomy: usable[j] > desired[j],
                ..Flow::default()
            })
            .collect();
        let near = |i: usize, j: usize| sites[i].region == sites[j].region;
        let mut regions: Vec<_> = sites.iter().map(|site| &site.region).collect();
        regions.sort();
        regions.dedup();
        for region in regions {
            let inside: Vec<usize> = (all.clone())
                .filter(|i| sites[*i].region == *region)
                .collect();
            place(home, &inside, &mut excess, &mut headroom, &mut flows, near);
        }
        let everywhere: Vec<usize> = all.collect();
        place(
            home,
            &everywhere,
            &mut excess,
            &mut headroom,
            &mut flows,
            |_, _| true,
        );
        flows
    }

    /// Shares by site from the steering file, over the sites that have capacity.
    fn shares(&self, sites: &[DataCentreLoad], usable: &[f64]) -> Option<Vec<f64>> {
        let Spread::Shares(shares) = &self.spread else {
            return None;
        };
        let live: Vec<f64> = (sites.iter().zip(usable))
            .map(|(site, usable)| match *usable > 0.0 {
                true => shares.get(&site.data_centre).copied().unwrap_or(0.0),
                false => 0.0,
            })
            .collect();
        let sum: f64 = live.iter().sum();
        (sum > 0.0).then(|| live.iter().map(|share| share / sum).collect())
    }

    /// Keeps the flows from home within the links.
    fn limit(&self, flows: &mut [Flow], sites: &[DataCentreLoad], link: impl Fn(&str) -> f64) {
        let home = sites.iter().find(|site| site.data_centre == self.home);
        let mut by_region: IndexMap<&str, f64> = IndexMap::new();
        for (site, flow) in sites.iter().zip(flows.iter()) {
            if home.is_some_and(|home| home.region != site.region) {
                *by_region.entry(&site.region).or_default() += flow.base + flow.moved;
            }
        }
        for (site, flow) in sites.iter().zip(flows.iter_mut()) {
            if let Some(sum) = by_region.get(&*site.region).filter(|sum| **sum > 0.0) {
                let part = (link(&site.region) / sum).min(1.0);
                flow.base *= part;
                flow.moved *= part;
            }
        }
    }
}

/// Places the excess of `members` into their headroom, in proportion on both sides.
///
/// Every data centre computes the same division, so that together they use no more than there is.
fn place(
    home: usize,
    members: &[usize],
    excess: &mut [f64],
    headroom: &mut [f64],
    flows: &mut [Flow],
    reaches: impl Fn(usize, usize) -> bool,
) {
    let wanted: f64 = members.iter().map(|i| excess[*i]).sum();
    let room: f64 = members.iter().map(|j| headroom[*j]).sum();
    if wanted <= 0.0 || room <= 0.0 {
        return;
    }
    let placed = (room / wanted).min(1.0);
    let used = (wanted / room).min(1.0);
    for j in members {
        if members.contains(&home) && reaches(home, *j) {
            flows[*j].moved += excess[home] * placed * headroom[*j] / room;
            flows[*j].allotted += headroom[*j] * excess[home] / wanted;
        }
        headroom[*j] *= 1.0 - used;
    }
    members.iter().for_each(|i| excess[*i] *= 1.0 - placed);
}
