//! Choice of what a VM does next about the usage reports.

use super::{
    Boot, Call, Duty, Fixed, Settings, State, Stored, Token, Transaction, Window, Written,
};
use base::id::{Incarnation, Vm};

base::label! {
    /// Part of a VM in the reports.
    pub enum Rank {
        /// The VM that reports when all is well.
        Leader,
        /// A VM that reads the store, and acts on overdue windows.
        Delegate,
        /// A VM that does not report.
        Other,
    }

    /// How a call to the platform ended.
    pub enum CallResult {
        /// The platform took the report.
        Taken,
        /// It did not yet, or its answer is not known.
        Failed,
        /// It refused the report for good.
        Rejected,
    }
}

base::message! {
    /// How far the reports have come, as VMs tell each other.
    #[derive(Default)]
    pub struct Progress {
        /// Name of the holder; empty for none.
        pub holder: Vm,
        /// Its fencing token.
        pub token: Token,
        /// Last window that is fixed; 0 for none.
        pub fixed: Window,
        /// Last window up to which all were sent or given up; 0 for none.
        pub sent: Window,
    }
}

impl Progress {
    /// Merges what another VM tells.
    pub fn merge(&mut self, other: &Self) {
        if other.token > self.token {
            self.holder = other.holder.clone();
            self.token = other.token;
        }
        self.fixed = self.fixed.max(other.fixed);
        self.sent = self.sent.max(other.sent);
    }
}

base::value! {
    /// What is to be done.
    pub enum Step {
        /// Nothing now.
        Wait,
        /// Read the holder's row, then the fixed reports; then [`Reporter::read`].
        Read,
        /// Collect the counts of a window; then [`Reporter::collected`].
        Collect(Window),
        /// Make a transaction; then [`Reporter::written`].
        Write(Transaction),
        /// Send a report unless its time is over; then [`Reporter::called`].
        Send(Call),
    }
}

/// Decides when this VM reads, takes over, fixes and sends.
#[derive(Debug, Clone)]
pub struct Reporter {
    settings: Settings,
    /// None only within a method.
    state: State,
    /// What this VM knows of the reports.
    pub progress: Progress,
    vm: Vm,
    /// When the process started.
    started_at: Boot,
    /// Pause after a failure of the store.
    pause_until: Boot,
    /// When counts are collected again after a data centre did not answer. Reports are sent meanwhile.
    collect_from: Boot,
    /// When reports are sent again after a failed call. Windows are fixed meanwhile.
    send_from: Boot,
}

impl Reporter {
    /// Starts as a VM that does not hold; `now` is when the process started.
    pub fn new(vm: Vm, incarnation: Incarnation, settings: Settings, now: Boot) -> Self {
        Self {
            settings,
            state: State::Unread(Duty::new(vm.clone(), incarnation, settings)),
            progress: Progress::default(),
            vm,
            started_at: now,
            pause_until: Boot::ZERO,
            collect_from: Boot::ZERO,
            send_from: Boot::ZERO,
        }
    }

    /// Returns what is to be done; `true_ms` is true time in milliseconds since 1970.
    pub fn next(&mut self, rank: Rank, true_ms: Option<u64>, now: Boot) -> Step {
        let Some(true_ms) = true_ms else {
            return Step::Wait;
        };
        let start = self.first_window(true_ms, now);
        if now < self.pause_until || !self.is_acting(rank, start, true_ms) {
            return Step::Wait;
        }
        match self.state.clone() {
            State::Unread(_) | State::Unresolved(_) => Step::Read,
            // The answer is lost to this VM.
            State::Writing(writing) => {
                self.state = writing.written(Written::Unknown);
                Step::Read
            }
            State::Observed(duty) => {
                let fixed = duty.holder().map_or(0, |row| row.window);
                let next = (fixed.max(self.progress.sent) + 1).max(start);
                if rank == Rank::Leader && !self.settings.is_past(next, self.settings.fix, true_ms)
                {
                    return Step::Wait;
                }
                match duty.claim(start, now) {
                    Some((writing, transaction)) => self.write(writing, transaction),
                    None => Step::Wait,
                }
            }
            State::Held(duty) => self.report(duty, true_ms, now),
        }
    }

