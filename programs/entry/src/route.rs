//! Chooses the version, the data centre and the backend server of a request.

mod exchange;
mod in_flight;
mod loan;
mod probe;
mod service_state;

pub use in_flight::InFlightRequest;
pub(crate) use service_state::ServiceState;

use crate::authorise::Grant;
use crate::metrics::Metrics;
use crate::receive::Call;
use crate::server::Server;
use crate::settings::Settings;
use crate::snapshot::Snapshot;
use crate::spill::Spill;
use base::id::{self, DataCentre, Incarnation, Label, Vm};
use in_flight::HeldSlot;
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

/// Longest time after which a waiting request searches for a slot again.
const SLOT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Longest wait for a server while none of the listed ones can be used; two rounds of probes show
/// whether one has recovered.
const NO_SERVER_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns the deadline of a request: the earlier one of its caller and its route.
pub fn deadline(call: &Call, grant: &Grant<'_>) -> Instant {
    call.deadline.min(call.arrived + grant.route.deadline.0)
}

/// Last report of another entry of the data centre.
#[derive(Debug)]
struct PeerReport {
    incarnation: Incarnation,
    demands: IndexMap<id::Service, f64>,
    received_at: Instant,
}

/// Chooses servers and holds the state that requests share, behind one lock for each service.
#[derive(Debug)]
pub struct Router {
    settings: Settings,
    incarnation: Incarnation,
    started_at: Instant,
    snapshot: watch::Receiver<Arc<Snapshot>>,
    metrics: Arc<Metrics>,
    services: RwLock<IndexMap<id::Service, Arc<ServiceState>>>,
    peer_reports: Mutex<IndexMap<Vm, PeerReport>>,
    links: Links<ShareClient>,
    spill: Spill,
}

impl Router {
    /// Creates a router without servers.
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
            started_at: Instant::now(),
            snapshot,
            metrics,
            services: RwLock::default(),
            peer_reports: Mutex::default(),
            links: Links::default(),
        }
    }

    /// Exchanges reports with other entries and probes local servers until `stop` is cancelled.
    pub async fn run(self: Arc<Self>, stop: CancellationToken) {
        tokio::join!(
            exchange::run(self.clone(), stop.clone()),
            probe::run(self.clone(), stop),
        );
    }

    /// Returns the state of a service, created if needed; the service must be configured, since the
    /// state is never dropped.
    pub(crate) fn service_state(&self, service: &str) -> Arc<ServiceState> {
        let services = self.services.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(state) = services.get(service) {
            return state.clone();
        }
        drop(services);
        let mut services = self
            .services
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        let new = || {
            Arc::new(ServiceState::new(
                service,
                &self.settings,
                self.incarnation,
                self.started_at,
            ))
        };
        services.entry(service.into()).or_insert_with(new).clone()
    }

    /// Returns the last snapshot of the control process.
    pub(crate) fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.borrow().clone()
    }

    fn existing_service(&self, service: &str) -> Option<Arc<ServiceState>> {
        let services = self.services.read().unwrap_or_else(PoisonError::into_inner);
        services.get(service).cloned()
    }

    fn peer_reports(&self) -> MutexGuard<'_, IndexMap<Vm, PeerReport>> {
        self.peer_reports
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for a server with a free slot and takes the slot, in another data centre if the plan
    /// sends the request there.
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
    ) -> Result<InFlightRequest, Refusal> {
        let service = &grant.service.service.value;
        let state = self.service_state(service);
        let mut search = ServerSearch {
            router: self,
            state: &state,
            label: label.clone(),
            class: service_class(grant.service),
            route: &grant.route.name,
            bytes: call.body.len(),
            deadline: deadline(call, grant),
            tried,
        };
        if tried.is_empty() {
            state.record_arrival();
        }
        if !state.has_usable_server(&search.label, tried, &self.snapshot()) {
            // A release step may use only a few servers of the new version, all of them in other
            // data centres.
            if let Some(request) = search.take_remote().await {
                return Ok(request);
            }
            search.label = grant.service.current.clone();
        }
        let drawn = self.spill.choose_data_centre(service, &mut rand::rng());
        if let Some(data_centre) = drawn
            && let Some(request) = search.borrow_from(&data_centre).await
        {
            return Ok(request);
        }
        search.take_local(self.settings.waiting).await
    }

    /// Takes a server that is reserved for a trial run. No slot is needed, since the server gets no
    /// other requests.
    pub fn trial(self: &Arc<Self>, grant: &Grant<'_>, server: &Arc<Server>) -> InFlightRequest {
        let state = self.service_state(&grant.service.service.value);
        let version = (server.listed.label.clone(), grant.route.name.clone());
        InFlightRequest::new(self.clone(), state, server.clone(), version, None)
    }
}

/// Returns whether requests of a service are prompt or deferrable.
pub(crate) fn service_class(service: &Service) -> ServiceClass {
    match service.deferrable {
        true => ServiceClass::Deferrable,
        false => ServiceClass::Prompt,
    }
}

