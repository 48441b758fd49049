//! Floors of one fleet, as stored in the table row `floors`.

use base::id::{Incarnation, Vm};

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
