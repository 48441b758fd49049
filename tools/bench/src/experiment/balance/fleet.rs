//! Simulation of the VMs and servers that process a trace by one method.

use super::baseline::Baseline;
use super::trace::{SERVERS, SLOW_SERVER, VMS};
use super::{Figures, Method, Trace};
use crate::agenda::Agenda;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::VecDeque;
use std::time::{Duration, Instant};
use steering::balance::{
    Balancer, Completion, Loan, OutlierDetector, Settings, Slots, Summary, Unit, Verdict,
};

const TICK: Duration = Duration::from_millis(250);
const SETTLE_TIME: Duration = Duration::from_secs(10);
/// Age of load reports, 2 s.
const REPORT_LAG_TICKS: usize = 8;
const SHED_ANSWER_TIME: Duration = Duration::from_millis(1);
/// Round trip inside the region for a loan or a forwarded request.
const HOP_ROUND_TRIP: Duration = Duration::from_millis(1);
const MAX_TRIES: u32 = 3;

enum Step {
    Arrive(usize),
    Done(usize),
    Tick,
}

struct Request {
    vm: usize,
    server: usize,
    /// Unit in use and the VM that owns it, and the loan if that VM isn't `vm`.
    unit: Option<(usize, Unit, Option<Loan>)>,
    sent: Instant,
    tries: u32,
    shed: bool,
}

struct Vm {
    balancer: Balancer,
    detector: OutlierDetector,
    slots: Slots,
    waiting: VecDeque<usize>,
    baseline: Baseline,
}

struct Fleet<'a> {
    trace: &'a Trace,
    method: Method,
    start: Instant,
    agenda: Agenda<Step>,
    rng: StdRng,
    vms: Vec<Vm>,
    requests: Vec<Request>,
    running: [u32; SERVERS],
    queues: Vec<VecDeque<usize>>,
    loads: VecDeque<[f64; SERVERS]>,
    summaries: Vec<Vec<Summary>>,
    verdicts: Vec<Vec<Verdict>>,
    latencies: Vec<Duration>,
    slow_server_counts: [usize; 3],
    figures: Figures,
    idle_shares: (f64, f64),
}

fn server_name(server: usize) -> Box<str> {
    format!("server-{server}").into()
}

/// Runs one method over a trace.
pub fn run(trace: &Trace, method: Method, seed: u64) -> Figures {
    let start = Instant::now();
    let settings = Settings::default();
    let vms = (0..VMS).map(|vm| {
        let mut balancer = Balancer::new(settings.clone());
        let mut detector = OutlierDetector::new(settings.clone());
        for server in [vm / 2 * 2, vm / 2 * 2 + 1] {
            balancer.insert(server_name(server), None);
            detector.insert(server_name(server));
        }
        let mut slots = Slots::new(format!("vm-{vm}"), vm as u64, SETTLE_TIME, start);
        let servers = [vm / 2 * 2, vm / 2 * 2 + 1].map(|s| (server_name(s), trace.sizes.slots));
        let members = [vm / 2 * 2, vm / 2 * 2 + 1].map(|v| (format!("vm-{v}").into(), v as u64));
        slots.apply(servers.into(), members.into(), start);
        Vm {
            balancer,
            detector,
            slots,
            waiting: VecDeque::new(),
            baseline: Baseline::default(),
        }
    });
    let mut fleet = Fleet {
        trace,
        method,
        start,
        agenda: Agenda::new(start),
        rng: StdRng::seed_from_u64(seed),
        vms: vms.collect(),
        requests: Vec::new(),
        running: [0; SERVERS],
        queues: vec![VecDeque::new(); SERVERS],
        loads: VecDeque::new(),
        summaries: Vec::new(),
        verdicts: Vec::new(),
        latencies: Vec::new(),
        slow_server_counts: [0; 3],
        figures: Figures {
            latency: [Duration::ZERO; 3],
            slow_share: 0.0,
            recovered_share: 0.0,
            failed: 0,
            max_ejected_share: 0.0,
            over_slots: 0,
            headroom: 0.0,
        },
        idle_shares: (0.0, 0.0),
    };
    fleet.run();
    fleet.finish()
}

