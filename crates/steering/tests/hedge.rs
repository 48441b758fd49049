//! Time of a hedged request.

use rstest::rstest;
use std::time::{Duration, Instant};
use steering::hedge::{self, Dispatch, Settings};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against a second send for an answer that is merely one of the slow few, and against one
/// that waits for it until it is too late itself.
#[rstest]
#[case::unknown(0, 20_000, 3_120)]
#[case::slow_few(5_460, 20_000, 5_460)]
#[case::short_deadline(5_460, 5_000, 3_440)]
fn slow_answer_is_waited_for(#[case] slowest: u64, #[case] deadline: u64, #[case] due: u64) {
    let at = Instant::now();
    let send = Dispatch {
        at,
        deadline: at + ms(deadline),
        expected: ms(234),
        cold: ms(780),
        slowest: ms(slowest),
    };
    let found = hedge::due(&Settings::default(), &send) - at;
    assert!(found.abs_diff(ms(due)) < ms(1), "{found:?}");
}

/// Guards against a second send that is too late to be answered before the deadline, and against
/// one that is sent only because servers are slow.
#[rstest]
// A look-up with 640 ms cold, 190 ms warm and a deadline of 3 s: a cold second send ends in time.
#[case::look_up(190, 640, 3_000, 1_720)]
// A server with a known slowdown of 5 gets twice its expected time.
#[case::slow_server(950, 640, 3_000, 1_900)]
// No second send could end in time, so the minimum wait applies.
#[case::short_deadline(480, 1_600, 2_000, 960)]
// The maximum wait applies although the deadline would allow more.
#[case::long_deadline(480, 1_600, 30_000, 6_400)]
#[case::short_work(5, 20, 1_000, 800)]
fn second_send_leaves_time_for_its_answer(
    #[case] expected: u64,
    #[case] cold: u64,
    #[case] deadline: u64,
    #[case] due: u64,
) {
    let at = Instant::now();
    let send = Dispatch {
        at,
        deadline: at + ms(deadline),
        expected: ms(expected),
        cold: ms(cold),
        slowest: Duration::ZERO,
    };
    let found = hedge::due(&Settings::default(), &send) - at;
    assert!(found.abs_diff(ms(due)) < ms(1), "{found:?}");
}
