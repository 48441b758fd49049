//! Status of the fleet for operators.

use crate::shared::Shared;
use base::http::{Body, json};
use base::id::{Version, Vm};
use base::sync::lock;
use hyper::{Response, StatusCode};
use indexmap::IndexMap;
use operators::gateway::{RefusedRequest, State, Usage};
use std::time::Instant;

/// Answers a status request of an operator.
pub fn handle(shared: &Shared) -> Response<Body> {
    json(StatusCode::OK, &state(shared, Instant::now()))
}

fn state(shared: &Shared, now: Instant) -> State {
    let own = &shared.settings.vm;
    let (table, evacuated) = {
        let orders = lock(&shared.orders);
        (orders.table.clone(), orders.evacuated.clone())
    };
    let own_version = table.map_or(0, |table| table.configuration().version);
    let fleet = lock(&shared.fleet);
    let others = fleet.others(own);
    let mut versions: IndexMap<&Vm, Version> = others.iter().map(|vm| (*vm, 0)).collect();
    versions.extend(fleet.configurations(now));
    versions.insert(own, own_version);
    let version = versions.values().copied().max().unwrap_or_default();
    let missing: Vec<Vm> = versions
        .iter()
        .filter(|(_, known)| **known < version || version == 0)
        .map(|(vm, _)| (*vm).clone())
        .collect();
    let total = versions.len();
    drop(fleet);
    let refused: Vec<RefusedRequest> = lock(&shared.crashes)
        .refused(now)
        .map(|(digest, crashes, until)| RefusedRequest {
            digest: format!("{digest:x}").into(),
            crashes,
            left_ms: until.saturating_duration_since(now).as_millis() as u64,
        })
        .collect();
    State {
        vm: own.clone(),
        version,
        on: total - missing.len(),
        of: total,
        missing,
        releases: shared.takeovers.releases(),
        evacuated,
        notices: shared.services.notices(now),
        refused,
        usage: shared.usage.as_ref().map(|usage| {
            let progress = usage.progress();
            Usage {
                holder: progress.holder,
                token: progress.token,
                fixed: progress.fixed,
                sent: progress.sent,
            }
        }),
        age_ms: shared.store_data_age(now).map(|age| age.as_millis() as u64),
    }
}
