//! Ownership under a lease that the table's versions fence.
//!
//! A lease is a row of the table. Its holder may act until a deadline on its own monotonic clock,
//! counted from before it sent its last write, and every write under the lease expects the row
//! version of the one before. The deadline keeps decisions in memory apart; the row version keeps
//! the writes apart even if a clock fails.

pub mod row;
pub mod state;

pub use row::{Answer, Holder, Permit, Row, Terms};
pub use state::{Expired, Held, Lease, Outcome, Refusal, Requested, Vacant};
