//! Targets of the placement of objects, compared with an oracle and a baseline.

use bench::experiment::placement::{Method, run};
use rstest::rstest;

/// Target without overload: share of requests that are answered within the objective.
const TARGET: f64 = 0.8;

/// Guards against choices that miss the objective of many requests once servers are warm.
#[rstest]
fn steering_meets_the_target(#[values(1, 2, 3)] seed: u64) {
    let figures = run(Method::Steering, seed);
    assert!(figures.steady >= TARGET, "{figures:?}");
}

/// Guards against a target that choosing the least loaded server would meet as well.
#[rstest]
fn baseline_misses_the_target(#[values(1, 2, 3)] seed: u64) {
    let figures = run(Method::Baseline, seed);
    assert!(figures.steady < TARGET, "{figures:?}");
}

/// Guards against an oracle below what steering reaches, which would hide possible improvements.
#[rstest]
fn oracle_is_ahead(#[values(1, 2, 3)] seed: u64) {
    let (oracle, steering) = (run(Method::Oracle, seed), run(Method::Steering, seed));
    assert!(oracle.start >= steering.start, "{oracle:?} {steering:?}");
    assert!(oracle.steady >= steering.steady, "{oracle:?} {steering:?}");
    assert!(oracle.pinned >= steering.pinned, "{oracle:?} {steering:?}");
}
