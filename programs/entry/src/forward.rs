//! Sends a request to backend servers until one answers or no other may be tried.

use crate::authorise::Grant;
use crate::metrics::Metrics;
use crate::quarantine::track::Track;
use crate::receive::Call;
use crate::release::{Releases, Start, Trial};
use crate::route;
use crate::server::Flight;
use crate::settings::Settings;
use crate::snapshot::Snapshot;
use backends::client::{After, Before, Failure, NotRun};
use base::http::Body;
use hyper::Response;
use std::sync::Arc;
use steering::attempt::{self, Attempt, Outcome, Refusal, Retry, Step, Uncertainty};

/// Most servers that one request is sent to.
const ATTEMPTS: usize = 3;

/// Answer of a backend server, and its request in flight.
#[derive(Debug)]
pub struct Answer {
    /// Answer, whose body streams.
    pub response: Response<Body>,
    /// Request in flight; ends with the body.
    pub flight: Flight,
    /// Evidence of a release, recorded when the answer has ended.
    pub trial: Option<Box<Trial>>,
}

/// Result of forwarding: an answer, or the outcome that the caller is told.
pub type Forwarded = Result<Answer, Outcome>;

/// Forwards a request.
///
/// # Errors
///
/// Returns the outcome if no backend server answered.
pub async fn forward(
    call: &Call,
    grant: &Grant<'_>,
    snapshot: &Snapshot,
    settings: &Settings,
    releases: &Arc<Releases>,
    metrics: &Metrics,
    track: &Track,
) -> Forwarded {
    let mut attempt = Attempt::new(grant.path.idempotent);
    let mut tried = Vec::new();
    for _ in 0..ATTEMPTS {
        let reserved = track.trial();
        let start = match reserved {
            Some(_) => Start::plain(&grant.service.current),
            None => releases.start(snapshot, grant.service, &grant.path.name),
        };
        let chosen = match reserved {
            Some(server) => Some(server).filter(|_| tried.is_empty()),
            None => route::choose(snapshot, grant.service, &start.label, settings, &tried),
        };
        let chosen = chosen.cloned();
        let Some(server) = chosen else {
            break;
        };
        tried.push(server.listed.name.clone());
        let flight = server.start(track.digest());
        let sent = attempt.send();
        track.sent(true);
        let deadline = track.deadline(call.deadline);
        let answer = server.pool.send(call.request(), deadline).await;
        let crashed = match &answer {
            Err(Failure::After(After::Interrupted)) => track.interrupted(&flight).await,
            _ => false,
        };
        match answer {
            Ok(response) => {
                let trial = start.answered(response.status().as_u16());
                return Ok(Answer {
                    response,
                    flight,
                    trial,
                });
            }
            Err(failure) => {
                if matches!(failure, Failure::After(_)) {
                    start.lost();
                }
                match sent.fail(classify(failure)) {
                    // Another server would crash, too.
                    Step::Retry(next, _) if crashed => return Err(next.give_up(Refusal::Suspected)),
                    Step::Retry(next, retry) => {
                        // Only an idempotent route, which has no claim, goes on after it may have run.
                        track.sent(false);
                        log::debug!("request {}: {retry} on {}", call.id, server.listed.name);
                        metrics.retry(retry);
                        attempt = next;
                    }
                    Step::Done(outcome) => return Err(outcome),
                }
            }
        }
    }
    let reason = if tried.is_empty() {
        Refusal::NoServer
    } else {
        Refusal::ServersRefused
    };
    Err(attempt.give_up(reason))
}

/// Says what a failed send means for the request.
fn classify(failure: Failure) -> attempt::Failure {
    use attempt::Failure::{MayHaveRun, Refused, Unsent};
    match failure {
        Failure::Before(Before::Busy) => Unsent(Retry::ConnectionsBusy),
        Failure::Before(Before::ConnectRefused | Before::ConnectTimeout | Before::Deadline) => {
            Unsent(Retry::ConnectFailed)
        }
        Failure::Before(Before::Stale) => Unsent(Retry::StaleConnection),
        Failure::NotRun(NotRun::Shedding) => Refused(Retry::ServerShedding),
        Failure::NotRun(NotRun::Leaving) => Refused(Retry::ServerLeaving),
        Failure::NotRun(NotRun::Other) => Refused(Retry::ServerRefused),
        Failure::After(After::Silent) => MayHaveRun(Uncertainty::Silent),
        Failure::After(After::Interrupted) => MayHaveRun(Uncertainty::Interrupted),
        Failure::After(After::Deadline) => MayHaveRun(Uncertainty::DeadlinePassed),
        Failure::After(After::WrongAnswer) => MayHaveRun(Uncertainty::WrongAnswer),
    }
}
