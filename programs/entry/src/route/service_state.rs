//! State of one service: local servers, slots, waiting requests and the retry budget.

mod local_servers;

use crate::server::Server;
use crate::settings::Settings;
use crate::snapshot::Snapshot;
use backends::probe::{Health, State as HealthState};
use base::id::{self, Incarnation, Vm};
use indexmap::IndexMap;
use local_servers::LocalServers;
use peers::share::{Load, Want};
use platform::list;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use steering::balance::{Completion, Loan, Notice, Summary, Unit, Verdict};
use steering::retry::RetryCause;
use tokio::sync::{Notify, Semaphore, SemaphorePermit};

/// Most requests of one service that borrow from entries of this data centre at the same time.
///
/// A request that waits for a lender does not notice when a slot of this entry becomes free.
const MAX_LOCAL_BORROWS: usize = 2;
/// Most requests of one service that borrow from other data centres at the same time.
const MAX_REMOTE_BORROWS: usize = 32;
/// Weight of a new sample in the mean service time.
const SERVICE_TIME_WEIGHT: f64 = 0.02;
/// Incarnation of every backend server; their interface doesn't tell one run from another.
const SERVER_INCARNATION: Incarnation = 0;

/// State of one service.
#[derive(Debug)]
pub(crate) struct ServiceState {
    pub(super) service: id::Service,
    servers: Mutex<LocalServers>,
    freed: Notify,
    waiting: AtomicUsize,
    local_borrows: Semaphore,
    remote_borrows: Semaphore,
}

