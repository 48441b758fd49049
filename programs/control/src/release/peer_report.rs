//! Latest report of another VM.

use base::id::{Incarnation, Server, Service};
use indexmap::IndexMap;
use std::time::Instant;

/// Latest report of another VM.
#[derive(Debug, Clone)]
pub struct PeerReport {
    /// Incarnation of its control process.
    pub incarnation: Incarnation,
    /// Time of the report.
    pub reported_at: Instant,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Whether it knows that this VM is shutting down.
    pub knows_of_shutdown: bool,
    /// Requests in flight per server that is in use or being drained.
    pub in_flight: IndexMap<Server, u32>,
    /// Averaged requests in flight per service.
    pub demand: IndexMap<Service, f64>,
}
