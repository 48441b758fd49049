//! Transfer of tokens from one VM to another.

use super::{Fault, Injection, require};
use std::time::{Duration, Instant};
use steering::limits::{
    Allocation, Borrow, Grant, Granter, Holder, Identity, Lent, Settings, TOKEN,
};

pub const STEPS: [&str; 4] = ["ask", "lend", "in-transit", "credit"];

/// Whole limit, in tokens.
const BURST: u64 = 40;
/// Floors into which the floors' part of the limit is divided, one for each VM.
const FLOORS: u64 = 2;

pub fn excludes(fault: Fault) -> Option<&'static str> {
    match fault {
        Fault::KeyWithdrawn => Some("tokens carry no key"),
        Fault::BadVersion => Some("no request runs on a version"),
        Fault::OperatorRace => {
            Some("operators don't transfer tokens; limits change by publication")
        }
        Fault::CrashingRequest | Fault::SilentConnection => Some("no backend server takes part"),
        _ => None,
    }
}

struct World {
    lender: Holder,
    borrower: Holder,
    granter: Granter,
    now: Instant,
    incarnations: u64,
    in_transit: u64,
}

pub fn run(injection: &Injection) -> Result<(), Box<str>> {
    let mut world = World::new();
    world.inject(0, injection);
    world.spend_all();
    let ask = world.borrower.borrow(TOKEN, world.now);
    world.check("after the request")?;
    world.inject(1, injection);
    let lost = injection.at(1, Fault::Partition);
    let ask = ask.filter(|_| !lost);
    let lent = ask.and_then(|ask| world.lend(&ask.borrow));
    world.check("after the loan")?;
    world.inject(2, injection);
    world.now += Duration::from_millis(24);
    world.check("in transit")?;
    world.inject(3, injection);
    world.in_transit = 0;
    if let Some(lent) = lent
        && !injection.since(2, Fault::Partition)
    {
        // The message arrives twice.
        world.borrower.apply_loan(&lent, world.now);
        world.borrower.apply_loan(&lent, world.now);
    }
    world.check("after the credit")?;
    // Everything goes on after the faults: leases end, floors refill, nothing is created.
    for _ in 0..50 {
        world.now += Duration::from_millis(100);
        world.check("afterwards")?;
    }
    require(
        world.lender.level(world.now) > 0,
        "the lender's floor refills without the store",
    )
}

impl World {
    fn new() -> Self {
        let start = Instant::now();
        let settings = settings();
        let limit = limit();
        let until = start + Duration::from_secs(600);
        let mut granter = Granter::new(settings, limit, 1, until, start);
        let open = start + settings.term + settings.margin + Duration::from_secs(1);
        let mut holders = [1, 2].map(|n| holder(n, start));
        for holder in &mut holders {
            holder.record_demand(TOKEN, open);
            if let Some(grant) = granted(&mut granter, holder, open) {
                holder.apply_grant(&grant, open);
            }
        }
        let [lender, borrower] = holders;
        let now = open + Duration::from_millis(200);
        Self {
            lender,
            borrower,
            granter,
            now,
            incarnations: 2,
            in_transit: 0,
        }
    }

    /// Applies the faults before a step.
    fn inject(&mut self, step: usize, injection: &Injection) {
        if injection.dies(step) {
            // The lender dies at even steps, the borrower at odd ones.
            self.incarnations += 1;
            let fresh = holder(self.incarnations, self.now);
            if step.is_multiple_of(2) {
                self.lender = fresh;
            } else {
                self.borrower = fresh;
            }
        }
        if injection.at(step, Fault::HolderPaused) {
            self.now += Duration::from_secs(10);
        }
        let store = injection.no_store(step) || injection.at(step, Fault::AnswerLost);
        let renews = !store && !injection.since(step, Fault::Partition);
        if renews && let Some(grant) = granted(&mut self.granter, &mut self.borrower, self.now) {
            self.borrower.apply_grant(&grant, self.now);
        }
    }

    fn spend_all(&mut self) {
        let level = self.borrower.level(self.now);
        // A level is always there to spend.
        let _ = self.borrower.spend(level, self.now);
        self.borrower.record_demand(TOKEN, self.now);
    }

    fn lend(&mut self, borrow: &Borrow) -> Option<Lent> {
        let lent = self.lender.lend(borrow, self.now);
        self.in_transit = lent.as_ref().map_or(0, |lent| lent.tokens);
        // A doubled request lends nothing more.
        let again = self.lender.lend(borrow, self.now);
        self.in_transit += again.map_or(0, |lent| lent.tokens);
        lent
    }

    /// Checks that what can be spent now never exceeds the limit.
    fn check(&mut self, when: &str) -> Result<(), Box<str>> {
        let levels = self.lender.level(self.now) + self.borrower.level(self.now);
        let spendable = levels + self.in_transit;
        let parts = self.lender.part(self.now).rate + self.borrower.part(self.now).rate;
        require(
            spendable <= BURST * TOKEN,
            &format!("spendable tokens within the limit {when}"),
        )?;
        require(
            parts <= BURST * TOKEN,
            &format!("refill rates within the limit {when}"),
        )
    }
}

fn settings() -> Settings {
    Settings {
        floor_units: FLOORS,
        ..Settings::default()
    }
}

fn limit() -> Allocation {
    Allocation::tokens(BURST, BURST)
}

fn holder(incarnation: u64, now: Instant) -> Holder {
    let vm = format!("vm{}", 1 + (incarnation + 1) % 2);
    let identity = Identity {
        workspace: "w".into(),
        vm: vm.into(),
        incarnation,
    };
    let mut holder = Holder::new(settings(), identity, now);
    holder.set_floor(settings().floor(limit()), 1, now);
    holder.set_peers([("vm1".into(), 0), ("vm2".into(), 0)]);
    holder
}

fn granted(granter: &mut Granter, holder: &mut Holder, now: Instant) -> Option<Grant> {
    granter.renew(&holder.renew(now)?, now)
}
