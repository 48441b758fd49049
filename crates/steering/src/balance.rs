//! Choice of the backend server for a request.

mod chooser;
mod outlier;
mod slots;

pub use chooser::{Chooser, Reply};
pub use outlier::{Finding, Outlier, Summary, Verdict};
pub use slots::{Loan, Notice, Slots, Unit};

use std::time::Duration;

/// Settings of the choice among the backend servers of one service and version.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Time over which a started server is brought to its full share.
    pub cold_ramp: Duration,
    /// Share of choices in which a server that just started takes part.
    pub cold_floor: f64,
    /// Time for which a server that shed once is avoided; doubles with each further shed.
    pub shed_pause: Duration,
    /// Longest time for which a server that sheds is avoided.
    pub shed_pause_max: Duration,
    /// Age from which load and health reports are ignored.
    pub report_age: Duration,
    /// Time over which latency samples are compared.
    pub window: Duration,
    /// Time from which the latest samples are compared if the window holds too few.
    ///
    /// A slow server answers so seldom at low load that a window of 1 s alone finds it only by
    /// chance.
    pub sparse_window: Duration,
    /// Samples of one server and route within a window before it is judged.
    pub min_samples: usize,
    /// Other servers with enough samples before one is judged.
    pub min_peers: usize,
    /// Deviations from the median of the peers above which a server is ejected.
    pub deviations: f64,
    /// Multiple of the median of the peers above which a server is ejected.
    pub factor: f64,
    /// Share of the servers that this VM ejects at most; one of at least two may always be ejected.
    pub max_ejected: f64,
    /// Least time between requests of this VM to an ejected server.
    pub trickle: Duration,
    /// Most time between requests of this VM to an ejected server.
    ///
    /// With `confirm` and `recovery_ramp` it stays below 10 s, the target for a normal load after
    /// recovery.
    pub trickle_max: Duration,
    /// Time to the next request after a good one to an ejected server.
    pub confirm: Duration,
    /// Good requests in a row that end an ejection.
    pub good_samples: u32,
    /// Time over which a recovered server is brought to its full share.
    pub recovery_ramp: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            cold_ramp: Duration::from_secs(10),
            cold_floor: 0.1,
            shed_pause: Duration::from_millis(250),
            shed_pause_max: Duration::from_secs(2),
            report_age: Duration::from_secs(10),
            window: Duration::from_secs(1),
            sparse_window: Duration::from_secs(3),
            min_samples: 5,
            min_peers: 3,
            deviations: 6.0,
            factor: 2.5,
            max_ejected: 1.0 / 3.0,
            trickle: Duration::from_secs(3),
            trickle_max: Duration::from_secs(7),
            confirm: Duration::from_millis(500),
            good_samples: 2,
            recovery_ramp: Duration::from_secs(2),
        }
    }
}

/// Returns the part of a ramp from `floor` to 1 that is reached `elapsed` after its start.
pub(crate) fn ramp(floor: f64, elapsed: Duration, length: Duration) -> f64 {
    if length.is_zero() {
        return 1.0;
    }
    let part = (elapsed.as_secs_f64() / length.as_secs_f64()).min(1.0);
    floor + (1.0 - floor) * part
}
