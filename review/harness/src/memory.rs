//! Callers upload bodies within `maxBodyBytes`; the platform kills a process above `memoryMb`.

use crate::Record;
use crate::http;
use crate::site::{self, Backend, Gateway, HOST, KEY, MAX_BODY_BYTES, MEMORY_MB};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Callers with kept connections.
const CALLERS: usize = 12;
/// Callers that upload a large body, one each.
const UPLOADS: usize = 3;
/// Size of a large body, below `maxBodyBytes`.
const UPLOAD_BYTES: usize = 60_000_000;
const _: () = assert!(UPLOAD_BYTES < MAX_BODY_BYTES);
/// Size of the same bodies without the disruption.
const SMALL_BYTES: usize = 300;
/// Time of the uploads and end of the case, from the start of traffic.
const UPLOADS_AT: Duration = Duration::from_secs(4);
const END_AT: Duration = Duration::from_secs(12);
/// Delay of the platform's restart of a killed process.
const RESTART_DELAY: Duration = Duration::from_secs(1);
/// Most requests from kept connections that a machine in touch may pass on and leave unanswered.
const MOST_LOST: usize = 3;

/// A request on a kept connection that ended without an answer.
struct Cut {
    id: String,
    /// Answers that the connection had brought before.
    answered_before: usize,
}

fn request(id: &str, bytes: usize) -> String {
    format!(
        "POST /booking/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Cardamomhall-Attempt-Id: {id}\r\nX-Cardamomhall-Deadline-Ms: 4000\r\nApi-Key: {KEY}\r\nContent-Length: {bytes}\r\n\r\n"
    )
}

/// Sends one request after the other on a kept connection, and opens another one after its end.
async fn call(
    number: usize,
    address: SocketAddr,
    end: Instant,
    cuts: Arc<Mutex<Vec<Cut>>>,
    record: Record,
) {
    let mut count = 0;
    while Instant::now() < end {
        let Ok(mut stream) = TcpStream::connect(address).await else {
            tokio::time::sleep(Duration::from_millis(100)).await;
            continue;
        };
        let (mut buffer, mut answered) = (Vec::new(), 0);
        while Instant::now() < end {
            count += 1;
            let id = format!("k{number:03}-{count:011}");
            let body = format!("permit {count} of caller {number}");
            let text = request(&id, body.len()) + &body;
            if stream.write_all(text.as_bytes()).await.is_err() {
                break;
            }
            let answer = async {
                let head = http::read_head(&mut stream, &mut buffer).await?;
                http::read_body(&mut stream, &mut buffer, &head).await?;
                Some(head)
            };
            let Some(head) = answer.await else {
                record.line(format!(
                    "{id}: connection closed without an answer, after {answered} answers"
                ));
                cuts.lock().expect("lock").push(Cut {
                    id,
                    answered_before: answered,
                });
                break;
            };
            answered += 1;
            if head.status() != 200 {
                record.line(format!("{id}: {}", head.first));
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
        }
    }
}

/// Sends one request with this body on a connection of its own.
async fn upload(id: String, address: SocketAddr, body: Arc<Vec<u8>>, record: Record) {
    record.line(format!("{id}: sends a body of {} bytes", body.len()));
    let Ok(mut stream) = TcpStream::connect(address).await else {
        record.line(format!("{id}: no connection"));
        return;
    };
    let sent = async {
        stream
            .write_all(request(&id, body.len()).as_bytes())
            .await?;
        stream.write_all(&body).await
    };
    if let Err(error) = sent.await {
        record.line(format!("{id}: body not taken: {error}"));
        return;
    }
    record.line(format!("{id}: body sent"));
    let answer = http::read_head(&mut stream, &mut Vec::new()).await;
    record.line(format!("{id}: {:?}", answer.map(|head| head.first)));
}

/// Returns the peak memory of a process in bytes.
fn peak_memory(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))?;
    let kib: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kib * 1024)
}

pub async fn play(record: &Record, folder: &Path, trouble: bool) -> Result<bool, String> {
    let (store, address) = site::store().await;
    let mut backends: Vec<Backend> = Vec::new();
    for number in 0..4 {
        let id = format!("i-7f3a91c{number}");
        backends.push(site::backend(&store, &id, "booking-api", Duration::from_millis(500)).await);
    }
    site::publish(&store);
    let mut gateway = Gateway::new(folder, address, "nord-a").await;
    if !gateway.start().await {
        return Err("the gateway is not ready".into());
    }
    // Tokens of the tenant accumulate from the start of the process.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let began = Instant::now();
    let end = began + END_AT;
    let cuts: Arc<Mutex<Vec<Cut>>> = Arc::default();
    for number in 0..CALLERS {
        tokio::spawn(call(
            number,
            gateway.callers,
            end,
            cuts.clone(),
            record.clone(),
        ));
    }
    let bytes = if trouble { UPLOAD_BYTES } else { SMALL_BYTES };
    // Binary data, as in a compressed image.
    let mut state = 0x9e37_79b9_7f4a_7c15_u64;
    let body = (0..bytes).map(|_| {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        (state >> 32) as u8
    });
    let body = Arc::new(body.collect::<Vec<u8>>());
    tokio::time::sleep_until((began + UPLOADS_AT).into()).await;
    for number in 0..UPLOADS {
        tokio::spawn(upload(
            format!("upload-{number:09}"),
            gateway.callers,
            body.clone(),
            record.clone(),
        ));
    }
    // The platform.
    let limit = MEMORY_MB * 1024 * 1024;
    let (mut kills, mut ends, mut peak) = (0, 0, 0);
    while Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(5)).await;
        let used = gateway.pid().and_then(peak_memory).unwrap_or(0);
        peak = peak.max(used);
        if used > limit {
            record.line(format!(
                "platform: the gateway takes {used} bytes, more than {limit}; killed"
            ));
            kills += 1;
            gateway.kill().await;
        } else if !gateway.is_running() {
            record.line("platform: the gateway ended by itself");
            ends += 1;
        } else {
            continue;
        }
        tokio::time::sleep(RESTART_DELAY).await;
        record.line(format!(
            "platform: starts the gateway, ready: {}",
            gateway.start().await
        ));
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    gateway.kill().await;
    let ran: Vec<String> = backends
        .iter()
        .flat_map(Backend::runs)
        .filter_map(|run| run.head.get("x-cardamomhall-attempt-id").map(str::to_owned))
        .collect();
    let cuts = cuts.lock().expect("lock");
    let lost = cuts
        .iter()
        .filter(|cut| cut.answered_before > 0 && ran.contains(&cut.id));
    let lost: Vec<&str> = lost.map(|cut| &*cut.id).collect();
    record.line(format!(
        "peak memory {peak} bytes, limit {limit}; killed {kills} times, ended {ends} times"
    ));
    record.line(format!("{} requests ran", ran.len()));
    record.line(format!(
        "{} requests from kept connections were passed on, ran, and got no answer; {MOST_LOST} are allowed: {lost:?}",
        lost.len()
    ));
    if ran.len() < CALLERS {
        return Err("hardly any request ran".into());
    }
    Ok(lost.len() > MOST_LOST)
}
