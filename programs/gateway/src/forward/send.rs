//! One send of a request to a backend server.

use crate::admit::AdmittedRequest;
use crate::answer_memory::{AHEAD_BYTES, AnswerMemory};
use crate::crashes::{self, Ending};
use crate::receive::CallerRequest;
use crate::servers::InFlightRequest;
use crate::shared::Shared;
use adapter::header::{self, Load};
use backends::client::{self, After, Before, Failure, Outgoing};
use base::http::Body;
use bytes::{Bytes, BytesMut};
use futures::FutureExt;
use futures::future::BoxFuture;
use http_body_util::BodyExt;
use hyper::body::Body as _;
use hyper::header::{CONTENT_ENCODING, CONTENT_LENGTH, TRAILER, TRANSFER_ENCODING};
use hyper::{HeaderMap, Response, StatusCode};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};
use steering::crashes::Trial;
use steering::takeover::Outcome;
use tokio::runtime::Handle;
use tokio::time::timeout_at;
use tokio_util::sync::CancellationToken;

/// Whole answer of a server.
pub type Answer = Response<Bytes>;

/// How a send ended.
pub(super) enum SendOutcome {
    Answered(Answer),
    Failed(Failure),
    /// The answer is larger than [`MAX_ANSWER_BYTES`](crate::answer_memory::MAX_ANSWER_BYTES).
    Oversized,
    /// The server did not run the request: another server now has its address, or it refused, with
    /// the load that it reported.
    NotRun(Option<Load>),
    /// The request was not sent: it could not be put on record before.
    Withheld,
}

/// Time from a send for which its end is awaited although the caller has left. A request that crashes
/// servers does so when they begin it, and a caller that leaves earlier must not hide that; it is well
/// below the half second for which servers may work for callers that have left.
const OBSERVATION_TIME: Duration = Duration::from_millis(100);

/// A send that is not finished.
struct ActiveSend<'a> {
    request: &'a CallerRequest,
    admitted: &'a AdmittedRequest<'a>,
    in_flight: &'a InFlightRequest,
    shared: &'a Arc<Shared>,
    trial: Option<Trial>,
    /// Exchange with the server; none before the request is sent.
    exchange: Option<BoxFuture<'static, SendOutcome>>,
    /// Number of this send among those of the request, from 1.
    number: u32,
    started_at: Instant,
    /// Whether its end was logged.
    is_logged: bool,
    /// Whether the request was answered, by this send or another.
    is_answered: &'a AtomicBool,
    /// Whether its outcome was recorded for the takeover.
    is_recorded: bool,
    /// When reading of the answer first paused because this VM had no memory for it; how long the
    /// rest takes says nothing about the server.
    paused_at: Arc<OnceLock<Instant>>,
}

