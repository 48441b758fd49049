//! Reporters with a store and a platform in simulated time.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::time::Duration;
use steering::usage::{
    Boot, Call, CallResult, Fixed, Progress, Rank, Reporter, Row, Settings, Step, Stored,
    Transaction, Window, Written,
};

const MS: Duration = Duration::from_millis(1);
const STEP: Duration = Duration::from_millis(20);
const VMS: usize = 4;
/// End of the faults, and of the simulation.
const FAULTS_END: Duration = Duration::from_secs(60);
const END: Duration = Duration::from_secs(100);
/// True time at boot, in milliseconds since 1970: the begin of a window.
const TRUE_MS: u64 = 1_767_225_600_000;
/// Time-out of calls to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Part of the design that is taken out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Removed {
    Nothing,
    /// Transactions are applied whatever the row's version.
    Condition,
    /// The holder sends what it counts at the time of the call.
    FixedReport,
    /// Successors do not wait for the lease.
    Wait,
    /// A transaction without an answer counts as applied.
    ReadBack,
    /// Calls are started however late.
    Deadline,
}

/// What a VM waits for.
#[derive(Debug, Clone)]
enum Pending {
    Read {
        row_at: Boot,
        fixed_at: Boot,
        stored: Option<Stored>,
        is_lost: bool,
    },
    Write {
        id: u64,
        until: Boot,
    },
    Collect(Window, Boot),
    Connect(Call, Boot),
    Answer(Window, Boot, CallResult),
}

struct Vm {
    reporter: Reporter,
    incarnation: u64,
    pending: Option<Pending>,
    suspended_until: Boot,
    clock_error: (i64, Boot),
    rank: Rank,
    progress: Progress,
}

struct Flying {
    id: u64,
    at: Boot,
    transaction: Transaction,
    is_answered: bool,
}

/// A call that the platform received.
#[derive(Debug, Clone)]
pub struct Received {
    at: Boot,
    window: Window,
    bytes: Vec<u8>,
    holder: usize,
    token: u64,
}

pub struct World {
    removed: Removed,
    rng: StdRng,
    has_faults: bool,
    /// Whether a data centre never answers the holder.
    is_cut_off: bool,
    now: Boot,
    vms: Vec<Vm>,
    version: u64,
    row: Option<(Row, u64)>,
    fixed: BTreeMap<Window, Vec<u8>>,
    flying: Vec<Flying>,
    answers: BTreeMap<u64, Written>,
    next_id: u64,
    flying_calls: Vec<Received>,
    pub calls: Vec<Received>,
    pub store_calls: usize,
}

fn reporter(number: usize, incarnation: u64, now: Boot) -> Reporter {
    Reporter::new(
        number.to_string().into(),
        incarnation,
        Settings::default(),
        now,
    )
}

impl World {
    pub fn played(seed: u64, removed: Removed) -> Self {
        Self::new(seed, removed, true).play()
    }

    pub fn quiet() -> Self {
        Self::new(1, Removed::Nothing, false).play()
    }

    /// A quiet fleet in which a data centre does not answer.
    pub fn cut_off() -> Self {
        let mut world = Self::new(1, Removed::Nothing, false);
        world.is_cut_off = true;
        world.play()
    }

    fn new(seed: u64, removed: Removed, has_faults: bool) -> Self {
        let mut world = Self {
            removed,
            rng: StdRng::seed_from_u64(seed),
            has_faults,
            is_cut_off: false,
            now: Boot::ZERO,
            vms: Vec::new(),
            version: 10,
            row: None,
            fixed: BTreeMap::new(),
            flying: Vec::new(),
            answers: BTreeMap::new(),
            next_id: 0,
            flying_calls: Vec::new(),
            calls: Vec::new(),
            store_calls: 0,
        };
        for number in 0..VMS {
            let vm = Vm {
                reporter: reporter(number, 1, Boot::ZERO),
                incarnation: 1,
                pending: None,
                suspended_until: Boot::ZERO,
                clock_error: (0, Boot::ZERO),
                rank: if number == 0 {
                    Rank::Leader
                } else {
                    Rank::Delegate
                },
                progress: Progress::default(),
            };
            world.vms.push(vm);
        }
        world
    }

    fn play(mut self) -> Self {
        let mut next_faults = Boot::ZERO;
        while self.now < END {
            if self.now >= next_faults {
                next_faults += Duration::from_secs(1);
                self.draw_faults();
                self.exchange_progress();
            }
            self.deliver();
            (0..VMS).for_each(|vm| self.run(vm));
            self.now += STEP;
        }
        self
    }

    fn is_faulty(&self) -> bool {
        self.has_faults && self.now < FAULTS_END
    }

