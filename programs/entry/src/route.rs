//! Chooses the version, the data centre and the backend server of a request.

use crate::server::Server;
use crate::settings::Settings;
use crate::snapshot::Snapshot;
use base::id::Label;
use operators::service::Service;
use std::sync::Arc;

/// Returns the server that gets the request: the nearest, and among those the least busy one.
pub fn choose<'a>(
    snapshot: &'a Snapshot,
    service: &'a Service,
    label: &'a Label,
    settings: &Settings,
    tried: &[Box<str>],
) -> Option<&'a Arc<Server>> {
    snapshot
        .servers(&service.service.value, label)
        .filter(|server| !tried.contains(&server.listed.name))
        .min_by_key(|server| (distance(server, settings), server.in_flight()))
}

fn distance(server: &Server, settings: &Settings) -> u8 {
    let listed = &server.listed;
    match listed {
        _ if listed.data_centre == settings.data_centre => 0,
        _ if listed.region == settings.region => 1,
        _ => 2,
    }
}
