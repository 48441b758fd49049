//! Rates, bursts and fair queues through separate processes.

use base::http::client::Target;
use bench::args::Load;
use bench::load::Summary;
use bench::topology::{ATLAS, Deployment, Service};
use hyper::Method;
use integration::{Fleet, wait_until};
use peers::local::Division;
use platform::table::Row;
use std::time::{Duration, Instant};

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

/// Time after which elastic allocations have expired, with a margin for slow processes.
const ALLOCATION_EXPIRY: Duration = Duration::from_secs(4);

fn load(key: &str, requests: usize, connections: usize) -> Load {
    Load {
        lookup: None,
        address: None,
        path: "/lookup/permits".into(),
        method: "GET".into(),
        key: Some(key.into()),
        requests,
        connections,
    }
}

fn count(summary: &Summary, outcome: &str) -> usize {
    summary.outcomes.get(outcome).copied().unwrap_or(0)
}

/// Returns the sum of a workspace's counter over some VMs.
async fn counter(fleet: &Fleet, vms: &[&str], name: &str, workspace: &str) -> f64 {
    let mut sum = 0.0;
    for vm in vms {
        let target = Target {
            address: fleet.address(&format!("{vm}-entry"), "metrics"),
            timeout: Duration::from_secs(10),
            authorization: None,
        };
        let answer = target.call(Method::GET, "/metrics", "").await;
        let body = answer.expect("metrics").body;
        let text = std::str::from_utf8(&body).expect("text");
        let label = format!("workspace=\"{workspace}\"");
        let prefix = format!("cardamomhall_{name}_total{{");
        sum += text
            .lines()
            .filter(|line| line.starts_with(&prefix) && line.contains(&label))
            .filter_map(|line| line.rsplit_once(' ')?.1.parse::<f64>().ok())
            .sum::<f64>();
    }
    sum
}

/// Starts a fleet and waits until a workspace's key is served by some VMs.
async fn start(port: u16, workspace: &str, vms: &[&str]) -> (Fleet, Box<str>) {
    let fleet = Fleet::start(SMALL, port);
    fleet.publish("vm-01", "atlas").await;
    let key = fleet.issue_key("vm-01", workspace).await.key;
    for vm in vms {
        wait_until("the VM serves the key", async || {
            count(&fleet.load(vm, load(&key, 1, 1)).await, "served") == 1
        })
        .await;
    }
    (fleet, key)
}

async fn start_outage(fleet: &Fleet) {
    let outage = serde_json::json!({ "outage": true });
    fleet.call_platform(Method::PUT, "/switch", &outage).await;
}

/// Guards against a limit that is exceeded over several VMs: two full buckets would admit twice the
/// rate.
#[tokio::test(flavor = "multi_thread")]
async fn two_vms_together_keep_the_limit() {
    const VMS: &[&str] = &["vm-01", "vm-02"];
    const ALL: &[&str] = &["vm-01", "vm-02", "vm-03", "vm-04"];
    // The example's limit of the workspace.
    let (rate, burst) = (20.0, 32.0);
    // Long enough that the rate of a second bucket would show over the burst.
    let span = Duration::from_secs(8);
    let (fleet, key) = start(25_000, "dakhla", VMS).await;

    let begin = Instant::now();
    let before = counter(&fleet, ALL, "tokens_spent", "dakhla").await;
    let mut refused = 0;
    let mut offered = 0;
    while begin.elapsed() < span {
        let (one, two) = tokio::join!(
            fleet.load(VMS[0], load(&key, 300, 100)),
            fleet.load(VMS[1], load(&key, 300, 100)),
        );
        offered += 600;
        for summary in [one, two] {
            refused += count(&summary, "not-run: rate-limited");
        }
    }
    let admitted = counter(&fleet, ALL, "tokens_spent", "dakhla").await - before;
    let bound = burst + rate * begin.elapsed().as_secs_f64();
    assert!(admitted <= bound, "{admitted} admitted, bound {bound}");
    assert!(f64::from(offered) > bound && refused > 0);
    println!("{admitted} admitted of {offered}, bound {bound:.1}, {refused} refused");
}

/// Returns the VM that holds the granter lease of a workspace's shard.
async fn granter(fleet: &Fleet, workspace: &str) -> Option<Box<str>> {
    let target = Target {
        address: fleet.address("vm-01-control", "platform"),
        timeout: Duration::from_secs(10),
        authorization: None,
    };
    let row = async |key: &str| -> Option<serde_json::Value> {
        let path = format!("/table/{key}");
        let answer = target.call(Method::GET, &path, "").await.ok()?;
        answer.decode::<Row>().ok().map(|row| row.value)
    };
    let floors = row("floors").await?;
    let division: Division = serde_json::from_value(floors["division"].clone()).ok()?;
    let lease = row(&format!("granter/{}", division.shard(workspace))).await?;
    lease["holder"]["vm"].as_str().map(Into::into)
}

