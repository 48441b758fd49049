//! Targets of releases over generated versions.

use bench::experiment::release::{ATLAS, EL_SHERBINY, Method, Scale, Summary, series};
use rstest::rstest;

const BOTH: [Scale; 2] = [ATLAS, EL_SHERBINY];

/// Runs four times `each` releases, with the users' sizes in turn, on four threads.
fn many(scales: &[Scale], method: Method, bad: bool, each: u64) -> Summary {
    let sums: Vec<Summary> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..4)
            .map(|part| {
                let scale = scales[part as usize % scales.len()];
                let seeds = part * 1000..part * 1000 + each;
                scope.spawn(move || series(scale, method, bad, seeds))
            })
            .collect();
        let joined = threads.into_iter().map(std::thread::ScopedJoinHandle::join);
        joined.map(|sum| sum.expect("no panic")).collect()
    });
    let sum = sums.into_iter().fold(Summary::default(), Summary::plus);
    println!("{method:?} bad={bad} {sum:?}");
    sum
}

/// Guards against false roll-backs and against good versions that miss the finish time.
#[rstest]
#[case(ATLAS)]
#[case(EL_SHERBINY)]
fn good_versions_complete(#[case] scale: Scale) {
    let sum = many(&[scale], Method::Evidence, false, 40);
    assert_eq!(sum.runs, 160);
    assert!(sum.complete * 100 >= sum.runs * 99, "{sum:?}");
    assert_eq!(sum.exceeded, 0, "{sum:?}");
}

/// Guards against bad versions that complete or keep their traffic after the fault is visible.
#[test]
fn bad_versions_roll_back() {
    let sum = many(&BOTH, Method::Evidence, true, 40);
    assert_eq!((sum.complete, sum.late, sum.exceeded), (0, 0, 0), "{sum:?}");
}

/// Guards against a release that completes, or exceeds its cap, while a VM that is cut off is still
/// at an earlier step and may still halt it.
#[rstest]
#[case(false)]
#[case(true)]
fn cut_off_vm_blocks_completion(#[case] bad: bool) {
    let scale = Scale {
        cut_off: Some(60_000),
        ..ATLAS
    };
    let sum = many(&[scale], Method::Evidence, bad, 5);
    assert_eq!((sum.complete, sum.exceeded), (0, 0), "{sum:?}");
    // A VM stops using the new version after 5 s without contact; a heartbeat takes up to 1.1 s.
    assert!(sum.exposed <= 6_100, "{sum:?}");
}

/// Shows that the targets are missed without the mechanism: a fixed timer completes bad versions.
#[test]
fn timer_completes_bad_versions() {
    let sum = many(&BOTH, Method::Timer, true, 5);
    assert!(sum.complete > 0 && sum.late > 0, "{sum:?}");
}

/// Shows that a plain threshold completes slow versions, and rolls good ones back when a shared
/// dependency fails.
#[test]
fn threshold_misses_both_targets() {
    let bad = many(&BOTH, Method::Threshold, true, 10);
    assert!(bad.complete > 0 && bad.late > 0, "{bad:?}");
    let good = many(&BOTH, Method::Threshold, false, 10);
    assert!(good.complete * 100 < good.runs * 99, "{good:?}");
}

/// Shows that faults under load go unnoticed when the next step's load per server is not produced.
#[test]
fn full_width_misses_faults_under_load() {
    let sum = many(&BOTH, Method::FullWidth, true, 10);
    assert!(sum.complete > 0, "{sum:?}");
}
