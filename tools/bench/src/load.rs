//! Load generator: sends requests and counts their outcomes.

use crate::args::Load;
use base::http::client::Target;
use bytes::Bytes;
use callers::answer::Answer;
use callers::header;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// Longest wait for the answer of a lookup process.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(5);

/// Higher latencies are recorded as this value.
const MAX_LATENCY_MICROS: u64 = 60_000_000;

/// Path of a lookup request.
const LOOKUP_PATH: &str = "/v1/entries";

base::message! {
    /// Counts, latency and throughput of the requests.
    #[derive(Default)]
    pub struct Summary {
        /// Number of requests by outcome and reason.
        pub outcomes: IndexMap<Box<str>, usize>,
        /// Number of answers by the label (version) of the backend server that gave them.
        pub labels: IndexMap<Box<str>, usize>,
        /// Median latency, in milliseconds.
        pub p50_ms: f64,
        /// 99th percentile of the latency, in milliseconds.
        pub p99_ms: f64,
        /// Throughput, in requests per second.
        pub per_second: f64,
    }
}

/// Outcomes and latencies of the requests of one connection, or of all.
#[derive(Debug)]
struct Tally {
    outcomes: IndexMap<Box<str>, usize>,
    labels: IndexMap<Box<str>, usize>,
    latency: Histogram<u64>,
}

/// Error that ends the run.
pub type Error = Box<dyn std::error::Error + Send + Sync>;

/// Sends the requests and returns a summary.
///
/// # Errors
///
/// Fails if no address is given, the lookup fails or returns none, or a result can't be recorded.
pub async fn run(load: Load) -> Result<Summary, Error> {
    let addresses = entry_addresses(&load).await?;
    let load = Arc::new(load);
    let remaining = Arc::new(AtomicUsize::new(load.requests));
    let begin = Instant::now();
    let tasks = (0..load.connections).map(|index| {
        let address = addresses[index % addresses.len()];
        tokio::spawn(run_connection(load.clone(), address, remaining.clone()))
    });
    let tasks: Vec<_> = tasks.collect();
    let mut total = Tally::new()?;
    for task in tasks {
        total.merge(task.await??)?;
    }
    Ok(total.summary(load.requests as f64 / begin.elapsed().as_secs_f64()))
}

/// Returns the address given, or the entries that the lookup process returns.
async fn entry_addresses(load: &Load) -> Result<Vec<SocketAddr>, Error> {
    if let Some(address) = load.address {
        return Ok(vec![address]);
    }
    let address = load.lookup.ok_or("`--lookup` or `--address` is needed")?;
    let target = Target {
        address,
        timeout: LOOKUP_TIMEOUT,
        authorization: None,
    };
    let answer: Answer = target.call(Method::GET, LOOKUP_PATH, "").await?.decode()?;
    let addresses: Vec<_> = answer.entries.iter().map(|entry| entry.address).collect();
    if addresses.is_empty() {
        Err("the look-up names no entry".into())
    } else {
        Ok(addresses)
    }
}

async fn run_connection(
    load: Arc<Load>,
    address: SocketAddr,
    remaining: Arc<AtomicUsize>,
) -> Result<Tally, Error> {
    let mut tally = Tally::new()?;
    let mut sender = None;
    while remaining
        .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| n.checked_sub(1))
        .is_ok()
    {
        let begin = Instant::now();
        match send(&load, address, &mut sender).await {
            Ok((status, headers, body)) => tally.record_answer(status, &headers, &body),
            Err(_) => {
                sender = None;
                tally.record_outcome("no-answer");
            }
        }
        let micros = u64::try_from(begin.elapsed().as_micros())?;
        tally.latency.record(micros.clamp(1, MAX_LATENCY_MICROS))?;
    }
    Ok(tally)
}

async fn send(
    load: &Load,
    address: SocketAddr,
    sender: &mut Option<SendRequest<Full<Bytes>>>,
) -> Result<(StatusCode, HeaderMap, Bytes), Error> {
    if sender.as_ref().is_none_or(SendRequest::is_closed) {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (new_sender, driver) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(driver);
        *sender = Some(new_sender);
    }
    let sender = sender.as_mut().ok_or("no connection")?;
    sender.ready().await?;
    let mut request = Request::builder()
        .method(&*load.method)
        .uri(&*load.path)
        .header("host", "x");
    if let Some(key) = &load.key {
        request = request.header("authorization", format!("Bearer {key}"));
    }
    let response = sender.send_request(request.body(Full::default())?).await?;
    let (head, body) = response.into_parts();
    Ok((head.status, head.headers, body.collect().await?.to_bytes()))
}

impl Tally {
    fn new() -> Result<Self, Error> {
        let latency = Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, 3)?;
        Ok(Self {
            outcomes: IndexMap::new(),
            labels: IndexMap::new(),
            latency,
        })
    }

    fn record_outcome(&mut self, name: &str) {
        *self.outcomes.entry(name.into()).or_default() += 1;
    }

    fn record_answer(&mut self, status: StatusCode, headers: &HeaderMap, body: &[u8]) {
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let name = match (text(header::OUTCOME), text(header::REASON)) {
            (Some(outcome), Some(reason)) => format!("{outcome}: {reason}"),
            (Some(outcome), None) if status.is_success() => outcome.into(),
            (Some(outcome), None) => format!("{outcome}: status {}", status.as_u16()),
            (None, _) => format!("status {}", status.as_u16()),
        };
        self.record_outcome(&name);
        let body: Option<serde_json::Value> = serde_json::from_slice(body).ok();
        if let Some(label) = body.as_ref().and_then(|body| body["label"].as_str()) {
            *self.labels.entry(label.into()).or_default() += 1;
        }
    }

    fn merge(&mut self, other: Self) -> Result<(), Error> {
        for (name, count) in other.outcomes {
            *self.outcomes.entry(name).or_default() += count;
        }
        for (label, count) in other.labels {
            *self.labels.entry(label).or_default() += count;
        }
        Ok(self.latency.add(other.latency)?)
    }

    fn summary(self, per_second: f64) -> Summary {
        let millis = |quantile| self.latency.value_at_quantile(quantile) as f64 / 1e3;
        let (p50_ms, p99_ms) = (millis(0.5), millis(0.99));
        Summary {
            outcomes: self.outcomes,
            labels: self.labels,
            p50_ms,
            p99_ms,
            per_second,
        }
    }
}
