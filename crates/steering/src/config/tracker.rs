//! Configuration in force on one VM, and the newer version that it is fetching.

use super::head::{self, FileChanges, Head, Manifest, ObjectHash};
use base::id::{Version, Vm};
use indexmap::{IndexMap, IndexSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Largest number of steps between versions that are kept to compute deltas for peers. At 8,500
/// changes a day they cover the last ten minutes; a peer that lags further gets a full copy.
const MAX_STEPS: usize = 64;

/// Time for which a VM with empty memory listens before it is ready. It exceeds the time in which a
/// new version spreads (at most 1.4 s). Otherwise a VM that served a new version, restarted at once
/// and asked only peers that the version had not reached yet would serve the older one.
pub const STARTUP_LISTEN: Duration = Duration::from_secs(2);

base::value! {
    /// Whether a VM may serve.
    pub enum Readiness {
        /// The store or a peer has neither answered nor failed yet, or [`STARTUP_LISTEN`] isn't
        /// over.
        Asking,
        /// Neither the store nor a peer has any configuration, or none could be reached.
        Unknown,
        /// A version is known, but some of its objects are missing.
        Fetching(Version),
        /// This version is in force.
        Ready(Version),
    }

    /// Result of offering a head.
    pub enum OfferOutcome {
        /// Lower than the version in force or being fetched; refused.
        Stale,
        /// Already in force or being fetched.
        Known,
        /// Same version as a known head, but from another operation. The table prevents this, so
        /// one of the two does not come from it; the first one is kept.
        Contradiction,
        /// Accepted; objects are still missing.
        Fetching,
        /// Accepted and in force at once, because no object was missing.
        InForce,
    }

    /// Result of receiving an object.
    pub enum ReceiveOutcome {
        /// Not needed.
        Unneeded,
        /// The content doesn't match the hash; dropped.
        Corrupt,
        /// Kept; other objects are still missing.
        Kept,
        /// The last missing object: the version is in force.
        InForce,
    }

    /// A complete configuration.
    pub struct ActiveConfig {
        /// Head row.
        pub head: Head,
        /// All files.
        pub manifest: Manifest,
    }

    struct Candidate {
        head: Head,
        manifest: Option<Manifest>,
    }

    struct Step {
        from: Version,
        names: Box<[Box<str>]>,
    }

    /// Configuration of one VM.
    pub struct Tracker {
        active: Option<Arc<ActiveConfig>>,
        candidate: Option<Candidate>,
        objects: IndexMap<ObjectHash, Arc<[u8]>>,
        steps: Vec<Step>,
        highest: Version,
        store_answered: bool,
        awaited_peers: IndexSet<Vm>,
        has_peer_answer: bool,
        listen_until: Instant,
        has_listened: bool,
        is_ready: bool,
    }
}

impl Tracker {
    /// Starts with empty memory. The VM is not ready until the store and each of `peers` have
    /// answered or failed, [`STARTUP_LISTEN`] is over, and the highest version among the answers is
    /// in force.
    pub fn new(peers: impl IntoIterator<Item = Vm>, now: Instant) -> Self {
        Self {
            active: None,
            candidate: None,
            objects: IndexMap::new(),
            steps: Vec::new(),
            highest: 0,
            store_answered: false,
            awaited_peers: peers.into_iter().collect(),
            has_peer_answer: false,
            listen_until: now + STARTUP_LISTEN,
            has_listened: false,
            is_ready: false,
        }
    }

    /// Records that the store answered with `version` (0 for none), or failed if `None`.
    pub fn record_store_answer(&mut self, version: Option<Version>) {
        self.store_answered = true;
        self.record_version(version);
    }

    /// Records that a peer answered with `version`, or failed if `None`. The answer of a peer that
    /// is not ready must not be recorded: it may have started at the same time and know less than
    /// others.
    pub fn record_peer_answer(&mut self, peer: &str, version: Option<Version>) {
        self.awaited_peers.swap_remove(peer);
        self.has_peer_answer |= version.is_some();
        self.record_version(version);
    }

    /// Records that all peers without an answer failed and that `others` are asked instead. Without
    /// others, the VM relies on the answers that it has.
    pub fn replace_peers(&mut self, others: impl IntoIterator<Item = Vm>) {
        self.awaited_peers = others.into_iter().collect();
        self.record_version(None);
    }

    /// Returns whether a ready peer has answered. Until one has, a new VM should ask others,
    /// because a read of the store alone may be stale.
    pub fn has_peer_answer(&self) -> bool {
        self.has_peer_answer
    }

    /// Records that time passes; to be called several times a second until the VM is ready.
    pub fn tick(&mut self, now: Instant) {
        self.has_listened |= now >= self.listen_until;
        self.update_readiness();
    }

    /// Records that `version` exists somewhere; a new VM waits for it.
    pub fn record_version(&mut self, version: Option<Version>) {
        self.highest = self.highest.max(version.unwrap_or(0));
        self.update_readiness();
    }

    /// Returns the version in force; 0 if none.
    pub fn version(&self) -> Version {
        self.active.as_ref().map_or(0, |active| active.head.version)
    }

    /// Returns the version being fetched; 0 if none.
    pub fn fetching_version(&self) -> Version {
        self.candidate
            .as_ref()
            .map_or(0, |candidate| candidate.head.version)
    }

    /// Returns the configuration in force.
    pub fn active(&self) -> Option<&Arc<ActiveConfig>> {
        self.active.as_ref()
    }

    /// Returns the content of a file in force.
    pub fn file(&self, name: &str) -> Option<&Arc<[u8]>> {
        let hash = self.active.as_ref()?.manifest.files.get(name)?;
        self.objects.get(hash)
    }

    /// Returns an object of this VM: a file or the manifest in force.
    pub fn object(&self, hash: &str) -> Option<Vec<u8>> {
        let file = self.objects.get(hash).map(|content| content.to_vec());
        let active = self
            .active
            .iter()
            .find(|active| *active.head.manifest == *hash);
        file.or_else(|| Some(active?.manifest.to_bytes().into()))
    }

    /// Returns whether the VM may serve. A VM that was ready stays ready, because later versions
    /// replace the one in force only when they are complete.
    pub fn readiness(&self) -> Readiness {
        match &self.candidate {
            _ if self.is_ready => Readiness::Ready(self.version()),
            Some(candidate) => Readiness::Fetching(candidate.head.version),
            None if !self.has_listened
                || !self.store_answered
                || !self.awaited_peers.is_empty() =>
            {
                Readiness::Asking
            }
            None if self.highest > self.version() => Readiness::Fetching(self.highest),
            None => Readiness::Unknown,
        }
    }

    /// Takes a head from the store or from a peer. `since` and `files` are the changes from an
    /// older version, if the sender knows them; the head itself has the changes from its base
    /// version.
    pub fn offer_head(&mut self, head: Head, since: Version, files: &FileChanges) -> OfferOutcome {
        self.highest = self.highest.max(head.version);
        let known = match &self.candidate {
            Some(candidate) => Some(&candidate.head),
            None => self.active.as_ref().map(|active| &active.head),
        };
        match known {
            Some(known) if known.version > head.version => return OfferOutcome::Stale,
            Some(known) if known.version == head.version && known.operation != head.operation => {
                return OfferOutcome::Contradiction;
            }
            Some(known) if known.version == head.version => {
                let lacking = self
                    .candidate
                    .as_ref()
                    .is_some_and(|c| c.manifest.is_none());
                if !lacking {
                    return OfferOutcome::Known;
                }
            }
            _ => {}
        }
        let manifest = self
            .derive(since, files, &head.manifest)
            .or_else(|| self.derive(head.base, &head.changed, &head.manifest))
            .or_else(|| Manifest::parse(self.objects.get(&head.manifest)?));
        self.candidate = Some(Candidate { head, manifest });
        if self.promote() {
            OfferOutcome::InForce
        } else {
            OfferOutcome::Fetching
        }
    }

    /// Applies `files` to the manifest of version `since`; `None` if the result has another hash.
    fn derive(&self, since: Version, files: &FileChanges, hash: &ObjectHash) -> Option<Manifest> {
        let manifest = match &self.active {
            _ if since == 0 => Manifest::default().apply(files),
            Some(active) if active.head.version == since => active.manifest.apply(files),
            _ => return None,
        };
        (manifest.hash() == *hash).then_some(manifest)
    }

    /// Returns the hashes of the objects that the version being fetched still needs.
    pub fn missing(&self) -> Vec<ObjectHash> {
        match &self.candidate {
            None => Vec::new(),
            Some(Candidate {
                head,
                manifest: None,
            }) => vec![head.manifest.clone()],
            Some(Candidate {
                manifest: Some(manifest),
                ..
            }) => manifest
                .files
                .values()
                .filter(|hash| !self.objects.contains_key(*hash))
                .cloned()
                .collect(),
        }
    }

    /// Takes an object from the store or from a peer.
    pub fn receive_object(&mut self, hash: &str, content: &[u8]) -> ReceiveOutcome {
        if *head::content_hash(content) != *hash {
            return ReceiveOutcome::Corrupt;
        }
        let Some(candidate) = &mut self.candidate else {
            return ReceiveOutcome::Unneeded;
        };
        match &candidate.manifest {
            None if *candidate.head.manifest == *hash => {
                candidate.manifest = Manifest::parse(content);
                if candidate.manifest.is_none() {
                    return ReceiveOutcome::Corrupt;
                }
            }
            Some(manifest) if manifest.files.values().any(|needed| **needed == *hash) => {
                self.objects.insert(hash.into(), content.into());
            }
            _ => return ReceiveOutcome::Unneeded,
        }
        if self.promote() {
            ReceiveOutcome::InForce
        } else {
            ReceiveOutcome::Kept
        }
    }

    /// Puts the candidate in force if nothing is missing, and drops objects of older versions.
    fn promote(&mut self) -> bool {
        if self.candidate.is_none() || !self.missing().is_empty() {
            return false;
        }
        let Some(Candidate {
            head,
            manifest: Some(manifest),
        }) = self.candidate.take()
        else {
            return false;
        };
        if let Some(old) = &self.active {
            let names = manifest.diff_from(&old.manifest).into_keys().collect();
            if self.steps.len() == MAX_STEPS {
                self.steps.remove(0);
            }
            self.steps.push(Step {
                from: old.head.version,
                names,
            });
        }
        let needed: IndexSet<&ObjectHash> = manifest.files.values().collect();
        self.objects.retain(|hash, _| needed.contains(hash));
        self.active = Some(Arc::new(ActiveConfig { head, manifest }));
        self.update_readiness();
        true
    }

    fn update_readiness(&mut self) {
        let answered = self.has_listened && self.store_answered && self.awaited_peers.is_empty();
        self.is_ready |= answered && self.active.is_some() && self.version() >= self.highest;
    }

    /// Returns the files that changed since `version`, with the version that they apply to: the
    /// same one, or 0 with all files if the steps since then are no longer known.
    ///
    /// If this VM skipped `version`, the step that spans it is used. A file that changed and
    /// changed back within that step is missing then. The receiver detects it by the hash of the
    /// manifest and requests the manifest.
    pub fn changes_since(&self, version: Version) -> (Version, FileChanges) {
        let Some(active) = &self.active else {
            return (0, FileChanges::new());
        };
        let Some(first) = self.steps.iter().rposition(|step| step.from <= version) else {
            return (0, active.manifest.diff_from(&Manifest::default()));
        };
        let files = self.steps[first..]
            .iter()
            .flat_map(|step| step.names.iter())
            .map(|name| (name.clone(), active.manifest.files.get(name).cloned()))
            .collect();
        (version, files)
    }
}
