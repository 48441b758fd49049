//! Anti-entropy exchange of configuration and marks between control processes.

use super::head::{FileChanges, Head, ObjectHash};
use super::marks::{Mark, MarkSet, Summary};
use super::tracker::{OfferOutcome, Readiness, ReceiveOutcome, Tracker};
use base::id::{Version, Vm};
use std::time::{Duration, Instant};

/// Largest total size of the objects in one message; the receiver requests the rest again.
const MAX_OBJECT_BYTES: usize = 256 * 1024;
/// Largest number of objects that one message requests.
const MAX_WANTED: usize = 64;

/// Shortest interval between two digests sent in response to a peer's digest. A round trip between
/// regions takes about 25 ms; lost messages are made up for by the next regular exchange.
const REQUEST_INTERVAL: Duration = Duration::from_millis(200);

base::message! {
    /// Summary of a VM's state, sent to a peer to get what the VM lacks. VMs with equal state
    /// exchange about 20 bytes.
    #[derive(Default)]
    pub struct Digest {
        /// Version in force.
        pub version: Version,
        /// Version being fetched; 0 if none.
        pub fetching: Version,
        /// Objects that are missing for it.
        pub want: Vec<ObjectHash>,
        /// Summary of the marks.
        pub marks: Summary,
        /// Hash sums of the buckets of marks; empty unless the last exchange left a difference.
        pub sums: Vec<u64>,
    }

    /// Configuration relative to an older version.
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
        /// Whether the sender is ready.
        pub ready: bool,
        /// Newer configuration.
        pub change: Option<Change>,
        /// Objects with their hashes.
        pub objects: Vec<(ObjectHash, Vec<u8>)>,
        /// Marks that the receiver may lack.
        pub marks: Vec<Mark>,
        /// Summary of the marks of the sender of the delta.
        pub summary: Summary,
        /// Age of the sender's confirmation of the keys. The caller fills it in for VMs of the same
        /// data centre.
        pub confirmed: Option<Duration>,
    }
}

base::value! {
    /// Result of applying a delta.
    #[derive(Default)]
    pub struct ApplyOutcome {
        /// Whether a later version came into force.
        pub in_force: bool,
        /// Whether the peer has the same marks. A safe change should be confirmed to its author
        /// only after this, or once the store has it: otherwise it is lost if this VM restarts.
        pub marks_equal: bool,
        /// Marks that were new.
        pub marks: Vec<Mark>,
        /// Whether the delta was useful and more is missing, so that this peer should be asked
        /// again at once. If useless deltas counted, two VMs would exchange once per round trip for
        /// as long as the peer lacks the rest, too.
        pub incomplete: bool,
    }

    /// Configuration and marks of one VM.
    pub struct Replica {
        /// Configuration.
        pub tracker: Tracker,
        /// Safe changes.
        pub marks: MarkSet,
        marks_differ: bool,
        requested_at: Option<Instant>,
    }
}

impl Replica {
    /// Starts with empty memory; see [`Tracker::new`].
    pub fn new(peers: impl IntoIterator<Item = Vm>, now: Instant) -> Self {
        Self {
            tracker: Tracker::new(peers, now),
            marks: MarkSet::default(),
            marks_differ: false,
            requested_at: None,
        }
    }

    /// Returns the digest to send to a peer.
    pub fn digest(&self) -> Digest {
        let want: Vec<ObjectHash> = self
            .tracker
            .missing()
            .into_iter()
            .take(MAX_WANTED)
            .collect();
        Digest {
            version: self.tracker.version(),
            fetching: self.tracker.fetching_version(),
            want,
            marks: self.marks.summary(),
            sums: if self.marks_differ {
                self.marks.bucket_sums().to_vec()
            } else {
                Vec::new()
            },
        }
    }

    /// Returns whether the sender of `digest` has something that this VM lacks, so that this VM
    /// should send its own digest to that peer at once. It returns `true` at most once per
    /// [`REQUEST_INTERVAL`]: several peers announce the same change, and each would send all of it.
    pub fn should_request(&mut self, digest: &Digest, now: Instant) -> bool {
        let lags = digest.version > self.tracker.version() || digest.marks != self.marks.summary();
        let is_due = self
            .requested_at
            .is_none_or(|at| now.saturating_duration_since(at) >= REQUEST_INTERVAL);
        let requests = lags && is_due;
        if requests {
            self.requested_at = Some(now);
        }
        requests
    }

    /// Returns what the sender of a digest lacks.
    pub fn delta_for(&self, digest: &Digest) -> Delta {
        let active = self.tracker.active();
        let newer =
            active.filter(|active| active.head.version > digest.version.max(digest.fetching));
        let change = newer.map(|active| {
            let (since, files) = self.tracker.changes_since(digest.version);
            Change {
                head: active.head.clone(),
                since,
                files,
            }
        });
        // A peer that gets a full list of files has most of the objects, unless it has just
        // started; it requests the others.
        let sent = change
            .iter()
            .filter(|change| change.since != 0 || digest.version == 0);
        let changed = sent.flat_map(|change| change.files.values().flatten());
        let mut remaining_bytes = MAX_OBJECT_BYTES;
        let mut objects = Vec::new();
        for hash in digest.want.iter().chain(changed) {
            let Some(content) = self.tracker.object(hash) else {
                continue;
            };
            // An object over the limit is sent alone; otherwise it would never arrive.
            if content.len() > remaining_bytes && !objects.is_empty() {
                break;
            }
            remaining_bytes = remaining_bytes.saturating_sub(content.len());
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

    /// Applies the delta received from `peer`.
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
        // After the first difference, the next digest has the bucket sums, so it gets further
        // marks.
        useful |= !marks.is_empty() || (!self.marks_differ && own != delta.summary);
        self.marks_differ = own != delta.summary;
        let lacks = delta.version > self.tracker.version()
            || (self.marks_differ && own.count < delta.summary.count);
        let incomplete = useful && lacks;
        // A new VM that lacks marks of the peer would accept withdrawn keys.
        if delta.ready && (!self.marks_differ || own.count >= delta.summary.count) {
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
