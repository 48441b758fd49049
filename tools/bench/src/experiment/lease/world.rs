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
const LENGTH: Duration = Duration::from_secs(150);
const RESTART: Duration = Duration::from_secs(60);
const OUTAGE: (Duration, Duration) = (Duration::from_secs(55), Duration::from_secs(90));
/// Time within which a clock may differ in speed, as a fraction; the margin allows a quarter.
const DRIFT: f64 = 0.02;

/// Probability that a VM repeats a write without an answer, instead of reading the row, at a tick.
const REPEAT: f64 = 0.5;

enum State {
    Vacant(Lease<Vacant>),
    Asked(Lease<Requested>),
    Held(Lease<Held>),
    Lapsed(Lease<Expired>),
}

impl From<Outcome> for State {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Held(lease) => Self::Held(lease),
            Outcome::Vacant(lease) => Self::Vacant(lease),
            Outcome::Expired(lease) => Self::Lapsed(lease),
            Outcome::ReadBack(lease) => Self::Asked(lease),
        }
    }
}

struct Machine {
    holder: Holder,
    leases: Vec<State>,
    /// Until when the process is stopped or cut off; messages wait or are lost.
    paused: Instant,
    cut: Instant,
    speed: f64,
}

enum Event {
    Tick(usize),
    /// A write on its way to the store.
    Write {
        vm: usize,
        run: u64,
        lease: usize,
        permit: Permit,
        acts: bool,
    },
    Answer {
        vm: usize,
        run: u64,
        lease: usize,
        operation: Box<str>,
        answer: Answer,
    },
    Read {
        vm: usize,
        run: u64,
        lease: usize,
        row: Row,
    },
}

struct World {
    setup: Setup,
    rng: StdRng,
    start: Instant,
    agenda: Agenda<Event>,
    machines: Vec<Machine>,
    names: Vec<Box<str>>,
    rows: Vec<Row>,
    /// When a write of a former run last took effect.
    disturbed: Instant,
    tally: Tally,
}

/// Runs the experiment.
pub(super) fn run(setup: Setup) -> Tally {
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(setup.seed);
    let names: Vec<Box<str>> = (0..VMS).map(|n| format!("vm-{n}").into()).collect();
    let machines = names
        .iter()
        .map(|name| Machine::new(name, start, &mut rng))
        .collect();
    let mut world = World {
        setup,
        rng,
        start,
        agenda: Agenda::new(start),
        machines,
        names,
        rows: vec![Row::default(); LEASES],
        disturbed: start,
        tally: Tally::default(),
    };
    for vm in 0..VMS {
        let at = TICK.mul_f64(world.rng.random());
        world.agenda.after(at, Event::Tick(vm));
    }
    let mut restarted = setup.disaster == Disaster::None;
    let back = match setup.disaster {
        Disaster::RestartWithoutStore => OUTAGE.1,
        _ => RESTART,
    };
    let mut measured = false;
    while let Some((now, event)) = world.agenda.take() {
        if now >= start + LENGTH {
            break;
        }
        if !restarted && now >= start + RESTART {
            restarted = true;
            for vm in 0..VMS {
                world.machines[vm] = Machine::new(&world.names[vm], now, &mut world.rng);
            }
        }
        if !measured && now >= start + back {
            measured = true;
            world.tally.held_midway = world.held(now);
        }
        world.handle(event, now);
        if measured && world.tally.recovery.is_none() && world.held(now) == LEASES {
            world.tally.recovery = Some(now - world.disturbed.max(start + back));
        }
    }
    world.tally.held = world.held(start + LENGTH);
    world.tally
}

impl Machine {
    fn new(name: &str, now: Instant, rng: &mut StdRng) -> Self {
        let holder = Holder {
            vm: name.into(),
            incarnation: rng.random(),
        };
        let vacant = |_| State::Vacant(Lease::new(holder.clone(), Terms::default()));
        let leases = (0..LEASES).map(vacant).collect();
        let speed = 1.0 + DRIFT * (2.0 * rng.random::<f64>() - 1.0);
        Self {
            holder,
            leases,
            paused: now,
            cut: now,
            speed,
        }
    }
}

impl World {
    /// Returns the time on the VM's own clock.
    fn clock(&self, vm: usize, now: Instant) -> Instant {
        self.start + (now - self.start).mul_f64(self.machines[vm].speed)
    }

    fn holds(&self, vm: usize, lease: usize, now: Instant) -> bool {
        let own = self.clock(vm, now);
        matches!(&self.machines[vm].leases[lease], State::Held(held) if held.holds(own))
    }

    fn held(&self, now: Instant) -> usize {
        (0..LEASES)
            .filter(|lease| (0..VMS).any(|vm| self.holds(vm, *lease, now)))
            .count()
    }

