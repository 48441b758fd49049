//! A caller names headers that the system sets in its `Connection` header.

use crate::Record;
use crate::http;
use crate::site::{self, Gateway, HOST, KEY, TENANT};
use std::path::Path;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const REQUESTS: usize = 10;

pub async fn play(record: &Record, folder: &Path, trouble: bool) -> Result<bool, String> {
    let (store, address) = site::store().await;
    let backend = site::backend(
        &store,
        "i-7f3a91c2",
        "booking-api",
        Duration::from_millis(20),
    )
    .await;
    site::publish(&store);
    let mut gateway = Gateway::new(folder, address, "nord-a").await;
    if !gateway.start().await {
        return Err("the gateway is not ready".into());
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let connection = match trouble {
        true => "keep-alive, X-Cardamomhall-Tenant",
        false => "keep-alive",
    };
    for number in 0..REQUESTS {
        let mut stream = TcpStream::connect(gateway.callers)
            .await
            .map_err(|e| e.to_string())?;
        let body = format!("permit {number}");
        let request = format!(
            "POST /booking/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Cardamomhall-Attempt-Id: c{number:015}\r\nX-Cardamomhall-Deadline-Ms: 4000\r\nApi-Key: {KEY}\r\nConnection: {connection}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream
            .write_all(request.as_bytes())
            .await
            .map_err(|e| e.to_string())?;
        record.line(format!("sent c{number:015} with Connection: {connection}"));
        let answer = http::read_head(&mut stream, &mut Vec::new()).await;
        record.line(format!(
            "answered c{number:015}: {:?}",
            answer.map(|head| head.first)
        ));
    }
    let runs = backend.runs();
    let mut foreign = 0;
    for run in &runs {
        let tenant = run.head.get("x-cardamomhall-tenant");
        record.line(format!(
            "ran {:?}: tenant {tenant:?}, expected instance {:?}",
            run.head.get("x-cardamomhall-attempt-id"),
            run.head.get("x-cardamomhall-expect-instance")
        ));
        foreign += usize::from(tenant != Some(TENANT));
    }
    record.line(format!(
        "{} of {} runs without the tenant {TENANT} of the key",
        foreign,
        runs.len()
    ));
    gateway.kill().await;
    if runs.is_empty() {
        return Err("no request ran".into());
    }
    Ok(foreign > 0)
}
