//! Other VMs by their reports: each VM of this data centre, and one summary per other data centre
//! from its delegate.

use base::id::{DataCentre, Incarnation, Region, Version, Vm};
use indexmap::{IndexMap, IndexSet};
use peers::report::{Known, Phase, Report};
use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use steering::entrance::Candidate;
use steering::spending::Coverage;

/// Time without a report after which a VM of this data centre counts as down. Reports come every
/// 250 ms; three in a row are rarely lost.
const LOCAL_TIMEOUT: Duration = Duration::from_millis(1_100);
/// The same for another data centre, whose summaries come half as often and take one more hop.
const REMOTE_TIMEOUT: Duration = Duration::from_millis(1_800);
/// Time without a summary from a data centre after which summaries also go to all its VMs.
const DELEGATE_TIMEOUT: Duration = Duration::from_millis(1_100);
/// Time without a report after which a VM that is not in the member table is removed.
const PEER_RETENTION: Duration = Duration::from_secs(30);

/// Newest report of a VM or of a data centre.
#[derive(Debug, Clone)]
pub struct Peer {
    /// When the report arrived.
    pub received_at: Instant,
    /// Its newest report.
    pub report: Report,
}

/// A VM that counts as up.
#[derive(Debug, Clone, Copy)]
pub struct LiveVm<'a> {
    /// Name.
    pub vm: &'a Vm,
    /// Region.
    pub region: &'a Region,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Link bandwidth and whether the VM is busy, by which look-ups select VMs.
    pub entrance: Candidate,
    /// Phase of its process.
    pub phase: Phase,
}

/// Order in which VMs of a data centre become its delegate: first those that read the store, then
/// by link bandwidth, then by name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    lacks_store: bool,
    link_mbps: Reverse<u32>,
    vm: Vm,
}

impl Rank {
    /// Returns the rank of a VM.
    pub fn new(reads: bool, link_mbps: u32, vm: &Vm) -> Self {
        Self {
            lacks_store: !reads,
            link_mbps: Reverse(link_mbps),
            vm: vm.clone(),
        }
    }

    fn reads(&self) -> bool {
        !self.lacks_store
    }

    fn of(report: &Report) -> Self {
        Self::new(report.known.reads, report.entrance.link_mbps, &report.vm)
    }
}

/// Effect of a received report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Receipt {
    /// Not newer than the last report of its sender.
    Outdated,
    /// The sender is new, restarted, or sent nothing for longer than its time-out.
    NewSender,
    /// The sender was already up; whether it holds other store data than at its last report.
    KnownSender {
        /// Whether other VMs may want to request store data now.
        has_news: bool,
    },
}

/// A VM that serves store data to others.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StoreSource {
    /// Address for requests.
    pub address: SocketAddr,
    /// Versions that it holds.
    pub known: Known,
    /// Run of its process.
    pub run: Incarnation,
    /// Bandwidth of its link in Mbit/s; 0 if unknown.
    pub link_mbps: u32,
}

impl StoreSource {
    /// Returns the sender of a report as a source.
    pub fn of(report: &Report) -> Self {
        Self {
            address: report.address,
            known: report.known,
            run: report.incarnation,
            link_mbps: report.entrance.link_mbps,
        }
    }
}

/// A VM in the member table.
#[derive(Debug, Clone, PartialEq)]
pub struct MemberEntry {
    /// Address for reports.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Link bandwidth in Mbit/s; 0 if unknown.
    pub link_mbps: u32,
}

/// Other VMs.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    /// Other VMs of this data centre.
    local: IndexMap<Vm, Peer>,
    /// Other data centres, with the newest summary of a delegate.
    remote: IndexMap<DataCentre, Peer>,
    /// VMs in the member table, and VMs of other data centres that reported directly.
    members: IndexMap<Vm, MemberEntry>,
    /// When each VM was last reported to be up.
    last_alive: IndexMap<Vm, Instant>,
}

impl Fleet {
    /// Replaces the members by those of the store's table.
    pub fn set_members(&mut self, members: IndexMap<Vm, MemberEntry>) {
        self.members = members;
    }

    /// Adds a VM of another data centre that reported directly instead of through its delegate.
    pub fn add_member(&mut self, report: &Report) {
        let entry = MemberEntry {
            address: report.address,
            data_centre: report.data_centre.clone(),
            link_mbps: report.entrance.link_mbps,
        };
        self.members.insert(report.vm.clone(), entry);
    }

