//! Distribution of configuration versions and safe changes among control processes.

pub mod head;
pub mod marks;
pub mod poll;
pub mod publication;
pub mod replica;
pub mod tracker;

pub use head::{FileChanges, Head, Manifest, ObjectHash};
pub use marks::{Mark, MarkSet};
pub use poll::PollIntervals;
pub use publication::{Adoption, Publication, Stage};
pub use replica::{Delta, Digest, Replica};
pub use tracker::{Readiness, Tracker};
