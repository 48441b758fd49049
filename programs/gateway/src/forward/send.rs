//! One send of a request to a backend server, until its end is known.

use crate::admit::Grant;
use crate::answers::Budget;
use crate::receive::Call;
use crate::servers::Flight;
use crate::shared::Shared;
use adapter::header::{self, Load};
use backends::client::{self, After, Before, Failure};
use base::http::Body;
use base::sync::lock;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body as _;
use hyper::header::{CONTENT_ENCODING, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{HeaderMap, Response, StatusCode};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Instant;
use steering::takeover::Outcome;

/// Whole answer of a server.
pub type Answer = Response<Bytes>;

/// Result of one send.
pub(super) enum Sent {
    Answered(Answer),
    Failed(Failure),
    /// The answer is larger than what is passed on.
    Oversized,
    /// Another server now has the address, or the server refused for its own reasons; with the load
    /// that it told.
    NotRun(Option<Load>),
}

/// One send to a server, until its end is known.
struct Sending<'a> {
    call: &'a Call,
    grant: &'a Grant<'a>,
    flight: &'a Flight,
    shared: &'a Shared,
    /// Number of this send among those of the request.
    number: u32,
    began: Instant,
    /// Whether the end is logged.
    is_ended: bool,
    /// Whether the answer to another send was passed on.
    is_decided: &'a AtomicBool,
    /// Whether its version was told what came of it.
    is_judged: bool,
    /// When this VM first had no room for more of the answer; from then on the server was held back,
    /// and what came later says nothing about it.
    held: &'a OnceLock<Instant>,
}

impl Sending<'_> {
    fn log(&mut self, result: &str, status: u16, reason: &str) {
        self.is_ended = true;
        let (call, grant, flight) = (self.call, self.grant, self.flight);
        log::info!(
            "event=send id={} number={} route={} workspace={} service={} server={} data_centre={} version={} object={:x} load={} warm={} expected_ms={} result={result} status={status} took_ms={}{reason}",
            call.id,
            self.number,
            grant.route.name,
            grant.account.map_or("-", |account| &account.name),
            grant.service,
            flight.server,
            flight.data_centre,
            flight.label,
            call.object.unwrap_or_default(),
            flight.load,
            flight.warm,
            flight.expected.as_millis(),
            self.began.elapsed().as_millis()
        );
    }

    /// Whether the server was held back.
    fn is_held(&self) -> bool {
        self.held.get().is_some()
    }

    /// Returns when the answer came, as far as that was up to the server.
    fn came(&self, now: Instant) -> Instant {
        self.held.get().copied().unwrap_or(now)
    }

    /// Takes in what the send says about the version of its server, once.
    fn judge(&mut self, outcome: Outcome) {
        if self.is_judged {
            return;
        }
        self.is_judged = true;
        let took = self
            .came(Instant::now())
            .saturating_duration_since(self.began);
        let takeovers = &self.shared.takeovers;
        let side = takeovers.ended(self.grant.service, self.flight, outcome, took);
        if let Some(side) = side {
            self.shared.metrics.compared(side, outcome);
        }
    }

    /// Sends the request; its version hears as soon as the answer is late.
    async fn exchange(&mut self) -> Sent {
        let (answers, held) = (&self.shared.answers, self.held);
        let exchange = exchange(self.call, self.grant, self.flight, answers, held);
        tokio::pin!(exchange);
        let late = self
            .shared
            .takeovers
            .late_after(self.grant.service, self.flight);
        if let Some(late) = late {
            match tokio::time::timeout(late, &mut exchange).await {
                Ok(sent) => return sent,
                Err(_) if self.is_held() => {}
                Err(_) => self.judge(Outcome::Late),
            }
        }
        exchange.await
    }
}

impl Drop for Sending<'_> {
    /// The request is dropped when another server answered, at its deadline, when its caller leaves,
    /// or at the end of this VM's stop. The last two say nothing about the server.
    fn drop(&mut self) {
        if self.is_ended {
            return;
        }
        let now = Instant::now();
        if self.is_decided.load(Ordering::Relaxed) {
            self.log("overtaken", 0, "");
            // A server whose answer was not even overdue says nothing.
            if !self.is_held() && self.flight.is_overdue(now) {
                self.flight.failed(now);
                self.judge(Outcome::Unanswered);
            }
        } else if now >= self.grant.deadline && self.is_held() {
            self.log("no-room", 0, "");
        } else if now >= self.grant.deadline {
            self.log("deadline", 0, "");
            self.judge(Outcome::Unanswered);
        } else if self.shared.ending.is_cancelled() {
            self.log("stopped", 0, "");
        } else {
            self.log("left", 0, "");
        }
    }
}

