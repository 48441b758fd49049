//! Servers that say in their answers that they leave, or that they want nothing for a time.

#[allow(dead_code, reason = "other tests use the rest of the site")]
mod site;

use adapter::store::REGISTRATIONS;
use hyper::header::RETRY_AFTER;
use hyper::{HeaderMap, StatusCode};
use rstest::rstest;
use site::{Gateway, Site, wait_until};
use standin_site::operator::Desired;
use standin_site::server::{Behaviour, Entry, Server};
use standin_site::store::Faults;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Operator's shortest limit for ending sends to a leaving server.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);
/// Time after an answer from which the rule on rejected requests counts.
const REJECTION_SLACK: Duration = Duration::from_millis(500);
/// Requests that may reach a server after it wants none.
const MAX_REJECTED: usize = 2;

/// Number of the next request; each concerns an object of its own, so that no server is preferred.
static NEXT: AtomicUsize = AtomicUsize::new(0);

/// Sends requests until `until`.
async fn send_until(gateway: &Gateway, until: Instant) -> Vec<(StatusCode, HeaderMap)> {
    let mut answers = Vec::new();
    while Instant::now() < until {
        let id = NEXT.fetch_add(1, Ordering::Relaxed).to_string();
        let answer = gateway
            .request_for_object(&id, "/a/", Some("key-1"), &id)
            .await;
        answers.extend(answer.map(|(status, headers, _)| (status, headers)));
    }
    answers
}

fn arrivals_between(server: &Server, from: Instant, to: Instant) -> usize {
    let arrivals = server.arrivals();
    arrivals
        .iter()
        .filter(|arrival| (from..to).contains(&arrival.at))
        .count()
}

/// Starts a site whose only server has said once that it leaves.
async fn site_with_leaving_server() -> (Site, Server, Gateway) {
    let (site, _, server, gateway) = Site::with_gateway(&Desired::default()).await;
    server.set(Behaviour {
        leaving: &["1"],
        ..Behaviour::default()
    });
    gateway.request("1", "/a/").await;
    server.set(Behaviour::default());
    (site, server, gateway)
}

/// Guards against a server that says in an answer, of any status, that it leaves and still gets
/// requests, from the VM that heard it and from others.
#[rstest]
#[case::served(Behaviour { leaving: &["1"], ..Behaviour::default() })]
#[case::failed(Behaviour { leaving: &["1"], status: 500, ..Behaviour::default() })]
#[case::refused(Behaviour { leaving: &["1"], sheds: true, ..Behaviour::default() })]
#[tokio::test]
async fn server_that_says_that_it_leaves_gets_nothing_more(#[case] behaviour: Behaviour) {
    let (site, door, [leaving, other]) = Site::with_servers(&Desired::default()).await;
    let vms = [("vm-1", "nord-a"), ("vm-2", "nord-a"), ("vm-3", "sud-a")];
    let [first, second, remote] = site.gateways(vms, &door).await;
    // Until the VMs of the data centres know each other.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    leaving.set(behaviour);
    wait_until("the server answered", || async {
        send_until(&first, Instant::now() + Duration::from_millis(50)).await;
        !leaving.arrivals().is_empty()
    })
    .await;
    let heard_at = Instant::now();
    let end = heard_at + DRAIN_LIMIT + Duration::from_millis(500);
    let (a, b, c) = tokio::join!(
        send_until(&first, end),
        send_until(&second, end),
        send_until(&remote, end)
    );
    assert_eq!(arrivals_between(&leaving, heard_at + DRAIN_LIMIT, end), 0);
    assert!(
        a.iter()
            .chain(&b)
            .chain(&c)
            .all(|(status, _)| *status == StatusCode::OK)
    );
    assert!(!other.runs().is_empty());
}

