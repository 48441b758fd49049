//! Objects that servers are assumed to have cached.

use std::time::{Duration, Instant};
use steering::warmth::{ObjectUse, WarmObjects};

fn pair(object: u32) -> ObjectUse {
    ObjectUse { server: 1, object }
}

/// Guards against a server that counts as warm for objects that it has evicted.
#[test]
fn least_recently_used_object_goes_first() {
    let now = Instant::now();
    let mut warm_objects = WarmObjects::default();
    (0..20).for_each(|object| {
        warm_objects.record(pair(object), now);
    });
    warm_objects.record(pair(0), now);
    warm_objects.record(pair(20), now);
    assert!(warm_objects.is_warm(1, 0));
    assert!(!warm_objects.is_warm(1, 1));
    assert!(!warm_objects.is_warm(2, 0));
    warm_objects.remove(1);
    assert!(!warm_objects.is_warm(1, 0));
}

/// Guards against a report for every single request.
#[test]
fn use_is_reported_again_after_an_interval() {
    let now = Instant::now();
    let mut warm_objects = WarmObjects::default();
    assert!(warm_objects.record(pair(1), now));
    assert!(!warm_objects.record(pair(1), now + Duration::from_millis(500)));
    assert!(warm_objects.record(pair(1), now + Duration::from_secs(3)));
}
