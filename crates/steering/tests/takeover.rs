//! Simulated takeovers of a service by a new version before a deadline.

use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};
use steering::release::Cap;
use steering::takeover::{
    Evidence, Exposure, ExposureLimits, LatencyBaseline, Outcome, SequentialTest, Settings,
    SlidingWindow, Stage, Tally, Verdict, VersionChoice, advance,
};

const VMS: usize = 11;
/// The operator's bounds on requests to a bad version: a share of all requests, and a number beyond
/// it.
const MAX_SHARE: f64 = 0.1;
const SLACK: f64 = 50.0;
/// Time after the 50th bad answer by which a bad version must get no more requests.
const ROLLBACK_MS: u64 = 5_000;
/// Time from the order to its deadline.
const TERM_MS: u64 = 16_000;
/// Interval between evaluations; evidence and decisions reach the VMs one interval later.
const EVALUATION_MS: u64 = 250;
/// Servers of each version.
const SERVERS: usize = 12;
/// Requests that a server runs at once.
const SLOTS: usize = 3;
/// Mean service time of a request.
const SERVICE_TIME_MS: u64 = 400;
/// Time after which a request without an answer is given up.
const TIMEOUT_MS: u64 = 3_000;

/// How requests on the new version differ from those on the old one.
#[derive(Debug, Clone, Copy)]
enum Fault {
    None,
    /// They fail with this probability from this time in milliseconds on.
    Fails(f64, u64),
    /// With this probability they take this many times as long.
    Slow(f64, u64),
    /// They fail with this probability while their server runs another request.
    UnderLoad(f64),
    /// With this probability they are never answered.
    Drops(f64),
}

/// Load and faults of a simulated takeover.
#[derive(Debug, Clone, Copy)]
struct Scenario {
    per_second: f64,
    fault: Fault,
    /// Share of requests that fail on either version.
    base_failures: f64,
    /// Servers of the new version that are slow by themselves.
    slow_servers: usize,
    seed: u64,
}

/// Result of a simulated takeover.
#[derive(Debug)]
struct Summary {
    stage: Stage,
    /// Share of the requests that the new version got beyond the slack.
    exposed: f64,
    /// Requests sent to the new version more than [`ROLLBACK_MS`] after the 50th bad answer.
    late_sends: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Evaluation,
    /// The request with this index is late.
    Late(usize),
    /// The request with this index ends.
    End(usize),
}

#[derive(Debug)]
struct Request {
    server: Option<usize>,
    is_recorded: bool,
    outcome: Outcome,
}

