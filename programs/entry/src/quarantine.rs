//! Requests that crash backend servers.
//!
//! A crash is recognised when the connection of a request is interrupted and the server then
//! refuses new connections, or when the same request was interrupted on another server before.
//! A paused or unreachable server does not refuse connections, so it is not taken for crashed.

pub mod exchange;
pub mod pass;
pub mod track;

use crate::metrics::Metrics;
use crate::receive::Call;
use crate::server::{Flight, Server};
use crate::settings::Settings;
use crate::snapshot::Snapshot;
use base::id::{self, DataCentre, Incarnation, Service, Vm};
use indexmap::{IndexMap, IndexSet};
use operators::service;
use peers::local::Runs;
use peers::share::Suspects;
use platform::list::Node;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use steering::attempt::Refusal;
use steering::quarantine::{self, Admit, Delta, Digest, Register};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Looks at a server after an interruption; a dying process may close its listener last.
const LOOKS: u32 = 3;
/// Pause between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(50);
/// Longest time for a connection that only shows whether the server accepts it.
const LOOK_TIMEOUT: Duration = Duration::from_millis(250);
/// Time without news after which another VM counts as dead.
const SILENCE: Duration = Duration::from_secs(2);
/// Time after the last suspected request of a service until its trial server is freed.
const RESERVED: Duration = Duration::from_secs(15);

/// What this entry knows of requests that crash servers, and of the entries of other VMs.
#[derive(Debug)]
pub struct Quarantine {
    vm: Vm,
    incarnation: Incarnation,
    settings: quarantine::Settings,
    /// Whether the register holds anything; while it does not, requests take no lock.
    any: AtomicBool,
    // NOTE: one lock, because trials are decided over all digests; it is taken only while
    // something is suspected or quarantined.
    register: Mutex<Register>,
    /// Grows when the register changes in a way that others must learn.
    revision: AtomicU64,
    peers: Mutex<IndexMap<Vm, Peer>>,
    trials: Mutex<IndexMap<Service, Reserved>>,
    news: Notify,
    metrics: Arc<Metrics>,
}

/// The entry of another VM.
#[derive(Debug, Clone)]
struct Peer {
    incarnation: Incarnation,
    heard: Instant,
    reserved: Vec<id::Server>,
    /// Revision that it has.
    revision: u64,
}

#[derive(Debug, Clone)]
struct Reserved {
    server: id::Server,
    until: Instant,
}

/// A request that may run.
#[derive(Debug)]
pub struct Admitted {
    /// Digest of the request.
    pub digest: Digest,
    /// Where it runs.
    pub place: Place,
}

