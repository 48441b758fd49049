//! Releases of generated good and bad versions, with evidence that reaches VMs with a delay.
//!
//! A fault is visible at the moment at which an observer with the same test and undelayed evidence
//! of all VMs decides.

mod world;

pub use world::{ATLAS, EL_SHERBINY, Fault, Method, ROUTES, Scale, World, fault};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::VecDeque;
use std::fmt::Write as _;
use std::time::{Duration, Instant};
use steering::release::{
    Cap, Confirmations, Decision, DecisionInput, Evidence, HaltSet, Heartbeat, Load, Monitor,
    OwnedRelease, PendingWrite, Quota, Reason, Record, RowReply, SOAK_MILLIS, Settings, State,
    Verdict, WriteOutcome,
};

/// Share of releases during which a dependency of both versions fails for 5 to 25 s.
const INCIDENT_SHARE: f64 = 0.3;
/// Simulated time between two rounds of arrivals.
const TICK_MILLIS: u64 = 100;
/// Rounds between two evaluations of the evidence by one VM.
const EVALUATION_ROUNDS: u64 = 5;
/// Range of the delay of a message between VMs, in milliseconds; 500 on average.
const DELAY_MILLIS: std::ops::Range<u64> = 400..600;

/// How one release ended.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// Whether it completed by the finish time.
    pub complete: bool,
    /// Last state of the record.
    pub state: State,
    /// Time at which the fault was visible, in milliseconds from the start.
    pub visible: Option<u64>,
    /// Time of the last start on the new version, in milliseconds from the start.
    pub last: u64,
    /// Whether the starts on the new version ever exceeded the cap.
    pub exceeded: bool,
}

impl Outcome {
    /// Returns the time for which the new version got traffic after its fault was visible.
    pub fn exposed(&self) -> u64 {
        self.visible.map_or(0, |at| self.last.saturating_sub(at))
    }
}

/// Content of a message between VMs.
enum Message {
    Record(Record),
    Halt(HaltSet),
    Heartbeat(Heartbeat),
}

fn planned(scale: Scale) -> Record {
    let record = Record {
        id: "r1".into(),
        service: "lookup".into(),
        old: "v1".into(),
        new: "v2".into(),
        start: 0,
        finish_by: scale.time * 1000,
        soak: SOAK_MILLIS,
        steps: [1, 5, 25, 50, 100].map(Cap::from_percent).into(),
        owner: 0,
        leased_until: 0,
        state: State::Planned,
    };
    record.plan(scale.servers).expect("the plan is valid")
}

/// Runs one release; the same seed gives the same version and traffic for each method.
pub fn run(scale: Scale, method: Method, bad: Option<usize>, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let fault = bad.map(|kind| fault(kind, &mut rng));
    let begin = rng.random_range(0..scale.time * 1000);
    let incident_length = match rng.random::<f64>() {
        draw if draw < INCIDENT_SHARE => rng.random_range(5_000..25_000),
        _ => 0,
    };
    let added = rng.random_range(0.2..0.5);
    let mut world = World {
        scale,
        method,
        fault,
        incident: (begin, begin + incident_length, added),
        noise: 0.9 + 0.15 * rng.random::<f64>(),
        latencies: world::quantiles(&mut rng),
        quotas: vec![Quota::default(); scale.vms],
        own: vec![Evidence::default(); scale.vms],
        all: Evidence::default(),
        recent: VecDeque::new(),
        rng,
    };
    simulate(&mut world)
}

