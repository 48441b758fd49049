//! Target "Answers": non-idempotent requests run at most once, and "not run" is true.

use bench::experiment::answers::{Method, run};
use rstest::rstest;

const RUNS: u32 = 50_000;
const SEED: u64 = 1;

/// Guards against double execution and a false "not run" under crashes, resends and lost answers.
#[rstest]
#[case(Method::Named)]
#[case(Method::Table)]
fn claims_run_at_most_once(#[case] method: Method) {
    let tally = run(method, RUNS, SEED);
    println!("{tally:?}");
    assert_eq!((tally.doubled, tally.false_not_run), (0, 0));
    assert!(tally.executed > RUNS / 4, "requests must still run");
}

/// Shows that the experiment can detect doubles: the plain retry makes them.
#[test]
fn plain_retry_doubles() {
    let tally = run(Method::Plain, RUNS, SEED);
    println!("{tally:?}");
    assert!(tally.doubled > 0 && tally.false_not_run > 0);
}
