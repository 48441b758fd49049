//! Sends requests and counts what became of them.

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

/// Longest time for the answer of a look-up.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(5);

/// Highest latency recorded, in microseconds.
const HIGHEST_MICROS: u64 = 60_000_000;

/// Path of a look-up's question.
const LOOKUP_PATH: &str = "/v1/entries";

base::message! {
    /// What became of the requests.
    #[derive(Default)]
    pub struct Summary {
        /// Number of requests by outcome and reason.
        pub outcomes: IndexMap<Box<str>, usize>,
        /// Number of answers by the version that gave them.
        pub labels: IndexMap<Box<str>, usize>,
        /// Median latency, in milliseconds.
        pub p50_ms: f64,
        /// 99th percentile of the latency, in milliseconds.
        pub p99_ms: f64,
        /// Requests per second.
        pub per_second: f64,
    }
}

/// Result of one connection's requests.
#[derive(Debug)]
struct Tally {
    outcomes: IndexMap<Box<str>, usize>,
    labels: IndexMap<Box<str>, usize>,
    latency: Histogram<u64>,
}

/// Why no request could be sent.
pub type Error = Box<dyn std::error::Error + Send + Sync>;

/// Sends the requests and sums up.
///
/// # Errors
///
/// Fails if no entry is known or an option is invalid.
pub async fn run(load: Load) -> Result<Summary, Error> {
    let addresses = addresses(&load).await?;
    let load = Arc::new(load);
    let left = Arc::new(AtomicUsize::new(load.requests));
    let begin = Instant::now();
    let tasks = (0..load.connections).map(|index| {
        let address = addresses[index % addresses.len()];
        tokio::spawn(connection(load.clone(), address, left.clone()))
    });
    let tasks: Vec<_> = tasks.collect();
    let mut total = Tally::new()?;
    for task in tasks {
        total.add(task.await??)?;
    }
    Ok(total.summary(load.requests as f64 / begin.elapsed().as_secs_f64()))
}

/// Returns the entries that a look-up names, or the address given.
async fn addresses(load: &Load) -> Result<Vec<SocketAddr>, Error> {
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

async fn connection(
    load: Arc<Load>,
    address: SocketAddr,
    left: Arc<AtomicUsize>,
) -> Result<Tally, Error> {
    let mut tally = Tally::new()?;
    let mut sender = None;
    while left
        .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| n.checked_sub(1))
        .is_ok()
    {
        let begin = Instant::now();
        match exchange(&load, address, &mut sender).await {
            Ok((status, headers, body)) => tally.answer(status, &headers, &body),
            Err(_) => {
                sender = None;
                tally.outcome("no-answer");
            }
        }
        let micros = u64::try_from(begin.elapsed().as_micros())?;
        tally.latency.record(micros.clamp(1, HIGHEST_MICROS))?;
    }
    Ok(tally)
}

async fn exchange(
    load: &Load,
    address: SocketAddr,
    sender: &mut Option<SendRequest<Full<Bytes>>>,
) -> Result<(StatusCode, HeaderMap, Bytes), Error> {
    if sender.as_ref().is_none_or(SendRequest::is_closed) {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (fresh, driver) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(driver);
        *sender = Some(fresh);
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
        let latency = Histogram::new_with_bounds(1, HIGHEST_MICROS, 3)?;
        Ok(Self {
            outcomes: IndexMap::new(),
            labels: IndexMap::new(),
            latency,
        })
    }

    fn outcome(&mut self, name: &str) {
        *self.outcomes.entry(name.into()).or_default() += 1;
    }

    fn answer(&mut self, status: StatusCode, headers: &HeaderMap, body: &[u8]) {
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let name = match (text(header::OUTCOME), text(header::REASON)) {
            (Some(outcome), Some(reason)) => format!("{outcome}: {reason}"),
            (Some(outcome), None) if status.is_success() => outcome.into(),
            (Some(outcome), None) => format!("{outcome}: status {}", status.as_u16()),
            (None, _) => format!("status {}", status.as_u16()),
        };
        self.outcome(&name);
        let body: Option<serde_json::Value> = serde_json::from_slice(body).ok();
        if let Some(label) = body.as_ref().and_then(|body| body["label"].as_str()) {
            *self.labels.entry(label.into()).or_default() += 1;
        }
    }

    fn add(&mut self, other: Self) -> Result<(), Error> {
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
