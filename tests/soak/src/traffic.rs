//! Callers of a run.

use crate::caller::{Caller, Place, RequestRecord};
use crate::pipeline::Pipeline;
use crate::plan::FIRST_PIPELINED;
use base::sync::lock;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use standin_site::operator::Route;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Callers of each gateway that send one request at a time.
const CALLERS: usize = 3;
/// Pause between two requests of a caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);
/// Latency objective of the routes in milliseconds.
const OBJECTIVE_MS: u32 = 100;
/// Routes: repeatable, not repeatable, and repeatable with a single attempt. With a single attempt,
/// no second server hides that a gateway gave up a request while its server was working on it.
pub const ROUTES: [Route; 3] = [SAFE, ONCE, SINGLE];
/// Repeatable requests.
pub const SAFE: Route = Route {
    name: "safe",
    service: "service",
    objective_ms: OBJECTIVE_MS,
    ..Route::PLAIN
};
const ONCE: Route = Route {
    name: "once",
    repeatable: false,
    ..SAFE
};
const SINGLE: Route = Route {
    name: "single",
    attempts: 1,
    ..SAFE
};

/// Callers of all gateways and what they observed.
#[derive(Debug, Clone)]
pub struct Traffic {
    requests: Arc<Mutex<Vec<RequestRecord>>>,
    next: Arc<AtomicU64>,
    stop: CancellationToken,
}

impl Traffic {
    /// Creates traffic without callers; they end when `stop` is cancelled.
    pub fn new(stop: CancellationToken) -> Self {
        Self {
            requests: Arc::default(),
            next: Arc::default(),
            stop,
        }
    }

    /// Starts the callers of the gateway with index `number`.
    pub fn start(&self, seed: u64, number: usize, address: SocketAddr) {
        for _ in 0..CALLERS {
            let caller = Caller::new(number, address);
            tokio::spawn(self.clone().send_requests(caller));
        }
        if seed >= FIRST_PIPELINED {
            let rng = StdRng::seed_from_u64(seed + number as u64);
            let pipeline = Pipeline::new(number, address);
            tokio::spawn(self.clone().pipeline_requests(pipeline, rng));
        }
    }

    /// Returns what the callers observed.
    pub fn requests(&self) -> Vec<RequestRecord> {
        lock(&self.requests).clone()
    }

    /// Sends requests to all routes until the run ends.
    async fn send_requests(self, mut caller: Caller) {
        while !self.stop.is_cancelled() {
            let number = self.next.fetch_add(1, Ordering::Relaxed);
            let id = format!("r{number}");
            let result = tokio::select! {
                result = caller.request(&id, route(number), number.is_multiple_of(5)) => result,
                () = self.stop.cancelled() => return,
            };
            lock(&self.requests).push(result);
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
    }

    /// Sends two to eight reads at a time until the run ends, and those that were not read again,
    /// under new ids.
    async fn pipeline_requests(self, mut pipeline: Pipeline, mut rng: StdRng) {
        let mut resent = 0;
        while !self.stop.is_cancelled() {
            let count = if resent > 0 {
                resent
            } else {
                rng.random_range(2..=8)
            };
            let ids: Vec<Box<str>> = (0..count)
                .map(|_| format!("p{}", self.next.fetch_add(1, Ordering::Relaxed)).into())
                .collect();
            let results = tokio::select! {
                results = pipeline.request(&ids, SAFE.name) => results,
                () = self.stop.cancelled() => return,
            };
            let is_unread = |result: &&RequestRecord| result.place == Place::Unread;
            resent = results.iter().filter(is_unread).count();
            lock(&self.requests).extend(results);
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
    }
}

/// Returns the route of a request, chosen by its number.
fn route(number: u64) -> &'static Route {
    match number % 6 {
        1 | 3 | 5 => &ONCE,
        4 => &SINGLE,
        _ => &SAFE,
    }
}
