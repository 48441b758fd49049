//! States of a lease as one VM sees it.

use super::row::{Answer, Holder, Permit, Row, Terms};
use base::id::Operation;
use std::time::Instant;

base::value! {
    /// A lease in state `S`.
    pub struct Lease<S> {
        me: Holder,
        terms: Terms,
        state: S,
    }

    /// Not held by this VM; another VM may hold it.
    #[derive(Default)]
    pub struct Vacant {
        seen: Option<(u64, bool, Instant)>,
    }

    /// A write to take the lease was sent.
    pub struct Requested {
        permit: Permit,
        deadline: Instant,
    }

    /// Held by this VM.
    pub struct Held {
        fence: u64,
        deadline: Instant,
        pending: Option<(Permit, Instant)>,
    }

    /// No longer held. Nothing may be done under it; what was decided under it and not written
    /// is void.
    pub struct Expired;

    /// What became of a lease after an answer.
    pub enum Outcome {
        /// Held.
        Held(Lease<Held>),
        /// Taken by another VM, or not taken.
        Vacant(Lease<Vacant>),
        /// Held, and lost again.
        Expired(Lease<Expired>),
        /// The outcome of the request is unknown: read the row back.
        ReadBack(Lease<Requested>),
    }

    /// Why a holder may not write.
    #[derive(Copy)]
    pub enum Refusal {
        /// The deadline has passed.
        Expired,
        /// A write is under way, or its outcome has to be read back.
        Pending,
    }
}

impl Lease<Vacant> {
    /// Starts without knowledge of the row.
    pub fn new(me: Holder, terms: Terms) -> Self {
        let state = Vacant::default();
        Self { me, terms, state }
    }

    /// Takes the row as read. A new version restarts the wait; so does a lower one, which a
    /// restored table would show.
    pub fn observe(&mut self, row: &Row, now: Instant) {
        let free = row.holder.is_none();
        match self.state.seen {
            Some((version, ..)) if version == row.version => {}
            _ => self.state.seen = Some((row.version, free, now)),
        }
    }

    /// Returns when this VM may ask for the lease; `None` before it has read the row. `rank` is
    /// the number of live VMs that come before it for this lease.
    pub fn request_at(&self, rank: usize) -> Option<Instant> {
        let (_, free, since) = self.state.seen?;
        let stagger = self.terms.stagger * u32::try_from(rank).unwrap_or(u32::MAX);
        let wait = if free {
            stagger
        } else {
            self.terms.term + self.terms.margin + stagger
        };
        Some(since + wait)
    }

    /// Asks for the lease, to be called just before the write is sent.
    ///
    /// # Errors
    ///
    /// Returns the lease unchanged if another VM may still hold it.
    pub fn request(
        self,
        rank: usize,
        operation: Operation,
        now: Instant,
    ) -> Result<(Lease<Requested>, Permit), Self> {
        let expected = match (self.request_at(rank), self.state.seen) {
            (Some(at), Some((version, ..))) if now >= at => version,
            _ => return Err(self),
        };
        let permit = Permit {
            expected,
            operation,
        };
        let state = Requested {
            permit: permit.clone(),
            deadline: now + self.terms.term,
        };
        Ok((
            Lease {
                me: self.me,
                terms: self.terms,
                state,
            },
            permit,
        ))
    }
}

impl Lease<Requested> {
    /// Returns the write to repeat while its outcome is unknown. Writes of one operation expect
    /// the same row version, so at most one takes effect.
    pub fn permit(&self) -> &Permit {
        &self.state.permit
    }

    /// Takes the answer to the write `operation`; an answer to another write is ignored.
    pub fn answered(self, operation: &str, answer: Answer, now: Instant) -> Outcome {
        match answer {
            Answer::Written(version) if *self.state.permit.operation == *operation => {
                self.taken(version, now)
            }
            // The conflict may be with an earlier copy of this very write.
            _ => Outcome::ReadBack(self),
        }
    }

    /// Takes the row as read back. A row that still has the expected version leaves the write
    /// open, as it may still arrive; the deadline ends that.
    pub fn read_back(self, row: &Row, now: Instant) -> Outcome {
        if row.operation == self.state.permit.operation {
            return self.taken(row.version, now);
        }
        if row.version <= self.state.permit.expected && now < self.state.deadline {
            return Outcome::ReadBack(self);
        }
        let mut lease = Lease::new(self.me, self.terms);
        lease.observe(row, now);
        Outcome::Vacant(lease)
    }

