//! What the store said, passed on to VMs that do not read it themselves.
//!
//! One VM of a data centre, its delegate, reads the store for all; a VM that can't reach the store
//! asks any other that can.

use crate::fleet::Source;
use crate::listing::{Delta, Listing, Position};
use crate::metrics::Metrics;
use crate::reader::Reader;
use crate::shared::Shared;
use base::http::client::{Error, Target};
use base::http::{Body, text};
use base::id::Incarnation;
use base::sync::lock;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use peers::packed::{self, Packed};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use steering::routing::DesiredState;

/// Path of the question.
const PATH: &str = "/store";
/// Longest time between two looks at whether another VM must be asked.
const PERIOD: Duration = Duration::from_millis(400);
/// Least time between two questions.
const GAP: Duration = Duration::from_millis(30);
/// By how much what another VM knows must be newer, if it is not the delegate.
const NEWER: Duration = Duration::from_millis(500);
/// Longest time for an answer.
const TIMEOUT: Duration = Duration::from_millis(700);
/// Longest time for which a packed list is given out; servers in it count as cold for as much
/// longer than they are.
const KEEP: Duration = Duration::from_secs(1);

base::message! {
    /// What a VM knows of the store.
    struct Copy {
        /// Version of the store at the newest order.
        orders: u64,
        /// Version of the store at the last read of the orders.
        snapshot: u64,
        /// [`DesiredState`] of the operator, if they are newer than what was asked for.
        operations: Option<Packed>,
        /// Registered servers.
        servers: Servers,
    }

    /// Registered servers, as far as who asks does not know them.
    enum Servers {
        /// What changed.
        Changed(Delta),
        /// [`Delta`] that holds the whole list.
        Whole(Packed),
    }
}

/// Packed values. All VMs of a data centre ask a new delegate for the same ones at once, and
/// packing them for each takes a tenth of a core longer than the VMs wait.
#[derive(Debug, Default)]
pub struct Cache {
    operations: Option<(Arc<DesiredState>, Packed)>,
    servers: Option<(Position, Instant, Packed)>,
}

impl Cache {
    fn operations(
        &mut self,
        operations: &Arc<DesiredState>,
        metrics: &Metrics,
    ) -> Result<Packed, packed::Error> {
        let known = self.operations.as_ref();
        if let Some((_, packed)) = known.filter(|(known, _)| Arc::ptr_eq(known, operations)) {
            return Ok(packed.clone());
        }
        let packed = Packed::new(&**operations)?;
        metrics.packed();
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
        let is_usable = |at: Instant| now.saturating_duration_since(at) < KEEP;
        let known = self.servers.as_ref();
        let known = known.filter(|(known, at, _)| *known == position && is_usable(*at));
        if let Some((_, _, packed)) = known {
            return Ok(packed.clone());
        }
        let whole = lock(listing).whole(own);
        let packed = Packed::new(&whole)?;
        metrics.packed();
        self.servers = Some((whole.position, now, packed.clone()));
        Ok(packed)
    }
}

/// Answers the question of another VM.
pub fn answer(request: &Request<Incoming>, shared: &Shared) -> Response<Body> {
    if request.uri().path() != PATH {
        return text(StatusCode::NOT_FOUND, "no such interface\n");
    }
    shared.metrics.question();
    let query = request.uri().query().unwrap_or_default();
    let number = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.find(|(key, _)| *key == name)?.1;
        value.parse::<u64>().ok()
    };
    let position = number("run")
        .zip(number("number"))
        .map(|(run, number)| Position { run, number });
    let known = number("snapshot").unwrap_or_default();
    match copy(shared, known, position).and_then(|copy| packed::encode(&copy)) {
        Ok(bytes) => text(StatusCode::OK, bytes),
        Err(error) => {
            log::error!("event=relay-unencoded error=\"{error}\"");
            text(
                StatusCode::INTERNAL_SERVER_ERROR,
                "the answer could not be encoded\n",
            )
        }
    }
}

/// Returns what is newer than the orders as of `snapshot` and than the list at `position`.
fn copy(shared: &Shared, snapshot: u64, position: Option<Position>) -> Result<Copy, packed::Error> {
    let orders = lock(&shared.orders).clone();
    let is_news = orders.table.is_some() && orders.changed > snapshot;
    let (own, metrics) = (shared.incarnation, &shared.metrics);
    let mut cache = lock(&shared.packed);
    let operations = match is_news {
        true => Some(cache.operations(&orders.operations, metrics)?),
        false => None,
    };
    let changed = position.and_then(|position| lock(&shared.listing).since(position, own));
    let servers = match changed {
        Some(changed) => Servers::Changed(changed),
        None => Servers::Whole(cache.servers(&shared.listing, own, metrics, Instant::now())?),
    };
    Ok(Copy {
        orders: orders.version,
        snapshot: orders.snapshot,
        operations,
        servers,
    })
}

