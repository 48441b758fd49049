//! Targets of the fairness experiment, in simulated time with fixed seeds.

use bench::experiment::fairness::{Conduct, Order, compare};
use rstest::rstest;

/// Largest ratio of p99 with the misbehaving workspace to p99 without it.
const MOST: f64 = 1.25;

/// Guards against a workspace that floods, or whose requests are slow or large, and crowds out the
/// others; the plain queue misses the target.
#[rstest]
fn others_keep_their_latency(
    #[values(Conduct::Flood, Conduct::Slow, Conduct::Large)] conduct: Conduct,
    #[values(1, 2, 3)] seed: u64,
) {
    let fair = compare(Order::Fair, conduct, seed);
    assert!(fair.ratio <= MOST, "{fair:?}");
    assert_eq!(fair.refused, 0, "{fair:?}");
    assert!(fair.first > 0, "{fair:?}");
    let plain = compare(Order::Arrival, conduct, seed);
    assert!(plain.ratio > MOST, "{plain:?}");
    assert!(plain.refused > 0, "{plain:?}");
}

#[test]
fn trial() {
    println!("{}", bench::experiment::fairness::report());
}
