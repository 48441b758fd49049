//! Administration API.

mod config;
mod keys;
mod safe_changes;
mod status;

use crate::state::Shared;
use base::http::{self, Body};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use operators::admin::{Problem, path};
use platform::Client;
use serde::de::DeserializeOwned;
use subtle::ConstantTimeEq;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 32 * 1024 * 1024;

/// Most connections of operators at once.
const MAX_CONNECTIONS: usize = 64;

#[derive(Debug, Clone)]
struct Admin {
    shared: Shared,
    client: Client,
}

/// Serves the API until `stop` is cancelled.
pub async fn run(listener: TcpListener, shared: Shared, client: Client, stop: CancellationToken) {
    let admin = Admin { shared, client };
    let limits = http::server::Limits {
        connections: MAX_CONNECTIONS,
        ..Default::default()
    };
    let handler = move |request, _| {
        let admin = admin.clone();
        async move { admin.answer(request).await }
    };
    http::server::serve(listener, limits, stop, handler).await;
}

impl Admin {
    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        match self.dispatch(request).await {
            Ok(response) => response,
            Err(Refusal { status, error }) => http::json(status, &Problem { error }),
        }
    }

    async fn dispatch(&self, request: Request<Incoming>) -> Result<Response<Body>, Refusal> {
        if !self.authorised(request.headers()) {
            let error = "the administration credential is not valid";
            return Err(Refusal::new(StatusCode::UNAUTHORIZED, error));
        }
        let (head, body) = request.into_parts();
        let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
            let error = "the body is incomplete or too large";
            return Err(Refusal::new(StatusCode::BAD_REQUEST, error));
        };
        let body = body.to_bytes();
        match (head.method, head.uri.path()) {
            (Method::GET, path::CONFIG) => Ok(self.config()),
            (Method::PUT, path::CONFIG) => Ok(self.publish(parse_body(&body)?).await),
            (Method::GET, path::STATUS) => Ok(self.status().await),
            (Method::POST, path::KEYS) => self.issue(parse_body(&body)?).await,
            (Method::POST, path::ROTATIONS) => self.rotate(parse_body(&body)?).await,
            (Method::DELETE, path::KEYS) => self.withdraw(&parse_body(&body)?).await,
            (Method::POST, path::DRAINS) => self.drain(parse_body(&body)?).await,
            (Method::DELETE, path::DRAINS) => self.undrain(&parse_body(&body)?).await,
            (Method::POST, path::HALTS) => self.halt(parse_body(&body)?).await,
            _ => Err(Refusal::new(StatusCode::NOT_FOUND, "no such interface")),
        }
    }

    fn authorised(&self, headers: &HeaderMap) -> bool {
        let given = headers
            .get(AUTHORIZATION)
            .map(hyper::header::HeaderValue::as_bytes)
            .unwrap_or_default();
        let expected = format!("Bearer {}", self.shared.settings.admin_token);
        given.ct_eq(expected.as_bytes()).into()
    }
}

/// Status and error of a refused call.
#[derive(Debug)]
struct Refusal {
    status: StatusCode,
    error: Box<str>,
}

impl Refusal {
    fn new(status: StatusCode, error: impl Into<Box<str>>) -> Self {
        Self {
            status,
            error: error.into(),
        }
    }
}

fn parse_body<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body)
        .map_err(|error| Refusal::new(StatusCode::BAD_REQUEST, error.to_string()))
}
