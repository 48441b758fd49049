//! Callers that send several reads on a connection before the first is answered.

use crate::caller::{ANSWER_TIMEOUT, Place, RequestRecord};
use adapter::header;
use bytes::{Buf, Bytes, BytesMut};
use std::net::SocketAddr;
use std::time::Instant;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Most fields of an answer's head.
const MAX_FIELDS: usize = 64;

/// Connection to a gateway that is used until it closes.
#[derive(Debug)]
pub struct Pipeline {
    gateway: usize,
    address: SocketAddr,
    open: Option<(TcpStream, BytesMut)>,
}

/// A complete answer, and whether it closes the connection.
struct Answer {
    closes: bool,
    status: u16,
    signature: Option<Box<str>>,
    body: Bytes,
}

impl Pipeline {
    /// Creates a caller of the gateway with this index.
    pub fn new(gateway: usize, address: SocketAddr) -> Self {
        Self {
            gateway,
            address,
            open: None,
        }
    }

    /// Sends reads of a route at once and returns one record each, in the same order. Those without
    /// an answer end with the connection, or after the time that callers wait.
    pub async fn request(&mut self, ids: &[Box<str>], route: &str) -> Vec<RequestRecord> {
        let sent_at = Instant::now();
        let end = sent_at + ANSWER_TIMEOUT;
        let sent = tokio::time::timeout_at(end.into(), self.send(ids, route)).await;
        let mut connection = sent.ok().flatten();
        let mut place = Place::Pipelined;
        let mut records = Vec::new();
        for id in ids {
            let answer = match &mut connection {
                Some((stream, read)) => {
                    let answer = tokio::time::timeout_at(end.into(), answer(stream, read)).await;
                    answer.ok().flatten()
                }
                None => None,
            };
            let closes = answer.as_ref().map(|answer| answer.closes);
            records.push(RequestRecord {
                id: id.clone(),
                gateway: self.gateway,
                repeatable: true,
                old_key: false,
                sent_at,
                ended_at: Instant::now(),
                place,
                answer: answer.map(|answer| (answer.status, answer.signature, answer.body)),
            });
            if closes != Some(false) {
                connection = None;
            }
            if closes == Some(true) {
                place = Place::Unread;
            }
        }
        self.open = connection;
        records
    }

    /// Writes the requests to the open connection, or to a new one.
    async fn send(&mut self, ids: &[Box<str>], route: &str) -> Option<(TcpStream, BytesMut)> {
        let (mut stream, read) = match self.open.take() {
            Some(open) => open,
            None => (
                TcpStream::connect(self.address).await.ok()?,
                BytesMut::new(),
            ),
        };
        let deadline = ANSWER_TIMEOUT.as_millis();
        let head = |id| {
            format!(
                "GET /{route}/x HTTP/1.1\r\nhost: soak.example\r\n{}: {id}\r\n{}: {deadline}\r\n{}: new\r\n\r\n",
                header::REQUEST_ID,
                header::DEADLINE,
                header::KEY,
            )
        };
        let heads: String = ids.iter().map(head).collect();
        stream.write_all(heads.as_bytes()).await.ok()?;
        Some((stream, read))
    }
}

/// Reads an answer; none if the connection ends before it is whole.
async fn answer(stream: &mut TcpStream, read: &mut BytesMut) -> Option<Answer> {
    loop {
        if let Some((answer, length)) = parse(read)? {
            read.advance(length);
            return Some(answer);
        }
        if stream.read_buf(read).await.ok()? == 0 {
            return None;
        }
    }
}

/// Returns the answer at the start of the bytes and its length, `Some(None)` if it is not whole,
/// and none if it is not valid.
fn parse(read: &BytesMut) -> Option<Option<(Answer, usize)>> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut head = httparse::Response::new(&mut fields);
    let httparse::Status::Complete(start) = head.parse(read).ok()? else {
        return Some(None);
    };
    let field = |name: &str| {
        let mut fields = head.headers.iter();
        let field = fields.find(|field| field.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(field.value).ok()
    };
    let length: usize = field("content-length")?.parse().ok()?;
    let Some(body) = read.get(start..start + length) else {
        return Some(None);
    };
    let answer = Answer {
        closes: field("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")),
        status: head.code?,
        signature: field(header::SIGNATURE).map(Into::into),
        body: Bytes::copy_from_slice(body),
    };
    Some(Some((answer, start + length)))
}
