//! Plans of the data centres to which traffic goes, and the bytes on links between regions.

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

/// Data centres for the traffic of all services, and shares of the links.
#[derive(Debug)]
pub struct Spill {
    home: DataCentre,
    region: Region,
    link_share: f64,
    plans: Mutex<IndexMap<id::Service, Plan>>,
    links: Mutex<IndexMap<Region, Share>>,
}

/// Plan of one service.
#[derive(Debug)]
struct Plan {
    /// What the planner was made for.
    spread: Spread,
    cap: f64,
    planner: Planner,
    home: Load,
    sites: IndexMap<DataCentre, DataCentreLoad>,
}

/// This entry's share of one link.
#[derive(Debug)]
struct Share {
    bytes_per_second: f64,
    link: LinkBudget,
}

impl Spill {
    /// Starts with everything served at home.
    pub fn new(settings: &Settings) -> Self {
        Self {
            home: settings.data_centre.clone(),
            region: settings.region.clone(),
            link_share: settings.link_share.0,
            plans: Mutex::default(),
            links: Mutex::default(),
        }
    }

    fn plans(&self) -> MutexGuard<'_, IndexMap<id::Service, Plan>> {
        self.plans.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn shares(&self) -> MutexGuard<'_, IndexMap<Region, Share>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Divides the links of this region over the entries of both their ends.
    ///
    /// A changed share starts with an empty bucket.
    pub fn update_links(&self, links: &[Spanned<fleet::Link>], nodes: &[Node], now: Instant) {
        let mut shares = self.shares();
        let far = |link: &fleet::Link| match &link.between {
            [a, b] if *a == self.region => Some(b.clone()),
            [a, b] if *b == self.region => Some(a.clone()),
            _ => None,
        };
        shares.retain(|region, _| {
            links
                .iter()
                .any(|link| far(&link.value).as_ref() == Some(region))
        });
        for link in links.iter().map(|link| &link.value) {
            let Some(region) = far(link) else {
                continue;
            };
            let users = nodes
                .iter()
                .filter(|node| link.between.contains(&node.region));
            let users = users.count().max(1) as f64;
            let bytes_per_second = link.capacity.0 / BITS_PER_BYTE * self.link_share / users;
            let same = shares.get(&region).map(|share| share.bytes_per_second);
            if same != Some(bytes_per_second) {
                let settings = LinkSettings {
                    bytes_per_second,
                    ..LinkSettings::default()
                };
                let link = LinkBudget::new(settings, now);
                let share = Share {
                    bytes_per_second,
                    link,
                };
                shares.insert(region, share);
            }
        }
    }

    /// Plans a service again, with the load of this data centre and its number of entries.
    pub fn update_plan(
        &self,
        service: &Service,
        load: Load,
        inbound: f64,
        entries: f64,
        now: Instant,
    ) {
        let name = &service.service.value;
        let class = super::route::class(service);
        let link = |region: &str| match self.shares().get_mut(region) {
            Some(share) => share.link.admissible_rate(name, class, now) * entries,
            None => 0.0,
        };
        let spread = self.spread(service, &load);
        let cap = service.spill.0;
        let mut plans = self.plans();
        let plan = plans.entry(name.clone()).or_insert_with(|| Plan {
            planner: planner(&self.home, &spread, cap),
            spread: spread.clone(),
            cap,
            home: load.clone(),
            sites: IndexMap::new(),
        });
        if plan.spread != spread || plan.cap != cap {
            plan.planner = planner(&self.home, &spread, cap);
            plan.spread = spread;
            plan.cap = cap;
        }
        let place = (self.home.clone(), self.region.clone());
        let home = site(place, &load, now);
        plan.home = load;
        let sites: Vec<_> = plan.sites.values().cloned().chain([home]).collect();
        plan.planner.plan(&sites, inbound, link, now);
    }

