//! Other VMs, as their reports show them: those of the own data centre one by one, those of other
//! data centres by the reports of their delegates.

use base::id::{DataCentre, Incarnation, Region, Version, Vm};
use indexmap::{IndexMap, IndexSet};
use peers::report::{Known, Phase, Report};
use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use steering::entrance::Candidate;
use steering::spending::Coverage;

/// Time without a report after which a VM of the own data centre counts as gone. Reports come
/// every quarter of a second; three in a row are rarely lost.
const NEAR_SILENCE: Duration = Duration::from_millis(1_100);
/// The same for the delegate of another data centre, whose reports come half as often and take
/// one more step.
const FAR_SILENCE: Duration = Duration::from_millis(1_800);
/// Time without a report from a data centre after which all its VMs are told, not its delegate.
const DELEGATE_SILENCE: Duration = Duration::from_millis(1_100);
/// Time without a report after which a VM that is not in the store's table is forgotten.
const FORGET: Duration = Duration::from_secs(30);

/// A VM or a data centre that reports.
#[derive(Debug, Clone)]
pub struct Peer {
    /// When its newest report came.
    pub heard: Instant,
    /// Its newest report.
    pub report: Report,
}

/// A VM that is alive.
#[derive(Debug, Clone, Copy)]
pub struct Alive<'a> {
    /// Name.
    pub vm: &'a Vm,
    /// Region.
    pub region: &'a Region,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// What it can take of callers.
    pub entrance: Candidate,
    /// What callers may expect.
    pub phase: Phase,
}

/// Order in which VMs of a data centre become its delegate: those that read the store first, then
/// those with wider links, then by name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    no_store: bool,
    link_mbps: Reverse<u32>,
    vm: Vm,
}

impl Rank {
    /// Returns the rank of a VM.
    pub fn new(reads: bool, link_mbps: u32, vm: &Vm) -> Self {
        Self {
            no_store: !reads,
            link_mbps: Reverse(link_mbps),
            vm: vm.clone(),
        }
    }

    fn of(report: &Report) -> Self {
        Self::new(report.known.reads, report.entrance.link_mbps, &report.vm)
    }
}

/// What a report changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Heard {
    /// It is older than one that came before.
    Overtaken,
    /// The sender is new, or was silent, or runs anew.
    Appeared,
    /// The sender was heard before.
    Again,
}

/// A VM that can be asked for what the store said.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Source {
    /// Where it answers.
    pub address: SocketAddr,
    /// How much it knows.
    pub known: Known,
    /// Its run.
    pub run: Incarnation,
}

impl Source {
    /// Returns the sender of a report.
    pub fn of(report: &Report) -> Self {
        Self {
            address: report.address,
            known: report.known,
            run: report.incarnation,
        }
    }
}

/// A VM in the store's table.
#[derive(Debug, Clone, PartialEq)]
pub struct Listed {
    /// Address for reports.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
}

/// Other VMs.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    /// VMs of the own data centre.
    near: IndexMap<Vm, Peer>,
    /// Other data centres, by the newest report of a delegate.
    far: IndexMap<DataCentre, Peer>,
    /// VMs in the store's table, and those that reported from elsewhere.
    listed: IndexMap<Vm, Listed>,
    /// When each VM was last known to be alive.
    alive_at: IndexMap<Vm, Instant>,
}

impl Fleet {
    /// Takes in the store's table of VMs.
    pub fn list(&mut self, listed: IndexMap<Vm, Listed>) {
        self.listed = listed;
    }

    /// Takes in a VM that reported from another data centre without a delegate in between.
    pub fn add(&mut self, report: &Report) {
        let listed = Listed {
            address: report.address,
            data_centre: report.data_centre.clone(),
        };
        self.listed.insert(report.vm.clone(), listed);
    }

    /// Takes in a report of a VM of the own data centre, or of another data centre.
    pub fn hear(&mut self, report: Report, now: Instant) -> Heard {
        let is_summary = report.is_summary();
        let known = match is_summary {
            true => self.far.get(&report.data_centre),
            false => self.near.get(&report.vm),
        };
        let same_run = known.filter(|peer| peer.report.incarnation == report.incarnation);
        if same_run.is_some_and(|peer| peer.report.sequence >= report.sequence) {
            return Heard::Overtaken;
        }
        let limit = if is_summary {
            FAR_SILENCE
        } else {
            NEAR_SILENCE
        };
        let again = same_run.is_some_and(|peer| now.saturating_duration_since(peer.heard) < limit);
        self.alive_at.insert(report.vm.clone(), now);
        for member in &report.members {
            self.alive_at.insert(member.vm.clone(), now);
        }
        let peer = Peer { heard: now, report };
        match is_summary {
            true => self.far.insert(peer.report.data_centre.clone(), peer),
            false => self.near.insert(peer.report.vm.clone(), peer),
        };
        match again {
            true => Heard::Again,
            false => Heard::Appeared,
        }
    }