fn simulate(world: &mut World) -> Outcome {
    let (scale, vms) = (world.scale, world.scale.vms);
    let origin = Instant::now();
    let settings = Settings {
        observers: vms as u32,
        ..Settings::default()
    };
    let plan = planned(scale);
    let monitor = Monitor::new(settings, &plan, ROUTES.map(|(name, _)| name.into()));
    let (mut monitors, mut ideal_monitor) = (vec![monitor.clone(); vms], monitor);
    let mut halts = vec![HaltSet::default(); vms];
    let mut records = vec![plan.clone(); vms];
    let mut table = (1, plan.clone());
    let mut owned = apply_write(plan.acquire(1, 0, 0, "take".into()), &mut table);
    let mut confirmed = Confirmations::default();
    let mut messages: Vec<(u64, usize, Message)> = Vec::new();
    let mut evidence_history: VecDeque<Evidence> = VecDeque::new();
    let (mut all, mut new, mut highest) = (0, 0, Cap::NONE);
    let mut outcome = Outcome {
        complete: false,
        state: State::Planned,
        visible: None,
        last: 0,
        exceeded: false,
    };
    for tick in 0..=scale.time * 1000 / TICK_MILLIS + 50 {
        let (at, now) = (
            tick * TICK_MILLIS,
            origin + Duration::from_millis(tick * TICK_MILLIS),
        );
        messages.retain(|(due, vm, message)| {
            if *due <= at && scale.reaches(*vm, at) {
                match message {
                    Message::Record(record) => records[*vm] = record.clone(),
                    Message::Halt(halt) => {
                        halts[*vm].merge(halt);
                    }
                    Message::Heartbeat(heartbeat) => {
                        monitors[*vm].record_heartbeat(now, *heartbeat);
                    }
                }
            }
            *due > at
        });
        for vm in 0..vms {
            world.quotas[vm].set_cap(monitors[vm].cap(now, &records[vm], &halts[vm]));
        }
        let before: u64 = all;
        let starts = world.arrivals(at, &records);
        all = world.quotas.iter().map(|quota| quota.starts().0).sum();
        new += starts;
        if starts > 0 {
            outcome.last = at;
        }
        outcome.exceeded |= all > before && new > highest.max_starts(all);
        let oldest = records.iter().filter_map(|record| Some(record.step()?.0));
        world.forget_before(oldest.min().unwrap_or(0));
        evidence_history.push_back(world.all.clone());
        if evidence_history.len() > (DELAY_MILLIS.end / TICK_MILLIS) as usize + 1 {
            evidence_history.pop_front();
        }
        let steered = matches!(world.method, Method::Evidence | Method::FullWidth);
        if outcome.visible.is_none() {
            // A VM that halts before the ideal observer decides makes the fault visible as well.
            let ideal_verdict = ideal_monitor.evaluate(
                now,
                &table.1,
                &evidence_history[evidence_history.len() - 1],
                &mut HaltSet::default(),
            );
            let halted = halts.iter().any(|halt| halt.reason("r1").is_some());
            if halted || matches!(ideal_verdict, Some(Verdict::Bad(_))) {
                outcome.visible = Some(at);
            }
        }
        let mut verdict = Verdict::Good;
        for vm in 0..vms {
            if !(tick + vm as u64).is_multiple_of(EVALUATION_ROUNDS) {
                continue;
            }
            let known = halts[vm].clone();
            if steered {
                let delay = (world.rng.random_range(DELAY_MILLIS) / TICK_MILLIS) as usize;
                let mut view =
                    evidence_history[evidence_history.len().saturating_sub(delay + 1)].clone();
                view.merge(&world.own[vm]);
                let seen = monitors[vm].evaluate(now, &records[vm], &view, &mut halts[vm]);
                if vm == 0 {
                    verdict = seen.unwrap_or(Verdict::Good);
                }
            } else if world.method == Method::Threshold && vm == 0 && world.over_threshold() {
                halts[vm].add(&"r1".into(), &Reason::Failures("any".into()));
            }
            if known != halts[vm] && scale.reaches(vm, at) {
                for other in 0..vms {
                    let due = at + world.rng.random_range(DELAY_MILLIS);
                    messages.push((due, other, Message::Halt(halts[vm].clone())));
                }
            }
        }
        if !tick.is_multiple_of(EVALUATION_ROUNDS) {
            continue;
        }
        for vm in 0..vms {
            let (version, count) = (table.0, tick);
            let due = at + world.rng.random_range(DELAY_MILLIS);
            messages.push((due, vm, Message::Heartbeat(Heartbeat { version, count })));
            if monitors[vm].confirm(&records[vm], &halts[vm]) && scale.reaches(vm, at) {
                confirmed.add(&table.1.id, vm as u64);
            }
        }
        let operation: Box<str> = format!("op{tick}").into();
        let load = match world.method {
            Method::Evidence => world.load(&table.1),
            _ => Load {
                measured: 1.0,
                expected: 1.0,
            },
        };
        let pending = match owned {
            OwnedRelease::Planned(plan) => match plan.start(at, &halts[0], operation) {
                Decision::Write(pending) => pending,
                Decision::Wait(plan, _) => {
                    owned = OwnedRelease::Planned(plan);
                    continue;
                }
            },
            OwnedRelease::Stepping(plan) => {
                let input = DecisionInput {
                    now: at,
                    verdict: &verdict,
                    halt: &halts[0],
                    load,
                    confirmed: confirmed.includes_all(&table.1.id, 0..vms as u64),
                };
                match plan.decide(&input, operation) {
                    Decision::Wait(plan, _) => {
                        owned = OwnedRelease::Stepping(plan);
                        continue;
                    }
                    Decision::Write(pending) => pending,
                }
            }
            OwnedRelease::Ended(state) => {
                outcome.complete = state == State::Complete;
                if outcome.complete || records.iter().all(|record| record.state == state) {
                    break;
                }
                owned = OwnedRelease::Ended(state);
                continue;
            }
        };
        owned = apply_write(pending, &mut table);
        highest = highest.max(table.1.cap(&HaltSet::default()));
        for vm in 0..vms {
            let due = at + world.rng.random_range(DELAY_MILLIS);
            messages.push((due, vm, Message::Record(table.1.clone())));
        }
    }
    outcome.state = table.1.state;
    outcome
}

