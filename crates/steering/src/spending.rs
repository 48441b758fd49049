//! Rate and burst of workspaces over all VMs, from what VMs report that they spent.
//!
//! Load: a workspace that sends many times its rate to all VMs at once, and loads that move
//! between VMs within seconds. Each VM spends from a part of the limit that follows its share of
//! what callers ask, and stops when the sum of all reports says that the whole is spent. The parts
//! bound what is spent before a report arrives; the sum corrects what the parts got wrong. A VM
//! counts those it does not hear as spending their even parts, so a cut cannot double a limit.

use base::id::{Incarnation, Vm, Workspace};
use indexmap::IndexMap;
use std::time::{Duration, Instant};

/// Part of a limit that is divided evenly; the rest follows demand.
const EVEN: f64 = 0.3;
/// Time over which demand is averaged.
const DEMAND_TIME: Duration = Duration::from_secs(2);
/// Least tokens that a part can hold, so that a VM with little demand can admit a request at all.
const LEAST_TOKENS: f64 = 1.0;
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

    /// Takes in the total asked so far.
    fn update(&mut self, asked: u64, now: Instant) {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        if elapsed < 0.05 {
            return;
        }
        let sample = asked.saturating_sub(self.counted) as f64 / elapsed;
        let weight = 1.0 - (-elapsed / DEMAND_TIME.as_secs_f64()).exp();
        self.per_second += weight * (sample - self.per_second);
        self.counted = asked;
        self.at = now;
    }
}

#[derive(Debug, Clone)]
struct Account {
    total: Total,
    demand: Demand,
    /// What all VMs together may still spend.
    whole: f64,
    /// What this VM may still spend of its part.
    part: f64,
    filled: Instant,
    others: IndexMap<Vm, (Incarnation, Total, Demand)>,
}

impl Account {
    fn new(now: Instant) -> Self {
        Self {
            total: Total::default(),
            demand: Demand::new(now),
            whole: 0.0,
            part: 0.0,
            filled: now,
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

    fn fill(&mut self, limit: &Limit, reach: &Reach, now: Instant) {
        let elapsed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.filled = now;
        let share = self.share(reach);
        let burst = (limit.burst * share).max(LEAST_TOKENS);
        self.part = (self.part + limit.rate * share * elapsed).min(burst);
        self.whole = (self.whole + limit.rate * elapsed).min(limit.burst.max(LEAST_TOKENS));
    }
}

/// Spending of all workspaces, as one VM knows it.
///
/// A restarted VM starts with empty accounts: what it spent before is in the others' reports.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    accounts: IndexMap<Workspace, Account>,
}

impl Ledger {
    /// Starts the account of a workspace, so that it fills before the first request.
    pub fn open(&mut self, workspace: &Workspace, now: Instant) {
        if !self.accounts.contains_key(workspace) {
            self.accounts.insert(workspace.clone(), Account::new(now));
        }
    }

    /// Spends one token of a workspace.
    ///
    /// # Errors
    ///
    /// Returns the time after which a token is to be expected, if there is none.
    pub fn admit(
        &mut self,
        workspace: &Workspace,
        limit: &Limit,
        reach: &Reach,
        now: Instant,
    ) -> Result<(), Duration> {
        self.open(workspace, now);
        let Some(account) = self.accounts.get_mut(workspace) else {
            return Ok(());
        };
        account.total.asked += 1;
        account.demand.update(account.total.asked, now);
        account.fill(limit, reach, now);
        if account.whole >= 1.0 && account.part >= 1.0 {
            account.whole -= 1.0;
            account.part -= 1.0;
            account.total.spent += 1;
            return Ok(());
        }
        let rate = limit.rate.max(0.01);
        let whole = (1.0 - account.whole) / rate;
        let part = (1.0 - account.part) / (rate * account.share(reach)).max(0.01);
        let wait = Duration::from_secs_f64(whole.max(part).clamp(0.0, 60.0));
        Err(wait.max(LEAST_WAIT))
    }

    /// Returns what this VM did, for its reports.
    pub fn totals(&self) -> impl Iterator<Item = (&Workspace, Total)> {
        self.accounts.iter().map(|(name, a)| (name, a.total))
    }

    /// Takes in the report of another VM. The first report of a run only sets its starting point:
    /// what was spent before this VM listened is not known to be recent.
    pub fn reported(
        &mut self,
        vm: &Vm,
        incarnation: Incarnation,
        workspace: &Workspace,
        total: Total,
        now: Instant,
    ) {
        self.open(workspace, now);
        let Some(account) = self.accounts.get_mut(workspace) else {
            return;
        };
        match account.others.get_mut(vm) {
            Some((run, known, demand)) if *run == incarnation => {
                let spent = total.spent.saturating_sub(known.spent);
                account.whole -= spent as f64;
                demand.update(total.asked, now);
                *known = total;
            }
            _ => {
                let mut demand = Demand::new(now);
                demand.counted = total.asked;
                let entry = (incarnation, total, demand);
                account.others.insert(vm.clone(), entry);
            }
        }
    }

    /// Forgets a VM that left or is no longer heard; its demand has moved elsewhere.
    pub fn forget(&mut self, vm: &str) {
        for account in self.accounts.values_mut() {
            account.others.shift_remove(vm);
        }
    }
}
