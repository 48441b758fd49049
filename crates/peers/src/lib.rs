//! Messages between the system's own processes, over tarpc.

pub mod gossip;
pub mod link;
pub mod local;
pub mod packed;
pub mod report;
pub mod share;
pub mod wire;
