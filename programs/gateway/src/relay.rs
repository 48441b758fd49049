//! Passes store data between VMs.
//!
//! One VM of a data centre, its delegate, reads the store for all. While it can't, the others
//! request the data from the VM with the newest. Orders and whole lists are bulk data, which a VM
//! sends only as fast as its link carries it; a VM that is told to come back asks another one that
//! holds them.

mod answer;
mod message;

pub use answer::{PackedCache, handle};

use crate::fleet::{Fleet, StoreSource};
use crate::reader::StoreReader;
use crate::shared::{Orders, Shared};
use crate::traffic::Kind;
use base::http::client::{Error, Target};
use base::sync::lock;
use hyper::Method;
use indexmap::IndexMap;
use message::{Copy, HeldList, Part, Question, Servers};
use peers::packed;
use peers::report::Report;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::transfer;

/// Path of requests for store data.
const PATH: &str = "/store";
/// Largest request in bytes: the digests of 130,000 servers.
const MAX_QUESTION_BYTES: usize = 1024 * 1024;
/// Longest time between two checks whether another VM has newer data.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Minimum time between two requests, and between two checks.
const MIN_INTERVAL: Duration = Duration::from_millis(30);
/// Minimum age difference for which data is requested from a VM that is not the delegate.
const MIN_AGE_DIFFERENCE: Duration = Duration::from_millis(500);
/// Greatest age of the data of a VM that is asked because the newest one told this VM to wait.
const MAX_HOLDER_AGE: Duration = Duration::from_millis(2_000);
/// Time after which a VM that follows another one requests the orders that the operator has written
/// again: until the other one has read them.
const REWRITTEN_MARGIN: Duration = Duration::from_millis(700);
/// Time in which a VM that gave no answer is asked only if no other VM holds the data.
const AVOID_TIME: Duration = Duration::from_millis(1_500);
/// Time in which a VM that follows no other one reads orders that others hold already.
const READ_PATIENCE: Duration = Duration::from_millis(600);
/// Time-out of a request.
const TIMEOUT: Duration = Duration::from_millis(700);

/// Request for store data that this VM is to make.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Fetch {
    /// VM to ask.
    source: StoreSource,
    wants_list: bool,
    wants_orders: bool,
}

/// VMs that are not asked before a time.
#[derive(Debug, Default)]
struct Avoided {
    /// Told this one to come back for bulk data.
    postponed: IndexMap<SocketAddr, Instant>,
    /// Gave no answer.
    unreachable: IndexMap<SocketAddr, Instant>,
}

impl Avoided {
    fn expire(&mut self, now: Instant) {
        self.postponed.retain(|_, until| now < *until);
        self.unreachable.retain(|_, until| now < *until);
    }

    fn is_empty(&self) -> bool {
        self.postponed.is_empty() && self.unreachable.is_empty()
    }

    fn is_reachable(&self, address: &SocketAddr) -> bool {
        !self.unreachable.contains_key(address)
    }

    /// Returns whether a VM may be asked for bulk data.
    fn is_free(&self, address: &SocketAddr) -> bool {
        self.is_reachable(address) && !self.postponed.contains_key(address)
    }
}