    /// Merges a report of a VM of this data centre, or a summary of another data centre.
    pub fn merge_report(&mut self, report: Report, now: Instant) -> Receipt {
        let is_summary = report.is_summary();
        let known = match is_summary {
            true => self.remote.get(&report.data_centre),
            false => self.local.get(&report.vm),
        };
        let same_run = known.filter(|peer| peer.report.incarnation == report.incarnation);
        if same_run.is_some_and(|peer| peer.report.sequence >= report.sequence) {
            return Receipt::Outdated;
        }
        let timeout = if is_summary {
            REMOTE_TIMEOUT
        } else {
            LOCAL_TIMEOUT
        };
        let is_up = |peer: &&Peer| now.saturating_duration_since(peer.received_at) < timeout;
        let receipt = match same_run.filter(is_up) {
            Some(peer) => Receipt::KnownSender {
                has_news: !peer.report.known.holds_same(&report.known),
            },
            None => Receipt::NewSender,
        };
        self.last_alive.insert(report.vm.clone(), now);
        for member in &report.members {
            self.last_alive.insert(member.vm.clone(), now);
        }
        let peer = Peer {
            received_at: now,
            report,
        };
        match is_summary {
            true => self.remote.insert(peer.report.data_centre.clone(), peer),
            false => self.local.insert(peer.report.vm.clone(), peer),
        };
        receipt
    }

    /// Removes VMs that are not members and sent nothing for [`PEER_RETENTION`]; returns the
    /// senders that count as down.
    pub fn expire(&mut self, now: Instant) -> Vec<Vm> {
        let members = &self.members;
        let is_kept = |peer: &Peer| {
            now.saturating_duration_since(peer.received_at) < PEER_RETENTION
                || members.contains_key(&peer.report.vm)
        };
        self.local.retain(|_, peer| is_kept(peer));
        self.remote.retain(|_, peer| is_kept(peer));
        self.last_alive.retain(|vm, at| {
            now.saturating_duration_since(*at) < PEER_RETENTION || members.contains_key(vm)
        });
        let local = self.local.values().filter(|peer| !is_local_up(peer, now));
        let remote = self.remote.values().filter(|peer| !is_remote_up(peer, now));
        local
            .chain(remote)
            .map(|peer| peer.report.vm.clone())
            .collect()
    }

    /// Returns the other VMs of this data centre that are up.
    pub fn local(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.local
            .values()
            .filter(move |peer| is_local_up(peer, now))
    }

    /// Returns the other data centres whose delegates are up.
    pub fn remote(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.remote
            .values()
            .filter(move |peer| is_remote_up(peer, now))
    }

    /// Returns the delegate that sent the newest summary of a data centre.
    pub fn delegate_of(&self, data_centre: &str) -> Option<&Vm> {
        self.remote.get(data_centre).map(|peer| &peer.report.vm)
    }

