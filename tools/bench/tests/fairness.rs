//! Targets of the fairness experiment, in simulated time with fixed seeds.

use bench::experiment::fairness::{Conduct, Order, SLOTS, compare};
use rstest::rstest;

/// Largest ratio of p99 with the misbehaving workspace to p99 without it.
const MOST: f64 = 1.25;

/// Guards against a workspace that floods, or whose requests are slow or large, and crowds out the
/// others; one queue in order of arrival misses the target.
#[rstest]
fn others_keep_their_latency(
    #[values(Conduct::Flood, Conduct::Slow, Conduct::Large)] conduct: Conduct,
    #[values(1, 2, 3)] seed: u64,
) {
    let fair = compare(SLOTS, Order::Fair, conduct, seed);
    println!("{conduct:?} seed {seed}: {fair:?}");
    assert!(fair.ratio <= MOST, "{fair:?}");
    assert_eq!(fair.refused, 0, "{fair:?}");
    assert!(fair.first > 0, "{fair:?}");
    let plain = compare(SLOTS, Order::Arrival, conduct, seed);
    println!("{conduct:?} seed {seed}, order of arrival: {plain:?}");
    assert!(plain.ratio > MOST, "{plain:?}");
    assert!(plain.refused > 0, "{plain:?}");
}

/// Guards against a fair order that is thought to suffice: without slots left free, slow and large
/// requests hold all slots.
#[rstest]
fn order_alone_misses_the_target(#[values(Conduct::Slow, Conduct::Large)] conduct: Conduct) {
    let eager = compare(SLOTS, Order::Eager, conduct, 1);
    assert!(eager.ratio > MOST, "{eager:?}");
}
