//! A request that crashes backend servers comes again after the gateways were killed.

use crate::Record;
use crate::http;
use crate::site::{self, Backend, CRASHING_PATH, Gateway, HOST, KEY};
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const DATA_CENTRES: [&str; 3] = ["nord-a", "centre-a", "sud-a"];
/// Time between two attempts of the caller.
const PERIOD: Duration = Duration::from_millis(1_000);
/// Times of the kills and end of the case, from the first attempt.
const KILLS_AT: [Duration; 2] = [Duration::from_secs(10), Duration::from_secs(26)];
const END_AT: Duration = Duration::from_secs(40);
/// Time for which the processes are down.
const DOWN: Duration = Duration::from_secs(1);
/// `contactMs`.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Crashes after which the bound applies, and most retries that reach a backend afterwards.
const CRASHES: usize = 3;
const MOST_RETRIES: usize = 3;

/// An attempt of the caller.
struct Sent {
    id: String,
    /// Whether the VM that took it was in touch.
    in_touch: bool,
}

async fn send(id: String, address: SocketAddr) -> Option<String> {
    let body = "permit for one visitor";
    let text = format!(
        "POST {CRASHING_PATH} HTTP/1.1\r\nHost: {HOST}\r\nX-Cardamomhall-Attempt-Id: {id}\r\nX-Cardamomhall-Deadline-Ms: 4000\r\nApi-Key: {KEY}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let answer = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(text.as_bytes()).await.ok()?;
        let mut buffer = Vec::new();
        let head = http::read_head(&mut stream, &mut buffer).await?;
        let body = http::read_body(&mut stream, &mut buffer, &head).await?;
        let reason = String::from_utf8_lossy(&body).trim().to_owned();
        Some(format!("{} ({reason})", head.first))
    };
    tokio::time::timeout(Duration::from_secs(4), answer)
        .await
        .ok()?
}

pub async fn play(record: &Record, folder: &Path, trouble: bool) -> Result<bool, String> {
    let (store, address) = site::store().await;
    let mut backends: Vec<Backend> = Vec::new();
    for number in 0..8 {
        let id = format!("i-7f3a91c{number}");
        backends.push(site::backend(&store, &id, "booking-api", Duration::from_millis(200)).await);
    }
    site::publish(&store);
    let mut gateways = Vec::new();
    for data_centre in DATA_CENTRES {
        gateways.push(Gateway::new(folder, address, data_centre).await);
    }
    let ready = start_all(&mut gateways).await;
    if !ready {
        return Err("not all gateways are ready".into());
    }
    tokio::time::sleep(CONTACT + Duration::from_secs(1)).await;
    let began = Instant::now();
    let mut kills = KILLS_AT
        .iter()
        .filter(|_| trouble)
        .map(|at| began + *at)
        .peekable();
    let mut sent: Vec<Sent> = Vec::new();
    while began.elapsed() < END_AT {
        if kills.next_if(|at| Instant::now() >= *at).is_some() {
            for gateway in &mut gateways {
                gateway.kill().await;
            }
            record.line("all gateways killed");
            tokio::time::sleep(DOWN).await;
            let ready = start_all(&mut gateways).await;
            record.line(format!("all gateways started again, ready: {ready}"));
            // The next attempt comes when they are in touch again.
            tokio::time::sleep(CONTACT + Duration::from_secs(1)).await;
        }
        let number = sent.len();
        let gateway = &gateways[number % gateways.len()];
        let id = format!("p{number:015}");
        let in_touch = gateway.started.elapsed() >= CONTACT;
        let next = Instant::now() + PERIOD;
        let answer = send(id.clone(), gateway.callers).await;
        record.line(format!(
            "{id} to {}: {answer:?}, in touch: {in_touch}",
            DATA_CENTRES[number % gateways.len()]
        ));
        sent.push(Sent { id, in_touch });
        tokio::time::sleep_until(next.into()).await;
    }
    for gateway in &mut gateways {
        gateway.kill().await;
    }
    let mut runs: Vec<_> = backends
        .iter()
        .flat_map(|b| {
            b.runs()
                .into_iter()
                .map(|run| (run.at, b.id.clone(), run.head))
        })
        .collect();
    runs.sort_by_key(|(at, _, _)| *at);
    for (at, backend, head) in &runs {
        let id = head.get("x-cardamomhall-attempt-id").unwrap_or_default();
        let at = at.duration_since(began).as_secs_f64();
        record.line(format!(
            "{id} crashed {backend} {at:.3} s after the first attempt"
        ));
    }
    let Some((third, _, _)) = runs.get(CRASHES - 1) else {
        return Err("the request crashed fewer than three backends".into());
    };
    let late = runs.iter().filter(|(at, _, head)| {
        let id = head.get("x-cardamomhall-attempt-id");
        let by_touch = sent.iter().any(|s| Some(&*s.id) == id && s.in_touch);
        *at > *third + CONTACT && by_touch
    });
    let late = late.count();
    record.line(format!(
        "{late} retries reached a backend later than {} ms after the third crash, sent by gateways in touch; {MOST_RETRIES} are allowed",
        CONTACT.as_millis()
    ));
    Ok(late > MOST_RETRIES)
}

/// Starts all gateways at once; returns whether all are ready.
async fn start_all(gateways: &mut [Gateway]) -> bool {
    let [a, b, c] = gateways else {
        return false;
    };
    let (a, b, c) = tokio::join!(a.start(), b.start(), c.start());
    a && b && c
}
