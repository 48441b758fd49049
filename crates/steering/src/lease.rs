//! Exclusive ownership by a lease, with the versions of a table row as fencing tokens.
//!
//! The holder may act until a deadline on its own monotonic clock, counted from before it sent its
//! last write, and every write under the lease expects the row version of the previous one. The
//! deadline excludes concurrent decisions in memory; the row version excludes conflicting writes
//! even if a clock is wrong.

pub mod row;
pub mod state;

pub use row::{Answer, Holder, Permit, Row, Terms};
pub use state::{Expired, Held, Lease, Outcome, Refusal, Requested, Vacant};
