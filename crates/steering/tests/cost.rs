//! Learned costs of requests.

use rstest::rstest;
use std::time::Duration;
use steering::cost::Model;
use steering::work::ServiceTimeEstimate;

const OBJECTIVE: Duration = Duration::from_millis(600);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Records `count` cold requests of 780 ms with 15% of variation, of which 3% take 7 times as long.
fn record(model: &mut Model, route: &str, count: u64) {
    for number in 0..count {
        let usual = 780 + (number * 37 % 235) - 117;
        let factor = if number % 33 == 7 { 7 } else { 1 };
        model.record(route, OBJECTIVE, false, ms(usual * factor));
    }
}

fn is_near(found: Duration, expected: Duration, share: f64) -> bool {
    found.abs_diff(expected) <= expected.mul_f64(share)
}

/// Guards against a request that has run for long and counts as about to end, and against a usual
/// time that the slow few distort.
#[test]
fn request_that_ran_long_runs_longer() {
    let mut model = Model::default();
    record(&mut model, "search", 600);
    let cost = model.cost("search", OBJECTIVE, false);
    assert!(is_near(cost.quantile(0.5), ms(780), 0.08), "{cost:?}");
    assert!(is_near(cost.mean(), ms(920), 0.08), "{:?}", cost.mean());
    assert!(is_near(cost.residual(Duration::ZERO), cost.mean(), 0.1));
    assert!(cost.residual(ms(600)) < ms(450));
    assert!(is_near(cost.residual(ms(1_600)), ms(3_860), 0.15));
    assert!(cost.residual(ms(6_500)) > ms(500));
}

/// Guards against a rare route without an estimate, one that keeps the service's for good, and a
/// route that changes the estimates of another.
#[test]
fn rare_route_starts_from_its_service() {
    let mut model = Model::default();
    let prior = model.service_time("archive", OBJECTIVE);
    let assumed = ServiceTimeEstimate::new(OBJECTIVE).service_time();
    assert!(is_near(prior.warm, assumed.warm, 0.08) && is_near(prior.cold, assumed.cold, 0.08));
    record(&mut model, "search", 200);
    let search = model.service_time("search", OBJECTIVE).cold;
    // The same share of another objective.
    let archive = model.service_time("archive", OBJECTIVE * 2).cold;
    assert!(is_near(archive, search * 2, 0.05), "{archive:?} {search:?}");
    (0..60).for_each(|_| model.record("archive", OBJECTIVE * 2, false, ms(3_000)));
    assert!(is_near(
        model.service_time("archive", OBJECTIVE * 2).cold,
        ms(3_000),
        0.1
    ));
    assert!(is_near(
        model.service_time("search", OBJECTIVE).cold,
        search,
        0.05
    ));
}

/// Guards against memory that grows with the names of routes, and against costs of a time long ago.
#[rstest]
#[case::faster(200)]
#[case::slower(2_400)]
fn memory_is_bounded_and_old_samples_fade(#[case] later: u64) {
    let mut model = Model::default();
    record(&mut model, "search", 600);
    (0..1_000).for_each(|_| model.record("search", OBJECTIVE, false, ms(later)));
    let found = model.service_time("search", OBJECTIVE).cold;
    assert!(is_near(found, ms(later), 0.1), "{found:?}");
    for route in 0..100 {
        (0..20).for_each(|_| model.record(&format!("route-{route}"), OBJECTIVE, false, ms(50)));
    }
    let service = model.service_time("unknown", OBJECTIVE);
    assert_eq!(model.service_time("route-99", OBJECTIVE), service);
    model.retain(|route| route == "search");
    model.record("route-99", OBJECTIVE, false, ms(50));
    assert!(model.cost("route-99", OBJECTIVE, false).mean() > Duration::ZERO);
}
