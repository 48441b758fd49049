//! Messages between the control process and the other processes of its VM.

use crate::wire::{self, Error, Frame};
use base::id::{Incarnation, Label, Release, Server, Service, Version, Vm};
use indexmap::{IndexMap, IndexSet};
use platform::list::List;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use steering::keys::Digest;
use steering::keys::ring::Entry;
use steering::limits::Settings;
use steering::membership::rendezvous;
use steering::release::{Cap, Evidence};
use tokio_util::sync::CancellationToken;

/// Incarnations of entries by VM.
pub type Runs = IndexMap<Vm, Incarnation>;

base::message! {
    /// Progress of a release on this VM.
    #[derive(Copy, Eq)]
    pub enum Standing {
        /// Both versions serve; without contact the old version serves alone.
        Stepping,
        /// This VM has confirmed the last step and no longer halts the release.
        Confirmed,
        /// The new version has taken over.
        Complete,
    }

    /// Current state of a release.
    pub struct Step {
        /// Service.
        pub service: Service,
        /// New version.
        pub to: Label,
        /// Largest share of the service's requests that are started on the new version.
        pub cap: Cap,
        /// Index of the step; evidence is recorded under it.
        pub step: usize,
        /// Servers of the new version that are used in this step.
        pub width: u32,
        /// Progress of the release.
        pub standing: Standing,
    }

    /// Report of the entry to its control process, sent several times a second.
    pub struct Report {
        /// Incarnation of the entry.
        pub incarnation: Incarnation,
        /// Results of the requests of each release under way.
        pub evidence: IndexMap<Release, Evidence>,
        /// Requests in flight per server that is in use or being drained.
        pub in_flight: IndexMap<Server, u32>,
        /// Requests in flight per service, averaged over some seconds.
        pub demand: IndexMap<Service, f64>,
        /// Whether the entry is shutting down.
        pub leaving: bool,
    }

    /// Answer to a report.
    #[derive(Copy, Eq)]
    pub struct Heard {
        /// Whether all other VMs have been notified that this VM is leaving.
        pub withdrawn: bool,
    }

    /// Division of all limits; fixed by the row `floors` once that exists.
    #[derive(Copy, Default, Eq)]
    pub struct Division {
        /// Fraction of each limit that is divided into floors, in percent.
        pub floor_percent: u64,
        /// Number of equal floors.
        pub floor_units: u64,
        /// Number of granter shards into which the workspaces are divided.
        pub shards: u64,
    }

    /// State that the entry needs to hold parts of limits.
    #[derive(Default)]
    pub struct Shares {
        /// Division in force; none while the control process has not read it.
        pub division: Option<Division>,
        /// Incarnation of the entry to which this VM's floor is bound, if the VM has one.
        pub floor: Option<Incarnation>,
        /// Address of the control process that holds each granter shard, if known.
        pub granters: Vec<Option<SocketAddr>>,
    }

    /// State of the control process that the entry and the look-up need.
    #[derive(Default)]
    pub struct State {
        /// Grows with each change of this state; restarts with the control process.
        pub generation: u64,
        /// Configuration version in force; 0 if none is known yet.
        pub version: Version,
        /// Steering files of that version.
        pub files: IndexMap<Box<str>, Box<str>>,
        /// Keys of that version.
        pub keys: Vec<Entry>,
        /// Digests of withdrawn keys.
        pub withdrawn: IndexSet<Digest>,
        /// Ids of halted releases.
        pub halted: IndexSet<Release>,
        /// Releases under way.
        pub steps: IndexMap<Release, Step>,
        /// Backend servers that must get no new requests.
        pub draining: IndexSet<Box<str>>,
        /// Row version of the drains; drains with a lower one are outdated.
        pub drains_version: u64,
        /// VMs that are shutting down and must not be named to callers.
        pub leaving: IndexSet<Vm>,
        /// Last known list of VMs and backend servers.
        pub list: List,
        /// Live incarnations of entries as reported by this VM's entry.
        pub runs: Runs,
        /// Division of limits and this VM's floor.
        pub shares: Shares,
    }
}

impl Division {
    /// Returns the settings of holders and granters.
    pub fn settings(&self) -> Settings {
        Settings {
            floor_percent: self.floor_percent,
            floor_units: self.floor_units,
            ..Settings::default()
        }
    }

    /// Returns the granter shard of a workspace.
    pub fn shard(&self, workspace: &str) -> usize {
        let weight = rendezvous::weight("granter", workspace);
        usize::try_from(weight % self.shards.max(1)).unwrap_or(0)
    }
}

