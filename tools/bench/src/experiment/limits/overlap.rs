//! Schedules in which capacity is spent twice without the margin or reserved headroom.

use super::checker::Checker;
use std::time::{Duration, Instant};
use steering::limits::{Allocation, Amount, Granter, Holder, Identity, Settings, TOKEN};

const DRIFT_PPM: u32 = 200;
const STEP: Duration = Duration::from_micros(10);

fn holder(settings: Settings, incarnation: u64, now: Instant) -> Holder {
    let identity = Identity {
        workspace: "north-lodges".into(),
        vm: format!("vm{incarnation}").into(),
        incarnation,
    };
    Holder::new(settings, identity, now)
}

fn renew(holder: &mut Holder, granter: &mut Granter, at: Instant, granter_at: Instant) {
    let grant = holder.renew(at).and_then(|r| granter.renew(&r, granter_at));
    if let Some(grant) = grant {
        holder.apply_grant(&grant, at);
    }
}

/// A holder with a slow clock is cut off with the whole elastic allocation; the granter's clock is
/// fast, and it grants the same allocation to another holder. Returns the excess over the bound.
pub fn margin(margin: Duration) -> Amount {
    let origin = Instant::now();
    let limit = Allocation::tokens(20_000, 100);
    let settings = Settings {
        margin,
        floor_units: 2,
        renewal_interval: STEP,
        answer_timeout: STEP,
        ..Settings::default()
    };
    let slow = |elapsed: Duration| origin + elapsed - elapsed * DRIFT_PPM / 1_000_000;
    let fast = |elapsed: Duration| origin + elapsed + elapsed * DRIFT_PPM / 1_000_000;
    let mut granter = Granter::new(
        settings,
        limit,
        1,
        origin + Duration::from_secs(3600),
        origin,
    );
    let mut first = holder(settings, 1, origin);
    let mut second = holder(settings, 2, origin);
    for holder in [&mut first, &mut second] {
        holder.set_floor(settings.floor(limit), 1, origin);
    }
    let cut = Duration::from_secs(4);
    first.record_demand(TOKEN * 100_000, slow(cut));
    renew(&mut first, &mut granter, slow(cut), fast(cut));
    // All buckets are full shortly before the term ends; then both holders spend all they can.
    let mut checker = Checker::new(limit, origin);
    let mut elapsed = cut + settings.term - Duration::from_millis(20);
    while elapsed < cut + settings.term + Duration::from_millis(60) {
        second.record_demand(TOKEN, fast(elapsed));
        renew(&mut second, &mut granter, fast(elapsed), fast(elapsed));
        if elapsed >= cut + settings.term - Duration::from_millis(1) {
            while first.spend(TOKEN / 100, slow(elapsed)) {
                checker.record(TOKEN / 100, origin + elapsed);
            }
            while second.spend(TOKEN / 100, fast(elapsed)) {
                checker.record(TOKEN / 100, origin + elapsed);
            }
        }
        elapsed += STEP;
    }
    checker.excess
}

/// Lent tokens are in transit while lender and borrower refill; then both spend all their tokens.
/// Returns the excess over the bound.
pub fn headroom(reserve: bool) -> Amount {
    let origin = Instant::now();
    let limit = Allocation::tokens(200, 40);
    let settings = Settings {
        reserve_headroom: reserve,
        floor_percent: 100,
        floor_units: 2,
        loan_timeout: Duration::from_secs(2),
        ..Settings::default()
    };
    let mut lender = holder(settings, 1, origin);
    let mut borrower = holder(settings, 2, origin);
    for holder in [&mut lender, &mut borrower] {
        holder.set_floor(settings.floor(limit), 1, origin);
    }
    borrower.set_peers([("vm1".into(), 0)]);
    let mut checker = Checker::new(limit, origin);
    // A single refused renewal tells the borrower what the lender can spare.
    let full = origin + Duration::from_secs(1);
    let mut granter = Granter::new(settings, limit, 1, full + Duration::from_secs(9), origin);
    let open = origin + Duration::from_secs(3);
    renew(&mut lender, &mut granter, open, open);
    renew(&mut borrower, &mut granter, open, open);
    while borrower.spend(TOKEN, open) {
        checker.record(TOKEN, open);
    }
    let lent = borrower
        .borrow(TOKEN * 10, open)
        .and_then(|request| lender.lend(&request.borrow, open));
    // The loan is in transit for a second, in which every bucket refills up to its limit.
    let arrival = open + Duration::from_secs(1);
    for holder in [&mut lender, &mut borrower] {
        while holder.spend(TOKEN, arrival) {
            checker.record(TOKEN, arrival);
        }
    }
    if let Some(lent) = lent {
        borrower.apply_loan(&lent, arrival);
    }
    while borrower.spend(TOKEN, arrival) {
        checker.record(TOKEN, arrival);
    }
    checker.excess
}
