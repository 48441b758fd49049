//! Conservation of limits under random schedules, and individual rules of holders and granters.

mod fleet;

use fleet::{Fleet, Step, step};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use rstest::rstest;
use std::time::{Duration, Instant};
use steering::limits::floors::Owners;
use steering::limits::{
    Allocation, Bucket, Floors, Grant, Granter, Holder, Identity, Invalid, Renew, Settings, TOKEN,
    allocation,
};

const SEED: u64 = 11;

fn config(cases: u32) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        max_shrink_iters: 200,
        ..Config::default()
    }
}

fn check_conservation(settings: Settings, steps: &[Step]) -> Result<(), TestCaseError> {
    let mut fleet = Fleet::new(settings);
    for step in steps {
        fleet.apply(step);
        fleet.check().map_err(TestCaseError::fail)?;
    }
    Ok(())
}

/// Guards against overspending a limit under any order of grants, transfers, reclaims, message
/// losses, duplicates and process kills.
#[test]
fn spendable_never_exceeds_limit() {
    let steps = prop::collection::vec(step(), 100..600);
    let result = TestRunner::new(config(400)).run(&steps, |steps| {
        check_conservation(fleet::settings(), &steps)
    });
    assert!(result.is_ok(), "{result:?}");
}

/// Guards against schedules that can't reveal a fault: without reserved headroom the bound must be
/// found broken.
#[test]
fn schedules_find_missing_reservation() {
    let settings = Settings {
        reserve_headroom: false,
        ..fleet::settings()
    };
    let steps = prop::collection::vec(step(), 100..600);
    let result =
        TestRunner::new(config(400)).run(&steps, |steps| check_conservation(settings, &steps));
    assert!(result.is_err());
}

/// Reference state, the number of messages in flight, from which the next steps are drawn.
#[derive(Debug, Clone, Default)]
struct Reference {
    messages: usize,
}

impl ReferenceStateMachine for Reference {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(state: &Self) -> BoxedStrategy<Step> {
        // With many messages in flight, most steps deliver one, so that their number stays bounded.
        let deliver = (0..8usize).prop_map(Step::Deliver);
        let weight = u32::try_from(state.messages).unwrap_or(u32::MAX).min(20);
        prop_oneof![10 => step(), weight + 1 => deliver].boxed()
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        match step {
            Step::Renew(_) | Step::Borrow(_) | Step::Duplicate(_) => state.messages += 1,
            Step::Deliver(_) | Step::Drop(_) => state.messages = state.messages.saturating_sub(1),
            _ => {}
        }
        state
    }
}

struct Conservation;

impl StateMachineTest for Conservation {
    type SystemUnderTest = Fleet;
    type Reference = Reference;

    fn init_test(_: &Reference) -> Fleet {
        Fleet::new(fleet::settings())
    }

    fn apply(mut fleet: Fleet, _: &Reference, step: Step) -> Fleet {
        fleet.apply(&step);
        fleet
    }

    fn check_invariants(fleet: &Fleet, _: &Reference) {
        let result = fleet.check();
        assert!(result.is_ok(), "{result:?}");
    }
}

prop_state_machine! {
    #![proptest_config(config(24))]

    /// Guards against faults that only long schedules on a small fleet reach.
    #[test]
    fn deep_schedules_conserve(sequential 1500..2500 => Conservation);
}

fn holder(incarnation: u64, now: Instant) -> Holder {
    let identity = Identity {
        workspace: "trail-office".into(),
        vm: format!("vm{incarnation}").into(),
        incarnation,
    };
    Holder::new(fleet::settings(), identity, now)
}

fn after(start: Instant, millis: u64) -> Instant {
    start + Duration::from_millis(millis)
}

