//! State of one service: its local servers, their slots, and the retry budget.

mod state;

use crate::server::Server;
use crate::settings::Settings;
use crate::snapshot::Snapshot;
use backends::probe::{Health, State as Fitness};
use base::id::{self, Incarnation, Vm};
use indexmap::IndexMap;
use peers::share::{Load, Want};
use platform::list;
use state::State;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use steering::balance::{Completion, Loan, Notice, Summary, Unit, Verdict};
use steering::retry::RetryCause;
use tokio::sync::{Notify, Semaphore, SemaphorePermit};

/// Most requests of one service that ask the entries of this data centre for a slot at once.
///
/// A request that asks does not see when a slot of this entry becomes free.
const NEAR: usize = 2;
/// Most requests of one service that ask entries of other data centres for a slot at once.
const FAR: usize = 32;
/// Weight of a new sample in the mean time of a request.
const WEIGHT: f64 = 0.02;
/// Run of a backend server; their interface doesn't tell one run from another.
const RUN: Incarnation = 0;

/// State of one service.
#[derive(Debug)]
pub(crate) struct Shard {
    pub(super) service: id::Service,
    state: Mutex<State>,
    freed: Notify,
    waiting: AtomicUsize,
    near: Semaphore,
    far: Semaphore,
}

/// Counts a request as waiting until it is dropped.
pub(super) struct Wait<'a>(&'a AtomicUsize);

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Shard {
    /// Starts without servers; `now` is the start of the entry.
    pub(super) fn new(
        service: &str,
        settings: &Settings,
        incarnation: Incarnation,
        now: Instant,
    ) -> Self {
        Self {
            service: service.into(),
            state: Mutex::new(State::new(settings, incarnation, now)),
            freed: Notify::new(),
            waiting: AtomicUsize::new(0),
            near: Semaphore::new(NEAR),
            far: Semaphore::new(FAR),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies the local servers of the list and the entries of the data centre; returns the load.
    pub(super) fn sync(
        &self,
        servers: &[Arc<Server>],
        members: IndexMap<Vm, Incarnation>,
        snapshot: &Snapshot,
        now: Instant,
    ) -> Load {
        let mut state = self.state();
        let kept = |known: &Server| {
            let same = |s: &&Arc<Server>| s.listed.name == known.listed.name;
            let found = servers.iter().find(same);
            found.is_some_and(|s| s.listed.label == known.listed.label)
        };
        let gone: Vec<_> = (state.servers.iter())
            .filter(|(_, known)| !kept(known))
            .map(|(name, _)| name.clone())
            .collect();
        gone.iter().for_each(|name| state.remove(name));
        for server in servers {
            state.insert(server);
            let leaving = server.listed.state == list::State::Leaving;
            state
                .leaving
                .record_listed(&server.listed.name, now, leaving);
        }
        let State {
            versions, servers, ..
        } = &mut *state;
        versions.retain(|label, _| servers.values().any(|s| s.listed.label == *label));
        let units = (state.servers.values())
            .map(|server| (server.listed.name.clone(), server.listed.slots))
            .collect();
        state.slots.apply(units, members, now);
        state.slots.update(now);
        let load = state.measure(snapshot, now);
        drop(state);
        self.freed.notify_one();
        load
    }

    /// Returns what other entries are told: slots, latencies and ejections.
    pub(super) fn news(&self, now: Instant) -> (Notice, Vec<Summary>, Vec<Verdict>) {
        let mut state = self.state();
        let verdicts = (state.versions.values())
            .flat_map(|version| version.outlier.verdicts(now))
            .collect();
        let summaries = (state.versions.values())
            .flat_map(|version| version.outlier.summaries(now))
            .collect();
        (state.slots.notice(now), summaries, verdicts)
    }

    /// Takes in the slots that another entry uses.
    pub(super) fn hear(&self, notice: Notice, now: Instant) {
        self.state().slots.apply_notice(notice, now);
    }

    /// Takes in the latencies that another entry measured.
    pub(super) fn learn(&self, label: &str, summaries: Vec<Summary>, now: Instant) {
        if let Some(version) = self.state().versions.get_mut(label) {
            version.outlier.merge_summaries(summaries, now);
        }
    }

    /// Takes in an ejection or return that another entry of the data centre decided.
    pub(super) fn follow(&self, label: &str, verdict: Verdict, now: Instant) {
        if let Some(version) = self.state().versions.get_mut(label) {
            version.outlier.merge_verdicts([verdict], now);
        }
    }

    /// Counts a request of a caller.
    pub(super) fn arrived(&self) {
        self.state().arrived.count += 1;
    }

    /// Returns the rate of requests from callers of this entry.
    pub(super) fn demand(&self) -> f64 {
        self.state().arrived.per_second
    }

    /// Returns the rate of slots lent to other data centres.
    pub(super) fn lent(&self) -> f64 {
        self.state().lent.per_second
    }

    /// Returns whether a local server may get the request, at once or later.
    pub(super) fn usable(&self, label: &str, tried: &[id::Server], snapshot: &Snapshot) -> bool {
        let state = self.state();
        (state.servers.values())
            .any(|server| *server.listed.label == *label && state.fit(server, tried, snapshot))
    }

    /// Returns the tried servers and the local ones that may get no request.
    pub(super) fn unfit(&self, tried: &[id::Server], snapshot: &Snapshot) -> Vec<id::Server> {
        let state = self.state();
        let local = state.servers.values();
        let unfit = local.filter(|server| !state.fit(server, &[], snapshot));
        let names = unfit.map(|server| server.listed.name.clone());
        tried.iter().cloned().chain(names).collect()
    }

    /// Takes a slot of a local server.
    pub(super) fn take(
        &self,
        label: &str,
        tried: &[id::Server],
        snapshot: &Snapshot,
        now: Instant,
    ) -> Option<(Arc<Server>, Unit)> {
        let mut state = self.state();
        let server = state.choose(label, tried, snapshot, now)?;
        let unit = state.slots.take(&server.listed.name)?;
        if let Some(version) = state.versions.get_mut(label) {
            version.chooser.begin(&server.listed.name);
        }
        Some((server, unit))
    }

    /// Gives a slot back after its request.
    pub(super) fn end(&self, label: &str, server: &str, unit: Unit, reply: Completion) {
        let mut state = self.state();
        state.slots.release(server, unit);
        if let Some(version) = state.versions.get_mut(label) {
            version.chooser.end(server, reply, Instant::now());
        }
        drop(state);
        self.freed.notify_one();
    }

    /// Lends a slot for one request; `near` says whether the borrower is in this data centre.
    pub(super) fn lend(
        &self,
        want: &Want,
        near: bool,
        snapshot: &Snapshot,
        now: Instant,
    ) -> Option<Loan> {
        // Requests that wait here are not made to wait longer for those of other data centres.
        if !near && self.waiting.load(Ordering::Relaxed) > 0 {
            return None;
        }
        let mut state = self.state();
        let server = state.choose(&want.label, &want.except, snapshot, now)?;
        let loan = state.slots.lend_for(&server.listed.name, want.term, now);
        state.lent.count += u32::from(loan.is_some() && !near);
        loan
    }

    /// Takes a lent slot back.
    pub(super) fn returned(&self, loan: &Loan) {
        self.state().slots.return_loan(loan);
        self.freed.notify_one();
    }

    /// Counts a request as waiting, or returns nothing if `most` wait already.
    pub(super) fn wait(&self, most: usize) -> Option<Wait<'_>> {
        let before = self.waiting.fetch_add(1, Ordering::Relaxed);
        let wait = Wait(&self.waiting);
        (before < most).then_some(wait)
    }

    /// Returns the right to look for slots of a version, in the order of the requests.
    pub(super) fn front(&self, label: &str) -> Option<Arc<Semaphore>> {
        let state = self.state();
        state
            .versions
            .get(label)
            .map(|version| version.front.clone())
    }

    /// Waits until a slot may have become free, for at most `limit`.
    pub(super) async fn freed(&self, limit: Duration) {
        let _ = tokio::time::timeout(limit, self.freed.notified()).await;
    }

    /// Returns the right to ask other entries for a slot.
    pub(super) fn borrowing(&self, near: bool) -> Option<SemaphorePermit<'_>> {
        let asking = if near { &self.near } else { &self.far };
        asking.try_acquire().ok()
    }

    /// Notes the latency of an answer; returns whether the server is ejected for it.
    pub(super) fn sample(
        &self,
        label: &str,
        route: &str,
        server: &str,
        latency: Duration,
        now: Instant,
    ) -> bool {
        let mut state = self.state();
        // Servers of other data centres are judged there.
        if !state.servers.contains_key(server) {
            return false;
        }
        let Some(version) = state.versions.get_mut(label) else {
            return false;
        };
        let outlier = &mut version.outlier;
        let before = outlier.ejected(server);
        outlier.record(route, server, latency, now);
        !before && outlier.ejected(server)
    }

    /// Notes how long a request held its slot.
    pub(super) fn served(&self, took: Duration) {
        let mut state = self.state();
        let error = took.as_secs_f64() - state.time;
        state.time += WEIGHT * error;
    }

    /// Notes that a server refused a request because it leaves.
    pub(super) fn refused(&self, server: &str, sent: Instant, now: Instant) {
        let mut state = self.state();
        if state.servers.contains_key(server) {
            state.leaving.record_refusal(server, RUN, sent, now);
        }
    }

    /// Notes that a server refused a connection.
    pub(super) fn down(&self, server: &str) {
        let mut state = self.state();
        if state.servers.contains_key(server) && state.down.insert(server.into()) {
            log::warn!("server {server} refuses connections");
        }
    }

    /// Notes the answer to a probe that was asked for at `asked`.
    pub(super) fn probed(&self, server: &str, health: Option<&Health>, asked: Instant) {
        let now = Instant::now();
        let mut state = self.state();
        let Some(label) = (state.servers.get(server)).map(|s| s.listed.label.clone()) else {
            return;
        };
        let leaving = health.is_some_and(|health| health.state == Fitness::Leaving);
        let warming = health.is_some_and(|health| health.state == Fitness::Warming);
        let cold = match warming {
            true => state.warming.insert(server.into()),
            false => {
                state.warming.swap_remove(server);
                false
            }
        };
        if let Some(version) = state.versions.get_mut(&label) {
            let chooser = &mut version.chooser;
            if cold {
                chooser.insert(server, Some(asked));
            }
            chooser.report_health(server, health.is_some() && !leaving, asked);
            if let Some(health) = health {
                let load = f64::from(health.in_flight) / f64::from(health.slots.max(1));
                chooser.report_load(server, load, asked);
            }
        }
        if health.is_some() {
            state
                .leaving
                .record_health(server, RUN, asked, now, leaving);
            if state.down.swap_remove(server) {
                log::info!("server {server} accepts connections again");
            }
        }
    }

    /// Notes a success at the first try, which pays for retries.
    pub(crate) fn succeeded(&self) {
        self.state().budget.record_success();
    }

    /// Returns whether the budget has a retry for an overdue request.
    pub(crate) fn can_retry(&self) -> bool {
        self.state().budget.allows(RetryCause::Overdue)
    }

    /// Takes a retry from the budget.
    pub(crate) fn retry(&self) -> bool {
        self.state().budget.try_take()
    }
}
