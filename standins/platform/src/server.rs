//! HTTP interface of the stand-in.

use crate::fault::Fault;
use crate::store::{Change, Store};
use base::http::{self, Body};
use base::sync::lock;
use http_body_util::{BodyExt, Limited, StreamBody};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use platform::list::List;
use platform::table::{Write, Written};
use serde::de::DeserializeOwned;
use std::sync::{Arc, Mutex};
use std::time::Instant;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// State shared by all connections.
#[derive(Debug)]
struct Shared {
    store: Mutex<Store>,
    fault: Mutex<Fault>,
}

/// Serves the stand-in until `stop` is cancelled.
pub async fn run(listener: TcpListener, list: List, stop: CancellationToken) {
    let store = Mutex::new(Store::new(list, Instant::now()));
    let shared = Arc::new(Shared {
        store,
        fault: Mutex::default(),
    });
    let handler = move |request, _| {
        let shared = shared.clone();
        async move { shared.answer(request).await }
    };
    http::server::serve(listener, http::server::Limits::default(), stop, handler).await;
}

impl Shared {
    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
            return http::text(
                StatusCode::BAD_REQUEST,
                "the body is incomplete or too large",
            );
        };
        let body = body.to_bytes();
        let path = head.uri.path();
        if path == "/switch" {
            return self.switch(&head.method, &body);
        }
        let fault = lock(&self.fault).clone();
        tokio::time::sleep(fault.delay()).await;
        if fault.outage {
            return http::text(StatusCode::SERVICE_UNAVAILABLE, "out of service");
        }
        let answer = self.operation(&head.method, path, head.uri.query(), body, &fault);
        if head.method == Method::PUT && self.loses_answer() {
            // The write took effect, but its answer is lost.
            return Response::new(interrupted());
        }
        answer
    }

    fn switch(&self, method: &Method, body: &[u8]) -> Response<Body> {
        if *method == Method::GET {
            return http::json(StatusCode::OK, &lock(&self.store).calls());
        }
        decode(body, |fault: Fault| {
            *lock(&self.fault) = fault;
            http::text(StatusCode::NO_CONTENT, "")
        })
    }

    fn loses_answer(&self) -> bool {
        let mut fault = lock(&self.fault);
        let loses = fault.lose_answers > 0;
        fault.lose_answers = fault.lose_answers.saturating_sub(1);
        loses
    }

    fn operation(
        &self,
        method: &Method,
        path: &str,
        query: Option<&str>,
        body: bytes::Bytes,
        fault: &Fault,
    ) -> Response<Body> {
        let mut store = lock(&self.store);
        let (kind, name) = path
            .trim_start_matches('/')
            .split_once('/')
            .unwrap_or((&path[1..], ""));
        match (method.as_str(), kind, name) {
            ("GET", "table", "") => {
                let prefix = query
                    .and_then(|q| q.strip_prefix("prefix="))
                    .unwrap_or_default();
                http::json(StatusCode::OK, &store.scan(prefix))
            }
            ("GET", "table", key) => found(store.read(key).map(|r| http::json(StatusCode::OK, &r))),
            ("PUT", "table", key) => decode(&body, |write: Write| match store.write(key, write) {
                Ok(version) => http::json(StatusCode::OK, &Written { version }),
                Err(version) => http::json(StatusCode::CONFLICT, &Written { version }),
            }),
            ("GET", "objects", hash) => found(
                store
                    .get(hash)
                    .map(|bytes| http::text(StatusCode::OK, bytes)),
            ),
            ("PUT", "objects", hash) => {
                store.put(hash, body);
                http::text(StatusCode::NO_CONTENT, "")
            }
            ("GET", "vms", "") => http::json(
                StatusCode::OK,
                &store.list(Instant::now(), fault.list_lag()),
            ),
            ("POST", "vms", "") => decode(&body, |change: Change| {
                store.change(&change, Instant::now());
                http::text(StatusCode::NO_CONTENT, "")
            }),
            _ => http::text(StatusCode::NOT_FOUND, "no such interface"),
        }
    }
}

fn found(response: Option<Response<Body>>) -> Response<Body> {
    response.unwrap_or_else(|| http::text(StatusCode::NOT_FOUND, "no such row or object"))
}

fn decode<T: DeserializeOwned>(
    body: &[u8],
    then: impl FnOnce(T) -> Response<Body>,
) -> Response<Body> {
    match serde_json::from_slice(body) {
        Ok(value) => then(value),
        Err(error) => http::text(StatusCode::BAD_REQUEST, error.to_string()),
    }
}

/// Returns a body that fails at once, so that the connection closes in the middle of the answer.
fn interrupted() -> Body {
    let failure: Result<hyper::body::Frame<bytes::Bytes>, http::BodyError> =
        Err("answer dropped".into());
    StreamBody::new(futures::stream::iter([failure])).boxed_unsync()
}
