//! One send of a request to a backend server, until its end is known.

use crate::admit::Grant;
use crate::answers::{Budget, Share};
use crate::receive::Call;
use crate::servers::Flight;
use crate::shared::Shared;
use adapter::header::{self, Load};
use backends::client::{self, After, Before, Failure};
use base::http::Body;
use base::sync::lock;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::header::{CONTENT_ENCODING, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{Response, StatusCode};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;
use steering::takeover::Outcome;

/// Whole answer of a server.
pub type Answer = Response<Bytes>;

/// Result of one send.
pub(super) enum Sent {
    Answered(Answer),
    Failed(Failure),
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

    /// Takes in what the send says about the version of its server, once.
    fn judge(&mut self, outcome: Outcome) {
        if self.is_judged {
            return;
        }
        self.is_judged = true;
        let took = self.began.elapsed();
        let takeovers = &self.shared.takeovers;
        let side = takeovers.ended(self.grant.service, self.flight, outcome, took);
        if let Some(side) = side {
            self.shared.metrics.compared(side, outcome);
        }
    }

    /// Sends the request; its version hears as soon as the answer is late.
    async fn exchange(&mut self) -> Sent {
        let exchange = exchange(self.call, self.grant, self.flight, &self.shared.answers);
        tokio::pin!(exchange);
        let late = self
            .shared
            .takeovers
            .late_after(self.grant.service, self.flight);
        if let Some(late) = late {
            match tokio::time::timeout(late, &mut exchange).await {
                Ok(sent) => return sent,
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
            self.flight.failed(now);
            self.judge(Outcome::Unanswered);
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
    };
    let result = sending.exchange().await;
    let now = Instant::now();
    let (text, status) = match &result {
        Sent::Answered(answer) => ("answered", answer.status().as_u16()),
        Sent::Failed(_) => ("failed", 0),
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
            flight.answered(header::load(answer.headers()), now);
            lock(&shared.crashes).answered(grant.digest);
            if answer.status().is_server_error() {
                flight.failed(now);
            }
        }
        Sent::Failed(Failure::Before(before)) => {
            if matches!(before, Before::ConnectRefused | Before::ConnectTimeout) {
                flight.refused(now);
            }
        }
        Sent::Failed(Failure::After(After::Deadline)) => {}
        Sent::Failed(Failure::After(after)) => {
            flight.failed(now);
            if *after == After::Interrupted {
                lock(&shared.crashes).crashed(grant.digest, now);
            }
        }
        Sent::NotRun(_) | Sent::Failed(Failure::NotRun(_)) => flight.failed(now),
    }
    if let Some(outcome) = outcome(&result) {
        sending.judge(outcome);
    }
    (number, result)
}

/// Returns what a send says about the version of its server; none if it says nothing, because the
/// server did not run the request.
fn outcome(sent: &Sent) -> Option<Outcome> {
    match sent {
        Sent::Answered(answer) if answer.status().is_server_error() => Some(Outcome::Failed),
        Sent::Answered(_) => Some(Outcome::Good),
        Sent::Failed(Failure::After(_)) => Some(Outcome::Failed),
        Sent::NotRun(_) | Sent::Failed(Failure::Before(_) | Failure::NotRun(_)) => None,
    }
}

/// Sends a request to one server and reads the whole answer.
async fn exchange(call: &Call, grant: &Grant<'_>, flight: &Flight, answers: &Budget) -> Sent {
    let workspace = grant.account.map(|account| &*account.name);
    let request = call.request(workspace, &flight.server);
    let whole = async {
        let response = flight.pool.send(request, grant.deadline).await?;
        let (parts, body) = response.into_parts();
        if parts.headers.contains_key(header::NOT_RUN) {
            client::drain(body).await;
            return Ok(Response::from_parts(parts, Bytes::new()));
        }
        let body =
            read(body, answers.share())
                .await
                .ok_or(match Instant::now() >= grant.deadline {
                    true => Failure::After(After::Deadline),
                    false => Failure::After(After::Interrupted),
                })?;
        Ok(Response::from_parts(parts, body))
    };
    match whole.await {
        Ok(answer) if answer.headers().contains_key(header::NOT_RUN) => {
            let load = header::load(answer.headers());
            flight.shed(load, Instant::now());
            Sent::NotRun(load)
        }
        Ok(answer) => check(answer),
        Err(failure) => Sent::Failed(failure),
    }
}

/// Reads a body to its end; none if it is cut or too large.
async fn read(mut body: Body, mut share: Share<'_>) -> Option<Bytes> {
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Some(data) = frame.ok()?.data_ref() {
            if !share.grow(data.len()) {
                return None;
            }
            whole.extend_from_slice(data);
        }
    }
    Some(whole.freeze())
}

/// Checks that an answer is one of a server to this request.
fn check(mut answer: Answer) -> Sent {
    let headers = answer.headers();
    if answer.status() == StatusCode::MISDIRECTED_REQUEST {
        return Sent::NotRun(None);
    }
    let is_signed = headers.contains_key(header::SIGNATURE);
    let is_encoded = headers.contains_key(CONTENT_ENCODING);
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
