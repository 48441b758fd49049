//! Data centres, links and callers of the spill experiment.

use super::faults::{TICKS_PER_SECOND, alive, entry, surge, turn, warming};
use super::{Figures, Method, Scenario, User};
use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::VecDeque;
use std::time::{Duration, Instant};
use steering::spill::{
    DataCentreLoad, LinkBudget, LinkSettings, Planner, ServiceClass, Settings, Spread,
};

const SITES: usize = 6;
const REGIONS: usize = 3;
const STORE_REGION: usize = 0;
const TICK: Duration = Duration::from_millis(50);
/// Ticks between two plans of a data centre with steering (0.5 s).
const PLAN_TICKS: usize = 10;
/// Ticks by which measurements are late (3 s).
const LAG_TICKS: usize = 60;
/// Last tick at which deferrable requests arrive; other requests continue.
const LAST_DEFERRABLE_TICK: usize = 240 * TICKS_PER_SECOND;
const END_TICKS: usize = 420 * TICKS_PER_SECOND;
const LOAD: f64 = 0.6;
const REQUEST_BYTES: f64 = 1e3;
/// Share of a link for the two data centres of a region; the rest is for requests of the other
/// direction and cache fills.
const LINK_SHARE: f64 = 0.8;
/// Time over which waiting deferrable requests are planned, in seconds.
const BACKLOG_TIME: f64 = 20.0;
/// Smallest rate at which waiting deferrable requests are planned, in requests per second.
const MIN_BACKLOG_RATE: f64 = 1.0;
/// Share of its capacity that a data centre fills with its own requests; its VMs own the slots.
const MAX_OWN_LOAD: f64 = 0.95;
/// Time constant of the rate of forwarded requests, in seconds.
const INBOUND_TIME_CONSTANT: f64 = 0.5;
/// State of all data centres at one tick, by service and site.
type Snapshot = ([bool; SITES], [[f64; SITES]; 3], [[f64; SITES]; 3]);

struct World<'a> {
    user: &'a User,
    method: Method,
    scenario: Scenario,
    start: Instant,
    rng: StdRng,
    planners: Vec<Planner>,
    links: Vec<Vec<LinkBudget>>,
    weights: Vec<[f64; SITES]>,
    extremes: Vec<[(f64, f64, usize); SITES]>,
    fractions: Vec<[f64; SITES]>,
    history: VecDeque<Snapshot>,
    backlog: [f64; SITES],
    warm: IndexMap<(usize, usize), f64>,
    load: [[f64; SITES]; 3],
    /// Forwarded requests per second that arrive at each data centre.
    inbound: [[f64; SITES]; 3],
    /// Load of the last full second.
    measured: [[f64; SITES]; 3],
    bytes: [[f64; REGIONS]; REGIONS],
    /// Use of the busiest link into each region, by second.
    used: VecDeque<[f64; REGIONS]>,
    arrived: [f64; 3],
    refused: [f64; 3],
    figures: Figures,
}

fn name(site: usize) -> Box<str> {
    format!("dc-{site}").into()
}

/// Runs one method for one user.
pub fn run(user: &User, method: Method, scenario: Scenario, seed: u64) -> Figures {
    let start = Instant::now();
    let share = user.link / 8.0 * LINK_SHARE / 2.0;
    let settings = match method {
        Method::ColdIgnored => LinkSettings {
            bytes_per_second: share,
            cold_cost: 0.0,
            cold_floor: 1.0,
            ..LinkSettings::default()
        },
        _ => LinkSettings {
            bytes_per_second: share,
            ..LinkSettings::default()
        },
    };
    let gain = match method {
        Method::Undamped => f64::INFINITY,
        _ => Settings::default().gain,
    };
    let moves = Settings {
        gain,
        ..Settings::default()
    };
    let planner = |i: usize| Planner::new(name(i % SITES), Spread::Local, moves.clone());
    let links = || {
        (0..REGIONS)
            .map(|_| LinkBudget::new(settings.clone(), start))
            .collect()
    };
    let mut world = World {
        user,
        method,
        scenario,
        start,
        rng: StdRng::seed_from_u64(seed),
        planners: (0..3 * SITES).map(planner).collect(),
        links: (0..SITES).map(|_| links()).collect(),
        weights: (0..3 * SITES)
            .map(|i| std::array::from_fn(|j| f64::from(u8::from(i % SITES == j))))
            .collect(),
        extremes: vec![[(0.0, 0.0, 0); SITES]; 3 * SITES],
        fractions: vec![[0.0; SITES]; 3 * SITES],
        history: VecDeque::new(),
        backlog: [0.0; SITES],
        warm: IndexMap::new(),
        load: [[0.0; SITES]; 3],
        inbound: [[0.0; SITES]; 3],
        measured: [[0.0; SITES]; 3],
        bytes: [[0.0; REGIONS]; REGIONS],
        used: VecDeque::new(),
        arrived: [0.0; 3],
        refused: [0.0; 3],
        figures: Figures {
            load: [0.0; 3],
            link: 0.0,
            refused: [0.0; 3],
            waiting: 0.0,
            unfinished: 0.0,
            turns: [0; 3],
        },
    };
    (0..END_TICKS).for_each(|tick| world.tick(tick));
    world.finish()
}