/// Requests from other VMs the store data that this one does not read, until the task is dropped.
pub async fn sync_from_peers(shared: Arc<Shared>, reader: Arc<StoreReader>) {
    // Since when requests have failed, how many, and the VM that was asked last.
    let mut failures: Option<(Instant, u32, SocketAddr)> = None;
    let mut avoided = Avoided::default();
    // Since when this VM follows no other one and others hold newer orders.
    let mut behind_since = None;
    loop {
        // After a failure or a refusal, the next try waits for no report.
        if failures.is_none() && avoided.is_empty() {
            let _ = tokio::time::timeout(CHECK_INTERVAL, shared.report_received.notified()).await;
        }
        let now = Instant::now();
        avoided.expire(now);
        let source = select_source(&shared, now);
        let planned = match &source {
            Some(source) => {
                behind_since = None;
                plan_fetch(&shared, source, &avoided, now)
            }
            None => plan_overdue(&shared, &mut behind_since, &avoided, now),
        };
        let Some(planned) = planned else {
            confirm_synced(&shared, source.as_ref(), now);
            tokio::time::sleep(MIN_INTERVAL).await;
            continue;
        };
        let peer = planned.source.address;
        let fetched = fetch(&shared, &planned).await;
        let applied = fetched.and_then(|(copy, bytes)| {
            log_copy(&shared, peer, &copy, bytes, now);
            let later = copy.operations.later().max(copy.servers.later());
            apply_copy(&reader, &planned, copy).map(|()| later)
        });
        match applied {
            Ok(later) => {
                if let Some((since, count, _)) = failures.take() {
                    log::info!(
                        "event=relay-regained peer={peer} failures={count} lasted_ms={}",
                        since.elapsed().as_millis()
                    );
                }
                if let Some(millis) = later {
                    let told = Duration::from_millis(millis.into());
                    let wait = transfer::return_delay(told, &mut rand::rng());
                    avoided.postponed.insert(peer, Instant::now() + wait);
                }
                confirm_synced(&shared, source.as_ref(), now);
            }
            Err(error) => {
                shared.metrics.record_copy("none", 0);
                let (_, count, last) = failures.get_or_insert((now, 0, peer));
                if *count == 0 || *last != peer {
                    log::warn!("event=relay-lost peer={peer} error=\"{error}\"");
                }
                *count += 1;
                *last = peer;
                // Another VM may be asked at once.
                let is_repeated = !avoided.is_reachable(&peer);
                let until = Instant::now() + AVOID_TIME;
                avoided.unreachable.insert(peer, until);
                if is_repeated {
                    tokio::time::sleep(CHECK_INTERVAL).await;
                }
            }
        }
        tokio::time::sleep(MIN_INTERVAL).await;
    }
}

/// Returns the request that brings this VM to the data of `source`, or to newer orders that another
/// VM holds; none if it has all, or if every VM that holds the rest told it to come back later.
fn plan_fetch(
    shared: &Shared,
    source: &StoreSource,
    avoided: &Avoided,
    now: Instant,
) -> Option<Fetch> {
    let wants_list = !has_list(shared, source);
    let is_listless = lock(&shared.listing).is_empty();
    // Not below the lock of the fleet: whoever applies orders takes the two in this order.
    let (snapshot, are_orders_due) = {
        let orders = lock(&shared.orders);
        (orders.snapshot, are_due(&orders, now))
    };
    let is_reachable = avoided.is_reachable(&source.address);
    let is_source_free = avoided.is_free(&source.address);
    // Changes of a list that this VM holds are no bulk data, which alone is postponed.
    if wants_list && is_reachable && (is_source_free || !is_listless) {
        return Some(Fetch {
            source: *source,
            wants_list,
            wants_orders: is_source_free && (source.known.orders > snapshot || are_orders_due),
        });
    }
    let fleet = lock(&shared.fleet);
    let holds_list = |report: &Report| {
        let age = report.known.age.map(u64::from).map(Duration::from_millis);
        report.known.listing > 0 && age.is_some_and(|age| age < MAX_HOLDER_AGE)
    };
    let list_holder = match wants_list {
        true => choose_free(&fleet, avoided, now, holds_list),
        false => None,
    };
    let wants_orders = are_orders_due || newest_orders(&fleet, now) > snapshot;
    // The VM that this one follows is asked first: it has the data for sure.
    let is_source_current = source.known.orders >= newest_orders(&fleet, now);
    let order_holder = match wants_orders && list_holder.is_none() {
        true if is_source_free && is_source_current => Some(*source),
        true => choose_order_holder(&fleet, avoided, snapshot, are_orders_due, now),
        false => None,
    };
    let planned = list_holder.or(order_holder).map(|holder| Fetch {
        source: holder,
        wants_list: list_holder.is_some(),
        wants_orders,
    });
    // Nobody else can be asked: the VM that gave no answer is.
    let is_last_resort = !is_reachable && (wants_list || wants_orders);
    planned.or(is_last_resort.then_some(Fetch {
        source: *source,
        wants_list,
        wants_orders,
    }))
}