/// Guards against a refill that exceeds the rate on a clock 200 ppm fast.
#[rstest]
#[case(1)]
#[case(3600)]
fn refill_stays_below_rate_on_fast_clock(#[case] seconds: u64) {
    let start = Instant::now();
    let mut bucket = Bucket::new(Allocation::tokens(100, 1_000_000), start);
    let fast = Duration::from_secs(seconds) + Duration::from_micros(200 * seconds);
    let level = bucket.level(start + fast);
    assert!(level <= 100 * TOKEN * seconds);
    assert!(level >= 100 * TOKEN * seconds / 1000 * 999);
}

/// Guards against a paused holder that spends its elastic part after the deadline.
#[test]
fn deadline_is_checked_when_spending() {
    let start = Instant::now();
    let settings = fleet::settings();
    let limit = Allocation::tokens(200, 40);
    let mut granter = Granter::new(settings, limit, 1, after(start, 60_000), start);
    let mut first = holder(1, start);
    let open = after(start, 3000);
    first.record_demand(100 * TOKEN, open);
    let grant = first
        .renew(open)
        .and_then(|renew| granter.renew(&renew, open));
    first.apply_grant(&grant.expect("the granter is open"), open);
    assert!(first.clone().spend(TOKEN, after(open, 1999)));
    assert!(!first.spend(TOKEN, after(open, 2000)));
}

/// Guards against a loan that is applied after the borrower's timeout, or twice.
#[rstest]
#[case(99, 1, true)]
#[case(99, 2, true)]
#[case(101, 1, false)]
fn late_and_doubled_answers_add_nothing(
    #[case] delay: u64,
    #[case] copies: u32,
    #[case] counts: bool,
) {
    let start = Instant::now();
    let settings = fleet::settings();
    let limit = Allocation::tokens(200, 40);
    let mut granter = Granter::new(settings, limit, 1, after(start, 60_000), start);
    let (mut lender, mut borrower) = (holder(1, start), holder(2, start));
    lender.set_floor(Allocation::tokens(100, 10), 1, start);
    borrower.set_floor(Allocation::tokens(0, 10), 1, start);
    borrower.set_peers([("vm1".into(), 0)]);
    let now = after(start, 3000);
    for holder in [&mut lender, &mut borrower] {
        let grant = holder
            .renew(now)
            .and_then(|renew| granter.renew(&renew, now));
        holder.apply_grant(&grant.expect("the granter is open"), now);
    }
    let request = borrower
        .borrow(5 * TOKEN, now)
        .expect("the lender is known to have spare tokens");
    let lent = lender.lend(&request.borrow, now).expect("first request");
    assert_eq!(
        lender.lend(&request.borrow, now),
        None,
        "a duplicate debits nothing"
    );
    let arrival = after(now, delay);
    let before = borrower.clone().level(arrival);
    for _ in 0..copies {
        borrower.apply_loan(&lent, arrival);
    }
    let added = borrower.level(arrival) - before;
    assert_eq!(added, if counts { lent.tokens } else { 0 });
}

fn granter(until: u64, start: Instant) -> Granter {
    let limit = Allocation::tokens(200, 40);
    Granter::new(fleet::settings(), limit, 1, after(start, until), start)
}

/// Guards against two granters that grant the same capacity: the new one waits a term plus margin,
/// and the old one stops when its lease expires.
#[test]
fn successive_granters_do_not_overlap() {
    let start = Instant::now();
    let mut old = granter(3000, start);
    let mut new = granter(60_000, after(start, 3000));
    let renew = |at| {
        holder(at, start)
            .renew(after(start, at))
            .expect("due at once")
    };
    assert!(old.renew(&renew(2049), after(start, 2049)).is_none());
    assert!(old.renew(&renew(2999), after(start, 2999)).is_some());
    assert!(
        old.clone()
            .renew(&renew(3000), after(start, 3000))
            .is_none()
    );
    assert!(new.renew(&renew(5049), after(start, 5049)).is_none());
    assert!(new.renew(&renew(5050), after(start, 5050)).is_some());
}

