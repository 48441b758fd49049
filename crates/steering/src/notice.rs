//! What servers say of themselves in their answers: that they leave, or that they want no requests
//! for a time.
//!
//! That a server leaves concerns all VMs and spreads among them without permission; of two words
//! the later counts, so that order, loss and repetition do not matter. That it wants nothing for a
//! time concerns the VM that it told. The load to expect is a fleet of hundreds of VMs whose servers
//! are replaced in series, and whose full servers turn many VMs away at the same moment.

use crate::warmth::ShortDigest;
use rand::{Rng, RngExt};
use std::time::{Duration, Instant};

/// Reports of a server to the store after a word, from which they count as newer. The first may have
/// been under way when the server said that it leaves.
const NEWER_REPORTS: u64 = 2;
/// Difference up to which two words count as the same one, which came by two ways.
const SAME_WORD: Duration = Duration::from_millis(300);
/// Time for which a VM passes a word on. Each report repeats it, as reports may be lost; afterwards
/// the list has it.
pub const PASSING_TIME: Duration = Duration::from_millis(4_000);

base::message! {
    /// Word on one run of a server, for other VMs: that it leaves, or that it stays after all.
    #[derive(Copy)]
    pub struct Word {
        /// Short digest of the server.
        pub server: ShortDigest,
        /// Start of the run, in milliseconds since the Unix epoch.
        pub born: u64,
        /// Age of the word in milliseconds.
        pub age_ms: u32,
        /// Whether it says that the list lacks the run, or has it again.
        pub is_from_list: bool,
    }
}

base::label! {
    /// How a VM learnt that a server leaves.
    pub enum Origin {
        /// From an answer of the server.
        Answer,
        /// From the store.
        Store,
        /// From another VM.
        Peer,
    }
}

/// Whether one run of a server has said that it leaves and not taken it back, or is missing from the
/// list as others know it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Departure {
    said_at: Option<Instant>,
    /// From whom this VM learnt it first.
    origin: Option<Origin>,
    /// Sequence number of its report at this VM's first read of the store after the word.
    reported: Option<u64>,
    /// Since when, at the latest, the list lacks it, and from whom this VM learnt it.
    missing: Option<(Instant, Origin)>,
}

impl Departure {
    /// Records that the server leaves; returns whether it counts as leaving only since now.
    pub fn record_leaving(&mut self, said_at: Instant, origin: Origin) -> bool {
        let is_new = !self.is_leaving();
        self.origin.get_or_insert(origin);
        let last = self
            .said_at
            .replace(self.said_at.map_or(said_at, |last| last.max(said_at)));
        if last.is_none_or(|last| said_at > last + SAME_WORD) {
            self.reported = None;
        }
        is_new
    }

    /// Records a report of the server, read from the store by this VM, that it does not leave;
    /// returns whether it counts as staying only since now.
    pub fn record_report(&mut self, sequence: u64) -> bool {
        if self.said_at.is_none() {
            return false;
        }
        let first = *self.reported.get_or_insert(sequence);
        let is_newer = sequence >= first.saturating_add(NEWER_REPORTS);
        if is_newer {
            self.take_back();
        }
        is_newer && !self.is_leaving()
    }

    fn take_back(&mut self) {
        *self = Self {
            missing: self.missing,
            ..Self::default()
        };
    }

    /// Records the word of another VM that the server stays; returns whether it counts as staying
    /// only since now.
    pub fn record_staying(&mut self, said_at: Instant) -> bool {
        let is_over = self.said_at.is_some_and(|last| said_at > last);
        if is_over {
            self.take_back();
        }
        is_over && !self.is_leaving()
    }

    /// Records that the list lacked it at a time; returns whether it counts as leaving only since now.
    pub fn record_missing(&mut self, at: Instant, origin: Origin) -> bool {
        let is_new = !self.is_leaving();
        let last = self.missing.map_or(at, |(last, _)| last.max(at));
        let origin = self.missing.map_or(origin, |(_, origin)| origin);
        self.missing = Some((last, origin));
        is_new
    }

    /// Records that the list had it at a time; returns whether it counts as staying only since now.
    pub fn record_listed(&mut self, at: Instant) -> bool {
        let is_back = self.missing.take_if(|(last, _)| at > *last).is_some();
        is_back && !self.is_leaving()
    }

    /// Returns since when, at the latest, the server leaves, and from whom this VM learnt it.
    pub fn known(&self) -> Option<(Instant, Origin)> {
        self.said_at.zip(self.origin).or(self.missing)
    }

    /// Returns whether the server leaves.
    pub fn is_leaving(&self) -> bool {
        self.said_at.is_some() || self.missing.is_some()
    }
}

base::value! {
    /// Settings of a [`Rejection`].
    #[derive(Copy)]
    pub struct Settings {
        /// Share of the time that a VM waits longer at most, drawn for each VM, so that the VMs of a
        /// fleet do not return together.
        pub spread: f64,
        /// Requests at a time up to which the ramp after the end goes, each step twice the last.
        pub ramp: u32,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            spread: 0.25,
            ramp: 8,
        }
    }
}

/// Time for which a server wants nothing from this VM, and the ramp that follows.
#[derive(Debug, Clone, PartialEq)]
pub struct Rejection {
    ramp: u32,
    until: Instant,
    /// Requests at a time that the VM may have at the server after the end.
    concurrent: u32,
}

impl Rejection {
    /// Begins a time of `wait` from now.
    pub fn new(settings: &Settings, wait: Duration, now: Instant, random: &mut impl Rng) -> Self {
        let spread = wait.mul_f64(random.random_range(0.0..=settings.spread));
        Self {
            ramp: settings.ramp,
            until: now + wait + spread,
            concurrent: 1,
        }
    }

    /// Merges what the server said once more: the later end counts, and the ramp begins anew.
    pub fn merge(&mut self, other: &Self) {
        self.until = self.until.max(other.until);
        self.concurrent = 1;
    }

    /// Returns the end of the time.
    pub fn until(&self) -> Instant {
        self.until
    }

    /// Returns whether another request may be sent to the server, which has `in_flight` of this VM.
    pub fn allows(&self, in_flight: usize, now: Instant) -> bool {
        now >= self.until && in_flight < self.concurrent as usize
    }

    /// Records an answer to a request sent at `sent_at`; returns whether the ramp is over.
    pub fn record_answer(&mut self, sent_at: Instant) -> bool {
        if sent_at < self.until {
            return false;
        }
        self.concurrent = self.concurrent.saturating_mul(2);
        self.concurrent > self.ramp
    }
}

/// Returns what a caller is told while no server wants requests before `first`: up to half of the
/// time longer, so that callers do not return together.
pub fn retry_after(first: Instant, now: Instant, random: &mut impl Rng) -> Duration {
    let wait = first.saturating_duration_since(now);
    wait.mul_f64(1.0 + random.random_range(0.0..0.5))
}
