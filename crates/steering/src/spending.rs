//! Rate limits of workspaces over all VMs, enforced from reports of the tokens that VMs spent.
//!
//! The load to expect is a workspace that sends many times its rate to all VMs at once, and demand
//! that moves between VMs within seconds. Each VM spends from its local part of the limit, sized by
//! its share of the demand, and stops when the sum of all reports shows that the fleet's tokens are
//! spent. The parts bound the spending before reports arrive; the sum corrects errors of the parts.
//!
//! Beyond its part a VM spends only while the fleet has more tokens than the other VMs can spend
//! before their next reports arrive. The fleet's remaining tokens are divided again every second,
//! so that tokens unused by one VM are available to the others. A VM without reports from most
//! others spends only its part, and its part shrinks with the number of missing VMs, so that a
//! network partition can't double a limit.

use crate::affinity::digest;
use crate::warmth::{ShortDigest, short_digest};
use base::id::{Incarnation, Vm, Workspace};
use indexmap::IndexMap;
use std::time::{Duration, Instant};

/// Fraction of a limit that is divided evenly; the rest is divided by demand.
const EVEN_FRACTION: f64 = 0.3;
/// Time constant of the average of demand.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Time constant of the average of this VM's own demand that detects a sudden rise.
const RISE_TIME_CONSTANT: Duration = Duration::from_millis(300);
/// Longest delay of a report of spent tokens: two reporting periods to other regions.
const MAX_REPORT_DELAY: Duration = Duration::from_millis(800);
/// Minimum capacity of a part, so that two simultaneous requests to a VM with little demand are
/// both admitted. The operator tolerates 20 tokens beyond a limit.
const MIN_PART_TOKENS: f64 = 2.0;
/// Time between two divisions of the fleet's remaining tokens; exceeds the delay of reports.
const DIVISION_PERIOD: Duration = Duration::from_millis(1_000);
/// Time for which a changed total is reported at least, in case that reports are lost; longer than
/// the time without a report after which a data centre counts as down.
const CHANGE_REPORT_TIME: Duration = Duration::from_millis(2_000);
/// Time without a report of a workspace after which its demand at the reporting VM fades: the
/// period of reports to other data centres.
const MAX_DEMAND_AGE: Duration = Duration::from_millis(1_000);
/// Minimum wait that a refused caller is given.
const MIN_WAIT: Duration = Duration::from_millis(100);

base::value! {
    /// Limit of a workspace over all VMs.
    #[derive(Copy)]
    pub struct Limit {
        /// Requests a second.
        pub rate: f64,
        /// Maximum number of unspent requests that accumulate.
        pub burst: f64,
    }

    /// Reason why a workspace has no token to spend.
    #[derive(Copy)]
    pub struct Shortage {
        /// Time until a token is expected to be available.
        pub wait: Duration,
        /// Tokens that remain over all VMs; negative after late reports.
        pub fleet_tokens: f64,
        /// Tokens that remain of this VM's part.
        pub local_tokens: f64,
        /// Fraction of the limit that is this VM's part.
        pub share: f64,
    }

    /// Number of VMs, and of those whose reports arrive here, this one included.
    #[derive(Copy)]
    pub struct Coverage {
        /// VMs of the fleet.
        pub members: usize,
        /// VMs with a recent report.
        pub reporting: usize,
    }

    /// What a workspace could spend on a request.
    #[derive(Copy)]
    pub struct Preview {
        /// Tokens that would remain over all VMs after the request.
        pub fleet_tokens: f64,
        /// Tokens that would remain of this VM's part.
        pub local_tokens: f64,
        /// Fraction of the limit that is this VM's part.
        pub share: f64,
        /// Time until a token is expected, if the request would not be admitted.
        pub wait: Option<Duration>,
    }
}

base::message! {
    /// Requests of one workspace at one incarnation of a VM since its start.
    #[derive(Copy, Default)]
    pub struct Total {
        /// Requests admitted.
        pub spent: u64,
        /// Requests received, admitted or not.
        pub asked: u64,
    }

    /// Total of a workspace that changed lately.
    #[derive(Copy)]
    pub struct Change {
        /// Short digest of the workspace's name.
        pub workspace: ShortDigest,
        /// Total now.
        pub total: Total,
        /// Total before the reported changes, for receivers without an earlier total.
        pub previous: Total,
    }
}

