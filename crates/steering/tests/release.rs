//! Release in steps: quota, evidence, sequential test, halt set and owner.

use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use std::time::{Duration, Instant};
use steering::release::{
    Cap, Confirmations, Decision, DecisionInput, Evidence, HaltSet, Heartbeat, Load, Monitor,
    OwnedRelease, Put, Quota, Reason, Record, Refusal, RowReply, SOAK_MILLIS, SequentialTest,
    Settings, Side, State, Verdict, WriteOutcome,
};

const FAST: Duration = Duration::from_millis(20);

fn record(time: u64) -> Record {
    Record {
        id: "r1".into(),
        service: "booking".into(),
        old: "v1".into(),
        new: "v2".into(),
        start: 0,
        finish_by: time,
        soak: SOAK_MILLIS,
        steps: [1, 5, 25, 50, 100].map(Cap::from_percent).into(),
        owner: 0,
        leased_until: 0,
        state: State::Planned,
    }
}

proptest! {
    /// The starts on the new version must never exceed the cap, on each VM and summed over VMs,
    /// also while VMs are on different steps or restarted with empty counters and caps rise and
    /// fall.
    #[test]
    fn quota_never_exceeds_cap(events in prop::collection::vec((0usize..5, 0u32..40, 0usize..6), 1..3000)) {
        let caps = [0, 1, 5, 25, 50, 100].map(Cap::from_percent);
        let mut quotas: [Quota; 5] = Default::default();
        let (mut all, mut new, mut highest) = (0, 0, Cap::NONE);
        let mut counts = [(0, 0, Cap::NONE, 0, 0); 5];
        for (vm, action, cap) in events {
            match action {
                0 => {
                    quotas[vm] = Quota::default();
                    counts[vm] = (0, 0, Cap::NONE, 0, 0);
                }
                1..4 => {
                    quotas[vm].set_cap(caps[cap]);
                    highest = highest.max(caps[cap]);
                    if counts[vm].2 != caps[cap] {
                        counts[vm].2 = caps[cap];
                        (counts[vm].3, counts[vm].4) = (0, 0);
                    }
                }
                _ => {
                    let side = quotas[vm].start();
                    let started = u64::from(side == Side::New);
                    let (all_here, new_here, cap, all_since, new_since) = &mut counts[vm];
                    (*all_here, *all_since, all) = (*all_here + 1, *all_since + 1, all + 1);
                    (*new_here, *new_since, new) = (*new_here + started, *new_since + started, new + started);
                    prop_assert!(side == Side::Old || *new_here <= cap.max_starts(*all_here));
                    prop_assert!(*new_since <= cap.max_starts(*all_since));
                    prop_assert!(new <= highest.max_starts(all));
                }
            }
        }
    }

    /// Merged evidence must not depend on the order or number of messages.
    #[test]
    fn evidence_merge_is_order_free(
        requests in prop::collection::vec((0u64..3, 0usize..3, any::<bool>(), any::<bool>(), 0u64..9000), 1..200),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..400),
    ) {
        let mut own = vec![Evidence::default(); 3];
        let mut sent = Vec::new();
        for (vm, step, new, failed, millis) in requests {
            let side = if new { Side::New } else { Side::Old };
            own[vm as usize].record((vm, step), "read", side, failed, Duration::from_millis(millis));
            sent.push(own[vm as usize].clone());
        }
        let mut merged = Evidence::default();
        order.iter().for_each(|index| merged.merge(index.get(&sent)));
        own.iter().for_each(|last| merged.merge(last));
        let mut again = merged.clone();
        sent.iter().rev().for_each(|old| again.merge(old));
        prop_assert_eq!(&again, &merged);
        let mut peer = Evidence::default();
        sent.iter().step_by(3).for_each(|old| peer.merge(old));
        let missing = merged.delta_for(&peer);
        peer.merge(&missing);
        prop_assert_eq!(merged.delta_for(&peer), Evidence::default());
        prop_assert_eq!(peer.delta_for(&merged), Evidence::default());
        for step in 0..3 {
            let sum: u64 = own.iter().map(|one| one.total("read", step).new.requests).sum();
            prop_assert_eq!(merged.total("read", step).new.requests, sum);
        }
        let text = serde_json::to_string(&merged).unwrap();
        prop_assert_eq!(serde_json::from_str::<Evidence>(&text).unwrap(), merged);
    }

    /// No halt may get lost, and its reason must not depend on the order of messages.
    #[test]
    fn halt_merge_is_order_free(halts in prop::collection::vec((0u8..4, 0u8..4), 0..20)) {
        let sets: Vec<HaltSet> = halts.iter().map(|(id, why)| {
            let mut halt = HaltSet::default();
            halt.add(&format!("r{id}").into(), &Reason::Operator(format!("{why}").into()));
            halt
        }).collect();
        let (mut forward, mut backward) = (HaltSet::default(), HaltSet::default());
        for set in sets.iter().chain(&sets) { forward.merge(set); }
        for set in sets.iter().rev() { backward.merge(set); }
        for (id, _) in &halts {
            let id = format!("r{id}");
            prop_assert!(forward.reason(&id).is_some());
            prop_assert_eq!(forward.reason(&id), backward.reason(&id));
        }
    }
}

