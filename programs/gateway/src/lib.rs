//! One process per VM: receives requests, authorises, limits, places and forwards them, and tells
//! callers which VMs to use.
//!
//! One VM of a data centre reads configuration and servers from the platform's store (`reader`)
//! and passes them on (`relay`, `listing`). VMs tell each other what they do by datagrams
//! (`fleet`, `reports`). A request passes `receive`, `admit` and `forward`; `pipeline` puts them together.
//! Decisions are those of the package `steering`.

pub mod admit;
pub mod answer_memory;
pub mod directory;
pub mod fleet;
pub mod forward;
pub mod listing;
pub mod metrics;
pub mod pipeline;
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
