//! States of a lease, as seen by one VM.

use super::row::{Answer, Holder, Permit, Row, Terms};
use base::id::Operation;
use std::time::Instant;

base::value! {
    /// A lease in state `S`.
    pub struct Lease<S> {
        holder: Holder,
        terms: Terms,
        state: S,
    }

    /// Not held by this VM; another VM may hold it.
    #[derive(Default)]
    pub struct Vacant {
        last_read: Option<(u64, bool, Instant)>,
    }

    /// A write that acquires the lease was sent.
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

    /// No longer held. Decisions made under it that were not written are void.
    pub struct Expired;

    /// State of a lease after an answer.
    pub enum Outcome {
        /// Held.
        Held(Lease<Held>),
        /// Not acquired; another VM may hold it.
        Vacant(Lease<Vacant>),
        /// Expired, or acquired by another VM.
        Expired(Lease<Expired>),
        /// The outcome of the request is unknown: read the row back.
        ReadBack(Lease<Requested>),
    }

    /// Reason why a holder may not write.
    #[derive(Copy)]
    pub enum Refusal {
        /// The deadline has passed.
        Expired,
        /// A write is in flight, or its outcome has to be read back.
        Pending,
    }
}

impl Lease<Vacant> {
    /// Starts without having read the row.
    pub fn new(holder: Holder, terms: Terms) -> Self {
        let state = Vacant::default();
        Self {
            holder,
            terms,
            state,
        }
    }

    /// Records the row as read. A different version restarts the wait; it may be lower if the table
    /// was restored from a backup.
    pub fn observe(&mut self, row: &Row, now: Instant) {
        let is_free = row.holder.is_none();
        match self.state.last_read {
            Some((version, ..)) if version == row.version => {}
            _ => self.state.last_read = Some((row.version, is_free, now)),
        }
    }

    /// Returns when this VM may request the lease; `None` before it has read the row. `rank` is the
    /// number of live VMs that rank before it for this lease.
    pub fn request_at(&self, rank: usize) -> Option<Instant> {
        let (_, is_free, since) = self.state.last_read?;
        let stagger = self.terms.stagger * u32::try_from(rank).unwrap_or(u32::MAX);
        let wait = if is_free {
            stagger
        } else {
            self.terms.term + self.terms.margin + stagger
        };
        Some(since + wait)
    }

    /// Requests the lease; must be called just before the write is sent.
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
        let expected = match (self.request_at(rank), self.state.last_read) {
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
                holder: self.holder,
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

    /// Applies the answer to the write `operation`; an answer to another write is ignored.
    pub fn answered(self, operation: &str, answer: Answer, now: Instant) -> Outcome {
        match answer {
            Answer::Written(version) if *self.state.permit.operation == *operation => {
                self.acquired(version, now)
            }
            // The conflict may be with an earlier copy of the same write.
            _ => Outcome::ReadBack(self),
        }
    }

    /// Applies the row as read back. While the row has the expected version, the write may still
    /// arrive, so its outcome stays unknown until the deadline.
    pub fn read_back(self, row: &Row, now: Instant) -> Outcome {
        if row.operation == self.state.permit.operation {
            return self.acquired(row.version, now);
        }
        if row.version <= self.state.permit.expected && now < self.state.deadline {
            return Outcome::ReadBack(self);
        }
        let mut lease = Lease::new(self.holder, self.terms);
        lease.observe(row, now);
        Outcome::Vacant(lease)
    }

    fn acquired(self, fence: u64, now: Instant) -> Outcome {
        let Self {
            holder,
            terms,
            state,
        } = self;
        if now >= state.deadline {
            return Outcome::Expired(Lease {
                holder,
                terms,
                state: Expired,
            });
        }
        let state = Held {
            fence,
            deadline: state.deadline,
            pending: None,
        };
        Outcome::Held(Lease {
            holder,
            terms,
            state,
        })
    }
}

impl Lease<Held> {
    /// Returns the time until which the lease is held.
    pub fn deadline(&self) -> Instant {
        self.state.deadline
    }

    /// Reports whether a decision in memory may be made now. Must be called for each decision,
    /// because a process may have been paused since the last call.
    pub fn holds(&self, now: Instant) -> bool {
        now < self.state.deadline
    }

    /// Returns the holder to write into the row.
    pub fn holder(&self) -> &Holder {
        &self.holder
    }

    /// Returns the permit of a write to the row; must be called just before the write is sent. A
    /// write that takes effect also renews the lease.
    ///
    /// # Errors
    ///
    /// The lease has expired, or an earlier write is pending.
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

    /// Returns the write whose outcome is unknown, to repeat it or to read the row back.
    pub fn pending(&self) -> Option<&Permit> {
        self.state.pending.as_ref().map(|(permit, _)| permit)
    }

    /// Applies the answer to the write `operation`. After a conflict or a lost answer the write
    /// stays pending until the row is read back. An answer to an earlier write, whose outcome was
    /// read back in the meantime, is ignored: it says nothing about the pending one.
    pub fn answered(mut self, operation: &str, answer: Answer, now: Instant) -> Outcome {
        if let Answer::Written(version) = answer
            && let Some((_, sent)) = self
                .state
                .pending
                .take_if(|(permit, _)| *permit.operation == *operation)
        {
            self.renew(version, sent);
        }
        self.checked(now)
    }

    /// Applies the row as read back.
    pub fn read_back(mut self, row: &Row, now: Instant) -> Outcome {
        match self.state.pending.take() {
            Some((permit, sent)) if row.operation == permit.operation => {
                self.renew(row.version, sent);
            }
            // Still unknown: the write may not have arrived yet.
            pending if row.version <= self.state.fence => self.state.pending = pending,
            _ => return Outcome::Expired(self.expire()),
        }
        self.checked(now)
    }

    fn renew(&mut self, version: u64, sent: Instant) {
        self.state.fence = version;
        self.state.deadline = self.state.deadline.max(sent + self.terms.term);
    }

    fn checked(self, now: Instant) -> Outcome {
        if self.holds(now) {
            Outcome::Held(self)
        } else {
            Outcome::Expired(self.expire())
        }
    }

    /// Releases the lease by a last write, which must leave the row without a holder. The lease has
    /// ended whatever the outcome of that write.
    ///
    /// # Errors
    ///
    /// The lease has expired, or an earlier write is pending; nothing may be written.
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
            holder: self.holder,
            terms: self.terms,
            state: Expired,
        }
    }
}

impl Lease<Expired> {
    /// Contends again, without having read the row.
    pub fn restart(self) -> Lease<Vacant> {
        Lease::new(self.holder, self.terms)
    }
}
