//! Several gateways: which one reads the store, how the others get its data, and store outages.

#[allow(dead_code, reason = "other tests use the rest of the site")]
mod site;
#[path = "fleet/takeover.rs"]
mod takeover;

use adapter::{call, header};
use base::id::Vm;
use gateway::settings::Settings;
use hyper::StatusCode;
use indexmap::IndexMap;
use operators::gateway::State;
use peers::report;
use site::{Gateway, Site, wait_until};
use standin_site::operator::{self, Desired, Route};
use standin_site::server::{Behaviour, Entry};
use standin_site::store::Faults;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};
use steering::takeover::Stage;
use tokio::net::UdpSocket;

/// Operator's limit for applying a configuration and for ending sends to a leaving server.
const IN_FORCE: Duration = Duration::from_secs(2);

/// Longest time until another VM reads the store: a call that fails, the wait after it, and a turn.
const TAKEOVER: Duration = Duration::from_secs(6);

/// Number of routes in the largest known configuration (permis-parcs-grown).
const ROUTES: usize = 1_785;
/// Number of servers of that deployment.
const SERVERS: u16 = 388;
/// Bytes that the narrowest link, of 10 Mbit/s, carries in 0.1 s. VMs whose delegate changes must
/// still apply a change and stop sends to leaving servers within 2 s.
const MAX_ANSWER_BYTES: usize = 125_000;
/// Store-data request of a VM that has no data yet.
const FULL_REQUEST: &str = "/store?snapshot=0";

/// Counter of the store-data requests that a gateway answered.
const REQUEST_COUNTER: &str = "gateway_store_questions_total";

/// Returns the state of the fleet that a gateway reports.
async fn state(gateway: &Gateway) -> State {
    let target = site::target(gateway.settings.listen.peers);
    operators::gateway::state(&target).await.expect("a state")
}

/// Returns the addresses that a gateway's look-up returns to callers of a region.
async fn looked_up(gateway: &Gateway, region: &str) -> Vec<String> {
    let path = format!("{}?name=a.example&region={region}&zone=x", call::LOOKUP);
    let answer = site::get(gateway.settings.listen.lookup, &path).await;
    let found: serde_json::Value = answer.expect("an answer").decode().expect("JSON");
    let addresses = found["addresses"].as_array().cloned().unwrap_or_default();
    addresses
        .iter()
        .filter_map(|a| a.as_str().map(str::to_owned))
        .collect()
}

async fn status(gateway: &Gateway, key: &str) -> Option<StatusCode> {
    let answer = gateway.request_with_key("1", "/a/", Some(key)).await;
    answer.map(|(status, _, _)| status)
}

/// Waits until a gateway refuses a key; returns how long that took.
async fn time_to_refuse(gateway: &Gateway, key: &str) -> Duration {
    let start = Instant::now();
    wait_until("the key is refused", || async {
        status(gateway, key).await == Some(StatusCode::UNAUTHORIZED)
    })
    .await;
    start.elapsed()
}

/// Guards against a VM that stores old orders under the version of new ones: the reader published
/// a version before it had read the orders, and the VM was 2.7 s late (permis-parcs,
/// mix --seed 197496853880).
#[tokio::test]
async fn slowly_read_change_is_applied_on_all_vms_in_time() {
    let (site, door, _server, first) = Site::with_gateway(&Desired::default()).await;
    let second = site.gateway("vm-2", "nord-a", &door).await;
    second.wait_ready().await;
    // Until the second gateway leaves reading the store to the first.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    door.set(Faults {
        read_delay: Duration::from_millis(600),
        ..Faults::default()
    });
    site.publish(&Desired {
        version: 2,
        keys: &["key-1"],
        ..Desired::default()
    });
    let (a, b) = tokio::join!(
        time_to_refuse(&first, "key-2"),
        time_to_refuse(&second, "key-2")
    );
    assert!(a < IN_FORCE && b < IN_FORCE, "{a:?}, {b:?}");
}