    /// Returns all other VMs that are up.
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = LiveVm<'_>> {
        let local = self.local(now).map(|peer| LiveVm {
            vm: &peer.report.vm,
            region: &peer.report.region,
            callers: peer.report.callers,
            entrance: peer.report.entrance,
            phase: peer.report.phase,
        });
        let remote = self.remote(now).flat_map(|peer| {
            peer.report.members.iter().map(|member| LiveVm {
                vm: &member.vm,
                region: &peer.report.region,
                callers: member.callers,
                entrance: member.entrance,
                phase: member.phase,
            })
        });
        local.chain(remote)
    }

    /// Returns the VM that is the delegate of this data centre; none if it is this VM, whose rank
    /// is `own`.
    pub fn delegate(&self, own: &Rank, now: Instant) -> Option<&Peer> {
        let others = self.local(now).filter(|p| p.report.phase != Phase::Leaving);
        others
            .map(|peer| (Rank::of(&peer.report), peer))
            .min_by(|a, b| a.0.cmp(&b.0))
            .filter(|(rank, _)| rank < own)
            .map(|(_, peer)| peer)
    }

    /// Returns how many VMs of this data centre begin to read the store before the VM `own`: those
    /// that are up and, if `expected`, those in the member table that were not heard yet.
    pub fn readers_before(
        &self,
        own: &Rank,
        data_centre: &DataCentre,
        expected: bool,
        now: Instant,
    ) -> usize {
        let reports = self.local(now).map(|peer| &peer.report);
        let up = reports
            .filter(|report| report.phase != Phase::Leaving)
            .map(|report| Rank::new(own.reads(), report.entrance.link_mbps, &report.vm));
        let unheard = self.members.iter().filter(|(vm, member)| {
            expected && member.data_centre == *data_centre && !self.local.contains_key(*vm)
        });
        let unheard = unheard.map(|(vm, member)| Rank::new(own.reads(), member.link_mbps, vm));
        up.chain(unheard).filter(|rank| rank < own).count()
    }

    /// Returns the destinations of reports: the other VMs of this data centre.
    pub fn local_targets(&self, own: &DataCentre) -> IndexSet<SocketAddr> {
        let peers = self.local.values().map(|peer| peer.report.address);
        let members = self.members.values().filter(|m| m.data_centre == *own);
        peers.chain(members.map(|member| member.address)).collect()
    }

    /// Returns the other VMs of this data centre that are up and not leaving, with the bandwidth of
    /// their links.
    pub fn local_relays(&self, now: Instant) -> Vec<(SocketAddr, u32)> {
        let reports = self.local(now).map(|peer| &peer.report);
        reports
            .filter(|report| report.phase != Phase::Leaving)
            .map(|report| (report.address, report.entrance.link_mbps))
            .collect()
    }

    /// Returns the delegates of the other data centres, as last heard.
    pub fn remote_delegates(&self) -> IndexSet<SocketAddr> {
        let delegates = self.remote.values();
        delegates.map(|peer| peer.report.address).collect()
    }

    /// Returns the members of each other data centre whose delegate is silent, without those that get
    /// summaries anyway.
    pub fn silent_data_centres(
        &self,
        own: &DataCentre,
        reached: &IndexSet<SocketAddr>,
        now: Instant,
    ) -> Vec<Vec<SocketAddr>> {
        let has_delegate = |data_centre: &DataCentre| {
            let peer = self.remote.get(data_centre);
            peer.is_some_and(|p| now.saturating_duration_since(p.received_at) < DELEGATE_TIMEOUT)
        };
        let silent = self.members.values().filter(|member| {
            member.data_centre != *own
                && !has_delegate(&member.data_centre)
                && !reached.contains(&member.address)
        });
        let mut members: IndexMap<&DataCentre, Vec<SocketAddr>> = IndexMap::new();
        for member in silent {
            members
                .entry(&member.data_centre)
                .or_default()
                .push(member.address);
        }
        members.into_values().collect()
    }

    /// Returns the data centres other than `own` that have VMs, with the address of the delegate of
    /// each that is up.
    pub fn delegates(
        &self,
        own: &DataCentre,
        now: Instant,
    ) -> IndexMap<DataCentre, Option<SocketAddr>> {
        let members = self.members.values().map(|member| &member.data_centre);
        let known = members.chain(self.remote.keys());
        let others = known.filter(|data_centre| *data_centre != own);
        let mut delegates: IndexMap<DataCentre, Option<SocketAddr>> = others
            .map(|data_centre| (data_centre.clone(), None))
            .collect();
        let up = self.remote(now).map(|peer| &peer.report);
        delegates.extend(up.map(|report| (report.data_centre.clone(), Some(report.address))));
        delegates
    }

    /// Returns whether a VM of this data centre receives reports at an address.
    pub fn is_local(&self, address: &SocketAddr) -> bool {
        let mut local = self.local.values();
        local.any(|peer| peer.report.address == *address)
    }

    /// Returns the members that were last up more than `time` ago.
    pub fn lost_members(&self, time: Duration, now: Instant) -> Vec<Vm> {
        let is_lost = |vm: &&Vm| {
            let last_alive = self.last_alive.get(*vm);
            last_alive.is_some_and(|at| now.saturating_duration_since(*at) > time)
        };
        self.members.keys().filter(is_lost).cloned().collect()
    }

    /// Returns the configuration version of each other VM that is up.
    pub fn configurations(&self, now: Instant) -> IndexMap<&Vm, Version> {
        let local = self.local(now).map(|peer| &peer.report);
        let local = local.map(|report| (&report.vm, report.configuration));
        let remote = self.remote(now).flat_map(|peer| &peer.report.members);
        local
            .chain(remote.map(|member| (&member.vm, member.configuration)))
            .collect()
    }

    /// Returns the members and the VMs that reported recently, without `own`.
    pub fn others(&self, own: &Vm) -> IndexSet<&Vm> {
        let known = self.members.keys().chain(self.last_alive.keys());
        known.filter(|vm| *vm != own).collect()
    }

    /// Returns how many VMs are known and how many are up, `own` included.
    pub fn coverage(&self, own: &Vm, now: Instant) -> Coverage {
        Coverage {
            members: 1 + self.others(own).len(),
            reporting: 1 + self.alive(now).count(),
        }
    }
}

fn is_local_up(peer: &Peer, now: Instant) -> bool {
    now.saturating_duration_since(peer.received_at) < LOCAL_TIMEOUT
}

fn is_remote_up(peer: &Peer, now: Instant) -> bool {
    now.saturating_duration_since(peer.received_at) < REMOTE_TIMEOUT
}
