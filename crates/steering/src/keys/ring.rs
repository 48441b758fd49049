//! Issued keys with their workspaces, and the set of withdrawn ones.

use super::digest::Digest;
use base::clock::Millis;
use base::id::Workspace;
use indexmap::{IndexMap, IndexSet};
use subtle::ConstantTimeEq;

base::label! {
    /// Reason why a key doesn't authorise.
    #[serde(rename_all = "kebab-case")]
    pub enum Refusal {
        /// No workspace has this key.
        Unknown,
        /// The key was withdrawn.
        Withdrawn,
        /// The key was replaced by rotation and its overlap has ended.
        Expired,
        /// The VM has been isolated for too long to know whether the key was withdrawn.
        NotConfirmed,
    }
}

base::message! {
    /// A key in the steering files.
    #[serde(deny_unknown_fields)]
    pub struct Entry {
        /// Digest of the key.
        pub digest: Digest,
        /// Workspace that it authorises.
        pub workspace: Workspace,
        /// Time from which it no longer authorises, in wall-clock milliseconds since the Unix
        /// epoch.
        #[serde(default)]
        pub until: Option<Millis>,
    }
}

base::value! {
    /// All issued keys, grouped by the first two bytes of their digests, so that a look-up compares
    /// about one of 40,000 keys. The time to find a group reveals nothing about a key, because the
    /// digests depend on a secret.
    #[derive(Default)]
    pub struct Ring {
        groups: IndexMap<u16, Vec<Entry>>,
    }

    /// Grow-only set of withdrawn keys.
    #[derive(Default)]
    pub struct Withdrawn {
        digests: IndexSet<Digest>,
    }
}

impl FromIterator<Entry> for Ring {
    fn from_iter<I: IntoIterator<Item = Entry>>(entries: I) -> Self {
        let mut ring = Self::default();
        for entry in entries {
            ring.insert(entry);
        }
        ring
    }
}

impl FromIterator<Digest> for Withdrawn {
    fn from_iter<I: IntoIterator<Item = Digest>>(digests: I) -> Self {
        Self {
            digests: digests.into_iter().collect(),
        }
    }
}

impl Withdrawn {
    /// Withdraws a key; returns whether it was newly withdrawn.
    pub fn add(&mut self, digest: Digest) -> bool {
        self.digests.insert(digest)
    }

    /// Adds all keys of `other`.
    pub fn merge(&mut self, other: &Self) {
        self.digests.extend(&other.digests);
    }

    /// Returns whether a key is withdrawn.
    pub fn contains(&self, digest: &Digest) -> bool {
        self.digests.contains(digest)
    }

    /// Returns the number of withdrawn keys.
    pub fn len(&self) -> usize {
        self.digests.len()
    }

    /// Returns whether no key is withdrawn.
    pub fn is_empty(&self) -> bool {
        self.digests.is_empty()
    }
}

impl Ring {
    fn insert(&mut self, entry: Entry) {
        let group = self.groups.entry(entry.digest.prefix()).or_default();
        // A digest belongs to its first workspace: a later steering file can't claim another
        // workspace's key.
        if group.iter().all(|known| known.digest != entry.digest) {
            group.push(entry);
        }
    }

    /// Returns all keys.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.groups.values().flatten()
    }

    /// Issues an additional key to a workspace.
    pub fn issue(&mut self, workspace: impl Into<Workspace>, digest: Digest) {
        self.insert(Entry {
            digest,
            workspace: workspace.into(),
            until: None,
        });
    }

    /// Issues a key to a workspace and ends its other keys at `until`, unless they end earlier.
    pub fn rotate(&mut self, workspace: &str, digest: Digest, until: Millis) {
        let entries = self.groups.values_mut().flatten();
        for entry in
            entries.filter(|entry| *entry.workspace == *workspace && entry.digest != digest)
        {
            entry.until = Some(entry.until.map_or(until, |earlier| earlier.min(until)));
        }
        self.issue(workspace, digest);
    }

    /// Replaces one key of a workspace by another; the old one ends at `until`, unless it ends
    /// earlier. Other keys of the workspace stay. Returns whether the old key exists.
    pub fn replace(&mut self, old: &Digest, digest: Digest, until: Millis) -> bool {
        let mut entries = self.groups.values_mut().flatten();
        let Some(entry) = entries.find(|entry| entry.digest == *old) else {
            return false;
        };
        entry.until = Some(entry.until.map_or(until, |earlier| earlier.min(until)));
        let workspace = entry.workspace.clone();
        self.issue(workspace, digest);
        true
    }

    /// Returns the workspace that a key authorises at `now`, in wall-clock milliseconds since the
    /// Unix epoch.
    ///
    /// # Errors
    ///
    /// The key is unknown, withdrawn or expired.
    pub fn authorise(
        &self,
        digest: &Digest,
        withdrawn: &Withdrawn,
        now: Millis,
    ) -> Result<&Workspace, Refusal> {
        let group = self
            .groups
            .get(&digest.prefix())
            .map_or(&[][..], Vec::as_slice);
        // All entries of the group are compared, so that the time doesn't depend on the match.
        let found = group.iter().fold(None, |found, entry| {
            let matches: bool = entry.digest.ct_eq(digest).into();
            if matches { Some(entry) } else { found }
        });
        let entry = found.ok_or(Refusal::Unknown)?;
        if withdrawn.contains(digest) {
            return Err(Refusal::Withdrawn);
        }
        match entry.until {
            Some(until) if now >= until => Err(Refusal::Expired),
            _ => Ok(&entry.workspace),
        }
    }
}
