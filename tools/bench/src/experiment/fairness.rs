//! Workspaces inside their rate beside one that floods.

use crate::agenda::Agenda;
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::VecDeque;
use std::fmt::Write as _;
use std::time::{Duration, Instant};
use steering::fairness::{Charge, Next, Queue, Request, Settings};

/// Workspaces; the first one misbehaves.
pub const WORKSPACES: usize = 8;
/// Slots of Atlas's lookup service: 12 backend servers with 3 each.
pub const SLOTS: usize = 36;
/// Slots of that service in one data centre of six.
pub const CENTRE_SLOTS: usize = 6;
const MEAN_RUN: Duration = Duration::from_millis(20);
/// Rate of each workspace as a part of what all slots serve; together 70%.
const RATE_SHARE: f64 = 0.7 / WORKSPACES as f64;
const DEADLINE: Duration = Duration::from_secs(1);
/// Largest latency that is told apart, in microseconds.
const LONGEST: u64 = 10_000_000;
const LENGTH: Duration = Duration::from_secs(60);

/// What the first workspace does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Conduct {
    /// Sends nothing.
    Absent,
    /// Sends at its rate like the others.
    Usual,
    /// Sends at 10 times its rate.
    Flood,
    /// Sends at its rate requests that run 20 times as long, which shows only afterwards.
    Slow,
    /// Sends at its rate requests whose transfer, known before, takes 10 times a usual run.
    Large,
}

/// Order in which queued requests start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// Fair queue.
    Fair,
    /// Fair queue that leaves no slots free beside slow requests.
    Eager,
    /// One first-in-first-out queue with the same deadlines.
    Arrival,
}

/// Figures of one workspace.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Service {
    /// Requests that finished.
    pub finished: u64,
    /// Requests refused or shed.
    pub refused: u64,
    /// 99th percentile of the time from arrival to finish.
    pub p99: Duration,
}

#[derive(Debug)]
struct Job {
    workspace: usize,
    arrived: Instant,
    run: Duration,
}

enum Event {
    Arrive(usize),
    Finish(Job, Option<Charge>),
}

struct Line {
    fair: Queue<Job>,
    arrival: VecDeque<Job>,
    running: usize,
    slots: usize,
}

fn name(workspace: usize) -> String {
    format!("workspace{workspace}")
}

fn gap(slots: usize, workspace: usize, conduct: Conduct, rng: &mut StdRng) -> Duration {
    let times = if workspace == 0 && conduct == Conduct::Flood {
        10.0
    } else {
        1.0
    };
    let rate = slots as f64 / MEAN_RUN.as_secs_f64() * RATE_SHARE * times;
    Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / rate)
}

fn run_time(workspace: usize, conduct: Conduct, rng: &mut StdRng) -> (Duration, Duration) {
    let usual = MEAN_RUN.mul_f64(0.5 + rng.random::<f64>());
    match conduct {
        Conduct::Slow if workspace == 0 => (usual * 20, Duration::ZERO),
        Conduct::Large if workspace == 0 => (usual, MEAN_RUN * 10),
        _ => (usual, Duration::ZERO),
    }
}

impl Line {
    fn push(&mut self, order: Order, job: Job, transfer: Duration, now: Instant) -> bool {
        if order == Order::Arrival {
            self.arrival.push_back(job);
            return true;
        }
        let workspace = name(job.workspace);
        let request = Request {
            item: job,
            key: "key".into(),
            min_run_time: MEAN_RUN / 2,
            transfer,
            deadline: now + DEADLINE,
        };
        self.fair.push(&workspace, request, now).is_ok()
    }

    /// Returns the next job and, if it runs, its charge; the flag says whether it runs.
    fn next(&mut self, order: Order, now: Instant) -> Option<(Job, Option<Charge>, bool)> {
        if order != Order::Arrival {
            return match self.fair.next(now)? {
                Next::Run(job, charge) => Some((job, Some(charge), true)),
                Next::Late(job) => Some((job, None, false)),
            };
        }
        let late = now + MEAN_RUN / 2 > self.arrival.front()?.arrived + DEADLINE;
        if !late && self.running >= self.slots {
            return None;
        }
        self.running += usize::from(!late);
        self.arrival.pop_front().map(|job| (job, None, !late))
    }
}

