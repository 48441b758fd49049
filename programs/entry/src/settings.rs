//! Settings of the entry.

use base::id::{DataCentre, Region, Vm};
use base::program;
use base::unit::{Share, Span};
use serde::Deserialize;
use std::fmt;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use steering::drain::StopTimes;

/// Settings of the entry.
#[derive(Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Name of this VM.
    pub vm: Vm,
    /// Region of this VM.
    pub region: Region,
    /// Data centre of this VM.
    pub data_centre: DataCentre,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for the entries of other VMs.
    pub share: SocketAddr,
    /// Address for metrics.
    pub metrics: SocketAddr,
    /// Address of this VM's control process.
    pub control: SocketAddr,
    /// Address of the platform's service, whose table holds claims on ids that name no VM.
    pub platform: SocketAddr,
    /// Longest time for one call to the platform.
    pub platform_timeout: Span,
    /// Secret under which key digests are computed; the same on all VMs.
    pub key_secret: Box<str>,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time for a request body to arrive.
    pub body_timeout: Span,
    /// Most connections of callers.
    pub connections: usize,
    /// Longest time that a stopping entry waits for requests in flight.
    pub drain_timeout: Span,
    /// Longest time for every other VM to learn that this VM is stopping.
    pub stop_spread: Span,
    /// Time for which callers may still use a cached look-up answer that names this VM.
    pub stop_cached: Span,
    /// Time without an answer after which a request that may be repeated is also sent to a second
    /// server, and time without a byte after which idle connections to its server are probed.
    pub read_timeout: Span,
    /// Longest time that a request waits for a token of its workspace's limit.
    pub token_wait: Span,
    /// Most requests of one workspace that wait for a token; further ones are refused immediately.
    pub token_waiters: u64,
    /// Time after which the requests of an entry that is gone have ended on the backend servers.
    ///
    /// A started entry uses no slot before this time has passed.
    pub settle: Span,
    /// Time between two exchanges of slots and loads with the other entries.
    pub exchange_interval: Span,
    /// Time between two probes of a local backend server by any entry of the data centre.
    pub probe_interval: Span,
    /// Longest time for the answer to a probe.
    pub probe_timeout: Span,
    /// Most requests of one service that wait for a slot.
    pub waiting: usize,
    /// Fraction of the capacity of each link between regions that the entries use.
    pub link_share: Share,
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
            listen: loopback(7300),
            share: loopback(7301),
            metrics: loopback(7302),
            control: loopback(7100),
            platform: loopback(7000),
            platform_timeout: Span(Duration::from_secs(2)),
            key_secret: "".into(),
            body_bytes: 1024 * 1024,
            body_timeout: Span(Duration::from_secs(10)),
            connections: 4096,
            drain_timeout: Span(Duration::from_secs(30)),
            stop_spread: Span(StopTimes::default().propagation),
            stop_cached: Span(StopTimes::default().cache_ttl),
            read_timeout: Span(Duration::from_secs(5)),
            token_wait: Span(Duration::from_secs(1)),
            token_waiters: 128,
            settle: Span(Duration::from_secs(2)),
            exchange_interval: Span(Duration::from_millis(200)),
            probe_interval: Span(Duration::from_secs(1)),
            probe_timeout: Span(Duration::from_millis(500)),
            waiting: 1024,
            link_share: Share(0.7),
            log: "info".into(),
        }
    }
}

/// Least length of `key_secret`.
const MIN_SECRET_BYTES: usize = 16;

impl program::Settings for Settings {
    fn problem(&self) -> Option<&'static str> {
        if self.vm.is_empty() || self.region.is_empty() || self.data_centre.is_empty() {
            return Some("`vm`, `region` and `data_centre` are needed");
        }
        if self.key_secret.len() < MIN_SECRET_BYTES {
            return Some("`key_secret` needs at least 16 bytes");
        }
        if self.token_waiters == 0 {
            return Some("`token_waiters` must be at least 1");
        }
        let spans = [self.settle, self.exchange_interval, self.probe_interval];
        if spans.iter().any(|span| span.0.is_zero()) {
            return Some("`settle`, `exchange_interval` and `probe_interval` must not be zero");
        }
        None
    }

    fn log(&self) -> &str {
        &self.log
    }
}

/// Leaves out the secret.
impl fmt::Debug for Settings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Settings")
            .field("vm", &self.vm)
            .field("region", &self.region)
            .field("data_centre", &self.data_centre)
            .field("listen", &self.listen)
            .field("share", &self.share)
            .field("control", &self.control)
            .field("platform", &self.platform)
            .finish_non_exhaustive()
    }
}
