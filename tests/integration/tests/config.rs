//! Publications, and synchronization between control processes.

use bench::topology::{ATLAS, Deployment, Service};
use hyper::Method;
use integration::{Fleet, examples, wait_until};
use operators::admin::{KeyState, Proposal, Stage, Verdict};
use operators::bundle::Files;

const SMALL: Deployment = Deployment {
    nodes: 8,
    services: &[Service {
        name: "lookup",
        servers: 6,
        slots: 3,
        service_ms: 1,
    }],
    ..ATLAS
};

/// Returns the example files with an added comment, so that their content differs.
fn changed(comment: &str) -> Files {
    let mut files = examples("atlas");
    let fleet = files.get_mut("fleet.yaml").expect("fleet file");
    *fleet = format!("# {comment}\n{fleet}").into();
    files
}

fn proposal(base: u64, comment: &str) -> Proposal {
    Proposal {
        base,
        author: "test".into(),
        files: changed(comment),
    }
}

async fn publish(fleet: &Fleet, vm: &str, base: u64, comment: &str) -> Verdict {
    let proposal = proposal(base, comment);
    fleet.admin(vm).publish(&proposal).await.expect("a verdict")
}

/// Returns the value of a counter or gauge of a control process.
async fn metric(fleet: &Fleet, vm: &str, name: &str) -> String {
    let target = base::http::client::Target {
        address: fleet.address(&format!("{vm}-control"), "metrics"),
        timeout: std::time::Duration::from_secs(10),
        authorization: None,
    };
    let answer = target
        .call(Method::GET, "/metrics", "")
        .await
        .expect("metrics");
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let value = text.lines().find_map(|line| line.strip_prefix(name));
    value.unwrap_or_default().trim().into()
}

/// Guards against a publication that misses VMs, a status that hides them or never reports done,
/// and metrics that do not have their own address.
#[tokio::test(flavor = "multi_thread")]
async fn publication_reaches_all_vms_and_lists_missing_ones() {
    let fleet = Fleet::start(SMALL, 24_000);
    assert_eq!(fleet.publish("vm-01", "atlas").await, 1);
    wait_until("version 1 is done as another VM sees it", async || {
        let status = fleet.status("vm-05").await;
        (status.version, status.stage, status.of) == (1, Stage::Done, 8)
    })
    .await;
    assert_eq!(
        metric(&fleet, "vm-08", "cardamomhall_config_version").await,
        "1"
    );

    fleet.signal("vm-08-control", "STOP");
    let verdict = publish(&fleet, "vm-02", 1, "second").await;
    assert_eq!(verdict, Verdict::Accepted { version: 2 });
    wait_until("only the stopped VM is missing", async || {
        let status = fleet.status("vm-02").await;
        status.stage == Stage::InForce && status.on == 7 && *status.missing == ["vm-08".into()]
    })
    .await;
    fleet.signal("vm-08-control", "CONT");
    wait_until("version 2 is done", async || {
        let status = fleet.status("vm-02").await;
        (status.version, status.stage) == (2, Stage::Done)
    })
    .await;
}

/// Guards against two concurrent publications that are both accepted, and against a conflict that
/// does not name the version to review.
#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_racing_publications_wins() {
    let fleet = Fleet::start(SMALL, 24_150);
    fleet.publish("vm-01", "atlas").await;
    let (one, two) = tokio::join!(
        publish(&fleet, "vm-03", 1, "one"),
        publish(&fleet, "vm-04", 1, "two")
    );
    let (won, lost) = match one {
        Verdict::Accepted { .. } => (one, two),
        _ => (two, one),
    };
    assert_eq!(won, Verdict::Accepted { version: 2 });
    assert_eq!(lost, Verdict::Conflict { version: 2 });
    // A key issued in between changes the version but causes no conflict.
    fleet.issue_key("vm-03", "toubkal").await;
    let next = publish(&fleet, "vm-03", 2, "three").await;
    assert_eq!(next, Verdict::Accepted { version: 4 });
    let late = publish(&fleet, "vm-03", 2, "four").await;
    assert_eq!(late, Verdict::Conflict { version: 4 });
}

/// Guards against a restarted control process that waits for the store, reports an older version
/// than before, or sets its entry back to one.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_control_syncs_from_peers() {
    let mut fleet = Fleet::start(SMALL, 24_300);
    fleet.publish("vm-01", "atlas").await;
    publish(&fleet, "vm-02", 1, "second").await;
    wait_until("version 2 is done", async || {
        let status = fleet.status("vm-01").await;
        (status.version, status.stage) == (2, Stage::Done)
    })
    .await;
    fleet.set_outage(true).await;
    // `vm-01` shares its data centre with another VM; `vm-04` is the only one in its data centre.
    for vm in ["vm-01", "vm-04"] {
        let control = format!("{vm}-control");
        fleet.signal(&control, "KILL");
        fleet.wait_exit(&control);
        fleet.restart(&control);
        wait_until(
            "the restarted process has the version",
            async || match fleet.admin(vm).status().await {
                Ok(status) => {
                    assert!([0, 2].contains(&status.version), "{status:?}");
                    status.version == 2
                }
                Err(_) => false,
            },
        )
        .await;
        let config = fleet.admin(vm).config().await.expect("configuration");
        assert_eq!(config.files, changed("second"));
    }
    let verdict = publish(&fleet, "vm-01", 2, "third").await;
    assert!(
        matches!(verdict, Verdict::Unavailable { .. }),
        "{verdict:?}"
    );
    fleet.set_outage(false).await;
    wait_until("publications work again", async || {
        publish(&fleet, "vm-01", 2, "third").await == Verdict::Accepted { version: 3 }
    })
    .await;
}

