//! Caller that writes bytes of several requests and reads the answers.

use crate::backend::LONG_BYTES;
use crate::site::{Gateway, TIMEOUT};
use adapter::header;
use rand::RngExt;
use rand::rngs::StdRng;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time between two pieces, so that most are read one by one.
const PAUSE: Duration = Duration::from_millis(2);

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Kind {
    Read,
    /// A read with a long answer.
    Long,
    /// A GET that may run only once.
    Once,
    /// Has a body of this length.
    Sized(usize),
    /// Has a chunked body of this length.
    Chunked(usize),
    /// Has no route.
    Unrouted,
}

impl Kind {
    /// Returns mostly reads, and one in ten of each other kind.
    pub fn any(random: &mut StdRng) -> Self {
        match random.random_range(0..10) {
            0 => Self::Once,
            1 => Self::Sized(random.random_range(0..9_000)),
            2 => Self::Chunked(random.random_range(1..3_000)),
            3 => Self::Unrouted,
            _ => Self::Read,
        }
    }
}

#[derive(Debug, Clone, Copy)]
pub struct Request {
    pub id: usize,
    pub kind: Kind,
}

/// Returns requests with ids from 1.
pub fn number(kinds: &[Kind]) -> Vec<Request> {
    let numbered = kinds.iter().zip(1..);
    numbered
        .map(|(kind, id)| Request { id, kind: *kind })
        .collect()
}

pub fn texts(requests: &[Request]) -> Vec<u8> {
    requests
        .iter()
        .map(Request::text)
        .collect::<String>()
        .into()
}

/// Replaces names in braces by the platform's.
pub fn with_names(text: &str) -> String {
    text.replace("{id}", header::REQUEST_ID)
        .replace("{key}", header::KEY)
        .replace("{deadline}", header::DEADLINE)
}

impl Request {
    /// Returns whether the request runs after those in front of it only.
    pub fn is_ordered(&self) -> bool {
        !matches!(self.kind, Kind::Read | Kind::Long)
    }

    fn body(&self) -> String {
        match self.kind {
            // A body that looks like a head must not be taken for one.
            Kind::Sized(length) | Kind::Chunked(length) => {
                let text = "GET /a/ HTTP/1.1\r\nhost: a.example\r\n\r\n";
                text.chars().cycle().take(length).collect()
            }
            _ => String::new(),
        }
    }

    /// Returns the answer of the backend servers.
    pub fn answer(&self) -> String {
        match self.kind {
            Kind::Long => format!("{}:{}", self.id, "x".repeat(LONG_BYTES)),
            _ => format!("{}:{}", self.id, self.body()),
        }
    }

    pub fn text(&self) -> String {
        let line = match self.kind {
            Kind::Read => "GET /a/",
            Kind::Long => "GET /a/long",
            Kind::Once => "GET /b/",
            Kind::Sized(_) | Kind::Chunked(_) => "POST /b/",
            Kind::Unrouted => "GET /c/",
        };
        let body = self.body();
        let length = body.len();
        let (field, body) = match self.kind {
            Kind::Sized(_) => (format!("content-length: {length}\r\n"), body),
            Kind::Chunked(_) => (
                "transfer-encoding: chunked\r\n".to_owned(),
                format!("{length:x}\r\n{body}\r\n0\r\n\r\n"),
            ),
            _ => Default::default(),
        };
        with_names(&format!(
            "{line} HTTP/1.1\r\nhost: a.example\r\n{{id}}: {}\r\n{{key}}: key-1\r\n{{deadline}}: 20000\r\n{field}\r\n{body}",
            self.id
        ))
    }
}

#[derive(Debug, PartialEq)]
pub struct Answer {
    pub status: u16,
    pub closes: bool,
    pub body: String,
}

pub struct Caller {
    stream: TcpStream,
    read: Vec<u8>,
}

impl Caller {
    pub async fn connect(gateway: &Gateway) -> Self {
        let stream = TcpStream::connect(gateway.settings.listen.callers).await;
        let stream = stream.expect("a connection");
        stream.set_nodelay(true).expect("a socket");
        Self {
            stream,
            read: Vec::new(),
        }
    }

    /// Sends requests at once.
    pub async fn send(&mut self, requests: &[Request]) {
        let sent = self.stream.write_all(&texts(requests)).await;
        sent.expect("the connection is open");
    }

    pub async fn send_piece(&mut self, bytes: &[u8]) {
        // A connection that the gateway closes early shows in the answers.
        let _ = self.stream.write_all(bytes).await;
        tokio::time::sleep(PAUSE).await;
    }

    /// Sends bytes in up to eight pieces.
    pub async fn send_split(&mut self, bytes: &[u8], random: &mut StdRng) {
        let count = random.random_range(0..8);
        let mut cuts: Vec<usize> = (0..count)
            .map(|_| random.random_range(0..=bytes.len()))
            .chain([0, bytes.len()])
            .collect();
        cuts.sort_unstable();
        for cut in cuts.windows(2) {
            self.send_piece(&bytes[cut[0]..cut[1]]).await;
        }
    }

    /// Reads an answer; none if the connection ends before it is whole.
    pub async fn answer(&mut self) -> Option<Answer> {
        let read = tokio::time::timeout(TIMEOUT, self.read_answer());
        read.await.expect("an answer in time")
    }

    async fn read_answer(&mut self) -> Option<Answer> {
        loop {
            let mut fields = [httparse::EMPTY_HEADER; 32];
            let mut head = httparse::Response::new(&mut fields);
            let parsed = head.parse(&self.read).expect("an answer");
            if let httparse::Status::Complete(start) = parsed {
                let field = |name: &str| {
                    let mut fields = head.headers.iter();
                    let field = fields.find(|field| field.name.eq_ignore_ascii_case(name))?;
                    std::str::from_utf8(field.value).ok()
                };
                let length =
                    field("content-length").map_or(0, |text| text.parse().expect("a number"));
                let status = head.code.expect("a status");
                let closes = field("connection") == Some("close");
                if let Some(body) = self.read.get(start..start + length) {
                    let body = String::from_utf8(body.to_vec()).expect("text");
                    self.read.drain(..start + length);
                    return Some(Answer {
                        status,
                        closes,
                        body,
                    });
                }
            }
            if self.stream.read_buf(&mut self.read).await.ok()? == 0 {
                return None;
            }
        }
    }
}
