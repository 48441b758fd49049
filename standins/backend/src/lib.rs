//! Stand-in for a backend server, with faults that tests switch on.

pub mod args;
pub mod behaviour;
pub mod server;
