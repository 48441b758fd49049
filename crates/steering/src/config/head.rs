//! The head row and the manifest that it names.

use base::id::{Operation, Version};
use indexmap::IndexMap;

/// Content hash of an object, BLAKE3 in hexadecimal.
pub type ObjectHash = Box<str>;
/// File names with the hashes of their new content; `None` for a removed file.
pub type FileChanges = IndexMap<Box<str>, Option<ObjectHash>>;

/// Operation ids of earlier versions that a head carries. A lost answer can be settled as long
/// as at most this many publications followed; each id costs every poll 32 bytes.
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
    /// It names the manifest by its hash instead of containing it: the row is read by every
    /// reader twice a second, and the manifest grows with the number of services.
    #[serde(deny_unknown_fields)]
    pub struct Head {
        /// Version; equal to the version of the row.
        pub version: Version,
        /// Id of the operation that wrote this head.
        pub operation: Operation,
        /// Operator who published it.
        pub author: Box<str>,
        /// Version against which it was reviewed; 0 for the first publication.
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
    /// Returns the object to store. The files are sorted by name, so equal manifests have equal
    /// hashes.
    pub fn to_bytes(&self) -> Box<[u8]> {
        let mut sorted = self.clone();
        sorted.files.sort_unstable_keys();
        serde_json::to_vec(&sorted).unwrap_or_default().into()
    }

    /// Reads a manifest object; `None` if it is malformed.
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

    /// Returns what has to be applied to `older` to get this manifest.
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