impl ActiveSend<'_> {
    fn log(&mut self, result: &str, status: u16, reason: &str) {
        self.is_logged = true;
        let (request, admitted, in_flight) = (self.request, self.admitted, self.in_flight);
        log::info!(
            "event=send id={} number={} route={} workspace={} service={} server={} data_centre={} version={} object={:x} load={} warm={} expected_ms={} wait_ms={} pace={:.2} estimate={} result={result} status={status} took_ms={}{reason}",
            request.id,
            self.number,
            admitted.route.name,
            admitted.account.map_or("-", |account| &account.name),
            admitted.service,
            in_flight.server,
            in_flight.data_centre,
            in_flight.label,
            request.object.unwrap_or_default(),
            in_flight.load,
            in_flight.warm,
            in_flight.expected.as_millis(),
            in_flight.wait.as_millis(),
            in_flight.pace,
            in_flight.estimate.as_str(),
            self.started_at.elapsed().as_millis()
        );
    }

    /// Whether reading of the answer was paused.
    fn is_paused(&self) -> bool {
        self.paused_at.get().is_some()
    }

    /// Returns the time of the answer as far as the server determined it: `now`, or the time of the
    /// first pause.
    fn answered_at(&self, now: Instant) -> Instant {
        self.paused_at.get().copied().unwrap_or(now)
    }

    /// Records the outcome for the takeover of the service, once.
    fn record_outcome(&mut self, outcome: Outcome) {
        if self.is_recorded {
            return;
        }
        self.is_recorded = true;
        let took = self
            .answered_at(Instant::now())
            .saturating_duration_since(self.started_at);
        let takeovers = &self.shared.takeovers;
        let side = takeovers.record_outcome(self.admitted.service, self.in_flight, outcome, took);
        if let Some(side) = side {
            self.shared.metrics.record_takeover_send(side, outcome);
        }
    }

    /// Sends the request and waits for the answer. An answer counts as late for the takeover as
    /// soon as its time is over, not when it comes.
    async fn exchange(&mut self) -> SendOutcome {
        let late_threshold = self
            .shared
            .takeovers
            .late_threshold(self.admitted.service, self.in_flight);
        if let Some(late_threshold) = late_threshold {
            match tokio::time::timeout(late_threshold, self.answer()).await {
                Ok(outcome) => return outcome,
                Err(_) if self.is_paused() => {}
                Err(_) => self.record_outcome(Outcome::Late),
            }
        }
        self.answer().await
    }

    /// Waits for the end of the exchange.
    async fn answer(&mut self) -> SendOutcome {
        match &mut self.exchange {
            Some(exchange) => exchange.await,
            None => SendOutcome::Withheld,
        }
    }

    /// Records for the crashes of the request that the send is dropped. If its caller left early, the
    /// server is observed until [`OBSERVATION_TIME`] from the send.
    fn record_drop(&mut self, has_left: bool) {
        let until = self.started_at + OBSERVATION_TIME;
        let (shared, digest) = (self.shared.clone(), self.admitted.digest);
        let send = (self.in_flight.digest(), self.started_at, self.trial);
        match (self.exchange.take(), Handle::try_current()) {
            (Some(exchange), Ok(runtime)) if has_left && Instant::now() < until => {
                runtime.spawn(async move {
                    let outcome = timeout_at(until.into(), exchange).await;
                    let ending = outcome.map_or(Ending::Open, |outcome| ending(&outcome, false));
                    shared.record_end(digest, send, ending, Instant::now());
                });
            }
            _ => shared.record_end(digest, send, Ending::Open, Instant::now()),
        }
    }
}

impl Drop for ActiveSend<'_> {
    /// Logs and records a send that is dropped: another server answered, the deadline passed, the
    /// caller left, or this VM's shutdown ended. The last two say nothing about the server.
    fn drop(&mut self) {
        if self.is_logged {
            return;
        }
        let now = Instant::now();
        if self.is_answered.load(Ordering::Relaxed) {
            self.log("overtaken", 0, "");
            // An answer that was not overdue yet says nothing about the server.
            if !self.is_paused() && self.in_flight.is_overdue(now) {
                self.in_flight.record_unanswered(now);
                self.in_flight.record_failure(now);
                self.record_outcome(Outcome::Unanswered);
            }
        } else if now >= self.admitted.deadline && self.is_paused() {
            self.log("no-room", 0, "");
        } else if now >= self.admitted.deadline {
            self.log("deadline", 0, "");
            self.in_flight.record_unanswered(now);
            self.record_outcome(Outcome::Unanswered);
        } else if self.shared.grace_token.is_cancelled() {
            self.log("stopped", 0, "");
        } else {
            self.log("left", 0, "");
            self.record_drop(true);
            return;
        }
        self.record_drop(false);
    }
}

