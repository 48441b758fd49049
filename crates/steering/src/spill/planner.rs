//! Weights of the data centres for the demand of one service at one data centre.

use super::{DataCentreLoad, Settings, Spread};
use base::id::DataCentre;
use indexmap::IndexMap;
use std::collections::VecDeque;
use std::time::Instant;

/// Planner of one data centre (home) for the demand at its own entry VMs.
///
/// The plan is computed from the demand at each data centre, not from the load of its servers:
/// steering changes loads but not demand, so plans made from lagging measurements don't oscillate.
#[derive(Debug)]
pub struct Planner {
    home: DataCentre,
    spread: Spread,
    settings: Settings,
    weights: IndexMap<DataCentre, f64>,
    planned_at: Option<Instant>,
    /// Home demand by time, over the maximum age of the measurements.
    demand_history: VecDeque<(Instant, f64)>,
}

/// Rates in requests per second from the home data centre to one site.
#[derive(Debug, Clone, Copy, Default)]
struct Flow {
    /// Sent by the configured spread, as far as the site has capacity.
    base: f64,
    /// Shifted there beyond the spread.
    shifted: f64,
    /// Maximum of `shifted`: home's part of the site's headroom.
    max_shifted: f64,
    /// Whether the site has more capacity than the spread uses.
    has_headroom: bool,
}

impl Planner {
    /// Creates a planner that keeps all demand at home.
    pub fn new(home: impl Into<DataCentre>, spread: Spread, settings: Settings) -> Self {
        let home = home.into();
        Self {
            weights: IndexMap::from([(home.clone(), 1.0)]),
            home,
            spread,
            settings,
            planned_at: None,
            demand_history: VecDeque::new(),
        }
    }

    /// Returns the shares of the home demand by data centre; the rest has to wait or be refused.
    pub fn weights(&self) -> &IndexMap<DataCentre, f64> {
        &self.weights
    }

    /// Returns the share of the home demand that no data centre can take.
    pub fn unplaced(&self) -> f64 {
        (1.0 - self.weights.values().sum::<f64>()).max(0.0)
    }

