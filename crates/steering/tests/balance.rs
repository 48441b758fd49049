//! Load balancing, outlier ejection and allocation of slots.

use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use std::time::{Duration, Instant};
use steering::balance::{
    Balancer, Completion, Ejection, Notice, OutlierDetector, Settings, Slots, Summary, Verdict,
};

const SERVERS: [&str; 4] = ["a", "b", "c", "d"];

fn setup(settings: &Settings) -> (Balancer, OutlierDetector) {
    let mut balancer = Balancer::new(settings.clone());
    let mut outlier = OutlierDetector::new(settings.clone());
    for server in SERVERS {
        balancer.insert(server, None);
        outlier.insert(server);
    }
    (balancer, outlier)
}

/// Chooses `count` times while requests end at once, and returns how often `server` was chosen.
fn choices(
    balancer: &Balancer,
    outlier: &mut OutlierDetector,
    server: &str,
    now: Instant,
) -> usize {
    let mut rng = StdRng::seed_from_u64(1);
    (0..1000)
        .filter_map(|_| balancer.choose(|_| true, outlier, now, &mut rng))
        .filter(|chosen| &**chosen == server)
        .count()
}

/// Guards against a server that gets all requests because it reports to be idle.
#[test]
fn own_counts_precede_reports() {
    let (mut balancer, mut outlier) = setup(&Settings::default());
    let now = Instant::now();
    balancer.begin("a");
    balancer.report_load("a", 0.0, now);
    for server in &SERVERS[1..] {
        balancer.report_load(server, 1.0, now);
    }
    assert_eq!(choices(&balancer, &mut outlier, "a", now), 0);
    // With equal counts the report decides, until it is outdated.
    balancer.end("a", Completion::Answered, now);
    assert_eq!(choices(&balancer, &mut outlier, "a", now), 1000);
    let later = now + Settings::default().max_report_age + Duration::from_millis(1);
    assert!(choices(&balancer, &mut outlier, "a", later) < 400);
}

/// Guards against a full load on a server with a cold cache; without slow start it gets its full
/// share at once.
#[rstest]
#[case(Settings::default(), 0..80)]
#[case(Settings { cold_floor: 1.0, ..Settings::default() }, 200..300)]
fn started_server_gets_a_slow_start(
    #[case] settings: Settings,
    #[case] expected: std::ops::Range<usize>,
) {
    let (mut balancer, mut outlier) = setup(&settings);
    let now = Instant::now();
    balancer.insert("a", Some(now));
    let chosen = choices(&balancer, &mut outlier, "a", now);
    assert!(expected.contains(&chosen), "{chosen}");
    let warm = choices(&balancer, &mut outlier, "a", now + settings.slow_start);
    assert!((200..300).contains(&warm), "{warm}");
}

/// Guards against a server that looks idle because it sheds its requests at once.
#[test]
fn shedding_server_is_avoided_for_a_short_time() {
    let settings = Settings::default();
    let (mut balancer, mut outlier) = setup(&settings);
    let now = Instant::now();
    balancer.begin("a");
    balancer.end("a", Completion::Shed, now);
    assert_eq!(choices(&balancer, &mut outlier, "a", now), 0);
    let later = now + settings.shed_backoff;
    assert!(choices(&balancer, &mut outlier, "a", later) > 200);
}

/// Guards against faulty health checks that take all servers of a version out of service.
#[test]
fn health_is_ignored_when_it_rules_out_all() {
    let (mut balancer, mut outlier) = setup(&Settings::default());
    let now = Instant::now();
    balancer.report_health("a", false, now);
    assert_eq!(choices(&balancer, &mut outlier, "a", now), 0);
    for server in SERVERS {
        balancer.report_health(server, false, now);
    }
    assert!(choices(&balancer, &mut outlier, "a", now) > 200);
}

/// Records 20 answers of each server; those of `slow` take 200 ms instead of 20 ms.
fn record_answers(outlier: &mut OutlierDetector, slow: &[&str], now: Instant) {
    for server in SERVERS.iter().cycle().take(SERVERS.len() * 20) {
        let millis = if slow.contains(server) { 200 } else { 20 };
        outlier.record("all", server, Duration::from_millis(millis), now);
    }
}

