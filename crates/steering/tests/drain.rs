//! Drains, leaving backend servers and the shutdown of a VM's own process.

use indexmap::IndexSet;
use proptest::prelude::*;
use rstest::rstest;
use std::time::{Duration, Instant};
use steering::drain::{
    Fleet, LeavingServers, Plan, Refusal, Rollout, ServerSpec, Settings, Stop, StopDeadlines,
    StopTimes, Target,
};
use steering::release::Cap;

const REGIONS: [&str; 3] = ["north", "south", "west"];

/// Two services in 3 regions of 2 data centres each; `busy` is the share of slots in use.
fn fleet(busy: f64, spill: f64) -> Fleet {
    let mut fleet = Fleet::default();
    for (service, servers) in [("lookup", 12), ("booking", 12)] {
        for index in 0..servers {
            let region = REGIONS[index % 3];
            let spec = ServerSpec {
                service: service.into(),
                region: region.into(),
                data_centre: format!("{region}{}", index / 3 % 2).into(),
                slots: 3,
            };
            fleet
                .servers
                .insert(format!("{service}{index}").into(), spec);
        }
        for region in REGIONS {
            let demand = f64::from(servers as u32) * busy;
            fleet.demand.insert((service.into(), region.into()), demand);
        }
    }
    for region in REGIONS {
        fleet.spill_capacity.insert(region.into(), spill);
    }
    fleet
}

fn data_centre(name: &str) -> Target {
    Target::DataCentre(name.into())
}

/// Drains must not leave too little capacity together or during a release. Without headroom, or if
/// earlier drains didn't count, the second drain would be accepted.
#[rstest]
#[case(0.6, 99.0, 0.2, None, 1)]
#[case(0.6, 99.0, 0.0, None, 2)]
#[case(0.4, 99.0, 0.2, None, 3)]
#[case(0.4, 99.0, 0.2, Some(25), 1)]
#[case(0.6, 2.0, 0.2, None, 0)]
fn drains_keep_headroom(
    #[case] busy: f64,
    #[case] spill: f64,
    #[case] headroom: f64,
    #[case] release: Option<u32>,
    #[case] accepted: usize,
) {
    let mut fleet = fleet(busy, spill);
    if let Some(percent) = release {
        let new_servers: IndexSet<Box<str>> =
            [0, 1, 2, 3].map(|n| format!("booking{n}").into()).into();
        let rollout = Rollout {
            new_servers,
            next_cap: Cap::from_percent(percent),
        };
        fleet.rollouts.insert("booking".into(), rollout);
    }
    let settings = Settings {
        headroom,
        ..Settings::default()
    };
    let mut plan = Plan::default();
    let answers: Vec<Result<(), Refusal>> = ["north1", "south1", "west1", "north0"]
        .iter()
        .map(|name| plan.accept(0, (*name).into(), &[data_centre(name)], &fleet, &settings))
        .collect();
    assert_eq!(
        answers.iter().take_while(|answer| answer.is_ok()).count(),
        accepted,
        "{answers:?}"
    );
    let refusal = answers[accepted].clone().unwrap_err();
    assert_eq!(
        matches!(refusal, Refusal::Spill { .. }),
        spill < 9.0,
        "{refusal}"
    );
    let alone = Plan::default().accept(0, "a".into(), &[data_centre("north0")], &fleet, &settings);
    assert_eq!(
        alone.is_ok(),
        accepted > 0,
        "the last drain alone is accepted: {alone:?}"
    );
}

proptest! {
    /// No order of accepted, advanced and removed drains may leave less than the headroom.
    #[test]
    fn many_drains_keep_headroom(actions in prop::collection::vec((0u8..4, 0usize..24, 0u32..3), 1..80)) {
        let (fleet, settings) = (fleet(0.5, 99.0), Settings::default());
        let mut plan = Plan::default();
        for (now, (action, index, load)) in actions.into_iter().enumerate() {
            let name = fleet.servers.get_index(index).unwrap().0.clone();
            match action {
                0 | 1 => {
                    let target = [Target::Server(name.clone())];
                    let _ = plan.accept(now as u64, name, &target, &fleet, &settings);
                }
                2 => {
                    let begun = plan.advance(now as u64, &settings, |_| Some(load));
                    prop_assert!(begun.len() <= settings.max_parallel);
                }
                _ => {
                    plan.remove(&name);
                }
            }
            for service in ["lookup", "booking"] {
                let left = fleet.servers.iter().filter(|(name, spec)| &*spec.service == service && plan.may_start(name));
                prop_assert!(left.count() * 3 >= 22, "50% of 36 slots and 20% headroom");
            }
        }
    }
}

