//! Admission of requests that compete for a service, and what became of them.

use super::server_set::{ServerCriteria, ServerSet, State};
use crate::metrics::Metrics;
use base::id::Service;
use base::sync::lock;
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::placement::Terms;
use steering::priority::{Admission, Competition, Ending, Priority, Settings};
use steering::routing::Configuration;

/// A competing request that was admitted; counts as late if it is dropped without an ending, since
/// its deadline passed or its caller left.
#[derive(Debug)]
pub struct AdmissionGuard<'a> {
    servers: Arc<ServerSet>,
    service: &'a Service,
    priority: Priority,
    metrics: &'a Metrics,
    is_recorded: bool,
}

impl AdmissionGuard<'_> {
    /// Records how the request ended.
    pub fn record(mut self, ending: Ending) {
        self.record_once(ending);
    }

    fn record_once(&mut self, ending: Ending) {
        if self.is_recorded {
            return;
        }
        self.is_recorded = true;
        let label = match ending {
            Ending::InTime => "in-time",
            Ending::Late => "late",
            Ending::Refused => "refused",
        };
        self.metrics
            .record_competing(self.service, self.priority, label);
        if let Some(admission) = &mut lock(&self.servers.state).admission {
            admission.record(self.priority, ending, Instant::now());
        }
    }
}

impl Drop for AdmissionGuard<'_> {
    fn drop(&mut self) {
        self.record_once(Ending::Late);
    }
}

impl ServerSet {
    /// Applies which kinds of requests compete for the service.
    pub(super) fn configure_admission(
        &self,
        service: &str,
        configuration: &Configuration,
        now: Instant,
    ) {
        let competition = Competition::new(configuration, service);
        let admission = &mut lock(&self.state).admission;
        match (admission, competition) {
            (Some(admission), Some(competition)) => admission.configure(&competition, now),
            (admission, competition) => {
                let new = |competition| Admission::new(Settings::default(), &competition, now);
                *admission = competition.map(new);
            }
        }
    }

    /// Admits a request; none if no requests compete for the service.
    ///
    /// # Errors
    ///
    /// Fails if requests of its priority are thinned and this one is not admitted.
    pub fn admit<'a>(
        self: &Arc<Self>,
        service: &'a Service,
        priority: Priority,
        workspace: &str,
        metrics: &'a Metrics,
        now: Instant,
    ) -> Result<Option<AdmissionGuard<'a>>, Thinned> {
        let mut state = lock(&self.state);
        let Some(admission) = &mut state.admission else {
            return Ok(None);
        };
        let is_admitted = admission.admit(priority, workspace, now);
        if let Some(change) = admission.take_change(now) {
            let state = if change.is_begin { "begins" } else { "ends" };
            log::info!(
                "event=thinning service={service} state={state} shares={}",
                change.shares
            );
        }
        drop(state);
        if !is_admitted {
            metrics.record_competing(service, priority, "thinned");
            return Err(Thinned);
        }
        metrics.record_competing(service, priority, "admitted");
        Ok(Some(AdmissionGuard {
            servers: self.clone(),
            service,
            priority,
            metrics,
            is_recorded: false,
        }))
    }

    /// Returns the time after which the caller of a refused request should return; `excess` if no
    /// requests compete for the service.
    pub fn retry_after(&self, excess: Duration, time_left: Duration) -> Duration {
        let state = lock(&self.state);
        state.admission.as_ref().map_or(excess, |admission| {
            admission.retry_after(excess, time_left, &mut rand::rng())
        })
    }
}

/// A request was not admitted, since requests of its priority are thinned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Thinned;

impl State {
    /// Returns the terms of a placement and the shortage of the service, from 0 to 1.
    pub(super) fn terms(
        &self,
        admission: Option<&Admission>,
        criteria: &ServerCriteria<'_>,
    ) -> (Terms, f64) {
        admission.map_or((Terms::default(), 0.0), |admission| {
            let service_time = |objective| self.fixed_service_time(objective);
            let terms = admission.terms(criteria.priority, service_time);
            (terms, admission.shortage())
        })
    }

    /// Records that a request was sent to a server; `is_warm` if that has cached its object.
    pub(super) fn record_send(&mut self, priority: Priority, is_warm: bool) {
        if let Some(admission) = &mut self.admission {
            admission.record_send(priority, is_warm);
        }
    }
}
