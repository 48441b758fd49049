//! Failures of sends.

use std::fmt;
use steering::attempt::{self, RetryReason, Uncertainty};

base::label! {
    /// Failures before a byte of the request was handed to the server.
    pub enum Before {
        /// No connection of the pool became free by the deadline.
        Busy,
        /// The connection was refused.
        ConnectRefused,
        /// The connection was not established in time.
        ConnectTimeout,
        /// The connection ended before the first byte was written.
        Stale,
        /// The deadline had passed before the request was sent.
        Deadline,
        /// The server takes no requests any more, or for a time.
        Closed,
    }

    /// Failures after bytes of the request were handed to the server.
    pub enum After {
        /// No byte of an answer arrived by the deadline, which is later than the read timeout.
        Silent,
        /// The connection ended before the head of the answer was complete.
        Interrupted,
        /// The deadline passed before the head of the answer was complete.
        Deadline,
        /// The answer names another request or is not valid HTTP.
        WrongAnswer,
    }

    /// Reasons that a server gives for not running a request.
    pub enum NotRun {
        /// The server sheds load.
        Shedding,
        /// The server is leaving and takes no new work.
        Leaving,
        /// Any other reason.
        Other,
    }

    /// Why a request got no answer.
    pub enum Failure {
        /// No byte was handed to the server: it did not run the request.
        Before(Before),
        /// The server said that it did not run the request.
        NotRun(NotRun),
        /// The server may have run the request.
        After(After),
    }
}

impl NotRun {
    /// Parses the value of the `x-not-run` header.
    pub fn parse(text: &str) -> Self {
        match text {
            "shedding" => Self::Shedding,
            "leaving" => Self::Leaving,
            _ => Self::Other,
        }
    }
}

impl From<Failure> for attempt::Failure {
    /// Converts a failed send to its consequence for the request.
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::Before(Before::Busy) => Self::Unsent(RetryReason::ConnectionsBusy),
            Failure::Before(Before::ConnectRefused | Before::ConnectTimeout | Before::Deadline) => {
                Self::Unsent(RetryReason::ConnectFailed)
            }
            Failure::Before(Before::Closed) => Self::Unsent(RetryReason::ServerLeaving),
            Failure::Before(Before::Stale) => Self::Unsent(RetryReason::StaleConnection),
            Failure::NotRun(NotRun::Shedding) => Self::Refused(RetryReason::ServerShedding),
            Failure::NotRun(NotRun::Leaving) => Self::Refused(RetryReason::ServerLeaving),
            Failure::NotRun(NotRun::Other) => Self::Refused(RetryReason::ServerRefused),
            Failure::After(After::Silent) => Self::MayHaveRun(Uncertainty::Silent),
            Failure::After(After::Interrupted) => Self::MayHaveRun(Uncertainty::Interrupted),
            Failure::After(After::Deadline) => Self::MayHaveRun(Uncertainty::DeadlinePassed),
            Failure::After(After::WrongAnswer) => Self::MayHaveRun(Uncertainty::WrongAnswer),
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Before(Before::Busy) => "no connection became free",
            Self::Before(Before::ConnectRefused) => "connection refused",
            Self::Before(Before::ConnectTimeout) => "connection not made in time",
            Self::Before(Before::Stale) => "connection ended before the request was written",
            Self::Before(Before::Deadline) => "deadline passed before the request was sent",
            Self::Before(Before::Closed) => "server takes no requests now",
            Self::NotRun(NotRun::Shedding) => "server sheds load",
            Self::NotRun(NotRun::Leaving) => "server is leaving",
            Self::NotRun(NotRun::Other) => "server did not run the request",
            Self::After(After::Silent) => "no byte arrived by the deadline",
            Self::After(After::Interrupted) => "connection ended before the answer",
            Self::After(After::Deadline) => "deadline passed before the answer",
            Self::After(After::WrongAnswer) => "answer names another request or can't be read",
        })
    }
}

impl std::error::Error for Failure {}
