//! Callers that keep their connections open until the gateway closes them.

use adapter::header;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Method, Request};
use hyper_util::rt::TokioIo;
use standin_site::operator::Route;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// Time that a caller waits for an answer.
const PATIENCE: Duration = Duration::from_millis(2_500);

base::value! {
    /// What a caller saw of one request.
    pub struct Seen {
        /// Id of the request.
        pub id: Box<str>,
        /// Gateway that it was sent to, by number.
        pub gateway: usize,
        /// Whether it may run more than once.
        pub repeatable: bool,
        /// Whether it came with the key that is withdrawn later.
        pub old_key: bool,
        /// When it was sent.
        pub sent: Instant,
        /// When the answer was whole, or the caller knew that there is none.
        pub ended: Instant,
        /// Status, signature and body; none without a whole answer.
        pub answer: Option<(u16, Option<Box<str>>, Bytes)>,
    }
}

/// One caller with an open connection.
#[derive(Debug)]
pub struct Caller {
    gateway: usize,
    address: SocketAddr,
    /// Time that it waits for an answer.
    pub patience: Duration,
    /// Time that it says it waits.
    pub deadline: Duration,
    open: Option<SendRequest<Full<Bytes>>>,
}

impl Caller {
    /// Makes a caller of one gateway, by number.
    pub fn new(gateway: usize, address: SocketAddr) -> Self {
        Self {
            gateway,
            address,
            patience: PATIENCE,
            deadline: PATIENCE,
            open: None,
        }
    }

    /// Sends one request and waits for the answer.
    pub async fn ask(&mut self, id: &str, route: &Route, old_key: bool) -> Seen {
        let sent = Instant::now();
        let answer = tokio::time::timeout(self.patience, self.exchange(id, route, old_key)).await;
        let answer = answer.ok().flatten();
        if answer.is_none() {
            self.open = None;
        }
        Seen {
            id: id.into(),
            gateway: self.gateway,
            repeatable: route.repeatable,
            old_key,
            sent,
            ended: Instant::now(),
            answer,
        }
    }

    async fn exchange(
        &mut self,
        id: &str,
        route: &Route,
        old_key: bool,
    ) -> Option<(u16, Option<Box<str>>, Bytes)> {
        if self.open.as_ref().is_none_or(SendRequest::is_closed) {
            let stream = TcpStream::connect(self.address).await.ok()?;
            let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
            tokio::spawn(connection);
            self.open = Some(sender);
        }
        let deadline = self.deadline.as_millis().to_string();
        let sender = self.open.as_mut()?;
        sender.ready().await.ok()?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("/{}/x", route.name))
            .header("host", "soak.example")
            .header(header::REQUEST_ID, id)
            .header(header::DEADLINE, deadline)
            .header(header::KEY, if old_key { "old" } else { "new" })
            .body(Full::new(Bytes::from_static(b"body")))
            .ok()?;
        let response = sender.send_request(request).await.ok()?;
        let status = response.status().as_u16();
        let signature = signature(response.headers());
        let body = response.into_body().collect().await.ok()?.to_bytes();
        Some((status, signature, body))
    }
}

fn signature(headers: &HeaderMap) -> Option<Box<str>> {
    headers
        .get(header::SIGNATURE)?
        .to_str()
        .ok()
        .map(Into::into)
}