/// Asks other VMs for what this one does not read itself, until the task is dropped.
pub async fn follow(shared: Arc<Shared>, reader: Arc<Reader>) {
    let mut is_lost = false;
    loop {
        let _ = tokio::time::timeout(PERIOD, shared.heard.notified()).await;
        let now = Instant::now();
        let Some(source) = source(&shared, now) else {
            continue;
        };
        if is_synced(&shared, &source) {
            confirm(&shared, &source, now);
            continue;
        }
        let asked = ask(&shared, &source).await;
        match asked.and_then(|copy| take(&reader, copy)) {
            Ok(()) => {
                if is_lost {
                    log::info!("event=relay-regained peer={}", source.address);
                }
                is_lost = false;
                confirm(&shared, &source, now);
            }
            Err(error) => {
                if !is_lost {
                    log::warn!("event=relay-lost peer={} error=\"{error}\"", source.address);
                }
                is_lost = true;
                tokio::time::sleep(PERIOD).await;
            }
        }
        tokio::time::sleep(GAP).await;
    }
}

/// Takes in what another VM answered.
fn take(reader: &Reader, copy: Copy) -> Result<(), Error> {
    let unreadable = |error: packed::Error| Error::Decode(error.to_string().into());
    let operations = copy.operations.map(|packed| packed.unpack());
    let servers: Delta = match copy.servers {
        Servers::Changed(delta) => delta,
        Servers::Whole(packed) => packed.unpack().map_err(unreadable)?,
    };
    match operations.transpose().map_err(unreadable)? {
        Some(operations) => reader.put_in_force(operations, copy.orders, copy.snapshot, "peer"),
        None => reader.unchanged(copy.orders, copy.snapshot),
    }
    let position = servers.position;
    let listed = lock(&reader.shared().listing).with(servers);
    reader.list(listed, None);
    lock(&reader.shared().listing).followed = Some(position);
    Ok(())
}

/// Whether this VM knows all that the other one reported to know.
fn is_synced(shared: &Shared, source: &Source) -> bool {
    let followed = lock(&shared.listing).followed;
    let snapshot = lock(&shared.orders).snapshot;
    let same = followed.is_some_and(|followed| {
        followed.run == source.run && followed.number >= source.known.listing
    });
    same && snapshot >= source.known.orders
}

/// Takes in that what this VM knows is as new as what the other one knew.
fn confirm(shared: &Shared, source: &Source, now: Instant) {
    let age = source.known.age.map(u64::from).map(Duration::from_millis);
    let read = age.and_then(|age| now.checked_sub(age));
    let mut orders = lock(&shared.orders);
    orders.read = orders.read.max(read);
    drop(orders);
    let mut listing = lock(&shared.listing);
    listing.read = listing.read.max(read);
}

/// Returns the VM to be asked: the delegate, if it reads the store for this VM, unless another
/// data centre knows of a newer order; a VM that reads the store itself asks nobody. While neither
/// reads, the VM that knows the newest.
fn source(shared: &Shared, now: Instant) -> Option<Source> {
    if shared.reads(now) {
        return None;
    }
    let delegate = shared.delegate(now).filter(|d| d.known.reads);
    let snapshot = lock(&shared.orders).snapshot;
    let own = shared.age(now);
    let fleet = lock(&shared.fleet);
    let peers = || {
        fleet
            .near(now)
            .chain(fleet.far(now))
            .map(|peer| &peer.report)
    };
    if let Some(delegate) = delegate {
        let newest = peers().max_by_key(|report| report.known.orders);
        let is_behind = delegate.known.orders <= snapshot;
        let newer = newest.filter(|report| is_behind && report.known.orders > snapshot);
        return Some(newer.map_or(delegate, Source::of));
    }
    let best = peers()
        .filter_map(|report| Some((report.known.age?, report)))
        .min_by_key(|(age, _)| *age)?;
    let age = Duration::from_millis(u64::from(best.0));
    let is_newer = own.is_none_or(|own| age + NEWER < own);
    is_newer.then(|| Source::of(best.1))
}

async fn ask(shared: &Shared, source: &Source) -> Result<Copy, Error> {
    let target = Target {
        address: source.address,
        timeout: TIMEOUT,
        authorization: None,
    };
    let snapshot = {
        let orders = lock(&shared.orders);
        if orders.table.is_some() {
            orders.snapshot
        } else {
            0
        }
    };
    let followed = lock(&shared.listing).followed;
    let position = followed.map_or(String::new(), |p| {
        format!("&run={}&number={}", p.run, p.number)
    });
    let path = format!("{PATH}?snapshot={snapshot}{position}");
    let answer = target.call(Method::GET, &path, Bytes::new()).await?;
    packed::decode(&answer.body).map_err(|error| Error::Decode(error.to_string().into()))
}
