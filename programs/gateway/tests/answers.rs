//! Memory that answers of servers hold.

use gateway::answer_memory::{ALL_BYTES, ANSWER_BYTES, AnswerMemory, Refused, SHORT_BYTES, Share};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::task::{Context, Poll, Waker};

/// Bytes that arrive at once.
const CHUNK: usize = 64 * 1024;
/// Answers without end that arrive at the same time.
const ENDLESS: usize = 100;
/// Seeds of the random runs.
const SEEDS: u64 = 200;
/// Answers of a random run that are read at the same time.
const TOGETHER: usize = 12;

fn open(budget: &AnswerMemory) -> Share<'_> {
    budget.share(None).expect("an answer")
}

/// Guards against answers without end of several servers that fill the memory together, although
/// each is cut at the largest length of one, and against answers that wait for each other for ever.
#[test]
fn endless_answers_are_bounded_together() {
    let budget = AnswerMemory::default();
    let mut shares: Vec<_> = (0..ENDLESS).map(|_| open(&budget)).collect();
    while !shares.is_empty() {
        let before = (shares.len(), budget.held());
        shares.retain_mut(|share| share.grow(CHUNK) != Err(Refused::TooLarge));
        let short = ENDLESS * SHORT_BYTES;
        assert!(budget.held() <= ALL_BYTES + short, "{}", budget.held());
        assert_ne!((shares.len(), budget.held()), before, "all wait");
    }
    assert_eq!(budget.held(), 0);
}

/// Guards against ordinary answers that fail because others have no end.
#[test]
fn short_answers_pass_beside_endless_ones() {
    let budget = AnswerMemory::default();
    let mut endless: Vec<_> = (0..ENDLESS).map(|_| open(&budget)).collect();
    let mut grow = || {
        endless
            .iter_mut()
            .filter_map(|s| s.grow(CHUNK).ok())
            .count()
    };
    while grow() > 0 {}
    assert!(budget.held() >= ALL_BYTES, "{}", budget.held());
    assert_eq!(open(&budget).grow(SHORT_BYTES), Ok(()));
    assert_eq!(open(&budget).grow(SHORT_BYTES + CHUNK), Err(Refused::Full));
}

/// Guards against one answer that holds more than the largest that is passed on.
#[test]
fn one_answer_is_bounded() {
    let budget = AnswerMemory::default();
    let mut share = open(&budget);
    assert_eq!(share.grow(ANSWER_BYTES), Ok(()));
    assert_eq!(share.grow(1), Err(Refused::TooLarge));
}

/// Guards against an answer that is read although its length says that it is not passed on.
#[test]
fn length_alone_refuses_an_answer() {
    let budget = AnswerMemory::default();
    let refused = |length: usize| budget.share(Some(length as u64)).err();
    assert_eq!(refused(ANSWER_BYTES), None);
    assert_eq!(refused(ANSWER_BYTES + 1), Some(Refused::TooLarge));
    let longest = budget.share(Some(u64::MAX)).err();
    assert_eq!(longest, Some(Refused::TooLarge));
}

/// Guards against answers of any lengths, known or not, that wait for each other for ever or that
/// fill the memory together.
#[test]
fn one_of_the_answers_always_goes_on() {
    for seed in 0..SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        let budget = AnswerMemory::default();
        let mut shares: Vec<(Share<'_>, usize)> = (0..TOGETHER)
            .map(|_| {
                let length = rng.random_range(SHORT_BYTES..=ANSWER_BYTES);
                let known = rng.random_bool(0.5).then_some(length as u64);
                (budget.share(known).expect("an answer"), length)
            })
            .collect();
        let mut waiting = 0;
        while !shares.is_empty() {
            let index = rng.random_range(0..shares.len());
            let (share, left) = &mut shares[index];
            let bytes = rng.random_range(1..=8 * CHUNK).min(*left);
            match share.grow(bytes) {
                Ok(()) => {
                    *left -= bytes;
                    waiting = 0;
                }
                Err(refused) => {
                    assert_eq!(refused, Refused::Full, "seed {seed}");
                    waiting += 1;
                }
            }
            if shares[index].1 == 0 {
                shares.swap_remove(index);
            }
            let short = TOGETHER * SHORT_BYTES;
            assert!(budget.held() <= ALL_BYTES + short, "seed {seed}");
            // Each was refused about fifty times in a row.
            assert!(waiting < 50 * TOGETHER, "seed {seed}: all wait");
        }
        assert_eq!(budget.held(), 0);
    }
}

/// Guards against an answer that waits although another one has ended.
#[test]
fn room_wakes_those_that_wait() {
    let budget = AnswerMemory::default();
    let holders: Vec<_> = (0..ALL_BYTES / ANSWER_BYTES + 1)
        .map(|_| {
            let mut share = open(&budget);
            let grown = share.grow(ANSWER_BYTES);
            (share, grown)
        })
        .collect();
    assert!(holders.iter().filter(|(_, grown)| grown.is_ok()).count() >= ALL_BYTES / ANSWER_BYTES);
    let mut share = open(&budget);
    let mut hold = std::pin::pin!(share.hold(ANSWER_BYTES, || ()));
    let mut context = Context::from_waker(Waker::noop());
    assert_eq!(hold.as_mut().poll(&mut context), Poll::Pending);
    drop(holders);
    assert_eq!(hold.as_mut().poll(&mut context), Poll::Ready(Ok(())));
}
