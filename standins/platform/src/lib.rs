//! Stand-in for the platform: table with compare-and-set, object store and lagging VM list.

pub mod args;
pub mod fault;
pub mod server;
pub mod store;
