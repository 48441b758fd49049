//! Experiments on the decisions in simulated time, each beside its baselines.

pub mod answers;
pub mod balance;
pub mod config;
pub mod fairness;
pub mod lease;
pub mod limits;
pub mod overload;
pub mod quarantine;
pub mod release;
pub mod spill;