/// Raising the cap must not cause a burst on the new version, as it would with a bound on all
/// starts alone.
#[test]
fn raise_brings_no_burst() {
    let mut quota = Quota::default();
    quota.set_cap(Cap::from_percent(1));
    (0..10_000).for_each(|_| {
        quota.start();
    });
    quota.set_cap(Cap::from_percent(50));
    let new = (0..100).filter(|_| quota.start() == Side::New).count();
    assert_eq!(new, 50);
    assert!(
        Cap::from_percent(50).max_starts(10_100) - 100 > 4000,
        "cumulative counting allows a burst"
    );
}

/// Returns how many of 400 pairs of equal versions are ever rejected by the sequential test, and by
/// a 1% comparison of proportions that is repeated at each evaluation.
fn false_rejections(failures: f64) -> (usize, usize) {
    let mut rng = StdRng::seed_from_u64(1);
    let settings = Settings {
        observers: 1,
        false_rejection_rate: 0.01,
        ..Settings::default()
    };
    let origin = Instant::now();
    let (mut sequential, mut naive) = (0, 0);
    for _ in 0..400 {
        let mut test = SequentialTest::new(settings, 1, ["read".into()]);
        let (mut evidence, mut rejected) = (Evidence::default(), (false, false));
        for evaluation in 0..200 {
            for request in 0..50 {
                let side = if request % 10 == 9 {
                    Side::New
                } else {
                    Side::Old
                };
                evidence.record((1, 0), "read", side, rng.random::<f64>() < failures, FAST);
            }
            let now = origin + Duration::from_secs(evaluation);
            let verdict = test.evaluate(now, (0, Cap::ALL), &evidence);
            rejected.0 |= matches!(verdict, Verdict::Bad(_));
            let pair = evidence.total("read", 0);
            let (new, old) = (pair.new.requests as f64, pair.old.requests as f64);
            let (fails, others) = (pair.new.failures as f64, pair.old.failures as f64);
            let all = (fails + others) / (new + old);
            let error = (all * (1.0 - all) * (1.0 / new + 1.0 / old)).sqrt();
            rejected.1 |= fails / new - others / old > 2.33 * error.max(1e-9);
        }
        sequential += usize::from(rejected.0);
        naive += usize::from(rejected.1);
    }
    (sequential, naive)
}

/// Repeated evaluation must not raise the rate of false rejections, as it does with a comparison of
/// proportions.
#[rstest]
#[case(0.002)]
#[case(0.02)]
#[case(0.3)]
fn repeated_evaluation_keeps_false_rejection_rate(#[case] failures: f64) {
    let (sequential, naive) = false_rejections(failures);
    assert!(
        sequential <= 4,
        "{sequential} of 400 rejected at a rate of 1%"
    );
    assert!(naive > 4, "{naive} of 400 rejected by repeated comparison");
}

