//! Simulated VMs, links and store.

mod check;
mod gossip;
mod store;

use super::{Fault, Method, Setup, Tally};
use crate::agenda::Agenda;
use bincode::Options;
use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use std::time::{Duration, Instant};
use steering::config::{Delta, Digest, Head, Manifest, Mark, ObjectHash, Readiness, Replica};
use steering::keys::{Key, Pepper};
use steering::membership::{HeartbeatBatch, Identity, ListedVm, Role, Settings, View};

const RUN_LENGTH: Duration = Duration::from_secs(30);
const FAULT_PERIOD: (Duration, Duration) = (Duration::from_secs(10), Duration::from_secs(20));
/// Time within which a version must be in force.
const PROPAGATION_TARGET: Duration = Duration::from_secs(4);
/// Interval between exchanges, which alternate between inside and outside the data centre.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);
const FILES: usize = 40;
const FILE_BYTES: usize = 600;
/// Ethernet, IP and TCP headers (with time stamps) of a packet and of its acknowledgement.
const PACKET_BYTES: usize = 2 * 66;
/// HTTP headers of a read of the store and of its answer.
const HTTP_BYTES: usize = 400;
const INITIAL_PEERS: usize = 3;
/// Time after which a peer that has not answered counts as failed.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

enum Event {
    Tick(usize, u64, bool),
    Poll(usize, u64),
    HeadRow(usize, u64, Option<Head>),
    Object(usize, u64, ObjectHash),
    Request {
        from: usize,
        to: usize,
        digest: Digest,
        heartbeats: HeartbeatBatch,
    },
    Reply {
        from: usize,
        to: usize,
        incarnation: u64,
        delta: Box<Delta>,
        heartbeats: HeartbeatBatch,
    },
    PeersTimeout(usize, u64),
    /// Checks whether the data centre has answered since this time.
    ContactTimeout(usize, u64, usize, Instant),
    /// Checks that a started VM serves at least this version.
    CheckStarted(usize, u64, u64),
    /// End of the fault: schedules a check of the current version after [`PROPAGATION_TARGET`].
    FaultEnded,
    Publish,
    Withdraw,
    Check {
        version: u64,
        mark: Option<Mark>,
        accepted: Instant,
    },
    Restart(usize),
}

struct Node {
    view: View,
    replica: Replica,
    started: Instant,
    incarnation: u64,
    centre: usize,
    fetching_since: Option<Instant>,
    served_version: u64,
    /// Last version that the baseline read.
    polled_version: u64,
    /// Withdrawals that no other VM is known to have received.
    unconfirmed: Vec<Mark>,
    /// When each data centre last answered.
    last_answer_at: IndexMap<usize, Instant>,
    bytes: usize,
    changes: usize,
}

pub(super) struct Fleet {
    setup: Setup,
    rng: StdRng,
    start: Instant,
    agenda: Agenda<Event>,
    nodes: Vec<Node>,
    names: IndexMap<Box<str>, usize>,
    list: Vec<ListedVm>,
    heads: Vec<Head>,
    published: Vec<Instant>,
    /// When each version was first in force on a VM.
    first_in_force: IndexMap<u64, Instant>,
    manifest: Manifest,
    objects: IndexMap<ObjectHash, Vec<u8>>,
    reads: Vec<u32>,
    tally: Tally,
}

fn size(message: &impl Serialize) -> usize {
    let bytes = bincode::DefaultOptions::new()
        .serialized_size(message)
        .unwrap_or(0);
    usize::try_from(bytes).unwrap_or(usize::MAX) + PACKET_BYTES
}

impl Fleet {
    pub(super) fn new(setup: Setup) -> Self {
        let start = Instant::now();
        let regions = if setup.centres > 6 { 46 } else { 3 };
        let list: Vec<ListedVm> = (0..setup.vms)
            .map(|n| ListedVm {
                vm: format!("vm-{n:04}").into(),
                data_centre: format!("dc-{}", n % setup.centres).into(),
                region: format!("region-{}", n % setup.centres % regions).into(),
                leaving: false,
            })
            .collect();
        let mut fleet = Self {
            setup,
            rng: StdRng::seed_from_u64(setup.seed),
            start,
            agenda: Agenda::new(start),
            nodes: Vec::new(),
            names: list
                .iter()
                .enumerate()
                .map(|(n, listed)| (listed.vm.clone(), n))
                .collect(),
            list,
            heads: Vec::new(),
            published: Vec::new(),
            first_in_force: IndexMap::new(),
            manifest: Manifest::default(),
            objects: IndexMap::new(),
            reads: vec![0; 2 + RUN_LENGTH.as_secs() as usize],
            tally: Tally::default(),
        };
        fleet.publish(FILES, start);
        for vm in 0..setup.vms {
            let node = fleet.node(vm, start);
            fleet.nodes.push(node);
        }
        for vm in 0..setup.vms {
            fleet.start_vm(vm);
            if matches!(setup.fault, Fault::Restarts | Fault::All) {
                let at = FAULT_PERIOD.0 / 2 + FAULT_PERIOD.1.mul_f64(fleet.rng.random::<f64>());
                fleet.agenda.after(at, Event::Restart(vm));
            }
        }
        fleet.agenda.after(FAULT_PERIOD.1, Event::FaultEnded);
        fleet.agenda.after(setup.interval, Event::Publish);
        if setup.method == Method::Gossip {
            fleet.agenda.after(setup.interval, Event::Withdraw);
        }
        fleet
    }

