//! Selection of the entry VMs for a client.

pub mod map;
pub mod rank;

pub use map::AddressMap;
pub use rank::{Answer, Entry};