/// Returns the seconds until the test finds a fault that begins at 300 s: 3% failures instead of
/// 1%, at 20 requests per second on the new version.
fn late_fault_found(restart_every: Duration) -> u64 {
    let mut rng = StdRng::seed_from_u64(2);
    let settings = Settings {
        restart_every,
        ..Settings::default()
    };
    let mut test = SequentialTest::new(settings, 4, ["read".into()]);
    let (mut evidence, origin) = (Evidence::default(), Instant::now());
    for second in 0..3000 {
        for request in 0..100 {
            let (side, bad) = match request % 5 {
                4 => (Side::New, second >= 300),
                _ => (Side::Old, false),
            };
            let failures = if bad { 0.03 } else { 0.01 };
            evidence.record((1, 0), "read", side, rng.random::<f64>() < failures, FAST);
        }
        let now = origin + Duration::from_secs(second);
        if matches!(
            test.evaluate(now, (0, Cap::ALL), &evidence),
            Verdict::Bad(_)
        ) {
            return second.checked_sub(300).expect("no false rejection");
        }
    }
    panic!("never found")
}

/// Good early evidence must not hide a late fault: with restarts the test finds it sooner.
#[test]
fn restarts_find_late_fault() {
    let with = late_fault_found(Duration::from_secs(10));
    let without = late_fault_found(Duration::from_secs(1_000_000));
    println!("late fault found after {with} s, without restarts after {without} s");
    assert!(with < without, "{with} s, without restarts {without} s");
}

/// A release must not begin before its start time, nor too late to finish.
#[test]
fn release_starts_in_time_only() {
    let mut planned = record(300_000);
    planned.start = 1000;
    let (halt, answer) = (HaltSet::default(), RowReply::Row(2, "a".into()));
    let pending = planned.plan(12).unwrap().acquire(1, 1, 0, "a".into());
    let WriteOutcome::Applied(OwnedRelease::Planned(plan)) = pending.resolve(&answer) else {
        panic!("taken")
    };
    let Decision::Wait(plan, _) = plan.start(999, &halt, "b".into()) else {
        panic!("early")
    };
    let Decision::Write(late) = plan.clone().start(290_000, &halt, "b".into()) else {
        panic!("late")
    };
    assert!(matches!(
        late.put().record.state,
        State::RolledBack(Reason::CannotFinish(_))
    ));
    let Decision::Write(due) = plan.start(1000, &halt, "b".into()) else {
        panic!("due")
    };
    assert_eq!(due.put().record.step(), Some((0, Cap::from_percent(5))));
}

/// A release is complete only after each VM's current incarnation has confirmed it.
#[test]
fn each_incarnation_confirms() {
    let (mut here, mut there) = (Confirmations::default(), Confirmations::default());
    assert!(here.add(&"r1".into(), 1) && there.add(&"r1".into(), 2));
    assert!(here.merge(&there) && !here.merge(&there));
    assert!(here.includes_all("r1", [1, 2].into_iter()));
    assert!(
        !here.includes_all("r1", [1, 2, 3].into_iter()),
        "a restarted VM confirms again"
    );
    assert!(!here.includes_all("r2", [1].into_iter()));
}

/// Without heartbeats a VM must stop using the new version, because it may have missed a halt. A VM
/// that confirmed the last step must keep using it, because the old version may be gone.
#[rstest]
#[case(3, false, Cap::from_percent(50))]
#[case(6, false, Cap::NONE)]
#[case(60, true, Cap::ALL)]
fn cap_needs_contact(#[case] seconds: u64, #[case] confirmed: bool, #[case] cap: Cap) {
    let (start, halt) = (Instant::now(), HaltSet::default());
    let mut plan = record(300_000).plan(12).unwrap();
    plan.state = State::Stepping {
        step: if confirmed { 4 } else { 3 },
        since: 0,
    };
    let mut monitor = Monitor::new(Settings::default(), &plan, ["read".into()]);
    assert_eq!(
        monitor.cap(start, &plan, &halt),
        Cap::NONE,
        "no heartbeat yet"
    );
    monitor.record_heartbeat(
        start,
        Heartbeat {
            version: 4,
            count: 9,
        },
    );
    assert_eq!(monitor.confirm(&plan, &halt), confirmed);
    let later = start + Duration::from_secs(seconds);
    monitor.record_heartbeat(
        later,
        Heartbeat {
            version: 4,
            count: 8,
        },
    );
    assert_eq!(
        monitor.cap(later, &plan, &halt),
        cap,
        "an old heartbeat has no effect"
    );
}

