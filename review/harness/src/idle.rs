//! Callers stay idle on their connections for longer than `idleTimeoutMs`.

use crate::Record;
use crate::http;
use crate::site::{self, Gateway, HOST, IDLE_TIMEOUT, KEY};
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Callers that send one request and then stay idle; below the descriptors of a machine for
/// sockets, 3,900.
const IDLE_CALLERS: usize = 2_600;
/// Callers that come after `idleTimeoutMs`.
const NEW_CALLERS: usize = 10;
/// Time after the last request of the idle callers at which the new ones come: `idleTimeoutMs`
/// and 3 s more for closing their connections.
const NEW_AFTER: Duration = IDLE_TIMEOUT.saturating_add(Duration::from_secs(3));
/// `contactMs`.
const CONTACT: Duration = Duration::from_millis(3_000);

fn request(id: &str) -> String {
    format!(
        "GET /lookup/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Cardamomhall-Attempt-Id: {id}\r\nX-Cardamomhall-Deadline-Ms: 3000\r\nApi-Key: {KEY}\r\n\r\n"
    )
}

/// Sends a request on a new connection; returns the connection and the status of the answer.
async fn ask(id: String, address: SocketAddr, limit: Duration) -> Option<(TcpStream, u16)> {
    let answer = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(request(&id).as_bytes()).await.ok()?;
        let mut buffer = Vec::new();
        let head = http::read_head(&mut stream, &mut buffer).await?;
        http::read_body(&mut stream, &mut buffer, &head).await?;
        Some((stream, head.status()))
    };
    tokio::time::timeout(limit, answer).await.ok().flatten()
}

pub async fn play(record: &Record, folder: &Path, trouble: bool) -> Result<bool, String> {
    let (store, address) = site::store().await;
    for number in 0..4 {
        let id = format!("i-7f3a91c{number}");
        site::backend(&store, &id, "lookup-api", Duration::from_millis(20)).await;
    }
    site::publish(&store);
    let mut gateway = Gateway::new(folder, address, "nord-a").await;
    if !gateway.start().await {
        return Err("the gateway is not ready".into());
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let (mut kept, mut answered) = (Vec::new(), 0);
    for group in 0..IDLE_CALLERS / 50 {
        let asked = (0..50).map(|n| {
            let id = format!("i{group:07}-{n:07}");
            tokio::spawn(ask(id, gateway.callers, Duration::from_secs(1)))
        });
        for task in asked.collect::<Vec<_>>() {
            if let Ok(Some((stream, _))) = task.await {
                answered += 1;
                if trouble {
                    kept.push(stream);
                }
            }
        }
    }
    record.line(format!(
        "{answered} of {IDLE_CALLERS} callers were answered; {} of them keep their connection",
        kept.len()
    ));
    tokio::time::sleep(NEW_AFTER).await;
    let mut taken = 0;
    let began = Instant::now();
    let asked =
        (0..NEW_CALLERS).map(|n| tokio::spawn(ask(format!("n{n:015}"), gateway.callers, CONTACT)));
    for (number, task) in asked.collect::<Vec<_>>().into_iter().enumerate() {
        let status = task.await.ok().flatten().map(|(_, status)| status);
        taken += usize::from(status.is_some());
        record.line(format!(
            "new caller {number}: status {status:?}, after {} ms",
            began.elapsed().as_millis()
        ));
    }
    record.line(format!("readiness: {}", gateway.is_ready().await));
    let is_ready = gateway.is_ready().await;
    record.line(format!(
        "{taken} of {NEW_CALLERS} new callers were answered within {} ms",
        CONTACT.as_millis()
    ));
    gateway.kill().await;
    if answered < IDLE_CALLERS * 9 / 10 {
        return Err("too few callers were answered".into());
    }
    Ok(is_ready && taken == 0)
}
