//! Part of one workspace's limit that one VM may spend.

mod lending;

pub use lending::LoanRequest;

use super::demand::Demand;
use super::loan::{Loan, Peers};
use super::message::{Grant, Renew};
use super::{Allocation, Amount, Bucket, Settings};
use base::id::{Incarnation, Version, Vm, Workspace};
use indexmap::IndexMap;
use std::time::{Duration, Instant};

/// Factor on refill times that covers the drift reduction and rounding.
const REFILL_SLACK: f64 = 1.001;

base::value! {
    /// Identity of a holder.
    pub struct Identity {
        /// Workspace whose limit is divided.
        pub workspace: Workspace,
        /// VM that runs the holder.
        pub vm: Vm,
        /// Incarnation of the process.
        pub incarnation: Incarnation,
    }

    /// Bucket of one VM and workspace: a floor bound to the incarnation, and a leased elastic part.
    pub struct Holder {
        settings: Settings,
        identity: Identity,
        version: Version,
        floor: Allocation,
        elastic: Allocation,
        deadline: Instant,
        bucket: Bucket,
        demand: Demand,
        number: u64,
        sent: Option<Instant>,
        applied: u64,
        returned: Amount,
        next_renewal: Instant,
        /// Number of the last own borrow request.
        last_loan: u64,
        loans: IndexMap<u64, Loan>,
        /// Number of the last request of each borrower.
        borrower_requests: IndexMap<Incarnation, u64>,
        peers: Peers,
    }
}

impl Holder {
    /// Starts with no floor, no elastic part and no tokens.
    pub fn new(settings: Settings, identity: Identity, now: Instant) -> Self {
        Self {
            settings,
            identity,
            version: 0,
            floor: Allocation::default(),
            elastic: Allocation::default(),
            deadline: now,
            bucket: Bucket::new(Allocation::default(), now),
            demand: Demand::new(now),
            number: 0,
            sent: None,
            applied: 0,
            returned: 0,
            next_renewal: now,
            last_loan: 0,
            loans: IndexMap::new(),
            borrower_requests: IndexMap::new(),
            peers: Peers::default(),
        }
    }

    /// Sets the floor that this incarnation claimed, computed from `version` of the limit.
    ///
    /// An older version changes nothing. A lowered limit shrinks the floor at once.
    pub fn set_floor(&mut self, floor: Allocation, version: Version, now: Instant) {
        if version >= self.version {
            self.expire(now);
            self.version = version;
            self.floor = floor;
            self.resize_bucket(now);
        }
    }

    /// Sets the peers to borrow from, with their distances.
    pub fn set_peers(&mut self, distances: impl IntoIterator<Item = (Vm, u32)>) {
        self.peers.set(distances);
    }

    /// Counts an arriving request for the reported demand; call once for each request.
    pub fn record_demand(&mut self, cost: Amount, now: Instant) {
        self.demand.count(cost, now);
    }

    /// Takes the cost of a request, or returns false. Checks the deadline of the elastic part
    /// first.
    #[must_use]
    pub fn spend(&mut self, cost: Amount, now: Instant) -> bool {
        self.expire(now);
        self.bucket.spend(cost, now)
    }

    /// Returns the tokens that can be spent now.
    pub fn level(&mut self, now: Instant) -> Amount {
        self.expire(now);
        self.bucket.level(now)
    }

    /// Returns when the refill alone will cover `cost`; `None` if it never will.
    pub fn ready_at(&mut self, cost: Amount, now: Instant) -> Option<Instant> {
        let short = cost.saturating_sub(self.level(now));
        let Allocation { rate, burst } = self.bucket.part();
        (rate > 0 && cost <= burst)
            .then(|| now + Duration::from_secs_f64(short as f64 / rate as f64 * REFILL_SLACK))
    }

    /// Returns the sum of floor and elastic part.
    pub fn part(&mut self, now: Instant) -> Allocation {
        self.expire(now);
        self.bucket.part()
    }

