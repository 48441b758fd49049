//! At-most-once claims on request ids, at a VM and in the table.
#![allow(
    clippy::unwrap_used,
    reason = "helpers of tests unwrap as the tests do"
)]

use proptest::prelude::*;
use std::time::Duration;
use steering::attempt::{Attempt, Outcome, Refusal, Uncertainty};
use steering::claims::table::{Answer, Batch, Row, Verdict};
use steering::claims::{Claim, Id, Register, Settings, prefix};

const NOW: u64 = 1_000;

fn register(per_shard: usize) -> Register {
    let settings = Settings {
        shards: 1,
        per_shard,
        retention: Duration::from_secs(100),
    };
    Register::new("vm-a".into(), 7, settings)
}

fn id(random: &str, expires: u64) -> Box<str> {
    format!("{}{random}", prefix("vm-a", 7, expires)).into()
}

fn claim(register: &Register, workspace: &str, id: &str, now: u64) -> Claim {
    let live = |vm: &str| (vm == "vm.b").then_some(9);
    register.claim(workspace, id, live, now)
}

fn known(claim: Claim) -> Outcome {
    match claim {
        Claim::Known(outcome) => outcome,
        other => panic!("{other:?}"),
    }
}

/// Guards against running an id twice, and against one workspace's id blocking another's.
#[test]
fn id_runs_once_per_workspace() {
    let register = register(10);
    let id = id("x", NOW + 10);
    assert_eq!(claim(&register, "a", &id, NOW), Claim::Run);
    let in_flight = Outcome::Unknown(Uncertainty::InFlight);
    assert_eq!(known(claim(&register, "a", &id, NOW)), in_flight);
    register.finish("a", &id, &Outcome::Served);
    assert_eq!(
        known(claim(&register, "a", &id, NOW)),
        Outcome::ServedBefore
    );
    assert_eq!(claim(&register, "b", &id, NOW), Claim::Run);
}

/// Guards against running an id again after its record was removed, also if the clock is set back.
#[test]
fn expired_id_never_runs() {
    let register = register(1);
    let old = id("old", NOW + 10);
    assert_eq!(claim(&register, "a", &old, NOW), Claim::Run);
    register.finish("a", &old, &Outcome::Served);
    let new = id("new", NOW + 50);
    assert_eq!(claim(&register, "a", &new, NOW + 20), Claim::Run);
    let lost = Outcome::Unknown(Uncertainty::OutcomeLost);
    assert_eq!(known(claim(&register, "a", &old, NOW)), lost);
}

/// Guards against removing a valid claim from a full shard, and against ids that are stored without
/// bound.
#[test]
fn full_shard_and_far_expiry_are_refused() {
    let register = register(1);
    assert_eq!(claim(&register, "a", &id("x", NOW + 10), NOW), Claim::Run);
    let full = Attempt::new(false).refuse(Refusal::ClaimsFull);
    assert_eq!(known(claim(&register, "a", &id("y", NOW + 10), NOW)), full);
    let far = Attempt::new(false).refuse(Refusal::Invalid);
    assert_eq!(known(claim(&register, "a", &id("z", NOW + 500), NOW)), far);
}

/// Guards against running an id that names another VM or incarnation.
#[test]
fn other_vms_are_queried_and_dead_incarnations_unknown() {
    let register = register(10);
    let ask = format!("{}x", prefix("vm.b", 9, NOW + 10));
    assert_eq!(
        claim(&register, "a", &ask, NOW),
        Claim::Query("vm.b".into())
    );
    let dead = Outcome::Unknown(Uncertainty::IncarnationDead);
    for (vm, incarnation) in [("vm.b", 8), ("vm-a", 6)] {
        let id = format!("{}x", prefix(vm, incarnation, NOW + 10));
        assert_eq!(known(claim(&register, "a", &id, NOW)), dead);
    }
    assert_eq!(claim(&register, "a", "plain", NOW), Claim::Table);
}

/// Guards against running a first send that arrives after another VM got the answer "not run".
#[test]
fn settled_id_never_runs() {
    let register = register(10);
    let id = id("x", NOW + 10);
    let outcome = register.settle("a", &id, NOW);
    assert!(matches!(outcome, Outcome::NotRun(_)));
    assert_eq!(known(claim(&register, "a", &id, NOW)), outcome);
}

