//! Usage reports: how many requests of each workspace servers began to run, per window of true
//! time, reported to the platform by one holder at a time.
//!
//! [`Clock`] estimates true time, [`Tally`] counts this VM's sends, [`Ledger`] keeps what the other
//! VMs of the data centre reported. [`Duty`] is the life cycle of the holder, and [`Reporter`]
//! chooses what this VM does next.

mod clock;
mod holder;
mod ledger;
mod reporter;
mod tally;

pub use clock::{Clock, Source};
pub use holder::{
    Call, Duty, Fixed, Held, Observed, Row, State, Stored, Transaction, Unread, Unresolved,
    Writing, Written,
};
pub use ledger::{Ledger, Share};
pub use reporter::{CallResult, Progress, Rank, Reporter, Step};
pub use tally::{Count, Tally};

use base::id::Workspace;
use indexmap::IndexMap;
use std::time::Duration;

/// Number of a window: window k begins k window lengths after the start of 1970, in true time.
pub type Window = u64;
/// Point in time as the time since boot, suspension included (`CLOCK_BOOTTIME`).
pub type Boot = Duration;
/// Version of a store row, which also serves as fencing token.
pub type Token = u64;
/// Requests per workspace.
pub type Counts = IndexMap<Workspace, u64>;

/// Windows whose counts are kept; far more than the time after which a window is given up.
const KEPT_WINDOWS: u64 = 12;

base::value! {
    /// Times of the reports. Those after the lease count from the end of a window.
    #[derive(Copy)]
    pub struct Settings {
        /// Length of a window.
        pub window: Duration,
        /// Time for which no other VM may become the holder after a renewal.
        pub lease: Duration,
        /// Time-out of a call with a report.
        pub call_timeout: Duration,
        /// When the leader collects the counts and fixes the window.
        pub fix: Duration,
        /// Until when a data centre that does not answer is waited for.
        pub wait_missing: Duration,
        /// When other VMs than the leader begin to act.
        pub overdue: Duration,
        /// When a window that was not reported is given up.
        pub give_up: Duration,
        /// Pause after a failed call to the platform or its store.
        pub pause: Duration,
    }
}

impl Settings {
    /// Returns the times for windows that are due `late` after their end.
    pub fn new(window: Duration, late: Duration, lease: Duration) -> Self {
        Self {
            window,
            lease,
            call_timeout: lease / 3,
            // Counts of other VMs arrive within 1 s to 1.25 s; a late window is due after 10 s, of
            // which a successor needs the lease of 3 s and the time to notice.
            fix: late.mul_f64(0.2),
            wait_missing: late.mul_f64(0.4),
            overdue: late.mul_f64(0.45),
            give_up: late * 3,
            pause: Duration::from_millis(500),
        }
    }

    /// Returns the window at a point in true time, in milliseconds.
    pub fn window_at(&self, true_ms: u64) -> Window {
        true_ms / self.window_ms()
    }

    /// Returns whether `after` has passed since the end of a window.
    pub fn is_past(&self, window: Window, after: Duration, true_ms: u64) -> bool {
        let after = u64::try_from(after.as_millis()).unwrap_or(u64::MAX);
        let end = (window + 1).saturating_mul(self.window_ms());
        true_ms >= end.saturating_add(after)
    }

    fn window_ms(&self) -> u64 {
        u64::try_from(self.window.as_millis()).map_or(u64::MAX, |millis| millis.max(1))
    }
}

impl Default for Settings {
    /// Windows of 5 s, due 10 s after their end, with a lease of 3 s.
    fn default() -> Self {
        let second = Duration::from_secs(1);
        Self::new(5 * second, 10 * second, 3 * second)
    }
}

/// Adds counts.
pub fn add(sum: &mut Counts, counts: &Counts) {
    for (workspace, count) in counts {
        match sum.get_mut(workspace) {
            Some(known) => *known += count,
            None => {
                sum.insert(workspace.clone(), *count);
            }
        }
    }
}
