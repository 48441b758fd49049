//! Peers and the exchanges with them.

use super::ControlState;
use crate::settings::Settings;
use ::peers::gossip::{Centre, Exchange, Reply};
use base::id::{DataCentre, Vm};
use platform::list::Node;
use rand::Rng;
use std::net::SocketAddr;
use std::time::Instant;

/// Control process of another VM.
#[derive(Debug, Clone, PartialEq)]
pub struct Peer {
    /// Name of the VM; the address instead for a seed, whose name is unknown.
    pub vm: Vm,
    /// Data centre; `None` for a seed.
    pub data_centre: Option<DataCentre>,
    /// Address for exchanges.
    pub address: SocketAddr,
}

impl ControlState {
    /// Returns random peers in the own and in other data centres.
    pub fn random_peers(&self, local: usize, remote: usize, rng: &mut impl Rng) -> Vec<Peer> {
        let inside = self.view.random_members(local, rng);
        let outside = self.view.random_contacts(remote, rng);
        let outside = outside.into_iter().map(|(_, contact)| &contact.vm);
        inside
            .into_iter()
            .chain(outside)
            .filter_map(|vm| self.peer(vm))
            .collect()
    }

    /// Returns the peers that a VM without a configuration asks: listed VMs, or else the seeds.
    pub fn startup_peers(
        &self,
        count: usize,
        settings: &Settings,
        rng: &mut impl Rng,
    ) -> Vec<Peer> {
        let mut peers = self.random_peers(count - 1, 0, rng);
        peers.extend(self.random_peers(0, count - peers.len(), rng));
        if peers.is_empty() {
            let seeds = settings.seeds.iter().filter(|s| **s != settings.gossip);
            peers = seeds.map(|seed| Peer::from_seed(*seed)).collect();
        }
        peers
    }

    /// Returns a peer by the name of its VM.
    pub fn peer(&self, vm: &str) -> Option<Peer> {
        let mut nodes = self.list.nodes.iter();
        nodes.find(|node| *node.name == *vm).map(Peer::from_node)
    }

    fn is_local(&self, centre: &str) -> bool {
        *self.view.identity().data_centre == *centre
    }

    /// Makes the message of an exchange with a peer; regular ones carry heartbeats.
    pub fn make_exchange(
        &mut self,
        peer: &Peer,
        address: SocketAddr,
        regular: bool,
        now: Instant,
    ) -> Exchange {
        let is_local = peer.data_centre.as_ref().is_some_and(|c| self.is_local(c));
        let centre = is_local.then(|| self.make_centre(regular, &[]));
        let identity = self.view.identity();
        Exchange {
            vm: identity.vm.clone(),
            data_centre: identity.data_centre.clone(),
            gossip: address,
            digest: self.replica.digest(),
            centre,
            listing: self.listing(now),
        }
    }

    fn make_centre(&mut self, regular: bool, requested: &[u32]) -> Centre {
        Centre {
            pulse: if regular {
                self.view.next_batch(requested)
            } else {
                Default::default()
            },
            gone: self.view.gone(),
        }
    }

    fn merge_centre(&mut self, centre: Centre, now: Instant) {
        self.view.record_batch(&centre.pulse, now);
        for (vm, incarnation) in centre.gone {
            self.view.record_gone(&vm, incarnation, now);
        }
    }

    /// Answers an exchange. Also returns whether the sender has data that this VM lacks.
    pub fn answer_exchange(&mut self, exchange: Exchange, now: Instant) -> (Reply, bool) {
        let is_local = self.is_local(&exchange.data_centre);
        let mut delta = self.replica.delta_for(&exchange.digest);
        let confirmed = self.keys_confirmed_at.filter(|_| is_local);
        delta.confirmed = confirmed.map(|at| now.saturating_duration_since(at));
        let own = self.listing(now);
        let newer = is_local && own.hash != exchange.listing.hash && own.age < exchange.listing.age;
        let list = own.hash != 0 && (newer || exchange.listing.hash == 0);
        let centre = exchange.centre.map(|centre| {
            let regular = !centre.pulse.beats.is_empty();
            let requested = centre.pulse.unknown.clone();
            self.merge_centre(centre, now);
            self.make_centre(regular, &requested)
        });
        self.record_peer_summary(exchange.digest.marks);
        let identity = self.view.identity();
        let reply = Reply {
            vm: identity.vm.clone(),
            data_centre: identity.data_centre.clone(),
            delta,
            digest: self.replica.digest(),
            centre,
            list: list.then(|| (self.list.clone(), own.age)),
        };
        (reply, self.replica.should_request(&exchange.digest, now))
    }

    /// Applies a peer's answer to an exchange sent at `sent`. Returns whether it was incomplete.
    pub fn apply_reply(&mut self, peer: &Peer, reply: Reply, sent: Instant, now: Instant) -> bool {
        if self.is_local(&reply.data_centre) {
            if let Some(at) = reply.delta.confirmed.and_then(|age| sent.checked_sub(age)) {
                self.record_keys_confirmed(at);
            }
        } else {
            self.record_keys_confirmed(sent);
            self.view.record_contact(&reply.data_centre, true);
        }
        if let Some(centre) = reply.centre {
            self.merge_centre(centre, now);
        }
        if let Some((list, age)) = reply.list {
            self.apply_list(list, sent.checked_sub(age).unwrap_or(sent), now);
        }
        let summary = reply.delta.summary;
        let applied = self.replica.apply(&peer.vm, reply.delta);
        self.record_peer_summary(summary);
        applied.incomplete
    }

    /// Records how many marks are replicated, if a peer has the same ones.
    fn record_peer_summary(&mut self, summary: steering::config::marks::Summary) {
        if summary == self.replica.marks.summary() {
            self.replicated_marks = self.replicated_marks.max(summary.count);
        }
    }
}

impl Peer {
    /// Makes the peer of a listed VM.
    pub fn from_node(node: &Node) -> Self {
        Self {
            vm: node.name.clone(),
            data_centre: Some(node.data_centre.clone()),
            address: node.gossip,
        }
    }

    /// Makes a peer of a seed, of which only the address is known.
    pub fn from_seed(address: SocketAddr) -> Self {
        Self {
            vm: address.to_string().into(),
            data_centre: None,
            address,
        }
    }
}
