//! Leases: deadlines, fencing, lost answers and takeover.

use rstest::rstest;
use std::time::{Duration, Instant};
use steering::lease::{Answer, Held, Holder, Lease, Outcome, Refusal, Row, Terms, Vacant};

const MS: Duration = Duration::from_millis(1);

fn holder(vm: &str) -> Holder {
    Holder {
        vm: vm.into(),
        incarnation: 1,
    }
}

fn row(version: u64, operation: &str, vm: Option<&str>) -> Row {
    Row {
        version,
        operation: operation.into(),
        holder: vm.map(holder),
    }
}

fn vacant(vm: &str) -> Lease<Vacant> {
    Lease::new(holder(vm), Terms::default())
}

fn held(now: Instant) -> Lease<Held> {
    let mut lease = vacant("a");
    lease.observe(&row(0, "", None), now);
    let (requested, permit) = lease.request(0, "take".into(), now).expect("free");
    assert_eq!(permit.expected, 0);
    match requested.answered("take", Answer::Written(1), now + 5 * MS) {
        Outcome::Held(held) => held,
        other => panic!("{other:?}"),
    }
}

/// Guards against a deadline that counts from the answer instead of from before the request.
#[test]
fn deadline_counts_from_before_the_write_is_sent() {
    let now = Instant::now();
    let term = Terms::default().term;
    assert_eq!(held(now).deadline(), now + term);
    let mut lease = vacant("a");
    lease.observe(&row(0, "", None), now);
    let (requested, _) = lease.request(0, "take".into(), now).unwrap();
    assert!(matches!(
        requested.answered("take", Answer::Written(1), now + term),
        Outcome::Expired(_)
    ));
}

/// Guards against a holder that acts after a pause past its deadline.
#[test]
fn paused_holder_may_not_act_after_its_deadline() {
    let now = Instant::now();
    let mut lease = held(now);
    let late = now + Terms::default().term;
    assert!(lease.holds(late - MS) && !lease.holds(late));
    assert_eq!(lease.write("w".into(), late), Err(Refusal::Expired));
    assert!(lease.pending().is_none());
}

/// Guards against a write that doesn't expect the row version of the previous one, and against
/// concurrent writes.
#[test]
fn every_write_expects_the_last_version_and_renews() {
    let now = Instant::now();
    let mut lease = held(now);
    let sent = now + 1_000 * MS;
    assert_eq!(lease.write("w1".into(), sent).unwrap().expected, 1);
    assert_eq!(lease.write("w2".into(), sent), Err(Refusal::Pending));
    let Outcome::Held(mut lease) = lease.answered("w1", Answer::Written(2), sent + 100 * MS) else {
        panic!("lost the lease");
    };
    assert_eq!(lease.deadline(), sent + Terms::default().term);
    assert_eq!(
        lease.write("w2".into(), sent + 200 * MS).unwrap().expected,
        2
    );
}

/// Guards against treating a lost answer as a failure or as a success.
#[rstest]
#[case::took_effect(row(2, "w", Some("a")), Some(2))]
#[case::still_open(row(1, "take", Some("a")), None)]
#[case::stale_read(row(0, "", None), None)]
fn a_lost_answer_is_read_back(#[case] read: Row, #[case] fence: Option<u64>) {
    let now = Instant::now();
    let mut lease = held(now);
    lease.write("w".into(), now + 10 * MS).unwrap();
    let Outcome::Held(lease) = lease.answered("w", Answer::Lost, now + 20 * MS) else {
        panic!("lost the lease");
    };
    let Outcome::Held(mut lease) = lease.read_back(&read, now + 30 * MS) else {
        panic!("lost the lease");
    };
    assert_eq!(lease.pending().is_none(), fence.is_some());
    let next = lease
        .write("next".into(), now + 40 * MS)
        .map(|permit| permit.expected);
    assert_eq!(next, fence.ok_or(Refusal::Pending));
}

/// Guards against a holder that continues after another VM wrote the row.
#[test]
fn a_row_of_another_vm_ends_the_lease() {
    let now = Instant::now();
    let mut lease = held(now);
    lease.write("w".into(), now).unwrap();
    let Outcome::Held(lease) = lease.answered("w", Answer::Conflict, now) else {
        panic!("early")
    };
    assert!(matches!(
        lease.read_back(&row(2, "theirs", Some("b")), now),
        Outcome::Expired(_)
    ));
}

/// Guards against a takeover before the holder's term and the margin have passed, counted from the
/// last change of the row that the contender read.
#[test]
fn takeover_waits_for_term_and_margin_without_a_change() {
    let now = Instant::now();
    let wait = Terms::default().term + Terms::default().margin;
    let mut lease = vacant("b");
    assert!(lease.request_at(0).is_none());
    lease.observe(&row(4, "x", Some("a")), now);
    lease.observe(&row(5, "y", Some("a")), now + 3_000 * MS);
    lease.observe(&row(5, "y", Some("a")), now + 4_000 * MS);
    let at = now + 3_000 * MS + wait;
    assert_eq!(lease.request_at(0), Some(at));
    assert_eq!(lease.request_at(2), Some(at + 2 * Terms::default().stagger));
    let lease = lease.request(0, "t".into(), at - MS).unwrap_err();
    assert_eq!(lease.request(0, "t".into(), at).unwrap().1.expected, 5);
}

/// Guards against a wait for a released lease, and against a holder that acts on a lease after
/// releasing it.
#[test]
fn released_lease_is_free_at_once() {
    let now = Instant::now();
    let (expired, permit) = held(now).release("bye".into(), now);
    assert_eq!(permit.unwrap().expected, 1);
    assert!(expired.restart().request_at(0).is_none());
    let mut other = vacant("b");
    other.observe(&row(2, "bye", None), now);
    assert!(other.request(0, "t".into(), now).is_ok());
}

/// Guards against a late answer to a completed write that renews the lease for a pending one which
/// may never take effect.
#[test]
fn a_late_answer_to_another_write_is_ignored() {
    let now = Instant::now();
    let mut lease = held(now);
    lease.write("w1".into(), now).unwrap();
    let Outcome::Held(mut lease) = lease.read_back(&row(2, "w1", Some("a")), now) else {
        panic!("lost the lease");
    };
    lease.write("w2".into(), now + 1_000 * MS).unwrap();
    let Outcome::Held(lease) = lease.answered("w1", Answer::Written(2), now + 1_100 * MS) else {
        panic!("lost the lease");
    };
    assert_eq!(lease.deadline(), now + Terms::default().term);
    assert_eq!(lease.pending().map(|permit| &*permit.operation), Some("w2"));
}
