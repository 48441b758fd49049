//! VMs, links and store of the experiment.

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

const LENGTH: Duration = Duration::from_secs(30);
const FAULT: (Duration, Duration) = (Duration::from_secs(10), Duration::from_secs(20));
/// Time within which a version has to be in force.
const TARGET: Duration = Duration::from_secs(4);
/// Interval of exchanges: inside the data centre at every second one.
const TICK: Duration = Duration::from_millis(500);
const FILES: usize = 40;
const FILE_BYTES: usize = 600;
/// Headers of an Ethernet, IP and TCP packet with time stamps, and those of its acknowledgement.
const PACKET: usize = 2 * 66;
/// HTTP headers of a read of the store and its answer.
const HTTP: usize = 400;
const PEERS_ASKED: usize = 3;
/// Time after which a peer that has not answered counts as failed.
const ANSWER: Duration = Duration::from_millis(500);

enum Event {
    Tick(usize, u64, bool),
    Poll(usize, u64),
    Row(usize, u64, Option<Head>),
    Object(usize, u64, ObjectHash),
    Ask {
        from: usize,
        to: usize,
        digest: Digest,
        beats: HeartbeatBatch,
    },
    Reply {
        from: usize,
        to: usize,
        run: u64,
        delta: Box<Delta>,
        beats: HeartbeatBatch,
    },
    Silence(usize, u64),
    /// Checks that the data centre answered since this time.
    Unanswered(usize, u64, usize, Instant),
    /// Checks that a VM that started serves at least this version.
    Awake(usize, u64, u64),
    /// Checks, [`TARGET`] after the fault, the version of that time.
    Healed,
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
    run: u64,
    centre: usize,
    fetching_since: Option<Instant>,
    served: u64,
    /// Version that the baseline took last.
    taken: u64,
    /// Withdrawals that no other VM is known to have.
    unconfirmed: Vec<Mark>,
    /// When a data centre last answered.
    answered: IndexMap<usize, Instant>,
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
    first: IndexMap<u64, Instant>,
    manifest: Manifest,
    objects: IndexMap<ObjectHash, Vec<u8>>,
    reads: Vec<u32>,
    tally: Tally,
}

