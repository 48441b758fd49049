//! Issue, replacement and withdrawal of keys.

use bench::args::Load;
use bench::topology::{ATLAS, Deployment, Service};
use hyper::Method;
use integration::{Fleet, examples, wait_until};
use operators::admin::{KeyState, Proposal, Rotate, Verdict, Withdraw};

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

/// Sends one request through a VM and returns whether its outcome is `expected`.
async fn has_outcome(fleet: &Fleet, vm: &str, key: &str, expected: &str) -> bool {
    let request = Load {
        lookup: None,
        address: None,
        path: "/lookup/permits".into(),
        method: "GET".into(),
        key: Some(key.into()),
        requests: 1,
        connections: 1,
    };
    fleet.load(vm, request).await.outcomes.get(expected) == Some(&1)
}

const REFUSED: &str = "not-run: unauthorised";

/// Guards against a withdrawal that needs the store, is lost when the store returns, or is undone
/// by a restart.
#[tokio::test(flavor = "multi_thread")]
async fn withdrawal_works_while_the_store_is_down() {
    let mut fleet = Fleet::start(SMALL, 24_600);
    fleet.publish("vm-01", "atlas").await;
    let kept = fleet.issue_key("vm-01", "toubkal").await;
    let lost = fleet.issue_key("vm-01", "toubkal").await;
    for key in [&kept.key, &lost.key] {
        wait_until("the key is served", async || {
            has_outcome(&fleet, "vm-03", key, "served").await
        })
        .await;
    }
    fleet.set_outage(true).await;
    let withdraw = Withdraw {
        id: lost.id.clone(),
    };
    let done = fleet.admin("vm-01").withdraw(&withdraw).await;
    let done = done.expect("withdrawn");
    assert!(!done.durable && done.shared, "{done:?}");
    wait_until("another VM refuses the key", async || {
        has_outcome(&fleet, "vm-03", &lost.key, REFUSED).await
    })
    .await;
    assert!(has_outcome(&fleet, "vm-03", &kept.key, "served").await);

    for program in ["vm-03-control", "vm-03-entry"] {
        fleet.signal(program, "KILL");
        fleet.wait_exit(program);
        fleet.restart(program);
    }
    wait_until("the restarted VM serves the other key", async || {
        has_outcome(&fleet, "vm-03", &kept.key, "served").await
    })
    .await;
    assert!(has_outcome(&fleet, "vm-03", &lost.key, REFUSED).await);

    fleet.set_outage(false).await;
    wait_until("the table has the withdrawal", async || {
        let path = "/table/growing";
        let row = fleet
            .call_platform(Method::GET, path, &serde_json::Value::Null)
            .await;
        row.decode::<platform::table::Row>()
            .is_ok_and(|row| row.value.to_string().contains(&*lost.id))
    })
    .await;
}

/// Guards against a rotation that disables the old key before the overlap ends, or keeps it valid
/// afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn replaced_key_works_during_the_overlap_only() {
    let fleet = Fleet::start(SMALL, 24_700);
    fleet.publish("vm-01", "atlas").await;
    let first = fleet.issue_key("vm-01", "toubkal").await;
    let rotate = async |id: &str, overlap_ms| {
        let id = id.into();
        let rotate = Rotate { id, overlap_ms };
        fleet.admin("vm-02").rotate(&rotate).await
    };
    wait_until("the other VM knows the key", async || {
        has_outcome(&fleet, "vm-02", &first.key, "served").await
    })
    .await;
    let second = rotate(&first.id, 3_600_000).await.expect("rotated");
    wait_until("the new key is served", async || {
        has_outcome(&fleet, "vm-03", &second.key, "served").await
    })
    .await;
    assert!(has_outcome(&fleet, "vm-03", &first.key, "served").await);

    let third = rotate(&second.id, 0).await.expect("rotated");
    wait_until("the newest key is served", async || {
        has_outcome(&fleet, "vm-03", &third.key, "served").await
    })
    .await;
    assert!(has_outcome(&fleet, "vm-03", &second.key, REFUSED).await);
    assert!(rotate("0000000000000000", 0).await.is_err());
}

/// Guards against an isolated VM that ignores `isolated_keys`, and against one that still refuses
/// keys after it reaches another data centre again.
#[tokio::test(flavor = "multi_thread")]
async fn isolated_vm_refuses_keys_if_configured() {
    let fleet = Fleet::start(SMALL, 24_800);
    fleet.publish("vm-01", "atlas").await;
    let key = fleet.issue_key("vm-01", "toubkal").await.key;
    let mut files = examples("atlas");
    let text = files.get_mut("fleet.yaml").expect("fleet file");
    *text = text
        .replace("isolated_keys: serve", "isolated_keys: refuse")
        .replace("key_staleness: 1m", "key_staleness: 5s")
        .into();
    let proposal = Proposal {
        base: 1,
        author: "test".into(),
        files,
    };
    let verdict = fleet.admin("vm-01").publish(&proposal).await;
    let accepted = matches!(verdict, Ok(Verdict::Accepted { .. }));
    assert!(accepted, "{verdict:?}");
    wait_until("the key is served", async || {
        has_outcome(&fleet, "vm-01", &key, "served").await
    })
    .await;

    fleet.set_outage(true).await;
    let others = ["vm-02-control", "vm-03-control", "vm-04-control"];
    for other in others {
        fleet.signal(other, "STOP");
    }
    wait_until("the isolated VM refuses keys", async || {
        has_outcome(&fleet, "vm-01", &key, "not-run: keys-not-confirmed").await
    })
    .await;
    let keys = fleet.status("vm-01").await.keys;
    assert_eq!(keys.state, KeyState::Refused);
    assert!(keys.since.is_some());
    fleet.signal("vm-03-control", "CONT");
    wait_until("the VM accepts keys again", async || {
        has_outcome(&fleet, "vm-01", &key, "served").await
    })
    .await;
    for other in others {
        fleet.signal(other, "CONT");
    }
}
