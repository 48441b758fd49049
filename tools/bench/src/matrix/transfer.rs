//! Transfer of tokens from one VM to another.

use super::{Fault, Injection, require};
use std::time::{Duration, Instant};
use steering::limits::{
    Allocation, Borrow, Grant, Granter, Holder, Identity, Lent, Settings, TOKEN,
};

pub const STEPS: [&str; 4] = ["ask", "lend", "in-transit", "credit"];

/// Rate and burst of the whole limit, in tokens.
const LIMIT_TOKENS: u64 = 40;
/// Number of floors that share the floors' part of the limit, one for each VM.
const FLOOR_COUNT: u64 = 2;

pub fn exclusion_reason(fault: Fault) -> Option<&'static str> {
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

struct Simulation {
    lender: Holder,
    borrower: Holder,
    granter: Granter,
    now: Instant,
    incarnations: u64,
    /// Lent tokens that the borrower has not received.
    in_transit: u64,
}

pub fn run(injection: &Injection) -> Result<(), Box<str>> {
    let mut simulation = Simulation::new();
    simulation.inject(0, injection);
    simulation.spend_all();
    let loan_request = simulation.borrower.borrow(TOKEN, simulation.now);
    simulation.check("after the request")?;
    simulation.inject(1, injection);
    let lost = injection.occurs_at(1, Fault::Partition);
    let loan_request = loan_request.filter(|_| !lost);
    let lent = loan_request.and_then(|loan_request| simulation.lend(&loan_request.borrow));
    simulation.check("after the loan")?;
    simulation.inject(2, injection);
    simulation.now += Duration::from_millis(24);
    simulation.check("in transit")?;
    simulation.inject(3, injection);
    simulation.in_transit = 0;
    if let Some(lent) = lent
        && !injection.occurred_by(2, Fault::Partition)
    {
        // The answer is delivered twice; the second copy must add nothing.
        simulation.borrower.apply_loan(&lent, simulation.now);
        simulation.borrower.apply_loan(&lent, simulation.now);
    }
    simulation.check("after the credit")?;
    // After the faults leases end and floors refill, but no token is created.
    for _ in 0..50 {
        simulation.now += Duration::from_millis(100);
        simulation.check("afterwards")?;
    }
    require(
        simulation.lender.level(simulation.now) > 0,
        "the lender's floor refills without the store",
    )
}

impl Simulation {
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
            if let Some(grant) = renew(&mut granter, holder, open) {
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
        if injection.process_dies(step) {
            // The lender dies at even steps, the borrower at odd ones.
            self.incarnations += 1;
            let fresh = holder(self.incarnations, self.now);
            if step.is_multiple_of(2) {
                self.lender = fresh;
            } else {
                self.borrower = fresh;
            }
        }
        if injection.occurs_at(step, Fault::HolderPaused) {
            self.now += Duration::from_secs(10);
        }
        let store_unanswered =
            injection.store_unreachable(step) || injection.occurs_at(step, Fault::AnswerLost);
        let renews = !store_unanswered && !injection.occurred_by(step, Fault::Partition);
        if renews && let Some(grant) = renew(&mut self.granter, &mut self.borrower, self.now) {
            self.borrower.apply_grant(&grant, self.now);
        }
    }

    fn spend_all(&mut self) {
        let level = self.borrower.level(self.now);
        // Spending exactly the level always succeeds.
        let _ = self.borrower.spend(level, self.now);
        self.borrower.record_demand(TOKEN, self.now);
    }

    fn lend(&mut self, borrow: &Borrow) -> Option<Lent> {
        let lent = self.lender.lend(borrow, self.now);
        self.in_transit = lent.as_ref().map_or(0, |lent| lent.tokens);
        // A duplicated request must lend nothing more.
        let duplicate = self.lender.lend(borrow, self.now);
        self.in_transit += duplicate.map_or(0, |lent| lent.tokens);
        lent
    }

    /// Checks that what can be spent now never exceeds the limit.
    fn check(&mut self, when: &str) -> Result<(), Box<str>> {
        let levels = self.lender.level(self.now) + self.borrower.level(self.now);
        let spendable = levels + self.in_transit;
        let refill_rates = self.lender.part(self.now).rate + self.borrower.part(self.now).rate;
        require(
            spendable <= LIMIT_TOKENS * TOKEN,
            &format!("spendable tokens within the limit {when}"),
        )?;
        require(
            refill_rates <= LIMIT_TOKENS * TOKEN,
            &format!("refill rates within the limit {when}"),
        )
    }
}

fn settings() -> Settings {
    Settings {
        floor_units: FLOOR_COUNT,
        ..Settings::default()
    }
}

fn limit() -> Allocation {
    Allocation::tokens(LIMIT_TOKENS, LIMIT_TOKENS)
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

fn renew(granter: &mut Granter, holder: &mut Holder, now: Instant) -> Option<Grant> {
    granter.renew(&holder.renew(now)?, now)
}
