//! Planner of the traffic between data centres, and byte budgets of links.

use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use std::time::{Duration, Instant};
use steering::spill::{
    DataCentreLoad, LinkBudget, LinkSettings, Planner, ServiceClass, Settings, Spread,
};

const CAPACITY: f64 = 100.0;
const NO_LINK_LIMIT: fn(&str) -> f64 = |_| f64::INFINITY;

/// Two data centres in each of three regions.
fn sites(demands: [f64; 6], measured: Instant) -> Vec<DataCentreLoad> {
    (0..6)
        .map(|site| DataCentreLoad {
            data_centre: format!("dc-{site}").into(),
            region: format!("r-{}", site / 2).into(),
            healthy: true,
            capacity: CAPACITY,
            demand: demands[site],
            measured,
        })
        .collect()
}

/// Plans every half second for a minute with the same demands, measured at the time of each plan.
fn converge(
    planner: &mut Planner,
    sites: &[DataCentreLoad],
    link: impl Fn(&str) -> f64,
    start: Instant,
) {
    for half in 0..120 {
        let now = start + Duration::from_millis(500 * half);
        let mut sites = sites.to_vec();
        sites.iter_mut().for_each(|site| site.measured = now);
        planner.plan(&sites, 0.0, &link, now);
    }
}

/// Returns the share of the demand that is sent to other data centres.
fn remote_share(planner: &Planner) -> f64 {
    let weights = planner.weights().iter();
    weights
        .filter(|(name, _)| &***name != "dc-0")
        .map(|(_, w)| w)
        .sum()
}

/// Guards against traffic that leaves a region although the other data centre there has headroom.
#[test]
fn data_centre_of_the_region_is_used_first() {
    let now = Instant::now();
    let mut planner = Planner::new("dc-0", Spread::Local, Settings::default());
    converge(
        &mut planner,
        &sites([120.0, 50.0, 0.0, 0.0, 0.0, 0.0], now),
        NO_LINK_LIMIT,
        now,
    );
    assert!(
        (remote_share(&planner) - 25.0 / 120.0).abs() < 0.01,
        "{planner:?}"
    );
    assert!(
        (planner.weights()["dc-1"] - remote_share(&planner)).abs() < 1e-9,
        "{planner:?}"
    );
    assert!(planner.unplaced() < 0.01, "{planner:?}");
}

/// Guards against a shift that uses the whole headroom before its effect is measured; without
/// damping, the first plan after a surge uses all of it.
#[rstest]
#[case(Settings::default().gain, true)]
#[case(f64::INFINITY, false)]
fn one_lag_uses_part_of_headroom(#[case] gain: f64, #[case] damped: bool) {
    let start = Instant::now();
    let settings = Settings {
        gain,
        max_shift: 1.0,
        ..Settings::default()
    };
    let mut planner = Planner::new("dc-0", Spread::Local, settings.clone());
    let mut demands = [60.0, 90.0, 60.0, 60.0, 60.0, 60.0];
    planner.plan(&sites(demands, start), 0.0, NO_LINK_LIMIT, start);
    // The excess is as large as the headroom, so an undamped plan takes all of it.
    demands[0] = 240.0;
    let now = start + settings.lag;
    planner.plan(&sites(demands, now), 0.0, NO_LINK_LIMIT, now);
    let headroom = 5.0 + 4.0 * 35.0;
    let used = remote_share(&planner) * 240.0;
    assert!(used > 0.0);
    assert_eq!(
        used <= Settings::default().gain * headroom + 1e-6,
        damped,
        "{used}"
    );
}

/// Guards against a shift beyond its maximum, also while the target changes between data centres.
#[rstest]
#[case(0.1)]
#[case(0.3)]
fn cap_holds(#[case] max_shift: f64) {
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(1);
    let settings = Settings {
        max_shift,
        ..Settings::default()
    };
    let mut planner = Planner::new("dc-0", Spread::Local, settings);
    let mut demands = [200.0; 6];
    let mut most = 0.0_f64;
    for step in 0..2000_u32 {
        if step % 20 == 0 {
            demands = std::array::from_fn(|_| rng.random_range(0.0..150.0));
            demands[0] = 200.0;
        }
        let now = start + Duration::from_millis(500) * step;
        planner.plan(&sites(demands, now), 0.0, NO_LINK_LIMIT, now);
        most = most.max(remote_share(&planner));
    }
    assert!(most <= max_shift + 1e-9, "{most}");
    assert!(most > 0.9 * max_shift, "{most}");
}

