//! Gossip between VMs.

use super::{ANSWER_TIMEOUT, Event, Fleet, INITIAL_PEERS, PROPAGATION_TARGET, size};
use crate::experiment::config::{Fault, Method};
use std::time::Instant;
use steering::config::{Digest, PollIntervals, Readiness};
use steering::membership::{HeartbeatBatch, Role, Settings};

impl Fleet {
    pub(super) fn tick(&mut self, vm: usize, local: bool, now: Instant) {
        if self.setup.method == Method::EachPolls {
            return;
        }
        self.nodes[vm].replica.tracker.tick(now);
        let role = self.nodes[vm].view.role(now);
        let include_remote = role != Role::Member && !local;
        self.send_digests(vm, usize::from(local), usize::from(include_remote), true);
        let fetch_delay = PollIntervals::default().fetch_delay(role);
        let node = &mut self.nodes[vm];
        if node.replica.tracker.fetching_version() == 0 {
            node.fetching_since = None;
        } else if now >= *node.fetching_since.get_or_insert(now) + fetch_delay {
            self.fetch(vm, now);
        }
    }

    /// Draws the peers to which a VM with empty memory sends its first digests.
    pub(super) fn initial_peers(&mut self, vm: usize) -> Vec<usize> {
        let mut peers = self.random_peers(vm, INITIAL_PEERS - 1, 0);
        let rest = INITIAL_PEERS - peers.len();
        peers.extend(self.random_peers(vm, 0, rest));
        peers
    }

    /// Draws the next peers for a VM with empty memory if no ready peer has answered.
    pub(super) fn next_peers(&mut self, vm: usize, now: Instant) -> Vec<usize> {
        let node = &self.nodes[vm];
        let incarnation = node.incarnation;
        if node.replica.tracker.has_peer_answer() || now >= node.started + PROPAGATION_TARGET / 2 {
            return Vec::new();
        }
        self.agenda
            .after(ANSWER_TIMEOUT, Event::PeersTimeout(vm, incarnation));
        self.initial_peers(vm)
    }

    /// Draws random peers inside and outside the data centre.
    pub(super) fn random_peers(&mut self, vm: usize, local: usize, remote: usize) -> Vec<usize> {
        let view = &self.nodes[vm].view;
        let local = view.random_members(local, &mut self.rng);
        let remote = view.random_contacts(remote, &mut self.rng);
        let remote = remote.into_iter().map(|(_, contact)| &contact.vm);
        local
            .into_iter()
            .chain(remote)
            .map(|name| self.names[name])
            .collect()
    }

    /// Sends digests to peers at once after a change.
    pub(super) fn announce(&mut self, vm: usize, include_remote: bool) {
        let Settings {
            local_fanout,
            remote_fanout,
            ..
        } = Settings::default();
        self.send_digests(
            vm,
            local_fanout,
            if include_remote { remote_fanout } else { 0 },
            false,
        );
    }

    /// Sends digests to random peers.
    pub(super) fn send_digests(&mut self, vm: usize, local: usize, remote: usize, regular: bool) {
        for peer in self.random_peers(vm, local, remote) {
            self.send_digest(vm, peer, regular);
        }
    }

    pub(super) fn send_digest(&mut self, from: usize, to: usize, regular: bool) {
        let same_centre = self.nodes[from].centre == self.nodes[to].centre;
        let node = &mut self.nodes[from];
        let digest = node.replica.digest();
        let heartbeats = if same_centre && regular {
            node.view.next_batch(&[])
        } else {
            HeartbeatBatch::default()
        };
        node.bytes += size(&(&digest, &heartbeats));
        if !same_centre {
            let (incarnation, centre) = (node.incarnation, to % self.setup.centres);
            let since = self.agenda.now();
            self.agenda.after(
                ANSWER_TIMEOUT,
                Event::ContactTimeout(from, incarnation, centre, since),
            );
        }
        let delay = self.link_delay(from, to);
        self.agenda.after(
            delay,
            Event::Request {
                from,
                to,
                digest,
                heartbeats,
            },
        );
    }

    pub(super) fn handle_digest(
        &mut self,
        from: usize,
        to: usize,
        digest: &Digest,
        heartbeats: &HeartbeatBatch,
        now: Instant,
    ) {
        if !self.reaches(from, to, now) {
            return;
        }
        let same_centre = self.nodes[from].centre == self.nodes[to].centre;
        let node = &mut self.nodes[to];
        node.bytes += size(&(digest, heartbeats));
        node.view.record_batch(heartbeats, now);
        let delta = Box::new(node.replica.delta_for(digest));
        // Only regular exchanges carry heartbeats.
        let heartbeats = if same_centre && !heartbeats.beats.is_empty() {
            node.view.next_batch(&heartbeats.unknown)
        } else {
            HeartbeatBatch::default()
        };
        node.bytes += size(&(&delta, &heartbeats));
        let should_request = node.replica.should_request(digest, now);
        let incarnation = self.nodes[from].incarnation;
        let delay = self.link_delay(from, to);
        self.agenda.after(
            delay,
            Event::Reply {
                from: to,
                to: from,
                incarnation,
                delta,
                heartbeats,
            },
        );
        if should_request {
            self.send_digest(to, from, false);
        }
    }

    /// Records the version in force, and notifies peers at once of a new version or mark.
    pub(super) fn record_update(&mut self, vm: usize, before: u64, marks: bool, now: Instant) {
        let node = &mut self.nodes[vm];
        let version = node.replica.tracker.version();
        if let Readiness::Ready(version) = node.replica.tracker.readiness() {
            self.tally.reverts += u32::from(version < node.served_version);
            node.served_version = node.served_version.max(version);
        }
        if version > before || marks {
            let faultless =
                self.setup.fault == Fault::None && now > self.start + PROPAGATION_TARGET;
            if faultless && version > before {
                let took = now - self.published[usize::try_from(version).unwrap_or(1) - 1];
                self.tally.slowest = self.tally.slowest.max(took);
                let first = *self.first_in_force.entry(version).or_insert(now);
                self.tally.spread = self.tally.spread.max(now - first);
            }
            let include_remote = node.view.role(now) != Role::Member;
            self.announce(vm, include_remote);
        }
    }
}
