//! Shutdown of an entry that other entries depend on, through separate processes.
//!
//! This test has its own file: beside the fleets of the quarantine tests, which are as large,
//! requests miss their deadlines on a busy machine.

use bench::topology::{ATLAS, Deployment, Service};
use integration::call::Call;
use integration::{Fleet, wait_until};
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

/// Guards against a shutdown of the entry that runs the trials interrupting a trial that another
/// entry forwarded to it.
#[tokio::test(flavor = "multi_thread")]
async fn stopping_entry_finishes_forwarded_trials() {
    let line = "POST /booking/bookings";
    let settings = "stop_spread: 500ms\nstop_cached: 500ms\n";
    let fleet = Fleet::start_with(BOOKING, 29_100, &[("entry", settings)]);
    fleet.publish("vm-01", "atlas").await;
    let key = String::from(fleet.issue_key("vm-01", "toubkal").await.key);
    // The other VM of the data centre runs the trials.
    let (entry, trial_entry) = (fleet.address("vm-08-entry", "listen"), "vm-02-entry");
    for vm in ["vm-02", "vm-08"] {
        let address = fleet.address(&format!("{vm}-entry"), "listen");
        wait_until("the entry serves the key", async || {
            Call::new(line, &key).send(address).await.outcome() == "served"
        })
        .await;
    }
    let call = Call::new(format!("{line}?odd"), &key);
    let crash = call.clone().with_header("x-crash", "1");
    assert_eq!(crash.send(entry).await.outcome(), "unknown: interrupted");
    // Longer than the steps of the shutdown, shorter than the deadlines of the trial and the route.
    for backend in fleet.backends("booking").await {
        if !fleet.log(&backend.name).contains("crashes this server") {
            fleet
                .set_behaviour(&backend, &json!({ "slowdown": 700.0 }))
                .await;
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
    wait_until("the trial runs", async || {
        fleet.log(trial_entry).contains("trial run on")
    })
    .await;
    fleet.signal(trial_entry, "TERM");
    assert_eq!(trial.await.expect("an outcome"), "served");
}
