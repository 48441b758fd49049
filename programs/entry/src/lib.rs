//! Receives requests, authorises and limits them, and forwards them to backend servers.
//!
//! A request passes through the modules `receive`, `authorise`, `admission`, `route`, `forward` and
//! `reply` in this order; `pipeline` connects them.

pub mod admission;
pub mod authorise;
pub mod claims;
pub mod forward;
pub mod metrics;
pub mod pipeline;
pub mod quarantine;
pub mod receive;
pub mod release;
pub mod reply;
pub mod route;
pub mod run;
pub mod server;
pub mod settings;
pub mod share;
pub mod snapshot;
pub mod spill;
pub mod stop;
