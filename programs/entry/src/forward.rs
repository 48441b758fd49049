//! Sends a request to backend servers until one answers or no other may be tried.

use crate::authorise::Grant;
use crate::metrics::Metrics;
use crate::quarantine::track::Track;
use crate::receive::Call;
use crate::release::{Releases, Start, Trial};
use crate::route::{self, Flight, Router};
use crate::server::Running;
use backends::client::{After, Failure, NotRun};
use base::http::Body;
use hyper::Response;
use std::sync::Arc;
use steering::attempt::{Attempt, Outcome, Refusal, Step};

/// Most servers that one request is sent to.
const ATTEMPTS: usize = 4;

/// Answer of a backend server, and its request in flight.
#[derive(Debug)]
pub struct Answer {
    /// Answer, whose body streams.
    pub response: Response<Body>,
    /// Slot of the request; ends with the body.
    pub flight: Flight,
    /// Request in flight on the server; ends with the body.
    pub running: Running,
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
    router: &Arc<Router>,
    releases: &Arc<Releases>,
    metrics: &Metrics,
    track: &Track,
) -> Forwarded {
    let mut attempt = Attempt::new(grant.path.idempotent);
    let mut tried = Vec::new();
    let shard = router.shard(&grant.service.service.value);
    let deadline = track.deadline(route::deadline(call, grant));
    while tried.len() < ATTEMPTS {
        let (start, placed) = match track.trial() {
            Some(_) if !tried.is_empty() => break,
            Some(server) => (
                Start::plain(&grant.service.current),
                Ok(router.trial(grant, server)),
            ),
            None => {
                let service = grant.service;
                let start = releases.start(&router.current(), service, &grant.path.name);
                let placed = router.place(call, grant, &tried, &start.label).await;
                (start, placed)
            }
        };
        let mut flight = match placed {
            Ok(flight) => flight,
            Err(Refusal::NoServer) if !tried.is_empty() => break,
            Err(reason) => return Err(attempt.give_up(reason)),
        };
        if withdrawn(grant, router) {
            flight.unused();
            return Err(attempt.give_up(Refusal::Unauthorised));
        }
        // A version without a usable server gives way to the one in service.
        let mut start = match *flight.label() == start.label {
            true => start,
            false => Start::plain(flight.label()),
        };
        start.sent();
        let running = flight.server().start(track.digest());
        let sent = attempt.send();
        track.sent(true);
        // Dropped here when the caller leaves: that closes the connection and ends the flight.
        let failure = match flight.server().pool.send(call.request(), deadline).await {
            Ok(response) => {
                flight.answered(response.status());
                if tried.is_empty() && !response.status().is_server_error() {
                    shard.succeeded();
                }
                let trial = start.answered(response.status().as_u16());
                return Ok(Answer {
                    response,
                    flight,
                    running,
                    trial,
                });
            }
            Err(failure) => failure,
        };
        let crashed = match failure {
            Failure::After(After::Interrupted) => track.interrupted(&running).await,
            _ => false,
        };
        if matches!(failure, Failure::After(_)) {
            start.lost();
        }
        flight.failed(failure);
        let name = flight.server().listed.name.clone();
        drop((running, flight));
        match sent.fail(failure.into()) {
            // Another server would crash, too.
            Step::Retry(next, _) if crashed => return Err(next.give_up(Refusal::Suspected)),
            Step::Retry(next, _) if loads(failure) && !shard.retry() => {
                metrics.denied();
                return Err(next.give_up(Refusal::BudgetSpent));
            }
            Step::Retry(next, retry) => {
                // Only an idempotent route, which has no claim, goes on after it may have run.
                track.sent(false);
                log::debug!("request {}: {retry} on {name}", call.id);
                metrics.retry(retry);
                attempt = next;
            }
            Step::Done(outcome) => return Err(outcome),
        }
        tried.push(name);
    }
    Err(attempt.give_up(Refusal::ServersRefused))
}

/// Whether the key was withdrawn while the request waited for a slot.
fn withdrawn(grant: &Grant<'_>, router: &Router) -> bool {
    let digest = grant.digest.as_ref();
    digest.is_some_and(|digest| router.current().withdrawn(digest))
}

/// Whether the failed send used a server, so that its retry is paid for from the budget.
///
/// Failed connections and refusals of leaving servers cost servers nothing, and the server gets no
/// further requests.
fn loads(failure: Failure) -> bool {
    !matches!(
        failure,
        Failure::Before(_) | Failure::NotRun(NotRun::Leaving)
    )
}
