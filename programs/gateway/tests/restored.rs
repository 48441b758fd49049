//! A store that comes back from an older copy.

#[allow(dead_code, reason = "other tests use the rest of the site")]
mod site;

use adapter::store::{self, Client, Put, REGISTRATIONS, TransactionResult};
use gateway::reader::MEMBER_TABLE;
use hyper::StatusCode;
use rstest::rstest;
use site::{Gateway, Site, call_each, wait_until};
use standin_site::operator::{self, Desired};
use standin_site::server::{Behaviour, Entry, Server};
use standin_site::store::{Backup, Endpoint, Faults, Lost};
use std::time::{Duration, Instant};

/// Operator's limit for applying a configuration.
const IN_FORCE: Duration = Duration::from_secs(2);
/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(600);
/// VMs and their data centres.
const VMS: [(&str, &str); 3] = [("vm-1", "nord-a"), ("vm-2", "nord-a"), ("vm-3", "sud-a")];

/// Starts a site of one server and three VMs, one of which follows another.
async fn site_of_three() -> (Site, Endpoint, Server, [Gateway; 3]) {
    let (site, door, [server]) = Site::with_servers(&Desired::default()).await;
    let gateways = site.gateways(VMS, &door).await;
    // Until the second gateway leaves reading the store to the first.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    (site, door, server, gateways)
}

async fn status(gateway: &Gateway, key: &str) -> Option<StatusCode> {
    let answer = gateway.request_with_key("1", "/a/", Some(key)).await;
    answer.map(|(status, _, _)| status)
}

/// Sends a request to each gateway; returns how many were not served.
async fn count_refusals(gateways: &[Gateway]) -> usize {
    let mut refused = 0;
    for gateway in gateways {
        refused += usize::from(status(gateway, "key-1").await != Some(StatusCode::OK));
    }
    refused
}

/// Waits until all gateways answer a key with a status; returns how long that took.
async fn time_to(gateways: &[Gateway], key: &str, expected: StatusCode) -> Duration {
    let start = Instant::now();
    for gateway in gateways {
        wait_until("all answer alike", || async {
            status(gateway, key).await == Some(expected)
        })
        .await;
    }
    start.elapsed()
}

/// Configuration whose workspace has these keys.
fn with_keys(version: u32, keys: &'static [&'static str]) -> Desired {
    Desired {
        version,
        keys,
        ..Desired::default()
    }
}

/// Lets the store be away for a moment.
async fn go_away(door: &Endpoint) {
    door.set(Faults {
        down: true,
        ..Faults::default()
    });
    tokio::time::sleep(AWAY).await;
}

/// Guards against a change that is not applied since the store gives its version out again: VMs
/// compare it with what they saw before (CONFIG, permis-parcs, restored).
#[rstest]
#[case::version_as_before(2)]
#[case::lower_version_than_before(6)]
#[tokio::test]
async fn change_after_the_store_came_back_is_in_force_in_time(#[case] lost: u32) {
    let (site, door, _server, gateways) = site_of_three().await;
    let backup = site.store.backup();
    for version in 2..2 + lost {
        site.publish(&with_keys(version, &["key-1", "key-2", "key-3"]));
    }
    time_to(&gateways, "key-3", StatusCode::OK).await;
    go_away(&door).await;
    let written = site.store.restore(backup);
    site.store.write_again(written);
    door.set(Faults::default());
    tokio::time::sleep(Duration::from_secs(1)).await;
    site.publish(&with_keys(20, &["key-1"]));
    let time = time_to(&gateways, "key-2", StatusCode::UNAUTHORIZED).await;
    assert!(time < IN_FORCE, "{time:?}");
}

/// Guards against a feed or a condition with a version of the time before the store's return, which
/// the store has given out again.
#[tokio::test]
async fn version_of_an_earlier_era_is_another_one() {
    let site = Site::new();
    let door = site.store_endpoint().await;
    let client = Client::new(door.address);
    let backup = site.store.backup();
    let put = |expected| Put {
        table: "status",
        key: "row".into(),
        expected: Some(expected),
        value: Some(b"content".to_vec()),
    };
    let written = client.transact(&[put(0)]).await.expect("an answer");
    let TransactionResult::Applied(before) = written else {
        panic!("{written:?}");
    };
    site.store.restore(backup);
    // The row that fences off earlier eras took the first version.
    site.store.put("filler", "row", "");
    site.store.put("status", "row", "other");
    let rows = client.rows("status").await.expect("rows");
    assert!(rows.version > before, "{} {before}", rows.version);
    assert!(store::is_same(rows.version, before));
    let changes = client.changes("status", before, Duration::ZERO).await;
    assert!(matches!(changes, Err(store::Error::HistoryGone)));
    let result = client.transact(&[put(before)]).await.expect("an answer");
    assert_eq!(result, TransactionResult::Conflict);
    let result = client.transact(&[put(rows.version)]).await;
    assert!(matches!(result, Ok(TransactionResult::Applied(version)) if version > rows.version));
}

