//! Reports the state of the fleet.

use super::Admin;
use crate::state::Known;
use crate::versions;
use base::clock;
use base::http::{self, Body};
use base::id::{Version, Vm};
use hyper::{Response, StatusCode};
use indexmap::IndexMap;
use operators::admin::{KeyState, Keys, Report, Stage, Status};
use std::time::Instant;
use steering::config::Adoption;
use steering::keys::KeyStatus;

impl Admin {
    pub(super) async fn status(&self) -> Response<Body> {
        let heard = versions::fleet(&self.shared).await;
        let settings = &self.shared.settings;
        let status = self.shared.read(|known| {
            let version = known.version();
            let force = force(known, &heard);
            Status {
                vm: settings.vm.clone(),
                version,
                stage: stage(version, &force),
                on: force.adopted,
                of: force.total,
                missing: force.missing.into_iter().collect(),
                in_force: reports(known, heard),
                confirmed_by_store: known.table_read,
                keys: keys(known),
                releases: known.releases(),
                draining: known.board.drains.1.stopped_servers().cloned().collect(),
                drains: known.drain_texts(),
            }
        });
        http::json(StatusCode::OK, &status)
    }
}

fn stage(version: Version, force: &Adoption) -> Stage {
    match force {
        _ if version == 0 => Stage::NoVersion,
        Adoption { adopted: 0, .. } => Stage::Accepted,
        Adoption {
            adopted: on,
            total: of,
            ..
        } if on == of => Stage::Done,
        _ => Stage::InForce,
    }
}

/// Counts the VMs that have the version of this VM, over those that the platform lists and those
/// that were heard of.
fn force(known: &Known, heard: &IndexMap<Vm, Version>) -> Adoption {
    let mut versions: IndexMap<&Vm, Version> = IndexMap::new();
    let listed = known.list.nodes.iter().map(|node| &node.name);
    versions.extend(listed.map(|vm| (vm, 0)));
    versions.extend(heard.iter().map(|(vm, version)| (vm, *version)));
    Adoption::count(known.version(), versions)
}

fn reports(known: &Known, heard: IndexMap<Vm, Version>) -> IndexMap<Vm, Report> {
    let nodes = &known.list.nodes;
    let centre = |vm: &Vm| nodes.iter().find(|node| node.name == *vm);
    let own = &known.view.identity().data_centre;
    let report = |(vm, version): (Vm, Version)| {
        let data_centre = centre(&vm).map_or(own, |node| &node.data_centre).clone();
        let report = Report {
            data_centre,
            version,
        };
        (vm, report)
    };
    heard.into_iter().map(report).collect()
}

fn keys(known: &Known) -> Keys {
    let withdrawn = known.replica.marks.withdrawn_keys();
    let now = clock::unix_millis();
    let entries = known.active.iter().flat_map(|a| a.ring.entries());
    let valid = entries
        .filter(|entry| !withdrawn.contains(&entry.digest))
        .filter(|entry| entry.until.is_none_or(|until| now < until))
        .count();
    let millis = |at: Instant| {
        let age = u64::try_from(at.elapsed().as_millis()).unwrap_or(u64::MAX);
        now.saturating_sub(age)
    };
    let (state, since) = match known.standing(Instant::now()) {
        KeyStatus::Confirmed => (KeyState::Confirmed, None),
        KeyStatus::NotConfirmed(since) => (KeyState::NotConfirmed, Some(millis(since))),
        KeyStatus::Refused(since) => (KeyState::Refused, Some(millis(since))),
    };
    Keys {
        valid,
        withdrawn: withdrawn.len(),
        state,
        since,
    }
}
