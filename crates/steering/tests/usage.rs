//! Usage reports: the holder under faults, the estimate of true time, and the counts.

#[path = "usage/world.rs"]
mod world;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use std::time::Duration;
use steering::usage::{Boot, Clock, Ledger, Settings, Share, Source, Tally};
use world::{Removed, World};

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
/// Seeds of the fault schedules.
const SEEDS: std::ops::Range<u64> = 0..150;

/// Guards against two reports of a window with different counts, a shared or falling token, and
/// holders that change to and fro, under suspensions, restarts, clock steps, lost and late messages,
/// transactions that are applied late, and VMs that take each other's place; and against reports that
/// do not come once the faults are over.
#[test]
fn rules_hold_under_faults() {
    for seed in SEEDS {
        let world = World::played(seed, Removed::Nothing);
        assert_eq!(world.violations(), Vec::<String>::new(), "seed {seed}");
        assert_eq!(
            world.missing_after_faults(),
            Vec::<u64>::new(),
            "seed {seed}"
        );
    }
}

/// Guards against a test that judges nothing: each part of the design is needed.
#[rstest]
#[case::fencing(Removed::Condition)]
#[case::fixed_report(Removed::FixedReport)]
#[case::wait_of_a_successor(Removed::Wait)]
#[case::read_back(Removed::ReadBack)]
#[case::deadline_of_calls(Removed::Deadline)]
fn rules_break_without_a_part(#[case] removed: Removed) {
    let broken = SEEDS.filter(|seed| !World::played(*seed, removed).violations().is_empty());
    assert!(broken.count() > 0, "{removed:?}");
}

/// Guards against a store that is called more than once per window, and against late windows, while
/// nothing fails.
#[test]
fn quiet_fleet_calls_the_store_once_per_window() {
    let world = World::quiet();
    assert_eq!(world.missing_after_faults(), Vec::<u64>::new());
    // One read and one takeover.
    let windows = world.windows();
    assert!(
        world.store_calls <= windows + 2,
        "{} calls",
        world.store_calls
    );
    assert_eq!(world.calls.len(), windows);
}

/// Guards against reports that wait for a data centre that is cut off until they are late.
#[test]
fn fleet_without_a_data_centre_reports_in_time() {
    let world = World::cut_off();
    assert_eq!(world.missing_after_faults(), Vec::<u64>::new());
    assert_eq!(world.violations(), Vec::<String>::new());
}

/// Fleet of clocks: each VM's wall clock is true time plus an error.
struct Clocks {
    clocks: Vec<Clock>,
    rng: StdRng,
}

impl Clocks {
    fn new(vms: usize) -> Self {
        Self {
            clocks: vec![Clock::default(); vms],
            rng: StdRng::seed_from_u64(3),
        }
    }

    /// Reports every 250 ms, a tenth of which is lost, and an update at each VM from `first` on.
    fn step(&mut self, now: Boot, errors: &[i64], first: usize) {
        let wall = |vm: usize| TRUE_MS + now.as_millis() as i64 + errors[vm];
        for to in first..self.clocks.len() {
            for from in (0..errors.len()).filter(|from| *from != to) {
                if self.rng.random_bool(0.9) {
                    let source = Source::Vm(from.to_string().into());
                    let delay = self.rng.random_range(0..40);
                    self.clocks[to].hear(source, [wall(from) - delay], now);
                }
            }
            self.clocks[to].update(wall(to), errors.len(), now);
        }
    }

    fn error(&self, vm: usize, now: Boot) -> Option<i64> {
        let known = self.clocks[vm].true_ms(now)?;
        Some(known as i64 - TRUE_MS - now.as_millis() as i64)
    }
}

/// True time at boot, in milliseconds since 1970.
const TRUE_MS: i64 = 1_767_225_600_000;

/// Guards against windows that move with the wall clocks of a third of the VMs, this VM's own
/// included, and against a VM that starts while its clock is wrong.
#[rstest]
#[case::ahead(4_000)]
#[case::behind(-4_000)]
fn steps_of_a_third_of_the_clocks_do_not_move_true_time(#[case] step: i64) {
    let mut clocks = Clocks::new(10);
    for tick in 0..240_u32 {
        let now = 250 * MS * tick;
        // VMs 0 to 2 step to and fro; 0 starts at 20 s, within a step.
        let is_stepped = (tick / 8) % 3 == 1 || (76..100).contains(&tick);
        let mut errors = [0; 10];
        errors[..3].fill(if is_stepped { step } else { 0 });
        clocks.step(now, &errors, usize::from(tick < 80));
        for vm in 0..10 {
            let error = clocks.error(vm, now).unwrap_or_default();
            assert!(error.abs() <= 50, "VM {vm} is off by {error} ms at {now:?}");
        }
    }
    assert!(clocks.error(0, 60 * SECOND).is_some());
}