/// Guards against a delayed grant that the holder uses beyond the term: the granter counts it from
/// the request.
#[test]
fn term_counts_from_the_request() {
    let start = Instant::now();
    let mut granter = granter(60_000, start);
    let sent = after(start, 3000);
    let mut on_time = holder(1, start);
    let renew = on_time.renew(sent).expect("due at once");
    let grant = granter
        .renew(&renew, after(sent, 1500))
        .expect("the granter is open");
    let mut late = on_time.clone();
    late.apply_grant(&grant, after(sent, 2000));
    assert!(late.part(after(sent, 2000)).is_empty());
    on_time.apply_grant(&grant, after(sent, 1500));
    assert!(!on_time.part(after(sent, 1999)).is_empty());
    assert!(on_time.part(after(sent, 2000)).is_empty());
}

/// Guards against counting tokens that are returned after the part may have been granted to another
/// holder.
#[rstest]
#[case(1900, 10 * TOKEN)]
#[case(2100, 0)]
fn returned_tokens_count_only_in_term(#[case] arrival: u64, #[case] counted: u64) {
    let start = Instant::now();
    let open = after(start, 10_000);
    let late = after(open, arrival);
    let tokens = |returned| {
        let mut granter = granter(60_000, start);
        let mut holder = holder(1, start);
        let renew = holder.renew(open).expect("due at once");
        let grant = granter.renew(&renew, open).expect("the granter is open");
        holder.apply_grant(&grant, open);
        let mut renew = holder.renew(after(open, 100)).expect("due again");
        renew.returned += returned;
        renew.holding = Allocation::default();
        let grant = granter.renew(&renew, late);
        grant.expect("the granter is open").tokens
    };
    assert_eq!(tokens(10 * TOKEN).abs_diff(tokens(0)), counted);
}

/// Guards against a lowered limit that is reported in force while a VM still uses the former one.
#[test]
fn lowered_limit_waits_for_acknowledgement() {
    let start = Instant::now();
    let settings = fleet::settings();
    let (large, small) = (Allocation::tokens(200, 40), Allocation::tokens(100, 20));
    let mut granter = granter(60_000, start);
    let mut floors = Floors::new(3);
    floors.claim("vm1", 1);
    let mut holder = holder(1, start);
    holder.set_floor(settings.floor(large), 1, start);
    let renew = |holder: &mut Holder, granter: &mut Granter, millis| {
        let now = after(start, millis);
        let grant = holder
            .renew(now)
            .and_then(|renew| granter.renew(&renew, now));
        holder.apply_grant(&grant.expect("the granter is open"), now);
    };
    renew(&mut holder, &mut granter, 3000);
    let now = after(start, 3050);
    assert!(granter.in_force(&floors, now));
    granter.set_limit(small, 2, now);
    assert_eq!(granter.unconfirmed(&floors), ["vm1".into()]);
    renew(&mut holder, &mut granter, 3100);
    assert!(
        !granter.in_force(&floors, after(start, 3100)),
        "the floor is not confirmed"
    );
    holder.set_floor(settings.floor(small), 2, after(start, 3150));
    holder.set_floor(settings.floor(large), 1, after(start, 3150));
    renew(&mut holder, &mut granter, 3200);
    assert!(granter.in_force(&floors, after(start, 3200)));
    assert!(holder.part(after(start, 3200)).fits(small));
}

/// Guards against a computed refill time that is too early, or missing.
#[test]
fn ready_at_is_when_the_refill_suffices() {
    let start = Instant::now();
    let mut holder = holder(1, start);
    assert_eq!(holder.ready_at(TOKEN, start), None);
    holder.set_floor(Allocation::tokens(10, 2), 1, start);
    let ready = holder.ready_at(TOKEN, start).expect("the floor refills");
    assert!(ready <= after(start, 101));
    assert!(!holder.clone().spend(TOKEN, after(start, 99)));
    assert!(holder.spend(TOKEN, ready));
    assert_eq!(holder.ready_at(3 * TOKEN, start), None, "beyond the burst");
}

