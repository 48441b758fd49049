//! Estimates of work and condition.

use std::time::{Duration, Instant};
use steering::work::{ServerPerformance, ServiceTimeEstimate};

const EXPECTED: Duration = Duration::from_millis(200);

/// Guards against an estimate that a few odd answers throw off.
#[test]
fn estimate_follows_answers_within_its_range() {
    let mut estimate = ServiceTimeEstimate::new(Duration::from_millis(400));
    for _ in 0..500 {
        estimate.sample(true, Duration::from_millis(160));
        estimate.sample(false, Duration::from_secs(30));
    }
    let work = estimate.service_time();
    assert!(work.warm.abs_diff(Duration::from_millis(160)) < Duration::from_millis(5));
    assert!(work.cold <= Duration::from_millis(880));
}

/// Guards against a server that is slow without errors and goes unnoticed, or is never tried again.
#[test]
fn slow_server_is_noticed_and_forgiven() {
    let start = Instant::now();
    let mut condition = ServerPerformance::new(start);
    for _ in 0..6 {
        condition.record_answer(start, EXPECTED * 5, EXPECTED);
    }
    assert!(condition.slowdown(start) > 3.0);
    let later = start + Duration::from_secs(12);
    assert!(condition.slowdown(later) < 1.5);
}

/// Guards against requests to a server that answers nobody, and against calling a busy one dead.
#[test]
fn silence_is_an_overdue_answer_with_none_in_between() {
    let start = Instant::now();
    let mut condition = ServerPerformance::new(start);
    let at = |ms| start + Duration::from_millis(ms);
    assert!(!condition.is_silent(at(700), Some(start), EXPECTED));
    assert!(condition.is_silent(at(900), Some(start), EXPECTED));
    condition.record_answer(at(850), EXPECTED, EXPECTED);
    assert!(!condition.is_silent(at(900), Some(start), EXPECTED));
    assert!(!condition.is_silent(at(5_000), None, EXPECTED));
}
