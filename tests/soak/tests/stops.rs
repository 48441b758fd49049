//! Check of the promise that a planned stop cuts no request.

use bytes::Bytes;
use rstest::rstest;
use soak::caller::Seen;
use soak::promise::{self, Disturbance, History, Period, Run};
use std::time::{Duration, Instant};

/// Time-out of the route.
const TIME_OUT: Duration = Duration::from_secs(2);
/// Time from the request to its end.
const TOOK: Duration = Duration::from_millis(900);

/// A request to gateway 1 that servers 2 and 3 run, while the gateway stops.
fn history(status: Option<u16>) -> History {
    let sent = Instant::now();
    let run = |server| Run {
        id: "r1".into(),
        server,
    };
    History {
        seen: vec![Seen {
            id: "r1".into(),
            gateway: 1,
            repeatable: true,
            old_key: false,
            sent,
            ended: sent + TOOK,
            answer: status.map(|status| (status, None, Bytes::new())),
        }],
        runs: vec![run(2), run(3)],
        periods: vec![Period {
            disturbance: Disturbance::Stop(1),
            begin: sent + TOOK / 2,
            end: sent + 2 * TOOK,
        }],
        time_out: TIME_OUT,
        calm: sent,
        withdrawn: None,
        recovery: Duration::ZERO,
    }
}

/// Guards against a check that misses a cut request, or that takes an answer for one.
#[rstest]
#[case::ended(None, true)]
#[case::given_up(Some(502), true)]
#[case::served(Some(200), false)]
#[case::refused(Some(503), false)]
#[case::given_up_early(Some(504), true)]
fn stop_cuts_a_request(#[case] status: Option<u16>, #[case] is_cut: bool) {
    let history = history(status);
    assert_eq!(promise::cut(&history).len(), usize::from(is_cut));
    let broken = promise::broken(&history);
    let is_named = |line: &String| line.contains("stopping gateway 1");
    assert_eq!(broken.iter().any(is_named), is_cut);
}

/// Guards against blame of a gateway that answers, at the end of its grace time, what its servers did
/// not.
#[test]
fn end_of_the_grace_time_is_no_cut() {
    let mut history = history(Some(504));
    let sent = history.seen[0].sent;
    history.seen[0].ended = sent + 2 * TOOK;
    history.periods[0].begin = sent + 2 * TOOK - promise::OWN_END;
    assert_eq!(promise::cut(&history).len(), 0);
}

/// Guards against blame of a stop for what another fault did, and against faults of other things that
/// excuse a cut.
#[rstest]
#[case::killed(Disturbance::Kill(1), false)]
#[case::paused(Disturbance::Pause(1), false)]
#[case::disturbed_way(Disturbance::Way(2), false)]
#[case::faulty_server(Disturbance::Server(3), false)]
#[case::other_gateway(Disturbance::Kill(0), true)]
#[case::other_pause(Disturbance::Pause(2), true)]
#[case::other_way(Disturbance::Way(1), true)]
#[case::other_server(Disturbance::Server(0), true)]
fn only_faults_of_the_request_excuse_a_cut(#[case] disturbance: Disturbance, #[case] is_cut: bool) {
    let mut history = history(None);
    let [stop] = history.periods[..] else {
        panic!("one stop");
    };
    history.periods.push(Period {
        disturbance,
        ..stop
    });
    assert_eq!(promise::cut(&history).len(), usize::from(is_cut));
}

/// Guards against a fault, or a stop, that counts though it was over or not begun.
#[rstest]
#[case::before(Duration::ZERO, Duration::from_millis(99), false)]
#[case::at_the_start(Duration::ZERO, Duration::from_millis(100), true)]
#[case::after(Duration::from_millis(1_001), Duration::from_secs(2), false)]
fn only_periods_that_meet_the_request_count(
    #[case] begin: Duration,
    #[case] end: Duration,
    #[case] meets: bool,
) {
    let mut history = history(None);
    let sent = history.seen[0].sent;
    let zero = sent.checked_sub(Duration::from_millis(100));
    let zero = zero.expect("a time before the request");
    let period = |disturbance| Period {
        disturbance,
        begin: zero + begin,
        end: zero + end,
    };
    history.periods.push(period(Disturbance::Kill(1)));
    assert_eq!(promise::cut(&history).is_empty(), meets);
    history.periods = vec![period(Disturbance::Stop(1))];
    assert_eq!(!promise::cut(&history).is_empty(), meets);
}

/// Guards against blame of a stop for requests that no server got, and for those whose time was up.
#[test]
fn requests_without_a_run_or_time_are_not_cut() {
    let mut unsent = history(None);
    unsent.runs.clear();
    assert!(promise::cut(&unsent).is_empty());
    let mut overdue = history(None);
    overdue.seen[0].ended = overdue.seen[0].sent + TIME_OUT;
    assert!(promise::cut(&overdue).is_empty());
}
