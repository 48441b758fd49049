//! What the control process knows, and its publication to the processes of the VM.

use crate::granter::Granters;
use crate::record::{Growing, Key};
use crate::settings::Settings;
use base::clock::Millis;
use base::id::{Incarnation, Version, Vm};
use indexmap::IndexMap;
use operators::bundle::{Bundle, Files};
use peers::local::{self, Division, Shares, State};
use platform::list::List;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::{Notify, watch};

/// Configuration in force.
#[derive(Debug, Clone, PartialEq)]
pub struct Active {
    /// Version.
    pub version: Version,
    /// Texts of the steering files.
    pub files: Files,
    /// Parsed files.
    pub bundle: Bundle,
}

/// All that the control process knows.
#[derive(Debug, Default)]
pub struct Known {
    /// Configuration in force, once one is known.
    pub active: Option<Active>,
    /// Issued keys.
    pub keys: IndexMap<Box<str>, Key>,
    /// Changes that only grow.
    pub growing: Growing,
    /// Growing changes as the table holds them.
    pub recorded: Growing,
    /// Last list of VMs and backend servers.
    pub list: List,
    /// Time of the last successful read of the table.
    pub confirmed: Millis,
    /// Live incarnations of entries, reported by this VM's entry.
    pub runs: local::Runs,
    /// Division of limits, once the row `floors` was read.
    pub division: Option<Division>,
    /// Whether that row says that this VM owns a floor.
    pub floor: bool,
    /// Incarnation that this VM's entry reported.
    pub entry: Option<Incarnation>,
    /// Holder of each granter shard.
    pub granters: Vec<Option<Vm>>,
}

/// Knowledge shared by the tasks of the process.
#[derive(Debug, Clone)]
pub struct Shared {
    /// Settings.
    pub settings: Arc<Settings>,
    /// Grants of the shards that this process holds.
    pub granters: Granters,
    /// Notified when the entry reports a new incarnation.
    pub reported: Arc<Notify>,
    known: Arc<Mutex<Known>>,
    published: watch::Sender<Arc<State>>,
}

impl Shared {
    /// Starts with nothing known.
    pub fn new(settings: Settings) -> Self {
        let published = watch::Sender::new(Arc::new(State::default()));
        Self {
            settings: Arc::new(settings),
            granters: Granters::default(),
            reported: Arc::default(),
            known: Arc::default(),
            published,
        }
    }

    /// Reads what is known.
    pub fn read<T>(&self, read: impl FnOnce(&Known) -> T) -> T {
        read(&self.known.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Changes what is known and publishes it if that changes the published state.
    pub fn change<T>(&self, change: impl FnOnce(&mut Known) -> T) -> T {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let result = change(&mut known);
        let state = published(&known);
        self.published.send_if_modified(|last| {
            let same = State {
                generation: last.generation,
                confirmed: last.confirmed,
                ..state
            };
            if same == **last {
                return false;
            }
            let generation = last.generation + 1;
            *last = Arc::new(State {
                generation,
                confirmed: known.confirmed,
                ..same
            });
            true
        });
        result
    }

    /// Takes up the incarnation of this VM's entry.
    pub fn report_entry(&self, entry: Incarnation) {
        if self.read(|known| known.entry) != Some(entry) {
            self.change(|known| known.entry = Some(entry));
            self.reported.notify_one();
        }
    }

    /// Returns a receiver of published states.
    pub fn subscribe(&self) -> watch::Receiver<Arc<State>> {
        self.published.subscribe()
    }
}

fn published(known: &Known) -> State {
    let key = |key: &Key| local::Key {
        workspace: key.workspace.clone(),
        expires: key.expires,
    };
    State {
        version: known.active.as_ref().map_or(0, |active| active.version),
        files: known
            .active
            .as_ref()
            .map(|active| active.files.clone())
            .unwrap_or_default(),
        keys: known
            .keys
            .iter()
            .map(|(digest, k)| (digest.clone(), key(k)))
            .collect(),
        withdrawn: known.growing.withdrawn.clone(),
        halted: known.growing.halted.keys().cloned().collect(),
        draining: known.growing.draining.clone(),
        list: known.list.clone(),
        runs: known.runs.clone(),
        shares: shares(known),
        ..State::default()
    }
}

fn shares(known: &Known) -> Shares {
    let address = |vm: &Vm| {
        let nodes = &known.list.nodes;
        nodes.iter().find(|n| n.name == *vm).map(|n| n.gossip)
    };
    Shares {
        division: known.division,
        // The floor belongs to the VM's present entry: it has bound the VM's addresses, so the
        // incarnation in the row has ended if it is another one.
        floor: known.entry.filter(|_| known.floor),
        granters: known
            .granters
            .iter()
            .map(|vm| vm.as_ref().and_then(address))
            .collect(),
    }
}