    fn node(&mut self, vm: usize, now: Instant) -> Node {
        let ListedVm {
            vm: name,
            data_centre,
            region,
            ..
        } = self.list[vm].clone();
        let incarnation = self.rng.random();
        let identity = Identity {
            vm: name,
            data_centre,
            region,
            incarnation,
        };
        let mut view = View::new(identity, Settings::default());
        view.apply_list(&self.list, now);
        Node {
            view,
            replica: Replica::new([], now),
            started: now,
            incarnation,
            centre: vm % self.setup.centres,
            fetching_since: None,
            served_version: 0,
            polled_version: 0,
            unconfirmed: Vec::new(),
            last_answer_at: IndexMap::new(),
            bytes: 0,
            changes: 0,
        }
    }

    /// Starts the timers of a VM with empty memory, and its requests to the store and some peers.
    fn start_vm(&mut self, vm: usize) {
        let incarnation = self.nodes[vm].incarnation;
        let offset = EXCHANGE_INTERVAL.mul_f64(self.rng.random());
        self.agenda
            .after(offset, Event::Tick(vm, incarnation, true));
        self.agenda
            .after(Duration::ZERO, Event::Poll(vm, incarnation));
        if self.setup.method == Method::Gossip {
            let peers = self.initial_peers(vm);
            let names = peers.iter().map(|peer| self.list[*peer].vm.clone());
            self.nodes[vm].replica = Replica::new(names, self.agenda.now());
            for peer in peers {
                self.send_digest(vm, peer, true);
            }
            let version = self.required_version(vm, self.agenda.now());
            self.agenda.after(
                PROPAGATION_TARGET,
                Event::CheckStarted(vm, incarnation, version),
            );
            self.agenda
                .after(ANSWER_TIMEOUT, Event::PeersTimeout(vm, incarnation));
        }
    }

    pub(super) fn run(mut self) -> Tally {
        let mut settled = false;
        while let Some((now, event)) = self.agenda.take() {
            if now >= self.start + RUN_LENGTH {
                break;
            }
            if !settled && now >= self.start + PROPAGATION_TARGET {
                settled = true;
                self.reset_traffic();
            }
            self.handle(event, now);
        }
        let (vms, seconds) = (
            self.nodes.len() as f64,
            (RUN_LENGTH - PROPAGATION_TARGET).as_secs_f64(),
        );
        let bytes = self.nodes.iter().map(|node| node.bytes);
        let busiest = bytes.clone().max().unwrap_or(0);
        self.tally.bytes = (
            bytes.sum::<usize>() as f64 / vms / seconds,
            busiest as f64 / seconds,
        );
        let end = self.agenda.now();
        let members = self
            .nodes
            .iter()
            .filter(|node| node.view.role(end) == Role::Member);
        let busiest = members.map(|node| node.bytes).max().unwrap_or(0);
        self.tally.member_bytes = busiest as f64 / seconds;
        let changes: usize = self.nodes.iter().map(|node| node.changes).sum();
        self.tally.published = self.heads.len() as u64;
        let settled = self.start + PROPAGATION_TARGET;
        let changes_published = self.published.iter().filter(|at| **at >= settled).count() as f64;
        self.tally.bytes_per_change = changes as f64 / vms / changes_published;
        self.tally.reads = self.reads.iter().skip(2).copied().max().unwrap_or(0);
        self.tally
    }

    /// Resets the counts of traffic after the start, when all VMs fetch full copies at once.
    fn reset_traffic(&mut self) {
        for node in &mut self.nodes {
            (node.bytes, node.changes) = (0, 0);
        }
    }

    fn link_delay(&self, one: usize, two: usize) -> Duration {
        let same_region = self.list[one].region == self.list[two].region;
        Duration::from_micros(if same_region { 500 } else { 12_000 })
    }

