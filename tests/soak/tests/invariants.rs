//! Tests the checks on made-up histories.

use bytes::Bytes;
use rstest::rstest;
use soak::caller::{Place, RequestRecord};
use soak::invariants::{self, Disturbance, Execution, History, Period};
use standin_site::cloud::Report;
use standin_site::server::Arrival;
use std::time::{Duration, Instant};

/// Timeout of the route.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time from sending the request to its end.
const ANSWER_TIME: Duration = Duration::from_millis(900);
/// Lease of the holder of the usage reports.
const LEASE: Duration = Duration::from_secs(1);

/// Returns the history of a request to gateway 1 that servers 2 and 3 run while the gateway stops.
fn history(status: Option<u16>) -> History {
    let sent = Instant::now();
    let execution = |server| Execution {
        id: "r1".into(),
        server,
    };
    History {
        requests: vec![RequestRecord {
            id: "r1".into(),
            gateway: 1,
            repeatable: true,
            old_key: false,
            sent_at: sent,
            ended_at: sent + ANSWER_TIME,
            place: Place::Single,
            answer: status.map(|status| (status, None, Bytes::new())),
        }],
        executions: vec![execution(2), execution(3)],
        arrivals: Vec::new(),
        rejoined: vec![Vec::new(); 4],
        reports: None,
        lease: LEASE,
        periods: vec![Period {
            disturbance: Disturbance::Stop(1),
            begin: sent + ANSWER_TIME / 2,
            end: sent + 2 * ANSWER_TIME,
        }],
        timeout: ROUTE_TIMEOUT,
        faults_ended_at: sent,
        withdrawn_at: None,
        recovery_time: Duration::ZERO,
    }
}

/// Guards against a check that misses an interrupted request or reports an answered one.
#[rstest]
#[case::ended_at(None, true)]
#[case::given_up(Some(502), true)]
#[case::served(Some(200), false)]
#[case::refused(Some(503), false)]
#[case::given_up_early(Some(504), true)]
fn interrupted_request_is_reported(#[case] status: Option<u16>, #[case] is_interrupted: bool) {
    let history = history(status);
    assert_eq!(
        invariants::interrupted_requests(&history).len(),
        usize::from(is_interrupted)
    );
    let violations = invariants::violations(&history);
    let is_named = |line: &String| line.contains("stopping gateway 1");
    assert_eq!(violations.iter().any(is_named), is_interrupted);
}

/// Guards against a violation reported for a 504 that a gateway sends near the end of its grace
/// time, because its servers have not answered.
#[test]
fn timeout_near_the_end_of_the_grace_time_is_allowed() {
    let mut history = history(Some(504));
    let sent = history.requests[0].sent_at;
    history.requests[0].ended_at = sent + 2 * ANSWER_TIME;
    history.periods[0].begin = sent + 2 * ANSWER_TIME - invariants::SERVER_WAIT;
    assert_eq!(invariants::interrupted_requests(&history).len(), 0);
}

/// Guards against a request reported as interrupted by a stop although another fault affected it,
/// and against an interrupted request that is not reported because of a fault that did not affect
/// it.
#[rstest]
#[case::killed(Disturbance::Kill(1), false)]
#[case::paused(Disturbance::Pause(1), false)]
#[case::disturbed_way(Disturbance::Link(2), false)]
#[case::faulty_server(Disturbance::Server(3), false)]
#[case::other_gateway(Disturbance::Kill(0), true)]
#[case::other_pause(Disturbance::Pause(2), true)]
#[case::other_way(Disturbance::Link(1), true)]
#[case::other_server(Disturbance::Server(0), true)]
fn only_faults_affecting_the_request_excuse_an_interruption(
    #[case] disturbance: Disturbance,
    #[case] is_interrupted: bool,
) {
    let mut history = history(None);
    let [stop] = history.periods[..] else {
        panic!("one stop");
    };
    history.periods.push(Period {
        disturbance,
        ..stop
    });
    assert_eq!(
        invariants::interrupted_requests(&history).len(),
        usize::from(is_interrupted)
    );
}

/// Guards against a fault or stop that counts although it ended before the request or began after
/// it.
#[rstest]
#[case::before(Duration::ZERO, Duration::from_millis(99), false)]
#[case::at_the_start(Duration::ZERO, Duration::from_millis(100), true)]
#[case::after(Duration::from_millis(1_001), Duration::from_secs(2), false)]
fn only_periods_overlapping_the_request_count(
    #[case] begin: Duration,
    #[case] end: Duration,
    #[case] overlaps: bool,
) {
    let mut history = history(None);
    let sent = history.requests[0].sent_at;
    let zero = sent.checked_sub(Duration::from_millis(100));
    let zero = zero.expect("a time before the request");
    let period = |disturbance| Period {
        disturbance,
        begin: zero + begin,
        end: zero + end,
    };
    history.periods.push(period(Disturbance::Kill(1)));
    assert_eq!(
        invariants::interrupted_requests(&history).is_empty(),
        overlaps
    );
    history.periods = vec![period(Disturbance::Stop(1))];
    assert_eq!(
        !invariants::interrupted_requests(&history).is_empty(),
        overlaps
    );
}

