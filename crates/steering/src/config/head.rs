//! Head row of the configuration and the manifest that it refers to.

use base::id::{Operation, Version};
use indexmap::IndexMap;

/// BLAKE3 hash of an object's content, in hexadecimal.
pub type ObjectHash = Box<str>;
/// Changed files with the hashes of their new contents; `None` for a removed file.
pub type FileChanges = IndexMap<Box<str>, Option<ObjectHash>>;

/// Largest number of earlier operation ids in a head. The outcome of a write without an answer can
/// be determined if at most this many publications followed. Each id adds 32 bytes to every poll.
pub const EARLIER_OPERATIONS: usize = 8;

/// Returns the content hash of an object.
pub fn content_hash(content: &[u8]) -> ObjectHash {
    blake3::hash(content).to_hex().as_str().into()
}

base::message! {
    /// All files of a configuration, with the hashes of their contents.
    #[derive(Default)]
    pub struct Manifest {
        /// File name and content hash.
        pub files: IndexMap<Box<str>, ObjectHash>,
    }

    /// Content of the table's row `head`.
    ///
    /// It contains only the hash of the manifest, because the row is polled by every data centre
    /// and the manifest grows with the number of services.
    #[serde(deny_unknown_fields)]
    pub struct Head {
        /// Version; equal to the version of the row.
        pub version: Version,
        /// Id of the operation that wrote this head.
        pub operation: Operation,
        /// Operator who published this version.
        pub author: Box<str>,
        /// Version against which the change was reviewed; 0 for the first publication.
        pub base: Version,
        /// Hash of the manifest object.
        pub manifest: ObjectHash,
        /// Files that differ from the base version.
        pub changed: FileChanges,
        /// Operation ids of the versions before this one, latest first.
        pub earlier: Box<[Operation]>,
    }
}

impl Manifest {
    /// Returns the manifest as an object to store. Files are sorted by name, so that equal
    /// manifests have equal hashes.
    pub fn to_bytes(&self) -> Box<[u8]> {
        let mut sorted = self.clone();
        sorted.files.sort_unstable_keys();
        serde_json::to_vec(&sorted).unwrap_or_default().into()
    }

    /// Parses a manifest object; `None` if it is malformed.
    pub fn parse(object: &[u8]) -> Option<Self> {
        serde_json::from_slice(object).ok()
    }

    /// Returns the hash of the manifest object.
    pub fn hash(&self) -> ObjectHash {
        content_hash(&self.to_bytes())
    }

    /// Returns this manifest with `changed` applied.
    pub fn apply(&self, changed: &FileChanges) -> Self {
        let mut files = self.files.clone();
        for (name, hash) in changed {
            match hash {
                Some(hash) => {
                    files.insert(name.clone(), hash.clone());
                }
                None => {
                    files.swap_remove(name);
                }
            }
        }
        Self { files }
    }

    /// Returns the changes that turn `older` into this manifest.
    pub fn diff_from(&self, older: &Self) -> FileChanges {
        let removed = older
            .files
            .keys()
            .filter(|name| !self.files.contains_key(*name))
            .map(|name| (name.clone(), None));
        self.files
            .iter()
            .filter(|(name, hash)| older.files.get(*name) != Some(hash))
            .map(|(name, hash)| (name.clone(), Some(hash.clone())))
            .chain(removed)
            .collect()
    }
}

impl Head {
    /// Returns the operation that wrote `version`, if this head still names it.
    pub fn operation_of(&self, version: Version) -> Option<&Operation> {
        match self.version.checked_sub(version)? {
            0 => Some(&self.operation),
            back => self.earlier.get(usize::try_from(back - 1).ok()?),
        }
    }
}
