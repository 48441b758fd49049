//! Checks of steering files: each finding names the file, the line and the accepted values.

use operators::bundle::{Bundle, Files};
use rstest::rstest;

const FLEET: &str = "\
fleet: test
regions:
  - name: north
    data_centres: [north-1, north-2]
workspaces:
  - { name: toubkal, rate: 50/s, burst: 40 }
";

const SERVICE: &str = "\
service: booking
current: v1
callers: [toubkal]
routes:
  - { name: book, path: /bookings, methods: [POST] }
spread:
  - { data_centre: north-1, share: 60% }
  - { data_centre: north-2, share: 40% }
release:
  id: booking-2
  to: v2
  steps: [1%, 10%, 100%]
  finish_by: 2026-12-05T06:00:00Z
";

fn files(fleet: &str, service: &str) -> Files {
    [("fleet.yaml", fleet), ("booking.yaml", service)]
        .map(|(name, text)| (name.into(), text.into()))
        .into_iter()
        .collect()
}

#[test]
fn valid_files_are_accepted() {
    let bundle = Bundle::parse(&files(FLEET, SERVICE)).expect("valid files");
    assert!(bundle.service("booking").is_some());
}

/// Guards against accepting a file with an error, which would take effect with another meaning than
/// the operator intended.
#[rstest]
#[case::unknown_field("current: v1", "curent: v1", 2, "unknown field")]
#[case::wrong_unit("share: 60%", "share: 0.6", 7, "a percentage")]
#[case::share_above_whole("share: 60%", "share: 160%", 7, "a percentage")]
#[case::shares_sum("share: 60%", "share: 70%", 1, "sum to 110%, expected 100%")]
#[case::unknown_data_centre("north-2, share", "nrth-2, share", 8, "expected one of north-1")]
#[case::unknown_workspace("[toubkal]", "[toubkl]", 3, "unknown workspace `toubkl`")]
#[case::unknown_method("[POST]", "[FETCH]", 5, "unknown variant")]
#[case::relative_path("/bookings", "bookings", 5, "must start with `/`")]
#[case::falling_steps("[1%, 10%, 100%]", "[10%, 1%, 100%]", 10, "must rise")]
#[case::unfinished_steps("[1%, 10%, 100%]", "[1%, 10%]", 10, "end with 100%")]
#[case::same_version("to: v2", "to: v1", 10, "in service already")]
#[case::bad_time("2026-12-05T06:00:00Z", "tomorrow", 13, "a time such as")]
#[case::duplicate_key("current: v1", "current: v1\ncurrent: v2", 3, "duplicate")]
fn mistake_in_service_is_named(
    #[case] from: &str,
    #[case] to: &str,
    #[case] line: u64,
    #[case] message: &str,
) {
    let findings = Bundle::parse(&files(FLEET, &SERVICE.replace(from, to))).expect_err("refused");
    let [finding] = &*findings else {
        panic!("expected one finding, got {findings:?}");
    };
    assert_eq!(&*finding.file, "booking.yaml");
    assert_eq!(finding.line, line, "{finding}");
    assert!(finding.message.contains(message), "{finding}");
}

#[rstest]
#[case::rate_unit("50/s", "50/h", "a rate such as")]
#[case::no_burst("burst: 40", "burst: 0", "above 0")]
#[case::no_floors("workspaces:", "limits: { floor_units: 0 }\nworkspaces:", "from 1 to")]
#[case::many_floors(
    "workspaces:",
    "limits: { floor_units: 10001 }\nworkspaces:",
    "from 1 to"
)]
#[case::data_centre_twice("north-2]", "north-1]", "named twice")]
#[case::unknown_block(
    "workspaces:",
    "clients: [{ block: 10.0.0.0/8, data_centre: x }]\nworkspaces:",
    "unknown data centre"
)]
fn mistake_in_fleet_is_named(#[case] from: &str, #[case] to: &str, #[case] message: &str) {
    let findings = Bundle::parse(&files(&FLEET.replace(from, to), SERVICE)).expect_err("refused");
    let found = findings
        .iter()
        .any(|f| &*f.file == "fleet.yaml" && f.message.contains(message));
    assert!(found, "{findings:?}");
}

/// Guards against a limit whose floors hold less than one request, so that VMs with little demand
/// would refuse requests; the finding names the workspace's line.
#[rstest]
#[case(31, false)]
#[case(32, true)]
fn burst_below_two_tokens_a_floor_is_named(#[case] burst: u32, #[case] accepted: bool) {
    let fleet = FLEET.replace("burst: 40", &format!("burst: {burst}"));
    let parsed = Bundle::parse(&files(&fleet, SERVICE));
    assert_eq!(parsed.is_ok(), accepted, "{parsed:?}");
    for finding in parsed.err().into_iter().flatten() {
        assert_eq!((&*finding.file, finding.line), ("fleet.yaml", 6));
        assert!(finding.message.contains("at least 32"), "{finding}");
    }
}

/// Guards against two routes that match the same request.
#[test]
fn overlapping_routes_are_refused() {
    let second = "  - { name: other, path: /bookings/, methods: [GET, POST] }\nspread:";
    let service = SERVICE.replace("spread:", second);
    let findings = Bundle::parse(&files(FLEET, &service)).expect_err("refused");
    assert!(
        findings[0].message.contains("overlaps route `book`"),
        "{findings:?}"
    );
}

#[test]
fn missing_fleet_file_is_named() {
    let files = [("booking.yaml".into(), SERVICE.into())]
        .into_iter()
        .collect();
    let findings = Bundle::parse(&files).expect_err("refused");
    assert_eq!(findings[0].to_string(), "fleet.yaml:0: the file is missing");
}

#[rstest]
#[case("GET", "/bookings", None)]
#[case("POST", "/bookings", Some("book"))]
#[case("POST", "/bookings/7", Some("book"))]
#[case("POST", "/bookingsx", None)]
fn route_matches_at_segment_boundaries(
    #[case] method: &str,
    #[case] path: &str,
    #[case] route: Option<&str>,
) {
    let bundle = Bundle::parse(&files(FLEET, SERVICE)).expect("valid files");
    let service = bundle.service("booking").expect("the service");
    assert_eq!(service.route(method, path).map(|r| &*r.name), route);
}
