//! Addresses and settings of the processes of a run.

use crate::plan::CENTRES;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};

/// Data centres.
pub const NAMES: [&str; CENTRES] = ["nord-a", "sud-a"];

/// Runs of this process so far.
static RUNS: AtomicU8 = AtomicU8::new(0);

/// Ports between two runs of one process.
const RUN_PORTS: u16 = 20;

/// Addresses of one run: each process has its own network, each run its own ports.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    network: [u8; 3],
    shift: u16,
}

impl Addresses {
    /// Takes the addresses of a new run of this process.
    pub fn next() -> Self {
        let [high, low] = (std::process::id() as u16).to_be_bytes();
        let run = RUNS.fetch_add(1, Ordering::Relaxed);
        Self {
            network: [127, 64 | (high & 0x3f), low],
            shift: u16::from(run) * RUN_PORTS,
        }
    }

    /// Returns an address of this run.
    pub fn at(self, number: u8, port: u16) -> SocketAddr {
        let [a, b, c] = self.network;
        let ip = Ipv4Addr::new(a, b, c, number);
        SocketAddr::new(IpAddr::V4(ip), port + self.shift)
    }
}

/// Returns the settings file of a gateway.
pub fn settings(
    vm: &str,
    data_centre: &str,
    at: impl Fn(u16) -> SocketAddr,
    store: SocketAddr,
) -> String {
    let settings = serde_json::json!({
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
    });
    settings.to_string()
}
