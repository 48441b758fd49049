//! One VM's view of a release: its verdict, its halt and its confirmation.

use super::{Cap, Evidence, HaltSet, Reason, Record, SequentialTest, Settings, Verdict};
use base::id::{Incarnation, Release, Route};
use indexmap::{IndexMap, IndexSet};
use std::time::{Duration, Instant};

/// Time without a beat of the owner after which a VM stops using the new version, because it may
/// have missed a halt. It is longer than the owner's lease, so that a change of the owner does not
/// move the traffic.
pub const CONTACT_TIMEOUT: Duration = Duration::from_secs(5);

base::label! {
    /// Sign of life of a release's owner. Copies are merged by maximum.
    #[derive(Default)]
    #[serde(rename = "Beat")]
    pub struct Heartbeat {
        /// Version of the row that the owner wrote last.
        pub version: u64,
        /// Number of beats since that write.
        pub count: u64,
    }
}

base::value! {
    /// Watches one release on one VM.
    ///
    /// A VM either halts a release or confirms its last step, never both. The owner completes the
    /// release only after every VM has confirmed, so a completed release can't be halted.
    pub struct Monitor {
        test: SequentialTest,
        confirmed: bool,
        beat: Heartbeat,
        fresh_until: Option<Instant>,
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

    /// Takes over what `other` knows; returns whether the set changed.
    pub fn merge(&mut self, other: &Self) -> bool {
        let all = other.by.iter();
        all.flat_map(|(release, by)| by.iter().map(move |one| (release, *one)))
            .fold(false, |changed, (release, by)| {
                self.add(release, by) || changed
            })
    }

    /// Returns whether all these incarnations confirmed; they are those of all VMs except the ones
    /// that the platform's list confirms as gone.
    pub fn includes_all(&self, release: &str, mut of: impl Iterator<Item = Incarnation>) -> bool {
        let by = self.by.get(release);
        of.all(|one| by.is_some_and(|by| by.contains(&one)))
    }
}

impl Monitor {
    /// Starts to watch a release on these routes.
    pub fn new(
        settings: Settings,
        record: &Record,
        routes: impl IntoIterator<Item = Route>,
    ) -> Self {
        let judged = record.steps.len().saturating_sub(1);
        Self {
            test: SequentialTest::new(settings, judged, routes),
            confirmed: false,
            beat: Heartbeat::default(),
            fresh_until: None,
        }
    }

    /// Notes a beat of the owner that arrived by gossip.
    pub fn record_heartbeat(&mut self, now: Instant, beat: Heartbeat) {
        if beat > self.beat {
            self.beat = beat;
            self.fresh_until = Some(now + CONTACT_TIMEOUT);
        }
    }

    /// Returns the cap that this VM enforces: none without contact to the owner.
    ///
    /// A VM that has confirmed the last step keeps its cap, because the release may be complete
    /// and the old version gone.
    pub fn cap(&self, now: Instant, record: &Record, halt: &HaltSet) -> Cap {
        let stepping = record.step().is_some() && !self.confirmed;
        if stepping && self.fresh_until.is_none_or(|until| until <= now) {
            return Cap::NONE;
        }
        record.cap(halt)
    }

    /// Judges the current step, and halts the release if the new version is worse.
    ///
    /// Returns no verdict while the versions don't serve side by side.
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
    /// An operator's halt that comes later is a new release of the old version.
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