/// Failures of a dependency that both versions use must not hide a fault of the new one. Without
/// the bound on the excess of the failure rate the verdict would be good.
#[rstest]
#[case(0.02, Verdict::Undecided("read".into()))]
#[case(1.0, Verdict::Good)]
fn shared_failures_hide_no_fault(#[case] max_excess: f64, #[case] expected: Verdict) {
    let settings = Settings {
        max_excess,
        ..Settings::default()
    };
    let mut test = SequentialTest::new(settings, 4, ["read".into()]);
    let mut evidence = Evidence::default();
    for request in 0..1000 {
        evidence.record((1, 3), "read", Side::Old, request % 100 < 35, FAST);
        evidence.record((1, 3), "read", Side::New, request % 100 < 37, FAST);
    }
    assert_eq!(
        test.evaluate(Instant::now(), (3, Cap::ALL), &evidence),
        expected
    );
}

/// The verdict must name the kind of fault, and must be undecided while a route lacks requests.
#[rstest]
#[case(true, 20, 20, Some(Reason::Failures("read".into())))]
#[case(false, 20, 60, Some(Reason::Latency("read".into(), 32)))]
#[case(false, 20, 21, None)]
fn verdict_names_fault(
    #[case] failing: bool,
    #[case] old: u64,
    #[case] new: u64,
    #[case] reason: Option<Reason>,
) {
    let mut evidence = Evidence::default();
    let mut test = SequentialTest::new(Settings::default(), 4, ["read".into(), "write".into()]);
    for index in 0..2000 {
        evidence.record((1, 3), "read", Side::Old, false, Duration::from_millis(old));
        let failed = failing && index % 10 == 0;
        evidence.record(
            (2, 3),
            "read",
            Side::New,
            failed,
            Duration::from_millis(new),
        );
    }
    let verdict = test.evaluate(Instant::now(), (3, Cap::ALL), &evidence);
    let expected = reason.map_or(Verdict::Undecided("write".into()), Verdict::Bad);
    assert_eq!(verdict, expected);
}

/// Each step must allow the load per server of the next step; steps are inserted where it would
/// not.
#[rstest]
#[case(12, Ok(vec![10_000, 50_000, 250_000, 500_000, 1_000_000]))]
#[case(3, Ok(vec![10_000, 30_000, 50_000, 150_000, 250_000, 500_000, 1_000_000]))]
#[case(1, Err(Refusal::TooFewServers))]
fn plan_reaches_next_load(#[case] servers: u32, #[case] expected: Result<Vec<u32>, Refusal>) {
    let plan = record(600_000).plan(servers);
    let parts = plan
        .clone()
        .map(|plan| plan.steps.iter().map(|cap| cap.ppm()).collect());
    assert_eq!(parts, expected);
    for step in 0..plan.as_ref().map_or(0, |plan| plan.steps.len() - 1) {
        let mut plan = plan.clone().unwrap();
        plan.state = State::Stepping { step, since: 0 };
        let (now, next) = (plan.steps[step], plan.steps[step + 1]);
        let measured = now.fraction() / f64::from(plan.active_servers(servers));
        assert!(measured + 1e-9 >= next.fraction() / f64::from(servers));
    }
    assert_eq!(record(20_000).plan(12), Err(Refusal::TooLittleTime));
}

/// Table row with compare-and-set that records every state written to it.
struct Table {
    row: (u64, Box<str>, Record),
    history: Vec<State>,
}

