//! Keys and their digests.

use rand::{Rng, RngExt};
use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::hash::{Hash, Hasher};
use subtle::ConstantTimeEq;

/// Prefix of every generated key, by which scanners for leaked secrets recognise it.
const PREFIX: &str = "chk_";
/// Digits of a digest that form the id of its key: two of a million keys share an id with a
/// probability of 1 in 37 million.
const ID_DIGITS: usize = 16;
/// Longest accepted key in bytes; longer ones are refused before they are hashed.
pub const MAX_KEY_BYTES: usize = 128;

/// A workspace's key. Neither its `Debug` nor its `Display` form shows it, and it can't be
/// serialised.
#[derive(Clone)]
pub struct Key(Box<str>);

/// Secret with which keys are hashed, so that guessed keys can't be compared with digests from a
/// leaked configuration.
#[derive(Clone)]
pub struct Pepper([u8; blake3::KEY_LEN]);

/// Keyed BLAKE3 hash of a key. Comparison takes the same time for equal and different digests.
#[derive(Clone, Copy)]
pub struct Digest([u8; blake3::OUT_LEN]);

impl Key {
    /// Generates a key of 256 random bits.
    pub fn generate(rng: &mut impl Rng) -> Self {
        let (high, low) = (rng.random::<u128>(), rng.random::<u128>());
        Self(format!("{PREFIX}{high:032x}{low:032x}").into())
    }

    /// Parses a key sent by a caller; `None` if it is empty or too long.
    pub fn parse(text: &str) -> Option<Self> {
        (1..=MAX_KEY_BYTES)
            .contains(&text.len())
            .then(|| Self(text.into()))
    }

    /// Returns the key itself, for the operator who issued it.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Returns the digest of the key.
    pub fn digest(&self, pepper: &Pepper) -> Digest {
        Digest(*blake3::keyed_hash(&pepper.0, self.0.as_bytes()).as_bytes())
    }
}

impl Pepper {
    /// Derives the secret from the text in the settings.
    pub fn derive(secret: &str) -> Self {
        Self(blake3::derive_key(
            "cardamomhall 2026 workspace key digests",
            secret.as_bytes(),
        ))
    }
}

impl Digest {
    /// Returns the first two bytes, by which a ring groups its entries.
    pub(super) fn prefix(&self) -> u16 {
        u16::from_be_bytes([self.0[0], self.0[1]])
    }

    /// Returns the id by which operators refer to the key.
    pub fn id(&self) -> Box<str> {
        self.to_string()[..ID_DIGITS].into()
    }

    fn parse(text: &str) -> Option<Self> {
        Some(Self(*blake3::Hash::from_hex(text).ok()?.as_bytes()))
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(hidden)")
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("(hidden key)")
    }
}

impl fmt::Debug for Pepper {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Pepper(hidden)")
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&blake3::Hash::from_bytes(self.0).to_hex())
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({self})")
    }
}

impl ConstantTimeEq for Digest {
    fn ct_eq(&self, other: &Self) -> subtle::Choice {
        self.0.ct_eq(&other.0)
    }
}

impl PartialEq for Digest {
    fn eq(&self, other: &Self) -> bool {
        self.ct_eq(other).into()
    }
}

impl Eq for Digest {}

impl Hash for Digest {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

impl PartialOrd for Digest {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// Order for display only. It isn't constant in time.
impl Ord for Digest {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.cmp(&other.0)
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, sink: S) -> Result<S::Ok, S::Error> {
        sink.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(source: D) -> Result<Self, D::Error> {
        let text = Box::<str>::deserialize(source)?;
        // The error omits the text, which could be a key that was pasted by mistake.
        Self::parse(&text)
            .ok_or_else(|| D::Error::custom("invalid key digest, expected 64 hexadecimal digits"))
    }
}
