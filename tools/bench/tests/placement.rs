//! Placement of objects beside an oracle and a baseline.

use bench::experiment::placement::{Method, run};
use rstest::rstest;

/// Aim for quiet days: four in five requests are answered in the objective.
const AIM: f64 = 0.8;

/// Guards against a choice that leaves much of what is possible, once servers are warm.
#[rstest]
fn steering_meets_the_aim(#[values(1, 2, 3)] seed: u64) {
    let figures = run(Method::Steering, seed);
    assert!(figures.steady >= AIM, "{figures:?}");
}

/// Guards against an aim that the least loaded server would meet as well.
#[rstest]
fn baseline_misses_the_aim(#[values(1, 2, 3)] seed: u64) {
    let figures = run(Method::Baseline, seed);
    assert!(figures.steady < AIM, "{figures:?}");
}

/// Guards against an oracle that says less than what is reached, which would hide what is left.
#[rstest]
fn oracle_is_ahead(#[values(1, 2, 3)] seed: u64) {
    let (oracle, steering) = (run(Method::Oracle, seed), run(Method::Steering, seed));
    assert!(oracle.start >= steering.start, "{oracle:?} {steering:?}");
    assert!(oracle.steady >= steering.steady, "{oracle:?} {steering:?}");
    assert!(oracle.bound >= steering.bound, "{oracle:?} {steering:?}");
}
