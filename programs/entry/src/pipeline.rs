//! Runs a request through the stages of the entry.

use crate::admission::{Admission, slot_body};
use crate::authorise::{self, Grant};
use crate::claims::Claims;
use crate::forward::{ForwardResult, forward};
use crate::metrics::Metrics;
use crate::quarantine::tracker::RequestTracker;
use crate::quarantine::{Quarantine, pass};
use crate::receive::{Call, receive};
use crate::release::Releases;
use crate::reply::{self, ServerAnswer};
use crate::route::{self, Router};
use crate::settings::Settings;
use crate::snapshot::Snapshot;
use base::http::Body;
use base::id::Incarnation;
use hyper::body::Incoming;
use hyper::{Request, Response};
use peers::link::Links;
use peers::share::ShareClient;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;
use steering::attempt::{Attempt, Outcome, Refusal};
use steering::keys::Pepper;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tokio_util::task::task_tracker::TaskTrackerToken;

/// Stages through which a request passes, with the state that requests share.
#[derive(Debug)]
pub struct Pipeline {
    settings: Settings,
    pepper: Pepper,
    snapshot: watch::Receiver<Arc<Snapshot>>,
    quarantine: Arc<Quarantine>,
    claims: Claims,
    links: Links<ShareClient>,
    /// Earliest time at which this entry may end, set when it begins to stop.
    finish_until: watch::Receiver<Option<Instant>>,
    /// Requests passed on by other entries; closed when this entry refuses new work.
    passed_requests: TaskTracker,
    confirmed_at: watch::Receiver<Option<Instant>>,
    /// Admission of requests.
    pub admission: Admission,
    router: Arc<Router>,
    releases: Arc<Releases>,
    metrics: Arc<Metrics>,
}

impl Pipeline {
    /// Creates a pipeline that follows `snapshot`, the time `confirmed_at` at which the keys were
    /// last confirmed, and the time `finish_until` up to which a stopping entry finishes requests.
    pub fn new(
        settings: Settings,
        incarnation: Incarnation,
        snapshot: watch::Receiver<Arc<Snapshot>>,
        releases: Arc<Releases>,
        confirmed_at: watch::Receiver<Option<Instant>>,
        finish_until: watch::Receiver<Option<Instant>>,
        metrics: Arc<Metrics>,
    ) -> Self {
        let admission = Admission::new(
            settings.clone(),
            incarnation,
            snapshot.clone(),
            metrics.clone(),
        );
        Self {
            quarantine: Arc::new(Quarantine::new(&settings, incarnation, metrics.clone())),
            claims: Claims::new(&settings, incarnation, metrics.clone()),
            links: Links::default(),
            passed_requests: TaskTracker::new(),
            pepper: Pepper::derive(&settings.key_secret),
            router: Arc::new(Router::new(
                settings.clone(),
                incarnation,
                snapshot.clone(),
                metrics.clone(),
            )),
            settings,
            snapshot,
            confirmed_at,
            finish_until,
            admission,
            releases,
            metrics,
        }
    }

    /// Returns the quarantine of requests that crash servers.
    pub fn quarantine(&self) -> &Arc<Quarantine> {
        &self.quarantine
    }

    /// Returns the claims on request ids.
    pub fn claims(&self) -> &Claims {
        &self.claims
    }

    /// Returns the router, which chooses servers.
    pub fn router(&self) -> &Arc<Router> {
        &self.router
    }

