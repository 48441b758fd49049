//! Typestate of one request, which guarantees that the reported outcome is true.
//!
//! Start with [`Attempt::new`], call [`Attempt::send`] before the first byte is sent to a backend
//! server, and end with [`Sent::served`] or [`Sent::fail`]. A failure returns an [`Attempt`] to
//! send elsewhere, or the final [`Outcome`]. An attempt that is not sent ends with
//! [`Attempt::refuse`]. While a send is unanswered, [`Sent::hedge`] allows another one, and
//! [`Sent::hedge_failed`] records its failure. [`NotRun`] has no public constructor: it results
//! only from a request of which no server received a byte, or of which each server that did stated
//! that it did not run it.

mod reason;

pub use reason::{Failure, Refusal, RetryReason, Uncertainty};

/// History of a request that no backend server can have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unsent;
/// History of a request that a backend server may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MayHaveRun(Uncertainty);

base::value! {
    /// A request that no backend server has at the moment.
    pub struct Pending<H> {
        idempotent: bool,
        history: H,
    }

    /// A request that no backend server has at the moment, with either history.
    pub enum Attempt {
        /// No backend server can have run it.
        Unsent(Pending<Unsent>),
        /// A backend server may have run it; its route is idempotent.
        MayHaveRun(Pending<MayHaveRun>),
    }

    /// A request that is being sent to a backend server or waits for its answer.
    pub struct Sent {
        before: Attempt,
    }

    /// Proof that no backend server ran the request, with the reason for the refusal.
    pub struct NotRun {
        reason: Refusal,
    }

    /// Outcome reported to the caller.
    pub enum Outcome {
        /// A backend server ran the request and its answer was forwarded.
        Served,
        /// The same request id was served before; the answer is no longer available.
        ServedBefore,
        /// No backend server ran the request.
        NotRun(NotRun),
        /// A backend server may have run the request.
        Unknown(Uncertainty),
    }

    /// Next step after a failure.
    pub enum Step {
        /// The request may be sent to another backend server, within the retry budget.
        Retry(Attempt, RetryReason),
        /// The request has ended.
        Done(Outcome),
    }
}

impl NotRun {
    /// Returns the reason for the refusal.
    pub fn reason(&self) -> Refusal {
        self.reason
    }
}

impl Pending<Unsent> {
    /// Ends the request without running it.
    pub fn refuse(self, reason: Refusal) -> Outcome {
        Outcome::NotRun(NotRun { reason })
    }
}

impl Pending<MayHaveRun> {
    /// Ends the request; the first cause of uncertainty is reported.
    pub fn end(self) -> Outcome {
        Outcome::Unknown(self.history.0)
    }
}

impl Attempt {
    /// Creates a request of which nothing was sent.
    pub fn new(idempotent: bool) -> Self {
        Self::Unsent(Pending {
            idempotent,
            history: Unsent,
        })
    }

    fn idempotent(&self) -> bool {
        match self {
            Self::Unsent(queued) => queued.idempotent,
            Self::MayHaveRun(queued) => queued.idempotent,
        }
    }

    /// Enters the state in which bytes may reach a backend server.
    pub fn send(self) -> Sent {
        Sent { before: self }
    }

    /// Ends a request that is not sent (again): not run for `reason`, unless it may have run.
    pub fn refuse(self, reason: Refusal) -> Outcome {
        match self {
            Self::Unsent(queued) => queued.refuse(reason),
            Self::MayHaveRun(queued) => queued.end(),
        }
    }

    /// Ends a request whose last send may have run; an earlier cause of uncertainty is reported.
    pub fn end_unknown(self, cause: Uncertainty) -> Outcome {
        match self {
            Self::Unsent(_) => Outcome::Unknown(cause),
            Self::MayHaveRun(queued) => queued.end(),
        }
    }
}

impl Sent {
    /// Ends the request with the answer of the backend server.
    pub fn served(self) -> Outcome {
        Outcome::Served
    }

    /// Returns what may follow a failed send.
    ///
    /// If the request did not run, it may be sent elsewhere and its history is unchanged. If it may
    /// have run, only an idempotent route allows another send, and from then on the outcome can no
    /// longer be "not run".
    pub fn fail(self, failure: Failure) -> Step {
        match failure {
            Failure::Unsent(retry) | Failure::Refused(retry) => Step::Retry(self.before, retry),
            Failure::MayHaveRun(cause @ (Uncertainty::DeadlinePassed | Uncertainty::Cancelled)) => {
                Step::Done(self.before.end_unknown(cause))
            }
            // The answer of another server would be as large.
            Failure::MayHaveRun(cause @ Uncertainty::AnswerTooLarge) => {
                Step::Done(Outcome::Unknown(cause))
            }
            Failure::MayHaveRun(cause) if !self.before.idempotent() => {
                Step::Done(Outcome::Unknown(cause))
            }
            Failure::MayHaveRun(cause) => {
                let first = match self.before {
                    Attempt::Unsent(_) => cause,
                    Attempt::MayHaveRun(queued) => queued.history.0,
                };
                let queued = Pending {
                    idempotent: true,
                    history: MayHaveRun(first),
                };
                let retry = match cause {
                    Uncertainty::Silent => RetryReason::Silent,
                    _ => RetryReason::Interrupted,
                };
                Step::Retry(Attempt::MayHaveRun(queued), retry)
            }
        }
    }

    /// Allows another send while this one is unanswered, if the request is idempotent.
    pub fn hedge(&self) -> Option<Attempt> {
        self.before.idempotent().then(|| self.before.clone())
    }

    /// Records the failure of another send of the request while this one continues.
    pub fn hedge_failed(&mut self, failure: Failure) {
        if let (Failure::MayHaveRun(cause), Attempt::Unsent(queued)) = (failure, &self.before) {
            self.before = Attempt::MayHaveRun(Pending {
                idempotent: queued.idempotent,
                history: MayHaveRun(cause),
            });
        }
    }

    /// Ends the request because its caller disconnected while a backend server had it.
    pub fn cancel(self) -> Outcome {
        self.before.end_unknown(Uncertainty::Cancelled)
    }
}
