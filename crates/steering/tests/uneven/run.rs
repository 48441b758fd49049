//! Event loop of servers with slots, and of VMs that choose among them.

use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::{Duration, Instant};
use steering::affinity::digest;
use steering::backlog::{Queue, Statement, others};
use steering::cost::Model;
use steering::placement::ServiceTime;
use steering::placement::{Candidate, Choice, Estimate, PlacementRequest, Settings, choose};
use steering::warmth::{ObjectUse, WarmObjects, short_digest};
use steering::work::{Pace, ServerPerformance, ServiceTimeEstimate};

pub struct Route {
    pub name: &'static str,
    objective: Duration,
    deadline: Duration,
    cold_ms: f64,
    /// Share of the requests.
    share: f64,
}

pub const ROUTES: [Route; 2] = [
    Route {
        name: "search",
        objective: ms(600),
        deadline: ms(5_000),
        cold_ms: 780.0,
        share: 0.8,
    },
    Route {
        name: "histories",
        objective: ms(2_500),
        deadline: ms(6_000),
        cold_ms: 3_200.0,
        share: 0.2,
    },
];
const VMS: usize = 20;
const SERVERS: usize = 20;
const SLOTS: usize = 6;
const CACHED: usize = 12;
const OBJECTS: u64 = 60;
const ARRIVALS_PER_S: f64 = 120.0;
const RUN: Duration = Duration::from_secs(60);
const WARM_SHARE: f64 = 0.3;
const PHASE: Duration = ms(600);
const REPORT_INTERVAL: Duration = ms(100);
/// Reports that are under way.
const REPORT_DELAY: usize = 3;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Method {
    Fixed,
    Learned,
    /// Knows the work of each request, the pace and the cache of each server.
    Oracle,
}

/// Times of the requests by route; refused ones take the longest time.
#[derive(Default)]
pub struct Outcome([Vec<Duration>; 2]);

impl Outcome {
    pub fn add(&mut self, other: Self) {
        self.0
            .iter_mut()
            .zip(other.0)
            .for_each(|(all, part)| all.extend(part));
    }

    /// Returns the share of a route's requests that were answered within the objective.
    pub fn share(&self, route: usize) -> f64 {
        let times = &self.0[route];
        let in_time = times.iter().filter(|t| **t <= ROUTES[route].objective);
        in_time.count() as f64 / times.len() as f64
    }

    /// Returns a quantile of a route's times in milliseconds.
    pub fn quantile(&self, route: usize, share: f64) -> f64 {
        let mut times = self.0[route].clone();
        times.sort();
        times[(share * (times.len() - 1) as f64) as usize].as_secs_f64() * 1e3
    }
}

#[derive(Clone, Copy)]
struct Job {
    vm: usize,
    route: usize,
    object: u64,
    arrived: Instant,
    /// Work on a cold server of ordinary pace, in seconds.
    work: f64,
    had_free_slot: bool,
    warm: bool,
    starts_at: Instant,
    pace: f64,
    expected: Duration,
    baseline: Duration,
}

#[derive(Default)]
struct Server {
    running: IndexMap<u64, (Job, Instant)>,
    queue: VecDeque<(u64, Job)>,
    cache: IndexMap<u64, ()>,
}

/// What a VM knows of a server.
struct View {
    performance: ServerPerformance,
    pace: Option<Pace>,
    unanswered: IndexMap<u64, Job>,
    stated: Option<(u32, Instant)>,
    reported: u32,
}

enum Event {
    Arrival,
    End(usize, u64),
    Report,
    Phase,
}

struct Run {
    method: Method,
    rng: StdRng,
    servers: Vec<Server>,
    paces: [f64; SERVERS],
    views: Vec<Vec<View>>,
    costs: Vec<Model>,
    fixed: Vec<[ServiceTimeEstimate; 2]>,
    cached: WarmObjects,
    reports: VecDeque<Vec<Vec<u32>>>,
    events: BinaryHeap<Reverse<(Instant, u64)>>,
    kinds: IndexMap<u64, Event>,
    number: u64,
    outcome: Outcome,
}

