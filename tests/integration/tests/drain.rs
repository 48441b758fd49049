//! Drains of backend servers and shutdowns of entries through separate processes.

use base::http::client::Target;
use bench::args::Load;
use bench::topology::{ATLAS, Deployment, Service};
use callers::answer::Answer;
use hyper::{Method, StatusCode};
use integration::call::Call;
use integration::{Fleet, wait_until};
use operators::admin::{Drain, Error, Undrain};
use serde_json::json;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

const SMALL: Deployment = Deployment {
    nodes: 4,
    services: &[Service {
        name: "lookup",
        servers: 6,
        slots: 3,
        service_ms: 5,
    }],
    ..ATLAS
};

const VMS: [&str; 4] = ["vm-01", "vm-02", "vm-03", "vm-04"];

/// Short shutdown times; `stop_cached` covers one burst of the load.
const SHUTDOWN_SETTINGS: &[(&str, &str)] = &[
    ("entry", "stop_cached: 2s\n"),
    ("lookup", "stop_wait: 2s\n"),
];

async fn start_serving(fleet: &Fleet) -> Box<str> {
    fleet.publish("vm-01", "atlas").await;
    let key = fleet.issue_key("vm-01", "toubkal").await.key;
    for vm in VMS {
        wait_until("the VM serves the key", async || {
            let summary = fleet.load(vm, requests(&key, 1)).await;
            summary.outcomes.get("served") == Some(&1)
        })
        .await;
    }
    key
}

fn requests(key: &str, requests: usize) -> Load {
    Load {
        lookup: None,
        address: None,
        path: "/lookup/permits".into(),
        method: "GET".into(),
        key: Some(key.into()),
        requests,
        connections: 4,
    }
}

/// Returns the VMs that the lookup program of a VM lists.
async fn listed_vms(fleet: &Fleet, vm: &str) -> Vec<Box<str>> {
    let target = Target {
        address: fleet.address(&format!("{vm}-lookup"), "listen"),
        timeout: Duration::from_secs(5),
        authorization: None,
    };
    let answer = target.call(Method::GET, "/v1/entries", "").await;
    let answer: Answer = answer.expect("an answer").decode().expect("entries");
    answer.entries.into_iter().map(|entry| entry.vm).collect()
}

/// Guards against requests to a drained server from any VM, a status without the drain time, and an
/// accepted drain of an unknown server.
#[tokio::test(flavor = "multi_thread")]
async fn drained_servers_get_no_more_work() {
    let fleet = Fleet::start(SMALL, 28_800);
    let key = start_serving(&fleet).await;
    let admin = fleet.admin("vm-02");
    let servers = vec!["lookup-v1-01".into(), "lookup-v1-02".into()];
    let drained = admin.drain(&Drain { servers }).await.expect("accepted");
    let text = async || {
        let status = fleet.admin("vm-03").status().await.expect("status");
        status.drains.get(&drained.id).cloned().unwrap_or_default()
    };
    wait_until("the drain is done", async || {
        text().await.contains("2 of 2 servers done, took")
    })
    .await;
    let served = async || {
        (
            fleet.served("lookup-v1-01").await,
            fleet.served("lookup-v1-02").await,
        )
    };
    let before = served().await;
    for vm in VMS {
        let summary = fleet.load(vm, requests(&key, 100)).await;
        assert_eq!(summary.outcomes.get("served"), Some(&100), "{summary:?}");
    }
    assert_eq!(served().await, before);

    let servers = vec!["no-such".into()];
    let refused = admin.drain(&Drain { servers }).await;
    assert!(
        matches!(&refused, Err(Error::Refused(StatusCode::NOT_FOUND, _))),
        "{refused:?}"
    );
    let id = drained.id.clone();
    admin.undrain(&Undrain { id }).await.expect("ended");
    wait_until("the server serves again", async || {
        fleet.load("vm-01", requests(&key, 50)).await;
        served().await.0 > before.0
    })
    .await;
}

/// Guards against a drain that leaves too little headroom: under load, a drain of all servers but
/// one must be refused with the reason.
#[tokio::test(flavor = "multi_thread")]
async fn drain_without_headroom_is_refused() {
    let fleet = Fleet::start(SMALL, 28_870);
    let key = start_serving(&fleet).await;
    let done = AtomicBool::new(false);
    let load = async {
        while !done.load(Ordering::Relaxed) {
            fleet.load("vm-01", requests(&key, 200)).await;
        }
    };
    let refused = async {
        let admin = fleet.admin("vm-01");
        wait_until("the demand is known and the drain refused", async || {
            let servers = (1..=5).map(|n| format!("lookup-v1-{n:02}").into());
            let servers = servers.collect();
            match admin.drain(&Drain { servers }).await {
                Err(Error::Refused(StatusCode::CONFLICT, reason)) => {
                    assert!(reason.contains("service `lookup` would keep"), "{reason}");
                    true
                }
                Ok(drained) => {
                    let id = drained.id;
                    admin.undrain(&Undrain { id }).await.expect("ended");
                    false
                }
                Err(error) => panic!("{error}"),
            }
        })
        .await;
        done.store(true, Ordering::Relaxed);
    };
    tokio::join!(load, refused);
}

