//! Arrivals, service times and server faults.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// Servers of the service, 2 in each data centre.
pub const SERVERS: usize = 12;
/// Entry VMs, 2 in each data centre.
pub const VMS: usize = 12;
/// Server that becomes slow.
pub const SLOW_SERVER: usize = 0;
const COLD_SERVER: usize = 4;
const SHEDDING_SERVER: usize = 8;

/// Size and load of one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sizes {
    /// Slots per server.
    pub slots: u32,
    /// Mean service time of a request on a server that works normally.
    pub mean_service_time: Duration,
    /// Offered load as a share of the capacity of all slots.
    pub load: f64,
}

impl Sizes {
    /// Atlas `lookup`.
    pub const LOOKUP: Self = Self {
        slots: 3,
        mean_service_time: Duration::from_millis(20),
        load: 0.5,
    };
    /// El-Sherbiny `map`.
    pub const MAP: Self = Self {
        slots: 8,
        mean_service_time: Duration::from_millis(30),
        load: 0.5,
    };
}

/// One request of the trace.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Event {
    /// Arrival time, from the start of the run.
    pub at: Duration,
    /// Entry VM.
    pub vm: usize,
    /// Service time on a server that works normally.
    pub service_time: Duration,
}

/// Arrivals and faults, the same for every method.
#[derive(Debug, Clone)]
pub struct Trace {
    /// Size and load of the service.
    pub sizes: Sizes,
    /// Requests in the order of arrival.
    pub events: Vec<Event>,
    /// Whether all servers become slow instead of one.
    pub all_slow: bool,
}

impl Trace {
    /// Start of the arrivals; before it the VMs divide the slots among themselves.
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

    /// Generates Poisson arrivals; service times are half constant, half exponential.
    pub fn new(sizes: Sizes, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let slots = f64::from(sizes.slots) * SERVERS as f64;
        let rate = sizes.load * slots / sizes.mean_service_time.as_secs_f64();
        let mut exponential = move || -(1.0 - rng.random::<f64>()).ln();
        let mut events = Vec::new();
        let mut at = Self::START;
        let mut vms = StdRng::seed_from_u64(seed + 1);
        while at < Self::END {
            at += Duration::from_secs_f64(exponential() / rate);
            events.push(Event {
                at,
                vm: vms.random_range(0..VMS),
                service_time: sizes.mean_service_time.mul_f64(0.5 + 0.5 * exponential()),
            });
        }
        Self {
            sizes,
            events,
            all_slow: false,
        }
    }

    /// Returns the factor on the service time of a request that starts at `at`.
    pub fn slowdown(&self, server: usize, at: Duration) -> f64 {
        const SLOW_FACTOR: f64 = 10.0;
        const COLD_EXTRA: f64 = 3.0;
        const WARM_UP_SECONDS: f64 = 8.0;
        if (server == SLOW_SERVER || self.all_slow) && (Self::ONSET..Self::RECOVERY).contains(&at) {
            SLOW_FACTOR
        } else if server == COLD_SERVER && at >= Self::RESTART {
            let progress = (at - Self::RESTART).as_secs_f64() / WARM_UP_SECONDS;
            1.0 + COLD_EXTRA * (1.0 - progress).max(0.0)
        } else {
            1.0
        }
    }

    /// Returns whether a server sheds every request at `at`.
    pub fn sheds(&self, server: usize, at: Duration) -> bool {
        let [from, to] = Self::SHEDDING;
        server == SHEDDING_SERVER && (from..to).contains(&at)
    }

    /// Returns the server that restarts with a cold cache.
    pub fn restarted_server(&self) -> usize {
        COLD_SERVER
    }
}
