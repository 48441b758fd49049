//! Takeovers by new versions, with one server per version and with several under load.

use crate::site::{self, Site, wait_until};
use rstest::rstest;
use standin_site::operator::{self, Desired, Route};
use standin_site::server::{Behaviour, Entry, Server};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Number of servers of each version.
const SERVERS: usize = 6;
/// Number of callers per gateway; together they use two thirds of the slots of one version.
const CALLERS: usize = 12;
/// Delay of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(250);
/// Service time of an ordinary request; the latency objective of the route is 400 ms.
const SERVICE_TIME: Duration = Duration::from_millis(250);
/// Number of objects that requests concern.
const OBJECTS: usize = 24;
/// Term of the order in seconds.
const TERM: u32 = 12;

/// Result of a takeover.
struct TakeoverResult {
    /// Last status in the store.
    status: String,
    /// Share of the requests until then that the new version got.
    exposed_share: f64,
}

/// Runs a takeover by servers that behave like `new` under load, until it is decided.
async fn run_takeover(new: Behaviour) -> TakeoverResult {
    let (site, door, old) = Site::with_servers::<SERVERS>(&Desired::default()).await;
    let ordinary = Behaviour {
        work: SERVICE_TIME,
        load: "",
        ..Behaviour::default()
    };
    old.iter().for_each(|server| server.set(ordinary.clone()));
    let vms = [("vm-1", "nord-a"), ("vm-2", "sud-a")];
    let gateways = Arc::new(site.gateways(vms, &door).await);
    let entry = Entry {
        label: "v2",
        ..Entry::default()
    };
    let mut servers: Vec<Server> = Vec::new();
    for number in 0..SERVERS {
        let server = site.server(&format!("n-{number}"), &entry).await;
        server.set(new.clone());
        servers.push(server);
    }
    let ended = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS * gateways.len())
        .map(|caller| {
            let (gateways, ended) = (gateways.clone(), ended.clone());
            tokio::spawn(async move {
                let gateway = &gateways[caller % gateways.len()];
                let mut number = caller;
                while !ended.load(Ordering::Relaxed) {
                    number += CALLERS;
                    let object = (number % OBJECTS).to_string();
                    let id = format!("{caller}-{number}");
                    gateway
                        .request_for_object(&id, "/a/", Some("key-1"), &object)
                        .await;
                    tokio::time::sleep(PAUSE).await;
                }
            })
        })
        .collect();
    operator::order_takeover(&site.store, "lookup", "v2", TERM);
    let end = Instant::now() + Duration::from_secs(u64::from(TERM) * 2);
    let status = || operator::takeover_state(&site.store, "lookup");
    while !matches!(status().as_str(), "completed" | "rolled_back") && Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let runs = |servers: &[Server]| -> usize { servers.iter().map(|s| s.runs().len()).sum() };
    let (on_old, on_new) = (runs(&old), runs(&servers));
    ended.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.expect("a caller ends");
    }
    TakeoverResult {
        status: status(),
        exposed_share: on_new as f64 / (on_old + on_new) as f64,
    }
}

/// Guards against completing a bad version because its worst requests get no answer or because its
/// servers are idle during the evaluation.
#[rstest]
#[case::leaves_requests_unanswered(Behaviour { work: SERVICE_TIME, load: "", unanswered_every: 3, ..Behaviour::default() })]
#[case::fails_under_load(Behaviour { work: SERVICE_TIME, load: "", fails_at_concurrency: 2, ..Behaviour::default() })]
#[case::slow(Behaviour { work: SERVICE_TIME * 4, load: "", ..Behaviour::default() })]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_version_is_rolled_back(#[case] new: Behaviour) {
    let result = run_takeover(new).await;
    assert_eq!(result.status, "rolled_back");
}

/// Guards against leaving requests that end at their route's time-out out of the evidence
/// (permis-parcs, version-late-slow --seed 1).
#[tokio::test]
async fn request_that_ends_at_its_time_out_is_evidence() {
    let route = Route {
        timeout_ms: 500,
        ..Route::PLAIN
    };
    let desired = Desired {
        routes: vec![route].leak(),
        ..Desired::default()
    };
    let (site, _, server, gateway) = Site::with_gateway(&desired).await;
    operator::order_takeover(&site.store, "lookup", "v2", TERM);
    wait_until("the order is known", || async {
        operator::takeover_state(&site.store, "lookup") == "running"
    })
    .await;
    server.set(Behaviour {
        silent: true,
        ..Behaviour::default()
    });
    gateway.request("1", "/a/").await;
    let metrics = site::get(gateway.settings.listen.metrics, "/metrics").await;
    let metrics = metrics.expect("metrics").body;
    let text = std::str::from_utf8(&metrics).expect("text");
    let counted = r#"gateway_takeover_sends_total{version="old",outcome="unanswered"} 1"#;
    assert!(text.contains(counted), "{text}");
}

