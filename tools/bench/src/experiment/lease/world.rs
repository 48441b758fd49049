//! VMs, rows and messages of the experiment.

use super::{Disaster, Method, Setup, Tally};
use crate::agenda::Agenda;
use base::id;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::{Duration, Instant};
use steering::lease::{
    Answer, Expired, Held, Holder, Lease, Outcome, Permit, Requested, Row, Terms, Vacant,
};
use steering::membership::rendezvous;

/// Leases, spread over the VMs.
pub const LEASES: usize = 6;
const VMS: usize = 5;
const TICK: Duration = Duration::from_millis(200);
const RUN_TIME: Duration = Duration::from_secs(150);
const RESTART_AT: Duration = Duration::from_secs(60);
const STORE_OUTAGE: (Duration, Duration) = (Duration::from_secs(55), Duration::from_secs(90));
/// Largest deviation of a clock's speed, as a fraction; the margin allows for a quarter.
const MAX_CLOCK_DRIFT: f64 = 0.02;

/// Probability that a VM, at a tick, repeats an unanswered write instead of reading the row.
const REPEAT_PROBABILITY: f64 = 0.5;

enum State {
    Vacant(Lease<Vacant>),
    Requested(Lease<Requested>),
    Held(Lease<Held>),
    Expired(Lease<Expired>),
}

impl From<Outcome> for State {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Held(lease) => Self::Held(lease),
            Outcome::Vacant(lease) => Self::Vacant(lease),
            Outcome::Expired(lease) => Self::Expired(lease),
            Outcome::ReadBack(lease) => Self::Requested(lease),
        }
    }
}

struct Vm {
    holder: Holder,
    leases: Vec<State>,
    /// The process handles no messages until this time.
    paused_until: Instant,
    /// Messages to the store are lost until this time.
    cut_off_until: Instant,
    /// Speed of the VM's clock as a factor on true time.
    speed: f64,
}

enum Event {
    Tick(usize),
    /// A write on its way to the store.
    Write {
        vm: usize,
        incarnation: u64,
        lease: usize,
        permit: Permit,
        under_lease: bool,
    },
    Answer {
        vm: usize,
        incarnation: u64,
        lease: usize,
        operation: Box<str>,
        answer: Answer,
    },
    Read {
        vm: usize,
        incarnation: u64,
        lease: usize,
        row: Row,
    },
}

struct World {
    setup: Setup,
    rng: StdRng,
    start: Instant,
    agenda: Agenda<Event>,
    vms: Vec<Vm>,
    names: Vec<Box<str>>,
    rows: Vec<Row>,
    /// When a write of an earlier incarnation last took effect.
    last_stale_write: Instant,
    tally: Tally,
}

/// Runs the experiment.
pub(super) fn run(setup: Setup) -> Tally {
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(setup.seed);
    let names: Vec<Box<str>> = (0..VMS).map(|n| format!("vm-{n}").into()).collect();
    let vms = names
        .iter()
        .map(|name| Vm::new(name, start, &mut rng))
        .collect();
    let mut world = World {
        setup,
        rng,
        start,
        agenda: Agenda::new(start),
        vms,
        names,
        rows: vec![Row::default(); LEASES],
        last_stale_write: start,
        tally: Tally::default(),
    };
    for vm in 0..VMS {
        let at = TICK.mul_f64(world.rng.random());
        world.agenda.after(at, Event::Tick(vm));
    }
    let mut restarted = setup.disaster == Disaster::None;
    let recovery_start = match setup.disaster {
        Disaster::RestartWithoutStore => STORE_OUTAGE.1,
        _ => RESTART_AT,
    };
    let mut midway_counted = false;
    while let Some((now, event)) = world.agenda.take() {
        if now >= start + RUN_TIME {
            break;
        }
        if !restarted && now >= start + RESTART_AT {
            restarted = true;
            for vm in 0..VMS {
                world.vms[vm] = Vm::new(&world.names[vm], now, &mut world.rng);
            }
        }
        if !midway_counted && now >= start + recovery_start {
            midway_counted = true;
            world.tally.held_midway = world.held_leases(now);
        }
        world.handle(event, now);
        if midway_counted && world.tally.recovery.is_none() && world.held_leases(now) == LEASES {
            world.tally.recovery = Some(now - world.last_stale_write.max(start + recovery_start));
        }
    }
    world.tally.held = world.held_leases(start + RUN_TIME);
    world.tally
}