/// Guards against a VM that is cut off from the store and from all others and forgets that a server
/// leaves.
#[tokio::test]
async fn vm_that_is_cut_off_keeps_to_the_word_of_a_server() {
    let (site, door, [leaving, _other]) = Site::with_servers(&Desired::default()).await;
    let gateway = site.gateway("vm-1", "nord-a", &door).await;
    gateway.wait_ready().await;
    leaving.set(Behaviour {
        leaving: &["1"],
        ..Behaviour::default()
    });
    door.set(Faults {
        down: true,
        ..Faults::default()
    });
    let end = Instant::now() + Duration::from_secs(8);
    send_until(&gateway, end).await;
    assert!(
        leaving.arrivals().len() <= 1,
        "{}",
        leaving.arrivals().len()
    );
}

/// Guards against a server that stays out of use although the store says, later than the server
/// did, that it does not leave.
#[tokio::test]
async fn server_that_stays_is_used_again() {
    let (site, server, gateway) = site_with_leaving_server().await;
    let mut sequence = 1;
    let answered = |status: Option<(StatusCode, HeaderMap, _)>| {
        status.is_some_and(|(status, _, _)| status == StatusCode::OK)
    };
    let (status, ..) = gateway.request("2", "/a/").await.expect("an answer");
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    let started = Instant::now();
    while !answered(gateway.request("3", "/a/").await) {
        assert!(
            started.elapsed() < Duration::from_secs(8),
            "still out of use"
        );
        sequence += 1;
        let entry = Entry {
            sequence,
            ..Entry::default()
        };
        server.register(&site.store, &entry);
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
}

/// Guards against a new server with the id or the address of one that left, which stays out of use.
#[tokio::test]
async fn word_of_a_server_ends_with_its_run() {
    let (site, server, gateway) = site_with_leaving_server().await;
    let entry = Entry {
        born: 2_000,
        ..Entry::default()
    };
    server.register(&site.store, &entry);
    let registered_at = Instant::now();
    wait_until("the new run is used", || async {
        let answer = gateway.request("2", "/a/").await;
        answer.is_some_and(|(status, ..)| status == StatusCode::OK)
    })
    .await;
    assert!(registered_at.elapsed() < DRAIN_LIMIT);
}

/// Guards against requests at a server that turned one away and wants nothing for a time, and
/// against requests that are not sent elsewhere.
#[tokio::test]
async fn server_that_wants_nothing_for_a_time_gets_nothing() {
    let (site, door, [full, other]) = Site::with_servers(&Desired::default()).await;
    let [gateway] = site.gateways([("vm-1", "nord-a")], &door).await;
    full.set(Behaviour {
        turns_away: &["2"],
        ..Behaviour::default()
    });
    wait_until("the server turned one away", || async {
        send_until(&gateway, Instant::now() + Duration::from_millis(50)).await;
        !full.arrivals().is_empty()
    })
    .await;
    let told_at = full.arrivals()[0].at;
    full.set(Behaviour::default());
    let end = told_at + Duration::from_secs(2);
    let answers = send_until(&gateway, end).await;
    let rejected = arrivals_between(&full, told_at + REJECTION_SLACK, end);
    assert!(rejected <= MAX_REJECTED, "{rejected} requests");
    assert!(answers.iter().all(|(status, _)| *status == StatusCode::OK));
    assert!(!other.runs().is_empty());
    wait_until("the server is used again", || async {
        send_until(&gateway, Instant::now() + Duration::from_millis(50)).await;
        !full.runs().is_empty()
    })
    .await;
}

/// Guards against callers that wait, or come back at a wrong time, while no server wants a request.
#[tokio::test]
async fn request_that_no_server_wants_is_rejected_at_once() {
    let (site, door, servers) = Site::with_servers::<2>(&Desired::default()).await;
    let [gateway] = site.gateways([("vm-1", "nord-a")], &door).await;
    for server in &servers {
        server.set(Behaviour {
            turns_away: &["0.9"],
            ..Behaviour::default()
        });
    }
    wait_until("both turned a request away", || async {
        send_until(&gateway, Instant::now() + Duration::from_millis(20)).await;
        servers.iter().all(|server| !server.arrivals().is_empty())
    })
    .await;
    let asked_at = Instant::now();
    let (status, headers, _) = gateway.request("1", "/a/").await.expect("an answer");
    assert!(asked_at.elapsed() < Duration::from_millis(200));
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    let told = headers[RETRY_AFTER].to_str().expect("text");
    let told: f64 = told.parse().expect("seconds");
    let first_told = servers.iter().map(|server| server.arrivals()[0].at).min();
    let earliest = first_told.expect("an arrival") + Duration::from_millis(900);
    // At most a third of the time that the caller has left, 3 s.
    let first_returns = earliest.saturating_duration_since(asked_at).as_secs_f64();
    assert!(
        (first_returns..=1.0).contains(&told),
        "{told} s, {first_returns} s"
    );
    for server in &servers {
        server.set(Behaviour::default());
    }
    let before: usize = servers.iter().map(|s| s.arrivals().len()).sum();
    send_until(&gateway, earliest).await;
    let after: usize = servers.iter().map(|s| s.arrivals().len()).sum();
    assert_eq!(before, after);
}

/// Guards against values without sense that end the process or put a server out of use for good.
#[rstest]
#[case(Behaviour { leaving: &["0", "true", ""], ..Behaviour::default() })]
#[case(Behaviour { turns_away: &["-1", "NaN", "Sun, 06 Dec 2026 08:49:37 GMT"], ..Behaviour::default() })]
#[tokio::test]
async fn senseless_values_are_ignored(#[case] behaviour: Behaviour) {
    let (_site, _, server, gateway) = Site::with_gateway(&Desired::default()).await;
    server.set(behaviour);
    gateway.request("1", "/a/").await;
    server.set(Behaviour::default());
    wait_until("the server is used", || async {
        let answer = gateway.request("2", "/a/").await;
        answer.is_some_and(|(status, ..)| status == StatusCode::OK)
    })
    .await;
}

/// Takes a server out of the list for a moment, as when its entry expires and is written again.
async fn drop_out(site: &Site, server: &Server) {
    site.store.remove(REGISTRATIONS, &server.id);
    tokio::time::sleep(Duration::from_secs(1)).await;
    server.register(&site.store, &Entry::default());
    // Until the list was read again.
    tokio::time::sleep(Duration::from_millis(500)).await;
}

/// Guards against a VM that forgets what a server said while that drops out of the list for a moment.
#[rstest]
#[case::leaves(Behaviour { leaving: &["1"], ..Behaviour::default() })]
#[case::wants_nothing(Behaviour { turns_away: &["4"], ..Behaviour::default() })]
#[tokio::test]
async fn word_of_a_server_outlives_a_moment_out_of_the_list(#[case] behaviour: Behaviour) {
    let (site, _, server, gateway) = Site::with_gateway(&Desired::default()).await;
    server.set(behaviour);
    gateway.request("1", "/a/").await;
    server.set(Behaviour::default());
    drop_out(&site, &server).await;
    let returned_at = Instant::now();
    let end = returned_at + Duration::from_secs(1);
    send_until(&gateway, end).await;
    assert_eq!(arrivals_between(&server, returned_at, end), 0);
}

/// Guards against VMs that leave a server out of use for good since another VM told them that the
/// list had lost it for a moment.
#[tokio::test]
async fn server_that_was_out_of_the_list_for_a_moment_is_used_by_all_vms() {
    let (site, door, [server]) = Site::with_servers(&Desired::default()).await;
    let vms = [("vm-1", "nord-a"), ("vm-2", "nord-a"), ("vm-3", "sud-a")];
    let gateways = site.gateways(vms, &door).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    drop_out(&site, &server).await;
    // Until words on the server have reached all VMs.
    tokio::time::sleep(Duration::from_secs(1)).await;
    for gateway in &gateways {
        wait_until("the server is used", || async {
            let answer = gateway.request("1", "/a/").await;
            answer.is_some_and(|(status, ..)| status == StatusCode::OK)
        })
        .await;
    }
}