/// Guards against requests reported as interrupted although no server ran them or their timeout was
/// over.
#[test]
fn requests_not_run_or_timed_out_are_not_interrupted() {
    let mut unsent = history(None);
    unsent.executions.clear();
    assert!(invariants::interrupted_requests(&unsent).is_empty());
    let mut overdue = history(None);
    overdue.requests[0].ended_at = overdue.requests[0].sent_at + ROUTE_TIMEOUT;
    assert!(invariants::interrupted_requests(&overdue).is_empty());
}

/// Returns the history of two requests to server 0, the second of them `gap` after the first.
fn noticed(gap: Duration, said_leaving: bool, requests: usize) -> History {
    let mut history = history(Some(200));
    let first = history.requests[0].clone();
    let sent_at = first.ended_at + gap;
    let arrival = |id: &str, at| Arrival {
        id: id.into(),
        at,
        answered_at: Some(at),
        said_leaving,
        said_limit: None,
        was_turned_away: !said_leaving,
    };
    let mut arrivals = vec![arrival("r1", first.ended_at)];
    for number in 0..requests {
        let id = format!("later-{number}");
        arrivals.push(arrival(&id, sent_at));
        history.requests.push(RequestRecord {
            id: id.into(),
            sent_at,
            ended_at: sent_at,
            ..first.clone()
        });
    }
    history.arrivals = vec![arrivals];
    history.periods.clear();
    history
}

/// Guards against a check that misses a server whose word is ignored, or reports one whose word the
/// VM may have forgotten.
#[rstest]
#[case::leaves(invariants::DRAIN_TIME + ANSWER_TIME, true, 1, 1)]
#[case::still_allowed(ANSWER_TIME, true, 1, 0)]
#[case::rejects(Duration::from_millis(700), false, 3, 1)]
#[case::few(Duration::from_millis(700), false, 2, 0)]
#[case::over(Duration::from_millis(1_100), false, 3, 0)]
fn ignored_notice_is_reported(
    #[case] gap: Duration,
    #[case] said_leaving: bool,
    #[case] requests: usize,
    #[case] lines: usize,
) {
    let mut history = noticed(gap, said_leaving, requests);
    assert_eq!(invariants::ignored_notices(&history).len(), lines);
    let first = &history.requests[0];
    history.periods.push(Period {
        disturbance: Disturbance::Kill(first.gateway),
        begin: first.ended_at,
        end: first.ended_at + gap,
    });
    assert_eq!(invariants::ignored_notices(&history).len(), 0);
}

/// Guards against a check that misses a server that gets more than its limit allows, or reports one
/// that VMs exceed which can't know it.
#[rstest]
#[case::exceeded(Duration::from_secs(4), 18, 1)]
#[case::kept(Duration::from_secs(4), 17, 0)]
#[case::just_told(Duration::from_millis(400), 18, 0)]
fn exceeded_limit_is_reported(
    #[case] gap: Duration,
    #[case] requests: usize,
    #[case] lines: usize,
) {
    let mut history = noticed(gap, true, requests);
    for arrival in &mut history.arrivals[0] {
        arrival.said_limit = Some(2.0);
    }
    assert_eq!(invariants::exceeded_limits(&history).len(), lines);
    let first = &history.requests[0];
    history.periods.push(Period {
        disturbance: Disturbance::Pause(first.gateway),
        begin: first.ended_at,
        end: first.ended_at + gap,
    });
    assert_eq!(invariants::exceeded_limits(&history).len(), 0);
}

/// Guards against a pipelined request that runs although its caller was told that it was not read.
#[rstest]
#[case::ran(Place::Unread, true, 1)]
#[case::did_not_run(Place::Unread, false, 0)]
#[case::read(Place::Pipelined, true, 0)]
fn unread_request_that_runs_is_reported(
    #[case] place: Place,
    #[case] ran: bool,
    #[case] lines: usize,
) {
    let mut history = history(None);
    history.periods.clear();
    history.requests[0].place = place;
    if !ran {
        history.executions.clear();
    }
    let violations = invariants::violations(&history);
    let is_named = |line: &&String| line.contains("closed the connection");
    assert_eq!(violations.iter().filter(is_named).count(), lines);
}

