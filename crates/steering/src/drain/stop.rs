//! Typestate of a VM's own stop.

use std::time::{Duration, Instant};

base::value! {
    /// Times of a stop.
    #[derive(Copy)]
    pub struct StopTimes {
        /// Time within which every VM's lookup answers leave this VM out.
        pub propagation: Duration,
        /// Time for which callers cache a lookup answer.
        pub cache_ttl: Duration,
        /// Longest deadline of a request.
        pub max_request: Duration,
    }

    /// Lookup answers may still name this VM.
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
        /// Requests that ran past their deadline and are cut off by the exit.
        pub unfinished: u32,
    }

    /// A VM's stop in state `S`.
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
    /// Begins the stop: from now on lookup answers must leave this VM out.
    pub fn begin(now: Instant, times: StopTimes) -> Self {
        let until = now + times.propagation;
        Self {
            times,
            state: Withdrawing { until },
        }
    }

    /// Moves on when every VM's lookup confirmed, or when the time for that is over.
    ///
    /// # Errors
    ///
    /// Returns the unchanged stop if it is too early.
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
    /// Returns the unchanged stop if it is too early.
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
    /// Ends the stop when no request is in flight, or when the deadline of each has passed.
    ///
    /// # Errors
    ///
    /// Returns the unchanged stop if it is too early.
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
    /// Returns how the stop ended.
    pub fn state(&self) -> Finished {
        self.state
    }
}

/// Implements the read access to the stored deadline.
macro_rules! deadline {
    ($($state:ident),*) => { $(
        impl Stop<$state> {
            /// Returns the time at which this state ends at the latest.
            pub fn until(&self) -> Instant {
                self.state.until
            }
        }
    )* };
}

deadline!(Withdrawing, AwaitingCacheExpiry, Refusing);
