//! Content of the rows and files that the system keeps in the platform's store.

use base::id::Release;
use indexmap::{IndexMap, IndexSet};
use peers::local::Division;
use steering::config;
use steering::keys::ring::Entry;
use steering::lease::Holder;
use steering::limits::Floors;

/// Prefix of the rows that the readers of all data centres read.
pub const PREFIX: &str = "control/";
/// Row of the configuration in force; its row version is the configuration's version.
pub const HEAD: &str = "control/head";
/// Row that names the version of the row [`GROWING`], which is large and rarely changes.
pub const MARKS_VERSION: &str = "control/growing";
/// Row of the changes that only grow; read when [`MARK`] names another version.
pub const MARKS: &str = "growing";
/// File of the issued keys in a configuration. Operators neither see nor publish it.
pub const RING: &str = "keys.json";

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

    /// Issued keys.
    #[derive(Default)]
    #[serde(deny_unknown_fields)]
    pub struct Ring {
        /// Keys.
        pub keys: Vec<Entry>,
    }

    /// Version of the row [`GROWING`].
    #[derive(Default)]
    #[serde(deny_unknown_fields)]
    pub struct Mark {
        /// Version.
        pub version: u64,
    }

    /// Changes that need no permission; merging two copies keeps all entries of both.
    #[derive(Default)]
    #[serde(default)]
    pub struct Growing {
        /// Withdrawn keys, halted releases and drains.
        pub marks: IndexSet<config::Mark>,
        /// Reasons of halted releases.
        pub reasons: IndexMap<Release, Box<str>>,
    }
}
