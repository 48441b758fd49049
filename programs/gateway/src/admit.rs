//! Admission of a request: its route, key and limit, and whether it crashes servers.

use crate::receive::CallerRequest;
use crate::shared::Shared;
use base::id::Service;
use base::sync::lock;
use hyper::Uri;
use std::time::{Duration, Instant};
use steering::affinity::{self, Digest};
use steering::attempt::Refusal;
use steering::crashes::Verdict;
use steering::routing::{AccessError, Account, Route, Table};
use steering::spending::Limit;
use steering::split::Split;

/// Retry-After for callers of a VM that stops; another VM can serve them now.
pub const STOPPING_RETRY_AFTER: Duration = Duration::ZERO;

/// What an admitted request needs to be forwarded.
#[derive(Debug)]
pub struct AdmittedRequest<'a> {
    /// Its route.
    pub route: &'a Route,
    /// Workspace that holds its key.
    pub account: Option<&'a Account>,
    /// Service to which it is sent.
    pub service: &'a Service,
    /// Latest time of the final answer.
    pub deadline: Instant,
    /// Digest by which the crashes that it causes are counted.
    pub digest: Digest,
}

/// Why a request is not sent, and when the caller may retry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rejection {
    /// Reason.
    pub reason: Refusal,
    /// Time after which the same request may succeed.
    pub retry_after: Option<Duration>,
}

impl From<Refusal> for Rejection {
    fn from(reason: Refusal) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }
}

/// Returns the route of a request and the holder of its key.
///
/// # Errors
///
/// Fails if there is no such route, or if the route needs a key and no workspace holds this one.
pub fn resolve_route<'a>(
    request: &CallerRequest,
    table: &'a Table,
) -> Result<(&'a Route, Option<&'a Account>), Rejection> {
    let reject = |denied: AccessError| {
        Rejection::from(match denied {
            AccessError::NoRoute => Refusal::NoRoute,
            AccessError::Unauthorised => Refusal::Unauthorised,
        })
    };
    let route = table
        .route(&request.host, request.uri.path())
        .map_err(reject)?;
    let account = table
        .authorise(route, request.key.as_deref())
        .map_err(reject)?;
    Ok((route, account))
}

/// Charges a request to the limits of its workspace and selects its service.
///
/// # Errors
///
/// Fails if the request crashes servers, if this VM stops and may end before the request does, if
/// the workspace is over its limit, or if the route has no service.
pub fn admit<'a>(
    request: &CallerRequest,
    (route, account): (&'a Route, Option<&'a Account>),
    shared: &Shared,
) -> Result<AdmittedRequest<'a>, Rejection> {
    let now = Instant::now();
    let digest = request_digest(request, route, account);
    if let Verdict::Refused(until) = lock(&shared.crashes).verdict(digest, now) {
        return Err(Rejection {
            reason: Refusal::Quarantined,
            retry_after: Some(until.saturating_duration_since(now)),
        });
    }
    let deadline = request.deadline.min(request.arrived_at + route.timeout);
    // Refused before anything is charged to the workspace.
    if !shared.admits(deadline) {
        return Err(Rejection {
            reason: Refusal::Stopping,
            retry_after: Some(STOPPING_RETRY_AFTER),
        });
    }
    if let Some(account) = account
        && let Some(rate) = account.rate
    {
        let limit = limit(account, rate);
        let reach = shared.coverage(now);
        let mut ledger = lock(&shared.ledger);
        let admitted = ledger.admit(&account.name, &limit, &reach, now);
        admitted.map_err(|shortage| {
            log::info!(
                "event=limited id={} workspace={} rate={rate} burst={} whole={:.1} part={:.1} share={:.3} members={} heard={}",
                request.id,
                account.name,
                account.burst,
                shortage.fleet_tokens,
                shortage.local_tokens,
                shortage.share,
                reach.members,
                reach.reporting
            );
            Rejection {
                reason: Refusal::RateLimited,
                retry_after: Some(shortage.wait),
            }
        })?;
    }
    let service = select_service(route, shared).ok_or(Rejection::from(Refusal::NoServer))?;
    Ok(AdmittedRequest {
        route,
        account,
        service,
        deadline,
        digest,
    })
}

/// Returns the limit of a workspace with a rate.
pub fn limit(account: &Account, rate: f64) -> Limit {
    Limit {
        rate,
        burst: account.burst,
    }
}

/// Refunds what the workspace was charged for an admitted request that certainly did not run.
pub fn refund(admitted: &AdmittedRequest<'_>, shared: &Shared) {
    if let Some(account) = admitted.account.filter(|account| account.rate.is_some()) {
        lock(&shared.ledger).refund(&account.name);
    }
}

/// Selects the service of a request, by the weights of the route if it has several.
fn select_service<'a>(route: &'a Route, shared: &Shared) -> Option<&'a Service> {
    if let [only] = route.parts.as_slice() {
        return Some(&only.service);
    }
    let weights: Vec<u32> = route.parts.iter().map(|part| part.weight).collect();
    let key = format!("{}{}", route.host, route.prefix);
    let mut splits = lock(&shared.splits);
    let create = || Split::new(&weights, &mut rand::rng());
    let split = splits.entry(key.into()).or_insert_with(create);
    split
        .next(&weights)
        .map(|index| &route.parts[index].service)
}

/// Returns the digest of what a repeated request has in common with the first one: method, path,
/// object, caller and body, not how the caller writes the host or which other fields it sends.
fn request_digest(request: &CallerRequest, route: &Route, account: Option<&Account>) -> Digest {
    let method = request.method.as_str();
    let head = head_digest(route, account, method, &request.uri, request.object);
    match request.body.is_empty() {
        true => head,
        false => head ^ affinity::digest_bytes(&request.body),
    }
}

/// Returns the digest of a request without a body.
pub fn head_digest(
    route: &Route,
    account: Option<&Account>,
    method: &str,
    uri: &Uri,
    object: Option<Digest>,
) -> Digest {
    let workspace = account.map_or("", |account| &account.name);
    let path = uri.path_and_query().map_or("", |path| path.as_str());
    let object = object.unwrap_or_default();
    affinity::digest(&format!(
        "{workspace} {method} {} {path} {object}",
        route.host
    ))
}
