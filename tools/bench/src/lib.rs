//! Load generator, experiments in simulated time and capacity measurements.

pub mod agenda;
pub mod args;
pub mod capacity;
pub mod experiment;
pub mod load;
pub mod matrix;
pub mod topology;
