//! Input of the planner.

use base::id::{DataCentre, Region};
use indexmap::IndexMap;
use std::time::Instant;

base::value! {
    /// Demand and capacity of one data centre for one service.
    pub struct DataCentreLoad {
        /// Name of the data centre.
        pub data_centre: DataCentre,
        /// Its region.
        pub region: Region,
        /// Whether it is reachable.
        pub healthy: bool,
        /// Requests per second that its backend servers can handle.
        pub capacity: f64,
        /// Requests per second from callers at its entry VMs, before any steering.
        pub demand: f64,
        /// Time of the measurement.
        pub measured: Instant,
    }

    /// Configured distribution of a service's traffic.
    pub enum Spread {
        /// Each data centre serves its own callers.
        Local,
        /// Shares by data centre, independent of where the callers are.
        Shares(IndexMap<DataCentre, f64>),
    }
}
