//! Open borrow requests of a holder and the spare tokens of its peers.

use super::{Amount, TOKEN};
use base::id::Vm;
use indexmap::IndexMap;
use std::time::{Duration, Instant};

/// Time after which a peer without spare tokens is asked again. While the granter can't be reached,
/// nothing else tells that the peer has tokens.
const RETRY: Duration = Duration::from_secs(1);
/// Longest time to the next request to a silent peer. A request reserves headroom while it waits, so
/// in a data centre that is cut off, frequent requests to all peers would keep small buckets from
/// filling: retries each second cost a quarter of the floors' rate.
const LONGEST_RETRY: Duration = Duration::from_secs(64);

base::value! {
    /// An open borrow request.
    pub struct Loan {
        /// VM that was asked.
        pub peer: Vm,
        /// Headroom that is reserved for the answer.
        pub tokens: Amount,
        /// Time after which the answer is dropped.
        pub deadline: Instant,
    }

    /// What a holder knows of the other holders of the workspace.
    #[derive(Default)]
    pub struct Peers {
        known: IndexMap<Vm, Peer>,
    }

    /// Distance of a peer and its spare tokens when last heard of.
    #[derive(Copy)]
    struct Peer {
        distance: u32,
        spare: Amount,
        /// Time at which a peer without spare tokens is asked again.
        retry: Option<Instant>,
        wait: Duration,
    }
}

impl Peer {
    /// Spare tokens, or one token if it is long since the peer had none.
    fn spare(&self, now: Instant) -> Amount {
        let due = self.retry.is_some_and(|retry| now >= retry);
        if self.spare == 0 && due {
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
                    retry: None,
                    wait: RETRY,
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
            peer.wait = RETRY;
            peer.retry = Some(now + RETRY);
        }
    }

    /// Notes that a peer didn't answer; the time to the next request doubles.
    pub fn silent(&mut self, vm: &str, now: Instant) {
        if let Some(peer) = self.known.get_mut(vm) {
            peer.spare = 0;
            peer.wait = (peer.wait * 2).min(LONGEST_RETRY);
            peer.retry = Some(now + peer.wait);
        }
    }

    /// Chooses the nearest peer with at least `least` spare tokens, the richest at that distance;
    /// without one, the richest peer with any. Returns its spare tokens too.
    pub fn choose(
        &self,
        least: Amount,
        now: Instant,
        except: impl Fn(&Vm) -> bool,
    ) -> Option<(Vm, Amount)> {
        let open = || self.known.iter().filter(|(vm, _)| !except(vm));
        open()
            .filter(|(_, peer)| peer.spare(now) >= least)
            .min_by_key(|(_, peer)| (peer.distance, std::cmp::Reverse(peer.spare(now))))
            .or_else(|| {
                open()
                    .filter(|(_, peer)| peer.spare(now) > 0)
                    .max_by_key(|(_, peer)| peer.spare(now))
            })
            .map(|(vm, peer)| (vm.clone(), peer.spare(now)))
    }
}
