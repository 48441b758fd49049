//! Single requests of a caller, with full control over headers and connection.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Timeout of a read; it only ends tests that hang and is no bound of the system.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Request of a caller.
#[derive(Debug, Clone, Default)]
pub struct Call {
    /// Method and target, such as `GET /lookup/permits`.
    pub line: String,
    /// Key of the workspace.
    pub key: String,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: String,
}

/// Answer to a request; empty if none came.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Reply {
    /// Head of the answer.
    pub head: String,
    /// Bytes of the body that arrived.
    pub body: Vec<u8>,
}

impl Call {
    /// Creates a request without further headers and body.
    pub fn new(line: impl Into<String>, key: &str) -> Self {
        Self {
            line: line.into(),
            key: key.into(),
            ..Self::default()
        }
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Adds a body.
    pub fn with_body(mut self, body: impl Into<String>) -> Self {
        self.body = body.into();
        self
    }

    /// Sends the request and returns its connection, or none if it could not be made.
    pub async fn open(&self, address: SocketAddr) -> Option<TcpStream> {
        let mut text = format!("{} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n", self.line);
        let _ = write!(text, "authorization: Bearer {}\r\n", self.key);
        for (name, value) in &self.headers {
            let _ = write!(text, "{name}: {value}\r\n");
        }
        let _ = write!(
            text,
            "content-length: {}\r\n\r\n{}",
            self.body.len(),
            self.body
        );
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(text.as_bytes()).await.ok()?;
        Some(stream)
    }

    /// Sends the request and reads the answer to the end of the connection.
    pub async fn send(&self, address: SocketAddr) -> Reply {
        match self.open(address).await {
            Some(mut stream) => Reply::read(&mut stream, Vec::new()).await,
            None => Reply::default(),
        }
    }
}

impl Reply {
    /// Reads the rest of an answer that starts with `bytes` to the end of its connection.
    ///
    /// # Panics
    ///
    /// Panics if no byte arrives on the open connection within the read timeout.
    pub async fn read(stream: &mut TcpStream, mut bytes: Vec<u8>) -> Self {
        let mut buffer = vec![0; 64 * 1024];
        loop {
            let read = tokio::time::timeout(READ_TIMEOUT, stream.read(&mut buffer)).await;
            match read.expect("bytes or the end of the connection") {
                Ok(count @ 1..) => bytes.extend_from_slice(&buffer[..count]),
                _ => break,
            }
        }
        let end = bytes.windows(4).position(|part| part == b"\r\n\r\n");
        let Some(end) = end else {
            return Self::default();
        };
        Self {
            head: String::from_utf8_lossy(&bytes[..end]).into_owned(),
            body: bytes[end + 4..].to_vec(),
        }
    }

    /// Returns the value of a header, or an empty string.
    pub fn header(&self, name: &str) -> &str {
        let fields = self.head.lines().filter_map(|line| line.split_once(": "));
        let mut values = fields.filter(|(field, _)| field.eq_ignore_ascii_case(name));
        values.next().map_or("", |(_, value)| value)
    }

    /// Returns outcome and reason, such as `not-run: suspected`; empty if no answer came.
    pub fn outcome(&self) -> String {
        match (self.header("x-outcome"), self.header("x-reason")) {
            (outcome, "") => outcome.into(),
            (outcome, reason) => format!("{outcome}: {reason}"),
        }
    }

    /// Returns whether the body has the announced length.
    pub fn is_complete(&self) -> bool {
        self.header("content-length").parse() == Ok(self.body.len())
    }
}
