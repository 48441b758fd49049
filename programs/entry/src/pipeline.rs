//! Path of a request through the entry.

use crate::admission::Admission;
use crate::forward::{Forwarded, forward};
use crate::metrics::Metrics;
use crate::receive::{Call, receive};
use crate::release::Releases;
use crate::settings::Settings;
use crate::snapshot::Snapshot;
use crate::{authorise, reply};
use base::http::Body;
use hyper::body::Incoming;
use hyper::{Request, Response};
use std::sync::Arc;
use steering::attempt::{Attempt, Outcome, Refusal};
use tokio::sync::watch;

/// Path of a request through the entry, with the state that requests share.
#[derive(Debug)]
pub struct Pipeline {
    settings: Settings,
    snapshot: watch::Receiver<Arc<Snapshot>>,
    admission: Admission,
    releases: Arc<Releases>,
    metrics: Arc<Metrics>,
}

impl Pipeline {
    /// Makes a pipeline that follows `snapshot`.
    pub fn new(
        settings: Settings,
        snapshot: watch::Receiver<Arc<Snapshot>>,
        releases: Arc<Releases>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            settings,
            snapshot,
            admission: Admission::default(),
            releases,
            metrics,
        }
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
            Ok(_) => self.metrics.outcome(&Outcome::Served),
            Err(outcome) => {
                log::debug!("request {id}: {outcome:?}");
                self.metrics.outcome(outcome);
            }
        }
        reply::reply(&id, forwarded)
    }

    async fn run(&self, call: &Call) -> Forwarded {
        let snapshot = self.snapshot.borrow().clone();
        let secret = &self.settings.key_secret;
        let grant = authorise::authorise(call, &snapshot, secret).map_err(refused)?;
        self.admission.admit(call, &grant).await.map_err(refused)?;
        // The key may have been withdrawn, and servers may have left, while the request waited.
        let snapshot = self.snapshot.borrow().clone();
        let grant = authorise::authorise(call, &snapshot, secret).map_err(refused)?;
        let (settings, releases) = (&self.settings, &self.releases);
        forward(call, &grant, &snapshot, settings, releases, &self.metrics).await
    }
}

/// Outcome of a request of which nothing was sent.
fn refused(reason: Refusal) -> Outcome {
    Attempt::new(false).give_up(reason)
}
