//! Small simulated fleet that runs random schedules of limit operations.

use proptest::prelude::*;
use std::time::{Duration, Instant};
use steering::limits::{
    Allocation, Borrow, Floors, Grant, Granter, Holder, Identity, Lent, Renew, Settings, TOKEN,
};

pub const VMS: usize = 3;
const FLOOR_UNITS: usize = 5;
const DRIFT_PPM: [i64; VMS] = [200, -200, 0];
const LEASE_TERM: Duration = Duration::from_secs(3);
const UNITS_PER_AMOUNT: i128 = 1_000_000_000;

/// One step of a schedule.
#[derive(Debug, Clone)]
pub enum Step {
    Advance(u64),
    Demand(usize, u64),
    /// Spends a percentage of the level.
    Spend(usize, u64),
    SpendAll,
    /// Renews all holders, delivers all messages and lets the buckets fill.
    Settle,
    Renew(usize),
    Borrow(usize),
    Deliver(usize),
    Drop(usize),
    Duplicate(usize),
    Kill(usize),
    /// Claims a floor for a VM that has none.
    Claim(usize),
    Retire(usize),
    Extend,
    Replace,
    Limit(u64),
}

/// Returns steps, weighted so that most messages are delivered.
pub fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        24 => (1..40u64).prop_map(Step::Advance),
        3 => (100..900u64).prop_map(Step::Advance),
        8 => (0..VMS, 1..60u64).prop_map(|(vm, tokens)| Step::Demand(vm, tokens)),
        16 => (0..VMS, 1..=100u64).prop_map(|(vm, percent)| Step::Spend(vm, percent)),
        4 => Just(Step::SpendAll),
        8 => Just(Step::Settle),
        16 => (0..VMS).prop_map(Step::Renew),
        24 => (0..VMS).prop_map(Step::Borrow),
        36 => (0..8usize).prop_map(Step::Deliver),
        2 => (0..8usize).prop_map(Step::Drop),
        2 => (0..8usize).prop_map(Step::Duplicate),
        8 => Just(Step::Extend),
        8 => (0..VMS).prop_map(Step::Claim),
        2 => rare(),
    ]
}

/// Returns steps after which capacity is lost for a term; if they were frequent, the buckets would
/// never fill.
fn rare() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..VMS).prop_map(Step::Kill),
        (0..VMS).prop_map(Step::Retire),
        Just(Step::Replace),
        (20..=200u64).prop_map(Step::Limit),
    ]
}

/// Settings of the small fleet.
pub fn settings() -> Settings {
    Settings {
        floor_units: FLOOR_UNITS as u64,
        ..Settings::default()
    }
}

#[derive(Debug, Clone)]
enum Message {
    /// To the granter of that index, which may have been replaced since.
    Renew(usize, usize, Renew),
    Grant(usize, Grant),
    Borrow(usize, usize, Borrow),
    Lent(usize, Lent),
    Floor(usize, u64, Allocation, u64),
}

/// Holders, granters, messages in flight and an exact check of every window.
pub struct Fleet {
    settings: Settings,
    origin: Instant,
    elapsed: Duration,
    holders: Vec<Holder>,
    incarnations: u64,
    current: [u64; VMS],
    floors: Floors,
    granters: Vec<Granter>,
    row_until: Duration,
    messages: Vec<Message>,
    limit: Allocation,
    version: u64,
    in_force: Allocation,
    level: i128,
    least: i128,
    checked: Duration,
}

fn limit(rate: u64) -> Allocation {
    Allocation::tokens(rate, rate / 4)
}

fn name(vm: usize) -> Box<str> {
    format!("vm{vm}").into()
}

impl Fleet {
    pub fn new(settings: Settings) -> Self {
        let origin = Instant::now();
        let largest = limit(200);
        let level = i128::from(largest.burst) * UNITS_PER_AMOUNT;
        let mut fleet = Self {
            settings,
            origin,
            elapsed: Duration::ZERO,
            holders: Vec::new(),
            incarnations: 0,
            current: [0; VMS],
            floors: Floors::new(FLOOR_UNITS),
            granters: vec![Granter::new(
                settings,
                largest,
                1,
                origin + LEASE_TERM,
                origin,
            )],
            row_until: LEASE_TERM,
            messages: Vec::new(),
            limit: largest,
            version: 1,
            in_force: largest,
            level,
            least: level,
            checked: Duration::ZERO,
        };
        for vm in 0..VMS {
            let holder = fleet.start(vm);
            fleet.holders.push(holder);
        }
        fleet
    }

