//! State machine of the VM that owns a release, with one type per state.

use super::{HaltSet, Put, Reason, Record, State, Verdict};
use base::clock::Millis;
use base::id::Operation;
use std::fmt;

/// Part of the available time over which the steps are spread. The rest is a reserve for missing
/// evidence and changes of the owner.
const SCHEDULED_PART: f64 = 0.75;

/// Part of the next step's load per server that must have been measured. Arrivals vary, so the full
/// load is reached only half of the time.
const MIN_LOAD_PART: f64 = 0.9;

/// Default of the shortest time in a step. It lets the results of the step's first requests reach
/// all VMs.
pub const SOAK_MILLIS: Millis = 5_000;

/// Duration of the owner's lease from its last write.
const LEASE_MILLIS: Millis = 3_000;

base::value! {
    /// Load per server of the new version, in requests per second.
    #[derive(Copy)]
    pub struct Load {
        /// Measured in the current step.
        pub measured: f64,
        /// Expected in the next step.
        pub expected: f64,
    }

    /// Input of the owner's decision.
    pub struct DecisionInput<'a> {
        /// Current wall-clock time.
        pub now: Millis,
        /// Verdict on the current step.
        pub verdict: &'a Verdict,
        /// Halted releases.
        pub halt: &'a HaltSet,
        /// Load per server.
        pub load: Load,
        /// Whether every VM has confirmed the last step, except those that the platform's list
        /// confirms as gone. A VM that confirmed it never halts the release, and vice versa.
        pub confirmed: bool,
    }

    /// Why the release stays in its step.
    pub enum WaitReason {
        /// The schedule allows the next step later.
        Pace,
        /// The evidence of this route is not good enough yet.
        Evidence(Box<str>),
        /// The load of the next step has not been measured yet.
        Load,
        /// Some VMs have not confirmed the last step.
        Confirmation,
    }

    /// Answer of the table to a write, or the result of a later read of the row.
    pub enum RowReply {
        /// The row has this version, written by this operation.
        Row(u64, Operation),
        /// No answer; the write may have taken effect.
        Unknown,
    }

    /// State of a plan that has not started.
    pub struct Planned;

    /// State of a plan that is in one of its steps.
    pub struct Stepping {
        step: usize,
        since: Millis,
    }

    /// A release as its owner read or wrote it at one version of the row.
    pub struct Plan<S> {
        record: Record,
        version: u64,
        state: S,
    }

    /// A release by its state.
    pub enum OwnedRelease {
        /// Not started.
        Planned(Plan<Planned>),
        /// In one of its steps.
        Stepping(Plan<Stepping>),
        /// Complete or rolled back.
        Ended(State),
    }

    /// What the owner does next.
    pub enum Decision<S> {
        /// Stay in the current state.
        Wait(Plan<S>, WaitReason),
        /// Write the next state.
        Write(PendingWrite),
    }

    /// A write whose outcome is not known yet.
    pub struct PendingWrite {
        put: Put,
    }

    /// Outcome of a write.
    pub enum WriteOutcome {
        /// It took effect.
        Applied(OwnedRelease),
        /// It is not known to have taken effect and may be sent again, unchanged.
        Retry(PendingWrite),
        /// Another owner wrote the row; this one must stop.
        Superseded,
    }
}

impl fmt::Display for WaitReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Pace => f.write_str("the time of the next step"),
            Self::Evidence(route) => write!(f, "good evidence of route `{route}`"),
            Self::Load => f.write_str("the load of the next step"),
            Self::Confirmation => f.write_str("confirmation by every VM"),
        }
    }
}

impl<S> Plan<S> {
    /// Returns the record as last written.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// Creates the write that renews the lease and changes nothing else.
    pub fn renew(self, now: Millis, operation: Operation) -> PendingWrite {
        PendingWrite::new(self.record, self.version, now, operation)
    }

    fn enter(mut self, state: State, now: Millis, operation: Operation) -> PendingWrite {
        self.record.state = state;
        PendingWrite::new(self.record, self.version, now, operation)
    }
}

