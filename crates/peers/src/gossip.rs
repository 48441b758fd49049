//! Messages between control processes, and from entries to the control process that grants limits.

use crate::local::Division;
use crate::wire::{self, Error, Frame};
use base::id::{DataCentre, Incarnation, Release, Server, Service, Version, Vm};
use indexmap::IndexMap;
use platform::list::List;
use std::net::SocketAddr;
use std::time::Duration;
use steering::config::{Delta, Digest};
use steering::drain;
use steering::limits::{Grant, Renew};
use steering::membership::HeartbeatBatch;
use steering::release::{Confirmations, Evidence, HaltSet, Heartbeat, Record};

base::message! {
    /// Membership news that exchanges inside a data centre carry.
    #[derive(Default)]
    pub struct Centre {
        /// Heartbeats; empty unless the exchange is one of the periodic ones.
        pub pulse: HeartbeatBatch,
        /// VMs that are no longer in the platform's list.
        pub gone: Vec<(Vm, Incarnation)>,
    }

    /// Identification of the sender's copy of the platform's list.
    #[derive(Default)]
    pub struct Listing {
        /// Hash of the content; 0 if the sender has no list.
        pub hash: u64,
        /// Time since the list was read from the platform.
        pub age: Duration,
    }

    /// Digest of the configuration and the grow-only sets that the sender has.
    pub struct Exchange {
        /// Sender.
        pub vm: Vm,
        /// Data centre of the sender.
        pub data_centre: DataCentre,
        /// Address of the sender for exchanges.
        pub gossip: SocketAddr,
        /// Digest of the state of the sender.
        pub digest: Digest,
        /// Membership news of the sender's data centre; none towards other data centres.
        pub centre: Option<Centre>,
        /// List of the sender.
        pub listing: Listing,
    }

    /// Answer to an exchange: the state that the sender lacks and the digest of the receiver.
    pub struct Reply {
        /// Receiver of the exchange.
        pub vm: Vm,
        /// Data centre of the receiver.
        pub data_centre: DataCentre,
        /// State that the sender lacks.
        pub delta: Delta,
        /// Digest of the state of the receiver.
        pub digest: Digest,
        /// Membership news of the data centre; none towards other data centres.
        pub centre: Option<Centre>,
        /// Newer list with its age, for VMs of the same data centre and those without a list.
        pub list: Option<(List, Duration)>,
    }

    /// Floor of a VM as another VM knows it.
    pub struct Floor {
        /// Version of the row `floors` from which the floor was read.
        pub version: u64,
        /// Division of limits.
        pub division: Division,
        /// Whether the row names the VM as an owner.
        pub owned: bool,
    }

    /// Claim of the sender that it owns a floor.
    pub struct Owned {
        /// Sender.
        pub vm: Vm,
        /// Version of the row `floors` that names it as an owner.
        pub version: u64,
    }

    /// Heartbeat of a release's owner, with the condition that the release waits for.
    #[derive(Default)]
    pub struct Sign {
        /// Heartbeat.
        pub beat: Heartbeat,
        /// Condition that the release waits for.
        pub waits: Box<str>,
    }

    /// State of releases, drains and shutdowns.
    #[derive(Default)]
    pub struct Releases {
        /// Sender.
        pub vm: Vm,
        /// Incarnation of the sender.
        pub incarnation: Incarnation,
        /// Whether the sender's VM is shutting down.
        pub leaving: bool,
        /// Evidence of the sender's own entry.
        pub evidence: IndexMap<Release, Evidence>,
        /// Rows of the releases with their versions.
        pub rows: IndexMap<Release, (u64, Record)>,
        /// Halted releases.
        pub halt: HaltSet,
        /// Latest heartbeats of the owners.
        pub signs: IndexMap<Release, Sign>,
        /// Confirmations of last steps.
        pub confirmed: Confirmations,
        /// Drains, with the version of their row.
        pub drains: (u64, drain::Plan),
        /// Requests that the sender's entry has in flight, per server in use or being drained.
        pub in_flight: IndexMap<Server, u32>,
        /// Requests that the sender's entry has in flight, averaged, per service.
        pub demand: IndexMap<Service, f64>,
    }
}

/// Service of a control process for other VMs.
#[tarpc::service]
pub trait Gossip {
    /// Exchanges configuration and grow-only sets.
    async fn exchange(exchange: Frame<Exchange>) -> Frame<Option<Reply>>;

    /// Returns the configuration version in force on the receiver.
    async fn version() -> Frame<Version>;

    /// Returns the versions in force on the VMs of the receiver's data centre, which the receiver
    /// requests from them.
    async fn versions() -> Frame<IndexMap<Vm, Version>>;

    /// Exchanges the state of releases.
    async fn releases(news: Frame<Releases>) -> Frame<Releases>;

    /// Returns what the receiver knows of a VM's floor; none if it knows neither the row `floors`
    /// nor a claim of the owner.
    async fn floor(vm: Frame<Vm>) -> Frame<Option<Floor>>;

    /// Reports that the sender owns a floor, so that the receiver can confirm it while the table
    /// can't be read.
    async fn owns(owned: Frame<Owned>);

    /// Renews an entry's part of a workspace's limit; none if this process is not its granter.
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
