//! A request that crashes backend servers, through separate processes.

use bench::topology::{ATLAS, Deployment, Service};
use hyper::Method;
use integration::call::Call;
use integration::{Fleet, wait_until};
use platform::list::{Backend, List};
use rstest::rstest;
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

const fn service(name: &'static str) -> Service {
    Service {
        name,
        servers: 12,
        slots: 3,
        service_ms: 5,
    }
}

/// Two VMs in each of the first two data centres, one in the others.
const LOOKUP: Deployment = Deployment {
    nodes: 8,
    services: &[service("lookup")],
    ..ATLAS
};
/// Service times are long enough that other requests are in flight at each crash.
const BUSY: Deployment = Deployment {
    services: &[Service {
        service_ms: 40,
        ..service("lookup")
    }],
    ..LOOKUP
};
const BOOKING: Deployment = Deployment {
    services: &[service("booking")],
    ..LOOKUP
};

/// Sends harmless requests through all VMs until `stop`; returns the outcomes.
async fn send_other_requests(
    line: &'static str,
    key: String,
    entries: Vec<SocketAddr>,
    stop: Arc<AtomicBool>,
) -> BTreeMap<String, usize> {
    let senders: Vec<_> = (0..6)
        .map(|sender| {
            let (key, entries, stop) = (key.clone(), entries.clone(), stop.clone());
            tokio::spawn(async move {
                let mut outcomes = Vec::new();
                for (number, address) in (0..).zip(entries.iter().cycle().skip(sender)) {
                    if stop.load(Ordering::Relaxed) {
                        break;
                    }
                    let call = Call::new(format!("{line}?other={sender}-{number}"), &key);
                    outcomes.push(call.send(*address).await.outcome());
                    tokio::time::sleep(Duration::from_millis(3)).await;
                }
                outcomes
            })
        })
        .collect();
    let mut outcomes = BTreeMap::new();
    for sender in senders {
        for outcome in sender.await.expect("outcomes") {
            *outcomes.entry(outcome).or_default() += 1;
        }
    }
    outcomes
}

async fn start(
    deployment: Deployment,
    line: &str,
    port: u16,
    settings: &str,
) -> (Fleet, String, Vec<SocketAddr>) {
    let fleet = Fleet::start_with(deployment, port, &[("entry", settings)]);
    fleet.publish("vm-01", "atlas").await;
    let key = String::from(fleet.issue_key("vm-01", "toubkal").await.key);
    let vms: Vec<_> = (1..=8).map(|n| format!("vm-{n:02}-entry")).collect();
    let entries: Vec<_> = vms.iter().map(|vm| fleet.address(vm, "listen")).collect();
    for entry in &entries {
        wait_until("the entry serves the key", async || {
            Call::new(line, &key).send(*entry).await.outcome() == "served"
        })
        .await;
    }
    (fleet, key, entries)
}

/// Limit of the pairs of requests that are sent until each of two servers runs one. The first pair
/// was on one server in 1 of 21 runs beside 8 busy processes.
const MAX_PAIRS: usize = 20;

async fn is_running_one(fleet: &Fleet, backend: &Backend) -> bool {
    fleet
        .sum_counts(std::slice::from_ref(backend), "in_flight")
        .await
        == 1
}

/// Guards against a harmless request that stays refused because it was in flight at a crash: its
/// trial clears it, also if its caller uses only a VM that runs no trials.
#[tokio::test(flavor = "multi_thread")]
async fn harmless_request_is_cleared_by_its_trial() {
    let line = "GET /lookup/permits";
    let (fleet, key, entries) = start(LOOKUP, line, 27_800, "").await;
    // The other VM of this one's data centre, `vm-02`, runs the trials.
    let entry = entries[7];
    let backends = fleet.backends("lookup").await;
    for backend in &backends {
        fleet
            .set_behaviour(backend, &json!({ "slowdown": 200.0 }))
            .await;
    }
    let list = fleet.call_platform(Method::GET, "/vms", &json!(null)).await;
    let list: List = list.decode().expect("the list");
    let vm = list.nodes.iter().find(|node| &*node.name == "vm-08");
    let data_centre = &vm.expect("the VM").data_centre;
    // The other version of the service gets no requests.
    let in_use = |b: &&Backend| b.data_centre == *data_centre && &*b.label == "v1";
    let local: Vec<_> = backends.iter().filter(in_use).collect();
    assert_eq!(local.len(), 2);
    let mut number = 0;
    let (harmless, sends) = loop {
        let harmless =
            [number, number + 1].map(|n| Call::new(format!("{line}?innocent={n}"), &key));
        number += 2;
        let sends = harmless
            .clone()
            .map(|call| tokio::spawn(async move { call.send(entry).await.outcome() }));
        wait_until("both requests run", async || {
            fleet.sum_counts(&backends, "in_flight").await == 2
        })
        .await;
        // Each server has three slots and may get both; then a crash of the other one affects
        // neither.
        if is_running_one(&fleet, local[0]).await && is_running_one(&fleet, local[1]).await {
            println!("pairs of requests sent: {}", number / 2);
            break (harmless, sends);
        }
        assert!(
            number < 2 * MAX_PAIRS,
            "one server ran both requests each time"
        );
        for send in sends {
            assert_eq!(send.await.expect("an outcome"), "served");
        }
    };
    let crash = Call::new(format!("{line}?crash"), &key).with_header("x-crash", "1");
    assert_eq!(crash.send(entry).await.outcome(), "unknown: interrupted");
    let mut outcomes = Vec::new();
    for send in sends {
        outcomes.push(send.await.expect("an outcome"));
    }
    outcomes.sort();
    assert_eq!(outcomes, ["served", "unknown: interrupted"]);
    for call in &harmless {
        wait_until("the request is served again", async || {
            let outcome = call.send(entry).await.outcome();
            assert_ne!(outcome, "not-run: quarantined");
            outcome == "served"
        })
        .await;
    }
    assert!(fleet.log("vm-02-entry").contains("trial run on"));
}