/// Returns the request for orders that this VM, which follows no other one, has not read for a time in
/// which others have.
fn plan_overdue(
    shared: &Shared,
    behind_since: &mut Option<Instant>,
    avoided: &Avoided,
    now: Instant,
) -> Option<Fetch> {
    let snapshot = lock(&shared.orders).snapshot;
    let fleet = lock(&shared.fleet);
    if newest_orders(&fleet, now) <= snapshot {
        *behind_since = None;
        return None;
    }
    let since = *behind_since.get_or_insert(now);
    if now < since + READ_PATIENCE {
        return None;
    }
    Some(Fetch {
        source: choose_order_holder(&fleet, avoided, snapshot, false, now)?,
        wants_list: false,
        wants_orders: true,
    })
}

/// Returns the version of the newest order that another VM holds.
fn newest_orders(fleet: &Fleet, now: Instant) -> u64 {
    let peers = fleet.local(now).chain(fleet.remote(now));
    let versions = peers.map(|peer| peer.report.known.orders);
    versions.max().unwrap_or_default()
}

/// Returns a VM that may be asked and holds the newest orders of those, if they are newer than
/// `snapshot` or `is_due`.
fn choose_order_holder(
    fleet: &Fleet,
    avoided: &Avoided,
    snapshot: u64,
    is_due: bool,
    now: Instant,
) -> Option<StoreSource> {
    let peers = fleet.local(now).chain(fleet.remote(now));
    let reports = peers.map(|peer| &peer.report);
    let free = reports.filter(|report| avoided.is_free(&report.address));
    let newest = free.map(|report| report.known.orders).max()?;
    let is_wanted = is_due || newest > snapshot;
    is_wanted
        .then(|| choose_free(fleet, avoided, now, |r| r.known.orders == newest))
        .flatten()
}

/// Returns a VM that may be asked for bulk data, one of this data centre if there is any: traffic
/// between regions is expensive.
fn choose_free(
    fleet: &Fleet,
    avoided: &Avoided,
    now: Instant,
    is_holder: impl Fn(&Report) -> bool,
) -> Option<StoreSource> {
    let is_usable = |report: &&Report| is_holder(report) && avoided.is_free(&report.address);
    let near = fleet.local(now).map(|peer| &peer.report).filter(is_usable);
    let far = fleet.remote(now).map(|peer| &peer.report).filter(is_usable);
    let mut random = rand::rng();
    let chosen = transfer::choose_holder(near, &mut random);
    let chosen = chosen.or_else(|| transfer::choose_holder(far, &mut random));
    chosen.map(StoreSource::of)
}

/// Counts an answer of another VM, and logs it unless it holds changes of the list only.
fn log_copy(shared: &Shared, peer: SocketAddr, copy: &Copy, bytes: usize, asked_at: Instant) {
    let is_whole = matches!(copy.servers, Part::Data(Servers::Whole(_)));
    let has_orders = matches!(copy.operations, Part::Data(_));
    let is_refused = copy.operations.later().max(copy.servers.later()).is_some();
    let content = match (is_whole, has_orders) {
        (true, true) => "list-and-orders",
        (true, false) => "list",
        (false, true) => "orders",
        (false, false) if is_refused => "later",
        (false, false) => "changes",
    };
    shared.metrics.record_copy(content, bytes);
    if is_whole || has_orders {
        let age = shared.store_data_age(Instant::now());
        log::info!(
            "event=store-copied peer={peer} content={content} bytes={bytes} took_ms={} snapshot={} own_age_ms={}",
            asked_at.elapsed().as_millis(),
            copy.snapshot,
            age.map_or(0, |age| age.as_millis())
        );
    }
}

/// Applies the store data of another VM.
fn apply_copy(reader: &StoreReader, planned: &Fetch, copy: Copy) -> Result<(), Error> {
    let unreadable = |error: packed::Error| Error::Decode(error.to_string().into());
    let are_orders_complete = planned.wants_orders && copy.operations.later().is_none();
    let operations = copy.operations.data().map(|packed| packed.unpack());
    let servers = match copy.servers.data() {
        Some(Servers::Whole(packed)) => {
            Some(Servers::Changed(packed.unpack().map_err(unreadable)?))
        }
        servers => servers,
    };
    match operations.transpose().map_err(unreadable)? {
        Some(operations) => reader.apply_orders(operations, copy.orders, copy.snapshot, "peer"),
        None if are_orders_complete => reader.confirm_unchanged(copy.orders, copy.snapshot),
        None => {}
    }
    let listing = &reader.shared().listing;
    let (position, registrations) = match servers {
        Some(Servers::Changed(delta)) => (delta.position, lock(listing).apply(delta)),
        Some(Servers::Different(difference)) => (
            difference.position,
            lock(listing).apply_difference(difference),
        ),
        Some(Servers::Whole(_)) | None => return Ok(()),
    };
    reader.confirm_list_era(copy.snapshot);
    reader.apply_registrations(registrations, None);
    lock(listing).source_position = Some(position);
    Ok(())
}

