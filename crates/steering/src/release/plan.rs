//! Typestate of the owner of a release.
//!
//! Times are wall-clock milliseconds, because the record outlives its owner and a monotonic clock
//! has no meaning on another VM. Clock differences affect the pace only; safety rests on the row
//! version that each write expects.

use super::{Cap, Halt, Reason, Verdict};
use base::clock::Millis;
use base::id::{Incarnation, Label, Operation, Release, Service};

/// Part of the time that the steps are spread over; the rest is kept for missing evidence and
/// changes of the owner.
const PACED_PART: f64 = 0.75;

/// Part of the next step's load per server that must have been seen. Arrivals vary, so the exact
/// load is reached only half of the time.
const LOAD_PART: f64 = 0.9;

/// Shortest time in a step, so that the results of its first requests are known everywhere.
const SOAK_MILLIS: Millis = 5_000;

/// Time for which the owner may act without renewal before another may take over.
const LEASE_MILLIS: Millis = 3_000;

base::message! {
    /// State of a release.
    #[serde(rename_all = "kebab-case")]
    pub enum State {
        /// Not started.
        Planned,
        /// In a step since this time.
        Stepping {
            /// Index into the steps.
            step: usize,
            /// Time of the write that began the step.
            since: Millis,
        },
        /// Taken back; final.
        RolledBack(Reason),
        /// The new version has taken over; final.
        Complete,
    }

    /// Content of the table row `release/<id>`.
    pub struct Record {
        /// Id of the release.
        pub id: Release,
        /// Service whose version is replaced.
        pub service: Service,
        /// Version that is replaced.
        pub old: Label,
        /// Version that takes over.
        pub new: Label,
        /// Time of the first step.
        pub start: Millis,
        /// Time by which the new version must have taken over.
        pub finish_by: Millis,
        /// Caps of the steps; they rise and end with 100%.
        pub steps: Box<[Cap]>,
        /// Incarnation of the owner.
        pub owner: Incarnation,
        /// End of the owner's lease.
        pub leased_until: Millis,
        /// State.
        pub state: State,
    }

    /// A compare-and-set write of the record; nothing changes if the row has another version.
    pub struct Put {
        /// Version that the row must have.
        pub expected: u64,
        /// Unique id of this write.
        pub operation: Operation,
        /// New content.
        pub record: Record,
    }
}

base::value! {
    /// Why a release is not accepted.
    pub enum Refusal {
        /// One server can't be tested at the load of the next step.
        TooFewServers,
        /// The caps don't rise, are zero or don't end with 100%.
        Steps,
        /// The steps don't fit before the finish time.
        TooLittleTime,
    }

    /// Load per server of the new version, in requests per second.
    #[derive(Copy)]
    pub struct Load {
        /// Measured in the current step.
        pub seen: f64,
        /// Expected in the next step.
        pub next: f64,
    }

    /// What the owner knows when it decides.
    pub struct Input<'a> {
        /// Time.
        pub now: Millis,
        /// Verdict on the current step.
        pub verdict: &'a Verdict,
        /// Halted releases.
        pub halt: &'a Halt,
        /// Load per server.
        pub load: Load,
        /// Whether each VM that the list does not confirm as gone has confirmed the last step.
        /// A VM that confirmed it never halts the release, and a VM that halted it never confirms.
        pub confirmed: bool,
    }

    /// Why the release stays in its step.
    pub enum Hold {
        /// The pace allows the next step later.
        Pace,
        /// The verdict is not good.
        Evidence(Box<str>),
        /// The load of the next step has not been seen.
        Load,
        /// Some VMs have not confirmed the last step.
        Confirmation,
    }

    /// Answer of the table to a write, or what a later read of the row shows.
    pub enum Answer {
        /// The row has this version, written by this operation.
        Row(u64, Operation),
        /// No answer; the write may have taken effect.
        Unknown,
    }

    /// State of a plan that has not started.
    pub struct Planned;

    /// State of a plan whose steps are under way.
    pub struct Stepping {
        step: usize,
        since: Millis,
    }

    /// A release as its owner holds it at one version of the row.
    pub struct Plan<S> {
        record: Record,
        version: u64,
        state: S,
    }

    /// A release by its state.
    pub enum Owned {
        /// Not started.
        Planned(Plan<Planned>),
        /// Steps under way.
        Stepping(Plan<Stepping>),
        /// Complete or rolled back.
        Ended(State),
    }

    /// What the owner does next.
    pub enum Next {
        /// Wait.
        Wait(Plan<Stepping>, Hold),
        /// Write.
        Write(Pending),
    }

    /// A write whose outcome is not known yet.
    pub struct Pending {
        put: Put,
    }

    /// Outcome of a write.
    pub enum Settled {
        /// It took effect.
        Done(Owned),
        /// It did not take effect and may be sent again, unchanged.
        Again(Pending),
        /// Another owner wrote the row; this one must stop.
        Lost,
    }
}

