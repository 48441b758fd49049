//! Distributes requests over data centres and limits the bytes on links between regions.

use crate::settings::Settings;
use base::id::{self, DataCentre, Region};
use indexmap::IndexMap;
use operators::fleet;
use operators::service::Service;
use peers::share::Load;
use platform::list::Node;
use rand::{Rng, RngExt};
use serde_saphyr::Spanned;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use steering::spill::{
    self, Charge, DataCentreLoad, LinkBudget, LinkSettings, Planner, ServiceClass, Spread,
};

const BITS_PER_BYTE: f64 = 8.0;

/// Plans of all services, and this entry's shares of the links.
#[derive(Debug)]
pub struct Spill {
    home: DataCentre,
    region: Region,
    link_share: f64,
    plans: Mutex<IndexMap<id::Service, Plan>>,
    links: Mutex<IndexMap<Region, LinkShare>>,
}

/// Distribution of one service's requests over data centres.
#[derive(Debug)]
struct Plan {
    /// Configured distribution that the planner uses.
    spread: Spread,
    cap: f64,
    planner: Planner,
    home: Load,
    remote_loads: IndexMap<DataCentre, DataCentreLoad>,
}

/// This entry's share of one link.
#[derive(Debug)]
struct LinkShare {
    bytes_per_second: f64,
    link: LinkBudget,
}

impl Spill {
    /// Creates plans that send nothing to other data centres.
    pub fn new(settings: &Settings) -> Self {
        Self {
            home: settings.data_centre.clone(),
            region: settings.region.clone(),
            link_share: settings.link_share.0,
            plans: Mutex::default(),
            links: Mutex::default(),
        }
    }

    fn lock_plans(&self) -> MutexGuard<'_, IndexMap<id::Service, Plan>> {
        self.plans.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_shares(&self) -> MutexGuard<'_, IndexMap<Region, LinkShare>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Divides the links of this region evenly over the entries of the regions at both ends.
    ///
    /// A changed share starts with an empty token bucket.
    pub fn update_links(&self, links: &[Spanned<fleet::Link>], nodes: &[Node], now: Instant) {
        let mut shares = self.lock_shares();
        let other_end = |link: &fleet::Link| match &link.between {
            [a, b] if *a == self.region => Some(b.clone()),
            [a, b] if *b == self.region => Some(a.clone()),
            _ => None,
        };
        shares.retain(|region, _| {
            links
                .iter()
                .any(|link| other_end(&link.value).as_ref() == Some(region))
        });
        for link in links.iter().map(|link| &link.value) {
            let Some(region) = other_end(link) else {
                continue;
            };
            let users = nodes
                .iter()
                .filter(|node| link.between.contains(&node.region));
            let users = users.count().max(1) as f64;
            let bytes_per_second = link.capacity.0 / BITS_PER_BYTE * self.link_share / users;
            let current = shares.get(&region).map(|share| share.bytes_per_second);
            if current != Some(bytes_per_second) {
                let settings = LinkSettings {
                    bytes_per_second,
                    ..LinkSettings::default()
                };
                let link = LinkBudget::new(settings, now);
                let share = LinkShare {
                    bytes_per_second,
                    link,
                };
                shares.insert(region, share);
            }
        }
    }

    /// Updates the plan of a service with the load of this data centre and its number of entries.
    pub fn update_plan(
        &self,
        service: &Service,
        load: Load,
        inbound: f64,
        entries: f64,
        now: Instant,
    ) {
        let name = &service.service.value;
        let class = super::route::service_class(service);
        let link = |region: &str| match self.lock_shares().get_mut(region) {
            Some(share) => share.link.admissible_rate(name, class, now) * entries,
            None => 0.0,
        };
        let spread = self.spread(service, &load);
        let cap = service.spill.0;
        let mut plans = self.lock_plans();
        let plan = plans.entry(name.clone()).or_insert_with(|| Plan {
            planner: new_planner(&self.home, &spread, cap),
            spread: spread.clone(),
            cap,
            home: load.clone(),
            remote_loads: IndexMap::new(),
        });
        if plan.spread != spread || plan.cap != cap {
            plan.planner = new_planner(&self.home, &spread, cap);
            plan.spread = spread;
            plan.cap = cap;
        }
        let location = (self.home.clone(), self.region.clone());
        let home = data_centre_load(location, &load, now);
        plan.home = load;
        let loads: Vec<_> = plan.remote_loads.values().cloned().chain([home]).collect();
        plan.planner.plan(&loads, inbound, link, now);
    }

