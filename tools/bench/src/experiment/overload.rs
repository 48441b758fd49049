//! A service at twice its capacity, with retries.
//!
//! Callers of 8 workspaces give up at their deadline. A try fails with a fixed probability after
//! its full service time. With steering, requests are admitted by the estimate of the service time,
//! the queue is fair by workspace and then by deadline, a request is cancelled when its deadline
//! passes, and retries need the budget. The baseline has one unbounded queue, no cancellation and
//! three retries of every request that failed or timed out.

use crate::agenda::Agenda;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeSet, VecDeque};
use std::time::{Duration, Instant};
use steering::retry::{Admission, Budget, Settings};

const WORKSPACES: usize = 8;
const SLOTS: usize = 36;
const SERVICE_TIME: Duration = Duration::from_millis(20);
const BASELINE_TRIES: u32 = 4;
const NORMAL_LOAD: f64 = 0.6;
const OVERLOAD_START: Duration = Duration::from_secs(10);
const OVERLOAD_END: Duration = Duration::from_secs(30);
const RUN_TIME: Duration = Duration::from_secs(50);

/// Figures of one run.
#[derive(Debug, Clone, PartialEq)]
pub struct Figures {
    /// Completions within deadline from 1 s after the overload starts, against the capacity.
    pub goodput: f64,
    /// Tries after the first against first tries, over the whole run.
    pub retries: f64,
    /// Time from the end of the overload until 99% of each second's requests complete.
    pub recovery: Duration,
    /// Longest queue.
    pub queue: usize,
    /// Completions of the worst-served workspace against the best-served one.
    pub worst: f64,
}

/// Mechanisms that are switched on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Method {
    /// Shedding by estimate, bounded queue and cancellation at the deadline.
    pub admission: bool,
    /// Retry budget instead of three plain retries.
    pub budget: bool,
    /// Probability that a try fails.
    pub failure: f64,
}

/// Both mechanisms.
pub const STEERING: Method = Method {
    admission: true,
    budget: true,
    failure: 0.05,
};
/// Neither mechanism.
pub const BASELINE: Method = Method {
    admission: false,
    budget: false,
    failure: 0.05,
};

enum Step {
    Arrive,
    Done {
        index: usize,
        try_number: u32,
        started: Instant,
        failed: bool,
    },
    Deadline {
        index: usize,
        try_number: u32,
    },
}

struct Request {
    workspace: usize,
    arrived: Instant,
    /// Deadline of the current try; fixed with steering, a new one per try in the baseline.
    deadline: Instant,
    timeout: Duration,
    tries: u32,
    running: bool,
    is_finished: bool,
}

struct Service {
    method: Method,
    start: Instant,
    agenda: Agenda<Step>,
    rng: StdRng,
    requests: Vec<Request>,
    fair_queues: Vec<BTreeSet<(Instant, usize)>>,
    fifo_queue: VecDeque<(usize, u32)>,
    current_workspace: usize,
    busy_slots: usize,
    admission: Admission,
    budget: Budget,
    retries: usize,
    longest_queue: usize,
    completed: Vec<(usize, Instant)>,
}

/// Runs one method.
pub fn run(method: Method, seed: u64) -> Figures {
    let start = Instant::now();
    let mut service = Service {
        method,
        start,
        agenda: Agenda::new(start),
        rng: StdRng::seed_from_u64(seed),
        requests: Vec::new(),
        fair_queues: vec![BTreeSet::new(); WORKSPACES],
        fifo_queue: VecDeque::new(),
        current_workspace: 0,
        busy_slots: 0,
        admission: Admission::new(SERVICE_TIME, 2.0),
        budget: Budget::new(Settings::default()),
        retries: 0,
        longest_queue: 0,
        completed: Vec::new(),
    };
    service.agenda.at(start, Step::Arrive);
    while let Some((now, step)) = service.agenda.take() {
        match step {
            Step::Arrive => service.arrive(now),
            Step::Done {
                index,
                try_number,
                started,
                failed,
            } => {
                service.done(index, try_number, started, failed, now);
            }
            Step::Deadline { index, try_number } => service.expire(index, try_number, now),
        }
    }
    service.figures()
}

