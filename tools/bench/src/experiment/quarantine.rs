//! Backend servers lost to a crashing request that its caller sends again to other VMs.

use crate::agenda::{Agenda, Network};
use indexmap::{IndexMap, IndexSet};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::{Duration, Instant};
use steering::attempt::Refusal;
use steering::quarantine::{Decision, Delta, Digest, QuarantineRegister, Settings, digest};

const DATA_CENTRES: usize = 6;
const VMS: usize = 12;
const SERVERS: usize = 12;
const SLOTS: usize = 3;
const MAX_SENDS: u32 = 30;
/// Callers whose requests crash nothing; each repeats its own request, as clients that poll do.
const INNOCENTS: usize = 200;
const GOSSIP_INTERVAL: Duration = Duration::from_millis(500);
const RUN_TIME: Duration = Duration::from_secs(60);

/// How crashing requests are treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Method {
    /// Baseline: no quarantine.
    Plain,
    /// Quarantine register, with replies at once instead of after the hold time.
    NoHold,
    /// Quarantine register with the hold time.
    Full,
}

/// What a crashing request cost.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Cost {
    /// Most backend servers lost in one data centre.
    pub worst_data_centre: usize,
    /// Backend servers lost in all.
    pub total: usize,
    /// Innocent digests quarantined.
    pub innocents_quarantined: usize,
    /// Longest time for which an innocent caller was refused without a single answer.
    pub longest_refusal: Duration,
}

#[derive(Debug, Clone)]
enum Event {
    Send(usize, usize),
    Finish(usize, usize, usize),
    Push(usize, Delta),
    Gossip(usize),
}

struct World {
    agenda: Agenda<Event>,
    rng: StdRng,
    method: Method,
    registers: Vec<QuarantineRegister>,
    /// Requests on each live server by caller, with the VM that sent them.
    servers: IndexMap<(usize, usize), Vec<(usize, usize)>>,
    lost: [usize; DATA_CENTRES],
    sends: u32,
    refused_since: IndexMap<usize, Instant>,
    longest_refusal: Duration,
    end: Instant,
}

/// Caller 0 sends the crashing request.
fn request(caller: usize) -> Digest {
    digest("atlas", "POST", "/permits", &caller.to_le_bytes())
}

fn data_centre_of(vm: usize) -> usize {
    vm % DATA_CENTRES
}

fn network(from: usize, to: usize) -> Network {
    let same_region = data_centre_of(from) / 2 == data_centre_of(to) / 2;
    Network {
        delay: Duration::from_micros(if same_region { 500 } else { 12_000 }),
        jitter: Duration::from_millis(5),
        loss: 0.05,
        duplication: 0.05,
    }
}

impl World {
    fn new(method: Method, seed: u64) -> Self {
        let start = Instant::now();
        let mut agenda = Agenda::new(start);
        let mut rng = StdRng::seed_from_u64(seed);
        for caller in 0..=INNOCENTS {
            let at = Duration::from_millis(rng.random_range(0..1000));
            agenda.after(at, Event::Send(caller, rng.random_range(0..VMS)));
        }
        (0..VMS).for_each(|vm| agenda.after(GOSSIP_INTERVAL, Event::Gossip(vm)));
        let name = |vm| format!("dc-{}", data_centre_of(vm)).into();
        let all = (0..DATA_CENTRES).flat_map(|dc| (0..SERVERS).map(move |s| ((dc, s), vec![])));
        Self {
            registers: (0..VMS)
                .map(|vm| QuarantineRegister::new(name(vm), Settings::default()))
                .collect(),
            agenda,
            rng,
            method,
            servers: all.collect(),
            lost: [0; DATA_CENTRES],
            sends: 0,
            refused_since: IndexMap::new(),
            longest_refusal: Duration::ZERO,
            end: start + RUN_TIME,
        }
    }

    /// Sends the caller's request again to a random VM after a pause, within the limits of the run.
    fn resend(&mut self, caller: usize, pause: Duration) {
        self.sends += u32::from(caller == 0);
        if self.agenda.now() + pause < self.end && (caller > 0 || self.sends < MAX_SENDS) {
            let vm = self.rng.random_range(0..VMS);
            self.agenda.after(pause, Event::Send(caller, vm));
        }
    }

    fn record_refusal(&mut self, caller: usize) {
        let now = self.agenda.now();
        let since = *self.refused_since.entry(caller).or_insert(now);
        if caller > 0 {
            self.longest_refusal = self.longest_refusal.max(now - since);
        }
        self.resend(caller, Duration::from_millis(500));
    }

