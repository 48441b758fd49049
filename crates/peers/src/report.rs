//! Datagrams by which VMs report their state to each other.
//!
//! VMs of one data centre report to each other. One of them, the delegate, sends the sums of its
//! data centre to the delegates of the others, which relay them to their own VMs; so the reports
//! that a VM receives grow with the VMs of its data centre and the number of data centres, not with
//! their product. Each report is complete: a lost one is replaced by the next.

use base::id::{DataCentre, Incarnation, Label, Region, Service, Version, Vm};
use bincode::Options;
use std::net::SocketAddr;
use steering::affinity;
use steering::backlog::StatedPace;
use steering::crashes::ReportedCount;
use steering::entrance::Candidate;
use steering::intake;
use steering::notice::Word;
use steering::spending::Change;
use steering::takeover::{Evidence, OrderVersion, Stage};
use steering::usage::{Progress, Share, Window};
use steering::warmth::{ObjectUse, ShortDigest};

base::label! {
    /// Phase of a VM, as callers see it.
    pub enum Phase {
        /// The VM has no configuration yet.
        Starting,
        /// The VM serves.
        Ready,
        /// The VM finishes its requests and takes no new callers.
        Leaving,
    }
}

impl Member {
    /// Returns the member that a VM's own report describes.
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

impl Known {
    /// Returns whether a copy holds the same data and is read in the same way, whatever its age.
    pub fn holds_same(&self, other: &Self) -> bool {
        let other = Self {
            age: self.age,
            ..*other
        };
        *self == other
    }
}

impl Report {
    /// Returns whether a VM has nothing to report but that it is up.
    pub fn is_idle(&self) -> bool {
        let is_quiet = self.in_flight.is_empty()
            && self.handled.is_empty()
            && self.down.is_empty()
            && self.leaving.is_empty()
            && self.staying.is_empty()
            && self.spending.is_empty()
            && self.crashes.is_empty()
            && self.takeovers.is_empty()
            && self.paces.is_empty();
        is_quiet && self.phase == Phase::Ready && !self.known.reads
    }

