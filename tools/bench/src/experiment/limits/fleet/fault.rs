//! Store, lease row of the granter, restarts and faults of the simulated fleet.

use super::{CYCLE, Event, FAULT_PAUSE, Fleet, VMS, centre};
use crate::experiment::limits::Plan;
use rand::RngExt;
use std::time::{Duration, Instant};
use steering::limits::{Floors, Granter, TOKEN};

/// Extra time that a rival waits for the lease row, for drift of the holder's clock.
const LEASE_GRACE: Duration = Duration::from_millis(100);
const LEASE_TICK: Duration = Duration::from_millis(500);
const LEASE: Duration = Duration::from_secs(3);
/// Faults come in storms: each period starts with a calm time.
const STORM: Duration = Duration::from_secs(20);
const CALM: Duration = Duration::from_secs(8);

impl Fleet {
    pub(super) fn reaches_store(&self, vm: usize) -> bool {
        self.store && !self.cut[centre(vm)]
    }

    pub(super) fn runs(&self, vm: usize, now: Instant) -> bool {
        self.nodes[vm].alive && now >= self.nodes[vm].paused && self.reaches_store(vm)
    }

    /// Extends the lease row `granter/<shard>`, or passes it on once it has run out.
    pub(super) fn lease(&mut self, now: Instant) {
        self.agenda.after(LEASE_TICK, Event::Lease);
        let granting = self.nodes[self.host].granter.is_some();
        if granting && self.runs(self.host, now) && now < self.row_until {
            let until = self.local(self.host, now) + LEASE;
            if let Some(granter) = &mut self.nodes[self.host].granter {
                granter.extend(until);
                Self::share_floors(&mut self.floors, granter, until - LEASE);
            }
            self.row_until = now + LEASE + LEASE_GRACE;
        } else if now >= self.row_until {
            let vm = self.rng.random_range(0..VMS);
            if self.runs(vm, now) {
                let local = self.local(vm, now);
                let Plan {
                    settings, limit, ..
                } = self.plan;
                self.nodes[vm].granter =
                    Some(Granter::new(settings, limit, 1, local + LEASE, local));
                self.host = vm;
                self.row_until = now + LEASE + LEASE_GRACE;
            }
        }
    }

    /// Gives unclaimed floors to the pool and takes one back when none is free.
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
        (node.alive, node.floor, node.paused) = (true, false, now);
        let incarnation = self.rng.random();
        let local = self.local(vm, now);
        self.nodes[vm].holder = Self::holder(&self.plan, vm, incarnation, local);
        self.nodes[vm].incarnation = incarnation;
    }

    pub(super) fn volley(&mut self, now: Instant) {
        self.agenda.after(CYCLE, Event::Volley);
        for _ in 0..self.plan.limit.burst / TOKEN {
            for vm in 0..VMS {
                let shared = self.shared.admit(TOKEN, now);
                self.arrive_or_defer(vm, shared, now);
            }
        }
    }

    pub(super) fn fault(&mut self, now: Instant) {
        self.agenda.after(FAULT_PAUSE, Event::Fault);
        // Calm times let lost capacity come back, so that the next faults meet all of it.
        if now.duration_since(self.origin).as_secs() % STORM.as_secs() < CALM.as_secs() {
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
                self.nodes[vm].paused = now + length;
            }
            8 => {
                self.outcome.faults[2] += 1;
                self.store = false;
                self.agenda.after(length, Event::Store(true));
            }
            _ => {
                self.outcome.faults[3] += 1;
                self.cut[centre(vm)] = true;
                self.agenda.after(length, Event::Cut(centre(vm), false));
            }
        }
    }
}
