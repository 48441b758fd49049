//! Text output of orders and of the state of the fleet.

use adapter::store::Row;
use cardamomctl::orders::Orders;
use cardamomctl::output;
use operators::gateway::{Departure, Notice, Release, State, Usage};
use standin_site::operator::{self, Desired};
use standin_site::store::Store;
use steering::notice::Origin;
use steering::takeover::Stage;

fn row(store: &Store, key: &str) -> Row {
    Row {
        key: key.into(),
        version: 7,
        value: store.get("op", key),
        removed: false,
    }
}

/// Guards against an order that gateways skip without a message to the operator.
#[test]
fn unreadable_order_is_named() {
    let store = Store::default();
    Desired::default().publish(&store);
    operator::order_takeover(&store, "lookup", "v2", 6);
    operator::order_evacuation(&store, "sud-a");
    store.put("op", "rollout/booking", "{}");
    let keys = [
        "config",
        "rollout/lookup",
        "evacuate/sud-a",
        "rollout/booking",
    ];
    let orders = Orders::of(&keys.map(|key| row(&store, key)));
    let text = output::orders(&orders);
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(
        lines[0],
        "version 00000001: 1 routes, 1 workspaces, 1 services"
    );
    assert_eq!(lines[1], "release of lookup to v2 within 6 s");
    assert_eq!(lines[2], "evacuated: sud-a");
    assert!(lines[3].starts_with("row rollout/booking at version 7 can't be read"));
}

/// Guards against a state that does not show on how many VMs a version is in force, which VMs lack
/// it, and the stage of a release.
#[test]
fn fleet_state_is_complete() {
    let state = State {
        vm: "vm-1".into(),
        version: 2,
        on: 2,
        of: 3,
        missing: vec!["vm-3".into()],
        releases: vec![Release {
            service: "lookup".into(),
            label: "v2".into(),
            stage: Some(Stage::RolledBack),
            is_final: true,
        }],
        evacuated: vec!["sud-a".into()],
        notices: vec![Notice {
            server: "i-1".into(),
            leaves: Some(Departure {
                origin: Origin::Answer,
                age_ms: 40,
            }),
            rejects_ms: Some(700),
        }],
        usage: Some(Usage {
            holder: "vm-2".into(),
            token: 41,
            fixed: 353_445_121,
            sent: 353_445_120,
        }),
        age_ms: Some(120),
    };
    let expected = "version 00000002 in force on 2 of 3\n\
                    missing: vm-3\n\
                    release of lookup to v2: rolled back, final\n\
                    evacuated: sud-a\n\
                    server i-1 leaves, from its answer 40 ms ago\n\
                    server i-1 wants no requests for 700 ms\n\
                    vm-2 reports usage with token 41: window 353445121 fixed, 353445120 sent\n\
                    vm-1 read the store 120 ms ago";
    assert_eq!(output::state(&state), expected);
}
