//! Counter of crashes per request.

use std::time::{Duration, Instant};
use steering::crashes::{Count, CrashCounter, MAX_CRASHES};

/// Guards against a request that crashes one server after the other, each counted by another VM.
#[test]
fn crashes_of_all_vms_add_up() {
    let now = Instant::now();
    let mut crashes = CrashCounter::default();
    crashes.record_crash(7, now);
    let elsewhere = [Count {
        request: 7,
        crashes: MAX_CRASHES - 1,
    }];
    assert!(!crashes.is_refused(7, now));
    crashes.merge("vm-2", &elsewhere, now);
    assert!(crashes.is_refused(7, now));
    assert!(!crashes.is_refused(8, now));
    // A new report replaces the earlier one.
    crashes.merge("vm-2", &[], now);
    assert!(!crashes.is_refused(7, now));
}

/// Guards against innocent requests that are refused because they were in flight at crashes.
#[test]
fn answer_clears_a_request() {
    let now = Instant::now();
    let mut crashes = CrashCounter::default();
    for _ in 0..MAX_CRASHES {
        crashes.record_crash(7, now);
    }
    assert!(crashes.is_refused(7, now));
    crashes.record_answer(7);
    assert!(!crashes.is_refused(7, now));
}

/// Guards against a request that is refused forever.
#[test]
fn crashes_are_forgotten() {
    let now = Instant::now();
    let mut crashes = CrashCounter::default();
    for _ in 0..MAX_CRASHES {
        crashes.record_crash(7, now);
    }
    assert!(!crashes.is_refused(7, now + Duration::from_secs(61)));
}