/// A drain must stop servers of alternating services, report its progress and duration, and be
/// accepted only once per operation.
#[test]
fn drain_reports_progress_and_time() {
    let (fleet, settings) = (fleet(0.4, 99.0), Settings::default());
    let mut plan = Plan::default();
    let targets = [data_centre("north1")];
    assert_eq!(
        plan.accept(1000, "d".into(), &targets, &fleet, &settings),
        Ok(())
    );
    assert_eq!(
        plan.accept(9000, "d".into(), &targets, &fleet, &settings),
        Ok(())
    );
    let unknown = [data_centre("east0")];
    let refused = plan.accept(1000, "e".into(), &unknown, &fleet, &settings);
    assert_eq!(refused, Err(Refusal::Unknown(data_centre("east0"))));
    let first = plan.advance(1000, &settings, |_| Some(1));
    assert_eq!(
        first,
        ["lookup3".into(), "booking3".into()],
        "services take turns"
    );
    assert!(plan.advance(2000, &settings, |_| Some(1)).is_empty());
    assert_eq!(plan.report("d", 200_000).unwrap().overdue.len(), 2);
    assert_eq!(plan.advance(5000, &settings, |_| Some(0)).len(), 2);
    plan.advance(7000, &settings, |_| None);
    let report = plan.report("d", 7000).unwrap();
    assert_eq!(
        (report.servers, report.done, report.took),
        (4, 4, Some(6000))
    );
    assert!(report.overdue.is_empty());
    let text = serde_json::to_string(&plan).unwrap();
    assert_eq!(serde_json::from_str::<Plan>(&text).unwrap(), plan);
}

/// Returns the time in milliseconds, up to 10 s, at which a server that leaves from 0 on gets the
/// last new request. Requests come every 100 ms, health is checked every second, and the list lags.
fn last_request(refuses: bool, health: bool, list_lag: Option<u64>) -> u64 {
    let origin = Instant::now();
    let mut leaving = LeavingServers::default();
    let mut last = 0;
    for millis in (0..10_000).step_by(100) {
        let now = origin + Duration::from_millis(millis);
        if millis % 1000 == 900 {
            leaving.record_health("s", 1, now, now, health);
        }
        if millis % 500 == 0 {
            leaving.record_listed("s", now, list_lag.is_some_and(|lag| lag <= millis));
        }
        if leaving.may_start("s") {
            last = millis;
            if refuses {
                leaving.record_refusal("s", 1, now, now);
            }
        }
    }
    last
}

/// A server must get no new requests after 3 s when only one of the three signs shows that it is
/// leaving, or when the list lags. Without any sign it gets requests until the end.
#[rstest]
fn one_sign_suffices(
    #[values(true, false)] refuses: bool,
    #[values(true, false)] health: bool,
    #[values(None, Some(2000), Some(9000))] list_lag: Option<u64>,
) {
    let last = last_request(refuses, health, list_lag);
    if refuses && !health && list_lag != Some(2000) {
        // The health endpoint calls the server ready, so each return costs one refused attempt.
        assert!(attempts(list_lag) <= 2, "refused attempts only");
    } else if refuses || health || list_lag == Some(2000) {
        assert!(last <= 3000, "last new request after {last} ms");
    } else {
        assert!(last > 3000, "no sign within 3 s");
    }
}

/// Returns how often in 10 s a server gets a request that it refuses while its health answers are
/// wrong.
fn attempts(list_lag: Option<u64>) -> usize {
    let origin = Instant::now();
    let mut leaving = LeavingServers::default();
    let mut attempts = 0;
    for millis in (0..10_000).step_by(100) {
        let now = origin + Duration::from_millis(millis);
        if millis % 1000 == 900 {
            leaving.record_health("s", 1, now, now, false);
        }
        leaving.record_listed("s", now, list_lag.is_some_and(|lag| lag <= millis));
        if leaving.may_start("s") {
            attempts += 1;
            leaving.record_refusal("s", 1, now, now);
        }
    }
    attempts
}

/// A leaving server must not return by the list alone, by a health answer requested too early, or
/// while it is listed as leaving. A late refusal must not keep a restarted server out.
#[test]
fn server_returns_on_fresh_health_only() {
    let origin = Instant::now();
    let at = |seconds| origin + Duration::from_secs(seconds);
    let mut leaving = LeavingServers::default();
    leaving.record_refusal("s", 1, at(0), at(10));
    leaving.record_listed("s", at(11), false);
    assert!(!leaving.may_start("s"), "the list alone");
    leaving.record_health("s", 1, at(9), at(30), false);
    assert!(!leaving.may_start("s"), "asked before the sign");
    leaving.record_health("s", 1, at(12), at(30), false);
    assert!(!leaving.may_start("s"), "asked within the health lag");
    leaving.record_listed("s", at(13), true);
    leaving.record_health("s", 2, at(30), at(30), false);
    assert!(!leaving.may_start("s"), "listed as leaving");
    leaving.record_listed("s", at(31), false);
    assert!(!leaving.may_start("s"), "no health answer since");
    leaving.record_health("s", 2, at(32), at(32), false);
    assert!(leaving.may_start("s"));
    leaving.record_refusal("s", 1, at(20), at(33));
    assert!(
        leaving.may_start("s"),
        "late refusal of the earlier incarnation"
    );
    leaving.record_refusal("s", 2, at(33), at(33));
    assert!(!leaving.may_start("s"));
}

