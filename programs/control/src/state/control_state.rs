//! State of the control process.

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
    /// Configuration version.
    pub version: Version,
    /// Texts of the steering files.
    pub files: Files,
    /// Parsed files.
    pub bundle: Bundle,
    /// Issued keys.
    pub ring: Ring,
}

/// State of the control process.
#[derive(Debug)]
pub struct ControlState {
    /// Configuration in force, once the process is ready.
    pub active: Option<Active>,
    /// Configuration and marks as exchanged with peers.
    pub replica: Replica,
    /// VMs of the own data centre, and contacts in other data centres.
    pub view: View,
    /// Marks as stored in the table.
    pub table_marks: MarkSet,
    /// Version of the row from which `table_marks` was last read.
    pub table_marks_version: u64,
    /// Known reasons of halted releases; a reason may arrive after the halt.
    pub halt_reasons: IndexMap<Release, Box<str>>,
    /// Live incarnations of entries, as reported by this VM's entry.
    pub runs: Runs,
    /// Latest list of VMs and backend servers.
    pub list: List,
    /// Releases, drains and shutdowns.
    pub progress: Progress,
    /// Requests on the new version that each route needs before a step to 100%.
    pub release_requests: u64,
    /// Name of this VM.
    pub vm: Vm,
    /// Time of the last confirmation of the keys by the store or another data centre; `None` if
    /// there was none since the start. The start doesn't count: a VM that restarts while it is
    /// isolated confirms nothing.
    pub keys_confirmed_at: Option<Instant>,
    /// Wall-clock time of the last successful read of the table; 0 before the first.
    pub table_read_at: Millis,
    /// Number of marks that at least one peer has too.
    pub replicated_marks: u32,
    /// Division of limits, once known from the row `floors` or another VM.
    pub division: Option<Division>,
    /// Whether this VM owns a floor.
    pub owns_floor: bool,
    /// Owners of floors, from the row `floors` and from announcements of the owners.
    pub floor_owners: Owners,
    /// Incarnation reported by this VM's entry.
    pub entry_incarnation: Option<Incarnation>,
    /// Lease holder of each granter shard.
    pub granter_holders: Vec<Option<Vm>>,
    /// Whether the next gossip also goes to other data centres, after a change by an operator here.
    pub gossip_to_remote: bool,
    listing: (u64, Instant),
    refused_version: Version,
    started_at: Instant,
}

/// Versions of the inputs to the published state; it is computed again when one of them differs.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Fingerprint {
    active: Version,
    tracker_version: Version,
    marks: Summary,
    list: u64,
}

impl Fingerprint {
    /// Returns whether there is a change since `before` that has to be gossiped at once.
    pub(super) fn has_news_since(&self, before: &Self) -> bool {
        self.tracker_version != before.tracker_version || self.marks != before.marks
    }
}

impl ControlState {
    /// Makes an empty state.
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

    /// Returns whether the process may publish its configuration to the VM's other processes.
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

    /// Puts the complete configuration of the tracker in force once the process is ready.
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

    /// Returns the state for the other processes of the VM. Until a configuration is in force it
    /// lacks the files, keys and list, but has the marks, which are never undone.
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
            // The floor belongs to the VM's current entry: it has bound the VM's addresses, so any
            // other incarnation that the row names has ended.
            floor: self.entry_incarnation.filter(|_| self.owns_floor),
            granters: self
                .granter_holders
                .iter()
                .map(|vm| vm.as_ref().and_then(address))
                .collect(),
        }
    }

    /// Adds marks of an operator on this VM; returns the number of all marks.
    pub fn add_marks(&mut self, marks: impl IntoIterator<Item = Mark>) -> u32 {
        for mark in marks {
            self.replica.marks.add(mark);
        }
        self.gossip_to_remote = true;
        self.replica.marks.summary().count
    }

    /// Returns the head and the manifest on which a publication of files reviewed against version
    /// `base` is based: the current ones, if only keys have changed since `base`.
    ///
    /// # Errors
    ///
    /// Returns the version against which to review the files again.
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

    /// Applies the platform's list, read at `at`. An older list or one without VMs is ignored.
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

    /// Returns the hash and age of the list.
    pub fn listing(&self, now: Instant) -> Listing {
        Listing {
            hash: self.listing.0,
            age: now.saturating_duration_since(self.listing.1),
        }
    }

    /// Returns the policy for unconfirmed keys of the configuration in force.
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

    /// Returns whether the keys are confirmed, not confirmed or refused.
    pub fn key_status(&self, now: Instant) -> KeyStatus {
        let confirmed = self.keys_confirmed_at.unwrap_or(self.started_at);
        Confirmation::new(self.key_policy(), confirmed).status(now)
    }

    /// Records that the store or another data centre confirmed the keys at `at`.
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
