//! Deadlines in the shutdown of a process that is killed at the end of its grace time.

use std::time::{Duration, Instant};

/// Part of the grace time in which new connections are accepted, because callers may still use
/// earlier lookup answers that name this VM.
const ACCEPTING_PART: f64 = 0.5;
/// Time between the exit and the end of the grace time: timers fire late on a VM with a fifth of a
/// core.
const EXIT_MARGIN: Duration = Duration::from_millis(300);
/// Time for the last log lines to be written.
pub const LOG_FLUSH_TIME: Duration = Duration::from_millis(250);
/// Time to answer unfinished requests. It is short because answers of servers are waited for until
/// it begins: of 6 s of grace, for 5.3 s.
const ANSWER_TIME: Duration = Duration::from_millis(150);

base::value! {
    /// Deadlines of one shutdown, in the order in which they pass.
    #[derive(Copy)]
    pub struct StopDeadlines {
        /// End of accepting new connections.
        pub accept_until: Instant,
        /// End of waiting for answers of servers. The VM itself then answers unfinished requests.
        pub answers_until: Instant,
        /// End of writing the VM's own answers.
        pub write_until: Instant,
    }
}

impl StopDeadlines {
    /// Begins the shutdown of a process that is killed `grace` after `now`.
    pub fn begin(now: Instant, grace: Duration) -> Self {
        let write = grace.saturating_sub(EXIT_MARGIN + LOG_FLUSH_TIME);
        let wait = write.saturating_sub(ANSWER_TIME);
        Self {
            accept_until: now + grace.mul_f64(ACCEPTING_PART).min(wait),
            answers_until: now + wait,
            write_until: now + write,
        }
    }

    /// Returns whether a request with this deadline may be sent to a server: only if it ends while
    /// answers are waited for. Otherwise it may still run when the process exits, and its caller
    /// would not learn the outcome.
    pub fn admits(&self, deadline: Instant) -> bool {
        deadline <= self.answers_until
    }
}