/// Returns the requests that a shutdown refuses or cuts off. Callers look up every 5 s, the lookup
/// answers of other VMs leave this VM out after 3 s, and a request takes 2 s.
fn failed_requests(times: StopTimes, wait: bool, finish: bool) -> u32 {
    let origin = Instant::now();
    let mut stop = Stop::begin(origin, times);
    let (mut cached, mut refusing) = (None, None);
    let (mut failed, mut in_flight) = (0, Vec::<u64>::new());
    for millis in (0..60_000u64).step_by(100) {
        let now = origin + Duration::from_millis(millis);
        // Callers look up at different times; the last answer that names this VM is from 2.9 s.
        let named = millis < 2900 + 5000;
        in_flight.retain(|end| *end > millis);
        if refusing.is_none() {
            in_flight.extend(named.then_some(millis + 2000));
        } else if named {
            failed += 1;
        }
        if cached.is_none() {
            match stop.withdrawn(now, false) {
                Ok(next) => cached = Some(next),
                Err(same) => stop = same,
            }
        }
        if refusing.is_none() {
            let due = cached.and_then(|cached| cached.refuse(now).ok());
            let none = Duration::ZERO;
            let early = StopTimes {
                propagation: none,
                cache_ttl: none,
                ..times
            };
            let at_once = Stop::begin(now, early)
                .withdrawn(now, true)
                .expect("confirmed");
            refusing = if wait { due } else { at_once.refuse(now).ok() };
        }
        if let Some(refusing) = refusing {
            let running = in_flight.len() as u32;
            let seen = if finish { running } else { 0 };
            if let Ok(done) = refusing.finish(now, seen) {
                return failed + done.state().unfinished + running - seen;
            }
        }
    }
    panic!("the stop never ends");
}

/// A shutdown must neither refuse nor cut off a request. It does without waiting for cached lookup
/// answers, for their propagation or for requests in flight.
#[rstest]
#[case(4, 5, true, true, true)]
#[case(4, 5, false, true, false)]
#[case(4, 5, true, false, false)]
#[case(4, 0, true, true, false)]
#[case(0, 5, true, true, false)]
fn stop_harms_no_request(
    #[case] propagation: u64,
    #[case] cache_ttl: u64,
    #[case] wait: bool,
    #[case] finish: bool,
    #[case] harmless: bool,
) {
    let (propagation, cache_ttl) = (
        Duration::from_secs(propagation),
        Duration::from_secs(cache_ttl),
    );
    let times = StopTimes {
        propagation,
        cache_ttl,
        ..StopTimes::default()
    };
    assert_eq!(failed_requests(times, wait, finish) == 0, harmless);
}

/// A stopping VM must not forward requests that may outlast it, nor refuse those that end in time:
/// with 6 s of grace it waits for answers until 5.3 s.
#[rstest]
#[case::early(0, 3_000, true)]
#[case::early_and_long(0, 6_000, false)]
#[case::late_and_short(2_900, 2_000, true)]
#[case::late_and_long(2_900, 3_000, false)]
#[case::at_the_last_moment(3_000, 2_300, true)]
#[case::a_moment_later(3_000, 2_301, false)]
fn stop_admits_what_ends_before_it(
    #[case] arrival: u64,
    #[case] left: u64,
    #[case] admitted: bool,
) {
    let begin = Instant::now();
    let deadlines = StopDeadlines::begin(begin, Duration::from_secs(6));
    let deadline = begin + Duration::from_millis(arrival + left);
    assert_eq!(deadlines.admits(deadline), admitted);
}

proptest! {
    /// The deadlines of a shutdown must be in order, leave time to answer unfinished requests, and
    /// wait for servers until the last sixth of a grace time of 6 s or more.
    #[test]
    fn deadlines_of_a_stop_are_in_order(millis in 1_u64..60_000) {
        let begin = Instant::now();
        let length = Duration::from_millis(millis);
        let deadlines = StopDeadlines::begin(begin, length);
        prop_assert!(begin <= deadlines.accept_until && deadlines.accept_until <= deadlines.answers_until);
        prop_assert!(deadlines.answers_until <= deadlines.write_until && deadlines.write_until < begin + length);
        if millis >= 1_000 {
            prop_assert!(deadlines.answers_until < deadlines.write_until);
        }
        if millis >= 6_000 {
            prop_assert!(deadlines.answers_until >= begin + length * 5 / 6);
        }
    }
}