/// Guards against every VM of a data centre calling the store.
#[tokio::test]
async fn one_vm_of_a_data_centre_reads_the_store() {
    let site = Site::new();
    let doors = [site.store_endpoint().await, site.store_endpoint().await];
    site.publish(&Desired::default());
    site.server("i-1", &Entry::default()).await;
    let first = site.gateway("vm-1", "nord-a", &doors[0]).await;
    first.wait_ready().await;
    let second = site.gateway("vm-2", "nord-a", &doors[1]).await;
    second.wait_ready().await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    doors[1].set(Faults {
        silent: true,
        ..Faults::default()
    });
    let before = site.store.calls();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let calls = site.store.calls() - before;
    // Lists at 300 ms and a feed of 2 s by one VM; two would make twice as many.
    assert!(calls <= 10, "{calls} calls in 2 s");
}

/// Guards against VMs that start together and miss each other's member entries, and against
/// repeated reads of the member table by each of them.
#[tokio::test]
async fn vms_that_start_together_find_each_other() {
    let (site, door, [_server]) = Site::with_servers(&Desired::default()).await;
    let vms = [("vm-1", "nord-a"), ("vm-2", "nord-a"), ("vm-3", "nord-a")];
    let _gateways = site.gateways(vms, &door).await;
    tokio::time::sleep(Duration::from_millis(700)).await;
    let before = site.store.calls();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let calls = site.store.calls() - before;
    // Lists at 300 ms and a feed of 2 s by one VM.
    assert!(calls <= 10, "{calls} calls in 2 s");
}

/// Guards against a start that costs each VM seven calls to the store: at 295 VMs, over two thousand
/// calls in a second, a fifteenth of the day's worth. Each VM may write its entry and read the table
/// once; one VM reads the rest.
#[tokio::test]
async fn vms_that_start_for_the_first_time_call_the_store_rarely() {
    const VMS: usize = 16;
    let (site, door, [_server]) = Site::with_servers(&Desired::default()).await;
    let started = Instant::now();
    let gateways: Vec<Gateway> = (0..VMS)
        .map(|number| {
            site.run_gateway(Settings {
                first_start: true,
                ..Site::gateway_settings(&format!("vm-{number:02}"), "nord-a", &door)
            })
        })
        .collect();
    for gateway in &gateways {
        gateway.wait_ready().await;
    }
    let took = started.elapsed();
    let calls = site.store.calls() as usize;
    // Lists at 300 ms, feeds, and the first reads of two further VMs.
    let reader = 2 * took.as_millis() as usize / 300 + 12;
    assert!(calls <= 2 * VMS + reader, "{calls} calls in {took:?}");
}

/// Guards against a server that left while a long list was read in several calls, and stays in use
/// because the changes after the last call don't name it.
#[tokio::test]
async fn server_that_leaves_between_two_pages_of_the_list_is_not_used() {
    let site = Site::new();
    let door = site.store_endpoint().await;
    site.publish(&Desired::default());
    let early = site.server("a", &Entry::default()).await;
    let late = site.server("z", &Entry::default()).await;
    let other = Entry {
        service: "other",
        ..Entry::default()
    };
    for number in 0..adapter::store::PAGE_ROWS {
        other.publish(&site.store, &format!("m-{number}"), late.address);
    }
    door.set(Faults {
        read_delay: Duration::from_millis(400),
        ..Faults::default()
    });
    let gateway = site.gateway("vm-1", "nord-a", &door).await;
    // The first page is read, the second one is not.
    wait_until("the list is being read", || async {
        site.store.calls() >= 5
    })
    .await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    site.store.remove(adapter::store::REGISTRATIONS, "a");
    door.set(Faults::default());
    gateway.wait_ready().await;
    tokio::time::sleep(IN_FORCE).await;
    let removed = Instant::now();
    for number in 0..20 {
        let id = number.to_string();
        gateway
            .request_for_object(&id, "/a/", Some("key-1"), &id)
            .await;
    }
    let runs = early.runs();
    assert_eq!(runs.iter().filter(|run| run.at > removed).count(), 0);
    assert_eq!(late.runs().len(), 20);
}

