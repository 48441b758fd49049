//! Retry budget, and admission by deadline.

use std::time::{Duration, Instant};
use steering::retry::{Admission, Budget, Refusal, RetryCause, Settings};

/// Guards against retries to a service that answers nothing.
#[test]
fn starts_empty() {
    assert!(!Budget::new(Settings::default()).try_take());
}

/// Guards against more retries than a tenth of the successes, and against a large burst after a
/// long period without failures.
#[test]
fn is_a_bounded_fraction_of_successes() {
    let mut budget = Budget::new(Settings::default());
    let taken = |budget: &mut Budget| (0..1000).filter(|_| budget.try_take()).count();
    (0..100).for_each(|_| budget.record_success());
    assert!((9..=10).contains(&taken(&mut budget)));
    (0..100_000).for_each(|_| budget.record_success());
    assert_eq!(taken(&mut budget), Settings::default().max_saved as usize);
}

/// Guards against failed requests that are refused because overdue ones, which a slow server may
/// still answer, took the last retry.
#[test]
fn overdue_requests_leave_a_retry_to_failed_ones() {
    let mut budget = Budget::new(Settings::default());
    (0..11).for_each(|_| budget.record_success());
    assert!(!budget.allows(RetryCause::Overdue));
    assert!(budget.allows(RetryCause::Failed));
    (0..11).for_each(|_| budget.record_success());
    assert!(budget.allows(RetryCause::Overdue));
}

/// Guards against overdue requests that never get a second send because the budget of one of many
/// VMs is below two retries.
#[test]
fn overdue_requests_get_a_retry_of_a_small_budget() {
    for most in [1.0, 1.5] {
        let settings = Settings {
            max_saved: most,
            ..Settings::default()
        };
        let mut budget = Budget::new(settings);
        assert!(!budget.allows(RetryCause::Overdue));
        (0..100).for_each(|_| budget.record_success());
        assert!(budget.allows(RetryCause::Overdue), "{most}");
    }
}

/// Guards against starting requests that can't finish in time, and against refusing those that can.
#[test]
fn sheds_by_estimate() {
    let now = Instant::now();
    let mut admission = Admission::new(Duration::from_millis(20), 2.0);
    let deadline = now + Duration::from_millis(100);
    assert_eq!(admission.admit(deadline, 0, 3, now), Ok(()));
    assert_eq!(admission.admit(deadline, 30, 3, now), Err(Refusal::Queue));
    assert_eq!(admission.admit(deadline, 30, 30, now), Ok(()));
    let late = now + Duration::from_millis(90);
    assert_eq!(admission.check_start(deadline, late), Err(Refusal::Late));
    (0..500).for_each(|_| admission.record(Duration::from_millis(150)));
    assert_eq!(admission.admit(deadline, 0, 3, now), Err(Refusal::Late));
}
