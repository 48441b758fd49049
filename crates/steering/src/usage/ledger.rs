//! Counts that the VMs of a data centre have reported to each other.

use super::{Counts, KEPT_WINDOWS, Window};
use base::id::{Incarnation, Vm, Workspace};
use indexmap::IndexMap;

base::message! {
    /// Counts of one workspace in the report of one VM, or of a run in the answer to a VM that
    /// starts.
    pub struct Share {
        /// Workspace.
        pub workspace: Workspace,
        /// Totals by window.
        pub counts: Vec<(Window, u64)>,
    }
}

impl Share {
    /// Turns windows into their distances from `newest`, which take fewer bytes, and back.
    pub fn mirrored(mut self, newest: Window) -> Self {
        let windows = self.counts.iter_mut().map(|(window, _)| window);
        windows.for_each(|window| *window = newest.saturating_sub(*window));
        self
    }
}

/// Totals of the other VMs of this data centre, kept after they stop.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    runs: IndexMap<(Vm, Incarnation), IndexMap<Window, Counts>>,
}

impl Ledger {
    /// Records the shares of a newer report; returns how many requests it adds to windows up to
    /// `fixed`, whose reports no longer change.
    pub fn record(
        &mut self,
        vm: &Vm,
        incarnation: Incarnation,
        shares: &[Share],
        fixed: Window,
    ) -> u64 {
        let windows = self.runs.entry((vm.clone(), incarnation)).or_default();
        let mut late = 0;
        for (workspace, window, count) in entries(shares) {
            let counts = windows.entry(window).or_default();
            let known = counts.insert(workspace.clone(), count).unwrap_or_default();
            if window <= fixed {
                late += count.saturating_sub(known);
            }
        }
        late
    }

    /// Fills in shares of a run that another VM holds; what this VM has heard itself is as new.
    pub fn fill(&mut self, vm: &Vm, incarnation: Incarnation, shares: &[Share]) {
        let windows = self.runs.entry((vm.clone(), incarnation)).or_default();
        for (workspace, window, count) in entries(shares) {
            let counts = windows.entry(window).or_default();
            counts.entry(workspace.clone()).or_insert(count);
        }
    }

    /// Returns the counts of a window over all runs.
    pub fn sum(&self, window: Window) -> Counts {
        let mut sum = Counts::new();
        let runs = self.runs.values();
        runs.filter_map(|windows| windows.get(&window))
            .for_each(|counts| super::add(&mut sum, counts));
        sum
    }

    /// Returns all runs with their shares.
    pub fn runs(&self) -> Vec<(Vm, Incarnation, Vec<Share>)> {
        let runs = self.runs.iter().map(|((vm, incarnation), windows)| {
            let shares = windows.iter().flat_map(|(window, counts)| {
                counts.iter().map(|(workspace, count)| Share {
                    workspace: workspace.clone(),
                    counts: vec![(*window, *count)],
                })
            });
            (vm.clone(), *incarnation, shares.collect())
        });
        runs.collect()
    }

    /// Drops old windows.
    pub fn expire(&mut self, current: Window) {
        for windows in self.runs.values_mut() {
            windows.retain(|window, _| window + KEPT_WINDOWS > current);
        }
        self.runs.retain(|_, windows| !windows.is_empty());
    }
}

fn entries(shares: &[Share]) -> impl Iterator<Item = (&Workspace, Window, u64)> {
    shares.iter().flat_map(|share| {
        let counts = share.counts.iter();
        counts.map(|(window, count)| (&share.workspace, *window, *count))
    })
}
