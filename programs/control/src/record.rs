//! Content of the rows that the system keeps in the platform's table.

use base::clock::Millis;
use base::id::{Release, Workspace};
use indexmap::{IndexMap, IndexSet};
use peers::local::Division;
use steering::lease::Holder;
use steering::limits::Floors;

/// Prefix of the rows that every control process reads.
pub const PREFIX: &str = "control/";
/// Row of the configuration in force; its row version is the configuration's version.
pub const HEAD: &str = "control/head";
/// Row of the issued keys.
pub const KEYS: &str = "control/keys";
/// Row of the changes that only grow.
pub const GROWING: &str = "control/growing";

/// Row of the division of limits and the owners of floors.
pub const FLOORS: &str = "floors";
/// Prefix of the lease rows of the granter shards.
pub const GRANTER: &str = "granter/";

base::message! {
    /// Division of limits and the owners of floors.
    pub struct Ledger {
        /// Division; all VMs use the one that was written first.
        pub division: Division,
        /// Owners.
        pub floors: Floors,
        /// Whether a VM waits for a floor of the pool; all granters then do with one less.
        pub freeing: bool,
        /// Granter shards whose grants fit without that floor.
        pub fitted: IndexSet<usize>,
    }

    /// Content of a lease row.
    pub struct Lessee {
        /// Holder; none after it gave the lease back.
        pub holder: Option<Holder>,
    }

    /// Configuration in force.
    #[serde(deny_unknown_fields)]
    pub struct Head {
        /// Author of the publication.
        pub author: Box<str>,
        /// Content hash of each steering file by its name.
        pub files: IndexMap<Box<str>, Box<str>>,
    }

    /// Issued keys by the hexadecimal form of their digest.
    #[derive(Default)]
    pub struct Keys {
        /// Keys.
        pub keys: IndexMap<Box<str>, Key>,
    }

    /// An issued key.
    #[serde(deny_unknown_fields)]
    pub struct Key {
        /// Workspace of the key.
        pub workspace: Workspace,
        /// Time from which the key is no longer accepted.
        pub expires: Option<Millis>,
    }

    /// Changes that need no permission; merging two copies keeps all entries of both.
    #[derive(Default)]
    #[serde(default)]
    pub struct Growing {
        /// Digests of withdrawn keys.
        pub withdrawn: IndexSet<Box<str>>,
        /// Halted releases with the reason.
        pub halted: IndexMap<Release, Box<str>>,
        /// Backend servers that are being drained.
        pub draining: IndexSet<Box<str>>,
    }
}

impl Growing {
    /// Adds all entries of `other`; returns whether any was new.
    pub fn merge(&mut self, other: &Self) -> bool {
        let before = self.len();
        self.withdrawn.extend(other.withdrawn.iter().cloned());
        self.draining.extend(other.draining.iter().cloned());
        for (release, reason) in &other.halted {
            self.halted
                .entry(release.clone())
                .or_insert_with(|| reason.clone());
        }
        self.len() > before
    }

    fn len(&self) -> usize {
        self.withdrawn.len() + self.halted.len() + self.draining.len()
    }
}