/// Plays one run.
pub fn run(method: Method, seed: u64) -> Outcome {
    let start = Instant::now();
    let view = || View {
        performance: ServerPerformance::new(start),
        pace: None,
        unanswered: IndexMap::new(),
        stated: None,
        reported: 0,
    };
    let mut run = Run {
        method,
        rng: StdRng::seed_from_u64(seed),
        servers: (0..SERVERS).map(|_| Server::default()).collect(),
        paces: [1.0; SERVERS],
        views: (0..VMS)
            .map(|_| (0..SERVERS).map(|_| view()).collect())
            .collect(),
        costs: vec![Model::default(); VMS],
        fixed: vec![
            ROUTES
                .each_ref()
                .map(|route| ServiceTimeEstimate::new(route.objective));
            VMS
        ],
        cached: WarmObjects::default(),
        reports: VecDeque::new(),
        events: BinaryHeap::new(),
        kinds: IndexMap::new(),
        number: 0,
        outcome: Outcome::default(),
    };
    for event in [Event::Arrival, Event::Report, Event::Phase] {
        run.schedule(start, event);
    }
    while let Some(Reverse((now, number))) = run.events.pop() {
        let event = run.kinds.swap_remove(&number);
        let is_over = now > start + RUN;
        match event {
            Some(Event::Arrival) if !is_over => run.arrive(now),
            Some(Event::Report) if !is_over => run.report(now),
            Some(Event::Phase) if !is_over => run.change_paces(now),
            Some(Event::End(server, job)) => run.end(server, job, now),
            _ => {}
        }
    }
    run.outcome
}

impl Run {
    fn schedule(&mut self, at: Instant, event: Event) {
        self.number += 1;
        self.events.push(Reverse((at, self.number)));
        self.kinds.insert(self.number, event);
    }

    fn change_paces(&mut self, now: Instant) {
        self.paces = std::array::from_fn(|_| if self.rng.random_bool(0.15) { 2.5 } else { 1.0 });
        self.schedule(now + PHASE, Event::Phase);
    }

    fn report(&mut self, now: Instant) {
        let count = |view: &View| view.unanswered.len() as u32;
        let counts = self
            .views
            .iter()
            .map(|views| views.iter().map(count).collect());
        self.reports.push_back(counts.collect());
        if self.reports.len() > REPORT_DELAY {
            let old = self.reports.pop_front().unwrap_or_default();
            for (vm, views) in self.views.iter_mut().enumerate() {
                for (server, view) in views.iter_mut().enumerate() {
                    let all: u32 = old.iter().map(|counts: &Vec<u32>| counts[server]).sum();
                    view.reported = all - old[vm][server];
                }
            }
        }
        self.schedule(now + REPORT_INTERVAL, Event::Report);
    }

    fn arrive(&mut self, now: Instant) {
        let wait = -(1.0 - self.rng.random::<f64>()).ln() / ARRIVALS_PER_S;
        self.schedule(now + Duration::from_secs_f64(wait), Event::Arrival);
        let route = usize::from(self.rng.random_bool(ROUTES[1].share));
        let object = digest(&format!("object-{}", self.rng.random_range(0..OBJECTS)));
        let factor = if self.rng.random_bool(0.03) { 7.0 } else { 1.0 };
        let work = ROUTES[route].cold_ms / 1e3 * self.rng.random_range(0.85..1.15) * factor;
        let vm = self.rng.random_range(0..VMS);
        let service_time = match self.method {
            Method::Fixed => self.fixed[vm][route].service_time(),
            Method::Learned => {
                self.costs[vm].service_time(ROUTES[route].name, ROUTES[route].objective)
            }
            Method::Oracle => ServiceTime {
                warm: Duration::from_secs_f64(work * WARM_SHARE),
                cold: Duration::from_secs_f64(work),
            },
        };
        let candidates: Vec<Candidate> = (0..SERVERS)
            .map(|s| self.candidate(vm, route, s, object, now))
            .collect();
        let request = PlacementRequest {
            object: Some(object),
            objective: ROUTES[route].objective,
            time_left: ROUTES[route].deadline,
            overload: 0.0,
            estimate: match self.method {
                Method::Fixed => Estimate::Fixed,
                _ => Estimate::Learned {
                    draw: self.rng.random(),
                },
            },
        };
        let settings = Settings::default();
        let chosen = choose(&settings, &request, &service_time, &candidates, |_| true);
        let Choice::Server { index, time, warm } = chosen else {
            self.outcome.0[route].push(ROUTES[route].deadline * 2);
            return;
        };
        let candidate = &candidates[index];
        let job = Job {
            vm,
            route,
            object,
            arrived: now,
            work,
            had_free_slot: candidate.load < candidate.slots,
            warm,
            starts_at: now + candidate.wait,
            pace: candidate.slowdown,
            expected: time,
            baseline: candidate.nominal_time(&service_time, request.estimate),
        };
        self.number += 1;
        let number = self.number;
        self.views[vm][index].unanswered.insert(number, job);
        self.servers[index].queue.push_back((number, job));
        self.begin(index, now);
    }

