//! Settings of the control process.

use base::id::{DataCentre, Region, Vm};
use base::program;
use base::unit::Span;
use serde::Deserialize;
use std::fmt;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use steering::release::{self, SOAK_MILLIS};

/// Settings of the control process.
#[derive(Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Name of this VM.
    pub vm: Vm,
    /// Region of this VM.
    pub region: Region,
    /// Data centre of this VM.
    pub data_centre: DataCentre,
    /// Address for the other processes of this VM.
    pub local: SocketAddr,
    /// Address for control processes of other VMs.
    pub gossip: SocketAddr,
    /// Address of the administration API.
    pub admin: SocketAddr,
    /// Address for metrics.
    pub metrics: SocketAddr,
    /// Gossip addresses of VMs that are asked at start while the platform's list can't be read.
    pub seeds: Vec<SocketAddr>,
    /// Credential of the administration API.
    pub admin_token: Box<str>,
    /// Secret under which key digests are computed; the same on all VMs.
    pub key_secret: Box<str>,
    /// Address of the platform's service.
    pub platform: SocketAddr,
    /// Longest time for one call to the platform.
    pub platform_timeout: Span,
    /// Interval at which the reader of a data centre reads the platform's table; the stand-by reads
    /// it half as often.
    pub poll_interval: Span,
    /// Interval of reads of the granter leases and the floors.
    pub granter_interval: Span,
    /// Number of granter shards; counts only for the VM that writes the first row `floors`.
    pub granter_shards: u64,
    /// Longest lag of the platform's list of VMs. A floor is reclaimed only when its VM was absent
    /// for longer, so that a joining VM keeps the floor that it has just claimed.
    pub list_lag: Span,
    /// Shortest time in a step of a release; recorded in the release when it is planned.
    pub release_soak: Span,
    /// Requests on the new version that each route needs before a release's step to 100%.
    pub release_requests: u64,
    /// Log specification.
    pub log: Box<str>,
}

impl Default for Settings {
    fn default() -> Self {
        let loopback = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        Self {
            vm: "".into(),
            region: "".into(),
            data_centre: "".into(),
            local: loopback(7100),
            gossip: loopback(7101),
            admin: loopback(7102),
            metrics: loopback(7103),
            seeds: Vec::new(),
            admin_token: "".into(),
            key_secret: "".into(),
            platform: loopback(7000),
            platform_timeout: Span(Duration::from_secs(2)),
            poll_interval: Span(Duration::from_millis(1250)),
            granter_interval: Span(Duration::from_millis(500)),
            granter_shards: 4,
            list_lag: Span(Duration::from_secs(30)),
            release_soak: Span(Duration::from_millis(SOAK_MILLIS)),
            release_requests: release::Settings::default().min_requests,
            log: "info".into(),
        }
    }
}

/// Each shard is a row that its holder writes every `granter_interval`.
const MAX_SHARDS: u64 = 64;

/// With a lease of 4 s, one renewal may be lost without losing the lease.
const MAX_GRANTER_INTERVAL: Duration = Duration::from_secs(1);

const MIN_SECRET_BYTES: usize = 16;

/// At this interval, readers and stand-bys of 144 data centres make 864 of the 2000 reads a second
/// that the store handles.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Longest interval with which a change is in force within 4 s.
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(3);
/// All seeds are asked at once.
const MAX_SEEDS: usize = 16;

impl program::Settings for Settings {
    fn problem(&self) -> Option<&'static str> {
        if self.vm.is_empty() || self.region.is_empty() || self.data_centre.is_empty() {
            return Some("`vm`, `region` and `data_centre` are needed");
        }
        if self.admin_token.len() < MIN_SECRET_BYTES || self.key_secret.len() < MIN_SECRET_BYTES {
            return Some("`admin_token` and `key_secret` need at least 16 bytes each");
        }
        if !(1..=MAX_SHARDS).contains(&self.granter_shards) {
            return Some("`granter_shards` must be from 1 to 64");
        }
        if self.granter_interval.0.is_zero() || self.granter_interval.0 > MAX_GRANTER_INTERVAL {
            return Some("`granter_interval` must be above 0 and at most 1s");
        }
        if self.release_soak.0.is_zero() || self.release_requests == 0 {
            return Some("`release_soak` and `release_requests` must be above zero");
        }
        if !(MIN_POLL_INTERVAL..=MAX_POLL_INTERVAL).contains(&self.poll_interval.0) {
            return Some("`poll_interval` must lie between 250ms and 3s");
        }
        if self.seeds.len() > MAX_SEEDS {
            return Some("`seeds` may hold at most 16 addresses");
        }
        None
    }

    fn log(&self) -> &str {
        &self.log
    }
}

/// Shows no secrets.
impl fmt::Debug for Settings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Settings")
            .field("vm", &self.vm)
            .field("region", &self.region)
            .field("data_centre", &self.data_centre)
            .field("local", &self.local)
            .field("gossip", &self.gossip)
            .field("admin", &self.admin)
            .field("seeds", &self.seeds)
            .field("platform", &self.platform)
            .finish_non_exhaustive()
    }
}