/// Where a request runs.
#[derive(Debug, Clone)]
pub enum Place {
    /// On any server.
    Any,
    /// Alone on this server, as a trial.
    Trial(Arc<Server>),
    /// At the entry with this address, which runs the trials.
    Keeper(SocketAddr),
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Quarantine {
    /// Starts with nothing known.
    pub fn new(settings: &Settings, incarnation: Incarnation, metrics: Arc<Metrics>) -> Self {
        let bounds = quarantine::Settings::default();
        Self {
            vm: settings.vm.clone(),
            incarnation,
            settings: bounds,
            any: AtomicBool::new(false),
            register: Mutex::new(Register::new(settings.data_centre.clone(), bounds)),
            revision: AtomicU64::new(0),
            peers: Mutex::default(),
            trials: Mutex::default(),
            news: Notify::new(),
            metrics,
        }
    }

    /// Decides whether a request may run, and where if it is suspected.
    ///
    /// # Errors
    ///
    /// Returns why the request is refused.
    pub async fn admit(
        &self,
        call: &Call,
        workspace: &str,
        service: &service::Service,
        snapshot: &Snapshot,
    ) -> Result<Admitted, Refusal> {
        let path = call.target.to_string();
        let digest = quarantine::digest(workspace, call.method.as_str(), &path, &call.body);
        let at = |place| Ok(Admitted { digest, place });
        if !self.any.load(Ordering::Acquire) {
            return at(Place::Any);
        }
        let now = Instant::now();
        let keeper = self.keeper(snapshot, now);
        let admit = lock(&self.register).admit(&digest, keeper, now);
        match admit {
            Admit::Run => at(Place::Any),
            Admit::Refuse(Refusal::Suspected) => {
                self.trial_server(service, snapshot).await;
                Err(Refusal::Suspected)
            }
            Admit::Refuse(reason) => Err(reason),
            Admit::Refer(centre) => match self.keeper_of(&centre, snapshot, now) {
                Some(address) => at(Place::Keeper(address)),
                None => Err(Refusal::Suspected),
            },
            Admit::Trial => match self.trial_server(service, snapshot).await {
                Some(server) => {
                    self.metrics.trial();
                    log::info!("request {}: trial run on {}", call.id, server.listed.name);
                    at(Place::Trial(server))
                }
                None => {
                    lock(&self.register).release(&digest);
                    Err(Refusal::Suspected)
                }
            },
        }
    }

    /// Returns whether this VM runs the trials of its data centre: the first live one by name.
    fn keeper(&self, snapshot: &Snapshot, now: Instant) -> bool {
        let own = snapshot.nodes().iter().find(|node| node.name == self.vm);
        let first = own.and_then(|own| self.first(&own.data_centre, snapshot, now));
        first.is_some_and(|first| first.name == self.vm)
    }

    /// Returns the address of the keeper of a data centre, unless it is this VM.
    fn keeper_of(
        &self,
        centre: &DataCentre,
        snapshot: &Snapshot,
        now: Instant,
    ) -> Option<SocketAddr> {
        let first = self.first(centre, snapshot, now)?;
        (first.name != self.vm).then_some(first.share)
    }

    fn first<'a>(
        &self,
        centre: &DataCentre,
        snapshot: &'a Snapshot,
        now: Instant,
    ) -> Option<&'a Node> {
        let peers = lock(&self.peers);
        let heard = |vm: &Vm| peers.get(vm).is_some_and(|peer| now < peer.heard + SILENCE);
        let live = |node: &&Node| node.name == self.vm || heard(&node.name);
        let nodes = snapshot.nodes().iter();
        nodes
            .filter(|node| node.data_centre == *centre)
            .filter(live)
            .min_by_key(|node| &node.name)
    }

    /// Returns the trial server of a service if it is empty and reserved for long enough;
    /// reserves another one if it is gone.
    async fn trial_server(
        &self,
        service: &service::Service,
        snapshot: &Snapshot,
    ) -> Option<Arc<Server>> {
        let name = &service.service.value;
        let reserved = lock(&self.trials).get(name).cloned();
        if let Some(reserved) = reserved {
            let server = snapshot
                .all_servers()
                .find(|server| server.listed.name == reserved.server);
            if let Some(server) = server
                && accepts(server.listed.address).await
            {
                self.reserve(name, &reserved.server, snapshot);
                return (server.in_flight() == 0).then(|| server.clone());
            }
        }
        let own = snapshot.nodes().iter().find(|node| node.name == self.vm)?;
        let mut candidates: Vec<_> = snapshot.servers(name, &service.current).collect();
        candidates.sort_by_key(|server| {
            let listed = &server.listed;
            let far = listed.data_centre != own.data_centre;
            (far, listed.region != own.region, listed.name.clone())
        });
        for server in candidates {
            if accepts(server.listed.address).await {
                log::info!("server {} is left free for trial runs", server.listed.name);
                self.reserve(name, &server.listed.name, snapshot);
                // Other VMs may still have requests on it.
                lock(&self.register).moved(Instant::now());
                self.news.notify_one();
                break;
            }
        }
        None
    }

    fn reserve(&self, service: &str, server: &str, snapshot: &Snapshot) {
        let reserved = Reserved {
            server: server.into(),
            until: Instant::now() + RESERVED,
        };
        lock(&self.trials).insert(service.into(), reserved);
        self.mark(snapshot);
    }

    /// Servers that this VM has reserved.
    fn own_reserved(&self) -> Vec<id::Server> {
        let now = Instant::now();
        let mut trials = lock(&self.trials);
        trials.retain(|_, reserved| now < reserved.until);
        trials
            .values()
            .map(|reserved| reserved.server.clone())
            .collect()
    }

    /// Marks the servers that any live VM has reserved.
    fn mark(&self, snapshot: &Snapshot) {
        let now = Instant::now();
        let mut reserved: IndexSet<id::Server> = self.own_reserved().into_iter().collect();
        let peers = lock(&self.peers);
        let live = peers.values().filter(|peer| now < peer.heard + SILENCE);
        reserved.extend(live.flat_map(|peer| peer.reserved.iter().cloned()));
        drop(peers);
        for server in snapshot.all_servers() {
            server.reserve(reserved.contains(&server.listed.name));
        }
    }

    /// Finds out whether a server crashed when the connection of `flight` was interrupted, and
    /// suspects the requests that were in flight on it. `again` says that the same request was
    /// interrupted on another server before.
    ///
    /// Returns until when the reply must be held. The work goes on if the caller is dropped.
    pub async fn interrupted(self: &Arc<Self>, flight: &Flight, again: bool) -> Option<Instant> {
        let server = flight.server().clone();
        // Others that were in flight end at the same time, so they are noted before the looks.
        let in_flight = server.digests();
        let this = self.clone();
        let work = async move {
            if !again && !crashed(server.listed.address).await {
                return None;
            }
            log::warn!(
                "server {} crashed with {} requests in flight",
                server.listed.name,
                in_flight.len()
            );
            this.metrics.crash();
            this.any.store(true, Ordering::Release);
            let hold = lock(&this.register).crashed(&in_flight, Instant::now());
            this.changed();
            Some(hold)
        };
        tokio::spawn(work).await.ok().flatten()
    }

    fn completed(&self, digest: &Digest) {
        lock(&self.register).completed(digest);
        self.changed();
    }

    fn release(&self, digest: &Digest) {
        lock(&self.register).release(digest);
    }

    fn changed(&self) {
        self.revision.fetch_add(1, Ordering::AcqRel);
        self.news.notify_one();
    }

    /// Takes in what another entry knows.
    pub fn take(&self, news: &Suspects) {
        let peer = Peer {
            incarnation: news.incarnation,
            heard: Instant::now(),
            reserved: news.reserved.clone(),
            revision: 0,
        };
        {
            let mut peers = lock(&self.peers);
            let known = peers.entry(news.vm.clone()).or_insert_with(|| peer.clone());
            // A restarted entry has nothing of what its predecessor was sent.
            let same = known.incarnation == news.incarnation;
            let revision = if same { known.revision } else { 0 };
            *known = Peer { revision, ..peer };
        }
        if news.delta.quarantined.is_empty() && news.delta.suspects.is_empty() {
            return;
        }
        self.any.store(true, Ordering::Release);
        let mut register = lock(&self.register);
        let before = register.delta().clone();
        register.merge(&news.delta, Instant::now());
        if *register.delta() != before {
            self.changed();
        }
    }

    /// Returns what to tell another VM, and the revision that it then has.
    fn news(&self, vm: &str) -> (Suspects, u64) {
        let revision = self.revision.load(Ordering::Acquire);
        let known = lock(&self.peers).get(vm).map_or(0, |peer| peer.revision);
        let delta = if known == revision {
            Delta::default()
        } else {
            lock(&self.register).delta().clone()
        };
        (
            Suspects {
                delta,
                ..self.hello()
            },
            revision,
        )
    }

    /// Returns news without suspicions.
    pub fn hello(&self) -> Suspects {
        Suspects {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            reserved: self.own_reserved(),
            delta: Delta::default(),
        }
    }

    /// Returns the incarnations of all entries heard of lately, this one's included.
    pub fn runs(&self) -> Runs {
        let now = Instant::now();
        let mut peers = lock(&self.peers);
        peers.retain(|_, peer| now < peer.heard + SILENCE);
        let own = (self.vm.clone(), self.incarnation);
        let runs = peers
            .iter()
            .map(|(vm, peer)| (vm.clone(), peer.incarnation));
        let mut runs: Runs = runs.chain([own]).collect();
        runs.sort_unstable_keys();
        runs
    }
}

/// Returns whether the server refuses connections.
async fn crashed(address: SocketAddr) -> bool {
    for look in 0..LOOKS {
        if look > 0 {
            tokio::time::sleep(LOOK_PAUSE).await;
        }
        let connected = tokio::time::timeout(LOOK_TIMEOUT, TcpStream::connect(address)).await;
        if let Ok(Err(error)) = connected
            && error.kind() == io::ErrorKind::ConnectionRefused
        {
            return true;
        }
    }
    false
}

/// Returns whether the server accepts a connection.
async fn accepts(address: SocketAddr) -> bool {
    let connected = tokio::time::timeout(LOOK_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Ok(_)))
}