/// Guards against more ejections than the maximum when servers become slow one after another;
/// without the maximum, two of four are ejected.
#[rstest]
#[case(Settings::default(), 1)]
#[case(Settings { max_ejected: 1.0, min_peers: 1, ..Settings::default() }, 2)]
fn ejections_are_capped(#[case] settings: Settings, #[case] expected: usize) {
    let (_, mut outlier) = setup(&settings);
    let now = Instant::now();
    // Servers of other data centres stay fast.
    let peers = ["p", "q", "r", "s", "t"].map(|server| Summary {
        server: server.into(),
        route: "all".into(),
        median: 0.02,
    });
    outlier.merge_summaries(peers, now);
    record_answers(&mut outlier, &["a"], now);
    record_answers(&mut outlier, &["a", "b"], now + Duration::from_millis(1500));
    assert_eq!(outlier.ejections(), expected);
    assert!(outlier.ejected("a"));
}

/// Guards against ejection with too few samples or peers, or because a route itself is slower.
#[test]
fn needs_samples_and_peers_of_the_route() {
    let settings = Settings::default();
    let (_, mut outlier) = setup(&settings);
    let now = Instant::now();
    for server in &SERVERS[1..] {
        for _ in 0..20 {
            outlier.record("fast", server, Duration::from_millis(20), now);
        }
    }
    for _ in 0..20 {
        outlier.record("slow", "a", Duration::from_millis(200), now);
    }
    assert!(!outlier.ejected("a"));
    for _ in 1..settings.min_samples {
        outlier.record("fast", "a", Duration::from_millis(200), now);
    }
    assert!(!outlier.ejected("a"));
    outlier.record("fast", "a", Duration::from_millis(200), now);
    assert!(outlier.ejected("a"));
}

/// Guards against a server that stays ejected after its recovery, and against so many probe
/// requests to a slow server that callers notice.
#[test]
fn probe_requests_detect_recovery() {
    let settings = Settings::default();
    let (balancer, mut outlier) = setup(&settings);
    let start = Instant::now();
    record_answers(&mut outlier, &["a"], start);
    assert!(outlier.ejected("a"));
    let mut rng = StdRng::seed_from_u64(1);
    let mut probes = 0;
    let mut back = None;
    for millis in (10..40_000).step_by(10) {
        let now = start + Duration::from_millis(millis);
        let Some(server) = balancer.choose(|_| true, &mut outlier, now, &mut rng) else {
            continue;
        };
        let recovered = millis >= 20_000;
        let slow = &*server == "a" && !recovered;
        probes += usize::from(slow);
        let took = Duration::from_millis(if slow { 200 } else { 20 });
        outlier.record("all", &server, took, now);
        if back.is_none() && outlier.share("a", now) >= 1.0 {
            back = Some(millis);
        }
    }
    assert!(probes <= 7, "{probes}");
    assert!(back.is_some_and(|at| at <= 30_000), "{back:?}");
}

type Members = IndexMap<Box<str>, u64>;

const SETTLE: Duration = Duration::from_secs(2);
const STEP: Duration = Duration::from_millis(50);

/// Steps of the hand-over of units that are active.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Handover {
    Full,
    /// Units of removed VMs are used at once.
    NoSettle,
    /// Every VM assumes that the others agree and hold no unit.
    NoAgreement,
}

/// VMs that share one server, with lost, late and reordered notices.
struct Simulation {
    rng: StdRng,
    vms: IndexMap<Box<str>, (u64, Slots)>,
    views: IndexMap<Box<str>, Members>,
    transit: Vec<(Instant, Notice)>,
    busy: Vec<(Box<str>, u64, steering::balance::Unit, Instant)>,
}

