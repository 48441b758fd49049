//! Sends a request to backend servers until one answers or no other may be tried.

use crate::authorise::Grant;
use crate::metrics::Metrics;
use crate::quarantine::tracker::RequestTracker;
use crate::receive::Call;
use crate::release::{Observation, Releases, VersionChoice};
use crate::route::{self, Flight, Router, Shard};
use crate::server::RequestGuard;
use backends::client::{After, Failure, NotRun};
use base::http::Body;
use base::id;
use futures::FutureExt;
use futures::future::{BoxFuture, OptionFuture};
use futures::stream::{FuturesUnordered, StreamExt};
use hyper::Response;
use std::sync::Arc;
use std::time::Instant;
use steering::attempt::{Attempt, Outcome, Refusal, RetryReason, Sent, Step};

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
    pub running: RequestGuard,
    /// Evidence of a release, recorded when the answer has ended.
    pub trial: Option<Box<Observation>>,
}

/// Result of forwarding: an answer, or the outcome that the caller is told.
pub type Forwarded = Result<Answer, Outcome>;

/// Server that a request is sent to, and what its version is told of the send.
type Placed = (VersionChoice, Flight);

/// A request, and what the choice of its servers depends on.
#[derive(Clone, Copy)]
struct Context<'a> {
    call: &'a Call,
    grant: &'a Grant<'a>,
    router: &'a Arc<Router>,
    releases: &'a Arc<Releases>,
    metrics: &'a Metrics,
    track: &'a RequestTracker,
    deadline: Instant,
}

/// A send whose server has the request.
struct Open {
    number: usize,
    sent: Sent,
    start: VersionChoice,
    /// When the request, if it is still unanswered, is due at a second server.
    overdue: Instant,
}

/// What came of a send.
struct Ended {
    number: usize,
    flight: Flight,
    running: RequestGuard,
    /// The answer; or the failure, and whether the server crashed.
    result: Result<Response<Body>, (Failure, bool)>,
}

/// Sends of one request: those that servers have, and what came of the others.
struct Sends<'a> {
    context: Context<'a>,
    /// Sends that are not answered yet.
    open: Vec<Open>,
    /// Servers that it was sent to.
    tried: Vec<id::Server>,
    /// A failure that a server answered with while another server has the request.
    answered: Option<Box<Answer>>,
    is_crashed: bool,
}

/// What follows the end of a send.
enum Next {
    /// The request is answered.
    Answered(Box<Answer>),
    /// No server has it, and another may be tried.
    Again(Attempt),
    /// Another server has it.
    Wait,
    /// No server has it, and no other may be tried.
    Over(Outcome),
}

/// Forwards a request.
///
/// A server that has the request keeps it until its answer or the deadline: a silent one may be at
/// work. While a request that may be repeated is unanswered after the read timeout, it is sent to
/// a second server besides, and the first answer that is no failure is passed on.
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
    track: &RequestTracker,
) -> Forwarded {
    let context = Context {
        call,
        grant,
        router,
        releases,
        metrics,
        track,
        deadline: track.deadline(route::deadline(call, grant)),
    };
    let mut sends = Sends {
        context,
        open: Vec::new(),
        tried: Vec::new(),
        answered: None,
        is_crashed: false,
    };
    // Dropped when the caller leaves or another server answered: that closes the connections and
    // ends the flights.
    let mut in_flight = FuturesUnordered::new();
    let mut beside = OptionFuture::from(None);
    let mut next = Some(Attempt::new(grant.path.idempotent));
    loop {
        if let Some(attempt) = next.take() {
            if !sends.may_go_on() {
                return Err(attempt.refuse(Refusal::ServersRefused));
            }
            match context.place(&sends.tried).await {
                Ok(placed) => in_flight.push(sends.send(attempt, placed)),
                Err(Refusal::NoServer) if !sends.tried.is_empty() => {
                    return Err(attempt.refuse(Refusal::ServersRefused));
                }
                Err(reason) => return Err(attempt.refuse(reason)),
            }
            beside = sends.beside().into();
        }
        tokio::select! {
            biased;
            Some(ended) = in_flight.next() => {
                match sends.ended(ended) {
                    Next::Answered(answer) => return Ok(*answer),
                    Next::Again(attempt) => next = Some(attempt),
                    Next::Wait => {}
                    Next::Over(outcome) => return Err(outcome),
                }
                beside = sends.beside().into();
            }
            Some(placed) = &mut beside => {
                beside = None.into();
                let attempt = sends.open.first().and_then(|open| open.sent.hedge());
                if let (Some(placed), Some(attempt)) = (placed, attempt) {
                    metrics.record_retry(RetryReason::Silent);
                    in_flight.push(sends.send(attempt, placed));
                }
            }
        }
    }
}

