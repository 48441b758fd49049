//! Errors of calls to the platform.

use base::http::client;
use std::fmt;

/// Why a call to the platform did not succeed.
#[derive(Debug)]
pub enum Error {
    /// The platform can't be reached or is out of service; the call had no effect.
    Unavailable(Box<str>),
    /// No complete answer arrived; a write may have taken effect.
    Lost(Box<str>),
    /// Another write came first; contains the row's current version.
    Conflict(u64),
    /// The row or object does not exist.
    Absent,
    /// The answer is not in the format of the interface.
    Invalid(Box<str>),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable(reason) => write!(f, "platform unavailable: {reason}"),
            Self::Lost(reason) => write!(f, "platform's answer lost: {reason}"),
            Self::Conflict(version) => write!(f, "row changed; its version is {version} now"),
            Self::Absent => f.write_str("no such row or object"),
            Self::Invalid(reason) => write!(f, "platform's answer invalid: {reason}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<client::Error> for Error {
    fn from(error: client::Error) -> Self {
        match error {
            client::Error::Connect(e) => Self::Unavailable(e.to_string().into()),
            client::Error::Lost(reason) => Self::Lost(reason),
            client::Error::Decode(reason) => Self::Invalid(reason),
        }
    }
}
