//! Reasons for refusals, retries and uncertain outcomes, as metric labels.

use std::fmt;

/// Defines an enumeration of labels with a stable kebab-case text for each variant.
macro_rules! reason {
    ($(#[$meta:meta])* $name:ident { $($(#[$doc:meta])* $variant:ident = $text:literal,)* }) => {
        base::label! {
            $(#[$meta])*
            #[serde(rename_all = "kebab-case")]
            pub enum $name { $($(#[$doc])* $variant,)* }
        }

        impl $name {
            /// All values, for tests and metric registration.
            pub const ALL: &[Self] = &[$(Self::$variant,)*];

            /// Returns the stable text used in headers, logs and metrics.
            pub fn as_str(self) -> &'static str {
                match self { $(Self::$variant => $text,)* }
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.as_str())
            }
        }
    };
}

reason! {
    /// Why a request was not run.
    Refusal {
        /// The head of the request breaks a limit or does not parse.
        Invalid = "invalid",
        /// The body is larger than the route allows.
        TooLarge = "too-large",
        /// The key is missing, unknown or revoked.
        Unauthorised = "unauthorised",
        /// The VM has been isolated for too long to know whether the key was revoked.
        KeysNotConfirmed = "keys-not-confirmed",
        /// The workspace may not call this route.
        Forbidden = "forbidden",
        /// No route matches the request.
        NoRoute = "no-route",
        /// The workspace is over its rate and burst.
        RateLimited = "rate-limited",
        /// The queue is full or would exceed the deadline.
        Overloaded = "overloaded",
        /// The deadline passed before the request was sent.
        DeadlinePassed = "deadline-passed",
        /// The caller disconnected before the request was sent.
        Cancelled = "cancelled",
        /// No backend server can take the request.
        NoServer = "no-server",
        /// Each backend server that was tried stated that it did not run the request.
        ServersRefused = "servers-refused",
        /// The retry budget is spent.
        BudgetSpent = "budget-spent",
        /// The request crashed backend servers.
        Quarantined = "quarantined",
        /// The request was in flight at a crash and waits for its trial.
        Suspected = "suspected",
        /// The claim row can't be written.
        ClaimsUnavailable = "claims-unavailable",
        /// The register of claims of this VM is full.
        ClaimsFull = "claims-full",
        /// The request id is past its expiry.
        ClaimExpired = "claim-expired",
        /// The VM is stopping.
        Stopping = "stopping",
        /// The VM has no memory for the body now.
        MemoryFull = "memory-full",
    }
}

reason! {
    /// Why a request was sent again.
    RetryReason {
        /// The connection was refused or not made in time.
        ConnectFailed = "connect-failed",
        /// No connection to the server was free.
        ConnectionsBusy = "connections-busy",
        /// The connection ended before a byte was sent.
        StaleConnection = "stale-connection",
        /// The server stated that it sheds load.
        ServerShedding = "server-shedding",
        /// The server stated that it is leaving.
        ServerLeaving = "server-leaving",
        /// The server stated that it did not run the request, for another reason.
        ServerRefused = "server-refused",
        /// The server did not answer in time; only on idempotent routes.
        Silent = "silent",
        /// The request was interrupted; only on idempotent routes.
        Interrupted = "interrupted",
    }
}

reason! {
    /// Why it is unknown whether a request ran.
    Uncertainty {
        /// The connection ended after bytes were sent.
        Interrupted = "interrupted",
        /// No byte of an answer arrived by the read deadline.
        Silent = "silent",
        /// The deadline passed while a backend server had the request.
        DeadlinePassed = "deadline-passed",
        /// The caller disconnected while a backend server had the request.
        Cancelled = "cancelled",
        /// The answer is invalid or belongs to another request.
        WrongAnswer = "wrong-answer",
        /// A backend server still had the request at the end of the VM's shutdown grace time.
        Stopping = "stopping",
        /// The same request id is in flight.
        InFlight = "in-flight",
        /// The VM incarnation named in the request id is dead.
        IncarnationDead = "incarnation-dead",
        /// The VM named in the request id can't be reached.
        VmUnreachable = "vm-unreachable",
        /// The request id was used before and the outcome was not recorded.
        OutcomeLost = "outcome-lost",
        /// The request id was sent before, and its claim can't be read or written.
        ClaimsUnavailable = "claims-unavailable",
        /// The answer is larger than the limit for forwarded answers.
        AnswerTooLarge = "answer-too-large",
    }
}

base::value! {
    /// How a send to a backend server failed.
    #[derive(Copy, Eq)]
    pub enum Failure {
        /// No byte was sent to the server.
        Unsent(RetryReason),
        /// The server itself stated that it did not run the request.
        Refused(RetryReason),
        /// Bytes were sent and the server may have run the request.
        MayHaveRun(Uncertainty),
    }
}