    fn start(&mut self, vm: usize) -> Holder {
        self.incarnations += 1;
        let identity = Identity {
            workspace: "trail-office".into(),
            vm: name(vm),
            incarnation: self.incarnations,
        };
        let now = self.local(vm);
        let mut holder = Holder::new(self.settings, identity, now);
        holder.set_peers((0..VMS).filter(|&o| o != vm).map(|o| (name(o), 0)));
        self.current[vm] = self.incarnations;
        holder
    }

    fn claim(&mut self, vm: usize) {
        if self.floors.claim(&name(vm), self.current[vm]).is_some() {
            let now = self.local(vm);
            self.holders[vm].set_floor(self.settings.floor(self.limit), self.version, now);
        }
    }

    fn local(&self, vm: usize) -> Instant {
        let nanos = self.elapsed.as_nanos() as i64;
        let drift = nanos / 1_000_000 * DRIFT_PPM[vm];
        self.origin + Duration::from_nanos((nanos + drift) as u64)
    }

    /// Granters alternate between a fast and a slow clock.
    fn granter_time(&self, granter: usize) -> Instant {
        self.local(granter % 2)
    }

    fn spend(&mut self, vm: usize, percent: u64) {
        let now = self.local(vm);
        let amount = self.holders[vm].level(now) / 100 * percent;
        assert!(self.holders[vm].spend(amount, now));
        let largest = limit(200);
        let passed = (self.elapsed - self.checked).as_nanos() as i128;
        self.checked = self.elapsed;
        let refilled = self.level + i128::from(largest.rate) * passed;
        self.level = refilled.min(i128::from(largest.burst) * UNITS_PER_AMOUNT)
            - i128::from(amount) * UNITS_PER_AMOUNT;
        self.least = self.least.min(self.level);
    }

    fn message_index(&self, index: usize) -> Option<usize> {
        (!self.messages.is_empty()).then(|| index % self.messages.len())
    }

    pub fn apply(&mut self, step: &Step) {
        match *step {
            Step::Advance(millis) => self.elapsed += Duration::from_millis(millis),
            Step::Demand(vm, tokens) => {
                let now = self.local(vm);
                self.holders[vm].record_demand(tokens * TOKEN, now);
            }
            Step::Spend(vm, percent) => self.spend(vm, percent),
            Step::SpendAll => (0..VMS).for_each(|vm| self.spend(vm, 100)),
            Step::Settle => self.settle(),
            Step::Renew(vm) => {
                let now = self.local(vm);
                let renew = self.holders[vm].renew(now);
                self.report(vm, renew);
            }
            Step::Borrow(vm) => {
                let now = self.local(vm);
                let needed = self.holders[vm].level(now) + 5 * TOKEN;
                if let Some(request) = self.holders[vm].borrow(needed, now) {
                    let to = (0..VMS)
                        .position(|o| name(o) == request.peer)
                        .expect("a known VM");
                    self.messages.push(Message::Borrow(to, vm, request.borrow));
                }
            }
            Step::Deliver(index) => {
                if let Some(index) = self.message_index(index) {
                    let message = self.messages.remove(index);
                    self.deliver(message);
                }
            }
            Step::Drop(index) => {
                self.message_index(index)
                    .map(|index| self.messages.remove(index));
            }
            Step::Duplicate(index) => {
                let copy = self
                    .message_index(index)
                    .map(|index| self.messages[index].clone());
                self.messages.extend(copy);
            }
            Step::Kill(vm) => self.holders[vm] = self.start(vm),
            Step::Claim(vm) => self.claim(vm),
            Step::Retire(vm) => {
                let now = self.local(vm);
                let renew = self.holders[vm].retire(now);
                self.report(vm, renew);
                self.floors.release(self.current[vm]);
                self.holders[vm] = self.start(vm);
            }
            Step::Extend | Step::Replace => self.lease(matches!(step, Step::Replace)),
            Step::Limit(rate) => self.set_limit(limit(rate)),
        }
        self.update_in_force();
    }

    fn settle(&mut self) {
        for vm in 0..VMS {
            let now = self.local(vm);
            let renew = self.holders[vm].renew(now);
            self.report(vm, renew);
        }
        while !self.messages.is_empty() {
            let message = self.messages.remove(0);
            self.deliver(message);
        }
        self.lease(false);
        self.elapsed += Duration::from_millis(400);
    }

    fn report(&mut self, vm: usize, renew: Option<Renew>) {
        let granter = self.granters.len() - 1;
        let message = renew.map(|renew| Message::Renew(granter, vm, renew));
        self.messages.extend(message);
    }

