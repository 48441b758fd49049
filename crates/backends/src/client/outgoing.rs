//! Request that is sent to a server.

use base::http::Body;
use base::http::fields::EndToEnd;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Method, Request, Uri};

/// A request that was received and is passed on, with the fields that this system adds.
#[derive(Debug)]
pub struct Outgoing {
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) received: EndToEnd,
    pub(super) added: Vec<(HeaderName, HeaderValue)>,
    pub(super) body: Body,
}

impl Outgoing {
    /// Creates a request with the fields that were received.
    pub fn new(method: Method, uri: Uri, received: EndToEnd, body: Body) -> Self {
        Self {
            method,
            uri,
            received,
            added: Vec::new(),
            body,
        }
    }

    /// Adds a field, which replaces received ones of this name.
    pub fn add(&mut self, name: HeaderName, value: HeaderValue) {
        self.added.push((name, value));
    }
}

impl From<Request<Body>> for Outgoing {
    /// Passes a request on to which this system adds nothing.
    fn from(request: Request<Body>) -> Self {
        let (head, body) = request.into_parts();
        let received = EndToEnd::reduce(head.headers);
        Self::new(head.method, head.uri, received, body)
    }
}
