//! Compare-and-set changes of rows in the platform's table.

use platform::table::Write;
use platform::{Client, Error};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Most attempts of a change that conflicts with other writers.
const ATTEMPTS: usize = 8;

/// Reads a row, changes its content and writes it back; retries after conflicts. An unchanged row
/// isn't written. Returns the row's version.
///
/// Only for changes that are valid for any content of the row, such as adding an entry.
///
/// # Errors
///
/// Errors of the platform; [`Error::Conflict`] if every attempt conflicted.
pub async fn update<T: Serialize + DeserializeOwned + Default + Clone + PartialEq>(
    client: &Client,
    key: &str,
    change: impl Fn(&mut T),
) -> Result<u64, Error> {
    let mut last = Error::Absent;
    for _ in 0..ATTEMPTS {
        let (expected, mut content) = match client.read(key).await {
            Ok(row) => (row.version, decode(row.value)?),
            Err(Error::Absent) => (0, T::default()),
            Err(error) => return Err(error),
        };
        let before = content.clone();
        change(&mut content);
        if content == before {
            return Ok(expected);
        }
        match client.write(key, &write(expected, &content)?).await {
            Err(Error::Conflict(version)) => last = Error::Conflict(version),
            settled => return settled,
        }
    }
    Err(last)
}

/// Makes a write with a fresh operation id.
///
/// # Errors
///
/// Fails if the content can't be encoded.
pub fn write(expected: u64, content: &impl Serialize) -> Result<Write, Error> {
    let value = serde_json::to_value(content).map_err(|e| Error::Invalid(e.to_string().into()))?;
    Ok(Write {
        expected,
        operation: base::id::random(&mut rand::rng()),
        value,
    })
}

/// Decodes the content of a row.
///
/// # Errors
///
/// Fails if the content does not describe a `T`.
pub fn decode<T: DeserializeOwned>(value: serde_json::Value) -> Result<T, Error> {
    serde_json::from_value(value).map_err(|e| Error::Invalid(e.to_string().into()))
}