/// Totals of a workspace at the starts of the last two report windows.
#[derive(Debug, Clone, Copy, Default)]
struct Window {
    older: Total,
    newer: Total,
}

impl Window {
    fn rotate(&mut self, total: Total) {
        self.older = std::mem::replace(&mut self.newer, total);
    }

    fn change(&self, workspace: ShortDigest, total: Total) -> Option<Change> {
        (total != self.older).then_some(Change {
            workspace,
            total,
            previous: self.older,
        })
    }
}

#[derive(Debug, Clone)]
struct Demand {
    rate: f64,
    counted: u64,
    updated_at: Instant,
}

impl Demand {
    fn new(now: Instant) -> Self {
        Self {
            rate: 0.0,
            counted: 0,
            updated_at: now,
        }
    }

    /// Updates the average with the total of requests received so far.
    fn update(&mut self, asked: u64, time_constant: Duration, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        if elapsed < 0.05 {
            return;
        }
        let sample = asked.saturating_sub(self.counted) as f64 / elapsed;
        let weight = 1.0 - (-elapsed / time_constant.as_secs_f64()).exp();
        self.rate += weight * (sample - self.rate);
        self.counted = asked;
        self.updated_at = now;
    }

    /// Returns the average; it fades while no report names the workspace.
    fn rate_at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at);
        let silent = age.saturating_sub(MAX_DEMAND_AGE).as_secs_f64();
        self.rate * (-silent / DEMAND_TIME_CONSTANT.as_secs_f64()).exp()
    }
}

#[derive(Debug, Clone)]
struct Account {
    total: Total,
    window: Window,
    demand: Demand,
    recent_demand: Demand,
    /// Tokens that remain over all VMs.
    fleet_tokens: f64,
    /// Tokens that remain of this VM's part.
    local_tokens: f64,
    refilled_at: Instant,
    divided_at: Instant,
    /// Totals of this VM and of the VMs of its data centre, which report to it directly.
    data_centre_total: Total,
    data_centre_window: Window,
    others: IndexMap<Vm, (Incarnation, Total, Demand)>,
}

impl Account {
    fn new(now: Instant) -> Self {
        Self {
            total: Total::default(),
            window: Window::default(),
            demand: Demand::new(now),
            recent_demand: Demand::new(now),
            fleet_tokens: 0.0,
            local_tokens: 0.0,
            refilled_at: now,
            divided_at: now,
            data_centre_total: Total::default(),
            data_centre_window: Window::default(),
            others: IndexMap::new(),
        }
    }

    /// Returns the demand at other VMs in requests a second.
    fn others_demand(&self, now: Instant) -> f64 {
        let others = self.others.values();
        others.map(|(_, _, demand)| demand.rate_at(now)).sum()
    }

    fn share(&self, coverage: &Coverage, now: Instant) -> f64 {
        let members = coverage.members.max(1) as f64;
        let reporting = coverage.reporting.max(1) as f64;
        let others = self.others_demand(now);
        let all = self.demand.rate + others;
        let demand_share = match all > 0.0 {
            true => self.demand.rate / all,
            false => 1.0 / reporting,
        };
        EVEN_FRACTION / members
            + (1.0 - EVEN_FRACTION) * demand_share * (reporting / members).min(1.0)
    }

    /// Returns the tokens that other VMs may spend before their reports arrive here. Callers choose
    /// VMs at random, so a rise of demand at this VM is taken as a rise at all VMs.
    fn reserved_for_others(&self, coverage: &Coverage, now: Instant) -> f64 {
        if coverage.reporting * 2 <= coverage.members {
            return f64::INFINITY;
        }
        let others = self.others_demand(now);
        // Two standard deviations below the average, so that two successive requests don't count as
        // a rise.
        let rise = self.recent_demand.rate;
        let lower_bound = rise - 2.0 * (rise / RISE_TIME_CONSTANT.as_secs_f64()).sqrt();
        let risen = lower_bound.max(0.0) * coverage.reporting.saturating_sub(1) as f64;
        others.max(risen) * MAX_REPORT_DELAY.as_secs_f64()
    }

