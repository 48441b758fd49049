//! Other VMs, as their reports show them.

use base::id::{Incarnation, Region, Vm};
use indexmap::IndexMap;
use peers::report::{Phase, Report};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use steering::spending::Reach;

/// Time without a report after which a VM counts as gone. Reports come every half second; one of
/// 3 in a row may be lost.
pub const SILENCE: Duration = Duration::from_millis(1_800);
/// Time without a report after which a VM that is not in the store's table is forgotten.
const FORGET: Duration = Duration::from_secs(30);

/// A VM that reports.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Address for reports.
    pub address: SocketAddr,
    /// When its newest report came.
    pub heard: Instant,
    /// Its newest report.
    pub report: Report,
}

/// What a report changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Heard {
    /// It is older than one that came before.
    Overtaken,
    /// The VM is new, or was silent, or runs anew.
    Appeared,
    /// The VM was heard before.
    Again,
}

/// Other VMs.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    /// VMs by name; those without a report have only an address.
    peers: IndexMap<Vm, Peer>,
    /// Addresses of VMs in the store's table.
    listed: IndexMap<Vm, SocketAddr>,
}

impl Fleet {
    /// Takes in the store's table of VMs.
    pub fn list(&mut self, listed: IndexMap<Vm, SocketAddr>) {
        self.listed = listed;
    }

    /// Takes in a report that came from `address`.
    pub fn hear(&mut self, address: SocketAddr, report: Report, now: Instant) -> Heard {
        let known = self.peers.get(&report.vm);
        let fresh = known.is_none_or(|peer| {
            peer.report.incarnation != report.incarnation || peer.report.sequence < report.sequence
        });
        if !fresh {
            return Heard::Overtaken;
        }
        let again = known.is_some_and(|peer| {
            peer.report.incarnation == report.incarnation && is_alive(peer, now)
        });
        let peer = Peer {
            address,
            heard: now,
            report,
        };
        self.peers.insert(peer.report.vm.clone(), peer);
        match again {
            true => Heard::Again,
            false => Heard::Appeared,
        }
    }

    /// Forgets VMs that have long been silent and are not listed; returns those that are not heard.
    pub fn sweep(&mut self, now: Instant) -> Vec<Vm> {
        let listed = &self.listed;
        self.peers.retain(|vm, peer| {
            now.saturating_duration_since(peer.heard) < FORGET || listed.contains_key(vm)
        });
        let silent = self.peers.values().filter(|peer| !is_alive(peer, now));
        silent.map(|peer| peer.report.vm.clone()).collect()
    }

    /// Returns the VMs that are heard.
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |peer| is_alive(peer, now))
    }

    /// Returns a VM that is heard.
    pub fn peer(&self, vm: &str, now: Instant) -> Option<&Peer> {
        self.peers.get(vm).filter(|peer| is_alive(peer, now))
    }

    /// Returns the VMs in the store's table that were silent for longer than `time`.
    pub fn lost(&self, time: Duration, now: Instant) -> Vec<Vm> {
        let is_lost = |vm: &&Vm| {
            let peer = self.peers.get(*vm);
            peer.is_some_and(|peer| now.saturating_duration_since(peer.heard) > time)
        };
        self.listed.keys().filter(is_lost).cloned().collect()
    }

    /// Returns where to send reports, with the regions as far as they are known.
    pub fn targets(&self) -> Vec<(SocketAddr, Option<Region>)> {
        let heard = self.peers.values().map(|peer| {
            let region = Some(peer.report.region.clone());
            (peer.address, region)
        });
        let unheard = self.listed.iter().filter(|(vm, address)| {
            let peer = self.peers.get(*vm);
            peer.is_none_or(|peer| peer.address != **address)
        });
        heard
            .chain(unheard.map(|(_, address)| (*address, None)))
            .collect()
    }

    /// Returns how many VMs there are and how many are heard, `own` included.
    pub fn reach(&self, own: &Vm, now: Instant) -> Reach {
        let unheard = self
            .listed
            .keys()
            .filter(|vm| !self.peers.contains_key(*vm));
        let unheard = unheard.filter(|vm| **vm != *own).count();
        Reach {
            members: 1 + self.peers.len() + unheard,
            heard: 1 + self.alive(now).count(),
        }
    }

    /// Returns the incarnation of a VM's newest report.
    pub fn incarnation(&self, vm: &str) -> Option<Incarnation> {
        self.peers.get(vm).map(|peer| peer.report.incarnation)
    }

    /// Returns the addresses for callers of the VMs that serve, with their regions.
    pub fn serving(&self, now: Instant) -> impl Iterator<Item = (SocketAddr, &Region)> {
        self.alive(now)
            .filter(|peer| peer.report.phase == Phase::Ready)
            .map(|peer| (peer.report.callers, &peer.report.region))
    }
}

fn is_alive(peer: &Peer, now: Instant) -> bool {
    now.saturating_duration_since(peer.heard) < SILENCE
}
