//! State machine of the shutdown of a VM's own process, with one type per state.

use std::time::{Duration, Instant};

base::value! {
    /// Durations that determine the shutdown.
    #[derive(Copy)]
    pub struct StopTimes {
        /// Time within which the lookup answers of all VMs leave this VM out.
        pub propagation: Duration,
        /// Time for which callers cache a lookup answer.
        pub cache_ttl: Duration,
        /// Longest deadline of a request.
        pub max_request: Duration,
    }

    /// Lookup answers of other VMs may still name this VM.
    #[derive(Copy)]
    pub struct Withdrawing {
        until: Instant,
    }

    /// Callers may still use a cached answer that names this VM.
    #[derive(Copy)]
    pub struct AwaitingCacheExpiry {
        until: Instant,
    }

    /// New connections are refused and requests in flight finish.
    #[derive(Copy)]
    pub struct Refusing {
        until: Instant,
    }

    /// The process may exit.
    #[derive(Copy)]
    pub struct Finished {
        /// Requests past their deadline that the exit cuts off.
        pub unfinished: u32,
    }

    /// A VM's shutdown in state `S`.
    ///
    /// Each transition returns the next state, or the same one if it is too early.
    #[derive(Copy)]
    pub struct Stop<S> {
        times: StopTimes,
        state: S,
    }
}

impl Default for StopTimes {
    fn default() -> Self {
        Self {
            propagation: Duration::from_secs(4),
            cache_ttl: Duration::from_secs(5),
            max_request: Duration::from_secs(30),
        }
    }
}

impl Stop<Withdrawing> {
    /// Begins the shutdown: from now on lookup answers must leave this VM out.
    pub fn begin(now: Instant, times: StopTimes) -> Self {
        let until = now + times.propagation;
        Self {
            times,
            state: Withdrawing { until },
        }
    }

    /// Moves on once the lookups of all VMs have confirmed, or after the propagation time.
    ///
    /// # Errors
    ///
    /// Returns the unchanged state if it is too early.
    pub fn withdrawn(
        self,
        now: Instant,
        confirmed: bool,
    ) -> Result<Stop<AwaitingCacheExpiry>, Self> {
        if !confirmed && now < self.state.until {
            return Err(self);
        }
        Ok(Stop {
            times: self.times,
            state: AwaitingCacheExpiry {
                until: now + self.times.cache_ttl,
            },
        })
    }
}

impl Stop<AwaitingCacheExpiry> {
    /// Refuses new connections once no caller can have a cached answer that names this VM.
    ///
    /// # Errors
    ///
    /// Returns the unchanged state if it is too early.
    pub fn refuse(self, now: Instant) -> Result<Stop<Refusing>, Self> {
        if now < self.state.until {
            return Err(self);
        }
        Ok(Stop {
            times: self.times,
            state: Refusing {
                until: now + self.times.max_request,
            },
        })
    }
}

impl Stop<Refusing> {
    /// Finishes when no request is in flight, or when the longest deadline has passed.
    ///
    /// # Errors
    ///
    /// Returns the unchanged state if it is too early.
    pub fn finish(self, now: Instant, in_flight: u32) -> Result<Stop<Finished>, Self> {
        if in_flight > 0 && now < self.state.until {
            return Err(self);
        }
        let unfinished = in_flight;
        Ok(Stop {
            times: self.times,
            state: Finished { unfinished },
        })
    }
}

impl Stop<Finished> {
    /// Returns how the shutdown ended.
    pub fn state(&self) -> Finished {
        self.state
    }
}

/// Implements the accessor of a state's deadline.
macro_rules! deadline {
    ($($state:ident),*) => { $(
        impl Stop<$state> {
            /// Returns the latest time at which this state ends.
            pub fn until(&self) -> Instant {
                self.state.until
            }
        }
    )* };
}

deadline!(Withdrawing, AwaitingCacheExpiry, Refusing);
