//! Load generator, experiments in simulated time and capacity measurements.

pub mod agenda;
pub mod experiment;
