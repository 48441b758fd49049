//! Registered servers, from reports that are late, duplicated or missing.

use std::time::{Duration, Instant};
use steering::registry::{Change, RECOVERY_GRACE, Registry};
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
    // A new run with the same id starts again with lower sequence numbers.
    assert_eq!(
        registry.update(vec![server(1, 200)], now),
        [Change::Joined("i-1".into())]
    );
    assert!(!is_leaving(&registry));
    // A late report of the earlier run changes nothing.
    registry.update(vec![leaving(9)], now);
    assert!(!is_leaving(&registry));
}

/// Guards against servers that are removed because their entries expired while the store was
/// unavailable, and against servers that are used although their entries did not return.
#[test]
fn lapsed_entries_have_time_to_return() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.update(vec![server(1, 100)], now);
    registry.store_recovered(now);
    assert_eq!(registry.update(Vec::new(), now), []);
    let still = now + RECOVERY_GRACE - Duration::from_millis(1);
    assert_eq!(registry.update(Vec::new(), still), []);
    assert_eq!(
        registry.update(Vec::new(), now + RECOVERY_GRACE),
        [Change::Gone("i-1".into())]
    );
}

/// Guards against a grace period for entries that are removed while the store is available.
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

/// Guards against a warm-up that starts again when an old report is read again.
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

/// Guards against a server that left and is used again, or one that joined and is dropped, since a
/// store that came back from an older copy lists what was.
#[test]
fn list_of_an_older_copy_changes_no_server() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut registry = Registry::default();
    let report = |name: &str, sequence| Registration {
        server: name.into(),
        ..server(sequence, 100)
    };
    registry.update(vec![report("left", 3), report("stays", 3)], at(0));
    registry.update(vec![report("stays", 4), report("joined", 1)], at(1_000));
    let names = |registry: &Registry| -> Vec<String> {
        let entries = registry.entries();
        entries
            .map(|entry| entry.registration.server.to_string())
            .collect()
    };
    registry.store_restored(at(2_000));
    let changes = registry.update(vec![report("left", 3), report("stays", 3)], at(2_000));
    assert_eq!(
        (changes, names(&registry)),
        (vec![], vec!["stays".into(), "joined".into()])
    );
    registry.update(vec![report("left", 3), report("stays", 5)], at(5_000));
    assert_eq!(names(&registry), ["stays"]);
    // A report that was written after it had been gone.
    registry.update(vec![report("left", 4), report("stays", 5)], at(5_500));
    assert_eq!(names(&registry), ["stays", "left"]);
}
