//! Right of a request to be sent: route, key, limit, and whether it crashes servers.

use crate::receive::Call;
use crate::shared::Shared;
use base::id::Service;
use base::sync::lock;
use std::time::{Duration, Instant};
use steering::affinity::{self, Digest};
use steering::attempt::Refusal;
use steering::routing::{AccessError, Account, Route, Table};
use steering::spending::Limit;
use steering::split::Split;

/// Wait told to callers of a VM that stops; another VM can serve them now.
const STOPPING_WAIT: Duration = Duration::ZERO;

/// A request that may be sent.
#[derive(Debug)]
pub struct Grant<'a> {
    /// Its route.
    pub route: &'a Route,
    /// Holder of its key.
    pub account: Option<&'a Account>,
    /// Service that it goes to.
    pub service: &'a Service,
    /// Latest time of the final answer.
    pub deadline: Instant,
    /// Digest by which crashes of servers are counted.
    pub digest: Digest,
}

/// Why a request may not be sent, and when it may come back.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Refused {
    /// Reason.
    pub reason: Refusal,
    /// Time after which the same request may succeed.
    pub retry: Option<Duration>,
}

impl From<Refusal> for Refused {
    fn from(reason: Refusal) -> Self {
        Self {
            reason,
            retry: None,
        }
    }
}

/// Returns the route of a request and the holder of its key.
///
/// # Errors
///
/// Fails if there is no such route, or the route asks for a key that nobody holds.
pub fn find<'a>(
    call: &Call,
    table: &'a Table,
) -> Result<(&'a Route, Option<&'a Account>), Refused> {
    let denied = |denied: AccessError| {
        Refused::from(match denied {
            AccessError::NoRoute => Refusal::NoRoute,
            AccessError::Unauthorised => Refusal::Unauthorised,
        })
    };
    let route = table.route(&call.host, call.uri.path()).map_err(denied)?;
    let account = table
        .authorise(route, call.key.as_deref())
        .map_err(denied)?;
    Ok((route, account))
}

/// Counts a request against its limits and chooses its service.
///
/// # Errors
///
/// Fails if the request crashes servers, if this VM stops and may end before the request does, or if
/// the workspace is over its limit.
pub fn admit<'a>(
    call: &Call,
    (route, account): (&'a Route, Option<&'a Account>),
    shared: &Shared,
) -> Result<Grant<'a>, Refused> {
    let now = Instant::now();
    let digest = digest(call, account);
    if lock(&shared.crashes).is_refused(digest, now) {
        return Err(Refusal::Quarantined.into());
    }
    let deadline = call.deadline.min(call.arrival + route.timeout);
    // Refused before anything is charged to the workspace.
    if !shared.admits(deadline) {
        return Err(Refused {
            reason: Refusal::Stopping,
            retry: Some(STOPPING_WAIT),
        });
    }
    if let Some(account) = account
        && let Some(rate) = account.rate
    {
        let limit = Limit {
            rate,
            burst: account.burst,
        };
        let reach = shared.reach(now);
        let mut ledger = lock(&shared.ledger);
        let admitted = ledger.admit(&account.name, &limit, &reach, now);
        admitted.map_err(|shortage| {
            log::info!(
                "event=limited id={} workspace={} rate={rate} burst={} whole={:.1} part={:.1} share={:.3} members={} heard={}",
                call.id,
                account.name,
                account.burst,
                shortage.whole,
                shortage.part,
                shortage.share,
                reach.members,
                reach.heard
            );
            Refused {
                reason: Refusal::RateLimited,
                retry: Some(shortage.wait),
            }
        })?;
    }
    let service = part(route, shared).ok_or(Refused::from(Refusal::NoServer))?;
    Ok(Grant {
        route,
        account,
        service,
        deadline,
        digest,
    })
}

/// Takes back what an admitted request that surely did not run was charged.
pub fn give_back(grant: &Grant<'_>, shared: &Shared) {
    if let Some(account) = grant.account.filter(|account| account.rate.is_some()) {
        lock(&shared.ledger).give_back(&account.name);
    }
}

fn part<'a>(route: &'a Route, shared: &Shared) -> Option<&'a Service> {
    if let [only] = route.parts.as_slice() {
        return Some(&only.service);
    }
    let weights: Vec<u32> = route.parts.iter().map(|part| part.weight).collect();
    let key = format!("{}{}", route.host, route.prefix);
    let mut splits = lock(&shared.splits);
    let new = || Split::new(&weights, &mut rand::rng());
    let split = splits.entry(key.into()).or_insert_with(new);
    split
        .next(&weights)
        .map(|index| &route.parts[index].service)
}

/// Returns the digest of what a repeated request has in common with its first send.
fn digest(call: &Call, account: Option<&Account>) -> Digest {
    let workspace = account.map_or("", |account| &account.name);
    let path = call.uri.path_and_query().map_or("", |path| path.as_str());
    let object = call.object.unwrap_or_default();
    let head = affinity::digest(&format!(
        "{workspace} {} {} {path} {object}",
        call.method, call.host
    ));
    match call.body.is_empty() {
        true => head,
        false => {
            let body = String::from_utf8_lossy(&call.body);
            head ^ affinity::digest(&body)
        }
    }
}
