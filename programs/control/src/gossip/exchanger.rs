//! Exchanges with other VMs: at start, at regular intervals, and at once after changes.

use crate::metrics::ExchangeResult;
use crate::state::{ControlState, Peer, Shared};
use peers::wire::Frame;
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::config::tracker::STARTUP_LISTEN;
use steering::membership::{Role, Settings};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

/// Exchanges inside the data centre and with other data centres take turns at this interval.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a peer that has not answered a starting VM counts as failed.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Peers that a starting VM asks at once.
const STARTUP_PEERS: usize = 3;
/// Most exchanges at once; further ones are skipped, since later regular ones make up for them.
const MAX_EXCHANGES: usize = 32;
/// Most messages of one exchange; at 256 KiB each they suffice for the largest full copy.
const MAX_ROUNDS: usize = 64;

/// Starts this VM's exchanges and bounds their number.
#[derive(Debug, Clone)]
pub struct Exchanger {
    shared: Shared,
    slots: Arc<Semaphore>,
}

impl Exchanger {
    pub fn new(shared: Shared) -> Self {
        Self {
            shared,
            slots: Arc::new(Semaphore::new(MAX_EXCHANGES)),
        }
    }

    /// Exchanges until `stop` is cancelled.
    pub async fn run(&self, stop: CancellationToken) {
        let exchanges =
            async { tokio::join!(self.run_startup(), self.run_regular(), self.run_on_change()) };
        stop.run_until_cancelled(exchanges).await;
    }

    /// Exchanges with peers until this process is ready.
    async fn run_startup(&self) {
        let started = Instant::now();
        loop {
            let wanted = self.shared.update(|known| {
                let tracker = &mut known.replica.tracker;
                tracker.tick(Instant::now());
                !known.ready()
            });
            if !wanted {
                return;
            }
            // After that time the VM uses what it has, but continues to ask: peers and the store
            // may become reachable later.
            let is_listening = started.elapsed() < STARTUP_LISTEN;
            let peers = self.shared.update(|known| {
                let mut rng = rand::rng();
                let peers = known.startup_peers(STARTUP_PEERS, &self.shared.settings, &mut rng);
                let answered = known.replica.tracker.has_peer_answer();
                let names = peers.iter().map(|peer| peer.vm.clone());
                if is_listening && !answered {
                    known.replica.tracker.replace_peers(names);
                } else {
                    known.replica.tracker.replace_peers([]);
                }
                peers
            });
            for peer in peers {
                self.start_exchange(peer, true);
            }
            tokio::time::sleep(ANSWER_TIMEOUT).await;
        }
    }

    async fn run_regular(&self) {
        let mut is_local_turn = true;
        let offset = EXCHANGE_INTERVAL.mul_f64(rand::random());
        tokio::time::sleep(offset).await;
        loop {
            let peers = self.shared.update(|known| {
                let now = Instant::now();
                known.replica.tracker.tick(now);
                let includes_remote = known.view.role(now) != Role::Member && !is_local_turn;
                known.random_peers(
                    usize::from(is_local_turn),
                    usize::from(includes_remote),
                    &mut rand::rng(),
                )
            });
            for peer in peers {
                self.start_exchange(peer, true);
            }
            is_local_turn = !is_local_turn;
            tokio::time::sleep(EXCHANGE_INTERVAL).await;
        }
    }

    async fn run_on_change(&self) {
        loop {
            self.shared.gossip_due().await;
            let peers = self.shared.update(|known| {
                let includes_remote = std::mem::take(&mut known.gossip_to_remote)
                    || known.view.role(Instant::now()) != Role::Member;
                let Settings {
                    local_fanout,
                    remote_fanout,
                    ..
                } = Settings::default();
                let remote_fanout = if includes_remote { remote_fanout } else { 0 };
                known.random_peers(local_fanout, remote_fanout, &mut rand::rng())
            });
            for peer in peers {
                self.start_exchange(peer, false);
            }
        }
    }

    /// Starts an exchange with a peer in the background, or skips it if too many are running.
    pub fn start_exchange(&self, peer: Peer, regular: bool) {
        let Ok(slot) = self.slots.clone().try_acquire_owned() else {
            self.shared.metrics.record_exchange(ExchangeResult::Busy);
            return;
        };
        let shared = self.shared.clone();
        tokio::spawn(async move {
            exchange(&shared, &peer, regular).await;
            drop(slot);
        });
    }
}

async fn exchange(shared: &Shared, peer: &Peer, regular: bool) {
    let address = shared.settings.gossip;
    let mut regular = regular;
    for _ in 0..MAX_ROUNDS {
        let sent = Instant::now();
        let message = shared.update(|known| known.make_exchange(peer, address, regular, sent));
        let answer = shared.links.call(
            peer.address,
            EXCHANGE_TIMEOUT,
            |client, context| async move { client.exchange(context, Frame::new(message)).await },
        );
        let answer = answer.await.and_then(Frame::open);
        let Ok(Some(reply)) = answer else {
            if let Err(error) = answer {
                log::debug!("exchange with {} failed: {error}", peer.vm);
            }
            shared.metrics.record_exchange(ExchangeResult::Failed);
            shared.update(|known| record_unreachable(known, peer));
            return;
        };
        shared.metrics.record_exchange(ExchangeResult::Answered);
        let again = shared.update(|known| known.apply_reply(peer, reply, sent, Instant::now()));
        if !again {
            return;
        }
        regular = false;
    }
}

fn record_unreachable(known: &mut ControlState, peer: &Peer) {
    if let Some(centre) = &peer.data_centre {
        known.view.record_contact(centre, false);
    }
    known.replica.tracker.record_peer_answer(&peer.vm, None);
}
