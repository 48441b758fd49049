//! Owners of the floors of a fleet, as stored in the table row `floors`.

use base::id::{Incarnation, Vm};
use indexmap::{IndexMap, IndexSet};

/// Owner name of the floors in the granter's pool; no VM has an empty name.
const POOL_OWNER: &str = "";

base::message! {
    /// Owner of one floor.
    #[derive(Eq)]
    pub struct Claim {
        /// VM of the owner.
        pub vm: Vm,
        /// Incarnation to which the floor is bound.
        pub incarnation: Incarnation,
    }

    /// Claims of all floors; each change is one compare-and-set write of the row.
    #[derive(Default, Eq)]
    pub struct Floors {
        claims: Vec<Option<Claim>>,
    }
}

impl Floors {
    /// Returns `units` unclaimed floors.
    pub fn new(units: usize) -> Self {
        Self {
            claims: vec![None; units],
        }
    }

    /// Claims a floor; the result counts only once the changed row is written.
    ///
    /// A floor of an earlier incarnation on the same VM is reassigned: the caller has bound the
    /// VM's port before it claims, so the earlier process has ended. A claim starts with no tokens.
    pub fn claim(&mut self, vm: &str, incarnation: Incarnation) -> Option<usize> {
        let owned = |claim: &Option<Claim>| claim.as_ref().is_some_and(|c| &*c.vm == vm);
        let unit = self
            .claims
            .iter()
            .position(owned)
            .or_else(|| self.claims.iter().position(Option::is_none))?;
        self.claims[unit] = Some(Claim {
            vm: vm.into(),
            incarnation,
        });
        Some(unit)
    }

    /// Frees the floor of `incarnation`, which has acknowledged that it no longer uses it.
    pub fn release(&mut self, incarnation: Incarnation) {
        self.reclaim(|claim| claim.incarnation == incarnation);
    }

    /// Frees the floors whose owner the platform's list confirms as gone.
    pub fn reclaim(&mut self, gone: impl Fn(&Claim) -> bool) {
        for claim in &mut self.claims {
            claim.take_if(|owner| gone(owner));
        }
    }

    /// Lists the VMs' claims.
    pub fn owners(&self) -> impl Iterator<Item = &Claim> {
        self.claims
            .iter()
            .flatten()
            .filter(|claim| &*claim.vm != POOL_OWNER)
    }

    /// Returns the number of floors in the granter's pool.
    pub fn pooled(&self) -> usize {
        let pooled = |claim: &&Claim| &*claim.vm == POOL_OWNER;
        self.claims.iter().flatten().filter(pooled).count()
    }

    /// Returns the number of unclaimed floors.
    pub fn free(&self) -> usize {
        self.claims.iter().filter(|claim| claim.is_none()).count()
    }

    /// Claims unclaimed floors for the granter's pool, all but `kept`, which VMs can claim at once.
    ///
    /// The granter may use them through [`super::Granter::set_pooled`] once the row is written.
    pub fn pool(&mut self, kept: usize) {
        let free = self.claims.iter_mut().filter(|claim| claim.is_none());
        for claim in free.skip(kept) {
            *claim = Some(Claim {
                vm: POOL_OWNER.into(),
                incarnation: 0,
            });
        }
    }

    /// Frees one floor of the pool. The granter must have reduced its pool before, and
    /// [`super::Granter::fits`] must hold.
    pub fn unpool(&mut self) {
        let pooled =
            |claim: &&mut Option<Claim>| claim.as_ref().is_some_and(|c| &*c.vm == POOL_OWNER);
        if let Some(claim) = self.claims.iter_mut().find(pooled) {
            *claim = None;
        }
    }
}

base::value! {
    /// Owners of floors as known to one VM, from its own reads of the row and from announcements
    /// by the owners.
    #[derive(Default)]
    pub struct Owners {
        /// Version of the row at the last read, and the owners that it listed.
        read: Option<(u64, IndexSet<Vm>)>,
        /// Versions of the row that listed an owner, as announced by the owner; later than `read`.
        announced: IndexMap<Vm, u64>,
    }
}

impl Owners {
    /// Records the owners that the row lists at `version`.
    pub fn record_row(&mut self, version: u64, owners: IndexSet<Vm>) {
        self.announced.retain(|_, announced| *announced > version);
        self.read = Some((version, owners));
    }

    /// Records an announcement that the row listed `vm` as an owner at `version`. A read of the
    /// same or a later version takes precedence.
    ///
    /// The store must have confirmed the version.
    pub fn record_owner(&mut self, vm: &str, version: u64) {
        if self.read.as_ref().is_none_or(|(read, _)| version > *read) {
            let announced = self.announced.entry(vm.into()).or_default();
            *announced = version.max(*announced);
        }
    }

    /// Returns the latest known version of the row that shows whether `vm` owns a floor, and
    /// whether it does; none if nothing is known.
    ///
    /// A floor is reclaimed only once its VM is gone, so an owner listed in an old version is still
    /// an owner while that VM runs.
    pub fn floor(&self, vm: &str) -> Option<(u64, bool)> {
        let announced = self.announced.get(vm).map(|version| (*version, true));
        announced.or_else(|| {
            let (version, owners) = self.read.as_ref()?;
            Some((*version, owners.contains(vm)))
        })
    }
}
