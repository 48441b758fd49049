//! Stop of an entry that other entries depend on, through separate processes.
//!
//! In a file of its own: beside the fleets of the quarantine tests, which are as large, requests there miss
//! their deadlines on a busy machine.

use bench::topology::{ATLAS, Deployment, Service};
use integration::call::Call;
use integration::{Fleet, until};
use serde_json::json;
use std::time::Duration;

/// Two VMs in each of the first two data centres, one in the others.
const BOOKING: Deployment = Deployment {
    nodes: 8,
    services: &[Service {
        name: "booking",
        servers: 12,
        slots: 3,
        service_ms: 5,
    }],
    ..ATLAS
};

/// Guards against a stop of the entry that runs the trials which cuts a trial for another entry.
#[tokio::test(flavor = "multi_thread")]
async fn stopping_keeper_finishes_what_was_passed_to_it() {
    let line = "POST /booking/bookings";
    let settings = "stop_spread: 500ms\nstop_cached: 500ms\n";
    let fleet = Fleet::start_with(BOOKING, 29_100, &[("entry", settings)]);
    fleet.publish("vm-01", "atlas").await;
    let key = String::from(fleet.issue("vm-01", "toubkal").await.key);
    // The other VM of the data centre runs the trials.
    let (entry, keeper) = (fleet.address("vm-08-entry", "listen"), "vm-02-entry");
    for vm in ["vm-02", "vm-08"] {
        let address = fleet.address(&format!("{vm}-entry"), "listen");
        until("the entry serves the key", async || {
            Call::new(line, &key).send(address).await.outcome() == "served"
        })
        .await;
    }
    let call = Call::new(format!("{line}?odd"), &key);
    let crash = call.clone().with("x-crash", "1");
    assert_eq!(crash.send(entry).await.outcome(), "unknown: interrupted");
    // Longer than the steps of the stop, shorter than the deadlines of the trial and the route.
    for backend in fleet.backends("booking").await {
        if !fleet.log(&backend.name).contains("crashes this server") {
            fleet.switch(&backend, &json!({ "slowdown": 700.0 })).await;
        }
    }
    let trial = tokio::spawn(async move {
        loop {
            let outcome = call.send(entry).await.outcome();
            if outcome != "not-run: suspected" {
                return outcome;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
    until("the trial runs", async || {
        fleet.log(keeper).contains("trial run on")
    })
    .await;
    fleet.signal(keeper, "TERM");
    assert_eq!(trial.await.expect("an outcome"), "served");
}