impl World<'_> {
    fn tick(&mut self, tick: usize) {
        let dt = TICK.as_secs_f64();
        let now = self.start + TICK * tick as u32;
        let up: [bool; SITES] = std::array::from_fn(|site| alive(self.scenario, site, tick));
        let mut demand = [[0.0; SITES]; 3];
        for (kind, rates) in self.user.services.iter().zip(&mut demand) {
            let ended = kind.class == ServiceClass::Deferrable && tick > LAST_DEFERRABLE_TICK;
            for site in 0..SITES {
                let entry = entry(self.scenario, site, tick);
                if up[entry] && !ended {
                    rates[entry] += LOAD * kind.capacity * surge(self.scenario, site, tick);
                }
            }
        }
        for (service, rates) in demand.iter_mut().enumerate() {
            let deferrable = self.user.services[service].class == ServiceClass::Deferrable;
            for home in (0..SITES).filter(|home| up[*home]) {
                let arriving = rates[home];
                self.arrived[service] += arriving * dt;
                if deferrable {
                    self.backlog[home] += arriving * dt;
                    // Without waiting requests this is the rate of arrival.
                    let waiting = (self.backlog[home] - arriving * dt).max(0.0);
                    rates[home] = arriving + (waiting / BACKLOG_TIME).max(MIN_BACKLOG_RATE);
                }
            }
        }
        let decay = (-dt / INBOUND_TIME_CONSTANT).exp();
        self.inbound
            .iter_mut()
            .flatten()
            .for_each(|rate| *rate *= decay);
        self.history.push_back((up, demand, self.measured));
        if self.history.len() > LAG_TICKS {
            self.history.pop_front();
        }
        for (service, rates) in demand.iter().enumerate() {
            for home in (0..SITES).filter(|home| up[*home]) {
                let period = match self.method {
                    Method::Proportional => TICKS_PER_SECOND,
                    _ => PLAN_TICKS,
                };
                // Data centres plan at different times.
                if (tick + 3 * home).is_multiple_of(period) {
                    self.plan(service, home, rates[home], now);
                }
                self.forward(service, home, rates[home] * dt, (tick, now));
            }
        }
        if tick % TICKS_PER_SECOND == TICKS_PER_SECOND - 1 {
            self.measure(now);
        }
    }

    fn plan(&mut self, service: usize, home: usize, demand: f64, now: Instant) {
        let index = service * SITES + home;
        let capacity = self.user.services[service].capacity;
        let Some((up, demands, loads)) = self.history.front() else {
            return;
        };
        let weights: [f64; SITES] = if self.method == Method::Proportional {
            let idle: [f64; SITES] = std::array::from_fn(|site| match up[site] {
                true => (capacity - loads[service][site]).max(0.0),
                false => 0.0,
            });
            let sum: f64 = idle.iter().sum();
            let full = demand > 0.95 * capacity;
            std::array::from_fn(|site| match full && sum > 0.0 {
                true => idle[site] / sum,
                false => f64::from(u8::from(site == home)),
            })
        } else {
            let age = match self.method {
                Method::LagIgnored => Duration::ZERO,
                _ => TICK * LAG_TICKS as u32,
            };
            let sites: Vec<DataCentreLoad> = (0..SITES)
                .map(|site| DataCentreLoad {
                    data_centre: name(site),
                    region: format!("{}", site / 2).into(),
                    healthy: up[site] || site == home,
                    capacity,
                    demand: if site == home {
                        demand
                    } else {
                        demands[service][site]
                    },
                    measured: now - age,
                })
                .collect();
            let class = self.class(service);
            let kind = self.user.services[service].name;
            let rates: Vec<f64> = (self.links[home].iter_mut())
                .map(|link| link.admissible_rate(kind, class, now))
                .collect();
            let rate = |region: &str| rates[region.parse::<usize>().unwrap_or(0)];
            let planned = self.planners[index].plan(&sites, self.inbound[service][home], rate, now);
            std::array::from_fn(|site| planned.get(&name(site)).copied().unwrap_or(0.0))
        };
        for (site, weight) in weights.into_iter().enumerate().filter(|(s, _)| *s != home) {
            self.extremes[index][site] = turn(self.extremes[index][site], weight);
            let turns = self.extremes[index][site].2;
            self.figures.turns[service] = self.figures.turns[service].max(turns);
        }
        self.weights[index] = weights;
    }

    fn class(&self, service: usize) -> ServiceClass {
        match self.method {
            Method::NoPriority => ServiceClass::Prompt,
            _ => self.user.services[service].class,
        }
    }

    /// Forwards the requests of one tick to the data centres.
    fn forward(&mut self, service: usize, home: usize, requests: f64, time: (usize, Instant)) {
        let index = service * SITES + home;
        let deferrable = self.user.services[service].class == ServiceClass::Deferrable;
        let requests = match deferrable {
            true => requests.min(self.backlog[home]),
            false => requests,
        };
        let mut placed = 0.0;
        for site in 0..SITES {
            let share = requests * self.weights[index][site];
            if site == home {
                let own = MAX_OWN_LOAD * self.user.services[service].capacity;
                let own = (own - self.inbound[service][home]).max(0.0);
                let share = share.min(own * TICK.as_secs_f64());
                self.load[service][site] += share;
                placed += share;
                continue;
            }
            self.fractions[index][site] += share;
            let whole = self.fractions[index][site].floor();
            self.fractions[index][site] -= whole;
            // The fraction is forwarded later and doesn't count as refused.
            placed += share - whole;
            for _ in 0..whole as usize {
                placed += f64::from(u8::from(self.send(service, home, site, time)));
            }
        }
        match deferrable {
            true => self.backlog[home] = (self.backlog[home] - placed).max(0.0),
            false => self.refused[service] += requests - placed,
        }
    }

    /// Sends one request to another data centre; returns false if it isn't accepted.
    fn send(&mut self, service: usize, home: usize, site: usize, time: (usize, Instant)) -> bool {
        let (tick, now) = time;
        let (from, to) = (home / 2, site / 2);
        let kind = self.user.services[service];
        let exponential = -(1.0 - self.rng.random::<f64>()).ln();
        let size = match self.scenario {
            Scenario::Failures | Scenario::Overlap => kind.answer,
            Scenario::ColdSurge { .. } => 2.0 * kind.answer,
        };
        let answer = size * (0.5 + 0.5 * exponential);
        if from != to {
            if self.method != Method::Proportional {
                let class = self.class(service);
                let link = &mut self.links[home][to];
                let Some(charge) = link.admit(kind.name, class, REQUEST_BYTES, now) else {
                    return false;
                };
                link.settle(&charge, class, answer, now);
            }
            self.bytes[from][to] += REQUEST_BYTES;
            self.bytes[to][from] += answer;
            let seen = self.warm.entry((service, to)).or_default();
            *seen += 1.0;
            let miss = (-*seen / (kind.capacity * warming(self.scenario))).exp();
            if to != STORE_REGION {
                self.bytes[STORE_REGION][to] += answer * miss;
            }
        }
        if !alive(self.scenario, site, tick) {
            return false;
        }
        self.load[service][site] += 1.0;
        if self.method != Method::LagIgnored {
            self.inbound[service][site] += 1.0 / INBOUND_TIME_CONSTANT;
        }
        true
    }

    /// Records the figures of the last second and reports the use of the links 3 s late.
    fn measure(&mut self, now: Instant) {
        let used: [f64; REGIONS] = std::array::from_fn(|to| {
            let most = self.bytes.iter().map(|row| row[to]).fold(0.0, f64::max);
            most * 8.0 / self.user.link
        });
        self.used.push_back(used);
        if self.used.len() > LAG_TICKS / TICKS_PER_SECOND {
            let late = self.used.pop_front().unwrap_or_default();
            for link in &mut self.links {
                for (link, used) in link.iter_mut().zip(late) {
                    link.record_utilisation(used, now - TICK * LAG_TICKS as u32);
                }
            }
        }
        for (service, loads) in self.load.iter().enumerate() {
            let most = loads.iter().copied().fold(0.0, f64::max);
            let capacity = self.user.services[service].capacity;
            self.figures.load[service] = self.figures.load[service].max(most / capacity);
        }
        let most = self.bytes.iter().flatten().copied().fold(0.0, f64::max);
        self.figures.link = self.figures.link.max(most * 8.0 / self.user.link);
        self.figures.waiting = self.figures.waiting.max(self.backlog.iter().sum());
        self.measured = std::mem::take(&mut self.load);
        self.bytes = [[0.0; REGIONS]; REGIONS];
    }

    fn finish(self) -> Figures {
        let refused = std::array::from_fn(|s| self.refused[s] / self.arrived[s]);
        Figures {
            refused,
            unfinished: self.backlog.iter().sum(),
            ..self.figures
        }
    }
}
