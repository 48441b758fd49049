//! Quarantine of requests that crash backend servers.
//!
//! [`QuarantineRegister::admit`] decides on each request by its [`digest`]. When a backend server
//! crashes, [`QuarantineRegister::record_crash`] takes the digests in flight on it; the replies to
//! them are held for [`Settings::hold`], while [`QuarantineRegister::delta`] is sent to all VMs and
//! merged there by [`QuarantineRegister::merge`]. [`QuarantineRegister::record_answer`] clears
//! suspects.
//!
//! A request in flight at a crash is suspected and from then on runs only as a trial: alone on its
//! server, one at a time, on the trial coordinator. The coordinator is the first live VM by name in
//! the data centre of the suspicion. Only a crash during a trial quarantines a request, so that
//! innocent requests in flight at the same crash are not refused permanently.

mod served;

pub use served::Served;

use crate::attempt::Refusal;
use base::id::DataCentre;
use indexmap::{IndexMap, IndexSet};
use std::time::{Duration, Instant};

/// Digest of workspace, method, path and body.
pub type Digest = [u8; 16];

/// Maximum number of suspicions, and of quarantined digests; each stems from a crash.
pub const MAX_DIGESTS: usize = 4096;

base::value! {
    /// Timeouts of a register.
    #[derive(Copy)]
    pub struct Settings {
        /// Time for which replies to requests in flight at a crash are held, so that the
        /// suspicion reaches the other VMs before the caller repeats the request: two gossip
        /// periods.
        pub hold: Duration,
        /// Time from the last suspicion, or change of the trial server, to the next trial, in
        /// which the requests of all VMs of the data centre leave the trial server.
        pub settle: Duration,
        /// Time after which an unfinished trial no longer blocks the next one. The program cancels
        /// the request by then and selects another trial server.
        pub trial: Duration,
    }

    /// Decision on a request.
    pub enum Decision {
        /// Run it normally.
        Run,
        /// Run it alone on the trial server, and report its end.
        Trial,
        /// Forward it to the trial coordinator of this data centre.
        Forward(DataCentre),
        /// Refuse it without running it.
        Refuse(Refusal),
    }
}

base::message! {
    /// Suspicion of one digest; the larger `(round, cleared)` wins, then the smaller origin.
    pub struct Suspect {
        /// Increases with each suspicion of this digest.
        pub round: u64,
        /// Whether the request has completed since.
        pub cleared: bool,
        /// Data centre that runs the trials.
        pub origin: DataCentre,
    }

    /// Contents of a register, for gossip; merging is idempotent and commutative.
    #[derive(Default)]
    pub struct Delta {
        /// Digests that are refused permanently.
        pub quarantined: IndexSet<Digest>,
        /// Suspicions.
        pub suspects: IndexMap<Digest, Suspect>,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            hold: Duration::from_secs(1),
            settle: Duration::from_secs(2),
            trial: Duration::from_secs(5),
        }
    }
}

impl Suspect {
    fn wins_over(&self, other: &Self) -> bool {
        let rank = |suspect: &Self| (suspect.round, suspect.cleared);
        rank(self) > rank(other) || (rank(self) == rank(other) && self.origin < other.origin)
    }
}

/// Returns the digest of a request.
pub fn digest(workspace: &str, method: &str, path: &str, body: &[u8]) -> Digest {
    let mut hasher = blake3::Hasher::new();
    for part in [
        workspace.as_bytes(),
        method.as_bytes(),
        path.as_bytes(),
        body,
    ] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut digest = Digest::default();
    hasher.finalize_xof().fill(&mut digest);
    digest
}

/// Quarantined and suspected digests known to one VM.
#[derive(Debug, Clone)]
pub struct QuarantineRegister {
    data_centre: DataCentre,
    settings: Settings,
    known: Delta,
    /// Time from which no other request is left on the trial server.
    settled: Option<Instant>,
    /// Running trial and its timeout.
    trial: Option<(Digest, Instant)>,
}

impl QuarantineRegister {
    /// Creates an empty register for a VM of `data_centre`.
    pub fn new(data_centre: DataCentre, settings: Settings) -> Self {
        Self {
            data_centre,
            settings,
            known: Delta::default(),
            settled: None,
            trial: None,
        }
    }

