//! Backend servers that answer with bytes given by the test.

use crate::site::{self, Gateway, Site};
use adapter::header;
use standin_site::operator::{Desired, Route};
use standin_site::server::Entry;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Route whose requests may run only once and time out after their callers.
const ONCE: Route = Route {
    repeatable: false,
    timeout_ms: 20_000,
    ..Route::PLAIN
};

/// Starts a site with one gateway and one server that answers each request with `answer` and then
/// repeats `endless`, if it isn't empty, until the connection is closed. Names in braces stand for
/// the platform's header names.
pub async fn site(answer: &'static str, endless: &'static str) -> (Site, Gateway) {
    let site = Site::new();
    let door = site.store_endpoint().await;
    site.publish(&Desired {
        routes: &[ONCE],
        ..Desired::default()
    });
    let names = [
        ("{not-run}", header::NOT_RUN),
        ("{load}", header::LOAD),
        ("{id}", header::REQUEST_ID),
        ("{signature}", header::SIGNATURE),
    ];
    let answer = names
        .into_iter()
        .fold(answer.to_owned(), |text, (name, header)| {
            text.replace(name, header)
        });
    server(&site, answer.leak(), endless).await;
    let gateway = site.gateway("vm-1", "nord-a", &door).await;
    gateway.wait_ready().await;
    (site, gateway)
}

async fn server(site: &Site, answer: &'static str, endless: &'static str) {
    let address = SocketAddr::new(site::unused_address(), 8080);
    let listener = TcpListener::bind(address).await.expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, answer, endless));
        }
    });
    Entry::default().publish(&site.store, "i-1", address);
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
