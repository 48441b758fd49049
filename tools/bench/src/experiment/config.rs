//! Propagation of configuration through store outages and partitions.

mod fleet;

use fleet::Fleet;
use std::time::Duration;

base::label! {
    /// How VMs receive versions.
    pub enum Method {
        /// One reader and one stand-by per data centre read the store; the rest is gossip.
        Gossip,
        /// Baseline: every VM polls the store and uses whatever it reads.
        EachPolls,
    }

    /// What fails.
    pub enum Fault {
        /// Only stale and slow reads.
        None,
        /// Half of the data centres can't reach the store from 10 s to 20 s.
        StoreCut,
        /// Half of the data centres reach neither the store nor the other half from 10 s to 20 s.
        Partition,
        /// The store is down for all VMs from 10 s to 20 s.
        Outage,
        /// Every VM restarts with empty memory once, half of them from 10 s to 20 s.
        Restarts,
        /// Restarts, a partition as above, and a store that is down for all VMs in the second half
        /// of the partition.
        All,
    }
}

base::value! {
    /// Parameters of a run.
    #[derive(Copy)]
    pub struct Setup {
        /// How VMs receive versions.
        pub method: Method,
        /// What fails.
        pub fault: Fault,
        /// Data centres, two to a region at six, three to a region at 144.
        pub centres: usize,
        /// VMs.
        pub vms: usize,
        /// Time between two publications, and between two withdrawals of keys.
        pub interval: Duration,
        /// Seed.
        pub seed: u64,
    }

    /// Results of a run.
    #[derive(Default)]
    pub struct Tally {
        /// Versions published.
        pub published: u64,
        /// Checks in which a version wasn't in force 4 s after the VM could receive it.
        pub late: u32,
        /// Checks of a VM and a version.
        pub checked: u32,
        /// Checks in which a reachable VM didn't know a key that was withdrawn 4 s earlier.
        pub marks_late: u32,
        /// Checks of a VM and a withdrawn key.
        pub marks_checked: u32,
        /// Number of times a VM served a lower version than before.
        pub reverts: u32,
        /// Longest time until a version was in force on a reachable VM, without faults.
        pub slowest: Duration,
        /// Longest time from the first VM on which a version was in force to the last, without
        /// faults.
        pub spread: Duration,
        /// Bytes sent and received per VM and second, with packet headers: mean and busiest VM.
        pub bytes: (f64, f64),
        /// Bytes sent and received per second by the busiest VM that is neither reader nor
        /// stand-by.
        pub member_bytes: f64,
        /// Bytes of changes received per VM and change.
        pub bytes_per_change: f64,
        /// Reads of the store in the busiest second.
        pub reads: u32,
    }
}

/// 11 VMs in 6 data centres.
pub const SMALL: Setup = Setup {
    method: Method::Gossip,
    fault: Fault::None,
    centres: 6,
    vms: 11,
    interval: Duration::from_millis(2_700),
    seed: 1,
};
/// 144 data centres with 4 VMs each; 8,500 changes a day are one every 10 s.
pub const LARGE: Setup = Setup {
    centres: 144,
    vms: 576,
    interval: Duration::from_secs(8),
    ..SMALL
};

/// As many VMs per data centre as 5,400 VMs in 144 data centres.
pub const DENSE: Setup = Setup {
    centres: 6,
    vms: 6 * 38,
    ..LARGE
};

/// Runs the experiment.
pub fn run(setup: Setup) -> Tally {
    Fleet::new(setup).run()
}

/// Returns the table of the experiment.
pub fn report() -> Box<str> {
    let mut text = String::from(
        "config: method, fault, VMs, late of checked, keys late of checked, reverts, slowest s, spread s, \
         B/s mean, B/s busiest, B per change, reads/s\n",
    );
    let faults = [
        Fault::None,
        Fault::StoreCut,
        Fault::Partition,
        Fault::Outage,
        Fault::Restarts,
        Fault::All,
    ];
    let small = faults.into_iter().map(|fault| Setup { fault, ..SMALL });
    let polls = small.clone().map(|setup| Setup {
        method: Method::EachPolls,
        ..setup
    });
    let large = [Fault::None, Fault::Partition].map(|fault| Setup { fault, ..LARGE });
    for setup in small.chain(polls).chain(large).chain([DENSE]) {
        let tally = run(setup);
        text += &format!(
            "{:?}, {:?}, {}, {} of {}, {} of {}, {}, {:.2}, {:.2}, {:.0}, {:.0}, {:.0}, {}\n",
            setup.method,
            setup.fault,
            setup.vms,
            tally.late,
            tally.checked,
            tally.marks_late,
            tally.marks_checked,
            tally.reverts,
            tally.slowest.as_secs_f64(),
            tally.spread.as_secs_f64(),
            tally.bytes.0,
            tally.bytes.1,
            tally.bytes_per_change,
            tally.reads,
        );
    }
    text.into()
}