    /// Returns the first window to be reported if no VM has held yet: the one before this VM's start,
    /// in which other VMs that start with it may have served.
    fn first_window(&self, true_ms: u64, now: Boot) -> Window {
        let running = now.saturating_sub(self.started_at).as_millis();
        let started = true_ms.saturating_sub(u64::try_from(running).unwrap_or(u64::MAX));
        self.settings.window_at(started).saturating_sub(1)
    }

    /// Whether this VM may act: the leader always, another one when a window is overdue.
    fn is_acting(&self, rank: Rank, start: Window, true_ms: u64) -> bool {
        let next = (self.progress.sent + 1).max(start);
        match rank {
            Rank::Leader => true,
            Rank::Delegate => self.settings.is_past(next, self.settings.overdue, true_ms),
            Rank::Other => false,
        }
    }

    fn report(&mut self, mut duty: Duty<super::Held>, true_ms: u64, now: Boot) -> Step {
        let settings = self.settings;
        let is_given_up = |window| settings.is_past(window, settings.give_up, true_ms);
        duty.settle(|window| window <= self.progress.sent || is_given_up(window));
        self.state = State::Held(duty.clone());
        let next = self.next_window(&duty, true_ms);
        // Reports that the platform does not take must not delay the next window.
        if settings.is_past(next, settings.fix, true_ms) && now >= self.collect_from {
            return Step::Collect(next);
        }
        if duty.has_unsent() && now >= self.send_from {
            return match duty.call(now) {
                Some(call) => Step::Send(call),
                None => {
                    let (writing, transaction) = duty.renew(None, now);
                    self.write(writing, transaction)
                }
            };
        }
        Step::Wait
    }

    /// Returns the next window to be fixed.
    fn next_window(&self, duty: &Duty<super::Held>, true_ms: u64) -> Window {
        let give_up = u64::try_from(self.settings.give_up.as_millis()).unwrap_or(u64::MAX);
        let oldest = self.settings.window_at(true_ms.saturating_sub(give_up));
        (duty.window() + 1).max(oldest)
    }

    fn write(&mut self, writing: Duty<super::Writing>, transaction: Transaction) -> Step {
        self.state = State::Writing(writing);
        Step::Write(transaction)
    }

    /// Applies the counts of a window, as the body of its report. A window that lacks the counts of
    /// a data centre is fixed only when there is no more time to wait for them.
    pub fn collected(
        &mut self,
        fixed: Fixed,
        is_complete: bool,
        true_ms: Option<u64>,
        now: Boot,
    ) -> Step {
        let (State::Held(duty), Some(true_ms)) = (self.state.clone(), true_ms) else {
            return Step::Wait;
        };
        let may_wait = !self
            .settings
            .is_past(fixed.window, self.settings.wait_missing, true_ms);
        if fixed.window <= duty.window() || (!is_complete && may_wait) {
            self.collect_from = now + self.settings.pause;
            return Step::Wait;
        }
        let (writing, transaction) = duty.renew(Some(fixed), now);
        self.write(writing, transaction)
    }

    /// Applies what was read from the store, or that it could not be read; `now` is after the answer.
    pub fn read(&mut self, stored: Option<Stored>, now: Boot) {
        let Some(stored) = stored else {
            self.pause_until = now + self.settings.pause;
            return;
        };
        self.state = match self.state.clone() {
            State::Unread(duty) => duty.read(stored, now),
            State::Unresolved(duty) => duty.read(stored, now),
            state => state,
        };
        self.note_held();
    }

    /// Applies the answer to a transaction.
    pub fn written(&mut self, answer: Written, now: Boot) {
        if !matches!(answer, Written::Applied(_)) {
            self.pause_until = now + self.settings.pause;
        }
        if let State::Writing(writing) = self.state.clone() {
            self.state = writing.written(answer);
        }
        self.note_held();
    }

    /// Applies the result of a call with the report of a window.
    pub fn called(&mut self, window: Window, result: CallResult, now: Boot) {
        if let State::Held(duty) = &mut self.state {
            match result {
                CallResult::Taken | CallResult::Rejected => duty.settle(|sent| sent == window),
                CallResult::Failed => duty.postpone(window),
            }
        }
        if result == CallResult::Failed {
            self.send_from = now + self.settings.pause;
        }
        self.note_held();
    }

    fn note_held(&mut self) {
        if let State::Held(duty) = &self.state {
            let held = Progress {
                holder: self.vm.clone(),
                token: duty.token(),
                fixed: duty.window(),
                sent: duty.sent_through(),
            };
            self.progress.merge(&held);
        }
    }
}