/// Time after the store's return until the operator's rows are written again.
const REWRITTEN: Duration = Duration::from_millis(1_200);

/// Lets the store come back from a copy; returns what is still to be written again.
async fn come_back(site: &Site, door: &Endpoint, backup: Backup) -> Lost {
    go_away(door).await;
    let lost = site.store.restore(backup);
    door.set(Faults::default());
    lost
}

/// Guards against the configuration of the copy, older than the one in force, that is passed on to a
/// VM that starts before the operator has written the newer one again.
#[tokio::test]
async fn configuration_of_the_copy_does_not_replace_a_newer_one() {
    let (site, door, _server, gateways) = site_of_three().await;
    let backup = site.store.backup();
    site.publish(&with_keys(2, &["key-1"]));
    time_to(&gateways, "key-2", StatusCode::UNAUTHORIZED).await;
    let lost = come_back(&site, &door, backup).await;
    tokio::time::sleep(REWRITTEN).await;
    let started = site.gateway("vm-4", "nord-a", &door).await;
    started.wait_ready().await;
    for gateway in gateways.iter().chain([&started]) {
        let status = status(gateway, "key-2").await;
        assert_eq!(status, Some(StatusCode::UNAUTHORIZED));
    }
    site.store.write_again(lost);
    site.publish(&with_keys(3, &["key-1", "key-3"]));
    time_to(&gateways, "key-3", StatusCode::OK).await;
    time_to(&[started], "key-3", StatusCode::OK).await;
}

/// Guards against an evacuation that ends since the copy lacks it.
#[tokio::test]
async fn evacuation_outlives_the_return_of_the_store() {
    let (site, door, server, gateways) = site_of_three().await;
    let backup = site.store.backup();
    operator::order_evacuation(&site.store, "nord-a");
    time_to(&gateways, "key-1", StatusCode::SERVICE_UNAVAILABLE).await;
    let before = server.runs().len();
    let lost = come_back(&site, &door, backup).await;
    let end = Instant::now() + REWRITTEN;
    while Instant::now() < end {
        for gateway in &gateways {
            status(gateway, "key-1").await;
        }
    }
    site.store.write_again(lost);
    tokio::time::sleep(IN_FORCE).await;
    time_to(&gateways, "key-1", StatusCode::SERVICE_UNAVAILABLE).await;
    assert_eq!(server.runs().len(), before);
    operator::end_evacuation(&site.store, "nord-a");
    let time = time_to(&gateways, "key-1", StatusCode::OK).await;
    assert!(time < Duration::from_secs(5), "{time:?}");
}