    fn send(&mut self, caller: usize, vm: usize) {
        let now = self.agenda.now();
        // The first VM of each data centre by name is its trial coordinator.
        let coordinator = vm < DATA_CENTRES;
        let admit = match self.method {
            Method::Plain => Decision::Run,
            _ => self.registers[vm].admit(&request(caller), coordinator, now),
        };
        match admit {
            Decision::Run => self.run(caller, vm, false),
            Decision::Trial => self.run(caller, vm, true),
            Decision::Forward(dc) => {
                let coordinator = dc.strip_prefix("dc-").and_then(|n| n.parse().ok());
                let coordinator = coordinator.unwrap_or_default();
                let delay = network(vm, coordinator).delay;
                self.agenda.after(delay, Event::Send(caller, coordinator));
            }
            Decision::Refuse(Refusal::Quarantined | Refusal::Suspected) => {
                self.record_refusal(caller);
            }
            Decision::Refuse(_) => unreachable!("the register refuses for two reasons only"),
        }
    }

    fn run(&mut self, caller: usize, vm: usize, trial: bool) {
        let live = self
            .servers
            .keys()
            .filter(|(dc, _)| *dc == data_centre_of(vm));
        let mut live: Vec<_> = live.copied().collect();
        // The trial server is the first live one by name.
        let reserves = self.method != Method::Plain && self.registers[vm].needs_trial_server();
        let reserved = reserves.then(|| live.remove(0));
        let server = match (trial, reserved) {
            (true, Some(server)) => Some(server),
            _ => {
                let free = |key: &&(usize, usize)| self.servers[*key].len() < SLOTS;
                let free: Vec<_> = live.iter().filter(free).copied().collect();
                (!free.is_empty()).then(|| free[self.rng.random_range(0..free.len())])
            }
        };
        let Some(server) = server else {
            return self.resend(caller, Duration::from_millis(50));
        };
        if trial {
            assert!(self.servers[&server].is_empty(), "a trial runs alone");
        }
        self.servers[&server].push((caller, vm));
        let service_time = Duration::from_millis(self.rng.random_range(20..400));
        let (dc, index) = server;
        self.agenda
            .after(service_time, Event::Finish(caller, dc, index));
    }

    fn finish(&mut self, caller: usize, server: (usize, usize)) {
        let Some(running) = self.servers.get_mut(&server) else {
            return;
        };
        let Some(position) = running.iter().position(|(c, _)| *c == caller) else {
            return;
        };
        if caller == 0 {
            return self.crash(server);
        }
        let (_, vm) = running.swap_remove(position);
        self.registers[vm].record_answer(&request(caller));
        self.refused_since.swap_remove(&caller);
        self.resend(caller, Duration::from_millis(100));
    }

    fn crash(&mut self, server: (usize, usize)) {
        let now = self.agenda.now();
        self.lost[server.0] += 1;
        let victims = self.servers.shift_remove(&server).unwrap_or_default();
        let vms: IndexSet<usize> = victims.iter().map(|(_, vm)| *vm).collect();
        for vm in vms {
            let theirs = victims.iter().filter(|(_, v)| *v == vm);
            let digests: Vec<_> = theirs.map(|(caller, _)| request(*caller)).collect();
            self.registers[vm].record_crash(&digests, now);
            self.push(vm);
        }
        let hold = match self.method {
            Method::Full => Settings::default().hold,
            _ => Duration::ZERO,
        };
        victims
            .iter()
            .for_each(|(caller, _)| self.resend(*caller, hold));
    }

    fn push(&mut self, from: usize) {
        let delta = self.registers[from].delta().clone();
        for to in (0..VMS).filter(|&to| to != from) {
            for delay in network(from, to).deliveries(&mut self.rng) {
                self.agenda.after(delay, Event::Push(to, delta.clone()));
            }
        }
    }

    fn step(&mut self, now: Instant, event: Event) {
        match event {
            Event::Send(caller, vm) => self.send(caller, vm),
            Event::Finish(caller, dc, server) => self.finish(caller, (dc, server)),
            Event::Push(vm, delta) => self.registers[vm].merge(&delta, now),
            Event::Gossip(vm) => {
                self.push(vm);
                if now < self.end {
                    self.agenda.after(GOSSIP_INTERVAL, Event::Gossip(vm));
                }
            }
        }
    }
}

/// Runs the experiment with one crashing request among innocent ones.
pub fn run(method: Method, seed: u64) -> Cost {
    let mut world = World::new(method, seed);
    while let Some((now, event)) = world.agenda.take() {
        world.step(now, event);
    }
    let innocent = |caller: &usize| {
        let refused = |register: &QuarantineRegister| register.quarantined(&request(*caller));
        world.registers.iter().any(refused)
    };
    Cost {
        worst_data_centre: world.lost.into_iter().max().unwrap_or_default(),
        total: world.lost.iter().sum(),
        innocents_quarantined: (1..=INNOCENTS).filter(innocent).count(),
        longest_refusal: world.longest_refusal,
    }
}

/// Returns the table of all methods and seeds.
pub fn report() -> Box<str> {
    let mut text = String::from("method seed worst-dc total innocents longest-refusal\n");
    for method in [Method::Plain, Method::NoHold, Method::Full] {
        for seed in 1..=5 {
            let c = run(method, seed);
            text += &format!(
                "{method:?} {seed} {} {} {} {:?}\n",
                c.worst_data_centre, c.total, c.innocents_quarantined, c.longest_refusal
            );
        }
    }
    text.into()
}
