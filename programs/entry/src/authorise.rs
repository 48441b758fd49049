//! Decides for which workspace a request runs.

use crate::receive::Call;
use crate::snapshot::Snapshot;
use base::id::Workspace;
use operators::key;
use operators::service::{Path, Service};
use steering::attempt::Refusal;

/// What a request may use.
#[derive(Debug, Clone)]
pub struct Grant<'a> {
    /// Service.
    pub service: &'a Service,
    /// Route of the service.
    pub path: &'a Path,
    /// Workspace of the key; none on a route open to all.
    pub workspace: Option<Workspace>,
    /// Digest of the key, by which a later withdrawal is noticed.
    pub digest: Option<Box<str>>,
}

/// Finds the route and checks the key.
///
/// # Errors
///
/// Returns why the request is refused.
pub fn authorise<'a>(
    call: &Call,
    snapshot: &'a Snapshot,
    secret: &str,
) -> Result<Grant<'a>, Refusal> {
    let service = snapshot.service(&call.service).ok_or(Refusal::NoRoute)?;
    let path = service
        .route(call.method.as_str(), call.target.path())
        .ok_or(Refusal::NoRoute)?;
    if path.open {
        return Ok(Grant {
            service,
            path,
            workspace: None,
            digest: None,
        });
    }
    let shown = call.key.as_deref().ok_or(Refusal::Unauthorised)?;
    let digest = key::digest(secret, shown);
    let now = base::clock::unix_millis();
    let key = snapshot.key(&digest, now).ok_or(Refusal::Unauthorised)?;
    if !service.allows(&key.workspace) {
        return Err(Refusal::Forbidden);
    }
    let workspace = Some(key.workspace.clone());
    Ok(Grant {
        service,
        path,
        workspace,
        digest: Some(digest),
    })
}
