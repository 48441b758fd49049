//! Floors of one fleet, as stored in the table row `floors`.

use base::id::{Incarnation, Vm};

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

    /// Lists the owners.
    pub fn owners(&self) -> impl Iterator<Item = &Claim> {
        self.claims.iter().flatten()
    }
}