impl<'a> Context<'a> {
    fn shard(&self) -> Arc<Shard> {
        self.router.shard(&self.grant.service.service.value)
    }

    /// Waits for a server other than the tried ones, and for a slot of it.
    async fn place(self, tried: &[id::Server]) -> Result<Placed, Refusal> {
        let (grant, router) = (self.grant, self.router);
        let (start, placed) = match self.track.trial_server() {
            Some(server) => (
                VersionChoice::unobserved(&grant.service.current),
                Ok(router.trial(grant, server)),
            ),
            None => {
                let (service, route) = (grant.service, &grant.path.name);
                let start = self
                    .releases
                    .select_version(&router.current(), service, route);
                let placed = router.place(self.call, grant, tried, &start.label).await;
                (start, placed)
            }
        };
        let mut flight = placed?;
        if withdrawn(grant, router) {
            flight.unused();
            return Err(Refusal::Unauthorised);
        }
        // A version without a usable server gives way to the one in service.
        let start = match *flight.label() == start.label {
            true => start,
            false => VersionChoice::unobserved(flight.label()),
        };
        Ok((start, flight))
    }

    /// Takes a second server for a request whose answer is overdue; none if the budget is spent or
    /// no server fits.
    async fn second(self, tried: Vec<id::Server>, overdue: Instant) -> Option<Placed> {
        tokio::time::sleep_until(overdue.into()).await;
        let shard = self.shard();
        if !shard.can_retry() {
            self.metrics.record_denied_retry();
            return None;
        }
        let (start, mut flight) = self.place(&tried).await.ok()?;
        if !shard.retry() {
            flight.unused();
            self.metrics.record_denied_retry();
            return None;
        }
        Some((start, flight))
    }

    async fn send(self, number: usize, mut flight: Flight, running: RequestGuard) -> Ended {
        let request = self.call.request();
        let sent = flight.server().pool.send(request, self.deadline).await;
        let result = match sent {
            Ok(response) => {
                flight.answered(response.status());
                Ok(response)
            }
            Err(failure) => {
                let is_crashed = match failure {
                    Failure::After(After::Interrupted) => {
                        self.track.record_interruption(&running).await
                    }
                    _ => false,
                };
                flight.failed(failure);
                Err((failure, is_crashed))
            }
        };
        Ended {
            number,
            flight,
            running,
            result,
        }
    }
}

impl<'a> Sends<'a> {
    /// Whether another send is allowed; a trial runs on its server only.
    fn may_go_on(&self) -> bool {
        let most = self.context.track.trial_server().map_or(ATTEMPTS, |_| 1);
        self.tried.len() < most
    }

