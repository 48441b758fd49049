//! Deadlines of the stop of a process that is killed at the end of its grace time.

use std::time::{Duration, Instant};

/// Part of the grace time in which new connections are taken, because callers know the VM from
/// look-ups that they made before.
const ACCEPTING: f64 = 0.5;
/// Time before the end of the grace time at which the process ends. Timers are late on a VM with a
/// fifth of a core.
const MARGIN: Duration = Duration::from_millis(300);
/// Time for the last log lines to be written.
pub const LOG_FLUSH_TIME: Duration = Duration::from_millis(250);
/// Time for the answers to unfinished requests to be made and written. Short, because servers'
/// answers are waited for until it begins: with the 6 s of grace of the sites, at 5.3 s.
const ANSWER_TIME: Duration = Duration::from_millis(150);

base::value! {
    /// Deadlines of one stop, in the order in which they pass.
    #[derive(Copy)]
    pub struct StopDeadlines {
        /// Until when new connections are taken.
        pub accept_until: Instant,
        /// Until when answers of servers are waited for. Requests that are unfinished then are
        /// answered by the VM itself.
        pub answers_until: Instant,
        /// Until when these answers are written.
        pub write_until: Instant,
    }
}

impl StopDeadlines {
    /// Begins the stop of a process that is killed `grace` after `now`.
    pub fn begin(now: Instant, grace: Duration) -> Self {
        let write = grace.saturating_sub(MARGIN + LOG_FLUSH_TIME);
        let wait = write.saturating_sub(ANSWER_TIME);
        Self {
            accept_until: now + grace.mul_f64(ACCEPTING).min(wait),
            answers_until: now + wait,
            write_until: now + write,
        }
    }

    /// Returns whether a request with this deadline may be passed on to a server: only if it ends
    /// while answers are waited for. Any other may still run when the process ends, and its caller
    /// would not learn of it.
    pub fn admits(&self, deadline: Instant) -> bool {
        deadline <= self.answers_until
    }
}
