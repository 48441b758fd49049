//! Reads a caller's request.

use crate::body_memory::{BodyMemory, HeldBody};
use adapter::header;
use backends::client::Outgoing;
use base::http::fields::EndToEnd;
use base::id;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{HOST, HeaderName, HeaderValue, TRAILER, TRANSFER_ENCODING};
use hyper::{HeaderMap, Method, Request, Uri};
use std::time::{Duration, Instant};
use steering::affinity::{self, Digest};
use steering::attempt::Refusal;
use tokio_util::sync::CancellationToken;

/// Time for a request without a deadline header.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest body in bytes while there is no configuration with a bound.
pub const DEFAULT_MAX_BODY_BYTES: usize = 1024 * 1024;

/// A whole request of a caller.
#[derive(Debug)]
pub struct CallerRequest {
    /// Id of the request; empty if the caller gave none.
    pub id: id::Request,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Host to which the caller sent it.
    pub host: Box<str>,
    /// Key of the caller; it is not in `headers`.
    pub key: Option<Box<str>>,
    /// Digest of the object that the request concerns.
    pub object: Option<Digest>,
    /// When its head had arrived.
    pub arrived_at: Instant,
    /// Time until which the caller waits.
    pub deadline: Instant,
    /// Fields that are passed on.
    pub received: EndToEnd,
    /// Whole body; empty until it is read.
    pub body: Bytes,
    /// Cancelled when the answer's turn on its connection has come; none if the request was not
    /// started ahead.
    pub turn: Option<CancellationToken>,
}

/// Request whose body is not read yet.
#[derive(Debug)]
pub struct RequestHead<B = Incoming> {
    /// Request without its body.
    pub request: CallerRequest,
    body: B,
}

/// Returns the host to which a request was sent.
pub fn host<B>(request: &Request<B>) -> Box<str> {
    let field = request.headers().get(HOST);
    let field = field.and_then(|value| value.to_str().ok());
    field.or(request.uri().host()).unwrap_or_default().into()
}

/// Reads the head of a request, which had arrived at this time.
pub fn read_head<B>(request: Request<B>, arrived_at: Instant) -> RequestHead<B> {
    let host = host(&request);
    let (parts, body) = request.into_parts();
    let mut headers = parts.headers;
    let text = |headers: &HeaderMap, name: &str| -> Option<Box<str>> {
        headers.get(name)?.to_str().ok().map(Into::into)
    };
    let key = text(&headers, header::KEY);
    let time_left = text(&headers, header::DEADLINE).and_then(|text| text.parse().ok());
    let object = header::object(&headers).map(affinity::digest);
    let id = text(&headers, header::REQUEST_ID).unwrap_or_default();
    // The key and trailers are not passed on, the others are set by this system.
    let own = [
        header::KEY,
        header::WORKSPACE,
        header::EXPECTED_SERVER,
        header::REQUEST_ID,
        TRAILER.as_str(),
        TRANSFER_ENCODING.as_str(),
    ];
    for name in own {
        headers.remove(name);
    }
    // The server sees the host by which the route was chosen, and no other.
    if let Ok(value) = HeaderValue::from_str(&host) {
        headers.insert(HOST, value);
    }
    let request = CallerRequest {
        id,
        method: parts.method,
        uri: parts.uri,
        host,
        key,
        object,
        arrived_at,
        deadline: arrived_at + time_left.map_or(DEFAULT_TIMEOUT, Duration::from_millis),
        received: EndToEnd::reduce(headers),
        body: Bytes::new(),
        turn: None,
    };
    RequestHead { request, body }
}

impl<B: Body<Data = Bytes> + Unpin> RequestHead<B> {
    /// Reads the body until `cancel` is cancelled; returns the memory that it holds beside it.
    ///
    /// # Errors
    ///
    /// Fails if the body is larger than `max_bytes`, if there is no room for it, if it ends early, or
    /// if `cancel` is cancelled first. A body whose announced length is too large is not read.
    pub async fn read_body<'a>(
        self,
        max_bytes: usize,
        memory: &'a BodyMemory,
        cancel: &CancellationToken,
    ) -> Result<(CallerRequest, HeldBody<'a>), (CallerRequest, Refusal)> {
        let Self { mut request, body } = self;
        let mut held = memory.begin();
        let read = collect(body, max_bytes, &mut held);
        match cancel.run_until_cancelled(read).await {
            Some(Ok(body)) => {
                request.body = body;
                Ok((request, held))
            }
            Some(Err(reason)) => Err((request, reason)),
            None => Err((request, Refusal::Stopping)),
        }
    }
}

/// Reads a body to its end, within the memory that it may hold.
async fn collect(
    mut body: impl Body<Data = Bytes> + Unpin,
    max_bytes: usize,
    held: &mut HeldBody<'_>,
) -> Result<Bytes, Refusal> {
    let announced = body.size_hint().exact();
    let announced = announced.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
    if announced.is_some_and(|length| length > max_bytes) {
        return Err(Refusal::TooLarge);
    }
    if !held.grow(announced.unwrap_or_default()) {
        return Err(Refusal::MemoryFull);
    }
    let mut bytes = BytesMut::with_capacity(announced.unwrap_or_default());
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Refusal::Invalid)?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if bytes.len() + data.len() > max_bytes {
            return Err(Refusal::TooLarge);
        }
        // Without an announced length the buffer moves as it grows, and is held twice meanwhile.
        if announced.is_none() && !held.grow(data.len() * 2) {
            return Err(Refusal::MemoryFull);
        }
        bytes.extend_from_slice(data);
    }
    Ok(bytes.freeze())
}

impl CallerRequest {
    /// Builds the request that is sent to a server.
    pub fn outgoing(&self, workspace: Option<&str>, server: &str) -> Outgoing {
        let mut outgoing = Outgoing::new(
            self.method.clone(),
            self.uri.clone(),
            self.received.clone(),
            base::http::full(self.body.clone()),
        );
        let id = Some(&*self.id).filter(|id| !id.is_empty());
        let added = [
            (header::REQUEST_ID, id),
            (header::WORKSPACE, workspace),
            (header::EXPECTED_SERVER, Some(server)),
        ];
        for (name, value) in added {
            let value = value.and_then(|value| HeaderValue::from_str(value).ok());
            if let Some(value) = value {
                outgoing.add(HeaderName::from_static(name), value);
            }
        }
        outgoing
    }
}