impl Scenario {
    /// Runs the takeover in simulated time.
    fn run(self) -> Summary {
        let settings = Settings::default();
        let mut rng = StdRng::seed_from_u64(self.seed);
        let start = Instant::now();
        let at = |millis: u64| start + Duration::from_millis(millis);
        let mut exposures: Vec<Exposure> = (0..VMS)
            .map(|_| {
                Exposure::new(ExposureLimits {
                    share: settings.share,
                    final_share: settings.final_share,
                    final_window: settings.final_window,
                    cap: Cap::from_percent(9),
                    slack: SLACK * 0.9 / VMS as f64,
                    term: Duration::from_millis(TERM_MS),
                    order: self.seed,
                    vm: rng.random(),
                })
            })
            .collect();
        let baseline = LatencyBaseline::default();
        let mut running = [0_usize; SERVERS];
        let mut requests: Vec<Request> = Vec::new();
        let mut events = BinaryHeap::from([
            Reverse((0, Event::Arrival)),
            Reverse((EVALUATION_MS, Event::Evaluation)),
        ]);
        let mut evidence = Evidence::default();
        let mut received = Evidence::default();
        let mut window = SlidingWindow::default();
        let mut stage = Stage::Sampling;
        let mut received_stage = stage;
        let (mut all, mut new, mut late_sends) = (0_u32, 0_u32, 0_u32);
        let mut fiftieth_bad_at: Option<u64> = None;
        while let Some(Reverse((now, event))) = events.pop() {
            match event {
                Event::Evaluation => {
                    received_stage = stage;
                    let recent = window.update(&received, at(now));
                    stage = advance(&settings, stage, &received, &recent, at(TERM_MS), at(now));
                    received = evidence.clone();
                    if now < TERM_MS {
                        events.push(Reverse((now + EVALUATION_MS, Event::Evaluation)));
                    }
                }
                Event::Arrival => {
                    let gap = -rng.random::<f64>().max(1e-9).ln() * 1_000.0 / self.per_second;
                    if now < TERM_MS {
                        events.push(Reverse((now + gap.ceil() as u64, Event::Arrival)));
                    }
                    let vm = rng.random_range(0..VMS);
                    let left = Duration::from_millis(TERM_MS.saturating_sub(now));
                    let server = match exposures[vm].select(received_stage, left, SERVERS) {
                        VersionChoice::Old => None,
                        VersionChoice::Sample(digest) => Some(digest_server(digest)),
                        VersionChoice::New => (0..SERVERS).min_by_key(|server| running[*server]),
                    };
                    // A server without a free slot does not sample; the request uses the old
                    // version.
                    let server = server.filter(|server| running[*server] <= SLOTS);
                    exposures[vm].record_send(server.is_some(), left);
                    all += 1;
                    new += u32::from(server.is_some());
                    late_sends += u32::from(
                        server.is_some()
                            && fiftieth_bad_at.is_some_and(|at| now > at + ROLLBACK_MS),
                    );
                    let (mut service_time, outcome) =
                        self.request(server.map(|s| running[s]), now, &mut rng);
                    if server.is_some_and(|server| server < self.slow_servers) {
                        service_time *= 5;
                    }
                    if let Some(server) = server {
                        running[server] += 1;
                    }
                    let number = requests.len();
                    requests.push(Request {
                        server,
                        is_recorded: false,
                        outcome,
                    });
                    let late =
                        baseline.late_threshold(false, Duration::from_millis(SERVICE_TIME_MS));
                    events.push(Reverse((
                        now + late.as_millis() as u64,
                        Event::Late(number),
                    )));
                    events.push(Reverse((
                        now + service_time.min(TIMEOUT_MS),
                        Event::End(number),
                    )));
                }
                Event::Late(number) | Event::End(number) => {
                    let request = &mut requests[number];
                    let outcome = match event {
                        Event::Late(_) => Outcome::Late,
                        _ => request.outcome,
                    };
                    if let (Event::End(_), Some(server)) = (event, request.server) {
                        running[server] -= 1;
                    }
                    if request.is_recorded {
                        continue;
                    }
                    request.is_recorded = true;
                    let tally = match request.server {
                        Some(server) => evidence.new.entry(server as u32).or_default(),
                        None => &mut evidence.old,
                    };
                    tally.record(outcome);
                    if evidence.new_total().bad() >= 50 {
                        fiftieth_bad_at.get_or_insert(now);
                    }
                }
            }
        }
        Summary {
            stage,
            exposed: (f64::from(new) - SLACK) / f64::from(all),
            late_sends,
        }
    }

    /// Returns the service time of a request in milliseconds and its outcome. `running` is the
    /// number of other requests on its server of the new version; `None` stands for the old
    /// version.
    fn request(&self, running: Option<usize>, now: u64, rng: &mut StdRng) -> (u64, Outcome) {
        let service_time = (SERVICE_TIME_MS as f64 * (0.85 + 0.3 * rng.random::<f64>())) as u64;
        let mut happens = |probability: f64| rng.random::<f64>() < probability;
        let fails = happens(self.base_failures)
            || match (self.fault, running) {
                (Fault::Fails(share, from), Some(_)) => now >= from && happens(share),
                (Fault::UnderLoad(share), Some(running)) => running > 0 && happens(share),
                _ => false,
            };
        if fails {
            return (service_time, Outcome::Failed);
        }
        match (self.fault, running) {
            (Fault::Slow(share, times), Some(_)) if happens(share) => {
                (service_time * times, Outcome::Good)
            }
            (Fault::Drops(share), Some(_)) if happens(share) => (TIMEOUT_MS, Outcome::Unanswered),
            _ => (service_time, Outcome::Good),
        }
    }
}