    /// Callers are sent to data centres by the look-up, so each data centre serves its own. Without
    /// a server there, the configured shares of the others say where its callers are served.
    fn spread(&self, service: &Service, load: &Load) -> Spread {
        let shares: IndexMap<_, _> = (service.spread.iter())
            .map(|part| (part.value.data_centre.clone(), part.value.share.0))
            .collect();
        let here = shares.get(&self.home).copied().unwrap_or(0.0);
        match load.healthy && here > 0.0 {
            true => Spread::Local,
            false => Spread::Shares(shares),
        }
    }

    /// Takes in the load of another data centre.
    pub fn merge_load(
        &self,
        service: &str,
        place: (DataCentre, Region),
        load: &Load,
        now: Instant,
    ) {
        if let Some(plan) = self.plans().get_mut(service) {
            plan.sites.insert(place.0.clone(), site(place, load, now));
        }
    }

    /// Returns the loads of this data centre.
    pub fn loads(&self) -> IndexMap<id::Service, Load> {
        let plans = self.plans();
        let load = |(name, plan): (&id::Service, &Plan)| (name.clone(), plan.home.clone());
        plans.iter().map(load).collect()
    }

    /// Draws another data centre for a request by the weights; nothing means home.
    pub fn choose_data_centre(&self, service: &str, rng: &mut impl Rng) -> Option<DataCentre> {
        let plans = self.plans();
        let mut left: f64 = rng.random();
        let weights = plans.get(service)?.planner.weights();
        let away = weights.iter().filter(|(name, _)| **name != self.home);
        for (data_centre, weight) in away {
            left -= weight;
            if left < 0.0 {
                return Some(data_centre.clone());
            }
        }
        None
    }

    /// Returns the other data centres for a request that can't be served at home: those of the plan
    /// by weight, then those with room, nearest first.
    pub fn alternatives(&self, service: &str) -> Vec<DataCentre> {
        let plans = self.plans();
        let Some(plan) = plans.get(service) else {
            return Vec::new();
        };
        let weights = plan.planner.weights();
        let weight = |site: &DataCentreLoad| weights.get(&site.data_centre).copied().unwrap_or(0.0);
        let settings = spill::Settings::default();
        let roomy = |site: &DataCentreLoad| {
            let fresh = site.measured.elapsed() <= settings.stale;
            fresh && site.healthy && site.demand < site.capacity * settings.bound
        };
        let mut sites: Vec<_> = (plan.sites.values())
            .filter(|site| weight(site) > 0.0 || roomy(site))
            .collect();
        let near = |site: &DataCentreLoad| site.region == self.region;
        sites.sort_by(|a, b| (weight(b).total_cmp(&weight(a))).then_with(|| near(b).cmp(&near(a))));
        sites.into_iter().map(|s| s.data_centre.clone()).collect()
    }

    /// Charges a request of `bytes` and its expected answer to the link to a region.
    pub fn admit(
        &self,
        region: &str,
        service: &str,
        class: ServiceClass,
        bytes: usize,
        now: Instant,
    ) -> Option<Charge> {
        let mut shares = self.shares();
        let link = &mut shares.get_mut(region)?.link;
        link.admit(service, class, bytes as f64, now)
    }

    /// Corrects a charge by the bytes that were received.
    pub fn settle(
        &self,
        region: &str,
        charge: &Charge,
        class: ServiceClass,
        answer: usize,
        now: Instant,
    ) {
        if let Some(share) = self.shares().get_mut(region) {
            let link = &mut share.link;
            link.settle(charge, class, answer as f64, now);
        }
    }
}

fn planner(home: &DataCentre, spread: &Spread, cap: f64) -> Planner {
    let settings = spill::Settings {
        cap,
        ..spill::Settings::default()
    };
    Planner::new(home.clone(), spread.clone(), settings)
}

fn site(place: (DataCentre, Region), load: &Load, now: Instant) -> DataCentreLoad {
    DataCentreLoad {
        data_centre: place.0,
        region: place.1,
        healthy: load.healthy,
        capacity: load.capacity,
        demand: load.demand,
        measured: now,
    }
}
