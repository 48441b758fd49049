//! What the store said, passed on to VMs that can't reach it.

use crate::reader::Reader;
use crate::shared::Shared;
use base::http::client::Target;
use base::http::{Body, json, text};
use base::sync::lock;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::routing::{Operations, Registration};

/// Path of the question.
const PATH: &str = "/store";
/// Time between two looks at whether another VM must be asked.
const PERIOD: Duration = Duration::from_millis(400);
/// Age of the last read of the store from which another VM is asked.
const OLD: Duration = Duration::from_millis(1_500);
/// Longest time for an answer.
const TIMEOUT: Duration = Duration::from_millis(700);

base::message! {
    /// What a VM last read from the store.
    struct Copy {
        /// Version of the store at which the orders were read.
        version: u64,
        /// Orders of the operator.
        operations: Operations,
        /// Registered servers.
        registrations: Vec<Registration>,
    }
}

/// Answers the question of another VM.
pub fn answer(request: &Request<Incoming>, shared: &Shared) -> Response<Body> {
    if request.uri().path() != PATH {
        return text(StatusCode::NOT_FOUND, "no such interface\n");
    }
    let (version, operations) = {
        let orders = lock(&shared.orders);
        (orders.version, orders.operations.clone())
    };
    let registrations = lock(&shared.listing).registrations.clone();
    let copy = Copy {
        version,
        operations,
        registrations,
    };
    json(StatusCode::OK, &copy)
}

/// Asks another VM while the store can't be reached, until the task is dropped.
pub async fn follow(shared: Arc<Shared>, reader: Arc<Reader>) {
    let mut is_used = false;
    loop {
        tokio::time::sleep(PERIOD).await;
        let now = Instant::now();
        let Some(source) = source(&shared, now) else {
            is_used = false;
            continue;
        };
        match ask(source).await {
            Ok(copy) => {
                if !is_used {
                    log::info!(
                        "event=relay-used peer={source} row_version={}",
                        copy.version
                    );
                }
                is_used = true;
                reader.put_in_force(copy.operations, copy.version, "peer");
                reader.list(copy.registrations, None);
            }
            Err(error) => log::debug!("event=relay-failed peer={source} error={error}"),
        }
    }
}

/// Returns the VM with the newest copy, if this VM's own is old and the other's is newer.
fn source(shared: &Shared, now: Instant) -> Option<SocketAddr> {
    let age = |read: Option<Instant>| read.map(|read| now.saturating_duration_since(read));
    let orders = age(lock(&shared.orders).read);
    let listing = age(lock(&shared.listing).read);
    let is_old = |age: Option<Duration>| age.is_none_or(|age| age > OLD + Duration::from_secs(2));
    let is_list_old = listing.is_none_or(|age| age > OLD);
    if !is_old(orders) && !is_list_old {
        return None;
    }
    let fleet = lock(&shared.fleet);
    let best = fleet
        .alive(now)
        .filter_map(|peer| Some((peer.report.store_age?, peer.address)))
        .min()?;
    let own = listing.map_or(u128::MAX, |age| age.as_millis());
    (u128::from(best.0) < own).then_some(best.1)
}

async fn ask(address: SocketAddr) -> Result<Copy, base::http::client::Error> {
    let target = Target {
        address,
        timeout: TIMEOUT,
        authorization: None,
    };
    target.call(Method::GET, PATH, Bytes::new()).await?.decode()
}
