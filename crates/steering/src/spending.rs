//! Rate and burst of workspaces over all VMs, from what VMs report that they spent.
//!
//! Load: a workspace that sends many times its rate to all VMs at once, and loads that move
//! between VMs within seconds. Each VM spends from a part of the limit that follows its share of
//! what callers ask, and stops when the sum of all reports says that the whole is spent. The parts
//! bound what is spent before a report arrives; the sum corrects what the parts got wrong. Beyond
//! its part a VM spends only while the whole holds more than the others can spend before their
//! next reports arrive; and what the whole holds is divided anew every second, so that tokens which
//! one VM did not need are not lost to the others. A VM that does not hear most others keeps to its part, and its part shrinks
//! with the VMs it does not hear, so a cut cannot double a limit.

use crate::affinity::digest;
use crate::warmth::{ShortDigest, short_digest};
use base::id::{Incarnation, Vm, Workspace};
use indexmap::IndexMap;
use std::time::{Duration, Instant};

/// Part of a limit that is divided evenly; the rest follows demand.
const EVEN: f64 = 0.3;
/// Time over which demand is averaged.
const DEMAND_TIME: Duration = Duration::from_secs(2);
/// Time over which this VM's own demand is averaged to notice a sudden rise.
const RISE_TIME: Duration = Duration::from_millis(300);
/// Longest time until a report of what was spent arrives: two periods to other regions.
const REPORT_TIME: Duration = Duration::from_millis(800);
/// Least tokens that a part can hold, so that two requests that come together to a VM with little
/// demand are both admitted. The operator tolerates 20 tokens beyond a limit.
const LEAST_TOKENS: f64 = 2.0;
/// Time between two divisions of what the whole holds; longer than reports take.
const DIVIDE_PERIOD: Duration = Duration::from_millis(1_000);
/// Least wait told to a refused caller.
const LEAST_WAIT: Duration = Duration::from_millis(100);

base::value! {
    /// Limit of a workspace over all VMs.
    #[derive(Copy)]
    pub struct Limit {
        /// Requests a second.
        pub rate: f64,
        /// Requests that may be saved up.
        pub burst: f64,
    }

    /// Why a workspace may not spend now.
    #[derive(Copy)]
    pub struct Shortage {
        /// Time after which a token is to be expected.
        pub wait: Duration,
        /// Tokens that all VMs together may still spend; negative after late reports.
        pub whole: f64,
        /// Tokens that this VM may still spend of its part.
        pub part: f64,
        /// Part of the limit that this VM spends from.
        pub share: f64,
    }

    /// How many VMs there are and how many of them this one hears, itself included.
    #[derive(Copy)]
    pub struct Reach {
        /// VMs known.
        pub members: usize,
        /// VMs heard lately.
        pub heard: usize,
    }
}

base::message! {
    /// What one VM run did for one workspace since its start.
    #[derive(Copy, Default)]
    pub struct Total {
        /// Requests admitted.
        pub spent: u64,
        /// Requests asked for, admitted or not.
        pub asked: u64,
    }
}

#[derive(Debug, Clone)]
struct Demand {
    per_second: f64,
    counted: u64,
    at: Instant,
}

impl Demand {
    fn new(now: Instant) -> Self {
        Self {
            per_second: 0.0,
            counted: 0,
            at: now,
        }
    }

    /// Takes in the total asked so far, averaged over `time`.
    fn update(&mut self, asked: u64, time: Duration, now: Instant) {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        if elapsed < 0.05 {
            return;
        }
        let sample = asked.saturating_sub(self.counted) as f64 / elapsed;
        let weight = 1.0 - (-elapsed / time.as_secs_f64()).exp();
        self.per_second += weight * (sample - self.per_second);
        self.counted = asked;
        self.at = now;
    }
}

#[derive(Debug, Clone)]
struct Account {
    total: Total,
    demand: Demand,
    rise: Demand,
    /// What all VMs together may still spend.
    whole: f64,
    /// What this VM may still spend of its part.
    part: f64,
    filled: Instant,
    divided: Instant,
    /// Totals of this VM and of the VMs that report to it directly.
    near: Total,
    others: IndexMap<Vm, (Incarnation, Total, Demand)>,
}

impl Account {
    fn new(now: Instant) -> Self {
        Self {
            total: Total::default(),
            demand: Demand::new(now),
            rise: Demand::new(now),
            whole: 0.0,
            part: 0.0,
            filled: now,
            divided: now,
            near: Total::default(),
            others: IndexMap::new(),
        }
    }

    fn share(&self, reach: &Reach) -> f64 {
        let members = reach.members.max(1) as f64;
        let heard = reach.heard.max(1) as f64;
        let others: f64 = self.others.values().map(|(_, _, d)| d.per_second).sum();
        let all = self.demand.per_second + others;
        let followed = match all > 0.0 {
            true => self.demand.per_second / all,
            false => 1.0 / heard,
        };
        EVEN / members + (1.0 - EVEN) * followed * (heard / members).min(1.0)
    }

    /// Returns what the others may spend before this VM learns of it. Callers spread over VMs, so
    /// a rise that this VM sees is a rise at all.
    fn reserve(&self, reach: &Reach) -> f64 {
        if reach.heard * 2 <= reach.members {
            return f64::INFINITY;
        }
        let others: f64 = self.others.values().map(|(_, _, d)| d.per_second).sum();
        // Two standard deviations below the count, so that two requests in a row are not a rise.
        let rise = self.rise.per_second;
        let sure = rise - 2.0 * (rise / RISE_TIME.as_secs_f64()).sqrt();
        let risen = sure.max(0.0) * reach.heard.saturating_sub(1) as f64;
        others.max(risen) * REPORT_TIME.as_secs_f64()
    }

