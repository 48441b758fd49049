//! Life cycle of the holder, the one VM that reports: typestate over the transactions of its row.

use super::{Boot, Settings, Token, Window};
use base::id::{Incarnation, Vm};

base::message! {
    /// Row of the holder in the store.
    pub struct Row {
        /// VM that holds.
        pub holder: Vm,
        /// Its incarnation; a restarted VM takes over like any other.
        pub incarnation: Incarnation,
        /// Fencing token: the version of the row at the takeover; 0 in the row of the takeover.
        pub token: Token,
        /// Last window whose report is fixed; no earlier one may be fixed any more.
        pub window: Window,
    }
}

base::value! {
    /// A report whose bytes no longer change.
    pub struct Fixed {
        /// Window.
        pub window: Window,
        /// Body of the call.
        pub bytes: Vec<u8>,
    }

    /// What the store holds.
    #[derive(Default)]
    pub struct Stored {
        /// Version of the holder's row; 0 if there is none.
        pub version: Token,
        /// The holder's row.
        pub row: Option<Row>,
        /// Reports that were fixed and not removed, in the order of their windows. They must be
        /// read after the holder's row.
        pub fixed: Vec<Fixed>,
    }

    /// Writes of one conditional transaction, all or none.
    pub struct Transaction {
        /// Version that the holder's row must have; 0 if it must not exist.
        pub expected: Token,
        /// The holder's new row.
        pub row: Row,
        /// A report to be fixed, whose row must not exist.
        pub fix: Option<Fixed>,
        /// Windows whose reports are removed.
        pub remove: Vec<Window>,
    }

    /// Answer to a transaction.
    #[derive(Copy)]
    pub enum Written {
        /// It was applied, with this version.
        Applied(Token),
        /// The row has another version.
        Conflict,
        /// It was not applied and never will be.
        Refused,
        /// It may have been applied, or may be applied later.
        Unknown,
    }

    /// A call to the platform.
    pub struct Call {
        /// Window of the report.
        pub window: Window,
        /// Body.
        pub bytes: Vec<u8>,
        /// Fencing token.
        pub token: Token,
        /// From this time on, the call must not be started any more.
        pub start_before: Boot,
    }

    /// Who contends, and by which times.
    pub struct Duty<S> {
        vm: Vm,
        incarnation: Incarnation,
        settings: Settings,
        state: S,
    }

    /// The holder's row is not known.
    #[derive(Copy)]
    pub struct Unread;

    /// Another run holds, or none does.
    pub struct Observed {
        stored: Stored,
        /// When the version was first seen.
        since: Boot,
        /// When the first transaction began whose effect is unknown.
        unresolved: Option<Boot>,
    }

    /// This run holds, as far as it knows.
    pub struct Held {
        version: Token,
        token: Token,
        window: Window,
        /// When the transaction began by which the row was renewed; none if that is not known.
        renewed_at: Option<Boot>,
        unsent: Vec<Fixed>,
        /// Reported windows whose rows are still to be removed.
        sent: Vec<Window>,
        unresolved: Option<Boot>,
    }

    /// A transaction was begun.
    pub struct Writing {
        before: Before,
        transaction: Transaction,
        begun_at: Boot,
    }

    /// A transaction had no answer. Nothing may be sent before the row is read back.
    pub struct Unresolved {
        before: Before,
        expected: Token,
        /// When the first transaction began whose effect is unknown.
        begun_at: Boot,
    }

    /// State before a transaction.
    enum Before {
        Observed(Observed),
        Held(Held),
    }

    /// State after an answer of the store.
    pub enum State {
        /// The row must be read.
        Unread(Duty<Unread>),
        /// Another run holds, or none does.
        Observed(Duty<Observed>),
        /// This run holds.
        Held(Duty<Held>),
        /// A transaction is unanswered.
        Writing(Duty<Writing>),
        /// The row must be read back.
        Unresolved(Duty<Unresolved>),
    }
}

