//! Forwards a request to backend servers until one answers or no other may be tried.

mod send;

pub use send::Answer;

use crate::admit::{AdmittedRequest, Rejection};
use crate::receive::CallerRequest;
use crate::servers::{
    InFlightRequest, Placement, ServerCriteria, ServerSet, Thinned, VersionFilter,
};
use crate::shared::Shared;
use backends::client::Failure;
use base::id;
use base::sync::lock;
use futures::stream::{FuturesUnordered, StreamExt};
use send::{SendOutcome, send};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use steering::affinity::Digest;
use steering::attempt::{self, Attempt, Refusal, RetryReason, Uncertainty};
use steering::crashes::Trial;
use steering::notice;
use steering::priority::{self, Ending, Priority};
use steering::retry::RetryCause;
use steering::routing::{self, Account, Route};

/// Time between two checks whether an unanswered request needs a hedge.
const HEDGE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Retry-After for callers while no server may be used.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Time before the deadline at which the error answer of a server is passed on: covers the way to
/// the caller, 8 ms at the sites, and late timers on a busy VM.
const RETURN_MARGIN: Duration = Duration::from_millis(100);
/// Time until the deadline below which a request is not sent any more.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// Failure to get an answer from a server.
#[derive(Debug, Clone, PartialEq)]
pub struct ForwardError {
    /// Outcome that the caller is told.
    pub outcome: attempt::Outcome,
    /// Time after which the same request may succeed.
    pub retry_after: Option<Duration>,
}

impl From<Rejection> for ForwardError {
    fn from(rejection: Rejection) -> Self {
        Self {
            outcome: Attempt::new(false).refuse(rejection.reason),
            retry_after: rejection.retry_after,
        }
    }
}

/// A send that is not answered yet.
struct PendingSend {
    number: u32,
    in_flight: Arc<InFlightRequest>,
    trial: Option<Trial>,
    sent: attempt::Sent,
}

/// State of the sends of one request.
struct Dispatcher<'a> {
    request: &'a CallerRequest,
    admitted: &'a AdmittedRequest<'a>,
    shared: &'a Arc<Shared>,
    servers: Arc<ServerSet>,
    /// Sends that are not answered yet.
    pending: Vec<PendingSend>,
    /// Servers to which it was sent.
    tried: Vec<id::Server>,
    /// Number of sends so far.
    count: u32,
    /// Number of sends that servers may have received.
    arrivals: u32,
    /// Error answer of a server, passed on if no other server answers better.
    error_answer: Option<Answer>,
    /// Why the request could not be sent again at the last try; logged when it changes.
    last_refusal: Option<Refusal>,
}

/// Forwards a request to its service, if it is admitted beside those that compete with it.
///
/// # Errors
///
/// Fails with what the caller is told if no server answered.
pub async fn forward(
    request: &CallerRequest,
    admitted: &AdmittedRequest<'_>,
    shared: &Arc<Shared>,
) -> Result<Answer, ForwardError> {
    let Some(servers) = shared.services.server_set(admitted.service) else {
        return Err(Rejection::from(Refusal::NoServer).into());
    };
    let workspace = admitted.account.map_or("", |account| &account.name);
    let guard = servers.admit(
        admitted.service,
        priority::of_request(admitted.route, admitted.account),
        workspace,
        &shared.metrics,
        Instant::now(),
    );
    let result = match &guard {
        Ok(_) => dispatch(request, admitted, shared, servers.clone()).await,
        Err(Thinned) => Err(ForwardError::from(Rejection {
            reason: Refusal::Overloaded,
            retry_after: Some(Duration::ZERO),
        })),
    };
    let now = Instant::now();
    if let Ok(Some(guard)) = guard {
        let objective = admitted.route.objective;
        let is_in_time = now.saturating_duration_since(request.arrived_at) <= objective;
        guard.record(match &result {
            Ok(answer) if is_in_time && !answer.status().is_server_error() => Ending::InTime,
            Err(error) if matches!(error.outcome, attempt::Outcome::NotRun(_)) => Ending::Refused,
            _ => Ending::Late,
        });
    }
    let time_left = admitted.deadline.saturating_duration_since(now);
    result.map_err(|error| match &error.outcome {
        attempt::Outcome::NotRun(proof) if proof.reason() == Refusal::Overloaded => {
            let retry_after = error.retry_after;
            ForwardError {
                retry_after: retry_after.map(|wait| servers.retry_after(wait, time_left)),
                ..error
            }
        }
        _ => error,
    })
}