impl Record {
    /// Plans a release over `servers` backend servers of the new version.
    ///
    /// Inserts caps where one server would not be enough to see the load of the next step.
    ///
    /// # Errors
    ///
    /// Returns why the release is not accepted.
    pub fn plan(mut self, servers: u32) -> Result<Self, Refusal> {
        let rising = self.steps.is_sorted_by(|a, b| a < b);
        if !rising || self.steps.first() <= Some(&Cap::NONE) || self.steps.last() != Some(&Cap::ALL)
        {
            return Err(Refusal::Steps);
        }
        if servers < 2 {
            return Err(Refusal::TooFewServers);
        }
        let mut steps: Vec<Cap> = Vec::new();
        for cap in &self.steps {
            while let Some(last) = steps.last().copied()
                && u64::from(last.parts()) * u64::from(servers) < u64::from(cap.parts())
            {
                steps.push(Cap::millionths(last.parts().saturating_mul(servers)));
            }
            steps.push(*cap);
        }
        self.steps = steps.into();
        let shortest = SOAK_MILLIS * self.steps.len() as Millis;
        if self.finish_by < self.start + shortest {
            return Err(Refusal::TooLittleTime);
        }
        self.state = State::Planned;
        Ok(self)
    }

    /// Returns the cap that a VM with this view enforces; none once it knows of a halt.
    pub fn cap(&self, halt: &Halt) -> Cap {
        match &self.state {
            State::Complete => Cap::ALL,
            State::Stepping { step, .. } if halt.reason(&self.id).is_none() => self.steps[*step],
            _ => Cap::NONE,
        }
    }

    /// Returns the current step and the cap after it.
    pub fn step(&self) -> Option<(usize, Cap)> {
        let State::Stepping { step, .. } = self.state else {
            return None;
        };
        Some((step, self.steps.get(step + 1).copied().unwrap_or(Cap::ALL)))
    }

    /// Returns whether old and new version serve side by side, so that a VM may halt on evidence.
    pub fn comparable(&self) -> bool {
        self.step()
            .is_some_and(|(step, _)| step + 1 < self.steps.len())
    }

    /// Returns how many of `servers` servers of the new version are used in this step.
    ///
    /// The others stay idle, so that each server in use has the load that the next step brings.
    pub fn width(&self, servers: u32) -> u32 {
        let Some((step, next)) = self.step() else {
            return servers;
        };
        let scaled = u64::from(servers) * u64::from(self.steps[step].parts());
        let width = scaled / u64::from(next.parts().max(1));
        u32::try_from(width).unwrap_or(servers).clamp(1, servers)
    }

    /// Returns whether another VM may take over.
    pub fn expired(&self, now: Millis) -> bool {
        self.leased_until <= now
    }

    /// Makes the write by which `owner` takes the release over from row version `version`.
    pub fn take(
        mut self,
        version: u64,
        owner: Incarnation,
        now: Millis,
        operation: Operation,
    ) -> Pending {
        self.owner = owner;
        Pending::new(self, version, now, operation)
    }
}

impl<S> Plan<S> {
    /// Returns the record as last written.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// Makes the write that renews the lease without any other change.
    pub fn renew(self, now: Millis, operation: Operation) -> Pending {
        Pending::new(self.record, self.version, now, operation)
    }

    fn enter(mut self, state: State, now: Millis, operation: Operation) -> Pending {
        self.record.state = state;
        Pending::new(self.record, self.version, now, operation)
    }
}

