//! Counter of crashes per request.

use rstest::rstest;
use std::time::{Duration, Instant};
use steering::crashes::record::{Entry, MAX_ENTRIES, Record, Row};
use steering::crashes::{Count, CrashCounter, MAX_CRASHES, ReportedCount, Verdict};

const SECOND: Duration = Duration::from_secs(1);

/// Returns the counter of a process that observed crashes of so many servers with request 7.
fn counter(own: u64, crashes: u32, now: Instant) -> CrashCounter {
    let mut counter = CrashCounter::default();
    for server in 0..u64::from(crashes) {
        // Copies of the request on one server count once.
        for _ in 0..2 {
            counter.record_crash(7, own * 10 + server, now - SECOND, now);
        }
    }
    counter
}

/// Passes a report from one process to another.
fn report(from: &CrashCounter, to: &mut CrashCounter, now: Instant) {
    to.merge_report(&from.report(32, 0, now), now);
}

/// Guards against a request that crashes one server after the other, each counted by another VM, and
/// against a count that is lost because a later report of its VM lacks it, as after a restart.
#[test]
fn crashes_of_all_vms_add_up() {
    let now = Instant::now();
    let mut crashes = counter(1, 1, now);
    let mut elsewhere = counter(2, MAX_CRASHES - 1, now);
    assert!(!crashes.is_refused(7, now));
    report(&elsewhere, &mut crashes, now);
    report(&elsewhere, &mut crashes, now);
    assert!(crashes.is_refused(7, now));
    assert!(!crashes.is_refused(8, now));
    elsewhere = CrashCounter::default();
    elsewhere.record_crash(8, 31, now, now);
    report(&elsewhere, &mut crashes, now);
    assert!(crashes.is_refused(7, now));
}

/// Guards against innocent requests that are refused because they were in flight at crashes: an
/// answer clears them at all VMs, also where their crashes were counted.
#[test]
fn answer_clears_a_request() {
    let now = Instant::now();
    let mut counted = counter(1, MAX_CRASHES, now);
    let mut answered = CrashCounter::default();
    report(&counted, &mut answered, now);
    assert!(answered.is_refused(7, now));
    assert!(!answered.record_answer(8, now));
    assert!(answered.record_answer(7, now));
    assert!(!answered.is_refused(7, now));
    report(&counted, &mut answered, now);
    assert!(!answered.is_refused(7, now));
    report(&answered, &mut counted, now);
    assert_eq!(counted.verdict(7, now), Verdict::Clear);
    // Crashes after the answer count again.
    counted.record_crash(7, 99, now, now);
    report(&counted, &mut answered, now);
    assert_eq!(answered.left(7), 1);
}

/// Guards against a request that crashes three more servers at the end of each refusal, and against
/// one that is refused forever: after each refusal one send shows whether it still does. A rule allows
/// three more retries in all; the fourth would come after a day.
#[test]
fn refusals_grow_with_each_crash_after_them() {
    let mut now = Instant::now();
    let mut crashes = counter(1, MAX_CRASHES, now);
    for seconds in [60, 240, 960] {
        let end = now + seconds * SECOND;
        assert!(crashes.begin_send(7, seconds.into(), end - SECOND).is_err());
        assert!(
            crashes
                .begin_send(7, seconds.into(), end)
                .is_ok_and(|trial| trial.is_some())
        );
        // The others wait for the end of this send.
        assert!(crashes.begin_send(7, seconds.into(), end).is_err());
        now = end;
    }
    let end = now + 24 * 60 * 60 * SECOND;
    assert_eq!(crashes.verdict(7, end - SECOND), Verdict::Refused(end));
    assert_eq!(crashes.verdict(7, end), Verdict::Clear);
}

