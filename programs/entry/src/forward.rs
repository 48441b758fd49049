//! Sends a request to backend servers until one answers or no other may be tried.

use crate::authorise::Grant;
use crate::metrics::Metrics;
use crate::quarantine::tracker::RequestTracker;
use crate::receive::Call;
use crate::release::{Observation, Releases, VersionChoice};
use crate::route::{self, InFlightRequest, Router, ServiceState};
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

/// Most servers to which one request is sent.
const MAX_SENDS: usize = 4;

/// Answer of a backend server, with its request in flight.
#[derive(Debug)]
pub struct Answer {
    /// Answer, whose body streams.
    pub response: Response<Body>,
    /// Holder of the slot; dropped with the body.
    pub flight: InFlightRequest,
    /// Count of the request on the server; dropped with the body.
    pub running: RequestGuard,
    /// Evidence for a release, recorded when the answer has ended.
    pub trial: Option<Box<Observation>>,
}

/// Answer of a backend server, or the outcome that is reported to the caller.
pub type ForwardResult = Result<Answer, Outcome>;

/// Server that a request is sent to, with the record of the send for the release.
type Placement = (VersionChoice, InFlightRequest);

/// A request with what is needed to choose its servers.
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

/// A send that is not answered yet.
struct PendingSend {
    number: usize,
    sent: Sent,
    start: VersionChoice,
    /// Time from which the request, if unanswered, may be sent to a second server.
    overdue_at: Instant,
}

/// A send that was answered or failed.
struct FinishedSend {
    number: usize,
    flight: InFlightRequest,
    running: RequestGuard,
    /// The answer; or the failure, and whether the server crashed.
    result: Result<Response<Body>, (Failure, bool)>,
}

/// Sends of one request.
struct Sends<'a> {
    context: Context<'a>,
    /// Sends that are not answered yet.
    pending: Vec<PendingSend>,
    /// Servers to which the request was sent.
    tried: Vec<id::Server>,
    /// A server error that was answered while another server has the request.
    failed_answer: Option<Box<Answer>>,
    is_crashed: bool,
}

/// What follows a finished send.
enum NextStep {
    /// The request is answered.
    Answered(Box<Answer>),
    /// No server has the request, and another may be tried.
    Retry(Attempt),
    /// Another server has the request.
    Wait,
    /// No server has the request, and no other may be tried.
    Done(Outcome),
}

/// Forwards a request.
///
/// A server keeps the request until its answer or the deadline, since a silent server may be
/// processing it. A request that may be repeated is hedged: if it is unanswered after the read
/// timeout, it is also sent to a second server, and the first answer that is no server error is
/// passed on.
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
) -> ForwardResult {
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
        pending: Vec::new(),
        tried: Vec::new(),
        failed_answer: None,
        is_crashed: false,
    };
    // Dropping the sends, when the caller leaves or another server has answered, closes their
    // connections and frees their slots.
    let mut in_flight = FuturesUnordered::new();
    let mut hedge = OptionFuture::from(None);
    let mut next = Some(Attempt::new(grant.route.idempotent));
    loop {
        if let Some(attempt) = next.take() {
            if !sends.may_send() {
                return Err(attempt.refuse(Refusal::ServersRefused));
            }
            match context.place(&sends.tried).await {
                Ok(placed) => in_flight.push(sends.send(attempt, placed)),
                Err(Refusal::NoServer) if !sends.tried.is_empty() => {
                    return Err(attempt.refuse(Refusal::ServersRefused));
                }
                Err(reason) => return Err(attempt.refuse(reason)),
            }
            hedge = sends.hedge().into();
        }
        tokio::select! {
            biased;
            Some(finished) = in_flight.next() => {
                match sends.finish(finished) {
                    NextStep::Answered(answer) => return Ok(*answer),
                    NextStep::Retry(attempt) => next = Some(attempt),
                    NextStep::Wait => {}
                    NextStep::Done(outcome) => return Err(outcome),
                }
                hedge = sends.hedge().into();
            }
            Some(placed) = &mut hedge => {
                hedge = None.into();
                let attempt = sends.pending.first().and_then(|pending| pending.sent.hedge());
                if let (Some(placed), Some(attempt)) = (placed, attempt) {
                    metrics.record_retry(RetryReason::Silent);
                    in_flight.push(sends.send(attempt, placed));
                }
            }
        }
    }
}

