//! Targets of failures of a data centre and a region at peak, and of spill to cold caches.

use bench::experiment::spill::{ATLAS, EL_SHERBINY, Figures, Method, Scenario, User, run};
use rstest::rstest;

const SURGE: Scenario = Scenario::ColdSurge { warming: 6 };

/// Most direction changes that `events` failures or surges justify, by service.
///
/// A prompt service moves out and back, with one change between and one between events. A
/// deferrable one also yields to prompt services and comes back once in each event.
fn justified(events: usize) -> [usize; 3] {
    [2 * events - 1, 2 * events - 1, 4 * events - 1]
}

fn steady(figures: &Figures, events: usize) -> bool {
    (figures.turns.iter().zip(justified(events))).all(|(turns, most)| *turns <= most)
}

fn loaded(figures: &Figures) -> bool {
    figures.load.iter().all(|load| *load <= 1.0)
}

/// Guards against a data centre or link that is pushed past its bound, against oscillation, and
/// against deferrable requests that are refused or never finish.
#[rstest]
#[case(Scenario::Failures, 2)]
#[case(Scenario::Overlap, 2)]
#[case(Scenario::ColdSurge { warming: 3 }, 1)]
#[case(SURGE, 1)]
#[case(Scenario::ColdSurge { warming: 12 }, 1)]
#[case(Scenario::ColdSurge { warming: 24 }, 1)]
#[case(Scenario::ColdSurge { warming: 60 }, 1)]
fn steering_meets_targets(
    #[case] scenario: Scenario,
    #[case] events: usize,
    #[values(ATLAS, EL_SHERBINY)] user: User,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let figures = run(&user, Method::Steering, scenario, seed);
    assert!(loaded(&figures), "{figures:?}");
    assert!(figures.link <= 1.0, "{figures:?}");
    assert!(steady(&figures, events), "{figures:?}");
    assert!(
        figures.waiting > 0.0,
        "deferrable requests waited: {figures:?}"
    );
    assert!(figures.unfinished < 1.0, "{figures:?}");
}

/// Guards against targets that undamped proportional moves would meet.
#[rstest]
fn baseline_misses_targets(#[values(ATLAS, EL_SHERBINY)] user: User) {
    let figures = run(&user, Method::Proportional, Scenario::Failures, 1);
    assert!(!loaded(&figures), "{figures:?}");
    assert!(figures.link > 1.0, "{figures:?}");
    assert!(!steady(&figures, 2), "{figures:?}");
}

/// Guards against deferrable requests that take the links from prompt ones.
#[rstest]
fn priority_is_needed(#[values(ATLAS, EL_SHERBINY)] user: User) {
    let ours = run(&user, Method::Steering, Scenario::Failures, 1);
    let equal = run(&user, Method::NoPriority, Scenario::Failures, 1);
    assert!(ours.refused[0] < equal.refused[0], "{ours:?} {equal:?}");
    assert!(ours.waiting > equal.waiting, "{ours:?} {equal:?}");
}

/// Guards against data centres that move their excess to each other, because each sees the other as
/// it was before the callers of a failed region came.
#[rstest]
fn lag_counts(#[values(ATLAS, EL_SHERBINY)] user: User) {
    let figures = run(&user, Method::LagIgnored, Scenario::Failures, 1);
    assert!(!loaded(&figures), "{figures:?}");
}

/// Guards against moves into the whole headroom at once, when several data centres make them.
#[rstest]
fn damping_is_needed(#[values(ATLAS, EL_SHERBINY)] user: User) {
    let figures = run(&user, Method::Undamped, Scenario::Overlap, 1);
    assert!(!loaded(&figures), "{figures:?}");
}

/// Guards against links that cache fills saturate.
#[rstest]
fn cold_caches_count(#[values(ATLAS, EL_SHERBINY)] user: User) {
    let figures = run(&user, Method::ColdIgnored, SURGE, 1);
    assert!(figures.link > 1.0, "{figures:?}");
}