/// Sends a request to the server of `in_flight`; returns the number of the send and how it ended.
pub(super) async fn send(
    request: &CallerRequest,
    admitted: &AdmittedRequest<'_>,
    in_flight: Arc<InFlightRequest>,
    trial: Option<Trial>,
    shared: &Arc<Shared>,
    number: u32,
    is_answered: &AtomicBool,
) -> (u32, SendOutcome) {
    let paused_at = Arc::new(OnceLock::new());
    let mut active = ActiveSend {
        request,
        admitted,
        in_flight: &in_flight,
        shared,
        trial,
        exchange: None,
        number,
        started_at: Instant::now(),
        is_logged: false,
        is_answered,
        is_recorded: false,
        paused_at: paused_at.clone(),
    };
    let counted = shared.usage.as_ref().zip(admitted.account);
    let counted =
        counted.map(|(usage, account)| (usage, &account.name, usage.count(&account.name)));
    let digest = admitted.digest;
    let is_sent = match trial {
        Some(trial) => crashes::wait_recorded(shared, digest, trial).await,
        None => true,
    };
    if is_sent {
        let workspace = admitted.account.map(|account| &*account.name);
        let exchange = Exchange {
            outgoing: request.outgoing(workspace, &in_flight.server),
            in_flight: in_flight.clone(),
            deadline: admitted.deadline,
            turn: request.turn.clone(),
            paused_at,
            shared: shared.clone(),
        };
        active.exchange = Some(exchange.run().boxed());
    }
    let result = active.exchange().await;
    let now = Instant::now();
    let (text, status) = match &result {
        SendOutcome::Answered(answer) => ("answered", answer.status().as_u16()),
        SendOutcome::Failed(_) => ("failed", 0),
        SendOutcome::Oversized => ("too-large", 0),
        SendOutcome::NotRun(_) => ("not-run", 0),
        SendOutcome::Withheld => ("withheld", 0),
    };
    let reason = match &result {
        SendOutcome::Failed(failure) => format!(" reason={:?}", failure.to_string()),
        SendOutcome::NotRun(Some(load)) => format!(
            " told_running={} told_waiting={} told_slots={}",
            load.running, load.waiting, load.slots
        ),
        _ => String::new(),
    };
    active.log(text, status, &reason);
    if let (Some((usage, workspace, count)), true) = (counted, states_not_run(&result)) {
        usage.revert(workspace, count);
    }
    match &result {
        SendOutcome::Answered(answer) => {
            let arrived = active.answered_at(now);
            in_flight.record_answer(header::load(answer.headers()), arrived, now);
            let took = arrived.saturating_duration_since(active.started_at);
            let (route, expected) = (&admitted.route.name, in_flight.expected);
            let estimate = in_flight.estimate;
            shared
                .metrics
                .record_expectation(route, estimate, took, expected);
            if answer.status().is_server_error() {
                in_flight.record_failure(now);
            }
        }
        SendOutcome::Failed(Failure::Before(before)) => {
            if matches!(before, Before::ConnectRefused | Before::ConnectTimeout) {
                in_flight.record_unreachable(now);
            }
        }
        SendOutcome::Failed(Failure::After(After::Deadline)) => in_flight.record_unanswered(now),
        SendOutcome::Oversized => {}
        // A server may cancel an answer that is not read.
        SendOutcome::Failed(Failure::After(_)) if active.is_paused() => {}
        SendOutcome::Failed(Failure::After(_)) => in_flight.record_failure(now),
        SendOutcome::Withheld => {}
        SendOutcome::NotRun(_) | SendOutcome::Failed(Failure::NotRun(_)) => {
            in_flight.record_failure(now);
        }
    }
    let ending = ending(&result, active.is_paused());
    let send = (in_flight.digest(), active.started_at, trial);
    shared.record_end(digest, send, ending, now);
    let outcome = takeover_outcome(&result, active.is_paused());
    if let Some(outcome) = outcome {
        active.record_outcome(outcome);
    }
    (number, result)
}

/// Whether the server did not run the request for sure.
fn states_not_run(outcome: &SendOutcome) -> bool {
    matches!(
        outcome,
        SendOutcome::NotRun(_)
            | SendOutcome::Withheld
            | SendOutcome::Failed(Failure::Before(_) | Failure::NotRun(_))
    )
}

/// Returns what the end of a send says about the request. An answer without a signature may be given
/// before the server begins to run the request.
fn ending(outcome: &SendOutcome, is_paused: bool) -> Ending {
    match outcome {
        SendOutcome::Answered(answer) if answer.headers().contains_key(header::SIGNATURE) => {
            Ending::Ran
        }
        SendOutcome::Failed(Failure::After(After::Interrupted)) if !is_paused => Ending::Crashed,
        _ => Ending::Open,
    }
}

/// Returns the outcome that is recorded for a takeover. There is none if the server did not run the
/// request or this VM had no memory for its answer: both say nothing about the version.
fn takeover_outcome(outcome: &SendOutcome, is_paused: bool) -> Option<Outcome> {
    match outcome {
        SendOutcome::Answered(answer) if answer.status().is_server_error() => Some(Outcome::Failed),
        SendOutcome::Answered(_) => Some(Outcome::Good),
        SendOutcome::Failed(Failure::After(_)) => (!is_paused).then_some(Outcome::Failed),
        SendOutcome::Oversized | SendOutcome::NotRun(_) | SendOutcome::Withheld => None,
        SendOutcome::Failed(Failure::Before(_) | Failure::NotRun(_)) => None,
    }
}

