//! Targets of the limits experiment, in simulated time with fixed seeds.

use bench::experiment::limits::{Plan, overlap};
use rstest::rstest;
use std::time::Duration;
use steering::limits::{Settings, TOKEN};

fn at(seed: u64, load: f64) -> Plan {
    Plan {
        seed,
        load,
        length: Duration::from_secs(300),
        ..Plan::default()
    }
}

/// Guards against refusals inside the rate when most demand arrives at two VMs that change.
#[rstest]
#[case(0.8, 0.001)]
#[case(0.95, 0.02)]
fn refuses_little_inside_the_rate(
    #[case] load: f64,
    #[case] most: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let outcome = at(seed, load).run();
    println!(
        "load {load} seed {seed}: {:.3}% refused",
        outcome.refused_share() * 100.0
    );
    assert!(outcome.shared > 40_000, "{outcome:?}");
    assert!(outcome.refused_share() <= most, "{outcome:?}");
    assert_eq!(outcome.excess, 0);
}

/// Guards against capacity that lies idle in floors that no VM has claimed: 16 floors, 11 VMs.
#[test]
fn unclaimed_floors_are_used() {
    let plan = at(1, 0.95);
    let settings = Settings {
        floor_units: 16,
        ..plan.settings
    };
    let outcome = Plan { settings, ..plan }.run();
    println!("16 floors: {:.3}% refused", outcome.refused_share() * 100.0);
    assert!(outcome.refused_share() <= 0.02, "{outcome:?}");
    assert_eq!(outcome.excess, 0);
}

/// Guards against targets that any mechanism would meet: each baseline misses them.
#[rstest]
#[case(0.8, 0.001)]
#[case(0.95, 0.02)]
fn baselines_refuse_more(#[case] load: f64, #[case] most: f64) {
    let plan = at(1, load);
    for baseline in [plan.even(), plan.follow(), plan.follow_and_wait()] {
        let outcome = baseline.run();
        println!(
            "load {load} {:?} wait {:?}: {:.3}% refused",
            baseline.split,
            baseline.wait,
            outcome.refused_share() * 100.0
        );
        assert!(outcome.refused_share() > most, "{baseline:?} {outcome:?}");
    }
}

/// Guards against any window above the bound under faults. The run comes within a tenth of the
/// burst of the bound, so an excess would show.
#[rstest]
fn bound_holds_under_faults(#[values(1, 2, 3, 4)] seed: u64) {
    let plan = Plan::faulty(seed);
    let outcome = plan.run();
    println!("faults, seed {seed}: {outcome:?}");
    assert_eq!(outcome.excess, 0, "{outcome:?}");
    assert!(outcome.min_headroom <= plan.limit.burst / 10, "{outcome:?}");
    assert!(outcome.faults.iter().all(|&count| count > 0), "{outcome:?}");
}

/// Guards against an isolated data centre that stops serving, or that exceeds its floors: two of
/// eleven floors are two elevenths of a quarter of the rate.
#[test]
fn isolated_data_centre_serves_its_floors() {
    let plan = Plan::isolated(1);
    let outcome = plan.run();
    println!("cut off: {outcome:?}");
    let floors = 2 * plan.settings.floor(plan.limit).rate;
    let admitted = outcome.isolated * TOKEN / 3600;
    assert!(admitted >= floors * 9 / 10, "{admitted} of {floors}");
    // Added to the floors: one term of leased allocations, and two full buckets.
    assert!(outcome.isolated * TOKEN <= floors * 3600 + plan.limit.rate * 2 + plan.limit.burst);
    assert_eq!(outcome.excess, 0);
}

/// Guards against grants of an allocation that a holder with a slow clock still uses.
#[test]
fn margin_covers_drift() {
    let settings = Settings::default();
    assert_eq!(overlap::margin(settings.margin), 0);
    assert_eq!(overlap::margin(settings.term / 1000), 0);
    assert!(overlap::margin(Duration::ZERO) > TOKEN);
}

/// Guards against lent tokens that count twice while in transit.
#[test]
fn reserved_headroom_covers_transit() {
    assert_eq!(overlap::headroom(true), 0);
    assert!(overlap::headroom(false) > TOKEN);
}
