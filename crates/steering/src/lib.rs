//! Decisions of the traffic steering system as synchronous state machines.
//!
//! Nothing here does I/O or reads a clock: methods take the time and, where needed, a random
//! number generator, and return what is to be done.

pub mod attempt;
pub mod balance;
pub mod claims;
pub mod config;
pub mod drain;
pub mod fairness;
pub mod keys;
pub mod lease;
pub mod limits;
pub mod lookup;
pub mod membership;
pub mod quarantine;
pub mod release;
pub mod retry;
pub mod spill;
