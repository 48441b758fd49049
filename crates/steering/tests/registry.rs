//! Registered servers from reports that are late, doubled, or missing.

use std::time::{Duration, Instant};
use steering::registry::{Change, RETURN, Registry};
use steering::routing::Registration;

fn server(sequence: u64, born: u64) -> Registration {
    Registration {
        server: "i-1".into(),
        service: "lookup".into(),
        address: "10.1.0.1:80".parse().expect("an address"),
        data_centre: "nord-a".into(),
        label: "v1".into(),
        slots: 3,
        leaving: false,
        warmup_left: Duration::ZERO,
        sequence,
        born,
    }
}

fn leaving(sequence: u64) -> Registration {
    Registration {
        leaving: true,
        ..server(sequence, 100)
    }
}

fn is_leaving(registry: &Registry) -> bool {
    registry.entries().all(|entry| entry.registration.leaving)
}

/// Guards against an old report that brings a leaving server back.
#[test]
fn leaving_is_final_for_a_run() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.update(vec![server(1, 100)], now);
    assert_eq!(
        registry.update(vec![leaving(2)], now),
        [Change::Leaving("i-1".into())]
    );
    registry.update(vec![server(1, 100)], now);
    assert!(is_leaving(&registry));
    registry.update(vec![server(3, 100)], now);
    assert!(is_leaving(&registry));
    // A new run under the same id starts afresh, with smaller numbers.
    assert_eq!(
        registry.update(vec![server(1, 200)], now),
        [Change::Joined("i-1".into())]
    );
    assert!(!is_leaving(&registry));
    // A late report of the run before changes nothing.
    registry.update(vec![leaving(9)], now);
    assert!(!is_leaving(&registry));
}

/// Guards against servers that are lost because their entries lapsed while the store was away, and
/// against servers that are used although they did not come back.
#[test]
fn lapsed_entries_have_time_to_return() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.update(vec![server(1, 100)], now);
    registry.store_recovered(now);
    assert_eq!(registry.update(Vec::new(), now), []);
    let still = now + RETURN - Duration::from_millis(1);
    assert_eq!(registry.update(Vec::new(), still), []);
    assert_eq!(
        registry.update(Vec::new(), now + RETURN),
        [Change::Gone("i-1".into())]
    );
}

/// Guards against a grace for entries that went while the store was there.
#[test]
fn missing_entry_is_gone_at_once() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.update(vec![server(1, 100)], now);
    assert_eq!(
        registry.update(Vec::new(), now),
        [Change::Gone("i-1".into())]
    );
}

/// Guards against a warm-up that is counted from an old report.
#[test]
fn warm_up_counts_from_its_report() {
    let now = Instant::now();
    let mut registry = Registry::default();
    let cold = Registration {
        warmup_left: Duration::from_secs(3),
        ..server(1, 100)
    };
    registry.update(vec![cold.clone()], now);
    registry.update(vec![cold], now + Duration::from_secs(1));
    let entry = registry.entries().next().expect("an entry");
    assert_eq!(entry.cold_until, Some(now + Duration::from_secs(3)));
}
