//! A non-idempotent request, which its caller sends again after every outcome but `served`.

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
/// Wall-clock time of the run.
const NOW_SECONDS: u64 = 1_000;
const EXPIRES_AT_SECONDS: u64 = NOW_SECONDS + 600;
const INCARNATION: u64 = 1;

pub fn exclusion_reason(fault: Fault) -> Option<&'static str> {
    match fault {
        Fault::OperatorRace => Some("a request changes nothing that operators change"),
        _ => None,
    }
}

/// State of the VM that the request's id names.
struct Simulation {
    ring: Ring,
    withdrawn: Withdrawn,
    digest: Digest,
    register: Register,
    incarnation: u64,
    holder: Holder,
    now: Instant,
    /// How often a backend server ran the request.
    runs: u32,
}

pub fn run(injection: &Injection) -> Result<(), Box<str>> {
    let mut simulation = Simulation::new();
    let id = format!("{}1", claims::prefix("a1", INCARNATION, EXPIRES_AT_SECONDS));
    let first = simulation.attempt(&id, injection);
    if let Some(outcome) = &first {
        simulation.check(outcome)?;
    }
    let withdrawn_early = injection.step <= 2 && injection.faults.contains(&Fault::KeyWithdrawn);
    require(
        !withdrawn_early || simulation.runs == 0,
        "a withdrawn key runs no request",
    )?;
    if first != Some(Outcome::Served) {
        simulation.resend(&id, injection)?;
    }
    require(
        simulation.runs <= 1,
        "a non-idempotent request runs at most once",
    )
}

impl Simulation {
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

    fn is_authorised(&self) -> bool {
        self.ring
            .authorise(&self.digest, &self.withdrawn, NOW_SECONDS * 1_000)
            .is_ok()
    }

    /// Applies the faults before a step; returns whether the entry died.
    fn inject(&mut self, step: usize, injection: &Injection) -> bool {
        if injection.occurs_at(step, Fault::KeyWithdrawn) {
            self.withdrawn.add(self.digest);
        }
        if injection.occurs_at(step, Fault::HolderPaused) {
            self.now += Duration::from_secs(30);
        }
        let dies = injection.process_dies(step);
        if dies {
            self.incarnation += 1;
            let settings = claims::Settings::default();
            self.register = Register::new("a1".into(), self.incarnation, settings);
        }
        dies
    }

    /// Sends the request once; returns the caller's outcome, or `None` if the entry died.
    fn attempt(&mut self, id: &str, injection: &Injection) -> Option<Outcome> {
        let refuse = |reason| Some(Attempt::new(false).refuse(reason));
        if self.inject(0, injection) {
            return None;
        }
        if !self.is_authorised() {
            return refuse(Refusal::Unauthorised);
        }
        if self.inject(1, injection) {
            return None;
        }
        match self.register.claim(WORKSPACE, id, |_| None, NOW_SECONDS) {
            Claim::Run => {}
            Claim::Known(outcome) => return Some(outcome),
            Claim::Query(_) | Claim::Table => return refuse(Refusal::ClaimsUnavailable),
        }
        self.holder.record_demand(TOKEN, self.now);
        if !self.holder.spend(TOKEN, self.now) {
            return self.finish_claim(id, Attempt::new(false).refuse(Refusal::RateLimited));
        }
        if self.inject(2, injection) {
            return None;
        }
        // The key may be withdrawn during the wait for tokens and a slot, so it is checked again.
        if !self.is_authorised() {
            return self.finish_claim(id, Attempt::new(false).refuse(Refusal::Unauthorised));
        }
        let sent = Attempt::new(false).send();
        if self.inject(3, injection) {
            // The entry sent the request before it died.
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
                    // A retry on another server runs the request a second time.
                    self.runs += 1;
                    attempt.send().served()
                }
            },
        };
        self.finish_claim(id, outcome)
    }

    /// Returns the failure of the request while the server runs it, if any.
    fn failure(&self, step: usize, injection: &Injection) -> Option<Failure> {
        if injection.occurs_at(step, Fault::CrashingRequest) {
            return Some(Failure::MayHaveRun(Uncertainty::Interrupted));
        }
        let silent = injection.occurs_at(step, Fault::SilentConnection);
        silent.then_some(Failure::MayHaveRun(Uncertainty::Silent))
    }

    fn finish_claim(&mut self, id: &str, outcome: Outcome) -> Option<Outcome> {
        self.register.finish(WORKSPACE, id, &outcome);
        Some(outcome)
    }

    /// Sends the request again without faults, to the same VM and to another one.
    fn resend(&mut self, id: &str, injection: &Injection) -> Result<(), Box<str>> {
        let no_faults = Injection {
            step: usize::MAX,
            faults: Vec::new(),
        };
        if let Some(outcome) = self.attempt(id, &no_faults) {
            self.check(&outcome)?;
        }
        let other = Register::new("a2".into(), 9, claims::Settings::default());
        let partitioned = injection.faults.contains(&Fault::Partition);
        let live = (!partitioned).then_some(self.incarnation);
        match other.claim(WORKSPACE, id, |_| live, NOW_SECONDS) {
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
