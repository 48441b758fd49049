//! Look-up of routes and keys.

use indexmap::IndexMap;
use rstest::rstest;
use std::time::Duration;
use steering::routing::{
    AccessError, Account, Bounds, Configuration, Route, ServiceWeight, Table, is_allowed_in,
    key_digest,
};

fn route(host: &str, prefix: &str) -> Route {
    Route {
        name: prefix.into(),
        host: host.into(),
        prefix: prefix.into(),
        parts: vec![ServiceWeight {
            service: "lookup".into(),
            weight: 1,
        }],
        idempotent: true,
        objective: Duration::from_millis(400),
        timeout: Duration::from_secs(3),
        attempts: 2,
        priority: 0,
        open: false,
        sticky: true,
        regions: Vec::new(),
    }
}

fn table() -> Table {
    let open = Route {
        open: true,
        ..route("b.example", "/")
    };
    Table::new(Configuration {
        version: 1,
        routes: vec![
            route("a.example", "/maps/"),
            route("a.example", "/maps/tiles/"),
            open,
        ],
        accounts: vec![Account {
            name: "cooperative".into(),
            keys: vec![key_digest("secret")],
            priority: None,
            rate: None,
            burst: 0.0,
            regions: vec!["nord".into()],
        }],
        services: IndexMap::new(),
        bounds: Bounds {
            head_bytes: 16_384,
            body_bytes: 1_024,
            idle_timeout: Duration::from_secs(60),
        },
    })
}

/// Guards against a route with a shorter prefix or of another host, and against a port in the host.
#[rstest]
#[case("a.example", "/maps/1", Some("/maps/"))]
#[case("A.Example:8080", "/maps/tiles/1", Some("/maps/tiles/"))]
#[case("a.example", "/mapsies/1", None)]
#[case("c.example", "/maps/1", None)]
#[case("b.example", "/maps/1", Some("/"))]
fn longest_prefix_of_the_host_wins(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let table = table();
    let found = table.route(host, path).map(|route| &*route.prefix);
    assert_eq!(found, expected.ok_or(AccessError::NoRoute));
}

/// Guards against requests with a missing or unknown key.
#[test]
fn key_is_required_unless_the_route_is_open() {
    let table = table();
    let route = table.route("a.example", "/maps/").expect("a route");
    let name = |key| table.authorise(route, key).map(|a| a.map(|a| &*a.name));
    assert_eq!(name(Some("secret")), Ok(Some("cooperative")));
    assert_eq!(name(Some("other")), Err(AccessError::Unauthorised));
    assert_eq!(name(None), Err(AccessError::Unauthorised));
    let open = table.route("b.example", "/x").expect("a route");
    assert_eq!(table.authorise(open, None), Ok(None));
}

/// Guards against a request that runs outside the regions of its route or workspace.
#[test]
fn regions_of_route_and_workspace_both_apply() {
    let table = table();
    let account = &table.configuration().accounts[0];
    let restricted = Route {
        regions: vec!["nord".into(), "sud".into()],
        ..route("a.example", "/")
    };
    assert!(is_allowed_in(&restricted, Some(account), "nord"));
    assert!(!is_allowed_in(&restricted, Some(account), "sud"));
    assert!(is_allowed_in(&restricted, None, "sud"));
    assert!(!is_allowed_in(&restricted, None, "centre"));
}

/// Guards against a service that counts as shared because of a route that sends it nothing.
#[test]
fn routes_of_a_service_have_weight() {
    let mut configuration = table().configuration().clone();
    let all = configuration.routes_to("lookup").count();
    assert_eq!(all, configuration.routes.len());
    configuration.routes[0].parts[0].weight = 0;
    assert_eq!(configuration.routes_to("lookup").count(), all - 1);
    assert_eq!(configuration.routes_to("other").count(), 0);
}
