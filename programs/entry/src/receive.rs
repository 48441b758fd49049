//! Reads a request within the configured bounds.

use crate::settings::Settings;
use backends::client::Outgoing;
use base::http::fields::EndToEnd;
use base::id;
use bytes::Bytes;
use callers::header;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Method, Request, Uri};
use std::time::Instant;
use steering::attempt::Refusal;
use steering::keys::Key;

/// A request that was read whole, within the bounds, without its key header.
#[derive(Debug, Clone)]
pub struct Call {
    /// Request id, chosen by the caller or generated.
    pub id: id::Request,
    /// Whether the caller chose the id.
    pub has_caller_id: bool,
    /// Key, if the request has one.
    pub key: Option<Key>,
    /// Name of the service, the first segment of the path.
    pub service: id::Service,
    /// Path and query for the backend server.
    pub target: Uri,
    /// Method.
    pub method: Method,
    /// Whether the caller says that it sent the request before.
    pub is_resend: bool,
    /// Fields that are passed on, without the key.
    pub received: EndToEnd,
    /// Whole body.
    pub body: Bytes,
    /// Time of arrival.
    pub arrived: Instant,
    /// Caller's deadline for the answer.
    pub deadline: Instant,
}

impl Call {
    /// Builds the request to a backend server, once for each send.
    pub fn request(&self) -> Outgoing {
        let body = base::http::full(self.body.clone());
        let received = self.received.clone();
        let mut request = Outgoing::new(self.method.clone(), self.target.clone(), received, body);
        if let Ok(id) = self.id.parse() {
            request.add(HeaderName::from_static(header::REQUEST_ID), id);
        }
        request
    }
}

/// Reads the head and the whole body, so that an incomplete body never reaches a backend server.
///
/// # Errors
///
/// Returns why the request is refused.
pub async fn receive(request: Request<Incoming>, settings: &Settings) -> Result<Call, Refusal> {
    let arrived = Instant::now();
    let (mut head, body) = request.into_parts();
    let key = header::key(&mut head.headers).map_err(|_| Refusal::Invalid)?;
    let key = key.map(|key| Key::parse(&key).ok_or(Refusal::Invalid));
    let key = key.transpose()?;
    let named = header::request_id(&head.headers).map_err(|_| Refusal::Invalid)?;
    let deadline = header::deadline(&head.headers, arrived).map_err(|_| Refusal::Invalid)?;
    let (service, target) = split_target(&head.uri).ok_or(Refusal::NoRoute)?;
    let body = read_body(body, settings).await?;
    let id = named
        .clone()
        .unwrap_or_else(|| id::random(&mut rand::rng()));
    HeaderValue::from_str(&id).map_err(|_| Refusal::Invalid)?;
    head.headers.remove(header::REQUEST_ID);
    // The body is forwarded with its own length.
    head.headers.remove(hyper::header::TRANSFER_ENCODING);
    head.headers.remove(hyper::header::CONTENT_LENGTH);
    Ok(Call {
        is_resend: head.headers.contains_key(header::RESEND),
        has_caller_id: named.is_some(),
        id,
        key,
        service,
        target,
        method: head.method,
        received: EndToEnd::reduce(head.headers),
        body,
        arrived,
        deadline,
    })
}

async fn read_body(body: Incoming, settings: &Settings) -> Result<Bytes, Refusal> {
    // A body whose announced length is too large is refused before it is read.
    if hyper::body::Body::size_hint(&body).lower() > settings.body_bytes as u64 {
        return Err(Refusal::TooLarge);
    }
    let whole = Limited::new(body, settings.body_bytes).collect();
    match tokio::time::timeout(settings.body_timeout.0, whole).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Refusal::TooLarge),
        _ => Err(Refusal::Invalid),
    }
}

/// Splits `/service/path?query` into the service and the target for its backend servers.
pub fn split_target(uri: &Uri) -> Option<(id::Service, Uri)> {
    let text = uri.path_and_query()?.as_str().strip_prefix('/')?;
    let end = text.find(['/', '?']).unwrap_or(text.len());
    let (service, rest) = text.split_at(end);
    let target = if rest.starts_with('/') {
        rest.into()
    } else {
        format!("/{rest}")
    };
    (!service.is_empty()).then_some((service.into(), target.parse().ok()?))
}
