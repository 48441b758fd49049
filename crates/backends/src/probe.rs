//! Health probe of a backend server.

use crate::client::{Failure, Pool, Settings};
use base::http::{Body, full};
use http_body_util::BodyExt;
use hyper::Request;
use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Path of the health and load endpoint.
pub const PATH: &str = "/health";
/// Largest answer accepted, in bytes.
const MAX_ANSWER_BYTES: usize = 4096;

base::label! {
    /// State that a server reports.
    #[serde(rename_all = "kebab-case")]
    pub enum State {
        /// Takes requests.
        Ready,
        /// Started, but its caches are still cold.
        Warming,
        /// Takes no new requests and will stop.
        Leaving,
    }
}

base::message! {
    /// Answer of the health and load endpoint; it may be outdated or wrong.
    pub struct Health {
        /// State of the server.
        pub state: State,
        /// Requests running.
        pub in_flight: u32,
        /// Requests that can run at once.
        pub slots: u32,
    }
}

/// Why a probe failed.
#[derive(Debug)]
pub enum Error {
    /// The request failed.
    Failed(Failure),
    /// The answer is incomplete, too large or not in the format of the endpoint.
    Invalid(Box<str>),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Failed(failure) => write!(f, "probe failed: {failure}"),
            Self::Invalid(reason) => write!(f, "invalid health answer: {reason}"),
        }
    }
}

impl std::error::Error for Error {}

/// Reads a bounded body.
///
/// The compiler can't prove that the future of `Limited::collect` is `Send`.
async fn read(mut body: Body) -> Result<Vec<u8>, Error> {
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| Error::Invalid(error.to_string().into()))?;
        bytes.extend_from_slice(frame.data_ref().map_or(&[], |data| data));
        if bytes.len() > MAX_ANSWER_BYTES {
            return Err(Error::Invalid("the answer is too large".into()));
        }
    }
    Ok(bytes)
}

/// Requests the health of a server on a new connection, which also checks that the server accepts
/// connections.
///
/// # Errors
///
/// Fails if no valid answer arrives within `limit`.
pub async fn check(address: SocketAddr, limit: Duration) -> Result<Health, Error> {
    let settings = Settings {
        connections: 1,
        connect_timeout: limit,
        read_timeout: limit,
        ..Settings::default()
    };
    let mut request = Request::new(full(""));
    *request.uri_mut() = hyper::Uri::from_static(PATH);
    let answer = Pool::new(address, settings)
        .send(request, Instant::now() + limit)
        .await
        .map_err(Error::Failed)?;
    let body = read(answer.into_body()).await?;
    serde_json::from_slice(&body).map_err(|e| Error::Invalid(e.to_string().into()))
}
