//! Heartbeats to and from the VMs of the local data centre.

use super::View;
use crate::membership::member::{Heartbeat, HeartbeatBatch, Tag};
use std::time::Instant;

/// Number of messages in which a VM is named after its tag has changed.
const MAX_INTRODUCTIONS: u32 = 6;
/// Number of messages in which an unknown tag is requested.
const MAX_TAG_REQUESTS: u32 = 8;
/// Maximum number of tags that one message requests.
const MAX_UNKNOWN_TAGS: usize = 64;

impl View {
    /// Returns the heartbeats to send with an exchange inside the data centre: that of this VM and
    /// those relayed least often. New VMs and those with a tag in `requested` are named.
    pub fn next_batch(&mut self, requested: &[Tag]) -> HeartbeatBatch {
        self.counter += 1;
        let own = self.own_heartbeat();
        let mut known: Vec<_> = self
            .members
            .iter_mut()
            .filter(|(_, member)| member.gone.is_none() && member.tag.is_some())
            .collect();
        // Sorting by recency alone would repeat a few heartbeats and starve the others.
        known
            .sort_unstable_by_key(|(_, member)| (member.relayed, std::cmp::Reverse(member.update)));
        let mut batch = HeartbeatBatch {
            ticks: Vec::new(),
            unknown: self.unknown.keys().copied().collect(),
            beats: vec![own],
        };
        // Requests end, because no VM knows the tag of a VM that stopped long ago.
        self.unknown.retain(|_, requests| {
            *requests += 1;
            *requests < MAX_TAG_REQUESTS
        });
        for (n, (vm, member)) in known.into_iter().enumerate() {
            let is_relayed = n < self.settings.max_relayed;
            let is_introduced = member.introduced < MAX_INTRODUCTIONS && is_relayed;
            member.relayed += u32::from(is_relayed);
            if is_introduced || requested.iter().any(|tag| member.tag == Some(*tag)) {
                member.introduced += 1;
                batch.beats.extend(member.last_heartbeat(vm));
            } else if is_relayed {
                batch
                    .ticks
                    .extend(member.tag.map(|tag| (tag, member.counter)));
            }
        }
        batch
    }

    fn own_heartbeat(&self) -> Heartbeat {
        Heartbeat {
            vm: self.identity.vm.clone(),
            incarnation: self.identity.incarnation,
            counter: self.counter,
            leaving: self.leaving,
        }
    }

    /// Records the heartbeats of a message. Unknown tags are requested in the next one.
    pub fn record_batch(&mut self, batch: &HeartbeatBatch, now: Instant) {
        self.record_heartbeats(&batch.beats, now);
        let own = self.own_heartbeat().tag();
        for (tag, counter) in batch.ticks.iter().filter(|(tag, _)| *tag != own) {
            let found = self
                .members
                .iter()
                .find(|(_, member)| member.tag == Some(*tag));
            let heartbeat = found.and_then(|(vm, member)| member.last_heartbeat(vm));
            if let Some(heartbeat) = heartbeat {
                let counter = *counter;
                self.record_heartbeats(
                    &[Heartbeat {
                        counter,
                        ..heartbeat
                    }],
                    now,
                );
            } else if self.unknown.len() < MAX_UNKNOWN_TAGS {
                self.unknown.entry(*tag).or_insert(0);
            }
        }
    }
}