    fn draw_faults(&mut self) {
        if !self.is_faulty() {
            return;
        }
        for number in 0..VMS {
            if self.rng.random_bool(0.04) {
                let millis = self.rng.random_range(500..8_000);
                self.vms[number].suspended_until = self.now + MS * millis;
            }
            if self.rng.random_bool(0.1) {
                let error = self.rng.random_range(-4_000..4_000);
                let until = self.now + MS * self.rng.random_range(500..6_000);
                self.vms[number].clock_error = (error, until);
            }
            if self.rng.random_bool(0.02) {
                let incarnation = self.vms[number].incarnation + 1;
                let vm = &mut self.vms[number];
                vm.incarnation = incarnation;
                vm.reporter = reporter(number, incarnation, self.now);
                vm.pending = None;
            }
        }
        if self.rng.random_bool(0.2) {
            let leaders = [(); 2].map(|()| self.rng.random_range(0..VMS));
            for (number, vm) in self.vms.iter_mut().enumerate() {
                vm.rank = match leaders.contains(&number) {
                    true => Rank::Leader,
                    false => Rank::Delegate,
                };
            }
        }
    }

    /// Passes on how far the reports have come; half of the messages are lost.
    fn exchange_progress(&mut self) {
        let known: Vec<Progress> = self.vms.iter().map(|vm| vm.progress.clone()).collect();
        for to in 0..VMS {
            for progress in &known {
                if !self.is_faulty() || self.rng.random_bool(0.5) {
                    self.vms[to].reporter.progress.merge(progress);
                }
            }
        }
    }

    /// Delivers transactions to the store and calls to the platform.
    fn deliver(&mut self) {
        let now = self.now;
        let due = |flying: &mut Flying| flying.at <= now;
        for flying in self.flying.extract_if(.., due).collect::<Vec<_>>() {
            let written = self.apply(flying.transaction);
            if flying.is_answered {
                self.answers.insert(flying.id, written);
            }
        }
        let due = |call: &mut Received| call.at <= now;
        self.calls.extend(self.flying_calls.extract_if(.., due));
    }

    fn apply(&mut self, transaction: Transaction) -> Written {
        let version = self.row.as_ref().map_or(0, |(_, version)| *version);
        let exists = |fixed: &Fixed| self.fixed.contains_key(&fixed.window);
        let is_met =
            version == transaction.expected && !transaction.fix.as_ref().is_some_and(exists);
        if !is_met && self.removed != Removed::Condition {
            return Written::Conflict;
        }
        self.version += 1;
        self.row = Some((transaction.row, self.version));
        for window in &transaction.remove {
            self.fixed.remove(window);
        }
        if let Some(fixed) = transaction.fix {
            self.fixed.insert(fixed.window, fixed.bytes);
        }
        Written::Applied(self.version)
    }

    fn run(&mut self, number: usize) {
        if self.now < self.vms[number].suspended_until {
            return;
        }
        self.finish(number);
        if self.vms[number].pending.is_none() {
            let vm = &mut self.vms[number];
            let error = match vm.clock_error {
                (error, until) if self.now < until => error,
                _ => 0,
            };
            let true_ms = (TRUE_MS + self.now.as_millis() as u64).saturating_add_signed(error);
            let step = vm.reporter.next(vm.rank, Some(true_ms), self.now);
            self.begin(number, step);
        }
        self.vms[number].progress = self.vms[number].reporter.progress.clone();
    }

    /// Draws a delay; with faults up to `max`.
    fn delay(&mut self, max: u32) -> Duration {
        let max = if self.is_faulty() { max } else { 30 };
        MS * self.rng.random_range(5..max)
    }

    fn is_lost(&mut self) -> bool {
        self.is_faulty() && self.rng.random_bool(0.12)
    }

    fn begin(&mut self, number: usize, step: Step) {
        let now = self.now;
        self.vms[number].pending = match step {
            Step::Wait => None,
            Step::Read => {
                self.store_calls += 1;
                let row_at = now + self.delay(600);
                let fixed_at = row_at + self.delay(600);
                Some(Pending::Read {
                    row_at,
                    fixed_at,
                    stored: None,
                    is_lost: self.is_lost(),
                })
            }
            Step::Collect(window) => Some(Pending::Collect(window, now + self.delay(700))),
            Step::Write(transaction) => Some(self.write(transaction)),
            Step::Send(call) => Some(Pending::Connect(call, now + self.delay(900))),
        };
    }

    fn write(&mut self, transaction: Transaction) -> Pending {
        self.store_calls += 1;
        self.next_id += 1;
        let id = self.next_id;
        let is_late = self.is_lost();
        let max = if is_late { 6_000 } else { 800 };
        let at = self.now + self.delay(max);
        let is_answered = !is_late && !self.is_lost();
        if !self.is_lost() {
            self.flying.push(Flying {
                id,
                at,
                transaction,
                is_answered,
            });
        }
        let until = self.now + STORE_TIMEOUT;
        Pending::Write { id, until }
    }

