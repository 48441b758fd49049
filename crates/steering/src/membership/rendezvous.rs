//! Rendezvous hashing: an order of VMs per key that changes little when VMs are added or removed.

use base::id::Vm;

/// Returns the weight of a VM for a key; the highest weight comes first.
pub fn weight(key: &str, vm: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(key.len() as u64).to_le_bytes());
    hasher.update(key.as_bytes());
    hasher.update(vm.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Returns the VMs by descending weight for a key.
pub fn order<'a>(key: &str, vms: impl IntoIterator<Item = &'a Vm>) -> Vec<&'a Vm> {
    let mut vms: Vec<&Vm> = vms.into_iter().collect();
    vms.sort_by_cached_key(|vm| (std::cmp::Reverse(weight(key, vm)), (*vm).clone()));
    vms
}

/// Returns how many of `vms` come before `vm` for a key.
pub fn rank<'a>(key: &str, vm: &str, vms: impl IntoIterator<Item = &'a Vm>) -> usize {
    let own = weight(key, vm);
    let before = |other: &&Vm| {
        let weight = weight(key, other);
        weight > own || (weight == own && ***other < *vm)
    };
    vms.into_iter().filter(before).count()
}
