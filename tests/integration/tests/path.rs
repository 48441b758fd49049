//! A request from publication to answer through separate processes.

use bench::args::Load;
use bench::topology::{ATLAS, Deployment, Service};
use hyper::Method;
use integration::{Fleet, wait_until};
use operators::admin::Withdraw;

const SMALL: Deployment = Deployment {
    nodes: 4,
    services: &[Service {
        name: "lookup",
        servers: 6,
        slots: 3,
        service_ms: 1,
    }],
    ..ATLAS
};

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

/// Guards against failures between publication and answer, keys that appear in logs, and a
/// withdrawn key that still works.
#[tokio::test(flavor = "multi_thread")]
async fn request_is_served_and_withdrawn_key_is_refused() {
    let fleet = Fleet::start(SMALL, 22_000);
    fleet.publish("vm-01", "atlas").await;
    let issued = fleet.issue_key("vm-01", "toubkal").await;
    let key = &*issued.key;
    wait_until("another VM serves the key", async || {
        fleet
            .load("vm-02", requests(key, 1))
            .await
            .outcomes
            .get("served")
            == Some(&1)
    })
    .await;

    let summary = fleet.load("vm-02", requests(key, 100)).await;
    assert_eq!(summary.outcomes.get("served"), Some(&100), "{summary:?}");
    for program in [
        "vm-01-control",
        "vm-02-control",
        "vm-02-entry",
        "vm-02-lookup",
    ] {
        assert!(!fleet.log(program).contains(key), "{program} logs a key");
    }

    fleet
        .admin("vm-01")
        .withdraw(&Withdraw { id: issued.id })
        .await
        .expect("withdrawn");
    wait_until("the other VM refuses the key", async || {
        let outcomes = fleet.load("vm-02", requests(key, 1)).await.outcomes;
        outcomes.get("not-run: unauthorised") == Some(&1)
    })
    .await;
}

/// Guards against failed requests during a store outage, also through an entry that restarts
/// without the store.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_while_the_store_is_down() {
    let mut fleet = Fleet::start(SMALL, 22_200);
    fleet.publish("vm-01", "atlas").await;
    let key = fleet.issue_key("vm-01", "toubkal").await.key;
    let served = async || {
        fleet
            .load("vm-03", requests(&key, 1))
            .await
            .outcomes
            .get("served")
            == Some(&1)
    };
    wait_until("the VM serves the key", served).await;

    let outage = serde_json::json!({ "outage": true });
    fleet.call_platform(Method::PUT, "/switch", &outage).await;
    let summary = fleet.load("vm-03", requests(&key, 50)).await;
    assert_eq!(summary.outcomes.get("served"), Some(&50), "{summary:?}");

    fleet.signal("vm-03-entry", "KILL");
    fleet.wait_exit("vm-03-entry");
    fleet.restart("vm-03-entry");
    wait_until("the restarted entry serves", async || {
        fleet
            .load("vm-03", requests(&key, 1))
            .await
            .outcomes
            .get("served")
            == Some(&1)
    })
    .await;
}

/// Guards against a program that does not exit with success on SIGTERM.
#[tokio::test(flavor = "multi_thread")]
async fn programs_stop_on_sigterm() {
    let mut fleet = Fleet::start(SMALL, 22_400);
    fleet.publish("vm-01", "atlas").await;
    for program in [
        "vm-01-entry",
        "vm-01-lookup",
        "vm-01-control",
        "lookup-v1-01",
        "platform",
    ] {
        fleet.signal(program, "TERM");
        assert!(fleet.wait_exit(program), "{program} ends with success");
    }
}
