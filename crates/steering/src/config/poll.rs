//! Intervals at which a VM polls the store.

use crate::membership::Role;
use rand::{Rng, RngExt};
use std::time::Duration;

base::value! {
    /// Intervals between reads of the row `head`.
    ///
    /// The store handles about 2,000 reads a second. With 144 data centres, a surplus reader in
    /// each and one change of three files a second, a reader every 500 ms and a stand-by every
    /// second that also fetches all objects would cause 2,227. A reader every second can exceed 6
    /// KB/s in a data centre of 38 VMs.
    #[derive(Copy)]
    pub struct PollIntervals {
        /// Interval of the reader of a data centre.
        pub reader: Duration,
        /// Interval of its stand-by, which covers the time until a failed reader is replaced.
        pub standby: Duration,
        /// Time for which a VM other than the reader waits for gossip to deliver the objects of a
        /// new version before it fetches them from the store.
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
    /// Returns the time until the next read, `None` for a VM that does not poll. Jitter of 10%
    /// keeps data centres that started together from reading together.
    pub fn next_delay(&self, role: Role, rng: &mut impl Rng) -> Option<Duration> {
        let interval = match role {
            Role::Reader => self.reader,
            Role::Standby => self.standby,
            Role::Member => return None,
        };
        Some(interval.mul_f64(0.95 + 0.1 * rng.random::<f64>()))
    }

    /// Returns the time after which a VM fetches the objects of a new version from the store,
    /// unless peers have sent them by then.
    pub fn fetch_delay(&self, role: Role) -> Duration {
        match role {
            Role::Reader => Duration::ZERO,
            Role::Standby | Role::Member => self.gossip_wait,
        }
    }
}