impl<S> Duty<S> {
    fn with<T>(self, state: T) -> Duty<T> {
        Duty {
            vm: self.vm,
            incarnation: self.incarnation,
            settings: self.settings,
            state,
        }
    }

    fn owns(&self, row: &Row) -> bool {
        row.holder == self.vm && row.incarnation == self.incarnation
    }

    fn row(&self, token: Token, window: Window) -> Row {
        Row {
            holder: self.vm.clone(),
            incarnation: self.incarnation,
            token,
            window,
        }
    }

    /// Returns the state by what the store holds. `renewed_at` is when the transaction began that
    /// wrote the row, if this run did.
    fn by(self, stored: Stored, renewed_at: Option<Boot>, sent: &[Window], now: Boot) -> State {
        match &stored.row {
            Some(row) if self.owns(row) => {
                let token = if row.token == 0 {
                    stored.version
                } else {
                    row.token
                };
                let (sent, unsent) = stored
                    .fixed
                    .into_iter()
                    .partition::<Vec<_>, _>(|fixed| sent.contains(&fixed.window));
                let held = Held {
                    version: stored.version,
                    token,
                    window: row.window,
                    renewed_at,
                    unsent,
                    sent: sent.into_iter().map(|fixed| fixed.window).collect(),
                    unresolved: None,
                };
                State::Held(self.with(held))
            }
            _ => State::Observed(self.with(Observed {
                stored,
                since: now,
                unresolved: None,
            })),
        }
    }
}

impl Duty<Unread> {
    /// Starts without having read the row.
    pub fn new(vm: Vm, incarnation: Incarnation, settings: Settings) -> Self {
        Self {
            vm,
            incarnation,
            settings,
            state: Unread,
        }
    }

    /// Applies what was read from the store; `now` is after the answer.
    pub fn read(self, stored: Stored, now: Boot) -> State {
        self.by(stored, None, &[], now)
    }
}

impl Duty<Observed> {
    /// Returns the row of the holder.
    pub fn holder(&self) -> Option<&Row> {
        self.state.stored.row.as_ref()
    }

    /// Takes over; must be called just before the transaction is made. `first` is the first window
    /// to be reported if there was no holder yet. Returns none if another VM may still hold.
    pub fn claim(self, first: Window, now: Boot) -> Option<(Duty<Writing>, Transaction)> {
        let is_free = self.state.stored.version == 0;
        if !is_free && now.saturating_sub(self.state.since) < self.settings.lease {
            return None;
        }
        let window = self
            .holder()
            .map_or(first.saturating_sub(1), |row| row.window);
        let transaction = Transaction {
            expected: self.state.stored.version,
            row: self.row(0, window),
            fix: None,
            remove: Vec::new(),
        };
        let before = Before::Observed(self.state.clone());
        Some((
            self.with(Writing {
                before,
                transaction: transaction.clone(),
                begun_at: now,
            }),
            transaction,
        ))
    }
}

impl Duty<Held> {
    /// Returns the fencing token.
    pub fn token(&self) -> Token {
        self.state.token
    }

    /// Returns the last window that is fixed.
    pub fn window(&self) -> Window {
        self.state.window
    }

    /// Returns the last window up to which all reports are sent or given up.
    pub fn sent_through(&self) -> Window {
        let unsent = self.state.unsent.iter().map(|fixed| fixed.window);
        unsent
            .min()
            .map_or(self.state.window, |first| first.saturating_sub(1))
    }

    /// Moves a report behind the others after a failed call, so that it does not delay them.
    pub fn postpone(&mut self, window: Window) {
        let is_failed = |fixed: &Fixed| fixed.window == window;
        let unsent = &mut self.state.unsent;
        if let Some(index) = unsent.iter().position(is_failed) {
            let failed = unsent.remove(index);
            unsent.push(failed);
        }
    }

    /// Returns whether a fixed report is not known to be sent.
    pub fn has_unsent(&self) -> bool {
        !self.state.unsent.is_empty()
    }

