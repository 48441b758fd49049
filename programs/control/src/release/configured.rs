//! The configured releases in the form that the decisions need.

use crate::state::ControlState;
use base::clock::{self, Millis};
use base::id::{Label, Release, Route, Service};
use operators::service;
use platform::list::{Backend, State};
use steering::release::Cap;

/// A release as the configuration in force names it.
#[derive(Debug, Clone)]
pub struct ConfiguredRelease {
    /// Id.
    pub id: Release,
    /// Service.
    pub service: Service,
    /// Version that is replaced.
    pub old: Label,
    /// Version that takes over.
    pub new: Label,
    /// Caps of the steps.
    pub steps: Box<[Cap]>,
    /// Finish time.
    pub finish_by: Millis,
    /// Routes of the service.
    pub routes: Vec<Route>,
    /// Listed servers of the new version that stay.
    pub servers: u32,
}

impl ControlState {
    /// Returns the releases that the configuration in force names.
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
