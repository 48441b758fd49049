//! How often a VM reads the store.

use crate::membership::Role;
use rand::{Rng, RngExt};
use std::time::Duration;

base::value! {
    /// Intervals between reads of the row `head`.
    ///
    /// 144 data centres with the default intervals make 432 reads a second, a fifth of the two
    /// thousand that the store handles; the rest is left for objects, rows and the VM list.
    #[derive(Copy)]
    pub struct Poll {
        /// Interval of the reader of a data centre.
        pub reader: Duration,
        /// Interval of its stand-by, which bridges the time until a silent reader is replaced.
        pub standby: Duration,
    }
}

impl Default for Poll {
    fn default() -> Self {
        Self {
            reader: Duration::from_millis(500),
            standby: Duration::from_secs(1),
        }
    }
}

impl Poll {
    /// Returns the time until the next read, spread by a tenth so that data centres that started
    /// together do not read together; `None` for a VM that leaves reading to others.
    pub fn next(&self, role: Role, rng: &mut impl Rng) -> Option<Duration> {
        let interval = match role {
            Role::Reader => self.reader,
            Role::Standby => self.standby,
            Role::Member => return None,
        };
        Some(interval.mul_f64(0.95 + 0.1 * rng.random::<f64>()))
    }
}
