//! Requests that crash servers.

use std::time::{Duration, Instant};
use steering::crashes::{CRASHES, Count, Crashes};

/// Guards against a request that takes down one server after the other, seen by different VMs.
#[test]
fn crashes_of_all_vms_add_up() {
    let now = Instant::now();
    let mut crashes = Crashes::default();
    crashes.crashed(7, now);
    let elsewhere = [Count {
        request: 7,
        crashes: CRASHES - 1,
    }];
    assert!(!crashes.refuses(7, now));
    crashes.reported("vm-2", &elsewhere, now);
    assert!(crashes.refuses(7, now));
    assert!(!crashes.refuses(8, now));
    // A report that comes again does not count twice.
    crashes.reported("vm-2", &[], now);
    assert!(!crashes.refuses(7, now));
}

/// Guards against innocent requests that are refused because they were in flight at crashes.
#[test]
fn answer_clears_a_request() {
    let now = Instant::now();
    let mut crashes = Crashes::default();
    for _ in 0..CRASHES {
        crashes.crashed(7, now);
    }
    assert!(crashes.refuses(7, now));
    crashes.answered(7);
    assert!(!crashes.refuses(7, now));
}

/// Guards against a request that is refused forever.
#[test]
fn crashes_are_forgotten() {
    let now = Instant::now();
    let mut crashes = Crashes::default();
    for _ in 0..CRASHES {
        crashes.crashed(7, now);
    }
    assert!(!crashes.refuses(7, now + Duration::from_secs(61)));
}
