//! Order of backend servers for an object, the same on every VM without a message.
//!
//! Load: requests for an object run in a fraction of the time on a server that handled the object
//! lately, so all VMs must prefer the same few servers. Weighted rendezvous hashing gives each
//! server objects in proportion to its weight, and moves only the objects of servers that come or go.

/// Digest of an object or a server.
pub type Digest = u64;

/// Returns the digest of a text, the same on every VM and in every run.
pub fn digest(text: &str) -> Digest {
    let mut first = [0; 8];
    first.copy_from_slice(&blake3::hash(text.as_bytes()).as_bytes()[..8]);
    Digest::from_le_bytes(first)
}

/// Returns the rank of a server for an object; the highest rank comes first. Servers get objects in
/// proportion to their weights.
pub fn rank(object: Digest, server: Digest, weight: f64) -> f64 {
    // The 53 upper bits give an even fraction in (0, 1).
    let bits = mix(object ^ mix(server)) >> 11;
    let fraction = (bits as f64 + 0.5) / (1_u64 << 53) as f64;
    -weight.max(f64::MIN_POSITIVE) / fraction.ln()
}

/// Spreads the bits of a digest (finalizer of the SplitMix64 generator).
fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
