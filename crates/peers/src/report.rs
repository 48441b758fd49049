//! Datagrams by which VMs tell each other what they know and do.
//!
//! VMs of one data centre report to each other. One of them, the delegate, tells the sums of its
//! data centre to the delegates of the others, which pass them on to their own VMs; so what a VM
//! receives grows with the VMs of its data centre and the number of data centres, not with their
//! product. Reports are whole: a lost one is replaced by the next.

use base::id::{DataCentre, Incarnation, Region, Service, Version, Vm};
use bincode::Options;
use std::net::SocketAddr;
use steering::crashes::Count;
use steering::entrance::Candidate;
use steering::spending::Total;
use steering::takeover::{Evidence, OrderVersion, Stage};
use steering::warmth::{ObjectUse, ShortDigest};

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

impl Member {
    /// Returns the sender of a VM's own report.
    pub fn of(report: &Report) -> Self {
        Self {
            vm: report.vm.clone(),
            callers: report.callers,
            phase: report.phase,
            configuration: report.configuration,
            entrance: report.entrance,
        }
    }
}

impl Report {
    /// Returns whether this is the report of a data centre.
    pub fn is_summary(&self) -> bool {
        !self.members.is_empty()
    }
}

base::message! {
    /// What a VM saw and decided of one takeover.
    pub struct Takeover {
        /// Service to be moved.
        pub service: Service,
        /// Order of the operator.
        pub order: OrderVersion,
        /// Stage that the VM acts by; none while it does not know.
        pub stage: Option<Stage>,
        /// Whether the store holds this stage as the final one.
        pub settled: bool,
        /// What the VM saw itself.
        pub evidence: Evidence,
    }

    /// What a delegate tells of a VM of its data centre.
    pub struct Member {
        /// Name.
        pub vm: Vm,
        /// Where callers reach it.
        pub callers: SocketAddr,
        /// What callers may expect.
        pub phase: Phase,
        /// Version of its configuration; 0 for none.
        pub configuration: Version,
        /// What it can take of callers.
        pub entrance: Candidate,
    }

    /// How much a VM knows of the store, for VMs that read it through this one.
    #[derive(Copy, Default)]
    pub struct Known {
        /// Milliseconds since what the VM knows was read from the store, here or elsewhere; none if
        /// it knows nothing.
        pub age: Option<u32>,
        /// Whether the VM reads the store itself now.
        pub reads: bool,
        /// Version of the store at the newest order.
        pub orders: u64,
        /// Number of the newest change of the list of servers, counted by this run of the VM.
        pub listing: u64,
    }

    /// Report of one VM, or of a data centre by its delegate.
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
        /// Where the sender receives reports.
        pub address: SocketAddr,
        /// What the sender can take of callers; the delegate has the widest link.
        pub entrance: Candidate,
        /// Where callers reach the sender.
        pub callers: SocketAddr,
        /// What callers may expect.
        pub phase: Phase,
        /// Version of its configuration; 0 for none.
        pub configuration: Version,
        /// What it knows of the store.
        pub known: Known,
        /// VMs of the data centre that are alive, the sender included; empty in the report of one
        /// VM. The fields below are then sums over these VMs.
        pub members: Vec<Member>,
        /// Requests on servers, those with none left out.
        pub in_flight: Vec<(ShortDigest, u16)>,
        /// Objects that servers handled lately.
        pub handled: Vec<ObjectUse>,
        /// Servers that refuse connections.
        pub down: Vec<ShortDigest>,
        /// Totals of workspaces, by the short digest of their names.
        pub totals: Vec<(ShortDigest, Total)>,
        /// Requests in flight at crashes, by the VM that saw them.
        pub crashes: Vec<(Vm, Vec<Count>)>,
        /// Takeovers that are ordered.
        pub takeovers: Vec<Takeover>,
    }
}

/// Largest report that is sent, in bytes: a datagram that networks carry in a few packets.
pub const MAX_REPORT_BYTES: usize = 32 * 1024;

/// Why a report can't be encoded or decoded.
pub type Error = bincode::Error;

/// Compact encoding with integers of variable length.
fn options() -> impl Options {
    bincode::DefaultOptions::new().with_limit(MAX_REPORT_BYTES as u64)
}

/// Encodes a report.
///
/// # Errors
///
/// Fails if it is larger than [`MAX_REPORT_BYTES`].
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