/// Guards against a trial server that never answers and so keeps a request suspected forever.
#[tokio::test(flavor = "multi_thread")]
async fn paused_trial_server_is_replaced() {
    let line = "GET /lookup/permits";
    let settings = "read_timeout: 500ms\n";
    let (fleet, key, entries) = start(LOOKUP, line, 27_900, settings).await;
    let (entry, trial_entry) = (entries[7], "vm-02-entry");
    // The only other request of this digest crashed its server, so the digest is suspected.
    let call = Call::new(format!("{line}?odd"), &key);
    let crash = call.clone().with_header("x-crash", "1");
    assert_eq!(crash.send(entry).await.outcome(), "unknown: interrupted");
    let mark = " is left free";
    wait_until("a trial server is reserved", async || {
        call.send(entry).await;
        fleet.log(trial_entry).contains(mark)
    })
    .await;
    let log = fleet.log(trial_entry);
    let before = log.split(mark).next().expect("a line");
    let server = before.rsplit(' ').next().expect("its name").to_owned();
    fleet.signal(&server, "STOP");
    wait_until("a trial on another server clears the request", async || {
        call.send(entry).await.outcome() == "served"
    })
    .await;
    fleet.signal(&server, "CONT");
    assert!(fleet.log(trial_entry).matches(mark).count() > 1);
}

/// Guards against a request that crashes more than 2 servers in a data centre or 3 in all, also on
/// an idempotent route, whose requests are retried, and against failures of other requests
/// meanwhile.
#[rstest]
#[case::idempotent(LOOKUP, "GET /lookup/permits", 27_600)]
#[case::once(BOOKING, "POST /booking/bookings", 27_700)]
#[case::busy(BUSY, "GET /lookup/permits", 27_400)]
#[tokio::test(flavor = "multi_thread")]
async fn crashing_request_kills_few_servers(
    #[case] deployment: Deployment,
    #[case] line: &'static str,
    #[case] port: u16,
) {
    let (mut fleet, key, entries) = start(deployment, line, port, "").await;
    let data_centres: BTreeMap<Box<str>, Box<str>> = fleet
        .backends(deployment.services[0].name)
        .await
        .into_iter()
        .map(|backend| (backend.name, backend.data_centre))
        .collect();
    let stop = Arc::new(AtomicBool::new(false));
    let background = send_other_requests(line, key.clone(), entries.clone(), stop.clone());
    let background = tokio::spawn(background);

    let crash = Call::new(format!("{line}?crash"), &key).with_header("x-crash", "1");
    let mut killed: BTreeMap<Box<str>, usize> = BTreeMap::new();
    let mut refused = 0;
    let mut crash_outcomes = BTreeMap::new();
    // All VMs refuse it permanently once as many sends as there are VMs were refused in a row.
    for entry in entries.iter().cycle().take(2000) {
        let outcome = crash.send(*entry).await.outcome();
        refused = if outcome == "not-run: quarantined" {
            refused + 1
        } else {
            0
        };
        *crash_outcomes.entry(outcome).or_insert(0) += 1;
        for name in fleet.exited() {
            *killed.entry(data_centres[&name].clone()).or_default() += 1;
            fleet.restart(&name);
        }
        if refused > 2 * entries.len() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    stop.store(true, Ordering::Relaxed);
    let outcomes = background.await.expect("outcomes");
    println!("killed {killed:?}, crashing request {crash_outcomes:?}, others {outcomes:?}");
    assert!(
        refused > 2 * entries.len(),
        "not quarantined: {crash_outcomes:?}"
    );
    assert!(killed.values().all(|count| *count <= 2), "{killed:?}");
    assert!(killed.values().sum::<usize>() <= 3, "{killed:?}");
    // At each crash, at most the other two slots of the server had other requests.
    let total: usize = outcomes.values().sum();
    assert!(outcomes["served"] + 2 * 3 >= total, "{outcomes:?}");
    // A restarted entry must not run a request that the others quarantined.
    fleet.signal("vm-08-entry", "KILL");
    fleet.wait_exit("vm-08-entry");
    fleet.restart("vm-08-entry");
    wait_until("the fresh entry answers", async || {
        let outcome = crash.send(entries[7]).await.outcome();
        let starting = ["", "not-run: no-route", "not-run: unauthorised"].contains(&&*outcome);
        assert!(starting || outcome == "not-run: quarantined", "{outcome}");
        !starting
    })
    .await;
    assert_eq!(fleet.exited(), [], "a server crashed");
    for entry in &entries {
        let after = Call::new(line, &key).send(*entry).await;
        assert_eq!(after.outcome(), "served");
    }
}
