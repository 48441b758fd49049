//! At-most-once execution under crashes, resends and lost answers.

mod event;

pub use event::{Crash, Point};

use crate::agenda::{Agenda, Network};
use event::{Event, point};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::{Duration, Instant};
use steering::attempt::{Attempt, Outcome, Refusal, Uncertainty};
use steering::claims::table::{Answer, Batch, Row, Verdict, Write, locate};
use steering::claims::{Claim, Register, Settings, prefix};

/// How the entries treat request ids.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Method {
    /// Baseline: each send runs, as with a plain retry.
    Plain,
    /// Ids name the VM incarnation where they are first sent.
    Named,
    /// Ids name no VM; claims are rows of the table.
    Table,
}

/// Counts over all runs of one method.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// Runs, each of one request with its resends.
    pub runs: u32,
    /// Runs in which the request was executed.
    pub executed: u32,
    /// Runs in which it was executed more than once.
    pub doubled: u32,
    /// Runs in which a caller was told "not run" and the request was executed.
    pub false_not_run: u32,
    /// Runs in which some caller's send was answered "served".
    pub served: u32,
    /// Runs in which some send was told that the named VM can't be reached.
    pub unreachable: u32,
    /// Runs in which some send was told that the outcome is lost, as after the expiry.
    pub outcome_lost: u32,
    /// Runs that reached the crash around a step.
    pub crashed: u32,
}

const VMS: usize = 2;
const SENDS: u32 = 5;
const WORKSPACE: &str = "atlas";
/// Expiry of ids that name a VM, in milliseconds of simulated time, which stand for seconds; the
/// last sends come later.
const EXPIRES: u64 = 150;
/// Expiry of table claims, which outlive the run: an id that is older may run again.
const TABLE_EXPIRES: u64 = 900;
/// Wait of an entry for another VM, when it is short.
const ASK_WAIT: Duration = Duration::from_millis(10);
/// Longest pause between two sends of the caller.
const PAUSE: Duration = Duration::from_millis(60);
/// Wait of an entry for the table before it reads the row back.
const TABLE_WAIT: Duration = Duration::from_millis(25);

struct Vm {
    incarnation: u64,
    register: Register,
    batch: Batch,
    /// Send of the caller whose claim waits for the table.
    claiming: u32,
}

struct World {
    agenda: Agenda<Event>,
    rng: StdRng,
    method: Method,
    vms: Vec<Vm>,
    id: Box<str>,
    row: (Row, u64),
    writes: u32,
    executions: u32,
    /// The send that the caller waits for; it closed the connections of earlier ones.
    current: u32,
    not_run: bool,
    served: bool,
    unreachable: bool,
    outcome_lost: bool,
    crash: Crash,
    crashed: bool,
    start: Instant,
    /// Simulated milliseconds, which stand for seconds.
    now: u64,
}

fn vm(index: usize, incarnation: u64) -> Vm {
    let register = Register::new(
        name(index),
        incarnation,
        Settings {
            shards: 1,
            per_shard: 1,
            ..Settings::default()
        },
    );
    Vm {
        incarnation,
        register,
        batch: Batch::default(),
        claiming: 0,
    }
}

fn name(index: usize) -> Box<str> {
    format!("vm-{index}").into()
}

impl World {
    fn new(method: Method, crash: Crash, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let start = Instant::now();
        let mut agenda = Agenda::new(start);
        let id = match method {
            Method::Table => "caller-made-id".into(),
            _ => format!("{}r", prefix("vm-0", 1, EXPIRES)).into(),
        };
        let mut at = Duration::ZERO;
        for send in 0..SENDS {
            agenda.after(at, Event::Send(send));
            at += PAUSE.mul_f64(rng.random());
        }
        let random = if crash == Crash::Random { 2 } else { 0 };
        for _ in 0..random {
            let when = (PAUSE * SENDS).mul_f64(rng.random());
            agenda.after(when, Event::Crash(rng.random_range(0..VMS)));
        }
        Self {
            agenda,
            rng,
            method,
            vms: (0..VMS).map(|index| vm(index, 1)).collect(),
            id,
            row: (Row::default(), 0),
            writes: 0,
            executions: 0,
            current: 0,
            not_run: false,
            served: false,
            unreachable: false,
            outcome_lost: false,
            crash,
            crashed: false,
            start,
            now: 0,
        }
    }