impl Fleet<'_> {
    fn run(&mut self) {
        for (index, event) in self.trace.events.iter().enumerate() {
            self.agenda.at(self.start + event.at, Step::Arrive(index));
            self.requests.push(Request {
                vm: event.vm,
                server: 0,
                unit: None,
                sent: self.start,
                tries: 0,
                shed: false,
            });
        }
        self.agenda.at(self.start, Step::Tick);
        while let Some((now, step)) = self.agenda.take() {
            match step {
                Step::Arrive(index) => self.arrive(index, now),
                Step::Done(index) => self.done(index, now),
                Step::Tick => self.tick(now),
            }
        }
    }

    fn elapsed(&self, now: Instant) -> Duration {
        now - self.start
    }

    /// Returns the servers in the region of a VM.
    fn region(vm: usize) -> std::ops::Range<usize> {
        vm / 4 * 4..vm / 4 * 4 + 4
    }

    fn arrive(&mut self, index: usize, now: Instant) {
        self.requests[index].tries += 1;
        if self.method != Method::Steering {
            let vm = self.trace.events[index].vm;
            let baseline = &self.vms[vm].baseline;
            let server = baseline.choose(self.method, Self::region(vm), now, &mut self.rng);
            self.send(index, server, Duration::ZERO, now);
        } else if !self.dispatch(index, now) {
            self.vms[self.trace.events[index].vm]
                .waiting
                .push_back(index);
        }
    }

    /// Tries the VM's own units, then a loan of the other VM of its data centre, then the VMs of
    /// the region's other data centre. Returns whether the request was sent.
    fn dispatch(&mut self, index: usize, now: Instant) -> bool {
        let vm = self.trace.events[index].vm;
        for (handler, owner) in [(vm, vm), (vm, vm ^ 1), (vm ^ 2, vm ^ 2), (vm ^ 3, vm ^ 3)] {
            let mut detector = std::mem::replace(
                &mut self.vms[handler].detector,
                OutlierDetector::new(Settings::default()),
            );
            let slots = &self.vms[owner].slots;
            let free = |server: &str| slots.free(server) > 0;
            let balancer = &self.vms[handler].balancer;
            let chosen = balancer.choose(free, &mut detector, now, &mut self.rng);
            self.vms[handler].detector = detector;
            let Some(server) = chosen else { continue };
            let slots = &mut self.vms[owner].slots;
            let unit = match handler == owner {
                true => slots.take(&server).map(|unit| (owner, unit, None)),
                false => (slots.lend(&server, now)).map(|loan| (owner, loan.unit, Some(loan))),
            };
            self.vms[handler].balancer.begin(&server);
            self.requests[index].vm = handler;
            self.requests[index].unit = unit;
            let round_trip = if owner == vm {
                Duration::ZERO
            } else {
                HOP_ROUND_TRIP
            };
            let region = Self::region(vm);
            let server = region.into_iter().find(|s| server_name(*s) == server);
            self.send(index, server.unwrap_or(0), round_trip, now);
            return true;
        }
        false
    }

    fn send(&mut self, index: usize, server: usize, round_trip: Duration, now: Instant) {
        let request = &mut self.requests[index];
        request.server = server;
        request.sent = now;
        self.vms[request.vm].baseline.begin(server);
        let elapsed = now - self.start;
        request.shed = self.trace.sheds(server, elapsed);
        let period = [
            (Trace::ONSET - Duration::from_secs(8), Trace::ONSET),
            (Trace::ONSET + Duration::from_secs(2), Trace::RECOVERY),
            (Trace::RECOVERY + Duration::from_secs(10), Trace::RESTART),
        ];
        for (count, (from, to)) in self.slow_server_counts.iter_mut().zip(period) {
            *count += usize::from(server == SLOW_SERVER && (from..to).contains(&elapsed));
        }
        if request.shed {
            self.agenda
                .after(round_trip + SHED_ANSWER_TIME, Step::Done(index));
        } else if self.running[server] < self.trace.sizes.slots {
            self.start_service(index, server, round_trip, now);
        } else {
            self.figures.over_slots += 1;
            self.queues[server].push_back(index);
        }
    }

    fn start_service(&mut self, index: usize, server: usize, round_trip: Duration, now: Instant) {
        self.running[server] += 1;
        let slowdown = self.trace.slowdown(server, self.elapsed(now));
        let service_time = self.trace.events[index].service_time.mul_f64(slowdown);
        self.agenda
            .after(round_trip + service_time, Step::Done(index));
    }

    fn done(&mut self, index: usize, now: Instant) {
        let Request {
            vm,
            server,
            sent,
            tries,
            shed,
            ..
        } = self.requests[index];
        self.vms[vm].baseline.end(server);
        if !shed {
            self.running[server] -= 1;
            if let Some(next) = self.queues[server].pop_front() {
                self.start_service(next, server, Duration::ZERO, now);
            }
        }
        if let Some((owner, unit, loan)) = self.requests[index].unit.take() {
            match loan {
                Some(loan) => self.vms[owner].slots.return_loan(&loan),
                None => self.vms[owner].slots.release(&server_name(server), unit),
            }
            let completion = if shed {
                Completion::Shed
            } else {
                Completion::Answered
            };
            self.vms[vm]
                .balancer
                .end(&server_name(server), completion, now);
            if !shed {
                let detector = &mut self.vms[vm].detector;
                detector.record("all", &server_name(server), now - sent, now);
            }
        } else if !shed {
            let took =
                (now - sent).as_secs_f64() / self.trace.sizes.mean_service_time.as_secs_f64();
            self.vms[vm].baseline.record(server, took, now);
        }
        match (shed, tries < MAX_TRIES) {
            (false, _) => {
                let arrived = self.start + self.trace.events[index].at;
                self.latencies.push(now - arrived);
            }
            (true, true) => self.arrive(index, now),
            (true, false) => self.figures.failed += 1,
        }
        self.start_waiting(vm, now);
    }

    /// Starts waiting requests of the region: first of this VM, then of its data centre, then of
    /// the other data centre.
    fn start_waiting(&mut self, vm: usize, now: Instant) {
        for other in [vm, vm ^ 1, vm ^ 2, vm ^ 3] {
            while let Some(index) = self.vms[other].waiting.front().copied() {
                if !self.dispatch(index, now) {
                    break;
                }
                self.vms[other].waiting.pop_front();
            }
        }
    }

    /// Exchanges slot notices, medians and verdicts, and delivers load reports that are 2 s old.
    /// The slow server reports that it is idle.
    fn tick(&mut self, now: Instant) {
        let elapsed = self.elapsed(now);
        for vm in 0..VMS {
            let notice = self.vms[vm].slots.notice(now);
            self.vms[vm ^ 1].slots.apply_notice(notice, now);
        }
        let current_summaries = self
            .vms
            .iter()
            .map(|vm| vm.detector.summaries(now))
            .collect();
        let previous_summaries = std::mem::replace(&mut self.summaries, current_summaries);
        let current_verdicts = self
            .vms
            .iter()
            .map(|vm| vm.detector.verdicts(now))
            .collect();
        let mut previous_verdicts = std::mem::replace(&mut self.verdicts, current_verdicts);
        for verdict in previous_verdicts.iter_mut().flatten() {
            verdict.age += TICK;
            if let Some(ejection) = &mut verdict.ejected {
                ejection.idle += TICK;
            }
        }
        let slots = f64::from(self.trace.sizes.slots);
        let mut load = self.running.map(|n| f64::from(n) / slots);
        load[SLOW_SERVER] = 0.0;
        self.loads.push_back(load);
        let lagged = (self.loads.len() > REPORT_LAG_TICKS)
            .then(|| self.loads.pop_front())
            .flatten();
        for (index, vm) in self.vms.iter_mut().enumerate() {
            for (other, summaries) in previous_summaries.iter().enumerate() {
                if other != index {
                    vm.detector.merge_summaries(summaries.clone(), now);
                }
            }
            let verdicts = previous_verdicts.get_mut(index ^ 1).map(std::mem::take);
            vm.detector
                .merge_verdicts(verdicts.unwrap_or_default(), now);
            for (server, load) in lagged.iter().flatten().enumerate() {
                vm.balancer.report_load(
                    &server_name(server),
                    *load,
                    now - TICK * REPORT_LAG_TICKS as u32,
                );
            }
            if elapsed == Trace::RESTART && index / 2 == self.trace.restarted_server() / 2 {
                vm.balancer
                    .insert(server_name(self.trace.restarted_server()), Some(now));
            }
            let ejected = vm.detector.ejections() as f64 / 2.0;
            self.figures.max_ejected_share = self.figures.max_ejected_share.max(ejected);
        }
        if (Trace::ONSET + Duration::from_secs(2)..Trace::RECOVERY).contains(&elapsed) {
            let busy: u32 = (0..4)
                .filter(|s| *s != SLOW_SERVER)
                .map(|s| self.running[s])
                .sum();
            self.idle_shares.0 += 1.0 - f64::from(busy) / (3.0 * slots);
            self.idle_shares.1 += 1.0;
        }
        if elapsed < Trace::END {
            self.agenda.after(TICK, Step::Tick);
        }
    }

    fn finish(mut self) -> Figures {
        self.latencies.sort_unstable();
        let last = self.latencies.len() - 1;
        let quantile = |q: f64| self.latencies[(last as f64 * q) as usize];
        let seconds = [
            8.0,
            (Trace::RECOVERY - Trace::ONSET).as_secs_f64() - 2.0,
            (Trace::RESTART - Trace::RECOVERY).as_secs_f64() - 10.0,
        ];
        let rates: Vec<f64> = (self.slow_server_counts.iter().zip(seconds))
            .map(|(count, seconds)| *count as f64 / seconds)
            .collect();
        Figures {
            latency: [0.5, 0.99, 0.999].map(quantile),
            slow_share: rates[1] / rates[0],
            recovered_share: rates[2] / rates[0],
            headroom: self.idle_shares.0 / self.idle_shares.1,
            ..self.figures
        }
    }
}
