//! Simulated fleet of 11 VMs in 6 data centres of 3 regions that share one limit.

mod exchange;
mod fault;

use super::checker::Checker;
use super::{Outcome, Plan, Split};
use crate::agenda::Agenda;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::VecDeque;
use std::time::{Duration, Instant};
use steering::limits::{
    Allocation, Borrow, Bucket, Floors, Grant, Granter, Holder, Identity, Lent, Renew, TOKEN,
};

/// VMs of the fleet.
pub const VMS: usize = 11;
/// Data centres; two form a region.
pub const DATA_CENTRES: usize = 6;
/// Data centre that is cut off for an hour; it has two VMs.
pub const CUT: usize = 0;
/// Interval at which most demand moves to two other VMs.
const MOVE_INTERVAL: Duration = Duration::from_secs(60);
const FAULT_INTERVAL: Duration = Duration::from_millis(700);
/// Length of a cycle of low and then full demand in runs with faults.
const DEMAND_CYCLE: Duration = Duration::from_millis(2500);
const QUIET_TIME: Duration = Duration::from_millis(1000);
/// Share of the demand that remains during the quiet time.
const QUIET_SHARE: f64 = 0.08;
/// Share of the demand that arrives at the two busiest VMs.
const HOT_SHARE: f64 = 0.8;

#[derive(Debug, Clone)]
enum Message {
    Renew(usize, Renew),
    Grant(Grant),
    Borrow(usize, Borrow),
    Lent(Lent),
}

#[derive(Debug)]
enum Event {
    Arrive(usize, bool),
    NextArrival,
    Tick(usize),
    Deliver(usize, Message),
    Restart(usize),
    Lease,
    MoveDemand,
    Fault,
    Burst,
    Store(bool),
    Cut(usize, bool),
}

struct Node {
    drift_ppm: i64,
    holder: Holder,
    incarnation: u64,
    alive: bool,
    paused_until: Instant,
    has_floor: bool,
    granter: Option<Granter>,
    waiting: VecDeque<(Instant, bool)>,
    even_bucket: Bucket,
}

/// The running simulation.
pub struct Fleet {
    plan: Plan,
    agenda: Agenda<Event>,
    rng: StdRng,
    origin: Instant,
    nodes: Vec<Node>,
    floors: Floors,
    granter_vm: usize,
    lease_until: Instant,
    store_up: bool,
    cut: [bool; DATA_CENTRES],
    hot: [usize; 2],
    shared: Checker,
    checker: Checker,
    outcome: Outcome,
}

fn data_centre(vm: usize) -> usize {
    vm % DATA_CENTRES
}

fn name(vm: usize) -> Box<str> {
    format!("vm{vm}").into()
}

fn index(vm: &str) -> usize {
    vm.trim_start_matches("vm").parse().unwrap_or(0)
}

fn distance(a: usize, b: usize) -> u32 {
    match (data_centre(a), data_centre(b)) {
        (a, b) if a == b => 0,
        (a, b) if a / 2 == b / 2 => 1,
        _ => 2,
    }
}

impl Fleet {
    /// Prepares a run.
    pub fn new(plan: Plan) -> Self {
        let origin = Instant::now();
        let mut rng = StdRng::seed_from_u64(plan.seed);
        let even = Allocation {
            rate: plan.limit.rate / VMS as u64,
            burst: plan.limit.burst / VMS as u64,
        };
        let nodes = (0..VMS)
            .map(|vm| (vm, rng.random()))
            .map(|(vm, incarnation)| Node {
                // Fast and slow clocks alternate, so that the clocks of neighbours differ most.
                drift_ppm: if vm % 2 == 0 { plan.drift } else { -plan.drift },
                holder: Self::holder(&plan, vm, incarnation, origin),
                incarnation,
                alive: true,
                paused_until: origin,
                has_floor: false,
                granter: None,
                waiting: VecDeque::new(),
                even_bucket: Bucket::full(even, origin),
            })
            .collect();
        Self {
            agenda: Agenda::new(origin),
            origin,
            nodes,
            floors: Floors::new(plan.settings.floor_units as usize),
            granter_vm: 0,
            lease_until: origin,
            store_up: true,
            cut: [false; DATA_CENTRES],
            hot: [0, 1],
            shared: Checker::new(plan.limit, origin),
            checker: Checker::new(plan.limit, origin),
            outcome: Outcome::default(),
            rng,
            plan,
        }
    }

    fn holder(plan: &Plan, vm: usize, incarnation: u64, now: Instant) -> Holder {
        let identity = Identity {
            workspace: "north-lodges".into(),
            vm: name(vm),
            incarnation,
        };
        let mut holder = Holder::new(plan.settings, identity, now);
        let others = (0..VMS).filter(|&other| other != vm);
        holder.set_peers(others.map(|other| (name(other), distance(vm, other))));
        holder
    }

    fn local_time(&self, vm: usize, at: Instant) -> Instant {
        let elapsed = at.duration_since(self.origin).as_nanos() as i64;
        let drift = elapsed / 1_000_000 * self.nodes[vm].drift_ppm
            + elapsed % 1_000_000 * self.nodes[vm].drift_ppm / 1_000_000;
        self.origin + Duration::from_nanos((elapsed + drift) as u64)
    }

