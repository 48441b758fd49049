//! Objects that servers handled lately.

use std::time::{Duration, Instant};
use steering::warmth::{ObjectUse, WarmObjects};

fn pair(object: u32) -> ObjectUse {
    ObjectUse { server: 1, object }
}

/// Guards against a server that counts as warm for objects that it no longer keeps.
#[test]
fn least_recently_used_object_goes_first() {
    let now = Instant::now();
    let mut warmth = WarmObjects::default();
    (0..20).for_each(|object| {
        warmth.record(pair(object), now);
    });
    warmth.record(pair(0), now);
    warmth.record(pair(20), now);
    assert!(warmth.is_warm(1, 0));
    assert!(!warmth.is_warm(1, 1));
    assert!(!warmth.is_warm(2, 0));
    warmth.remove(1);
    assert!(!warmth.is_warm(1, 0));
}

/// Guards against reports that repeat every request.
#[test]
fn known_pair_is_told_again_after_a_while() {
    let now = Instant::now();
    let mut warmth = WarmObjects::default();
    assert!(warmth.record(pair(1), now));
    assert!(!warmth.record(pair(1), now + Duration::from_millis(500)));
    assert!(warmth.record(pair(1), now + Duration::from_secs(3)));
}