    /// Lets one event happen, with the crash that is due around it.
    fn happen(&mut self, at: Instant, event: Event) {
        self.now = u64::try_from((at - self.start).as_millis()).unwrap_or(u64::MAX);
        let due = |crash: &Crash| match (*crash, point(&event)) {
            (Crash::Before(at, 0) | Crash::After(at, 0), Some((here, vm))) if at == here => {
                Some(vm)
            }
            _ => None,
        };
        let vm = due(&self.crash);
        match (&mut self.crash, point(&event)) {
            (Crash::Before(at, left) | Crash::After(at, left), Some((here, _))) if *at == here => {
                *left = left.checked_sub(1).unwrap_or(u32::MAX);
            }
            _ => {}
        }
        self.crashed |= vm.is_some();
        let before = matches!(self.crash, Crash::Before(..));
        if let Some(vm) = vm.filter(|_| before) {
            self.step(Event::Crash(vm));
        }
        self.step(event);
        if let Some(vm) = vm.filter(|_| !before) {
            self.step(Event::Crash(vm));
        }
    }

    fn deliver(&mut self, event: &Event) {
        for delay in network().deliveries(&mut self.rng) {
            self.agenda.after(delay, event.clone());
        }
    }

    /// The caller sends (again), unless it was told "not run".
    fn send(&mut self, send: u32) {
        if self.not_run {
            return;
        }
        self.current = send;
        let to = if send == 0 {
            0
        } else {
            self.rng.random_range(0..VMS)
        };
        self.deliver(&Event::Arrive(to, send));
    }

    fn told(&mut self, send: u32, outcome: &Outcome) {
        if send != self.current {
            return;
        }
        self.not_run |= matches!(outcome, Outcome::NotRun(_));
        self.unreachable |= *outcome == Outcome::Unknown(Uncertainty::VmUnreachable);
        self.outcome_lost |= *outcome == Outcome::Unknown(Uncertainty::OutcomeLost);
        self.served |= matches!(outcome, Outcome::Served | Outcome::ServedBefore);
    }

    /// The request waits in the queue of the entry, then goes to a backend server.
    fn run_at(&mut self, vm: usize, send: u32) {
        let wait = Duration::from_millis(self.rng.random_range(0..20));
        self.agenda
            .after(wait, Event::Handoff(vm, self.vms[vm].incarnation, send));
    }

    /// Claims another id once the request's id has expired, which makes the register drop it.
    fn drop_expired(&self, vm: usize) {
        if self.now >= EXPIRES {
            let other = prefix(&name(vm), self.vms[vm].incarnation, self.now + 1);
            let register = &self.vms[vm].register;
            register.claim(WORKSPACE, &format!("{other}o"), |_| None, self.now);
        }
    }

    fn arrive(&mut self, vm: usize, send: u32) {
        self.drop_expired(vm);
        let live: Vec<u64> = self.vms.iter().map(|vm| vm.incarnation).collect();
        let index = |name: &str| name.strip_prefix("vm-")?.parse::<usize>().ok();
        let live_of = |name: &str| index(name).and_then(|index| live.get(index).copied());
        let claim = match self.method {
            Method::Plain => Claim::Run,
            _ => self.vms[vm]
                .register
                .claim(WORKSPACE, &self.id, live_of, self.now),
        };
        match claim {
            Claim::Run => self.run_at(vm, send),
            Claim::Known(outcome) => self.told(send, &outcome),
            Claim::Query(other) => {
                let other = index(&other).unwrap_or_default();
                self.deliver(&Event::Settle(other, live[other], send));
                // The asking VM gives up early at times; the question may arrive all the same.
                if self.rng.random_ratio(1, 5) {
                    self.agenda.after(ASK_WAIT, Event::Unreachable(send));
                }
            }
            Claim::Table => {
                let (_, digest) = locate(WORKSPACE, &self.id);
                match self.vms[vm].batch.add(digest, TABLE_EXPIRES, send > 0) {
                    Some(outcome) => self.told(send, &outcome),
                    None => {
                        self.vms[vm].claiming = send;
                        self.write(vm);
                    }
                }
            }
        }
    }

    fn write(&mut self, vm: usize) {
        self.writes += 1;
        let operation = format!("op-{}", self.writes).into();
        let (row, version) = self.row.clone();
        let (write, verdicts) = self.vms[vm].batch.start(row, version, operation, 0);
        self.decide(vm, verdicts);
        if let Some(write) = write {
            self.send_write(vm, write);
        }
    }

    fn send_write(&mut self, vm: usize, write: Write) {
        let incarnation = self.vms[vm].incarnation;
        self.deliver(&Event::Store(vm, incarnation, write));
        self.agenda
            .after(TABLE_WAIT, Event::ReadBack(vm, incarnation));
    }