impl Vm {
    fn new(name: &str, now: Instant, rng: &mut StdRng) -> Self {
        let holder = Holder {
            vm: name.into(),
            incarnation: rng.random(),
        };
        let vacant = |_| State::Vacant(Lease::new(holder.clone(), Terms::default()));
        let leases = (0..LEASES).map(vacant).collect();
        let speed = 1.0 + MAX_CLOCK_DRIFT * (2.0 * rng.random::<f64>() - 1.0);
        Self {
            holder,
            leases,
            paused_until: now,
            cut_off_until: now,
            speed,
        }
    }
}

impl World {
    /// Returns the time on the VM's own clock.
    fn local_time(&self, vm: usize, now: Instant) -> Instant {
        self.start + (now - self.start).mul_f64(self.vms[vm].speed)
    }

    fn holds(&self, vm: usize, lease: usize, now: Instant) -> bool {
        let own = self.local_time(vm, now);
        matches!(&self.vms[vm].leases[lease], State::Held(held) if held.holds(own))
    }

    fn held_leases(&self, now: Instant) -> usize {
        (0..LEASES)
            .filter(|lease| (0..VMS).any(|vm| self.holds(vm, *lease, now)))
            .count()
    }

    fn reachable(&self, vm: usize, now: Instant) -> bool {
        let elapsed = now - self.start;
        let outage = self.setup.disaster == Disaster::RestartWithoutStore
            && (STORE_OUTAGE.0..STORE_OUTAGE.1).contains(&elapsed);
        !outage && now >= self.vms[vm].cut_off_until
    }

    fn delay(&mut self) -> Duration {
        // One message in twenty is late by up to 8 s, longer than a term and its margin.
        let late = if self.rng.random_bool(0.05) {
            8.0 * self.rng.random::<f64>()
        } else {
            0.0
        };
        Duration::from_secs_f64(0.005 + 0.02 * self.rng.random::<f64>() + late)
    }

    fn handle(&mut self, event: Event, now: Instant) {
        match event {
            Event::Write {
                vm,
                incarnation,
                lease,
                permit,
                under_lease,
            } => {
                self.apply_write(vm, incarnation, lease, &permit, under_lease, now);
            }
            // A paused process handles its messages when it resumes.
            Event::Tick(vm) | Event::Answer { vm, .. } | Event::Read { vm, .. }
                if now < self.vms[vm].paused_until =>
            {
                let until = self.vms[vm].paused_until;
                self.agenda.at(until, event);
            }
            Event::Tick(vm) => self.tick(vm, now),
            Event::Answer {
                vm,
                incarnation,
                lease,
                operation,
                answer,
            } => {
                self.transition(vm, incarnation, lease, now, |state, own| match state {
                    State::Requested(requested) => {
                        requested.answered(&operation, answer, own).into()
                    }
                    State::Held(held) => held.answered(&operation, answer, own).into(),
                    other => other,
                });
            }
            Event::Read {
                vm,
                incarnation,
                lease,
                row,
            } => {
                self.transition(vm, incarnation, lease, now, |state, own| match state {
                    State::Vacant(mut vacant) => {
                        vacant.observe(&row, own);
                        State::Vacant(vacant)
                    }
                    State::Requested(requested) => requested.read_back(&row, own).into(),
                    State::Held(held) if held.pending().is_some() => {
                        held.read_back(&row, own).into()
                    }
                    other => other,
                });
            }
        }
    }

    fn transition(
        &mut self,
        vm: usize,
        incarnation: u64,
        lease: usize,
        now: Instant,
        next: impl FnOnce(State, Instant) -> State,
    ) {
        if self.vms[vm].holder.incarnation != incarnation {
            return;
        }
        let own = self.local_time(vm, now);
        let fresh = State::Vacant(Lease::new(self.vms[vm].holder.clone(), Terms::default()));
        let state = std::mem::replace(&mut self.vms[vm].leases[lease], fresh);
        let was_held = matches!(state, State::Held(_));
        let state = next(state, own);
        self.tally.taken += u32::from(!was_held && matches!(state, State::Held(_)));
        self.vms[vm].leases[lease] = state;
    }

