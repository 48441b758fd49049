//! Stand-in for a backend server, with the behaviour and the faults of a real one.

pub mod args;
pub mod behaviour;
pub mod server;
