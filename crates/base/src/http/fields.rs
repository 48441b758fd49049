//! Header fields of messages that are passed on.

use hyper::HeaderMap;
use hyper::header::{
    CACHE_CONTROL, CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, CONTENT_TYPE, COOKIE, DATE, HOST,
    HeaderName, HeaderValue, TE, TRANSFER_ENCODING, UPGRADE,
};

/// Fields that no `Connection` removes: they are for all recipients of a message, or frame it
/// (RFC 9110, section 7.6.1).
const KEPT: [HeaderName; 8] = [
    CACHE_CONTROL,
    CONTENT_ENCODING,
    CONTENT_LENGTH,
    CONTENT_TYPE,
    COOKIE,
    DATE,
    HOST,
    TRANSFER_ENCODING,
];

/// Fields that were received with a message and concern the message, not its connection.
///
/// What this system adds is added to these, so that no received field can take it away.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EndToEnd(HeaderMap);

impl EndToEnd {
    /// Removes the fields that concern one connection only.
    pub fn reduce(received: HeaderMap) -> Self {
        Self::reduce_keeping(received, &[])
    }

    /// Removes the fields that concern one connection only, but none of `kept`: fields that this
    /// system reads, whatever the sender's `Connection` names.
    pub fn reduce_keeping(mut received: HeaderMap, kept: &[HeaderName]) -> Self {
        let listed: Vec<HeaderName> = received
            .get_all(CONNECTION)
            .iter()
            .filter_map(|value| value.to_str().ok())
            .flat_map(|value| value.split(','))
            .filter_map(|name| name.trim().parse().ok())
            .filter(|name| !KEPT.contains(name) && !kept.contains(name))
            .collect();
        for name in listed.into_iter().chain([CONNECTION, TE, UPGRADE]) {
            received.remove(name);
        }
        received.remove("keep-alive");
        received.remove("proxy-connection");
        Self(received)
    }

    /// Returns the received fields.
    pub fn fields(&self) -> &HeaderMap {
        &self.0
    }

    /// Returns the fields with those that this system adds, which replace received ones.
    pub fn with(self, added: impl IntoIterator<Item = (HeaderName, HeaderValue)>) -> HeaderMap {
        let mut fields = self.0;
        for (name, value) in added {
            fields.insert(name, value);
        }
        fields
    }
}