/// Guards against losing the evidence when all processes stop at once: a version that failed before
/// and answers well afterwards must still be rolled back.
#[tokio::test]
async fn evidence_survives_a_stop_of_all_processes() {
    let (site, door, [_old]) = Site::with_servers(&Desired::default()).await;
    let first = site.gateway("vm-1", "nord-a", &door).await;
    first.wait_ready().await;
    let entry = Entry {
        label: "v2",
        ..Entry::default()
    };
    site.server("i-2", &entry).await;
    operator::order_takeover(&site.store, "lookup", "v2", 60);
    wait_until("the begin row is in the store", || async {
        operator::takeover_state(&site.store, "lookup") == "running"
    })
    .await;
    first.stop.cancel();
    wait_until("the first gateway ended", || async {
        site::get(first.settings.listen.peers, "/status")
            .await
            .is_none()
    })
    .await;
    let row = site.store.get("takeovers", "lookup").expect("the begin");
    let mut begin: serde_json::Value = serde_json::from_slice(&row).expect("JSON");
    let bad = serde_json::json!({"good": 2, "failed": 6, "late": 0, "unanswered": 0});
    begin["evidence"] = serde_json::json!({
        "old": {"good": 400, "failed": 4, "late": 0, "unanswered": 0},
        "new": {"1": bad, "2": bad, "3": bad, "4": bad, "5": bad},
    });
    site.store.put("takeovers", "lookup", begin.to_string());
    let second = site.gateway("vm-2", "nord-a", &door).await;
    second.wait_ready().await;
    wait_until("the version is rolled back", || async {
        operator::takeover_state(&site.store, "lookup") == "rolled_back"
    })
    .await;
}

/// Guards against rolling back a good version because of the load during its evaluation, and
/// against sending it more than its share before it is decided.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn good_version_is_completed() {
    let new = Behaviour {
        work: SERVICE_TIME,
        load: "",
        ..Behaviour::default()
    };
    let result = run_takeover(new).await;
    assert_eq!(result.status, "completed");
    assert!(result.exposed_share < 0.2, "{}", result.exposed_share);
}

/// Runs a takeover under steady requests; returns its status and the numbers of requests that the
/// old and the new version got after it.
async fn run_small_takeover(new: Behaviour) -> (String, usize, usize) {
    let (site, door, [old]) = Site::with_servers(&Desired::default()).await;
    let vms = [("vm-1", "nord-a"), ("vm-2", "sud-a")];
    let gateways = site.gateways(vms, &door).await;
    let version = Entry {
        label: "v2",
        ..Entry::default()
    };
    let server = site.server("i-2", &version).await;
    server.set(new);
    operator::order_takeover(&site.store, "lookup", "v2", 6);
    let status = || operator::takeover_state(&site.store, "lookup");
    let end = Instant::now() + Duration::from_secs(12);
    let mut number = 0;
    while !matches!(status().as_str(), "completed" | "rolled_back") && Instant::now() < end {
        for gateway in &gateways {
            number += 1;
            gateway.request(&number.to_string(), "/a/").await;
        }
    }
    let final_status = status();
    // Until the decision has reached every VM.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let before = (old.runs().len(), server.runs().len());
    for gateway in &gateways {
        gateway.request("after", "/a/").await;
    }
    let after = (old.runs().len(), server.runs().len());
    (final_status, after.0 - before.0, after.1 - before.1)
}

/// Guards against a good version that is not completed before the deadline.
#[tokio::test]
async fn good_version_takes_over() {
    let (status, old, new) = run_small_takeover(Behaviour::default()).await;
    assert_eq!((status.as_str(), old, new), ("completed", 0, 2));
}

/// Guards against a failing version that stays in use.
#[tokio::test]
async fn failing_version_is_rolled_back() {
    let bad = Behaviour {
        status: 500,
        ..Behaviour::default()
    };
    let (status, old, new) = run_small_takeover(bad).await;
    assert_eq!((status.as_str(), old, new), ("rolled_back", 2, 0));
}
