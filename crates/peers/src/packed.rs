//! Compressed encoding of large values, for VMs with narrow links.

use bincode::Options;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io::Read;

/// Largest value that is unpacked, in bytes: far above the state of any deployment, and below the
/// memory of the smallest VM, 160 MB.
const MAX_BYTES: u64 = 32 * 1024 * 1024;

/// Why a value can't be packed or unpacked.
pub type Error = bincode::Error;

base::message! {
    /// A value, encoded and compressed.
    pub struct Packed {
        bytes: Vec<u8>,
    }
}

impl Packed {
    /// Packs a value.
    ///
    /// # Errors
    ///
    /// Fails if the value can't be encoded.
    pub fn new(value: &impl Serialize) -> Result<Self, Error> {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        bincode::DefaultOptions::new().serialize_into(&mut encoder, value)?;
        let bytes = encoder.finish()?;
        Ok(Self { bytes })
    }

    /// Returns the number of bytes of the packed value.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether the packed value has no bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the value.
    ///
    /// # Errors
    ///
    /// Fails if the bytes do not encode a `T` of at most 32 MiB.
    pub fn unpack<T: DeserializeOwned>(&self) -> Result<T, Error> {
        let reader = DeflateDecoder::new(self.bytes.as_slice()).take(MAX_BYTES);
        bincode::DefaultOptions::new().deserialize_from(reader)
    }
}

/// Encodes a message that may hold packed values.
///
/// # Errors
///
/// Fails if the message can't be encoded.
pub fn encode(message: &impl Serialize) -> Result<Vec<u8>, Error> {
    bincode::DefaultOptions::new().serialize(message)
}

/// Decodes a message.
///
/// # Errors
///
/// Fails if the bytes do not encode a `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    bincode::DefaultOptions::new()
        .with_limit(MAX_BYTES)
        .deserialize(bytes)
}
