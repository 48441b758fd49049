//! HTTP/1.1 messages with a length, on blocking sockets.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// A request or an answer.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// First line.
    pub line: String,
    /// Fields with names in lower case.
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> &str {
        let found = self.fields.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value)
    }

    /// Target of a request.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }

    /// Value of a name in the query of a request.
    pub fn query(&self, name: &str) -> &str {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(known, _)| *known == name)
            .map_or("", |(_, value)| value)
    }
}

/// Reads one message with a length; none at the end of the connection.
pub fn read(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.line = line.trim().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim().split_once(':') else {
            break;
        };
        message
            .fields
            .push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let length = message.field("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Formats an answer.
pub fn answer(status: u16, fields: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!(
        "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in fields {
        text += &format!("{name}: {value}\r\n");
    }
    (text + "\r\n" + body).into_bytes()
}

/// Serves each connection in a thread of its own, until the process ends.
pub fn serve(listener: TcpListener, handle: impl Fn(&Message) -> Vec<u8> + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(request)) = read(&mut reader) {
                    if writer.write_all(&handle(&request)).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// Sends one request on a new connection and reads the answer.
pub fn call(address: SocketAddr, request: &str, limit: Duration) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    (&stream).write_all(request.as_bytes())?;
    read(&mut BufReader::new(stream))?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
