//! Quarantine of requests that crash backend servers.

use std::time::{Duration, Instant};
use steering::attempt::Refusal;
use steering::quarantine::{
    Decision, Digest, MAX_DIGESTS, QuarantineRegister, Served, Settings, digest,
};

const A: [u8; 16] = [1; 16];
const B: [u8; 16] = [2; 16];

fn register(data_centre: &str) -> QuarantineRegister {
    QuarantineRegister::new(data_centre.into(), Settings::default())
}

/// Guards against equal digests for different workspaces or differently divided requests.
#[test]
fn digest_separates_its_parts() {
    let one = digest("a", "POST", "/x", b"y");
    assert_ne!(one, digest("b", "POST", "/x", b"y"));
    assert_ne!(one, digest("a", "POST", "/xy", b""));
}

/// Guards against a suspect that runs with other requests on a server, and against an innocent
/// request that is refused permanently.
#[test]
fn trial_separates_the_cause_from_other_requests() {
    let start = Instant::now();
    let mut coordinator = register("dc-1");
    coordinator.record_crash(&[A, B], start);
    assert!(coordinator.needs_trial_server());
    let suspected = Decision::Refuse(Refusal::Suspected);
    assert_eq!(coordinator.admit(&A, true, start), suspected);
    let settled = start + Settings::default().settle;
    assert_eq!(coordinator.admit(&B, true, settled), Decision::Trial);
    assert_eq!(
        coordinator.admit(&A, true, settled),
        suspected,
        "one trial at a time"
    );
    coordinator.record_answer(&B);
    assert_eq!(coordinator.admit(&B, true, settled), Decision::Run);
    assert_eq!(coordinator.admit(&A, true, settled), Decision::Trial);
    coordinator.record_crash(&[A], settled);
    assert_eq!(
        coordinator.admit(&A, true, settled),
        Decision::Refuse(Refusal::Quarantined)
    );
}

/// Guards against a trial that never ends and blocks the others, and against another trial on the
/// server that the overdue request may still crash.
#[test]
fn overdue_trial_is_replaced_after_another_settle_time() {
    let start = Instant::now();
    let mut coordinator = register("dc-1");
    coordinator.record_crash(&[A, B], start);
    let settled = start + Settings::default().settle;
    assert_eq!(coordinator.admit(&A, true, settled), Decision::Trial);
    let overdue = settled + Settings::default().trial;
    let suspected = Decision::Refuse(Refusal::Suspected);
    let before = overdue - Duration::from_millis(1);
    assert_eq!(coordinator.admit(&B, true, before), suspected);
    assert_eq!(coordinator.admit(&B, true, overdue), suspected);
    let settled = overdue + Settings::default().settle;
    assert_eq!(coordinator.admit(&B, true, settled), Decision::Trial);
}

/// Guards against quarantine by a trial during which another request was in flight.
#[test]
fn crash_with_two_requests_in_flight_quarantines_neither() {
    let start = Instant::now();
    let mut coordinator = register("dc-1");
    coordinator.record_crash(&[A], start);
    let settled = start + Settings::default().settle;
    assert_eq!(coordinator.admit(&A, true, settled), Decision::Trial);
    coordinator.record_crash(&[A, B], settled);
    assert!(!coordinator.quarantined(&A) && !coordinator.quarantined(&B));
}

/// Guards against VMs that differ after gossip in another order, and against a quarantine that is
/// undone by a merge.
#[test]
fn merge_is_commutative() {
    let now = Instant::now();
    let (mut one, mut two) = (register("dc-1"), register("dc-2"));
    one.record_crash(&[A, B], now);
    two.record_crash(&[A], now);
    one.record_answer(&B);
    let settled = now + Settings::default().settle;
    let mut quarantining = register("dc-1");
    quarantining.merge(one.delta(), now);
    assert_eq!(quarantining.admit(&A, true, settled), Decision::Trial);
    quarantining.record_crash(&[A], settled);
    let deltas = [
        one.delta().clone(),
        two.delta().clone(),
        quarantining.delta().clone(),
    ];
    for order in [[0, 1, 2], [2, 1, 0], [1, 2, 0]] {
        let mut merged = register("dc-3");
        order
            .iter()
            .for_each(|&i: &usize| merged.merge(&deltas[i], now));
        merged.merge(&deltas[order[0]], now);
        assert!(merged.quarantined(&A));
        assert_eq!(merged.admit(&B, false, now), Decision::Run);
        assert_eq!(&*merged.delta().suspects[&A].origin, "dc-1");
    }
}

/// Guards against unbounded memory; cleared suspicions are evicted first.
#[test]
fn known_digests_are_bounded() {
    let now = Instant::now();
    let mut register = QuarantineRegister::new("north-1".into(), Settings::default());
    let numbered = |n: usize| digest("atlas", "GET", &n.to_string(), b"");
    register.record_crash(&[numbered(0), numbered(1)], now);
    register.record_answer(&numbered(1));
    let more: Vec<_> = (2..=MAX_DIGESTS).map(numbered).collect();
    register.record_crash(&more, now);
    let suspects = &register.delta().suspects;
    assert_eq!(suspects.len(), MAX_DIGESTS);
    assert!(suspects.contains_key(&numbered(0)) && !suspects.contains_key(&numbered(1)));
}

/// Guards against suspicion, at the crash of one server, of requests that many callers send in the
/// same form, and against served requests that are never suspected again.
#[test]
fn served_requests_are_not_suspected_for_a_while() {
    let (start, mut served) = (Instant::now(), Served::default());
    let digests = (0..10_000).map(|n: u32| digest("w", "GET", &n.to_string(), b""));
    let digests: Vec<Digest> = digests.collect();
    for digest in &digests {
        served.record(*digest, start);
    }
    let last = digests.last().expect("a digest");
    assert!(served.contains(last, start + Duration::from_secs(59)));
    assert!(!served.contains(last, start + Duration::from_secs(60)));
    let kept = digests
        .iter()
        .filter(|digest| served.contains(digest, start));
    assert_eq!(kept.count(), 4096, "the record is bounded");
}
