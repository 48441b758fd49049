//! Fault matrix: runs the state machines under every fault at every step of every operation.
//!
//! Each operation drives the state machines of `steering` with at most three VMs (two in one data
//! centre, one in another) and the platform's table. The faults of a cell occur just before its
//! step and end later while the operation goes on, so that the invariants are checked both during
//! and after the faults.

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
    /// Fault that a cell injects.
    pub enum Fault {
        /// Measurements stop.
        MeasurementsStop,
        /// The process that runs the operation dies and restarts with empty memory.
        ProcessDies,
        /// The VM of that process dies and is replaced by one of another name.
        VmDies,
        /// The data centre of that VM dies.
        DataCentreDies,
        /// The region of that VM dies.
        RegionDies,
        /// The key in use is withdrawn while its caller is connected.
        KeyWithdrawn,
        /// Requests fail on the new version.
        BadVersion,
        /// The store is down.
        StoreDown,
        /// The store answers after the caller's time limit.
        StoreSlow,
        /// The store's answer is lost after the write took effect.
        AnswerLost,
        /// The holder of a lease is paused past its deadline.
        HolderPaused,
        /// Another operator runs the same operation at the same time.
        OperatorRace,
        /// A request crashes the backend server that runs it.
        CrashingRequest,
        /// A connection stays open but carries no more data.
        SilentConnection,
        /// The data centres can't reach each other, and one can't reach the platform either.
        Partition,
    }

    /// Operation that runs under faults.
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

/// Pairs of faults that run together, because one changes the state in which the other occurs.
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
        /// The fault does not apply to the operation, for this reason.
        NotApplicable(&'static str),
        /// This invariant was violated.
        Failed(Box<str>),
    }

    /// Faults that occur just before a step.
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
    /// Returns whether `fault` occurs just before this step.
    fn occurs_at(&self, step: usize, fault: Fault) -> bool {
        self.step == step && self.faults.contains(&fault)
    }

    /// Returns whether `fault` occurs just before this step or an earlier one.
    fn occurred_by(&self, step: usize, fault: Fault) -> bool {
        step >= self.step && self.faults.contains(&fault)
    }

    /// Returns whether the store gives no answer at this step.
    fn store_unreachable(&self, step: usize) -> bool {
        self.occurs_at(step, Fault::StoreDown) || self.occurs_at(step, Fault::StoreSlow)
    }

    /// Returns whether the process that runs the operation dies just before this step.
    fn process_dies(&self, step: usize) -> bool {
        [
            Fault::ProcessDies,
            Fault::VmDies,
            Fault::DataCentreDies,
            Fault::RegionDies,
        ]
        .iter()
        .any(|fault| self.occurs_at(step, *fault))
    }
}

/// Returns the invariant as an error if it does not hold.
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

    /// Returns why a fault does not apply to the operation, or `None` if it applies.
    fn exclusion_reason(self, fault: Fault) -> Option<&'static str> {
        match self {
            Self::Request => request::exclusion_reason(fault),
            Self::Publish => publish::exclusion_reason(fault),
            Self::Withdraw => withdraw::exclusion_reason(fault),
            Self::Transfer => transfer::exclusion_reason(fault),
            Self::ReleaseStep => release::exclusion_reason(fault),
            Self::Drain => drain::exclusion_reason(fault),
            Self::VmStart => start::exclusion_reason(fault),
            Self::VmStop => stop::exclusion_reason(fault),
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
pub fn run_cell(operation: Operation, step: usize, faults: &[Fault]) -> Cell {
    let excluded = faults
        .iter()
        .find_map(|fault| operation.exclusion_reason(*fault));
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

/// Runs every single fault and every pair of [`PAIRS`] at every step of an operation.
pub fn run_cells(operation: Operation) -> Vec<Cell> {
    let single = FAULTS.iter().map(std::slice::from_ref);
    let all: Vec<&[Fault]> = single
        .chain(PAIRS.iter().map(<[Fault; 2]>::as_slice))
        .collect();
    (0..operation.steps().len())
        .flat_map(|step| {
            all.iter()
                .map(move |faults| run_cell(operation, step, faults))
        })
        .collect()
}

/// Runs the matrix and returns it as text: a line for each operation and faults, and the counts.
pub fn report() -> Box<str> {
    let mut text =
        String::from("operation, faults: result per step (+ passed, . not applicable)\n");
    let (mut passed, mut failed, mut not_applicable) = (0, 0, 0);
    for operation in OPERATIONS {
        let _ = writeln!(text, "{operation:?}: {}", operation.steps().join(", "));
        let all = run_cells(operation);
        let faults: indexmap::IndexSet<&[Fault]> = all.iter().map(|c| &*c.faults).collect();
        for faults in faults {
            let row: Vec<&Cell> = all.iter().filter(|cell| cell.faults == faults).collect();
            let symbols: String = row.iter().map(|cell| symbol(&cell.verdict)).collect();
            let reason = match &row[0].verdict {
                Verdict::NotApplicable(reason) => reason,
                _ => "",
            };
            let _ = writeln!(text, "  {faults:?} {symbols} {reason}");
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

fn symbol(verdict: &Verdict) -> char {
    match verdict {
        Verdict::Passed => '+',
        Verdict::NotApplicable(_) => '.',
        Verdict::Failed(_) => 'X',
    }
}
