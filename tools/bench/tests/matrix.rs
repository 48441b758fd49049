//! Fault matrix: every fault at every step of every operation.

use bench::matrix::{Operation, Verdict, cells};
use rstest::rstest;

/// Guards the invariants of each operation under each fault at each step, and in chosen pairs.
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
    let cells = cells(operation);
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
