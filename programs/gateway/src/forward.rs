//! Sending of a request to backend servers until one answers or no other may be tried.

mod send;

pub use send::Answer;

use crate::admit::{Grant, Refused};
use crate::receive::Call;
use crate::servers::{Flight, Placed, Query, Shard, Version};
use crate::shared::Shared;
use backends::client::Failure;
use base::id;
use base::sync::lock;
use futures::stream::{FuturesUnordered, StreamExt};
use send::{Sent, send};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use steering::affinity::Digest;
use steering::attempt::{self, Attempt, Refusal, RetryReason, Uncertainty};
use steering::retry::RetryCause;
use steering::routing;

/// Time between two looks at a send that is not answered.
const LOOK: Duration = Duration::from_millis(200);
/// Wait told to callers while no server may be used.
const NO_SERVER_WAIT: Duration = Duration::from_millis(300);
/// Time before the deadline at which a failure of a server is passed on: the way to the caller, 8 ms at
/// the sites, and the lateness of timers on a busy VM.
const RETURN_TIME: Duration = Duration::from_millis(100);
/// Least time for which a send is worth while.
const LEAST_LEFT: Duration = Duration::from_millis(20);

/// Why a request got no answer of a server.
#[derive(Debug, Clone, PartialEq)]
pub struct Unserved {
    /// What the caller is told.
    pub outcome: attempt::Outcome,
    /// Time after which the same request may succeed.
    pub retry: Option<Duration>,
}

impl From<Refused> for Unserved {
    fn from(refused: Refused) -> Self {
        Self {
            outcome: Attempt::new(false).refuse(refused.reason),
            retry: refused.retry,
        }
    }
}

/// A send whose server has the request.
struct Open {
    number: u32,
    flight: Arc<Flight>,
    sent: attempt::Sent,
}

/// Sends of one request: those that servers have, and what came of the others.
struct Sends<'a> {
    call: &'a Call,
    grant: &'a Grant<'a>,
    shared: &'a Shared,
    shard: Arc<Shard>,
    /// Sends that are not answered yet.
    open: Vec<Open>,
    /// Servers that it was sent to.
    tried: Vec<id::Server>,
    /// Sends so far.
    count: u32,
    /// Sends that servers may have got.
    arrivals: u32,
    /// A failure that a server answered with; passed on if no other server does better.
    answered: Option<Answer>,
    /// Why an overdue request was not sent to a second server, when last asked.
    refusal: Option<Refusal>,
}

/// Sends a request until it is answered.
///
/// A server that has the request keeps it until its answer or the deadline. While the answer of a
/// request that may be repeated is overdue, it is sent to another server besides, and the first whole
/// answer is passed on.
///
/// # Errors
///
/// Returns what the caller is told if no server answered.
pub async fn forward(call: &Call, grant: &Grant<'_>, shared: &Shared) -> Result<Answer, Unserved> {
    let Some(shard) = shared.services.shard(grant.service) else {
        return Err(Refused::from(Refusal::NoServer).into());
    };
    let mut sends = Sends {
        call,
        grant,
        shared,
        shard,
        open: Vec::new(),
        tried: Vec::new(),
        count: 0,
        arrivals: 0,
        answered: None,
        refusal: None,
    };
    let is_decided = AtomicBool::new(false);
    let mut in_flight = FuturesUnordered::new();
    let mut next = Some(Attempt::new(grant.route.idempotent));
    loop {
        if let Some(attempt) = next.take() {
            match sends.start(attempt) {
                Ok(open) => {
                    let (flight, number) = (open.flight.clone(), open.number);
                    sends.open.push(open);
                    in_flight.push(send(call, grant, flight, shared, number, &is_decided));
                }
                Err(unserved) if sends.open.is_empty() => return sends.end(unserved),
                Err(_) => {}
            }
        }
        tokio::select! {
            biased;
            Some((number, sent)) = in_flight.next() => match sends.ended(number, sent) {
                Step::Answered(answer) => {
                    is_decided.store(true, Ordering::Relaxed);
                    return Ok(answer);
                }
                Step::Again(attempt) => next = Some(attempt),
                Step::Wait => {}
                Step::Over(unserved) => return sends.end(unserved),
            },
            () = answer_due(grant, shared), if sends.answered.is_some() => {
                let outcome = attempt::Outcome::Unknown(Uncertainty::DeadlinePassed);
                return sends.end(Unserved { outcome, retry: None });
            }
            () = tokio::time::sleep(LOOK), if grant.route.idempotent => next = sends.beside(),
        }
    }
}

