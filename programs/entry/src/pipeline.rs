//! Path of a request through the entry.

use crate::admission::Admission;
use crate::authorise::{self, Grant};
use crate::forward::{Forwarded, forward};
use crate::metrics::Metrics;
use crate::receive::{Call, receive};
use crate::release::Releases;
use crate::reply;
use crate::settings::Settings;
use crate::snapshot::Snapshot;
use base::http::Body;
use hyper::body::Incoming;
use hyper::{Request, Response};
use std::sync::Arc;
use std::time::Instant;
use steering::attempt::{Attempt, Outcome, Refusal};
use steering::keys::Pepper;
use tokio::sync::watch;

/// Path of a request through the entry, with the state that requests share.
#[derive(Debug)]
pub struct Pipeline {
    settings: Settings,
    pepper: Pepper,
    snapshot: watch::Receiver<Arc<Snapshot>>,
    confirmed: watch::Receiver<Option<Instant>>,
    admission: Admission,
    releases: Arc<Releases>,
    metrics: Arc<Metrics>,
}

impl Pipeline {
    /// Makes a pipeline that follows `snapshot` and the last confirmation of the keys.
    pub fn new(
        settings: Settings,
        snapshot: watch::Receiver<Arc<Snapshot>>,
        releases: Arc<Releases>,
        confirmed: watch::Receiver<Option<Instant>>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            pepper: Pepper::derive(&settings.key_secret),
            settings,
            snapshot,
            confirmed,
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
        let grant = self.authorise(call, &snapshot)?;
        self.admission.admit(call, &grant).await.map_err(refused)?;
        // The key may have been withdrawn, and servers may have left, while the request waited.
        let snapshot = self.snapshot.borrow().clone();
        let grant = self.authorise(call, &snapshot)?;
        let (settings, releases) = (&self.settings, &self.releases);
        forward(call, &grant, &snapshot, settings, releases, &self.metrics).await
    }

    fn authorise<'a>(&self, call: &Call, snapshot: &'a Snapshot) -> Result<Grant<'a>, Outcome> {
        let confirmed = *self.confirmed.borrow();
        authorise::authorise(call, snapshot, &self.pepper, confirmed).map_err(refused)
    }
}

/// Outcome of a request of which nothing was sent.
fn refused(reason: Refusal) -> Outcome {
    Attempt::new(false).give_up(reason)
}
