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

/// Time without a report after which another VM counts as dead.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time that a request waits for the first round of exchanges.
const STARTUP_TIMEOUT: Duration = Duration::from_millis(500);

/// Digests of requests that crash servers, and the state of the entries of other VMs.
#[derive(Debug)]
pub struct Quarantine {
    vm: Vm,
    incarnation: Incarnation,
    settings: quarantine::Settings,
    /// Set once a digest is suspected or quarantined; until then requests take no lock.
    has_digests: AtomicBool,
    // One lock, because trials are decided over all digests. Requests take it only once a digest
    // has been suspected or quarantined.
    register: Mutex<QuarantineRegister>,
    served: Mutex<Served>,
    /// Incremented when the register changes in a way that other entries must learn.
    revision: AtomicU64,
    peers: Mutex<IndexMap<Vm, Peer>>,
    trial_servers: Mutex<IndexMap<Service, Reservation>>,
    exchange_due: Notify,
    /// Whether the first round of exchanges is over.
    first_exchange_done: watch::Sender<bool>,
    metrics: Arc<Metrics>,
}

/// The entry of another VM.
#[derive(Debug, Clone)]
struct Peer {
    incarnation: Incarnation,
    last_heard: Instant,
    reserved: Vec<id::Server>,
    /// Revision of the register that it has acknowledged.
    known_revision: u64,
}

#[derive(Debug, Clone)]
struct Reservation {
    server: id::Server,
    expires_at: Instant,
    /// Whether the last trial did not complete, so that another server must be reserved.
    failed: bool,
}

/// A request that may run, and where.
#[derive(Debug)]
pub struct Admitted {
    /// Digest of the request.
    pub digest: Digest,
    /// Servers that may run it.
    pub assignment: Assignment,
}

/// Which servers may run a request.
#[derive(Debug, Clone)]
pub enum Assignment {
    /// Any server.
    AnyServer,
    /// This server only, as a trial without other requests.
    Trial(Arc<Server>),
    /// A server chosen by the trial coordinator, the entry with this address.
    Coordinator(SocketAddr),
}

impl Quarantine {
    /// Creates an empty quarantine.
    pub fn new(settings: &Settings, incarnation: Incarnation, metrics: Arc<Metrics>) -> Self {
        let bounds = quarantine::Settings::default();
        Self {
            vm: settings.vm.clone(),
            incarnation,
            settings: bounds,
            has_digests: AtomicBool::new(false),
            register: Mutex::new(QuarantineRegister::new(
                settings.data_centre.clone(),
                bounds,
            )),
            served: Mutex::default(),
            revision: AtomicU64::new(0),
            peers: Mutex::default(),
            trial_servers: Mutex::default(),
            exchange_due: Notify::new(),
            first_exchange_done: watch::Sender::new(false),
            metrics,
        }
    }

    /// Records that a backend server served a request, so that a crash soon after does not make it
    /// suspected.
    pub fn record_served(&self, digest: Digest) {
        lock(&self.served).record(digest, Instant::now());
    }

