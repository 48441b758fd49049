//! Estimates of service times and of the performance of servers.

use std::time::{Duration, Instant};
use steering::work::{ServerPerformance, ServiceTimeEstimate};

const EXPECTED: Duration = Duration::from_millis(200);

/// Guards against an estimate that outliers distort.
#[test]
fn estimate_follows_answers_within_its_range() {
    let mut estimate = ServiceTimeEstimate::new(Duration::from_millis(400));
    for _ in 0..500 {
        estimate.sample(true, Duration::from_millis(160));
        estimate.sample(false, Duration::from_secs(30));
    }
    let service_time = estimate.service_time();
    assert!(service_time.warm.abs_diff(Duration::from_millis(160)) < Duration::from_millis(5));
    assert!(service_time.cold <= Duration::from_millis(880));
}

/// Guards against a server that is slow without errors and still counts as fast, or that counts as
/// slow forever.
#[test]
fn slowdown_is_measured_and_decays() {
    let start = Instant::now();
    let mut performance = ServerPerformance::new(start);
    for _ in 0..6 {
        performance.record_answer(start, EXPECTED * 5, EXPECTED);
    }
    assert!(performance.slowdown(start) > 3.0);
    let later = start + Duration::from_secs(12);
    assert!(performance.slowdown(later) < 1.5);
}

/// Guards against requests to a server that no longer answers, and against a busy server that
/// counts as dead.
#[test]
fn server_is_silent_if_an_answer_is_overdue_and_none_came_since() {
    let start = Instant::now();
    let mut performance = ServerPerformance::new(start);
    let at = |ms| start + Duration::from_millis(ms);
    assert!(!performance.is_silent(at(700), Some(start), EXPECTED));
    assert!(performance.is_silent(at(900), Some(start), EXPECTED));
    performance.record_answer(at(850), EXPECTED, EXPECTED);
    assert!(!performance.is_silent(at(900), Some(start), EXPECTED));
    assert!(!performance.is_silent(at(5_000), None, EXPECTED));
}
