//! Strict reading of YAML files.

use serde::de::DeserializeOwned;
use std::fmt;
use std::path::Path;

/// Why a YAML file could not be read.
#[derive(Debug)]
pub enum Error {
    /// The file can't be read.
    Read(Box<str>, std::io::Error),
    /// The text is not valid; the message names line, column and the accepted values.
    Parse(Box<str>, Box<str>),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(file, error) => write!(f, "{file}: {error}"),
            Self::Parse(file, message) => write!(f, "{file}: {message}"),
        }
    }
}

impl std::error::Error for Error {}

/// Reads a YAML file into `T`.
///
/// # Errors
///
/// Fails if the file can't be read or is not the YAML form of a `T`.
pub fn load<T: DeserializeOwned>(path: impl AsRef<Path>) -> Result<T, Error> {
    let path = path.as_ref();
    let name: Box<str> = path.display().to_string().into();
    let text = std::fs::read_to_string(path).map_err(|e| Error::Read(name.clone(), e))?;
    parse(&name, &text)
}

/// Reads YAML text into `T`; `name` is the file named in errors.
///
/// # Errors
///
/// Fails if the text is not the YAML form of a `T`.
pub fn parse<T: DeserializeOwned>(name: &str, text: &str) -> Result<T, Error> {
    serde_saphyr::from_str(text).map_err(|e| Error::Parse(name.into(), e.to_string().into()))
}
