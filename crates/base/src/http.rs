//! HTTP/1.1 server with limits, and a client for JSON interfaces.

pub mod client;
pub mod fields;
pub mod server;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::{Response, StatusCode};
use serde::Serialize;

/// Error while a body is produced.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;
/// Body of a response, complete or streamed.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Wraps bytes as a response body.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Builds a plain text response.
pub fn text(status: StatusCode, message: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full(message));
    *response.status_mut() = status;
    response
}

/// Builds a JSON response; a value that can't be encoded becomes status 500.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let Ok(bytes) = serde_json::to_vec(value) else {
        return text(
            StatusCode::INTERNAL_SERVER_ERROR,
            "the answer could not be encoded",
        );
    };
    let mut response = text(status, bytes);
    response.headers_mut().insert(
        hyper::header::CONTENT_TYPE,
        hyper::header::HeaderValue::from_static("application/json"),
    );
    response
}
