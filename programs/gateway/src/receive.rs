//! Reading of a caller's request.

use adapter::header;
use base::http::Body;
use base::id;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderName, HeaderValue};
use hyper::{HeaderMap, Method, Request, Uri};
use std::time::{Duration, Instant};
use steering::affinity::{self, Digest};
use steering::attempt::Refusal;
use tokio_util::sync::CancellationToken;

/// Time for a request that names no deadline.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);
/// Largest body while no configuration bounds it, in bytes.
pub const BODY_BYTES: usize = 1024 * 1024;

/// A whole request of a caller.
#[derive(Debug)]
pub struct Call {
    /// Id of the request; empty if the caller gave none.
    pub id: id::Request,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Host that the caller wants to reach.
    pub host: Box<str>,
    /// Key, taken out of the headers.
    pub key: Option<Box<str>>,
    /// Object that the request concerns.
    pub object: Option<Digest>,
    /// When its head had arrived.
    pub arrival: Instant,
    /// Until when the caller waits.
    pub deadline: Instant,
    /// Headers to be passed on.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

/// Head of a request whose body is still to be read.
#[derive(Debug)]
pub struct Head {
    /// Request without its body.
    pub call: Call,
    body: Incoming,
}

/// Reads the head of a request.
pub fn head(request: Request<Incoming>) -> Head {
    let arrival = Instant::now();
    let (parts, body) = request.into_parts();
    let mut headers = parts.headers;
    let text = |headers: &HeaderMap, name: &str| -> Option<Box<str>> {
        headers.get(name)?.to_str().ok().map(Into::into)
    };
    let key = text(&headers, header::KEY);
    let left = text(&headers, header::DEADLINE).and_then(|text| text.parse().ok());
    let object = header::object(&headers).map(affinity::digest);
    let id = text(&headers, header::REQUEST_ID).unwrap_or_default();
    let host = text(&headers, HOST.as_str())
        .or_else(|| parts.uri.host().map(Into::into))
        .unwrap_or_default();
    for name in [header::KEY, header::WORKSPACE, header::EXPECTED_SERVER] {
        headers.remove(name);
    }
    let call = Call {
        id,
        method: parts.method,
        uri: parts.uri,
        host,
        key,
        object,
        arrival,
        deadline: arrival + left.map_or(DEFAULT_DEADLINE, Duration::from_millis),
        headers,
        body: Bytes::new(),
    };
    Head { call, body }
}

impl Head {
    /// Reads the body until `ending` is cancelled.
    ///
    /// # Errors
    ///
    /// Fails if the body is larger than `most` bytes or ends early, or was not read in time.
    pub async fn whole(
        self,
        most: usize,
        ending: &CancellationToken,
    ) -> Result<Call, (Call, Refusal)> {
        let Self { mut call, body } = self;
        let read = Limited::new(body, most).collect();
        let Some(read) = ending.run_until_cancelled(read).await else {
            return Err((call, Refusal::Stopping));
        };
        match read {
            Ok(body) => {
                call.body = body.to_bytes();
                Ok(call)
            }
            Err(error) if error.is::<http_body_util::LengthLimitError>() => {
                Err((call, Refusal::TooLarge))
            }
            Err(error) => {
                log::debug!("event=body-cut id={} error={error}", call.id);
                Err((call, Refusal::Invalid))
            }
        }
    }
}

impl Call {
    /// Builds the request for a server.
    pub fn request(&self, workspace: Option<&str>, server: &str) -> Request<Body> {
        let mut request = Request::new(base::http::full(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let mut headers = self.headers.clone();
        headers.remove(hyper::header::TRANSFER_ENCODING);
        let own = [
            (header::WORKSPACE, workspace),
            (header::EXPECTED_SERVER, Some(server)),
        ];
        for (name, value) in own {
            let value = value.and_then(|value| HeaderValue::from_str(value).ok());
            if let Some(value) = value {
                headers.insert(HeaderName::from_static(name), value);
            }
        }
        *request.headers_mut() = headers;
        request
    }
}