    fn lease(&mut self, replace: bool) {
        let granter = self.granters.len() - 1;
        let now = self.granter_time(granter);
        if self.elapsed < self.row_until {
            self.granters[granter].extend(now + LEASE_TERM);
            self.share_floors(granter, now);
        } else if replace {
            let now = self.granter_time(granter + 1);
            let next = Granter::new(
                self.settings,
                self.limit,
                self.version,
                now + LEASE_TERM,
                now,
            );
            self.granters.push(next);
        } else {
            return;
        }
        // The row expires after the holder's own deadline under any drift.
        self.row_until = self.elapsed + LEASE_TERM + Duration::from_millis(10);
    }

    /// Assigns unclaimed floors to the pool and frees one of them when no floor is unclaimed.
    fn share_floors(&mut self, granter: usize, now: Instant) {
        if self.floors.free() > 1 {
            self.floors.pool(1);
        }
        let short = self.floors.free() == 0;
        let pooled = self.floors.pooled();
        let granter = &mut self.granters[granter];
        granter.set_pooled(pooled - usize::from(short && pooled > 0), now);
        if short && pooled > 0 && granter.fits(now) {
            self.floors.unpool();
        }
    }

    fn set_limit(&mut self, limit: Allocation) {
        self.limit = limit;
        self.version += 1;
        self.in_force = self.in_force.max(limit);
        let granter = self.granters.len() - 1;
        let now = self.granter_time(granter);
        self.granters[granter].set_limit(limit, self.version, now);
        let floor = self.settings.floor(limit);
        let owned = |vm: &usize| {
            let run = self.current[*vm];
            self.floors.owners().any(|owner| owner.incarnation == run)
        };
        let owners: Vec<usize> = (0..VMS).filter(owned).collect();
        let news = owners
            .into_iter()
            .map(|vm| Message::Floor(vm, self.current[vm], floor, self.version));
        self.messages.extend(news);
    }

    fn update_in_force(&mut self) {
        let granter = self.granters.len() - 1;
        let now = self.granter_time(granter);
        if self.granters[granter].in_force(&self.floors, now) {
            self.in_force = self.limit;
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Renew(granter, vm, renew) => {
                let now = self.granter_time(granter);
                let grant = self.granters[granter].renew(&renew, now);
                self.messages.extend(grant.map(|g| Message::Grant(vm, g)));
            }
            Message::Grant(vm, grant) => {
                let now = self.local(vm);
                self.holders[vm].apply_grant(&grant, now);
            }
            Message::Borrow(vm, from, borrow) => {
                let now = self.local(vm);
                let lent = self.holders[vm].lend(&borrow, now);
                self.messages.extend(lent.map(|l| Message::Lent(from, l)));
            }
            Message::Lent(vm, lent) => {
                let now = self.local(vm);
                self.holders[vm].apply_loan(&lent, now);
            }
            Message::Floor(vm, run, floor, version) if self.current[vm] == run => {
                let now = self.local(vm);
                self.holders[vm].set_floor(floor, version, now);
            }
            Message::Floor(..) => {}
        }
    }

    /// Returns the tokens that a VM can spend now plus those it can spend after it has received all
    /// grants and loans in flight.
    fn spendable(&self, vm: usize) -> u64 {
        let now = self.local(vm);
        let mut holder = self.holders[vm].clone();
        let before = holder.level(now);
        assert!(holder.spend(before, now));
        for message in &self.messages {
            match message {
                Message::Grant(to, grant) if *to == vm => holder.apply_grant(grant, now),
                Message::Lent(to, lent) if *to == vm => holder.apply_loan(lent, now),
                _ => {}
            }
        }
        before + holder.level(now)
    }

    /// Checks the parts and tokens, those in transit included, against the limit in force, and
    /// every window so far. Works on copies, because reading a holder changes it.
    pub fn check(&self) -> Result<(), String> {
        let sum = (0..VMS).fold(Allocation::default(), |sum, vm| {
            sum.plus(self.holders[vm].clone().part(self.local(vm)))
        });
        if !sum.fits(self.in_force) {
            return Err(format!("parts {sum:?} exceed {:?}", self.in_force));
        }
        let spendable: u64 = (0..VMS).map(|vm| self.spendable(vm)).sum();
        if spendable > self.in_force.burst {
            return Err(format!("{spendable} spendable of {:?}", self.in_force));
        }
        if self.least < 0 {
            return Err(format!("a window exceeds the bound by {}", -self.least));
        }
        Ok(())
    }
}
