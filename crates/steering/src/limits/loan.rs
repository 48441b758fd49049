//! Open borrow requests of a holder and the spare tokens of its peers.

use super::Amount;
use base::id::Vm;
use indexmap::IndexMap;
use std::time::Instant;

base::value! {
    /// An open borrow request.
    pub struct Loan {
        /// VM that was asked.
        pub peer: Vm,
        /// Headroom that is reserved for the answer.
        pub tokens: Amount,
        /// Time after which the answer is dropped.
        pub deadline: Instant,
    }

    /// What a holder knows of the other holders of the workspace.
    #[derive(Default)]
    pub struct Peers {
        known: IndexMap<Vm, (u32, Amount)>,
    }
}

impl Peers {
    /// Sets the peers with their distances; the spare tokens of those already known are kept.
    pub fn set(&mut self, distances: impl IntoIterator<Item = (Vm, u32)>) {
        let former = std::mem::take(&mut self.known);
        let spare = |vm: &Vm| former.get(vm).map_or(0, |&(_, spare)| spare);
        self.known = distances
            .into_iter()
            .map(|(vm, distance)| {
                let spare = spare(&vm);
                (vm, (distance, spare))
            })
            .collect();
    }

    /// Updates the spare tokens of a peer.
    pub fn update(&mut self, vm: &str, spare: Amount) {
        if let Some(peer) = self.known.get_mut(vm) {
            peer.1 = spare;
        }
    }

    /// Chooses the nearest peer with at least `least` spare tokens, the richest at that distance;
    /// without one, the richest peer with any. Returns its spare tokens too.
    pub fn choose(&self, least: Amount, except: impl Fn(&Vm) -> bool) -> Option<(Vm, Amount)> {
        let open = || self.known.iter().filter(|(vm, _)| !except(vm));
        open()
            .filter(|(_, (_, spare))| *spare >= least)
            .min_by_key(|(_, (distance, spare))| (*distance, std::cmp::Reverse(*spare)))
            .or_else(|| {
                open()
                    .filter(|(_, (_, spare))| *spare > 0)
                    .max_by_key(|(_, (_, spare))| *spare)
            })
            .map(|(vm, &(_, spare))| (vm.clone(), spare))
    }
}