/// Guards against answers out of order that are taken for the caller's own, and against pipelined
/// requests that are not served at the end although most others are.
#[rstest]
#[case::own("r1", 200, &[])]
#[case::of_another("r2", 200, &["r1 got the answer of another request"])]
#[case::refused("r1", 503, &["0 of 1 pipelined requests were served at the end"])]
fn pipelined_answers_are_checked(
    #[case] answered: &str,
    #[case] status: u16,
    #[case] expected: &[&str],
) {
    let mut history = history(Some(200));
    let body = |id: &str| Bytes::from(format!("answer to {id} from i-2"));
    let signature = |id: &str| Some(format!("i-2.{id}").into());
    history.faults_ended_at -= ANSWER_TIME;
    let first = &mut history.requests[0];
    first.place = Place::Pipelined;
    first.answer = Some((status, signature(answered), body(answered)));
    let alone = RequestRecord {
        id: "r3".into(),
        place: Place::Single,
        answer: Some((200, signature("r3"), body("r3"))),
        ..first.clone()
    };
    history.requests.extend(vec![alone; 99]);
    assert_eq!(invariants::violations(&history), expected);
}

/// Returns a history with usage reports: time in milliseconds, VM, token, window and count.
fn reported(reports: &[(u64, &str, u64, u64, u64)]) -> History {
    let mut history = history(Some(200));
    let begin = history.faults_ended_at;
    let report = |(at, holder, token, window, count): &(u64, &str, u64, u64, u64)| Report {
        at: begin + Duration::from_millis(*at),
        holder: (*holder).into(),
        token: *token,
        body: format!(r#"{{"windowId":{window},"counts":{{"a":{count}}}}}"#).into(),
        status: 200,
    };
    history.reports = Some(reports.iter().map(report).collect());
    history
}

/// Guards against a check of the usage reports that misses a broken rule, or reports what is allowed.
#[rstest]
#[case::sound(&[(1, "vm-1", 4, 7, 5), (900, "vm-1", 4, 8, 6)], None)]
#[case::repeated(&[(1, "vm-1", 4, 7, 5), (900, "vm-2", 5, 7, 5)], None)]
#[case::other_counts(&[(1, "vm-1", 4, 7, 5), (900, "vm-1", 4, 7, 6)], Some("other counts"))]
#[case::no_counts(&[(1, "vm-1", 4, 7, 5), (900, "vm-1", 4, 7, 0)], Some("other counts"))]
#[case::shared_token(&[(1, "vm-1", 4, 7, 5), (900, "vm-2", 4, 8, 6)], Some("of another holder"))]
#[case::lower_token(&[(1, "vm-1", 4, 7, 5), (900, "vm-2", 3, 8, 6)], Some("a higher one"))]
#[case::to_and_fro(
    &[(1, "vm-1", 4, 7, 5), (500, "vm-2", 5, 8, 6), (1_000, "vm-1", 6, 9, 6)],
    Some("within the lease")
)]
#[case::back_later(
    &[(1, "vm-1", 4, 7, 5), (500, "vm-2", 5, 8, 6), (1_001, "vm-1", 6, 9, 6)],
    None
)]
#[case::none(&[], Some("no usage"))]
fn wrong_reports_are_reported(
    #[case] reports: &[(u64, &str, u64, u64, u64)],
    #[case] expected: Option<&str>,
) {
    let history = reported(reports);
    let lines = invariants::wrong_reports(&history);
    assert_eq!(lines.len(), usize::from(expected.is_some()), "{lines:?}");
    assert!(
        lines
            .iter()
            .all(|line| expected.is_some_and(|text| line.contains(text)))
    );
    let violations = invariants::violations(&history);
    assert!(lines.iter().all(|line| violations.contains(line)));
}

/// Guards against reports held against a VM that has just continued, and against a pause that
/// excuses other VMs, later reports, or other counts.
#[rstest]
#[case::just_continued(1, 0, 6, 0)]
#[case::other_vm(2, 0, 6, 1)]
#[case::later(1, 300, 6, 1)]
#[case::other_counts(1, 0, 5, 1)]
fn pause_excuses_late_reports(
    #[case] paused: usize,
    #[case] after_ms: u64,
    #[case] window: u64,
    #[case] lines: usize,
) {
    let resumed_ms = 5_000;
    let mut history = reported(&[
        (1, "vm-1", 4, 5, 5),
        (4_900, "vm-2", 5, 7, 5),
        (resumed_ms + after_ms, "vm-1", 4, window, 6),
    ]);
    history.periods = vec![Period {
        disturbance: Disturbance::Pause(paused),
        begin: history.faults_ended_at,
        end: history.faults_ended_at + Duration::from_millis(resumed_ms),
    }];
    assert_eq!(invariants::wrong_reports(&history).len(), lines);
}
