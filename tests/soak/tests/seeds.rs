//! Short seeded runs of the soak, and every seed that ever failed.

mod program;

use program::program;
use rstest::rstest;
use std::path::PathBuf;

/// Plays a seed; no promise may be broken.
async fn play(seed: u64) {
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

/// Guards against broken promises under overlapping faults.
#[rstest]
#[case::first(1)]
#[case::second(2)]
#[case::late_servers_beside_a_stop(1_023)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_hold(#[case] seed: u64) {
    play(seed).await;
}

/// Guards against requests that a gateway takes half a second after SIGTERM, passes on to a server that
/// needs 1.3 s, and cuts when its process ends. Each seed stops a gateway while each server is late.
#[rstest]
#[case(1_008)]
#[case(1_018)]
#[case(1_022)]
#[case(1_024)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn end_of_a_stop_cuts_no_request(#[case] seed: u64) {
    play(seed).await;
}
