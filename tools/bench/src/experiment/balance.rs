//! Choice of backend servers with a slow server, late load reports, a cold start and shedding.
//!
//! 3 regions of 2 data centres, each with 2 entry VMs and 2 of the 12 servers of one service. All
//! methods get the same arrivals and the same service time per request. A request may use the 4
//! servers of its region; a shed request is retried up to twice.

mod baseline;
mod fleet;
mod trace;

pub use fleet::run;
pub use trace::{Event, Sizes, Trace};

use std::time::Duration;

/// Method of choosing a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Method {
    /// `steering::balance`.
    Steering,
    /// Random server of the region.
    Random,
    /// Server with the fewest own requests in flight.
    LeastOutstanding,
    /// The better of two random servers by own requests in flight.
    TwoChoices,
    /// Exponential moving average with a trip threshold, two consecutive bad samples and a 15
    /// minute probe (the method of the "azure-openai-latency-failover" project, docs/design.md).
    MovingAverage,
}

/// Every method, in the order of the report.
pub const METHODS: [Method; 5] = [
    Method::Steering,
    Method::Random,
    Method::LeastOutstanding,
    Method::TwoChoices,
    Method::MovingAverage,
];

/// Results of one run.
#[derive(Debug, Clone, PartialEq)]
pub struct Figures {
    /// Latency by quantile: p50, p99, p99.9.
    pub latency: [Duration; 3],
    /// Request rate at the slow server from 2 s after onset, relative to before.
    pub slow_share: f64,
    /// Request rate at the slow server from 10 s after recovery, relative to before the onset.
    pub recovered_share: f64,
    /// Requests that were not answered.
    pub failed: usize,
    /// Largest share of a data centre's servers that a VM had ejected.
    pub max_ejected_share: f64,
    /// Requests that reached a server without a free slot.
    pub over_slots: usize,
    /// Mean idle share of the slots of the region's other servers while one server is slow.
    pub headroom: f64,
}

/// Runs all methods on both services with one seed.
pub fn report() -> Box<str> {
    const SEED: u64 = 1;
    let mut text = String::from(
        "service method            p50 ms  p99 ms p99.9 ms  slow  back failed ejected over headroom\n",
    );
    for (name, sizes) in [("lookup", Sizes::LOOKUP), ("map", Sizes::MAP)] {
        let trace = Trace::new(sizes, SEED);
        for method in METHODS {
            let f = run(&trace, method, SEED);
            let [p50, p99, p999] = f.latency.map(|l| l.as_secs_f64() * 1e3);
            text += &format!(
                "{name:7} {:16} {p50:7.1} {p99:7.1} {p999:8.1} {:5.3} {:5.2} {:6} {:7.2} {:4} {:8.2}\n",
                format!("{method:?}"),
                f.slow_share,
                f.recovered_share,
                f.failed,
                f.max_ejected_share,
                f.over_slots,
                f.headroom,
            );
        }
    }
    text.into()
}
