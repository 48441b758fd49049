//! Reports the state of the fleet.

use super::Admin;
use crate::state::Known;
use base::http::{self, Body};
use hyper::{Response, StatusCode};
use indexmap::IndexMap;
use operators::admin::{Keys, Report, Status};

impl Admin {
    pub(super) fn status(&self) -> Response<Body> {
        let settings = &self.shared.settings;
        let status = self.shared.read(|known| {
            let version = known.active.as_ref().map_or(0, |active| active.version);
            let report = Report {
                data_centre: settings.data_centre.clone(),
                version,
            };
            let in_force = IndexMap::from([(settings.vm.clone(), report)]);
            Status {
                vm: settings.vm.clone(),
                version,
                missing: missing(known, &in_force),
                in_force,
                confirmed_by_store: known.confirmed,
                keys: keys(known),
                releases: known.releases(),
                draining: known.board.drains.1.stopped().cloned().collect(),
                drains: known.drain_texts(),
            }
        });
        http::json(StatusCode::OK, &status)
    }
}

fn missing(known: &Known, in_force: &IndexMap<Box<str>, Report>) -> Vec<Box<str>> {
    let nodes = known.list.nodes.iter();
    nodes
        .map(|node| node.name.clone())
        .filter(|name| !in_force.contains_key(name))
        .collect()
}

fn keys(known: &Known) -> Keys {
    let withdrawn = known.growing.withdrawn.len();
    let valid = known
        .keys
        .keys()
        .filter(|k| !known.growing.withdrawn.contains(*k))
        .count();
    Keys { valid, withdrawn }
}
