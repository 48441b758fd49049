//! Fault matrix: every fault at every step of every operation, against the state machines.
//!
//! Each operation drives the machines of `steering` in a small setting with three VMs (two in one
//! data centre, one in another) and the platform's table. The faults of a cell happen just before
//! its step; afterwards they are mended and the operation runs on, so that the invariants are
//! checked both during and after the fault.

mod drain;
mod publish;
mod release;
mod request;
mod start;
mod stop;
mod transfer;
mod withdraw;

use std::fmt::Write as _;

base::label! {
    /// Fault of a cell.
    pub enum Fault {
        /// Measurements stop.
        MeasurementsStop,
        /// The process that runs the operation dies and restarts with empty memory.
        ProcessDies,
        /// Its VM dies and is replaced by one of another name.
        VmDies,
        /// Its data centre dies.
        DataCentreDies,
        /// Its region dies.
        RegionDies,
        /// The key in use is withdrawn while its caller is connected.
        KeyWithdrawn,
        /// The new version fails requests.
        BadVersion,
        /// The store is down.
        StoreDown,
        /// The store answers after the caller's time limit.
        StoreSlow,
        /// The store's answer is lost after the write took effect.
        AnswerLost,
        /// The holder of a lease is paused past its deadline.
        HolderPaused,
        /// Another operator does the same at the same time.
        OperatorRace,
        /// A request crashes the backend server that runs it.
        CrashingRequest,
        /// A connection stays open and goes silent.
        SilentConnection,
        /// The data centres are cut off from each other, one of them also from the platform.
        Partition,
    }

    /// Operation under faults.
    pub enum Operation {
        /// A non-idempotent request of a workspace.
        Request,
        /// Publication of a configuration.
        Publish,
        /// Withdrawal of a key.
        Withdraw,
        /// Transfer of tokens between VMs.
        Transfer,
        /// A step of a release.
        ReleaseStep,
        /// Drain of a backend server.
        Drain,
        /// Start of a VM with empty memory.
        VmStart,
        /// Planned stop of a VM.
        VmStop,
    }
}

/// All faults, in the order of the report.
pub const FAULTS: [Fault; 15] = [
    Fault::MeasurementsStop,
    Fault::ProcessDies,
    Fault::VmDies,
    Fault::DataCentreDies,
    Fault::RegionDies,
    Fault::KeyWithdrawn,
    Fault::BadVersion,
    Fault::StoreDown,
    Fault::StoreSlow,
    Fault::AnswerLost,
    Fault::HolderPaused,
    Fault::OperatorRace,
    Fault::CrashingRequest,
    Fault::SilentConnection,
    Fault::Partition,
];

/// All operations, in the order of the report.
pub const OPERATIONS: [Operation; 8] = [
    Operation::Request,
    Operation::Publish,
    Operation::Withdraw,
    Operation::Transfer,
    Operation::ReleaseStep,
    Operation::Drain,
    Operation::VmStart,
    Operation::VmStop,
];

/// Faults that are combined in pairs, because each changes what the other one meets.
pub const PAIRS: [[Fault; 2]; 8] = [
    [Fault::StoreDown, Fault::Partition],
    [Fault::StoreDown, Fault::ProcessDies],
    [Fault::AnswerLost, Fault::OperatorRace],
    [Fault::AnswerLost, Fault::ProcessDies],
    [Fault::HolderPaused, Fault::OperatorRace],
    [Fault::Partition, Fault::ProcessDies],
    [Fault::KeyWithdrawn, Fault::Partition],
    [Fault::CrashingRequest, Fault::ProcessDies],
];

