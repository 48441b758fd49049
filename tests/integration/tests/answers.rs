//! Definite outcomes and at-most-once execution through separate processes.

use bench::topology::{ATLAS, Deployment, Service};
use callers::answer::Answer;
use hyper::Method;
use integration::call::{Call, Reply};
use integration::{Fleet, wait_until};
use platform::list::Backend;
use serde_json::json;
use std::net::SocketAddr;
use tokio::io::AsyncReadExt;

const fn service(name: &'static str) -> Service {
    Service {
        name,
        servers: 4,
        // More than any test sends concurrently, so that no server sheds requests.
        slots: 30,
        service_ms: 8,
    }
}

const SMALL: Deployment = Deployment {
    nodes: 3,
    services: &[service("booking"), service("lookup")],
    ..ATLAS
};

/// Starts a fleet and issues a key that all its entries serve.
async fn start(port: u16, settings: &str) -> (Fleet, String) {
    let fleet = Fleet::start_with(SMALL, port, &[("entry", settings)]);
    fleet.publish("vm-01", "atlas").await;
    let key = String::from(fleet.issue_key("vm-01", "toubkal").await.key);
    for vm in ["vm-01", "vm-02", "vm-03"] {
        wait_until("the entry serves the key", async || {
            let call = Call::new("GET /lookup/permits", &key);
            call.send(entry(&fleet, vm)).await.outcome() == "served"
        })
        .await;
    }
    (fleet, key)
}

fn entry(fleet: &Fleet, vm: &str) -> SocketAddr {
    fleet.address(&format!("{vm}-entry"), "listen")
}

/// Returns the id prefix of `vm` from the lookup program of `asked`.
async fn id_prefix(fleet: &Fleet, asked: &str, vm: &str) -> Option<String> {
    let address = fleet.address(&format!("{asked}-lookup"), "listen");
    let reply = Call::new("GET /v1/entries", "").send(address).await;
    let answer: Answer = serde_json::from_slice(&reply.body).ok()?;
    let entry = answer.entries.into_iter().find(|entry| &*entry.vm == vm)?;
    entry.id_prefix.map(Into::into)
}

async fn request_id(fleet: &Fleet, vm: &str, random: &str) -> String {
    wait_until("the look-up hands out the prefix", async || {
        id_prefix(fleet, "vm-02", vm).await.is_some()
    })
    .await;
    id_prefix(fleet, "vm-02", vm).await.expect("a prefix") + random
}

fn booking(key: &str, id: &str) -> Call {
    Call::new("POST /booking/bookings", key)
        .with_header("x-request-id", id)
        .with_body("permit")
}

/// Makes each request of a service take about 2 s.
async fn slow_down(fleet: &Fleet, service: &str) {
    for backend in fleet.backends(service).await {
        fleet
            .set_behaviour(&backend, &json!({ "slowdown": 250.0 }))
            .await;
    }
}

/// Waits until a server runs a request, and returns the server.
async fn wait_for_running_server<'a>(fleet: &Fleet, backends: &'a [Backend]) -> &'a Backend {
    wait_until("a server runs a request", async || {
        fleet.sum_counts(backends, "in_flight").await > 0
    })
    .await;
    for backend in backends {
        if fleet
            .sum_counts(std::slice::from_ref(backend), "in_flight")
            .await
            > 0
        {
            return backend;
        }
    }
    panic!("no server runs a request any more");
}

/// Sends concurrent requests through a VM; returns whether all were served.
async fn burst(fleet: &Fleet, vm: &str, key: &str, count: usize) -> bool {
    let send = |_| {
        let (call, address) = (Call::new("GET /lookup/permits", key), entry(fleet, vm));
        tokio::spawn(async move { call.send(address).await.outcome() == "served" })
    };
    let sends: Vec<_> = (0..count).map(send).collect();
    let mut served = 0;
    for send in sends {
        served += usize::from(send.await.expect("a reply"));
    }
    served == count
}

