//! Latency of workspaces that keep to their rate while another one misbehaves.

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
/// Load of each workspace as a share of the capacity of all slots; together 70%.
const WORKSPACE_LOAD: f64 = 0.7 / WORKSPACES as f64;
const DEADLINE: Duration = Duration::from_secs(1);
/// Largest latency that the histogram distinguishes.
const MAX_LATENCY_US: u64 = 10_000_000;
const RUN_LENGTH: Duration = Duration::from_secs(60);

/// How the first workspace sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Conduct {
    /// Sends nothing.
    Absent,
    /// Sends at its rate like the others.
    Usual,
    /// Sends at 10 times its rate.
    Flood,
    /// Sends at its rate requests that run 20 times as long, which is known only afterwards.
    Slow,
    /// Sends at its rate requests whose transfer takes 10 times a usual run, which is known before.
    Large,
}

/// Order in which queued requests start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// Fair queue.
    Fair,
    /// Fair queue that keeps no slots free of slow requests.
    Eager,
    /// One first-in-first-out queue with the same deadlines.
    Arrival,
}

/// Results of one workspace.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct WorkspaceFigures {
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

struct Dispatcher {
    fair_queue: Queue<Job>,
    fifo: VecDeque<Job>,
    running: usize,
    slots: usize,
}

fn workspace_name(workspace: usize) -> String {
    format!("workspace{workspace}")
}

fn arrival_interval(
    slots: usize,
    workspace: usize,
    conduct: Conduct,
    rng: &mut StdRng,
) -> Duration {
    let multiplier = if workspace == 0 && conduct == Conduct::Flood {
        10.0
    } else {
        1.0
    };
    let rate = slots as f64 / MEAN_RUN.as_secs_f64() * WORKSPACE_LOAD * multiplier;
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

impl Dispatcher {
    fn push(&mut self, order: Order, job: Job, transfer: Duration, now: Instant) -> bool {
        if order == Order::Arrival {
            self.fifo.push_back(job);
            return true;
        }
        let workspace = workspace_name(job.workspace);
        let request = Request {
            item: job,
            key: "key".into(),
            min_run_time: MEAN_RUN / 2,
            transfer,
            deadline: now + DEADLINE,
        };
        self.fair_queue.push(&workspace, request, now).is_ok()
    }

    /// Returns the next job and, if it runs, its charge; the flag says whether it runs.
    fn next(&mut self, order: Order, now: Instant) -> Option<(Job, Option<Charge>, bool)> {
        if order != Order::Arrival {
            return match self.fair_queue.next(now)? {
                Next::Run(job, charge) => Some((job, Some(charge), true)),
                Next::Late(job) => Some((job, None, false)),
            };
        }
        let late = now + MEAN_RUN / 2 > self.fifo.front()?.arrived + DEADLINE;
        if !late && self.running >= self.slots {
            return None;
        }
        self.running += usize::from(!late);
        self.fifo.pop_front().map(|job| (job, None, !late))
    }
}

/// Runs one conduct with one order and returns the results of each workspace.
pub fn run(
    slots: usize,
    order: Order,
    conduct: Conduct,
    seed: u64,
) -> [WorkspaceFigures; WORKSPACES] {
    let origin = Instant::now();
    let mut agenda = Agenda::new(origin);
    // Each workspace has its own random stream, so the others' traffic is the same in every run.
    let mut rngs: Vec<StdRng> = (0..WORKSPACES as u64)
        .map(|index| StdRng::seed_from_u64(seed * 100 + index))
        .collect();
    let defaults = Settings::default();
    let settings = Settings {
        slots,
        slow_factor: match order {
            Order::Eager => f64::INFINITY,
            Order::Fair | Order::Arrival => defaults.slow_factor,
        },
        ..defaults
    };
    let mut dispatcher = Dispatcher {
        fair_queue: Queue::new(settings),
        fifo: VecDeque::new(),
        running: 0,
        slots,
    };
    let mut figures = [WorkspaceFigures::default(); WORKSPACES];
    let mut times: Vec<Histogram<u64>> = (0..WORKSPACES)
        .map(|_| Histogram::new_with_max(MAX_LATENCY_US, 3).expect("bounds are valid"))
        .collect();
    for workspace in usize::from(conduct == Conduct::Absent)..WORKSPACES {
        agenda.after(Duration::ZERO, Event::Arrive(workspace));
    }
    while let Some((now, event)) = agenda.take().filter(|(at, _)| *at < origin + RUN_LENGTH) {
        match event {
            Event::Arrive(workspace) => {
                let rng = &mut rngs[workspace];
                agenda.after(
                    arrival_interval(slots, workspace, conduct, rng),
                    Event::Arrive(workspace),
                );
                let (run, transfer) = run_time(workspace, conduct, rng);
                let job = Job {
                    workspace,
                    arrived: now,
                    run: run + transfer,
                };
                if !dispatcher.push(order, job, transfer, now) {
                    figures[workspace].refused += 1;
                }
            }
            Event::Finish(job, charge) => {
                dispatcher.running = dispatcher.running.saturating_sub(1);
                if let Some(charge) = charge {
                    dispatcher.fair_queue.finish(&charge, job.run, now);
                }
                let micros = now.duration_since(job.arrived).as_micros() as u64;
                times[job.workspace].saturating_record(micros);
                figures[job.workspace].finished += 1;
            }
        }
        while let Some((job, charge, runs)) = dispatcher.next(order, now) {
            if runs {
                agenda.after(job.run, Event::Finish(job, charge));
            } else {
                figures[job.workspace].refused += 1;
            }
        }
    }
    for (service, times) in figures.iter_mut().zip(&times) {
        service.p99 = Duration::from_micros(times.value_at_quantile(0.99));
    }
    figures
}

/// Service of the other workspaces with the first workspace's traffic, compared to without it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Comparison {
    /// Largest ratio of a workspace's p99 to its p99 without the first workspace's traffic.
    pub ratio: f64,
    /// Workspace with that ratio.
    pub worst: usize,
    /// p99 of that workspace.
    pub p99: Duration,
    /// Requests of the other workspaces that were refused.
    pub refused: u64,
    /// Requests of the first workspace that finished.
    pub first_finished: u64,
}

/// Compares the others' service under `conduct` with their service without the first workspace.
pub fn compare(slots: usize, order: Order, conduct: Conduct, seed: u64) -> Comparison {
    let without_first = run(slots, order, Conduct::Absent, seed);
    let with_first = run(slots, order, conduct, seed);
    let ratio =
        |index: usize| with_first[index].p99.as_secs_f64() / without_first[index].p99.as_secs_f64();
    let worst = (1..WORKSPACES)
        .max_by(|&a, &b| ratio(a).total_cmp(&ratio(b)))
        .unwrap_or(1);
    Comparison {
        ratio: ratio(worst),
        worst,
        p99: with_first[worst].p99,
        refused: with_first[1..].iter().map(|service| service.refused).sum(),
        first_finished: with_first[0].finished,
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
            workspace_name(row.worst),
            row.p99,
            row.refused,
            row.first_finished
        );
    }
    text.into()
}
