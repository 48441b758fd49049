//! Workspace keys, stored as keyed digests, and their withdrawal.

pub mod digest;
pub mod isolation;
pub mod ring;

pub use digest::{Digest, Key, Pepper};
pub use isolation::{Confirmation, Isolated, KeyStatus, Policy};
pub use ring::{Refusal, Ring, Withdrawn};
