//! Ways of datagrams to many VMs: directly, or through VMs that pass them on.

use crate::shared::Shared;
use crate::traffic::Kind;
use base::sync::lock;
use indexmap::IndexSet;
use peers::report::{self, Part, Report};
use std::net::SocketAddr;
use std::time::Instant;
use steering::fanout::Settings;
use tokio::net::UdpSocket;

/// Datagrams of one report.
#[derive(Debug)]
pub(super) struct Dispatch<'a> {
    shared: &'a Shared,
    socket: &'a UdpSocket,
    bytes: &'a [u8],
    kind: &'static str,
    flow: Kind,
}

impl<'a> Dispatch<'a> {
    /// Prepares an encoded report to be sent.
    pub(super) fn new(
        shared: &'a Shared,
        socket: &'a UdpSocket,
        bytes: &'a [u8],
        (kind, flow): (&'static str, Kind),
    ) -> Self {
        Self {
            shared,
            socket,
            bytes,
            kind,
            flow,
        }
    }

    /// Sends the report to each VM; returns the bytes.
    pub(super) async fn send(&self, targets: IndexSet<SocketAddr>) -> usize {
        self.send_datagrams(targets.into_iter(), self.bytes).await
    }

    /// Sends the summary of another data centre to each VM of this one, or has others do that if it
    /// would occupy this VM's link for long.
    pub(super) async fn pass_on(&self, targets: IndexSet<SocketAddr>) -> usize {
        let sum = self.bytes.len().saturating_mul(targets.len());
        let mbps = self.shared.settings.link_mbps();
        let others = lock(&self.shared.fleet).local_relays(Instant::now());
        let relays = Settings::default().relays(sum, mbps, &others, &mut rand::rng());
        match relays.is_empty() {
            true => self.send(targets).await,
            false => self.send_parts(&relays).await,
        }
    }

    /// Sends the summary of this data centre to those whose delegates are silent: to all their
    /// members, or to a few of each that pass it on to the others.
    pub(super) async fn reach(&self, data_centres: Vec<Vec<SocketAddr>>) -> usize {
        let settings = Settings::default();
        let count = data_centres.iter().map(Vec::len).sum();
        let sum = self.bytes.len().saturating_mul(count);
        if settings.is_carried(sum, self.shared.settings.link_mbps()) {
            return self
                .send(data_centres.into_iter().flatten().collect())
                .await;
        }
        let mut sent = 0;
        for members in data_centres {
            let relays = settings.sample(members, &mut rand::rng());
            sent += self.send_parts(&relays).await;
        }
        sent
    }

    async fn send_parts(&self, relays: &[SocketAddr]) -> usize {
        let mut sent = 0;
        for (part, relay) in Part::of(relays) {
            let datagram = report::pass_on(part, self.bytes);
            sent += self.send_datagrams([*relay].into_iter(), &datagram).await;
        }
        sent
    }

    async fn send_datagrams(
        &self,
        targets: impl ExactSizeIterator<Item = SocketAddr>,
        datagram: &[u8],
    ) -> usize {
        let count = targets.len();
        for address in targets {
            if let Err(error) = self.socket.send_to(datagram, address).await {
                log::debug!("event=report-unsent to={address} error=\"{error}\"");
            }
        }
        let Shared {
            metrics, traffic, ..
        } = self.shared;
        metrics.record_reports(self.kind, count, datagram.len());
        let sent = count.saturating_mul(datagram.len());
        traffic.record(self.flow, sent);
        sent
    }
}

/// Encodes a report; none if it is too large, which is logged.
pub(super) fn encode(report: &Report) -> Option<Vec<u8>> {
    report::encode(report)
        .inspect_err(|error| log::warn!("event=report-too-large error=\"{error}\""))
        .ok()
}
