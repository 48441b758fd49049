//! State of the control process, indexed for the request path.

use crate::server::Server;
use backends::client::Settings;
use base::id::{Label, Version, Workspace};
use indexmap::{IndexMap, IndexSet};
use operators::bundle::Bundle;
use operators::fleet;
use operators::service::Service;
use peers::local::{Shares, Standing, State, Step};
use platform::list;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;
use steering::keys::{Confirmation, Digest, Isolated, Policy, Refusal, Ring, Withdrawn};
use steering::limits::Allocation;

/// Immutable state that requests read; replaced as a whole when something changes.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// Configuration version.
    pub version: Version,
    /// Division of limits, this VM's floor and the granters.
    pub shares: Shares,
    bundle: Option<Arc<Bundle>>,
    ring: Ring,
    withdrawn: Withdrawn,
    halted: IndexSet<Box<str>>,
    steps: IndexMap<Box<str>, Step>,
    draining: IndexSet<Box<str>>,
    drains_version: u64,
    /// Servers of new versions that the current step does not use.
    unused: IndexSet<Box<str>>,
    servers: IndexMap<Box<str>, Arc<Server>>,
    nodes: Vec<list::Node>,
}

impl Snapshot {
    /// Returns this snapshot, updated by a state of the control process.
    ///
    /// A lower configuration version, as from a restarted control process, is ignored, and entries
    /// of grow-only sets are never removed.
    pub fn updated(&self, state: &State, pool: &Settings) -> Self {
        let (version, bundle) = self.newer_config(state);
        let has_newer_drains = state.drains_version >= self.drains_version;
        let ring = if version > self.version {
            state.keys.iter().cloned().collect()
        } else {
            self.ring.clone()
        };
        let mut withdrawn = self.withdrawn.clone();
        withdrawn.merge(&state.withdrawn.iter().copied().collect());
        Self {
            version,
            bundle,
            // A restarted control process has no division until it has read the store; this VM
            // keeps its floor meanwhile.
            shares: if state.shares.division.is_some() {
                state.shares.clone()
            } else {
                self.shares.clone()
            },
            ring,
            withdrawn,
            halted: &self.halted | &state.halted,
            steps: self.steps(state),
            draining: if has_newer_drains {
                state.draining.clone()
            } else {
                self.draining.clone()
            },
            drains_version: self.drains_version.max(state.drains_version),
            unused: unused(state),
            servers: self.connect_servers(&state.list, pool),
            nodes: if state.list.nodes.is_empty() {
                self.nodes.clone()
            } else {
                state.list.nodes.clone()
            },
        }
    }

    /// Returns the steps of the state, and completed releases that a restarted control process does
    /// not know yet.
    fn steps(&self, state: &State) -> IndexMap<Box<str>, Step> {
        let is_complete = |step: &Step| step.standing == Standing::Complete;
        let kept = self.steps.iter().filter(|(_, step)| is_complete(step));
        let mut steps = state.steps.clone();
        for (release, step) in kept {
            steps.insert(release.clone(), step.clone());
        }
        let Some(bundle) = &self.bundle else {
            return steps;
        };
        let is_configured = |id: &str| {
            let mut releases = bundle.services.values().filter_map(|s| s.release.as_ref());
            releases.any(|release| *release.value.id == *id)
        };
        steps.retain(|id, _| state.steps.contains_key(id) || is_configured(id));
        steps
    }