impl<'a> Context<'a> {
    fn service_state(&self) -> Arc<ServiceState> {
        self.router.service_state(&self.grant.service.service.value)
    }

    /// Waits for a server other than the tried ones, and for a slot of it.
    async fn place(self, tried: &[id::Server]) -> Result<Placement, Refusal> {
        let (grant, router) = (self.grant, self.router);
        let (start, placed) = match self.track.trial_server() {
            Some(server) => (
                VersionChoice::unobserved(&grant.service.current),
                Ok(router.trial(grant, server)),
            ),
            None => {
                let (service, route) = (grant.service, &grant.route.name);
                let start = self
                    .releases
                    .select_version(&router.snapshot(), service, route);
                let placed = router.place(self.call, grant, tried, &start.label).await;
                (start, placed)
            }
        };
        let mut flight = placed?;
        if is_key_withdrawn(grant, router) {
            flight.discard_unsent();
            return Err(Refusal::Unauthorised);
        }
        // Without a usable server of the chosen version, the request runs on the current one.
        let start = match *flight.label() == start.label {
            true => start,
            false => VersionChoice::unobserved(flight.label()),
        };
        Ok((start, flight))
    }

    /// Waits until the answer is overdue and takes a second server; none if the retry budget is
    /// spent or no server can be used.
    async fn place_hedge(self, tried: Vec<id::Server>, overdue_at: Instant) -> Option<Placement> {
        tokio::time::sleep_until(overdue_at.into()).await;
        let state = self.service_state();
        if !state.can_retry() {
            self.metrics.record_denied_retry();
            return None;
        }
        let (start, mut flight) = self.place(&tried).await.ok()?;
        if !state.take_retry() {
            flight.discard_unsent();
            self.metrics.record_denied_retry();
            return None;
        }
        Some((start, flight))
    }

    async fn send(
        self,
        number: usize,
        mut flight: InFlightRequest,
        running: RequestGuard,
    ) -> FinishedSend {
        let request = self.call.request();
        let answer = flight.server().pool.send(request, self.deadline).await;
        let result = match answer {
            Ok(response) => {
                flight.record_answer(response.status());
                Ok(response)
            }
            Err(failure) => {
                let is_crashed = match failure {
                    Failure::After(After::Interrupted) => {
                        self.track.record_interruption(&running).await
                    }
                    _ => false,
                };
                flight.record_failure(failure);
                Err((failure, is_crashed))
            }
        };
        FinishedSend {
            number,
            flight,
            running,
            result,
        }
    }
}

impl<'a> Sends<'a> {
    /// Returns whether another send is allowed; a trial runs on its own server only.
    fn may_send(&self) -> bool {
        let max_sends = self.context.track.trial_server().map_or(MAX_SENDS, |_| 1);
        self.tried.len() < max_sends
    }

