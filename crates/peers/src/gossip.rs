//! Messages between control processes, and from entries to the control process that grants shares.

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
    /// What goes along with exchanges inside a data centre.
    #[derive(Default)]
    pub struct Centre {
        /// Heartbeats; empty unless the exchange is a regular one.
        pub pulse: HeartbeatBatch,
        /// VMs that the platform's list no longer names.
        pub gone: Vec<(Vm, Incarnation)>,
    }

    /// The platform's list as the sender has it.
    #[derive(Default)]
    pub struct Listing {
        /// Hash of the content; 0 without a list.
        pub hash: u64,
        /// Time since it was read.
        pub age: Duration,
    }

    /// Configuration and growing sets that the sender has.
    pub struct Exchange {
        /// Sender.
        pub vm: Vm,
        /// Its data centre.
        pub data_centre: DataCentre,
        /// Its address for exchanges.
        pub gossip: SocketAddr,
        /// What it has.
        pub digest: Digest,
        /// News of its data centre; none towards other data centres.
        pub centre: Option<Centre>,
        /// Its list.
        pub listing: Listing,
    }

    /// What the sender of an exchange lacks, and what the receiver has.
    pub struct Reply {
        /// Receiver of the exchange.
        pub vm: Vm,
        /// Its data centre.
        pub data_centre: DataCentre,
        /// What the sender lacks.
        pub delta: Delta,
        /// What the receiver has.
        pub digest: Digest,
        /// News of the data centre; none towards other data centres.
        pub centre: Option<Centre>,
        /// Newer list with its age, for VMs of the same data centre and those without a list.
        pub list: Option<(List, Duration)>,
    }

    /// Floor of a VM as another VM knows it.
    pub struct Floor {
        /// Version of the row `floors` that it is from.
        pub version: u64,
        /// Division of limits.
        pub division: Division,
        /// Whether the row names the VM as an owner.
        pub owned: bool,
    }

    /// Floor of the sender.
    pub struct Owned {
        /// Sender.
        pub vm: Vm,
        /// Version of the row `floors` that names it as an owner.
        pub version: u64,
    }

    /// Sign of life of a release's owner, with what the release waits for.
    #[derive(Default)]
    pub struct Sign {
        /// Beat.
        pub beat: Heartbeat,
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
        pub halt: HaltSet,
        /// Latest signs of the owners.
        pub signs: IndexMap<Release, Sign>,
        /// Confirmations of last steps.
        pub confirmed: Confirmations,
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

    /// Returns the configuration version in force on the receiver.
    async fn version() -> Frame<Version>;

    /// Asks the VMs of the receiver's data centre for their versions, and returns the answers.
    async fn versions() -> Frame<IndexMap<Vm, Version>>;

    /// Exchanges news of releases.
    async fn releases(news: Frame<Releases>) -> Frame<Releases>;

    /// Returns what the receiver knows of a VM's floor; none if it knows neither the row `floors`
    /// nor an owner's word.
    async fn floor(vm: Frame<Vm>) -> Frame<Option<Floor>>;

    /// Tells that the sender owns a floor, so that the receiver can confirm it while the table
    /// can't be read.
    async fn owns(owned: Frame<Owned>);

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
