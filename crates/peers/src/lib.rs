//! Messages between the processes of the system: tarpc services and datagrams.

pub mod gossip;
pub mod link;
pub mod local;
pub mod packed;
pub mod report;
pub mod share;
pub mod wire;
