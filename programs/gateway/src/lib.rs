//! One process per VM: receives requests, authorises, limits, places and forwards them, and tells
//! callers which VMs to use.
//!
//! Configuration and servers come from the platform's store (`reader`), or from another VM while
//! the store can't be reached (`relay`). VMs tell each other what they do by datagrams (`fleet`,
//! `reports`). A request passes `receive`, `admit` and `forward`; `pipeline` puts them together.
//! Decisions are those of the package `steering`.

pub mod admit;
pub mod directory;
pub mod fleet;
pub mod forward;
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
pub mod takeovers;