/// Guards against sends of a suspect side by side, and against one that stays refused although its
/// trial did not crash a server.
#[test]
fn suspect_is_sent_alone() {
    let now = Instant::now();
    let mut crashes = counter(1, MAX_CRASHES - 1, now);
    let trial = crashes.begin_send(7, 50, now).expect("it may be sent");
    assert_eq!(
        trial.map(|trial| (trial.crashes, trial.was_refused)),
        Some((1, false))
    );
    assert!(crashes.begin_send(7, 50, now).is_err());
    crashes.revert_trial(7, trial.expect("a trial"), now);
    assert!(
        crashes
            .begin_send(7, 50, now)
            .is_ok_and(|trial| trial.is_some())
    );
    crashes.record_answer(7, now);
    assert_eq!(crashes.begin_send(7, 50, now), Ok(None));
}

/// Guards against counts of few crashes that never end, and against a restart of their time by a
/// report that was under way.
#[test]
fn few_crashes_are_forgotten() {
    let now = Instant::now();
    let first = counter(1, MAX_CRASHES - 1, now);
    let later = now + 599 * SECOND;
    let mut other = CrashCounter::default();
    report(&first, &mut other, later);
    assert_eq!(other.verdict(7, later), Verdict::Suspect);
    assert_eq!(other.verdict(7, later + SECOND), Verdict::Clear);
}

/// Guards against a suspect that is forgotten because many other requests were in flight at
/// crashes, here and in reports.
#[test]
fn suspects_outlive_many_other_requests() {
    let now = Instant::now();
    let mut crashes = counter(1, MAX_CRASHES, now);
    let later = now + 3 * SECOND;
    for request in 100..3_000 {
        crashes.record_crash(request, 1, later, later);
    }
    assert!(crashes.is_refused(7, later));
    let mut other = CrashCounter::default();
    for turn in 0..100 {
        let counts = crashes.report(32, turn, later);
        assert!(counts.len() <= 32);
        other.merge_report(&counts, later);
    }
    assert!(other.is_refused(7, later));
    // In the store as well.
    let row = written_row(&crashes, later);
    assert_eq!(row.entries.len(), MAX_ENTRIES);
    assert_eq!(row.entries[0].count.request, 7);
}

/// Returns a record that was read as this row when the store's clock showed `now_ms`.
fn record(row: Row, now_ms: u64, now: Instant) -> Record {
    let mut record = Record::default();
    let snapshot = row.version;
    record.read(row, snapshot, now_ms, now);
    record
}

/// Returns the row after a VM wrote its crashes when the store's clock showed 1,000 s.
fn written_row(crashes: &CrashCounter, now: Instant) -> Row {
    let record = record(Row::default(), 1_000_000, now);
    let entries = record.change(crashes, false, now).expect("a change");
    Row {
        entries,
        version: 5,
    }
}

/// Returns the counter of a process that read these rows when the store's clock showed `now_ms`.
fn restored(_own: u64, rows: &[&Row], now_ms: u64, now: Instant) -> CrashCounter {
    let mut crashes = CrashCounter::default();
    for row in rows {
        let record = record((*row).clone(), now_ms, now);
        for (count, at) in record.counts(&row.entries, now) {
            crashes.merge(count, at, now);
        }
    }
    crashes
}

/// Guards against a request that crashes more servers after a kill of all VMs, at any count, and
/// against one that is refused for longer than without the kill.
#[rstest]
#[case::at_once(0, 3, true)]
#[case::before_the_end(59, 3, true)]
#[case::after_the_end(61, 3, false)]
#[case::after_more_crashes(239, 4, true)]
fn record_outlives_all_vms(#[case] age_s: u64, #[case] count: u32, #[case] is_refused: bool) {
    let now = Instant::now();
    let rows = [counter(1, 1, now), counter(2, count - 1, now)];
    let rows = rows.map(|crashes| written_row(&crashes, now));
    // The machines restarted: their monotonic clocks say nothing about the age.
    let restart = now + 1_000 * SECOND;
    let rows = rows.each_ref();
    let crashes = restored(3, &rows, 1_000_000 + age_s * 1_000, restart);
    assert_eq!(crashes.left(7), count);
    assert_eq!(crashes.is_refused(7, restart), is_refused);
    // VMs that can't read the store learn it from reports, and do not count it twice.
    let mut other = restored(4, &rows[..1], 1_000_000 + age_s * 1_000, restart);
    report(&crashes, &mut other, restart);
    assert_eq!(other.left(7), count);
    assert_eq!(other.is_refused(7, restart), is_refused);
}