impl Table {
    fn write(&mut self, put: &Put) -> RowReply {
        if put.expected == self.row.0 {
            self.row = (put.expected + 1, put.operation.clone(), put.record.clone());
            if self.history.last() != Some(&put.record.state) {
                self.history.push(put.record.state.clone());
            }
        }
        RowReply::Row(self.row.0, self.row.1.clone())
    }
}

/// When an owner dies or is paused at a write: before the write takes effect, after it but before
/// the answer, or not at all.
#[derive(Clone, Copy, PartialEq)]
enum Stop {
    Before,
    Unanswered,
    Never,
}

/// Runs a release with successive owners until it ends. The owner stops at write `at`; a paused
/// owner sends its write again after the next owner has taken over.
fn run_release(at: usize, stop: Stop, paused: bool, bad_from: usize) -> Vec<State> {
    let plan = record(300_000).plan(12).expect("valid");
    let mut table = Table {
        row: (1, "plan".into(), plan),
        history: vec![State::Planned],
    };
    let (mut now, mut writes, mut owner) = (0, 0, 0);
    let mut late = None;
    let mut operation = 0;
    'owners: loop {
        owner += 1;
        while !table.row.2.is_lease_expired(now) {
            now += 500;
        }
        operation += 1;
        let taken = format!("take{owner}").into();
        let mut pending = table.row.2.clone().acquire(table.row.0, owner, now, taken);
        loop {
            writes += 1;
            let stops = writes == at && stop != Stop::Never;
            if stops && stop == Stop::Before {
                late = paused.then_some(pending);
                continue 'owners;
            }
            let answer = table.write(pending.put());
            if stops {
                late = paused.then_some(pending);
                continue 'owners;
            }
            if let Some(old) = late.take() {
                let answer = table.write(old.put());
                assert!(
                    matches!(old.resolve(&answer), WriteOutcome::Superseded),
                    "the paused owner must stop"
                );
            }
            let WriteOutcome::Applied(mut owned) = pending.resolve(&answer) else {
                continue 'owners;
            };
            pending = loop {
                now += 500;
                operation += 1;
                let id = format!("op{operation}").into();
                let step = table.row.2.step().map_or(0, |(step, _)| step);
                let verdict = match step >= bad_from {
                    true => Verdict::Bad(Reason::Failures("read".into())),
                    false => Verdict::Good,
                };
                let load = Load {
                    measured: 1.0,
                    expected: 1.0,
                };
                let halt = HaltSet::default();
                let input = DecisionInput {
                    now,
                    verdict: &verdict,
                    halt: &halt,
                    load,
                    confirmed: true,
                };
                match owned {
                    OwnedRelease::Planned(plan) => match plan.start(now, &halt, id) {
                        Decision::Write(pending) => break pending,
                        Decision::Wait(plan, _) => owned = OwnedRelease::Planned(plan),
                    },
                    OwnedRelease::Stepping(plan) => match plan.decide(&input, id) {
                        Decision::Write(pending) => break pending,
                        Decision::Wait(plan, _) => owned = OwnedRelease::Stepping(plan),
                    },
                    OwnedRelease::Ended(_) => return table.history,
                }
            };
        }
    }
}

/// A release must not get stuck, skip a step or end twice when its owner dies or is paused at any
/// of its writes.
#[rstest]
fn owner_stops_at_each_step(
    #[values(1, 2, 3, 4, 5, 6, 7)] at: usize,
    #[values(Stop::Before, Stop::Unanswered)] stop: Stop,
    #[values(false, true)] paused: bool,
    #[values(2, 9)] bad_from: usize,
) {
    let history = run_release(at, stop, paused, bad_from);
    let steps: Vec<usize> = history
        .iter()
        .filter_map(|state| match state {
            State::Stepping { step, .. } => Some(*step),
            _ => None,
        })
        .collect();
    let ended = history
        .iter()
        .filter(|s| matches!(s, State::Complete | State::RolledBack(_)));
    assert_eq!(steps, (0..=bad_from.min(4)).collect::<Vec<_>>());
    assert_eq!(ended.count(), 1);
    assert_eq!(history.last() == Some(&State::Complete), bad_from == 9);
}

