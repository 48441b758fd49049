//! HTTP/1.1 messages, read and written byte by byte so that nothing corrects them.

use tokio::io::{AsyncRead, AsyncReadExt};

/// Head of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// Request line or status line.
    pub first: String,
    /// Second word of the first line: target or status.
    pub target: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.fields
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, value)| &**value)
    }

    pub fn status(&self) -> u16 {
        self.target.parse().unwrap_or(0)
    }
}

async fn fill(stream: &mut (impl AsyncRead + Unpin), buffer: &mut Vec<u8>) -> Option<()> {
    match stream.read_buf(buffer).await {
        Ok(0) | Err(_) => None,
        Ok(_) => Some(()),
    }
}

/// Reads a head; none if the connection ends first.
pub async fn read_head(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut Vec<u8>,
) -> Option<Head> {
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            break end;
        }
        fill(stream, buffer).await?;
    };
    let text = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let mut lines = text.split("\r\n");
    let first = lines.next()?.to_owned();
    let mut words = first.split(' ');
    let target = words.nth(1)?.to_owned();
    let fields = lines.filter_map(|line| line.split_once(':'));
    let fields = fields.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
    Some(Head {
        first,
        target,
        fields: fields.collect(),
    })
}

async fn take(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut Vec<u8>,
    bytes: usize,
) -> Option<Vec<u8>> {
    while buffer.len() < bytes {
        fill(stream, buffer).await?;
    }
    Some(buffer.drain(..bytes).collect())
}

async fn line(stream: &mut (impl AsyncRead + Unpin), buffer: &mut Vec<u8>) -> Option<String> {
    let end = loop {
        if let Some(end) = buffer.windows(2).position(|w| w == b"\r\n") {
            break end;
        }
        fill(stream, buffer).await?;
    };
    let text = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 2);
    Some(text)
}

/// Reads a body by its framing (RFC 9112, section 6.3); none if it ends early.
pub async fn read_body(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut Vec<u8>,
    head: &Head,
) -> Option<Vec<u8>> {
    if head.get("transfer-encoding").is_some() {
        let mut body = Vec::new();
        loop {
            let size = line(stream, buffer).await?;
            let size = usize::from_str_radix(size.split(';').next()?.trim(), 16).ok()?;
            if size == 0 {
                while !line(stream, buffer).await?.is_empty() {}
                return Some(body);
            }
            body.extend(take(stream, buffer, size).await?);
            line(stream, buffer).await?;
        }
    }
    let length = head
        .get("content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    take(stream, buffer, length).await
}
