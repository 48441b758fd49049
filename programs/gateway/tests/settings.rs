//! Settings file, as the platform renders its template.

use base::program::Settings as _;
use base::settings::parse;
use gateway::settings::Settings;

/// The template of the deploy folder.
const TEMPLATE: &str = include_str!("../../../deploy/gateway.yaml");

/// Renders the template, with the placeholders that it uses.
fn rendered() -> String {
    let values = [
        ("{{nodeName|json}}", "\"edge-nord-a-1\""),
        ("{{zone|json}}", "\"nord-a\""),
        ("{{region|json}}", "\"nord\""),
        ("{{zones|json}}", r#"{"nord-a": "nord", "sud-a": "sud"}"#),
        ("{{listen.frontend|json}}", "\"10.1.0.23:8389\""),
        ("{{listen.readiness|json}}", "\"10.1.0.23:8384\""),
        ("{{listen.directory|json}}", "\"10.1.0.23:8385\""),
        ("{{ip}}", "10.1.0.23"),
        ("{{portRange.0}}", "7460"),
        (
            "{{#seeds}}{{.|json}}{{,}}{{/seeds}}",
            "\"10.1.0.23:8383\",\"10.2.0.40:8383\"",
        ),
        ("{{platform.address|json}}", "\"10.200.1.7:8382\""),
        ("{{limits.linkMbps}}", "1000.0"),
        ("{{limits.memoryMb}}", "260"),
        (
            "{{#bootstrap}}first_start: true{{/bootstrap}}",
            "first_start: true",
        ),
        ("{{bounds.graceS}}", "6"),
        ("{{bounds.retryRatio}}", "0.2"),
        ("{{bounds.retrySlack}}", "62"),
        ("{{bounds.canaryShare}}", "0.1"),
        ("{{bounds.canarySlack}}", "50"),
        ("{{bounds.ttl_max_s}}", "5"),
    ];
    values.iter().fold(TEMPLATE.to_owned(), |text, (from, to)| {
        text.replace(from, to)
    })
}

/// Guards against a template with a key or value that the settings refuse, so that no process
/// starts. A link of 1000.0 Mbit/s was refused because it is no integer.
#[test]
fn template_gives_valid_settings() {
    let text = rendered();
    assert!(!text.contains("{{"), "{text}");
    let settings: Settings = parse("gateway.yaml", &text).expect("valid settings");
    assert_eq!(settings.problem(), None);
    assert_eq!(settings.link_mbps(), 1_000);
    assert_eq!(settings.seeds.len(), 2);
    assert!(settings.first_start);
    assert_eq!(settings.memory_mb, 260);
    assert_eq!(settings.region_of("sud-a"), "sud".into());
}

/// Guards against invalid settings that are accepted: a share above 1, or an unknown key.
#[test]
fn invalid_settings_are_refused() {
    let text = rendered().replace("retry_ratio: 0.2", "retry_ratio: 20");
    let settings: Settings = parse("gateway.yaml", &text).expect("well-formed settings");
    assert!(settings.problem().is_some());
    let text = rendered().replace("memory_mb: 260", "memory_mb: 10");
    let settings: Settings = parse("gateway.yaml", &text).expect("well-formed settings");
    assert!(settings.problem().is_some());
    let unknown = format!("{}\nunknown: 1\n", rendered());
    assert!(parse::<Settings>("gateway.yaml", &unknown).is_err());
}
