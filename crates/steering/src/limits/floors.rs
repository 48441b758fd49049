//! Floors of one fleet, as stored in the table row `floors`.

use base::id::{Incarnation, Vm};
use indexmap::{IndexMap, IndexSet};

/// Name under which the granter owns floors; no VM has an empty name.
const POOL: &str = "";

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
    /// A floor of an earlier incarnation on the same VM passes on: the caller has bound the VM's
    /// port before it claims, so the earlier process is dead. A claim starts with no tokens.
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

    /// Frees the floor that `incarnation` has stopped to use, on its own acknowledgement.
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
            .filter(|claim| &*claim.vm != POOL)
    }

    /// Returns the number of floors in the granter's pool.
    pub fn pooled(&self) -> usize {
        let pooled = |claim: &&Claim| &*claim.vm == POOL;
        self.claims.iter().flatten().filter(pooled).count()
    }

    /// Returns the number of unclaimed floors.
    pub fn free(&self) -> usize {
        self.claims.iter().filter(|claim| claim.is_none()).count()
    }

    /// Claims unclaimed floors for the granter's pool, all but `kept` that VMs can claim at once.
    ///
    /// The granter may use them through [`super::Granter::set_pooled`] once the row is written.
    pub fn pool(&mut self, kept: usize) {
        let free = self.claims.iter_mut().filter(|claim| claim.is_none());
        for claim in free.skip(kept) {
            *claim = Some(Claim {
                vm: POOL.into(),
                incarnation: 0,
            });
        }
    }

    /// Frees one floor of the pool. The granter must have lowered its pool before, and
    /// [`super::Granter::fits`] must hold.
    pub fn unpool(&mut self) {
        let pooled = |claim: &&mut Option<Claim>| claim.as_ref().is_some_and(|c| &*c.vm == POOL);
        if let Some(claim) = self.claims.iter_mut().find(pooled) {
            *claim = None;
        }
    }
}

base::value! {
    /// Owners of floors as one VM knows them: from its own reading of the row, and from owners that
    /// told it of their floor.
    #[derive(Default)]
    pub struct Owners {
        /// Version of the row as it was read last, and the owners that it named.
        read: Option<(u64, IndexSet<Vm>)>,
        /// Versions of the row that named an owner, on the owner's word; later than `read`.
        told: IndexMap<Vm, u64>,
    }
}

impl Owners {
    /// Takes the owners that the row names at `version`.
    pub fn read(&mut self, version: u64, owners: IndexSet<Vm>) {
        self.told.retain(|_, told| *told > version);
        self.read = Some((version, owners));
    }

    /// Notes that the row named `vm` as an owner at `version`. A reading that is as new counts more.
    ///
    /// The version must be one that the store has confirmed.
    pub fn tell(&mut self, vm: &str, version: u64) {
        if self.read.as_ref().is_none_or(|(read, _)| version > *read) {
            let told = self.told.entry(vm.into()).or_default();
            *told = version.max(*told);
        }
    }

    /// Returns the latest known version of the row that says whether `vm` owns a floor, and what it
    /// says; none if nothing is known.
    ///
    /// A floor is taken back only once its VM is gone, so what an old version says of an owner is
    /// still right while that VM runs.
    pub fn floor(&self, vm: &str) -> Option<(u64, bool)> {
        let told = self.told.get(vm).map(|version| (*version, true));
        told.or_else(|| {
            let (version, owners) = self.read.as_ref()?;
            Some((*version, owners.contains(vm)))
        })
    }
}