impl Service {
    fn exponential(&mut self) -> f64 {
        -(1.0 - self.rng.random::<f64>()).ln()
    }

    fn arrive(&mut self, now: Instant) {
        let elapsed = now - self.start;
        let load = match (OVERLOAD_START..OVERLOAD_END).contains(&elapsed) {
            true => 2.0,
            false => NORMAL_LOAD,
        };
        let rate = load * SLOTS as f64 / SERVICE_TIME.as_secs_f64();
        let gap = Duration::from_secs_f64(self.exponential() / rate);
        if elapsed + gap < RUN_TIME {
            self.agenda.after(gap, Step::Arrive);
        }
        let timeout = Duration::from_millis(self.rng.random_range(250..1000));
        self.requests.push(Request {
            workspace: self.rng.random_range(0..WORKSPACES),
            arrived: now,
            deadline: now + timeout,
            timeout,
            tries: 1,
            running: false,
            is_finished: false,
        });
        self.enqueue(self.requests.len() - 1, now);
    }

    fn queued(&self) -> usize {
        self.fifo_queue.len() + self.fair_queues.iter().map(BTreeSet::len).sum::<usize>()
    }

    fn enqueue(&mut self, index: usize, now: Instant) {
        let request = &mut self.requests[index];
        let try_number = request.tries;
        let deadline = request.deadline;
        if self.method.admission {
            // Workspaces take turns, so the number of requests ahead is that of earlier deadlines
            // in the own queue times the number of workspaces with a queue.
            let own = &self.fair_queues[request.workspace];
            let earlier = own.range(..(deadline, index)).count();
            let queues = self
                .fair_queues
                .iter()
                .filter(|q| !q.is_empty())
                .count()
                .max(1);
            let ahead = earlier * queues + self.busy_slots;
            if (self.admission.admit(deadline, ahead, SLOTS, now)).is_err() {
                request.is_finished = true;
                return;
            }
            self.fair_queues[request.workspace].insert((deadline, index));
        } else {
            self.fifo_queue.push_back((index, try_number));
        }
        self.agenda
            .at(deadline, Step::Deadline { index, try_number });
        self.longest_queue = self.longest_queue.max(self.queued());
        self.start_next(now);
    }

    fn start_next(&mut self, now: Instant) {
        while self.busy_slots < SLOTS {
            let Some(index) = self.next(now) else { return };
            self.requests[index].running = true;
            self.busy_slots += 1;
            let service_time = SERVICE_TIME.mul_f64(0.5 + 0.5 * self.exponential());
            let step = Step::Done {
                index,
                try_number: self.requests[index].tries,
                started: now,
                failed: self.rng.random::<f64>() < self.method.failure,
            };
            self.agenda.after(service_time, step);
        }
    }

    fn next(&mut self, now: Instant) -> Option<usize> {
        if !self.method.admission {
            return self.fifo_queue.pop_front().map(|(index, _)| index);
        }
        for _ in 0..WORKSPACES {
            self.current_workspace = (self.current_workspace + 1) % WORKSPACES;
            while let Some((deadline, index)) = self.fair_queues[self.current_workspace].pop_first()
            {
                if self.admission.check_start(deadline, now).is_ok() {
                    return Some(index);
                }
                self.requests[index].is_finished = true;
            }
        }
        None
    }