/// Guards against an exceeded limit when the granter is paused past its lease, another one takes
/// over, the paused one continues, and answers of the table are lost.
#[tokio::test(flavor = "multi_thread")]
async fn limit_holds_through_a_pause_of_the_granter() {
    const VMS: &[&str] = &["vm-01", "vm-02", "vm-03", "vm-04"];
    // The example's limit of the workspace.
    let (rate, burst) = (20.0, 32.0);
    let (fleet, key) = start(25_800, "al-hoceima", VMS).await;
    wait_until("the shard has a granter", async || {
        granter(&fleet, "al-hoceima").await.is_some()
    })
    .await;
    let former = granter(&fleet, "al-hoceima").await.expect("a granter");
    let paused = format!("{former}-control");

    let begin = Instant::now();
    let before = counter(&fleet, VMS, "tokens_spent", "al-hoceima").await;
    let flood = async || {
        let vm = |vm| fleet.load(vm, load(&key, 200, 80));
        tokio::join!(vm(VMS[0]), vm(VMS[1]), vm(VMS[2]), vm(VMS[3]));
    };
    flood().await;
    fleet.signal(&paused, "STOP");
    let lose = serde_json::json!({ "lose_answers": 6 });
    fleet.call_platform(Method::PUT, "/switch", &lose).await;
    wait_until("another VM holds the lease", async || {
        flood().await;
        granter(&fleet, "al-hoceima")
            .await
            .is_some_and(|vm| vm != former)
    })
    .await;
    fleet.signal(&paused, "CONT");
    for _ in 0..4 {
        flood().await;
    }
    let admitted = counter(&fleet, VMS, "tokens_spent", "al-hoceima").await - before;
    let bound = burst + rate * begin.elapsed().as_secs_f64();
    assert!(admitted <= bound, "{admitted} admitted, bound {bound}");
    println!("pause: {admitted} admitted, bound {bound:.1}");
}

/// Guards against an exceeded limit when an entry is killed and restarted: a bucket that starts
/// full would admit its burst each time.
#[tokio::test(flavor = "multi_thread")]
async fn limit_holds_through_restarts_of_an_entry() {
    const RESTARTS: usize = 4;
    // The example's limit of the workspace.
    let (rate, burst) = (20.0, 32.0);
    let (mut fleet, key) = start(25_500, "dakhla", &["vm-01", "vm-02"]).await;
    let begin = Instant::now();
    let mut served = 0;
    for _ in 0..RESTARTS {
        let (one, two) = tokio::join!(
            fleet.load("vm-01", load(&key, 100, 50)),
            fleet.load("vm-02", load(&key, 100, 50)),
        );
        served += count(&one, "served") + count(&two, "served");
        fleet.signal("vm-02-entry", "KILL");
        fleet.wait_exit("vm-02-entry");
        fleet.restart("vm-02-entry");
        let again = std::cell::Cell::new(0);
        wait_until("the restarted entry serves", async || {
            let summary = fleet.load("vm-02", load(&key, 10, 10)).await;
            again.set(again.get() + count(&summary, "served"));
            count(&summary, "served") > 0
        })
        .await;
        served += again.get();
    }
    let bound = burst + rate * begin.elapsed().as_secs_f64();
    assert!(served as f64 <= bound, "{served} served, bound {bound}");
    println!("restarts: {served} served, bound {bound:.1}");
}

/// Guards against missing elastic allocations: the floor of one VM holds 1.25 tokens of this
/// workspace and refills 3.1 a second, so without them most of the requests are refused.
#[tokio::test(flavor = "multi_thread")]
async fn demand_on_one_vm_is_served_inside_the_rate() {
    let (fleet, key) = start(25_200, "ifrane", &["vm-02"]).await;
    wait_until("all requests are served", async || {
        let summary = fleet.load("vm-02", load(&key, 60, 30)).await;
        count(&summary, "served") == 60
    })
    .await;
    let granted = counter(&fleet, &["vm-02"], "renewals", "ifrane").await;
    assert!(granted > 0.0, "renewals are counted");
}

/// Guards against refused requests inside the floor when neither the store nor a granter is
/// available.
#[tokio::test(flavor = "multi_thread")]
async fn floor_serves_without_store_and_granter() {
    let (mut fleet, key) = start(25_400, "toubkal", &["vm-03"]).await;
    start_outage(&fleet).await;
    for vm in ["vm-01", "vm-02", "vm-03", "vm-04"] {
        let control = format!("{vm}-control");
        fleet.signal(&control, "KILL");
        fleet.wait_exit(&control);
    }
    tokio::time::sleep(ALLOCATION_EXPIRY).await;
    let summary = fleet.load("vm-03", load(&key, 5, 1)).await;
    assert_eq!(count(&summary, "served"), 5, "{summary:?}");
}

/// Guards against a workspace whose flood of requests causes refusals for another workspace inside
/// its rate, or is served beyond its own limit.
#[tokio::test(flavor = "multi_thread")]
async fn flood_of_one_workspace_does_not_limit_others() {
    const FLOOD: usize = 2_000;
    // The example's limit of the workspace.
    let (rate, burst) = (300.0, 100.0);
    let (fleet, flooding) = start(25_600, "souss-massa", &["vm-01"]).await;
    let other = fleet.issue_key("vm-01", "toubkal").await.key;
    wait_until("the other workspace is served", async || {
        count(&fleet.load("vm-01", load(&other, 40, 4)).await, "served") == 40
    })
    .await;
    let begin = Instant::now();
    let (flood, served) = tokio::join!(
        fleet.load("vm-01", load(&flooding, FLOOD, 150)),
        fleet.load("vm-01", load(&other, 40, 4)),
    );
    let bound = burst + rate * begin.elapsed().as_secs_f64();
    let admitted = count(&flood, "served");
    assert!(admitted as f64 <= bound, "{admitted} served, bound {bound}");
    // On a machine that is too busy to send more than the rate, nothing has to be limited.
    let is_above = FLOOD as f64 > bound;
    let limited = count(&flood, "not-run: rate-limited");
    assert!(limited > 0 || !is_above, "bound {bound}, {flood:?}");
    assert_eq!(count(&served, "served"), 40, "{served:?}");
}
