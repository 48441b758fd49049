//! The fleet that runs a trace with one method.

use super::baseline::Baseline;
use super::trace::{SERVERS, SLOW, VMS};
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
const SETTLE: Duration = Duration::from_secs(10);
/// Load reports are this many ticks old (2 s).
const LAG_TICKS: usize = 8;
const SHED_TIME: Duration = Duration::from_millis(1);
/// Round trip within the region, for a loan or a forwarded request.
const HOP: Duration = Duration::from_millis(1);
const TRIES: u32 = 3;

enum Step {
    Arrive(usize),
    Done(usize),
    Tick,
}

struct Request {
    vm: usize,
    server: usize,
    /// VM whose unit is used, and the loan if it is another than `vm`.
    unit: Option<(usize, Unit, Option<Loan>)>,
    sent: Instant,
    tries: u32,
    shed: bool,
}

struct Vm {
    chooser: Balancer,
    outlier: OutlierDetector,
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
    counts: [usize; 3],
    figures: Figures,
    idle: (f64, f64),
}

fn name(server: usize) -> Box<str> {
    format!("server-{server}").into()
}

/// Runs one method over a trace.
pub fn run(trace: &Trace, method: Method, seed: u64) -> Figures {
    let start = Instant::now();
    let settings = Settings::default();
    let vms = (0..VMS).map(|vm| {
        let mut chooser = Balancer::new(settings.clone());
        let mut outlier = OutlierDetector::new(settings.clone());
        for server in [vm / 2 * 2, vm / 2 * 2 + 1] {
            chooser.insert(name(server), None);
            outlier.insert(name(server));
        }
        let mut slots = Slots::new(format!("vm-{vm}"), vm as u64, SETTLE, start);
        let servers = [vm / 2 * 2, vm / 2 * 2 + 1].map(|s| (name(s), trace.sizes.slots));
        let members = [vm / 2 * 2, vm / 2 * 2 + 1].map(|v| (format!("vm-{v}").into(), v as u64));
        slots.apply(servers.into(), members.into(), start);
        Vm {
            chooser,
            outlier,
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
        counts: [0; 3],
        figures: Figures {
            latency: [Duration::ZERO; 3],
            slow_share: 0.0,
            recovered_share: 0.0,
            failed: 0,
            most_ejected: 0.0,
            over_slots: 0,
            headroom: 0.0,
        },
        idle: (0.0, 0.0),
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

    /// Servers of the region of a VM.
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

    /// Own units, then a loan of the other VM, then the VMs of the region's other data centre.
    fn dispatch(&mut self, index: usize, now: Instant) -> bool {
        let vm = self.trace.events[index].vm;
        for (handler, owner) in [(vm, vm), (vm, vm ^ 1), (vm ^ 2, vm ^ 2), (vm ^ 3, vm ^ 3)] {
            let mut outlier = std::mem::replace(
                &mut self.vms[handler].outlier,
                OutlierDetector::new(Settings::default()),
            );
            let slots = &self.vms[owner].slots;
            let free = |server: &str| slots.free(server) > 0;
            let chooser = &self.vms[handler].chooser;
            let chosen = chooser.choose(free, &mut outlier, now, &mut self.rng);
            self.vms[handler].outlier = outlier;
            let Some(server) = chosen else { continue };
            let slots = &mut self.vms[owner].slots;
            let unit = match handler == owner {
                true => slots.take(&server).map(|unit| (owner, unit, None)),
                false => (slots.lend(&server, now)).map(|loan| (owner, loan.unit, Some(loan))),
            };
            self.vms[handler].chooser.begin(&server);
            self.requests[index].vm = handler;
            self.requests[index].unit = unit;
            let hop = if owner == vm { Duration::ZERO } else { HOP };
            let region = Self::region(vm);
            let server = region.into_iter().find(|s| name(*s) == server);
            self.send(index, server.unwrap_or(0), hop, now);
            return true;
        }
        false
    }

    fn send(&mut self, index: usize, server: usize, hop: Duration, now: Instant) {
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
        for (count, (from, to)) in self.counts.iter_mut().zip(period) {
            *count += usize::from(server == SLOW && (from..to).contains(&elapsed));
        }
        if request.shed {
            self.agenda.after(hop + SHED_TIME, Step::Done(index));
        } else if self.running[server] < self.trace.sizes.slots {
            self.start_work(index, server, hop, now);
        } else {
            self.figures.over_slots += 1;
            self.queues[server].push_back(index);
        }
    }

    fn start_work(&mut self, index: usize, server: usize, hop: Duration, now: Instant) {
        self.running[server] += 1;
        let factor = self.trace.factor(server, self.elapsed(now));
        let work = self.trace.events[index].work.mul_f64(factor);
        self.agenda.after(hop + work, Step::Done(index));
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
                self.start_work(next, server, Duration::ZERO, now);
            }
        }
        if let Some((owner, unit, loan)) = self.requests[index].unit.take() {
            match loan {
                Some(loan) => self.vms[owner].slots.return_loan(&loan),
                None => self.vms[owner].slots.release(&name(server), unit),
            }
            let reply = if shed {
                Completion::Shed
            } else {
                Completion::Answered
            };
            self.vms[vm].chooser.end(&name(server), reply, now);
            if !shed {
                let outlier = &mut self.vms[vm].outlier;
                outlier.record("all", &name(server), now - sent, now);
            }
        } else if !shed {
            let took = (now - sent).as_secs_f64() / self.trace.sizes.work.as_secs_f64();
            self.vms[vm].baseline.record(server, took, now);
        }
        match (shed, tries < TRIES) {
            (false, _) => {
                let arrived = self.start + self.trace.events[index].at;
                self.latencies.push(now - arrived);
            }
            (true, true) => self.arrive(index, now),
            (true, false) => self.figures.failed += 1,
        }
        self.wake(vm, now);
    }

    /// Starts waiting requests of the region, nearest first.
    fn wake(&mut self, vm: usize, now: Instant) {
        for other in [vm, vm ^ 1, vm ^ 2, vm ^ 3] {
            while let Some(index) = self.vms[other].waiting.front().copied() {
                if !self.dispatch(index, now) {
                    break;
                }
                self.vms[other].waiting.pop_front();
            }
        }
    }

    /// Exchanges notices and medians, and reports loads that are 2 s old; the slow server reports
    /// that it is idle.
    fn tick(&mut self, now: Instant) {
        let elapsed = self.elapsed(now);
        for vm in 0..VMS {
            let notice = self.vms[vm].slots.notice(now);
            self.vms[vm ^ 1].slots.apply_notice(notice, now);
        }
        let measured = self
            .vms
            .iter()
            .map(|vm| vm.outlier.summaries(now))
            .collect();
        let previous = std::mem::replace(&mut self.summaries, measured);
        let found = self.vms.iter().map(|vm| vm.outlier.verdicts(now)).collect();
        let mut found = std::mem::replace(&mut self.verdicts, found);
        for verdict in found.iter_mut().flatten() {
            verdict.age += TICK;
            if let Some(finding) = &mut verdict.ejected {
                finding.idle += TICK;
            }
        }
        let slots = f64::from(self.trace.sizes.slots);
        let mut load = self.running.map(|n| f64::from(n) / slots);
        load[SLOW] = 0.0;
        self.loads.push_back(load);
        let lagged = (self.loads.len() > LAG_TICKS)
            .then(|| self.loads.pop_front())
            .flatten();
        for (index, vm) in self.vms.iter_mut().enumerate() {
            for (other, summaries) in previous.iter().enumerate() {
                if other != index {
                    vm.outlier.merge_summaries(summaries.clone(), now);
                }
            }
            let verdicts = found.get_mut(index ^ 1).map(std::mem::take);
            vm.outlier.merge_verdicts(verdicts.unwrap_or_default(), now);
            for (server, load) in lagged.iter().flatten().enumerate() {
                vm.chooser
                    .report_load(&name(server), *load, now - TICK * LAG_TICKS as u32);
            }
            if elapsed == Trace::RESTART && index / 2 == self.trace.restarted() / 2 {
                vm.chooser.insert(name(self.trace.restarted()), Some(now));
            }
            let ejected = vm.outlier.ejections() as f64 / 2.0;
            self.figures.most_ejected = self.figures.most_ejected.max(ejected);
        }
        if (Trace::ONSET + Duration::from_secs(2)..Trace::RECOVERY).contains(&elapsed) {
            let busy: u32 = (0..4).filter(|s| *s != SLOW).map(|s| self.running[s]).sum();
            self.idle.0 += 1.0 - f64::from(busy) / (3.0 * slots);
            self.idle.1 += 1.0;
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
        let rates: Vec<f64> = (self.counts.iter().zip(seconds))
            .map(|(count, seconds)| *count as f64 / seconds)
            .collect();
        Figures {
            latency: [0.5, 0.99, 0.999].map(quantile),
            slow_share: rates[1] / rates[0],
            recovered_share: rates[2] / rates[0],
            headroom: self.idle.0 / self.idle.1,
            ..self.figures
        }
    }
}
