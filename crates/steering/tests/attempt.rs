//! Typestate of one request.

use rstest::rstest;
use std::collections::HashSet;
use steering::attempt::{
    Attempt, Failure, Outcome, Refusal, RetryReason, Sent, Step, Uncertainty as Cause,
};

fn fail(sent: Sent, failure: Failure) -> Result<Attempt, Outcome> {
    match sent.fail(failure) {
        Step::Retry(attempt, _) => Ok(attempt),
        Step::Done(outcome) => Err(outcome),
    }
}

/// Guards against the outcome "unknown" for requests that certainly did not run.
#[rstest]
#[case(Failure::Unsent(RetryReason::ConnectFailed))]
#[case(Failure::Refused(RetryReason::ServerShedding))]
fn unsent_requests_may_be_retried_or_refused(
    #[case] failure: Failure,
    #[values(true, false)] idempotent: bool,
) {
    let attempt = fail(Attempt::new(idempotent).send(), failure).unwrap();
    let outcome = attempt.refuse(Refusal::BudgetSpent);
    assert!(matches!(outcome, Outcome::NotRun(proof) if proof.reason() == Refusal::BudgetSpent));
}

/// Guards against a retry of a non-idempotent request that may have run.
#[rstest]
#[case(Cause::Interrupted)]
#[case(Cause::Silent)]
#[case(Cause::WrongAnswer)]
fn non_idempotent_request_that_may_have_run_ends(#[case] cause: Cause) {
    let result = fail(Attempt::new(false).send(), Failure::MayHaveRun(cause));
    assert_eq!(result, Err(Outcome::Unknown(cause)));
}

/// Guards against the outcome "not run" after a retry on an idempotent route whose first send may
/// have run.
#[test]
fn uncertainty_stays_over_retries() {
    let first = Failure::MayHaveRun(Cause::Silent);
    let attempt = fail(Attempt::new(true).send(), first).unwrap();
    let refused = Failure::Refused(RetryReason::ServerLeaving);
    let attempt = fail(attempt.send(), refused).unwrap();
    let outcome = attempt.refuse(Refusal::NoServer);
    assert_eq!(outcome, Outcome::Unknown(Cause::Silent));
}

/// Guards against a second send of a non-idempotent request while a server has it.
#[test]
fn only_idempotent_requests_are_hedged() {
    assert_eq!(Attempt::new(false).send().hedge(), None);
    assert_eq!(Attempt::new(true).send().hedge(), Some(Attempt::new(true)));
}

/// Guards against the outcome "not run" when one of two sends may have run, however it ended, and
/// against "unknown" when both servers stated that they did not run it.
#[rstest]
#[case::refused(Failure::Refused(RetryReason::ServerShedding), true)]
#[case::unsent(Failure::Unsent(RetryReason::ConnectFailed), true)]
#[case::interrupted(Failure::MayHaveRun(Cause::Interrupted), false)]
#[case::deadline(Failure::MayHaveRun(Cause::DeadlinePassed), false)]
#[case::too_large(Failure::MayHaveRun(Cause::AnswerTooLarge), false)]
fn hedged_request_is_not_run_only_if_neither_send_ran(
    #[case] other: Failure,
    #[case] is_refused: bool,
) {
    let mut first = Attempt::new(true).send();
    assert!(first.hedge().is_some());
    first.hedge_failed(other);
    let left = fail(first, Failure::Refused(RetryReason::ServerShedding)).unwrap();
    let outcome = left.refuse(Refusal::ServersRefused);
    assert_eq!(matches!(outcome, Outcome::NotRun(_)), is_refused);
}

/// Guards against retries after the caller disconnected or the deadline passed.
#[rstest]
#[case(Cause::DeadlinePassed)]
#[case(Cause::Cancelled)]
fn no_retry_after_cancellation_or_deadline(#[case] cause: Cause) {
    let result = fail(Attempt::new(true).send(), Failure::MayHaveRun(cause));
    assert_eq!(result, Err(Outcome::Unknown(cause)));
}

/// Guards against a retry on a second server, whose answer would be too large as well.
#[test]
fn too_large_answer_is_not_retried() {
    let cause = Cause::AnswerTooLarge;
    let result = fail(Attempt::new(true).send(), Failure::MayHaveRun(cause));
    assert_eq!(result, Err(Outcome::Unknown(cause)));
}

/// Guards against two reasons with one metric label, or a label that is not kebab-case.
#[test]
fn labels_are_distinct_and_kebab_case() {
    let refusals: Vec<_> = Refusal::ALL.iter().map(|r| r.as_str()).collect();
    let retries: Vec<_> = RetryReason::ALL.iter().map(|r| r.as_str()).collect();
    let causes: Vec<_> = Cause::ALL.iter().map(|r| r.as_str()).collect();
    for texts in [refusals, retries, causes] {
        let kebab = |t: &&str| t.bytes().all(|b| b.is_ascii_lowercase() || b == b'-');
        assert!(texts.iter().all(kebab), "{texts:?}");
        assert_eq!(texts.iter().collect::<HashSet<_>>().len(), texts.len());
    }
}
