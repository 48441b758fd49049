//! Short soak runs, and every seed that ever failed.

mod program;

use program::program;
use rstest::rstest;
use std::path::PathBuf;

/// Runs a seed and asserts that no invariant is violated.
async fn run_seed(seed: u64) {
    // Runs of one process share addresses, so only one runs at a time.
    static RUN_LOCK: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());
    let _guard = RUN_LOCK.lock().await;
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let outcome = soak::run::run(seed, program(), &folder).await;
    let outcome = outcome.expect("the site starts");
    assert!(
        outcome.violations.is_empty(),
        "{:?}, logs in {:?}",
        outcome.violations,
        outcome.folder
    );
}

/// Guards against violated invariants under overlapping faults.
#[rstest]
#[case::first(1)]
#[case::second(2)]
#[case::late_servers_beside_a_stop(1_023)]
#[case::servers_that_leave_by_their_own_word(6_001)]
#[case::callers_that_pipeline(7_003)]
#[case::holders_of_the_usage_reports_fail(8_002)]
#[case::server_that_names_a_limit(9_000)]
#[case::store_that_comes_back_from_a_copy(10_000)]
#[case::links_of_unequal_bandwidth(11_000)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invariants_hold(#[case] seed: u64) {
    run_seed(seed).await;
}

/// Guards against requests that a gateway accepts half a second after SIGTERM, sends to a server
/// that needs 1.3 s, and interrupts when its process ends. Each seed stops a gateway while all
/// servers are late.
#[rstest]
#[case(1_008)]
#[case(1_018)]
#[case(1_022)]
#[case(1_024)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn shutdown_interrupts_no_request(#[case] seed: u64) {
    run_seed(seed).await;
}
