//! Callers that reuse a connection until the gateway closes it or a request gets no answer.

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

/// Default time that a caller waits for an answer, and deadline that it sends.
pub(crate) const ANSWER_TIMEOUT: Duration = Duration::from_millis(2_500);

base::label! {
    /// Place of a request among those that its caller sent on the connection at once.
    pub enum Place {
        /// It was sent alone.
        Single,
        /// It was sent with others.
        Pipelined,
        /// An answer in front of it closed the connection, so that it counts as not read.
        Unread,
    }
}

base::value! {
    /// Outcome of one request as its caller observed it.
    pub struct RequestRecord {
        /// Id of the request.
        pub id: Box<str>,
        /// Index of the gateway that it was sent to.
        pub gateway: usize,
        /// Whether the route allows it to run more than once.
        pub repeatable: bool,
        /// Whether it used the key that is withdrawn during the run.
        pub old_key: bool,
        /// When it was sent.
        pub sent_at: Instant,
        /// When the answer was complete, or the request failed without one.
        pub ended_at: Instant,
        /// Its place on its connection.
        pub place: Place,
        /// Status, signature and body; none without a complete answer.
        pub answer: Option<(u16, Option<Box<str>>, Bytes)>,
    }
}

/// Caller that reuses one connection to a gateway.
#[derive(Debug)]
pub struct Caller {
    gateway: usize,
    address: SocketAddr,
    /// Time after which it gives up an answer.
    pub answer_timeout: Duration,
    /// Deadline that it sends in the request header.
    pub deadline: Duration,
    open: Option<SendRequest<Full<Bytes>>>,
}

impl Caller {
    /// Creates a caller of the gateway with this index.
    pub fn new(gateway: usize, address: SocketAddr) -> Self {
        Self {
            gateway,
            address,
            answer_timeout: ANSWER_TIMEOUT,
            deadline: ANSWER_TIMEOUT,
            open: None,
        }
    }

    /// Sends one request and waits for the answer.
    pub async fn request(&mut self, id: &str, route: &Route, old_key: bool) -> RequestRecord {
        let sent_at = Instant::now();
        let answer =
            tokio::time::timeout(self.answer_timeout, self.exchange(id, route, old_key)).await;
        let answer = answer.ok().flatten();
        if answer.is_none() {
            self.open = None;
        }
        RequestRecord {
            id: id.into(),
            gateway: self.gateway,
            repeatable: route.repeatable,
            old_key,
            sent_at,
            ended_at: Instant::now(),
            place: Place::Single,
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
