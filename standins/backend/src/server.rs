//! HTTP interface of the stand-in.

use crate::args::Args;
use crate::behaviour::{Behaviour, Counts};
use base::http::{self, Body};
use base::sync::lock;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, HeaderMap, HeaderValue};
use hyper::{Request, Response, StatusCode};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Factor on the service time of a request while caches are cold.
const COLD_FACTOR: f64 = 5.0;

/// Header of an answer that says that the request did not run; its value is the reason.
const NOT_RUN: &str = "x-not-run";

/// Header of a request and its answer: id of the request.
const REQUEST_ID: &str = "x-request-id";

/// Header of a request that crashes the server.
const CRASH: &str = "x-crash";

/// Header of a request: the time left in milliseconds.
const DEADLINE: &str = "x-deadline-ms";

/// Header of a request: the number of bytes to answer with.
const ANSWER_BYTES: &str = "x-answer-bytes";

#[derive(Debug)]
struct Server {
    args: Args,
    behaviour: Mutex<Behaviour>,
    counts: Mutex<Counts>,
    running: Mutex<usize>,
}

/// Serves the stand-in until `stop` is cancelled.
pub async fn run(listener: TcpListener, args: Args, stop: CancellationToken) {
    let limits = http::server::Limits {
        connections: args.connections,
        ..http::server::Limits::default()
    };
    let server = Arc::new(Server {
        args,
        behaviour: Mutex::default(),
        counts: Mutex::default(),
        running: Mutex::default(),
    });
    let handler = move |request, _| {
        let server = server.clone();
        async move { server.answer(request).await }
    };
    http::server::serve(listener, limits, stop, handler).await;
}

/// Guard of one occupied slot.
struct SlotGuard<'a> {
    server: &'a Server,
    finished: bool,
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        *lock(&self.server.running) -= 1;
        let mut counts = lock(&self.server.counts);
        if self.finished {
            counts.served += 1;
        } else {
            counts.cancelled += 1;
        }
    }
}

impl Server {
    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        match request.uri().path() {
            "/switch" => self.switch(request).await,
            "/health" => self.health(),
            "/counts" => http::json(StatusCode::OK, &*lock(&self.counts)),
            _ => {
                let id = request.headers().get(REQUEST_ID).cloned();
                let mut response = self.run_request(request).await;
                if let Some(id) = id {
                    response.headers_mut().insert(REQUEST_ID, id);
                }
                response
            }
        }
    }

    async fn switch(&self, request: Request<Incoming>) -> Response<Body> {
        let Ok(body) = Limited::new(request.into_body(), MAX_BODY_BYTES)
            .collect()
            .await
        else {
            return http::text(
                StatusCode::BAD_REQUEST,
                "the body is incomplete or too large",
            );
        };
        match serde_json::from_slice(&body.to_bytes()) {
            Ok(behaviour) => {
                *lock(&self.behaviour) = behaviour;
                http::text(StatusCode::NO_CONTENT, "")
            }
            Err(error) => http::text(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }

    fn health(&self) -> Response<Body> {
        let behaviour = lock(&self.behaviour).clone();
        let healthy = behaviour.reported_health.unwrap_or(!behaviour.leaving);
        let state = match healthy {
            true if lock(&self.counts).served < self.args.cold => "warming",
            true => "ready",
            false => "leaving",
        };
        let in_flight = match behaviour.reported_load {
            Some(load) => (load * self.args.slots as f64) as usize,
            None => *lock(&self.running),
        };
        http::json(
            StatusCode::OK,
            &serde_json::json!({
                "state": state, "in_flight": in_flight, "slots": self.args.slots,
            }),
        )
    }

    fn slot(&self) -> Option<SlotGuard<'_>> {
        let mut running = lock(&self.running);
        if *running >= self.args.slots || lock(&self.behaviour).leaving {
            return None;
        }
        *running += 1;
        let mut counts = lock(&self.counts);
        counts.peak = counts.peak.max(*running);
        Some(SlotGuard {
            server: self,
            finished: false,
        })
    }

    async fn run_request(&self, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        if head.headers.contains_key(AUTHORIZATION) {
            lock(&self.counts).keys_seen += 1;
        }
        let Some(mut slot) = self.slot() else {
            lock(&self.counts).shed += 1;
            let leaving = lock(&self.behaviour).leaving;
            return not_run(if leaving { "leaving" } else { "shedding" });
        };
        if head.headers.contains_key(CRASH) {
            log::error!("the request crashes this server on purpose");
            std::process::abort();
        }
        let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
            return http::text(
                StatusCode::BAD_REQUEST,
                "the body is incomplete or too large",
            );
        };
        let time = self.service_time();
        let deadline = number(&head.headers, DEADLINE).map(Duration::from_millis);
        if deadline.is_some_and(|deadline| deadline < time) {
            tokio::time::sleep(deadline.unwrap_or_default()).await;
            return http::text(StatusCode::GATEWAY_TIMEOUT, "the deadline passed");
        }
        tokio::time::sleep(time).await;
        slot.finished = true;
        self.response(&head.headers, body.to_bytes().len())
    }

    fn service_time(&self) -> Duration {
        let cold = lock(&self.counts).served < self.args.cold;
        let factor = if cold { COLD_FACTOR } else { 1.0 };
        let slowdown = lock(&self.behaviour).slowdown;
        Duration::from_millis(self.args.service_ms).mul_f64(factor * slowdown)
    }

    fn response(&self, headers: &HeaderMap, received: usize) -> Response<Body> {
        if self.fails() {
            return http::text(StatusCode::INTERNAL_SERVER_ERROR, "failed");
        }
        let mut response = match number(headers, ANSWER_BYTES) {
            Some(size) => {
                let size = usize::try_from(size).unwrap_or(0).min(MAX_BODY_BYTES);
                http::text(StatusCode::OK, vec![b'x'; size])
            }
            None => http::json(
                StatusCode::OK,
                &serde_json::json!({
                    "server": self.args.name, "label": self.args.label, "received": received,
                }),
            ),
        };
        if let Ok(name) = HeaderValue::from_str(&self.args.name) {
            response.headers_mut().insert("x-server", name);
        }
        response
    }

    /// Returns whether the current request fails. Failures are evenly spaced, so that a run with
    /// the same requests is reproducible.
    fn fails(&self) -> bool {
        let share = lock(&self.behaviour).failures;
        let served = lock(&self.counts).served as f64;
        ((served + 1.0) * share).floor() > (served * share).floor()
    }
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn not_run(reason: &'static str) -> Response<Body> {
    let mut response = http::text(StatusCode::SERVICE_UNAVAILABLE, reason);
    response
        .headers_mut()
        .insert(NOT_RUN, HeaderValue::from_static(reason));
    response
}