    /// Returns whether this is the report of a data centre by its delegate.
    pub fn is_summary(&self) -> bool {
        !self.members.is_empty()
    }
}

base::message! {
    /// State and evidence of one takeover on a VM.
    pub struct Takeover {
        /// Service of the takeover.
        pub service: Service,
        /// Version of the operator's order.
        pub order: OrderVersion,
        /// Stage that the VM applies; none while it does not know one.
        pub stage: Option<Stage>,
        /// Whether the store holds this stage as the final one.
        pub settled: bool,
        /// Evidence from the VM's own requests.
        pub evidence: Evidence,
        /// Versions of the service that were rolled back before.
        pub withdrawn: Vec<Label>,
    }

    /// State of a VM, as reported by the delegate of its data centre.
    pub struct Member {
        /// Name.
        pub vm: Vm,
        /// Address of the VM for callers.
        pub callers: SocketAddr,
        /// Phase of the VM.
        pub phase: Phase,
        /// Version of the VM's configuration; 0 for none.
        pub configuration: Version,
        /// Capacity of the VM for callers.
        pub entrance: Candidate,
    }

    /// Age and versions of a VM's copy of the store, for VMs that read the store through it.
    #[derive(Copy, Default)]
    pub struct Known {
        /// Milliseconds since the copy was read from the store, by this VM or another; none if
        /// there is no copy.
        pub age: Option<u32>,
        /// Whether the VM reads the store itself now.
        pub reads: bool,
        /// Version of the store at the newest order.
        pub orders: u64,
        /// Number of the newest change of the list of servers, counted per incarnation of the VM.
        pub listing: u64,
    }

    /// Report of one VM, or of a data centre by its delegate.
    pub struct Report {
        /// Sender.
        pub vm: Vm,
        /// Incarnation of the sender.
        pub incarnation: Incarnation,
        /// Grows with each report of an incarnation, so that a report that arrives late is dropped.
        pub sequence: u64,
        /// Data centre of the sender.
        pub data_centre: DataCentre,
        /// Region of the sender.
        pub region: Region,
        /// Address at which the sender receives reports.
        pub address: SocketAddr,
        /// Capacity of the sender for callers; the VM with the widest link is the delegate.
        pub entrance: Candidate,
        /// Address of the sender for callers.
        pub callers: SocketAddr,
        /// Phase of the VM.
        pub phase: Phase,
        /// Version of the VM's configuration; 0 for none.
        pub configuration: Version,
        /// The VM's copy of the store.
        pub known: Known,
        /// VMs of the data centre that are alive, the sender included; empty in the report of one
        /// VM. The fields below are then sums over these VMs.
        pub members: Vec<Member>,
        /// Requests in flight per server; servers without any are left out.
        pub in_flight: Vec<(ShortDigest, u16)>,
        /// Objects that servers handled recently.
        pub handled: Vec<ObjectUse>,
        /// Servers that refuse connections.
        pub down: Vec<ShortDigest>,
        /// Servers that leave, by their own word or the store's.
        pub leaving: Vec<Word>,
        /// Servers that had said that they leave and stay after all.
        pub staying: Vec<Word>,
        /// Limits of requests that servers named or no longer name.
        pub limits: Vec<intake::Word>,
        /// Totals of workspaces that changed lately.
        pub spending: Vec<Change>,
        /// Counts of the requests in flight at crashes.
        pub crashes: Vec<ReportedCount>,
        /// Takeovers that the operator has ordered.
        pub takeovers: Vec<Takeover>,
        /// Paces that servers stated lately.
        pub paces: Vec<(ShortDigest, StatedPace)>,
        /// Usage reports, where the deployment has them. Encoded behind the other fields, so that
        /// reports of other deployments don't grow.
        #[serde(skip)]
        pub usage: Option<Usage>,
    }

    /// What VMs tell each other for the usage reports.
    pub struct Usage {
        /// Wall clocks of the VMs for which the report speaks, in milliseconds since 1970: the
        /// sender's, and how far the others are ahead of it.
        pub clock_ms: i64,
        /// See above.
        pub ahead_ms: Vec<i32>,
        /// How far the usage reports have come.
        pub progress: Progress,
        /// Window at the sender; 0 while it is not known.
        pub newest: Window,
        /// Counts of the sender, by distance from `newest`; empty in most reports and in those of
        /// a data centre.
        pub shares: Vec<Share>,
    }
}

impl Usage {
    /// Returns the wall clocks in milliseconds since 1970.
    pub fn clocks(&self) -> impl Iterator<Item = i64> {
        let others = self.ahead_ms.iter().map(|ahead| i64::from(*ahead));
        let others = others.map(|ahead| self.clock_ms.saturating_add(ahead));
        others.chain([self.clock_ms])
    }
}

base::value! {
    /// Part of a data centre, by the addresses of its VMs.
    #[derive(Copy)]
    pub struct Part {
        /// Number of the part, below `count`.
        pub index: u8,
        /// Number of parts.
        pub count: u8,
    }
}

impl Part {
    /// Returns as many parts as a report has relays.
    pub fn of<T>(relays: &[T]) -> impl Iterator<Item = (Self, &T)> {
        let count = u8::try_from(relays.len()).unwrap_or(u8::MAX);
        (0..count)
            .map(move |index| Self { index, count })
            .zip(relays)
    }

    /// Returns whether the VM that receives reports at an address belongs to the part.
    pub fn holds(self, address: &SocketAddr) -> bool {
        let digest = affinity::digest(&address.to_string());
        digest % u64::from(self.count.max(1)) == u64::from(self.index)
    }
}

/// First byte of a report that is to be passed on: a report begins with the length of a name.
const PASS_ON: u8 = 0;

/// Encodes an encoded report for a VM that passes it on to a part of its data centre.
pub fn pass_on(part: Part, report: &[u8]) -> Vec<u8> {
    [&[PASS_ON, part.index, part.count], report].concat()
}

/// Splits a datagram into a report and the part of the receiver's data centre that lacks it, if the
/// report is to be passed on.
pub fn split(datagram: &[u8]) -> (Option<Part>, &[u8]) {
    match datagram {
        [PASS_ON, index, count, report @ ..] => {
            let (index, count) = (*index, *count);
            (Some(Part { index, count }), report)
        }
        report => (None, report),
    }
}

/// Largest datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = MAX_REPORT_BYTES + 3;
/// Largest report, in bytes: a datagram that networks carry in a few packets.
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
    let mut bytes = options().serialize(report)?;
    if let Some(usage) = &report.usage {
        let room = MAX_REPORT_BYTES.saturating_sub(bytes.len());
        let options = options().with_limit(room as u64);
        options.serialize_into(&mut bytes, usage)?;
    }
    Ok(bytes)
}

/// Decodes a report.
///
/// # Errors
///
/// Fails if the bytes do not encode a report.
pub fn decode(bytes: &[u8]) -> Result<Report, Error> {
    let mut rest = bytes;
    let mut report: Report = options().deserialize_from(&mut rest)?;
    if !rest.is_empty() {
        report.usage = Some(options().deserialize(rest)?);
    }
    Ok(report)
}
