//! Knowledge of the control process.

use crate::record::{self, Ring as Row};
use crate::release::Progress;
use crate::settings::Settings;
use ::peers::gossip::Listing;
use ::peers::local::{Division, Runs, Shares, State};
use base::clock::Millis;
use base::id::{Incarnation, Release, Version, Vm};
use indexmap::IndexMap;
use operators::bundle::{Bundle, Files};
use operators::fleet;
use platform::list::{self, List};
use std::time::Instant;
use steering::config::marks::Summary;
use steering::config::{Head, Manifest, Mark, MarkSet, Readiness, Replica};
use steering::keys::{Confirmation, Isolated, KeyStatus, Policy, Ring};
use steering::limits::floors::Owners;
use steering::membership::{self, Identity, ListedVm, View};

/// Configuration in force.
#[derive(Debug, Clone, PartialEq)]
pub struct Active {
    /// Version.
    pub version: Version,
    /// Texts of the steering files.
    pub files: Files,
    /// Parsed files.
    pub bundle: Bundle,
    /// Issued keys.
    pub ring: Ring,
}

/// All that the control process knows.
#[derive(Debug)]
pub struct ControlState {
    /// Configuration in force, once the process is ready.
    pub active: Option<Active>,
    /// Configuration and growing sets as they are exchanged with peers.
    pub replica: Replica,
    /// VMs of the own data centre, and contacts in the others.
    pub view: View,
    /// Growing changes as the table holds them.
    pub table_marks: MarkSet,
    /// Version of the table's row from which they were read last.
    pub table_marks_version: u64,
    /// Reasons of halted releases, as far as they are known.
    pub halt_reasons: IndexMap<Release, Box<str>>,
    /// Live incarnations of entries as the VM's entry reported them.
    pub runs: Runs,
    /// Last list of VMs and backend servers.
    pub list: List,
    /// Releases, drains and stops.
    pub progress: Progress,
    /// Requests on the new version that each route needs before a step to 100%.
    pub release_requests: u64,
    /// Name of this VM.
    pub vm: Vm,
    /// Time of the last confirmation of the keys by the store or another data centre; none since
    /// the start. It isn't the start: a VM that restarts while it is cut off confirms nothing.
    pub keys_confirmed_at: Option<Instant>,
    /// Time of the last successful read of the table, by wall clock; 0 before the first.
    pub table_read_at: Millis,
    /// Number of growing changes that a peer has too.
    pub replicated_marks: u32,
    /// Division of limits, once the row `floors` was read.
    pub division: Option<Division>,
    /// Whether this VM owns a floor.
    pub owns_floor: bool,
    /// Owners of floors, from the row `floors` and from the owners themselves.
    pub floor_owners: Owners,
    /// Incarnation that this VM's entry reported.
    pub entry_incarnation: Option<Incarnation>,
    /// Holder of each granter shard.
    pub granter_holders: Vec<Option<Vm>>,
    /// Growing changes of this VM's operators are told to other data centres as well.
    pub gossip_to_remote: bool,
    listing: (u64, Instant),
    refused_version: Version,
    started_at: Instant,
}

/// What decides whether the published state has to be made anew.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Fingerprint {
    active: Version,
    tracker_version: Version,
    marks: Summary,
    list: u64,
}

impl Fingerprint {
    /// Returns whether `before` lacks something that other VMs should be told of.
    pub(super) fn has_news_since(&self, before: &Self) -> bool {
        self.tracker_version != before.tracker_version || self.marks != before.marks
    }
}

