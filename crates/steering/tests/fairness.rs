//! Order, limits, shedding and removal in the fair queue.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use std::time::{Duration, Instant};
use steering::fairness::{Charge, Next, Queue, Refusal, Request, Settings, Ticket};

const RUN: Duration = Duration::from_millis(20);

fn queue(slots: usize, length: usize) -> Queue<u32> {
    Queue::new(Settings {
        slots,
        length,
        ..Settings::default()
    })
}

fn request(item: u32, deadline: Instant) -> Request<u32> {
    Request {
        item,
        key: format!("key{}", item % 2).into(),
        min_run_time: RUN,
        transfer: Duration::ZERO,
        deadline,
    }
}

fn push(queue: &mut Queue<u32>, workspace: &str, item: u32, now: Instant) -> Ticket {
    let request = request(item, now + Duration::from_secs(60));
    queue.push(workspace, request, now).expect("there is room")
}

fn run(queue: &mut Queue<u32>, now: Instant) -> Option<(u32, Charge)> {
    match queue.next(now)? {
        Next::Run(item, charge) => Some((item, charge)),
        Next::Late(item) => panic!("{item} is late"),
    }
}

/// Guards against slow requests that count as much as fast ones: with one slot, a workspace whose
/// requests take 10 times as long gets about a tenth of the starts.
#[test]
fn slot_time_is_shared() {
    let mut now = Instant::now();
    let mut queue = queue(1, 1000);
    for item in 0..1000 {
        push(&mut queue, "slow", item, now);
        push(&mut queue, "quick", 1000 + item, now);
    }
    let mut starts = [0u32; 2];
    while queue.queued("quick") > 0 {
        let (item, charge) = run(&mut queue, now).unwrap();
        let quick = item >= 1000;
        starts[usize::from(quick)] += 1;
        let ran = if quick { RUN } else { RUN * 10 };
        now += ran;
        queue.finish(&charge, ran, now);
    }
    assert!((80..=130).contains(&starts[0]), "{starts:?}");
}

/// Guards against known large transfers that are charged only when they end.
#[test]
fn transfers_are_charged_at_the_start() {
    let now = Instant::now();
    let mut queue = queue(50, 1000);
    for item in 0..100 {
        let mut large = request(item, now + Duration::from_secs(60));
        large.transfer = Duration::from_secs(1);
        queue.push("large", large, now).unwrap();
        push(&mut queue, "usual", 100 + item, now);
    }
    let started: Vec<u32> = std::iter::from_fn(|| run(&mut queue, now))
        .map(|(item, _)| item)
        .collect();
    assert_eq!(started.len(), 50);
    assert!(
        started.iter().filter(|&&item| item < 100).count() <= 6,
        "{started:?}"
    );
}

/// Guards against an idle workspace that accumulates credit and then starves the others.
#[test]
fn idle_time_earns_bounded_credit() {
    let mut now = Instant::now();
    let mut queue = queue(1, 1000);
    let busy = |queue: &mut Queue<u32>, now: &mut Instant| {
        let (item, charge) = run(queue, *now).unwrap();
        *now += RUN;
        queue.finish(&charge, RUN, *now);
        item
    };
    for item in 0..1000 {
        push(&mut queue, "busy", item, now);
    }
    push(&mut queue, "idle", 1000, now);
    for _ in 0..500 {
        busy(&mut queue, &mut now);
    }
    for item in 0..200 {
        push(&mut queue, "idle", 2000 + item, now);
    }
    let first: Vec<u32> = (0..100).map(|_| busy(&mut queue, &mut now)).collect();
    let own = first.iter().filter(|&&item| item < 1000).count();
    assert!(own >= 35, "{own}");
}

