//! Messages between holders and the granter of the simulated fleet.

use super::{Event, Fleet, Message, data_centre, distance, name};
use crate::agenda::Network;
use crate::experiment::limits::Split;
use std::time::{Duration, Instant};

impl Fleet {
    pub(super) fn tick(&mut self, vm: usize, now: Instant) {
        self.agenda.after(self.plan.tick, Event::Tick(vm));
        if !self.nodes[vm].alive || self.plan.split == Split::Even {
            return;
        }
        let local = self.local_time(vm, now);
        if !self.nodes[vm].has_floor && self.reaches_store(vm) {
            let incarnation = self.nodes[vm].incarnation;
            if self.floors.claim(&name(vm), incarnation).is_some() {
                let floor = self.plan.settings.floor(self.plan.limit);
                self.nodes[vm].holder.set_floor(floor, 1, local);
                self.nodes[vm].has_floor = true;
            }
        }
        self.serve_waiting(vm, now);
        if let Some(renew) = self.nodes[vm].holder.renew(local) {
            self.send(vm, self.granter_vm, &Message::Renew(vm, renew));
        }
    }

    pub(super) fn receive(&mut self, vm: usize, message: Message, now: Instant) {
        let local = self.local_time(vm, now);
        let node = &mut self.nodes[vm];
        match message {
            Message::Renew(from, renew) => {
                let grant = node.granter.as_mut().and_then(|g| g.renew(&renew, local));
                if let Some(grant) = grant {
                    self.send(vm, from, &Message::Grant(grant));
                }
            }
            Message::Borrow(from, borrow) => {
                if let Some(lent) = node.holder.lend(&borrow, local) {
                    self.send(vm, from, &Message::Lent(lent));
                }
            }
            Message::Grant(grant) => {
                node.holder.apply_grant(&grant, local);
                self.serve_waiting(vm, now);
                if let Some(renew) = self.nodes[vm].holder.renew(local) {
                    self.send(vm, self.granter_vm, &Message::Renew(vm, renew));
                }
            }
            Message::Lent(lent) => {
                node.holder.apply_loan(&lent, local);
                self.serve_waiting(vm, now);
            }
        }
    }

    pub(super) fn send(&mut self, from: usize, to: usize, message: &Message) {
        if self.cut[data_centre(from)] != self.cut[data_centre(to)] {
            return;
        }
        let delay = Duration::from_micros(if distance(from, to) == 2 { 12_000 } else { 500 });
        let network = Network {
            delay: if from == to { Duration::ZERO } else { delay },
            ..self.plan.network
        };
        for delay in network.deliveries(&mut self.rng) {
            self.agenda
                .after(delay, Event::Deliver(to, message.clone()));
        }
    }
}
