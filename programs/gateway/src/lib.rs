//! The gateway, one process per VM: authorises, limits and forwards requests to backend servers,
//! and answers look-ups of the VMs that callers should use.
//!
//! One VM of a data centre reads configuration and servers from the platform's store (`reader`)
//! and passes them on (`relay`, `listing`). VMs report their state to each other by datagrams
//! (`fleet`, `reports`). `pipeline` takes a request through `receive`, `admit` and `forward`;
//! `pipelining` starts further requests of a connection ahead of their turn. The decisions are made
//! by the package `steering`.

pub mod admit;
pub mod answer_memory;
pub mod body_memory;
pub mod crashes;
pub mod directory;
pub mod explain;
pub mod fleet;
pub mod forward;
pub mod listing;
pub mod metrics;
pub mod pipeline;
pub mod pipelining;
pub mod reader;
pub mod receive;
pub mod relay;
pub mod reports;
pub mod run;
pub mod servers;
pub mod settings;
pub mod shared;
pub mod status;
pub mod takeovers;
pub mod traffic;
pub mod usage;
