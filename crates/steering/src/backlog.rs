//! Work left at a backend server, and the time until one of its slots is free.
//!
//! A count of requests does not tell a request that is about to end from one that has run for long
//! and will run longer. The VM's own requests are known by age and cost; those of other VMs only by
//! number, from figures that are up to half a second old.

mod server;

pub use server::{Sent, Server, StatedPace};

use std::time::Duration;

/// Slots that are followed one by one; servers with more are treated as this many faster ones.
const MAX_SLOTS: usize = 16;
/// Requests ahead that are followed one by one; a longer queue adds its work divided by the slots.
const MAX_AHEAD: u32 = 32;
base::value! {
    /// Requests at a server.
    #[derive(Copy)]
    pub struct Queue {
        /// Number of requests that the server runs concurrently.
        pub slots: u32,
        /// Requests that run or wait, of all VMs.
        pub load: u32,
        /// Mean cost of a request of which nothing else is known.
        pub average: Duration,
        /// Time for work on the machine divided by the time at ordinary pace.
        pub pace: f64,
    }
}

impl Queue {
    /// Returns the expected time until a slot is free for a request that arrives now; zero while
    /// one is free.
    ///
    /// `known` are the residual times, at ordinary pace, of the requests that are known to run, the
    /// oldest first. Slots beyond them hold requests of unknown age.
    pub fn wait(&self, known: impl Iterator<Item = Duration>) -> Duration {
        if self.load < self.slots {
            return Duration::ZERO;
        }
        let slots = (self.slots.max(1) as usize).min(MAX_SLOTS);
        let scale = slots as f64 / f64::from(self.slots.max(1));
        let average = self.average.as_secs_f64();
        let mut free_at = [0.0; MAX_SLOTS];
        let mut filled = 0;
        for (slot, residual) in free_at[..slots].iter_mut().zip(known) {
            *slot = residual.as_secs_f64();
            filled += 1;
        }
        // Ends of requests of unknown age are spread evenly over the time of one request.
        let unknown = slots - filled;
        for (place, slot) in free_at[filled..slots].iter_mut().enumerate() {
            *slot = average * (place + 1) as f64 / (unknown + 1) as f64;
        }
        let waiting = self.load - self.slots;
        let followed = waiting.min(MAX_AHEAD);
        for _ in 0..followed {
            if let Some(first) = free_at[..slots].iter_mut().min_by(|a, b| a.total_cmp(b)) {
                *first += average * scale;
            }
        }
        let first = free_at[..slots]
            .iter()
            .copied()
            .fold(f64::INFINITY, f64::min);
        let rest = f64::from(waiting - followed) * average / f64::from(self.slots.max(1));
        Duration::from_secs_f64((first + rest) * self.pace)
    }
}
