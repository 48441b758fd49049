//! Client for JSON interfaces: one connection per request, with limits on time and size.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::{HeaderMap, Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Largest answer accepted, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Why a call gave no answer.
#[derive(Debug)]
pub enum Error {
    /// No connection was made, so the call had no effect.
    Connect(std::io::Error),
    /// The call was sent but no complete answer arrived: its effect is unknown.
    Lost(Box<str>),
    /// The request can't be encoded, or the answer is not in the expected format.
    Decode(Box<str>),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(error) => write!(f, "connection failed: {error}"),
            Self::Lost(reason) => write!(f, "no answer: {reason}"),
            Self::Decode(reason) => write!(f, "invalid answer: {reason}"),
        }
    }
}

impl std::error::Error for Error {}

/// Address, timeout and credential of a server.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// Address of the server.
    pub address: SocketAddr,
    /// Longest time for one call, connection included.
    pub timeout: Duration,
    /// Value of the `authorization` header, if the interface asks for one.
    pub authorization: Option<Box<str>>,
}

/// Status, headers and body of an answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl Answer {
    /// Decodes the body.
    ///
    /// # Errors
    ///
    /// Fails if the body is not the JSON form of a `T`.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, Error> {
        serde_json::from_slice(&self.body).map_err(|e| Error::Decode(e.to_string().into()))
    }
}

impl Target {
    /// Sends one request with a body and reads the complete answer.
    ///
    /// # Errors
    ///
    /// Fails if no connection is made or no complete answer arrives in time.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<Answer, Error> {
        let request = self.request(method, path, body.into())?;
        self.call_if(request, || true).await
    }

    /// Sends one request if `may_send` holds once the connection is open, and reads the complete
    /// answer. Connecting may take as long as the process was suspended.
    ///
    /// # Errors
    ///
    /// Fails as [`Target::call`] does, and with [`Error::Connect`] if the request may not be sent.
    pub async fn call_if(
        &self,
        request: Request<Full<Bytes>>,
        may_send: impl FnOnce() -> bool,
    ) -> Result<Answer, Error> {
        let connect = tokio::time::timeout(self.timeout, TcpStream::connect(self.address));
        let stream = match connect.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(Error::Connect(error)),
            Err(_) => return Err(Error::Connect(std::io::ErrorKind::TimedOut.into())),
        };
        if !may_send() {
            return Err(Error::Connect(std::io::ErrorKind::Interrupted.into()));
        }
        match tokio::time::timeout(self.timeout, exchange(stream, request)).await {
            Ok(answer) => answer,
            Err(_) => Err(Error::Lost("timed out".into())),
        }
    }

    /// Sends `value` as JSON and reads the complete answer.
    ///
    /// # Errors
    ///
    /// Fails as [`Target::call`] does, or if `value` can't be encoded.
    pub async fn call_json(
        &self,
        method: Method,
        path: &str,
        value: &impl Serialize,
    ) -> Result<Answer, Error> {
        let body = serde_json::to_vec(value).map_err(|e| Error::Decode(e.to_string().into()))?;
        self.call(method, path, body).await
    }

    /// Builds a request to this server.
    ///
    /// # Errors
    ///
    /// Fails if the path or the credential is not valid in a request.
    pub fn request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, Error> {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header(hyper::header::HOST, self.address.to_string());
        if let Some(value) = &self.authorization {
            request = request.header(hyper::header::AUTHORIZATION, &**value);
        }
        request
            .body(Full::new(body))
            .map_err(|e| Error::Decode(e.to_string().into()))
    }
}

async fn exchange(stream: TcpStream, request: Request<Full<Bytes>>) -> Result<Answer, Error> {
    let lost = |e: hyper::Error| Error::Lost(e.to_string().into());
    let _ = stream.set_nodelay(true);
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(lost)?;
    let driver = tokio::spawn(connection);
    let response = sender.send_request(request).await.map_err(lost)?;
    let (status, headers) = (response.status(), response.headers().clone());
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
        .collect()
        .await
        .map_err(|e| Error::Lost(e.to_string().into()))?
        .to_bytes();
    driver.abort();
    Ok(Answer {
        status,
        headers,
        body,
    })
}
