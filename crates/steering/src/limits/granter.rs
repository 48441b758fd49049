//! Grants of elastic parts by the VM that holds the lease row `granter/<shard>`.

use super::message::{Grant, Renew};
use super::{Allocation, Amount, Bucket, Floors, Settings, allocation};
use base::id::{Incarnation, Version, Vm};
use indexmap::IndexMap;
use std::time::Instant;

/// Divisor of the current share that gives the smallest change for which a grant is adjusted;
/// smaller ones aren't worth a message.
const MIN_CHANGE_DIVISOR: Amount = 16;
/// Grant terms for which the record of a holder is retained after its grant has expired.
const RECORD_RETENTION_TERMS: u32 = 30;
/// Maximum number of potential lenders listed in a grant.
const MAX_LENDERS: usize = 12;

base::value! {
    /// State of one holder, from its latest renewal.
    struct Record {
        vm: Vm,
        number: u64,
        /// Upper bound of what the holder may hold; empty once expired.
        held: Allocation,
        expires: Instant,
        returned: Amount,
        tokens: Amount,
        demand: Amount,
        spare: Amount,
        version: Version,
    }

    /// Grants of one workspace's elastic part. Its state is never stored: a new granter rebuilds it
    /// from renewals.
    pub struct Granter {
        settings: Settings,
        limit: Allocation,
        version: Version,
        pooled: Amount,
        grants_from: Instant,
        lease_until: Instant,
        pool: Bucket,
        records: IndexMap<Incarnation, Record>,
    }
}

impl Granter {
    /// Starts a granter that has just taken the lease row, which it holds until `lease_until`.
    ///
    /// It grants nothing for one term plus margin: by then the grants of its predecessor have
    /// expired.
    pub fn new(
        settings: Settings,
        limit: Allocation,
        version: Version,
        lease_until: Instant,
        now: Instant,
    ) -> Self {
        let grants_from = now + settings.term + settings.margin;
        Self {
            settings,
            limit,
            version,
            pooled: 0,
            grants_from,
            lease_until,
            // The predecessor's holders may have spent all tokens, so the pool starts empty. It
            // refills only once the predecessor's parts no longer do.
            pool: Bucket::new(settings.elastic(limit), grants_from),
            records: IndexMap::new(),
        }
    }

    /// Extends the time during which the lease row is held.
    pub fn extend(&mut self, lease_until: Instant) {
        self.lease_until = self.lease_until.max(lease_until);
    }

    /// Sets the number of floors that the row `floors` assigns to the granter's pool.
    ///
    /// Increase it only after the row is written. To decrease it, set it first and free the floors
    /// in the row once [`Granter::fits`] holds.
    pub fn set_pooled(&mut self, floors: usize, now: Instant) {
        self.pooled = floors as Amount;
        self.expire(now);
    }

    /// Reports whether all parts in use, including those granted by a predecessor, fit the
    /// capacity.
    pub fn fits(&mut self, now: Instant) -> bool {
        self.expire(now);
        now >= self.grants_from && self.held().fits(self.elastic())
    }

    fn elastic(&self) -> Allocation {
        let floor = self.settings.floor(self.limit);
        self.settings.elastic(self.limit).plus(Allocation {
            rate: floor.rate * self.pooled,
            burst: floor.burst * self.pooled,
        })
    }

    /// Reports whether the current limit is in force: no VM can still use a higher one.
    pub fn in_force(&mut self, floors: &Floors, now: Instant) -> bool {
        self.expire(now);
        now >= self.grants_from && self.unconfirmed(floors).is_empty()
    }

    /// Changes the limit. A lower one is in force once [`Granter::in_force`] returns true.
    pub fn set_limit(&mut self, limit: Allocation, version: Version, now: Instant) {
        if version > self.version {
            (self.limit, self.version) = (limit, version);
            self.expire(now);
            self.resize_pool(now);
        }
    }

    /// Lists the VMs that may still use a higher limit: a floor of an older version, or a part
    /// beyond the elastic capacity.
    pub fn unconfirmed(&self, floors: &Floors) -> Vec<Vm> {
        let fits = self.held().fits(self.elastic());
        let confirmed = |incarnation: &Incarnation| {
            self.records
                .get(incarnation)
                .is_some_and(|record| record.version >= self.version)
        };
        let late = floors
            .owners()
            .filter(|owner| !confirmed(&owner.incarnation))
            .map(|owner| owner.vm.clone());
        let over = self
            .records
            .values()
            .filter(|record| !fits && !record.held.is_empty())
            .map(|record| record.vm.clone());
        let mut names: Vec<Vm> = late.chain(over).collect();
        names.sort();
        names.dedup();
        names
    }

