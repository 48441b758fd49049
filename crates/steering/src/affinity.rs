//! Weighted rendezvous hashing of objects to backend servers.
//!
//! A server that has cached an object handles requests for it in a fraction of the time, so all VMs
//! must prefer the same few servers without exchanging messages. Each server gets objects in
//! proportion to its weight, and only the objects of servers that join or leave move.

/// Digest of an object or a server.
pub type Digest = u64;

/// Returns the digest of a text, the same on every VM and in every run.
pub fn digest(text: &str) -> Digest {
    digest_bytes(text.as_bytes())
}

/// Returns the digest of bytes; that of a text is the same.
pub fn digest_bytes(bytes: &[u8]) -> Digest {
    let mut first = [0; 8];
    first.copy_from_slice(&blake3::hash(bytes).as_bytes()[..8]);
    Digest::from_le_bytes(first)
}

/// Returns the rank of a server for an object; the server with the highest rank comes first.
pub fn rank(object: Digest, server: Digest, weight: f64) -> f64 {
    // The upper 53 bits give a uniform fraction in (0, 1).
    let bits = mix(object ^ mix(server)) >> 11;
    let fraction = (bits as f64 + 0.5) / (1_u64 << 53) as f64;
    -weight.max(f64::MIN_POSITIVE) / fraction.ln()
}

/// Mixes the bits of a digest (finalizer of the SplitMix64 generator).
fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