/// Applies a write to the table and passes the answer to the release.
fn apply_write(pending: PendingWrite, table: &mut (u64, Record)) -> OwnedRelease {
    let put = pending.put().clone();
    *table = (put.expected + 1, put.record);
    match pending.resolve(&RowReply::Row(table.0, put.operation)) {
        WriteOutcome::Applied(owned) => owned,
        WriteOutcome::Retry(_) | WriteOutcome::Superseded => OwnedRelease::Ended(State::Complete),
    }
}

/// Figures over many releases.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Summary {
    /// Releases.
    pub runs: usize,
    /// Releases that completed by the finish time.
    pub complete: usize,
    /// Longest time with traffic on a new version after its fault was visible, in milliseconds.
    pub exposed: u64,
    /// Releases with traffic of more than 2 s after the fault was visible.
    pub late: usize,
    /// Releases in which the starts on the new version exceeded the cap.
    pub exceeded: usize,
}

impl Summary {
    /// Returns the combined figures of both summaries.
    pub fn plus(self, other: Self) -> Self {
        Self {
            runs: self.runs + other.runs,
            complete: self.complete + other.complete,
            exposed: self.exposed.max(other.exposed),
            late: self.late + other.late,
            exceeded: self.exceeded + other.exceeded,
        }
    }
}

/// Runs releases with the given seeds; bad ones take the kinds in turn.
pub fn series(scale: Scale, method: Method, bad: bool, seeds: std::ops::Range<u64>) -> Summary {
    seeds
        .map(|seed| {
            let outcome = run(scale, method, bad.then_some(seed as usize), seed);
            Summary {
                runs: 1,
                complete: usize::from(outcome.complete),
                exposed: outcome.exposed(),
                late: usize::from(outcome.exposed() > 2000),
                exceeded: usize::from(outcome.exceeded),
            }
        })
        .fold(Summary::default(), Summary::plus)
}

/// Runs 20 good and 20 bad versions for each user and method.
pub fn report() -> Box<str> {
    let mut text = String::from("release: completed good and bad versions, longest exposure\n");
    for (name, scale) in [("atlas", ATLAS), ("el-sherbiny", EL_SHERBINY)] {
        for method in [
            Method::Evidence,
            Method::FullWidth,
            Method::Timer,
            Method::Threshold,
        ] {
            let good = series(scale, method, false, 0..20);
            let bad = series(scale, method, true, 0..20);
            let _ = writeln!(
                text,
                "{name:12} {method:10?} good {}/{} bad {}/{} exposure {} ms",
                good.complete, good.runs, bad.complete, bad.runs, bad.exposed
            );
        }
    }
    text.into()
}