impl Plan<Planned> {
    /// Begins the first step at its start time, or rolls back a release that is halted or has too
    /// little time left.
    pub fn start(self, now: Millis, halt: &HaltSet, operation: Operation) -> Decision<Planned> {
        if now < self.record.start {
            return Decision::Wait(self, WaitReason::Pace);
        }
        let shortest = self.record.soak * self.record.steps.len() as Millis;
        let state = match halt.reason(&self.record.id) {
            Some(reason) => State::RolledBack(reason.clone()),
            None if now + shortest > self.record.finish_by => {
                State::RolledBack(Reason::CannotFinish("the first step is too late".into()))
            }
            None => State::Stepping {
                step: 0,
                since: now,
            },
        };
        Decision::Write(self.enter(state, now, operation))
    }
}

impl Plan<Stepping> {
    /// Decides whether to wait, to advance, to complete or to roll back.
    ///
    /// A roll-back for another reason than a halt takes effect only with its write. Otherwise an
    /// owner that was paused could halt a release that its successor has completed.
    pub fn decide(self, input: &DecisionInput<'_>, operation: Operation) -> Decision<Stepping> {
        let now = input.now;
        let state = match self.next_state(input) {
            Ok(state) => state,
            Err(reason) => return Decision::Wait(self, reason),
        };
        Decision::Write(self.enter(state, now, operation))
    }

    fn next_state(&self, input: &DecisionInput<'_>) -> Result<State, WaitReason> {
        let last = self.record.steps.len() - 1;
        if let Some(reason) = input.halt.reason(&self.record.id) {
            return Ok(State::RolledBack(reason.clone()));
        }
        if self.state.step == last {
            return match (input.confirmed, input.now >= self.record.finish_by) {
                (true, false) => Ok(State::Complete),
                (_, true) => Ok(State::RolledBack(Reason::NotConfirmed)),
                (false, false) => Err(WaitReason::Confirmation),
            };
        }
        if let Verdict::Bad(reason) = input.verdict {
            return Ok(State::RolledBack(reason.clone()));
        }
        let left = (last - self.state.step) as Millis;
        let latest = self
            .record
            .finish_by
            .saturating_sub(self.record.soak * left);
        let Err(reason) = self.may_advance(input, last) else {
            return Ok(State::Stepping {
                step: self.state.step + 1,
                since: input.now,
            });
        };
        if input.now < latest {
            return Err(reason);
        }
        let condition = match reason {
            WaitReason::Evidence(route) => format!("route `{route}` lacks good evidence"),
            WaitReason::Load => "the load of the next step was not reached".into(),
            WaitReason::Pace | WaitReason::Confirmation => "steps began too late".into(),
        };
        Ok(State::RolledBack(Reason::CannotFinish(condition.into())))
    }

    fn may_advance(&self, input: &DecisionInput<'_>, last: usize) -> Result<(), WaitReason> {
        let time = self.record.finish_by.saturating_sub(self.record.start) as f64;
        let part = (self.state.step + 1) as f64 / last as f64;
        let planned = self.record.start + (time * SCHEDULED_PART * part) as Millis;
        if input.now < planned.max(self.state.since + self.record.soak) {
            return Err(WaitReason::Pace);
        }
        if let Verdict::Undecided(route) = input.verdict {
            return Err(WaitReason::Evidence(route.clone()));
        }
        if input.load.measured < MIN_LOAD_PART * input.load.expected {
            return Err(WaitReason::Load);
        }
        Ok(())
    }
}

impl OwnedRelease {
    /// Returns the release of a row that this owner wrote.
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

impl PendingWrite {
    pub(super) fn new(
        mut record: Record,
        expected: u64,
        now: Millis,
        operation: Operation,
    ) -> Self {
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

    /// Determines the outcome from the table's answer or from a read of the row.
    pub fn resolve(self, answer: &RowReply) -> WriteOutcome {
        match answer {
            RowReply::Row(version, operation) if *operation == self.put.operation => {
                WriteOutcome::Applied(OwnedRelease::of(self.put.record, *version))
            }
            RowReply::Row(version, _) if *version != self.put.expected => WriteOutcome::Superseded,
            RowReply::Row(..) | RowReply::Unknown => WriteOutcome::Retry(self),
        }
    }
}