/// Guards against an evacuation that begins again since the copy still has it.
#[tokio::test]
async fn evacuation_that_ended_does_not_return_with_the_copy() {
    let (site, door, _server, gateways) = site_of_three().await;
    operator::order_evacuation(&site.store, "nord-a");
    time_to(&gateways, "key-1", StatusCode::SERVICE_UNAVAILABLE).await;
    let backup = site.store.backup();
    operator::end_evacuation(&site.store, "nord-a");
    time_to(&gateways, "key-1", StatusCode::OK).await;
    // Until the server counts as warm again.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let lost = come_back(&site, &door, backup).await;
    let mut refused = 0;
    let end = Instant::now() + REWRITTEN;
    while Instant::now() < end {
        refused += count_refusals(&gateways).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    site.store.write_again(lost);
    tokio::time::sleep(IN_FORCE + IN_FORCE / 2).await;
    refused += count_refusals(&gateways).await;
    assert_eq!(refused, 0);
}

/// Guards against a server that joined after the copy and is dropped, and one that left and gets
/// requests again, until the servers have written their entries again.
#[tokio::test]
async fn list_of_the_copy_changes_no_server() {
    let (site, door, left, gateways) = site_of_three().await;
    let backup = site.store.backup();
    let joined = site.server("i-2", &Entry::default()).await;
    site.store.remove(REGISTRATIONS, &left.id);
    tokio::time::sleep(IN_FORCE).await;
    let before = left.arrivals().len();
    let lost = come_back(&site, &door, backup).await;
    let mut refused = 0;
    let end = Instant::now() + REWRITTEN;
    while Instant::now() < end {
        refused += count_refusals(&gateways).await;
    }
    assert_eq!((refused, left.arrivals().len()), (0, before));
    site.store.write_again(lost);
    tokio::time::sleep(IN_FORCE + IN_FORCE / 2).await;
    for gateway in &gateways {
        assert_eq!(status(gateway, "key-1").await, Some(StatusCode::OK));
    }
    assert_eq!(left.arrivals().len(), before);
    assert!(!joined.runs().is_empty());
    // A later report says that it is there after all.
    let entry = Entry {
        sequence: 2,
        ..Entry::default()
    };
    left.register(&site.store, &entry);
    wait_until("the server is used again", || async {
        call_each(&gateways[1..]).await;
        left.arrivals().len() > before
    })
    .await;
}

/// Guards against a version that was rolled back, or one that was replaced, which gets requests again,
/// and against an operator who is no longer told, since the copy lacks the end of the takeover or all
/// of it.
#[rstest]
#[case::rolled_back_order_lost(500, "rolled_back", false)]
#[case::rolled_back_order_kept(500, "rolled_back", true)]
#[case::completed_order_lost(200, "completed", false)]
#[case::completed_order_kept(200, "completed", true)]
#[tokio::test]
async fn end_of_a_takeover_outlives_the_return_of_the_store(
    #[case] answers: u16,
    #[case] end: &str,
    #[case] is_order_kept: bool,
) {
    let (site, door, old, gateways) = site_of_three().await;
    let entry = Entry {
        label: "v2",
        ..Entry::default()
    };
    let new = site.server("n-1", &entry).await;
    new.set(Behaviour {
        status: answers,
        ..Behaviour::default()
    });
    tokio::time::sleep(Duration::from_millis(500)).await;
    let mut backup = site.store.backup();
    operator::order_takeover(&site.store, "lookup", "v2", 6);
    let state = || operator::takeover_state(&site.store, "lookup");
    wait_until("the takeover runs", || async { state() == "running" }).await;
    if is_order_kept {
        backup = site.store.backup();
    }
    wait_until("the takeover ends", || async {
        call_each(&gateways).await;
        state() == end
    })
    .await;
    tokio::time::sleep(Duration::from_millis(700)).await;
    let unused = if end == "completed" { old } else { new };
    let before = unused.arrivals().len();
    let lost = come_back(&site, &door, backup).await;
    assert_ne!(state(), end);
    tokio::time::sleep(Duration::from_millis(300)).await;
    site.store.write_again(lost);
    let returned_at = Instant::now();
    wait_until("the operator is told again", || async {
        call_each(&gateways).await;
        state() == end
    })
    .await;
    let took = returned_at.elapsed();
    assert!(took < Duration::from_secs(6), "{took:?}");
    tokio::time::sleep(IN_FORCE).await;
    call_each(&gateways).await;
    assert_eq!((&*state(), unused.arrivals().len()), (end, before));
}

/// Guards against VMs that later ones don't find, since the copy lacks their entries in the member table.
#[tokio::test]
async fn member_that_the_copy_lacks_enters_again() {
    let (site, door, _server, _gateways) = site_of_three().await;
    let backup = site.store.backup();
    let joined = site.gateway("vm-4", "nord-a", &door).await;
    joined.wait_ready().await;
    let is_member = || site.store.get(MEMBER_TABLE, "vm-4").is_some();
    wait_until("the VM is a member", || async { is_member() }).await;
    // Until it follows another VM.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    come_back(&site, &door, backup).await;
    assert!(!is_member());
    let returned_at = Instant::now();
    wait_until("the VM is a member again", || async { is_member() }).await;
    assert!(returned_at.elapsed() < Duration::from_secs(5));
}

/// Guards against a VM that doesn't know of the store's return and overwrites a row, since the store has
/// given out the version that it saw again.
#[tokio::test]
async fn writer_that_missed_the_return_overwrites_nothing() {
    let site = Site::new();
    let door = site.store_endpoint().await;
    let put = |key: &str, content: &[u8], expected| Put {
        table: "status",
        key: key.into(),
        expected: Some(expected),
        value: Some(content.into()),
    };
    let applied = |result| match result {
        Ok(TransactionResult::Applied(version)) => version,
        other => panic!("{other:?}"),
    };
    let (late, other) = (Client::new(door.address), Client::new(door.address));
    let first = applied(late.transact(&[put("row", b"first", 0)]).await);
    let backup = site.store.backup();
    for _ in 0..10 {
        site.store.put("filler", "row", "");
    }
    let seen = applied(late.transact(&[put("row", b"second", first)]).await);
    site.store.restore(backup);
    applied(other.transact(&[put("other", b"", 0)]).await);
    let rows = other.rows("status").await.expect("rows");
    for _ in rows.version..rows.version + 20 {
        let version = other.rows("status").await.expect("rows").version;
        if store::is_same(version + 1, seen) {
            break;
        }
        site.store.put("filler", "row", "");
    }
    let row = rows
        .rows
        .iter()
        .find(|row| &*row.key == "row")
        .expect("the row");
    let written = applied(other.transact(&[put("row", b"other", row.version)]).await);
    assert!(store::is_same(written, seen));
    let result = late.transact(&[put("row", b"late", seen)]).await;
    assert!(
        matches!(result, Ok(TransactionResult::Conflict)),
        "{result:?}"
    );
    let content = site.store.get("status", "row");
    assert_eq!(content.as_deref(), Some(&b"other"[..]));
}
