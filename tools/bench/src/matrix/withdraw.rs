//! Withdrawal of a key at one VM, which spreads by gossip and is recorded in the table.

use super::{Fault, Injection, require};
use std::time::Instant;
use steering::config::{Mark, MarkSet, Replica};
use steering::keys::{Digest, Key, Pepper};

pub const STEPS: [&str; 4] = ["ask", "mark", "gossip", "record"];

pub fn exclusion_reason(fault: Fault) -> Option<&'static str> {
    match fault {
        Fault::BadVersion => Some("no request runs on a version"),
        Fault::HolderPaused => Some("a withdrawal needs no lease"),
        Fault::CrashingRequest | Fault::SilentConnection => Some("no backend server takes part"),
        _ => None,
    }
}

struct Simulation {
    mark: Mark,
    /// Two VMs of one data centre and one of another; the first receives the call.
    vms: [Replica; 3],
    /// Marks recorded in the table.
    recorded: MarkSet,
}

pub fn run(injection: &Injection) -> Result<(), Box<str>> {
    let mut simulation = Simulation::new();
    let mut confirmed = false;
    // The operator repeats a call that is not confirmed.
    for call in 0..2 {
        if !confirmed {
            confirmed = simulation.call(call, injection);
        }
    }
    require(confirmed, "a repeated call is confirmed")?;
    // Any VM may restart after the confirmation, also the one that received the call.
    simulation.vms[0] = Replica::new([], Instant::now());
    for _ in 0..3 {
        simulation.recover();
    }
    let known = simulation
        .vms
        .iter()
        .all(|vm| vm.marks.contains(&simulation.mark));
    require(
        known,
        "a confirmed withdrawal reaches every VM once it has a path",
    )
}

impl Simulation {
    fn new() -> Self {
        let now = Instant::now();
        let mark = Mark::Withdrawn(digest());
        Self {
            mark,
            vms: [(); 3].map(|()| Replica::new([], now)),
            recorded: MarkSet::default(),
        }
    }

    /// Runs one call; returns whether the operator gets a confirmation.
    fn call(&mut self, call: usize, injection: &Injection) -> bool {
        let hit = |step: usize, fault: Fault| call == 0 && injection.occurs_at(step, fault);
        let dies = |step: usize| call == 0 && injection.process_dies(step);
        let mut dead = dies(0) || dies(1);
        if !dead {
            self.vms[0].marks.add(self.mark.clone());
        }
        if hit(1, Fault::OperatorRace) || hit(0, Fault::OperatorRace) {
            self.vms[2].marks.add(self.mark.clone());
        }
        dead |= dies(2);
        if dead {
            self.vms[0] = Replica::new([], Instant::now());
            return false;
        }
        // In a partition the VM of the same data centre is reachable, the remote one is not.
        let remote_reachable = !hit(2, Fault::Partition);
        let marks_equal = self.gossip(0, 1) && (!remote_reachable || self.gossip(0, 2));
        if dies(3) {
            self.vms[0] = Replica::new([], Instant::now());
            return false;
        }
        let store_reachable = call > 0
            || !(injection.store_unreachable(3) || injection.occurs_at(3, Fault::Partition));
        if store_reachable {
            self.recorded.merge(&self.vms[0].marks);
        }
        // If the store's answer is lost, the withdrawal counts as not recorded.
        marks_equal || (store_reachable && !hit(3, Fault::AnswerLost))
    }

    /// Exchanges marks between two VMs; returns whether they are equal afterwards.
    fn gossip(&mut self, one: usize, two: usize) -> bool {
        let mut marks_equal = false;
        for _ in 0..2 {
            for (from, to) in [(one, two), (two, one)] {
                let delta = self.vms[from].delta_for(&self.vms[to].digest());
                marks_equal = self.vms[to].apply("peer", delta).marks_equal;
            }
        }
        marks_equal
    }

    /// Lets every VM read the table and gossip, as they do after the faults have ended.
    fn recover(&mut self) {
        for vm in &mut self.vms {
            vm.marks.merge(&self.recorded);
        }
        self.gossip(0, 1);
        self.gossip(1, 2);
    }
}

fn digest() -> Digest {
    use rand::SeedableRng;
    let key = Key::generate(&mut rand::rngs::StdRng::seed_from_u64(2));
    key.digest(&Pepper::derive("fault-matrix"))
}