    fn taken(self, fence: u64, now: Instant) -> Outcome {
        let Self { me, terms, state } = self;
        if now >= state.deadline {
            return Outcome::Expired(Lease {
                me,
                terms,
                state: Expired,
            });
        }
        let state = Held {
            fence,
            deadline: state.deadline,
            pending: None,
        };
        Outcome::Held(Lease { me, terms, state })
    }
}

impl Lease<Held> {
    /// Returns until when the lease is held.
    pub fn deadline(&self) -> Instant {
        self.state.deadline
    }

    /// Returns whether a decision that stays in memory may be made now. It has to be asked for
    /// each decision: a paused process doesn't notice that time passes.
    pub fn holds(&self, now: Instant) -> bool {
        now < self.state.deadline
    }

    /// Returns the holder to put into the row.
    pub fn holder(&self) -> &Holder {
        &self.me
    }

    /// Allows a write to the row and says what it must carry, to be called just before the write
    /// is sent. If it takes effect it also renews the lease.
    ///
    /// # Errors
    ///
    /// The lease has lapsed, or an earlier write is not settled.
    pub fn write(&mut self, operation: Operation, now: Instant) -> Result<Permit, Refusal> {
        if !self.holds(now) {
            return Err(Refusal::Expired);
        }
        if self.state.pending.is_some() {
            return Err(Refusal::Pending);
        }
        let permit = Permit {
            expected: self.state.fence,
            operation,
        };
        self.state.pending = Some((permit.clone(), now));
        Ok(permit)
    }

    /// Returns the write whose outcome is not known, to repeat it or to read the row back.
    pub fn pending(&self) -> Option<&Permit> {
        self.state.pending.as_ref().map(|(permit, _)| permit)
    }

    /// Takes the answer to the write `operation`. After a conflict or a lost answer the write
    /// stays pending until the row is read back. An answer to an earlier write, which was settled
    /// in the meantime, is ignored: it says nothing about the pending one.
    pub fn answered(mut self, operation: &str, answer: Answer, now: Instant) -> Outcome {
        if let Answer::Written(version) = answer
            && let Some((_, sent)) = self
                .state
                .pending
                .take_if(|(permit, _)| *permit.operation == *operation)
        {
            self.renew(version, sent);
        }
        self.check(now)
    }

    /// Takes the row as read back.
    pub fn read_back(mut self, row: &Row, now: Instant) -> Outcome {
        match self.state.pending.take() {
            Some((permit, sent)) if row.operation == permit.operation => {
                self.renew(row.version, sent);
            }
            // Still open: the write may not have arrived yet.
            pending if row.version <= self.state.fence => self.state.pending = pending,
            _ => return Outcome::Expired(self.expire()),
        }
        self.check(now)
    }

    fn renew(&mut self, version: u64, sent: Instant) {
        self.state.fence = version;
        self.state.deadline = self.state.deadline.max(sent + self.terms.term);
    }

    fn check(self, now: Instant) -> Outcome {
        if self.holds(now) {
            Outcome::Held(self)
        } else {
            Outcome::Expired(self.expire())
        }
    }

    /// Gives the lease back by a last write, which must put no holder into the row. The lease
    /// has ended whatever becomes of that write.
    ///
    /// # Errors
    ///
    /// The lease has lapsed, or an earlier write is not settled; nothing is to be written.
    pub fn release(
        mut self,
        operation: Operation,
        now: Instant,
    ) -> (Lease<Expired>, Result<Permit, Refusal>) {
        let permit = self.write(operation, now);
        (self.expire(), permit)
    }

    /// Ends the lease after a refusal.
    pub fn expire(self) -> Lease<Expired> {
        Lease {
            me: self.me,
            terms: self.terms,
            state: Expired,
        }
    }
}

impl Lease<Expired> {
    /// Contends again, without knowledge of the row.
    pub fn restart(self) -> Lease<Vacant> {
        Lease::new(self.me, self.terms)
    }
}
