//! Look-up program: answers from memory which entry VMs callers should use.

pub mod index;
pub mod metrics;
pub mod run;
pub mod server;
pub mod settings;