/// Guards against repeated writes, and against writes without a crash.
#[test]
fn record_is_written_once() {
    let now = Instant::now();
    let crashes = counter(1, 2, now);
    let empty = record(Row::default(), 1_000_000, now);
    assert_eq!(empty.change(&CrashCounter::default(), true, now), None);
    let row = written_row(&crashes, now);
    let mut written = empty;
    written.written(row.clone());
    for age_s in [0, 59, 61, 700, 100_000] {
        let later = now + Duration::from_secs(age_s);
        assert_eq!(written.change(&crashes, true, later), None);
    }
    assert!(written.holds(10, 7, 1) && !written.holds(10, 7, 2) && !written.holds(20, 7, 1));
    // A read that began before the write does not hide it.
    written.read(Row::default(), 4, 1_000_000, now);
    assert_eq!(*written.row(), row);
}

/// Guards against refused requests that are on record nowhere because the VM that counted them has
/// lost the store, and against VMs that write what others have to.
#[test]
fn second_writer_records_refused_requests_of_others() {
    let now = Instant::now();
    let mut writer = CrashCounter::default();
    let empty = record(Row::default(), 1_000_000, now);
    report(&counter(1, MAX_CRASHES - 1, now), &mut writer, now);
    assert_eq!(empty.change(&writer, true, now), None);
    report(&counter(1, MAX_CRASHES, now), &mut writer, now);
    assert_eq!(empty.change(&writer, false, now), None);
    let entries = empty.change(&writer, true, now).expect("a change");
    let counts: Vec<_> = entries
        .iter()
        .map(|e| (e.count.origin, e.count.crashes))
        .collect();
    assert_eq!(counts.len(), 3);
    assert!(
        [10, 11, 12]
            .iter()
            .all(|server| counts.contains(&(*server, 1)))
    );
}

/// Guards against a request that stays refused after all restarts although a server answered it, and
/// against a write for each answer to a request that was interrupted once.
#[test]
fn answer_clears_the_record() {
    let now = Instant::now();
    let rows = [
        written_row(&counter(1, 1, now), now),
        written_row(&counter(2, 2, now), now),
    ];
    let first = record(rows[0].clone(), 1_000_000, now);
    let mut crashes = restored(3, &rows.each_ref(), 1_000_000, now);
    assert!(crashes.record_answer(7, now));
    assert_eq!(first.change(&crashes, false, now), Some(Vec::new()));
    let mut once = restored(3, &[&rows[0]], 1_000_000, now);
    assert!(!once.record_answer(7, now));
    assert_eq!(first.change(&once, false, now), None);
}

/// Guards against a request that crashes servers again after an upgrade, whose record was written
/// by a version that kept no origins.
#[test]
fn records_of_earlier_versions_count() {
    let now = Instant::now();
    let text = r#"[{"count":{"request":7,"crashes":3},"recorded_ms":1000}]"#;
    let entries: Vec<Entry> = serde_json::from_str(text).expect("entries");
    let row = Row {
        entries,
        version: 5,
    };
    assert!(restored(3, &[&row], 2_000, now).is_refused(7, now));
}

/// Guards against counts that depend on the order of reports.
#[test]
fn merged_counts_do_not_depend_on_their_order() {
    let now = Instant::now();
    let count = |crashes, cleared| ReportedCount {
        count: Count {
            origin: 1,
            request: 7,
            crashes,
            cleared,
        },
        age_ms: 0,
    };
    let reports = [count(1, 0), count(3, 1), count(2, 2), count(3, 0)];
    for first in 0..reports.len() {
        let mut crashes = CrashCounter::default();
        for index in 0..reports.len() {
            crashes.merge_report(&[reports[(first + index) % reports.len()]], now);
        }
        assert_eq!(crashes.left(7), 1);
    }
}