    fn fill(&mut self, limit: &Limit, reach: &Reach, now: Instant) {
        let elapsed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.filled = now;
        let share = self.share(reach);
        let burst = (limit.burst * share).max(LEAST_TOKENS);
        self.part = (self.part + limit.rate * share * elapsed).min(burst);
        // Those that are not heard spend their parts without telling.
        let told = (reach.heard as f64 / reach.members.max(1) as f64).min(1.0);
        let most = (limit.burst * told).max(LEAST_TOKENS);
        self.whole = (self.whole + limit.rate * told * elapsed).min(most);
        if now.saturating_duration_since(self.divided) >= DIVIDE_PERIOD {
            self.divided = now;
            self.part = self.part.max(self.whole * share).min(burst);
        }
    }
}

/// Spending of all workspaces, as one VM knows it.
///
/// A restarted VM starts with empty accounts: what it spent before is in the others' reports.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    accounts: IndexMap<ShortDigest, Account>,
}

/// Source of a report of totals.
#[derive(Debug, Clone, Copy)]
pub struct Source<'a> {
    /// VM that reports.
    pub vm: &'a Vm,
    /// Its run.
    pub incarnation: Incarnation,
    /// Whether it reports for itself to the VMs of its data centre, which sum it up for others.
    pub is_near: bool,
}

/// Returns the short digest by which reports name a workspace.
pub fn name(workspace: &str) -> ShortDigest {
    short_digest(digest(workspace))
}

impl Ledger {
    /// Starts the account of a workspace, so that it fills before the first request.
    pub fn open(&mut self, workspace: &Workspace, now: Instant) {
        self.account(name(workspace), now);
    }

    fn account(&mut self, workspace: ShortDigest, now: Instant) -> &mut Account {
        let new = || Account::new(now);
        self.accounts.entry(workspace).or_insert_with(new)
    }

    /// Spends one token of a workspace.
    ///
    /// # Errors
    ///
    /// Fails if there is none, or this VM's part is spent.
    pub fn admit(
        &mut self,
        workspace: &Workspace,
        limit: &Limit,
        reach: &Reach,
        now: Instant,
    ) -> Result<(), Shortage> {
        let account = self.account(name(workspace), now);
        account.total.asked += 1;
        account.near.asked += 1;
        account.demand.update(account.total.asked, DEMAND_TIME, now);
        account.rise.update(account.total.asked, RISE_TIME, now);
        account.fill(limit, reach, now);
        let is_beyond = account.part < 1.0 && account.whole - 1.0 >= account.reserve(reach);
        if account.whole >= 1.0 && (account.part >= 1.0 || is_beyond) {
            account.whole -= 1.0;
            account.part = (account.part - 1.0).max(0.0);
            account.total.spent += 1;
            account.near.spent += 1;
            return Ok(());
        }
        let rate = limit.rate.max(0.01);
        let whole = (1.0 - account.whole) / rate;
        let share = account.share(reach);
        let part = (1.0 - account.part) / (rate * share).max(0.01);
        let wait = Duration::from_secs_f64(whole.max(part).clamp(0.0, 60.0));
        Err(Shortage {
            wait: wait.max(LEAST_WAIT),
            whole: account.whole,
            part: account.part,
            share,
        })
    }

    /// Takes back that a token was spent, for an admitted request that surely did not run.
    ///
    /// VMs that heard of the spending meanwhile don't learn of this: they count too much, which keeps
    /// the limit.
    pub fn give_back(&mut self, workspace: &Workspace) {
        if let Some(account) = self.accounts.get_mut(&name(workspace)) {
            account.whole += 1.0;
            account.part += 1.0;
            account.total.spent = account.total.spent.saturating_sub(1);
            account.near.spent = account.near.spent.saturating_sub(1);
        }
    }

    /// Returns what this VM did, for its reports.
    pub fn totals(&self) -> impl Iterator<Item = (ShortDigest, Total)> {
        self.accounts.iter().map(|(name, a)| (*name, a.total))
    }

    /// Returns what this VM and those near it did, for the report of its data centre.
    pub fn near_totals(&self) -> impl Iterator<Item = (ShortDigest, Total)> {
        self.accounts.iter().map(|(name, a)| (*name, a.near))
    }

    /// Takes in a report. The first of a run only sets its starting point: what was spent before
    /// this VM listened is not known to be recent.
    pub fn reported(
        &mut self,
        source: Source<'_>,
        workspace: ShortDigest,
        total: Total,
        now: Instant,
    ) {
        let account = self.account(workspace, now);
        match account.others.get_mut(source.vm) {
            Some((run, known, demand)) if *run == source.incarnation => {
                let spent = total.spent.saturating_sub(known.spent);
                account.whole -= spent as f64;
                if source.is_near {
                    account.near.spent += spent;
                    account.near.asked += total.asked.saturating_sub(known.asked);
                }
                demand.update(total.asked, DEMAND_TIME, now);
                *known = total;
            }
            _ => {
                let mut demand = Demand::new(now);
                demand.counted = total.asked;
                let entry = (source.incarnation, total, demand);
                account.others.insert(source.vm.clone(), entry);
            }
        }
    }

    /// Forgets a source that is no longer heard; its demand has moved elsewhere.
    pub fn forget(&mut self, vm: &str) {
        for account in self.accounts.values_mut() {
            account.others.shift_remove(vm);
        }
    }
}
