//! What the store said, passed on to VMs that do not read it themselves.
//!
//! One VM of a data centre, its delegate, reads the store for all; a VM that can't reach the store
//! asks any other that can.

use crate::fleet::Source;
use crate::listing::{Delta, Position};
use crate::reader::Reader;
use crate::shared::Shared;
use base::http::client::Target;
use base::http::{Body, json, text};
use base::sync::lock;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::routing::Operations;

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

base::message! {
    /// What a VM knows of the store.
    struct Copy {
        /// Version of the store at the newest order.
        orders: u64,
        /// Version of the store at the last read of the orders.
        snapshot: u64,
        /// Orders of the operator, if they are newer than what was asked for.
        operations: Option<Operations>,
        /// Registered servers.
        servers: Delta,
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
    let orders = lock(&shared.orders).clone();
    let known = number("snapshot").unwrap_or_default();
    let is_news = orders.table.is_some() && orders.changed > known;
    let operations = is_news.then(|| Operations::clone(&orders.operations));
    let copy = Copy {
        orders: orders.version,
        snapshot: orders.snapshot,
        operations,
        servers: lock(&shared.listing).since(position, shared.incarnation),
    };
    json(StatusCode::OK, &copy)
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
        match ask(&shared, &source).await {
            Ok(copy) => {
                if is_lost {
                    log::info!("event=relay-regained peer={}", source.address);
                }
                is_lost = false;
                take(&reader, copy);
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

fn take(reader: &Reader, copy: Copy) {
    match copy.operations {
        Some(operations) => reader.put_in_force(operations, copy.orders, copy.snapshot, "peer"),
        None => reader.unchanged(copy.orders, copy.snapshot),
    }
    let position = copy.servers.position;
    let listed = lock(&reader.shared().listing).with(copy.servers);
    reader.list(listed, None);
    lock(&reader.shared().listing).followed = Some(position);
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
    let (snapshot, read) = {
        let orders = lock(&shared.orders);
        (orders.snapshot, orders.read.zip(lock(&shared.listing).read))
    };
    let own = read.map(|(a, b)| now.saturating_duration_since(a.min(b)));
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

async fn ask(shared: &Shared, source: &Source) -> Result<Copy, base::http::client::Error> {
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
    target
        .call(Method::GET, &path, Bytes::new())
        .await?
        .decode()
}
