//! Arrivals, work and the faults of the servers.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// Servers of the service, 2 in each data centre.
pub const SERVERS: usize = 12;
/// Entry VMs, 2 in each data centre.
pub const VMS: usize = 12;
/// Server that becomes slow.
pub const SLOW: usize = 0;
const COLD: usize = 4;
const SHEDDING: usize = 8;

/// Sizes of one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sizes {
    /// Slots per server.
    pub slots: u32,
    /// Mean work of a request.
    pub work: Duration,
    /// Offered load against the capacity of all slots.
    pub load: f64,
}

impl Sizes {
    /// Atlas `lookup`.
    pub const LOOKUP: Self = Self {
        slots: 3,
        work: Duration::from_millis(20),
        load: 0.5,
    };
    /// El-Sherbiny `map`.
    pub const MAP: Self = Self {
        slots: 8,
        work: Duration::from_millis(30),
        load: 0.5,
    };
}

/// One request of the trace.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Event {
    /// Arrival from the start of the run.
    pub at: Duration,
    /// Entry VM.
    pub vm: usize,
    /// Time on a server that works normally.
    pub work: Duration,
}

/// Arrivals and faults; the same for every method.
#[derive(Debug, Clone)]
pub struct Trace {
    /// Sizes of the service.
    pub sizes: Sizes,
    /// Requests in the order of arrival.
    pub events: Vec<Event>,
    /// Whether all servers become slow instead of one.
    pub all_slow: bool,
}

impl Trace {
    /// Time before the first arrival, in which the slots are taken.
    pub const START: Duration = Duration::from_secs(12);
    /// Onset of the slowness.
    pub const ONSET: Duration = Duration::from_secs(22);
    /// End of the slowness.
    pub const RECOVERY: Duration = Duration::from_secs(42);
    /// Restart of a server with a cold cache.
    pub const RESTART: Duration = Duration::from_secs(58);
    /// Start and end of the shedding of a server.
    pub const SHEDDING: [Duration; 2] = [Duration::from_secs(68), Duration::from_secs(73)];
    /// Last arrival.
    pub const END: Duration = Duration::from_secs(76);

    /// Generates Poisson arrivals; work is half constant, half exponential.
    pub fn new(sizes: Sizes, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let slots = f64::from(sizes.slots) * SERVERS as f64;
        let rate = sizes.load * slots / sizes.work.as_secs_f64();
        let mut exponential = move || -(1.0 - rng.random::<f64>()).ln();
        let mut events = Vec::new();
        let mut at = Self::START;
        let mut vms = StdRng::seed_from_u64(seed + 1);
        while at < Self::END {
            at += Duration::from_secs_f64(exponential() / rate);
            events.push(Event {
                at,
                vm: vms.random_range(0..VMS),
                work: sizes.work.mul_f64(0.5 + 0.5 * exponential()),
            });
        }
        Self {
            sizes,
            events,
            all_slow: false,
        }
    }

    /// Returns the factor on the work of a request that starts at `at`.
    pub fn factor(&self, server: usize, at: Duration) -> f64 {
        const SLOWNESS: f64 = 10.0;
        const COLDNESS: f64 = 3.0;
        const WARM_UP: f64 = 8.0;
        if (server == SLOW || self.all_slow) && (Self::ONSET..Self::RECOVERY).contains(&at) {
            SLOWNESS
        } else if server == COLD && at >= Self::RESTART {
            let part = (at - Self::RESTART).as_secs_f64() / WARM_UP;
            1.0 + COLDNESS * (1.0 - part).max(0.0)
        } else {
            1.0
        }
    }

    /// Whether a server sheds everything at `at`.
    pub fn sheds(&self, server: usize, at: Duration) -> bool {
        let [from, to] = Self::SHEDDING;
        server == SHEDDING && (from..to).contains(&at)
    }

    /// The server that restarts cold.
    pub fn restarted(&self) -> usize {
        COLD
    }
}
