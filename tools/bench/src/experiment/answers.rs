//! At-most-once execution under crashes, resends and lost answers.

mod event;

pub use event::{Crash, Point};

use crate::agenda::{Agenda, Network};
use event::{Event, crash_point};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::{Duration, Instant};
use steering::attempt::{Attempt, Outcome, Refusal, Uncertainty};
use steering::claims::table::{Answer, Batch, Row, Verdict, Write, locate};
use steering::claims::{Claim, Register, Settings, prefix};

/// How entry VMs treat request ids.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Method {
    /// Baseline: every send is executed, as with plain retries.
    Plain,
    /// An id names the VM incarnation to which it is first sent.
    Named,
    /// Ids name no VM; claims are stored as rows of a table.
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
    /// Runs in which the caller was answered "not run" although the request was executed.
    pub false_not_run: u32,
    /// Runs in which a send was answered "served".
    pub served: u32,
    /// Runs in which a send was answered that the named VM is unreachable.
    pub unreachable: u32,
    /// Runs in which a send was answered that the outcome is lost, as after the id's expiry.
    pub outcome_lost: u32,
    /// Runs that reached the configured crash point.
    pub crashed: u32,
}

const VMS: usize = 2;
const SENDS: u32 = 5;
const WORKSPACE: &str = "atlas";
/// Expiry of ids that name a VM. Simulated milliseconds stand for seconds; the last sends come
/// after the expiry.
const ID_EXPIRY_MS: u64 = 150;
/// Expiry of table claims. It is later than the end of a run, since a request may run again once
/// its claim has expired.
const CLAIM_EXPIRY_MS: u64 = 900;
/// Time after which an entry VM that gives up early stops waiting for another VM.
const QUERY_TIMEOUT: Duration = Duration::from_millis(10);
/// Longest pause between two sends of the caller.
const MAX_RESEND_PAUSE: Duration = Duration::from_millis(60);
/// Time that an entry VM waits for the table before it reads the row back.
const TABLE_TIMEOUT: Duration = Duration::from_millis(25);

struct Vm {
    incarnation: u64,
    register: Register,
    batch: Batch,
    /// Send whose claim waits for the table.
    claiming_send: u32,
}

struct Simulation {
    agenda: Agenda<Event>,
    rng: StdRng,
    method: Method,
    vms: Vec<Vm>,
    id: Box<str>,
    row: (Row, u64),
    writes: u32,
    executions: u32,
    /// Send that the caller waits for; it closed the connections of earlier sends.
    current_send: u32,
    not_run: bool,
    served: bool,
    unreachable: bool,
    outcome_lost: bool,
    crash: Crash,
    crashed: bool,
    start: Instant,
    /// Simulated time; milliseconds stand for seconds.
    now_ms: u64,
}

fn new_vm(index: usize, incarnation: u64) -> Vm {
    let register = Register::new(
        vm_name(index),
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
        claiming_send: 0,
    }
}

fn vm_name(index: usize) -> Box<str> {
    format!("vm-{index}").into()
}

impl Simulation {
    fn new(method: Method, crash: Crash, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let start = Instant::now();
        let mut agenda = Agenda::new(start);
        let id = match method {
            Method::Table => "caller-made-id".into(),
            _ => format!("{}r", prefix("vm-0", 1, ID_EXPIRY_MS)).into(),
        };
        let mut at = Duration::ZERO;
        for send in 0..SENDS {
            agenda.after(at, Event::Send(send));
            at += MAX_RESEND_PAUSE.mul_f64(rng.random());
        }
        let random = if crash == Crash::Random { 2 } else { 0 };
        for _ in 0..random {
            let when = (MAX_RESEND_PAUSE * SENDS).mul_f64(rng.random());
            agenda.after(when, Event::Crash(rng.random_range(0..VMS)));
        }
        Self {
            agenda,
            rng,
            method,
            vms: (0..VMS).map(|index| new_vm(index, 1)).collect(),
            id,
            row: (Row::default(), 0),
            writes: 0,
            executions: 0,
            current_send: 0,
            not_run: false,
            served: false,
            unreachable: false,
            outcome_lost: false,
            crash,
            crashed: false,
            start,
            now_ms: 0,
        }
    }

