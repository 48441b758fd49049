//! Readiness checks and look-ups of the VMs that callers use.

use crate::shared::Shared;
use adapter::call;
use base::http::{Body, full, text};
use base::id::Region;
use base::sync::lock;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use indexmap::IndexSet;
use peers::report::Phase;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use steering::entrance::{self, Candidate};

/// Longest time for which callers may use an answer; some use it three times as long.
const TTL: Duration = Duration::from_secs(2);
/// Maximum number of VMs in one answer.
const MAX_VMS: usize = 64;

/// A VM in the phase `Ready`.
struct ReadyVm {
    address: SocketAddr,
    region: Region,
    entrance: Candidate,
}

/// Answers a readiness check.
pub fn readiness(request: &Request<Incoming>, shared: &Shared) -> Response<Body> {
    let is_full = shared.is_full.load(Ordering::Relaxed);
    match (request.uri().path(), shared.phase()) {
        (call::READINESS, Phase::Ready) if is_full => {
            text(StatusCode::SERVICE_UNAVAILABLE, "no room for connections\n")
        }
        (call::READINESS, Phase::Ready) => text(StatusCode::OK, "ready\n"),
        (call::READINESS, phase) => text(StatusCode::SERVICE_UNAVAILABLE, format!("{phase:?}\n")),
        _ => text(StatusCode::NOT_FOUND, "no such interface\n"),
    }
}

/// Answers a look-up.
pub fn lookup(request: &Request<Incoming>, shared: &Shared) -> Response<Body> {
    if request.uri().path() != call::LOOKUP {
        return text(StatusCode::NOT_FOUND, "no such interface\n");
    }
    let Some(lookup) = call::lookup(request.uri()) else {
        return text(StatusCode::BAD_REQUEST, "the question names no host\n");
    };
    let addresses = select_addresses(shared, &lookup.host, lookup.region.as_ref());
    if addresses.is_empty() {
        return text(StatusCode::SERVICE_UNAVAILABLE, "no VM serves\n");
    }
    let ttl = TTL.min(Duration::from_secs_f64(
        shared.settings.bounds.lookup_ttl_s.max(0.1),
    ));
    let mut response = Response::new(full(call::encode_answer(&addresses, ttl)));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// Returns the VMs for callers of a region: those of that region, or else those of regions where
/// all routes of the host may run, or else all.
fn select_addresses(shared: &Shared, host: &str, region: Option<&Region>) -> Vec<SocketAddr> {
    let now = Instant::now();
    let settings = &shared.settings;
    let mut ready: Vec<ReadyVm> = {
        let fleet = lock(&shared.fleet);
        let others = fleet.alive(now).filter(|vm| vm.phase == Phase::Ready);
        let others = others.map(|vm| ReadyVm {
            address: vm.callers,
            region: vm.region.clone(),
            entrance: vm.entrance,
        });
        others.collect()
    };
    if shared.phase() == Phase::Ready {
        ready.push(ReadyVm {
            address: settings.listen.callers,
            region: settings.region.clone(),
            entrance: shared.entrance(),
        });
    }
    let own_region = region.map(|region| IndexSet::from([region.clone()]));
    let home_regions = shared.table().and_then(|table| {
        table
            .routes_of(host)
            .filter(|route| !route.regions.is_empty())
            .map(|route| route.regions.iter().cloned().collect::<IndexSet<Region>>())
            .reduce(|a, b| a.intersection(&b).cloned().collect())
    });
    [own_region, home_regions]
        .into_iter()
        .flatten()
        .map(|regions| addresses_in(&ready, |region| regions.contains(region)))
        .find(|addresses| !addresses.is_empty())
        .unwrap_or_else(|| addresses_in(&ready, |_| true))
}

/// Returns the addresses of the VMs in these regions that callers are to use.
fn addresses_in(ready: &[ReadyVm], is_inside: impl Fn(&Region) -> bool) -> Vec<SocketAddr> {
    let inside: Vec<&ReadyVm> = ready.iter().filter(|vm| is_inside(&vm.region)).collect();
    let candidates: Vec<Candidate> = inside.iter().map(|vm| vm.entrance).collect();
    let named = inside.iter().zip(entrance::advertised(&candidates));
    let addresses = named.filter(|(_, is_named)| *is_named);
    addresses.map(|(vm, _)| vm.address).take(MAX_VMS).collect()
}
