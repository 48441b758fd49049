//! Selection of the backend server for a request.

mod balancer;
mod outlier;
mod slots;

pub use balancer::{Balancer, Completion};
pub use outlier::{Ejection, OutlierDetector, Summary, Verdict};
pub use slots::{Loan, Notice, Slots, Unit};

use std::time::Duration;

/// Settings of load balancing over the backend servers of one service and version.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Slow-start time, over which a started server is brought to its full share.
    pub slow_start: Duration,
    /// Share of selections in which a server that just started takes part.
    pub cold_floor: f64,
    /// Time for which a server that shed once is avoided; doubles with each further shed.
    pub shed_backoff: Duration,
    /// Maximum time for which a server that sheds is avoided.
    pub max_shed_backoff: Duration,
    /// Age from which load and health reports are ignored.
    pub max_report_age: Duration,
    /// Time over which latency samples are compared.
    pub window: Duration,
    /// Longer window, whose latest samples are compared if `window` holds too few.
    ///
    /// A slow server answers so seldom at low load that a window of 1 s alone finds it only by
    /// chance.
    pub sparse_window: Duration,
    /// Minimum number of samples of one server and route before it may be ejected.
    pub min_samples: usize,
    /// Minimum number of other servers with enough samples before one may be ejected.
    pub min_peers: usize,
    /// Deviations from the median of the peers above which a server is ejected.
    pub deviations: f64,
    /// Multiple of the median of the peers above which a server is ejected.
    pub factor: f64,
    /// Maximum share of the servers that this VM ejects; one of at least two may always be ejected.
    pub max_ejected: f64,
    /// Minimum time between probe requests of this VM to an ejected server.
    pub min_probe_interval: Duration,
    /// Maximum time between probe requests of this VM to an ejected server.
    ///
    /// Together with `confirm_interval` and `recovery_ramp` it stays below 10 s, the target for a
    /// normal load after recovery.
    pub max_probe_interval: Duration,
    /// Time from a fast answer of an ejected server to the next probe request.
    pub confirm_interval: Duration,
    /// Fast answers in a row that end an ejection.
    pub readmit_samples: u32,
    /// Time over which a recovered server is brought to its full share.
    pub recovery_ramp: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slow_start: Duration::from_secs(10),
            cold_floor: 0.1,
            shed_backoff: Duration::from_millis(250),
            max_shed_backoff: Duration::from_secs(2),
            max_report_age: Duration::from_secs(10),
            window: Duration::from_secs(1),
            sparse_window: Duration::from_secs(3),
            min_samples: 5,
            min_peers: 3,
            deviations: 6.0,
            factor: 2.5,
            max_ejected: 1.0 / 3.0,
            min_probe_interval: Duration::from_secs(3),
            max_probe_interval: Duration::from_secs(7),
            confirm_interval: Duration::from_millis(500),
            readmit_samples: 2,
            recovery_ramp: Duration::from_secs(2),
        }
    }
}

/// Returns the value of a linear ramp from `floor` to 1 over `length`, `elapsed` after its start.
pub(crate) fn ramp(floor: f64, elapsed: Duration, length: Duration) -> f64 {
    if length.is_zero() {
        return 1.0;
    }
    let part = (elapsed.as_secs_f64() / length.as_secs_f64()).min(1.0);
    floor + (1.0 - floor) * part
}