/// Returns whether this VM holds all data that the source reported.
fn is_synced(shared: &Shared, source: &StoreSource) -> bool {
    let snapshot = lock(&shared.orders).snapshot;
    has_list(shared, source) && snapshot >= source.known.orders
}

/// Returns whether the orders are to be requested again since the store came back from an older copy.
fn are_due(orders: &Orders, now: Instant) -> bool {
    let rewritten_at = orders.rewritten_at;
    rewritten_at.is_some_and(|at| now >= at + REWRITTEN_MARGIN)
}

/// Returns whether this VM holds the list of servers that the source reported.
fn has_list(shared: &Shared, source: &StoreSource) -> bool {
    let position = lock(&shared.listing).source_position;
    position.is_some_and(|position| {
        position.run == source.run && position.number >= source.known.listing
    })
}

/// Records that the data of this VM is as new as the source's was, if it holds all of it.
fn confirm_synced(shared: &Shared, source: Option<&StoreSource>, now: Instant) {
    let Some(source) = source.filter(|source| is_synced(shared, source)) else {
        return;
    };
    let age = source.known.age.map(u64::from).map(Duration::from_millis);
    let read_at = age.and_then(|age| now.checked_sub(age));
    let mut orders = lock(&shared.orders);
    orders.read_at = orders.read_at.max(read_at);
    drop(orders);
    let mut listing = lock(&shared.listing);
    listing.read_at = listing.read_at.max(read_at);
}

/// Returns the VM to follow; none if this VM reads the store itself. If the delegate reads the
/// store, that is the delegate. Otherwise it is the VM with the newest data.
fn select_source(shared: &Shared, now: Instant) -> Option<StoreSource> {
    if shared.reads_store(now) {
        return None;
    }
    if let Some(delegate) = shared.delegate(now).filter(|d| d.known.reads) {
        return Some(delegate);
    }
    let own = shared.store_data_age(now);
    let fleet = lock(&shared.fleet);
    let peers = fleet.local(now).chain(fleet.remote(now));
    let best = peers
        .filter_map(|peer| Some((peer.report.known.age?, &peer.report)))
        .min_by_key(|(age, _)| *age)?;
    let age = Duration::from_millis(u64::from(best.0));
    let is_newer = own.is_none_or(|own| age + MIN_AGE_DIFFERENCE < own);
    is_newer.then(|| StoreSource::of(best.1))
}

/// Requests the data of another VM; returns it with the bytes of the answer.
async fn fetch(shared: &Shared, planned: &Fetch) -> Result<(Copy, usize), Error> {
    let target = Target {
        address: planned.source.address,
        timeout: TIMEOUT,
        authorization: None,
    };
    let unreadable = |error: packed::Error| Error::Decode(error.to_string().into());
    let question = packed::encode(&question(shared, planned)).map_err(unreadable)?;
    shared.traffic.record(Kind::QuestionsOut, question.len());
    let answer = target.call(Method::POST, PATH, question).await?;
    shared.traffic.record(Kind::CopiesIn, answer.body.len());
    let copy = packed::decode(&answer.body).map_err(unreadable)?;
    Ok((copy, answer.body.len()))
}

fn question(shared: &Shared, planned: &Fetch) -> Question {
    let listing = lock(&shared.listing);
    let followed = listing
        .source_position
        .filter(|p| p.run == planned.source.run);
    let held = match followed {
        _ if listing.is_empty() => HeldList::Nothing,
        Some(position) => HeldList::At(position),
        None => HeldList::Digests(listing.digests()),
    };
    drop(listing);
    let orders = lock(&shared.orders);
    let is_whole = orders.table.is_none() || are_due(&orders, Instant::now());
    let snapshot = if is_whole { 0 } else { orders.snapshot };
    Question {
        orders_after: planned.wants_orders.then_some(snapshot),
        list: planned.wants_list.then_some(held),
    }
}
