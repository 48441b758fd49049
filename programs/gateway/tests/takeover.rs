//! Takeovers under load: several servers of each version, and callers that ask at the same time.

mod site;

use rstest::rstest;
use site::Site;
use standin_site::operator::{self, Desired};
use standin_site::server::{Behaviour, Entry, Server};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Servers of each version.
const SERVERS: usize = 6;
/// Callers of each gateway; together they keep two thirds of the slots of one version busy.
const CALLERS: usize = 12;
/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(250);
/// Work of an ordinary request; the latency objective of the route is 400 ms.
const WORK: Duration = Duration::from_millis(250);
/// Objects that requests concern.
const OBJECTS: usize = 24;
/// Term of the order in seconds.
const TERM: u32 = 12;

/// Result of a takeover.
struct Played {
    /// What the operator was told in the end.
    told: String,
    /// Share of the requests until then that the new version got.
    exposed: f64,
}

/// Orders a takeover by servers that behave like `new`, and plays it to its end.
async fn play(new: Behaviour) -> Played {
    let (site, door, old) = Site::with_servers::<SERVERS>(&Desired::default()).await;
    let ordinary = Behaviour {
        work: WORK,
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
                        .ask_about(&id, "/a/", Some("key-1"), &object)
                        .await;
                    tokio::time::sleep(PAUSE).await;
                }
            })
        })
        .collect();
    operator::order_takeover(&site.store, "lookup", "v2", TERM);
    let end = Instant::now() + Duration::from_secs(u64::from(TERM) * 2);
    let told = || operator::told(&site.store, "lookup");
    while !matches!(told().as_str(), "completed" | "rolled_back") && Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let runs = |servers: &[Server]| -> usize { servers.iter().map(|s| s.runs().len()).sum() };
    let (on_old, on_new) = (runs(&old), runs(&servers));
    ended.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.expect("a caller ends");
    }
    Played {
        told: told(),
        exposed: on_new as f64 / (on_old + on_new) as f64,
    }
}

/// Guards against a bad version that is completed because its worst requests end without an answer
/// or its servers are idle while it is judged.
#[rstest]
#[case::leaves_requests_unanswered(Behaviour { work: WORK, load: "", drops_one_of: 3, ..Behaviour::default() })]
#[case::fails_under_load(Behaviour { work: WORK, load: "", fails_from: 2, ..Behaviour::default() })]
#[case::slow(Behaviour { work: WORK * 4, load: "", ..Behaviour::default() })]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_version_is_rolled_back(#[case] new: Behaviour) {
    let played = play(new).await;
    assert_eq!(played.told, "rolled_back");
}

/// Guards against a good version that is rolled back because of the load it is judged under, and
/// against one that gets more than its share before it is judged.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn good_version_is_completed() {
    let new = Behaviour {
        work: WORK,
        load: "",
        ..Behaviour::default()
    };
    let played = play(new).await;
    assert_eq!(played.told, "completed");
    assert!(played.exposed < 0.2, "{}", played.exposed);
}
