//! Backend servers that leave, fail or are full, and entries that share their slots.

use bench::args::Load;
use bench::load::Summary;
use bench::topology::{ATLAS, Deployment, Service};
use hyper::Method;
use integration::{Fleet, wait_until};
use operators::admin::Withdraw;
use std::io::Write;
use std::net::TcpStream;

/// Two servers a data centre; `vm-01` and `vm-07` share one data centre.
const FLEET: Deployment = Deployment {
    nodes: 7,
    services: &[LOOKUP],
    ..ATLAS
};

const LOOKUP: Service = Service {
    name: "lookup",
    servers: 12,
    slots: 3,
    service_ms: 5,
};

const SINGLE: Deployment = Deployment {
    services: &[Service {
        slots: 1,
        service_ms: 2,
        ..LOOKUP
    }],
    ..FLEET
};

/// A service whose requests may wait for a minute.
const QUEUED: Deployment = Deployment {
    services: &[Service {
        name: "reconciliation",
        slots: 1,
        service_ms: 2,
        ..LOOKUP
    }],
    ..FLEET
};

const PERMITS: (&str, &str) = ("GET", "/lookup/permits");
const RUNS: (&str, &str) = ("POST", "/reconciliation/runs");

fn requests(key: &str, count: usize) -> Load {
    Load {
        lookup: None,
        address: None,
        path: "/lookup/permits".into(),
        method: "GET".into(),
        key: Some(key.into()),
        requests: count,
        connections: 4,
    }
}

fn all_served(summary: &Summary, count: usize) -> bool {
    summary.outcomes.get("served") == Some(&count)
}

/// Publishes, issues a key and waits until all `vms` serve it.
async fn start_serving(fleet: &Fleet, vms: &[&str], route: (&str, &str)) -> Box<str> {
    fleet.publish("vm-01", "atlas").await;
    let key = fleet.issue_key("vm-01", "toubkal").await.key;
    for vm in vms {
        wait_until("the VM serves the key", async || {
            let load = Load {
                method: route.0.into(),
                path: route.1.into(),
                ..requests(&key, 20)
            };
            all_served(&fleet.load(vm, load).await, 20)
        })
        .await;
    }
    key
}

async fn count(fleet: &Fleet, server: &str, name: &str) -> u64 {
    let answer = fleet.call_backend(server, Method::GET, "/counts", "").await;
    let counts: serde_json::Value = answer.decode().expect("counts");
    counts[name].as_u64().expect("count")
}

async fn set_behaviour(fleet: &Fleet, server: &str, behaviour: &str) {
    let answer = fleet.call_backend(server, Method::PUT, "/switch", behaviour);
    assert!(answer.await.status.is_success());
}

/// Guards against requests to a server that has announced that it leaves, while the list reports it
/// as live.
///
/// Its health endpoint lags, so at first only its refusal of a request shows that it leaves.
/// Afterwards the server would run requests, so that its count shows each request sent to it.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_server_gets_no_further_requests() {
    let fleet = Fleet::start(FLEET, 26_000);
    let key = start_serving(&fleet, &["vm-01"], PERMITS).await;
    let leaving = "lookup-v1-01";
    set_behaviour(
        &fleet,
        leaving,
        r#"{"leaving": true, "reported_health": true}"#,
    )
    .await;
    wait_until("the server refuses a request", async || {
        let summary = fleet.load("vm-01", requests(&key, 20)).await;
        assert!(all_served(&summary, 20), "{summary:?}");
        count(&fleet, leaving, "shed").await > 0
    })
    .await;
    set_behaviour(&fleet, leaving, r#"{"reported_health": false}"#).await;
    let served = count(&fleet, leaving, "served").await;
    let summary = fleet.load("vm-01", requests(&key, 100)).await;
    assert!(all_served(&summary, 100), "{summary:?}");
    assert_eq!(count(&fleet, leaving, "served").await, served);
}

/// Guards against an error for callers of an idempotent route when a server dies under load.
#[tokio::test(flavor = "multi_thread")]
async fn killed_server_causes_no_error_on_idempotent_route() {
    let fleet = Fleet::start(FLEET, 26_150);
    let key = start_serving(&fleet, &["vm-01"], PERMITS).await;
    // These fill the retry budget for the requests that the killed server has.
    let summary = fleet.load("vm-01", requests(&key, 200)).await;
    assert!(all_served(&summary, 200), "{summary:?}");
    let served = count(&fleet, "lookup-v1-01", "served").await;
    let kill = async {
        wait_until("the server is at work", async || {
            count(&fleet, "lookup-v1-01", "served").await > served
        })
        .await;
        fleet.signal("lookup-v1-01", "KILL");
    };
    let (summary, ()) = tokio::join!(fleet.load("vm-01", requests(&key, 1000)), kill);
    assert!(all_served(&summary, 1000), "{summary:?}");
    assert!(fleet.metric("vm-01", "retries_total").await > 0.0);
}

/// Guards against entries that together send a server more requests than it has slots.
#[tokio::test(flavor = "multi_thread")]
async fn entries_share_single_slots() {
    const VMS: [&str; 7] = [
        "vm-01", "vm-02", "vm-03", "vm-04", "vm-05", "vm-06", "vm-07",
    ];
    let fleet = Fleet::start(SINGLE, 26_300);
    let key = start_serving(&fleet, &VMS, PERMITS).await;
    let loads = VMS.map(|vm| fleet.load(vm, requests(&key, 150)));
    let summaries = futures::future::join_all(loads).await;
    for (vm, summary) in VMS.iter().zip(summaries) {
        assert!(all_served(&summary, 150), "{vm}: {summary:?}");
    }
    for index in 1..=12 {
        let server = format!("lookup-v1-{index:02}");
        assert!(count(&fleet, &server, "served").await > 0, "{server}");
        assert_eq!(count(&fleet, &server, "peak").await, 1, "{server}");
        assert_eq!(count(&fleet, &server, "shed").await, 0, "{server}");
    }
}