    /// Decides whether a request may run, and on which server if it is suspected.
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
        self.wait_for_first_exchange().await;
        if !self.has_digests.load(Ordering::Acquire) {
            return at(Assignment::AnyServer);
        }
        let now = Instant::now();
        let is_coordinator = self.is_coordinator(snapshot, now);
        let decision = lock(&self.register).admit(&digest, is_coordinator, now);
        match decision {
            Decision::Run => at(Assignment::AnyServer),
            Decision::Refuse(Refusal::Suspected) => {
                self.trial_server(service, snapshot).await;
                Err(Refusal::Suspected)
            }
            Decision::Refuse(reason) => Err(reason),
            Decision::Forward(data_centre) => {
                match self.coordinator_address(&data_centre, snapshot, now) {
                    Some(address) => at(Assignment::Coordinator(address)),
                    None => Err(Refusal::Suspected),
                }
            }
            Decision::Trial => match self.trial_server(service, snapshot).await {
                Some(server) => {
                    self.metrics.record_trial();
                    log::info!(
                        "request {}: trial run on server {}",
                        call.id,
                        server.listed.name
                    );
                    at(Assignment::Trial(server))
                }
                None => {
                    lock(&self.register).end_trial(&digest);
                    Err(Refusal::Suspected)
                }
            },
        }
    }

    /// Waits for the first round of exchanges; before it, a started entry could run requests that
    /// other entries have quarantined.
    async fn wait_for_first_exchange(&self) {
        if !*self.first_exchange_done.borrow() {
            let mut done = self.first_exchange_done.subscribe();
            let _ = tokio::time::timeout(STARTUP_TIMEOUT, done.wait_for(|done| *done)).await;
        }
    }

    /// Returns whether this VM is the trial coordinator of its data centre.
    fn is_coordinator(&self, snapshot: &Snapshot, now: Instant) -> bool {
        let own = snapshot.nodes().iter().find(|node| node.name == self.vm);
        let coordinator = own.and_then(|own| self.coordinator(&own.data_centre, snapshot, now));
        coordinator.is_some_and(|coordinator| coordinator.name == self.vm)
    }

    /// Returns the address of the trial coordinator of a data centre, unless it is this VM.
    fn coordinator_address(
        &self,
        data_centre: &DataCentre,
        snapshot: &Snapshot,
        now: Instant,
    ) -> Option<SocketAddr> {
        let coordinator = self.coordinator(data_centre, snapshot, now)?;
        (coordinator.name != self.vm).then_some(coordinator.share)
    }

    /// Returns the trial coordinator of a data centre: its first live VM by name.
    fn coordinator<'a>(
        &self,
        data_centre: &DataCentre,
        snapshot: &'a Snapshot,
        now: Instant,
    ) -> Option<&'a Node> {
        let peers = lock(&self.peers);
        let is_live_peer = |vm: &Vm| {
            peers
                .get(vm)
                .is_some_and(|peer| now < peer.last_heard + PEER_TIMEOUT)
        };
        let live = |node: &&Node| node.name == self.vm || is_live_peer(&node.name);
        let nodes = snapshot.nodes().iter();
        nodes
            .filter(|node| node.data_centre == *data_centre)
            .filter(live)
            .min_by_key(|node| &node.name)
    }

    fn record_trial_answer(&self, digest: &Digest) {
        lock(&self.register).record_answer(digest);
        self.notify_change();
    }

    /// Ends a trial that did not complete; `failed` is its server if that received the request, and
    /// another one is reserved then.
    fn end_trial(&self, digest: &Digest, failed: Option<&Server>) {
        lock(&self.register).end_trial(digest);
        let Some(server) = failed else {
            return;
        };
        let mut trials = lock(&self.trial_servers);
        let reserved = trials.values_mut();
        reserved
            .filter(|reserved| reserved.server == server.listed.name)
            .for_each(|reserved| reserved.failed = true);
    }

    fn notify_change(&self) {
        self.revision.fetch_add(1, Ordering::AcqRel);
        self.exchange_due.notify_one();
    }

    /// Merges another entry's report; returns whether its incarnation was unknown until now.
    pub fn merge_report(&self, report: &Suspects) -> bool {
        let peer = Peer {
            incarnation: report.incarnation,
            last_heard: Instant::now(),
            reserved: report.reserved.clone(),
            known_revision: 0,
        };
        let known = lock(&self.peers).insert(report.vm.clone(), peer);
        let known = known.filter(|known| known.incarnation == report.incarnation);
        // A restarted entry has lost the reports that its previous incarnation received.
        let is_new = known.is_none();
        if let (Some(known), Some(peer)) = (known, lock(&self.peers).get_mut(&report.vm)) {
            peer.known_revision = known.known_revision;
        }
        self.merge_delta(report);
        is_new
    }

    fn merge_delta(&self, report: &Suspects) {
        if report.delta.quarantined.is_empty() && report.delta.suspects.is_empty() {
            return;
        }
        self.has_digests.store(true, Ordering::Release);
        let mut register = lock(&self.register);
        let before = register.delta().clone();
        register.merge(&report.delta, Instant::now());
        if *register.delta() != before {
            self.notify_change();
        }
    }

    /// Returns the answer to another entry's report, with the whole register if the entry `is_new`.
    pub fn report(&self, is_new: bool) -> Suspects {
        let mut report = self.empty_report();
        if is_new {
            report.delta = lock(&self.register).delta().clone();
        }
        report
    }

    /// Returns the report for another VM, and the revision of the register that it contains.
    fn report_for(&self, vm: &str) -> (Suspects, u64) {
        let revision = self.revision.load(Ordering::Acquire);
        let known = lock(&self.peers)
            .get(vm)
            .map_or(0, |peer| peer.known_revision);
        let delta = if known == revision {
            Delta::default()
        } else {
            lock(&self.register).delta().clone()
        };
        (
            Suspects {
                delta,
                ..self.empty_report()
            },
            revision,
        )
    }

    /// Returns a report without digests.
    fn empty_report(&self) -> Suspects {
        Suspects {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            reserved: self.own_reserved(),
            delta: Delta::default(),
        }
    }

    /// Returns the incarnations of all live entries, this one included.
    pub fn incarnations(&self) -> Runs {
        let now = Instant::now();
        let mut peers = lock(&self.peers);
        peers.retain(|_, peer| now < peer.last_heard + PEER_TIMEOUT);
        let own = (self.vm.clone(), self.incarnation);
        let runs = peers
            .iter()
            .map(|(vm, peer)| (vm.clone(), peer.incarnation));
        let mut runs: Runs = runs.chain([own]).collect();
        runs.sort_unstable_keys();
        runs
    }
}
