//! Heartbeats to and from the VMs of the own data centre.

use super::View;
use crate::membership::member::{Heartbeat, HeartbeatBatch, Tag};
use std::time::Instant;

/// Messages in which a VM that is new to the sender goes with its name.
const INTRODUCED: u32 = 6;
/// Messages in which an unknown tag is asked for.
const ASKED: u32 = 8;
/// Tags that one message asks for.
const UNKNOWN: usize = 64;

impl View {
    /// Returns the heartbeats to send along with an exchange inside the data centre: the own one
    /// and those passed on least often. New VMs and those behind the tags in `asked` are named.
    pub fn next_batch(&mut self, asked: &[Tag]) -> HeartbeatBatch {
        self.counter += 1;
        let own = self.own();
        let mut known: Vec<_> = self
            .members
            .iter_mut()
            .filter(|(_, member)| member.gone.is_none() && member.tag.is_some())
            .collect();
        // Latest first alone would repeat a few heartbeats and starve the others.
        known.sort_unstable_by_key(|(_, member)| (member.sent, std::cmp::Reverse(member.news)));
        let mut pulse = HeartbeatBatch {
            ticks: Vec::new(),
            unknown: self.unknown.keys().copied().collect(),
            beats: vec![own],
        };
        // A VM that stopped isn't known to anyone after a while.
        self.unknown.retain(|_, times| {
            *times += 1;
            *times < ASKED
        });
        for (n, (vm, member)) in known.into_iter().enumerate() {
            let passes_on = n < self.settings.max_relayed;
            let named = member.introduced < INTRODUCED && passes_on;
            member.sent += u32::from(passes_on);
            if named || asked.iter().any(|tag| member.tag == Some(*tag)) {
                member.introduced += 1;
                pulse.beats.extend(member.named(vm));
            } else if passes_on {
                pulse
                    .ticks
                    .extend(member.tag.map(|tag| (tag, member.counter)));
            }
        }
        pulse
    }

    fn own(&self) -> Heartbeat {
        Heartbeat {
            vm: self.identity.vm.clone(),
            incarnation: self.identity.incarnation,
            counter: self.counter,
            leaving: self.leaving,
        }
    }

    /// Takes the heartbeats of a message. Tags that are not known are asked for in the next one.
    pub fn record_batch(&mut self, pulse: &HeartbeatBatch, now: Instant) {
        self.record_heartbeats(&pulse.beats, now);
        let own = self.own().tag();
        for (tag, counter) in pulse.ticks.iter().filter(|(tag, _)| *tag != own) {
            let found = self
                .members
                .iter()
                .find(|(_, member)| member.tag == Some(*tag));
            let beat = found.and_then(|(vm, member)| member.named(vm));
            if let Some(beat) = beat {
                let counter = *counter;
                self.record_heartbeats(&[Heartbeat { counter, ..beat }], now);
            } else if self.unknown.len() < UNKNOWN {
                self.unknown.entry(*tag).or_insert(0);
            }
        }
    }
}