/// Guards against data centres whose plans together exceed the headroom.
#[test]
fn plans_fit_together() {
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(1);
    for _ in 0..50 {
        let demands: [f64; 6] = std::array::from_fn(|_| rng.random_range(0.0..180.0));
        let sites = sites(demands, start);
        let mut load = [0.0; 6];
        for (home, demand) in demands.into_iter().enumerate() {
            let name = format!("dc-{home}");
            let mut planner = Planner::new(name, Spread::Local, Settings::default());
            converge(&mut planner, &sites, NO_LINK_LIMIT, start);
            for (target, load) in load.iter_mut().enumerate() {
                let weight = planner.weights().get(&*format!("dc-{target}"));
                *load += weight.copied().unwrap_or(0.0) * demand;
            }
        }
        let most = load.into_iter().fold(0.0, f64::max);
        assert!(most <= CAPACITY, "{demands:?} {load:?}");
    }
}

/// Simulates the planners of six data centres with measurements 3 s old; `surge` returns the
/// demands by time, `aged` is whether the measurements state their age.
///
/// Plans are made every 100 ms. Between plans, a data centre doesn't exceed its capacity.
///
/// Returns the maximum load offered to a data centre, and the maximum rate forwarded to data
/// centre 0.
fn simulate_lag(aged: bool, surge: impl Fn(f64) -> [f64; 6]) -> (f64, f64) {
    let start = Instant::now();
    let settings = Settings {
        max_shift: 1.0,
        ..Settings::default()
    };
    let mut planners: Vec<_> = (0..6)
        .map(|home| Planner::new(format!("dc-{home}"), Spread::Local, settings.clone()))
        .collect();
    let mut most = 0.0_f64;
    let mut forwarded = 0.0_f64;
    let mut inbound = [0.0; 6];
    for step in 0..400_u32 {
        let seconds = f64::from(step) * 0.1;
        let now = start + settings.lag + Duration::from_millis(100) * step;
        let measured = if aged { now - settings.lag } else { now };
        let demands = surge(seconds);
        let mut load = [0.0; 6];
        for (home, planner) in planners.iter_mut().enumerate() {
            let mut known = sites(surge(seconds - settings.lag.as_secs_f64()), measured);
            known[home].demand = demands[home];
            planner.plan(&known, inbound[home], NO_LINK_LIMIT, now);
            for (target, load) in load.iter_mut().enumerate().filter(|(t, _)| *t != home) {
                let weight = planner.weights().get(&*format!("dc-{target}"));
                *load += weight.copied().unwrap_or(0.0) * demands[home];
            }
        }
        inbound = load;
        forwarded = forwarded.max(load[0]);
        for (home, planner) in planners.iter().enumerate() {
            let own = planner.weights()[&*format!("dc-{home}")] * demands[home];
            most = most.max(load[home] + own.min(Settings::default().max_utilisation * CAPACITY));
        }
    }
    (most, forwarded)
}

/// Guards against two regions that use the same headroom: the second surge comes while plans are
/// still based on measurements from before the first one.
#[rstest]
fn staggered_surges(#[values(0.5, 1.0, 2.0, 2.5, 3.0, 4.0)] delay: f64) {
    let surge = |seconds: f64| {
        let second = if seconds >= 10.0 + delay { 140.0 } else { 60.0 };
        let first = if seconds >= 10.0 { 140.0 } else { 60.0 };
        [first, first, second, second, 30.0, 30.0]
    };
    let (most, _) = simulate_lag(true, surge);
    assert!(most <= CAPACITY, "{most}");
}

/// Guards against two full data centres that forward to each other because each sees the other as
/// it was before the callers of a failed region arrived; without the age of the measurements they
/// do.
#[rstest]
#[case(true)]
#[case(false)]
fn age_of_measurements_counts(#[case] aged: bool) {
    let surge = |seconds: f64| match seconds >= 10.0 {
        true => [140.0, 140.0, 60.0, 60.0, 60.0, 60.0],
        false => [60.0; 6],
    };
    let (_, forwarded) = simulate_lag(aged, surge);
    assert_eq!(forwarded < 1.0, aged, "{forwarded}");
}

/// Guards against traffic to a data centre that is down or whose measurements are outdated, and
/// against a plan that exceeds the rate of a link.
#[test]
fn respects_health_age_and_links() {
    let now = Instant::now();
    let demands = [195.0, 95.0, 0.0, 0.0, 0.0, 0.0];
    let mut known = sites(demands, now);
    known[2].healthy = false;
    known[4].measured = now - Settings::default().max_age - Duration::from_secs(1);
    let mut planner = Planner::new("dc-0", Spread::Local, Settings::default());
    for half in 0..6 {
        planner.plan(
            &known,
            0.0,
            |_| 30.0,
            now + Duration::from_millis(500 * half),
        );
    }
    let weights = planner.weights();
    assert!(
        !weights.contains_key("dc-2") && !weights.contains_key("dc-4"),
        "{weights:?}"
    );
    converge(
        &mut planner,
        &sites(demands, now),
        |_| 30.0,
        now + Duration::from_secs(60),
    );
    let to = |region: [&str; 2]| {
        region
            .map(|name| planner.weights()[name])
            .iter()
            .sum::<f64>()
    };
    assert!(to(["dc-2", "dc-3"]) * 195.0 <= 30.0 + 1e-9);
    assert!(to(["dc-4", "dc-5"]) * 195.0 <= 30.0 + 1e-9);
    assert!(planner.unplaced() > 0.1);
}