/// Sends a request until it is answered.
///
/// A send to a server is not given up before its answer or the deadline. When the answer to an
/// idempotent request is overdue, the request is sent to another server as well (hedged), and the
/// first whole answer is passed on.
///
/// # Errors
///
/// Fails with what the caller is told if no server answered.
async fn dispatch(
    request: &CallerRequest,
    admitted: &AdmittedRequest<'_>,
    shared: &Arc<Shared>,
    servers: Arc<ServerSet>,
) -> Result<Answer, ForwardError> {
    let mut dispatcher = Dispatcher {
        request,
        admitted,
        shared,
        servers,
        pending: Vec::new(),
        tried: Vec::new(),
        count: 0,
        arrivals: 0,
        error_answer: None,
        last_refusal: None,
    };
    let is_answered = AtomicBool::new(false);
    let mut running = FuturesUnordered::new();
    let mut next = Some(Attempt::new(admitted.route.idempotent));
    loop {
        if let Some(attempt) = next.take() {
            match dispatcher.start(attempt) {
                Ok(started) => {
                    let (in_flight, number) = (started.in_flight.clone(), started.number);
                    let trial = started.trial;
                    dispatcher.pending.push(started);
                    running.push(send(
                        request,
                        admitted,
                        in_flight,
                        trial,
                        shared,
                        number,
                        &is_answered,
                    ));
                }
                Err(error) if dispatcher.pending.is_empty() => return dispatcher.finish(error),
                Err(_) => {}
            }
        }
        tokio::select! {
            biased;
            Some((number, ended)) = running.next() => match dispatcher.record_end(number, ended) {
                NextStep::Answered(answer) => {
                    is_answered.store(true, Ordering::Relaxed);
                    return Ok(answer);
                }
                NextStep::Retry(attempt) => next = Some(attempt),
                NextStep::Wait => {}
                NextStep::Fail(error) => return dispatcher.finish(error),
            },
            () = wait_until_due(admitted, shared), if dispatcher.error_answer.is_some() => {
                let outcome = attempt::Outcome::Unknown(Uncertainty::DeadlinePassed);
                return dispatcher.finish(ForwardError { outcome, retry_after: None });
            }
            () = tokio::time::sleep(HEDGE_CHECK_INTERVAL), if admitted.route.idempotent => {
                next = dispatcher.hedge();
            }
        }
    }
}

/// Waits until an error answer has to be passed on.
async fn wait_until_due(admitted: &AdmittedRequest<'_>, shared: &Shared) {
    let time = admitted.deadline.checked_sub(RETURN_MARGIN);
    tokio::select! {
        () = tokio::time::sleep_until(time.unwrap_or(admitted.deadline).into()) => {}
        () = shared.grace_token.cancelled() => {}
    }
}

/// What to do after the end of a send.
enum NextStep {
    /// The request is answered.
    Answered(Answer),
    /// No other send is pending, and another server may be tried.
    Retry(Attempt),
    /// Another send is pending.
    Wait,
    /// No other send is pending, and no other server may be tried.
    Fail(ForwardError),
}

