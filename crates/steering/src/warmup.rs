//! Rate limit of requests to a cold backend server, over all VMs together.
//!
//! A server that starts tolerates a few requests a second and crashes well above that. Only its
//! owner, the first live VM in its rendezvous order, sends requests to it, so the rate holds
//! without coordination. A VM that hears from a minority only owns no server, since the other side
//! of a network partition may have another owner.
//!
//! The load to expect is hundreds of VMs and a data centre of servers that turn cold at once: each
//! request has to know for each of them whether this VM is its owner.

use crate::affinity::{self, Digest};
use indexmap::IndexMap;
use std::time::{Duration, Instant};

/// Time for which a view of the live VMs is used. It is short beside the time after which a silent
/// VM counts as down, so a pause of this process is noticed before a request is sent.
const VIEW_TTL: Duration = Duration::from_millis(50);

/// Which cold servers this VM owns, in its view of the live VMs.
#[derive(Debug, Clone, Default)]
pub struct Ownership {
    own: Digest,
    /// Digests of the live VMs, this one included.
    alive: Vec<Digest>,
    has_majority: bool,
    expires_at: Option<Instant>,
    /// Servers whose owner was looked for in this view.
    owned: IndexMap<Digest, bool>,
}

impl Ownership {
    /// Creates the state of a VM without a view; it owns no server.
    pub fn new(own: &str) -> Self {
        Self {
            own: affinity::digest(own),
            ..Self::default()
        }
    }

    /// Returns whether a new view of the live VMs is due.
    pub fn is_expired(&self, now: Instant) -> bool {
        self.expires_at.is_none_or(|at| now >= at)
    }

    /// Sets the live VMs, this one included, out of `members` known ones.
    pub fn set_view<'a>(
        &mut self,
        alive: impl IntoIterator<Item = &'a Digest>,
        members: usize,
        now: Instant,
    ) {
        self.expires_at = Some(now + VIEW_TTL);
        let alive: Vec<Digest> = alive.into_iter().copied().collect();
        let has_majority = alive.len() * 2 > members;
        if alive != self.alive || has_majority != self.has_majority {
            self.alive = alive;
            self.has_majority = has_majority;
            self.owned.clear();
        }
    }

    /// Returns whether this VM is the owner of a cold server.
    pub fn owns(&mut self, server: Digest) -> bool {
        if !self.has_majority {
            return false;
        }
        let (own, alive) = (self.own, &self.alive);
        *self.owned.entry(server).or_insert_with(|| {
            let rank = |vm: Digest| affinity::rank(server, vm, 1.0);
            let own_rank = rank(own);
            alive
                .iter()
                .all(|vm| *vm == own || rank(*vm).total_cmp(&own_rank).is_lt())
        })
    }
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
