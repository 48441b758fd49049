//! Anti-entropy between control processes.

use super::head::{FileChanges, Head, ObjectHash};
use super::marks::{Mark, MarkSet, Summary};
use super::tracker::{OfferOutcome, Readiness, ReceiveOutcome, Tracker};
use base::id::{Version, Vm};
use std::time::{Duration, Instant};

/// Largest total of object bytes in one message; the receiver asks again for the rest.
const MESSAGE_BYTES: usize = 256 * 1024;
/// Largest number of objects that one message asks for.
const WANTED: usize = 64;

/// Shortest time between two digests sent because of a peer's. A round trip between regions takes
/// about 25 ms; what is lost in between comes with the next regular exchange.
const ASK_BACK: Duration = Duration::from_millis(200);

base::message! {
    /// What a VM has; sent to a peer to get what it lacks. Equal VMs exchange about 20 bytes.
    #[derive(Default)]
    pub struct Digest {
        /// Version in force.
        pub version: Version,
        /// Version being fetched; 0 if none.
        pub fetching: Version,
        /// Objects that are missing for it.
        pub want: Vec<ObjectHash>,
        /// Summary of the sets.
        pub marks: Summary,
        /// Sums of the parts of the sets; empty unless the last exchange left a difference.
        pub sums: Vec<u64>,
    }

    /// A configuration relative to an older version.
    pub struct Change {
        /// Head row.
        pub head: Head,
        /// Version that `files` apply to; 0 for a full copy.
        pub since: Version,
        /// Files that differ.
        pub files: FileChanges,
    }

    /// Answer to a digest: what the sender of the digest lacks.
    #[derive(Default)]
    pub struct Delta {
        /// Version in force at the sender of the delta.
        pub version: Version,
        /// The sender is ready.
        pub ready: bool,
        /// Newer configuration.
        pub change: Option<Change>,
        /// Objects with their hashes.
        pub objects: Vec<(ObjectHash, Vec<u8>)>,
        /// Marks that may be new.
        pub marks: Vec<Mark>,
        /// Summary of the sets of the sender of the delta.
        pub summary: Summary,
        /// Age of the sender's confirmation of the keys, filled in by the caller for VMs of the
        /// same data centre.
        pub confirmed: Option<Duration>,
    }
}

base::value! {
    /// What a delta changed.
    #[derive(Default)]
    pub struct ApplyOutcome {
        /// A later version came into force.
        pub in_force: bool,
        /// The peer has the same marks. A safe change should be confirmed to its author only
        /// after this, or after the store has it: before, it is lost if this VM restarts.
        pub marks_equal: bool,
        /// Marks that were new.
        pub marks: Vec<Mark>,
        /// The delta brought something and more is missing; ask this peer again at once. Without
        /// the first condition two VMs would exchange at the rate of their round trip for as
        /// long as the peer can't help.
        pub incomplete: bool,
    }

    /// Configuration and sets of one VM.
    pub struct Replica {
        /// Configuration.
        pub tracker: Tracker,
        /// Safe changes.
        pub marks: MarkSet,
        differs: bool,
        asked: Option<Instant>,
    }
}

impl Replica {
    /// Starts with empty memory; see [`Tracker::new`].
    pub fn new(peers: impl IntoIterator<Item = Vm>, now: Instant) -> Self {
        Self {
            tracker: Tracker::new(peers, now),
            marks: MarkSet::default(),
            differs: false,
            asked: None,
        }
    }

    /// Returns what to send to a peer.
    pub fn digest(&self) -> Digest {
        let want: Vec<ObjectHash> = self.tracker.missing().into_iter().take(WANTED).collect();
        Digest {
            version: self.tracker.version(),
            fetching: self.tracker.fetching_version(),
            want,
            marks: self.marks.summary(),
            sums: if self.differs {
                self.marks.sums().to_vec()
            } else {
                Vec::new()
            },
        }
    }

    /// Returns whether the sender of `digest` has something that this VM lacks, so that this VM
    /// should send its own digest to that peer at once. It says so once per [`ASK_BACK`]: several
    /// peers announce the same news, and each would send all of it.
    pub fn should_request(&mut self, digest: &Digest, now: Instant) -> bool {
        let lags = digest.version > self.tracker.version() || digest.marks != self.marks.summary();
        let quiet = self
            .asked
            .is_none_or(|at| now.saturating_duration_since(at) >= ASK_BACK);
        let asks = lags && quiet;
        if asks {
            self.asked = Some(now);
        }
        asks
    }

    /// Answers a peer's digest.
    pub fn delta_for(&self, digest: &Digest) -> Delta {
        let held = self.tracker.active();
        let newer = held.filter(|held| held.head.version > digest.version.max(digest.fetching));
        let change = newer.map(|held| {
            let (since, files) = self.tracker.changes_since(digest.version);
            Change {
                head: held.head.clone(),
                since,
                files,
            }
        });
        // A peer that gets a full copy has most of the objects, unless it has just started; it
        // asks for the others.
        let sent = change
            .iter()
            .filter(|change| change.since != 0 || digest.version == 0);
        let changed = sent.flat_map(|change| change.files.values().flatten());
        let mut room = MESSAGE_BYTES;
        let mut objects = Vec::new();
        for hash in digest.want.iter().chain(changed) {
            let Some(content) = self.tracker.object(hash) else {
                continue;
            };
            // A single object over the limit is sent alone, or it would never arrive.
            if content.len() > room && !objects.is_empty() {
                break;
            }
            room = room.saturating_sub(content.len());
            objects.push((hash.clone(), content));
        }
        Delta {
            version: self.tracker.version(),
            ready: matches!(self.tracker.readiness(), Readiness::Ready(_)),
            change,
            objects,
            marks: self.marks.missing_at_peer(digest.marks, &digest.sums),
            summary: self.marks.summary(),
            confirmed: None,
        }
    }

    /// Takes the answer of `peer`.
    pub fn apply(&mut self, peer: &str, delta: Delta) -> ApplyOutcome {
        self.tracker.record_version(Some(delta.version));
        let mut in_force = false;
        let mut useful = delta.change.is_some();
        if let Some(Change { head, since, files }) = delta.change {
            in_force |= self.tracker.offer_head(head, since, &files) == OfferOutcome::InForce;
        }
        for (hash, content) in &delta.objects {
            let receipt = self.tracker.receive_object(hash, content);
            in_force |= receipt == ReceiveOutcome::InForce;
            useful |= receipt == ReceiveOutcome::Kept;
        }
        let marks: Vec<Mark> = delta
            .marks
            .into_iter()
            .filter(|mark| self.marks.add(mark.clone()))
            .collect();
        let own = self.marks.summary();
        // The sums of the parts are sent for the first time after this.
        useful |= !marks.is_empty() || (!self.differs && own != delta.summary);
        self.differs = own != delta.summary;
        let lacks = delta.version > self.tracker.version()
            || (self.differs && own.count < delta.summary.count);
        let incomplete = useful && lacks;
        // A fresh VM that lacks marks of the peer would accept withdrawn keys.
        if delta.ready && (!self.differs || own.count >= delta.summary.count) {
            self.tracker.record_peer_answer(peer, Some(delta.version));
        }
        ApplyOutcome {
            marks_equal: own == delta.summary,
            in_force,
            marks,
            incomplete,
        }
    }
}