    /// Answers a renewal; `None` while the granter may not grant, and for a duplicate.
    pub fn renew(&mut self, renew: &Renew, now: Instant) -> Option<Grant> {
        if now < self.grants_from || now >= self.lease_until {
            return None;
        }
        self.expire(now);
        let last = self.records.get(&renew.incarnation);
        if last.is_some_and(|record| renew.number <= record.number) {
            return None;
        }
        let credit = self.record_renewal(renew, now);
        self.resize_pool(now);
        self.pool.add(credit, now);
        Some(self.build_grant(renew, now))
    }

    /// Updates the record of a holder and returns the tokens that its report returns.
    fn record_renewal(&mut self, renew: &Renew, now: Instant) -> Amount {
        let live = self
            .records
            .get(&renew.incarnation)
            .filter(|record| !record.held.is_empty());
        // Without a live record, a reported part has passed its deadline: the message is old, and
        // its tokens don't count.
        let held = live.map_or(Allocation::default(), |record| {
            record.held.min(renew.holding)
        });
        let credit = live.map_or(0, |record| {
            let unused = record.tokens * Amount::from(renew.applied < record.number);
            renew.returned.saturating_sub(record.returned) + unused
        });
        let record = Record {
            vm: renew.vm.clone(),
            number: renew.number,
            held,
            expires: now + self.settings.term + self.settings.margin,
            returned: renew.returned,
            tokens: 0,
            demand: renew.demand,
            spare: renew.spare,
            version: renew.version,
        };
        self.records.insert(renew.incarnation, record);
        credit
    }

    fn build_grant(&mut self, renew: &Renew, now: Instant) -> Grant {
        let elastic = self.elastic();
        let floor = self.settings.floor(self.limit);
        let index = self.records.get_index_of(&renew.incarnation).unwrap_or(0);
        let demands: Vec<Amount> = self.records.values().map(|record| record.demand).collect();
        let target = allocation::divide(elastic, floor, &demands)[index];
        let held = self.records[index].held;
        let free = self.pool.part();
        let is_close = |from: Amount, to: Amount| from.abs_diff(to) < from / MIN_CHANGE_DIVISOR;
        let is_minor_change = is_close(held.rate, target.rate)
            && is_close(held.burst, target.burst)
            && self.held().fits(elastic);
        let part = if is_minor_change {
            held
        } else {
            target.min(held.plus(free))
        };
        let added = part.minus(held);
        let share = u128::from(self.pool.level(now)) * u128::from(added.burst)
            / u128::from(free.burst.max(1));
        let tokens = self
            .pool
            .take(Amount::try_from(share).unwrap_or(0).min(added.burst), now);
        let record = &mut self.records[index];
        record.held = held.max(part);
        record.tokens = tokens;
        self.resize_pool(now);
        Grant {
            to: renew.incarnation,
            number: renew.number,
            part,
            tokens,
            term: self.settings.term,
            rich: self.lenders(&renew.vm),
        }
    }

    fn lenders(&self, except: &str) -> Vec<(Vm, Amount)> {
        let mut lenders: Vec<(Vm, Amount)> = self
            .records
            .values()
            .filter(|record| &*record.vm != except)
            .map(|record| (record.vm.clone(), record.spare))
            .collect();
        lenders.sort_by_key(|(_, spare)| std::cmp::Reverse(*spare));
        lenders.truncate(MAX_LENDERS);
        lenders
    }

    fn held(&self) -> Allocation {
        self.records
            .values()
            .fold(Allocation::default(), |sum, record| sum.plus(record.held))
    }

    /// Frees the parts whose term and margin have expired; their tokens are lost.
    fn expire(&mut self, now: Instant) {
        let retention = self.settings.term * RECORD_RETENTION_TERMS;
        for record in self.records.values_mut() {
            if now >= record.expires {
                record.held = Allocation::default();
                record.demand = 0;
                record.spare = 0;
            }
        }
        self.records
            .retain(|_, record| now < record.expires + retention);
        self.resize_pool(now);
    }

    /// Resizes the pool to the capacity that no holder holds.
    fn resize_pool(&mut self, now: Instant) {
        let free = self.elastic().minus(self.held());
        if free != self.pool.part() {
            self.pool.resize(free, now);
        }
    }
}
