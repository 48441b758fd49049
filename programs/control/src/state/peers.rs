//! Peers, and what is exchanged with them.

use super::Known;
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
    /// Name of the VM; that of a seed is not known and replaced by its address.
    pub vm: Vm,
    /// Data centre; none for a seed.
    pub data_centre: Option<DataCentre>,
    /// Address for exchanges.
    pub address: SocketAddr,
}

impl Known {
    /// Draws random peers in the own and in other data centres.
    pub fn draw(&self, near: usize, far: usize, rng: &mut impl Rng) -> Vec<Peer> {
        let inside = self.view.random_members(near, rng);
        let outside = self.view.random_contacts(far, rng);
        let outside = outside.into_iter().map(|(_, contact)| &contact.vm);
        inside
            .into_iter()
            .chain(outside)
            .filter_map(|vm| self.peer(vm))
            .collect()
    }

    /// Draws the peers that a VM with empty memory asks: those of the list, else the seeds.
    pub fn fresh_peers(&self, count: usize, settings: &Settings, rng: &mut impl Rng) -> Vec<Peer> {
        let mut peers = self.draw(count - 1, 0, rng);
        peers.extend(self.draw(0, count - peers.len(), rng));
        if peers.is_empty() {
            let seeds = settings.seeds.iter().filter(|s| **s != settings.gossip);
            peers = seeds.map(|seed| Peer::seed(*seed)).collect();
        }
        peers
    }

    /// Returns a peer by the name of its VM.
    pub fn peer(&self, vm: &str) -> Option<Peer> {
        let mut nodes = self.list.nodes.iter();
        nodes.find(|node| *node.name == *vm).map(Peer::of)
    }

    fn near(&self, centre: &str) -> bool {
        *self.view.identity().data_centre == *centre
    }

    /// Makes the exchange to send to a peer; heartbeats go with regular ones.
    pub fn exchange(
        &mut self,
        peer: &Peer,
        address: SocketAddr,
        regular: bool,
        now: Instant,
    ) -> Exchange {
        let near = peer.data_centre.as_ref().is_some_and(|c| self.near(c));
        let centre = near.then(|| self.centre(regular, &[]));
        let place = self.view.identity();
        Exchange {
            vm: place.vm.clone(),
            data_centre: place.data_centre.clone(),
            gossip: address,
            digest: self.replica.digest(),
            centre,
            listing: self.listing(now),
        }
    }

    fn centre(&mut self, regular: bool, asked: &[u32]) -> Centre {
        Centre {
            pulse: if regular {
                self.view.next_batch(asked)
            } else {
                Default::default()
            },
            gone: self.view.gone(),
        }
    }

    fn hear(&mut self, centre: Centre, now: Instant) {
        self.view.record_batch(&centre.pulse, now);
        for (vm, incarnation) in centre.gone {
            self.view.record_gone(&vm, incarnation, now);
        }
    }

    /// Answers an exchange. Returns whether the sender has something that this VM lacks.
    pub fn reply(&mut self, exchange: Exchange, now: Instant) -> (Reply, bool) {
        let near = self.near(&exchange.data_centre);
        let mut delta = self.replica.delta_for(&exchange.digest);
        let confirmed = self.confirmed.filter(|_| near);
        delta.confirmed = confirmed.map(|at| now.saturating_duration_since(at));
        let own = self.listing(now);
        let newer = near && own.hash != exchange.listing.hash && own.age < exchange.listing.age;
        let list = own.hash != 0 && (newer || exchange.listing.hash == 0);
        let centre = exchange.centre.map(|centre| {
            let regular = !centre.pulse.beats.is_empty();
            let asked = centre.pulse.unknown.clone();
            self.hear(centre, now);
            self.centre(regular, &asked)
        });
        self.compare(exchange.digest.marks);
        let place = self.view.identity();
        let reply = Reply {
            vm: place.vm.clone(),
            data_centre: place.data_centre.clone(),
            delta,
            digest: self.replica.digest(),
            centre,
            list: list.then(|| (self.list.clone(), own.age)),
        };
        (reply, self.replica.should_request(&exchange.digest, now))
    }

    /// Takes a peer's answer to an exchange sent at `sent`. Returns whether to ask it again.
    pub fn apply(&mut self, peer: &Peer, reply: Reply, sent: Instant, now: Instant) -> bool {
        if self.near(&reply.data_centre) {
            if let Some(at) = reply.delta.confirmed.and_then(|age| sent.checked_sub(age)) {
                self.confirm(at);
            }
        } else {
            self.confirm(sent);
            self.view.record_contact(&reply.data_centre, true);
        }
        if let Some(centre) = reply.centre {
            self.hear(centre, now);
        }
        if let Some((list, age)) = reply.list {
            self.take_list(list, sent.checked_sub(age).unwrap_or(sent), now);
        }
        let summary = reply.delta.summary;
        let applied = self.replica.apply(&peer.vm, reply.delta);
        self.compare(summary);
        applied.incomplete
    }

    /// Notes the number of growing changes that a peer has too.
    fn compare(&mut self, summary: steering::config::marks::Summary) {
        if summary == self.replica.marks.summary() {
            self.shared = self.shared.max(summary.count);
        }
    }
}

impl Peer {
    /// Makes a peer of a listed VM.
    pub fn of(node: &Node) -> Self {
        Self {
            vm: node.name.clone(),
            data_centre: Some(node.data_centre.clone()),
            address: node.gossip,
        }
    }

    /// Makes a peer of which only the address is known.
    pub fn seed(address: SocketAddr) -> Self {
        Self {
            vm: address.to_string().into(),
            data_centre: None,
            address,
        }
    }
}