    /// Returns the next renewal when it is due.
    ///
    /// Answers to earlier renewals are ignored from then on, so `holding` is exact when the granter
    /// receives it.
    pub fn renew(&mut self, now: Instant) -> Option<Renew> {
        let is_pending = self
            .sent
            .is_some_and(|sent| now < sent + self.settings.answer_timeout);
        if is_pending || now < self.next_renewal {
            return None;
        }
        self.expire(now);
        self.number += 1;
        self.sent = Some(now);
        self.next_renewal = now + self.settings.renewal_interval;
        Some(Renew {
            workspace: self.identity.workspace.clone(),
            vm: self.identity.vm.clone(),
            incarnation: self.identity.incarnation,
            number: self.number,
            applied: self.applied,
            holding: self.elastic,
            returned: self.returned,
            demand: self.demand.rate(now),
            spare: self.spare(now),
            version: self.version,
        })
    }

    /// Applies the answer to the last renewal and ignores any other.
    pub fn apply_grant(&mut self, grant: &Grant, now: Instant) {
        if grant.to != self.identity.incarnation || grant.number != self.number {
            return;
        }
        let Some(sent) = self.sent.take() else { return };
        self.expire(now);
        for (vm, spare) in &grant.rich {
            self.peers.update(vm, *spare, now);
        }
        let deadline = sent + grant.term;
        if now >= deadline {
            return;
        }
        self.applied = grant.number;
        self.deadline = deadline;
        let lost = self.elastic.burst.saturating_sub(grant.part.burst);
        if lost > 0 {
            self.return_tokens(lost, now);
        }
        if !self.elastic.fits(grant.part) {
            self.next_renewal = now;
        }
        self.elastic = grant.part;
        self.resize_bucket(now);
        self.bucket.add(grant.tokens, now);
    }

    /// Removes the tokens that correspond to a lost burst, in proportion to the level, and reports
    /// them as returned.
    fn return_tokens(&mut self, lost: Amount, now: Instant) {
        let whole = self.bucket.part().burst.max(1);
        let level = self.bucket.level(now);
        let share = u128::from(level) * u128::from(lost) / u128::from(whole);
        let share = Amount::try_from(share).unwrap_or(level);
        let above = level.saturating_sub(whole.saturating_sub(lost));
        self.returned += self.bucket.take(share.max(above), now);
    }

    /// Releases all parts before the process stops; nothing can be spent, lent or borrowed
    /// afterwards.
    ///
    /// The returned acknowledgement allows the parts to be assigned to others.
    pub fn retire(&mut self, now: Instant) -> Option<Renew> {
        self.expire(now);
        self.returned += self.bucket.take(self.elastic.burst, now);
        (self.floor, self.elastic) = (Allocation::default(), Allocation::default());
        self.resize_bucket(now);
        (self.sent, self.next_renewal) = (None, now);
        self.renew(now)
    }

    /// Expires the elastic part and the loans whose deadlines have passed.
    fn expire(&mut self, now: Instant) {
        if now >= self.deadline && !self.elastic.is_empty() {
            // The elastic part refills up to its deadline, even if a pause delays this call.
            self.bucket.refill(self.deadline);
            self.elastic = Allocation::default();
            self.resize_bucket(self.deadline);
        }
        let bucket = &mut self.bucket;
        let reserve = self.settings.reserve_headroom;
        let peers = &mut self.peers;
        self.loans.retain(|_, loan| {
            let open = now < loan.deadline;
            if !open {
                if reserve {
                    bucket.release(loan.tokens, now);
                }
                peers.record_timeout(&loan.peer, now);
            }
            open
        });
    }

    /// Resizes the bucket to floor and elastic part, and cancels the newest loans that exceed the
    /// headroom.
    fn resize_bucket(&mut self, now: Instant) {
        let mut excess = self.bucket.resize(self.floor.plus(self.elastic), now);
        while excess > 0 {
            let Some((_, loan)) = self.loans.pop() else {
                break;
            };
            if self.settings.reserve_headroom {
                self.bucket.release(loan.tokens, now);
            }
            excess = excess.saturating_sub(loan.tokens);
        }
    }
}