/// Guards against running a request twice when the answer to a write is lost, in each order of
/// events.
#[test]
fn lost_answer_is_settled_by_operation() {
    let mut batch = Batch::default();
    assert_eq!(batch.add("d".into(), NOW + 10, false), None);
    let (write, _) = batch.start(Row::default(), 0, "op-1".into(), NOW);
    let write = write.unwrap();
    let (again, verdicts) = batch.settle(&Row::default(), 0);
    assert_eq!((again, verdicts.len()), (Some(write.clone()), 0));
    let (again, verdicts) = batch.settle(&write.row, 1);
    assert_eq!((again, verdicts), (None, vec![("d".into(), Verdict::Run)]));
    assert!(
        batch.answered("op-1", &Answer::Written).is_empty(),
        "a late answer runs nothing"
    );

    let mut other = Batch::default();
    other.add("d".into(), NOW + 10, true);
    let (second, verdicts) = other.start(write.row, 1, "op-2".into(), NOW);
    let lost = Verdict::Known(Outcome::Unknown(Uncertainty::OutcomeLost));
    assert_eq!((second, verdicts), (None, vec![("d".into(), lost)]));
}

/// Guards against answering "not run" to a resend whose first send may have run at another VM, and
/// against running a late copy after a refusal.
#[test]
fn unwritten_claims_are_refused_or_unknown() {
    let mut batch = Batch::default();
    batch.add("first".into(), NOW + 10, false);
    batch.add("resend".into(), NOW + 10, true);
    batch.start(Row::default(), 0, "op-1".into(), NOW);
    batch.add("later".into(), NOW + 10, false);
    let verdicts = batch.answered("op-1", &Answer::Unavailable);
    let refused = Attempt::new(false).refuse(Refusal::ClaimsUnavailable);
    let unknown = Outcome::Unknown(Uncertainty::ClaimsUnavailable);
    let expected = vec![
        ("first".into(), Verdict::Known(refused)),
        ("resend".into(), Verdict::Known(unknown)),
    ];
    assert_eq!(verdicts, expected);
    let copy = batch.add("first".into(), NOW + 10, false);
    assert!(matches!(copy, Some(Outcome::NotRun(_))));
}

/// Guards against confirming the claims of a write by a late answer to the one before, and against
/// "unknown" after a conflict with an earlier copy of the same write.
#[test]
fn answers_count_for_their_own_write() {
    let mut batch = Batch::default();
    batch.add("d".into(), NOW + 10, false);
    batch.start(Row::default(), 0, "op-1".into(), NOW);
    assert_eq!(batch.settle(&Row::default(), 1), (None, Vec::new()));
    let (write, _) = batch.start(Row::default(), 1, "op-2".into(), NOW);
    assert!(batch.answered("op-1", &Answer::Written).is_empty());
    assert!(batch.answered("op-2", &Answer::Conflict).is_empty());
    let (_, verdicts) = batch.settle(&write.unwrap().row, 2);
    assert_eq!(verdicts, vec![("d".into(), Verdict::Run)]);
}

proptest! {
    /// Guards against a prefix whose ids name another VM, incarnation or expiry.
    #[test]
    fn id_under_a_prefix_names_it(
        vm in "[a-z0-9.-]{1,20}",
        incarnation: u64,
        expires: u64,
        random in "[A-Za-z0-9_-]{1,40}",
    ) {
        let id = format!("{}{random}", prefix(&vm, incarnation, expires));
        let parsed = Id::parse(&id).unwrap();
        prop_assert_eq!((&*parsed.vm, parsed.incarnation, parsed.expires), (&*vm, incarnation, expires));
    }

    /// Guards against a panic, or a run without a claim, for any id at any time: an id is run at
    /// most once, also when another VM queries it before or after.
    #[test]
    fn any_id_runs_at_most_once(
        id in "vm-a\\.0000000000000007\\.[0-9a-f]{1,4}\\.r|\\PC{0,30}",
        steps in prop::collection::vec((any::<bool>(), 0_u64..4_000), 1..20),
    ) {
        let register = register(8);
        let mut runs = 0;
        for (is_query, now) in steps {
            if is_query {
                let outcome = register.settle("atlas", &id, now);
                if runs > 0 {
                    prop_assert!(!matches!(outcome, Outcome::NotRun(_)), "{outcome:?}");
                }
            } else {
                runs += u32::from(claim(&register, "atlas", &id, now) == Claim::Run);
            }
        }
        prop_assert!(runs <= 1);
    }
}
