//! Messages between control processes, and from entries to the control process that grants shares.

use crate::wire::{self, Error, Frame};
use base::id::{Incarnation, Release, Server, Service, Vm};
use indexmap::IndexMap;
use std::net::SocketAddr;
use steering::config::{Delta, Digest};
use steering::drain;
use steering::limits::{Grant, Renew};
use steering::release::{Beat, Confirmed, Evidence, Halt, Record};

base::message! {
    /// Configuration and growing sets that the sender has.
    pub struct Exchange {
        /// Sender.
        pub vm: Vm,
        /// What it has.
        pub digest: Digest,
    }

    /// What the sender of an exchange lacks, and what the receiver has.
    pub struct Reply {
        /// What the sender lacks.
        pub delta: Delta,
        /// What the receiver has.
        pub digest: Digest,
    }

    /// Sign of life of a release's owner, with what the release waits for.
    #[derive(Default)]
    pub struct Sign {
        /// Beat.
        pub beat: Beat,
        /// What the release waits for.
        pub waits: Box<str>,
    }

    /// News of releases, drains and stops.
    #[derive(Default)]
    pub struct Releases {
        /// Sender.
        pub vm: Vm,
        /// This run of the sender.
        pub incarnation: Incarnation,
        /// Whether the sender's VM is stopping.
        pub leaving: bool,
        /// Evidence of the sender's own entry.
        pub evidence: IndexMap<Release, Evidence>,
        /// Rows of the releases with their versions.
        pub rows: IndexMap<Release, (u64, Record)>,
        /// Halted releases.
        pub halt: Halt,
        /// Latest signs of the owners.
        pub signs: IndexMap<Release, Sign>,
        /// Confirmations of last steps.
        pub confirmed: Confirmed,
        /// Drains with the version of their row.
        pub drains: (u64, drain::Plan),
        /// Requests that the sender's entry has in flight, per server in use or being drained.
        pub in_flight: IndexMap<Server, u32>,
        /// Requests that the sender's entry has in flight, averaged, per service.
        pub demand: IndexMap<Service, f64>,
    }
}

/// Service of a control process towards other VMs.
#[tarpc::service]
pub trait Gossip {
    /// Exchanges configuration and growing sets.
    async fn exchange(exchange: Frame<Exchange>) -> Frame<Option<Reply>>;

    /// Exchanges news of releases.
    async fn releases(news: Frame<Releases>) -> Frame<Releases>;

    /// Renews an entry's part of a workspace's limit; none if this process does not grant it.
    async fn renew(renew: Frame<Renew>) -> Frame<Option<Grant>>;
}

/// Connects to a control process.
///
/// # Errors
///
/// Fails if no connection is made.
pub async fn connect(address: SocketAddr) -> Result<GossipClient, Error> {
    let transport = wire::connect(address).await?;
    Ok(GossipClient::new(tarpc::client::Config::default(), transport).spawn())
}
