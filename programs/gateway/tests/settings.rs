//! Settings file, as the platform renders its template.

mod template;

use base::program::Settings as _;
use base::settings::parse;
use gateway::settings::{Settings, Usage};
use rstest::rstest;
use serde_json::{Value, json};
use std::time::Duration;
use steering::usage;
use template::render;

/// The template of the deploy folder.
const TEMPLATE: &str = include_str!("../../../deploy/gateway.yaml");

/// Fields of a VM in a deployment with every contract.
fn fields() -> Value {
    json!({
        "nodeName": "edge-nord-a-1",
        "ip": "10.1.0.23",
        "zone": "nord-a",
        "region": "nord",
        "zones": {"nord-a": "nord", "sud-a": "sud"},
        "listen": {
            "frontend": "10.1.0.23:8389",
            "readiness": "10.1.0.23:8384",
            "controlPlane": "10.1.0.23:8383",
            "directory": "10.1.0.23:8385",
        },
        "portRange": [7460, 7475],
        "seeds": ["10.1.0.23:8383", "10.2.0.40:8383"],
        "bootstrap": true,
        "limits": {"memoryMb": 260, "linkMbps": 1000.0},
        "bounds": {
            "graceS": 6,
            "retryRatio": 0.2,
            "retrySlack": 62,
            "canaryShare": 0.1,
            "canarySlack": 50,
            "ttl_max_s": 5,
            "enforceFencing": false,
            "leaseMs": 3000,
            "thawSlackMs": 300,
            "reportWindowS": 5,
            "usageTolerance": 0.05,
            "usageLateS": 10,
        },
        "cloud": {
            "address": "10.200.0.117:8529",
            "ratePerS": 50.0,
            "duties": ["usage_report", "other"],
            "dutyPerS": 50.0,
        },
        "platform": {"address": "10.200.1.7:8382"},
    })
}

/// Returns the fields without those at the paths.
fn without(paths: &[&str]) -> Value {
    let mut fields = fields();
    for path in paths {
        let (parent, name) = path.rsplit_once('/').expect("a path");
        let parent = fields.pointer_mut(parent).expect("a parent");
        parent.as_object_mut().expect("an object").remove(name);
    }
    fields
}

fn settings(fields: &Value) -> Settings {
    let text = render(TEMPLATE, fields);
    assert!(!text.contains("{{"), "{text}");
    parse("gateway.yaml", &text).unwrap_or_else(|error| panic!("{error}\n{text}"))
}

/// Guards against a template with a key or value that the settings refuse, so that no process
/// starts. A link of 1000.0 Mbit/s was refused because it is no integer.
#[test]
fn template_gives_valid_settings() {
    let settings = settings(&fields());
    assert_eq!(settings.problem(), None);
    assert_eq!(settings.link_mbps(), 1_000);
    assert_eq!(settings.seeds.len(), 2);
    assert!(settings.first_start);
    assert_eq!(settings.memory_mb, 260);
    assert_eq!(settings.region_of("sud-a"), "sud".into());
    let exposure = settings.bounds.exposure().expect("bounds of takeovers");
    assert_eq!((exposure.share, exposure.slack), (0.1, 50.0));
}

/// Guards against a deployment on which no process starts since its fields lack one that the
/// template takes for granted: without takeovers there are no `canaryShare` and `canarySlack`.
#[rstest]
#[case::takeovers(&["/bounds/canaryShare", "/bounds/canarySlack"])]
#[case::retries(&["/bounds/retryRatio", "/bounds/retrySlack"])]
#[case::drains(&["/bounds/graceS"])]
#[case::lookups(&["/bounds/ttl_max_s"])]
#[case::all_bounds(&["/bounds"])]
#[case::later_start(&["/bootstrap"])]
#[case::seeds(&["/seeds"])]
#[case::limits(&["/limits/linkMbps", "/limits/memoryMb"])]
#[case::cloud(&["/cloud"])]
#[case::duties(&["/cloud/duties"])]
#[case::lease(&["/bounds/leaseMs"])]
#[case::windows(&["/bounds/reportWindowS"])]
#[case::late(&["/bounds/usageLateS"])]
#[case::together(&["/bounds", "/bootstrap", "/seeds", "/limits", "/cloud"])]
fn absent_fields_give_valid_settings(#[case] absent: &[&str]) {
    let settings = settings(&without(absent));
    assert_eq!(settings.problem(), None);
    let has_exposure = !absent
        .iter()
        .any(|path| path.starts_with("/bounds/canary") || *path == "/bounds");
    assert_eq!(settings.bounds.exposure().is_some(), has_exposure);
}

/// Guards against usage that is not reported where the deployment requires it, and against reports
/// where it does not, or states no lease, windows or due time.
#[test]
fn usage_is_reported_where_the_deployment_requires_it() {
    let times = |settings: &Settings| settings.usage.as_ref().and_then(Usage::times);
    let required = settings(&fields());
    let second = Duration::from_secs(1);
    let expected = usage::Settings::new(5 * second, 10 * second, 3 * second);
    assert_eq!(times(&required), Some(expected));
    let address = required.usage.map(|usage| usage.address.to_string());
    assert_eq!(address.as_deref(), Some("10.200.0.117:8529"));
    assert!(settings(&without(&["/cloud"])).usage.is_none());
    for path in [
        "/cloud/duties",
        "/bounds/leaseMs",
        "/bounds/reportWindowS",
        "/bounds/usageLateS",
    ] {
        assert_eq!(times(&settings(&without(&[path]))), None, "{path}");
    }
}

/// Guards against invalid settings that are accepted: a share above 1, or an unknown key.
#[test]
fn invalid_settings_are_refused() {
    let rendered = || render(TEMPLATE, &fields());
    let text = rendered().replace("retry_ratio: 0.2", "retry_ratio: 20");
    let settings: Settings = parse("gateway.yaml", &text).expect("well-formed settings");
    assert!(settings.problem().is_some());
    let text = rendered().replace("memory_mb: 260", "memory_mb: 10");
    let settings: Settings = parse("gateway.yaml", &text).expect("well-formed settings");
    assert!(settings.problem().is_some());
    let unknown = format!("{}\nunknown: 1\n", rendered());
    assert!(parse::<Settings>("gateway.yaml", &unknown).is_err());
}
