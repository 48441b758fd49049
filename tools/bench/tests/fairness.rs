//! Targets of the fairness experiment, in simulated time with fixed seeds.

use bench::experiment::fairness::{Conduct, Order, SLOTS, compare};
use rstest::rstest;

/// Largest ratio of p99 with the misbehaving workspace to p99 without it.
const MAX_RATIO: f64 = 1.25;

/// Guards against a workspace that floods, or whose requests are slow or large, and delays the
/// others. One first-in-first-out queue misses the target.
#[rstest]
fn others_keep_their_latency(
    #[values(Conduct::Flood, Conduct::Slow, Conduct::Large)] conduct: Conduct,
    #[values(1, 2, 3)] seed: u64,
) {
    let fair = compare(SLOTS, Order::Fair, conduct, seed);
    println!("{conduct:?} seed {seed}: {fair:?}");
    assert!(fair.ratio <= MAX_RATIO, "{fair:?}");
    assert_eq!(fair.refused, 0, "{fair:?}");
    assert!(fair.first_finished > 0, "{fair:?}");
    let fifo = compare(SLOTS, Order::Arrival, conduct, seed);
    println!("{conduct:?} seed {seed}, order of arrival: {fifo:?}");
    assert!(fifo.ratio > MAX_RATIO, "{fifo:?}");
    assert!(fifo.refused > 0, "{fifo:?}");
}

/// Guards against relying on the fair order alone: if no slots are kept free, slow and large
/// requests occupy all of them.
#[rstest]
fn order_alone_misses_the_target(#[values(Conduct::Slow, Conduct::Large)] conduct: Conduct) {
    let eager = compare(SLOTS, Order::Eager, conduct, 1);
    assert!(eager.ratio > MAX_RATIO, "{eager:?}");
}