/// Waits until an answer that is there has to be passed on.
async fn answer_due(grant: &Grant<'_>, shared: &Shared) {
    let time = grant.deadline.checked_sub(RETURN_TIME);
    tokio::select! {
        () = tokio::time::sleep_until(time.unwrap_or(grant.deadline).into()) => {}
        () = shared.ending.cancelled() => {}
    }
}

/// What follows the end of a send.
enum Step {
    /// The request is answered.
    Answered(Answer),
    /// No server has it, and another may be tried.
    Again(Attempt),
    /// Another server has it.
    Wait,
    /// No server has it, and no other may be tried.
    Over(Unserved),
}

impl Sends<'_> {
    /// Chooses a server for the next send and counts it.
    fn start(&mut self, attempt: Attempt) -> Result<Open, Unserved> {
        let need = match self.open.is_empty() {
            true => RetryCause::Failed,
            false => RetryCause::Overdue,
        };
        if self.arrivals > 0 && !self.shard.can_retry(need) {
            return Err(self.denied(attempt));
        }
        let placed = place(self.call, self.grant, self.shared, &self.shard, &self.tried);
        let flight = match placed {
            Ok(flight) => flight,
            Err((reason, retry)) => return Err(self.unplaced(attempt, reason, retry)),
        };
        if self.arrivals > 0 && !self.shard.may_retry() {
            return Err(self.denied(attempt));
        }
        if !self.open.is_empty() {
            self.shared.metrics.retry(RetryReason::Silent);
        }
        self.refusal = None;
        self.tried.push(flight.server.clone());
        self.count += 1;
        self.arrivals += 1;
        Ok(Open {
            number: self.count,
            flight,
            sent: attempt.send(),
        })
    }

    fn denied(&mut self, attempt: Attempt) -> Unserved {
        if self.refusal != Some(Refusal::BudgetSpent) {
            self.shared.metrics.denied();
        }
        self.unplaced(attempt, Refusal::BudgetSpent, Some(NO_SERVER_WAIT))
    }

    /// Takes in that no server gets the request now, and logs it when the reason changes.
    fn unplaced(&mut self, attempt: Attempt, reason: Refusal, retry: Option<Duration>) -> Unserved {
        if !self.tried.is_empty() && self.refusal != Some(reason) {
            let now = Instant::now();
            log::info!(
                "event=not-resent id={} reason={reason} service={} open={} tried={} excess_ms={} left_ms={}",
                self.call.id,
                self.grant.service,
                self.open.len(),
                self.tried.len(),
                retry.map_or(0, |excess| excess.as_millis()),
                self.grant
                    .deadline
                    .saturating_duration_since(now)
                    .as_millis()
            );
            self.refusal = Some(reason);
        }
        let outcome = attempt.refuse(reason);
        Unserved { outcome, retry }
    }

    /// Returns the request for a second server, if the answer of the only one that has it is overdue.
    fn beside(&self) -> Option<Attempt> {
        let [open] = self.open.as_slice() else {
            return None;
        };
        let may_go_on = self.arrivals < self.grant.route.attempts;
        (may_go_on && open.flight.is_overdue(Instant::now())).then(|| open.sent.hedge())?
    }

    /// Takes in the end of a send.
    fn ended(&mut self, number: u32, result: Sent) -> Step {
        let index = self.open.iter().position(|open| open.number == number);
        let Some(open) = index.map(|index| self.open.remove(index)) else {
            return Step::Wait;
        };
        let failure = match result {
            Sent::Answered(answer) if !answer.status().is_server_error() => {
                if self.arrivals == 1 {
                    self.shard.succeeded();
                }
                return Step::Answered(answer);
            }
            Sent::Answered(answer) if !self.grant.route.idempotent => {
                return Step::Answered(answer);
            }
            Sent::Answered(answer) => {
                self.answered = Some(answer);
                attempt::Failure::MayHaveRun(Uncertainty::Interrupted)
            }
            Sent::NotRun(_) => attempt::Failure::Refused(RetryReason::ServerRefused),
            Sent::Oversized => attempt::Failure::MayHaveRun(Uncertainty::AnswerTooLarge),
            Sent::Failed(failure) => {
                if matches!(failure, Failure::Before(_)) {
                    self.arrivals -= 1;
                }
                failure.into()
            }
        };
        let is_final = matches!(
            failure,
            attempt::Failure::MayHaveRun(Uncertainty::AnswerTooLarge)
        );
        if !self.open.is_empty() && !is_final {
            let others = self.open.iter_mut();
            others.for_each(|open| open.sent.hedge_failed(failure));
            return Step::Wait;
        }
        let step = open.sent.fail(failure);
        match step {
            attempt::Step::Retry(attempt, retry) if self.arrivals < self.grant.route.attempts => {
                self.shared.metrics.retry(retry);
                Step::Again(attempt)
            }
            attempt::Step::Retry(attempt, _) => Step::Over(Unserved {
                outcome: attempt.refuse(Refusal::ServersRefused),
                retry: Some(NO_SERVER_WAIT),
            }),
            attempt::Step::Done(outcome) => Step::Over(Unserved {
                outcome,
                retry: None,
            }),
        }
    }

    /// Ends the request with what a server answered, or else as `unserved`.
    fn end(self, unserved: Unserved) -> Result<Answer, Unserved> {
        self.answered.ok_or(unserved)
    }
}

