//! Time until a slot of a server is free.

use rstest::rstest;
use std::time::{Duration, Instant};
use steering::backlog::{Queue, Statement, others};
use steering::work::Pace;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against a count that treats all requests alike: one that ran for long keeps its slot, and
/// one that is about to end frees it.
#[rstest]
#[case::slot_is_free(2, &[], 0)]
#[case::long_ones_free_no_slot(3, &[5_000, 5_000], 450)]
#[case::one_is_about_to_end(3, &[5_000, 100], 100)]
// Two wait: they take the slots that are free after 100 and 300 ms, and the next one is free later.
#[case::requests_wait(5, &[100, 300, 2_000], 1_000)]
#[case::all_unknown(3, &[], 225)]
#[case::nothing_is_negative(3, &[0, 0, 0], 0)]
fn wait_follows_the_work_left(#[case] load: u32, #[case] known: &[u64], #[case] wait: u64) {
    let queue = Queue {
        slots: 3,
        load,
        average: ms(900),
        pace: 1.0,
    };
    let known = known.iter().map(|residual| ms(*residual));
    let found = queue.wait(known.clone());
    assert!(found.abs_diff(ms(wait)) < ms(1), "{found:?}");
    let slow = Queue { pace: 2.5, ..queue };
    assert!(slow.wait(known).abs_diff(found.mul_f64(2.5)) < ms(1));
}

/// Guards against a queue of any length that is followed request by request, and against a server
/// with no slots.
#[rstest]
#[case::long_queue(4, 100_000, 22_500_000)]
#[case::no_slots(0, 2, 1_350)]
#[case::many_slots(1_000, 1_000, 53)]
fn extreme_queues_are_estimated(#[case] slots: u32, #[case] load: u32, #[case] wait: u64) {
    let queue = Queue {
        slots,
        load,
        average: ms(900),
        pace: 1.0,
    };
    let found = queue.wait(std::iter::empty());
    assert!(
        found.abs_diff(ms(wait)) < ms(wait).mul_f64(0.02),
        "{found:?}"
    );
}

/// Guards against old statements of a server that count like new ones.
#[test]
fn statements_lose_their_weight() {
    let now = Instant::now();
    let stated = |age| others(Some(Statement { others: 6, age }), 2);
    assert_eq!((stated(ms(0)), stated(ms(300)), stated(ms(700))), (6, 4, 2));
    assert_eq!(others(None, 2), 2);
    let pace = Pace::from_percent(250, now);
    assert!((pace.factor_or(1.0, now) - 2.5).abs() < 0.01);
    assert!((pace.factor_or(1.0, now + ms(300)) - 1.75).abs() < 0.01);
    assert!((pace.factor_or(1.0, now + ms(900)) - 1.0).abs() < 0.01);
}
