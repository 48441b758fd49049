//! VMs, links and store of the experiment.

use super::{Fault, Method, Setup, Tally};
use crate::agenda::Agenda;
use bincode::Options;
use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use std::time::{Duration, Instant};
use steering::config::{
    Delta, Digest, Hash, Head, Manifest, Mark, Poll, Publication, Readiness, Replica, head,
};
use steering::keys::{Key, Pepper};
use steering::membership::{Listed, Place, Pulse, Role, Settings, View};

const LENGTH: Duration = Duration::from_secs(30);
const FAULT: (Duration, Duration) = (Duration::from_secs(10), Duration::from_secs(20));
/// Time within which a version has to be in force.
const TARGET: Duration = Duration::from_secs(4);
/// Interval of exchanges: inside the data centre at every second one.
const TICK: Duration = Duration::from_millis(500);
/// Peers that are told at once of something new, in the own data centre and in others.
const FANOUT: usize = 2;
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
    Object(usize, u64, Hash),
    Ask {
        from: usize,
        to: usize,
        digest: Digest,
        beats: Pulse,
    },
    Reply {
        from: usize,
        to: usize,
        run: u64,
        delta: Box<Delta>,
        beats: Pulse,
    },
    Silence(usize, u64),
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
    list: Vec<Listed>,
    heads: Vec<Head>,
    published: Vec<Instant>,
    manifest: Manifest,
    objects: IndexMap<Hash, Vec<u8>>,
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
        let list: Vec<Listed> = (0..setup.vms)
            .map(|n| Listed {
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
            if setup.fault == Fault::Restarts {
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
        let Listed {
            vm: name,
            data_centre,
            region,
            ..
        } = self.list[vm].clone();
        let run = self.rng.random();
        let place = Place {
            vm: name,
            data_centre,
            region,
            incarnation: run,
        };
        let mut view = View::new(place, Settings::default());
        view.list(&self.list, now);
        Node {
            view,
            replica: Replica::new([], now),
            started: now,
            run,
            centre: vm % self.setup.centres,
            fetching_since: None,
            served: 0,
            taken: 0,
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
                self.ask(vm, peer);
            }
            let version = self.heads.len() as u64;
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

    fn failing(&self, now: Instant) -> bool {
        (FAULT.0..FAULT.1).contains(&(now - self.start))
    }

    fn reaches_store(&self, vm: usize, now: Instant) -> bool {
        let cut = match self.setup.fault {
            Fault::None | Fault::Restarts => false,
            Fault::StoreCut | Fault::Partition => self.nodes[vm].centre % 2 == 1,
            Fault::Outage => true,
        };
        !(cut && self.failing(now))
    }

    fn reaches(&self, one: usize, two: usize, now: Instant) -> bool {
        let apart = self.nodes[one].centre % 2 != self.nodes[two].centre % 2;
        !(apart && self.setup.fault == Fault::Partition && self.failing(now))
    }

    fn store_delay(&mut self) -> Duration {
        let slow = if self.rng.random_bool(0.05) {
            self.rng.random::<f64>()
        } else {
            0.0
        };
        Duration::from_secs_f64(0.015 + 0.03 * self.rng.random::<f64>() + slow)
    }

    fn link_delay(&self, one: usize, two: usize) -> Duration {
        let near = self.list[one].region == self.list[two].region;
        Duration::from_micros(if near { 500 } else { 12_000 })
    }

    /// Changes `count` files and writes the head.
    fn publish(&mut self, count: usize, now: Instant) {
        let mut next = self.manifest.clone();
        for _ in 0..count {
            let content: Vec<u8> = (0..FILE_BYTES).map(|_| self.rng.random()).collect();
            let name = if count == FILES {
                next.files.len()
            } else {
                self.heads.len() % FILES
            };
            let hash = head::hash(&content);
            next.files
                .insert(format!("services/{name}.yaml").into(), hash.clone());
            self.objects.insert(hash, content);
        }
        let operation = base::id::random(&mut self.rng);
        let base = self.heads.last();
        let publication = Publication::propose(base, &self.manifest, &next, "operator", operation);
        self.heads.push(publication.head().clone());
        self.published.push(now);
        self.objects.insert(next.root(), next.object().into());
        self.manifest = next;
    }

    fn handle(&mut self, event: Event, now: Instant) {
        match event {
            Event::Tick(vm, run, _)
            | Event::Poll(vm, run)
            | Event::Row(vm, run, _)
            | Event::Object(vm, run, _)
            | Event::Silence(vm, run)
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
                self.nodes[vm].replica.tracker.receive(&hash, content);
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
                node.view.take(&beats, now);
                let before = node.replica.tracker.version();
                let applied = node.replica.apply(&self.list[from].vm, *delta);
                if applied.incomplete {
                    self.ask(to, from);
                }
                self.after(to, before, !applied.marks.is_empty(), now);
            }
            Event::Silence(vm, _) => {
                let before = self.nodes[vm].replica.tracker.version();
                let others = self.others(vm, now);
                let names: Vec<_> = others.iter().map(|vm| self.list[*vm].vm.clone()).collect();
                self.nodes[vm].replica.tracker.peers_failed(names);
                for other in others {
                    self.ask(vm, other);
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
                if !(self.setup.fault == Fault::Outage && self.failing(now)) {
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
                self.nodes[vm].replica.sets.add(mark.clone());
                self.tell(vm, FANOUT, FANOUT);
                let check = Event::Check {
                    version: vm as u64,
                    mark: Some(mark),
                    accepted: now,
                };
                self.agenda.after(TARGET, check);
            }
            Event::Check {
                version,
                mark,
                accepted,
            } => self.check(version, mark, accepted, now),
            Event::Restart(vm) => {
                let fresh = self.node(vm, now);
                let old = std::mem::replace(&mut self.nodes[vm], fresh);
                let node = &mut self.nodes[vm];
                (node.served, node.bytes, node.changes) = (old.served, old.bytes, old.changes);
                self.begin(vm);
            }
        }
    }

    fn tick(&mut self, vm: usize, inside: bool, now: Instant) {
        if self.setup.method == Method::EachPolls {
            return;
        }
        self.nodes[vm].replica.tracker.elapse(now);
        let role = self.nodes[vm].view.role(now);
        let crosses = role != Role::Member && !inside;
        self.tell(vm, usize::from(inside), usize::from(crosses));
        let patience = Poll::default().fetch_after(role);
        let node = &mut self.nodes[vm];
        if node.replica.tracker.fetching() == 0 {
            node.fetching_since = None;
        } else if now >= *node.fetching_since.get_or_insert(now) + patience {
            self.fetch(vm, now);
        }
    }

    /// Draws random peers inside and outside the data centre.
    fn peers(&mut self, vm: usize, near: usize, far: usize) -> Vec<usize> {
        let view = &self.nodes[vm].view;
        let near = view.near(near, &mut self.rng);
        let far = view.far(far, &mut self.rng);
        let far = far.into_iter().map(|(_, contact)| &contact.vm);
        near.into_iter()
            .chain(far)
            .map(|name| self.names[name])
            .collect()
    }

    /// Draws the peers that a VM with empty memory asks.
    fn fresh_peers(&mut self, vm: usize) -> Vec<usize> {
        let mut peers = self.peers(vm, PEERS_ASKED - 1, 0);
        let rest = PEERS_ASKED - peers.len();
        peers.extend(self.peers(vm, 0, rest));
        peers
    }

    /// Returns whom a VM with empty memory asks next if no ready peer has answered.
    fn others(&mut self, vm: usize, now: Instant) -> Vec<usize> {
        let node = &self.nodes[vm];
        let run = node.run;
        if node.replica.tracker.peer_answered() || now >= node.started + TARGET / 2 {
            return Vec::new();
        }
        self.agenda.after(ANSWER, Event::Silence(vm, run));
        self.fresh_peers(vm)
    }

    /// Sends digests to random peers.
    fn tell(&mut self, vm: usize, near: usize, far: usize) {
        for peer in self.peers(vm, near, far) {
            self.ask(vm, peer);
        }
    }

    fn ask(&mut self, from: usize, to: usize) {
        let same = self.nodes[from].centre == self.nodes[to].centre;
        let node = &mut self.nodes[from];
        let digest = node.replica.digest();
        let beats = if same {
            node.view.pulse(&[])
        } else {
            Pulse::default()
        };
        node.bytes += size(&(&digest, &beats));
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

    fn answer(&mut self, from: usize, to: usize, digest: &Digest, beats: &Pulse, now: Instant) {
        if !self.reaches(from, to, now) {
            return;
        }
        let same = self.nodes[from].centre == self.nodes[to].centre;
        let node = &mut self.nodes[to];
        node.bytes += size(&(digest, beats));
        node.view.take(beats, now);
        let delta = Box::new(node.replica.answer(digest));
        let beats = if same {
            node.view.pulse(&beats.unknown)
        } else {
            Pulse::default()
        };
        node.bytes += size(&(&delta, &beats));
        let lags = node.replica.asks_back(digest, now);
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
            self.ask(to, from);
        }
    }

    fn poll(&mut self, vm: usize, run: u64, now: Instant) {
        let fresh = now == self.nodes[vm].started;
        let role = match self.setup.method {
            Method::Gossip => self.nodes[vm].view.role(now),
            Method::EachPolls => Role::Reader,
        };
        let next = Poll::default().next(role, &mut self.rng);
        // A member looks again at its role after the time in which a silent reader is noticed.
        let next_look = next.unwrap_or(Duration::from_secs(1));
        self.agenda.after(next_look, Event::Poll(vm, run));
        if next.is_none() && !fresh {
            return;
        }
        let delay = self.store_delay();
        let head = self.reaches_store(vm, now).then(|| {
            self.reads[(now - self.start).as_secs() as usize] += 1;
            let back = if self.rng.random_bool(0.2) {
                self.rng.random_range(1..4)
            } else {
                0
            };
            self.heads[self.heads.len().saturating_sub(1 + back)].clone()
        });
        let row = head
            .as_ref()
            .map_or(0, |head| serde_json::to_vec(head).map_or(0, |v| v.len()));
        self.nodes[vm].bytes += row + HTTP + PACKET;
        self.agenda.after(delay, Event::Row(vm, run, head));
    }

    fn row(&mut self, vm: usize, head: Option<Head>, now: Instant) {
        let node = &mut self.nodes[vm];
        let before = node.replica.tracker.version();
        if let Some(head) = &head
            && self.setup.method == Method::EachPolls
        {
            self.tally.reverts += u32::from(head.version < node.taken);
            node.taken = head.version;
            return;
        }
        node.replica
            .tracker
            .heard_store(head.as_ref().map(|head| head.version));
        if let Some(head) = head {
            let (since, changed) = (head.base, head.changed.clone());
            node.replica.tracker.offer(head, since, &changed);
            node.fetching_since.get_or_insert(now);
            if node.view.role(now) == Role::Reader {
                self.fetch(vm, now);
            }
        }
        self.after(vm, before, false, now);
    }

    fn fetch(&mut self, vm: usize, now: Instant) {
        if !self.reaches_store(vm, now) {
            return;
        }
        let run = self.nodes[vm].run;
        for hash in self.nodes[vm].replica.tracker.missing() {
            self.reads[(now - self.start).as_secs() as usize] += 1;
            let delay = self.store_delay();
            self.agenda.after(delay, Event::Object(vm, run, hash));
        }
    }

    /// Tells peers at once if something is new, and watches the served version.
    fn after(&mut self, vm: usize, before: u64, marks: bool, now: Instant) {
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
            }
            let far = if node.view.role(now) == Role::Member {
                0
            } else {
                FANOUT
            };
            self.tell(vm, FANOUT, far);
        }
    }

    /// Checks, 4 s after a version was accepted or a key withdrawn, each VM that could learn of
    /// it all the time. VMs that could not are checked with the versions after the fault, which
    /// include it.
    fn check(&mut self, version: u64, mark: Option<Mark>, accepted: Instant, now: Instant) {
        for vm in 0..self.nodes.len() {
            let learnt = |fleet: &Self, at| match (&mark, fleet.setup.fault) {
                (Some(_), _) => fleet.reaches(vm, usize::try_from(version).unwrap_or(0), at),
                // The other half of the data centres passes versions on.
                (None, Fault::StoreCut) => true,
                (None, _) => fleet.reaches_store(vm, at),
            };
            let in_reach = [accepted, accepted + TARGET / 2, now]
                .iter()
                .all(|at| learnt(self, *at));
            let node = &self.nodes[vm];
            if !in_reach || node.started > accepted {
                continue;
            }
            match (&mark, self.setup.method) {
                (Some(mark), _) => {
                    self.tally.marks_checked += 1;
                    self.tally.marks_late += u32::from(!node.replica.sets.contains(mark));
                }
                (None, Method::Gossip) => {
                    self.tally.checked += 1;
                    self.tally.late += u32::from(node.replica.tracker.version() < version);
                }
                (None, Method::EachPolls) => {
                    self.tally.checked += 1;
                    self.tally.late += u32::from(node.taken < version);
                }
            }
        }
    }
}
