//! Content of a release's table row.
//!
//! Times are wall-clock milliseconds: the record outlives its owner, and a monotonic clock has no
//! meaning on another VM. Clock differences affect only the pace. Safety depends on the row version
//! that each write expects.

use super::plan::PendingWrite;
use super::{Cap, HaltSet, Reason};
use base::clock::Millis;
use base::id::{Incarnation, Label, Operation, Release, Service};
use std::fmt;

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
        /// The old version serves all requests again; final.
        RolledBack(Reason),
        /// The new version serves all requests; final.
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
        /// Version that is released.
        pub new: Label,
        /// Time of the first step.
        pub start: Millis,
        /// Time by which the new version must have taken over.
        pub finish_by: Millis,
        /// Shortest time in a step.
        pub soak: Millis,
        /// Caps of the steps, rising and ending with 100%.
        pub steps: Box<[Cap]>,
        /// Incarnation of the VM that owns the release.
        pub owner: Incarnation,
        /// End of the owner's lease.
        pub leased_until: Millis,
        /// Current state.
        pub state: State,
    }

    /// Compare-and-set write of the record; it has no effect if the row has another version.
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
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooFewServers => "the new version needs at least 2 listed servers",
            Self::Steps => "the steps must rise and end with 100%",
            Self::TooLittleTime => "the steps don't fit before the finish time",
        })
    }
}

impl Record {
    /// Plans a release with `servers` backend servers of the new version.
    ///
    /// Inserts steps where even a single server in use would not reach the load per server of the
    /// next step.
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
                && u64::from(last.ppm()) * u64::from(servers) < u64::from(cap.ppm())
            {
                steps.push(Cap::from_ppm(last.ppm().saturating_mul(servers)));
            }
            steps.push(*cap);
        }
        self.steps = steps.into();
        let shortest = self.soak * self.steps.len() as Millis;
        if self.finish_by < self.start + shortest {
            return Err(Refusal::TooLittleTime);
        }
        self.state = State::Planned;
        Ok(self)
    }

    /// Returns the cap by this record and `halt`; [`Cap::NONE`] once the release is halted.
    ///
    /// A VM enforces [`super::Monitor::cap`], which also depends on the owner's heartbeats.
    pub fn cap(&self, halt: &HaltSet) -> Cap {
        match &self.state {
            State::Complete => Cap::ALL,
            State::Stepping { step, .. } if halt.reason(&self.id).is_none() => self.steps[*step],
            _ => Cap::NONE,
        }
    }

    /// Returns the current step and the cap of the step after it.
    pub fn step(&self) -> Option<(usize, Cap)> {
        let State::Stepping { step, .. } = self.state else {
            return None;
        };
        Some((step, self.steps.get(step + 1).copied().unwrap_or(Cap::ALL)))
    }

    /// Returns whether the old and the new version both serve, so that they can be compared.
    pub fn is_side_by_side(&self) -> bool {
        self.step()
            .is_some_and(|(step, _)| step + 1 < self.steps.len())
    }

    /// Returns how many of `servers` servers of the new version are used in this step.
    ///
    /// The others stay idle, so that each server in use has the load per server of the next step.
    pub fn active_servers(&self, servers: u32) -> u32 {
        let Some((step, next)) = self.step() else {
            return servers;
        };
        let scaled = u64::from(servers) * u64::from(self.steps[step].ppm());
        let active = scaled / u64::from(next.ppm().max(1));
        u32::try_from(active).unwrap_or(servers).clamp(1, servers)
    }

    /// Returns whether the owner's lease has expired, so that another VM may take over.
    pub fn is_lease_expired(&self, now: Millis) -> bool {
        self.leased_until <= now
    }

    /// Creates the write by which `owner` acquires the release at this version of the row.
    pub fn acquire(
        mut self,
        version: u64,
        owner: Incarnation,
        now: Millis,
        operation: Operation,
    ) -> PendingWrite {
        self.owner = owner;
        PendingWrite::new(self, version, now, operation)
    }
}
