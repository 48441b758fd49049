//! State of the control process in the form that the request path needs.

use crate::server::Server;
use backends::client::Settings;
use base::id::{Label, Version};
use indexmap::{IndexMap, IndexSet};
use operators::bundle::Bundle;
use operators::service::Service;
use peers::local::{Key, State, Step};
use platform::list;
use std::sync::Arc;

/// Everything that the request path looks up; replaced whole when something changes.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// Configuration version.
    pub version: Version,
    bundle: Option<Arc<Bundle>>,
    keys: IndexMap<Box<str>, Key>,
    withdrawn: IndexSet<Box<str>>,
    halted: IndexSet<Box<str>>,
    steps: IndexMap<Box<str>, Step>,
    draining: IndexSet<Box<str>>,
    servers: IndexMap<Box<str>, Arc<Server>>,
    nodes: Vec<list::Node>,
}

impl Snapshot {
    /// Builds the successor of `self` from a state of the control process.
    ///
    /// A lower configuration version, as from a restarted control process, is not taken up, and
    /// entries of growing sets are never removed.
    pub fn next(&self, state: &State, pool: &Settings) -> Self {
        let (version, bundle) = self.newer(state);
        Self {
            version,
            bundle,
            keys: if state.keys.is_empty() {
                self.keys.clone()
            } else {
                state.keys.clone()
            },
            withdrawn: &self.withdrawn | &state.withdrawn,
            halted: &self.halted | &state.halted,
            steps: state.steps.clone(),
            draining: &self.draining | &state.draining,
            servers: self.connected(&state.list, pool),
            nodes: match state.list.nodes.is_empty() {
                true => self.nodes.clone(),
                false => state.list.nodes.clone(),
            },
        }
    }

    fn newer(&self, state: &State) -> (Version, Option<Arc<Bundle>>) {
        if state.version <= self.version {
            return (self.version, self.bundle.clone());
        }
        match Bundle::parse(&state.files) {
            Ok(bundle) => {
                log::info!("configuration version {} is in force", state.version);
                (state.version, Some(Arc::new(bundle)))
            }
            Err(_) => {
                log::error!("configuration version {} can't be parsed", state.version);
                (self.version, self.bundle.clone())
            }
        }
    }

    /// Keeps the connections to servers that are still listed at the same address.
    fn connected(&self, list: &list::List, pool: &Settings) -> IndexMap<Box<str>, Arc<Server>> {
        // An empty list comes from a control process that has not read it yet.
        if list.backends.is_empty() {
            return self.servers.clone();
        }
        let entries = list.nodes.len();
        let server = |listed: &list::Backend| match self.servers.get(&listed.name) {
            Some(known) if known.fits(listed, entries) => known.clone(),
            _ => Arc::new(Server::new(listed.clone(), entries, pool.clone())),
        };
        list.backends
            .iter()
            .map(|listed| (listed.name.clone(), server(listed)))
            .collect()
    }

    /// Returns a service of the configuration in force.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.bundle.as_ref()?.service(name)
    }

    /// Returns the configuration in force.
    pub fn bundle(&self) -> Option<&Bundle> {
        self.bundle.as_deref()
    }

    /// Returns the VMs of the system that the platform lists.
    pub fn nodes(&self) -> &[list::Node] {
        &self.nodes
    }

    /// Returns a backend server by its name.
    pub fn server(&self, name: &str) -> Option<&Arc<Server>> {
        self.servers.get(name)
    }

    /// Returns all listed servers, those that leave included.
    pub fn listed(&self) -> impl Iterator<Item = &Arc<Server>> {
        self.servers.values()
    }

    /// Returns whether list and drains let a server get new work.
    pub fn startable(&self, server: &Server) -> bool {
        let listed = &server.listed;
        listed.state == list::State::Live && !self.draining.contains(&listed.name)
    }

    /// Returns the key with this digest, unless it has been withdrawn or has expired.
    pub fn key(&self, digest: &str, now: base::clock::Millis) -> Option<&Key> {
        if self.withdrawn.contains(digest) {
            return None;
        }
        self.keys
            .get(digest)
            .filter(|key| key.expires.is_none_or(|expires| now < expires))
    }

    /// Returns the step of a service's release, unless the release is halted.
    pub fn step(&self, service: &Service) -> Option<&Step> {
        let release = &service.release.as_ref()?.value.id;
        if self.halted.contains(release) {
            return None;
        }
        self.steps.get(release)
    }

    /// Returns the servers of a service and version that may get new work.
    pub fn servers<'a>(
        &'a self,
        service: &'a str,
        label: &'a Label,
    ) -> impl Iterator<Item = &'a Arc<Server>> {
        self.servers.values().filter(move |server| {
            let listed = &server.listed;
            *listed.service == *service && listed.label == *label && self.startable(server)
        })
    }
}
