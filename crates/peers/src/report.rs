//! Datagram by which each VM tells the others what it knows and does.
//!
//! Reports are whole: a lost one is replaced by the next. Their size grows with the servers in use
//! and the active workspaces, not with the history.

use base::id::{DataCentre, Incarnation, Region, Service, Version, Vm, Workspace};
use bincode::Options;
use std::net::SocketAddr;
use steering::affinity::Digest;
use steering::crashes::Count;
use steering::spending::Total;
use steering::takeover::{Evidence, Order, Stage};
use steering::warmth::Handled;

base::label! {
    /// What callers may expect of a VM.
    pub enum Phase {
        /// It has no configuration yet.
        Starting,
        /// It serves.
        Ready,
        /// It finishes what it has and takes no new callers.
        Leaving,
    }
}

base::message! {
    /// What a VM saw and decided of one takeover.
    pub struct Takeover {
        /// Service to be moved.
        pub service: Service,
        /// Order of the operator.
        pub order: Order,
        /// Stage that the VM acts by; none while it does not know.
        pub stage: Option<Stage>,
        /// Whether the store holds this stage as the final one.
        pub settled: bool,
        /// What the VM saw itself.
        pub evidence: Evidence,
    }

    /// Report of one VM.
    pub struct Report {
        /// Sender.
        pub vm: Vm,
        /// Run of the sender.
        pub incarnation: Incarnation,
        /// Grows with each report of a run, so that an overtaken one is dropped.
        pub sequence: u64,
        /// Data centre of the sender.
        pub data_centre: DataCentre,
        /// Region of the sender.
        pub region: Region,
        /// Where callers reach the sender.
        pub callers: SocketAddr,
        /// What callers may expect.
        pub phase: Phase,
        /// Version of its configuration; 0 for none.
        pub configuration: Version,
        /// Milliseconds since it last read the store; none if it never did.
        pub store_age: Option<u32>,
        /// Requests that it has on servers, those with none left out.
        pub in_flight: Vec<(Digest, u16)>,
        /// Objects that servers handled for it lately.
        pub handled: Vec<Handled>,
        /// Servers that refuse its connections.
        pub down: Vec<Digest>,
        /// Totals of workspaces with a limit.
        pub totals: Vec<(Workspace, Total)>,
        /// Requests in flight at crashes.
        pub crashes: Vec<Count>,
        /// Takeovers that are ordered.
        pub takeovers: Vec<Takeover>,
    }
}

/// Largest report that is sent, in bytes: a datagram that networks carry in a few packets.
pub const MOST_BYTES: usize = 32 * 1024;

/// Why a report can't be encoded or decoded.
pub type Error = bincode::Error;

/// Compact encoding with integers of variable length.
fn options() -> impl Options {
    bincode::DefaultOptions::new().with_limit(MOST_BYTES as u64)
}

/// Encodes a report.
///
/// # Errors
///
/// Fails if it is larger than [`MOST_BYTES`].
pub fn encode(report: &Report) -> Result<Vec<u8>, Error> {
    options().serialize(report)
}

/// Decodes a report.
///
/// # Errors
///
/// Fails if the bytes are not one report.
pub fn decode(bytes: &[u8]) -> Result<Report, Error> {
    options().deserialize(bytes)
}
