//! Usage reports: counts this VM's sends, exchanges counts and clocks with other VMs, and reports
//! to the platform where this VM is the holder.

mod exchange;
mod report;
mod rows;

pub use exchange::{PATH, answer, catch_up};
pub use report::run;

use crate::settings;
use base::id::{Incarnation, Workspace};
use base::sync::lock;
use peers::report::{Report, Usage as Part};
use rustix::time::{ClockId, clock_gettime};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, SystemTime};
use steering::usage::{
    self, Boot, Clock, Count, Counts, Ledger, Progress, Settings, Share, Source, Tally, Window,
};

/// Minimum time between two reports of a VM with its counts.
const SHARE_INTERVAL: Duration = Duration::from_secs(1);
/// Windows whose counts are reported.
const SHARED_WINDOWS: u64 = 3;
/// Most workspaces in one report, at about 20 bytes each; a VM with more takes turns.
const MAX_SHARES: usize = 600;

/// Returns the time since boot, suspension included.
pub fn boot() -> Boot {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or_default())
}

/// Returns the wall clock in milliseconds since 1970.
fn wall_ms() -> i64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| {
        i64::try_from(since.as_millis()).unwrap_or(i64::MAX)
    })
}

#[derive(Debug, Default)]
struct State {
    clock: Clock,
    tally: Tally,
    ledger: Ledger,
    progress: Progress,
    /// When the counts were last reported, and the number of the workspace to begin with next.
    shared_at: Option<Boot>,
    next_share: usize,
    /// Requests that were reported after their window was fixed.
    late: u64,
}

/// State of the usage reports on one VM.
#[derive(Debug)]
pub struct Usage {
    address: SocketAddr,
    settings: Settings,
    incarnation: Incarnation,
    state: Mutex<State>,
}

impl Usage {
    /// Returns the state at the start of a process; none if the deployment has no usage reports.
    pub fn new(settings: Option<&settings::Usage>, incarnation: Incarnation) -> Option<Self> {
        let settings = settings?;
        Some(Self {
            address: settings.address,
            settings: settings.times()?,
            incarnation,
            state: Mutex::default(),
        })
    }

    /// Counts a send of a workspace's request.
    pub fn count(&self, workspace: &str) -> Count {
        let now = boot();
        let mut state = lock(&self.state);
        let window = self.window(&state.clock, now);
        state.tally.count(workspace, window, now)
    }

    /// Takes back a send that the server did not run.
    pub fn revert(&self, workspace: &str, count: Count) {
        lock(&self.state).tally.revert(workspace, count);
    }

    /// Returns the requests that were reported too late since the last call. They are dropped.
    fn take_late(&self) -> u64 {
        std::mem::take(&mut lock(&self.state).late)
    }

    /// Returns how far the reports have come.
    pub fn progress(&self) -> Progress {
        lock(&self.state).progress.clone()
    }

    fn window(&self, clock: &Clock, at: Boot) -> Option<Window> {
        clock
            .true_ms(at)
            .map(|millis| self.settings.window_at(millis))
    }

    /// Returns true time in milliseconds since 1970; none before it can be estimated.
    fn true_ms(&self, now: Boot) -> Option<u64> {
        lock(&self.state).clock.true_ms(now)
    }

    /// Updates the estimate of true time, and drops old counts.
    fn update(&self, members: usize) {
        let (wall, now) = (wall_ms(), boot());
        let mut state = lock(&self.state);
        let State {
            clock,
            tally,
            ledger,
            ..
        } = &mut *state;
        let was_known = clock.true_ms(now).is_some();
        clock.update(wall, members, now);
        if let Some(true_ms) = clock.true_ms(now) {
            if !was_known {
                log::info!(
                    "event=usage-clock true_ms={true_ms} ahead_ms={}",
                    wall - i64::try_from(true_ms).unwrap_or(i64::MAX)
                );
            }
            let current = self.settings.window_at(true_ms);
            tally.update(current, |at| self.window(clock, at));
            ledger.expire(current);
        }
    }

    /// Returns this VM's part of a report. While it leaves, each one has its counts.
    pub fn part(&self, is_leaving: bool) -> Part {
        let now = boot();
        let mut state = lock(&self.state);
        let newest = self.window(&state.clock, now).unwrap_or_default();
        let is_due = |at: Boot| is_leaving || now.saturating_sub(at) >= SHARE_INTERVAL;
        let shares = match state.shared_at.is_none_or(is_due) && newest > 0 {
            true => {
                state.shared_at = Some(now);
                next_shares(&mut state, newest)
            }
            false => Vec::new(),
        };
        Part {
            clock_ms: wall_ms(),
            ahead_ms: Vec::new(),
            progress: state.progress.clone(),
            newest,
            shares,
        }
    }

    /// Returns the part of this data centre's report to others.
    pub fn data_centre_part(&self) -> Part {
        let (now, clock_ms) = (boot(), wall_ms());
        let state = lock(&self.state);
        let ahead = state.clock.local_readings(now);
        let ahead = ahead.map(|wall| wall.saturating_sub(clock_ms));
        Part {
            clock_ms,
            ahead_ms: ahead
                .filter_map(|ahead| i32::try_from(ahead).ok())
                .collect(),
            progress: state.progress.clone(),
            newest: 0,
            shares: Vec::new(),
        }
    }

    /// Merges a report of another VM or data centre.
    pub fn merge_report(&self, report: &Report) {
        let Some(part) = &report.usage else {
            return;
        };
        let now = boot();
        let mut state = lock(&self.state);
        state.progress.merge(&part.progress);
        let source = match report.is_summary() {
            true => Source::DataCentre(report.data_centre.clone()),
            false => Source::Vm(report.vm.clone()),
        };
        state.clock.hear(source, part.clocks(), now);
        let shares = part.shares.iter().cloned();
        let shares: Vec<Share> = shares.map(|share| share.mirrored(part.newest)).collect();
        if !shares.is_empty() {
            let fixed = state.progress.fixed;
            let ledger = &mut state.ledger;
            let late = ledger.record(&report.vm, report.incarnation, &shares, fixed);
            state.late += late;
        }
    }

    /// Returns the counts of this data centre in a window.
    fn sum(&self, window: Window) -> Counts {
        let state = lock(&self.state);
        let mut sum = state.ledger.sum(window);
        if let Some(own) = state.tally.window(window) {
            usage::add(&mut sum, own);
        }
        sum
    }
}

/// Returns the totals of the workspaces whose turn it is, with windows as distances from `newest`.
fn next_shares(state: &mut State, newest: Window) -> Vec<Share> {
    let windows = || newest.saturating_sub(SHARED_WINDOWS - 1)..=newest;
    let names: Vec<Workspace> = state.tally.workspaces(windows());
    let first = match names.len() > MAX_SHARES {
        true => state.next_share % names.len(),
        false => 0,
    };
    state.next_share = first + MAX_SHARES;
    let turn = names.iter().cycle().skip(first);
    let turn = turn.take(names.len().min(MAX_SHARES));
    let tally = &state.tally;
    turn.map(|workspace| Share {
        workspace: workspace.clone(),
        counts: windows()
            .filter_map(|window| Some((window, *tally.window(window)?.get(workspace)?)))
            .collect(),
    })
    .map(|share| share.mirrored(newest))
    .collect()
}
