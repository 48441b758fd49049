//! Messages between control processes, and from entries to the control process that grants shares.

use crate::wire::{self, Error, Frame};
use base::id::{Release, Vm};
use indexmap::IndexMap;
use std::net::SocketAddr;
use steering::config::{Delta, Digest};
use steering::limits::{Grant, Renew};
use steering::release::Evidence;

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

    /// News of releases.
    #[derive(Default)]
    pub struct Releases {
        /// Evidence of each release that the sender knows.
        pub evidence: IndexMap<Release, Evidence>,
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
