//! Targets of releases over generated versions.

use bench::experiment::release::{ATLAS, EL_SHERBINY, Method, Summary, series};

/// Runs half of the releases with each user's sizes, on four threads.
fn both(method: Method, bad: bool, each: u64) -> Summary {
    let parts = [(ATLAS, 0), (ATLAS, 1), (EL_SHERBINY, 2), (EL_SHERBINY, 3)];
    let sums: Vec<Summary> = std::thread::scope(|scope| {
        let threads = parts.map(|(scale, part)| {
            let seeds = part * 1000..part * 1000 + each;
            scope.spawn(move || series(scale, method, bad, seeds))
        });
        threads
            .into_iter()
            .map(|thread| thread.join().expect("no panic"))
            .collect()
    });
    let sum = sums.into_iter().fold(Summary::default(), Summary::plus);
    println!("{method:?} bad={bad} {sum:?}");
    sum
}

/// Guards against false roll-backs and against good versions that miss the finish time.
#[test]
fn good_versions_complete() {
    let sum = both(Method::Evidence, false, 75);
    assert_eq!(sum.runs, 300);
    assert!(sum.complete * 100 >= sum.runs * 99, "{sum:?}");
    assert_eq!(sum.exceeded, 0, "{sum:?}");
}

/// Guards against bad versions that complete or keep their traffic after the fault is visible.
#[test]
fn bad_versions_roll_back() {
    let sum = both(Method::Evidence, true, 40);
    assert_eq!((sum.complete, sum.late, sum.exceeded), (0, 0, 0), "{sum:?}");
}

/// Shows that the targets are missed without the mechanism: a fixed timer completes bad versions.
#[test]
fn timer_completes_bad_versions() {
    let sum = both(Method::Timer, true, 5);
    assert!(sum.complete > 0 && sum.late > 0, "{sum:?}");
}

/// Shows that a plain threshold completes slow versions, and rolls good ones back when a shared
/// dependency fails.
#[test]
fn threshold_misses_both_targets() {
    let bad = both(Method::Threshold, true, 10);
    assert!(bad.complete > 0 && bad.late > 0, "{bad:?}");
    let good = both(Method::Threshold, false, 10);
    assert!(good.complete * 100 < good.runs * 99, "{good:?}");
}

/// Shows that faults under load get through when the next step's load is not brought about.
#[test]
fn full_width_misses_faults_under_load() {
    let sum = both(Method::FullWidth, true, 10);
    assert!(sum.complete > 0, "{sum:?}");
}
