//! Fault matrix: invariants of every operation under every fault at every step.

use bench::matrix::{Operation, Verdict, run_cells};
use rstest::rstest;

/// Guards against an operation that violates an invariant when a fault, or one of the listed pairs
/// of faults, occurs just before one of its steps.
#[rstest]
fn invariants_hold(
    #[values(
        Operation::Request,
        Operation::Publish,
        Operation::Withdraw,
        Operation::Transfer,
        Operation::ReleaseStep,
        Operation::Drain,
        Operation::VmStart,
        Operation::VmStop
    )]
    operation: Operation,
) {
    let cells = run_cells(operation);
    let failed: Vec<_> = cells
        .iter()
        .filter(|cell| matches!(cell.verdict, Verdict::Failed(_)))
        .collect();
    assert!(failed.is_empty(), "{failed:#?}");
    assert!(
        cells.iter().any(|cell| cell.verdict == Verdict::Passed),
        "some cells run"
    );
}
