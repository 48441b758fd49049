//! Counter of crashes per request.

use indexmap::IndexSet;
use rstest::rstest;
use std::time::{Duration, Instant};
use steering::crashes::record::{MAX_ENTRIES, Record, Row};
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
    crashes.record_answer(7, now);
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

const LIMIT: Count = Count {
    request: 7,
    crashes: MAX_CRASHES,
};

/// Returns a counter that another VM told of [`LIMIT`].
fn counter(now: Instant) -> CrashCounter {
    let mut crashes = CrashCounter::default();
    crashes.merge("vm-2", &[LIMIT], now);
    crashes
}

/// Returns a record that was read as this row when the store's clock showed `now_ms`.
fn record(row: Row, now_ms: u64, now: Instant) -> Record {
    let mut record = Record::default();
    let snapshot = row.version;
    record.read(row, snapshot, now_ms, now);
    record
}

/// Returns the row after a VM wrote the refused requests when the store's clock showed 1 s.
fn written_row(refused: &[Count], now: Instant) -> Row {
    let record = record(Row::default(), 1_000, now);
    let entries = record.change(refused, &IndexSet::new(), now);
    let entries = entries.expect("a change");
    Row {
        entries,
        version: 5,
    }
}

/// Guards against a request that crashes three more servers after a kill of all VMs, and against one
/// that is refused for longer than crashes count. Without the record all cases allow the request.
#[rstest]
#[case::at_once(0, true)]
#[case::before_the_end(59, true)]
#[case::after_the_end(61, false)]
fn record_outlives_all_vms(#[case] age_s: u64, #[case] is_refused: bool) {
    let now = Instant::now();
    let row = written_row(&counter(now).refused(now), now);
    // The machines restarted: their monotonic clocks say nothing about the age.
    let restart = now + Duration::from_secs(1_000);
    let record = record(row, 1_000 + age_s * 1_000, restart);
    let mut crashes = CrashCounter::default();
    assert!(!crashes.is_refused(7, restart));
    crashes.restore(record.fresh(restart));
    assert_eq!(crashes.is_refused(7, restart), is_refused);
    // VMs that can't read the store learn it from reports.
    let told: &[Count] = if is_refused { &[LIMIT] } else { &[] };
    assert_eq!(crashes.counts(8, restart), told);
    let end = restart + Duration::from_secs(60);
    assert!(!crashes.is_refused(7, end));
    assert_eq!(crashes.counts(8, end), []);
}

/// Guards against writes without a request that crashes servers, and against repeated ones.
#[test]
fn record_is_written_once() {
    let now = Instant::now();
    let none = IndexSet::new();
    let empty = record(Row::default(), 1_000, now);
    assert_eq!(empty.change(&[], &none, now), None);
    let row = written_row(&[LIMIT], now);
    let mut written = empty;
    written.written(row.clone());
    for age_s in [0, 59, 61, 600] {
        let later = now + Duration::from_secs(age_s);
        assert_eq!(written.change(&[LIMIT], &none, later), None);
    }
    // A read that began before the write does not hide it.
    written.read(Row::default(), 4, 1_000, now);
    assert_eq!(*written.row(), row);
}

/// Guards against a row that grows without bound, or that is written again and again when full.
#[test]
fn record_is_bounded() {
    let now = Instant::now();
    let none = IndexSet::new();
    let refused: Vec<Count> = (0..100).map(|request| Count { request, ..LIMIT }).collect();
    let row = written_row(&refused, now);
    assert_eq!(row.entries.len(), MAX_ENTRIES);
    let full = record(row, 1_000, now);
    assert_eq!(full.change(&refused, &none, now), None);
    // The expired entries make room.
    let later = now + Duration::from_secs(61);
    let entries = full.change(&refused, &none, later).expect("a change");
    let requests: Vec<u64> = entries.iter().map(|entry| entry.count.request).collect();
    assert_eq!(requests, (64..100).collect::<Vec<u64>>());
}

/// Guards against a request that stays refused after all restarts although a server answered it.
#[test]
fn answer_clears_the_record() {
    let now = Instant::now();
    let first = record(written_row(&[LIMIT], now), 1_000, now);
    let mut crashes = CrashCounter::default();
    crashes.restore(first.fresh(now));
    let mut other = crashes.clone();
    assert!(!crashes.record_answer(8, now));
    assert!(crashes.record_answer(7, now));
    assert!(!crashes.is_refused(7, now));
    let entries = first.change(&[], crashes.answered(), now);
    assert_eq!(entries, Some(Vec::new()));
    crashes.settle_answered(&IndexSet::from([7]));
    assert!(crashes.answered().is_empty());
    // VMs that read the row again clear the request, and do not restore it.
    other.restore(record(Row::default(), 2_000, now).fresh(now));
    assert!(!other.is_refused(7, now));
    crashes.restore(first.fresh(now));
    assert!(!crashes.is_refused(7, now));
}