/// Guards against a second run of a finished request id, through the same VM or another one.
#[tokio::test(flavor = "multi_thread")]
async fn finished_id_is_never_run_again() {
    let (fleet, key) = start(27_000, "").await;
    let backends = fleet.backends("booking").await;
    let call = booking(&key, &request_id(&fleet, "vm-01", "a1").await);

    let first = call.send(entry(&fleet, "vm-01")).await;
    assert_eq!(first.outcome(), "served");
    for vm in ["vm-01", "vm-02", "vm-03"] {
        let resend = call.send(entry(&fleet, vm)).await;
        assert_eq!(resend.outcome(), "served: served-before", "through {vm}");
    }
    assert_eq!(fleet.sum_counts(&backends, "served").await, 1);

    // An id that another VM queried before its first request arrived is closed.
    let late = booking(&key, &request_id(&fleet, "vm-01", "a2").await);
    let asked = late.send(entry(&fleet, "vm-03")).await;
    assert_eq!(asked.outcome(), "not-run: claim-expired");
    let arrived = late.send(entry(&fleet, "vm-01")).await;
    assert_eq!(arrived.outcome(), "not-run: claim-expired");
    assert_eq!(fleet.sum_counts(&backends, "served").await, 1);
}

/// Guards against a second run of an id that names no VM when it is sent through several VMs, and
/// against indefinite answers to new ids during an outage of the table.
#[tokio::test(flavor = "multi_thread")]
async fn id_without_vm_is_claimed_in_the_table() {
    let (fleet, key) = start(27_050, "").await;
    // Buckets start empty; the burst below is inside the limit only once they have filled.
    for vm in ["vm-01", "vm-02", "vm-03"] {
        wait_until("the entry admits a burst", async || {
            burst(&fleet, vm, &key, 20).await
        })
        .await;
    }
    let backends = fleet.backends("booking").await;
    let calls: Vec<_> = (0..20)
        .map(|n| booking(&key, &format!("plain-{n}")))
        .collect();
    let sends = calls.iter().flat_map(|call| {
        let addresses = ["vm-01", "vm-02", "vm-03"].map(|vm| entry(&fleet, vm));
        addresses.map(|address| {
            let call = call.clone();
            tokio::spawn(async move { call.send(address).await })
        })
    });
    let sends: Vec<_> = sends.collect();
    let mut served = 0;
    for send in sends {
        let outcome = send.await.expect("a reply").outcome();
        served += usize::from(outcome == "served");
        assert!(!outcome.starts_with("not-run"), "{outcome}");
    }
    assert_eq!(served, 20, "each id is served once over three copies");
    assert_eq!(fleet.sum_counts(&backends, "served").await, 20);

    fleet
        .call_platform(Method::PUT, "/switch", &json!({ "outage": true }))
        .await;
    let refused = booking(&key, "plain-x").send(entry(&fleet, "vm-01")).await;
    assert_eq!(refused.outcome(), "not-run: claims-unavailable");
    let resend = booking(&key, "plain-1").with_header("x-resend", "1");
    let resend = resend.send(entry(&fleet, "vm-02")).await;
    assert_eq!(resend.outcome(), "unknown: claims-unavailable");
    assert_eq!(fleet.sum_counts(&backends, "served").await, 20);
}

/// Guards against a second run of a request whose entry was killed.
#[tokio::test(flavor = "multi_thread")]
async fn booking_runs_at_most_once_when_its_entry_is_killed() {
    let (mut fleet, key) = start(27_100, "").await;
    let backends = fleet.backends("booking").await;
    slow_down(&fleet, "booking").await;
    let call = booking(&key, &request_id(&fleet, "vm-01", "k1").await);
    let first = tokio::spawn({
        let (call, address) = (call.clone(), entry(&fleet, "vm-01"));
        async move { call.send(address).await }
    });
    wait_until("a server runs the booking", async || {
        fleet.sum_counts(&backends, "in_flight").await == 1
    })
    .await;
    let resend = call.send(entry(&fleet, "vm-02")).await;
    assert_eq!(resend.outcome(), "unknown: in-flight");
    fleet.signal("vm-01-entry", "KILL");
    fleet.wait_exit("vm-01-entry");
    assert_eq!(first.await.expect("ends"), Reply::default());

    let resend = call.send(entry(&fleet, "vm-02")).await;
    assert_eq!(resend.outcome(), "unknown: vm-unreachable");
    fleet.restart("vm-01-entry");
    for vm in ["vm-01", "vm-03"] {
        wait_until("the dead incarnation is known", async || {
            let outcome = call.send(entry(&fleet, vm)).await.outcome();
            assert!(
                outcome.is_empty()
                    || !outcome.starts_with("not-run")
                    || outcome == "not-run: no-route",
                "{outcome}"
            );
            outcome == "unknown: incarnation-dead"
        })
        .await;
    }
    wait_until("no server runs the booking", async || {
        fleet.sum_counts(&backends, "in_flight").await == 0
    })
    .await;
    assert!(fleet.sum_counts(&backends, "served").await <= 1);
}