/// Guards against a publication that is applied twice or reported as failed because the answer to
/// its write was lost.
#[tokio::test(flavor = "multi_thread")]
async fn lost_write_answer_is_resolved_by_reading() {
    let fleet = Fleet::start(SMALL, 24_450);
    fleet.publish("vm-01", "atlas").await;
    // The answers to one file, the manifest and the head row.
    let fault = serde_json::json!({ "lose_answers": 3 });
    fleet.call_platform(Method::PUT, "/switch", &fault).await;
    let verdict = publish(&fleet, "vm-02", 1, "second").await;
    assert_eq!(verdict, Verdict::Accepted { version: 2 });
    let row = fleet
        .call_platform(Method::GET, "/table/control/head", &serde_json::Value::Null)
        .await;
    let row: platform::table::Row = row.decode().expect("row");
    assert_eq!((row.version, &row.value["version"]), (2, &2.into()));
    wait_until("version 2 is done", async || {
        let status = fleet.status("vm-05").await;
        (status.version, status.stage) == (2, Stage::Done)
    })
    .await;
}

/// Guards against every VM reading the table, and against a data centre without a reader after its
/// reader and stand-by have failed.
#[tokio::test(flavor = "multi_thread")]
async fn member_reads_the_table_when_reader_and_standby_fail() {
    let large = Deployment { nodes: 13, ..SMALL };
    let fleet = Fleet::start(large, 24_855);
    fleet.publish("vm-01", "atlas").await;
    // These three share a data centre: a reader, a stand-by and a member.
    let vms = ["vm-01", "vm-07", "vm-13"];
    let reads = async || {
        let mut reads = Vec::new();
        for vm in vms {
            let name = "cardamomhall_table_reads_total{result=\"done\"}";
            reads.push(metric(&fleet, vm, name).await.parse().unwrap_or(0_u64));
        }
        reads
    };
    let grown = |before: &[u64], after: &[u64]| -> Vec<bool> {
        before.iter().zip(after).map(|(b, a)| a > b).collect()
    };
    let member = std::sync::Mutex::new(None);
    wait_until("only two VMs of the data centre read", async || {
        let before = reads().await;
        wait_until("two VMs have read", async || {
            let grown = grown(&before, &reads().await);
            grown.iter().filter(|grown| **grown).count() >= 2
        })
        .await;
        let grown = grown(&before, &reads().await);
        let idle = grown.iter().position(|grown| !grown);
        *member.lock().expect("lock") = idle;
        idle.is_some()
    })
    .await;
    let member = member.lock().expect("lock").expect("a member");
    for vm in vms.iter().filter(|vm| **vm != vms[member]) {
        fleet.signal(&format!("{vm}-control"), "STOP");
    }
    let name = "cardamomhall_table_reads_total{result=\"done\"}";
    let reads = async || metric(&fleet, vms[member], name).await;
    let before = reads().await;
    wait_until("the member reads", async || reads().await != before).await;
    for vm in vms.iter().filter(|vm| **vm != vms[member]) {
        fleet.signal(&format!("{vm}-control"), "CONT");
    }
}

/// Guards against a VM that depends on the platform: without ever reaching it, a VM starts from a
/// seed address, gets list, configuration and updates from other data centres, and confirms its
/// keys.
#[tokio::test(flavor = "multi_thread")]
async fn vm_without_platform_syncs_from_peers() {
    let small = Deployment { nodes: 4, ..SMALL };
    let mut fleet = Fleet::start(small, 24_090);
    fleet.publish("vm-01", "atlas").await;
    fleet.signal("vm-04-control", "KILL");
    fleet.wait_exit("vm-04-control");
    let seed = fleet.address("vm-01-control", "gossip");
    // Nothing listens on the configured port of the platform.
    let settings = format!("platform: 127.0.0.1:24149\nseeds: [\"{seed}\"]");
    fleet.replace_settings("vm-04-control", &settings);
    fleet.restart("vm-04-control");
    wait_until("the VM has the configuration", async || {
        let config = fleet.admin("vm-04").config().await;
        config.is_ok_and(|config| config.version == 1)
    })
    .await;
    let verdict = publish(&fleet, "vm-02", 1, "second").await;
    assert_eq!(verdict, Verdict::Accepted { version: 2 });
    wait_until("version 2 is done as the VM sees it", async || {
        let status = fleet.status("vm-04").await;
        (status.version, status.stage, status.of) == (2, Stage::Done, 4)
            && status.keys.state == KeyState::Confirmed
    })
    .await;
    let reads = "cardamomhall_table_reads_total{result=\"done\"}";
    assert_eq!(metric(&fleet, "vm-04", reads).await, "");
    let verdict = publish(&fleet, "vm-04", 2, "third").await;
    assert!(
        matches!(verdict, Verdict::Unavailable { .. }),
        "{verdict:?}"
    );
}
