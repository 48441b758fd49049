//! Small simulated fleet that runs random schedules of renewals, loans and failures of limits.

use proptest::prelude::*;
use std::time::{Duration, Instant};
use steering::limits::{
    Borrow, Floors, Grant, Granter, Holder, Identity, Lent, Part, Renew, Settings, TOKEN,
};

pub const VMS: usize = 3;
const UNITS: usize = 5;
/// Clock drift of each VM in parts per million.
const DRIFT_PPM: [i64; VMS] = [200, -200, 0];
const LEASE: Duration = Duration::from_secs(3);
/// Nanoseconds in a second; the exact check counts levels in token millionths times nanoseconds.
const NANOS: i128 = 1_000_000_000;

/// One step of a schedule.
#[derive(Debug, Clone)]
pub enum Step {
    Advance(u64),
    Offer(usize, u64),
    /// Spends this percentage of the level.
    Spend(usize, u64),
    SpendAll,
    /// Renews on all VMs, delivers all messages and lets the buckets fill.
    Settle,
    Renew(usize),
    Borrow(usize),
    Deliver(usize),
    Drop(usize),
    Double(usize),
    Kill(usize),
    /// Claims a floor for a VM that has none.
    Claim(usize),
    Retire(usize),
    Extend,
    Replace,
    Limit(u64),
}

/// Steps with weights that keep most messages alive.
pub fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        24 => (1..40u64).prop_map(Step::Advance),
        3 => (100..900u64).prop_map(Step::Advance),
        8 => (0..VMS, 1..60u64).prop_map(|(vm, tokens)| Step::Offer(vm, tokens)),
        16 => (0..VMS, 1..=100u64).prop_map(|(vm, percent)| Step::Spend(vm, percent)),
        4 => Just(Step::SpendAll),
        8 => Just(Step::Settle),
        16 => (0..VMS).prop_map(Step::Renew),
        24 => (0..VMS).prop_map(Step::Borrow),
        36 => (0..8usize).prop_map(Step::Deliver),
        2 => (0..8usize).prop_map(Step::Drop),
        2 => (0..8usize).prop_map(Step::Double),
        8 => Just(Step::Extend),
        8 => (0..VMS).prop_map(Step::Claim),
        2 => rare(),
    ]
}

/// Steps after which capacity is lost for a term. If they were frequent, the buckets would never
/// fill.
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
        floor_units: UNITS as u64,
        ..Settings::default()
    }
}

#[derive(Debug, Clone)]
enum Message {
    /// Goes to the granter with this index, which may have been replaced since.
    Renew(usize, usize, Renew),
    Grant(usize, Grant),
    Borrow(usize, usize, Borrow),
    Lent(usize, Lent),
    Floor(usize, u64, Part, u64),
}

/// Holders, granters and messages in flight, with an exact check of the tokens spent in any window.
pub struct Fleet {
    settings: Settings,
    origin: Instant,
    elapsed: Duration,
    holders: Vec<Holder>,
    starts: u64,
    incarnations: [u64; VMS],
    floors: Floors,
    granters: Vec<Granter>,
    lease_until: Duration,
    messages: Vec<Message>,
    limit: Part,
    version: u64,
    in_force: Part,
    /// Level of one bucket of the whole limit from which all VMs spend, in [`NANOS`].
    level: i128,
    min_level: i128,
    level_at: Duration,
}

fn limit(rate: u64) -> Part {
    Part::tokens(rate, rate / 4)
}

fn name(vm: usize) -> Box<str> {
    format!("vm{vm}").into()
}

impl Fleet {
    pub fn new(settings: Settings) -> Self {
        let origin = Instant::now();
        let largest = limit(200);
        let level = i128::from(largest.burst) * NANOS;
        let mut fleet = Self {
            settings,
            origin,
            elapsed: Duration::ZERO,
            holders: Vec::new(),
            starts: 0,
            incarnations: [0; VMS],
            floors: Floors::new(UNITS),
            granters: vec![Granter::new(settings, largest, 1, origin + LEASE, origin)],
            lease_until: LEASE,
            messages: Vec::new(),
            limit: largest,
            version: 1,
            in_force: largest,
            level,
            min_level: level,
            level_at: Duration::ZERO,
        };
        for vm in 0..VMS {
            let holder = fleet.start(vm);
            fleet.holders.push(holder);
        }
        fleet
    }

    fn start(&mut self, vm: usize) -> Holder {
        self.starts += 1;
        let identity = Identity {
            workspace: "trail-office".into(),
            vm: name(vm),
            incarnation: self.starts,
        };
        let now = self.local(vm);
        let mut holder = Holder::new(self.settings, identity, now);
        holder.set_peers((0..VMS).filter(|&o| o != vm).map(|o| (name(o), 0)));
        self.incarnations[vm] = self.starts;
        holder
    }

    fn claim(&mut self, vm: usize) {
        if self
            .floors
            .claim(&name(vm), self.incarnations[vm])
            .is_some()
        {
            let now = self.local(vm);
            self.holders[vm].set_floor(self.settings.floor(self.limit), self.version, now);
        }
    }

    fn local(&self, vm: usize) -> Instant {
        let nanos = self.elapsed.as_nanos() as i64;
        let drift = nanos / 1_000_000 * DRIFT_PPM[vm];
        self.origin + Duration::from_nanos((nanos + drift) as u64)
    }

    /// Returns the time on the granter's clock; granters alternate between a fast and a slow one.
    fn granter_time(&self, granter: usize) -> Instant {
        self.local(granter % 2)
    }

