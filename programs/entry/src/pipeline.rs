//! Path of a request through the entry.

use crate::admission::{Admission, held};
use crate::authorise::{self, Grant};
use crate::claims::Claims;
use crate::forward::{Forwarded, forward};
use crate::metrics::Metrics;
use crate::quarantine::tracker::RequestTracker;
use crate::quarantine::{Quarantine, pass};
use crate::receive::{Call, receive};
use crate::release::Releases;
use crate::reply::{self, Ended};
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

/// Path of a request through the entry, with the state that requests share.
#[derive(Debug)]
pub struct Pipeline {
    settings: Settings,
    pepper: Pepper,
    snapshot: watch::Receiver<Arc<Snapshot>>,
    quarantine: Arc<Quarantine>,
    claims: Claims,
    links: Links<ShareClient>,
    /// Until when requests are finished at least, once this entry stops.
    end: watch::Receiver<Option<Instant>>,
    /// Requests that other entries passed on; closed when this entry refuses new work.
    passes: TaskTracker,
    confirmed: watch::Receiver<Option<Instant>>,
    /// Admission of requests.
    pub admission: Admission,
    router: Arc<Router>,
    releases: Arc<Releases>,
    metrics: Arc<Metrics>,
}

impl Pipeline {
    /// Makes a pipeline that follows `snapshot`, the last confirmation of the keys, and the `end` up to
    /// which a stopping entry finishes requests.
    pub fn new(
        settings: Settings,
        incarnation: Incarnation,
        snapshot: watch::Receiver<Arc<Snapshot>>,
        releases: Arc<Releases>,
        confirmed: watch::Receiver<Option<Instant>>,
        end: watch::Receiver<Option<Instant>>,
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
            passes: TaskTracker::new(),
            pepper: Pepper::derive(&settings.key_secret),
            router: Arc::new(Router::new(
                settings.clone(),
                incarnation,
                snapshot.clone(),
                metrics.clone(),
            )),
            settings,
            snapshot,
            confirmed,
            end,
            admission,
            releases,
            metrics,
        }
    }

    /// Returns what is known of requests that crash servers.
    pub fn quarantine(&self) -> &Arc<Quarantine> {
        &self.quarantine
    }

    /// Returns the claims on request ids.
    pub fn claims(&self) -> &Claims {
        &self.claims
    }

    /// Returns the choice of servers.
    pub fn router(&self) -> &Arc<Router> {
        &self.router
    }

    /// Answers one request.
    pub async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let (id, forwarded) = match receive(request, &self.settings).await {
            Ok(call) => {
                let forwarded = self.run(&call).await;
                (call.id, forwarded)
            }
            Err(refusal) => ("".into(), Err(refused(refusal))),
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

    /// Counts a request that another entry passed on, until its answer is handed over.
    pub fn passing(&self) -> TaskTrackerToken {
        self.passes.token()
    }

    /// Waits for `refuse`, and then until the requests that other entries passed on are answered, for
    /// at most the drain timeout.
    pub async fn finish_passed(&self, refuse: CancellationToken) {
        refuse.cancelled().await;
        self.passes.close();
        let limit = self.settings.drain_timeout.0;
        if tokio::time::timeout(limit, self.passes.wait())
            .await
            .is_err()
        {
            log::warn!("passed requests were still in flight when the drain timeout passed");
        }
    }

    /// Answers a suspected request that another entry passed on; the other one keeps its claim
    /// and has counted it against its limits.
    pub async fn passed(&self, call: &Call) -> Response<Body> {
        let snapshot = self.snapshot.borrow().clone();
        let ended = async {
            if self.passes.is_closed() {
                // Another entry runs the trials as soon as this one is gone.
                return Err(refused(Refusal::Suspected));
            }
            let grant = self.authorise(call, &snapshot)?;
            let track = self.admitted(call, &grant, &snapshot).await?;
            if track.coordinator().is_some() {
                // The two entries disagree on the keeper for a moment.
                return Err(refused(Refusal::Suspected));
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
            Ok(Ended::Streamed(Box::new(answer), track))
        };
        reply::reply(&call.id, ended.await)
    }

    async fn run(&self, call: &Call) -> Result<Ended, Outcome> {
        let snapshot = self.snapshot.borrow().clone();
        let grant = self.authorise(call, &snapshot)?;
        let deadline = route::deadline(call, &grant);
        if self.end.borrow().is_some_and(|end| end < deadline) {
            // Its server could still be at work when this entry ends; another entry is asked at once.
            return Err(refused(Refusal::Stopping));
        }
        let mut track = self.track(call, &grant, &snapshot).await?;
        let result = match track.coordinator() {
            None => match self.proceed(call, &grant, &track).await {
                Ok(answer) => return Ok(Ended::Streamed(Box::new(answer), track)),
                Err(outcome) => Err(outcome),
            },
            Some(keeper) => self.pass(call, &grant, &track, keeper).await,
        };
        track.record_outcome(result.as_ref().err().unwrap_or(&Outcome::Served));
        result.map(Ended::Whole)
    }

    async fn pass(
        &self,
        call: &Call,
        grant: &Grant<'_>,
        track: &RequestTracker,
        keeper: SocketAddr,
    ) -> Result<Response<Body>, Outcome> {
        let _slot = self.admission.admit(call, grant).await.map_err(refused)?;
        track.record_sent(true);
        self.metrics.record_passed();
        pass::send(&self.links, keeper, call).await
    }

    async fn track(
        &self,
        call: &Call,
        grant: &Grant<'_>,
        snapshot: &Snapshot,
    ) -> Result<RequestTracker, Outcome> {
        let mut track = self.admitted(call, grant, snapshot).await?;
        track.set_claim(self.claims.claim(call, grant, snapshot).await?);
        Ok(track)
    }

    async fn admitted(
        &self,
        call: &Call,
        grant: &Grant<'_>,
        snapshot: &Snapshot,
    ) -> Result<RequestTracker, Outcome> {
        let workspace = grant.workspace.as_deref().unwrap_or_default();
        let admitted = self
            .quarantine
            .admit(call, workspace, grant.service, snapshot);
        let admitted = admitted.await.map_err(refused)?;
        Ok(RequestTracker::new(self.quarantine.clone(), admitted))
    }

    async fn proceed(&self, call: &Call, grant: &Grant<'_>, track: &RequestTracker) -> Forwarded {
        let slot = self.admission.admit(call, grant).await.map_err(refused)?;
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
        answer.response = answer.response.map(|body| held::hold(body, slot));
        Ok(answer)
    }

    fn authorise<'a>(&self, call: &Call, snapshot: &'a Snapshot) -> Result<Grant<'a>, Outcome> {
        let confirmed = *self.confirmed.borrow();
        authorise::authorise(call, snapshot, &self.pepper, confirmed).map_err(refused)
    }
}

/// Outcome of a request of which nothing was sent.
fn refused(reason: Refusal) -> Outcome {
    Attempt::new(false).refuse(reason)
}
