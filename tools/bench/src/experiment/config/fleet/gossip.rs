//! Exchanges between VMs.

use super::{ANSWER, Event, Fleet, PEERS_ASKED, TARGET, size};
use crate::experiment::config::{Fault, Method};
use std::time::Instant;
use steering::config::{Digest, PollIntervals, Readiness};
use steering::membership::{HeartbeatBatch, Role, Settings};

impl Fleet {
    pub(super) fn tick(&mut self, vm: usize, inside: bool, now: Instant) {
        if self.setup.method == Method::EachPolls {
            return;
        }
        self.nodes[vm].replica.tracker.tick(now);
        let role = self.nodes[vm].view.role(now);
        let crosses = role != Role::Member && !inside;
        self.tell(vm, usize::from(inside), usize::from(crosses), true);
        let patience = PollIntervals::default().fetch_delay(role);
        let node = &mut self.nodes[vm];
        if node.replica.tracker.fetching_version() == 0 {
            node.fetching_since = None;
        } else if now >= *node.fetching_since.get_or_insert(now) + patience {
            self.fetch(vm, now);
        }
    }

    /// Draws the peers that a VM with empty memory asks.
    pub(super) fn fresh_peers(&mut self, vm: usize) -> Vec<usize> {
        let mut peers = self.peers(vm, PEERS_ASKED - 1, 0);
        let rest = PEERS_ASKED - peers.len();
        peers.extend(self.peers(vm, 0, rest));
        peers
    }

    /// Returns whom a VM with empty memory asks next if no ready peer has answered.
    pub(super) fn others(&mut self, vm: usize, now: Instant) -> Vec<usize> {
        let node = &self.nodes[vm];
        let run = node.run;
        if node.replica.tracker.has_peer_answer() || now >= node.started + TARGET / 2 {
            return Vec::new();
        }
        self.agenda.after(ANSWER, Event::Silence(vm, run));
        self.fresh_peers(vm)
    }

    /// Draws random peers inside and outside the data centre.
    pub(super) fn peers(&mut self, vm: usize, near: usize, far: usize) -> Vec<usize> {
        let view = &self.nodes[vm].view;
        let near = view.random_members(near, &mut self.rng);
        let far = view.random_contacts(far, &mut self.rng);
        let far = far.into_iter().map(|(_, contact)| &contact.vm);
        near.into_iter()
            .chain(far)
            .map(|name| self.names[name])
            .collect()
    }

    /// Tells peers of something new.
    pub(super) fn announce(&mut self, vm: usize, crosses: bool) {
        let Settings {
            local_fanout,
            remote_fanout,
            ..
        } = Settings::default();
        self.tell(
            vm,
            local_fanout,
            if crosses { remote_fanout } else { 0 },
            false,
        );
    }

    /// Sends digests to random peers.
    pub(super) fn tell(&mut self, vm: usize, near: usize, far: usize, regular: bool) {
        for peer in self.peers(vm, near, far) {
            self.ask(vm, peer, regular);
        }
    }

    pub(super) fn ask(&mut self, from: usize, to: usize, regular: bool) {
        let same = self.nodes[from].centre == self.nodes[to].centre;
        let node = &mut self.nodes[from];
        let digest = node.replica.digest();
        let beats = if same && regular {
            node.view.next_batch(&[])
        } else {
            HeartbeatBatch::default()
        };
        node.bytes += size(&(&digest, &beats));
        if !same {
            let (run, centre) = (node.run, to % self.setup.centres);
            let since = self.agenda.now();
            self.agenda
                .after(ANSWER, Event::Unanswered(from, run, centre, since));
        }
        let delay = self.link_delay(from, to);
        self.agenda.after(
            delay,
            Event::Ask {
                from,
                to,
                digest,
                beats,
            },
        );
    }

    pub(super) fn answer(
        &mut self,
        from: usize,
        to: usize,
        digest: &Digest,
        beats: &HeartbeatBatch,
        now: Instant,
    ) {
        if !self.reaches(from, to, now) {
            return;
        }
        let same = self.nodes[from].centre == self.nodes[to].centre;
        let node = &mut self.nodes[to];
        node.bytes += size(&(digest, beats));
        node.view.record_batch(beats, now);
        let delta = Box::new(node.replica.delta_for(digest));
        // Heartbeats go with regular exchanges only.
        let beats = if same && !beats.beats.is_empty() {
            node.view.next_batch(&beats.unknown)
        } else {
            HeartbeatBatch::default()
        };
        node.bytes += size(&(&delta, &beats));
        let lags = node.replica.should_request(digest, now);
        let run = self.nodes[from].run;
        let delay = self.link_delay(from, to);
        self.agenda.after(
            delay,
            Event::Reply {
                from: to,
                to: from,
                run,
                delta,
                beats,
            },
        );
        if lags {
            self.ask(to, from, false);
        }
    }

    /// Tells peers at once if something is new, and watches the served version.
    pub(super) fn after(&mut self, vm: usize, before: u64, marks: bool, now: Instant) {
        let node = &mut self.nodes[vm];
        let version = node.replica.tracker.version();
        if let Readiness::Ready(version) = node.replica.tracker.readiness() {
            self.tally.reverts += u32::from(version < node.served);
            node.served = node.served.max(version);
        }
        if version > before || marks {
            let faultless = self.setup.fault == Fault::None && now > self.start + TARGET;
            if faultless && version > before {
                let took = now - self.published[usize::try_from(version).unwrap_or(1) - 1];
                self.tally.slowest = self.tally.slowest.max(took);
                let first = *self.first.entry(version).or_insert(now);
                self.tally.spread = self.tally.spread.max(now - first);
            }
            let crosses = node.view.role(now) != Role::Member;
            self.announce(vm, crosses);
        }
    }
}