/// Guards against requests lost by a planned shutdown of an entry, for callers that use the lookup.
#[tokio::test(flavor = "multi_thread")]
async fn stopping_entry_interrupts_no_request() {
    let mut fleet = Fleet::start_with(SMALL, 28_940, SHUTDOWN_SETTINGS);
    let key = start_serving(&fleet).await;
    assert!(listed_vms(&fleet, "vm-02").await.contains(&"vm-01".into()));
    let done = AtomicBool::new(false);
    let lookup = Some(fleet.address("vm-02-lookup", "listen"));
    let vm = fleet.address("vm-01-entry", "listen");
    let load = async {
        let mut failures = Vec::new();
        let mut sent = 0;
        while !done.load(Ordering::Relaxed) {
            // Each burst sends a new lookup request and ends long before the answer expires.
            let load = Load {
                lookup,
                connections: 8,
                ..requests(&key, 40)
            };
            let summary = bench::load::run(load).await.expect("a summary");
            sent += 40;
            failures.extend(
                summary
                    .outcomes
                    .into_iter()
                    .filter(|(n, _)| &**n != "served"),
            );
        }
        (failures, sent)
    };
    let stopped = async {
        fleet.signal("vm-01-entry", "TERM");
        wait_until("no look-up names the VM", async || {
            let mut none = true;
            for other in VMS {
                none &= !listed_vms(&fleet, other).await.contains(&"vm-01".into());
            }
            none
        })
        .await;
        wait_until("the entry is gone", async || {
            tokio::net::TcpStream::connect(vm).await.is_err()
        })
        .await;
        done.store(true, Ordering::Relaxed);
    };
    let ((failures, sent), ()) = tokio::join!(load, stopped);
    assert!(failures.is_empty(), "{failures:?}");
    assert!(sent > 0);
    assert!(
        fleet.wait_exit("vm-01-entry"),
        "the entry ends with success"
    );
}

/// Guards against a request that a stopping entry accepts although the entry exits first: it must
/// be refused without running, so that the caller can use another entry.
#[tokio::test(flavor = "multi_thread")]
async fn stopping_entry_refuses_requests_that_outlast_it() {
    const BOOKING: Deployment = Deployment {
        services: &[
            SMALL.services[0],
            Service {
                name: "booking",
                servers: 4,
                slots: 3,
                service_ms: 5,
            },
        ],
        ..SMALL
    };
    // The shutdown ends within 3 s of the last lookup; the deadline of the route is 5 s.
    let settings = [("entry", "stop_cached: 2s\ndrain_timeout: 1s\n")];
    let fleet = Fleet::start_with(BOOKING, 28_700, &settings);
    let key = start_serving(&fleet).await;
    let entry = fleet.address("vm-01-entry", "listen");
    let booking = Call::new("POST /booking/bookings", &key);
    wait_until("a booking is served", async || {
        booking.send(entry).await.outcome() == "served"
    })
    .await;
    let backends = fleet.backends("booking").await;
    fleet.signal("vm-01-entry", "TERM");
    wait_until("the entry has begun to stop", async || {
        fleet.log("vm-01-entry").contains("cached look-up answers")
    })
    .await;
    let short = booking.clone().with_header("x-deadline-ms", "500");
    assert_eq!(short.send(entry).await.outcome(), "served");
    let before = fleet.sum_counts(&backends, "served").await;
    for backend in &backends {
        fleet
            .set_behaviour(backend, &json!({ "slowdown": 900.0 }))
            .await;
    }
    let reply = booking.send(entry).await;
    assert_eq!(reply.outcome(), "not-run: stopping");
    assert_eq!(fleet.sum_counts(&backends, "cancelled").await, 0);
    assert_eq!(fleet.sum_counts(&backends, "served").await, before);
}

/// Guards against a stopping entry that does not exit immediately on a second signal.
#[tokio::test(flavor = "multi_thread")]
async fn second_signal_stops_at_once() {
    let mut fleet = Fleet::start_with(SMALL, 28_120, &[("entry", "stop_cached: 1h\n")]);
    start_serving(&fleet).await;
    fleet.signal("vm-01-entry", "TERM");
    wait_until("the entry has begun to stop", async || {
        fleet.log("vm-01-entry").contains("cached look-up answers")
    })
    .await;
    fleet.signal("vm-01-entry", "TERM");
    assert!(
        !fleet.wait_exit("vm-01-entry"),
        "the entry exits with an error status"
    );
}