/// Counts a request as waiting until it is dropped.
pub(super) struct WaitingGuard<'a>(&'a AtomicUsize);

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ServiceState {
    /// Creates the state without servers; `now` is the start of the entry.
    pub(super) fn new(
        service: &str,
        settings: &Settings,
        incarnation: Incarnation,
        now: Instant,
    ) -> Self {
        Self {
            service: service.into(),
            servers: Mutex::new(LocalServers::new(settings, incarnation, now)),
            freed: Notify::new(),
            waiting: AtomicUsize::new(0),
            local_borrows: Semaphore::new(MAX_LOCAL_BORROWS),
            remote_borrows: Semaphore::new(MAX_REMOTE_BORROWS),
        }
    }

    fn servers(&self) -> MutexGuard<'_, LocalServers> {
        self.servers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies the local servers of the list and the entries of the data centre; returns the load.
    pub(super) fn apply_list(
        &self,
        servers: &[Arc<Server>],
        members: IndexMap<Vm, Incarnation>,
        snapshot: &Snapshot,
        now: Instant,
    ) -> Load {
        let mut local = self.servers();
        let is_kept = |known: &Server| {
            let same = |s: &&Arc<Server>| s.listed.name == known.listed.name;
            let listed = servers.iter().find(same);
            listed.is_some_and(|s| s.listed.label == known.listed.label)
        };
        let removed: Vec<_> = (local.servers.iter())
            .filter(|(_, known)| !is_kept(known))
            .map(|(name, _)| name.clone())
            .collect();
        removed.iter().for_each(|name| local.remove(name));
        for server in servers {
            local.insert(server);
            let leaving = server.listed.state == list::State::Leaving;
            local
                .leaving
                .record_listed(&server.listed.name, now, leaving);
        }
        let LocalServers {
            versions, servers, ..
        } = &mut *local;
        versions.retain(|label, _| servers.values().any(|s| s.listed.label == *label));
        let slots = (local.servers.values())
            .map(|server| (server.listed.name.clone(), server.listed.slots))
            .collect();
        local.slots.apply(slots, members, now);
        local.slots.update(now);
        let load = local.measure(snapshot, now);
        drop(local);
        self.freed.notify_one();
        load
    }

    /// Returns the slots, latencies and ejections that are reported to other entries.
    pub(super) fn report(&self, now: Instant) -> (Notice, Vec<Summary>, Vec<Verdict>) {
        let mut local = self.servers();
        let verdicts = (local.versions.values())
            .flat_map(|version| version.outliers.verdicts(now))
            .collect();
        let summaries = (local.versions.values())
            .flat_map(|version| version.outliers.summaries(now))
            .collect();
        (local.slots.notice(now), summaries, verdicts)
    }

    /// Applies the slots that another entry uses.
    pub(super) fn apply_notice(&self, notice: Notice, now: Instant) {
        self.servers().slots.apply_notice(notice, now);
    }

    /// Merges the latencies that another entry measured.
    pub(super) fn merge_summaries(&self, label: &str, summaries: Vec<Summary>, now: Instant) {
        if let Some(version) = self.servers().versions.get_mut(label) {
            version.outliers.merge_summaries(summaries, now);
        }
    }

    /// Merges an ejection, or its end, that another entry of the data centre decided.
    pub(super) fn merge_verdict(&self, label: &str, verdict: Verdict, now: Instant) {
        if let Some(version) = self.servers().versions.get_mut(label) {
            version.outliers.merge_verdicts([verdict], now);
        }
    }

    /// Records a request of a caller.
    pub(super) fn record_arrival(&self) {
        self.servers().arrivals.count += 1;
    }

    /// Returns the rate of requests from callers of this entry.
    pub(super) fn demand(&self) -> f64 {
        self.servers().arrivals.per_second
    }

    /// Returns the rate of slots lent to other data centres.
    pub(super) fn lent_rate(&self) -> f64 {
        self.servers().lent.per_second
    }

    /// Returns whether a local server may take the request, now or when a slot becomes free.
    pub(super) fn has_usable_server(
        &self,
        label: &str,
        tried: &[id::Server],
        snapshot: &Snapshot,
    ) -> bool {
        let local = self.servers();
        (local.servers.values()).any(|server| {
            *server.listed.label == *label && local.is_usable(server, tried, snapshot)
        })
    }

    /// Returns the tried servers and the local ones that may take no requests.
    pub(super) fn unusable_servers(
        &self,
        tried: &[id::Server],
        snapshot: &Snapshot,
    ) -> Vec<id::Server> {
        let local = self.servers();
        let servers = local.servers.values();
        let unusable = servers.filter(|server| !local.is_usable(server, &[], snapshot));
        let names = unusable.map(|server| server.listed.name.clone());
        tried.iter().cloned().chain(names).collect()
    }

    /// Takes a slot of a local server.
    pub(super) fn take_slot(
        &self,
        label: &str,
        tried: &[id::Server],
        snapshot: &Snapshot,
        now: Instant,
    ) -> Option<(Arc<Server>, Unit)> {
        let mut local = self.servers();
        let server = local.choose(label, tried, snapshot, now)?;
        let unit = local.slots.take(&server.listed.name)?;
        if let Some(version) = local.versions.get_mut(label) {
            version.balancer.begin(&server.listed.name);
        }
        Some((server, unit))
    }

    /// Frees the slot of an ended request.
    pub(super) fn release_slot(
        &self,
        label: &str,
        server: &str,
        unit: Unit,
        completion: Completion,
    ) {
        let mut local = self.servers();
        local.slots.release(server, unit);
        if let Some(version) = local.versions.get_mut(label) {
            version.balancer.end(server, completion, Instant::now());
        }
        drop(local);
        self.freed.notify_one();
    }

    /// Lends a slot for one request; `is_local` says whether the borrower is in this data centre.
    pub(super) fn lend(
        &self,
        want: &Want,
        is_local: bool,
        snapshot: &Snapshot,
        now: Instant,
    ) -> Option<Loan> {
        // Requests that wait here take precedence over those of other data centres.
        if !is_local && self.waiting.load(Ordering::Relaxed) > 0 {
            return None;
        }
        let mut local = self.servers();
        let server = local.choose(&want.label, &want.except, snapshot, now)?;
        let loan = local.slots.lend_for(&server.listed.name, want.term, now);
        local.lent.count += u32::from(loan.is_some() && !is_local);
        loan
    }

    /// Frees a lent slot.
    pub(super) fn return_loan(&self, loan: &Loan) {
        self.servers().slots.return_loan(loan);
        self.freed.notify_one();
    }

    /// Counts a request as waiting, or returns nothing if `max_waiting` wait already.
    pub(super) fn enter_wait(&self, max_waiting: usize) -> Option<WaitingGuard<'_>> {
        let before = self.waiting.fetch_add(1, Ordering::Relaxed);
        let guard = WaitingGuard(&self.waiting);
        (before < max_waiting).then_some(guard)
    }

    /// Returns the permits to search for slots of a version, granted in order of arrival.
    pub(super) fn search_permits(&self, label: &str) -> Option<Arc<Semaphore>> {
        let local = self.servers();
        local
            .versions
            .get(label)
            .map(|version| version.search_permits.clone())
    }

    /// Waits until a slot may have become free, for at most `timeout`.
    pub(super) async fn wait_freed(&self, timeout: Duration) {
        let _ = tokio::time::timeout(timeout, self.freed.notified()).await;
    }

    /// Returns a permit to borrow from other entries, if one is free.
    pub(super) fn borrow_permit(&self, is_local: bool) -> Option<SemaphorePermit<'_>> {
        let permits = if is_local {
            &self.local_borrows
        } else {
            &self.remote_borrows
        };
        permits.try_acquire().ok()
    }

    /// Records the latency of an answer; returns whether it causes the ejection of the server.
    pub(super) fn record_latency(
        &self,
        label: &str,
        route: &str,
        server: &str,
        latency: Duration,
        now: Instant,
    ) -> bool {
        let mut local = self.servers();
        // Servers of other data centres are ejected by the entries there.
        if !local.servers.contains_key(server) {
            return false;
        }
        let Some(version) = local.versions.get_mut(label) else {
            return false;
        };
        let outliers = &mut version.outliers;
        let before = outliers.ejected(server);
        outliers.record(route, server, latency, now);
        !before && outliers.ejected(server)
    }

    /// Records how long a request held its slot.
    pub(super) fn record_service_time(&self, service_time: Duration) {
        let mut local = self.servers();
        let error = service_time.as_secs_f64() - local.mean_service_time;
        local.mean_service_time += SERVICE_TIME_WEIGHT * error;
    }

    /// Records that a server refused a request because it leaves.
    pub(super) fn record_refusal(&self, server: &str, sent_at: Instant, now: Instant) {
        let mut local = self.servers();
        if local.servers.contains_key(server) {
            local
                .leaving
                .record_refusal(server, SERVER_INCARNATION, sent_at, now);
        }
    }

    /// Records that a server refused a connection.
    pub(super) fn record_connect_refused(&self, server: &str) {
        let mut local = self.servers();
        if local.servers.contains_key(server) && local.refusing.insert(server.into()) {
            log::warn!("server {server} refuses connections");
        }
    }

    /// Records the result of a probe sent at `sent_at`.
    pub(super) fn record_probe(&self, server: &str, health: Option<&Health>, sent_at: Instant) {
        let now = Instant::now();
        let mut local = self.servers();
        let Some(label) = (local.servers.get(server)).map(|s| s.listed.label.clone()) else {
            return;
        };
        let leaving = health.is_some_and(|health| health.state == HealthState::Leaving);
        let warming = health.is_some_and(|health| health.state == HealthState::Warming);
        let newly_cold = match warming {
            true => local.warming.insert(server.into()),
            false => {
                local.warming.swap_remove(server);
                false
            }
        };
        if let Some(version) = local.versions.get_mut(&label) {
            let balancer = &mut version.balancer;
            if newly_cold {
                balancer.insert(server, Some(sent_at));
            }
            balancer.report_health(server, health.is_some() && !leaving, sent_at);
            if let Some(health) = health {
                let load = f64::from(health.in_flight) / f64::from(health.slots.max(1));
                balancer.report_load(server, load, sent_at);
            }
        }
        if health.is_some() {
            local
                .leaving
                .record_health(server, SERVER_INCARNATION, sent_at, now, leaving);
            if local.refusing.swap_remove(server) {
                log::info!("server {server} accepts connections again");
            }
        }
    }

    /// Records a success at the first try, which earns retries.
    pub(crate) fn record_success(&self) {
        self.servers().budget.record_success();
    }

    /// Returns whether the budget allows a retry of an overdue request.
    pub(crate) fn can_retry(&self) -> bool {
        self.servers().budget.allows(RetryCause::Overdue)
    }

    /// Takes a retry from the budget.
    pub(crate) fn take_retry(&self) -> bool {
        self.servers().budget.try_take()
    }
}
