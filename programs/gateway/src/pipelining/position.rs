//! Where the requests of a connection begin and end in the bytes that were read.

use bytes::{Buf, Bytes, BytesMut};
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, HeaderValue, TRANSFER_ENCODING, UPGRADE,
};
use hyper::{HeaderMap, Method, Request, Uri, Version};

/// Most fields of a head that is read ahead; others are left to the server.
const MAX_FIELDS: usize = 64;
/// Largest head that is read ahead; below the limit of the server, which refuses larger ones.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Most bytes that are kept while no head is complete or the limit of requests is reached. Above
/// what is read ahead and what the server reads at once, 64 KiB each.
const MAX_KEPT_BYTES: usize = 128 * 1024;

/// Finds the end of a head where the parser does: at the first empty line after a line with text.
#[derive(Debug, Default)]
struct Scanner {
    has_text: bool,
    is_in_line: bool,
}

impl Scanner {
    /// Continues with further bytes; returns the index behind the head if it ends in them.
    fn feed(&mut self, bytes: &[u8]) -> Option<usize> {
        for (index, byte) in bytes.iter().enumerate() {
            match byte {
                b'\n' if self.has_text && !self.is_in_line => {
                    *self = Self::default();
                    return Some(index + 1);
                }
                b'\n' => self.is_in_line = false,
                b'\r' => {}
                _ => (self.has_text, self.is_in_line) = (true, true),
            }
        }
        None
    }
}

/// Head of a request that was read ahead.
#[derive(Debug)]
pub struct Head {
    /// Request without its body.
    pub request: Request<()>,
    /// Length of its body.
    pub body_bytes: u64,
}

/// Position in the bytes of a connection, which the server reads as well.
///
/// Bytes are kept, and heads parsed, only while a request is under way; otherwise only the end of a
/// head is searched.
#[derive(Debug, Default)]
pub struct Position {
    /// Whether it is not known any more where requests begin.
    is_lost: bool,
    /// Whether a head has ended that the server parses, which then knows the length of its body.
    is_head_read: bool,
    /// Bytes of a body that have not been read.
    body_left: u64,
    scanner: Scanner,
    /// Bytes behind the last head and its body.
    kept: BytesMut,
    /// Bytes of `kept` that were searched for the end of a head.
    scanned: usize,
}

impl Position {
    /// Takes note of bytes that were read; they are kept if `is_busy`, while a request is under way
    /// or waits.
    pub fn observe(&mut self, mut bytes: &[u8], is_busy: bool) {
        if self.is_lost {
            return;
        }
        if !self.is_head_read && self.kept.is_empty() {
            let body = usize::try_from(self.body_left).unwrap_or(usize::MAX);
            let body = body.min(bytes.len());
            self.body_left -= body as u64;
            bytes = &bytes[body..];
            if !is_busy {
                let Some(end) = self.scanner.feed(bytes) else {
                    return;
                };
                self.is_head_read = true;
                bytes = &bytes[end..];
            }
        }
        self.kept.extend_from_slice(bytes);
        if self.kept.len() > MAX_KEPT_BYTES {
            self.lose();
        }
    }

    /// Returns whether the server parses the head of the next request itself, and continues behind
    /// that request, whose body has this length; none if it is not clear what follows.
    pub fn passes_head(&mut self, body_bytes: Option<u64>) -> bool {
        if !self.is_head_read {
            return false;
        }
        self.is_head_read = false;
        match body_bytes {
            Some(bytes) => self.skip_body(bytes),
            None => self.lose(),
        }
        true
    }

    /// Returns the next head if it is complete. After one whose end is not clear, there is none.
    pub fn next_head(&mut self) -> Option<Head> {
        if self.is_lost || self.is_head_read {
            return None;
        }
        let Some(end) = self.scanner.feed(&self.kept[self.scanned..]) else {
            self.scanned = self.kept.len();
            return None;
        };
        let bytes = self.kept.split_to(self.scanned + end).freeze();
        self.scanned = 0;
        let head = parse(&bytes);
        match &head {
            Some(head) => self.skip_body(head.body_bytes),
            None => self.lose(),
        }
        head
    }

    /// Ends the search for further heads.
    pub fn lose(&mut self) {
        self.is_lost = true;
        self.kept = BytesMut::new();
    }

    /// Returns the bytes that belong to no known request.
    pub fn kept_bytes(&self) -> usize {
        self.kept.len()
    }

    fn skip_body(&mut self, bytes: u64) {
        let here = usize::try_from(bytes).unwrap_or(usize::MAX);
        let here = here.min(self.kept.len());
        self.kept.advance(here);
        self.body_left = bytes - here as u64;
        if self.kept.is_empty() {
            self.kept = BytesMut::new();
        }
    }
}

/// Returns the length of a request's body; none if it is not announced as one number, if the
/// connection may end or change its protocol after the request, or if the caller waits before it
/// sends the body.
pub fn body_bytes<B>(request: &Request<B>) -> Option<u64> {
    let headers = request.headers();
    let is_kept = |value: &[u8]| value.eq_ignore_ascii_case(b"keep-alive");
    let mut connection = headers.get_all(CONNECTION).iter();
    let is_plain = request.version() == Version::HTTP_11
        && request.method() != Method::CONNECT
        && connection.all(|value| is_kept(value.as_bytes()))
        && ![TRANSFER_ENCODING, UPGRADE, EXPECT]
            .iter()
            .any(|name| headers.contains_key(name));
    if !is_plain {
        return None;
    }
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    match (lengths.next(), lengths.next()) {
        (None, _) => Some(0),
        (Some(length), None) => {
            let text = length.to_str().ok()?;
            let is_number = text.bytes().all(|byte| byte.is_ascii_digit());
            text.parse().ok().filter(|_| is_number)
        }
        _ => None,
    }
}

/// Parses a whole head by the rules of the server; none if it has other limits or is not clear.
fn parse(bytes: &Bytes) -> Option<Head> {
    if bytes.len() > MAX_HEAD_BYTES {
        return None;
    }
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Request::new(&mut fields);
    let status = parsed.parse(bytes).ok()?;
    if status != httparse::Status::Complete(bytes.len()) || parsed.version != Some(1) {
        return None;
    }
    let target = bytes.slice_ref(parsed.path?.as_bytes());
    let mut request = Request::new(());
    *request.method_mut() = Method::from_bytes(parsed.method?.as_bytes()).ok()?;
    *request.uri_mut() = Uri::from_maybe_shared(target).ok()?;
    let mut headers = HeaderMap::with_capacity(parsed.headers.len());
    for field in parsed.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
        let value = bytes.slice_ref(field.value);
        let value = HeaderValue::from_maybe_shared(value).ok()?;
        headers.append(name, value);
    }
    *request.headers_mut() = headers;
    let body_bytes = body_bytes(&request)?;
    Some(Head {
        request,
        body_bytes,
    })
}
