//! Settings of the look-up.

use crate::index::TTL_MS;
use base::id::DataCentre;
use base::program;
use base::unit::Span;
use serde::Deserialize;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Settings of the look-up.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Data centre of this VM, also used for clients outside all address blocks.
    pub data_centre: DataCentre,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for metrics.
    pub metrics: SocketAddr,
    /// Address of this VM's control process.
    pub control: SocketAddr,
    /// Time for which the look-up goes on answering after a stop signal, so that callers get an
    /// answer while their entry shuts down.
    pub stop_wait: Span,
    /// Log specification.
    pub log: Box<str>,
}

impl Default for Settings {
    fn default() -> Self {
        let loopback = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        Self {
            data_centre: "".into(),
            listen: loopback(7200),
            metrics: loopback(7201),
            control: loopback(7100),
            stop_wait: Span(Duration::from_millis(TTL_MS)),
            log: "info".into(),
        }
    }
}

impl program::Settings for Settings {
    fn problem(&self) -> Option<&'static str> {
        self.data_centre
            .is_empty()
            .then_some("`data_centre` is needed")
    }

    fn log(&self) -> &str {
        &self.log
    }
}
