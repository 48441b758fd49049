//! Answers other VMs' requests for store data.

use super::message::{Copy, HeldList, Part, Question, Servers};
use super::{MAX_QUESTION_BYTES, PATH};
use crate::listing::{Listing, Position};
use crate::metrics::Metrics;
use crate::shared::Shared;
use crate::traffic::Kind;
use base::http::{Body, text};
use base::id::Incarnation;
use base::sync::lock;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use peers::packed::{self, Packed};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use steering::routing::DesiredState;

/// Time for which a packed list is served; a server in it may count as cold for that much longer
/// than it is.
const PACKED_LIST_TTL: Duration = Duration::from_secs(1);

/// Packed answers. All VMs of a data centre request the same ones from a new delegate at once;
/// on a tenth of a core, packing them for each request takes longer than a request may.
#[derive(Debug, Default)]
pub struct PackedCache {
    operations: Option<(Arc<DesiredState>, Packed)>,
    servers: Option<(Position, Instant, Packed)>,
}

impl PackedCache {
    fn operations(
        &mut self,
        operations: &Arc<DesiredState>,
        metrics: &Metrics,
    ) -> Result<Packed, packed::Error> {
        let cached = self.operations.as_ref();
        if let Some((_, packed)) = cached.filter(|(known, _)| Arc::ptr_eq(known, operations)) {
            return Ok(packed.clone());
        }
        let packed = Packed::new(&**operations)?;
        metrics.record_packed();
        self.operations = Some((operations.clone(), packed.clone()));
        Ok(packed)
    }

    fn servers(
        &mut self,
        listing: &Mutex<Listing>,
        own: Incarnation,
        metrics: &Metrics,
        now: Instant,
    ) -> Result<Packed, packed::Error> {
        let position = lock(listing).position(own);
        let is_fresh = |at: Instant| now.saturating_duration_since(at) < PACKED_LIST_TTL;
        let cached = self.servers.as_ref();
        let cached = cached.filter(|(known, at, _)| *known == position && is_fresh(*at));
        if let Some((_, _, packed)) = cached {
            return Ok(packed.clone());
        }
        let full = lock(listing).full(own);
        let packed = Packed::new(&full)?;
        metrics.record_packed();
        self.servers = Some((full.position, now, packed.clone()));
        Ok(packed)
    }
}

/// Answers a request of another VM for store data: `POST` with a [`Question`], or `GET` for all.
pub async fn handle(request: Request<Incoming>, shared: &Shared) -> Response<Body> {
    if request.uri().path() != PATH {
        return text(StatusCode::NOT_FOUND, "no such interface\n");
    }
    shared.metrics.record_store_request();
    let question = match *request.method() {
        Method::POST => read_question(request, shared).await,
        _ => Some(Question {
            orders_after: Some(0),
            list: Some(HeldList::Nothing),
        }),
    };
    let Some(question) = question else {
        return text(StatusCode::BAD_REQUEST, "the question can't be read\n");
    };
    let copy = copy(shared, &question, Instant::now());
    match copy.and_then(|copy| packed::encode(&copy)) {
        Ok(bytes) => {
            shared.metrics.record_served(bytes.len());
            shared.traffic.record(Kind::CopiesOut, bytes.len());
            text(StatusCode::OK, bytes)
        }
        Err(error) => {
            log::error!("event=relay-unencoded error=\"{error}\"");
            text(
                StatusCode::INTERNAL_SERVER_ERROR,
                "the answer could not be encoded\n",
            )
        }
    }
}

async fn read_question(request: Request<Incoming>, shared: &Shared) -> Option<Question> {
    let body = Limited::new(request.into_body(), MAX_QUESTION_BYTES);
    let bytes = body.collect().await.ok()?.to_bytes();
    shared.traffic.record(Kind::QuestionsIn, bytes.len());
    packed::decode(&bytes).ok()
}

/// Returns what a VM that asks lacks, as far as the link has room for it.
fn copy(shared: &Shared, question: &Question, now: Instant) -> Result<Copy, packed::Error> {
    let orders = lock(&shared.orders).clone();
    let (own, metrics) = (shared.incarnation, &shared.metrics);
    let mut cache = lock(&shared.packed_cache);
    let is_newer = |after: u64| orders.table.is_some() && orders.changed_at > after;
    let operations = match question.orders_after {
        Some(after) if is_newer(after) => {
            let packed = cache.operations(&orders.operations, metrics)?;
            paced(shared, packed.len(), packed, now)
        }
        _ => Part::Nothing,
    };
    // Changes are small and always sent, so that a server that leaves waits for no bulk data.
    let changes = match &question.list {
        None => Some(Part::Nothing),
        Some(HeldList::Nothing) => None,
        Some(HeldList::At(position)) => {
            let changed = lock(&shared.listing).since(*position, own);
            changed.map(|changed| Part::Data(Servers::Changed(changed)))
        }
        Some(HeldList::Digests(digests)) => {
            let difference = lock(&shared.listing).difference(digests, own);
            Some(Part::Data(Servers::Different(difference)))
        }
    };
    let servers = match changes {
        Some(changes) => changes,
        None => {
            let packed = cache.servers(&shared.listing, own, metrics, now)?;
            paced(shared, packed.len(), Servers::Whole(packed), now)
        }
    };
    Ok(Copy {
        orders: orders.version,
        snapshot: orders.snapshot,
        operations,
        servers,
    })
}

/// Returns bulk data if the link has room for it now.
fn paced<T>(shared: &Shared, bytes: usize, data: T, now: Instant) -> Part<T> {
    match lock(&shared.bulk).take(bytes, now) {
        Ok(()) => Part::Data(data),
        Err(wait) => Part::Later(u32::try_from(wait.as_millis()).unwrap_or(u32::MAX)),
    }
}