/// Sends a request to the server of `flight`; returns the number of the send and what came of it.
pub(super) async fn send(
    call: &Call,
    grant: &Grant<'_>,
    flight: Arc<Flight>,
    shared: &Shared,
    number: u32,
    is_decided: &AtomicBool,
) -> (u32, Sent) {
    let flight = &*flight;
    let held = OnceLock::new();
    let mut sending = Sending {
        call,
        grant,
        flight,
        shared,
        number,
        began: Instant::now(),
        is_ended: false,
        is_decided,
        is_judged: false,
        held: &held,
    };
    let result = sending.exchange().await;
    let now = Instant::now();
    let (text, status) = match &result {
        Sent::Answered(answer) => ("answered", answer.status().as_u16()),
        Sent::Failed(_) => ("failed", 0),
        Sent::Oversized => ("too-large", 0),
        Sent::NotRun(_) => ("not-run", 0),
    };
    let reason = match &result {
        Sent::Failed(failure) => format!(" reason={:?}", failure.to_string()),
        Sent::NotRun(Some(told)) => format!(
            " told_running={} told_waiting={} told_slots={}",
            told.running, told.waiting, told.slots
        ),
        _ => String::new(),
    };
    sending.log(text, status, &reason);
    match &result {
        Sent::Answered(answer) => {
            flight.answered(header::load(answer.headers()), sending.came(now), now);
            lock(&shared.crashes).record_answer(grant.digest);
            if answer.status().is_server_error() {
                flight.failed(now);
            }
        }
        Sent::Failed(Failure::Before(before)) => {
            if matches!(before, Before::ConnectRefused | Before::ConnectTimeout) {
                flight.refused(now);
            }
        }
        Sent::Failed(Failure::After(After::Deadline)) | Sent::Oversized => {}
        // A server may give up an answer that isn't taken.
        Sent::Failed(Failure::After(_)) if sending.is_held() => {}
        Sent::Failed(Failure::After(after)) => {
            flight.failed(now);
            if *after == After::Interrupted {
                lock(&shared.crashes).record_crash(grant.digest, now);
            }
        }
        Sent::NotRun(_) | Sent::Failed(Failure::NotRun(_)) => flight.failed(now),
    }
    let outcome = outcome(&result, sending.is_held());
    if let Some(outcome) = outcome {
        sending.judge(outcome);
    }
    (number, result)
}

/// Returns what a send says about the version of its server; none if it says nothing, because the
/// server did not run the request, or because this VM had no room for its answer.
fn outcome(sent: &Sent, is_held: bool) -> Option<Outcome> {
    match sent {
        Sent::Answered(answer) if answer.status().is_server_error() => Some(Outcome::Failed),
        Sent::Answered(_) => Some(Outcome::Good),
        Sent::Failed(Failure::After(_)) => (!is_held).then_some(Outcome::Failed),
        Sent::Oversized | Sent::NotRun(_) => None,
        Sent::Failed(Failure::Before(_) | Failure::NotRun(_)) => None,
    }
}

/// Sends a request to one server and reads the whole answer; `held` is set if the answer has to wait
/// for room.
async fn exchange(
    call: &Call,
    grant: &Grant<'_>,
    flight: &Flight,
    answers: &Budget,
    held: &OnceLock<Instant>,
) -> Sent {
    let workspace = grant.account.map(|account| &*account.name);
    let request = call.request(workspace, &flight.server);
    let response = match flight.pool.send(request, grant.deadline).await {
        Ok(response) => response,
        Err(failure) => return Sent::Failed(failure),
    };
    let (parts, body) = response.into_parts();
    if parts.headers.contains_key(header::NOT_RUN) {
        client::drain(body).await;
        let load = header::load(&parts.headers);
        flight.shed(load, Instant::now());
        return Sent::NotRun(load);
    }
    match read(body, answers, held).await {
        Ok(body) => check(Response::from_parts(parts, body)),
        Err(Unread::TooLarge) => Sent::Oversized,
        Err(Unread::Cut) if Instant::now() >= grant.deadline => {
            Sent::Failed(Failure::After(After::Deadline))
        }
        Err(Unread::Cut) => Sent::Failed(Failure::After(After::Interrupted)),
    }
}

/// Why a body was not read to its end.
enum Unread {
    /// It ended early.
    Cut,
    /// It is larger than what is passed on.
    TooLarge,
}

/// Reads a body to its end. A body is not read on while there is no room for it.
async fn read(mut body: Body, answers: &Budget, held: &OnceLock<Instant>) -> Result<Bytes, Unread> {
    let length = body.size_hint().exact();
    let mut share = answers.share(length).map_err(|_| Unread::TooLarge)?;
    let mut whole = BytesMut::new();
    let wait = || {
        held.get_or_init(Instant::now);
    };
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Unread::Cut)?;
        if let Some(data) = frame.data_ref() {
            let room = share.hold(data.len(), wait).await;
            room.map_err(|_| Unread::TooLarge)?;
            whole.extend_from_slice(data);
        }
    }
    Ok(whole.freeze())
}

/// Checks that an answer is one of a server to this request.
fn check(mut answer: Answer) -> Sent {
    let headers = answer.headers();
    if answer.status() == StatusCode::MISDIRECTED_REQUEST {
        return Sent::NotRun(None);
    }
    let is_signed = headers.contains_key(header::SIGNATURE);
    let is_encoded = headers.contains_key(CONTENT_ENCODING) || is_recoded(headers);
    if answer.status().is_success() && (!is_signed || is_encoded) {
        return Sent::Failed(Failure::After(After::WrongAnswer));
    }
    if answer.status().is_informational() {
        return Sent::Failed(Failure::After(After::WrongAnswer));
    }
    let headers = answer.headers_mut();
    headers.remove(TRANSFER_ENCODING);
    headers.remove(CONTENT_LENGTH);
    Sent::Answered(answer)
}

/// Whether a transfer coding other than `chunked` was applied to the body, which is not undone here.
fn is_recoded(headers: &HeaderMap) -> bool {
    let fields = headers.get_all(TRANSFER_ENCODING).iter();
    let mut codings = fields.flat_map(|field| field.as_bytes().split(|byte| *byte == b','));
    codings.any(|coding| {
        let coding = coding.trim_ascii();
        !coding.eq_ignore_ascii_case(b"chunked") && !coding.eq_ignore_ascii_case(b"identity")
    })
}
