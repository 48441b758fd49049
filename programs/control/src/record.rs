//! Content of the rows and files that the system keeps in the platform's store.

use base::id::Release;
use indexmap::{IndexMap, IndexSet};
use steering::config;
use steering::keys::ring::Entry;

/// Prefix of the rows that the readers of all data centres read.
pub const PREFIX: &str = "control/";
/// Row of the configuration in force; its row version is the configuration's version.
pub const HEAD: &str = "control/head";
/// Row that names the version of the row [`GROWING`], which is large and rarely changes.
pub const MARK: &str = "control/growing";
/// Row of the changes that only grow; read when [`MARK`] names another version.
pub const GROWING: &str = "growing";
/// File of the issued keys in a configuration. Operators neither see nor publish it.
pub const RING: &str = "keys.json";

base::message! {
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