/// Guards against a VM that follows the old reports that waited for it while it was suspended.
#[test]
fn reports_from_before_a_suspension_do_not_move_true_time() {
    let mut clocks = Clocks::new(3);
    let errors = [0; 3];
    (0..40_u32).for_each(|tick| clocks.step(250 * MS * tick, &errors, 0));
    let now = 16 * SECOND;
    let old = TRUE_MS + 10_000;
    for source in ["1", "2"] {
        clocks.clocks[0].hear(Source::Vm(source.into()), [old], now);
    }
    clocks.clocks[0].update(TRUE_MS + 16_000, 3, now);
    assert!(clocks.error(0, now).is_some_and(|error| error.abs() <= 50));
    for tick in 0..20 {
        let now = now + 250 * MS * tick;
        clocks.step(now, &errors, 0);
        assert!(clocks.error(0, now).is_some_and(|error| error.abs() <= 50));
    }
}

/// Guards against a fleet whose estimate never follows the wall clocks.
#[test]
fn lasting_change_of_all_clocks_is_followed() {
    let mut clocks = Clocks::new(3);
    for tick in 0..60_u32 {
        let errors = [if tick < 30 { 0 } else { 700 }; 3];
        clocks.step(250 * MS * tick, &errors, 0);
    }
    let error = clocks.error(1, 15 * SECOND).expect("an estimate");
    assert!((600..=700).contains(&error), "{error}");
}

/// Guards against sends that are lost or counted in another window because they were made before
/// true time was known, also when they are taken back later.
#[test]
fn early_sends_are_placed_once_true_time_is_known() {
    let settings = Settings::default();
    let mut tally = Tally::default();
    let early = [SECOND, 2 * SECOND].map(|at| tally.count("a", None, at));
    let window_at = |at: Boot| Some(settings.window_at(4_000 + at.as_millis() as u64));
    tally.update(1, window_at);
    tally.count("a", Some(1), 3 * SECOND);
    let count = |tally: &Tally| tally.window(1).map(|counts| counts["a"]);
    assert_eq!(count(&tally), Some(3));
    tally.revert("a", early[0]);
    assert_eq!(count(&tally), Some(2));
}

/// Guards against early sends that are counted in the window before theirs: those up to 0.1 s after
/// its beginning were, which is more than the platform tolerates in a short window.
#[test]
fn early_sends_near_a_boundary_are_counted_in_their_window() {
    let settings = Settings::default();
    let first_ms = settings.window_at(0) * 1_000;
    let length =
        (1..).find(|s| settings.window_at(first_ms + s * 1_000) != settings.window_at(first_ms));
    let boundary = length.expect("a boundary") * 1_000;
    // True time is 5 ms behind the time since boot.
    let window_at = |at: Boot| Some(settings.window_at(at.as_millis() as u64 + boundary - 1_005));
    let mut tally = Tally::default();
    for ms in 955..1_055 {
        tally.count("a", None, ms * MS);
    }
    let window = window_at(2 * SECOND).expect("a window");
    tally.update(window, window_at);
    let counted = tally.window(window).map_or(0, |counts| counts["a"]);
    assert!(counted.abs_diff(50) <= 10, "{counted}");
}

/// Guards against counts that are added twice: a VM's totals replace its earlier ones, a restarted VM
/// counts besides its earlier run, and what another VM passes on replaces nothing.
#[test]
fn totals_are_kept_per_run() {
    let share = |count| {
        let share = Share {
            workspace: "a".into(),
            counts: vec![(7, count)],
        };
        [share.mirrored(9).mirrored(9)]
    };
    let mut ledger = Ledger::default();
    ledger.record(&"vm-1".into(), 1, &share(5), 0);
    ledger.record(&"vm-1".into(), 1, &share(9), 0);
    ledger.record(&"vm-1".into(), 2, &share(1), 0);
    ledger.fill(&"vm-1".into(), 1, &share(5));
    ledger.fill(&"vm-2".into(), 1, &share(2));
    assert_eq!(ledger.sum(7)["a"], 12);
    // Two more of a window that is fixed come too late.
    assert_eq!(ledger.record(&"vm-2".into(), 1, &share(4), 7), 2);
}