impl Dispatcher<'_> {
    /// Chooses a server for the next send and records the send.
    fn start(&mut self, attempt: Attempt) -> Result<PendingSend, ForwardError> {
        let need = match self.pending.is_empty() {
            true => RetryCause::Failed,
            false => RetryCause::Overdue,
        };
        if self.arrivals > 0 && !self.servers.can_retry(need) {
            return Err(self.deny_retry(attempt));
        }
        let placed = choose_server(
            self.request,
            self.admitted,
            self.shared,
            &self.servers,
            &self.tried,
        );
        let in_flight = match placed {
            Ok(in_flight) => in_flight,
            Err((reason, retry_after)) => {
                return Err(self.refuse_send(attempt, reason, retry_after));
            }
        };
        if self.arrivals > 0 && !self.servers.take_retry() {
            return Err(self.deny_retry(attempt));
        }
        let now = Instant::now();
        let server = in_flight.digest();
        let trial = lock(&self.shared.crashes).begin_send(self.admitted.digest, server, now);
        let trial = match trial {
            Ok(trial) => trial,
            Err(until) => {
                let wait = until.saturating_duration_since(now);
                return Err(self.refuse_send(attempt, Refusal::Quarantined, Some(wait)));
            }
        };
        if !self.pending.is_empty() {
            self.shared.metrics.record_retry(RetryReason::Silent);
        }
        self.last_refusal = None;
        self.tried.push(in_flight.server.clone());
        self.count += 1;
        self.arrivals += 1;
        Ok(PendingSend {
            number: self.count,
            in_flight,
            trial,
            sent: attempt.send(),
        })
    }

    /// Refuses a send for which the retry budget has nothing left.
    fn deny_retry(&mut self, attempt: Attempt) -> ForwardError {
        if self.last_refusal != Some(Refusal::BudgetSpent) {
            self.shared.metrics.record_denied_retry();
        }
        self.refuse_send(attempt, Refusal::BudgetSpent, Some(NO_SERVER_RETRY_AFTER))
    }

    /// Refuses a send, and logs the reason when it changes.
    fn refuse_send(
        &mut self,
        attempt: Attempt,
        reason: Refusal,
        retry_after: Option<Duration>,
    ) -> ForwardError {
        if !self.tried.is_empty() && self.last_refusal != Some(reason) {
            let now = Instant::now();
            log::info!(
                "event=not-resent id={} reason={reason} service={} open={} tried={} excess_ms={} left_ms={}",
                self.request.id,
                self.admitted.service,
                self.pending.len(),
                self.tried.len(),
                retry_after.map_or(0, |wait| wait.as_millis()),
                self.admitted
                    .deadline
                    .saturating_duration_since(now)
                    .as_millis()
            );
            self.last_refusal = Some(reason);
        }
        let outcome = attempt.refuse(reason);
        ForwardError {
            outcome,
            retry_after,
        }
    }

    /// Returns the attempt for a second server, if exactly one send is pending and it is overdue.
    fn hedge(&self) -> Option<Attempt> {
        let [pending] = self.pending.as_slice() else {
            return None;
        };
        let has_attempts = self.arrivals < self.admitted.route.attempts;
        (has_attempts && pending.in_flight.is_overdue(Instant::now()))
            .then(|| pending.sent.hedge())?
    }

    /// Records the end of a send and decides what follows.
    fn record_end(&mut self, number: u32, outcome: SendOutcome) -> NextStep {
        let index = self
            .pending
            .iter()
            .position(|pending| pending.number == number);
        let Some(ended) = index.map(|index| self.pending.remove(index)) else {
            return NextStep::Wait;
        };
        let failure = match outcome {
            SendOutcome::Answered(answer) if !answer.status().is_server_error() => {
                if self.arrivals == 1 {
                    self.servers.record_success();
                }
                return NextStep::Answered(answer);
            }
            SendOutcome::Answered(answer) if !self.admitted.route.idempotent => {
                return NextStep::Answered(answer);
            }
            SendOutcome::Answered(answer) => {
                self.error_answer = Some(answer);
                attempt::Failure::MayHaveRun(Uncertainty::Interrupted)
            }
            SendOutcome::NotRun(_) => attempt::Failure::Refused(RetryReason::ServerRefused),
            SendOutcome::Withheld => {
                self.arrivals -= 1;
                attempt::Failure::Unsent(RetryReason::ConnectFailed)
            }
            SendOutcome::Oversized => attempt::Failure::MayHaveRun(Uncertainty::AnswerTooLarge),
            SendOutcome::Failed(failure) => {
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
        if !self.pending.is_empty() && !is_final {
            let others = self.pending.iter_mut();
            others.for_each(|other| other.sent.hedge_failed(failure));
            return NextStep::Wait;
        }
        let step = ended.sent.fail(failure);
        match step {
            attempt::Step::Retry(attempt, reason)
                if self.arrivals < self.admitted.route.attempts =>
            {
                self.shared.metrics.record_retry(reason);
                NextStep::Retry(attempt)
            }
            attempt::Step::Retry(attempt, _) => NextStep::Fail(ForwardError {
                outcome: attempt.refuse(Refusal::ServersRefused),
                retry_after: Some(NO_SERVER_RETRY_AFTER),
            }),
            attempt::Step::Done(outcome) => NextStep::Fail(ForwardError {
                outcome,
                retry_after: None,
            }),
        }
    }

    /// Ends the request with the error answer of a server if there is one, or else with `error`.
    fn finish(self, error: ForwardError) -> Result<Answer, ForwardError> {
        self.error_answer.ok_or(error)
    }
}

/// Chooses a server; the error is the reason why there is none and the time after which the caller
/// may retry.
fn choose_server(
    request: &CallerRequest,
    admitted: &AdmittedRequest<'_>,
    shared: &Shared,
    servers: &Arc<ServerSet>,
    tried: &[id::Server],
) -> Result<Arc<InFlightRequest>, (Refusal, Option<Duration>)> {
    let now = Instant::now();
    let time_left = admitted.deadline.saturating_duration_since(now);
    if time_left < MIN_TIME_LEFT {
        return Err((Refusal::DeadlinePassed, None));
    }
    let demand = Demand {
        route: admitted.route,
        account: admitted.account,
        service: admitted.service,
        object: request.object,
        time_left,
    };
    let place = |criteria: &ServerCriteria<'_>| {
        let is_allowed_in = |region: &str| demand.is_allowed_in(region);
        servers.place(criteria, is_allowed_in, &shared.parts(now), now)
    };
    let is_placed = |placed: &Placement| matches!(placed, Placement::Server(_));
    let placed = place_by_version(&demand, shared, servers, tried, place, is_placed);
    if let (Placement::Server(in_flight), true) = (&placed, tried.is_empty()) {
        let takeovers = &shared.takeovers;
        takeovers.record_send(admitted.service, &in_flight.label);
    }
    placed_or_refused(placed, now).map(Arc::from)
}

