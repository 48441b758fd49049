//! Max-min fairness between the workspaces of a kind that is thinned.

use base::id::Workspace;
use indexmap::IndexMap;
use std::time::{Duration, Instant};

/// Maximum number of workspaces that are told apart; the others share one entry.
const MAX_WORKSPACES: usize = 64;
/// Name of the entry that is shared; no workspace has an empty name.
const OTHERS: &str = "";
/// Time constant of the offered requests.
const TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Interval after which the level is computed again and idle workspaces are removed.
const INTERVAL: Duration = Duration::from_millis(100);
/// Decayed requests below which a workspace is idle.
const IDLE: f64 = 0.05;

#[derive(Debug, Clone)]
struct Entry {
    /// Decayed count of offered requests.
    offered: f64,
    /// Part of a request that may be admitted; the next one is, when it reaches 1.
    credit: f64,
}

impl Default for Entry {
    fn default() -> Self {
        Self {
            offered: 0.0,
            credit: 1.0,
        }
    }
}

/// Active workspaces of one kind.
#[derive(Debug, Clone)]
pub(super) struct Workspaces {
    entries: IndexMap<Workspace, Entry>,
    /// Decayed requests that a workspace may offer without being thinned.
    level: f64,
    updated_at: Instant,
}

impl Workspaces {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            entries: IndexMap::new(),
            level: f64::INFINITY,
            updated_at: now,
        }
    }

    /// Returns whether a request is admitted while `share` of all requests are. Workspaces that
    /// offer less than the common level are not thinned; the others are thinned to it.
    pub(super) fn admit(&mut self, workspace: &str, share: f64, now: Instant) -> bool {
        if now.saturating_duration_since(self.updated_at) >= INTERVAL {
            self.update(share, now);
        }
        let level = self.level;
        let entry = self.entry(workspace);
        entry.offered += 1.0;
        if share >= 1.0 {
            entry.credit = 1.0;
            return true;
        }
        entry.credit += (level / entry.offered).min(1.0);
        let is_admitted = entry.credit >= 1.0;
        entry.credit -= if is_admitted { 1.0 } else { 0.0 };
        is_admitted
    }

    fn entry(&mut self, workspace: &str) -> &mut Entry {
        let is_listed = self.entries.contains_key(workspace);
        let name = match is_listed || self.entries.len() < MAX_WORKSPACES {
            true => workspace,
            false => OTHERS,
        };
        if !self.entries.contains_key(name) {
            self.entries.insert(name.into(), Entry::default());
        }
        &mut self.entries[name]
    }

    /// Decays the counts and fills the level until `share` of the offered requests are admitted.
    fn update(&mut self, share: f64, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at);
        self.updated_at = now;
        let decay = (-elapsed.div_duration_f64(TIME_CONSTANT)).exp();
        self.entries.retain(|_, entry| {
            entry.offered *= decay;
            entry.offered >= IDLE
        });
        let mut offered: Vec<f64> = self.entries.values().map(|entry| entry.offered).collect();
        offered.sort_by(f64::total_cmp);
        let mut room = share * offered.iter().sum::<f64>();
        self.level = f64::INFINITY;
        for (index, count) in offered.iter().enumerate() {
            let equal = room / (offered.len() - index) as f64;
            if *count > equal {
                self.level = equal;
                break;
            }
            room -= count;
        }
    }
}
