//! Counters and histograms of the gateway.

use crate::crashes::Ending;
use base::sync::lock;
use hyper::StatusCode;
use indexmap::IndexMap;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use std::sync::Mutex;
use std::time::Duration;
use steering::attempt::RetryReason;
use steering::placement::Estimate;
use steering::release::Side;
use steering::takeover::Outcome;

type Labels = Vec<(&'static str, String)>;

/// Upper bound of the shortest latency bucket, in seconds.
const MIN_BUCKET_S: f64 = 0.005;
/// Number of latency buckets; each bound is twice the one before, up to 10 s.
const BUCKETS: u16 = 12;
/// Bounds of the buckets of waiting requests.
const DEPTHS: [f64; 4] = [1.0, 2.0, 4.0, 8.0];

/// Upper bound of the lowest bucket of measured by expected time.
const MIN_RATIO: f64 = 0.125;
/// Number of these buckets; each bound is twice the one before, up to 16.
const RATIO_BUCKETS: u16 = 8;

/// Metrics of one process.
#[derive(Debug)]
pub struct Metrics {
    answers: Family<Labels, Counter>,
    refusals: Family<Labels, Counter>,
    retries: Family<Labels, Counter>,
    retries_denied: Counter,
    trials: Family<Labels, Counter>,
    store_requests: Counter,
    packed: Counter,
    copies: Family<Labels, Counter>,
    copied_bytes: Counter,
    served_bytes: Counter,
    reports: Family<Labels, Counter>,
    report_bytes: Family<Labels, Counter>,
    takeover_sends: Family<Labels, Counter>,
    started_ahead: Counter,
    held_answers: Counter,
    depth: Histogram,
    competing: Family<Labels, Counter>,
    latency: Histogram,
    expectations: Family<Labels, Histogram, fn() -> Histogram>,
    /// Answers since the start by status, for the log line at the stop.
    answers_by_status: Mutex<IndexMap<u16, u64>>,
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            answers: Family::default(),
            refusals: Family::default(),
            retries: Family::default(),
            retries_denied: Counter::default(),
            trials: Family::default(),
            store_requests: Counter::default(),
            packed: Counter::default(),
            copies: Family::default(),
            copied_bytes: Counter::default(),
            served_bytes: Counter::default(),
            reports: Family::default(),
            report_bytes: Family::default(),
            takeover_sends: Family::default(),
            started_ahead: Counter::default(),
            held_answers: Counter::default(),
            depth: Histogram::new(DEPTHS),
            competing: Family::default(),
            latency: Histogram::new(exponential_buckets(MIN_BUCKET_S, 2.0, BUCKETS)),
            expectations: Family::new_with_constructor(|| {
                Histogram::new(exponential_buckets(MIN_RATIO, 2.0, RATIO_BUCKETS))
            }),
            answers_by_status: Mutex::default(),
        }
    }
}

impl Metrics {
    /// Returns a registry with all metrics.
    pub fn registry(&self) -> Registry {
        let mut registry = Registry::with_prefix("gateway");
        registry.register("answers", "Answers to callers", self.answers.clone());
        registry.register(
            "refusals",
            "Answers without a server",
            self.refusals.clone(),
        );
        registry.register("retries", "Sends beyond the first", self.retries.clone());
        registry.register(
            "trials",
            "Sends of requests that have crashed servers, by how they ended",
            self.trials.clone(),
        );
        registry.register(
            "retries_denied",
            "Sends beyond the first that the budget denied",
            self.retries_denied.clone(),
        );
        registry.register(
            "store_questions",
            "Questions of other VMs about the store",
            self.store_requests.clone(),
        );
        registry.register(
            "store_packed",
            "Whole lists and orders packed for other VMs",
            self.packed.clone(),
        );
        registry.register(
            "store_copies",
            "Requests for store data of other VMs, by what came",
            self.copies.clone(),
        );
        registry.register(
            "store_copied_bytes",
            "Store data received from other VMs",
            self.copied_bytes.clone(),
        );
        registry.register(
            "store_served_bytes",
            "Store data passed to other VMs",
            self.served_bytes.clone(),
        );
        registry.register(
            "reports_sent",
            "Datagrams to other VMs",
            self.reports.clone(),
        );
        registry.register(
            "reports_sent_bytes",
            "Bytes of datagrams to other VMs",
            self.report_bytes.clone(),
        );
        registry.register(
            "takeover_sends",
            "Ends of sends to the old and the new version during a takeover",
            self.takeover_sends.clone(),
        );
        registry.register(
            "pipelined_started",
            "Requests started while an earlier one of their connection was under way",
            self.started_ahead.clone(),
        );
        registry.register(
            "pipelined_held",
            "Answers that were ready before their turn on their connection",
            self.held_answers.clone(),
        );
        registry.register(
            "pipelined_depth",
            "Requests that wait behind the one under way on their connection, at each arrival",
            self.depth.clone(),
        );
        registry.register(
            "competing",
            "Requests of different priority that compete for a service, by what became of them",
            self.competing.clone(),
        );
        registry.register(
            "latency_seconds",
            "Time from a request's head to its answer",
            self.latency.clone(),
        );
        registry.register(
            "expected_time_ratio",
            "Time until a server's answer divided by the time expected at the choice, by route and estimate",
            self.expectations.clone(),
        );
        registry
    }