    /// Applies one event, and the crash configured before or after it.
    fn run_event(&mut self, at: Instant, event: Event) {
        self.now_ms = u64::try_from((at - self.start).as_millis()).unwrap_or(u64::MAX);
        let crash_target = |crash: &Crash| match (*crash, crash_point(&event)) {
            (Crash::Before(at, 0) | Crash::After(at, 0), Some((here, vm))) if at == here => {
                Some(vm)
            }
            _ => None,
        };
        let vm = crash_target(&self.crash);
        match (&mut self.crash, crash_point(&event)) {
            (Crash::Before(at, left) | Crash::After(at, left), Some((here, _))) if *at == here => {
                *left = left.checked_sub(1).unwrap_or(u32::MAX);
            }
            _ => {}
        }
        self.crashed |= vm.is_some();
        let before = matches!(self.crash, Crash::Before(..));
        if let Some(vm) = vm.filter(|_| before) {
            self.apply_event(Event::Crash(vm));
        }
        self.apply_event(event);
        if let Some(vm) = vm.filter(|_| !before) {
            self.apply_event(Event::Crash(vm));
        }
    }

    /// Schedules an event by the simulated network, which may delay, lose or duplicate it.
    fn deliver(&mut self, event: &Event) {
        for delay in network().deliveries(&mut self.rng) {
            self.agenda.after(delay, event.clone());
        }
    }

    /// Sends or resends the request, unless the caller was answered "not run".
    fn send(&mut self, send: u32) {
        if self.not_run {
            return;
        }
        self.current_send = send;
        let to = if send == 0 {
            0
        } else {
            self.rng.random_range(0..VMS)
        };
        self.deliver(&Event::Arrive(to, send));
    }

    /// Records an outcome if the caller still waits for this send.
    fn record_outcome(&mut self, send: u32, outcome: &Outcome) {
        if send != self.current_send {
            return;
        }
        self.not_run |= matches!(outcome, Outcome::NotRun(_));
        self.unreachable |= *outcome == Outcome::Unknown(Uncertainty::VmUnreachable);
        self.outcome_lost |= *outcome == Outcome::Unknown(Uncertainty::OutcomeLost);
        self.served |= matches!(outcome, Outcome::Served | Outcome::ServedBefore);
    }

    /// Queues the request at an entry VM; it is handed to a backend server after a random wait.
    fn enqueue(&mut self, vm: usize, send: u32) {
        let wait = Duration::from_millis(self.rng.random_range(0..20));
        self.agenda
            .after(wait, Event::Handoff(vm, self.vms[vm].incarnation, send));
    }

    /// Claims another id once the request's id has expired, so that the register drops the latter.
    fn drop_expired(&self, vm: usize) {
        if self.now_ms >= ID_EXPIRY_MS {
            let other = prefix(&vm_name(vm), self.vms[vm].incarnation, self.now_ms + 1);
            let register = &self.vms[vm].register;
            register.claim(WORKSPACE, &format!("{other}o"), |_| None, self.now_ms);
        }
    }