    /// Returns how the requests of this data centre are distributed. The look-up has already sent
    /// each caller to a data centre, so a data centre serves its own callers. Without a usable
    /// server, it distributes them by the configured shares of the other data centres.
    fn spread(&self, service: &Service, load: &Load) -> Spread {
        let shares: IndexMap<_, _> = (service.spread.iter())
            .map(|part| (part.value.data_centre.clone(), part.value.share.0))
            .collect();
        let home_share = shares.get(&self.home).copied().unwrap_or(0.0);
        match load.healthy && home_share > 0.0 {
            true => Spread::Local,
            false => Spread::Shares(shares),
        }
    }

    /// Merges the load that another data centre reports.
    pub fn merge_load(
        &self,
        service: &str,
        location: (DataCentre, Region),
        load: &Load,
        now: Instant,
    ) {
        if let Some(plan) = self.lock_plans().get_mut(service) {
            plan.remote_loads
                .insert(location.0.clone(), data_centre_load(location, load, now));
        }
    }

    /// Returns the load of this data centre for each service.
    pub fn loads(&self) -> IndexMap<id::Service, Load> {
        let plans = self.lock_plans();
        let load = |(name, plan): (&id::Service, &Plan)| (name.clone(), plan.home.clone());
        plans.iter().map(load).collect()
    }

    /// Chooses another data centre for a request at random by the weights of the plan; none if the
    /// request is served here.
    pub fn choose_data_centre(&self, service: &str, rng: &mut impl Rng) -> Option<DataCentre> {
        let plans = self.lock_plans();
        let mut remaining: f64 = rng.random();
        let weights = plans.get(service)?.planner.weights();
        let remote = weights.iter().filter(|(name, _)| **name != self.home);
        for (data_centre, weight) in remote {
            remaining -= weight;
            if remaining < 0.0 {
                return Some(data_centre.clone());
            }
        }
        None
    }

    /// Returns the other data centres for a request that can't be served here: those of the plan by
    /// weight, then those with free capacity, of the same region first.
    pub fn alternatives(&self, service: &str) -> Vec<DataCentre> {
        let plans = self.lock_plans();
        let Some(plan) = plans.get(service) else {
            return Vec::new();
        };
        let weights = plan.planner.weights();
        let weight = |load: &DataCentreLoad| weights.get(&load.data_centre).copied().unwrap_or(0.0);
        let settings = spill::Settings::default();
        let has_capacity = |load: &DataCentreLoad| {
            let is_fresh = load.measured.elapsed() <= settings.max_age;
            is_fresh && load.healthy && load.demand < load.capacity * settings.max_utilisation
        };
        let mut loads: Vec<_> = (plan.remote_loads.values())
            .filter(|load| weight(load) > 0.0 || has_capacity(load))
            .collect();
        let is_same_region = |load: &DataCentreLoad| load.region == self.region;
        loads.sort_by(|a, b| {
            (weight(b).total_cmp(&weight(a)))
                .then_with(|| is_same_region(b).cmp(&is_same_region(a)))
        });
        loads
            .into_iter()
            .map(|load| load.data_centre.clone())
            .collect()
    }

    /// Charges a request of `bytes` and its expected answer to the link to a region; returns none
    /// if the link has no budget left or does not exist.
    pub fn admit(
        &self,
        region: &str,
        service: &str,
        class: ServiceClass,
        bytes: usize,
        now: Instant,
    ) -> Option<Charge> {
        let mut shares = self.lock_shares();
        let link = &mut shares.get_mut(region)?.link;
        link.admit(service, class, bytes as f64, now)
    }

    /// Corrects a charge by the size of the received answer.
    pub fn settle(
        &self,
        region: &str,
        charge: &Charge,
        class: ServiceClass,
        answer: usize,
        now: Instant,
    ) {
        if let Some(share) = self.lock_shares().get_mut(region) {
            let link = &mut share.link;
            link.settle(charge, class, answer as f64, now);
        }
    }
}

fn new_planner(home: &DataCentre, spread: &Spread, cap: f64) -> Planner {
    let settings = spill::Settings {
        max_shift: cap,
        ..spill::Settings::default()
    };
    Planner::new(home.clone(), spread.clone(), settings)
}

fn data_centre_load(location: (DataCentre, Region), load: &Load, now: Instant) -> DataCentreLoad {
    DataCentreLoad {
        data_centre: location.0,
        region: location.1,
        healthy: load.healthy,
        capacity: load.capacity,
        demand: load.demand,
        measured: now,
    }
}
