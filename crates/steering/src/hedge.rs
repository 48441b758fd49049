//! Time at which an unanswered request is sent to a second server (a hedged request).
//!
//! The first complete answer is used. The first send is never ended, since its server may still be
//! working and its answer may be the only one in time.

use std::time::{Duration, Instant};

base::value! {
    /// Settings of hedged requests.
    #[derive(Copy)]
    pub struct Settings {
        /// Time reserved for the second send, in cold service times: more than one, since the
        /// second server may have a queue and sends are polled at an interval.
        pub reserve: f64,
        /// Minimum wait in units of the expected time, so that servers that are slow as a whole
        /// don't get most of their load twice.
        pub min_wait_factor: f64,
        /// Maximum wait in cold service times; a later answer is not expected.
        pub max_wait_factor: f64,
        /// Minimum wait; answers from other regions and retransmitted packets take about 0.3 s.
        pub min_wait: Duration,
    }

    /// Send of a request to its first server.
    #[derive(Copy)]
    pub struct Dispatch {
        /// Time of the send.
        pub at: Instant,
        /// Deadline of the request.
        pub deadline: Instant,
        /// Expected time until the answer.
        pub expected: Duration,
        /// Service time of the request on a cold server.
        pub cold: Duration,
        /// Learned time that very few requests exceed, or zero. An answer that is merely one of the
        /// slow few does not mean that its server is lost.
        pub slowest: Duration,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            reserve: 2.0,
            min_wait_factor: 2.0,
            max_wait_factor: 4.0,
            min_wait: Duration::from_millis(800),
        }
    }
}

/// Returns the time from which an unanswered request is sent to a second server.
///
/// It is the last time at which a second send can end before the deadline, within the minimum and
/// the maximum wait.
pub fn due(settings: &Settings, send: &Dispatch) -> Instant {
    let least = send
        .expected
        .mul_f64(settings.min_wait_factor)
        .max(settings.min_wait);
    let most = send.cold.mul_f64(settings.max_wait_factor);
    let most = most.max(send.slowest).max(least);
    let left = send.deadline.saturating_duration_since(send.at);
    let last = left.saturating_sub(send.cold.mul_f64(settings.reserve));
    send.at + last.clamp(least, most)
}