/// Guards against a configured spread that is ignored, or still applied to a data centre that is
/// down.
#[test]
fn follows_spread() {
    let now = Instant::now();
    let shares = IndexMap::from([
        ("dc-0".into(), 0.5),
        ("dc-2".into(), 0.3),
        ("dc-4".into(), 0.2),
    ]);
    let mut planner = Planner::new("dc-0", Spread::Shares(shares), Settings::default());
    let mut known = sites([60.0, 0.0, 0.0, 0.0, 0.0, 0.0], now);
    converge(&mut planner, &known, NO_LINK_LIMIT, now);
    assert!(
        (planner.weights()["dc-2"] - 0.3).abs() < 0.01,
        "{planner:?}"
    );
    known[4].healthy = false;
    converge(
        &mut planner,
        &known,
        NO_LINK_LIMIT,
        now + Duration::from_secs(60),
    );
    assert!(
        (planner.weights()["dc-2"] - 0.375).abs() < 0.03,
        "{planner:?}"
    );
    assert!(!planner.weights().contains_key("dc-4"), "{planner:?}");
}

const SHARE: f64 = 1e6;

fn link(now: Instant) -> LinkBudget {
    let settings = LinkSettings {
        bytes_per_second: SHARE,
        ..LinkSettings::default()
    };
    LinkBudget::new(settings, now)
}

/// Offers 500 requests a second for `seconds`; returns the number of admitted ones and their bytes.
fn offer(
    link: &mut LinkBudget,
    class: ServiceClass,
    answer: f64,
    from: Instant,
    seconds: u32,
) -> (u32, f64) {
    let mut admitted = (0, 0.0);
    for step in 0..500 * seconds {
        let now = from + Duration::from_millis(2) * step;
        if let Some(charge) = link.admit("service", class, 100.0, now) {
            link.settle(&charge, class, answer, now + Duration::from_millis(1));
            admitted = (admitted.0 + 1, admitted.1 + 100.0 + answer);
        }
    }
    admitted
}

/// Guards against a budget that is exceeded because answers are larger than assumed, and against
/// one that stays unused because they are smaller.
#[rstest]
#[case(200e3)]
#[case(5e3)]
fn learns_answer_size(#[case] answer: f64) {
    let start = Instant::now();
    let mut link = link(start);
    offer(&mut link, ServiceClass::Prompt, answer, start, 30);
    let (_, bytes) = offer(
        &mut link,
        ServiceClass::Prompt,
        answer,
        start + Duration::from_secs(30),
        10,
    );
    let burst = 0.2 * SHARE + answer;
    assert!(bytes <= 10.0 * SHARE + burst, "{bytes}");
    assert!(bytes >= 9.0 * SHARE, "{bytes}");
}

/// Guards against a cold remote cache that gets the whole budget at once, and against a warm-up
/// that continues while the links that carry the cache fills are full.
#[rstest]
#[case(None, 0.9..1.1)]
#[case(Some(0.6), 0.0..0.3)]
#[case(Some(0.9), 0.0..0.3)]
fn cold_cache_ramps(#[case] used: Option<f64>, #[case] expected: std::ops::Range<f64>) {
    let start = Instant::now();
    let mut link = link(start);
    let (_, cold) = offer(&mut link, ServiceClass::Prompt, 5e3, start, 1);
    assert!(cold <= 0.3 * SHARE, "{cold}");
    let mut warm = 0.0;
    for second in 1..60 {
        let now = start + Duration::from_secs(second);
        if let Some(used) = used {
            link.record_utilisation(used, now);
        }
        warm = offer(&mut link, ServiceClass::Prompt, 5e3, now, 1).1 / SHARE;
    }
    assert!(expected.contains(&warm), "{warm}");
}

/// Guards against deferrable requests that displace prompt ones on a full link.
#[test]
fn deferrable_requests_yield() {
    let start = Instant::now();
    let mut link = link(start);
    offer(&mut link, ServiceClass::Deferrable, 5e3, start, 40);
    let mut admitted = [0, 0];
    for step in 0..500 * 10 {
        let now = start + Duration::from_secs(40) + Duration::from_millis(2) * step;
        // Deferrable requests come first at every step.
        for (class, count) in [ServiceClass::Deferrable, ServiceClass::Prompt]
            .into_iter()
            .zip(&mut admitted)
        {
            if let Some(charge) = link.admit("service", class, 100.0, now) {
                link.settle(&charge, class, 5e3, now);
                *count += 1;
            }
        }
    }
    assert!(admitted[0] * 20 < admitted[1], "{admitted:?}");
}
