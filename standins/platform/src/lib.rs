//! Stand-in for the platform: table with compare-and-set, object store and delayed VM list.

pub mod args;
pub mod fault;
pub mod server;
pub mod store;
