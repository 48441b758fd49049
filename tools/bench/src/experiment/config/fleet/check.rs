//! Schedule of faults, and checks.

use super::{FAULT_PERIOD, Fleet, PROPAGATION_TARGET};
use crate::experiment::config::{Fault, Method};
use std::time::Instant;
use steering::config::Mark;

impl Fleet {
    /// Checks, 4 s after a version was accepted or a key withdrawn, each VM that could receive it
    /// all the time. Other VMs are checked by the versions after the fault, which include it.
    pub(super) fn check(
        &mut self,
        version: u64,
        mark: Option<&Mark>,
        accepted: Instant,
        now: Instant,
    ) {
        for vm in 0..self.nodes.len() {
            let can_receive = |fleet: &Self, at| match (mark, fleet.setup.fault) {
                (Some(_), _) => fleet.reaches(vm, usize::try_from(version).unwrap_or(0), at),
                // The other half of the data centres relays versions.
                (None, Fault::StoreCut) => true,
                (None, _) => fleet.reaches_store(vm, at),
            };
            let in_reach = [accepted, accepted + PROPAGATION_TARGET / 2, now]
                .iter()
                .all(|at| can_receive(self, *at));
            let node = &self.nodes[vm];
            if !in_reach || node.started > accepted {
                continue;
            }
            match (mark, self.setup.method) {
                (Some(mark), _) => {
                    self.tally.marks_checked += 1;
                    self.tally.marks_late += u32::from(!node.replica.marks.contains(mark));
                }
                (None, Method::Gossip) => {
                    self.tally.checked += 1;
                    self.tally.late += u32::from(node.replica.tracker.version() < version);
                }
                (None, Method::EachPolls) => {
                    self.tally.checked += 1;
                    self.tally.late += u32::from(node.polled_version < version);
                }
            }
        }
    }

    pub(super) fn in_fault_period(&self, now: Instant) -> bool {
        (FAULT_PERIOD.0..FAULT_PERIOD.1).contains(&(now - self.start))
    }

    pub(super) fn reaches_store(&self, vm: usize, now: Instant) -> bool {
        let cut = match self.setup.fault {
            Fault::None | Fault::Restarts => false,
            Fault::StoreCut | Fault::Partition => self.nodes[vm].centre % 2 == 1,
            Fault::All => self.nodes[vm].centre % 2 == 1 || self.is_store_down(now),
            Fault::Outage => true,
        };
        !(cut && self.in_fault_period(now))
    }

    /// Returns whether the store is down for all VMs.
    pub(super) fn is_store_down(&self, now: Instant) -> bool {
        let half = now >= self.start + (FAULT_PERIOD.0 + FAULT_PERIOD.1) / 2;
        match self.setup.fault {
            Fault::Outage => self.in_fault_period(now),
            Fault::All => self.in_fault_period(now) && half,
            _ => false,
        }
    }

    /// Returns the version that a VM which starts now must serve: the latest one if it reaches
    /// the store, else the highest of the VMs that it reaches.
    pub(super) fn required_version(&self, vm: usize, now: Instant) -> u64 {
        if self.reaches_store(vm, now) && self.reaches_store(vm, now + PROPAGATION_TARGET) {
            return self.heads.len() as u64;
        }
        let peers =
            (0..self.nodes.len()).filter(|peer| *peer != vm && self.reaches(vm, *peer, now));
        peers
            .map(|peer| self.nodes[peer].replica.tracker.version())
            .max()
            .unwrap_or(0)
    }

    pub(super) fn reaches(&self, one: usize, two: usize, now: Instant) -> bool {
        let apart = self.nodes[one].centre % 2 != self.nodes[two].centre % 2;
        !(apart
            && matches!(self.setup.fault, Fault::Partition | Fault::All)
            && self.in_fault_period(now))
    }
}
