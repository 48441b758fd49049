//! Membership of VMs: which ones are live, leaving, suspected or gone.
//!
//! A VM knows all VMs of its own data centre, and one contact in each other data centre.

pub mod member;
pub mod rendezvous;
pub mod view;

pub use member::{Heartbeat, HeartbeatBatch, ListedVm, State};
pub use view::{Contact, Identity, Role, Settings, View};