/// Returns the server that a digest selects.
fn digest_server(digest: u64) -> usize {
    let mut rng = StdRng::seed_from_u64(digest);
    rng.random_range(0..SERVERS)
}

/// Returns a tally of answers and failures.
fn tally(good: u64, failed: u64) -> Tally {
    Tally {
        good,
        failed,
        ..Tally::default()
    }
}

/// A bad version must neither exceed its bounds nor be completed, whenever and however it fails.
#[rstest]
#[case::at_once(68.0, Fault::Fails(0.5, 0), 0.02)]
#[case::seldom(68.0, Fault::Fails(0.25, 0), 0.02)]
#[case::late(68.0, Fault::Fails(0.45, 6_000), 0.02)]
#[case::later(68.0, Fault::Fails(0.45, 10_000), 0.02)]
#[case::busy(262.0, Fault::Fails(0.5, 3_000), 0.02)]
#[case::slow(68.0, Fault::Slow(0.6, 8), 0.02)]
#[case::slow_few(30.0, Fault::Slow(0.6, 8), 0.0)]
#[case::all_slow(68.0, Fault::Slow(1.0, 4), 0.02)]
#[case::under_load(68.0, Fault::UnderLoad(0.5), 0.02)]
#[case::under_load_few(30.0, Fault::UnderLoad(0.5), 0.0)]
#[case::drops(68.0, Fault::Drops(0.35), 0.02)]
#[case::both_versions_fail(68.0, Fault::Fails(0.4, 0), 0.15)]
fn bad_version_is_rolled_back(
    #[case] per_second: f64,
    #[case] fault: Fault,
    #[case] base_failures: f64,
) {
    for seed in 0..40 {
        let scenario = Scenario {
            per_second,
            fault,
            base_failures,
            slow_servers: 0,
            seed,
        };
        let summary = scenario.run();
        assert!(summary.exposed <= MAX_SHARE, "seed {seed}: {summary:?}");
        assert_eq!(summary.late_sends, 0, "seed {seed}: {summary:?}");
        assert_eq!(summary.stage, Stage::RolledBack, "seed {seed}");
    }
}

/// A version that turns bad too late for a verdict must still keep to its bounds.
#[test]
fn version_that_fails_in_the_last_second_is_bounded() {
    for seed in 0..40 {
        let scenario = Scenario {
            per_second: 68.0,
            fault: Fault::Fails(0.6, TERM_MS - 1_100),
            base_failures: 0.0,
            slow_servers: 0,
            seed,
        };
        let summary = scenario.run();
        assert!(summary.exposed <= MAX_SHARE, "seed {seed}: {summary:?}");
        assert_eq!(summary.late_sends, 0, "seed {seed}: {summary:?}");
    }
}

/// A good version must be completed by its deadline.
#[rstest]
#[case::ordinary(68.0, 0.004)]
#[case::few_requests(30.0, 0.02)]
#[case::busy(262.0, 0.02)]
fn good_version_completes_in_time(#[case] per_second: f64, #[case] base_failures: f64) {
    for seed in 0..40 {
        let scenario = Scenario {
            per_second,
            fault: Fault::None,
            base_failures,
            slow_servers: 0,
            seed,
        };
        let summary = scenario.run();
        assert_eq!(summary.stage, Stage::Completed, "seed {seed}: {summary:?}");
    }
}

