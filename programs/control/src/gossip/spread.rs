//! Exchanges with other VMs: regular ones, and at once on news.

use crate::metrics::Exchanged;
use crate::state::{Known, Peer, Shared};
use peers::wire::Frame;
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::config::tracker::STARTUP_LISTEN;
use steering::membership::{Role, Settings};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

/// Interval of exchanges: inside the data centre at every second one.
const TICK: Duration = Duration::from_millis(500);
/// Time after which a peer that has not answered a fresh VM counts as failed.
const ANSWER: Duration = Duration::from_millis(500);
/// Longest time for one exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Peers that a fresh VM asks at once.
const PEERS_ASKED: usize = 3;
/// Most exchanges at once; further ones are left out, as regular ones repair the loss.
const EXCHANGES: usize = 32;
/// Most messages of one exchange; at 256 KiB each they carry the largest full copy.
const ROUNDS: usize = 64;

/// Exchanges of this VM.
#[derive(Debug, Clone)]
pub struct Spread {
    shared: Shared,
    slots: Arc<Semaphore>,
}

impl Spread {
    /// Makes the exchanges of a VM.
    pub fn new(shared: Shared) -> Self {
        Self {
            shared,
            slots: Arc::new(Semaphore::new(EXCHANGES)),
        }
    }

    /// Exchanges until `stop` is cancelled.
    pub async fn run(&self, stop: CancellationToken) {
        let exchanges = async { tokio::join!(self.begin(), self.regular(), self.news()) };
        stop.run_until_cancelled(exchanges).await;
    }

    /// Asks peers until a ready one has answered or the time for it is over.
    async fn begin(&self) {
        let started = Instant::now();
        loop {
            let wanted = self.shared.touch(|known| {
                let tracker = &mut known.replica.tracker;
                tracker.tick(Instant::now());
                !known.ready()
            });
            if !wanted {
                return;
            }
            // After that time a VM relies on what it has, but goes on asking: the peers and the
            // store may come back later.
            let awaits = started.elapsed() < STARTUP_LISTEN;
            let peers = self.shared.touch(|known| {
                let mut rng = rand::rng();
                let peers = known.fresh_peers(PEERS_ASKED, &self.shared.settings, &mut rng);
                let answered = known.replica.tracker.has_peer_answer();
                let names = peers.iter().map(|peer| peer.vm.clone());
                if awaits && !answered {
                    known.replica.tracker.replace_peers(names);
                } else {
                    known.replica.tracker.replace_peers([]);
                }
                peers
            });
            for peer in peers {
                self.ask(peer, true);
            }
            tokio::time::sleep(ANSWER).await;
        }
    }

    async fn regular(&self) {
        let mut inside = true;
        let offset = TICK.mul_f64(rand::random());
        tokio::time::sleep(offset).await;
        loop {
            let peers = self.shared.touch(|known| {
                let now = Instant::now();
                known.replica.tracker.tick(now);
                let crosses = known.view.role(now) != Role::Member && !inside;
                known.draw(usize::from(inside), usize::from(crosses), &mut rand::rng())
            });
            for peer in peers {
                self.ask(peer, true);
            }
            inside = !inside;
            tokio::time::sleep(TICK).await;
        }
    }

    async fn news(&self) {
        loop {
            self.shared.news().await;
            let peers = self.shared.touch(|known| {
                let crosses = std::mem::take(&mut known.tell_all)
                    || known.view.role(Instant::now()) != Role::Member;
                let Settings {
                    local_fanout,
                    remote_fanout,
                    ..
                } = Settings::default();
                let remote_fanout = if crosses { remote_fanout } else { 0 };
                known.draw(local_fanout, remote_fanout, &mut rand::rng())
            });
            for peer in peers {
                self.ask(peer, false);
            }
        }
    }

    /// Exchanges with a peer in the background.
    pub fn ask(&self, peer: Peer, regular: bool) {
        let Ok(slot) = self.slots.clone().try_acquire_owned() else {
            self.shared.metrics.exchanged(Exchanged::Busy);
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
    for _ in 0..ROUNDS {
        let sent = Instant::now();
        let message = shared.touch(|known| known.exchange(peer, address, regular, sent));
        let answer = shared.links.call(
            peer.address,
            EXCHANGE_TIMEOUT,
            |client, context| async move { client.exchange(context, Frame::new(message)).await },
        );
        let answer = answer.await.and_then(Frame::open);
        let Ok(Some(reply)) = answer else {
            if let Err(error) = answer {
                log::debug!("no exchange with {}: {error}", peer.vm);
            }
            shared.metrics.exchanged(Exchanged::Failed);
            shared.touch(|known| unreached(known, peer));
            return;
        };
        shared.metrics.exchanged(Exchanged::Answered);
        let again = shared.touch(|known| known.apply(peer, reply, sent, Instant::now()));
        if !again {
            return;
        }
        regular = false;
    }
}

fn unreached(known: &mut Known, peer: &Peer) {
    if let Some(centre) = &peer.data_centre {
        known.view.record_contact(centre, false);
    }
    known.replica.tracker.record_peer_answer(&peer.vm, None);
}
