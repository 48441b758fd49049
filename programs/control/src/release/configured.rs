//! Releases of the configuration in force.

use crate::state::ControlState;
use base::clock::{self, Millis};
use base::id::{Label, Release, Route, Service};
use operators::service;
use platform::list::{Backend, State};
use steering::release::Cap;

/// Release of the configuration in force.
#[derive(Debug, Clone)]
pub struct ConfiguredRelease {
    /// Release id.
    pub id: Release,
    /// Service whose version changes.
    pub service: Service,
    /// Version that is replaced.
    pub old: Label,
    /// Version that takes over.
    pub new: Label,
    /// Cap on the new version in each step.
    pub steps: Box<[Cap]>,
    /// Time by which the release has to be finished.
    pub finish_by: Millis,
    /// Routes of the service.
    pub routes: Vec<Route>,
    /// Live servers of the new version that are not being drained.
    pub servers: u32,
}

impl ControlState {
    /// Returns the releases of the configuration in force.
    pub fn configured_releases(&self) -> Vec<ConfiguredRelease> {
        let bundle = self.active.as_ref().map(|active| &active.bundle);
        let services = bundle
            .into_iter()
            .flat_map(|bundle| bundle.services.values());
        services
            .filter_map(|service| self.configured_release(service))
            .collect()
    }

    fn configured_release(&self, service: &service::Service) -> Option<ConfiguredRelease> {
        let takeover = &service.release.as_ref()?.value;
        let name = &service.service.value;
        let usable = |backend: &&Backend| {
            backend.service == *name
                && backend.label == takeover.to
                && backend.state == State::Live
                && self.progress.drains.1.may_start(&backend.name)
        };
        let servers = self.list.backends.iter().filter(usable).count();
        Some(ConfiguredRelease {
            id: takeover.id.clone(),
            service: name.clone(),
            old: service.current.clone(),
            new: takeover.to.clone(),
            steps: takeover.steps.iter().map(|cap| Cap::from(*cap)).collect(),
            finish_by: clock::to_millis(takeover.finish_by.0),
            routes: service
                .routes
                .iter()
                .map(|r| r.value.name.clone())
                .collect(),
            servers: u32::try_from(servers).unwrap_or(u32::MAX),
        })
    }
}