/// Runs one conduct under one order and returns the figures of each workspace.
pub fn run(slots: usize, order: Order, conduct: Conduct, seed: u64) -> [Service; WORKSPACES] {
    let origin = Instant::now();
    let mut agenda = Agenda::new(origin);
    // Each workspace has its own random stream, so the others' traffic is the same in every run.
    let mut rngs: Vec<StdRng> = (0..WORKSPACES as u64)
        .map(|index| StdRng::seed_from_u64(seed * 100 + index))
        .collect();
    let usual = Settings::default();
    let settings = Settings {
        slots,
        slow_factor: match order {
            Order::Eager => f64::INFINITY,
            Order::Fair | Order::Arrival => usual.slow_factor,
        },
        ..usual
    };
    let mut line = Line {
        fair: Queue::new(settings),
        arrival: VecDeque::new(),
        running: 0,
        slots,
    };
    let mut services = [Service::default(); WORKSPACES];
    let mut times: Vec<Histogram<u64>> = (0..WORKSPACES)
        .map(|_| Histogram::new_with_max(LONGEST, 3).expect("bounds are valid"))
        .collect();
    for workspace in usize::from(conduct == Conduct::Absent)..WORKSPACES {
        agenda.after(Duration::ZERO, Event::Arrive(workspace));
    }
    while let Some((now, event)) = agenda.take().filter(|(at, _)| *at < origin + LENGTH) {
        match event {
            Event::Arrive(workspace) => {
                let rng = &mut rngs[workspace];
                agenda.after(
                    gap(slots, workspace, conduct, rng),
                    Event::Arrive(workspace),
                );
                let (own, transfer) = run_time(workspace, conduct, rng);
                let job = Job {
                    workspace,
                    arrived: now,
                    run: own + transfer,
                };
                if !line.push(order, job, transfer, now) {
                    services[workspace].refused += 1;
                }
            }
            Event::Finish(job, charge) => {
                line.running = line.running.saturating_sub(1);
                if let Some(charge) = charge {
                    line.fair.finish(&charge, job.run, now);
                }
                let micros = now.duration_since(job.arrived).as_micros() as u64;
                times[job.workspace].saturating_record(micros);
                services[job.workspace].finished += 1;
            }
        }
        while let Some((job, charge, runs)) = line.next(order, now) {
            if runs {
                agenda.after(job.run, Event::Finish(job, charge));
            } else {
                services[job.workspace].refused += 1;
            }
        }
    }
    for (service, times) in services.iter_mut().zip(&times) {
        service.p99 = Duration::from_micros(times.value_at_quantile(0.99));
    }
    services
}

/// Comparison of the others with and without the first workspace's traffic.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Comparison {
    /// Largest ratio of a workspace's p99 to its p99 without the first workspace's traffic.
    pub ratio: f64,
    /// Workspace with that ratio, the worst-served one.
    pub worst: usize,
    /// Its p99.
    pub p99: Duration,
    /// Requests of all others that were refused.
    pub refused: u64,
    /// Requests of the first workspace that finished.
    pub first: u64,
}

/// Compares the others' service under `conduct` with their service without the first workspace.
pub fn compare(slots: usize, order: Order, conduct: Conduct, seed: u64) -> Comparison {
    let alone = run(slots, order, Conduct::Absent, seed);
    let beside = run(slots, order, conduct, seed);
    let ratio = |index: usize| beside[index].p99.as_secs_f64() / alone[index].p99.as_secs_f64();
    let worst = (1..WORKSPACES)
        .max_by(|&a, &b| ratio(a).total_cmp(&ratio(b)))
        .unwrap_or(1);
    Comparison {
        ratio: ratio(worst),
        worst,
        p99: beside[worst].p99,
        refused: beside[1..].iter().map(|service| service.refused).sum(),
        first: beside[0].finished,
    }
}

/// Returns the table of all conducts and orders.
pub fn report() -> Box<str> {
    let mut text = String::from(
        "slots  conduct  order  p99 ratio  worst  its p99  others refused  first finished\n",
    );
    let orders = [Order::Fair, Order::Eager, Order::Arrival];
    let conducts = [
        Conduct::Usual,
        Conduct::Flood,
        Conduct::Slow,
        Conduct::Large,
    ];
    let rows = [SLOTS, CENTRE_SLOTS]
        .into_iter()
        .flat_map(|slots| conducts.map(|conduct| (slots, conduct)))
        .flat_map(|(slots, conduct)| orders.map(|order| (slots, conduct, order)));
    for (slots, conduct, order) in rows {
        let row = compare(slots, order, conduct, 1);
        let _ = writeln!(
            text,
            "{slots}  {conduct:?}  {order:?}  {:.2}  {}  {:?}  {}  {}",
            row.ratio,
            name(row.worst),
            row.p99,
            row.refused,
            row.first
        );
    }
    text.into()
}