    /// Forgets VMs that have long been silent and are not listed; returns the senders of reports
    /// that are not heard now.
    pub fn sweep(&mut self, now: Instant) -> Vec<Vm> {
        let listed = &self.listed;
        let is_kept = |peer: &Peer| {
            now.saturating_duration_since(peer.heard) < FORGET
                || listed.contains_key(&peer.report.vm)
        };
        self.near.retain(|_, peer| is_kept(peer));
        self.far.retain(|_, peer| is_kept(peer));
        self.alive_at.retain(|vm, at| {
            now.saturating_duration_since(*at) < FORGET || listed.contains_key(vm)
        });
        let near = self.near.values().filter(|peer| !is_near_alive(peer, now));
        let far = self.far.values().filter(|peer| !is_far_alive(peer, now));
        near.chain(far).map(|peer| peer.report.vm.clone()).collect()
    }

    /// Returns the VMs of the own data centre that are heard.
    pub fn near(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.near
            .values()
            .filter(move |peer| is_near_alive(peer, now))
    }

    /// Returns the other data centres that are heard.
    pub fn far(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.far
            .values()
            .filter(move |peer| is_far_alive(peer, now))
    }

    /// Returns the delegate whose report of a data centre came last.
    pub fn delegate_of(&self, data_centre: &str) -> Option<&Vm> {
        self.far.get(data_centre).map(|peer| &peer.report.vm)
    }

    /// Returns all VMs that are alive.
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = Alive<'_>> {
        let near = self.near(now).map(|peer| Alive {
            vm: &peer.report.vm,
            region: &peer.report.region,
            callers: peer.report.callers,
            entrance: peer.report.entrance,
            phase: peer.report.phase,
        });
        let far = self.far(now).flat_map(|peer| {
            peer.report.members.iter().map(|member| Alive {
                vm: &member.vm,
                region: &peer.report.region,
                callers: member.callers,
                entrance: member.entrance,
                phase: member.phase,
            })
        });
        near.chain(far)
    }

    /// Returns the other VM that is the delegate of the own data centre; none if the VM that ranks
    /// as `own` is the delegate itself.
    pub fn delegate(&self, own: &Rank, now: Instant) -> Option<&Peer> {
        let others = self.near(now).filter(|p| p.report.phase != Phase::Leaving);
        others
            .map(|peer| (Rank::of(&peer.report), peer))
            .min_by(|a, b| a.0.cmp(&b.0))
            .filter(|(rank, _)| rank < own)
            .map(|(_, peer)| peer)
    }

    /// Returns where to send the reports of a VM: to the others of its data centre.
    pub fn near_targets(&self, own: &DataCentre) -> IndexSet<SocketAddr> {
        let heard = self.near.values().map(|peer| peer.report.address);
        let listed = self.listed.values().filter(|l| l.data_centre == *own);
        heard.chain(listed.map(|listed| listed.address)).collect()
    }

    /// Returns where to send the report of a data centre: to the delegates of the others, or to
    /// all VMs of those whose delegate is not heard.
    pub fn far_targets(&self, own: &DataCentre, now: Instant) -> IndexSet<SocketAddr> {
        let is_heard = |data_centre: &DataCentre| {
            let peer = self.far.get(data_centre);
            peer.is_some_and(|p| now.saturating_duration_since(p.heard) < DELEGATE_SILENCE)
        };
        let unheard = self
            .listed
            .values()
            .filter(|listed| listed.data_centre != *own && !is_heard(&listed.data_centre));
        let delegates = self.far.values().map(|peer| peer.report.address);
        delegates.chain(unheard.map(|l| l.address)).collect()
    }

    /// Returns whether a VM of the own data centre receives reports at an address.
    pub fn is_near(&self, address: &SocketAddr) -> bool {
        let mut near = self.near.values();
        near.any(|peer| peer.report.address == *address)
    }

    /// Returns the VMs in the store's table that were silent for longer than `time`.
    pub fn lost(&self, time: Duration, now: Instant) -> Vec<Vm> {
        let is_lost = |vm: &&Vm| {
            let alive = self.alive_at.get(*vm);
            alive.is_some_and(|at| now.saturating_duration_since(*at) > time)
        };
        self.listed.keys().filter(is_lost).cloned().collect()
    }

    /// Returns the versions of the configuration on the VMs that are heard.
    pub fn versions(&self, now: Instant) -> IndexMap<&Vm, Version> {
        let near = self.near(now).map(|peer| &peer.report);
        let near = near.map(|report| (&report.vm, report.configuration));
        let far = self.far(now).flat_map(|peer| &peer.report.members);
        near.chain(far.map(|member| (&member.vm, member.configuration)))
            .collect()
    }

    /// Returns the VMs that are listed or were heard, without `own`.
    pub fn others(&self, own: &Vm) -> IndexSet<&Vm> {
        let known = self.listed.keys().chain(self.alive_at.keys());
        known.filter(|vm| *vm != own).collect()
    }

    /// Returns how many VMs there are and how many are heard, `own` included.
    pub fn reach(&self, own: &Vm, now: Instant) -> Coverage {
        Coverage {
            members: 1 + self.others(own).len(),
            reporting: 1 + self.alive(now).count(),
        }
    }
}

fn is_near_alive(peer: &Peer, now: Instant) -> bool {
    now.saturating_duration_since(peer.heard) < NEAR_SILENCE
}

fn is_far_alive(peer: &Peer, now: Instant) -> bool {
    now.saturating_duration_since(peer.heard) < FAR_SILENCE
}
