//! Time until a slot of a server is free.

use rstest::rstest;
use std::time::{Duration, Instant};
use steering::backlog::{Queue, Sent, Server, StatedPace};
use steering::cost::Model;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against a count that treats all requests alike: one that ran for long keeps its slot, and
/// one that is about to end frees it.
#[rstest]
#[case::slot_is_free(2, &[], 0)]
#[case::long_ones_free_no_slot(3, &[5_000, 5_000], 450)]
#[case::one_is_about_to_end(3, &[5_000, 100], 100)]
// Two wait: they take the slots that are free after 100 and 300 ms, and the next one is free later.
#[case::requests_wait(5, &[100, 300, 2_000], 1_000)]
#[case::all_unknown(3, &[], 225)]
#[case::nothing_is_negative(3, &[0, 0, 0], 0)]
fn wait_follows_the_work_left(#[case] load: u32, #[case] known: &[u64], #[case] wait: u64) {
    let queue = Queue {
        slots: 3,
        load,
        average: ms(900),
        pace: 1.0,
    };
    let known = known.iter().map(|residual| ms(*residual));
    let found = queue.wait(known.clone());
    assert!(found.abs_diff(ms(wait)) < ms(1), "{found:?}");
    let slow = Queue { pace: 2.5, ..queue };
    assert!(slow.wait(known).abs_diff(found.mul_f64(2.5)) < ms(1));
}

/// Guards against a queue of any length that is followed request by request, and against a server
/// with no slots.
#[rstest]
#[case::long_queue(4, 100_000, 22_500_000)]
#[case::no_slots(0, 2, 2_250)]
#[case::many_slots(1_000, 1_000, 53)]
fn extreme_queues_are_estimated(#[case] slots: u32, #[case] load: u32, #[case] wait: u64) {
    let queue = Queue {
        slots,
        load,
        average: ms(900),
        pace: 1.0,
    };
    let found = queue.wait(std::iter::empty());
    assert!(
        found.abs_diff(ms(wait)) < ms(wait).mul_f64(0.02),
        "{found:?}"
    );
}

/// Returns a server to which two requests were sent at `now`, and four of others by their reports.
fn server(now: Instant) -> Server {
    let mut server = Server::default();
    for ticket in 0..2 {
        let sent = Sent {
            at: now,
            starts_at: now,
            route: "search".into(),
            objective: ms(600),
            warm: false,
        };
        server.add(ticket, sent);
    }
    server.set_reported(4);
    server
}

/// Guards against figures that a server stated and that count like new ones when they are old, and
/// against own requests sent since that are lost in them.
#[test]
fn statements_lose_their_weight() {
    let now = Instant::now();
    let mut server = server(now);
    assert_eq!(server.load(now), 6);
    // One of the two is answered; the other and 10 of other VMs are at the server.
    server.record_load(11, now);
    server.record_pace(250, now);
    server.remove(0);
    assert_eq!(
        [0, 300, 700].map(|age| server.load(now + ms(age))),
        [11, 8, 5]
    );
    for (age, pace) in [(0, 2.5), (300, 1.75), (700, 1.0)] {
        assert!((server.pace(1.0, now + ms(age)) - pace).abs() < 0.01);
    }
    assert!((server.pace(3.0, now + ms(700)) - 3.0).abs() < 0.01);
}

/// Guards against an older report of the pace that replaces a newer one, and against paces that VMs
/// report to each other without end.
#[test]
fn newest_pace_counts() {
    let now = Instant::now() + ms(1_000);
    let mut server = server(now);
    let stated = |percent, age_ms| StatedPace { percent, age_ms };
    server.record_pace(100, now - ms(200));
    server.apply_pace(stated(250, 300), now);
    assert_eq!(server.stated_pace(now), Some((stated(100, 200), true)));
    server.apply_pace(stated(250, 100), now);
    assert_eq!(server.stated_pace(now), Some((stated(250, 100), false)));
    assert_eq!(server.stated_pace(now + ms(600)), None);
}

/// Guards against a slow request whose slot counts as free soon: a server where all own requests ran
/// for longer than usual has a longer wait than one where they have just begun.
#[test]
fn slow_requests_keep_their_slots() {
    let now = Instant::now();
    let server = server(now);
    let mut costs = Model::default();
    for number in 0..200 {
        let took = if number % 33 == 7 { 5_460 } else { 780 };
        costs.record("search", ms(600), false, ms(took));
    }
    let wait = |slots, age| server.wait(slots, 1.0, &costs, ms(920), now + ms(age));
    assert_eq!(wait(7, 0), Duration::ZERO);
    assert!(wait(2, 1_500) > wait(2, 0) + ms(1_000));
    assert!(wait(2, 5_400) < wait(2, 1_500));
}