    /// Sends the request to a server.
    fn send(
        &mut self,
        attempt: Attempt,
        (mut start, flight): Placement,
    ) -> impl Future<Output = FinishedSend> + use<'a> {
        let context = self.context;
        start.record_sent();
        let running = flight.server().begin_request(context.track.digest());
        self.tried.push(flight.server().listed.name.clone());
        let number = self.tried.len();
        self.pending.push(PendingSend {
            number,
            sent: attempt.send(),
            start,
            overdue_at: flight.overdue_at(),
        });
        context.track.record_sent(true);
        context.send(number, flight, running)
    }

    /// Returns the search for a second server, which starts once the only pending send is overdue;
    /// none if the request may not be hedged.
    fn hedge(&self) -> Option<BoxFuture<'a, Option<Placement>>> {
        let [pending] = self.pending.as_slice() else {
            return None;
        };
        let is_allowed = self.may_send() && !self.is_crashed && self.failed_answer.is_none();
        if !is_allowed
            || pending.sent.hedge().is_none()
            || pending.overdue_at >= self.context.deadline
        {
            return None;
        }
        Some(
            self.context
                .place_hedge(self.tried.clone(), pending.overdue_at)
                .boxed(),
        )
    }

    /// Records a finished send and returns what follows.
    fn finish(&mut self, finished: FinishedSend) -> NextStep {
        let index = self
            .pending
            .iter()
            .position(|pending| pending.number == finished.number);
        let Some(pending) = index.map(|index| self.pending.remove(index)) else {
            return NextStep::Wait;
        };
        match finished.result {
            Ok(response) => {
                let status = response.status();
                let answer = Box::new(Answer {
                    response,
                    flight: finished.flight,
                    running: finished.running,
                    trial: pending.start.record_answer(status.as_u16()),
                });
                self.handle_answer(answer, status.is_server_error())
            }
            Err((failure, is_crashed)) => {
                if matches!(failure, Failure::After(_)) {
                    pending.start.record_lost();
                }
                self.is_crashed |= is_crashed;
                let name = finished.flight.server().listed.name.clone();
                self.handle_failure(pending.sent.fail(failure.into()), failure, &name)
            }
        }
    }

    /// Decides what follows an answer: a server error is passed on only if no other server has the
    /// request.
    fn handle_answer(&mut self, answer: Box<Answer>, is_failure: bool) -> NextStep {
        if is_failure && !self.pending.is_empty() {
            self.failed_answer = Some(answer);
            return NextStep::Wait;
        }
        if !is_failure && self.tried.len() == 1 {
            self.context.service_state().record_success();
        }
        // A server whose answer isn't overdue yet gives no evidence against its version.
        let now = Instant::now();
        let overtaken = self
            .pending
            .drain(..)
            .filter(|pending| pending.overdue_at <= now);
        overtaken.for_each(|pending| pending.start.record_lost());
        NextStep::Answered(answer)
    }

    /// Decides what follows a failed send.
    fn handle_failure(&mut self, step: Step, failure: Failure, name: &str) -> NextStep {
        let Context {
            call,
            metrics,
            track,
            ..
        } = self.context;
        if !self.pending.is_empty() {
            let others = self.pending.iter_mut();
            others.for_each(|pending| pending.sent.hedge_failed(failure.into()));
            return NextStep::Wait;
        }
        if let Some(answer) = self.failed_answer.take() {
            return NextStep::Answered(answer);
        }
        match step {
            // The request would crash another server, too.
            Step::Retry(next, _) if self.is_crashed => {
                NextStep::Done(next.refuse(Refusal::Suspected))
            }
            // The server was silent until the deadline.
            Step::Retry(next, RetryReason::Silent) => {
                NextStep::Done(next.refuse(Refusal::DeadlinePassed))
            }
            Step::Retry(next, _)
                if costs_retry(failure) && !self.context.service_state().take_retry() =>
            {
                metrics.record_denied_retry();
                NextStep::Done(next.refuse(Refusal::BudgetSpent))
            }
            Step::Retry(next, retry) => {
                // After it may have run, only a request on an idempotent route is sent again, and
                // it has no claim.
                track.record_sent(false);
                log::debug!("request {}: {retry} on {name}", call.id);
                metrics.record_retry(retry);
                NextStep::Retry(next)
            }
            Step::Done(outcome) => NextStep::Done(outcome),
        }
    }
}

/// Returns whether the key was withdrawn while the request waited for a slot.
fn is_key_withdrawn(grant: &Grant<'_>, router: &Router) -> bool {
    let digest = grant.digest.as_ref();
    digest.is_some_and(|digest| router.snapshot().is_withdrawn(digest))
}

/// Returns whether the retry of a failed send is charged to the retry budget.
///
/// Failed connections and refusals of leaving servers put no load on servers, and such a server
/// gets no further requests.
fn costs_retry(failure: Failure) -> bool {
    !matches!(
        failure,
        Failure::Before(_) | Failure::NotRun(NotRun::Leaving)
    )
}
