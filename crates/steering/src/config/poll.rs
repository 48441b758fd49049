//! How often a VM reads the store.

use crate::membership::Role;
use rand::{Rng, RngExt};
use std::time::Duration;

base::value! {
    /// Intervals between reads of the row `head`.
    ///
    /// The store handles about two thousand reads a second. With a reader every 500 ms and a
    /// stand-by every second that also fetched all objects, 144 data centres with one reader too
    /// many came to 2,227 reads in a second at one change of three files a second. With a reader
    /// every second, one of 8 runs with 38 VMs in a data centre took more than 6 KB/s.
    #[derive(Copy)]
    pub struct PollIntervals {
        /// Interval of the reader of a data centre.
        pub reader: Duration,
        /// Interval of its stand-by, which bridges the time until a silent reader is replaced.
        pub standby: Duration,
        /// Time that a VM other than the reader waits for gossip to bring the objects of a new
        /// version before it fetches them from the store.
        pub gossip_wait: Duration,
    }
}

impl Default for PollIntervals {
    fn default() -> Self {
        Self {
            reader: Duration::from_millis(1_250),
            standby: Duration::from_millis(2_500),
            gossip_wait: Duration::from_secs(1),
        }
    }
}

impl PollIntervals {
    /// Returns the time until the next read, spread by a tenth so that data centres that started
    /// together do not read together; `None` for a VM that leaves reading to others.
    pub fn next_delay(&self, role: Role, rng: &mut impl Rng) -> Option<Duration> {
        let interval = match role {
            Role::Reader => self.reader,
            Role::Standby => self.standby,
            Role::Member => return None,
        };
        Some(interval.mul_f64(0.95 + 0.1 * rng.random::<f64>()))
    }

    /// Returns how long after it learned of a version a VM fetches its objects from the store,
    /// if peers haven't sent them by then.
    pub fn fetch_delay(&self, role: Role) -> Duration {
        match role {
            Role::Reader => Duration::ZERO,
            Role::Standby | Role::Member => self.gossip_wait,
        }
    }
}