/// What the choice of a server needs of a request.
#[derive(Debug)]
pub struct Demand<'a> {
    /// Its route.
    pub route: &'a Route,
    /// Workspace that holds its key.
    pub account: Option<&'a Account>,
    /// Service to which it is sent.
    pub service: &'a str,
    /// Digest of its object.
    pub object: Option<Digest>,
    /// Time until its deadline.
    pub time_left: Duration,
}

impl Demand<'_> {
    /// Returns whether it may run in a region.
    pub fn is_allowed_in(&self, region: &str) -> bool {
        routing::is_allowed_in(self.route, self.account, region)
    }

    /// Returns its priority; 0 is the most urgent.
    pub fn priority(&self) -> Priority {
        priority::of_request(self.route, self.account)
    }
}

/// Places a request on the version that it is to use, and on the others if that is a new version
/// without a server for it.
pub fn place_by_version<T>(
    demand: &Demand<'_>,
    shared: &Shared,
    servers: &ServerSet,
    tried: &[id::Server],
    place: impl Fn(&ServerCriteria<'_>) -> T,
    is_placed: impl Fn(&T) -> bool,
) -> T {
    let evacuated = lock(&shared.orders).evacuated.clone();
    let withdrawn = shared.takeovers.withdrawn(demand.service);
    let place = |version: &VersionFilter, sample: Option<Digest>| {
        place(&ServerCriteria {
            route: demand.route,
            object: demand.object.filter(|_| demand.route.sticky),
            objective: demand.route.objective,
            time_left: demand.time_left,
            priority: demand.priority(),
            version,
            sample,
            tried,
            evacuated: &evacuated,
            withdrawn: &withdrawn,
        })
    };
    let (takeovers, service) = (&shared.takeovers, demand.service);
    let (version, sample) = match tried.is_empty() {
        true => takeovers.select_version(service, |label| servers.count_of_version(label)),
        false => (takeovers.fallback_version(service), None),
    };
    let placed = place(&version, sample);
    match version {
        VersionFilter::Only(_) if !is_placed(&placed) => {
            place(&takeovers.fallback_version(service), None)
        }
        _ => placed,
    }
}

/// Returns the server, or the reason why there is none and the time after which the caller may
/// retry.
///
/// # Errors
///
/// Fails if no server was chosen.
pub fn placed_or_refused<T>(
    placed: Placement<T>,
    now: Instant,
) -> Result<T, (Refusal, Option<Duration>)> {
    match placed {
        Placement::Server(server) => Ok(server),
        Placement::Late(excess) => Err((Refusal::Overloaded, Some(excess))),
        Placement::Rejected(first) => {
            let wait = notice::retry_after(first, now, &mut rand::rng());
            Err((Refusal::ServersRefused, Some(wait)))
        }
        Placement::NoServer => Err((Refusal::NoServer, Some(NO_SERVER_RETRY_AFTER))),
    }
}