/// Guards against message fields that change when serialised and read back.
#[test]
fn messages_keep_their_values() {
    let start = Instant::now();
    let open = after(start, 3000);
    let renew = holder(1, start).renew(open).expect("due at once");
    let grant = granter(60_000, start)
        .renew(&renew, open)
        .expect("the granter is open");
    let text = serde_json::to_string(&(&renew, &grant)).expect("plain values");
    let read: (Renew, Grant) = serde_json::from_str(&text).expect("the same types");
    assert_eq!(read, (renew, grant));
}

/// Guards against VMs in a partitioned data centre that permanently stop borrowing from each other
/// after one answer without tokens.
#[test]
fn borrowing_resumes_without_granter() {
    let start = Instant::now();
    let (mut lender, mut borrower) = (holder(1, start), holder(2, start));
    for holder in [&mut lender, &mut borrower] {
        holder.set_floor(Allocation::tokens(10, 5), 1, start);
        holder.set_peers([("vm1".into(), 0)]);
    }
    let open = after(start, 3000);
    let mut granter = granter(60_000, start);
    for holder in [&mut lender, &mut borrower] {
        let grant = holder
            .renew(open)
            .and_then(|renew| granter.renew(&renew, open));
        holder.apply_grant(&grant.expect("the granter is open"), open);
    }
    let mut borrow = |millis| {
        let now = after(start, millis);
        let level = borrower.level(now);
        assert!(borrower.spend(level, now));
        let request = borrower.borrow(TOKEN, now)?;
        let lent = lender.lend(&request.borrow, now)?;
        borrower.apply_loan(&lent, now);
        Some(lent.tokens)
    };
    while borrow(6000).is_some_and(|tokens| tokens > 0) {}
    assert_eq!(borrow(6500), None, "the lender had none");
    assert!(borrow(7100).is_some_and(|tokens| tokens > 0));
}

/// Guards against floors used by two incarnations, and floors that stay claimed after a VM is gone.
#[test]
fn floors_are_reassigned_only_when_free() {
    let mut floors = Floors::new(2);
    assert_eq!(floors.claim("vm1", 1), Some(0));
    assert_eq!(floors.claim("vm2", 2), Some(1));
    assert_eq!(floors.claim("vm3", 3), None);
    assert_eq!(
        floors.claim("vm1", 4),
        Some(0),
        "restarted process on the same VM"
    );
    floors.reclaim(|claim| &*claim.vm == "vm2");
    assert_eq!(floors.claim("vm3", 3), Some(1));
    floors.release(4);
    assert_eq!(floors.owners().count(), 1);
}

/// Guards against an owner whose floor no other VM can confirm because none has read the row since
/// its claim, and against an announcement that outlives a later read.
#[test]
fn owner_announcement_counts_until_a_later_read() {
    let mut owners = Owners::default();
    assert_eq!(owners.floor("vm2"), None);
    owners.record_row(4, ["vm1".into()].into());
    assert_eq!(owners.floor("vm2"), Some((4, false)));
    owners.record_owner("vm2", 6);
    owners.record_owner("vm2", 5);
    assert_eq!(owners.floor("vm2"), Some((6, true)));
    owners.record_row(5, ["vm1".into()].into());
    assert_eq!(
        owners.floor("vm2"),
        Some((6, true)),
        "the announcement is later"
    );
    owners.record_row(7, ["vm1".into()].into());
    assert_eq!(owners.floor("vm2"), Some((7, false)), "reclaimed since");
    owners.record_owner("vm2", 7);
    assert_eq!(owners.floor("vm2"), Some((7, false)));
}