    /// Returns whether a trial server must be reserved in this data centre.
    pub fn needs_trial_server(&self) -> bool {
        let here = |suspect: &Suspect| !suspect.cleared && suspect.origin == self.data_centre;
        self.known.suspects.values().any(here)
    }

    /// Returns whether the digest is refused permanently.
    pub fn quarantined(&self, digest: &Digest) -> bool {
        self.known.quarantined.contains(digest)
    }

    /// Decides on a request; `is_coordinator` if this VM runs the trials of its data centre.
    pub fn admit(&mut self, digest: &Digest, is_coordinator: bool, now: Instant) -> Decision {
        if self.quarantined(digest) {
            return Decision::Refuse(Refusal::Quarantined);
        }
        let suspect = match self.known.suspects.get(digest) {
            Some(suspect) if !suspect.cleared => suspect,
            _ => return Decision::Run,
        };
        if !is_coordinator || suspect.origin != self.data_centre {
            return Decision::Forward(suspect.origin.clone());
        }
        if self.trial.is_some_and(|(_, limit)| now >= limit) {
            // The overdue request may still run on its server, so the next trial waits for another
            // server to become empty.
            self.trial = None;
            self.restart_settling(now);
        }
        if self.trial.is_some() || self.settled.is_none_or(|at| now < at) {
            return Decision::Refuse(Refusal::Suspected);
        }
        self.trial = Some((*digest, now + self.settings.trial));
        Decision::Trial
    }

    /// Records the crash of a backend server with these digests in flight, and returns the time
    /// until which the replies to them are held.
    pub fn record_crash(&mut self, in_flight: &[Digest], now: Instant) -> Instant {
        for digest in in_flight {
            let trial = self.trial.is_some_and(|(running, _)| running == *digest);
            if trial && in_flight.len() == 1 {
                self.trial = None;
                self.known.quarantined.insert(*digest);
                // The trial server has crashed; the next one is not empty yet.
                self.restart_settling(now);
            } else {
                self.suspect(*digest, now);
            }
        }
        self.evict_excess();
        now + self.settings.hold
    }

    fn suspect(&mut self, digest: Digest, now: Instant) {
        let round = match self.known.suspects.get(&digest) {
            Some(suspect) if !suspect.cleared => return,
            Some(suspect) => suspect.round + 1,
            None => 1,
        };
        let suspect = Suspect {
            round,
            cleared: false,
            origin: self.data_centre.clone(),
        };
        self.known.suspects.insert(digest, suspect);
        self.restart_settling(now);
    }

    /// Drops excess suspicions, cleared ones first and then the oldest, and the oldest quarantined
    /// digests.
    fn evict_excess(&mut self) {
        let suspects = &mut self.known.suspects;
        while suspects.len() > MAX_DIGESTS {
            let cleared = suspects.values().position(|suspect| suspect.cleared);
            suspects.shift_remove_index(cleared.unwrap_or(0));
        }
        let excess = self.known.quarantined.len().saturating_sub(MAX_DIGESTS);
        self.known.quarantined.drain(..excess);
    }

    /// Restarts the settle time; to be called when the trial server changes, because other VMs may
    /// still have requests on the new one.
    pub fn restart_settling(&mut self, now: Instant) {
        self.settled = Some(now + self.settings.settle);
    }

    /// Records that a backend server answered the request, which clears a suspicion.
    pub fn record_answer(&mut self, digest: &Digest) {
        self.end_trial(digest);
        if let Some(suspect) = self.known.suspects.get_mut(digest) {
            suspect.cleared = true;
        }
    }

    /// Ends a trial with an unknown result: the request stays suspected.
    pub fn end_trial(&mut self, digest: &Digest) {
        if self.trial.is_some_and(|(running, _)| running == *digest) {
            self.trial = None;
        }
    }

    /// Returns the contents to send to other VMs.
    pub fn delta(&self) -> &Delta {
        &self.known
    }

    /// Merges the contents of another VM's register.
    pub fn merge(&mut self, delta: &Delta, now: Instant) {
        self.known.quarantined.extend(&delta.quarantined);
        for (digest, theirs) in &delta.suspects {
            let ours = self.known.suspects.get(digest);
            if ours.is_some_and(|ours| !theirs.wins_over(ours)) {
                continue;
            }
            self.known.suspects.insert(*digest, theirs.clone());
            if !theirs.cleared && theirs.origin == self.data_centre {
                self.restart_settling(now);
            }
        }
        self.evict_excess();
    }
}