/// Guards against requests that start although they can't finish, and against a missing wake-up.
#[test]
fn late_requests_never_start() {
    let now = Instant::now();
    let mut queue = queue(1, 10);
    push(&mut queue, "a", 1, now);
    let (_, charge) = run(&mut queue, now).unwrap();
    let deadline = now + RUN * 3;
    queue.push("a", request(2, deadline), now).unwrap();
    assert!(queue.next(now).is_none(), "the slot is taken");
    assert_eq!(queue.next_expiry(), Some(now + RUN * 2));
    assert!(queue.next(now + RUN * 2).is_none(), "it could still finish");
    let later = now + RUN * 2 + Duration::from_millis(1);
    assert!(matches!(queue.next(later), Some(Next::Late(2))));
    queue.finish(&charge, RUN * 2, later);
    assert!(queue.next(later).is_none());
    let refused = queue.push("a", request(3, later + RUN / 2), later);
    assert_eq!(refused, Err((3, Refusal::Late)));
}

/// Guards against one workspace that fills the memory or the queue of another.
#[test]
fn length_is_bounded_per_workspace() {
    let now = Instant::now();
    let mut queue = queue(1, 2);
    for item in 0..2 {
        push(&mut queue, "a", item, now);
    }
    let third = queue.push("a", request(2, now + RUN * 9), now);
    assert_eq!(third, Err((2, Refusal::Full)));
    push(&mut queue, "b", 3, now);
}

/// Guards against requests that run after their caller disconnected or their key was revoked, and
/// against the removal of requests of another key or workspace.
#[test]
fn cancelled_and_revoked_requests_never_start() {
    let now = Instant::now();
    let mut queue = queue(10, 10);
    let tickets: Vec<Ticket> = (0..6)
        .map(|item| push(&mut queue, "a", item, now))
        .collect();
    push(&mut queue, "b", 11, now);
    assert_eq!(queue.cancel(&tickets[2]), Some(2));
    assert_eq!(queue.cancel(&tickets[2]), None);
    assert_eq!(queue.remove_key("a", "key1"), [1, 3, 5]);
    let mut started: Vec<u32> = std::iter::from_fn(|| run(&mut queue, now))
        .map(|(item, _)| item)
        .collect();
    started.sort_unstable();
    assert_eq!(started, [0, 4, 11]);
    assert_eq!(queue.cancel(&tickets[0]), None, "it has started");
}

proptest! {
    #![proptest_config(Config {
        cases: 200,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against requests that are lost or answered twice, and against more runs than slots.
    #[test]
    fn each_request_leaves_once(steps in prop::collection::vec((0..6u8, 0..4usize, 1..80u64), 1..300)) {
        let mut now = Instant::now();
        let mut queue = queue(3, 20);
        let names = ["a", "b", "c", "d"];
        let (mut tickets, mut running) = (Vec::new(), Vec::new());
        let mut left = vec![0u32; steps.len()];
        for (item, (kind, workspace, millis)) in steps.iter().enumerate() {
            let name = names[*workspace];
            match kind {
                0..=2 => {
                    let deadline = now + Duration::from_millis(millis * 4);
                    match queue.push(name, request(item as u32, deadline), now) {
                        Ok(ticket) => tickets.push(ticket),
                        Err((item, _)) => left[item as usize] += 1,
                    }
                }
                3 => now += Duration::from_millis(*millis),
                4 if !running.is_empty() => {
                    let (charge, start): (Charge, Instant) = running.swap_remove(0);
                    queue.finish(&charge, now - start, now);
                }
                4 if !tickets.is_empty() => {
                    let ticket = tickets.swap_remove(*millis as usize % tickets.len());
                    queue.cancel(&ticket).into_iter().for_each(|i| left[i as usize] += 1);
                }
                _ if *millis < 10 => {
                    queue.remove_key(name, "key1").into_iter().for_each(|i| left[i as usize] += 1);
                }
                _ => {}
            }
            while let Some(next) = queue.next(now) {
                match next {
                    Next::Run(item, charge) => {
                        left[item as usize] += 1;
                        running.push((charge, now));
                    }
                    Next::Late(item) => left[item as usize] += 1,
                }
            }
            prop_assert!(running.len() <= 3);
        }
        let queued: usize = names.iter().map(|name| queue.queued(name)).sum();
        let pushed = steps.iter().filter(|step| step.0 <= 2).count();
        prop_assert!(left.iter().all(|&count| count <= 1));
        prop_assert_eq!(left.iter().sum::<u32>() as usize + queued, pushed);
    }
}