impl Simulation {
    /// Delivers to every VM forged notices of its members that agree and hold no unit.
    fn forge_notices(&mut self, now: Instant) {
        let names: Vec<_> = self.views.clone().into_iter().collect();
        for (name, members) in names {
            let Some((_, slots)) = self.vms.get_mut(&name) else {
                continue;
            };
            let own = slots.notice(now);
            for (vm, incarnation) in members.into_iter().filter(|(vm, _)| *vm != name) {
                let notice = Notice {
                    vm,
                    incarnation,
                    held: Vec::new(),
                    seen: IndexMap::from([(name.clone(), (own.incarnation, own.epoch))]),
                    ..own.clone()
                };
                slots.apply_notice(notice, now);
            }
        }
    }

    fn exchange(&mut self, now: Instant) {
        for (_, slots) in self.vms.values_mut() {
            let notice = slots.notice(now);
            if self.rng.random::<f64>() < 0.8 {
                let delay = STEP.mul_f64(8.0 * self.rng.random::<f64>());
                self.transit.push((now + delay, notice));
            }
        }
        let (due, rest) = (std::mem::take(&mut self.transit).into_iter())
            .partition(|(at, _): &(Instant, Notice)| *at <= now);
        self.transit = rest;
        for (_, notice) in due {
            for (_, slots) in self.vms.values_mut() {
                slots.apply_notice(notice.clone(), now);
            }
        }
    }

    fn requests(&mut self, now: Instant) {
        for (name, run, unit, _) in self.busy.extract_if(.., |request| request.3 <= now) {
            if let Some((current, slots)) = self.vms.get_mut(&name)
                && *current == run
            {
                slots.release("server", unit);
            }
        }
        for (name, (run, slots)) in &mut self.vms {
            while let Some(unit) = slots.take("server") {
                let until = now + (SETTLE / 2).mul_f64(self.rng.random::<f64>());
                self.busy.push((name.clone(), *run, unit, until));
            }
        }
    }
}

/// Guards against two VMs that use the same unit: VMs join, leave and restart, each VM gets the
/// membership at a different time, and notices are lost, late and reordered.
#[rstest]
fn units_never_exceed_the_server(
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
    #[values(3, 8)] units: u32,
) {
    let (most, full) = simulate(seed, units, Handover::Full);
    assert!(most <= units as usize, "{most}");
    assert!(
        full > 0.4,
        "units were free for too long: all in use for {full} of the time"
    );
}

/// Guards against steps of the hand-over that have no effect: without either, a unit is used twice.
#[rstest]
fn hand_over_is_needed(
    #[values(Handover::NoSettle, Handover::NoAgreement)] handover: Handover,
    #[values(3, 8)] units: u32,
) {
    let (most, _) = simulate(1, units, handover);
    assert!(most > units as usize, "{most}");
}

/// Returns the maximum number of concurrent requests on the server and the share of time during
/// which it is full.
fn simulate(seed: u64, units: u32, handover: Handover) -> (usize, f64) {
    let settle = match handover {
        Handover::NoSettle => Duration::ZERO,
        _ => SETTLE,
    };
    let mut most = 0;
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(seed);
    let mut truth: Members = IndexMap::new();
    let mut views: Vec<(Instant, Box<str>, Members)> = Vec::new();
    let mut simulation = Simulation {
        rng: StdRng::seed_from_u64(seed + 100),
        vms: IndexMap::new(),
        views: IndexMap::new(),
        transit: Vec::new(),
        busy: Vec::new(),
    };
    let mut full = 0;
    for step in 0..6000_u32 {
        let now = start + STEP * step;
        if step % 150 == 0 {
            let name: Box<str> = format!("vm-{}", rng.random_range(0..4)).into();
            // The requests of a VM that stops stay on the server until they end.
            let joins = truth.shift_remove(&name).is_none() || rng.random::<bool>();
            simulation.vms.shift_remove(&name);
            if joins {
                let run = rng.random();
                truth.insert(name.clone(), run);
                let slots = Slots::new(name.clone(), run, settle, now);
                simulation.vms.insert(name, (run, slots));
            }
            for vm in truth.keys() {
                let at = now + STEP * rng.random_range(0..40);
                views.push((at, vm.clone(), truth.clone()));
            }
        }
        for (_, vm, members) in views.extract_if(.., |view| view.0 <= now) {
            simulation.views.insert(vm.clone(), members.clone());
            if let Some((_, slots)) = simulation.vms.get_mut(&vm) {
                slots.apply(IndexMap::from([("server".into(), units)]), members, now);
            }
        }
        match handover {
            Handover::NoAgreement => simulation.forge_notices(now),
            _ => simulation.exchange(now),
        }
        simulation.requests(now);
        let running = simulation.busy.len();
        most = most.max(running);
        full += u32::from(running == units as usize);
    }
    (most, f64::from(full) / 6000.0)
}