    /// Hands the request to a server.
    fn send(
        &mut self,
        attempt: Attempt,
        (mut start, flight): Placed,
    ) -> impl Future<Output = Ended> + use<'a> {
        let context = self.context;
        start.record_sent();
        let running = flight.server().begin_request(context.track.digest());
        self.tried.push(flight.server().listed.name.clone());
        let number = self.tried.len();
        self.open.push(Open {
            number,
            sent: attempt.send(),
            start,
            overdue: flight.overdue(),
        });
        context.track.record_sent(true);
        context.send(number, flight, running)
    }

    /// Looks for a second server once the only answer that is awaited is overdue.
    fn beside(&self) -> Option<BoxFuture<'a, Option<Placed>>> {
        let [open] = self.open.as_slice() else {
            return None;
        };
        let is_allowed = self.may_go_on() && !self.is_crashed && self.answered.is_none();
        if !is_allowed || open.sent.hedge().is_none() || open.overdue >= self.context.deadline {
            return None;
        }
        Some(
            self.context
                .second(self.tried.clone(), open.overdue)
                .boxed(),
        )
    }

    /// Takes in the end of a send.
    fn ended(&mut self, ended: Ended) -> Next {
        let index = self
            .open
            .iter()
            .position(|open| open.number == ended.number);
        let Some(open) = index.map(|index| self.open.remove(index)) else {
            return Next::Wait;
        };
        match ended.result {
            Ok(response) => {
                let status = response.status();
                let answer = Box::new(Answer {
                    response,
                    flight: ended.flight,
                    running: ended.running,
                    trial: open.start.record_answer(status.as_u16()),
                });
                self.answer(answer, status.is_server_error())
            }
            Err((failure, is_crashed)) => {
                if matches!(failure, Failure::After(_)) {
                    open.start.record_lost();
                }
                self.is_crashed |= is_crashed;
                let name = ended.flight.server().listed.name.clone();
                self.failed(open.sent.fail(failure.into()), failure, &name)
            }
        }
    }

    /// Decides on an answer: a failure is passed on only if no other server has the request.
    fn answer(&mut self, answer: Box<Answer>, is_failure: bool) -> Next {
        if is_failure && !self.open.is_empty() {
            self.answered = Some(answer);
            return Next::Wait;
        }
        if !is_failure && self.tried.len() == 1 {
            self.context.shard().succeeded();
        }
        // A server whose answer was not even overdue says nothing about its version.
        let now = Instant::now();
        let overtaken = self.open.drain(..).filter(|open| open.overdue <= now);
        overtaken.for_each(|open| open.start.record_lost());
        Next::Answered(answer)
    }

    /// Decides what follows a failed send.
    fn failed(&mut self, step: Step, failure: Failure, name: &str) -> Next {
        let Context {
            call,
            metrics,
            track,
            ..
        } = self.context;
        if !self.open.is_empty() {
            let others = self.open.iter_mut();
            others.for_each(|open| open.sent.hedge_failed(failure.into()));
            return Next::Wait;
        }
        if let Some(answer) = self.answered.take() {
            return Next::Answered(answer);
        }
        match step {
            // Another server would crash, too.
            Step::Retry(next, _) if self.is_crashed => Next::Over(next.refuse(Refusal::Suspected)),
            // Silent until the deadline.
            Step::Retry(next, RetryReason::Silent) => {
                Next::Over(next.refuse(Refusal::DeadlinePassed))
            }
            Step::Retry(next, _) if loads(failure) && !self.context.shard().retry() => {
                metrics.record_denied_retry();
                Next::Over(next.refuse(Refusal::BudgetSpent))
            }
            Step::Retry(next, retry) => {
                // Only an idempotent route, which has no claim, goes on after it may have run.
                track.record_sent(false);
                log::debug!("request {}: {retry} on {name}", call.id);
                metrics.record_retry(retry);
                Next::Again(next)
            }
            Step::Done(outcome) => Next::Over(outcome),
        }
    }
}

/// Whether the key was withdrawn while the request waited for a slot.
fn withdrawn(grant: &Grant<'_>, router: &Router) -> bool {
    let digest = grant.digest.as_ref();
    digest.is_some_and(|digest| router.current().is_withdrawn(digest))
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
