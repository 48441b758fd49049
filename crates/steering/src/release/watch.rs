//! One VM's view of a release: its verdict, its halt and its confirmation.

use super::{Cap, Evidence, Halt, Reason, Record, Settings, Test, Verdict};
use base::id::{Incarnation, Release, Route};
use indexmap::{IndexMap, IndexSet};
use std::time::{Duration, Instant};

/// Time without a beat of the owner after which a VM stops using the new version, because it may
/// have missed a halt. It is longer than the owner's lease, so that a change of the owner does not
/// move the traffic.
pub const CONTACT: Duration = Duration::from_secs(5);

base::label! {
    /// Sign of life of a release's owner. Copies are merged by maximum.
    #[derive(Default)]
    pub struct Beat {
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
    pub struct Watch {
        test: Test,
        confirmed: bool,
        beat: Beat,
        fresh_until: Option<Instant>,
    }
}

base::message! {
    /// Grow-only set of the incarnations that confirmed the last step of each release.
    #[derive(Default)]
    #[serde(transparent)]
    pub struct Confirmed {
        by: IndexMap<Release, IndexSet<Incarnation>>,
    }
}

impl Confirmed {
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
    pub fn all(&self, release: &str, mut of: impl Iterator<Item = Incarnation>) -> bool {
        let by = self.by.get(release);
        of.all(|one| by.is_some_and(|by| by.contains(&one)))
    }
}

impl Watch {
    /// Starts to watch a release on these routes.
    pub fn new(
        settings: Settings,
        record: &Record,
        routes: impl IntoIterator<Item = Route>,
    ) -> Self {
        let judged = record.steps.len().saturating_sub(1);
        Self {
            test: Test::new(settings, judged, routes),
            confirmed: false,
            beat: Beat::default(),
            fresh_until: None,
        }
    }

    /// Notes a beat of the owner that arrived by gossip.
    pub fn hear(&mut self, now: Instant, beat: Beat) {
        if beat > self.beat {
            self.beat = beat;
            self.fresh_until = Some(now + CONTACT);
        }
    }

    /// Returns the cap that this VM enforces: none without contact to the owner.
    ///
    /// A VM that has confirmed the last step keeps its cap, because the release may be complete
    /// and the old version gone.
    pub fn cap(&self, now: Instant, record: &Record, halt: &Halt) -> Cap {
        let stepping = record.step().is_some() && !self.confirmed;
        if stepping && self.fresh_until.is_none_or(|until| until <= now) {
            return Cap::NONE;
        }
        record.cap(halt)
    }

    /// Judges the current step, and halts the release if the new version is worse.
    ///
    /// Returns no verdict while the versions don't serve side by side.
    pub fn look(
        &mut self,
        now: Instant,
        record: &Record,
        evidence: &Evidence,
        halt: &mut Halt,
    ) -> Option<Verdict> {
        let step = record.step().filter(|_| record.comparable())?;
        let verdict = self.test.judge(now, step, evidence);
        if let Verdict::Bad(reason) = &verdict {
            self.halt(record, reason, halt);
        }
        Some(verdict)
    }

    /// Halts the release unless this VM has confirmed its last step; returns whether it is halted.
    ///
    /// An operator's halt that comes later is a new release of the old version.
    pub fn halt(&self, record: &Record, reason: &Reason, halt: &mut Halt) -> bool {
        if !self.confirmed {
            halt.add(&record.id, reason);
        }
        halt.reason(&record.id).is_some()
    }

    /// Confirms the last step if this VM knows of no halt; returns whether it is confirmed.
    pub fn confirm(&mut self, record: &Record, halt: &Halt) -> bool {
        let last = record.step().is_some() && !record.comparable();
        self.confirmed |= last && halt.reason(&record.id).is_none();
        self.confirmed
    }
}
