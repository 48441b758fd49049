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

/// Runs an experiment, or all of them, and returns its report.
///
/// # Errors
///
/// Fails if there is no experiment of this name.
pub fn report(name: &str) -> Result<Box<str>, Box<str>> {
    Err(format!("no experiment `{name}`").into())
}