fn size(message: &impl Serialize) -> usize {
    let bytes = bincode::DefaultOptions::new()
        .serialized_size(message)
        .unwrap_or(0);
    usize::try_from(bytes).unwrap_or(usize::MAX) + PACKET
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
            first: IndexMap::new(),
            manifest: Manifest::default(),
            objects: IndexMap::new(),
            reads: vec![0; 2 + LENGTH.as_secs() as usize],
            tally: Tally::default(),
        };
        fleet.publish(FILES, start);
        for vm in 0..setup.vms {
            let node = fleet.node(vm, start);
            fleet.nodes.push(node);
        }
        for vm in 0..setup.vms {
            fleet.begin(vm);
            if matches!(setup.fault, Fault::Restarts | Fault::All) {
                let at = FAULT.0 / 2 + FAULT.1.mul_f64(fleet.rng.random::<f64>());
                fleet.agenda.after(at, Event::Restart(vm));
            }
        }
        fleet.agenda.after(FAULT.1, Event::Healed);
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
        let run = self.rng.random();
        let place = Identity {
            vm: name,
            data_centre,
            region,
            incarnation: run,
        };
        let mut view = View::new(place, Settings::default());
        view.apply_list(&self.list, now);
        Node {
            view,
            replica: Replica::new([], now),
            started: now,
            run,
            centre: vm % self.setup.centres,
            fetching_since: None,
            served: 0,
            taken: 0,
            unconfirmed: Vec::new(),
            answered: IndexMap::new(),
            bytes: 0,
            changes: 0,
        }
    }

    /// Starts the timers of a VM with empty memory and asks the store and some peers.
    fn begin(&mut self, vm: usize) {
        let run = self.nodes[vm].run;
        let offset = TICK.mul_f64(self.rng.random());
        self.agenda.after(offset, Event::Tick(vm, run, true));
        self.agenda.after(Duration::ZERO, Event::Poll(vm, run));
        if self.setup.method == Method::Gossip {
            let peers = self.fresh_peers(vm);
            let names = peers.iter().map(|peer| self.list[*peer].vm.clone());
            self.nodes[vm].replica = Replica::new(names, self.agenda.now());
            for peer in peers {
                self.ask(vm, peer, true);
            }
            let version = self.learnable(vm, self.agenda.now());
            self.agenda.after(TARGET, Event::Awake(vm, run, version));
            self.agenda.after(ANSWER, Event::Silence(vm, run));
        }
    }

    pub(super) fn run(mut self) -> Tally {
        let mut settled = false;
        while let Some((now, event)) = self.agenda.take() {
            if now >= self.start + LENGTH {
                break;
            }
            if !settled && now >= self.start + TARGET {
                settled = true;
                self.settle();
            }
            self.handle(event, now);
        }
        let (vms, seconds) = (self.nodes.len() as f64, (LENGTH - TARGET).as_secs_f64());
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
        let settled = self.start + TARGET;
        let changes_published = self.published.iter().filter(|at| **at >= settled).count() as f64;
        self.tally.bytes_per_change = changes as f64 / vms / changes_published;
        self.tally.reads = self.reads.iter().skip(2).copied().max().unwrap_or(0);
        self.tally
    }

    /// Forgets the traffic of the start, when all VMs fetch full copies at once.
    fn settle(&mut self) {
        for node in &mut self.nodes {
            (node.bytes, node.changes) = (0, 0);
        }
    }

    fn link_delay(&self, one: usize, two: usize) -> Duration {
        let near = self.list[one].region == self.list[two].region;
        Duration::from_micros(if near { 500 } else { 12_000 })
    }

    fn handle(&mut self, event: Event, now: Instant) {
        match event {
            Event::Tick(vm, run, _)
            | Event::Poll(vm, run)
            | Event::Row(vm, run, _)
            | Event::Object(vm, run, _)
            | Event::Silence(vm, run)
            | Event::Unanswered(vm, run, ..)
            | Event::Awake(vm, run, _)
            | Event::Reply { to: vm, run, .. }
                if run != self.nodes[vm].run => {}
            Event::Tick(vm, run, inside) => {
                self.agenda.after(TICK, Event::Tick(vm, run, !inside));
                self.tick(vm, inside, now);
            }
            Event::Poll(vm, run) => self.poll(vm, run, now),
            Event::Row(vm, _, head) => self.row(vm, head, now),
            Event::Object(vm, _, hash) => {
                let before = self.nodes[vm].replica.tracker.version();
                let content = &self.objects[&hash];
                self.nodes[vm].bytes += content.len() + HTTP + PACKET;
                self.nodes[vm].changes += content.len() + HTTP + PACKET;
                self.nodes[vm]
                    .replica
                    .tracker
                    .receive_object(&hash, content);
                self.after(vm, before, false, now);
            }
            Event::Ask {
                from,
                to,
                digest,
                beats,
            } => self.answer(from, to, &digest, &beats, now),
            Event::Reply {
                from,
                to,
                delta,
                beats,
                ..
            } => {
                let node = &mut self.nodes[to];
                node.bytes += size(&(&delta, &beats));
                if delta.change.is_some() || !delta.objects.is_empty() {
                    node.changes += size(&delta);
                }
                node.view.record_batch(&beats, now);
                let before = node.replica.tracker.version();
                let centre = from % self.setup.centres;
                node.answered.insert(centre, now);
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
                    self.agenda.after(TARGET, check);
                }
                if applied.incomplete {
                    self.ask(to, from, false);
                }
                self.after(to, before, !applied.marks.is_empty(), now);
            }
            Event::Unanswered(vm, _, centre, since) => {
                let node = &mut self.nodes[vm];
                if node.answered.get(&centre).is_none_or(|at| *at < since) {
                    node.view
                        .record_contact(&self.list[centre].data_centre, false);
                }
            }
            Event::Silence(vm, _) => {
                let before = self.nodes[vm].replica.tracker.version();
                let others = self.others(vm, now);
                let names: Vec<_> = others.iter().map(|vm| self.list[*vm].vm.clone()).collect();
                self.nodes[vm].replica.tracker.replace_peers(names);
                for other in others {
                    self.ask(vm, other, true);
                }
                self.after(vm, before, false, now);
            }
            Event::Awake(vm, _, version) => {
                let readiness = self.nodes[vm].replica.tracker.readiness();
                let ready = matches!(readiness, Readiness::Ready(served) if served >= version);
                self.tally.checked += 1;
                self.tally.late += u32::from(!ready);
            }
            Event::Healed => {
                let version = self.heads.len() as u64;
                let check = Event::Check {
                    version,
                    mark: None,
                    accepted: now,
                };
                self.agenda.after(TARGET, check);
            }
            Event::Publish => {
                self.agenda.after(self.setup.interval, Event::Publish);
                if !self.outage(now) {
                    self.publish(1, now);
                    let version = self.heads.len() as u64;
                    self.agenda.after(
                        TARGET,
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
                (node.served, node.bytes, node.changes) = (old.served, old.bytes, old.changes);
                self.begin(vm);
            }
        }
    }
}
