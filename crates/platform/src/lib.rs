//! Client of the platform: its table, its object store and its list of VMs.

pub mod client;
pub mod error;
pub mod list;
pub mod table;

pub use client::Client;
pub use error::Error;
