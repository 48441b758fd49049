//! Listen addresses and settings files of the processes of a run.

use crate::plan::DATA_CENTRES;
use adapter::usage::DUTY;
use serde_json::{Value, json};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

/// Names of the data centres.
pub const DATA_CENTRE_NAMES: [&str; DATA_CENTRES] = ["nord-a", "sud-a"];

/// Number of runs that this process has started.
static RUNS: AtomicU8 = AtomicU8::new(0);

/// Port distance between two runs of one process.
const PORTS_PER_RUN: u16 = 20;

/// Addresses of one run: each test process has its own loopback network, each run its own ports.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    network: [u8; 3],
    port_offset: u16,
}

impl Addresses {
    /// Allocates the addresses of a new run in this process.
    pub fn next() -> Self {
        let [high, low] = (std::process::id() as u16).to_be_bytes();
        let run = RUNS.fetch_add(1, Ordering::Relaxed);
        Self {
            network: [127, 64 | (high & 0x3f), low],
            port_offset: u16::from(run) * PORTS_PER_RUN,
        }
    }

    /// Returns the address of a host number and a port in this run.
    pub fn at(self, number: u8, port: u16) -> SocketAddr {
        let [a, b, c] = self.network;
        let ip = Ipv4Addr::new(a, b, c, number);
        SocketAddr::new(IpAddr::V4(ip), port + self.port_offset)
    }
}

/// Lease of the holder of the usage reports, short enough for several holders in one run.
pub const USAGE_LEASE: Duration = Duration::from_secs(1);

/// Adds usage reports to `address` to the content of a settings file. Windows of 1 s that are due
/// 3 s after their end leave time for several holders in one run.
pub fn with_usage(mut settings: Value, address: SocketAddr) -> Value {
    settings["usage"] = json!({
        "address": address, "duties": [DUTY], "window_s": 1, "late_s": 3,
        "lease_ms": USAGE_LEASE.as_millis() as u64,
    });
    settings
}

/// Returns the content of a gateway's settings file.
pub fn settings(
    vm: &str,
    data_centre: &str,
    at: impl Fn(u16) -> SocketAddr,
    store: SocketAddr,
) -> Value {
    json!({
        "vm": vm,
        "data_centre": data_centre,
        "region": data_centre,
        "data_centres": {"nord-a": "nord-a", "sud-a": "sud-a"},
        "listen": {
            "callers": at(8389), "readiness": at(8384), "lookup": at(8385),
            "peers": at(7460), "metrics": at(9464),
        },
        "store": store,
        "bounds": {
            "grace_s": 2, "retry_ratio": 0.2, "retry_slack": 62, "exposure_share": 0.1,
            "exposure_slack": 50, "lookup_ttl_s": 5,
        },
    })
}