/// Guards against refusals in a data centre without live servers while other data centres have
/// capacity: first in the same region, then over a link.
#[tokio::test(flavor = "multi_thread")]
async fn other_data_centres_serve_when_local_servers_are_dead() {
    let fleet = Fleet::start(FLEET, 26_450);
    let key = start_serving(&fleet, &["vm-03"], PERMITS).await;
    for dead in [
        ["lookup-v1-03", "lookup-v1-09"],
        ["lookup-v1-04", "lookup-v1-10"],
    ] {
        let before = fleet.metric("vm-03", "spilled_total").await;
        for server in dead {
            fleet.signal(server, "KILL");
        }
        wait_until("other data centres serve", async || {
            all_served(&fleet.load("vm-03", requests(&key, 50)).await, 50)
        })
        .await;
        assert!(fleet.metric("vm-03", "spilled_total").await >= before + 50.0);
    }
    assert!(fleet.metric("vm-03", "link_bytes_total").await > 0.0);
}

/// Guards against slots that stay in use, and requests that still run, after a caller has
/// disconnected.
#[tokio::test(flavor = "multi_thread")]
async fn cancelled_request_frees_its_slot() {
    let fleet = Fleet::start(QUEUED, 26_600);
    let key = start_serving(&fleet, &["vm-01"], RUNS).await;
    let servers = ["reconciliation-v1-01", "reconciliation-v1-07"];
    for server in servers {
        // A request takes 4 s, far from its deadline of 60 s and within the entry's read timeout.
        set_behaviour(&fleet, server, r#"{"slowdown": 2000.0}"#).await;
    }
    let entry = fleet.address("vm-01-entry", "listen");
    let request = format!(
        "POST /reconciliation/runs HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {key}\r\n\
         content-length: 0\r\n\r\n"
    );
    // On a slow machine, a request may end before its caller disconnects; then another one is sent.
    wait_until("a server gives a request up", async || {
        let mut caller = TcpStream::connect(entry).expect("connection");
        caller.write_all(request.as_bytes()).expect("request");
        wait_until("the request holds a slot", async || {
            fleet.metric("vm-01", "slots_in_use").await > 0.0
        })
        .await;
        drop(caller);
        wait_until("the slot is free", async || {
            fleet.metric("vm-01", "slots_in_use").await == 0.0
        })
        .await;
        let mut cancelled = 0;
        for server in servers {
            cancelled += count(&fleet, server, "cancelled").await;
        }
        cancelled > 0
    })
    .await;
}

/// Guards against running a request whose key is withdrawn while it waits for a slot.
#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_key_ends_requests_that_wait_for_a_slot() {
    let fleet = Fleet::start(QUEUED, 26_750);
    fleet.publish("vm-01", "atlas").await;
    let issued = fleet.issue_key("vm-01", "toubkal").await;
    let runs = |count| Load {
        path: "/reconciliation/runs".into(),
        method: "POST".into(),
        connections: 3,
        ..requests(&issued.key, count)
    };
    wait_until("the VM serves the key", async || {
        all_served(&fleet.load("vm-01", runs(20)).await, 20)
    })
    .await;
    for server in ["reconciliation-v1-01", "reconciliation-v1-07"] {
        // A request takes 4 s, so that the key is withdrawn before a slot becomes free. After 5 s
        // without a byte the entry would give up the connection.
        set_behaviour(&fleet, server, r#"{"slowdown": 2000.0}"#).await;
    }
    let withdraw = async {
        wait_until("both slots are taken", async || {
            fleet.metric("vm-01", "slots_in_use").await == 2.0
        })
        .await;
        let id = issued.id.clone();
        let withdrawn = fleet.admin("vm-01").withdraw(&Withdraw { id }).await;
        withdrawn.expect("withdrawn");
    };
    let (summary, ()) = tokio::join!(fleet.load("vm-01", runs(3)), withdraw);
    let refused = summary.outcomes.get("not-run: unauthorised");
    assert_eq!(refused, Some(&1), "{summary:?}");
    assert_eq!(summary.outcomes.get("served"), Some(&2), "{summary:?}");
}

/// Guards against a slow server that is not detected: a data centre has two servers, too few to
/// compare, so the entries must exchange latencies.
#[tokio::test(flavor = "multi_thread")]
async fn slow_server_is_ejected_by_comparison_across_data_centres() {
    const VMS: [&str; 4] = ["vm-01", "vm-02", "vm-03", "vm-04"];
    let fleet = Fleet::start(FLEET, 26_850);
    let key = start_serving(&fleet, &VMS, PERMITS).await;
    set_behaviour(&fleet, "lookup-v1-01", r#"{"slowdown": 20.0}"#).await;
    wait_until("the slow server is ejected", async || {
        let loads = VMS.map(|vm| fleet.load(vm, requests(&key, 300)));
        for summary in futures::future::join_all(loads).await {
            assert!(all_served(&summary, 300), "{summary:?}");
        }
        fleet.metric("vm-01", "ejections_total").await > 0.0
    })
    .await;
}
