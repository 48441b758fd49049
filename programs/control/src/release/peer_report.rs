//! What is known of the VMs, this one included.

use base::id::{Incarnation, Server, Service};
use indexmap::IndexMap;
use std::time::Instant;

/// A VM as it was last heard.
#[derive(Debug, Clone)]
pub struct PeerReport {
    /// Run of its control process.
    pub incarnation: Incarnation,
    /// Time of the last news.
    pub reported_at: Instant,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Whether it knows that this VM is stopping.
    pub knows_of_shutdown: bool,
    /// Requests in flight per server in use or being drained.
    pub in_flight: IndexMap<Server, u32>,
    /// Averaged requests in flight per service.
    pub demand: IndexMap<Service, f64>,
}
