//! OpenMetrics text of a metrics registry, and its HTTP interface.

use crate::http::{self, Body};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE as CONTENT_TYPE_HEADER, HeaderValue};
use hyper::{Request, Response, StatusCode};
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Media type of OpenMetrics 1.0 text.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Encodes all metrics of `registry` as OpenMetrics text.
pub fn text(registry: &Registry) -> Box<str> {
    let mut out = String::new();
    // Formatting into a `String` can't fail.
    let _ = encode(&mut out, registry);
    out.into()
}

/// Path of the metrics.
const PATH: &str = "/metrics";

/// Serves the metrics until `stop` is cancelled.
pub async fn serve(listener: TcpListener, registry: Registry, stop: CancellationToken) {
    let registry = Arc::new(registry);
    let handler = move |request: Request<Incoming>, _| {
        let response = match request.uri().path() {
            PATH => exposition(&registry),
            _ => http::text(StatusCode::NOT_FOUND, "no such interface; use /metrics"),
        };
        std::future::ready(response)
    };
    http::server::serve(listener, http::server::Limits::default(), stop, handler).await;
}

fn exposition(registry: &Registry) -> Response<Body> {
    let mut response = http::text(StatusCode::OK, String::from(text(registry)));
    response
        .headers_mut()
        .insert(CONTENT_TYPE_HEADER, HeaderValue::from_static(CONTENT_TYPE));
    response
}
