//! Finds the route of a request and the workspace of its key.

use crate::receive::Call;
use crate::snapshot::Snapshot;
use base::id::Workspace;
use operators::service::{Path, Service};
use std::time::Instant;
use steering::attempt::Refusal;
use steering::keys::{self, Digest, Pepper};

/// Route and workspace under which a request runs.
#[derive(Debug, Clone)]
pub struct Grant<'a> {
    /// Service.
    pub service: &'a Service,
    /// Route of the service.
    pub route: &'a Path,
    /// Workspace of the key; none on a route that needs no key.
    pub workspace: Option<Workspace>,
    /// Digest of the key, to detect a later withdrawal.
    pub digest: Option<Digest>,
}

/// Finds the route and checks the key. `confirmed_at` is the last time at which the keys were known
/// to be up to date; none if they have not been confirmed yet.
///
/// # Errors
///
/// Returns why the request is refused.
pub fn authorise<'a>(
    call: &Call,
    snapshot: &'a Snapshot,
    pepper: &Pepper,
    confirmed_at: Option<Instant>,
) -> Result<Grant<'a>, Refusal> {
    let service = snapshot.service(&call.service).ok_or(Refusal::NoRoute)?;
    let route = service
        .route(call.method.as_str(), call.target.path())
        .ok_or(Refusal::NoRoute)?;
    if route.open {
        return Ok(Grant {
            service,
            route,
            workspace: None,
            digest: None,
        });
    }
    let key = call.key.as_ref().ok_or(Refusal::Unauthorised)?;
    let digest = key.digest(pepper);
    let workspace = snapshot
        .workspace(&digest, confirmed_at)
        .map_err(|refusal| match refusal {
            keys::Refusal::NotConfirmed => Refusal::KeysNotConfirmed,
            keys::Refusal::Unknown | keys::Refusal::Withdrawn | keys::Refusal::Expired => {
                Refusal::Unauthorised
            }
        })?;
    if !service.allows(workspace) {
        return Err(Refusal::Forbidden);
    }
    let workspace = Some(workspace.clone());
    Ok(Grant {
        service,
        route,
        workspace,
        digest: Some(digest),
    })
}