    fn reachable(&self, vm: usize, now: Instant) -> bool {
        let elapsed = now - self.start;
        let outage = self.setup.disaster == Disaster::RestartWithoutStore
            && (OUTAGE.0..OUTAGE.1).contains(&elapsed);
        !outage && now >= self.machines[vm].cut
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
                run,
                lease,
                permit,
                acts,
            } => {
                self.store(vm, run, lease, &permit, acts, now);
            }
            // A paused process handles its messages when it goes on.
            Event::Tick(vm) | Event::Answer { vm, .. } | Event::Read { vm, .. }
                if now < self.machines[vm].paused =>
            {
                let until = self.machines[vm].paused;
                self.agenda.at(until, event);
            }
            Event::Tick(vm) => self.tick(vm, now),
            Event::Answer {
                vm,
                run,
                lease,
                operation,
                answer,
            } => {
                self.step(vm, run, lease, now, |state, own| match state {
                    State::Asked(asked) => asked.answered(&operation, answer, own).into(),
                    State::Held(held) => held.answered(&operation, answer, own).into(),
                    other => other,
                });
            }
            Event::Read {
                vm,
                run,
                lease,
                row,
            } => {
                self.step(vm, run, lease, now, |state, own| match state {
                    State::Vacant(mut vacant) => {
                        vacant.observe(&row, own);
                        State::Vacant(vacant)
                    }
                    State::Asked(asked) => asked.read_back(&row, own).into(),
                    State::Held(held) if held.pending().is_some() => {
                        held.read_back(&row, own).into()
                    }
                    other => other,
                });
            }
        }
    }

    fn step(
        &mut self,
        vm: usize,
        run: u64,
        lease: usize,
        now: Instant,
        next: impl FnOnce(State, Instant) -> State,
    ) {
        if self.machines[vm].holder.incarnation != run {
            return;
        }
        let own = self.clock(vm, now);
        let fresh = State::Vacant(Lease::new(
            self.machines[vm].holder.clone(),
            Terms::default(),
        ));
        let state = std::mem::replace(&mut self.machines[vm].leases[lease], fresh);
        let was = matches!(state, State::Held(_));
        let state = next(state, own);
        self.tally.taken += u32::from(!was && matches!(state, State::Held(_)));
        self.machines[vm].leases[lease] = state;
    }

    /// Applies a write to its row.
    fn store(
        &mut self,
        vm: usize,
        run: u64,
        lease: usize,
        permit: &Permit,
        acts: bool,
        now: Instant,
    ) {
        if !self.reachable(vm, now) {
            return;
        }
        let row = &mut self.rows[lease];
        let blind = acts && self.setup.method == Method::Unfenced;
        let answer = if row.version == permit.expected || blind {
            if self.machines[vm].holder.incarnation != run {
                self.disturbed = now;
            }
            // The write carries the holder; one of another run means that the lease had moved on.
            let holder = Some(Holder {
                vm: self.names[vm].clone(),
                incarnation: run,
            });
            if acts {
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
                run,
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
                // The pause begins after the decisions below, and before or after the writes are
                // sent.
                0 => self.machines[vm].paused = now + length,
                1 => self.machines[vm].cut = now + length,
                _ => self.machines[vm] = Machine::new(&self.names[vm], now, &mut self.rng),
            }
        }
        for lease in 0..LEASES {
            self.decide(vm, lease, now);
        }
    }

    fn decide(&mut self, vm: usize, lease: usize, now: Instant) {
        let own = self.clock(vm, now);
        let run = self.machines[vm].holder.incarnation;
        let operation = id::random(&mut self.rng);
        let key = format!("lease/{lease}");
        let rank = rendezvous::rank(&key, &self.names[vm], &self.names);
        if self.holds(vm, lease, now) {
            let others = (0..VMS).filter(|other| *other != vm && self.holds(*other, lease, now));
            self.tally.double += u32::from(others.count() > 0);
        }
        let repeat = self.rng.random_bool(REPEAT);
        let mut sent = None;
        self.step(vm, run, lease, now, |state, own_now| match state {
            State::Vacant(vacant) => match vacant.request(rank, operation, own_now) {
                Ok((asked, permit)) => {
                    sent = Some((permit, false));
                    State::Asked(asked)
                }
                Err(vacant) => State::Vacant(vacant),
            },
            State::Held(mut held) => {
                let pending = held.pending().cloned();
                sent = match pending {
                    // Late messages would otherwise hold up the renewal.
                    Some(permit) => repeat.then_some((permit, true)),
                    None => held.write(operation, own).ok().map(|permit| (permit, true)),
                };
                if held.holds(own) {
                    State::Held(held)
                } else {
                    State::Lapsed(held.expire())
                }
            }
            State::Lapsed(lapsed) => State::Vacant(lapsed.restart()),
            State::Asked(asked) => {
                sent = repeat.then(|| (asked.permit().clone(), false));
                State::Asked(asked)
            }
        });
        if let Some((permit, acts)) = sent {
            let resumed = self.machines[vm].paused.max(now);
            let leaves = if self.rng.random_bool(0.5) {
                resumed
            } else {
                now
            };
            let arrives = leaves + self.delay();
            self.agenda.at(
                arrives,
                Event::Write {
                    vm,
                    run,
                    lease,
                    permit,
                    acts,
                },
            );
        } else if self.reachable(vm, now) && !self.rng.random_bool(self.setup.loss) {
            let (delay, row) = (self.delay(), self.rows[lease].clone());
            self.agenda.after(
                delay,
                Event::Read {
                    vm,
                    run,
                    lease,
                    row,
                },
            );
        }
    }
}
