//! Open borrow requests of a holder and the spare tokens of its peers.

use super::{Amount, TOKEN};
use base::id::Vm;
use indexmap::IndexMap;
use std::time::{Duration, Instant};

/// Time after which a peer without spare tokens is asked again. While the granter is unreachable,
/// no other message shows that the peer has tokens.
const MIN_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time between requests to a peer that doesn't answer. A pending request reserves
/// headroom, so in a data centre without contact to others, frequent requests to all peers would
/// prevent small buckets from filling: retries each second cost a quarter of the floors' rate.
const MAX_RETRY_INTERVAL: Duration = Duration::from_secs(64);

base::value! {
    /// An open borrow request.
    pub struct Loan {
        /// VM of the lender.
        pub peer: Vm,
        /// Headroom reserved for the answer.
        pub tokens: Amount,
        /// Time after which the answer is ignored.
        pub deadline: Instant,
    }

    /// The other holders of the workspace, as known to one holder.
    #[derive(Default)]
    pub struct Peers {
        known: IndexMap<Vm, Peer>,
    }

    /// Distance of a peer and its last known spare tokens.
    #[derive(Copy)]
    struct Peer {
        distance: u32,
        spare: Amount,
        /// Time at which a peer without spare tokens is asked again.
        retry_at: Option<Instant>,
        retry_interval: Duration,
    }
}

impl Peer {
    /// Returns the spare tokens, or one token if a peer without any is due to be asked again.
    fn spare(&self, now: Instant) -> Amount {
        let is_due = self.retry_at.is_some_and(|retry_at| now >= retry_at);
        if self.spare == 0 && is_due {
            TOKEN
        } else {
            self.spare
        }
    }
}

impl Peers {
    /// Sets the peers with their distances; the spare tokens of those already known are kept.
    pub fn set(&mut self, distances: impl IntoIterator<Item = (Vm, u32)>) {
        let former = std::mem::take(&mut self.known);
        self.known = distances
            .into_iter()
            .map(|(vm, distance)| {
                let unknown = Peer {
                    distance,
                    spare: 0,
                    retry_at: None,
                    retry_interval: MIN_RETRY_INTERVAL,
                };
                let last = former.get(&vm).copied();
                let peer = last.map_or(unknown, |last| Peer { distance, ..last });
                (vm, peer)
            })
            .collect();
    }

    /// Updates the spare tokens of a peer.
    pub fn update(&mut self, vm: &str, spare: Amount, now: Instant) {
        if let Some(peer) = self.known.get_mut(vm) {
            peer.spare = spare;
            peer.retry_interval = MIN_RETRY_INTERVAL;
            peer.retry_at = Some(now + MIN_RETRY_INTERVAL);
        }
    }

    /// Records that a peer didn't answer; the time to the next request doubles.
    pub fn record_timeout(&mut self, vm: &str, now: Instant) {
        if let Some(peer) = self.known.get_mut(vm) {
            peer.spare = 0;
            peer.retry_interval = (peer.retry_interval * 2).min(MAX_RETRY_INTERVAL);
            peer.retry_at = Some(now + peer.retry_interval);
        }
    }

    /// Chooses the nearest peer with at least `needed` spare tokens, at equal distance the one with
    /// the most; without one, the peer with the most spare tokens. Returns its spare tokens too.
    pub fn choose(
        &self,
        needed: Amount,
        now: Instant,
        except: impl Fn(&Vm) -> bool,
    ) -> Option<(Vm, Amount)> {
        let candidates = || self.known.iter().filter(|(vm, _)| !except(vm));
        candidates()
            .filter(|(_, peer)| peer.spare(now) >= needed)
            .min_by_key(|(_, peer)| (peer.distance, std::cmp::Reverse(peer.spare(now))))
            .or_else(|| {
                candidates()
                    .filter(|(_, peer)| peer.spare(now) > 0)
                    .max_by_key(|(_, peer)| peer.spare(now))
            })
            .map(|(vm, peer)| (vm.clone(), peer.spare(now)))
    }
}