    fn candidate(
        &self,
        vm: usize,
        route: usize,
        index: usize,
        object: u64,
        now: Instant,
    ) -> Candidate {
        let (view, server, costs) = (
            &self.views[vm][index],
            &self.servers[index],
            &self.costs[vm],
        );
        let own = view.unanswered.len() as u32;
        let digest = digest(&format!("server-{index}"));
        let stated = view.stated.map(|(others, at)| Statement {
            others,
            age: now - at,
        });
        let stated_fresh = stated.filter(|stated| stated.age < ms(300));
        let slowdown = view.performance.slowdown(now);
        let average = costs.average(ROUTES[route].objective);
        let (load, slowdown) = match self.method {
            Method::Fixed => (
                own + stated_fresh.map_or(view.reported, |s| s.others),
                slowdown,
            ),
            Method::Learned => (
                own + others(stated, view.reported),
                view.pace
                    .map_or(slowdown, |pace| pace.factor_or(slowdown, now)),
            ),
            Method::Oracle => (
                (server.running.len() + server.queue.len()) as u32,
                self.paces[index],
            ),
        };
        let mut queue = Queue {
            slots: SLOTS as u32,
            load,
            average,
            pace: slowdown,
        };
        let residual = |job: &Job| {
            let cost = costs.cost(
                ROUTES[job.route].name,
                ROUTES[job.route].objective,
                job.warm,
            );
            cost.residual((now - job.starts_at).div_f64(slowdown.max(0.1)))
        };
        let wait = match self.method {
            Method::Oracle => {
                queue.pace = 1.0;
                queue.wait(server.running.values().map(|(_, end)| *end - now))
            }
            _ => queue.wait(
                view.unanswered
                    .values()
                    .filter(|job| job.starts_at <= now)
                    .map(residual),
            ),
        };
        let object = ObjectUse {
            server: short_digest(digest),
            object: short_digest(object),
        };
        Candidate {
            server: digest,
            slots: SLOTS as u32,
            load,
            round_trip: ms(1),
            weight: 1.0,
            slowdown,
            failure_rate: 0.0,
            warm: self.cached.is_warm(object.server, object.object),
            has_cache_room: self.cached.has_room(object.server),
            wait,
        }
    }

    /// Starts waiting requests on free slots.
    fn begin(&mut self, index: usize, now: Instant) {
        while self.servers[index].running.len() < SLOTS {
            let server = &mut self.servers[index];
            let Some((number, job)) = server.queue.pop_front() else {
                return;
            };
            let is_warm = server.cache.shift_remove(&job.object).is_some();
            server.cache.insert(job.object, ());
            if server.cache.len() > CACHED {
                server.cache.shift_remove_index(0);
            }
            let share = if is_warm { WARM_SHARE } else { 1.0 };
            let end = now + Duration::from_secs_f64(job.work * share * self.paces[index]);
            server.running.insert(number, (job, end));
            self.schedule(end, Event::End(index, number));
        }
    }

    fn end(&mut self, index: usize, number: u64, now: Instant) {
        let server = &mut self.servers[index];
        let Some((job, _)) = server.running.shift_remove(&number) else {
            return;
        };
        let load = (server.running.len() + server.queue.len()) as u32;
        let took = now - job.arrived;
        let route = &ROUTES[job.route];
        self.outcome.0[job.route].push(took);
        let view = &mut self.views[job.vm][index];
        view.unanswered.shift_remove(&number);
        view.stated = Some((load.saturating_sub(view.unanswered.len() as u32), now));
        let pace = f64::midpoint(job.pace, self.paces[index]);
        view.pace = Some(Pace {
            factor: self.paces[index],
            at: now,
        });
        let slowdown = view.performance.slowdown(now);
        match self.method {
            Method::Fixed => {
                view.performance
                    .record_answer(now, took, job.expected.div_f64(slowdown))
            }
            _ => view
                .performance
                .record_uneven_answer(now, took, job.baseline.mul_f64(pace)),
        }
        if job.had_free_slot && slowdown < 1.5 {
            self.fixed[job.vm][job.route].sample(job.warm, took);
            self.costs[job.vm].record(route.name, route.objective, job.warm, took.div_f64(pace));
        }
        let server = short_digest(digest(&format!("server-{index}")));
        let object = short_digest(job.object);
        self.cached.record(ObjectUse { server, object }, now);
        self.begin(index, now);
    }
}
