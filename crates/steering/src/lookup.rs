//! Which entry VMs a client should use.

pub mod map;
pub mod rank;

pub use map::AddressMap;
pub use rank::{Answer, Entry};
