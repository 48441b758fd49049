//! Rows and files in the platform's store.

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
/// Row that names the version of the row [`MARKS`], which is large and rarely changes.
pub const MARKS_VERSION: &str = "control/growing";
/// Row of the marks, a grow-only set; read when [`MARKS_VERSION`] names another version.
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
        /// Division of limits; all VMs use the one that was written first.
        pub division: Division,
        /// Owners of floors.
        pub floors: Floors,
        /// Whether a pooled floor is being freed for a VM; granters then use one floor less.
        pub freeing: bool,
        /// Granter shards whose grants fit without that floor.
        pub fitted: IndexSet<usize>,
    }

    /// Content of a lease row.
    pub struct Lessee {
        /// Holder; `None` after it released the lease.
        pub holder: Option<Holder>,
    }

    /// Issued keys.
    #[derive(Default)]
    #[serde(deny_unknown_fields)]
    pub struct Ring {
        /// Keys as digests with their workspaces.
        pub keys: Vec<Entry>,
    }

    /// Version of the row [`MARKS`].
    #[derive(Default)]
    #[serde(deny_unknown_fields)]
    pub struct Mark {
        /// Row version.
        pub version: u64,
    }

    /// Grow-only set of changes that need no permission; a merge keeps all entries of both copies.
    #[derive(Default)]
    #[serde(default)]
    pub struct Growing {
        /// Withdrawn keys, halted releases and drains.
        pub marks: IndexSet<config::Mark>,
        /// Reasons of halted releases.
        pub reasons: IndexMap<Release, Box<str>>,
    }
}
