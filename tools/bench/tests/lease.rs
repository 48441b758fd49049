//! Targets of the lease experiment.

use bench::experiment::lease::{Disaster, LEASES, Method, Setup, report, run};
use rstest::rstest;
use std::time::Duration;
use steering::lease::Terms;

const SETUP: Setup = Setup {
    method: Method::Fenced,
    disaster: Disaster::None,
    faults: 3.0,
    loss: 0.1,
    seed: 0,
};

/// Guards against two VMs whose writes under one lease both take effect, or that hold it at once in
/// memory, under pauses, kills, cut-offs, lost answers, late messages and clocks of different
/// speed.
#[rstest]
fn two_holders_never_both_write(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let tally = run(Setup { seed, ..SETUP });
    assert_eq!((tally.overlapping, tally.double), (0, 0), "{tally:?}");
    assert!(tally.writes > 1_000 && tally.taken > 20, "{tally:?}");
    let unfenced = run(Setup {
        seed,
        method: Method::Unfenced,
        ..SETUP
    });
    assert!(
        unfenced.overlapping > 0,
        "unfenced writes overlap: {unfenced:?}"
    );
}

/// Guards against leases that stay without a holder after all VMs restarted with empty memory, and
/// against holders that appear while the store is down. Recovery takes at most the term, the
/// margin, the stagger of all VMs, and a second for messages and lost answers.
#[rstest]
fn a_data_centre_restarts_from_nothing(
    #[values(Disaster::Restart, Disaster::RestartWithoutStore)] disaster: Disaster,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let tally = run(Setup {
        disaster,
        faults: 0.0,
        loss: 0.0,
        seed,
        ..SETUP
    });
    assert_eq!((tally.overlapping, tally.double), (0, 0), "{tally:?}");
    assert_eq!(tally.held_midway, 0, "{tally:?}");
    let Terms {
        term,
        margin,
        stagger,
    } = Terms::default();
    let bound = term + margin + 5 * stagger + Duration::from_secs(1);
    assert!(
        tally.recovery.is_some_and(|time| time <= bound),
        "{tally:?}"
    );
    assert!(tally.held >= LEASES - 1, "{tally:?}");
}

/// Guards against a report that no longer shows all cases.
#[test]
fn the_report_has_a_row_per_case() {
    let report = report();
    println!("{report}");
    assert_eq!(report.lines().count(), 5);
}