    /// Records the time of a server's answer beside the time that was expected.
    pub fn record_expectation(
        &self,
        route: &str,
        estimate: Estimate,
        took: Duration,
        expected: Duration,
    ) {
        let label = vec![
            ("route", route.to_owned()),
            ("estimate", estimate.as_str().to_owned()),
        ];
        let ratio = took.as_secs_f64() / expected.as_secs_f64().max(0.001);
        self.expectations.get_or_create(&label).observe(ratio);
    }

    /// Counts an answer to a caller.
    pub fn record_answer(&self, status: StatusCode, took: Duration) {
        let label = vec![("status", status.as_str().to_owned())];
        self.answers.get_or_create(&label).inc();
        self.latency.observe(took.as_secs_f64());
        *lock(&self.answers_by_status)
            .entry(status.as_u16())
            .or_default() += 1;
    }

    /// Counts an answer that did not come from a server.
    pub fn record_refusal(&self, reason: &str) {
        let label = vec![("reason", reason.to_owned())];
        self.refusals.get_or_create(&label).inc();
    }

    /// Counts a send beyond the first.
    pub fn record_retry(&self, retry: RetryReason) {
        let label = vec![("reason", retry.as_str().to_owned())];
        self.retries.get_or_create(&label).inc();
    }

    /// Counts a send beyond the first that the budget denied.
    pub fn record_denied_retry(&self) {
        self.retries_denied.inc();
    }

    /// Counts the end of a send of a request that has crashed servers.
    pub fn record_trial(&self, ending: Ending) {
        let ending = match ending {
            Ending::Ran => "ran",
            Ending::Crashed => "crashed",
            Ending::Open => "open",
        };
        let label = vec![("ending", ending.to_owned())];
        self.trials.get_or_create(&label).inc();
    }

    /// Counts the end of a send on one side of a takeover.
    pub fn record_takeover_send(&self, side: Side, outcome: Outcome) {
        let version = match side {
            Side::Old => "old",
            Side::New => "new",
        };
        let label = vec![
            ("version", version.to_owned()),
            ("outcome", outcome.text().to_owned()),
        ];
        self.takeover_sends.get_or_create(&label).inc();
    }

    /// Counts what became of a request that competes with others for its service.
    pub fn record_competing(&self, service: &str, priority: u32, result: &'static str) {
        let label = vec![
            ("service", service.to_owned()),
            ("priority", priority.to_string()),
            ("result", result.to_owned()),
        ];
        self.competing.get_or_create(&label).inc();
    }

    /// Counts a request of another VM for store data.
    pub fn record_store_request(&self) {
        self.store_requests.inc();
    }

    /// Counts a full list or orders packed for other VMs.
    pub fn record_packed(&self) {
        self.packed.inc();
    }

    /// Counts an answer of another VM with store data, or its lack.
    pub fn record_copy(&self, content: &'static str, bytes: usize) {
        let label = vec![("content", content.to_owned())];
        self.copies.get_or_create(&label).inc();
        self.copied_bytes.inc_by(bytes as u64);
    }

    /// Counts store data passed to another VM.
    pub fn record_served(&self, bytes: usize) {
        self.served_bytes.inc_by(bytes as u64);
    }

    /// Counts datagrams of a kind with `bytes` each.
    pub fn record_reports(&self, kind: &'static str, count: usize, bytes: usize) {
        let label = vec![("kind", kind.to_owned())];
        self.reports.get_or_create(&label).inc_by(count as u64);
        let sum = count.saturating_mul(bytes) as u64;
        self.report_bytes.get_or_create(&label).inc_by(sum);
    }

    /// Counts a request that was started ahead of its turn.
    pub fn record_started_ahead(&self) {
        self.started_ahead.inc();
    }

    /// Counts an answer that was ready before its turn.
    pub fn record_held_answer(&self) {
        self.held_answers.inc();
    }

    /// Records how many requests wait behind the one under way on a connection.
    pub fn record_depth(&self, depth: usize) {
        self.depth.observe(depth as f64);
    }

    /// Returns the answers since the start by status.
    pub fn answers_by_status(&self) -> IndexMap<u16, u64> {
        lock(&self.answers_by_status).clone()
    }
}