impl ControlState {
    /// Starts with nothing known.
    pub fn new(settings: &Settings, now: Instant) -> Self {
        let identity = Identity {
            vm: settings.vm.clone(),
            data_centre: settings.data_centre.clone(),
            region: settings.region.clone(),
            incarnation: rand::random(),
        };
        Self {
            active: None,
            replica: Replica::new([], now),
            view: View::new(identity, membership::Settings::default()),
            table_marks: MarkSet::default(),
            table_marks_version: 0,
            halt_reasons: IndexMap::new(),
            runs: Runs::default(),
            list: List::default(),
            progress: Progress::default(),
            release_requests: settings.release_requests,
            vm: settings.vm.clone(),
            keys_confirmed_at: None,
            table_read_at: 0,
            replicated_marks: 0,
            division: None,
            owns_floor: false,
            floor_owners: Owners::default(),
            entry_incarnation: None,
            granter_holders: Vec::new(),
            gossip_to_remote: false,
            listing: (0, now),
            refused_version: 0,
            started_at: now,
        }
    }

    /// Returns the version in force; 0 before the process is ready.
    pub fn version(&self) -> Version {
        self.active.as_ref().map_or(0, |active| active.version)
    }

    /// Returns whether the process may publish what it knows to the VM's other processes.
    pub fn ready(&self) -> bool {
        matches!(self.replica.tracker.readiness(), Readiness::Ready(_))
    }

    pub(super) fn fingerprint(&self) -> Fingerprint {
        Fingerprint {
            active: self.version(),
            tracker_version: self.replica.tracker.version(),
            marks: self.replica.marks.summary(),
            list: self.listing.0,
        }
    }

    /// Puts the held configuration in force once the process is ready.
    pub(super) fn activate(&mut self) {
        let Readiness::Ready(version) = self.replica.tracker.readiness() else {
            return;
        };
        if version <= self.version().max(self.refused_version) {
            return;
        }
        match self.parse_config(version) {
            Ok(active) => {
                log::info!("configuration version {version} is in force");
                self.active = Some(active);
            }
            Err(reason) => {
                log::error!("configuration version {version} is refused: {reason}");
                self.refused_version = version;
            }
        }
    }

    fn parse_config(&self, version: Version) -> Result<Active, Box<str>> {
        let tracker = &self.replica.tracker;
        let names = tracker.active().map(|active| active.manifest.files.keys());
        let mut files = Files::new();
        let mut ring = Ring::default();
        for name in names.into_iter().flatten() {
            let content = tracker.file(name).map(|content| &content[..]);
            let content = content.unwrap_or_default();
            if **name == *record::RING {
                let row: Row = serde_json::from_slice(content).map_err(|e| e.to_string())?;
                ring = row.keys.into_iter().collect();
            } else {
                let text = std::str::from_utf8(content).map_err(|e| e.to_string())?;
                files.insert(name.clone(), text.into());
            }
        }
        files.sort_unstable_keys();
        let bundle = Bundle::parse(&files).map_err(|findings| {
            let findings: Vec<String> = findings.iter().map(ToString::to_string).collect();
            findings.join("; ")
        })?;
        Ok(Active {
            version,
            files,
            bundle,
            ring,
        })
    }

    /// Returns the state for the other processes of the VM. Before the process is ready it holds
    /// only the growing changes, which no one has to take back, and what the VM's entry reported.
    pub(super) fn published_state(&self) -> State {
        let sets = &self.replica.marks;
        let mut state = State {
            runs: self.runs.clone(),
            ..State::default()
        };
        for mark in sets.marks() {
            match mark {
                Mark::Withdrawn(digest) => drop(state.withdrawn.insert(*digest)),
                Mark::Halted(release) => drop(state.halted.insert(release.clone())),
                Mark::Drained(name) => drop(state.draining.insert(name.clone())),
            }
        }
        let stopped = self.progress.drains.1.stopped_servers();
        state.draining.extend(stopped.cloned());
        state.drains_version = self.progress.drains.0;
        state.leaving = self.progress.leaving_vms(&self.vm);
        if let Some(active) = &self.active {
            state.steps.clone_from(&self.progress.steps);
            state.version = active.version;
            state.files.clone_from(&active.files);
            state.keys = active.ring.entries().cloned().collect();
            state.list.clone_from(&self.list);
        }
        state.runs.clone_from(&self.runs);
        state.shares = self.shares();
        state
    }