    /// Applies a write to its row.
    fn apply_write(
        &mut self,
        vm: usize,
        incarnation: u64,
        lease: usize,
        permit: &Permit,
        under_lease: bool,
        now: Instant,
    ) {
        if !self.reachable(vm, now) {
            return;
        }
        let row = &mut self.rows[lease];
        let blind = under_lease && self.setup.method == Method::Unfenced;
        let answer = if row.version == permit.expected || blind {
            if self.vms[vm].holder.incarnation != incarnation {
                self.last_stale_write = now;
            }
            // A row with another holder than the writer means that the lease had been taken over.
            let holder = Some(Holder {
                vm: self.names[vm].clone(),
                incarnation,
            });
            if under_lease {
                self.tally.writes += 1;
                self.tally.overlapping += u32::from(row.holder != holder);
            }
            *row = Row {
                version: row.version + 1,
                operation: permit.operation.clone(),
                holder,
            };
            Answer::Written(row.version)
        } else {
            Answer::Conflict
        };
        let lost = self.rng.random_bool(self.setup.loss);
        let answer = if lost { Answer::Lost } else { answer };
        let delay = self.delay();
        self.agenda.after(
            delay,
            Event::Answer {
                vm,
                incarnation,
                lease,
                operation: permit.operation.clone(),
                answer,
            },
        );
    }

    fn tick(&mut self, vm: usize, now: Instant) {
        self.agenda.after(TICK, Event::Tick(vm));
        if self
            .rng
            .random_bool(self.setup.faults * TICK.as_secs_f64() / 60.0)
        {
            let length = Duration::from_secs_f64(12.0 * self.rng.random::<f64>());
            match self.rng.random_range(0..3) {
                // The pause begins after the decisions below. Their writes are sent before it or
                // after it.
                0 => self.vms[vm].paused_until = now + length,
                1 => self.vms[vm].cut_off_until = now + length,
                _ => self.vms[vm] = Vm::new(&self.names[vm], now, &mut self.rng),
            }
        }
        for lease in 0..LEASES {
            self.decide(vm, lease, now);
        }
    }

    fn decide(&mut self, vm: usize, lease: usize, now: Instant) {
        let own = self.local_time(vm, now);
        let incarnation = self.vms[vm].holder.incarnation;
        let operation = id::random(&mut self.rng);
        let key = format!("lease/{lease}");
        let rank = rendezvous::rank(&key, &self.names[vm], &self.names);
        if self.holds(vm, lease, now) {
            let others = (0..VMS).filter(|other| *other != vm && self.holds(*other, lease, now));
            self.tally.double += u32::from(others.count() > 0);
        }
        let repeat = self.rng.random_bool(REPEAT_PROBABILITY);
        let mut sent = None;
        self.transition(vm, incarnation, lease, now, |state, own_now| match state {
            State::Vacant(vacant) => match vacant.request(rank, operation, own_now) {
                Ok((requested, permit)) => {
                    sent = Some((permit, false));
                    State::Requested(requested)
                }
                Err(vacant) => State::Vacant(vacant),
            },
            State::Held(mut held) => {
                let pending = held.pending().cloned();
                sent = match pending {
                    // Repeated because a late message would otherwise delay the renewal.
                    Some(permit) => repeat.then_some((permit, true)),
                    None => held.write(operation, own).ok().map(|permit| (permit, true)),
                };
                if held.holds(own) {
                    State::Held(held)
                } else {
                    State::Expired(held.expire())
                }
            }
            State::Expired(expired) => State::Vacant(expired.restart()),
            State::Requested(requested) => {
                sent = repeat.then(|| (requested.permit().clone(), false));
                State::Requested(requested)
            }
        });
        if let Some((permit, under_lease)) = sent {
            let resumed = self.vms[vm].paused_until.max(now);
            let sent_at = if self.rng.random_bool(0.5) {
                resumed
            } else {
                now
            };
            let arrives_at = sent_at + self.delay();
            self.agenda.at(
                arrives_at,
                Event::Write {
                    vm,
                    incarnation,
                    lease,
                    permit,
                    under_lease,
                },
            );
        } else if self.reachable(vm, now) && !self.rng.random_bool(self.setup.loss) {
            let (delay, row) = (self.delay(), self.rows[lease].clone());
            self.agenda.after(
                delay,
                Event::Read {
                    vm,
                    incarnation,
                    lease,
                    row,
                },
            );
        }
    }
}
