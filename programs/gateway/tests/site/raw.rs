//! Backend servers that write bytes of a test's choice.

use crate::site::{self, Site};
use standin_site::server::Entry;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Registers a server that answers each request with these bytes, and then writes `endless`, if it
/// is not empty, until the connection is closed.
pub async fn server(site: &Site, id: &str, answer: &'static str, endless: &'static str) {
    let address = SocketAddr::new(site::fresh(), 8080);
    let listener = TcpListener::bind(address).await.expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, answer, endless));
        }
    });
    Entry::default().publish(&site.store, id, address);
}

async fn serve(mut stream: TcpStream, answer: &str, endless: &str) -> Option<()> {
    loop {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await.ok()?);
        }
        stream.write_all(answer.as_bytes()).await.ok()?;
        while !endless.is_empty() {
            stream.write_all(endless.as_bytes()).await.ok()?;
        }
    }
}
