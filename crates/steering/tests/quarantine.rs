//! Requests that crash backend servers.

use std::time::{Duration, Instant};
use steering::attempt::Refusal;
use steering::quarantine::{Decision, Digest, KNOWN, QuarantineRegister, Served, Settings, digest};

const A: [u8; 16] = [1; 16];
const B: [u8; 16] = [2; 16];

fn register(data_centre: &str) -> QuarantineRegister {
    QuarantineRegister::new(data_centre.into(), Settings::default())
}

/// Guards against digests that mix up workspaces or the parts of a request.
#[test]
fn digest_tells_parts_apart() {
    let one = digest("a", "POST", "/x", b"y");
    assert_ne!(one, digest("b", "POST", "/x", b"y"));
    assert_ne!(one, digest("a", "POST", "/xy", b""));
}

/// Guards against a suspect that runs beside others, and against an innocent refused for good.
#[test]
fn trials_tell_cause_from_bystander() {
    let start = Instant::now();
    let mut keeper = register("dc-1");
    keeper.record_crash(&[A, B], start);
    assert!(keeper.needs_trial_server());
    let suspected = Decision::Refuse(Refusal::Suspected);
    assert_eq!(keeper.admit(&A, true, start), suspected);
    let settled = start + Settings::default().settle;
    assert_eq!(keeper.admit(&B, true, settled), Decision::Trial);
    assert_eq!(
        keeper.admit(&A, true, settled),
        suspected,
        "one trial at a time"
    );
    keeper.record_answer(&B);
    assert_eq!(keeper.admit(&B, true, settled), Decision::Run);
    assert_eq!(keeper.admit(&A, true, settled), Decision::Trial);
    keeper.record_crash(&[A], settled);
    assert_eq!(
        keeper.admit(&A, true, settled),
        Decision::Refuse(Refusal::Quarantined)
    );
}

/// Guards against a trial that never ends and blocks the others, and against a next trial on the
/// server that the overdue request may still crash.
#[test]
fn overdue_trial_makes_room_after_another_settle_time() {
    let start = Instant::now();
    let mut keeper = register("dc-1");
    keeper.record_crash(&[A, B], start);
    let settled = start + Settings::default().settle;
    assert_eq!(keeper.admit(&A, true, settled), Decision::Trial);
    let overdue = settled + Settings::default().trial;
    let suspected = Decision::Refuse(Refusal::Suspected);
    let before = overdue - Duration::from_millis(1);
    assert_eq!(keeper.admit(&B, true, before), suspected);
    assert_eq!(keeper.admit(&B, true, overdue), suspected);
    let settled = overdue + Settings::default().settle;
    assert_eq!(keeper.admit(&B, true, settled), Decision::Trial);
}

/// Guards against conviction of a trial that was not alone.
#[test]
fn crash_with_company_convicts_nobody() {
    let start = Instant::now();
    let mut keeper = register("dc-1");
    keeper.record_crash(&[A], start);
    let settled = start + Settings::default().settle;
    assert_eq!(keeper.admit(&A, true, settled), Decision::Trial);
    keeper.record_crash(&[A, B], settled);
    assert!(!keeper.quarantined(&A) && !keeper.quarantined(&B));
}

/// Guards against VMs that disagree after gossip in another order, and quarantine undone by it.
#[test]
fn merges_agree_in_any_order() {
    let now = Instant::now();
    let (mut one, mut two) = (register("dc-1"), register("dc-2"));
    one.record_crash(&[A, B], now);
    two.record_crash(&[A], now);
    one.record_answer(&B);
    let settled = now + Settings::default().settle;
    let mut convicting = register("dc-1");
    convicting.merge(one.delta(), now);
    assert_eq!(convicting.admit(&A, true, settled), Decision::Trial);
    convicting.record_crash(&[A], settled);
    let deltas = [
        one.delta().clone(),
        two.delta().clone(),
        convicting.delta().clone(),
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

/// Guards against memory that grows with each crash; cleared suspicions go first.
#[test]
fn known_digests_are_bounded() {
    let now = Instant::now();
    let mut register = QuarantineRegister::new("north-1".into(), Settings::default());
    let numbered = |n: usize| digest("atlas", "GET", &n.to_string(), b"");
    register.record_crash(&[numbered(0), numbered(1)], now);
    register.record_answer(&numbered(1));
    let more: Vec<_> = (2..=KNOWN).map(numbered).collect();
    register.record_crash(&more, now);
    let suspects = &register.delta().suspects;
    assert_eq!(suspects.len(), KNOWN);
    assert!(suspects.contains_key(&numbered(0)) && !suspects.contains_key(&numbered(1)));
}

/// Guards against the suspicion of requests that many callers send alike, at the death of one
/// server, and against trust that outlives the proof.
#[test]
fn served_requests_are_trusted_for_a_while() {
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
