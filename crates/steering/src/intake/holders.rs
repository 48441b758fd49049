//! Which VMs hold parts of the limits that servers name.

use crate::affinity::{self, Digest};
use indexmap::IndexMap;
use std::time::{Duration, Instant};

/// Time for which a view of the live VMs is used; short beside the time after which a silent VM counts
/// as down.
const VIEW_TTL: Duration = Duration::from_millis(50);
/// Time for which a VM that becomes a holder waits: until all others have noticed what made it one. A
/// VM of another data centre counts as down after 1.8 s without a report.
const HANDOVER: Duration = Duration::from_millis(2_500);
/// Time for which the place of this VM for a server is kept unused.
const PLACE_RETENTION: Duration = Duration::from_secs(60);

base::value! {
    /// A live VM as a candidate for parts of limits.
    #[derive(Copy)]
    pub struct Candidate {
        /// Digest of its name.
        pub vm: Digest,
        /// Digest of its region.
        pub region: Digest,
        /// Whether it serves callers.
        pub is_ready: bool,
    }

    /// Place of this VM among those that may hold a part of a server's limit.
    #[derive(Copy, Default)]
    pub struct Place {
        /// Number of VMs before it; none while it can't be a holder.
        pub rank: Option<usize>,
        /// Live VMs that serve callers.
        pub ready: usize,
        /// VMs of the fleet.
        pub members: usize,
    }
}

impl Place {
    /// Returns this VM's part of a limit of `rate` requests a second; none if it is no holder.
    pub fn share(&self, rate: f64) -> Option<f64> {
        let holders = (rate as usize).clamp(1, self.ready.max(1));
        let is_holder = self.rank.is_some_and(|rank| rank < holders);
        is_holder.then(|| rate / holders as f64)
    }
}

/// Rank of this VM for one server.
#[derive(Debug, Clone)]
struct Standing {
    region: Digest,
    rank: usize,
    /// When the rank last improved.
    improved_at: Instant,
    /// Rank that counts until [`HANDOVER`] after that; none at first.
    former: Option<usize>,
    used_at: Instant,
}

impl Standing {
    /// Returns the rank that all VMs have noticed.
    fn settled_rank(&self, now: Instant) -> Option<usize> {
        match now.saturating_duration_since(self.improved_at) >= HANDOVER {
            true => Some(self.rank),
            false => self.former,
        }
    }

    fn update(&mut self, rank: usize, now: Instant) {
        self.former = self.settled_rank(now).map(|former| former.max(rank));
        if rank < self.rank {
            self.improved_at = now;
        }
        self.rank = rank;
    }
}

/// Places of this VM, in its view of the live VMs.
#[derive(Debug, Clone)]
pub struct Holders {
    own: Digest,
    alive: Vec<Candidate>,
    /// How many of them serve callers.
    ready: usize,
    members: usize,
    /// Since when this VM serves callers and hears from a majority.
    eligible_since: Option<Instant>,
    expires_at: Option<Instant>,
    standings: IndexMap<Digest, Standing>,
}

impl Holders {
    /// Creates the state of a VM without a view; it holds nothing.
    pub fn new(own: &str) -> Self {
        Self {
            own: affinity::digest(own),
            alive: Vec::new(),
            ready: 0,
            members: 1,
            eligible_since: None,
            expires_at: None,
            standings: IndexMap::new(),
        }
    }

    /// Returns whether a new view of the live VMs is due.
    pub fn is_expired(&self, now: Instant) -> bool {
        self.expires_at.is_none_or(|at| now >= at)
    }

    /// Sets the live VMs, this one included, out of `members` known ones.
    pub fn set_view(
        &mut self,
        alive: impl IntoIterator<Item = Candidate>,
        members: usize,
        now: Instant,
    ) {
        self.expires_at = Some(now + VIEW_TTL);
        let alive: Vec<Candidate> = alive.into_iter().collect();
        let is_ready = alive.iter().any(|vm| vm.vm == self.own && vm.is_ready);
        let is_eligible = is_ready && alive.len() * 2 > members;
        let is_changed = alive != self.alive;
        self.ready = alive.iter().filter(|vm| vm.is_ready).count();
        self.alive = alive;
        self.members = members;
        match (is_eligible, self.eligible_since) {
            (true, None) => {
                self.eligible_since = Some(now);
                self.standings.clear();
            }
            (false, _) => self.eligible_since = None,
            (true, Some(_)) if is_changed => self.update_standings(now),
            (true, Some(_)) => {}
        }
    }

    fn update_standings(&mut self, now: Instant) {
        let mut standings = std::mem::take(&mut self.standings);
        standings.retain(|_, standing| {
            now.saturating_duration_since(standing.used_at) < PLACE_RETENTION
        });
        for (server, standing) in &mut standings {
            let rank = self.rank(*server, standing.region);
            standing.update(rank, now);
        }
        self.standings = standings;
    }

    /// Returns the number of VMs that come before this one for a server: those of its region come
    /// first, as they have most requests for it.
    fn rank(&self, server: Digest, region: Digest) -> usize {
        let own_region = self.alive.iter().find(|vm| vm.vm == self.own);
        let is_near = own_region.is_some_and(|own| own.region == region);
        let weight = |vm: Digest| affinity::rank(server, vm, 1.0);
        let own_weight = weight(self.own);
        let others = self
            .alive
            .iter()
            .filter(|vm| vm.is_ready && vm.vm != self.own);
        let is_before = |vm: &&Candidate| match (vm.region == region, is_near) {
            (true, false) => true,
            (false, true) => false,
            _ => weight(vm.vm).total_cmp(&own_weight).is_gt(),
        };
        others.filter(is_before).count()
    }

    /// Returns the place of this VM for a server in `region`.
    pub fn place(&mut self, server: Digest, region: Digest, now: Instant) -> Place {
        let place = Place {
            rank: None,
            ready: self.ready,
            members: self.members,
        };
        let Some(eligible_since) = self.eligible_since else {
            return place;
        };
        if !self.standings.contains_key(&server) {
            let standing = Standing {
                region,
                rank: self.rank(server, region),
                improved_at: eligible_since,
                former: None,
                used_at: now,
            };
            self.standings.insert(server, standing);
        }
        let standing = self.standings.get_mut(&server);
        let rank = standing.and_then(|standing| {
            standing.used_at = now;
            standing.settled_rank(now)
        });
        Place { rank, ..place }
    }
}