impl Shares {
    /// Returns the address of the control process that grants parts of a workspace's limit.
    pub fn granter(&self, workspace: &str) -> Option<SocketAddr> {
        let shard = self.division?.shard(workspace);
        self.granters.get(shard).copied().flatten()
    }
}

/// Longest time for which `sync` waits for a change.
pub const SYNC_WAIT: Duration = Duration::from_secs(5);

/// Service of the control process for the processes of its VM.
#[tarpc::service]
pub trait Local {
    /// Returns the state as soon as its generation differs from `have`, or after [`SYNC_WAIT`].
    ///
    /// An entry passes its incarnation, for which the control process claims a floor. The entry has
    /// bound its addresses before, so an earlier entry of the VM has ended.
    async fn sync(have: u64, entry: Option<Incarnation>) -> Frame<State>;

    /// Reports the live incarnations of entries, including that of the caller.
    async fn runs(runs: Frame<Runs>);

    /// Records the entry's report.
    async fn report(report: Frame<Report>) -> Frame<Heard>;

    /// Returns the time since the store or a peer of another data centre confirmed the keys. It
    /// is not part of the state, which would be sent again with each confirmation. None if there
    /// was no confirmation since the control process started.
    async fn confirmed() -> Frame<Option<Duration>>;
}

/// Connects to the control process.
///
/// # Errors
///
/// Fails if no connection is made.
pub async fn connect(address: SocketAddr) -> Result<LocalClient, Error> {
    let transport = wire::connect(address).await?;
    Ok(LocalClient::new(tarpc::client::Config::default(), transport).spawn())
}

/// Pause before the control process is called again after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Longest time for one call of `sync`; covers the wait and the transfer.
const SYNC_TIMEOUT: Duration = Duration::from_secs(10);

/// Watches the state of the control process until `stop` is cancelled and calls `update` with each
/// new one.
///
/// While the control process can't be reached, the last state stays in force. An entry passes its
/// incarnation.
pub async fn follow(
    address: SocketAddr,
    entry: Option<Incarnation>,
    stop: CancellationToken,
    update: impl Fn(&State),
) {
    let mut connected = false;
    while !stop.is_cancelled() {
        let Some(result) = stop
            .run_until_cancelled(session(address, entry, &mut connected, &update))
            .await
        else {
            return;
        };
        if let Err(error) = result {
            if connected {
                log::warn!("connection to the control process failed: {error}");
            }
            connected = false;
            stop.run_until_cancelled(tokio::time::sleep(RETRY_PAUSE))
                .await;
        }
    }
}

async fn session(
    address: SocketAddr,
    entry: Option<Incarnation>,
    connected: &mut bool,
    update: &impl Fn(&State),
) -> Result<(), Error> {
    let client = connect(address).await?;
    // NOTE: a restarted control process counts generations from 0 again, so each session does, too.
    let mut have = 0;
    loop {
        let mut context = tarpc::context::current();
        context.deadline = Instant::now() + SYNC_TIMEOUT;
        let state = client.sync(context, have, entry).await?.open()?;
        if !std::mem::replace(connected, true) {
            log::info!("receiving the state of the control process at {address}");
        }
        if state.generation != have {
            have = state.generation;
            update(&state);
        }
    }
}

/// Interval between calls for the confirmation of the keys.
const CONFIRMATION_INTERVAL: Duration = Duration::from_secs(1);

/// Polls the confirmation of the keys until `stop` is cancelled and calls `update` with its time.
///
/// While the control process can't be reached, `update` is not called and the last time ages.
pub async fn follow_confirmations(
    address: SocketAddr,
    stop: CancellationToken,
    update: impl Fn(Instant),
) {
    let mut client = None;
    while !stop.is_cancelled() {
        let asked = confirmation(address, &mut client);
        match stop.run_until_cancelled(asked).await {
            Some(Ok(Some(at))) => update(at),
            Some(Ok(None)) => {}
            // `follow` logs the failed connection to the control process.
            Some(Err(_)) => client = None,
            None => return,
        }
        let pause = tokio::time::sleep(CONFIRMATION_INTERVAL);
        stop.run_until_cancelled(pause).await;
    }
}

async fn confirmation(
    address: SocketAddr,
    client: &mut Option<LocalClient>,
) -> Result<Option<Instant>, Error> {
    let client = match client {
        Some(client) => client,
        None => client.insert(connect(address).await?),
    };
    let now = Instant::now();
    let age = client.confirmed(tarpc::context::current()).await?.open()?;
    Ok(age.and_then(|age| now.checked_sub(age)))
}
