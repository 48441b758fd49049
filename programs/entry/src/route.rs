//! Chooses the version, the data centre and the backend server of a request.

mod exchange;
mod flight;
mod loan;
mod probe;
mod shard;

pub use flight::Flight;
pub(crate) use shard::Shard;

use crate::authorise::Grant;
use crate::metrics::Metrics;
use crate::receive::Call;
use crate::server::Server;
use crate::settings::Settings;
use crate::snapshot::Snapshot;
use crate::spill::Spill;
use base::id::{self, DataCentre, Incarnation, Label, Vm};
use flight::Hold;
use indexmap::IndexMap;
use operators::service::Service;
use peers::link::Links;
use peers::share::ShareClient;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::{Duration, Instant};
use steering::attempt::Refusal;
use steering::spill::ServiceClass;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Longest pause of a waiting request between two looks for a slot.
const LOOK: Duration = Duration::from_millis(20);

/// Longest wait for a server while the listed ones don't answer; two rounds of probes find out
/// whether one is back.
const PATIENCE: Duration = Duration::from_secs(2);

/// Returns the time by which a request ends.
pub fn deadline(call: &Call, grant: &Grant<'_>) -> Instant {
    call.deadline.min(call.arrived + grant.path.deadline.0)
}

/// What another entry of the data centre last said.
#[derive(Debug)]
struct Peer {
    incarnation: Incarnation,
    demands: IndexMap<id::Service, f64>,
    heard: Instant,
}

/// Choice of servers, with the state that requests share; a lock per service.
#[derive(Debug)]
pub struct Router {
    settings: Settings,
    incarnation: Incarnation,
    started: Instant,
    snapshot: watch::Receiver<Arc<Snapshot>>,
    metrics: Arc<Metrics>,
    shards: RwLock<IndexMap<id::Service, Arc<Shard>>>,
    peers: Mutex<IndexMap<Vm, Peer>>,
    links: Links<ShareClient>,
    spill: Spill,
}

impl Router {
    /// Starts without servers.
    pub fn new(
        settings: Settings,
        incarnation: Incarnation,
        snapshot: watch::Receiver<Arc<Snapshot>>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            spill: Spill::new(&settings),
            settings,
            incarnation,
            started: Instant::now(),
            snapshot,
            metrics,
            shards: RwLock::default(),
            peers: Mutex::default(),
            links: Links::default(),
        }
    }

    /// Exchanges news with other entries and probes local servers until `stop` is cancelled.
    pub async fn run(self: Arc<Self>, stop: CancellationToken) {
        tokio::join!(
            exchange::run(self.clone(), stop.clone()),
            probe::run(self.clone(), stop),
        );
    }

    /// Returns the state of a service; only names of configured services are passed.
    pub(crate) fn shard(&self, service: &str) -> Arc<Shard> {
        let shards = self.shards.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(shard) = shards.get(service) {
            return shard.clone();
        }
        drop(shards);
        let mut shards = self.shards.write().unwrap_or_else(PoisonError::into_inner);
        let new = || {
            Arc::new(Shard::new(
                service,
                &self.settings,
                self.incarnation,
                self.started,
            ))
        };
        shards.entry(service.into()).or_insert_with(new).clone()
    }

    /// Returns the state of the control process as known now.
    pub(crate) fn current(&self) -> Arc<Snapshot> {
        self.snapshot.borrow().clone()
    }

    fn known(&self, service: &str) -> Option<Arc<Shard>> {
        let shards = self.shards.read().unwrap_or_else(PoisonError::into_inner);
        shards.get(service).cloned()
    }

    fn peers(&self) -> MutexGuard<'_, IndexMap<Vm, Peer>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for a server with a free slot and takes the slot.
    ///
    /// # Errors
    ///
    /// Returns why no server takes the request; nothing was sent.
    pub async fn place(
        self: &Arc<Self>,
        call: &Call,
        grant: &Grant<'_>,
        tried: &[id::Server],
        label: &Label,
    ) -> Result<Flight, Refusal> {
        let service = &grant.service.service.value;
        let shard = self.shard(service);
        let mut seek = Seek {
            router: self,
            shard: &shard,
            label: label.clone(),
            class: class(grant.service),
            route: &grant.path.name,
            bytes: call.body.len(),
            deadline: deadline(call, grant),
            tried,
        };
        if tried.is_empty() {
            shard.arrived();
        }
        if !shard.usable(&seek.label, tried, &self.current()) {
            // A step of a release uses few servers of the new version, which other data centres may
            // have.
            if let Some(flight) = seek.abroad().await {
                return Ok(flight);
            }
            seek.label = grant.service.current.clone();
        }
        let drawn = self.spill.choose_data_centre(service, &mut rand::rng());
        if let Some(data_centre) = drawn
            && let Some(flight) = seek.away(&data_centre).await
        {
            return Ok(flight);
        }
        seek.home(self.settings.waiting).await
    }

    /// Takes a server that is reserved for a trial run; it needs no slot, since it is left empty.
    pub fn trial(self: &Arc<Self>, grant: &Grant<'_>, server: &Arc<Server>) -> Flight {
        let shard = self.shard(&grant.service.service.value);
        let version = (server.listed.label.clone(), grant.path.name.clone());
        Flight::new(self.clone(), shard, server.clone(), version, None)
    }
}