    fn refill(&mut self, limit: &Limit, coverage: &Coverage, now: Instant) {
        let elapsed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.refilled_at = now;
        let share = self.share(coverage, now);
        let burst = (limit.burst * share).max(MIN_PART_TOKENS);
        self.local_tokens = (self.local_tokens + limit.rate * share * elapsed).min(burst);
        // VMs without reports spend their parts unseen.
        let reporting_fraction =
            (coverage.reporting as f64 / coverage.members.max(1) as f64).min(1.0);
        let max_fleet_tokens = (limit.burst * reporting_fraction).max(MIN_PART_TOKENS);
        self.fleet_tokens =
            (self.fleet_tokens + limit.rate * reporting_fraction * elapsed).min(max_fleet_tokens);
        if now.saturating_duration_since(self.divided_at) >= DIVISION_PERIOD {
            self.divided_at = now;
            self.local_tokens = self.local_tokens.max(self.fleet_tokens * share).min(burst);
        }
    }

    /// Spends one token, if one remains.
    fn admit(&mut self, limit: &Limit, coverage: &Coverage, now: Instant) -> Result<(), Shortage> {
        self.total.asked += 1;
        self.data_centre_total.asked += 1;
        self.demand
            .update(self.total.asked, DEMAND_TIME_CONSTANT, now);
        self.recent_demand
            .update(self.total.asked, RISE_TIME_CONSTANT, now);
        self.refill(limit, coverage, now);
        let may_exceed_part = self.local_tokens < 1.0
            && self.fleet_tokens - 1.0 >= self.reserved_for_others(coverage, now);
        if self.fleet_tokens >= 1.0 && (self.local_tokens >= 1.0 || may_exceed_part) {
            self.fleet_tokens -= 1.0;
            self.local_tokens = (self.local_tokens - 1.0).max(0.0);
            self.total.spent += 1;
            self.data_centre_total.spent += 1;
            return Ok(());
        }
        let rate = limit.rate.max(0.01);
        let fleet_wait = (1.0 - self.fleet_tokens) / rate;
        let share = self.share(coverage, now);
        let local_wait = (1.0 - self.local_tokens) / (rate * share).max(0.01);
        let wait = Duration::from_secs_f64(fleet_wait.max(local_wait).clamp(0.0, 60.0));
        Err(Shortage {
            wait: wait.max(MIN_WAIT),
            fleet_tokens: self.fleet_tokens,
            local_tokens: self.local_tokens,
            share,
        })
    }
}

/// Spending of all workspaces, as known to one VM.
///
/// A restarted VM starts with empty accounts: other VMs have already counted what it spent before.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    accounts: IndexMap<ShortDigest, Account>,
    /// VMs whose reports arrived.
    sources: IndexMap<Vm, Incarnation>,
    /// When the report windows began.
    window_start: Option<Instant>,
}

/// Source of a report of totals.
#[derive(Debug, Clone, Copy)]
pub struct Source<'a> {
    /// VM that reports.
    pub vm: &'a Vm,
    /// Incarnation of the VM.
    pub incarnation: Incarnation,
    /// Whether the VM is in this data centre and reports only its own totals, which are then added
    /// to the sum that is reported to other data centres.
    pub is_local: bool,
}

/// Returns the short digest by which reports name a workspace.
pub fn workspace_digest(workspace: &str) -> ShortDigest {
    short_digest(digest(workspace))
}

impl Ledger {
    /// Opens the account of a workspace, so that tokens accumulate before the first request.
    pub fn open(&mut self, workspace: &Workspace, now: Instant) {
        self.account(workspace_digest(workspace), now);
    }

    fn account(&mut self, workspace: ShortDigest, now: Instant) -> &mut Account {
        let new = || Account::new(now);
        self.accounts.entry(workspace).or_insert_with(new)
    }

    /// Spends one token of a workspace.
    ///
    /// # Errors
    ///
    /// Fails if none remains over all VMs, or this VM's part is spent and the tokens beyond it are
    /// reserved for other VMs.
    pub fn admit(
        &mut self,
        workspace: &Workspace,
        limit: &Limit,
        coverage: &Coverage,
        now: Instant,
    ) -> Result<(), Shortage> {
        let account = self.account(workspace_digest(workspace), now);
        account.admit(limit, coverage, now)
    }