impl Plan<Planned> {
    /// Makes the write that begins the first step, or that rolls a halted release back.
    pub fn start(self, now: Millis, halt: &Halt, operation: Operation) -> Pending {
        let state = match halt.reason(&self.record.id) {
            Some(reason) => State::RolledBack(reason.clone()),
            None => State::Stepping {
                step: 0,
                since: now,
            },
        };
        self.enter(state, now, operation)
    }
}

impl Plan<Stepping> {
    /// Decides whether to wait, to advance, to complete or to roll back.
    pub fn next(self, input: &Input<'_>, operation: Operation) -> Next {
        let now = input.now;
        let state = match self.decide(input) {
            Ok(state) => state,
            Err(hold) => return Next::Wait(self, hold),
        };
        Next::Write(self.enter(state, now, operation))
    }

    fn decide(&self, input: &Input<'_>) -> Result<State, Hold> {
        let judged = self.record.steps.len() - 1;
        if let Some(reason) = input.halt.reason(&self.record.id) {
            return Ok(State::RolledBack(reason.clone()));
        }
        if self.state.step == judged {
            return match (input.confirmed, input.now >= self.record.finish_by) {
                (true, false) => Ok(State::Complete),
                (_, true) => Ok(State::RolledBack(Reason::NotConfirmed)),
                (false, false) => Err(Hold::Confirmation),
            };
        }
        if let Verdict::Bad(reason) = input.verdict {
            return Ok(State::RolledBack(reason.clone()));
        }
        let left = (judged - self.state.step) as Millis;
        let latest = self.record.finish_by.saturating_sub(SOAK_MILLIS * left);
        let Err(hold) = self.may_advance(input, judged) else {
            return Ok(State::Stepping {
                step: self.state.step + 1,
                since: input.now,
            });
        };
        if input.now < latest {
            return Err(hold);
        }
        let lack = match hold {
            Hold::Evidence(route) => format!("route `{route}` lacks good evidence"),
            Hold::Load => "the load of the next step was not reached".into(),
            Hold::Pace | Hold::Confirmation => "steps began too late".into(),
        };
        Ok(State::RolledBack(Reason::CannotFinish(lack.into())))
    }

    fn may_advance(&self, input: &Input<'_>, judged: usize) -> Result<(), Hold> {
        let time = self.record.finish_by.saturating_sub(self.record.start) as f64;
        let part = (self.state.step + 1) as f64 / judged as f64;
        let planned = self.record.start + (time * PACED_PART * part) as Millis;
        if input.now < planned.max(self.state.since + SOAK_MILLIS) {
            return Err(Hold::Pace);
        }
        if let Verdict::Undecided(route) = input.verdict {
            return Err(Hold::Evidence(route.clone()));
        }
        if input.load.seen < LOAD_PART * input.load.next {
            return Err(Hold::Load);
        }
        Ok(())
    }
}

impl Owned {
    /// Returns the plan of a row that this owner wrote.
    fn of(record: Record, version: u64) -> Self {
        match record.state.clone() {
            State::Planned => Self::Planned(Plan {
                record,
                version,
                state: Planned,
            }),
            State::Stepping { step, since } => Self::Stepping(Plan {
                record,
                version,
                state: Stepping { step, since },
            }),
            ended => Self::Ended(ended),
        }
    }
}

impl Pending {
    fn new(mut record: Record, expected: u64, now: Millis, operation: Operation) -> Self {
        record.leased_until = now + LEASE_MILLIS;
        Self {
            put: Put {
                expected,
                operation,
                record,
            },
        }
    }

    /// Returns the write to send.
    pub fn put(&self) -> &Put {
        &self.put
    }

    /// Settles the outcome by the table's answer or by a read of the row.
    pub fn settle(self, answer: &Answer) -> Settled {
        match answer {
            Answer::Row(version, operation) if *operation == self.put.operation => {
                Settled::Done(Owned::of(self.put.record, *version))
            }
            Answer::Row(version, _) if *version != self.put.expected => Settled::Lost,
            Answer::Row(..) | Answer::Unknown => Settled::Again(self),
        }
    }
}
