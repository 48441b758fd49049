//! Answers callers' question which entry VMs to use, from memory.

pub mod index;
pub mod metrics;
pub mod run;
pub mod server;
pub mod settings;
