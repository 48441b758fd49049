//! Memory that answers of servers hold.

use gateway::answers::{ALL_BYTES, ANSWER_BYTES, Budget, SHORT_BYTES};

/// Bytes that arrive at once.
const CHUNK: usize = 64 * 1024;
/// Answers without end that arrive at the same time.
const ENDLESS: usize = 100;

/// Guards against answers without end of several servers that fill the memory together, although
/// each is cut at the largest length of one.
#[test]
fn endless_answers_are_bounded_together() {
    let budget = Budget::default();
    let mut open: Vec<_> = (0..ENDLESS).map(|_| budget.share()).collect();
    while !open.is_empty() {
        open.retain_mut(|share| share.grow(CHUNK));
        let short = ENDLESS * SHORT_BYTES;
        assert!(budget.held() <= ALL_BYTES + short, "{}", budget.held());
    }
    assert_eq!(budget.held(), 0);
}

/// Guards against ordinary answers that fail because others have no end.
#[test]
fn short_answers_pass_beside_endless_ones() {
    let budget = Budget::default();
    let mut endless: Vec<_> = (0..ENDLESS).map(|_| budget.share()).collect();
    while budget.held() < ALL_BYTES {
        for share in &mut endless {
            share.grow(CHUNK);
        }
    }
    assert!(budget.share().grow(SHORT_BYTES));
    assert!(!budget.share().grow(SHORT_BYTES + 1));
}

/// Guards against one answer that holds more than the largest that is passed on.
#[test]
fn one_answer_is_bounded() {
    let budget = Budget::default();
    let mut share = budget.share();
    assert!(share.grow(ANSWER_BYTES));
    assert!(!share.grow(1));
}
