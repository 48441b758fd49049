//! HTTP interface for callers.

use crate::index::Index;
use crate::metrics::Metrics;
use base::http::{self, Body};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Path of look-ups.
pub const PATH: &str = "/v1/entries";

/// Query parameter with the address of the client on whose behalf the caller asks.
const CLIENT_PARAMETER: &str = "client=";

/// Serves callers until `stop` is cancelled.
pub async fn run(
    listener: TcpListener,
    index: watch::Receiver<Arc<Index>>,
    metrics: Arc<Metrics>,
    stop: CancellationToken,
) {
    let handler = move |request: Request<Incoming>, peer: SocketAddr| {
        let response = answer(&request, peer, &index.borrow(), &metrics);
        std::future::ready(response)
    };
    http::server::serve(listener, http::server::Limits::default(), stop, handler).await;
}

fn answer(
    request: &Request<Incoming>,
    peer: SocketAddr,
    index: &Index,
    metrics: &Metrics,
) -> Response<Body> {
    if request.uri().path() != PATH {
        metrics.invalid.inc();
        return http::text(StatusCode::NOT_FOUND, "no such interface; use /v1/entries");
    }
    let Some(client) = client(request.uri().query(), peer) else {
        metrics.invalid.inc();
        return http::text(StatusCode::BAD_REQUEST, "`client` must be an IP address");
    };
    let Some(bytes) = index.answer(client) else {
        metrics.not_ready.inc();
        return http::text(StatusCode::SERVICE_UNAVAILABLE, "no entry VM is known yet");
    };
    metrics.answered.inc();
    let mut response = http::text(StatusCode::OK, bytes);
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

fn client(query: Option<&str>, peer: SocketAddr) -> Option<IpAddr> {
    let parameters = query.into_iter().flat_map(|query| query.split('&'));
    match parameters
        .filter_map(|parameter| parameter.strip_prefix(CLIENT_PARAMETER))
        .next()
    {
        Some(text) => text.parse().ok(),
        None => Some(peer.ip()),
    }
}
