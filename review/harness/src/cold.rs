//! A gateway is cut off from the store while a data centre is evacuated and its servers turn cold.

use crate::Record;
use crate::http;
use crate::site::{self, Gateway, HOST, KEY};
use standin_site::operator;
use standin_site::store::Faults;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Time between two requests.
const PERIOD: Duration = Duration::from_millis(20);
/// Times from the start of traffic.
const CUT_AT: Duration = Duration::from_secs(3);
const EVACUATED_AT: Duration = Duration::from_secs(5);
const COLD_AT: Duration = Duration::from_secs(11);
const BACK_AT: Duration = Duration::from_secs(13);
const HEALED_AT: Duration = Duration::from_secs(15);
const END_AT: Duration = Duration::from_secs(20);
/// Time for which the servers stay cold: two seconds of the evacuation and `warmupS` after it.
const COLD_TIME: Duration = Duration::from_secs(5);
/// `warmupPerS` x `warmupOverage` + `warmupSlack`.
const MOST_PER_SECOND: f64 = 2.6 * 1.5 + 5.0;

pub async fn play(record: &Record, folder: &Path, trouble: bool) -> Result<bool, String> {
    let (store, endpoint) = site::store_with_faults().await;
    let work = Duration::from_millis(60);
    let (mut leaving, mut others) = (Vec::new(), Vec::new());
    for number in 0..2 {
        let id = format!("i-7f3a91c{number}");
        leaving.push(site::backend_in("nord-a", &store, &id, "lookup-api", work).await);
        let id = format!("i-62b11cb{number}");
        others.push(site::backend_in("centre-a", &store, &id, "lookup-api", work).await);
    }
    site::publish(&store);
    let mut gateway = Gateway::new(folder, endpoint.address, "nord-a").await;
    if !gateway.start().await {
        return Err("the gateway is not ready".into());
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    let began = Instant::now();
    let address = gateway.callers;
    let traffic = tokio::spawn(async move {
        let mut number = 0;
        while began.elapsed() < END_AT {
            number += 1;
            tokio::spawn(async move {
                let text = format!(
                    "GET /lookup/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Cardamomhall-Attempt-Id: l{number:015}\r\nX-Cardamomhall-Deadline-Ms: 3000\r\nApi-Key: {KEY}\r\n\r\n"
                );
                let mut stream = TcpStream::connect(address).await.ok()?;
                stream.write_all(text.as_bytes()).await.ok()?;
                http::read_head(&mut stream, &mut Vec::new()).await
            });
            tokio::time::sleep(PERIOD).await;
        }
    });
    let at = |time: Duration| tokio::time::sleep_until((began + time).into());
    at(CUT_AT).await;
    if trouble {
        endpoint.set(Faults {
            silent: true,
            ..Faults::default()
        });
        record.line("the gateway is cut off from the store");
    }
    at(EVACUATED_AT).await;
    operator::order_evacuation(&store, "nord-a");
    record.line("the evacuation of nord-a is confirmed");
    at(COLD_AT).await;
    let turned_cold = Instant::now();
    for server in &leaving {
        server.turn_cold(COLD_TIME);
    }
    record.line("the servers of nord-a turn cold, and report it to the store");
    at(BACK_AT).await;
    operator::end_evacuation(&store, "nord-a");
    record.line("nord-a is taken back");
    at(HEALED_AT).await;
    endpoint.set(Faults::default());
    record.line("the store answers the gateway");
    traffic.await.map_err(|error| error.to_string())?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    gateway.kill().await;
    let second = Duration::from_secs(1);
    let mut broken = false;
    for server in leaving.iter().chain(&others) {
        let arrivals = server.arrivals.lock().expect("lock").clone();
        record.line(format!("{}: {} requests in all", server.id, arrivals.len()));
    }
    for server in &leaving {
        let mut cold = server.arrivals.lock().expect("lock").clone();
        cold.retain(|at| *at >= turned_cold && *at < turned_cold + COLD_TIME);
        let in_second = |from: &Instant| {
            cold.iter()
                .filter(|at| *at >= from && **at < *from + second)
                .count()
        };
        let most = cold.iter().map(in_second).max().unwrap_or(0);
        record.line(format!(
            "{}: {} requests while cold, {most} in one second; {MOST_PER_SECOND} are allowed",
            server.id,
            cold.len()
        ));
        broken |= most as f64 > MOST_PER_SECOND;
    }
    let all: usize = leaving
        .iter()
        .map(|s| s.arrivals.lock().expect("lock").len())
        .sum();
    if all < 50 {
        return Err("too few requests".into());
    }
    Ok(broken)
}
