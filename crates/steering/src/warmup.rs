//! Rate limit of requests to a cold backend server, over all VMs together.
//!
//! A server that starts tolerates a few requests a second and crashes well above that. Only its
//! owner, the first live VM in its rendezvous order, sends requests to it, so the rate holds
//! without coordination. A VM that hears from a minority only owns no server, since the other side
//! of a network partition may have another owner.

use crate::membership::rendezvous;
use base::id::Vm;
use std::time::{Duration, Instant};

/// Returns whether `own` is the owner of a cold server.
///
/// `alive` are the VMs with a recent report, `own` included, out of `members` known ones.
pub fn is_owner<'a>(
    server: &str,
    own: &str,
    alive: impl IntoIterator<Item = &'a Vm>,
    members: usize,
) -> bool {
    let alive: Vec<&Vm> = alive.into_iter().collect();
    alive.len() * 2 > members && rendezvous::rank(server, own, alive) == 0
}

base::value! {
    /// Warm-up of one server.
    pub struct Warmup {
        until: Instant,
        next: Instant,
    }
}

impl Warmup {
    /// Creates a warm-up that ends at `until`.
    pub fn new(until: Instant, now: Instant) -> Self {
        Self { until, next: now }
    }

    /// Extends the warm-up to `until`, if that is later.
    pub fn extend(&mut self, until: Instant) {
        self.until = self.until.max(until);
    }

    /// Returns whether the server is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.until
    }

    /// Returns whether a request may be sent now; always for a warm server.
    pub fn allows(&self, now: Instant) -> bool {
        !self.is_cold(now) || now >= self.next
    }

    /// Records a request; `rate` is the number of requests a second that a cold server tolerates.
    pub fn record_send(&mut self, rate: f64, now: Instant) {
        if self.is_cold(now) {
            let gap = Duration::from_secs_f64(1.0 / rate.max(0.01));
            self.next = self.next.max(now) + gap;
        }
    }
}
