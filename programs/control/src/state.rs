//! What the control process knows, and its publication to the processes of the VM.

mod known;
mod peers;

pub use known::{Active, Known};
pub use peers::Peer;

use crate::metrics::Metrics;
use crate::settings::Settings;
use ::peers::gossip::GossipClient;
use ::peers::link::Links;
use ::peers::local::State;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;
use tokio::sync::{Notify, watch};

/// Knowledge shared by the tasks of the process.
#[derive(Debug, Clone)]
pub struct Shared {
    /// Settings.
    pub settings: Arc<Settings>,
    /// Connections to the control processes of other VMs.
    pub links: Arc<Links<GossipClient>>,
    /// Counters.
    pub metrics: Arc<Metrics>,
    known: Arc<Mutex<Known>>,
    published: watch::Sender<Arc<State>>,
    news: Arc<Notify>,
}

impl Shared {
    /// Starts with nothing known.
    pub fn new(settings: Settings) -> Self {
        let published = watch::Sender::new(Arc::new(State::default()));
        let known = Known::new(&settings, Instant::now());
        Self {
            settings: Arc::new(settings),
            links: Arc::default(),
            metrics: Arc::default(),
            known: Arc::new(Mutex::new(known)),
            published,
            news: Arc::default(),
        }
    }

    /// Reads what is known.
    pub fn read<T>(&self, read: impl FnOnce(&Known) -> T) -> T {
        read(&self.known.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Changes what is known and publishes it if that changes the published state. Other VMs are
    /// told at once of a new version and of new growing changes.
    pub fn change<T>(&self, change: impl FnOnce(&mut Known) -> T) -> T {
        self.apply(change, true)
    }

    /// Changes what is known; for frequent changes that rarely touch the published state, which
    /// is made anew only after a change of the configuration, the growing sets or the list.
    pub fn touch<T>(&self, change: impl FnOnce(&mut Known) -> T) -> T {
        self.apply(change, false)
    }

    fn apply<T>(&self, change: impl FnOnce(&mut Known) -> T, publish: bool) -> T {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let before = known.print();
        let result = change(&mut known);
        known.activate();
        let after = known.print();
        if publish || after != before {
            self.publish(&known);
        }
        if after.spreads(&before) {
            self.news.notify_one();
        }
        let version = i64::try_from(known.version()).unwrap_or(i64::MAX);
        self.metrics.version.set(version);
        result
    }

    fn publish(&self, known: &Known) {
        let state = known.published();
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

    /// Returns a receiver of published states.
    pub fn subscribe(&self) -> watch::Receiver<Arc<State>> {
        self.published.subscribe()
    }

    /// Waits for news that other VMs are to be told of at once.
    pub async fn news(&self) {
        self.news.notified().await;
    }
}
