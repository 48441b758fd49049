//! Releases under load through separate processes.

use base::unit::Moment;
use bench::args::Load;
use bench::topology::{ATLAS, Deployment, Service};
use hyper::Method;
use integration::{Fleet, examples, wait_until};
use operators::admin::Halt;
use operators::bundle::Files;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime};

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

/// Servers of each version.
const SERVERS: usize = 6;

/// Connections of the load, over all VMs.
const CONNECTIONS: u64 = 8;

/// Paths of the service's routes; a release needs requests on each.
const PATHS: [&str; 2] = ["/lookup/permits", "/lookup/notices"];

const FAST_RELEASE: &[(&str, &str)] = &[(
    "control",
    "release_soak: 500ms\nrelease_requests: 100\npoll_interval: 250ms\n",
)];

/// Returns the example files with a release of `lookup` that has `seconds` to finish.
fn files(seconds: u64) -> Files {
    let mut files = examples("atlas");
    let finish = Moment(SystemTime::now() + Duration::from_secs(seconds));
    let name: Box<str> = "lookup.yaml".into();
    let text = format!(
        "{}\nrelease: {{ id: r1, to: v2, steps: [10%, 50%, 100%], finish_by: {finish} }}\n",
        files[&name]
    );
    files.insert(name, text.into());
    files
}

fn requests(path: &str, key: &str, requests: usize) -> Load {
    Load {
        lookup: None,
        address: None,
        path: path.into(),
        method: "GET".into(),
        key: Some(key.into()),
        requests,
        connections: 2,
    }
}

/// Sends requests on both routes through two VMs until `done`; returns answers other than `served`.
async fn load(fleet: &Fleet, key: &str, done: &AtomicBool) -> Vec<String> {
    let through = async |vm: &str, path: &str| {
        let mut failures = Vec::new();
        while !done.load(Ordering::Relaxed) {
            let summary = fleet.load(vm, requests(path, key, 50)).await;
            let outcomes = summary.outcomes.into_iter();
            let other = outcomes.filter(|(name, _)| &**name != "served");
            failures.extend(other.map(|(name, count)| format!("{vm} {path} {name}: {count}")));
        }
        failures
    };
    let (a, b, c, d) = tokio::join!(
        through("vm-02", PATHS[0]),
        through("vm-02", PATHS[1]),
        through("vm-03", PATHS[0]),
        through("vm-03", PATHS[1]),
    );
    [a, b, c, d].concat()
}

async fn state(fleet: &Fleet, vm: &str) -> String {
    let status = fleet.admin(vm).status().await;
    let text = status.ok().and_then(|s| s.releases.get("r1").cloned());
    text.map(String::from).unwrap_or_default()
}

async fn served(fleet: &Fleet, label: &str) -> u64 {
    let mut sum = 0;
    for index in 1..=SERVERS {
        sum += fleet.served(&format!("lookup-{label}-{index:02}")).await;
    }
    sum
}

/// Returns the attempts that the servers of a version received, including shed ones.
async fn started(fleet: &Fleet, label: &str) -> u64 {
    let mut sum = 0;
    for index in 1..=SERVERS {
        let counts = fleet.counts(&format!("lookup-{label}-{index:02}")).await;
        sum += ["served", "shed", "cancelled"]
            .map(|name| counts[name].as_u64().expect("number"))
            .iter()
            .sum::<u64>();
    }
    sum
}

/// Returns the cap in a release state as a share of all requests.
fn cap(state: &str) -> f64 {
    if state.starts_with("complete") {
        return 1.0;
    }
    let percent = state
        .split_once("at most ")
        .and_then(|(_, rest)| rest.split_once('%'));
    percent.map_or(0.0, |(number, _)| {
        number.parse::<f64>().expect("number") / 100.0
    })
}

async fn start_release(fleet: &Fleet, seconds: u64) -> Box<str> {
    fleet.publish("vm-01", "atlas").await;
    let key = fleet.issue_key("vm-01", "toubkal").await.key;
    for vm in ["vm-02", "vm-03"] {
        for path in PATHS {
            wait_until("the VM serves the key", async || {
                let summary = fleet.load(vm, requests(path, &key, 1)).await;
                summary.outcomes.get("served") == Some(&1)
            })
            .await;
        }
    }
    fleet.publish_files("vm-01", 1, files(seconds)).await;
    key
}

