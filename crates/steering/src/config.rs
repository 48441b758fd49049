//! Which configuration version is in force.

pub mod head;
pub mod poll;
pub mod publication;
pub mod replica;
pub mod sets;
pub mod tracker;

pub use head::{Files, Hash, Head, Manifest};
pub use poll::Poll;
pub use publication::{Force, Publication, Stage};
pub use replica::{Delta, Digest, Replica};
pub use sets::{Mark, Sets};
pub use tracker::{Readiness, Tracker};