/// Chooses a server; an error says why there is none and when the caller may come back.
fn place(
    call: &Call,
    grant: &Grant<'_>,
    shared: &Shared,
    shard: &Arc<Shard>,
    tried: &[id::Server],
) -> Result<Arc<Flight>, (Refusal, Option<Duration>)> {
    let now = Instant::now();
    let left = grant.deadline.saturating_duration_since(now);
    if left < LEAST_LEFT {
        return Err((Refusal::DeadlinePassed, None));
    }
    let evacuated = lock(&shared.orders).evacuated.clone();
    let ask = |version: &Version, sample: Option<Digest>| {
        let query = Query {
            object: call.object.filter(|_| grant.route.sticky),
            objective: grant.route.objective,
            left,
            version,
            sample,
            tried,
            evacuated: &evacuated,
        };
        let may_run = |region: &str| routing::is_allowed_in(grant.route, grant.account, region);
        let warms_up = |server: &str| shared.warms_up(server, now);
        shard.place(&query, may_run, warms_up, now)
    };
    let takeovers = &shared.takeovers;
    let is_first = tried.is_empty();
    let (version, sample) = match is_first {
        true => takeovers.next(grant.service, |label| shard.servers_of(label)),
        false => (takeovers.fall_back(grant.service), None),
    };
    let placed = match (ask(&version, sample), &version) {
        (Placed::Empty | Placed::Late(_), Version::Only(_)) => {
            ask(&takeovers.fall_back(grant.service), None)
        }
        (placed, _) => placed,
    };
    if let (Placed::Sent(flight), true) = (&placed, is_first) {
        takeovers.sent(grant.service, &flight.label);
    }
    match placed {
        Placed::Sent(flight) => Ok(Arc::from(flight)),
        Placed::Late(excess) => Err((Refusal::Overloaded, Some(excess))),
        Placed::Empty => Err((Refusal::NoServer, Some(NO_SERVER_WAIT))),
    }
}
