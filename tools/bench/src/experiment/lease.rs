//! Leases whose holders are paused, killed and cut off from the store.

mod world;

use std::time::Duration;

base::label! {
    /// How writes are protected.
    pub enum Method {
        /// Leases with fenced writes.
        Fenced,
        /// Leases by time only: the deadline is checked when a decision starts, and the row is
        /// written whatever its version is.
        Unfenced,
    }

    /// What happens to the whole data centre.
    pub enum Disaster {
        /// Nothing.
        None,
        /// All VMs restart with empty memory at 60 s.
        Restart,
        /// The store is down from 55 s to 90 s, and all VMs restart at 60 s.
        RestartWithoutStore,
    }
}

base::value! {
    /// Configuration of a run.
    #[derive(Copy)]
    pub struct Setup {
        /// Protection of the writes.
        pub method: Method,
        /// What happens to the whole data centre.
        pub disaster: Disaster,
        /// Mean number of pauses, kills and cut-offs of each VM per minute.
        pub faults: f64,
        /// Probability that an answer from the store is lost.
        pub loss: f64,
        /// Seed of the random number generator.
        pub seed: u64,
    }

    /// Outcome of a run.
    #[derive(Default)]
    pub struct Tally {
        /// Writes under a lease that took effect.
        pub writes: u32,
        /// Writes that took effect after another VM had taken the lease.
        pub overlapping: u32,
        /// Decisions by a holder while another running VM held the same lease.
        pub double: u32,
        /// Times that a lease was taken.
        pub taken: u32,
        /// Leases held at the end.
        pub held: usize,
        /// Leases held just before the store came back, or before the restart.
        pub held_midway: usize,
        /// Time from the restart, the return of the store or the last late write of an earlier
        /// incarnation, whichever comes last, until all leases are held.
        pub recovery: Option<Duration>,
    }
}

pub use world::LEASES;

/// Runs the experiment.
pub fn run(setup: Setup) -> Tally {
    world::run(setup)
}

/// Returns the table of the experiment.
pub fn report() -> Box<str> {
    let mut text = String::from(
        "lease: method, disaster, writes, overlapping, double, taken, held midway, recovery s\n",
    );
    let cases = [
        (Method::Unfenced, Disaster::None, 3.0),
        (Method::Fenced, Disaster::None, 3.0),
        (Method::Fenced, Disaster::Restart, 0.0),
        (Method::Fenced, Disaster::RestartWithoutStore, 0.0),
    ];
    for (method, disaster, faults) in cases {
        let tally = run(Setup {
            method,
            disaster,
            faults,
            loss: 0.1,
            seed: 1,
        });
        let recovery = tally.recovery.map_or(0.0, |time| time.as_secs_f64());
        text += &format!(
            "{method:?}, {disaster:?}, {}, {}, {}, {}, {}, {recovery:.1}\n",
            tally.writes, tally.overlapping, tally.double, tally.taken, tally.held_midway,
        );
    }
    text.into()
}