    fn handle(&mut self, event: Event, now: Instant) {
        match event {
            Event::Tick(vm, incarnation, _)
            | Event::Poll(vm, incarnation)
            | Event::HeadRow(vm, incarnation, _)
            | Event::Object(vm, incarnation, _)
            | Event::PeersTimeout(vm, incarnation)
            | Event::ContactTimeout(vm, incarnation, ..)
            | Event::CheckStarted(vm, incarnation, _)
            | Event::Reply {
                to: vm,
                incarnation,
                ..
            } if incarnation != self.nodes[vm].incarnation => {}
            Event::Tick(vm, incarnation, local) => {
                self.agenda
                    .after(EXCHANGE_INTERVAL, Event::Tick(vm, incarnation, !local));
                self.tick(vm, local, now);
            }
            Event::Poll(vm, incarnation) => self.poll(vm, incarnation, now),
            Event::HeadRow(vm, _, head) => self.handle_head(vm, head, now),
            Event::Object(vm, _, hash) => {
                let before = self.nodes[vm].replica.tracker.version();
                let content = &self.objects[&hash];
                self.nodes[vm].bytes += content.len() + HTTP_BYTES + PACKET_BYTES;
                self.nodes[vm].changes += content.len() + HTTP_BYTES + PACKET_BYTES;
                self.nodes[vm]
                    .replica
                    .tracker
                    .receive_object(&hash, content);
                self.record_update(vm, before, false, now);
            }
            Event::Request {
                from,
                to,
                digest,
                heartbeats,
            } => self.handle_digest(from, to, &digest, &heartbeats, now),
            Event::Reply {
                from,
                to,
                delta,
                heartbeats,
                ..
            } => {
                let node = &mut self.nodes[to];
                node.bytes += size(&(&delta, &heartbeats));
                if delta.change.is_some() || !delta.objects.is_empty() {
                    node.changes += size(&delta);
                }
                node.view.record_batch(&heartbeats, now);
                let before = node.replica.tracker.version();
                let centre = from % self.setup.centres;
                node.last_answer_at.insert(centre, now);
                node.view.record_contact(&self.list[from].data_centre, true);
                let applied = node.replica.apply(&self.list[from].vm, *delta);
                let confirmed = if applied.marks_equal {
                    std::mem::take(&mut node.unconfirmed)
                } else {
                    Vec::new()
                };
                for mark in confirmed {
                    let check = Event::Check {
                        version: to as u64,
                        mark: Some(mark),
                        accepted: now,
                    };
                    self.agenda.after(PROPAGATION_TARGET, check);
                }
                if applied.incomplete {
                    self.send_digest(to, from, false);
                }
                self.record_update(to, before, !applied.marks.is_empty(), now);
            }
            Event::ContactTimeout(vm, _, centre, since) => {
                let node = &mut self.nodes[vm];
                if node
                    .last_answer_at
                    .get(&centre)
                    .is_none_or(|at| *at < since)
                {
                    node.view
                        .record_contact(&self.list[centre].data_centre, false);
                }
            }
            Event::PeersTimeout(vm, _) => {
                let before = self.nodes[vm].replica.tracker.version();
                let others = self.next_peers(vm, now);
                let names: Vec<_> = others.iter().map(|vm| self.list[*vm].vm.clone()).collect();
                self.nodes[vm].replica.tracker.replace_peers(names);
                for other in others {
                    self.send_digest(vm, other, true);
                }
                self.record_update(vm, before, false, now);
            }
            Event::CheckStarted(vm, _, version) => {
                let readiness = self.nodes[vm].replica.tracker.readiness();
                let ready = matches!(readiness, Readiness::Ready(served) if served >= version);
                self.tally.checked += 1;
                self.tally.late += u32::from(!ready);
            }
            Event::FaultEnded => {
                let version = self.heads.len() as u64;
                let check = Event::Check {
                    version,
                    mark: None,
                    accepted: now,
                };
                self.agenda.after(PROPAGATION_TARGET, check);
            }
            Event::Publish => {
                self.agenda.after(self.setup.interval, Event::Publish);
                if !self.is_store_down(now) {
                    self.publish(1, now);
                    let version = self.heads.len() as u64;
                    self.agenda.after(
                        PROPAGATION_TARGET,
                        Event::Check {
                            version,
                            mark: None,
                            accepted: now,
                        },
                    );
                }
            }
            Event::Withdraw => {
                self.agenda.after(self.setup.interval, Event::Withdraw);
                let digest = Key::generate(&mut self.rng).digest(&Pepper::derive("experiment"));
                let vm = self.rng.random_range(0..self.nodes.len());
                let mark = Mark::Withdrawn(digest);
                self.nodes[vm].replica.marks.add(mark.clone());
                self.nodes[vm].unconfirmed.push(mark);
                self.announce(vm, true);
            }
            Event::Check {
                version,
                mark,
                accepted,
            } => self.check(version, mark.as_ref(), accepted, now),
            Event::Restart(vm) => {
                let fresh = self.node(vm, now);
                let old = std::mem::replace(&mut self.nodes[vm], fresh);
                let node = &mut self.nodes[vm];
                (node.served_version, node.bytes, node.changes) =
                    (old.served_version, old.bytes, old.changes);
                self.start_vm(vm);
            }
        }
    }
}