    fn done(
        &mut self,
        index: usize,
        try_number: u32,
        started: Instant,
        failed: bool,
        now: Instant,
    ) {
        let request = &mut self.requests[index];
        if self.method.admission && request.is_finished {
            return; // Cancelled at the deadline; the slot is free already.
        }
        request.running = false;
        self.busy_slots -= 1;
        self.admission.record(now - started);
        let current = request.tries == try_number && !request.is_finished;
        if current && failed {
            self.retry(index, now);
        } else if current {
            request.is_finished = true;
            if try_number == 1 {
                self.budget.record_success();
            }
            self.completed.push((index, now));
        }
        self.start_next(now);
    }

    fn retry(&mut self, index: usize, now: Instant) {
        let request = &mut self.requests[index];
        let allowed = match self.method.budget {
            true => self.budget.try_take(),
            false => request.tries < BASELINE_TRIES,
        };
        if !allowed {
            request.is_finished = true;
            return;
        }
        request.tries += 1;
        if !self.method.admission {
            request.deadline = now + request.timeout;
        }
        self.retries += 1;
        self.enqueue(index, now);
    }

    fn expire(&mut self, index: usize, try_number: u32, now: Instant) {
        let request = &mut self.requests[index];
        if request.is_finished || request.tries != try_number {
            return;
        }
        if self.method.admission {
            request.is_finished = true;
            if request.running {
                self.busy_slots -= 1;
            }
            self.fair_queues[request.workspace].remove(&(request.deadline, index));
            self.start_next(now);
        } else {
            self.retry(index, now);
        }
    }

    fn figures(&self) -> Figures {
        let capacity = SLOTS as f64 / SERVICE_TIME.as_secs_f64();
        let within = |(index, at): &&(usize, Instant)| {
            let request = &self.requests[*index];
            *at <= request.arrived + request.timeout
        };
        let good: Vec<_> = self.completed.iter().filter(within).collect();
        let from = OVERLOAD_START + Duration::from_secs(1);
        let loaded = (good.iter())
            .filter(|(_, at)| (from..OVERLOAD_END).contains(&(*at - self.start)))
            .count();
        let mut arrived = vec![0_usize; RUN_TIME.as_secs() as usize + 1];
        let mut served = arrived.clone();
        let second = |request: &Request| (request.arrived - self.start).as_secs() as usize;
        self.requests.iter().for_each(|r| arrived[second(r)] += 1);
        (good.iter()).for_each(|(index, _)| served[second(&self.requests[*index])] += 1);
        let end_second = OVERLOAD_END.as_secs() as usize;
        let last_bad = (end_second..RUN_TIME.as_secs() as usize)
            .rfind(|s| (served[*s] as f64) < 0.99 * arrived[*s] as f64);
        let mut by_workspace = [0_usize; WORKSPACES];
        (good.iter()).for_each(|(i, _)| by_workspace[self.requests[*i].workspace] += 1);
        let worst = by_workspace.iter().min().copied().unwrap_or(0) as f64;
        let best = by_workspace.iter().max().copied().unwrap_or(0) as f64;
        Figures {
            goodput: loaded as f64 / (OVERLOAD_END - from).as_secs_f64() / capacity,
            retries: self.retries as f64 / self.requests.len() as f64,
            recovery: Duration::from_secs(last_bad.map_or(0, |s| s + 1 - end_second) as u64),
            queue: self.longest_queue,
            worst: worst / best,
        }
    }
}

/// Runs steering, each mechanism alone and the baseline with one seed.
pub fn report() -> Box<str> {
    let mut text =
        String::from("failure admission budget goodput retries recovery queue worst/best\n");
    for failure in [0.05, 0.5] {
        for (admission, budget) in [(true, true), (true, false), (false, true), (false, false)] {
            let method = Method {
                admission,
                budget,
                failure,
            };
            let f = run(method, 1);
            text += &format!(
                "{failure:7.2} {admission:9} {budget:6} {:7.3} {:7.3} {:6} s {:7} {:8.2}\n",
                f.goodput,
                f.retries,
                f.recovery.as_secs(),
                f.queue,
                f.worst
            );
        }
    }
    text.into()
}