    /// Runs to the end of the plan.
    pub fn run(mut self) -> Outcome {
        let end = self.origin + self.plan.length;
        for vm in 0..VMS {
            self.agenda.after(Duration::ZERO, Event::Tick(vm));
        }
        for event in [Event::Lease, Event::NextArrival, Event::MoveDemand] {
            self.agenda.after(Duration::ZERO, event);
        }
        if self.plan.faults {
            self.agenda.after(FAULT_INTERVAL, Event::Fault);
            self.agenda.after(QUIET_TIME, Event::Burst);
        }
        if let Some((from, to)) = self.plan.cut {
            self.agenda.after(from, Event::Cut(CUT, true));
            self.agenda.after(to, Event::Cut(CUT, false));
        }
        while let Some((now, event)) = self.agenda.take().filter(|(at, _)| *at < end) {
            self.handle(now, event);
        }
        self.outcome.excess = self.checker.excess;
        self.outcome.min_headroom = self.checker.min_headroom;
        self.outcome
    }

    fn handle(&mut self, now: Instant, event: Event) {
        if let Event::Arrive(vm, _) | Event::Tick(vm) | Event::Deliver(vm, _) = event
            && now < self.nodes[vm].paused_until
        {
            self.agenda.at(self.nodes[vm].paused_until, event);
            return;
        }
        match event {
            Event::NextArrival => self.next_arrival(now),
            Event::Arrive(vm, shared) => self.arrive(vm, shared, now),
            Event::Tick(vm) => self.tick(vm, now),
            Event::Deliver(vm, message) if self.nodes[vm].alive => self.receive(vm, message, now),
            Event::Deliver(..) => {}
            Event::Restart(vm) => self.restart(vm, now),
            Event::Lease => self.lease(now),
            Event::MoveDemand => {
                let first = self.rng.random_range(0..VMS);
                self.hot = [first, (first + self.rng.random_range(1..VMS)) % VMS];
                self.agenda.after(MOVE_INTERVAL, Event::MoveDemand);
            }
            Event::Fault => self.fault(now),
            Event::Burst => self.send_burst(now),
            Event::Store(up) => self.store_up = up,
            Event::Cut(at, cut) => self.cut[at] = cut,
        }
    }

    fn next_arrival(&mut self, now: Instant) {
        let per_second = self.plan.limit.rate as f64 / TOKEN as f64 * self.plan.load;
        let pause = -(1.0 - self.rng.random::<f64>()).ln() / per_second;
        self.agenda
            .after(Duration::from_secs_f64(pause), Event::NextArrival);
        let elapsed = now.duration_since(self.origin).as_millis();
        // Most buckets fill in the quiet time of each cycle. A burst on every VM then spends all
        // tokens at once, which brings windows close to the bound.
        let quiet = self.plan.faults && elapsed % DEMAND_CYCLE.as_millis() < QUIET_TIME.as_millis();
        if quiet && self.rng.random::<f64>() >= QUIET_SHARE {
            return;
        }
        let vm = if self.rng.random::<f64>() < HOT_SHARE {
            self.hot[self.rng.random_range(0..2)]
        } else {
            self.rng.random_range(0..VMS)
        };
        let shared = self.shared.admit(TOKEN, now);
        self.arrive_or_defer(vm, shared, now);
    }

    fn arrive_or_defer(&mut self, vm: usize, shared: bool, now: Instant) {
        if self.is_counted(now) {
            self.outcome.offered += 1;
            self.outcome.shared += u64::from(shared);
        }
        self.handle(now, Event::Arrive(vm, shared));
    }

    fn is_counted(&self, now: Instant) -> bool {
        now >= self.origin + self.plan.warm_up
    }

    fn arrive(&mut self, vm: usize, shared: bool, now: Instant) {
        let local = self.local_time(vm, now);
        let node = &mut self.nodes[vm];
        if !node.alive {
            return self.refuse(shared, now);
        }
        if self.plan.split == Split::Even {
            let admitted = node.even_bucket.spend(TOKEN, local);
            return self.record_decision(vm, shared, admitted, now);
        }
        node.holder.record_demand(TOKEN, local);
        if node.waiting.is_empty() && node.holder.spend(TOKEN, local) {
            return self.record_decision(vm, shared, true, now);
        }
        if self.plan.wait.is_zero() {
            return self.refuse(shared, now);
        }
        node.waiting.push_back((now + self.plan.wait, shared));
        self.serve_waiting(vm, now);
    }

    fn record_decision(&mut self, vm: usize, shared: bool, admitted: bool, now: Instant) {
        if !admitted {
            return self.refuse(shared, now);
        }
        self.checker.record(TOKEN, now);
        if self.is_counted(now) {
            self.outcome.admitted += 1;
        }
        let isolated = self.cut[CUT] && data_centre(vm) == CUT;
        self.outcome.isolated += u64::from(isolated);
    }

    fn refuse(&mut self, shared: bool, now: Instant) {
        self.outcome.refused += u64::from(shared && self.is_counted(now));
    }

    /// Serves or refuses waiting requests, then borrows tokens for those that still wait.
    fn serve_waiting(&mut self, vm: usize, now: Instant) {
        let local = self.local_time(vm, now);
        while let Some(&(deadline, shared)) = self.nodes[vm].waiting.front() {
            if now >= deadline {
                self.refuse(shared, now);
            } else if self.nodes[vm].holder.spend(TOKEN, local) {
                self.record_decision(vm, shared, true, now);
            } else {
                break;
            }
            self.nodes[vm].waiting.pop_front();
        }
        if !self.plan.borrow {
            return;
        }
        let needed = TOKEN * self.nodes[vm].waiting.len() as u64;
        while let Some(request) = self.nodes[vm].holder.borrow(needed, local) {
            self.send(
                vm,
                index(&request.peer),
                &Message::Borrow(vm, request.borrow),
            );
        }
    }
}
