//! One VM's verdict on a release, and its decision to halt or confirm it.

use super::{Cap, Evidence, HaltSet, Reason, Record, SequentialTest, Settings, Verdict};
use base::id::{Incarnation, Release, Route};
use indexmap::{IndexMap, IndexSet};
use std::time::{Duration, Instant};

/// Time without a heartbeat of the owner after which a VM stops using the new version, because it
/// may have missed a halt. It exceeds the owner's lease, so that a change of the owner does not
/// move traffic.
pub const CONTACT_TIMEOUT: Duration = Duration::from_secs(5);

base::label! {
    /// Heartbeat of a release's owner. Copies are merged by maximum.
    #[derive(Default)]
    #[serde(rename = "Beat")]
    pub struct Heartbeat {
        /// Version of the row that the owner wrote last.
        pub version: u64,
        /// Number of heartbeats since that write.
        pub count: u64,
    }
}

base::value! {
    /// Monitors one release on one VM.
    ///
    /// A VM either halts a release or confirms its last step, never both. The owner completes the
    /// release only after every VM has confirmed it, so a completed release can't be halted.
    pub struct Monitor {
        test: SequentialTest,
        confirmed: bool,
        heartbeat: Heartbeat,
        contact_until: Option<Instant>,
    }
}

base::message! {
    /// Grow-only set of the incarnations that confirmed the last step of each release.
    #[derive(Default)]
    #[serde(transparent, rename = "Confirmed")]
    pub struct Confirmations {
        by: IndexMap<Release, IndexSet<Incarnation>>,
    }
}

impl Confirmations {
    /// Adds a confirmation; returns whether the set changed.
    pub fn add(&mut self, release: &Release, by: Incarnation) -> bool {
        self.by.entry(release.clone()).or_default().insert(by)
    }

    /// Merges `other` into the set; returns whether the set changed.
    pub fn merge(&mut self, other: &Self) -> bool {
        let all = other.by.iter();
        all.flat_map(|(release, by)| by.iter().map(move |one| (release, *one)))
            .fold(false, |changed, (release, by)| {
                self.add(release, by) || changed
            })
    }

    /// Returns whether all these incarnations confirmed. The caller passes those of all VMs except
    /// the ones that the platform's list confirms as gone.
    pub fn includes_all(&self, release: &str, mut of: impl Iterator<Item = Incarnation>) -> bool {
        let by = self.by.get(release);
        of.all(|one| by.is_some_and(|by| by.contains(&one)))
    }
}

impl Monitor {
    /// Starts to monitor a release on these routes.
    pub fn new(
        settings: Settings,
        record: &Record,
        routes: impl IntoIterator<Item = Route>,
    ) -> Self {
        // The last step has no old version to compare with.
        let tested_steps = record.steps.len().saturating_sub(1);
        Self {
            test: SequentialTest::new(settings, tested_steps, routes),
            confirmed: false,
            heartbeat: Heartbeat::default(),
            contact_until: None,
        }
    }

    /// Records a heartbeat of the owner that arrived by gossip.
    pub fn record_heartbeat(&mut self, now: Instant, heartbeat: Heartbeat) {
        if heartbeat > self.heartbeat {
            self.heartbeat = heartbeat;
            self.contact_until = Some(now + CONTACT_TIMEOUT);
        }
    }

    /// Returns the cap that this VM enforces: [`Cap::NONE`] without recent heartbeats of the owner.
    ///
    /// A VM that has confirmed the last step keeps its cap, because the release may be complete and
    /// the old version gone.
    pub fn cap(&self, now: Instant, record: &Record, halt: &HaltSet) -> Cap {
        let stepping = record.step().is_some() && !self.confirmed;
        if stepping && self.contact_until.is_none_or(|until| until <= now) {
            return Cap::NONE;
        }
        record.cap(halt)
    }

    /// Evaluates the current step, and halts the release if the new version is worse.
    ///
    /// Returns `None` unless both versions serve.
    pub fn evaluate(
        &mut self,
        now: Instant,
        record: &Record,
        evidence: &Evidence,
        halt: &mut HaltSet,
    ) -> Option<Verdict> {
        let step = record.step().filter(|_| record.is_side_by_side())?;
        let verdict = self.test.evaluate(now, step, evidence);
        if let Verdict::Bad(reason) = &verdict {
            self.halt(record, reason, halt);
        }
        Some(verdict)
    }

    /// Halts the release unless this VM has confirmed its last step; returns whether it is halted.
    ///
    /// After the confirmation, an operator goes back by a new release of the old version.
    pub fn halt(&self, record: &Record, reason: &Reason, halt: &mut HaltSet) -> bool {
        if !self.confirmed {
            halt.add(&record.id, reason);
        }
        halt.reason(&record.id).is_some()
    }

    /// Confirms the last step if this VM knows of no halt; returns whether it is confirmed.
    pub fn confirm(&mut self, record: &Record, halt: &HaltSet) -> bool {
        let last = record.step().is_some() && !record.is_side_by_side();
        self.confirmed |= last && halt.reason(&record.id).is_none();
        self.confirmed
    }
}