/// Guards against an interrupted answer that looks complete, and against "not run" for a request
/// that a silent server has.
#[tokio::test(flavor = "multi_thread")]
async fn paused_server_gives_a_visible_interruption() {
    let (fleet, key) = start(27_150, "read_timeout: 500ms\n").await;
    let call = Call::new("GET /lookup/permits", &key).with_header("x-answer-bytes", "33554432");
    let stream = call.open(entry(&fleet, "vm-01")).await;
    let mut stream = stream.expect("a connection");
    let mut start = vec![0; 4096];
    let count = stream.read(&mut start).await.expect("the head");
    start.truncate(count);
    let head = String::from_utf8_lossy(&start).into_owned();
    let server = head
        .lines()
        .find_map(|line| line.strip_prefix("x-server: "));
    let server = server.expect("name of the server").to_owned();
    fleet.signal(&server, "STOP");
    let reply = Reply::read(&mut stream, start).await;
    fleet.signal(&server, "CONT");
    assert_eq!(reply.header("content-length"), "33554432");
    assert!(!reply.is_complete(), "{} bytes", reply.body.len());

    slow_down(&fleet, "booking").await;
    let backends = fleet.backends("booking").await;
    let send = tokio::spawn({
        let call = booking(&key, &request_id(&fleet, "vm-01", "s1").await)
            .with_header("x-deadline-ms", "1000");
        let address = entry(&fleet, "vm-01");
        async move { call.send(address).await }
    });
    // The entry waits for a server that is at work, so the server is paused until the deadline.
    let server = wait_for_running_server(&fleet, &backends).await;
    fleet.signal(&server.name, "STOP");
    let reply = send.await.expect("a reply");
    fleet.signal(&server.name, "CONT");
    assert_eq!(reply.outcome(), "unknown: silent");
    wait_until("the silent request is cancelled", async || {
        fleet.sum_counts(&backends, "in_flight").await == 0
    })
    .await;
}

/// Guards against a request that is given up while its server works on it: the entry waits for
/// servers that need longer than the read timeout, also if it sent the request to a second one.
#[rstest::rstest]
#[case::once("POST /booking/bookings", "booking", 0, 27_300)]
#[case::budget_spent("GET /lookup/permits", "lookup", 0, 27_350)]
#[case::beside("GET /lookup/permits", "lookup", 25, 28_300)]
#[tokio::test(flavor = "multi_thread")]
async fn entry_waits_for_a_working_server(
    #[case] line: &str,
    #[case] service: &str,
    #[case] successes: usize,
    #[case] port: u16,
) {
    let (fleet, key) = start(port, "read_timeout: 200ms\n").await;
    // Successful requests fill the retry budget for the second send.
    wait_until("the entry admits a burst", async || {
        burst(&fleet, "vm-01", &key, successes).await
    })
    .await;
    let backends = fleet.backends(service).await;
    for backend in &backends {
        fleet
            .set_behaviour(backend, &json!({ "slowdown": 125.0 }))
            .await;
    }
    let before = fleet.sum_counts(&backends, "served").await;
    let reply = Call::new(line, &key).send(entry(&fleet, "vm-01")).await;
    assert_eq!(reply.outcome(), "served");
    assert!(reply.is_complete());
    wait_until("no server runs the request", async || {
        fleet.sum_counts(&backends, "in_flight").await == 0
    })
    .await;
    let given_up = u64::from(successes > 0);
    assert_eq!(fleet.sum_counts(&backends, "cancelled").await, given_up);
    assert_eq!(fleet.sum_counts(&backends, "served").await, before + 1);
}

