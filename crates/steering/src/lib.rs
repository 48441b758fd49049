//! Decisions of the traffic steering system as synchronous state machines.
//!
//! Nothing here does I/O or reads a clock: methods take the time and, where needed, a random
//! number generator, and return what is to be done.

pub mod affinity;
pub mod attempt;
pub mod backlog;
pub mod balance;
pub mod claims;
pub mod config;
pub mod cost;
pub mod crashes;
pub mod drain;
pub mod entrance;
pub mod fairness;
pub mod fanout;
pub mod hedge;
pub mod intake;
pub mod keys;
pub mod lease;
pub mod limits;
pub mod locality;
pub mod lookup;
pub mod membership;
pub mod notice;
pub mod placement;
pub mod priority;
pub mod quarantine;
pub mod reading;
pub mod registry;
pub mod release;
pub mod retry;
pub mod routing;
pub mod spending;
pub mod spill;
pub mod split;
pub mod takeover;
pub mod transfer;
pub mod usage;
pub mod warmth;
pub mod warmup;
pub mod work;