/// After a lost answer, the row decides whether the write took effect; it must not be applied
/// twice.
#[test]
fn lost_answer_is_settled_by_row() {
    let plan = record(300_000).plan(12).unwrap();
    let pending = plan.acquire(1, 7, 0, "a".into());
    let WriteOutcome::Retry(pending) = pending.resolve(&RowReply::Unknown) else {
        panic!("unknown")
    };
    let WriteOutcome::Retry(pending) = pending.resolve(&RowReply::Row(1, "plan".into())) else {
        panic!("not written")
    };
    assert!(matches!(
        pending.clone().resolve(&RowReply::Row(3, "b".into())),
        WriteOutcome::Superseded
    ));
    assert!(matches!(
        pending.resolve(&RowReply::Row(2, "a".into())),
        WriteOutcome::Applied(_)
    ));
}

/// A VM must not both halt a release and confirm its last step.
#[rstest]
#[case(true)]
#[case(false)]
fn halt_excludes_confirmation(#[case] halt_first: bool) {
    let mut plan = record(300_000).plan(12).unwrap();
    plan.state = State::Stepping { step: 4, since: 0 };
    let mut monitor = Monitor::new(Settings::default(), &plan, ["read".into()]);
    let (mut halt, reason) = (HaltSet::default(), Reason::Operator("stop".into()));
    if halt_first {
        assert!(monitor.halt(&plan, &reason, &mut halt));
        assert!(!monitor.confirm(&plan, &halt));
        assert_eq!(plan.cap(&halt), Cap::NONE);
    } else {
        assert!(monitor.confirm(&plan, &halt));
        assert!(!monitor.halt(&plan, &reason, &mut halt));
        assert_eq!(plan.cap(&halt), Cap::ALL);
    }
}

/// A roll-back must get its reason: an owner that knows only of the halt records none, and when
/// copies are merged, a known reason replaces an unknown one.
#[test]
fn known_reason_replaces_an_unknown_one() {
    let id = "r1".into();
    let (mut late, mut full) = (HaltSet::default(), HaltSet::default());
    late.add(&id, &Reason::Unknown);
    assert_eq!(
        late.rollback_reason("r1", &Reason::Unknown),
        &Reason::Unknown
    );
    let reason = Reason::Operator("stop".into());
    full.add(&id, &reason);
    assert!(late.merge(&full) && !full.merge(&late));
    assert_eq!(late.rollback_reason("r1", &Reason::Unknown), &reason);
    let recorded = Reason::NotConfirmed;
    assert_eq!(late.rollback_reason("r1", &recorded), &recorded);
}

/// A release must not stay in a step forever, nor end after its finish time.
#[rstest]
#[case(Verdict::Undecided("write".into()), 1.0, 0)]
#[case(Verdict::Good, 0.5, 0)]
#[case(Verdict::Good, 1.0, 4)]
fn release_that_cannot_finish_is_rolled_back(
    #[case] verdict: Verdict,
    #[case] measured: f64,
    #[case] last: usize,
) {
    let mut plan = record(300_000).plan(12).unwrap();
    plan.state = State::Stepping {
        step: last,
        since: 0,
    };
    let answer = RowReply::Row(2, "a".into());
    let WriteOutcome::Applied(OwnedRelease::Stepping(plan)) =
        plan.acquire(1, 1, 0, "a".into()).resolve(&answer)
    else {
        panic!("taken")
    };
    let (halt, load) = (
        HaltSet::default(),
        Load {
            measured,
            expected: 1.0,
        },
    );
    let mut input = DecisionInput {
        now: 200_000,
        verdict: &verdict,
        halt: &halt,
        load,
        confirmed: false,
    };
    let Decision::Wait(plan, _) = plan.decide(&input, "b".into()) else {
        panic!("too early")
    };
    input.now = 300_000;
    let Decision::Write(pending) = plan.decide(&input, "b".into()) else {
        panic!("must end")
    };
    assert!(matches!(pending.put().record.state, State::RolledBack(_)));
}
