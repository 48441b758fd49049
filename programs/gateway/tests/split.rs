//! Routes that split their requests among services, and uploads.

#[allow(dead_code, reason = "other tests use the rest of the site")]
mod site;

use futures::future::join_all;
use hyper::StatusCode;
use operators::gateway::State;
use rstest::rstest;
use site::{Gateway, Site, get, wait_until};
use standin_site::operator::{Desired, Route};
use standin_site::server::{Behaviour, Entry, Server};
use std::time::Duration;

/// Requests of one run.
const REQUESTS: usize = 200;
/// Uploads of one run, each for an object of its own, so that both servers get some.
const UPLOADS: usize = 20;
/// Largest allowed difference of a service's share from its weight.
const MAX_DIFFERENCE: f64 = 0.1;

/// Configuration with one route that is split.
const SPLIT: Desired = desired(1, &[split(&[("lookup", 90), ("booking", 10)])]);
/// The same with other weights.
const CHANGED: Desired = desired(2, &[split(&[("lookup", 30), ("booking", 70)])]);

/// A route whose requests are uploads.
const UPLOAD: Route = Route {
    upload: true,
    ..Route::PLAIN
};

const fn desired(version: u32, routes: &'static [Route]) -> Desired {
    Desired {
        version,
        host: "a.example",
        keys: &["key-1"],
        routes,
        max_body_bytes: 65_536,
        rate: 0,
        burst: 0,
    }
}

const fn split(parts: &'static [(&'static str, u32)]) -> Route {
    Route {
        split: parts,
        ..Route::PLAIN
    }
}

/// Starts a site with a server of each service and one ready gateway.
async fn start(desired: &Desired) -> (Site, [Server; 2], Gateway) {
    let site = Site::new();
    let door = site.store_endpoint().await;
    site.publish(desired);
    let lookup = site.server("i-1", &Entry::default()).await;
    let entry = Entry {
        service: "booking",
        ..Entry::default()
    };
    let booking = site.server("i-2", &entry).await;
    let gateway = site.gateway("vm-1", "nord-a", &door).await;
    gateway.wait_ready().await;
    (site, [lookup, booking], gateway)
}

/// Sends requests one after the other; returns the statuses.
async fn statuses(gateway: &Gateway, name: &str) -> Vec<StatusCode> {
    let mut statuses = Vec::new();
    for number in 0..REQUESTS {
        let id = format!("{name}-{number}");
        let answer = gateway.request(&id, "/a/").await;
        statuses.push(answer.expect("an answer").0);
    }
    statuses
}

fn share(server: &Server) -> f64 {
    server.runs().len() as f64 / REQUESTS as f64
}

/// Guards against requests that are moved to another service of a split because theirs is short of
/// room: they are rejected, and the other service keeps its share.
#[tokio::test]
async fn requests_of_a_full_service_are_not_moved() {
    let (_site, [lookup, booking], gateway) = start(&SPLIT).await;
    lookup.set(Behaviour {
        sheds: true,
        load: "3,6,3",
        ..Behaviour::default()
    });
    let statuses = statuses(&gateway, "full").await;
    assert!(lookup.runs().is_empty());
    assert!(
        (share(&booking) - 0.1).abs() <= MAX_DIFFERENCE,
        "{}",
        share(&booking)
    );
    let rejected = statuses
        .iter()
        .filter(|s| **s == StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(rejected.count() + booking.runs().len(), REQUESTS);
}

/// Guards against a split that keeps its old weights, or loses requests, when the weights change
/// while requests are under way.
#[tokio::test]
async fn weights_change_while_requests_are_under_way() {
    let (site, [lookup, booking], gateway) = start(&SPLIT).await;
    for server in [&lookup, &booking] {
        server.set(Behaviour {
            work: Duration::from_millis(300),
            ..Behaviour::default()
        });
    }
    let ids: Vec<String> = (0..6).map(|number| format!("waiting-{number}")).collect();
    let waiting = join_all(ids.iter().map(|id| gateway.request(id, "/a/")));
    let change = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        site.publish(&CHANGED);
    };
    let (answers, ()) = tokio::join!(waiting, change);
    let served = answers
        .iter()
        .flatten()
        .filter(|answer| answer.0 == StatusCode::OK);
    assert_eq!(served.count(), ids.len());
    assert_eq!(lookup.runs().len() + booking.runs().len(), ids.len());
    wait_until("the new weights are in force", || async {
        let status = get(gateway.settings.listen.peers, operators::gateway::PATH).await;
        let state: Option<State> = status.and_then(|answer| answer.decode().ok());
        state.is_some_and(|state| state.version == u64::from(CHANGED.version))
    })
    .await;
    for server in [&lookup, &booking] {
        server.set(Behaviour::default());
    }
    let before = booking.runs().len();
    statuses(&gateway, "changed").await;
    let share = (booking.runs().len() - before) as f64 / REQUESTS as f64;
    assert!((share - 0.7).abs() <= MAX_DIFFERENCE, "{share}");
}

/// Guards against an upload that runs twice: it goes to a second server only if the first states
/// that it did not run.
#[rstest]
#[case::not_run(Behaviour { sheds: true, load: "3,6,3", ..Behaviour::default() }, StatusCode::OK)]
#[case::failed(Behaviour { status: 500, ..Behaviour::default() }, StatusCode::INTERNAL_SERVER_ERROR)]
#[case::broken(Behaviour { wrong_id: true, ..Behaviour::default() }, StatusCode::BAD_GATEWAY)]
#[tokio::test]
async fn upload_runs_once(#[case] behaviour: Behaviour, #[case] status: StatusCode) {
    let desired = desired(1, &[UPLOAD]);
    let (site, door, [first, second]) = Site::with_servers(&desired).await;
    let gateway = site.gateway("vm-1", "nord-a", &door).await;
    gateway.wait_ready().await;
    // Successes earn the budget from which a second send would be taken.
    statuses(&gateway, "before").await;
    first.set(behaviour);
    let mut ended = 0;
    for number in 0..UPLOADS {
        let id = format!("upload-{number}");
        let object = number.to_string();
        let sent = gateway.request_for_object(&id, "/a/", Some("key-1"), &object);
        let answer = sent.await.expect("an answer");
        let runs = first.runs().into_iter().chain(second.runs());
        let runs = runs.filter(|run| *run.id == *id).count();
        assert!(runs <= 1, "{id} ran {runs} times");
        ended += usize::from(answer.0 == status);
    }
    assert!(ended > 0, "no upload ended with {status}");
}