    fn shares(&self) -> Shares {
        let address = |vm: &Vm| {
            let nodes = &self.list.nodes;
            nodes.iter().find(|n| n.name == *vm).map(|n| n.gossip)
        };
        Shares {
            division: self.division,
            // The floor belongs to the VM's present entry: it has bound the VM's addresses, so the
            // incarnation in the row has ended if it is another one.
            floor: self.entry_incarnation.filter(|_| self.owns_floor),
            granters: self
                .granter_holders
                .iter()
                .map(|vm| vm.as_ref().and_then(address))
                .collect(),
        }
    }

    /// Adds growing changes of an operator of this VM; returns how many there are now.
    pub fn add_marks(&mut self, marks: impl IntoIterator<Item = Mark>) -> u32 {
        for mark in marks {
            self.replica.marks.add(mark);
        }
        self.gossip_to_remote = true;
        self.replica.marks.summary().count
    }

    /// Returns the head and the manifest against which files reviewed at version `base` may be
    /// published: those in force, if nothing but keys has changed since `base`.
    ///
    /// # Errors
    ///
    /// Returns the version to review again.
    pub fn publication_base(&self, base: Version) -> Result<(Option<Head>, Manifest), Version> {
        let tracker = &self.replica.tracker;
        let (since, changed) = tracker.changes_since(base);
        let keys_only = since == base && changed.keys().all(|name| **name == *record::RING);
        let active = tracker.active();
        if base != tracker.version() && !(base < tracker.version() && keys_only) {
            return Err(tracker.version());
        }
        Ok(active.map_or_else(Default::default, |active| {
            (Some(active.head.clone()), active.manifest.clone())
        }))
    }

    /// Takes the platform's list, read at `at`. A list without VMs is refused.
    pub fn apply_list(&mut self, list: List, at: Instant, now: Instant) {
        if list.nodes.is_empty() || (self.listing.0 != 0 && at <= self.listing.1) {
            return;
        }
        let listed: Vec<ListedVm> = list
            .nodes
            .iter()
            .map(|node| ListedVm {
                vm: node.name.clone(),
                data_centre: node.data_centre.clone(),
                region: node.region.clone(),
                leaving: node.state == list::State::Leaving,
            })
            .collect();
        for vm in self.view.apply_list(&listed, now) {
            log::info!("vm {vm} is gone");
        }
        self.listing = (list_hash(&list), at);
        self.list = list;
    }

    /// Returns what identifies the list.
    pub fn listing(&self, now: Instant) -> Listing {
        Listing {
            hash: self.listing.0,
            age: now.saturating_duration_since(self.listing.1),
        }
    }

    /// Returns what the configuration in force says about unconfirmed keys.
    pub fn key_policy(&self) -> Policy {
        let Some(active) = &self.active else {
            return Policy::default();
        };
        let keys = active.bundle.fleet.keys;
        Policy {
            isolated_keys: match keys.isolated_keys {
                fleet::Policy::Serve => Isolated::Accept,
                fleet::Policy::Refuse => Isolated::Refuse,
            },
            key_staleness: keys.key_staleness.0,
        }
    }

    /// Returns the state of the keys.
    pub fn key_status(&self, now: Instant) -> KeyStatus {
        let confirmed = self.keys_confirmed_at.unwrap_or(self.started_at);
        Confirmation::new(self.key_policy(), confirmed).status(now)
    }

    /// Notes that the store or another data centre confirmed the keys at `at`.
    pub fn record_keys_confirmed(&mut self, at: Instant) {
        self.keys_confirmed_at = self.keys_confirmed_at.max(Some(at));
    }
}

fn list_hash(list: &List) -> u64 {
    let bytes = serde_json::to_vec(list).unwrap_or_default();
    let mut first = [0; 8];
    first.copy_from_slice(&blake3::hash(&bytes).as_bytes()[..8]);
    u64::from_le_bytes(first).max(1)
}
