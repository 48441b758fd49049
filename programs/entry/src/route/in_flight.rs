//! A request in flight on a backend server.

use super::Router;
use super::loan::BorrowedSlot;
use super::service_state::ServiceState;
use crate::server::Server;
use backends::client::{After, Before, Failure, NotRun};
use base::id::{Label, Route};
use hyper::StatusCode;
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::balance::{Completion, Unit};
use steering::spill::{Charge, ServiceClass};

/// Time for which the slot of a cancelled request stays taken.
///
/// The server notices the cancellation when the connection closes; a request that arrives earlier
/// would find the slot taken there.
const CANCEL_DELAY: Duration = Duration::from_millis(100);

/// Slot held by a request.
#[derive(Debug)]
pub(super) enum HeldSlot {
    /// Slot of this entry.
    Own(Unit),
    /// Slot borrowed from another entry.
    Borrowed(BorrowedSlot),
}

/// A request in flight on a backend server; it holds its slot and its counts until dropped.
#[derive(Debug)]
pub struct InFlightRequest {
    router: Arc<Router>,
    state: Arc<ServiceState>,
    server: Arc<Server>,
    version: (Label, Route),
    slot: Option<HeldSlot>,
    sent_at: Instant,
    completion: Option<Completion>,
    /// Whether the server has finished the request, so that the slot is free at once.
    is_finished: bool,
    charge: Option<(Charge, ServiceClass)>,
    received_bytes: usize,
}

impl InFlightRequest {
    pub(super) fn new(
        router: Arc<Router>,
        state: Arc<ServiceState>,
        server: Arc<Server>,
        version: (Label, Route),
        slot: Option<HeldSlot>,
    ) -> Self {
        router.metrics.slots_in_use.inc();
        Self {
            router,
            state,
            server,
            version,
            slot,
            sent_at: Instant::now(),
            completion: None,
            is_finished: false,
            charge: None,
            received_bytes: 0,
        }
    }

    /// Returns the server that has the request.
    pub fn server(&self) -> &Arc<Server> {
        &self.server
    }

    /// Returns the version that the server runs.
    pub fn label(&self) -> &Label {
        &self.version.0
    }

    /// Returns the time at which the request was handed to the server.
    pub fn sent_at(&self) -> Instant {
        self.sent_at
    }

    /// Returns the time from which the request, if unanswered, may be sent to a second server.
    pub fn overdue_at(&self) -> Instant {
        self.sent_at + self.router.settings.read_timeout.0
    }

    pub(super) fn charge(&mut self, charge: Charge, class: ServiceClass, bytes: usize) {
        self.charge = Some((charge, class));
        self.router
            .metrics
            .record_link_bytes(&self.server.listed.region, bytes);
    }

    /// Marks that nothing was sent.
    pub(crate) fn discard_unsent(&mut self) {
        self.is_finished = true;
    }

    /// Records the head of an answer.
    pub fn record_answer(&mut self, status: StatusCode) {
        let now = Instant::now();
        self.completion = Some(match status.is_server_error() {
            true => Completion::Failed,
            false => Completion::Answered,
        });
        if !status.is_server_error() {
            self.record_latency(now);
        }
    }

    /// Records why the request got no answer.
    pub fn record_failure(&mut self, failure: Failure) {
        let now = Instant::now();
        let name = &*self.server.listed.name;
        self.is_finished = !matches!(failure, Failure::After(_));
        self.completion = Some(match failure {
            Failure::NotRun(NotRun::Shedding) => Completion::Shed,
            // The service time is at least this long.
            Failure::After(After::Deadline) => {
                self.record_latency(now);
                Completion::Answered
            }
            // A silent connection isn't evidence against the server.
            Failure::After(After::Silent)
            | Failure::Before(Before::Busy | Before::Stale | Before::Deadline) => {
                Completion::Answered
            }
            _ => Completion::Failed,
        });
        match failure {
            Failure::NotRun(NotRun::Leaving) => self.state.record_refusal(name, self.sent_at, now),
            Failure::Before(Before::ConnectRefused) => self.state.record_connect_refused(name),
            _ => {}
        }
    }

    /// Records received bytes of the answer.
    pub fn record_received(&mut self, bytes: usize) {
        self.received_bytes += bytes;
        if self.charge.is_some() {
            let region = &self.server.listed.region;
            self.router.metrics.record_link_bytes(region, bytes);
        }
    }

    /// Records that the whole answer has arrived.
    pub fn finish(&mut self) {
        if !self.is_finished {
            self.is_finished = true;
            if matches!(self.slot, Some(HeldSlot::Own(_))) {
                self.state.record_service_time(self.sent_at.elapsed());
            }
        }
    }

    fn record_latency(&self, now: Instant) {
        let (label, route) = &self.version;
        let latency = now.saturating_duration_since(self.sent_at);
        let name = &self.server.listed.name;
        if self.state.record_latency(label, route, name, latency, now) {
            log::info!("server {name} is ejected: it is slower than its peers");
            self.router.metrics.ejections.inc();
        }
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        self.router.metrics.slots_in_use.dec();
        if let Some((charge, class)) = self.charge.take() {
            let region = &self.server.listed.region;
            let received_bytes = self.received_bytes;
            self.router
                .spill
                .settle(region, &charge, class, received_bytes, Instant::now());
        }
        let Some(slot) = self.slot.take() else {
            return;
        };
        let completion = self.completion.unwrap_or(Completion::Answered);
        let name = self.server.listed.name.clone();
        let (state, label) = (self.state.clone(), self.version.0.clone());
        let release = move || match slot {
            HeldSlot::Own(unit) => state.release_slot(&label, &name, unit, completion),
            HeldSlot::Borrowed(loan) => drop(loan),
        };
        match tokio::runtime::Handle::try_current() {
            Ok(runtime) if !self.is_finished => {
                runtime.spawn(async move {
                    tokio::time::sleep(CANCEL_DELAY).await;
                    release();
                });
            }
            _ => release(),
        }
    }
}