    /// Computes the weights anew; `link` returns the requests per second that fit on the link to a
    /// region.
    ///
    /// `inbound` is the rate of the requests that other data centres currently forward to this one.
    /// They see a surge here one lag later; until then their requests use part of the capacity.
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
        let lags = self.planned_at.map_or(0.0, |at| {
            now.saturating_duration_since(at).as_secs_f64() / self.settings.lag.as_secs_f64()
        });
        self.planned_at = Some(now);
        if demand <= 0.0 {
            self.weights = IndexMap::from([(self.home.clone(), 1.0)]);
            return &self.weights;
        }
        self.record_demand(demand, now);
        let sites = &self.extrapolate(sites, demand);
        let mut flows = self.flows(sites, now);
        self.limit_to_links(&mut flows, sites, link);
        let mut weights = IndexMap::new();
        let mut base = IndexMap::new();
        for (site, flow) in sites.iter().zip(&flows) {
            if site.data_centre == self.home {
                continue;
            }
            let before = self.weights.get(&site.data_centre).copied().unwrap_or(0.0);
            let weight = self.approach(before, flow, demand, lags);
            if weight > 0.0 {
                weights.insert(site.data_centre.clone(), weight);
                base.insert(site.data_centre.clone(), flow.base / demand);
            }
        }
        self.limit_shift(&mut weights, &base);
        let remote: f64 = weights.values().sum();
        let own = (sites.iter())
            .find(|site| site.data_centre == self.home)
            .map_or(0.0, |site| {
                (self.usable(site, now) - inbound).max(0.0) / demand
            });
        weights.insert(self.home.clone(), (1.0 - remote).min(own).max(0.0));
        self.weights = weights;
        &self.weights
    }

    fn record_demand(&mut self, demand: f64, now: Instant) {
        let max_age = self.settings.max_age;
        self.demand_history.push_back((now, demand));
        while self
            .demand_history
            .front()
            .is_some_and(|(at, _)| *at + max_age < now)
        {
            self.demand_history.pop_front();
        }
    }

    /// Adds to the demand of other sites the growth of the home demand since their measurement.
    ///
    /// The callers of a failed region arrive at several data centres at once. Without this, each of
    /// them would see the others as they were before and shift its excess there.
    fn extrapolate(&self, sites: &[DataCentreLoad], demand: f64) -> Vec<DataCentreLoad> {
        let home = sites.iter().find(|site| site.data_centre == self.home);
        let capacity = home.map_or(0.0, |site| site.capacity);
        let growth = |site: &DataCentreLoad| {
            let then = self
                .demand_history
                .iter()
                .rfind(|(at, _)| *at <= site.measured);
            let then = then
                .or(self.demand_history.front())
                .map_or(demand, |(_, demand_history)| *demand_history);
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
            site.demand += growth(site);
        }
        sites
    }

    /// Returns the next weight on the way to its target: increases are limited by the lag,
    /// decreases are immediate.
    ///
    /// Home knows its own capacity without lag, so demand can return at once. A slow decrease would
    /// keep headroom in use that other data centres already count as theirs.
    fn approach(&self, before: f64, flow: &Flow, demand: f64, lags: f64) -> f64 {
        let target = (flow.base + flow.shifted) / demand;
        let pace =
            self.settings.gain * lags * (flow.base + flow.max_shifted.max(flow.shifted)) / demand;
        let change = target - before;
        // Small decreases are noise, unless the site has no headroom.
        let noise = flow.has_headroom && target > 0.0 && change < 0.0;
        match noise && -change < self.settings.dead_band {
            true => before,
            false => (before + pace).min(target),
        }
    }

    /// Reduces the traffic shifted beyond the spread to `max_shift`.
    fn limit_shift(
        &self,
        weights: &mut IndexMap<DataCentre, f64>,
        base: &IndexMap<DataCentre, f64>,
    ) {
        let configured = |name: &DataCentre| base.get(name).copied().unwrap_or(0.0);
        let shifted: f64 = (weights.iter())
            .map(|(name, weight)| (weight - configured(name)).max(0.0))
            .sum();
        if shifted > self.settings.max_shift {
            let part = self.settings.max_shift / shifted;
            for (name, weight) in weights {
                let configured = configured(name).min(*weight);
                *weight = configured + (*weight - configured) * part;
            }
        }
    }

    /// Returns the capacity that steering may use; a site that is down or not measured has none.
    fn usable(&self, site: &DataCentreLoad, now: Instant) -> f64 {
        let age = now.saturating_duration_since(site.measured);
        let known = site.data_centre == self.home || age <= self.settings.max_age;
        match site.healthy && known {
            true => site.capacity * self.settings.max_utilisation,
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
                has_headroom: usable[j] > desired[j],
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

    /// Returns the configured shares by site, normalised over the sites that have capacity.
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

    /// Reduces the flows from home to what fits on the links.
    fn limit_to_links(
        &self,
        flows: &mut [Flow],
        sites: &[DataCentreLoad],
        link: impl Fn(&str) -> f64,
    ) {
        let home = sites.iter().find(|site| site.data_centre == self.home);
        let mut by_region: IndexMap<&str, f64> = IndexMap::new();
        for (site, flow) in sites.iter().zip(flows.iter()) {
            if home.is_some_and(|home| home.region != site.region) {
                *by_region.entry(&site.region).or_default() += flow.base + flow.shifted;
            }
        }
        for (site, flow) in sites.iter().zip(flows.iter_mut()) {
            if let Some(sum) = by_region.get(&*site.region).filter(|sum| **sum > 0.0) {
                let part = (link(&site.region) / sum).min(1.0);
                flow.base *= part;
                flow.shifted *= part;
            }
        }
    }
}

/// Distributes the excess of `members` over their headroom, in proportion on both sides.
///
/// All data centres compute the same distribution, so together they don't exceed the headroom.
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
            flows[*j].shifted += excess[home] * placed * headroom[*j] / room;
            flows[*j].max_shifted += headroom[*j] * excess[home] / wanted;
        }
        headroom[*j] *= 1.0 - used;
    }
    members.iter().for_each(|i| excess[*i] *= 1.0 - placed);
}