/// Guards against unclaimed floors that stay unused, and against a pooled floor that is freed while
/// a holder still uses it.
#[test]
fn unclaimed_floors_are_granted_from_the_pool() {
    let start = Instant::now();
    let settings = fleet::settings();
    let limit = Allocation::tokens(200, 40);
    let floor = settings.floor(limit);
    let mut granter = granter(60_000, start);
    let mut floors = Floors::new(5);
    floors.pool(1);
    assert_eq!((floors.pooled(), floors.free()), (4, 1));
    granter.set_pooled(4, start);
    assert!(
        !granter.fits(after(start, 2049)),
        "a predecessor's parts may be in use"
    );
    let mut holder = holder(1, start);
    let mut renew = |granter: &mut Granter, millis| {
        let now = after(start, millis);
        let grant = holder
            .renew(now)
            .and_then(|renew| granter.renew(&renew, now));
        let grant = grant.expect("the granter is open");
        holder.apply_grant(&grant, now);
        grant.part
    };
    let whole = renew(&mut granter, 3000);
    assert_eq!(
        whole,
        settings.elastic(limit).plus(Allocation {
            rate: floor.rate * 4,
            burst: floor.burst * 4
        })
    );
    granter.set_pooled(3, after(start, 3050));
    assert!(!granter.fits(after(start, 3050)));
    assert_eq!(renew(&mut granter, 3100), whole.minus(floor));
    assert!(
        !granter.fits(after(start, 3100)),
        "the holder has not confirmed"
    );
    renew(&mut granter, 3200);
    assert!(granter.fits(after(start, 3200)));
    floors.unpool();
    assert_eq!((floors.pooled(), floors.free()), (3, 2));
}

/// Guards against settings that break the bound, and floors that exceed the limit.
#[test]
fn unsafe_settings_are_refused() {
    let settings = Settings::default();
    assert_eq!(settings.check(), Ok(()));
    let short = Settings {
        margin: Duration::from_millis(1),
        ..settings
    };
    assert_eq!(short.check(), Err(Invalid::Margin));
    let bare = Settings {
        reserve_headroom: false,
        ..settings
    };
    assert_eq!(bare.check(), Err(Invalid::Reserve));
    let none = Settings {
        floor_units: 0,
        ..settings
    };
    assert_eq!(none.check(), Err(Invalid::Floors));
    assert_eq!(settings.check_limit(Allocation::tokens(200, 24)), Ok(()));
    let small = settings.check_limit(Allocation::tokens(200, 23));
    assert_eq!(small, Err(Invalid::Burst));
}

proptest! {
    #![proptest_config(config(256))]

    /// Guards against an allocation that exceeds the capacity or starves a small demand.
    #[test]
    fn allocation_is_max_min(rate in 0..1_000_000u64, wants in prop::collection::vec(0..500_000u64, 1..20)) {
        let shares = allocation::max_min(rate, &wants);
        prop_assert!(shares.iter().sum::<u64>() <= rate);
        let equal = rate / wants.len() as u64;
        for (share, want) in shares.iter().zip(&wants) {
            prop_assert!(share <= want);
            prop_assert!(*share >= equal.min(*want));
        }
        let elastic = Allocation { rate, burst: rate / 3 };
        let total = allocation::divide(elastic, Allocation::default(), &wants)
            .into_iter()
            .fold(Allocation::default(), Allocation::plus);
        prop_assert!(total.fits(elastic));
    }

    /// Guards against floors and elastic parts that exceed the limit through rounding.
    #[test]
    fn floors_and_elastic_part_fit(rate in 0..10_000u64, burst in 0..10_000u64, units in 1..50u64, percent in 0..=100u64) {
        let settings = Settings { floor_units: units, floor_percent: percent, ..Settings::default() };
        let limit = Allocation::tokens(rate, burst);
        let floors = (0..units)
            .fold(Allocation::default(), |sum, _| sum.plus(settings.floor(limit)));
        prop_assert!(floors.plus(settings.elastic(limit)).fits(limit));
    }
}
