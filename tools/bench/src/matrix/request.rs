//! A non-idempotent request, sent again by its caller after each outcome but `served`.

use super::{Fault, Injection, require};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::time::{Duration, Instant};
use steering::attempt::{Attempt, Failure, Outcome, Refusal, Step, Uncertainty};
use steering::claims::{self, Claim, Register};
use steering::keys::{Digest, Key, Pepper, Ring, Withdrawn};
use steering::limits::{Allocation, Holder, Identity, Settings, TOKEN};

pub const STEPS: [&str; 5] = ["receive", "admit", "send", "run", "answer"];

const WORKSPACE: &str = "toubkal";
/// Wall-clock seconds of the run.
const NOW: u64 = 1_000;
const EXPIRES: u64 = NOW + 600;
const INCARNATION: u64 = 1;

pub fn excludes(fault: Fault) -> Option<&'static str> {
    match fault {
        Fault::OperatorRace => Some("a request changes nothing that operators change"),
        _ => None,
    }
}

/// Setting of one request at the VM that its id names.
struct World {
    ring: Ring,
    withdrawn: Withdrawn,
    digest: Digest,
    register: Register,
    incarnation: u64,
    holder: Holder,
    now: Instant,
    /// Times that a backend server ran the request.
    runs: u32,
}

pub fn run(injection: &Injection) -> Result<(), Box<str>> {
    let mut world = World::new();
    let id = format!("{}1", claims::prefix("a1", INCARNATION, EXPIRES));
    let first = world.attempt(&id, injection);
    if let Some(outcome) = &first {
        world.check(outcome)?;
    }
    let withdrawn_early = injection.step <= 2 && injection.faults.contains(&Fault::KeyWithdrawn);
    require(
        !withdrawn_early || world.runs == 0,
        "a withdrawn key runs no request",
    )?;
    if first != Some(Outcome::Served) {
        world.resend(&id, injection)?;
    }
    require(
        world.runs <= 1,
        "a non-idempotent request runs at most once",
    )
}

impl World {
    fn new() -> Self {
        let now = Instant::now();
        let key = Key::generate(&mut StdRng::seed_from_u64(1));
        let digest = key.digest(&Pepper::derive("fault-matrix"));
        let mut ring = Ring::default();
        ring.issue(WORKSPACE, digest);
        let identity = Identity {
            workspace: WORKSPACE.into(),
            vm: "a1".into(),
            incarnation: INCARNATION,
        };
        let mut holder = Holder::new(Settings::default(), identity, now);
        holder.set_floor(Allocation::tokens(10, 10), 1, now);
        Self {
            ring,
            withdrawn: Withdrawn::default(),
            digest,
            register: Register::new("a1".into(), INCARNATION, claims::Settings::default()),
            incarnation: INCARNATION,
            holder,
            now: now + Duration::from_secs(10),
            runs: 0,
        }
    }

    fn authorised(&self) -> bool {
        self.ring
            .authorise(&self.digest, &self.withdrawn, NOW * 1_000)
            .is_ok()
    }

    /// Applies the faults before a step; returns whether the entry died.
    fn inject(&mut self, step: usize, injection: &Injection) -> bool {
        if injection.at(step, Fault::KeyWithdrawn) {
            self.withdrawn.add(self.digest);
        }
        if injection.at(step, Fault::HolderPaused) {
            self.now += Duration::from_secs(30);
        }
        let dies = injection.dies(step);
        if dies {
            self.incarnation += 1;
            let settings = claims::Settings::default();
            self.register = Register::new("a1".into(), self.incarnation, settings);
        }
        dies
    }

    /// Runs the request once; returns what the caller is told, or nothing if the entry died.
    fn attempt(&mut self, id: &str, injection: &Injection) -> Option<Outcome> {
        let refuse = |reason| Some(Attempt::new(false).refuse(reason));
        if self.inject(0, injection) {
            return None;
        }
        if !self.authorised() {
            return refuse(Refusal::Unauthorised);
        }
        if self.inject(1, injection) {
            return None;
        }
        match self.register.claim(WORKSPACE, id, |_| None, NOW) {
            Claim::Run => {}
            Claim::Known(outcome) => return Some(outcome),
            Claim::Query(_) | Claim::Table => return refuse(Refusal::ClaimsUnavailable),
        }
        self.holder.record_demand(TOKEN, self.now);
        if !self.holder.spend(TOKEN, self.now) {
            return self.end(id, Attempt::new(false).refuse(Refusal::RateLimited));
        }
        if self.inject(2, injection) {
            return None;
        }
        // The key is checked again after the wait for tokens and for a slot.
        if !self.authorised() {
            return self.end(id, Attempt::new(false).refuse(Refusal::Unauthorised));
        }
        let sent = Attempt::new(false).send();
        if self.inject(3, injection) {
            // The request was handed over before the entry died.
            self.runs += 1;
            return None;
        }
        self.runs += 1;
        let failure = self.failure(3, injection).or(self.failure(4, injection));
        if self.inject(4, injection) {
            return None;
        }
        let outcome = match failure {
            None => sent.served(),
            Some(failure) => match sent.fail(failure) {
                Step::Done(outcome) => outcome,
                Step::Retry(attempt, _) => {
                    // Retried on another server: it would run a second time.
                    self.runs += 1;
                    attempt.send().served()
                }
            },
        };
        self.end(id, outcome)
    }

    /// Returns how the server fails the request that it runs.
    fn failure(&self, step: usize, injection: &Injection) -> Option<Failure> {
        if injection.at(step, Fault::CrashingRequest) {
            return Some(Failure::MayHaveRun(Uncertainty::Interrupted));
        }
        let silent = injection.at(step, Fault::SilentConnection);
        silent.then_some(Failure::MayHaveRun(Uncertainty::Silent))
    }

    fn end(&mut self, id: &str, outcome: Outcome) -> Option<Outcome> {
        self.register.finish(WORKSPACE, id, &outcome);
        Some(outcome)
    }

    /// Sends the request again to the same VM and to another one.
    fn resend(&mut self, id: &str, injection: &Injection) -> Result<(), Box<str>> {
        let calm = Injection {
            step: usize::MAX,
            faults: Vec::new(),
        };
        if let Some(outcome) = self.attempt(id, &calm) {
            self.check(&outcome)?;
        }
        let other = Register::new("a2".into(), 9, claims::Settings::default());
        let cut = injection.faults.contains(&Fault::Partition);
        let live = (!cut).then_some(self.incarnation);
        match other.claim(WORKSPACE, id, |_| live, NOW) {
            Claim::Run | Claim::Table => Err("another VM runs an id that names a VM".into()),
            Claim::Known(outcome) => self.check(&outcome),
            Claim::Query(vm) => require(&*vm == "a1", "the named VM is asked"),
        }
    }

    fn check(&self, outcome: &Outcome) -> Result<(), Box<str>> {
        let not_run = matches!(outcome, Outcome::NotRun(_));
        require(!not_run || self.runs == 0, "`not run` is true")?;
        require(
            *outcome != Outcome::Served || self.runs == 1,
            "`served` is true",
        )
    }
}