    fn spend(&mut self, vm: usize, percent: u64) {
        let now = self.local(vm);
        let amount = self.holders[vm].level(now) / 100 * percent;
        assert!(self.holders[vm].spend(amount, now));
        let largest = limit(200);
        let passed = (self.elapsed - self.level_at).as_nanos() as i128;
        self.level_at = self.elapsed;
        let refilled = self.level + i128::from(largest.rate) * passed;
        self.level = refilled.min(i128::from(largest.burst) * NANOS) - i128::from(amount) * NANOS;
        self.min_level = self.min_level.min(self.level);
    }

    fn pick(&self, index: usize) -> Option<usize> {
        (!self.messages.is_empty()).then(|| index % self.messages.len())
    }

    pub fn apply(&mut self, step: &Step) {
        match *step {
            Step::Advance(millis) => self.elapsed += Duration::from_millis(millis),
            Step::Offer(vm, tokens) => {
                let now = self.local(vm);
                self.holders[vm].offer(tokens * TOKEN, now);
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
                if let Some(ask) = self.holders[vm].borrow(needed, now) {
                    let to = (0..VMS)
                        .position(|o| name(o) == ask.peer)
                        .expect("a known VM");
                    self.messages.push(Message::Borrow(to, vm, ask.borrow));
                }
            }
            Step::Deliver(index) => {
                if let Some(index) = self.pick(index) {
                    let message = self.messages.remove(index);
                    self.deliver(message);
                }
            }
            Step::Drop(index) => {
                self.pick(index).map(|index| self.messages.remove(index));
            }
            Step::Double(index) => {
                let copy = self.pick(index).map(|index| self.messages[index].clone());
                self.messages.extend(copy);
            }
            Step::Kill(vm) => self.holders[vm] = self.start(vm),
            Step::Claim(vm) => self.claim(vm),
            Step::Retire(vm) => {
                let now = self.local(vm);
                let renew = self.holders[vm].retire(now);
                self.report(vm, renew);
                self.floors.release(self.incarnations[vm]);
                self.holders[vm] = self.start(vm);
            }
            Step::Extend | Step::Replace => self.lease(matches!(step, Step::Replace)),
            Step::Limit(rate) => self.change(limit(rate)),
        }
        self.confirm();
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
        if self.elapsed < self.lease_until {
            self.granters[granter].extend(now + LEASE);
            self.share_floors(granter, now);
        } else if replace {
            let now = self.granter_time(granter + 1);
            let next = Granter::new(self.settings, self.limit, self.version, now + LEASE, now);
            self.granters.push(next);
        } else {
            return;
        }
        // The row lasts longer than the lease on the granter's clock, whatever the drift.
        self.lease_until = self.elapsed + LEASE + Duration::from_millis(10);
    }

    /// Moves unclaimed floors to the pool, and takes one back when none is free.
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

    fn change(&mut self, limit: Part) {
        self.limit = limit;
        self.version += 1;
        self.in_force = self.in_force.max(limit);
        let granter = self.granters.len() - 1;
        let now = self.granter_time(granter);
        self.granters[granter].set_limit(limit, self.version, now);
        let floor = self.settings.floor(limit);
        let owned = |vm: &usize| {
            let incarnation = self.incarnations[*vm];
            self.floors
                .owners()
                .any(|owner| owner.incarnation == incarnation)
        };
        let owners: Vec<usize> = (0..VMS).filter(owned).collect();
        let news = owners
            .into_iter()
            .map(|vm| Message::Floor(vm, self.incarnations[vm], floor, self.version));
        self.messages.extend(news);
    }

    fn confirm(&mut self) {
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
                self.holders[vm].grant(&grant, now);
            }
            Message::Borrow(vm, from, borrow) => {
                let now = self.local(vm);
                let lent = self.holders[vm].lend(&borrow, now);
                self.messages.extend(lent.map(|l| Message::Lent(from, l)));
            }
            Message::Lent(vm, lent) => {
                let now = self.local(vm);
                self.holders[vm].lent(&lent, now);
            }
            Message::Floor(vm, run, floor, version) if self.incarnations[vm] == run => {
                let now = self.local(vm);
                self.holders[vm].set_floor(floor, version, now);
            }
            Message::Floor(..) => {}
        }
    }

    /// Returns what a VM can spend now plus what it can spend after it receives all grants and
    /// loans in flight.
    fn spendable(&self, vm: usize) -> u64 {
        let now = self.local(vm);
        let mut holder = self.holders[vm].clone();
        let before = holder.level(now);
        assert!(holder.spend(before, now));
        for message in &self.messages {
            match message {
                Message::Grant(to, grant) if *to == vm => holder.grant(grant, now),
                Message::Lent(to, lent) if *to == vm => holder.lent(lent, now),
                _ => {}
            }
        }
        before + holder.level(now)
    }

    /// Checks the parts and tokens, including those in transit, against the limit in force, and the
    /// tokens spent in each window so far. Works on copies, so a paused holder doesn't change.
    pub fn check(&self) -> Result<(), String> {
        let sum = (0..VMS).fold(Part::default(), |sum, vm| {
            sum.plus(self.holders[vm].clone().part(self.local(vm)))
        });
        if !sum.fits(self.in_force) {
            return Err(format!("parts {sum:?} exceed {:?}", self.in_force));
        }
        let spendable: u64 = (0..VMS).map(|vm| self.spendable(vm)).sum();
        if spendable > self.in_force.burst {
            return Err(format!("{spendable} spendable of {:?}", self.in_force));
        }
        if self.min_level < 0 {
            return Err(format!("a window exceeds the bound by {}", -self.min_level));
        }
        Ok(())
    }
}