    /// Ends what a VM has waited for.
    fn finish(&mut self, number: usize) {
        let now = self.now;
        let Some(pending) = self.vms[number].pending.take() else {
            return;
        };
        let pending = match pending {
            Pending::Read {
                row_at,
                fixed_at,
                mut stored,
                is_lost,
            } => {
                if stored.is_none() && now >= row_at {
                    let row = self.row.clone();
                    stored = Some(Stored {
                        version: row.as_ref().map_or(0, |(_, version)| *version),
                        row: row.map(|(row, _)| row),
                        fixed: Vec::new(),
                    });
                }
                if now >= fixed_at {
                    let fixed = self.fixed.iter().map(|(window, bytes)| Fixed {
                        window: *window,
                        bytes: bytes.clone(),
                    });
                    let fixed = fixed.collect();
                    let stored = stored.filter(|_| !is_lost);
                    let stored = stored.map(|stored| Stored { fixed, ..stored });
                    let seen_at = match self.removed == Removed::Wait {
                        true => now.saturating_sub(Settings::default().lease),
                        false => now,
                    };
                    self.vms[number].reporter.read(stored, seen_at);
                    None
                } else {
                    Some(Pending::Read {
                        row_at,
                        fixed_at,
                        stored,
                        is_lost,
                    })
                }
            }
            Pending::Write { id, until } => match self.answers.remove(&id) {
                Some(written) => {
                    self.vms[number].reporter.written(written, now);
                    None
                }
                None if now >= until => {
                    let written = match self.removed == Removed::ReadBack {
                        true => Written::Applied(self.version),
                        false => Written::Unknown,
                    };
                    self.vms[number].reporter.written(written, now);
                    None
                }
                None => Some(Pending::Write { id, until }),
            },
            Pending::Collect(window, at) if now >= at => {
                // Each count of a window differs.
                let bytes = format!("{window} {number} {now:?}").into_bytes();
                let fixed = Fixed { window, bytes };
                let true_ms = TRUE_MS + now.as_millis() as u64;
                let reporter = &mut self.vms[number].reporter;
                match reporter.collected(fixed, !self.is_cut_off, Some(true_ms), now) {
                    Step::Write(transaction) => Some(self.write(transaction)),
                    _ => None,
                }
            }
            Pending::Connect(call, at) if now >= at => self.send(number, &call),
            Pending::Answer(window, at, result) if now >= at => {
                self.vms[number].reporter.called(window, result, now);
                None
            }
            pending => Some(pending),
        };
        self.vms[number].pending = pending;
    }

    /// Sends a report; the platform receives it before its time-out or never.
    fn send(&mut self, number: usize, call: &Call) -> Option<Pending> {
        let now = self.now;
        if now >= call.start_before && self.removed != Removed::Deadline {
            let reporter = &mut self.vms[number].reporter;
            reporter.called(call.window, CallResult::Failed, now);
            return None;
        }
        let timeout = Settings::default().call_timeout;
        let arrival = now + self.delay(900);
        if !self.is_lost() {
            let bytes = match self.removed == Removed::FixedReport {
                true => format!("{} {number} {now:?}", call.window).into_bytes(),
                false => call.bytes.clone(),
            };
            self.flying_calls.push(Received {
                at: arrival,
                window: call.window,
                bytes,
                holder: number,
                token: call.token,
            });
            if !self.is_lost() {
                return Some(Pending::Answer(call.window, arrival, CallResult::Taken));
            }
        }
        Some(Pending::Answer(
            call.window,
            now + timeout,
            CallResult::Failed,
        ))
    }

    /// Returns the rules that the calls break.
    pub fn violations(&self) -> Vec<String> {
        let mut broken = Vec::new();
        let lease = Settings::default().lease;
        for (index, call) in self.calls.iter().enumerate() {
            let earlier = &self.calls[..index];
            if earlier
                .iter()
                .any(|other| other.window == call.window && other.bytes != call.bytes)
            {
                broken.push(format!("two reports of a window: {call:?}"));
            }
            if earlier
                .iter()
                .any(|other| other.token == call.token && other.holder != call.holder)
            {
                broken.push(format!("two holders with a token: {call:?}"));
            }
            if earlier.iter().any(|other| other.token > call.token) {
                broken.push(format!("a lower token: {call:?}"));
            }
            let foreign = earlier
                .iter()
                .rposition(|other| other.holder != call.holder);
            let before = &earlier[..foreign.unwrap_or_default()];
            let own = before.iter().rfind(|other| other.holder == call.holder);
            if own.is_some_and(|own| call.at - own.at < lease) {
                broken.push(format!("holders to and fro: {call:?}"));
            }
        }
        broken
    }

    /// Returns the windows after the faults that were not reported when they were due.
    pub fn missing_after_faults(&self) -> Vec<Window> {
        let window = Settings::default().window;
        let first = TRUE_MS / window.as_millis() as u64;
        let late = Duration::from_secs(10);
        let from = if self.has_faults {
            (FAULTS_END + late).as_secs() / 5
        } else {
            0
        };
        let windows = from..(END - late).as_secs() / 5 - 1;
        let is_reported = |number: &u64| {
            let due = window * (*number as u32 + 1) + late;
            let mut calls = self.calls.iter();
            calls.any(|call| call.window == first + number && call.at <= due)
        };
        windows.filter(|number| !is_reported(number)).collect()
    }

    /// Returns the number of windows to be reported: from the one before the start to the last that
    /// ended long enough before the end.
    pub fn windows(&self) -> usize {
        (END.as_secs() / 5) as usize
    }
}
