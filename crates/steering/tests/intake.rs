//! Limits that servers name, kept by all VMs together, in simulated time.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use std::collections::VecDeque;
use std::time::{Duration, Instant};
use steering::affinity::{Digest, digest};
use steering::intake::{Candidate, Holders, Intake, Place};
use steering::notice::Origin;

/// Length of the windows in which the operator counts requests, in ms.
const WINDOW: u64 = 4_000;
/// Time after its first word from which a server's limit binds all VMs together, in ms.
const CONTACT: u64 = 3_000;
/// Time from an answer with the limit after which its VM is bound by it, in ms.
const TOLD: u64 = 500;
/// Simulated time between two steps, in ms.
const STEP: u64 = 10;
/// Time until an answer arrives, in ms.
const ANSWER_TIME: u64 = 200;
/// Time between two reports of a VM, and until one arrives, in ms.
const REPORT_INTERVAL: u64 = 500;
const REPORT_TIME: u64 = 60;
/// Time without a report after which a VM counts as down, in ms.
const DOWN_TIME: u64 = 1_800;
/// Time at which the server names its limit, in ms.
const NAMED_AT: u64 = 5_000;

/// How the VMs decide whether they send.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Decision {
    /// As the product does.
    Held,
    /// Each VM keeps the whole limit by itself, as if it were alone.
    Alone,
}

struct Vm {
    name: String,
    region: Digest,
    /// VMs of one group hear each other.
    group: usize,
    is_up: bool,
    holders: Holders,
    intake: Intake,
    /// When each VM was last heard, in ms.
    heard: Vec<Option<u64>>,
    /// When the server first told this process its limit, in ms.
    told_at: Option<u64>,
}

struct World {
    start: Instant,
    now: u64,
    server: Digest,
    region: Digest,
    decision: Decision,
    vms: Vec<Vm>,
    /// Requests a second that the server takes; none before it names a limit and after it.
    limit: Option<f64>,
    /// Arrival of answers: time, VM, limit, time of the send.
    answers: VecDeque<(u64, usize, Option<f64>, u64)>,
    /// Arrivals from VMs that the server had told its limit half a second before: time and VM.
    sends: Vec<(u64, usize)>,
    random: StdRng,
}

fn new_vm(number: usize, vms: usize) -> Vm {
    let name = format!("vm-{number}");
    Vm {
        holders: Holders::new(&name),
        name,
        region: digest(["nord", "centre", "sud"][number % 3]),
        group: 0,
        is_up: true,
        intake: Intake::default(),
        heard: vec![None; vms],
        told_at: None,
    }
}

