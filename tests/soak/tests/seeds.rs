//! Short seeded runs of the soak, and every seed that ever failed.

mod program;

use program::program;
use rstest::rstest;
use std::path::PathBuf;

/// Guards against broken promises under overlapping faults.
#[rstest]
#[case::first(1)]
#[case::second(2)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_hold(#[case] seed: u64) {
    // Runs of one process share addresses, so they follow each other.
    static TURN: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());
    let _turn = TURN.lock().await;
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let outcome = soak::run::run(seed, program(), &folder).await;
    let outcome = outcome.expect("the world starts");
    assert!(
        outcome.broken.is_empty(),
        "{:?}, logs in {:?}",
        outcome.broken,
        outcome.folder
    );
}