    fn arrive(&mut self, vm: usize, send: u32) {
        self.drop_expired(vm);
        let incarnations: Vec<u64> = self.vms.iter().map(|vm| vm.incarnation).collect();
        let index = |name: &str| name.strip_prefix("vm-")?.parse::<usize>().ok();
        let incarnation_of =
            |name: &str| index(name).and_then(|index| incarnations.get(index).copied());
        let claim = match self.method {
            Method::Plain => Claim::Run,
            _ => self.vms[vm]
                .register
                .claim(WORKSPACE, &self.id, incarnation_of, self.now_ms),
        };
        match claim {
            Claim::Run => self.enqueue(vm, send),
            Claim::Known(outcome) => self.record_outcome(send, &outcome),
            Claim::Query(other) => {
                let other = index(&other).unwrap_or_default();
                self.deliver(&Event::Settle(other, incarnations[other], send));
                // The VM sometimes gives up early; its query may arrive nevertheless.
                if self.rng.random_ratio(1, 5) {
                    self.agenda.after(QUERY_TIMEOUT, Event::Unreachable(send));
                }
            }
            Claim::Table => {
                let (_, digest) = locate(WORKSPACE, &self.id);
                match self.vms[vm].batch.add(digest, CLAIM_EXPIRY_MS, send > 0) {
                    Some(outcome) => self.record_outcome(send, &outcome),
                    None => {
                        self.vms[vm].claiming_send = send;
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
        self.apply_verdicts(vm, verdicts);
        if let Some(write) = write {
            self.send_write(vm, write);
        }
    }

    fn send_write(&mut self, vm: usize, write: Write) {
        let incarnation = self.vms[vm].incarnation;
        self.deliver(&Event::Store(vm, incarnation, write));
        self.agenda
            .after(TABLE_TIMEOUT, Event::ReadBack(vm, incarnation));
    }

    fn apply_verdicts(&mut self, vm: usize, verdicts: Vec<(Box<str>, Verdict)>) {
        let send = self.vms[vm].claiming_send;
        for (_, verdict) in verdicts {
            match verdict {
                Verdict::Run => self.enqueue(vm, send),
                Verdict::Known(outcome) => self.record_outcome(send, &outcome),
            }
        }
    }

    fn apply_event(&mut self, event: Event) {
        let alive = |vm: usize, incarnation| self.vms[vm].incarnation == incarnation;
        match event {
            Event::Send(send) => self.send(send),
            Event::Arrive(vm, send) => self.arrive(vm, send),
            Event::Settle(vm, incarnation, send) if alive(vm, incarnation) => {
                self.drop_expired(vm);
                let outcome = self.vms[vm]
                    .register
                    .settle(WORKSPACE, &self.id, self.now_ms);
                self.record_outcome(send, &outcome);
            }
            Event::Unreachable(send) => {
                self.record_outcome(send, &Outcome::Unknown(Uncertainty::VmUnreachable));
            }
            Event::Handoff(vm, incarnation, send) if alive(vm, incarnation) => {
                // One in five finds no backend server, so that true refusals occur as well.
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
                self.vms[index] = new_vm(index, self.vms[index].incarnation + 1);
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
                self.apply_verdicts(vm, verdicts);
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
        let (retry, verdicts) = self.vms[vm].batch.settle(&row, version);
        self.apply_verdicts(vm, verdicts);
        match retry {
            Some(_) if self.rng.random_ratio(1, 3) => {
                let verdicts = self.vms[vm].batch.abandon();
                self.apply_verdicts(vm, verdicts);
            }
            Some(write) => self.send_write(vm, write),
            None => self.write(vm),
        }
    }

    fn finish(&mut self, vm: usize, send: u32, outcome: &Outcome) {
        self.vms[vm].register.finish(WORKSPACE, &self.id, outcome);
        self.record_outcome(send, outcome);
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

/// Simulates `runs` requests with consecutive seeds from `seed`.
pub fn run(method: Method, crash: Crash, runs: u32, seed: u64) -> Tally {
    let mut tally = Tally::default();
    for offset in 0..runs {
        let mut simulation = Simulation::new(method, crash, seed + u64::from(offset));
        while let Some((at, event)) = simulation.agenda.take() {
            simulation.run_event(at, event);
        }
        tally.runs += 1;
        tally.executed += u32::from(simulation.executions > 0);
        tally.doubled += u32::from(simulation.executions > 1);
        tally.false_not_run += u32::from(simulation.not_run && simulation.executions > 0);
        tally.served += u32::from(simulation.served);
        tally.unreachable += u32::from(simulation.unreachable);
        tally.crashed += u32::from(simulation.crashed);
        tally.outcome_lost += u32::from(simulation.outcome_lost);
    }
    tally
}

/// Returns a table of the results of all methods.
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