/// Guards against a request that waits for a dead server while another one could answer, and
/// against a failure of the second server that ends the request while the first still works on it.
#[rstest::rstest]
#[case::first_is_paused(true, 28_350)]
#[case::second_fails(false, 28_550)]
#[tokio::test(flavor = "multi_thread")]
async fn first_success_of_two_servers_is_returned(#[case] is_paused: bool, #[case] port: u16) {
    let (fleet, key) = start(port, "read_timeout: 300ms\n").await;
    // Successful requests fill the retry budget for the second send.
    wait_until("the entry admits a burst", async || {
        burst(&fleet, "vm-01", &key, 25).await
    })
    .await;
    let backends = fleet.backends("lookup").await;
    for backend in &backends {
        fleet
            .set_behaviour(backend, &json!({ "slowdown": 125.0 }))
            .await;
    }
    let send = tokio::spawn({
        let (call, address) = (
            Call::new("GET /lookup/permits", &key),
            entry(&fleet, "vm-01"),
        );
        async move { call.send(address).await }
    });
    let first = wait_for_running_server(&fleet, &backends).await;
    if is_paused {
        fleet.signal(&first.name, "STOP");
    }
    let failures = if is_paused { 0.0 } else { 1.0 };
    for other in backends.iter().filter(|other| other.name != first.name) {
        let behaviour = json!({ "slowdown": 1.0, "failures": failures });
        fleet.set_behaviour(other, &behaviour).await;
    }
    let reply = send.await.expect("a reply");
    fleet.signal(&first.name, "CONT");
    assert_eq!(reply.outcome(), "served");
    assert!(reply.head.starts_with("HTTP/1.1 200"), "{}", reply.head);
    assert_eq!(reply.header("x-server") == &*first.name, !is_paused);
    assert!(fleet.metric("vm-01", "retries_total").await > 0.0);
    wait_until("no server runs the request", async || {
        fleet.sum_counts(&backends, "in_flight").await == 0
    })
    .await;
}

/// Guards against servers that work for disconnected callers, and against a claim that stays in
/// flight forever.
#[tokio::test(flavor = "multi_thread")]
async fn disconnected_caller_frees_the_server() {
    let (fleet, key) = start(27_200, "").await;
    slow_down(&fleet, "booking").await;
    let backends = fleet.backends("booking").await;
    let call = booking(&key, &request_id(&fleet, "vm-01", "l1").await);
    let stream = call.open(entry(&fleet, "vm-01")).await;
    wait_until("a server runs the booking", async || {
        fleet.sum_counts(&backends, "in_flight").await == 1
    })
    .await;
    drop(stream);
    wait_until("the server has cancelled the booking", async || {
        fleet.sum_counts(&backends, "cancelled").await == 1
    })
    .await;
    let resend = call.send(entry(&fleet, "vm-02")).await;
    assert_eq!(resend.outcome(), "unknown: cancelled");
    assert_eq!(fleet.sum_counts(&backends, "served").await, 0);
}

/// Guards against answers of another request when callers disconnect at any time; each answer
/// reports the length of the request body that it belongs to.
#[tokio::test(flavor = "multi_thread")]
async fn each_caller_gets_its_own_answer() {
    let (fleet, key) = start(27_250, "").await;
    let address = entry(&fleet, "vm-01");
    let callers: Vec<_> = (0..8_usize)
        .map(|caller| {
            let key = key.clone();
            tokio::spawn(async move {
                let mut served = 0;
                for turn in 0..40_usize {
                    let length = 1 + caller * 40 + turn;
                    let call =
                        Call::new("POST /booking/bookings", &key).with_body("b".repeat(length));
                    if turn % 3 == 0 {
                        let stream = call.open(address).await;
                        tokio::time::sleep(std::time::Duration::from_millis(turn as u64)).await;
                        drop(stream);
                        continue;
                    }
                    let reply = call.send(address).await;
                    if reply.outcome() != "served" {
                        continue;
                    }
                    assert!(reply.is_complete());
                    let body: serde_json::Value =
                        serde_json::from_slice(&reply.body).expect("an answer");
                    assert_eq!(body["received"], length);
                    served += 1;
                }
                served
            })
        })
        .collect();
    let mut served = 0;
    for caller in callers {
        served += caller.await.expect("no wrong answer");
    }
    assert!(served > 0);
}
