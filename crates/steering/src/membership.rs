//! Which VMs and backend servers are live, leaving or gone.
//!
//! VMs form a tree of two levels: a VM knows the VMs of its own data centre, and one contact in
//! each other data centre.

pub mod member;
pub mod rendezvous;
pub mod view;

pub use member::{Heartbeat, HeartbeatBatch, ListedVm, State};
pub use view::{Contact, Identity, Role, Settings, View};
