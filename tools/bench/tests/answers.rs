//! Non-idempotent requests run at most once, and the answer "not run" is true.

use bench::experiment::answers::{Crash, Method, Point, run};
use rstest::rstest;

const RUNS: u32 = 50_000;
const SEED: u64 = 1;

/// Guards against double execution and a false "not run" under crashes, resends and lost answers.
#[rstest]
#[case(Method::Named)]
#[case(Method::Table)]
fn claims_run_at_most_once(#[case] method: Method) {
    let tally = run(method, Crash::Random, RUNS, SEED);
    println!("{tally:?}");
    assert_eq!((tally.doubled, tally.false_not_run), (0, 0));
    assert!(tally.executed > RUNS / 4, "too few requests ran");
}

/// Guards against an experiment that can't detect double execution: plain retries cause it.
#[test]
fn plain_retry_doubles() {
    let tally = run(Method::Plain, Crash::Random, RUNS, SEED);
    println!("{tally:?}");
    assert!(tally.doubled > 0 && tally.false_not_run > 0);
}

/// Guards against double execution and a false "not run" when the VM concerned crashes just before
/// or after a step of a request.
#[rstest]
fn claims_hold_at_a_crash_around_each_step(
    #[values(Method::Named, Method::Table)] method: Method,
    #[values(
        Point::Arrive,
        Point::Settle,
        Point::Handoff,
        Point::Execute,
        Point::Answered,
        Point::Store,
        Point::Written,
        Point::ReadBack
    )]
    point: Point,
) {
    let reached = match point {
        Point::Settle => method == Method::Named,
        Point::Store | Point::Written | Point::ReadBack => method == Method::Table,
        _ => true,
    };
    for nth in 0..3 {
        for crash in [Crash::Before(point, nth), Crash::After(point, nth)] {
            let tally = run(method, crash, RUNS / 50, SEED);
            let faults = (tally.doubled, tally.false_not_run);
            assert_eq!(faults, (0, 0), "{method:?} {crash:?} {tally:?}");
            // A claimed request runs at most once, so only the first step of a kind always occurs.
            assert!(
                nth > 0 || reached == (tally.crashed > 0),
                "{crash:?} {tally:?}"
            );
        }
    }
}

/// Guards against runs that don't reach the cases of an unreachable VM and of sends after the
/// expiry of the id.
#[test]
fn unreachable_vms_and_expired_ids_occur() {
    let tally = run(Method::Named, Crash::Random, RUNS, SEED);
    assert!(tally.unreachable > RUNS / 100, "{tally:?}");
    assert!(tally.outcome_lost > RUNS / 100, "{tally:?}");
}