    /// Returns the configuration of the state if it is newer and valid, else the current one.
    fn newer_config(&self, state: &State) -> (Version, Option<Arc<Bundle>>) {
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

    /// Returns the listed servers, with the existing connections of those whose entry has not
    /// changed.
    fn connect_servers(
        &self,
        list: &list::List,
        pool: &Settings,
    ) -> IndexMap<Box<str>, Arc<Server>> {
        // The list is empty while a started control process has not read it yet.
        if list.backends.is_empty() {
            return self.servers.clone();
        }
        let entries = list.nodes.len();
        let server = |listed: &list::Backend| match self.servers.get(&listed.name) {
            Some(known) if known.is_unchanged(listed, entries) => known.clone(),
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

    /// Returns the limit of a configured workspace for all VMs together.
    pub fn limit(&self, workspace: &str) -> Option<Allocation> {
        let workspace = self.bundle.as_ref()?.fleet.workspace(workspace)?;
        Some(workspace.limit())
    }

    /// Returns whether a key is withdrawn.
    pub fn is_withdrawn(&self, digest: &Digest) -> bool {
        self.withdrawn.contains(digest)
    }

    /// Returns the configuration in force.
    pub fn bundle(&self) -> Option<&Bundle> {
        self.bundle.as_deref()
    }

    /// Returns a backend server by its name.
    pub fn server(&self, name: &str) -> Option<&Arc<Server>> {
        self.servers.get(name)
    }

    /// Returns all listed servers, leaving ones included.
    pub fn listed(&self) -> impl Iterator<Item = &Arc<Server>> {
        self.servers.values()
    }

    /// Returns whether a server may get new requests: it is live, is not drained, belongs to the
    /// current step and is not reserved for trial runs.
    pub fn accepts_work(&self, server: &Server) -> bool {
        let listed = &server.listed;
        listed.state == list::State::Live
            && !self.draining.contains(&listed.name)
            && !self.unused.contains(&listed.name)
            && !server.is_reserved()
    }

    /// Returns the address at which a VM's entry serves other entries.
    pub fn share_address(&self, vm: &str) -> Option<SocketAddr> {
        let node = self.nodes.iter().find(|node| &*node.name == vm)?;
        Some(node.share)
    }

    /// Returns the workspace of the key with this digest.
    ///
    /// # Errors
    ///
    /// Fails if the key is unknown, withdrawn or expired, or if its last confirmation is too old.
    pub fn workspace(
        &self,
        digest: &Digest,
        confirmed: Option<Instant>,
    ) -> Result<&Workspace, Refusal> {
        let now = base::clock::unix_millis();
        let workspace = self.ring.authorise(digest, &self.withdrawn, now)?;
        let policy = self.policy();
        let is_accepted = match confirmed {
            Some(at) => Confirmation::new(policy, at).accepts(Instant::now()),
            None => policy.isolated_keys == Isolated::Accept,
        };
        is_accepted
            .then_some(workspace)
            .ok_or(Refusal::NotConfirmed)
    }

    fn policy(&self) -> Policy {
        let Some(bundle) = &self.bundle else {
            return Policy::default();
        };
        let keys = bundle.fleet.keys;
        Policy {
            isolated_keys: match keys.isolated_keys {
                fleet::Policy::Serve => Isolated::Accept,
                fleet::Policy::Refuse => Isolated::Refuse,
            },
            key_staleness: keys.key_staleness.0,
        }
    }

    /// Returns the step of a service's release, unless the release is halted.
    pub fn step(&self, service: &Service) -> Option<&Step> {
        let release = &service.release.as_ref()?.value.id;
        let step = self.steps.get(release)?;
        // A completed release can't be halted; going back to the old version is a new release.
        let halted = self.halted.contains(release) && step.standing != Standing::Complete;
        (!halted).then_some(step)
    }

    /// Returns the version in service: the old one until the release is complete.
    pub fn label<'a>(&'a self, service: &'a Service) -> &'a Label {
        let step = self.step(service);
        let complete = step.filter(|step| step.standing == Standing::Complete);
        complete.map_or(&service.current, |step| &step.to)
    }

    /// Returns the step of a release, unless it is halted.
    pub fn release_step(&self, release: &str) -> Option<&Step> {
        let bundle = self.bundle.as_ref()?;
        let has_release = |service: &&Service| {
            let release_spec = service.release.as_ref();
            release_spec.is_some_and(|spec| *spec.value.id == *release)
        };
        self.step(bundle.services.values().find(has_release)?)
    }

    /// Returns all VMs.
    pub fn nodes(&self) -> &[list::Node] {
        &self.nodes
    }

    /// Returns all backend servers.
    pub fn all_servers(&self) -> impl Iterator<Item = &Arc<Server>> {
        self.servers.values()
    }

    /// Returns the servers of a service and version that may get new work.
    pub fn servers<'a>(
        &'a self,
        service: &'a str,
        label: &'a Label,
    ) -> impl Iterator<Item = &'a Arc<Server>> {
        self.servers.values().filter(move |server| {
            let listed = &server.listed;
            *listed.service == *service && listed.label == *label && self.accepts_work(server)
        })
    }

    /// Returns whether a server is being drained.
    pub fn is_draining(&self, server: &str) -> bool {
        self.draining.contains(server)
    }
}

/// Returns the servers of new versions beyond the number that their steps use.
fn unused(state: &State) -> IndexSet<Box<str>> {
    let names = state
        .steps
        .values()
        .filter(|step| step.standing == Standing::Stepping)
        .flat_map(|step| {
            let of_step =
                |b: &&list::Backend| b.service == step.service && b.label == step.to && is_live(b);
            let mut names: Vec<_> = state.list.backends.iter().filter(of_step).collect();
            names.retain(|backend| !state.draining.contains(&backend.name));
            names.sort_by(|a, b| a.name.cmp(&b.name));
            names.into_iter().skip(step.width as usize)
        });
    names.map(|backend| backend.name.clone()).collect()
}

fn is_live(backend: &list::Backend) -> bool {
    backend.state == list::State::Live
}