base::value! {
    /// Result of a cell.
    pub enum Verdict {
        /// All invariants held.
        Passed,
        /// The fault has no meaning for the operation, for this reason.
        NotApplicable(&'static str),
        /// An invariant broke.
        Failed(Box<str>),
    }

    /// Faults that happen just before a step.
    pub struct Injection {
        /// Index of the step.
        pub step: usize,
        /// Faults.
        pub faults: Vec<Fault>,
    }

    /// A cell with its result.
    pub struct Cell {
        /// Operation.
        pub operation: Operation,
        /// Name of the step.
        pub step: &'static str,
        /// Faults.
        pub faults: Vec<Fault>,
        /// Result.
        pub verdict: Verdict,
    }
}

impl Injection {
    /// Says whether `fault` happens before this step.
    fn at(&self, step: usize, fault: Fault) -> bool {
        self.step == step && self.faults.contains(&fault)
    }

    /// Says whether `fault` happened before this step or an earlier one.
    fn since(&self, step: usize, fault: Fault) -> bool {
        step >= self.step && self.faults.contains(&fault)
    }

    /// Says whether the store gives no answer at this step.
    fn no_store(&self, step: usize) -> bool {
        self.at(step, Fault::StoreDown) || self.at(step, Fault::StoreSlow)
    }

    /// Says whether the process that runs the operation dies before this step.
    fn dies(&self, step: usize) -> bool {
        [
            Fault::ProcessDies,
            Fault::VmDies,
            Fault::DataCentreDies,
            Fault::RegionDies,
        ]
        .iter()
        .any(|fault| self.at(step, *fault))
    }
}

/// Fails a cell if an invariant does not hold.
fn require(holds: bool, invariant: &str) -> Result<(), Box<str>> {
    if holds { Ok(()) } else { Err(invariant.into()) }
}

impl Operation {
    /// Returns the names of the operation's steps.
    pub fn steps(self) -> &'static [&'static str] {
        match self {
            Self::Request => &request::STEPS,
            Self::Publish => &publish::STEPS,
            Self::Withdraw => &withdraw::STEPS,
            Self::Transfer => &transfer::STEPS,
            Self::ReleaseStep => &release::STEPS,
            Self::Drain => &drain::STEPS,
            Self::VmStart => &start::STEPS,
            Self::VmStop => &stop::STEPS,
        }
    }

    /// Says why a fault has no meaning for the operation, if so.
    fn excludes(self, fault: Fault) -> Option<&'static str> {
        match self {
            Self::Request => request::excludes(fault),
            Self::Publish => publish::excludes(fault),
            Self::Withdraw => withdraw::excludes(fault),
            Self::Transfer => transfer::excludes(fault),
            Self::ReleaseStep => release::excludes(fault),
            Self::Drain => drain::excludes(fault),
            Self::VmStart => start::excludes(fault),
            Self::VmStop => stop::excludes(fault),
        }
    }

    fn run(self, injection: &Injection) -> Result<(), Box<str>> {
        match self {
            Self::Request => request::run(injection),
            Self::Publish => publish::run(injection),
            Self::Withdraw => withdraw::run(injection),
            Self::Transfer => transfer::run(injection),
            Self::ReleaseStep => release::run(injection),
            Self::Drain => drain::run(injection),
            Self::VmStart => start::run(injection),
            Self::VmStop => stop::run(injection),
        }
    }
}

/// Runs one cell.
pub fn cell(operation: Operation, step: usize, faults: &[Fault]) -> Cell {
    let excluded = faults.iter().find_map(|fault| operation.excludes(*fault));
    let verdict = match excluded {
        Some(reason) => Verdict::NotApplicable(reason),
        None => match operation.run(&Injection {
            step,
            faults: faults.to_vec(),
        }) {
            Ok(()) => Verdict::Passed,
            Err(invariant) => Verdict::Failed(invariant),
        },
    };
    Cell {
        operation,
        step: operation.steps()[step],
        faults: faults.to_vec(),
        verdict,
    }
}

/// Runs all single faults and the chosen pairs at every step of an operation.
pub fn cells(operation: Operation) -> Vec<Cell> {
    let single = FAULTS.iter().map(std::slice::from_ref);
    let all: Vec<&[Fault]> = single
        .chain(PAIRS.iter().map(<[Fault; 2]>::as_slice))
        .collect();
    (0..operation.steps().len())
        .flat_map(|step| all.iter().map(move |faults| cell(operation, step, faults)))
        .collect()
}

/// Returns the matrix as text: a line for each operation and fault, and the counts.
pub fn report() -> Box<str> {
    let mut text =
        String::from("operation, faults: result per step (+ passed, . not applicable)\n");
    let (mut passed, mut failed, mut not_applicable) = (0, 0, 0);
    for operation in OPERATIONS {
        let _ = writeln!(text, "{operation:?}: {}", operation.steps().join(", "));
        let all = cells(operation);
        let faults: indexmap::IndexSet<&[Fault]> = all.iter().map(|c| &*c.faults).collect();
        for faults in faults {
            let row: Vec<&Cell> = all.iter().filter(|cell| cell.faults == faults).collect();
            let marks: String = row.iter().map(|cell| mark(&cell.verdict)).collect();
            let reason = match &row[0].verdict {
                Verdict::NotApplicable(reason) => reason,
                _ => "",
            };
            let _ = writeln!(text, "  {faults:?} {marks} {reason}");
        }
        for cell in &all {
            match &cell.verdict {
                Verdict::Passed => passed += 1,
                Verdict::NotApplicable(_) => not_applicable += 1,
                Verdict::Failed(reason) => {
                    failed += 1;
                    let _ = writeln!(text, "  FAILED {} {:?}: {reason}", cell.step, cell.faults);
                }
            }
        }
    }
    let run = passed + failed;
    let _ = writeln!(
        text,
        "{run} cells run: {passed} passed, {failed} failed; {not_applicable} not applicable"
    );
    text.into()
}

fn mark(verdict: &Verdict) -> char {
    match verdict {
        Verdict::Passed => '+',
        Verdict::NotApplicable(_) => '.',
        Verdict::Failed(_) => 'X',
    }
}