    /// Returns the next call, if it may be started now; otherwise the row has to be renewed first.
    pub fn call(&self, now: Boot) -> Option<Call> {
        let fixed = self.state.unsent.first()?;
        let renewed_at = self.state.renewed_at?;
        let start_before = renewed_at
            + self
                .settings
                .lease
                .saturating_sub(self.settings.call_timeout);
        (now < start_before).then(|| Call {
            window: fixed.window,
            bytes: fixed.bytes.clone(),
            token: self.state.token,
            start_before,
        })
    }

    /// Records that the reports of windows need not be sent any more.
    pub fn settle(&mut self, is_settled: impl Fn(Window) -> bool) {
        let settled = self.state.unsent.iter().map(|fixed| fixed.window);
        let settled: Vec<Window> = settled.filter(|window| is_settled(*window)).collect();
        self.state
            .unsent
            .retain(|fixed| !settled.contains(&fixed.window));
        self.state.sent.extend(settled);
    }

    /// Renews the row and fixes the report of a window, if there is one; must be called just before
    /// the transaction is made. Reports that were sent are removed by the same transaction.
    pub fn renew(self, fix: Option<Fixed>, now: Boot) -> (Duty<Writing>, Transaction) {
        let window = fix.as_ref().map_or(self.state.window, |fixed| fixed.window);
        let transaction = Transaction {
            expected: self.state.version,
            row: self.row(self.state.token, window),
            fix,
            remove: self.state.sent.clone(),
        };
        let before = Before::Held(self.state.clone());
        (
            self.with(Writing {
                before,
                transaction: transaction.clone(),
                begun_at: now,
            }),
            transaction,
        )
    }
}

impl Duty<Writing> {
    /// Applies the answer to the transaction.
    pub fn written(self, answer: Written) -> State {
        let Writing {
            before,
            transaction,
            begun_at,
        } = self.state.clone();
        let unresolved = match &before {
            Before::Observed(observed) => observed.unresolved,
            Before::Held(held) => held.unresolved,
        };
        match answer {
            Written::Applied(version) => {
                let (mut unsent, token) = match before {
                    Before::Observed(observed) => (observed.stored.fixed, version),
                    Before::Held(held) => (held.unsent, held.token),
                };
                unsent.extend(transaction.fix);
                State::Held(self.with(Held {
                    version,
                    token,
                    window: transaction.row.window,
                    renewed_at: Some(begun_at),
                    unsent,
                    sent: Vec::new(),
                    unresolved: None,
                }))
            }
            Written::Refused => self.back(before),
            // The row may have been written by an earlier transaction of this run.
            Written::Conflict if unresolved.is_none() => State::Unread(self.with(Unread)),
            Written::Conflict | Written::Unknown => State::Unresolved(self.with(Unresolved {
                before,
                expected: transaction.expected,
                begun_at: unresolved.unwrap_or(begun_at),
            })),
        }
    }
}

impl<S> Duty<S> {
    fn back(self, before: Before) -> State {
        match before {
            Before::Observed(observed) => State::Observed(self.with(observed)),
            Before::Held(held) => State::Held(self.with(held)),
        }
    }
}

impl Duty<Unresolved> {
    /// Applies what was read back from the store; `now` is after the answer. While the row has the
    /// expected version, the transaction may still be applied.
    pub fn read(self, stored: Stored, now: Boot) -> State {
        let Unresolved {
            mut before,
            expected,
            begun_at,
        } = self.state.clone();
        if stored.version == expected {
            match &mut before {
                Before::Observed(observed) => observed.unresolved = Some(begun_at),
                Before::Held(held) => held.unresolved = Some(begun_at),
            }
            return self.back(before);
        }
        let sent = match &before {
            Before::Observed(_) => Vec::new(),
            Before::Held(held) => held.sent.clone(),
        };
        self.by(stored, Some(begun_at), &sent, now)
    }
}
