//! Reports the state of the fleet.

use super::Admin;
use crate::state::ControlState;
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
        let versions = versions::fleet_versions(&self.shared).await;
        let settings = &self.shared.settings;
        let status = self.shared.read(|known| {
            let version = known.version();
            let adoption = adoption(known, &versions);
            Status {
                vm: settings.vm.clone(),
                version,
                stage: stage(version, &adoption),
                on: adoption.adopted,
                of: adoption.total,
                missing: adoption.missing.into_iter().collect(),
                in_force: reports(known, versions),
                confirmed_by_store: known.table_read_at,
                keys: keys(known),
                releases: known.describe_releases(),
                draining: known.progress.drains.1.stopped_servers().cloned().collect(),
                drains: known.describe_drains(),
            }
        });
        http::json(StatusCode::OK, &status)
    }
}

fn stage(version: Version, adoption: &Adoption) -> Stage {
    match adoption {
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

/// Counts the VMs that have the version of this VM, among listed VMs and those that answered.
fn adoption(known: &ControlState, reported: &IndexMap<Vm, Version>) -> Adoption {
    let mut versions: IndexMap<&Vm, Version> = IndexMap::new();
    let listed = known.list.nodes.iter().map(|node| &node.name);
    versions.extend(listed.map(|vm| (vm, 0)));
    versions.extend(reported.iter().map(|(vm, version)| (vm, *version)));
    Adoption::count(known.version(), versions)
}

fn reports(known: &ControlState, versions: IndexMap<Vm, Version>) -> IndexMap<Vm, Report> {
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
    versions.into_iter().map(report).collect()
}

fn keys(known: &ControlState) -> Keys {
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
    let (state, since) = match known.key_status(Instant::now()) {
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
