//! What the control process knows, and its publication to the processes of the VM.

use crate::record::{Growing, Key};
use crate::release::Board;
use crate::settings::Settings;
use base::clock::Millis;
use base::id::{Version, Vm};
use indexmap::{IndexMap, IndexSet};
use operators::bundle::{Bundle, Files};
use peers::local::{self, State};
use platform::list::List;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::watch;

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
    /// Releases, drains and stops.
    pub board: Board,
    /// Requests on the new version that each route needs before a step to 100%.
    pub board_requests: u64,
    /// Name of this VM.
    pub vm: Vm,
    /// Time of the last successful read of the table.
    pub confirmed: Millis,
}

/// Knowledge shared by the tasks of the process.
#[derive(Debug, Clone)]
pub struct Shared {
    /// Settings.
    pub settings: Arc<Settings>,
    known: Arc<Mutex<Known>>,
    published: watch::Sender<Arc<State>>,
}

impl Shared {
    /// Starts with nothing known.
    pub fn new(settings: Settings) -> Self {
        let published = watch::Sender::new(Arc::new(State::default()));
        let known = Known {
            board_requests: settings.release_requests,
            vm: settings.vm.clone(),
            ..Known::default()
        };
        Self {
            settings: Arc::new(settings),
            known: Arc::new(Mutex::new(known)),
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

    /// Changes what is known without publishing it; the next change does that.
    pub fn touch<T>(&self, change: impl FnOnce(&mut Known) -> T) -> T {
        change(&mut self.known.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns a receiver of published states.
    pub fn subscribe(&self) -> watch::Receiver<Arc<State>> {
        self.published.subscribe()
    }
}

fn leaving(known: &Known) -> IndexSet<Vm> {
    let peers = known.board.peers.iter().filter(|(_, peer)| peer.leaving);
    let own = known.board.leaving.then_some(&known.vm);
    peers.map(|(vm, _)| vm).chain(own).cloned().collect()
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
        draining: known.board.drains.1.stopped().cloned().collect(),
        drains_version: known.board.drains.0,
        steps: known.board.steps.clone(),
        leaving: leaving(known),
        list: known.list.clone(),
        ..State::default()
    }
}