/// Guards against VMs that miss the withdrawal of a key because their delegate or they themselves
/// can't reach the store.
#[tokio::test]
async fn vm_without_store_access_gets_data_from_others() {
    let site = Site::new();
    let doors = [
        site.store_endpoint().await,
        site.store_endpoint().await,
        site.store_endpoint().await,
    ];
    site.publish(&Desired::default());
    site.server("i-1", &Entry::default()).await;
    let first = site.gateway("vm-1", "nord-a", &doors[0]).await;
    let second = site.gateway("vm-2", "nord-a", &doors[1]).await;
    let remote = site.gateway("vm-3", "sud-a", &doors[2]).await;
    for gateway in [&first, &second, &remote] {
        gateway.wait_ready().await;
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    // All VMs of one data centre lose the store.
    for door in &doors[..2] {
        door.set(Faults {
            down: true,
            ..Faults::default()
        });
    }
    site.publish(&Desired {
        version: 2,
        keys: &["key-1"],
        ..Desired::default()
    });
    let times = [&first, &second, &remote].map(|gateway| time_to_refuse(gateway, "key-2"));
    let [a, b, c] = times;
    let (a, b, c) = tokio::join!(a, b, c);
    assert!(
        a < IN_FORCE && b < IN_FORCE && c < IN_FORCE,
        "{a:?} {b:?} {c:?}"
    );
}

/// Guards against sends to a leaving server, by VMs that read the store and by those that don't.
#[tokio::test]
async fn leaving_server_gets_nothing_more() {
    let (site, door, servers) = Site::with_servers::<2>(&Desired::default()).await;
    let vms = [("vm-1", "nord-a"), ("vm-2", "nord-a")];
    let [first, second] = site.gateways(vms, &door).await;
    first.request("1", "/a/").await;
    let (leaving, other) = match servers[0].runs().is_empty() {
        true => (&servers[1], &servers[0]),
        false => (&servers[0], &servers[1]),
    };
    let left_at = Instant::now();
    let entry = Entry {
        leaving: true,
        sequence: 2,
        ..Entry::default()
    };
    leaving.register(&site.store, &entry);
    while left_at.elapsed() < IN_FORCE + Duration::from_millis(500) {
        first.request("2", "/a/").await;
        second.request("3", "/a/").await;
    }
    let late = leaving
        .runs()
        .iter()
        .filter(|run| run.at > left_at + IN_FORCE)
        .count();
    assert_eq!(late, 0);
    assert!(!other.runs().is_empty());
}

/// Guards against abandoning a request when its server's entry is removed meanwhile: the server
/// then counted as silent (permis-parcs, trouble-2 --seed 80042282939, LOST).
#[tokio::test]
async fn request_completes_on_a_server_whose_entry_is_removed() {
    let (site, _, server, gateway) = Site::with_gateway(&Desired::default()).await;
    server.set(Behaviour {
        work: Duration::from_millis(1_200),
        ..Behaviour::default()
    });
    let (answer, ()) = tokio::join!(gateway.request("1", "/a/"), async {
        wait_until("the request runs", || async { !server.runs().is_empty() }).await;
        site.store.remove(adapter::store::REGISTRATIONS, "i-1");
    });
    let (status, _, _) = answer.expect("an answer");
    assert_eq!(status, StatusCode::OK);
}

/// Guards against dropping servers whose entries expire during a store outage before they can
/// register again, and against keeping servers that don't.
#[tokio::test]
async fn entries_that_expire_during_a_store_outage_have_time_to_return() {
    let (site, door, server, gateway) = Site::with_gateway(&Desired::default()).await;
    door.set(Faults {
        down: true,
        ..Faults::default()
    });
    tokio::time::sleep(Duration::from_millis(2_800)).await;
    site.store.remove(adapter::store::REGISTRATIONS, "i-1");
    assert_eq!(status(&gateway, "key-1").await, Some(StatusCode::OK));
    door.set(Faults::default());
    tokio::time::sleep(Duration::from_millis(900)).await;
    assert_eq!(status(&gateway, "key-1").await, Some(StatusCode::OK));
    wait_until("the server counts as gone", || async {
        status(&gateway, "key-1").await == Some(StatusCode::SERVICE_UNAVAILABLE)
    })
    .await;
    server.register(&site.store, &Entry::default());
    wait_until("the server is back", || async {
        status(&gateway, "key-1").await == Some(StatusCode::OK)
    })
    .await;
}

/// Guards against an order that is read late because the feed ended just before it: a release
/// counts its term from that read and was completed after its deadline (permis-parcs, scale-1). An
/// order is read within a tenth of the time limit of a configuration.
#[tokio::test]
async fn ended_feed_is_replaced_at_once() {
    let (site, _, _server, gateway) = Site::with_gateway(&Desired::default()).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    site.store.end_feeds();
    site.publish(&Desired {
        version: 2,
        keys: &["key-1"],
        ..Desired::default()
    });
    let took = time_to_refuse(&gateway, "key-2").await;
    assert!(took < IN_FORCE / 10, "{took:?}");
}

/// Guards against a reader that stops when the store has dropped the history or an answer is lost.
#[tokio::test]
async fn rows_are_read_again_after_lost_history() {
    let (site, _, _server, gateway) = Site::with_gateway(&Desired::default()).await;
    site.publish(&Desired {
        version: 2,
        keys: &["key-1"],
        ..Desired::default()
    });
    site.store.forget_history();
    assert!(time_to_refuse(&gateway, "key-2").await < IN_FORCE + Duration::from_secs(1));
}

/// Guards against endless requests for a removed order: one data centre saw the removal in the
/// feed, while the VMs of another started later and never got its version.
#[tokio::test]
async fn removed_order_is_not_requested_again() {
    let (site, door, [_server]) = Site::with_servers(&Desired::default()).await;
    operator::order_evacuation(&site.store, "sud-a");
    let first = site.gateway("vm-1", "nord-a", &door).await;
    first.wait_ready().await;
    operator::end_evacuation(&site.store, "sud-a");
    tokio::time::sleep(Duration::from_millis(500)).await;
    let vms = [("vm-2", "sud-a"), ("vm-3", "sud-a")];
    let later = site.gateways(vms, &door).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = [
        site::metric(&first, REQUEST_COUNTER).await,
        site::metric(&later[0], REQUEST_COUNTER).await,
    ];
    tokio::time::sleep(Duration::from_secs(2)).await;
    let after = [
        site::metric(&first, REQUEST_COUNTER).await,
        site::metric(&later[0], REQUEST_COUNTER).await,
    ];
    let requests = after[0] - before[0] + after[1] - before[1];
    assert!(requests <= 4, "{requests} requests in 2 s without changes");
}

/// Guards against a status of one VM that lacks the configuration version of the others, the stage
/// of a release or the evacuated data centres.
#[tokio::test]
async fn any_vm_reports_the_state_of_the_fleet() {
    let (site, door, [_server]) = Site::with_servers(&Desired::default()).await;
    let vms = [("vm-1", "nord-a"), ("vm-2", "nord-a"), ("vm-3", "sud-a")];
    let [first, _second, _remote] = site.gateways(vms, &door).await;
    site.publish(&Desired {
        version: 2,
        ..Desired::default()
    });
    operator::order_evacuation(&site.store, "sud-a");
    operator::order_takeover(&site.store, "lookup", "v2", 60);
    wait_until("the version is in force on all VMs", || async {
        let state = state(&first).await;
        (state.version, state.on, state.of) == (2, 3, 3) && state.evacuated == ["sud-a".into()]
    })
    .await;
    wait_until("the release is reported", || async {
        let state = state(&first).await;
        let release = state.releases.first();
        release.is_some_and(|r| &*r.label == "v2" && r.stage == Some(Stage::Sampling))
    })
    .await;
}

/// Guards against counting a silent VM, which is only in the member table, as up to date.
#[tokio::test]
async fn state_of_the_fleet_names_silent_vms() {
    let (site, door, [_server]) = Site::with_servers(&Desired::default()).await;
    let entry = "127.255.255.9:7460 nord-a";
    site.store.put("members", "vm-9", entry);
    let [first, _second] = site
        .gateways([("vm-1", "nord-a"), ("vm-2", "nord-a")], &door)
        .await;
    wait_until("the silent VM is missing", || async {
        let state = state(&first).await;
        (state.on, state.of) == (2, 3) && state.missing == ["vm-9".into()]
    })
    .await;
}

/// Guards against VMs with little bandwidth getting as many callers as those with much.
#[tokio::test]
async fn lookup_names_the_vms_with_wide_links() {
    let (site, door, [_server]) = Site::with_servers(&Desired::default()).await;
    let links = [
        ("vm-1", "nord-a", 200.0),
        ("vm-2", "nord-b", 200.0),
        ("vm-3", "nord-b", 200.0),
        ("vm-4", "nord-a", 10.0),
    ];
    let mut gateways = Vec::new();
    for (vm, data_centre, link) in links {
        gateways.push(site.start_gateway(vm, data_centre, &door, link).await);
    }
    for gateway in &gateways {
        gateway.wait_ready().await;
    }
    let narrow = gateways[3].settings.listen.callers.to_string();
    for gateway in &gateways {
        wait_until("the three VMs with wide links are returned", || async {
            let addresses = looked_up(gateway, "nord").await;
            addresses.len() == 3 && !addresses.contains(&narrow)
        })
        .await;
    }
}

/// Guards against look-ups that return stopped VMs.
#[tokio::test]
async fn lookup_names_the_vms_that_serve() {
    let (site, door, [_server]) = Site::with_servers(&Desired::default()).await;
    let vms = [("vm-1", "nord-a"), ("vm-2", "nord-b"), ("vm-3", "sud-a")];
    let [first, second, remote] = site.gateways(vms, &door).await;
    let callers = |gateway: &Gateway| gateway.settings.listen.callers.to_string();
    wait_until("both VMs of the region are returned", || async {
        looked_up(&first, "nord").await.len() == 2
    })
    .await;
    assert_eq!(looked_up(&first, "sud").await, [callers(&remote)]);
    second.stop.cancel();
    wait_until("the stopping VM is not returned", || async {
        looked_up(&first, "nord").await == [callers(&first)]
    })
    .await;
}

/// Guards against a request that is sent twice or under another id: the server sees the caller's
/// id once.
#[tokio::test]
async fn servers_see_the_callers_ids() {
    let (_site, _, server, gateway) = Site::with_gateway(&Desired::default()).await;
    gateway.request("unique", "/a/").await;
    let ids: Vec<_> = server
        .runs()
        .iter()
        .map(|run| run.headers[header::REQUEST_ID].clone())
        .collect();
    assert_eq!(ids, ["unique"]);
}

/// Starts a site with [`ROUTES`] routes and [`SERVERS`] servers, and one gateway.
async fn large_site() -> (Site, Gateway) {
    let route = |number| Route {
        name: Box::leak(format!("parcel-history-{number}").into()),
        ..Route::PLAIN
    };
    let routes: Vec<Route> = (0..ROUTES).map(route).collect();
    let site = Site::new();
    let door = site.store_endpoint().await;
    site.publish(&Desired {
        routes: routes.leak(),
        ..Desired::default()
    });
    for number in 0..SERVERS {
        let [high, low] = number.to_be_bytes();
        let address = SocketAddr::new(Ipv4Addr::new(127, 255, high, low).into(), 8080);
        Entry::default().publish(&site.store, &format!("i-{number}"), address);
    }
    let gateway = site.gateway("vm-1", "nord-a", &door).await;
    gateway.wait_ready().await;
    (site, gateway)
}

/// Guards against full answers that take longer on a narrow link than VMs wait: after a change of
/// the delegate, 18 VMs lacked the newest orders and servers (hunt-85ee-7 of permis-parcs-grown,
/// CONFIG and DRAIN).
#[tokio::test]
async fn full_answer_fits_a_narrow_link() {
    let (_site, gateway) = large_site().await;
    let answer = site::get(gateway.settings.listen.peers, FULL_REQUEST).await;
    let bytes = answer.expect("an answer").body.len();
    assert!(bytes <= MAX_ANSWER_BYTES, "{bytes} bytes");
}

/// Guards against a delegate that encodes the same answer for each request, which takes a slow one
/// longer than the VMs wait.
#[tokio::test]
async fn full_answer_is_encoded_once_for_all_requests() {
    let (_site, gateway) = large_site().await;
    for _ in 0..18 {
        let answer = site::get(gateway.settings.listen.peers, FULL_REQUEST).await;
        assert!(answer.is_some());
    }
    let packed = site::metric(&gateway, "gateway_store_packed_total").await;
    // Orders once, and the list again if the requests take longer than a second.
    assert!((2..=4).contains(&packed), "{packed} values packed");
}

/// Malformed entries; all but the first are valid JSON.
const MALFORMED_ENTRIES: [&str; 7] = [
    "\u{0}",
    r#"{"service":"lookup","address":"127.0.0.9:70000","zone":"nord-a","version":"v1","slots":3,"state":"ready","warmupLeftMs":0,"sequence":1,"born":1000}"#,
    r#"{"service":"lookup","address":"127.0.0.9:80","zone":"nord-a","version":"v1","slots":1e99,"state":"ready","warmupLeftMs":0,"sequence":1,"born":1000}"#,
    r#"{"service":"lookup","address":"127.0.0.9:80","zone":"nord-a","version":"v1","slots":4294967295,"state":"ready","warmupLeftMs":0,"sequence":1,"born":1000}"#,
    r#"{"service":"lookup","address":"127.0.0.9:80","zone":"nord-a","version":"v1","slots":3,"state":"ready","warmupLeftMs":1e22,"sequence":1,"born":1000}"#,
    r#"{"service":"lookup","address":"0.0.0.0:0","zone":"nord-a","version":"v1","slots":3,"state":"ready","warmupLeftMs":0,"sequence":1,"born":1000}"#,
    r#"{"service":"lookup","address":"127.0.0.9:80","zone":"nord-a","version":"v1","slots":3,"state":"asleep","warmupLeftMs":0,"sequence":1,"born":1000}"#,
];
/// Nesting depth that overflows the stack of a recursive decoder without a limit.
const DEPTH: usize = 20_000;

/// Guards against a malformed server entry that stops the reader of registrations or that gets
/// requests.
#[tokio::test]
async fn malformed_entries_do_not_stop_the_reader() {
    let (site, door, [server]) = Site::with_servers(&Desired::default()).await;
    for (number, entry) in MALFORMED_ENTRIES.iter().enumerate() {
        site.store.put("servers", &format!("odd-{number}"), *entry);
    }
    let nested = "[".repeat(DEPTH) + &"]".repeat(DEPTH);
    site.store.put("servers", "odd-nested", nested.clone());
    let inside = format!(r#"{{"service":"lookup","later":{nested}}}"#);
    site.store.put("servers", "odd-inside", inside);
    let [first, second] = site
        .gateways([("vm-1", "nord-a"), ("vm-2", "nord-a")], &door)
        .await;
    let entry = Entry {
        leaving: true,
        sequence: 2,
        ..Entry::default()
    };
    let other = site.server("i-2", &Entry::default()).await;
    server.register(&site.store, &entry);
    for gateway in [&first, &second] {
        wait_until("the other server answers", || async {
            let before = other.runs().len();
            let served = status(gateway, "key-1").await == Some(StatusCode::OK);
            served && other.runs().len() > before
        })
        .await;
    }
}

/// Guards against a VM with a narrow link that reads the store for its data centre for good, since it
/// was the first to read after an outage (large/permis-parcs-large trouble-3, CONFIG).
#[tokio::test]
async fn vm_with_a_wide_link_takes_the_reading_over_after_an_outage() {
    let (site, door, [_server]) = Site::with_servers(&Desired::default()).await;
    let other_door = site.store_endpoint().await;
    // Hears the reports of both, as a third VM.
    let address = SocketAddr::new(site::unused_address(), 7460);
    let socket = UdpSocket::bind(address).await.expect("a socket");
    site.store
        .put("members", "vm-3", format!("{address} nord-a 12"));
    let [wide, narrow] =
        [("vm-2", 120.0, &door), ("vm-1", 12.0, &other_door)].map(|(vm, link_mbps, door)| {
            Settings {
                link_mbps,
                ..Site::gateway_settings(vm, "nord-a", door)
            }
        });
    site.run_gateway(wide).wait_ready().await;
    site.run_gateway(narrow).wait_ready().await;
    let reader = async |vm: &str| {
        let mut reads: IndexMap<Vm, bool> = IndexMap::new();
        let mut buffer = vec![0; report::MAX_DATAGRAM_BYTES];
        while reads.get(vm) != Some(&true) || reads.values().filter(|reads| **reads).count() > 1 {
            let (length, _) = socket.recv_from(&mut buffer).await.expect("a datagram");
            let report = report::decode(&buffer[..length]).expect("a report");
            reads.insert(report.vm, report.known.reads);
        }
    };
    let is_reader = async |vm: &str| tokio::time::timeout(TAKEOVER, reader(vm)).await.is_ok();
    assert!(is_reader("vm-2").await, "vm-2 doesn't read");
    door.set(Faults {
        down: true,
        ..Faults::default()
    });
    assert!(is_reader("vm-1").await, "vm-1 doesn't read");
    door.set(Faults::default());
    assert!(is_reader("vm-2").await, "vm-2 doesn't read again");
}
