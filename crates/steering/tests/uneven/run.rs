//! Event loop of servers with slots, and of VMs that choose among them.

use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};
use steering::affinity::digest;
use steering::backlog::{self, Queue, Sent, StatedPace};
use steering::cost::Model;
use steering::placement::{
    self, Candidate, Choice, Estimate, PlacementRequest, ServiceTime, Terms,
};
use steering::warmth::{ObjectUse, WarmObjects, short_digest};
use steering::work::{ServerPerformance, ServiceTimeEstimate};

const SERVERS: usize = 20;
const CACHED_OBJECTS: usize = 12;
const OBJECTS: u64 = 60;
const LENGTH: Duration = Duration::from_secs(60);
/// Reports take one interval, so that they are 0.2 to 0.4 s old.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
const PHASE: Duration = Duration::from_millis(600);

/// Requests and servers of a run.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    pub vms: usize,
    pub slots: u32,
    pub arrivals_per_s: f64,
    /// Name, objective and deadline in milliseconds, cold work in seconds of two routes.
    pub routes: [(&'static str, u64, u64, f64); 2],
    /// Share of the requests of the second route.
    pub second_share: f64,
    /// Share of the requests that take 7 times as long.
    pub long_share: f64,
    /// Share of the time in which a server runs 2.5 times slower.
    pub slow_share: f64,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Method {
    Fixed,
    Learned,
    /// Knows the work of each request, and the load and pace of each server.
    Oracle,
}

#[derive(Clone)]
struct Job {
    vm: usize,
    route: usize,
    object: u64,
    arrived: Instant,
    /// Work on a cold server of ordinary pace.
    work: Duration,
    had_free_slot: bool,
    warm: bool,
    pace: f64,
    expected: Duration,
    baseline: Duration,
}

#[derive(Clone, Default)]
struct Server {
    /// Requests that run, with their ends.
    running: IndexMap<u64, (Job, Instant)>,
    waiting: VecDeque<(u64, Job)>,
    cache: IndexMap<u64, ()>,
    percent: u32,
}

#[derive(Clone)]
struct Vm {
    views: Vec<(ServerPerformance, backlog::Server)>,
    costs: Model,
    fixed: [ServiceTimeEstimate; 2],
}

enum Event {
    Arrival,
    End(usize, u64),
    Report,
    Phase(usize),
}

struct Run {
    load: Load,
    method: Method,
    rng: StdRng,
    servers: Vec<Server>,
    vms: Vec<Vm>,
    cached: WarmObjects,
    /// Own requests and stated pace by VM and server at the last report.
    reports: Vec<Vec<(usize, Option<StatedPace>)>>,
    events: BTreeMap<(Instant, u64), Event>,
    number: u64,
    times: [Vec<Duration>; 2],
}

impl Load {
    pub fn objective(&self, route: usize) -> Duration {
        Duration::from_millis(self.routes[route].1)
    }
}

/// Plays a minute; returns the times of the answers by route, where refusals take 12 s.
pub fn run(load: Load, method: Method, seed: u64) -> [Vec<Duration>; 2] {
    let start = Instant::now();
    let vm = Vm {
        views: vec![(ServerPerformance::new(start), backlog::Server::default()); SERVERS],
        costs: Model::default(),
        fixed: [0, 1].map(|route| ServiceTimeEstimate::new(load.objective(route))),
    };
    let mut run = Run {
        load,
        method,
        rng: StdRng::seed_from_u64(seed),
        servers: vec![
            Server {
                percent: 100,
                ..Server::default()
            };
            SERVERS
        ],
        vms: vec![vm; load.vms],
        cached: WarmObjects::default(),
        reports: Vec::new(),
        events: BTreeMap::new(),
        number: 0,
        times: Default::default(),
    };
    run.schedule(start, Event::Arrival);
    run.schedule(start, Event::Report);
    for index in 0..SERVERS {
        run.schedule(
            start + PHASE.mul_f64(index as f64 / SERVERS as f64),
            Event::Phase(index),
        );
    }
    while let Some(((now, _), event)) = run.events.pop_first() {
        match event {
            Event::End(index, number) => run.end(index, number, now),
            _ if now > start + LENGTH => {}
            Event::Arrival => run.arrive(now),
            Event::Report => run.report(now),
            Event::Phase(index) => {
                run.servers[index].percent = if run.rng.random_bool(load.slow_share) {
                    250
                } else {
                    100
                };
                run.schedule(now + PHASE, Event::Phase(index));
            }
        }
    }
    run.times
}

impl Run {
    fn schedule(&mut self, at: Instant, event: Event) {
        self.number += 1;
        self.events.insert((at, self.number), event);
    }

    fn report(&mut self, now: Instant) {
        for (number, vm) in self
            .vms
            .iter_mut()
            .enumerate()
            .filter(|_| !self.reports.is_empty())
        {
            for (server, (_, view)) in vm.views.iter_mut().enumerate() {
                let others = (0..self.load.vms).filter(|other| *other != number);
                view.set_reported(
                    others
                        .clone()
                        .map(|o| self.reports[o][server].0 as u32)
                        .sum(),
                );
                for mut pace in others.filter_map(|other| self.reports[other][server].1) {
                    pace.age_ms += REPORT_INTERVAL.as_millis() as u16;
                    view.apply_pace(pace, now);
                }
            }
        }
        let stated = |view: &backlog::Server| view.stated_pace(now).filter(|s| s.1).map(|s| s.0);
        let reports = self.vms.iter().map(|vm| {
            let views = vm.views.iter().map(|(_, view)| (view.own(), stated(view)));
            views.collect()
        });
        self.reports = reports.collect();
        self.schedule(now + REPORT_INTERVAL, Event::Report);
    }

    fn arrive(&mut self, now: Instant) {
        let next = -(1.0 - self.rng.random::<f64>()).ln() / self.load.arrivals_per_s;
        self.schedule(now + Duration::from_secs_f64(next), Event::Arrival);
        let route = usize::from(self.rng.random_bool(self.load.second_share));
        let object = digest(&format!("object-{}", self.rng.random_range(0..OBJECTS)));
        let factor = if self.rng.random_bool(self.load.long_share) {
            7.0
        } else {
            1.0
        };
        let work = self.load.routes[route].3 * self.rng.random_range(0.85..1.15) * factor;
        let work = Duration::from_secs_f64(work);
        let vm = self.rng.random_range(0..self.load.vms);
        let service_time = match self.method {
            Method::Fixed => self.vms[vm].fixed[route].service_time(),
            Method::Learned => self.vms[vm]
                .costs
                .service_time(self.load.routes[route].0, self.load.objective(route)),
            Method::Oracle => ServiceTime {
                warm: work.mul_f64(0.3),
                cold: work,
            },
        };
        let candidates = (0..SERVERS).map(|server| self.candidate(vm, route, server, object, now));
        let candidates: Vec<Candidate> = candidates.collect();
        let draw = self.rng.random();
        let request = PlacementRequest {
            object: Some(object),
            objective: self.load.objective(route),
            time_left: Duration::from_millis(self.load.routes[route].2),
            overload: 0.0,
            terms: Terms::default(),
            estimate: match self.method {
                Method::Fixed => Estimate::Fixed,
                _ => Estimate::Learned { draw },
            },
        };
        let settings = placement::Settings::default();
        let choice = placement::choose(&settings, &request, &service_time, &candidates, |_| true);
        let Choice::Server { index, time, warm } = choice else {
            return self.times[route].push(Duration::from_secs(12));
        };
        let candidate = candidates[index];
        let job = Job {
            vm,
            route,
            object,
            arrived: now,
            work,
            had_free_slot: candidate.load < self.load.slots,
            warm,
            pace: candidate.slowdown,
            expected: time,
            baseline: candidate.nominal_time(&service_time, request.estimate),
        };
        let sent = Sent {
            at: now,
            starts_at: now + candidate.wait,
            route: self.load.routes[route].0.into(),
            objective: self.load.objective(route),
            warm,
        };
        self.number += 1;
        self.vms[vm].views[index].1.add(self.number, sent);
        self.servers[index].waiting.push_back((self.number, job));
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
        let server = &self.servers[index];
        let (performance, view) = &self.vms[vm].views[index];
        let costs = &self.vms[vm].costs;
        let average = costs.average(self.load.objective(route));
        let slowdown = performance.slowdown(now);
        let (load, slowdown, wait) = match self.method {
            Method::Fixed => (view.load(now), slowdown, Duration::ZERO),
            Method::Learned => {
                let pace = view.pace(slowdown, now);
                (
                    view.load(now),
                    pace,
                    view.wait(self.load.slots, pace, costs, average, now),
                )
            }
            Method::Oracle => {
                let load = (server.running.len() + server.waiting.len()) as u32;
                let queue = Queue {
                    slots: self.load.slots,
                    load,
                    average,
                    pace: 1.0,
                };
                let wait = queue.wait(server.running.values().map(|(_, end)| *end - now));
                (load, f64::from(server.percent) / 100.0, wait)
            }
        };
        let digest = digest(&format!("server-{index}"));
        Candidate {
            server: digest,
            slots: self.load.slots,
            load,
            round_trip: Duration::from_millis(1),
            weight: 1.0,
            slowdown,
            failure_rate: 0.0,
            warm: self
                .cached
                .is_warm(short_digest(digest), short_digest(object)),
            has_cache_room: self.cached.has_room(short_digest(digest)),
            wait,
        }
    }

    /// Starts waiting requests on free slots; the pace at the start holds for the whole request.
    fn begin(&mut self, index: usize, now: Instant) {
        while self.servers[index].running.len() < self.load.slots as usize {
            let server = &mut self.servers[index];
            let Some((number, job)) = server.waiting.pop_front() else {
                return;
            };
            let share = server.cache.shift_remove(&job.object).map_or(1.0, |()| 0.3);
            server.cache.insert(job.object, ());
            if server.cache.len() > CACHED_OBJECTS {
                server.cache.shift_remove_index(0);
            }
            let end = now + job.work.mul_f64(share * f64::from(server.percent) / 100.0);
            server.running.insert(number, (job, end));
            self.schedule(end, Event::End(index, number));
        }
    }

    fn end(&mut self, index: usize, number: u64, now: Instant) {
        let server = &mut self.servers[index];
        let Some((job, _)) = server.running.shift_remove(&number) else {
            return;
        };
        let took = now - job.arrived;
        self.times[job.route].push(took);
        let vm = &mut self.vms[job.vm];
        let (performance, view) = &mut vm.views[index];
        view.record_load((server.running.len() + server.waiting.len()) as u32, now);
        view.record_pace(server.percent, now);
        view.remove(number);
        let pace = f64::midpoint(job.pace, f64::from(server.percent) / 100.0);
        let slowdown = performance.slowdown(now);
        match self.method {
            Method::Fixed => performance.record_answer(now, took, job.expected.div_f64(slowdown)),
            _ => performance.record_answer(now, took, job.baseline.mul_f64(pace)),
        }
        if job.had_free_slot && slowdown < 1.5 {
            let (route, objective) = (
                self.load.routes[job.route].0,
                self.load.objective(job.route),
            );
            vm.fixed[job.route].sample(job.warm, took);
            vm.costs
                .record(route, objective, job.warm, took.div_f64(pace));
        }
        let server = short_digest(digest(&format!("server-{index}")));
        let object = short_digest(job.object);
        self.cached.record(ObjectUse { server, object }, now);
        self.begin(index, now);
    }
}
