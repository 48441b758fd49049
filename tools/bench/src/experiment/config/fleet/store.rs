//! The simulated store: publications, polls and objects.

use super::{Event, FILE_BYTES, FILES, Fleet, HTTP_BYTES, PACKET_BYTES};
use crate::experiment::config::Method;
use rand::RngExt;
use std::time::{Duration, Instant};
use steering::config::{Head, PollIntervals, Publication, head};
use steering::membership::Role;

impl Fleet {
    /// Changes `count` files and publishes the new head.
    pub(super) fn publish(&mut self, count: usize, now: Instant) {
        let mut next = self.manifest.clone();
        for _ in 0..count {
            let content: Vec<u8> = (0..FILE_BYTES).map(|_| self.rng.random()).collect();
            let name = if count == FILES {
                next.files.len()
            } else {
                self.heads.len() % FILES
            };
            let hash = head::content_hash(&content);
            next.files
                .insert(format!("services/{name}.yaml").into(), hash.clone());
            self.objects.insert(hash, content);
        }
        let operation = base::id::random(&mut self.rng);
        let base = self.heads.last();
        let publication = Publication::propose(base, &self.manifest, &next, "operator", operation);
        self.heads.push(publication.head().clone());
        self.published.push(now);
        self.objects.insert(next.hash(), next.to_bytes().into());
        self.manifest = next;
    }

    pub(super) fn store_delay(&mut self) -> Duration {
        let extra_delay = if self.rng.random_bool(0.05) {
            self.rng.random::<f64>()
        } else {
            0.0
        };
        Duration::from_secs_f64(0.015 + 0.03 * self.rng.random::<f64>() + extra_delay)
    }

    pub(super) fn poll(&mut self, vm: usize, incarnation: u64, now: Instant) {
        let first_poll = now == self.nodes[vm].started;
        let role = match self.setup.method {
            Method::Gossip => self.nodes[vm].view.role(now),
            Method::EachPolls => Role::Reader,
        };
        let next = PollIntervals::default().next_delay(role, &mut self.rng);
        // A member checks its role again after the time in which a silent reader is detected.
        let next_poll = next.unwrap_or(Duration::from_secs(1));
        self.agenda.after(next_poll, Event::Poll(vm, incarnation));
        if next.is_none() && !first_poll {
            return;
        }
        let delay = self.store_delay();
        let head = self.reaches_store(vm, now).then(|| {
            self.reads[(now - self.start).as_secs() as usize] += 1;
            let staleness = if self.rng.random_bool(0.2) {
                self.rng.random_range(1..4)
            } else {
                0
            };
            self.heads[self.heads.len().saturating_sub(1 + staleness)].clone()
        });
        let row_bytes = head
            .as_ref()
            .map_or(0, |head| serde_json::to_vec(head).map_or(0, |v| v.len()));
        self.nodes[vm].bytes += row_bytes + HTTP_BYTES + PACKET_BYTES;
        self.agenda
            .after(delay, Event::HeadRow(vm, incarnation, head));
    }

    pub(super) fn handle_head(&mut self, vm: usize, head: Option<Head>, now: Instant) {
        let node = &mut self.nodes[vm];
        let before = node.replica.tracker.version();
        if let Some(head) = &head
            && self.setup.method == Method::EachPolls
        {
            self.tally.reverts += u32::from(head.version < node.polled_version);
            node.polled_version = head.version;
            return;
        }
        node.replica
            .tracker
            .record_store_answer(head.as_ref().map(|head| head.version));
        if let Some(head) = head {
            let (base, changed) = (head.base, head.changed.clone());
            node.replica.tracker.offer_head(head, base, &changed);
            node.fetching_since.get_or_insert(now);
            if node.view.role(now) == Role::Reader {
                self.fetch(vm, now);
            }
        }
        self.record_update(vm, before, false, now);
    }

    pub(super) fn fetch(&mut self, vm: usize, now: Instant) {
        if !self.reaches_store(vm, now) {
            return;
        }
        let incarnation = self.nodes[vm].incarnation;
        for hash in self.nodes[vm].replica.tracker.missing() {
            self.reads[(now - self.start).as_secs() as usize] += 1;
            let delay = self.store_delay();
            self.agenda
                .after(delay, Event::Object(vm, incarnation, hash));
        }
    }
}
