//! Withdrawal of a key at one VM, spread by gossip and recorded in the table.

use super::{Fault, Injection, require};
use std::time::Instant;
use steering::config::{Mark, MarkSet, Replica};
use steering::keys::{Digest, Key, Pepper};

pub const STEPS: [&str; 4] = ["ask", "mark", "gossip", "record"];

pub fn excludes(fault: Fault) -> Option<&'static str> {
    match fault {
        Fault::BadVersion => Some("no request runs on a version"),
        Fault::HolderPaused => Some("a withdrawal needs no lease"),
        Fault::CrashingRequest | Fault::SilentConnection => Some("no backend server takes part"),
        _ => None,
    }
}

struct World {
    mark: Mark,
    /// Two VMs of one data centre and one of another; the first gets the call.
    vms: [Replica; 3],
    recorded: MarkSet,
}

pub fn run(injection: &Injection) -> Result<(), Box<str>> {
    let mut world = World::new();
    let mut confirmed = false;
    // An operator whose call gives no confirmation calls again, at the same or another VM.
    for call in 0..2 {
        if !confirmed {
            confirmed = world.call(call, injection);
        }
    }
    require(confirmed, "a repeated call is confirmed")?;
    // Any VM may restart after the confirmation, the one that took the call too.
    world.vms[0] = Replica::new([], Instant::now());
    for _ in 0..3 {
        world.relearn();
    }
    let known = world.vms.iter().all(|vm| vm.marks.contains(&world.mark));
    require(
        known,
        "a confirmed withdrawal reaches every VM once it has a path",
    )
}

impl World {
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
        let hit = |step: usize, fault: Fault| call == 0 && injection.at(step, fault);
        let dies = |step: usize| call == 0 && injection.dies(step);
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
        // The neighbour of the same data centre is reachable in a partition, the far VM is not.
        let far = !hit(2, Fault::Partition);
        let equal = self.gossip(0, 1) && (!far || self.gossip(0, 2));
        if dies(3) {
            self.vms[0] = Replica::new([], Instant::now());
            return false;
        }
        let store = call > 0 || !(injection.no_store(3) || injection.at(3, Fault::Partition));
        if store {
            self.recorded.merge(&self.vms[0].marks);
        }
        // A lost answer of the store counts as not recorded.
        equal || (store && !hit(3, Fault::AnswerLost))
    }

    /// Exchanges sets between two VMs; returns whether they are equal afterwards.
    fn gossip(&mut self, one: usize, two: usize) -> bool {
        let mut equal = false;
        for _ in 0..2 {
            for (from, to) in [(one, two), (two, one)] {
                let delta = self.vms[from].delta_for(&self.vms[to].digest());
                equal = self.vms[to].apply("peer", delta).marks_equal;
            }
        }
        equal
    }

    /// Lets every VM read the table and gossip, as after all faults are over.
    fn relearn(&mut self) {
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