/// Exchange of a request and its answer with one server.
struct Exchange {
    outgoing: Outgoing,
    in_flight: Arc<InFlightRequest>,
    deadline: Instant,
    turn: Option<CancellationToken>,
    /// Set if reading has to wait for memory.
    paused_at: Arc<OnceLock<Instant>>,
    shared: Arc<Shared>,
}

impl Exchange {
    /// Sends the request and reads the whole answer.
    async fn run(self) -> SendOutcome {
        let Self {
            outgoing,
            in_flight,
            deadline,
            turn,
            paused_at,
            shared,
        } = self;
        let response = match in_flight.pool.send(outgoing, deadline).await {
            Ok(response) => response,
            Err(failure) => return SendOutcome::Failed(failure),
        };
        let (parts, body) = response.into_parts();
        let notice = header::notice(parts.status, &parts.headers);
        if in_flight.record_notice(notice, Instant::now()) {
            shared.report_requested.notify_one();
        }
        if parts.headers.contains_key(header::NOT_RUN) {
            client::drain(body).await;
            let load = header::load(&parts.headers);
            in_flight.record_shedding(load, Instant::now());
            return SendOutcome::NotRun(load);
        }
        match read_body(body, &shared.answers, turn.as_ref(), &paused_at).await {
            Ok(body) => check_answer(Response::from_parts(parts, body)),
            Err(ReadError::TooLarge) => SendOutcome::Oversized,
            Err(ReadError::Interrupted) if Instant::now() >= deadline => {
                SendOutcome::Failed(Failure::After(After::Deadline))
            }
            Err(ReadError::Interrupted) => SendOutcome::Failed(Failure::After(After::Interrupted)),
        }
    }
}

/// Why a body was not read to its end.
enum ReadError {
    /// It ended early.
    Interrupted,
    /// It is larger than [`MAX_ANSWER_BYTES`](crate::answer_memory::MAX_ANSWER_BYTES).
    TooLarge,
}

/// Reads a body to its end; reading pauses while there is no memory for it, and after
/// [`AHEAD_BYTES`] until `turn`.
async fn read_body(
    mut body: Body,
    answers: &AnswerMemory,
    turn: Option<&CancellationToken>,
    paused_at: &OnceLock<Instant>,
) -> Result<Bytes, ReadError> {
    let length = body.size_hint().exact();
    let reservation = match turn {
        Some(_) => answers.reserve_ahead(length),
        None => answers.reserve(length),
    };
    let mut reservation = reservation.map_err(|_| ReadError::TooLarge)?;
    let mut buffer = BytesMut::new();
    let on_pause = || {
        paused_at.get_or_init(Instant::now);
    };
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ReadError::Interrupted)?;
        if let Some(data) = frame.data_ref() {
            if let Some(turn) = turn
                && buffer.len() + data.len() > AHEAD_BYTES
                && !turn.is_cancelled()
            {
                on_pause();
                turn.cancelled().await;
            }
            let reserved = reservation.grow(data.len(), on_pause).await;
            reserved.map_err(|_| ReadError::TooLarge)?;
            buffer.extend_from_slice(data);
        }
    }
    Ok(buffer.freeze())
}

/// Checks that an answer comes from the server of the request and that its body is not encoded.
fn check_answer(mut answer: Answer) -> SendOutcome {
    let headers = answer.headers();
    if answer.status() == StatusCode::MISDIRECTED_REQUEST {
        return SendOutcome::NotRun(None);
    }
    let is_signed = headers.contains_key(header::SIGNATURE);
    let is_encoded = headers.contains_key(CONTENT_ENCODING) || has_transfer_coding(headers);
    if answer.status().is_success() && (!is_signed || is_encoded) {
        return SendOutcome::Failed(Failure::After(After::WrongAnswer));
    }
    let headers = answer.headers_mut();
    headers.remove(TRAILER);
    headers.remove(TRANSFER_ENCODING);
    headers.remove(CONTENT_LENGTH);
    SendOutcome::Answered(answer)
}

/// Whether a transfer coding other than `chunked` was applied to the body; it is not decoded here.
fn has_transfer_coding(headers: &HeaderMap) -> bool {
    let fields = headers.get_all(TRANSFER_ENCODING).iter();
    let mut codings = fields.flat_map(|field| field.as_bytes().split(|byte| *byte == b','));
    codings.any(|coding| {
        let coding = coding.trim_ascii();
        !coding.eq_ignore_ascii_case(b"chunked") && !coding.eq_ignore_ascii_case(b"identity")
    })
}
