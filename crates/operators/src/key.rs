//! Digests and ids of workspace keys.

/// Context string of the key derivation, so that the secret serves no other use by accident.
const CONTEXT: &str = "cardamomhall 2026-12-04 workspace key digest";

/// Characters of a digest that form the id of a key.
const ID_CHARS: usize = 16;

/// Returns the keyed digest of a key, in hexadecimal.
pub fn digest(secret: &str, key: &str) -> Box<str> {
    let derived = blake3::derive_key(CONTEXT, secret.as_bytes());
    blake3::keyed_hash(&derived, key.as_bytes())
        .to_hex()
        .as_str()
        .into()
}

/// Returns the id of a key, by which operators name it, from its digest.
pub fn id(digest: &str) -> &str {
    digest.get(..ID_CHARS).unwrap_or(digest)
}
