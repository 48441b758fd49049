//! Anti-entropy between control processes.

use super::head::{Files, Hash, Head};
use super::sets::{Mark, Sets, Summary};
use super::tracker::{Offer, Receipt, Source, Tracker};
use base::id::Version;
use std::time::Duration;

/// Largest total of object bytes in one message; the receiver asks again for the rest.
const MESSAGE_BYTES: usize = 256 * 1024;
/// Largest number of objects that one message asks for.
const WANTED: usize = 64;

base::message! {
    /// What a VM has; sent to a peer to get what it lacks. Equal VMs exchange about 20 bytes.
    #[derive(Default)]
    pub struct Digest {
        /// Version in force.
        pub version: Version,
        /// Version being fetched; 0 if none.
        pub fetching: Version,
        /// Objects that are missing for it.
        pub want: Vec<Hash>,
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
        pub files: Files,
    }

    /// Answer to a digest: what the sender of the digest lacks.
    #[derive(Default)]
    pub struct Delta {
        /// Version in force at the sender of the delta.
        pub version: Version,
        /// Newer configuration.
        pub change: Option<Change>,
        /// Objects with their hashes.
        pub objects: Vec<(Hash, Vec<u8>)>,
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
    pub struct Applied {
        /// A later version came into force.
        pub in_force: bool,
        /// Marks that were new.
        pub marks: Vec<Mark>,
        /// Something is still missing; ask this peer again at once.
        pub incomplete: bool,
    }

    /// Configuration and sets of one VM.
    pub struct Replica {
        /// Configuration.
        pub tracker: Tracker,
        /// Safe changes.
        pub sets: Sets,
        differs: bool,
    }
}

impl Replica {
    /// Starts with empty memory; see [`Tracker::new`].
    pub fn new(peers: usize) -> Self {
        Self {
            tracker: Tracker::new(peers),
            sets: Sets::default(),
            differs: false,
        }
    }

    /// Returns what to send to a peer.
    pub fn digest(&self) -> Digest {
        let want: Vec<Hash> = self.tracker.missing().into_iter().take(WANTED).collect();
        Digest {
            version: self.tracker.version(),
            fetching: self.tracker.fetching(),
            want,
            marks: self.sets.summary(),
            sums: if self.differs {
                self.sets.sums().to_vec()
            } else {
                Vec::new()
            },
        }
    }

    /// Returns whether the sender of `digest` has something that this VM lacks, so that this VM
    /// should send its own digest to that peer at once.
    pub fn lags(&self, digest: &Digest) -> bool {
        digest.version > self.tracker.version() || digest.marks != self.sets.summary()
    }

    /// Answers a peer's digest.
    pub fn answer(&self, digest: &Digest) -> Delta {
        let held = self.tracker.held();
        let newer = held.filter(|held| held.head.version > digest.version.max(digest.fetching));
        let change = newer.map(|held| {
            let (since, files) = self.tracker.changes_since(digest.version);
            Change {
                head: held.head.clone(),
                since,
                files,
            }
        });
        let changed = change
            .iter()
            .flat_map(|change| change.files.values().flatten());
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
            objects.push((hash.clone(), content.to_vec()));
        }
        Delta {
            version: self.tracker.version(),
            change,
            objects,
            marks: self.sets.lacking(digest.marks, &digest.sums),
            summary: self.sets.summary(),
            confirmed: None,
        }
    }

    /// Takes a peer's answer.
    pub fn apply(&mut self, delta: Delta) -> Applied {
        self.tracker.heard(Source::Peer, Some(delta.version));
        let mut in_force = false;
        if let Some(Change { head, since, files }) = delta.change {
            in_force |= self.tracker.offer(head, since, &files) == Offer::InForce;
        }
        for (hash, content) in &delta.objects {
            in_force |= self.tracker.receive(hash, content) == Receipt::InForce;
        }
        let marks: Vec<Mark> = delta
            .marks
            .into_iter()
            .filter(|mark| self.sets.add(mark.clone()))
            .collect();
        let own = self.sets.summary();
        self.differs = own != delta.summary;
        let incomplete = delta.version > self.tracker.version()
            || (self.differs && own.count < delta.summary.count);
        Applied {
            in_force,
            marks,
            incomplete,
        }
    }
}