    /// Returns what [`Self::admit`] would do with a request, without spending a token.
    pub fn preview(
        &self,
        workspace: &str,
        limit: &Limit,
        coverage: &Coverage,
        now: Instant,
    ) -> Preview {
        let known = self.accounts.get(&workspace_digest(workspace)).cloned();
        let mut account = known.unwrap_or_else(|| Account::new(now));
        let admitted = account.admit(limit, coverage, now);
        Preview {
            fleet_tokens: account.fleet_tokens,
            local_tokens: account.local_tokens,
            share: account.share(coverage, now),
            wait: admitted.err().map(|shortage| shortage.wait),
        }
    }

    /// Refunds the token of an admitted request that certainly did not run.
    ///
    /// VMs that have already received a report of the token aren't corrected: they count too much,
    /// which never exceeds the limit.
    pub fn refund(&mut self, workspace: &Workspace) {
        if let Some(account) = self.accounts.get_mut(&workspace_digest(workspace)) {
            account.fleet_tokens += 1.0;
            account.local_tokens += 1.0;
            account.total.spent = account.total.spent.saturating_sub(1);
            account.data_centre_total.spent = account.data_centre_total.spent.saturating_sub(1);
        }
    }

    /// Returns the totals of this VM that changed lately, for its reports.
    pub fn changes(&mut self, now: Instant) -> Vec<Change> {
        self.rotate_windows(now);
        let accounts = self.accounts.iter();
        accounts
            .filter_map(|(workspace, account)| account.window.change(*workspace, account.total))
            .collect()
    }

    /// Returns the same for the sums of this VM and those of its data centre, for reports to other
    /// data centres.
    pub fn data_centre_changes(&mut self, now: Instant) -> Vec<Change> {
        self.rotate_windows(now);
        let accounts = self.accounts.iter();
        accounts
            .filter_map(|(workspace, account)| {
                let window = account.data_centre_window;
                window.change(*workspace, account.data_centre_total)
            })
            .collect()
    }

    fn rotate_windows(&mut self, now: Instant) {
        let is_over = |start| now.saturating_duration_since(start) >= CHANGE_REPORT_TIME;
        if !self.window_start.is_none_or(is_over) {
            return;
        }
        self.window_start = Some(now);
        for account in self.accounts.values_mut() {
            account.window.rotate(account.total);
            account.data_centre_window.rotate(account.data_centre_total);
        }
    }

    /// Applies a report. The first one of an incarnation only sets the starting point: tokens spent
    /// before this VM received reports may not be recent.
    pub fn record_report(&mut self, source: Source<'_>, changes: &[Change], now: Instant) {
        let last = self.sources.insert(source.vm.clone(), source.incarnation);
        let was_heard = last == Some(source.incarnation);
        for change in changes {
            let total = change.total;
            let account = self.account(change.workspace, now);
            let known = account.others.get(source.vm);
            if known.is_none_or(|(incarnation, _, _)| *incarnation != source.incarnation) {
                let start = if was_heard { change.previous } else { total };
                let mut demand = Demand::new(now);
                demand.counted = start.asked;
                let entry = (source.incarnation, start, demand);
                account.others.insert(source.vm.clone(), entry);
            }
            let Some((_, known, demand)) = account.others.get_mut(source.vm) else {
                continue;
            };
            let spent = total.spent.saturating_sub(known.spent);
            account.fleet_tokens -= spent as f64;
            if source.is_local {
                account.data_centre_total.spent += spent;
                account.data_centre_total.asked += total.asked.saturating_sub(known.asked);
            }
            demand.update(total.asked, DEMAND_TIME_CONSTANT, now);
            *known = total;
        }
    }

    /// Removes a source that no longer reports; its demand has moved to other VMs.
    pub fn forget(&mut self, vm: &str) {
        if self.sources.shift_remove(vm).is_none() {
            return;
        }
        for account in self.accounts.values_mut() {
            account.others.shift_remove(vm);
        }
    }
}
