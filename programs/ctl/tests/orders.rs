//! Text output of orders, of the state of the fleet and of explanations.

use adapter::store::Row;
use cardamomctl::orders::Orders;
use cardamomctl::{explanation, output};
use operators::explain::{
    Candidate, Decision, Explanation, Figures, Limit, Obstacle, Refusal, Route, Thinning,
};
use operators::gateway::{Departure, Intake, Notice, RefusedRequest, Release, State, Usage};
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
            limit: Some(Intake {
                rate: 1.4,
                origin: Origin::Peer,
                age_ms: 90,
            }),
        }],
        refused: vec![RefusedRequest {
            digest: "1f".into(),
            crashes: 3,
            left_ms: 41_000,
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
                    server i-1 takes 1.4 requests a second from all VMs together, from another VM 90 ms ago\n\
                    request 1f crashed 3 servers: refused for 41 s\n\
                    vm-2 reports usage with token 41: window 353445121 fixed, 353445120 sent\n\
                    vm-1 read the store 120 ms ago";
    assert_eq!(output::state(&state), expected);
}

/// Guards against an explanation that does not show why a server gets no requests, or what callers
/// are told.
#[test]
fn explanation_names_servers_and_reasons() {
    let candidate = |server: &str, obstacle, figures| Candidate {
        server: server.into(),
        data_centre: "nord-a".into(),
        region: "nord".into(),
        label: "v1".into(),
        obstacle,
        figures,
    };
    let figures = Figures {
        slots: 6,
        load: 4,
        warm: true,
        wait_ms: 30,
        pace: Some(250),
        slowdown: 2.5,
        failure_rate: 0.02,
        round_trip_ms: 25,
        score_ms: 640,
    };
    let explanation = Explanation {
        vm: "vm-1".into(),
        route: Some(Route {
            name: "search".into(),
            host: "a.example".into(),
            prefix: "/search/".into(),
            idempotent: true,
            objective_ms: 600,
            timeout_ms: 5_000,
        }),
        limit: Some(Limit {
            workspace: "yefi830".into(),
            rate: 40.0,
            burst: 80.0,
            is_admitted: true,
            fleet_tokens: 61.25,
            local_tokens: 4.0,
            share: 0.1,
        }),
        refusal: None,
        decisions: vec![Decision {
            service: "search".into(),
            weight: 1,
            priority: 1,
            thinning: Some(Thinning {
                share: 0.75,
                is_admitted: false,
            }),
            estimate: Some("learned".into()),
            warm_ms: 230,
            cold_ms: 780,
            limit_ms: 840,
            candidates: vec![
                candidate("i-1", None, Some(figures)),
                candidate("i-2", Some(Obstacle::Leaving), None),
            ],
            unusable: [(Obstacle::Leaving, 1)].into_iter().collect(),
            refusal: Some(Refusal {
                status: 503,
                reason: "overloaded".into(),
                retry_ms: Some(400),
            }),
            ..Decision::default()
        }],
    };
    let expected = [
        "route search of a.example/search/: objective 600 ms, timeout 5000 ms, idempotent",
        "workspace yefi830: admitted, 61.2 requests left of 40/s and burst 80, 4.0 of them on this VM",
        "service search: priority 1",
        "  75% of this priority is admitted; this request is not admitted",
        "  learned estimate: 230 ms warm, 780 ms cold, at most 840 ms until the answer",
        "  server           data centre  region   load  warm  wait  pace  slowdown  failed  trip  score",
        "  i-1              nord-a       nord      4/6   yes    30  250%      2.50    0.02    25    640",
        "  i-2              nord-a       nord     leaving",
        "  not usable: 1 leaving",
        "  refused with 503: overloaded, retry in 400 ms",
        "explained by vm-1",
    ];
    let text = explanation::text(&explanation);
    assert_eq!(text.lines().collect::<Vec<_>>(), expected);
}