/// Search for a server on behalf of one request.
struct ServerSearch<'a> {
    router: &'a Arc<Router>,
    state: &'a Arc<ServiceState>,
    label: Label,
    class: ServiceClass,
    route: &'a str,
    bytes: usize,
    deadline: Instant,
    tried: &'a [id::Server],
}

impl ServerSearch<'_> {
    /// Returns the latest snapshot: servers may leave while the request waits.
    fn snapshot(&self) -> Arc<Snapshot> {
        self.router.snapshot()
    }

    /// Waits for a slot of a local server until the deadline. Other data centres are asked while no
    /// local server can be used.
    async fn take_local(&self, max_waiting: usize) -> Result<InFlightRequest, Refusal> {
        let _waiting = self
            .state
            .enter_wait(max_waiting)
            .ok_or(Refusal::Overloaded)?;
        let permits = self.state.search_permits(&self.label);
        let _permit = match &permits {
            Some(permits) => {
                let permit = tokio::time::timeout_at(self.deadline.into(), permits.acquire());
                Some(permit.await.map_err(|_| Refusal::Overloaded)?)
            }
            None => None,
        };
        let give_up_at = Instant::now() + NO_SERVER_TIMEOUT;
        loop {
            let now = Instant::now();
            if now >= self.deadline {
                return Err(Refusal::Overloaded);
            }
            let taken = self
                .state
                .take_slot(&self.label, self.tried, &self.snapshot(), now);
            if let Some((server, unit)) = taken {
                return Ok(self.in_flight(server, HeldSlot::Own(unit)));
            }
            if !self
                .state
                .has_usable_server(&self.label, self.tried, &self.snapshot())
            {
                if let Some(request) = self.take_planned().await {
                    return Ok(request);
                }
                if now >= give_up_at || !self.has_listed_server() {
                    return Err(Refusal::NoServer);
                }
                self.state
                    .wait_freed(SLOT_POLL_INTERVAL.min(self.deadline - now))
                    .await;
                continue;
            }
            if let Some(request) = self.borrow(&self.router.settings.data_centre).await {
                return Ok(request);
            }
            self.state
                .wait_freed(SLOT_POLL_INTERVAL.min(self.deadline - now))
                .await;
        }
    }

    /// Returns whether any data centre has a listed server in service that was not tried.
    fn has_listed_server(&self) -> bool {
        let snapshot = self.snapshot();
        let mut servers = snapshot.servers(&self.state.service, &self.label);
        servers.any(|server| !self.tried.contains(&server.listed.name))
    }

    /// Takes a slot in another data centre: those of the plan first, then those with free capacity.
    ///
    /// The plan follows measured loads, which lag behind when a data centre loses its servers.
    async fn take_planned(&self) -> Option<InFlightRequest> {
        let spill = &self.router.spill;
        for data_centre in spill.alternatives(&self.state.service) {
            if let Some(request) = self.borrow_from(&data_centre).await {
                return Some(request);
            }
        }
        None
    }

    /// Takes a slot in another data centre that has servers of the version, those of the own region
    /// first.
    async fn take_remote(&self) -> Option<InFlightRequest> {
        let settings = &self.router.settings;
        let snapshot = self.snapshot();
        let servers = snapshot.servers(&self.state.service, &self.label);
        let others = servers.filter(|server| server.listed.data_centre != settings.data_centre);
        let mut data_centres: Vec<_> = others
            .map(|server| {
                let listed = &server.listed;
                (listed.region != settings.region, &listed.data_centre)
            })
            .collect();
        data_centres.sort_unstable();
        data_centres.dedup();
        for (_, data_centre) in data_centres {
            if let Some(request) = self.borrow_from(data_centre).await {
                return Some(request);
            }
        }
        None
    }

    /// Takes a slot in another data centre and charges the link to it.
    async fn borrow_from(&self, data_centre: &DataCentre) -> Option<InFlightRequest> {
        let mut request = self.borrow(data_centre).await?;
        let region = request.server().listed.region.clone();
        if region != self.router.settings.region {
            let service = &self.state.service;
            let spill = &self.router.spill;
            let charge = spill.admit(&region, service, self.class, self.bytes, Instant::now());
            let Some(charge) = charge else {
                request.discard_unsent();
                return None;
            };
            request.charge(charge, self.class, self.bytes);
        }
        self.router.metrics.record_spilled(data_centre);
        Some(request)
    }

    async fn borrow(&self, data_centre: &DataCentre) -> Option<InFlightRequest> {
        let loan = loan::borrow(self, data_centre).await?;
        let server = self.snapshot().server(loan.server())?.clone();
        Some(self.in_flight(server, HeldSlot::Borrowed(loan)))
    }

    fn in_flight(&self, server: Arc<Server>, slot: HeldSlot) -> InFlightRequest {
        InFlightRequest::new(
            self.router.clone(),
            self.state.clone(),
            server,
            (self.label.clone(), self.route.into()),
            Some(slot),
        )
    }
}
