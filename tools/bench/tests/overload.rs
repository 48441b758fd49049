//! Targets of a service at twice its capacity.

use bench::experiment::overload::{BASELINE, Method, STEERING, run};
use rstest::rstest;
use std::time::Duration;

const GOODPUT_TARGET: f64 = 0.9;
const RETRIES_TARGET: f64 = 0.1;
const RECOVERY_TARGET: Duration = Duration::from_secs(5);

/// Guards against a collapse under overload, in which slots are busy with requests whose callers
/// have given up.
#[rstest]
fn steering_meets_targets(#[values(1, 2, 3, 4)] seed: u64) {
    let figures = run(STEERING, seed);
    assert!(figures.goodput >= GOODPUT_TARGET, "{figures:?}");
    assert!(figures.retries <= RETRIES_TARGET, "{figures:?}");
    assert!(figures.recovery <= RECOVERY_TARGET, "{figures:?}");
}

/// Guards against targets that an unbounded queue with plain retries would meet.
#[test]
fn baseline_misses_targets() {
    let figures = run(BASELINE, 1);
    assert!(figures.goodput < GOODPUT_TARGET, "{figures:?}");
    assert!(figures.retries > RETRIES_TARGET, "{figures:?}");
    assert!(figures.recovery > RECOVERY_TARGET, "{figures:?}");
}

/// Guards against a queue that only the retry budget protects.
#[test]
fn admission_is_needed() {
    let method = Method {
        admission: false,
        ..STEERING
    };
    let figures = run(method, 1);
    assert!(figures.goodput < GOODPUT_TARGET, "{figures:?}");
    assert!(figures.recovery > RECOVERY_TARGET, "{figures:?}");
}

/// Guards against retries that grow with the failures of a service: with half of all tries failing,
/// plain retries exceed the bound.
#[rstest]
#[case(true)]
#[case(false)]
fn budget_bounds_retries(#[case] budget: bool) {
    let method = Method {
        budget,
        failure: 0.5,
        ..STEERING
    };
    let figures = run(method, 1);
    assert_eq!(figures.retries <= RETRIES_TARGET, budget, "{figures:?}");
}
