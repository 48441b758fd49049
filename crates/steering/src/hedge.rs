//! Time at which a request whose server has not answered is sent to a second server beside the first
//! (a hedged request); the first whole answer is used.
//!
//! Load: servers that are dead, cold, slow, or lost an answer. A suspicion ends no send: the first
//! server may be at work, and its answer may be the only one that comes in time.

use std::time::{Duration, Instant};

base::value! {
    /// Settings of hedged requests.
    #[derive(Copy)]
    pub struct Settings {
        /// Time kept for the second send, in units of a server's cold work: twice, for the look-up of
        /// a server with a queue, and for the pause between two looks at a send.
        pub reserve: f64,
        /// Least wait in units of the expected time, so that servers that are slow as a whole do not
        /// get most of their load twice.
        pub overdue: f64,
        /// Most wait in units of a server's cold work: an answer that is later is not expected.
        pub most: f64,
        /// Least wait; answers of other regions, and packets that are sent again, need some 0.3 s.
        pub least: Duration,
    }

    /// What is known of a send when it begins.
    #[derive(Copy)]
    pub struct Dispatch {
        /// When it begins.
        pub at: Instant,
        /// Deadline of the request.
        pub deadline: Instant,
        /// Expected time until the answer.
        pub expected: Duration,
        /// Work of the request on a cold server.
        pub cold: Duration,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            reserve: 2.0,
            overdue: 2.0,
            most: 4.0,
            least: Duration::from_millis(800),
        }
    }
}

/// Returns from when on an unanswered request is sent to a second server.
///
/// The time is the last at which a second send can end before the deadline, within the least and the
/// most wait.
pub fn due(settings: &Settings, send: &Dispatch) -> Instant {
    let least = send.expected.mul_f64(settings.overdue).max(settings.least);
    let most = send.cold.mul_f64(settings.most).max(least);
    let left = send.deadline.saturating_duration_since(send.at);
    let last = left.saturating_sub(send.cold.mul_f64(settings.reserve));
    send.at + last.clamp(least, most)
}