/// Guards against a lent unit that is used twice or lost.
#[test]
fn loans_end() {
    let now = Instant::now();
    let mut slots = Slots::new("vm", 1, SETTLE, now);
    let members = IndexMap::from([("vm".into(), 1)]);
    slots.apply(IndexMap::from([("server".into(), 3)]), members, now);
    assert_eq!(slots.free("server"), 0);
    slots.update(now + SETTLE);
    let now = now + SETTLE;
    assert_eq!(slots.free("server"), 3);
    let loan = slots.lend("server", now).unwrap();
    assert!(loan.term < SETTLE);
    let lost = slots.lend("server", now).unwrap();
    assert_eq!(slots.free("server"), 1);
    slots.return_loan(&loan);
    slots.return_loan(&loan);
    assert_eq!(slots.free("server"), 2);
    slots.update(now + lost.term);
    assert_eq!(slots.free("server"), 2);
    slots.update(now + SETTLE);
    assert_eq!(slots.free("server"), 3);
}

/// Guards against the late return of an expired loan that frees the unit of a newer loan.
#[test]
fn late_return_leaves_newer_loan_alone() {
    let settle = Duration::from_secs(2);
    let start = Instant::now();
    let mut slots = Slots::new("vm", 1, settle, start);
    let servers = IndexMap::from([("server".into(), 1)]);
    slots.apply(servers, IndexMap::from([("vm".into(), 1)]), start);
    let now = start + settle;
    slots.update(now);
    let term = Duration::from_secs(1);
    let overdue = slots.lend_for("server", term, now).unwrap();
    let later = now + term * 2;
    slots.update(later);
    let newer = slots.lend_for("server", term, later).unwrap();
    slots.return_loan(&overdue);
    assert_eq!(slots.free("server"), 0);
    slots.return_loan(&newer);
    assert_eq!(slots.free("server"), 1);
}

/// Guards against VMs that each need requests of their own to detect a slow server or its recovery,
/// and against an outdated verdict that ejects a recovered server again.
#[test]
fn newer_verdicts_of_other_vms_are_applied() {
    let settings = Settings::default();
    let (_, mut outlier) = setup(&settings);
    let start = Instant::now();
    let verdict = |server: &str, age: u64, idle: Option<u64>| Verdict {
        server: server.into(),
        age: Duration::from_millis(age),
        ejected: idle.map(|idle| Ejection {
            limit: 0.1,
            idle: Duration::from_millis(idle),
        }),
    };
    outlier.merge_verdicts([verdict("a", 100, Some(100))], start);
    assert!(outlier.ejected("a"));
    let most = outlier.max_ejections();
    outlier.merge_verdicts(SERVERS.map(|name| verdict(name, 0, Some(0))), start);
    assert_eq!(outlier.ejections(), most);

    // The other VM sent the last probe, so this one postpones its own.
    let due = start + settings.max_probe_interval;
    assert!(outlier.is_probe_due("a", due));
    outlier.merge_verdicts([verdict("a", 7000, Some(50))], due);
    assert!(!outlier.is_probe_due("a", due));
    assert!(outlier.is_probe_due(
        "a",
        due + settings.max_probe_interval + Duration::from_secs(1)
    ));

    let later = due + Duration::from_secs(1);
    outlier.merge_verdicts([verdict("a", 100, None)], later);
    assert!(!outlier.ejected("a"));
    outlier.merge_verdicts([verdict("a", 5000, Some(0))], later);
    assert!(!outlier.ejected("a"));
    outlier.merge_verdicts([verdict("a", 0, Some(0))], later + Duration::from_secs(5));
    assert!(outlier.ejected("a"));
}
