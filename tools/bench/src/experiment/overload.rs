//! A service at twice its capacity, with retries.
//!
//! Callers of 8 workspaces give up at their deadline. A try fails with a fixed probability after its
//! full service time. With steering, requests are admitted by the estimate of the service time,
//! the queue is fair by workspace and then by deadline, a request whose deadline passes is cancelled,
//! and retries need the budget. The baseline has one unbounded queue, no cancellation and three
//! plain retries of whatever failed or timed out.

use crate::agenda::Agenda;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeSet, VecDeque};
use std::time::{Duration, Instant};
use steering::retry::{Admission, Budget, Settings};

const WORKSPACES: usize = 8;
const SLOTS: usize = 36;
const WORK: Duration = Duration::from_millis(20);
const BASELINE_TRIES: u32 = 4;
const NORMAL_LOAD: f64 = 0.6;
const ONSET: Duration = Duration::from_secs(10);
const FALL: Duration = Duration::from_secs(30);
const END: Duration = Duration::from_secs(50);

/// Measured figures of one run.
#[derive(Debug, Clone, PartialEq)]
pub struct Figures {
    /// Completions within deadline from 1 s after onset, against the capacity.
    pub goodput: f64,
    /// Tries after the first against first tries, over the whole run.
    pub retries: f64,
    /// Time from the fall of the load until 99% of each second's requests complete.
    pub recovery: Duration,
    /// Longest queue.
    pub queue: usize,
    /// Completions of the worst-served workspace against the best-served one.
    pub worst: f64,
}

/// What is switched on.
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
    patience: Duration,
    tries: u32,
    running: bool,
    over: bool,
}

struct Service {
    method: Method,
    start: Instant,
    agenda: Agenda<Step>,
    rng: StdRng,
    requests: Vec<Request>,
    fair: Vec<BTreeSet<(Instant, usize)>>,
    plain: VecDeque<(usize, u32)>,
    turn: usize,
    busy: usize,
    admission: Admission,
    budget: Budget,
    retries: usize,
    longest: usize,
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
        fair: vec![BTreeSet::new(); WORKSPACES],
        plain: VecDeque::new(),
        turn: 0,
        busy: 0,
        admission: Admission::new(WORK, 2.0),
        budget: Budget::new(Settings::default()),
        retries: 0,
        longest: 0,
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
        let load = match (ONSET..FALL).contains(&elapsed) {
            true => 2.0,
            false => NORMAL_LOAD,
        };
        let rate = load * SLOTS as f64 / WORK.as_secs_f64();
        let gap = Duration::from_secs_f64(self.exponential() / rate);
        if elapsed + gap < END {
            self.agenda.after(gap, Step::Arrive);
        }
        let patience = Duration::from_millis(self.rng.random_range(250..1000));
        self.requests.push(Request {
            workspace: self.rng.random_range(0..WORKSPACES),
            arrived: now,
            deadline: now + patience,
            patience,
            tries: 1,
            running: false,
            over: false,
        });
        self.enter(self.requests.len() - 1, now);
    }

    fn queued(&self) -> usize {
        self.plain.len() + self.fair.iter().map(BTreeSet::len).sum::<usize>()
    }

    fn enter(&mut self, index: usize, now: Instant) {
        let request = &mut self.requests[index];
        let try_number = request.tries;
        let deadline = request.deadline;
        if self.method.admission {
            // Requests of all workspaces take turns: those ahead are the own queue's earlier
            // deadlines times the workspaces that queue.
            let own = &self.fair[request.workspace];
            let earlier = own.range(..(deadline, index)).count();
            let queues = self.fair.iter().filter(|q| !q.is_empty()).count().max(1);
            let ahead = earlier * queues + self.busy;
            if (self.admission.admit(deadline, ahead, SLOTS, now)).is_err() {
                request.over = true;
                return;
            }
            self.fair[request.workspace].insert((deadline, index));
        } else {
            self.plain.push_back((index, try_number));
        }
        self.agenda
            .at(deadline, Step::Deadline { index, try_number });
        self.longest = self.longest.max(self.queued());
        self.start_next(now);
    }

    fn start_next(&mut self, now: Instant) {
        while self.busy < SLOTS {
            let Some(index) = self.next(now) else { return };
            self.requests[index].running = true;
            self.busy += 1;
            let work = WORK.mul_f64(0.5 + 0.5 * self.exponential());
            let step = Step::Done {
                index,
                try_number: self.requests[index].tries,
                started: now,
                failed: self.rng.random::<f64>() < self.method.failure,
            };
            self.agenda.after(work, step);
        }
    }

    fn next(&mut self, now: Instant) -> Option<usize> {
        if !self.method.admission {
            return self.plain.pop_front().map(|(index, _)| index);
        }
        for _ in 0..WORKSPACES {
            self.turn = (self.turn + 1) % WORKSPACES;
            while let Some((deadline, index)) = self.fair[self.turn].pop_first() {
                if self.admission.check_start(deadline, now).is_ok() {
                    return Some(index);
                }
                self.requests[index].over = true;
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
        if self.method.admission && request.over {
            return; // Cancelled at the deadline; the slot is free already.
        }
        request.running = false;
        self.busy -= 1;
        self.admission.record(now - started);
        let current = request.tries == try_number && !request.over;
        if current && failed {
            self.retry(index, now);
        } else if current {
            request.over = true;
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
            request.over = true;
            return;
        }
        request.tries += 1;
        if !self.method.admission {
            request.deadline = now + request.patience;
        }
        self.retries += 1;
        self.enter(index, now);
    }

    fn expire(&mut self, index: usize, try_number: u32, now: Instant) {
        let request = &mut self.requests[index];
        if request.over || request.tries != try_number {
            return;
        }
        if self.method.admission {
            request.over = true;
            if request.running {
                self.busy -= 1;
            }
            self.fair[request.workspace].remove(&(request.deadline, index));
            self.start_next(now);
        } else {
            self.retry(index, now);
        }
    }

    fn figures(&self) -> Figures {
        let capacity = SLOTS as f64 / WORK.as_secs_f64();
        let within = |(index, at): &&(usize, Instant)| {
            let request = &self.requests[*index];
            *at <= request.arrived + request.patience
        };
        let good: Vec<_> = self.completed.iter().filter(within).collect();
        let from = ONSET + Duration::from_secs(1);
        let loaded = (good.iter())
            .filter(|(_, at)| (from..FALL).contains(&(*at - self.start)))
            .count();
        let mut arrived = vec![0_usize; END.as_secs() as usize + 1];
        let mut served = arrived.clone();
        let second = |request: &Request| (request.arrived - self.start).as_secs() as usize;
        self.requests.iter().for_each(|r| arrived[second(r)] += 1);
        (good.iter()).for_each(|(index, _)| served[second(&self.requests[*index])] += 1);
        let fall = FALL.as_secs() as usize;
        let last_bad = (fall..END.as_secs() as usize)
            .rfind(|s| (served[*s] as f64) < 0.99 * arrived[*s] as f64);
        let mut by_workspace = [0_usize; WORKSPACES];
        (good.iter()).for_each(|(i, _)| by_workspace[self.requests[*i].workspace] += 1);
        let worst = by_workspace.iter().min().copied().unwrap_or(0) as f64;
        let best = by_workspace.iter().max().copied().unwrap_or(0) as f64;
        Figures {
            goodput: loaded as f64 / (FALL - from).as_secs_f64() / capacity,
            retries: self.retries as f64 / self.requests.len() as f64,
            recovery: Duration::from_secs(last_bad.map_or(0, |s| s + 1 - fall) as u64),
            queue: self.longest,
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