impl World {
    fn new(vms: usize, decision: Decision, seed: u64) -> Self {
        Self {
            start: Instant::now(),
            now: 0,
            server: digest("server"),
            region: digest("nord"),
            decision,
            vms: (0..vms).map(|number| new_vm(number, vms)).collect(),
            limit: None,
            answers: VecDeque::new(),
            sends: Vec::new(),
            random: StdRng::seed_from_u64(seed),
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    /// Replaces the process of a VM by a new one.
    fn restart(&mut self, number: usize) {
        let group = self.vms[number].group;
        let vms = self.vms.len();
        self.vms[number] = Vm {
            group,
            ..new_vm(number, vms)
        };
    }

    fn place(&mut self, number: usize) -> Place {
        let now = self.at(self.now);
        if self.vms[number].holders.is_expired(now) {
            let vm = &self.vms[number];
            let is_up = |heard: Option<u64>| heard.is_some_and(|at| self.now < at + DOWN_TIME);
            let others =
                (0..self.vms.len()).filter(|other| *other == number || is_up(vm.heard[*other]));
            let alive: Vec<Candidate> = others
                .map(|other| Candidate {
                    vm: digest(&self.vms[other].name),
                    region: self.vms[other].region,
                    is_ready: true,
                })
                .collect();
            let members = self.vms.len();
            self.vms[number].holders.set_view(alive, members, now);
        }
        let (server, region) = (self.server, self.region);
        self.vms[number].holders.place(server, region, now)
    }

    /// Lets each VM send a request with this probability, and exchange reports.
    fn step(&mut self, demand: f64) {
        while let Some((at, vm, limit, sent)) = self.answers.front().copied() {
            if at > self.now {
                break;
            }
            self.answers.pop_front();
            let said_at = limit.map_or(self.at(sent), |_| self.at(at));
            let vm = &mut self.vms[vm];
            let random = &mut self.random;
            vm.intake.record(limit, said_at, Origin::Answer, random);
            if limit.is_some() {
                vm.told_at.get_or_insert(at);
            }
        }
        for number in 0..self.vms.len() {
            if !self.vms[number].is_up {
                continue;
            }
            let phase = (self.now + number as u64 * 7) / STEP;
            if phase.is_multiple_of(REPORT_INTERVAL / STEP) {
                self.report(number);
            }
            if !self.random.random_bool(demand) {
                continue;
            }
            let now = self.at(self.now);
            let place = match self.decision {
                Decision::Held => self.place(number),
                Decision::Alone => Place {
                    rank: Some(0),
                    ready: 1,
                    members: 1,
                },
            };
            let vm = &mut self.vms[number];
            if !vm.intake.allows(&place, now) {
                continue;
            }
            vm.intake.record_send(&place, now, &mut self.random);
            if vm.told_at.is_some_and(|at| self.now >= at + TOLD) {
                self.sends.push((self.now, number));
            }
            let answer = (self.now + ANSWER_TIME, number, self.limit, self.now);
            self.answers.push_back(answer);
        }
        self.now += STEP;
    }

    /// Lets the other VMs of its group hear a VM and its word on the server.
    fn report(&mut self, number: usize) {
        let (group, word) = (self.vms[number].group, self.vms[number].intake.word());
        let heard_at = self.now + REPORT_TIME;
        for other in 0..self.vms.len() {
            if other == number || !self.vms[other].is_up || self.vms[other].group != group {
                continue;
            }
            self.vms[other].heard[number] = Some(heard_at);
            if let Some((rate, said_at, Origin::Answer)) = word {
                let said_at = said_at + Duration::from_millis(REPORT_TIME);
                let random = &mut self.random;
                self.vms[other]
                    .intake
                    .record(rate, said_at, Origin::Peer, random);
            }
        }
    }

    fn run_until(&mut self, until: u64, demand: f64) {
        while self.now < until {
            self.step(demand);
        }
    }

    /// Returns the most requests in any window from `from` that VMs outside `excused` sent.
    fn most_in_window(&self, from: u64, excused: &[usize]) -> usize {
        let counted = self.sends.iter();
        let counted = counted.filter(|(at, vm)| *at >= from && !excused.contains(vm));
        let times: Vec<u64> = counted.map(|(at, _)| *at).collect();
        let mut end = 0;
        let mut most = 0;
        for (begin, at) in times.iter().enumerate() {
            while end < times.len() && times[end] < at + WINDOW {
                end += 1;
            }
            most = most.max(end - begin);
        }
        most
    }
}

/// Returns how many requests the operator allows in a window.
fn allowed(rate: f64) -> usize {
    (1.5 * rate * WINDOW as f64 / 1_000.0) as usize + 5
}

/// Probability of a request in a step that gives each VM several times what the server takes.
const PRESS: f64 = 0.3;

/// Guards against a limit that each VM keeps by itself, and against one that is kept by sending
/// nothing.
#[rstest]
fn all_vms_together_keep_a_limit(
    #[values(3, 11, 300)] vms: usize,
    #[values(0.5, 1.4, 2.2, 20.0)] rate: f64,
) {
    let mut world = World::new(vms, Decision::Held, 1);
    world.run_until(NAMED_AT, PRESS);
    world.limit = Some(rate);
    world.run_until(NAMED_AT + CONTACT + 30_000, PRESS);
    let most = world.most_in_window(NAMED_AT + CONTACT, &[]);
    assert!(most <= allowed(rate), "{most}, {} allowed", allowed(rate));
    let from = NAMED_AT + CONTACT;
    let sent = world.sends.iter().filter(|(at, _)| *at >= from).count();
    let used = sent as f64 / 30.0 / rate;
    assert!(used > 0.8, "{used:.2} of the limit is used");
}

/// Guards against a test that any decision passes.
#[test]
fn vms_that_keep_a_limit_alone_exceed_it_together() {
    let mut world = World::new(11, Decision::Alone, 1);
    world.run_until(NAMED_AT, PRESS);
    world.limit = Some(1.4);
    world.run_until(NAMED_AT + CONTACT + 10_000, PRESS);
    let most = world.most_in_window(NAMED_AT + CONTACT, &[]);
    assert!(most > 3 * allowed(1.4), "{most}");
}

/// Guards against two holders of one part after VMs that are cut off, restarted, stopped and started
/// again, in any order; only VMs that were cut off themselves are excused.
#[rstest]
fn changes_of_the_fleet_do_not_double_a_limit(
    #[values(5, 11, 60)] vms: usize,
    #[values(0.5, 1.4, 6.0)] rate: f64,
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    let mut world = World::new(vms, Decision::Held, seed);
    world.run_until(NAMED_AT, PRESS);
    world.limit = Some(rate);
    let mut excused = Vec::new();
    let mut until = NAMED_AT + CONTACT;
    while until < NAMED_AT + 40_000 {
        let vm = world.random.random_range(0..vms);
        match world.random.random_range(0..4) {
            0 => world.restart(vm),
            1 => world.vms[vm].is_up = !world.vms[vm].is_up,
            2 => {
                // A minority is cut off.
                let cut: Vec<usize> = (0..vms).filter(|number| number % 3 == vm % 3).collect();
                for number in &cut {
                    world.vms[*number].group = 1;
                }
                excused.extend(cut);
            }
            _ => {
                for vm in &mut world.vms {
                    vm.group = 0;
                }
            }
        }
        until += world.random.random_range(200..5_000);
        world.run_until(until, PRESS);
    }
    let most = world.most_in_window(NAMED_AT + CONTACT, &[]);
    assert!(
        most <= allowed(rate),
        "{most}, {} allowed; {} without those cut off",
        allowed(rate),
        world.most_in_window(NAMED_AT + CONTACT, &excused)
    );
}

/// Guards against a limit that changes a little with each answer and lets a request through at each
/// change.
#[rstest]
fn limit_that_wavers_is_kept(
    #[values(5, 11, 60)] vms: usize,
    #[values(0.5, 1.4, 2.0, 6.0)] rate: f64,
) {
    let mut world = World::new(vms, Decision::Held, 1);
    world.run_until(NAMED_AT, PRESS);
    for step in 0..200 {
        let wavers = f64::from(step % 7) / 50.0;
        world.limit = Some(rate * (1.0 - wavers));
        world.run_until(NAMED_AT + (step + 1) as u64 * 130, PRESS);
    }
    let most = world.most_in_window(NAMED_AT + CONTACT, &[]);
    assert!(most <= allowed(rate), "{most}, {} allowed", allowed(rate));
}

/// Guards against VMs that stay limited, or that all return at once, after the server lifted its
/// limit where no holder could learn it.
#[rstest]
#[case(5, 1.4)]
#[case(11, 1.4)]
#[case(60, 1.4)]
#[case(11, 20.0)]
fn vms_without_holders_learn_that_a_limit_is_lifted(#[case] vms: usize, #[case] rate: f64) {
    let mut world = World::new(vms, Decision::Held, 3);
    world.run_until(NAMED_AT, PRESS);
    world.limit = Some(rate);
    world.run_until(NAMED_AT + CONTACT, PRESS);
    // Three parts that don't hear each other; none has a majority.
    for (number, vm) in world.vms.iter_mut().enumerate() {
        vm.group = number % 3;
    }
    let cut_at = world.now + DOWN_TIME;
    let end = cut_at + 60_000;
    world.run_until(end, PRESS);
    let most = world.most_in_window(NAMED_AT + CONTACT, &[]);
    assert!(most <= allowed(rate), "{most}, {} allowed", allowed(rate));
    world.limit = None;
    let fleet = 4_000.0 * vms as f64 / rate;
    world.run_until(end + 10_000 + fleet as u64, PRESS);
    assert!(world.vms.iter().all(|vm| vm.intake.rate().is_none()));
}

/// Guards against an older word that replaces a later one, whatever its way.
#[test]
fn the_later_word_on_a_limit_counts() {
    let mut random = StdRng::seed_from_u64(1);
    let at = |ms| Instant::now() + Duration::from_millis(ms);
    let mut intake = Intake::default();
    assert!(!intake.record(None, at(0), Origin::Answer, &mut random));
    assert!(intake.record(Some(1.4), at(1_000), Origin::Answer, &mut random));
    assert!(!intake.record(None, at(900), Origin::Answer, &mut random));
    assert!(!intake.record(Some(3.0), at(800), Origin::Peer, &mut random));
    assert_eq!(intake.rate(), Some(1.4));
    // What another VM heard of the same word doesn't stop this one from passing it on.
    assert!(!intake.record(Some(1.4), at(1_200), Origin::Peer, &mut random));
    assert_eq!(intake.word().map(|(_, _, by)| by), Some(Origin::Answer));
    assert!(intake.record(None, at(1_500), Origin::Peer, &mut random));
    assert_eq!(intake.rate(), None);
    assert!(!intake.record(Some(1.4), at(1_400), Origin::Peer, &mut random));
    assert!(intake.record(Some(0.0), at(2_000), Origin::Answer, &mut random));
    assert!(intake.rate().is_some_and(|rate| rate > 0.0));
}
