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
use send::{Sent, send};
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::affinity::Digest;
use steering::attempt::{self, Attempt, Refusal, Retry, Step, Uncertainty};
use steering::routing;

/// Wait told to callers while no server may be used.
const NO_SERVER_WAIT: Duration = Duration::from_millis(300);
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
            outcome: Attempt::new(false).give_up(refused.reason),
            retry: refused.retry,
        }
    }
}

/// Sends a request until it is answered.
///
/// # Errors
///
/// Returns what the caller is told if no server answered.
pub async fn forward(call: &Call, grant: &Grant<'_>, shared: &Shared) -> Result<Answer, Unserved> {
    let Some(shard) = shared.services.shard(grant.service) else {
        return Err(Refused::from(Refusal::NoServer).into());
    };
    let mut attempt = Attempt::new(grant.route.idempotent);
    let mut tried: Vec<id::Server> = Vec::new();
    let mut arrivals = 0;
    // A failure that a server answered with; passed on if no other server does better.
    let mut answered: Option<Answer> = None;
    loop {
        let flight = match place(call, grant, shared, &shard, &tried) {
            Ok(flight) => flight,
            Err((reason, retry)) => {
                if let Some(answer) = answered {
                    return Ok(answer);
                }
                let outcome = attempt.give_up(reason);
                return Err(Unserved { outcome, retry });
            }
        };
        if arrivals > 0 && !shard.may_retry() {
            shared.metrics.denied();
            if let Some(answer) = answered {
                return Ok(answer);
            }
            let outcome = attempt.give_up(Refusal::BudgetSpent);
            let retry = Some(NO_SERVER_WAIT);
            return Err(Unserved { outcome, retry });
        }
        let sent = attempt.send();
        let result = send(call, grant, &flight, shared, arrivals + 1).await;
        tried.push(flight.server.clone());
        let may_go_on = arrivals + 1 < grant.route.attempts;
        let failure = match result {
            Sent::Answered(answer) if !answer.status().is_server_error() => {
                if arrivals == 0 {
                    shard.succeeded();
                }
                return Ok(answer);
            }
            Sent::Answered(answer) => {
                arrivals += 1;
                if !grant.route.idempotent || !may_go_on {
                    return Ok(answer);
                }
                answered = Some(answer);
                attempt::Failure::MayHaveRun(Uncertainty::Interrupted)
            }
            Sent::NotRun(_) => {
                arrivals += 1;
                attempt::Failure::Refused(Retry::ServerRefused)
            }
            Sent::Silent => {
                arrivals += 1;
                attempt::Failure::MayHaveRun(Uncertainty::Silent)
            }
            Sent::Failed(failure) => {
                arrivals += u32::from(!matches!(failure, Failure::Before(_)));
                failure.into()
            }
        };
        drop(flight);
        match sent.fail(failure) {
            Step::Retry(next, retry) if arrivals < grant.route.attempts => {
                shared.metrics.retry(retry);
                attempt = next;
            }
            Step::Retry(next, _) => {
                if let Some(answer) = answered {
                    return Ok(answer);
                }
                let outcome = next.give_up(Refusal::ServersRefused);
                let retry = Some(NO_SERVER_WAIT);
                return Err(Unserved { outcome, retry });
            }
            Step::Done(outcome) => {
                return Err(Unserved {
                    outcome,
                    retry: None,
                });
            }
        }
    }
}

/// Chooses a server; an error says why there is none and when the caller may come back.
fn place(
    call: &Call,
    grant: &Grant<'_>,
    shared: &Shared,
    shard: &Arc<Shard>,
    tried: &[id::Server],
) -> Result<Box<Flight>, (Refusal, Option<Duration>)> {
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
        let may_run = |region: &str| routing::may_run(grant.route, grant.account, region);
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
        Placed::Sent(flight) => Ok(flight),
        Placed::Late(excess) => Err((Refusal::Overloaded, Some(excess))),
        Placed::Empty => Err((Refusal::NoServer, Some(NO_SERVER_WAIT))),
    }
}
