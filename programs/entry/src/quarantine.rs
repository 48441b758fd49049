//! Requests that crash backend servers.
//!
//! A crash is recognised when the connection of a request is interrupted and the server then
//! refuses new connections, or when the same request was interrupted on another server before.
//! A paused or unreachable server does not refuse connections, so it is not taken for crashed.

mod crash;
pub mod exchange;
pub mod pass;
pub mod tracker;
mod trial;

use crate::metrics::Metrics;
use crate::receive::Call;
use crate::server::Server;
use crate::settings::Settings;
use crate::snapshot::Snapshot;
use base::id::{self, DataCentre, Incarnation, Service, Vm};
use base::sync::lock;
use indexmap::IndexMap;
use operators::service;
use peers::local::Runs;
use peers::share::Suspects;
use platform::list::Node;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use steering::attempt::Refusal;
use steering::quarantine::{self, Decision, Delta, Digest, QuarantineRegister, Served};
use tokio::sync::{Notify, watch};

/// Time without news after which another VM counts as dead.
const SILENCE: Duration = Duration::from_secs(2);

/// Longest wait of a request for the first round of exchanges.
const START: Duration = Duration::from_millis(500);

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
    register: Mutex<QuarantineRegister>,
    served: Mutex<Served>,
    /// Grows when the register changes in a way that others must learn.
    revision: AtomicU64,
    peers: Mutex<IndexMap<Vm, Peer>>,
    trials: Mutex<IndexMap<Service, Reserved>>,
    news: Notify,
    /// Whether a first round of exchanges is over.
    started: watch::Sender<bool>,
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
    /// Whether the last trial did not complete; another server is taken then.
    failed: bool,
}

/// A request that may run.
#[derive(Debug)]
pub struct Admitted {
    /// Digest of the request.
    pub digest: Digest,
    /// Where it runs.
    pub assignment: Assignment,
}

/// Where a request runs.
#[derive(Debug, Clone)]
pub enum Assignment {
    /// On any server.
    AnyServer,
    /// Alone on this server, as a trial.
    Trial(Arc<Server>),
    /// At the entry with this address, which runs the trials.
    Coordinator(SocketAddr),
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
            register: Mutex::new(QuarantineRegister::new(
                settings.data_centre.clone(),
                bounds,
            )),
            served: Mutex::default(),
            revision: AtomicU64::new(0),
            peers: Mutex::default(),
            trials: Mutex::default(),
            news: Notify::new(),
            started: watch::Sender::new(false),
            metrics,
        }
    }

    /// Notes that a backend server served a request, so that a crash says little about it.
    pub fn record_served(&self, digest: Digest) {
        lock(&self.served).record(digest, Instant::now());
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
        let at = |assignment| Ok(Admitted { digest, assignment });
        self.start().await;
        if !self.any.load(Ordering::Acquire) {
            return at(Assignment::AnyServer);
        }
        let now = Instant::now();
        let keeper = self.keeper(snapshot, now);
        let admit = lock(&self.register).admit(&digest, keeper, now);
        match admit {
            Decision::Run => at(Assignment::AnyServer),
            Decision::Refuse(Refusal::Suspected) => {
                self.trial_server(service, snapshot).await;
                Err(Refusal::Suspected)
            }
            Decision::Refuse(reason) => Err(reason),
            Decision::Forward(centre) => match self.keeper_of(&centre, snapshot, now) {
                Some(address) => at(Assignment::Coordinator(address)),
                None => Err(Refusal::Suspected),
            },
            Decision::Trial => match self.trial_server(service, snapshot).await {
                Some(server) => {
                    self.metrics.record_trial();
                    log::info!("request {}: trial run on {}", call.id, server.listed.name);
                    at(Assignment::Trial(server))
                }
                None => {
                    lock(&self.register).end_trial(&digest);
                    Err(Refusal::Suspected)
                }
            },
        }
    }

    /// Waits for the first round of exchanges: a fresh entry could run what others quarantined.
    async fn start(&self) {
        if !*self.started.borrow() {
            let mut started = self.started.subscribe();
            let _ = tokio::time::timeout(START, started.wait_for(|started| *started)).await;
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

    fn completed(&self, digest: &Digest) {
        lock(&self.register).record_answer(digest);
        self.changed();
    }

    /// Ends a trial that did not complete, and gives its server up if that had the request.
    fn release(&self, digest: &Digest, failed: Option<&Server>) {
        lock(&self.register).end_trial(digest);
        let Some(server) = failed else {
            return;
        };
        let mut trials = lock(&self.trials);
        let reserved = trials.values_mut();
        reserved
            .filter(|reserved| reserved.server == server.listed.name)
            .for_each(|reserved| reserved.failed = true);
    }

    fn changed(&self) {
        self.revision.fetch_add(1, Ordering::AcqRel);
        self.news.notify_one();
    }

    /// Takes in what another entry knows; returns whether this incarnation of it is new here.
    pub fn merge_report(&self, news: &Suspects) -> bool {
        let peer = Peer {
            incarnation: news.incarnation,
            heard: Instant::now(),
            reserved: news.reserved.clone(),
            revision: 0,
        };
        let known = lock(&self.peers).insert(news.vm.clone(), peer);
        let known = known.filter(|known| known.incarnation == news.incarnation);
        // A restarted entry has nothing of what its predecessor was sent.
        let fresh = known.is_none();
        if let (Some(known), Some(peer)) = (known, lock(&self.peers).get_mut(&news.vm)) {
            peer.revision = known.revision;
        }
        self.merge(news);
        fresh
    }

    fn merge(&self, news: &Suspects) {
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

    /// Returns the answer to news of another entry: all that is known if it is `fresh`.
    pub fn report(&self, fresh: bool) -> Suspects {
        let mut answer = self.hello();
        if fresh {
            answer.delta = lock(&self.register).delta().clone();
        }
        answer
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
    fn hello(&self) -> Suspects {
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
