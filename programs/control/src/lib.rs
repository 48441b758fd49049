//! Control process of a VM: configuration, keys, membership, releases and drains.

pub mod admin;
pub mod drain;
pub mod gossip;
pub mod granter;
pub mod local;
pub mod metrics;
pub mod publish;
pub mod reader;
pub mod record;
pub mod release;
pub mod run;
pub mod settings;
pub mod state;
pub mod table;
pub mod versions;