    /// Answers one request.
    pub async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let (id, forwarded) = match receive(request, &self.settings).await {
            Ok(call) => {
                let forwarded = self.answer(&call).await;
                (call.id, forwarded)
            }
            Err(refusal) => ("".into(), Err(not_run(refusal))),
        };
        match &forwarded {
            Ok(_) => self.metrics.record_outcome(&Outcome::Served),
            Err(outcome) => {
                log::debug!("request {id}: {outcome:?}");
                self.metrics.record_outcome(outcome);
            }
        }
        reply::reply(&id, forwarded)
    }

    /// Counts a request passed on by another entry until the token is dropped.
    pub fn track_passed(&self) -> TaskTrackerToken {
        self.passed_requests.token()
    }

    /// Waits for `refuse`, and then for at most the drain timeout until the requests passed on by
    /// other entries are answered.
    pub async fn finish_passed(&self, refuse: CancellationToken) {
        refuse.cancelled().await;
        self.passed_requests.close();
        let timeout = self.settings.drain_timeout.0;
        if tokio::time::timeout(timeout, self.passed_requests.wait())
            .await
            .is_err()
        {
            log::warn!(
                "requests passed on by other entries are still in flight after the drain timeout"
            );
        }
    }

    /// Answers a suspected request passed on by another entry, which holds its claim and has
    /// charged it to the limits.
    pub async fn handle_passed(&self, call: &Call) -> Response<Body> {
        let snapshot = self.snapshot.borrow().clone();
        let result = async {
            if self.passed_requests.is_closed() {
                // Another entry coordinates the trials once this one is gone.
                return Err(not_run(Refusal::Suspected));
            }
            let grant = self.authorise(call, &snapshot)?;
            let track = self.check_quarantine(call, &grant, &snapshot).await?;
            if track.coordinator().is_some() {
                // The two entries disagree for a moment on which of them coordinates the trials.
                return Err(not_run(Refusal::Suspected));
            }
            // The key may have been withdrawn while the request waited for its trial.
            let snapshot = self.snapshot.borrow().clone();
            let grant = self.authorise(call, &snapshot)?;
            let forwarded = forward(
                call,
                &grant,
                &self.router,
                &self.releases,
                &self.metrics,
                &track,
            );
            let answer = forwarded.await?;
            Ok(ServerAnswer::Streamed(Box::new(answer), track))
        };
        reply::reply(&call.id, result.await)
    }

    async fn answer(&self, call: &Call) -> Result<ServerAnswer, Outcome> {
        let snapshot = self.snapshot.borrow().clone();
        let grant = self.authorise(call, &snapshot)?;
        let deadline = route::deadline(call, &grant);
        if self
            .finish_until
            .borrow()
            .is_some_and(|until| until < deadline)
        {
            // Its server could still be running it when this entry ends; another entry can take it
            // now.
            return Err(not_run(Refusal::Stopping));
        }
        let mut track = self.admit_and_claim(call, &grant, &snapshot).await?;
        let result = match track.coordinator() {
            None => match self.admit_and_forward(call, &grant, &track).await {
                Ok(answer) => return Ok(ServerAnswer::Streamed(Box::new(answer), track)),
                Err(outcome) => Err(outcome),
            },
            Some(coordinator) => self.pass_on(call, &grant, &track, coordinator).await,
        };
        track.record_outcome(result.as_ref().err().unwrap_or(&Outcome::Served));
        result.map(ServerAnswer::Whole)
    }

    async fn pass_on(
        &self,
        call: &Call,
        grant: &Grant<'_>,
        track: &RequestTracker,
        coordinator: SocketAddr,
    ) -> Result<Response<Body>, Outcome> {
        let _slot = self.admission.admit(call, grant).await.map_err(not_run)?;
        track.record_sent(true);
        self.metrics.record_passed();
        pass::send(&self.links, coordinator, call).await
    }

    async fn admit_and_claim(
        &self,
        call: &Call,
        grant: &Grant<'_>,
        snapshot: &Snapshot,
    ) -> Result<RequestTracker, Outcome> {
        let mut track = self.check_quarantine(call, grant, snapshot).await?;
        track.set_claim(self.claims.claim(call, grant, snapshot).await?);
        Ok(track)
    }

    async fn check_quarantine(
        &self,
        call: &Call,
        grant: &Grant<'_>,
        snapshot: &Snapshot,
    ) -> Result<RequestTracker, Outcome> {
        let workspace = grant.workspace.as_deref().unwrap_or_default();
        let admitted = self
            .quarantine
            .admit(call, workspace, grant.service, snapshot);
        let admitted = admitted.await.map_err(not_run)?;
        Ok(RequestTracker::new(self.quarantine.clone(), admitted))
    }

    async fn admit_and_forward(
        &self,
        call: &Call,
        grant: &Grant<'_>,
        track: &RequestTracker,
    ) -> ForwardResult {
        let slot = self.admission.admit(call, grant).await.map_err(not_run)?;
        // The key may have been withdrawn, and servers may have left, while the request waited.
        let snapshot = self.snapshot.borrow().clone();
        let grant = self.authorise(call, &snapshot)?;
        let forwarded = forward(
            call,
            &grant,
            &self.router,
            &self.releases,
            &self.metrics,
            track,
        );
        let mut answer = forwarded.await?;
        answer.response = answer.response.map(|body| slot_body::hold_slot(body, slot));
        Ok(answer)
    }

    fn authorise<'a>(&self, call: &Call, snapshot: &'a Snapshot) -> Result<Grant<'a>, Outcome> {
        let confirmed_at = *self.confirmed_at.borrow();
        authorise::authorise(call, snapshot, &self.pepper, confirmed_at).map_err(not_run)
    }
}

/// Returns the outcome of a request that was not sent to a server.
fn not_run(reason: Refusal) -> Outcome {
    Attempt::new(false).refuse(reason)
}