/// Guards against a release of a good version that exceeds its cap at a sampled time, and against
/// requests that use the old version after completion because the service file still names it.
#[tokio::test(flavor = "multi_thread")]
async fn good_version_is_released_within_its_caps() {
    let fleet = Fleet::start_with(SMALL, 28_000, FAST_RELEASE);
    let key = start_release(&fleet, 20).await;
    let done = AtomicBool::new(false);
    let sampled = async {
        let (mut samples, mut highest) = (0, 0f64);
        loop {
            let new = started(&fleet, "v2").await;
            let old = started(&fleet, "v1").await;
            let state = state(&fleet, "vm-04").await;
            highest = highest.max(cap(&state));
            let most = highest * (old + new + CONNECTIONS) as f64;
            assert!(new as f64 <= most, "{new} of {old}+{new}: {state}");
            samples += 1;
            assert!(!state.starts_with("rolled back"), "{state}");
            if state.starts_with("complete") {
                break;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        done.store(true, Ordering::Relaxed);
        samples
    };
    let (failures, samples) = tokio::join!(load(&fleet, &key, &done), sampled);
    assert!(failures.is_empty(), "{failures:?}");
    assert!(samples > 10, "{samples} samples");
    wait_until("every VM knows that the release is complete", async || {
        let mut all = true;
        for vm in ["vm-01", "vm-02", "vm-03", "vm-04"] {
            all &= state(&fleet, vm).await.starts_with("complete");
        }
        all
    })
    .await;
    // The entries get a state shortly after the control process reports it.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let before = served(&fleet, "v1").await;
    let done = AtomicBool::new(false);
    let stop = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        done.store(true, Ordering::Relaxed);
    };
    let (failures, ()) = tokio::join!(load(&fleet, &key, &done), stop);
    assert!(failures.is_empty(), "{failures:?}");
    assert_eq!(served(&fleet, "v1").await, before);

    let mut files = examples("atlas");
    let name: Box<str> = "lookup.yaml".into();
    let named = files[&name].replace("current: v1", "current: v2");
    files.insert(name, named.into());
    let version = fleet.status("vm-01").await.version;
    let version = fleet.publish_files("vm-01", version, files).await;
    wait_until(
        "the publication that names the new version is done",
        async || {
            let status = fleet.status("vm-04").await;
            status.version == version && status.missing.is_empty()
        },
    )
    .await;
    for path in PATHS {
        let summary = fleet.load("vm-02", requests(path, &key, 100)).await;
        assert_eq!(summary.outcomes.get("served"), Some(&100), "{summary:?}");
    }
    assert_eq!(served(&fleet, "v1").await, before);
}

/// Guards against an entry that keeps using the new version while its control process is silent: it
/// may have missed a halt.
#[tokio::test(flavor = "multi_thread")]
async fn entry_without_contact_uses_the_old_version() {
    let fleet = Fleet::start_with(SMALL, 28_060, FAST_RELEASE);
    let key = start_release(&fleet, 60).await;
    let done = AtomicBool::new(false);
    let silent = async {
        wait_until("the new version serves", async || {
            served(&fleet, "v2").await > 0
        })
        .await;
        fleet.signal("vm-02-control", "STOP");
        fleet.signal("vm-03-control", "STOP");
        let halt = Halt {
            release: "r1".into(),
            reason: "test".into(),
        };
        fleet.admin("vm-01").halt(&halt).await.expect("halted");
        wait_until("the new version gets nothing any more", async || {
            let (new, old) = (served(&fleet, "v2").await, served(&fleet, "v1").await);
            wait_until("more requests are served", async || {
                served(&fleet, "v1").await > old + 500
            })
            .await;
            served(&fleet, "v2").await == new
        })
        .await;
        for control in ["vm-02-control", "vm-03-control"] {
            fleet.signal(control, "CONT");
        }
        done.store(true, Ordering::Relaxed);
    };
    tokio::join!(load(&fleet, &key, &done), silent);
}

/// Guards against a failing version that is not rolled back or gets requests after the halt.
#[tokio::test(flavor = "multi_thread")]
async fn bad_version_is_rolled_back() {
    let fleet = Fleet::start_with(SMALL, 28_200, FAST_RELEASE);
    let failing = serde_json::json!({ "failures": 0.5 });
    for index in 1..=SERVERS {
        let name = format!("lookup-v2-{index:02}");
        fleet.put_backend(&name, "/switch", &failing).await;
    }
    let key = start_release(&fleet, 30).await;
    let done = AtomicBool::new(false);
    let watched = async {
        wait_until("the release is rolled back", async || {
            state(&fleet, "vm-04").await.starts_with("rolled back")
        })
        .await;
        for vm in ["vm-02", "vm-03"] {
            wait_until("the VM that serves knows it", async || {
                state(&fleet, vm).await.starts_with("rolled back")
            })
            .await;
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        let (new, old) = (served(&fleet, "v2").await, served(&fleet, "v1").await);
        wait_until("more requests are served", async || {
            served(&fleet, "v1").await > old + 500
        })
        .await;
        assert_eq!(served(&fleet, "v2").await, new);
        assert!(new > 0, "the new version got no request");
        done.store(true, Ordering::Relaxed);
    };
    tokio::join!(load(&fleet, &key, &done), watched);
    let text = state(&fleet, "vm-01").await;
    assert!(text.contains("fails more often"), "{text}");
}

/// Guards against a release that stops when its owner is killed: another VM must complete it.
#[tokio::test(flavor = "multi_thread")]
async fn another_vm_completes_the_release_when_the_owner_dies() {
    let mut fleet = Fleet::start_with(SMALL, 28_400, FAST_RELEASE);
    let key = start_release(&fleet, 40).await;
    let done = AtomicBool::new(false);
    wait_until("the first step is under way", async || {
        state(&fleet, "vm-04").await.starts_with("step 1")
    })
    .await;
    let row = fleet
        .call_platform(Method::GET, "/table/release/r1", &serde_json::Value::Null)
        .await;
    let row: serde_json::Value = row.decode().expect("row");
    let owner = row["value"]["owner"].as_u64().expect("owner");
    let names = ["vm-01", "vm-02", "vm-03", "vm-04"];
    let writes = |vm: &&&str| {
        let log = fleet.log(&format!("{vm}-control"));
        log.contains(&format!("release r1: owner is this run, {owner}"))
    };
    let name = *names.iter().find(writes).expect("an owner");
    let control = format!("{name}-control");
    fleet.signal(&control, "KILL");
    fleet.wait_exit(&control);
    fleet.restart(&control);
    let other = if name == "vm-04" { "vm-01" } else { "vm-04" };
    let finished = async {
        wait_until("the release is complete", async || {
            state(&fleet, other).await.starts_with("complete")
        })
        .await;
        done.store(true, Ordering::Relaxed);
    };
    tokio::join!(load(&fleet, &key, &done), finished);
    let row = fleet
        .call_platform(Method::GET, "/table/release/r1", &serde_json::Value::Null)
        .await;
    let row: serde_json::Value = row.decode().expect("row");
    assert_ne!(row["value"]["owner"].as_u64(), Some(owner));
}

/// Guards against a halt that needs the store: other VMs must stop using the new version during an
/// outage.
#[tokio::test(flavor = "multi_thread")]
async fn halt_propagates_while_the_store_is_down() {
    let fleet = Fleet::start_with(SMALL, 28_600, FAST_RELEASE);
    let key = start_release(&fleet, 40).await;
    let done = AtomicBool::new(false);
    let halted = async {
        wait_until("the new version serves", async || {
            served(&fleet, "v2").await > 0
        })
        .await;
        let outage = serde_json::json!({ "outage": true });
        fleet.call_platform(Method::PUT, "/switch", &outage).await;
        let halt = Halt {
            release: "r1".into(),
            reason: "test".into(),
        };
        let halted = fleet.admin("vm-01").halt(&halt).await.expect("halted");
        assert!(!halted.durable);
        for vm in ["vm-02", "vm-03"] {
            wait_until("the halt is known", async || {
                state(&fleet, vm).await.starts_with("halted")
            })
            .await;
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        let (new, old) = (served(&fleet, "v2").await, served(&fleet, "v1").await);
        wait_until("more requests are served", async || {
            served(&fleet, "v1").await > old + 500
        })
        .await;
        assert_eq!(served(&fleet, "v2").await, new);
        let back = serde_json::json!({ "outage": false });
        fleet.call_platform(Method::PUT, "/switch", &back).await;
        wait_until("the roll-back is recorded", async || {
            state(&fleet, "vm-03").await.starts_with("rolled back")
        })
        .await;
        done.store(true, Ordering::Relaxed);
    };
    tokio::join!(load(&fleet, &key, &done), halted);
}
