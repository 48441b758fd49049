//! Store, lease row of the granter, restarts and faults of the simulated fleet.

use super::{DEMAND_CYCLE, Event, FAULT_INTERVAL, Fleet, VMS, data_centre};
use crate::experiment::limits::Plan;
use rand::RngExt;
use std::time::{Duration, Instant};
use steering::limits::{Floors, Granter, TOKEN};

/// Extra time before another VM takes the lease row, which covers drift of the holder's clock.
const LEASE_GRACE: Duration = Duration::from_millis(100);
const LEASE_INTERVAL: Duration = Duration::from_millis(500);
const LEASE_TERM: Duration = Duration::from_secs(3);
/// Period of faults; each starts with a time without faults.
const FAULT_PERIOD: Duration = Duration::from_secs(20);
const CALM_TIME: Duration = Duration::from_secs(8);

impl Fleet {
    pub(super) fn reaches_store(&self, vm: usize) -> bool {
        self.store_up && !self.cut[data_centre(vm)]
    }

    pub(super) fn is_running(&self, vm: usize, now: Instant) -> bool {
        self.nodes[vm].alive && now >= self.nodes[vm].paused_until && self.reaches_store(vm)
    }

    /// Extends the lease row `granter/<shard>`, or gives it to another VM once it has expired.
    pub(super) fn lease(&mut self, now: Instant) {
        self.agenda.after(LEASE_INTERVAL, Event::Lease);
        let granting = self.nodes[self.granter_vm].granter.is_some();
        if granting && self.is_running(self.granter_vm, now) && now < self.lease_until {
            let until = self.local_time(self.granter_vm, now) + LEASE_TERM;
            if let Some(granter) = &mut self.nodes[self.granter_vm].granter {
                granter.extend(until);
                Self::share_floors(&mut self.floors, granter, until - LEASE_TERM);
            }
            self.lease_until = now + LEASE_TERM + LEASE_GRACE;
        } else if now >= self.lease_until {
            let vm = self.rng.random_range(0..VMS);
            if self.is_running(vm, now) {
                let local = self.local_time(vm, now);
                let Plan {
                    settings, limit, ..
                } = self.plan;
                self.nodes[vm].granter =
                    Some(Granter::new(settings, limit, 1, local + LEASE_TERM, local));
                self.granter_vm = vm;
                self.lease_until = now + LEASE_TERM + LEASE_GRACE;
            }
        }
    }

    /// Adds unclaimed floors to the pool and takes one back when none is free.
    pub(super) fn share_floors(floors: &mut Floors, granter: &mut Granter, local: Instant) {
        if floors.free() > 1 {
            floors.pool(1);
        }
        let short = floors.free() == 0 && floors.pooled() > 0;
        granter.set_pooled(floors.pooled() - usize::from(short), local);
        if short && granter.fits(local) {
            floors.unpool();
        }
    }

    pub(super) fn restart(&mut self, vm: usize, now: Instant) {
        let node = &mut self.nodes[vm];
        (node.alive, node.has_floor, node.paused_until) = (true, false, now);
        let incarnation = self.rng.random();
        let local = self.local_time(vm, now);
        self.nodes[vm].holder = Self::holder(&self.plan, vm, incarnation, local);
        self.nodes[vm].incarnation = incarnation;
    }

    pub(super) fn send_burst(&mut self, now: Instant) {
        self.agenda.after(DEMAND_CYCLE, Event::Burst);
        for _ in 0..self.plan.limit.burst / TOKEN {
            for vm in 0..VMS {
                let shared = self.shared.admit(TOKEN, now);
                self.arrive_or_defer(vm, shared, now);
            }
        }
    }

    pub(super) fn fault(&mut self, now: Instant) {
        self.agenda.after(FAULT_INTERVAL, Event::Fault);
        // Without faults, lost capacity is recovered, so that the next faults affect all of it.
        if now.duration_since(self.origin).as_secs() % FAULT_PERIOD.as_secs() < CALM_TIME.as_secs()
        {
            return;
        }
        let vm = self.rng.random_range(0..VMS);
        let length = Duration::from_millis(self.rng.random_range(50..5000));
        match self.rng.random_range(0..10) {
            0..4 => {
                self.outcome.faults[0] += 1;
                let node = &mut self.nodes[vm];
                (node.alive, node.granter) = (false, None);
                node.waiting.clear();
                self.agenda.after(length / 4, Event::Restart(vm));
            }
            4..8 => {
                self.outcome.faults[1] += 1;
                self.nodes[vm].paused_until = now + length;
            }
            8 => {
                self.outcome.faults[2] += 1;
                self.store_up = false;
                self.agenda.after(length, Event::Store(true));
            }
            _ => {
                self.outcome.faults[3] += 1;
                self.cut[data_centre(vm)] = true;
                self.agenda
                    .after(length, Event::Cut(data_centre(vm), false));
            }
        }
    }
}