/// Whether requests of a service may wait.
pub(crate) fn class(service: &Service) -> ServiceClass {
    match service.deferrable {
        true => ServiceClass::Deferrable,
        false => ServiceClass::Prompt,
    }
}

/// Search of one request for a server.
struct Seek<'a> {
    router: &'a Arc<Router>,
    shard: &'a Arc<Shard>,
    label: Label,
    class: ServiceClass,
    route: &'a str,
    bytes: usize,
    deadline: Instant,
    tried: &'a [id::Server],
}

impl Seek<'_> {
    /// Returns the state now: servers may leave while the request waits.
    fn snapshot(&self) -> Arc<Snapshot> {
        self.router.current()
    }

    /// Waits for a slot of a local server, within the deadline.
    async fn home(&self, most: usize) -> Result<Flight, Refusal> {
        let _waiting = self.shard.wait(most).ok_or(Refusal::Overloaded)?;
        let front = self.shard.front(&self.label);
        let _turn = match &front {
            Some(front) => {
                let turn = tokio::time::timeout_at(self.deadline.into(), front.acquire());
                Some(turn.await.map_err(|_| Refusal::Overloaded)?)
            }
            None => None,
        };
        let give_up = Instant::now() + PATIENCE;
        loop {
            let now = Instant::now();
            if now >= self.deadline {
                return Err(Refusal::Overloaded);
            }
            let taken = self
                .shard
                .take(&self.label, self.tried, &self.snapshot(), now);
            if let Some((server, unit)) = taken {
                return Ok(self.flight(server, Hold::Own(unit)));
            }
            if !self.shard.usable(&self.label, self.tried, &self.snapshot()) {
                if let Some(flight) = self.elsewhere().await {
                    return Ok(flight);
                }
                if now >= give_up || !self.listed() {
                    return Err(Refusal::NoServer);
                }
                self.shard.freed(LOOK.min(self.deadline - now)).await;
                continue;
            }
            if let Some(flight) = self.borrow(&self.router.settings.data_centre).await {
                return Ok(flight);
            }
            self.shard.freed(LOOK.min(self.deadline - now)).await;
        }
    }

    /// Whether a server is listed, in service and not tried, here or elsewhere.
    fn listed(&self) -> bool {
        let snapshot = self.snapshot();
        let mut servers = snapshot.servers(&self.shard.service, &self.label);
        servers.any(|server| !self.tried.contains(&server.listed.name))
    }

    /// Looks in the other data centres: those of the plan, then those with room. The plan follows
    /// measurements, and a data centre that has just lost its servers can't wait for them.
    async fn elsewhere(&self) -> Option<Flight> {
        let spill = &self.router.spill;
        for data_centre in spill.alternatives(&self.shard.service) {
            if let Some(flight) = self.away(&data_centre).await {
                return Some(flight);
            }
        }
        None
    }

    /// Takes a slot in another data centre that has servers of the label, nearest first.
    async fn abroad(&self) -> Option<Flight> {
        let settings = &self.router.settings;
        let snapshot = self.snapshot();
        let servers = snapshot.servers(&self.shard.service, &self.label);
        let others = servers.filter(|server| server.listed.data_centre != settings.data_centre);
        let mut centres: Vec<_> = others
            .map(|server| {
                let listed = &server.listed;
                (listed.region != settings.region, &listed.data_centre)
            })
            .collect();
        centres.sort_unstable();
        centres.dedup();
        for (_, data_centre) in centres {
            if let Some(flight) = self.away(data_centre).await {
                return Some(flight);
            }
        }
        None
    }

    /// Takes a slot in another data centre and charges the link to it.
    async fn away(&self, data_centre: &DataCentre) -> Option<Flight> {
        let mut flight = self.borrow(data_centre).await?;
        let region = flight.server().listed.region.clone();
        if region != self.router.settings.region {
            let service = &self.shard.service;
            let spill = &self.router.spill;
            let charge = spill.admit(&region, service, self.class, self.bytes, Instant::now());
            let Some(charge) = charge else {
                flight.unused();
                return None;
            };
            flight.charge(charge, self.class, self.bytes);
        }
        self.router.metrics.record_spilled(data_centre);
        Some(flight)
    }

    async fn borrow(&self, data_centre: &DataCentre) -> Option<Flight> {
        let loan = loan::borrow(self, data_centre).await?;
        let server = self.snapshot().server(loan.server())?.clone();
        Some(self.flight(server, Hold::Lent(loan)))
    }

    fn flight(&self, server: Arc<Server>, hold: Hold) -> Flight {
        Flight::new(
            self.router.clone(),
            self.shard.clone(),
            server,
            (self.label.clone(), self.route.into()),
            Some(hold),
        )
    }
}