    fn decide(&mut self, vm: usize, verdicts: Vec<(Box<str>, Verdict)>) {
        let send = self.vms[vm].claiming;
        for (_, verdict) in verdicts {
            match verdict {
                Verdict::Run => self.run_at(vm, send),
                Verdict::Known(outcome) => self.told(send, &outcome),
            }
        }
    }

    fn step(&mut self, event: Event) {
        let alive = |vm: usize, incarnation| self.vms[vm].incarnation == incarnation;
        match event {
            Event::Send(send) => self.send(send),
            Event::Arrive(vm, send) => self.arrive(vm, send),
            Event::Settle(vm, incarnation, send) if alive(vm, incarnation) => {
                self.drop_expired(vm);
                let outcome = self.vms[vm].register.settle(WORKSPACE, &self.id, self.now);
                self.told(send, &outcome);
            }
            Event::Unreachable(send) => {
                self.told(send, &Outcome::Unknown(Uncertainty::VmUnreachable));
            }
            Event::Handoff(vm, incarnation, send) if alive(vm, incarnation) => {
                // One in five finds no backend server, so that true refusals occur too.
                if self.rng.random_ratio(1, 5) {
                    let outcome = Attempt::new(false).refuse(Refusal::NoServer);
                    self.finish(vm, send, &outcome);
                } else {
                    let delay = Duration::from_millis(self.rng.random_range(1..30));
                    self.agenda
                        .after(delay, Event::Execute(vm, incarnation, send));
                }
            }
            Event::Execute(vm, incarnation, send) => {
                self.executions += 1;
                self.deliver(&Event::Answered(vm, incarnation, send));
            }
            Event::Answered(vm, incarnation, send) if alive(vm, incarnation) => {
                self.finish(vm, send, &Attempt::new(false).send().served());
            }
            Event::Crash(index) => {
                self.vms[index] = vm(index, self.vms[index].incarnation + 1);
            }
            Event::Store(vm, incarnation, write) => {
                let operation = write.operation.clone();
                let answer = if write.expected == self.row.1 {
                    self.row = (write.row, write.expected + 1);
                    Answer::Written
                } else {
                    Answer::Conflict
                };
                self.deliver(&Event::Written(vm, incarnation, operation, answer));
            }
            Event::Written(vm, incarnation, operation, answer) if alive(vm, incarnation) => {
                let verdicts = self.vms[vm].batch.answered(&operation, &answer);
                self.decide(vm, verdicts);
                if answer == Answer::Conflict {
                    self.read_back(vm);
                }
            }
            Event::ReadBack(vm, incarnation) if alive(vm, incarnation) => self.read_back(vm),
            _ => {}
        }
    }

    fn read_back(&mut self, vm: usize) {
        let (row, version) = self.row.clone();
        let (again, verdicts) = self.vms[vm].batch.settle(&row, version);
        self.decide(vm, verdicts);
        match again {
            Some(_) if self.rng.random_ratio(1, 3) => {
                let verdicts = self.vms[vm].batch.abandon();
                self.decide(vm, verdicts);
            }
            Some(write) => self.send_write(vm, write),
            None => self.write(vm),
        }
    }

    fn finish(&mut self, vm: usize, send: u32, outcome: &Outcome) {
        self.vms[vm].register.finish(WORKSPACE, &self.id, outcome);
        self.told(send, outcome);
    }
}

fn network() -> Network {
    Network {
        delay: Duration::from_millis(1),
        jitter: Duration::from_millis(40),
        loss: 0.1,
        duplication: 0.1,
    }
}

/// Runs `runs` requests, each with its own seed from `seed` on.
pub fn run(method: Method, crash: Crash, runs: u32, seed: u64) -> Tally {
    let mut tally = Tally::default();
    for offset in 0..runs {
        let mut world = World::new(method, crash, seed + u64::from(offset));
        while let Some((at, event)) = world.agenda.take() {
            world.happen(at, event);
        }
        tally.runs += 1;
        tally.executed += u32::from(world.executions > 0);
        tally.doubled += u32::from(world.executions > 1);
        tally.false_not_run += u32::from(world.not_run && world.executions > 0);
        tally.served += u32::from(world.served);
        tally.unreachable += u32::from(world.unreachable);
        tally.crashed += u32::from(world.crashed);
        tally.outcome_lost += u32::from(world.outcome_lost);
    }
    tally
}

/// Returns the table of all methods.
pub fn report() -> Box<str> {
    let mut text = String::from("method runs executed doubled false-not-run served\n");
    for method in [Method::Plain, Method::Named, Method::Table] {
        let t = run(method, Crash::Random, 5_000, 1);
        text += &format!(
            "{method:?} {} {} {} {} {}\n",
            t.runs, t.executed, t.doubled, t.false_not_run, t.served
        );
    }
    text.into()
}