/// A good version must usually be completed although requests fail on both versions. The verdict
/// then also depends on chance, so nine of ten suffice.
#[rstest]
#[case::ordinary(68.0)]
#[case::few_requests(30.0)]
fn good_versions_complete_although_requests_fail(#[case] per_second: f64) {
    let scenarios = (0..100).map(|seed| Scenario {
        per_second,
        fault: Fault::None,
        base_failures: 0.15,
        slow_servers: 0,
        seed,
    });
    let completed = scenarios.filter(|scenario| scenario.run().stage == Stage::Completed);
    let completed = completed.count();
    assert!(completed >= 90, "{completed} of 100");
}

/// A good version must not be rolled back because some of its servers are slow by themselves
/// (scenario `version-good-in-trouble`, seed 2).
#[rstest]
#[case::one(1, 90)]
#[case::three(3, 67)]
fn slow_servers_do_not_reject_their_version(
    #[case] slow_servers: usize,
    #[case] min_completed: usize,
) {
    let scenarios = (0..100).map(|seed| Scenario {
        per_second: 68.0,
        fault: Fault::None,
        base_failures: 0.02,
        slow_servers,
        seed,
    });
    let completed = scenarios.filter(|scenario| scenario.run().stage == Stage::Completed);
    let completed = completed.count();
    assert!(completed >= min_completed, "{completed} of 100");
}

/// Failures that hit both versions alike must not count as a fault of the new one.
#[test]
fn failures_of_both_versions_are_tolerated() {
    let evidence = Evidence {
        old: tally(280, 120),
        new: IndexMap::from([(1, tally(7, 3)), (2, tally(3, 2)), (3, tally(3, 2))]),
    };
    assert_ne!(
        SequentialTest::default().evaluate(&evidence, &evidence),
        Verdict::Bad
    );
}

/// Slow servers of the old version must not raise the failures tolerated of the new one (scenario
/// `version-bad-in-trouble --vary`, seed 96659926392).
#[test]
fn slow_old_servers_do_not_excuse_failures() {
    let evidence = Evidence {
        old: Tally {
            good: 655,
            failed: 46,
            late: 134,
            ..Tally::default()
        },
        new: (0..8).map(|server| (server, tally(5, 2))).collect(),
    };
    let verdict = SequentialTest::default().evaluate(&evidence, &evidence);
    assert_eq!(verdict, Verdict::Bad);
}

/// A bad version of one or two servers must be rejected although each of them may have a fault of
/// its own, but only after more bad requests than one faulty server usually has.
#[rstest]
#[case::one_server(1, 40, Verdict::Bad)]
#[case::two_servers(2, 20, Verdict::Bad)]
#[case::few_requests(1, 20, Verdict::Undecided)]
fn few_servers_need_more_evidence(
    #[case] servers: u32,
    #[case] failed: u64,
    #[case] verdict: Verdict,
) {
    let evidence = Evidence {
        old: tally(400, 4),
        new: (0..servers).map(|s| (s, tally(10, failed))).collect(),
    };
    assert_eq!(
        SequentialTest::default().evaluate(&evidence, &evidence),
        verdict
    );
}

/// A completed or rolled back takeover must keep its stage, whatever the evidence.
#[test]
fn decided_takeovers_stay_decided() {
    let now = Instant::now();
    let settings = Settings::default();
    let bad = Evidence {
        new: IndexMap::from([(1, tally(0, 9))]),
        ..Evidence::default()
    };
    for stage in [Stage::Completed, Stage::RolledBack] {
        assert_eq!(advance(&settings, stage, &bad, &bad, now, now), stage);
    }
}

/// A takeover must not be completed without evidence, which is lost when all processes end at once.
#[test]
fn nothing_is_completed_without_evidence() {
    let now = Instant::now();
    let settings = Settings::default();
    let none = Evidence::default();
    for stage in [Stage::Sampling, Stage::Moving] {
        let next = advance(&settings, stage, &none, &none, now, now);
        assert_eq!(next, Stage::RolledBack);
    }
}
