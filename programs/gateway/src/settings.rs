//! Settings file of the gateway.

use base::id::{DataCentre, Region, Vm};
use base::program;
use base::shutdown::SecondSignal;
use indexmap::{IndexMap, IndexSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Least memory of a VM in megabytes; a process without requests takes up to 45.
const MIN_MEMORY_MB: u64 = 64;

base::message! {
    /// Addresses on which the gateway listens.
    #[serde(deny_unknown_fields)]
    pub struct Listen {
        /// Requests of callers.
        pub callers: SocketAddr,
        /// Readiness checks.
        pub readiness: SocketAddr,
        /// Look-ups of callers.
        pub lookup: SocketAddr,
        /// Reports of other VMs (UDP), and their requests for store data (TCP).
        pub peers: SocketAddr,
        /// Metrics.
        pub metrics: SocketAddr,
    }

    /// Bounds that the operator sets; times are in seconds. A deployment states only the bounds of
    /// what it uses.
    #[serde(deny_unknown_fields, default)]
    pub struct Bounds {
        /// Time from SIGTERM to SIGKILL, in seconds.
        pub grace_s: f64,
        /// Sends beyond the first, as a share of requests, over all VMs.
        pub retry_ratio: f64,
        /// Sends beyond the first that are allowed in addition, over all VMs.
        pub retry_slack: f64,
        /// Share of a service's requests that a new version may get before its deadline; none if
        /// the deployment has no takeovers.
        pub exposure_share: Option<f64>,
        /// Requests that a new version may get in addition, over all VMs; none if the deployment
        /// has no takeovers.
        pub exposure_slack: Option<f64>,
        /// Longest time in seconds for which callers may use a look-up.
        pub lookup_ttl_s: f64,
    }

    /// What a new version may get before its deadline.
    #[derive(Copy)]
    pub struct ExposureBounds {
        /// Share of its service's requests.
        pub share: f64,
        /// Requests in addition, over all VMs.
        pub slack: f64,
    }

    /// Reports of usage to the platform.
    #[serde(deny_unknown_fields)]
    pub struct Usage {
        /// Address of the platform's interface.
        pub address: SocketAddr,
        /// What the deployment has to report; anything but usage is ignored.
        #[serde(default)]
        pub duties: Vec<Box<str>>,
        /// Time in milliseconds within which the holder must not change and change back.
        pub lease_ms: Option<f64>,
        /// Length of a window in seconds.
        pub window_s: Option<f64>,
        /// Time in seconds after the end of a window at which its report is due.
        pub late_s: Option<f64>,
    }

    /// Settings of the gateway.
    #[serde(deny_unknown_fields)]
    pub struct Settings {
        /// Name of this VM.
        pub vm: Vm,
        /// Its data centre.
        pub data_centre: DataCentre,
        /// Its region.
        pub region: Region,
        /// Region of each data centre.
        pub data_centres: IndexMap<DataCentre, Region>,
        /// Addresses to listen on.
        pub listen: Listen,
        /// Other VMs that may be up, by any address of theirs.
        #[serde(default)]
        pub seeds: Vec<SocketAddr>,
        /// Address of the platform's store.
        pub store: SocketAddr,
        /// Bandwidth of this VM's link in Mbit/s; 0 if unknown.
        #[serde(default)]
        pub link_mbps: f64,
        /// Memory of this VM in megabytes; bounds what answers of servers may hold.
        #[serde(default = "memory")]
        pub memory_mb: u64,
        /// Whether all VMs start for the first time, so that the store holds nothing of them.
        #[serde(default)]
        pub first_start: bool,
        /// Operator's bounds.
        #[serde(default)]
        pub bounds: Bounds,
        /// Usage reports; none if the deployment has none.
        #[serde(default)]
        pub usage: Option<Usage>,
        /// Time in milliseconds between two reads of the registrations.
        #[serde(default = "list_period")]
        pub list_period_ms: u64,
        /// Log specification of flexi_logger.
        #[serde(default = "log")]
        pub log: Box<str>,
    }
}

impl Default for Bounds {
    /// Bounds of deployments that state none: the tightest that any deployment has stated.
    fn default() -> Self {
        Self {
            grace_s: 6.0,
            retry_ratio: 0.2,
            retry_slack: 0.0,
            exposure_share: None,
            exposure_slack: None,
            lookup_ttl_s: 5.0,
        }
    }
}

impl Bounds {
    /// Returns the bounds of takeovers; none if the deployment has no takeovers.
    pub fn exposure(&self) -> Option<ExposureBounds> {
        Some(ExposureBounds {
            share: self.exposure_share?,
            slack: self.exposure_slack.unwrap_or(0.0),
        })
    }
}

impl Usage {
    /// Returns the times of the reports; none if the deployment has no such duty, or states too
    /// little of it.
    pub fn times(&self) -> Option<steering::usage::Settings> {
        let seconds = |value: f64| {
            Duration::try_from_secs_f64(value)
                .ok()
                .filter(|t| !t.is_zero())
        };
        let has_duty = self
            .duties
            .iter()
            .any(|duty| &**duty == adapter::usage::DUTY);
        has_duty.then_some(())?;
        Some(steering::usage::Settings::new(
            seconds(self.window_s?)?,
            seconds(self.late_s?)?,
            seconds(self.lease_ms? / 1e3)?,
        ))
    }
}

/// A leaving server must get no requests 2 s after its report. If the VM that reads the store loses
/// it at that moment, another one has to notice, read and inform the others within this time.
fn list_period() -> u64 {
    700
}

/// The smallest VMs of the sites.
fn memory() -> u64 {
    160
}

fn log() -> Box<str> {
    "info".into()
}

impl Settings {
    /// Returns the bandwidth of this VM's link in whole Mbit/s.
    pub fn link_mbps(&self) -> u32 {
        self.link_mbps.clamp(0.0, f64::from(u32::MAX)) as u32
    }

    /// Returns the time between two reads of the registrations.
    pub fn list_period(&self) -> Duration {
        Duration::from_millis(self.list_period_ms)
    }

    /// Returns the region of a data centre; an unknown one counts as a region of its own.
    pub fn region_of(&self, data_centre: &str) -> Region {
        let known = self.data_centres.get(data_centre);
        known.cloned().unwrap_or_else(|| data_centre.into())
    }

    /// Returns the number of regions.
    pub fn region_count(&self) -> usize {
        let regions: IndexSet<&Region> = self.data_centres.values().collect();
        regions.len()
    }
}

impl program::Settings for Settings {
    fn problem(&self) -> Option<&'static str> {
        if !self.data_centres.contains_key(&self.data_centre) {
            return Some("data_centre is not one of data_centres");
        }
        if self.memory_mb < MIN_MEMORY_MB {
            return Some("memory_mb must be at least 64");
        }
        if self.list_period_ms == 0 {
            return Some("list_period_ms must not be 0");
        }
        let exposure_share = self.bounds.exposure_share.unwrap_or(0.0);
        let shares = [self.bounds.retry_ratio, exposure_share];
        if shares.iter().any(|share| !(0.0..=1.0).contains(share)) {
            return Some("retry_ratio and exposure_share must be between 0 and 1");
        }
        (self.bounds.grace_s <= 0.0).then_some("grace_s must be above 0")
    }

    fn log(&self) -> &str {
        &self.log
    }

    fn has_bounded_log(&self) -> bool {
        true
    }

    // The grace time bounds the shutdown; a second signal that ended it sooner would cut requests.
    fn second_signal(&self) -> SecondSignal {
        SecondSignal::ChangesNothing
    }
}
