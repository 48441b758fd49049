//! Usage reports of real gateways to the platform.

#[allow(dead_code, reason = "other tests use the rest of the site")]
mod site;

use bytes::Bytes;
use gateway::run;
use gateway::settings::{Settings, Usage};
use indexmap::IndexMap;
use serde_json::Value;
use site::{Site, unused_address, wait_until};
use standin_site::cloud::{Cloud, Report};
use standin_site::operator::Desired;
use standin_site::server::{Behaviour, Server};
use standin_site::store::Endpoint;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime};
use tokio::runtime::Runtime;
use tokio_util::sync::CancellationToken;

/// Length of a window in seconds.
const WINDOW_S: u64 = 2;
/// Workspace of the requests.
const WORKSPACE: &str = "cooperative";
/// Time between two requests.
const INTERVAL: Duration = Duration::from_millis(15);

async fn cloud() -> Cloud {
    let address = SocketAddr::new(unused_address(), 8529);
    let cloud = Cloud::start(address, CancellationToken::new()).await;
    cloud.expect("the platform listens")
}

fn settings(vm: &str, data_centre: &str, door: &Endpoint, cloud: &Cloud) -> Settings {
    Settings {
        usage: Some(Usage {
            address: cloud.address,
            duties: vec![adapter::usage::DUTY.into()],
            lease_ms: Some(3_000.0),
            window_s: Some(WINDOW_S as f64),
            late_s: Some(10.0),
        }),
        ..Site::gateway_settings(vm, data_centre, door)
    }
}

fn window_id(body: &Bytes) -> u64 {
    let body: Value = serde_json::from_slice(body).expect("JSON");
    body["windowId"].as_u64().expect("a window")
}

fn count(report: &Report) -> u64 {
    let body: Value = serde_json::from_slice(&report.body).expect("JSON");
    body["counts"][WORKSPACE].as_u64().unwrap_or_default()
}

/// Returns the runs of the servers by window of the wall clock.
fn runs(servers: &[Server]) -> IndexMap<u64, u64> {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let now = now.expect("a time after 1970");
    let mut windows = IndexMap::new();
    for run in servers.iter().flat_map(Server::runs) {
        let at = now - run.at.elapsed();
        *windows.entry(at.as_secs() / WINDOW_S).or_default() += 1;
    }
    windows
}

/// Guards against counts that are off by more than the platform tolerates: those of other VMs and
/// data centres are missing, or sends that a server refused are counted.
#[tokio::test]
async fn usage_arrives_within_the_tolerance() {
    let (site, door, servers) = Site::with_servers::<2>(&Desired::default()).await;
    let cloud = cloud().await;
    let vms = [("vm-1", "nord-a"), ("vm-2", "nord-a"), ("vm-3", "sud-a")];
    let gateways = vms.map(|(vm, dc)| site.run_gateway(settings(vm, dc, &door, &cloud)));
    for gateway in &gateways {
        gateway.wait_ready().await;
    }
    servers[1].set(Behaviour {
        sheds: true,
        ..Behaviour::default()
    });
    let begin = Instant::now();
    let mut number = 0;
    while begin.elapsed() < Duration::from_secs(4 * WINDOW_S) {
        let id = number.to_string();
        let gateway = &gateways[number % gateways.len()];
        let answer = gateway
            .request_for_object(&id, "/a/", Some("key-1"), &id)
            .await;
        assert!(answer.is_some());
        number += 1;
        tokio::time::sleep(INTERVAL).await;
    }
    let runs = runs(&servers);
    let last = *runs.keys().max().expect("runs");
    wait_until("the last window is reported", || async {
        cloud
            .reports()
            .iter()
            .any(|report| window_id(&report.body) == last)
    })
    .await;
    let reports = cloud.reports();
    let tolerated = |runs: u64| runs / 20 + 2;
    for (window, runs) in &runs {
        let report = reports
            .iter()
            .find(|report| window_id(&report.body) == *window);
        let counted = report.map_or(0, count);
        assert!(
            counted.abs_diff(*runs) <= tolerated(*runs),
            "window {window}: {counted} counted, {runs} run"
        );
    }
    let total: u64 = runs.values().sum();
    assert!(total > 200, "{total} runs");
    assert!(
        reports
            .iter()
            .all(|report| report.token == reports[0].token)
    );
}

/// A gateway that can be ended at once, like a process.
struct Process {
    vm: &'static str,
    runtime: Runtime,
    settings: Settings,
}

impl Process {
    fn start(vm: &'static str, settings: Settings) -> Self {
        let runtime = Runtime::new().expect("a runtime");
        let running = settings.clone();
        runtime.spawn(async move {
            let stop = CancellationToken::new();
            run::run(running, "/dev/null".into(), stop)
                .await
                .expect("the gateway listens");
        });
        Self {
            vm,
            runtime,
            settings,
        }
    }

    async fn request(&self, id: &str) {
        let gateway = site::Gateway {
            settings: self.settings.clone(),
            stop: CancellationToken::new(),
        };
        gateway.request(id, "/a/").await;
    }
}

/// Guards against a successor that counts a window again which the holder has fixed, and perhaps
/// sent, before it ended.
#[tokio::test]
async fn successor_sends_the_same_bytes_again() {
    let (_site, door, [_server]) = Site::with_servers(&Desired::default()).await;
    let cloud = cloud().await;
    cloud.set_silent(true);
    let vms = [("vm-1", "nord-a"), ("vm-2", "sud-a")];
    let processes = vms.map(|(vm, dc)| Process::start(vm, settings(vm, dc, &door, &cloud)));
    let counted = || cloud.reports().into_iter().find(|report| count(report) > 0);
    wait_until("a report with counts", || async {
        for process in &processes {
            process.request("1").await;
        }
        counted().is_some()
    })
    .await;
    let first = counted().expect("a report with counts");
    let (holder, successor) = match *first.holder == *processes[0].vm {
        true => (0, processes[1].vm),
        false => (1, processes[0].vm),
    };
    let mut processes = processes.map(Some);
    let ended = processes[holder].take().expect("the holder");
    ended.runtime.shutdown_background();
    cloud.set_silent(false);
    let again = || {
        let mut reports = cloud.reports().into_iter();
        reports.find(|report| {
            *report.holder == *successor && window_id(&report.body) == window_id(&first.body)
        })
    };
    wait_until("the successor reports", || async { again().is_some() }).await;
    let again = again().expect("a report of the successor");
    assert_eq!(again.body, first.body);
    assert!(again.token > first.token, "{again:?} after {first:?}");
    for process in processes.into_iter().flatten() {
        process.runtime.shutdown_background();
    }
}
