//! State of the control process, and its publication to the other processes of the VM.

mod control_state;
mod peers;

pub use control_state::{Active, ControlState};
pub use peers::Peer;

use crate::granter::Granters;
use crate::metrics::Metrics;
use crate::settings::Settings;
use ::peers::gossip::GossipClient;
use ::peers::link::Links;
use ::peers::local::State;
use base::id::Incarnation;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;
use tokio::sync::{Notify, watch};

/// State shared by the tasks of the process.
#[derive(Debug, Clone)]
pub struct Shared {
    /// Settings.
    pub settings: Arc<Settings>,
    /// Grants of the shards whose lease this process holds.
    pub granters: Granters,
    /// Notified when the entry reports a new incarnation.
    pub entry_changed: Arc<Notify>,
    /// Connections to the control processes of other VMs.
    pub links: Arc<Links<GossipClient>>,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
    known: Arc<Mutex<ControlState>>,
    published: watch::Sender<Arc<State>>,
    gossip_due: Arc<Notify>,
}

impl Shared {
    /// Makes an empty state.
    pub fn new(settings: Settings) -> Self {
        let published = watch::Sender::new(Arc::new(State::default()));
        let known = ControlState::new(&settings, Instant::now());
        Self {
            settings: Arc::new(settings),
            granters: Granters::default(),
            entry_changed: Arc::default(),
            links: Arc::default(),
            metrics: Arc::default(),
            known: Arc::new(Mutex::new(known)),
            published,
            gossip_due: Arc::default(),
        }
    }

    /// Reads the state.
    pub fn read<T>(&self, read: impl FnOnce(&ControlState) -> T) -> T {
        read(&self.known.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Changes the state, and publishes it if the published part differs. A new configuration
    /// version or new marks are gossiped to other VMs at once.
    pub fn update_and_publish<T>(&self, change: impl FnOnce(&mut ControlState) -> T) -> T {
        self.apply(change, true)
    }

    /// Changes the state; for frequent changes that rarely concern the published part, which is
    /// computed again only after a change of the configuration, the marks or the list.
    pub fn update<T>(&self, change: impl FnOnce(&mut ControlState) -> T) -> T {
        self.apply(change, false)
    }

    fn apply<T>(&self, change: impl FnOnce(&mut ControlState) -> T, publish: bool) -> T {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let before = known.fingerprint();
        let result = change(&mut known);
        known.activate();
        let after = known.fingerprint();
        if publish || after != before {
            self.publish(&known);
        }
        if after.has_news_since(&before) {
            self.gossip_due.notify_one();
        }
        let version = i64::try_from(known.version()).unwrap_or(i64::MAX);
        self.metrics.version.set(version);
        result
    }

    fn publish(&self, known: &ControlState) {
        let state = known.published_state();
        self.published.send_if_modified(|last| {
            let same = State {
                generation: last.generation,
                ..state
            };
            if same == **last {
                return false;
            }
            let generation = last.generation + 1;
            *last = Arc::new(State { generation, ..same });
            true
        });
    }

    /// Records the incarnation of this VM's entry.
    pub fn record_entry(&self, entry: Incarnation) {
        if self.read(|known| known.entry_incarnation) != Some(entry) {
            self.update_and_publish(|known| known.entry_incarnation = Some(entry));
            self.entry_changed.notify_one();
        }
    }

    /// Returns a receiver of published states.
    pub fn subscribe(&self) -> watch::Receiver<Arc<State>> {
        self.published.subscribe()
    }

    /// Waits for a change that has to be gossiped to other VMs at once.
    pub async fn gossip_due(&self) {
        self.gossip_due.notified().await;
    }
}
