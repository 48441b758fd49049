//! Life cycle of one request, by which the reported outcome is always true.
//!
//! Use: start with [`Attempt::new`]; call [`Attempt::send`] before the first byte is handed to a
//! backend server; end with [`Sent::served`] or [`Sent::fail`]. A failure gives back an
//! [`Attempt`] to send elsewhere or the final [`Outcome`]. An attempt that is not sent ends with
//! [`Attempt::refuse`]. While a send is unanswered, [`Sent::hedge`] allows another one, and
//! [`Sent::hedge_failed`] takes in how that one failed. [`NotRun`] has no public constructor: it comes only from a request of
//! which no backend server got a byte, or which each server that got one said it did not run.

mod reason;

pub use reason::{Failure, Refusal, RetryReason, Uncertainty};

/// History of a request that no backend server can have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unsent;
/// History of a request that a backend server may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MayHaveRun(Uncertainty);

base::value! {
    /// A request that is not with a backend server now.
    pub struct Pending<H> {
        idempotent: bool,
        history: H,
    }

    /// A request that is not with a backend server now, with either history.
    pub enum Attempt {
        /// No backend server can have run it.
        Unsent(Pending<Unsent>),
        /// A backend server may have run it; its route is idempotent.
        MayHaveRun(Pending<MayHaveRun>),
    }

    /// A request that is being handed to a backend server.
    pub struct Sent {
        before: Attempt,
    }

    /// Proof that no backend server ran the request, with the reason for the refusal.
    pub struct NotRun {
        reason: Refusal,
    }

    /// What the caller is told.
    pub enum Outcome {
        /// A backend server ran the request and its answer was passed on.
        Served,
        /// The same request id was served before; the answer is no longer there.
        ServedBefore,
        /// No backend server ran the request.
        NotRun(NotRun),
        /// A backend server may have run the request.
        Unknown(Uncertainty),
    }

    /// What follows a failure.
    pub enum Step {
        /// The request may be sent to another backend server, within the retry budget.
        Retry(Attempt, RetryReason),
        /// The request is over.
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
    /// Starts the life of a request of which nothing was sent.
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

    /// Moves to the state in which bytes may reach a backend server.
    pub fn send(self) -> Sent {
        Sent { before: self }
    }

    /// Ends a request that is not sent (again): not run for `reason` if that is certain.
    pub fn refuse(self, reason: Refusal) -> Outcome {
        match self {
            Self::Unsent(queued) => queued.refuse(reason),
            Self::MayHaveRun(queued) => queued.end(),
        }
    }

    /// Ends a request of which an earlier send may have run.
    pub fn uncertain(self, cause: Uncertainty) -> Outcome {
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

    /// Decides what a failed send allows.
    ///
    /// If nothing ran, the request may go elsewhere and its history stays as it was. If it may
    /// have run, only an idempotent route allows another send, and "not run" is excluded from
    /// then on.
    pub fn fail(self, failure: Failure) -> Step {
        match failure {
            Failure::Unsent(retry) | Failure::Refused(retry) => Step::Retry(self.before, retry),
            Failure::MayHaveRun(cause @ (Uncertainty::DeadlinePassed | Uncertainty::Cancelled)) => {
                Step::Done(self.before.uncertain(cause))
            }
            // Another server's answer would be as large.
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

    /// Allows another send while this one is unanswered; none if the request may run once only.
    pub fn hedge(&self) -> Option<Attempt> {
        self.before.idempotent().then(|| self.before.clone())
    }

    /// Takes in how another send of the request failed while this one goes on.
    pub fn hedge_failed(&mut self, failure: Failure) {
        if let (Failure::MayHaveRun(cause), Attempt::Unsent(queued)) = (failure, &self.before) {
            self.before = Attempt::MayHaveRun(Pending {
                idempotent: queued.idempotent,
                history: MayHaveRun(cause),
            });
        }
    }

    /// Ends the request when its caller left while a backend server had it.
    pub fn cancel(self) -> Outcome {
        self.before.uncertain(Uncertainty::Cancelled)
    }
}
