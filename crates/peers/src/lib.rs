//! Messages between the system's own processes, over tarpc.

pub mod local;
pub mod wire;
