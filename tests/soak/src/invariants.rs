//! Invariants, checked on what callers and servers observed.

use crate::caller::{Place, RequestRecord};
use indexmap::IndexMap;
use standin_site::cloud::Report;
use standin_site::server::Arrival;
use std::time::{Duration, Instant};

/// Statuses that guarantee that the request did not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];
/// Status of a request that may have run.
const BAD_GATEWAY: u16 = 502;
/// Status of a request that exceeded its deadline.
const GATEWAY_TIMEOUT: u16 = 504;
/// Time from SIGTERM for which a gateway with a grace time of 2 s waits for answers of servers. It
/// reserves at most the last 0.8 s for its own shutdown.
pub const SERVER_WAIT: Duration = Duration::from_millis(1_200);
/// Time after the end of the faults, or after a later withdrawal, from which a withdrawn key must
/// not work anywhere.
pub const KEY_WITHDRAWAL_TIME: Duration = Duration::from_secs(2);
/// Time after a VM passed on an answer that said that its server leaves, from which requests that
/// callers send there must not reach the server.
pub const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time after a server turned a request away within which more may arrive, and the time that it told.
const REJECTION: [Duration; 2] = [Duration::from_millis(500), Duration::from_secs(1)];
/// Most requests that may arrive in between.
const MAX_REJECTED: usize = 2;
/// Requests a second that a limited server takes.
pub const LIMIT: &str = "2";
/// Time after its first word from which a server's limit binds all VMs together, length of the windows
/// in which requests count, and time after an answer from which its VM is bound.
const LIMIT_TIMES: [Duration; 3] = [
    Duration::from_secs(3),
    Duration::from_secs(4),
    Duration::from_millis(500),
];
/// Time after a paused VM continues in which its usage reports do not count.
pub const THAW_SLACK: Duration = Duration::from_millis(300);
/// Smallest share of requests that must be served after recovery.
const MIN_SERVED_SHARE: f64 = 0.95;

base::value! {
    /// Fault or stop that may end requests without an answer.
    #[derive(Copy, Eq, Hash)]
    pub enum Disturbance {
        /// A gateway stops: from SIGTERM until its restart.
        Stop(usize),
        /// A gateway was killed: until its restart.
        Kill(usize),
        /// A gateway is paused.
        Pause(usize),
        /// The connections to a server are disturbed.
        Link(usize),
        /// A server is silent, refuses or fails; a late server does not count.
        Server(usize),
    }

    /// Period of a disturbance.
    #[derive(Copy)]
    pub struct Period {
        /// Kind and target.
        pub disturbance: Disturbance,
        /// When it began.
        pub begin: Instant,
        /// When it ended.
        pub end: Instant,
    }

    /// One execution of a request by a server.
    pub struct Execution {
        /// Id of the request.
        pub id: Box<str>,
        /// Index of the server.
        pub server: usize,
    }

    /// Observations of a run.
    pub struct History {
        /// Requests of callers.
        pub requests: Vec<RequestRecord>,
        /// Executions of requests by servers.
        pub executions: Vec<Execution>,
        /// Requests that reached each server, run or not.
        pub arrivals: Vec<Vec<Arrival>>,
        /// When each server began a new run, under the same id.
        pub rejoined: Vec<Vec<Instant>>,
        /// Usage reports as the platform received them; none in runs without them.
        pub reports: Option<Vec<Report>>,
        /// Time within which the holder of the usage reports must not change and change back.
        pub lease: Duration,
        /// Periods of stops and of faults that may end requests.
        pub periods: Vec<Period>,
        /// Timeout of the route.
        pub timeout: Duration,
        /// When the faults ended.
        pub faults_ended_at: Instant,
        /// When the key was withdrawn.
        pub withdrawn_at: Option<Instant>,
        /// Time from the end of the faults after which callers must be served.
        pub recovery_time: Duration,
    }
}

/// Returns a line for each violation of an invariant.
pub fn violations(history: &History) -> Vec<String> {
    let mut ran: IndexMap<&str, usize> = IndexMap::new();
    for execution in &history.executions {
        *ran.entry(&execution.id).or_default() += 1;
    }
    let mut violations = Vec::new();
    for request in &history.requests {
        let times = ran.get(&*request.id).copied().unwrap_or_default();
        if !request.repeatable && times > 1 {
            violations.push(format!("{} ran {times} times", request.id));
        }
        if request.place == Place::Unread && times > 0 {
            violations.push(format!(
                "{} ran behind an answer that closed the connection",
                request.id
            ));
        }
        if let Some((status, signature, body)) = &request.answer {
            if NOT_RUN.contains(status) && !request.repeatable && times > 0 {
                violations.push(format!("{} was answered {status} and ran", request.id));
            }
            if *status == 200 {
                let expected = format!("answer to {} from ", request.id);
                let is_complete = body.starts_with(expected.as_bytes());
                let is_signed = signature
                    .as_ref()
                    .is_some_and(|s| s.ends_with(&*request.id));
                if !is_complete || !is_signed {
                    violations.push(format!("{} got the answer of another request", request.id));
                }
            }
        }
        let refused_from = history
            .withdrawn_at
            .map(|at| at.max(history.faults_ended_at) + KEY_WITHDRAWAL_TIME);
        if request.old_key
            && refused_from.is_some_and(|refused_from| request.sent_at > refused_from)
            && times > 0
        {
            violations.push(format!("{} ran with a withdrawn key", request.id));
        }
    }
    violations.extend(interrupted_requests(history));
    violations.extend(ignored_notices(history));
    violations.extend(exceeded_limits(history));
    violations.extend(wrong_reports(history));
    violations.extend(unserved_callers(history));
    violations
}

/// Returns a line if too few requests are served after recovery, for those sent alone and for those
/// of callers that pipeline, where there are any.
fn unserved_callers(history: &History) -> Option<String> {
    let recovered_at = history.faults_ended_at + history.recovery_time;
    let is_served = |request: &&&RequestRecord| matches!(request.answer, Some((200, _, _)));
    let line = |is_single: bool| {
        let requests = history.requests.iter().filter(|request| !request.old_key);
        let of_kind = requests.filter(|request| (request.place == Place::Single) == is_single);
        let all: Vec<&RequestRecord> = of_kind.collect();
        let after_recovery = all.iter().filter(|request| request.sent_at > recovered_at);
        let sent = after_recovery.clone().count();
        let served = after_recovery.filter(is_served).count();
        let is_expected = is_single || !all.is_empty();
        let is_low = (served as f64) < MIN_SERVED_SHARE * sent as f64;
        let kind = if is_single {
            "requests"
        } else {
            "pipelined requests"
        };
        (is_expected && (is_low || sent == 0))
            .then(|| format!("{served} of {sent} {kind} were served at the end"))
    };
    line(true).or_else(|| line(false))
}

/// Returns whether the answer came after the stopping gateway no longer waits for servers.
fn is_after_server_wait(history: &History, request: &RequestRecord) -> bool {
    let is_end = |period: &Period| {
        period.disturbance == Disturbance::Stop(request.gateway)
            && (period.begin + SERVER_WAIT..=period.end).contains(&request.ended_at)
    };
    history.periods.iter().any(is_end)
}

/// Returns a line for each request that a planned stop interrupted.
///
/// A request that is in flight while its gateway stops, and that overlaps no other fault, must get
/// a complete answer. Once a server runs it, its connection must not end without an answer, and a
/// gateway must not answer 502, or 504 while it still has to wait for servers.
pub fn interrupted_requests(history: &History) -> Vec<String> {
    let mut ran: IndexMap<&str, Vec<usize>> = IndexMap::new();
    for execution in &history.executions {
        ran.entry(&execution.id).or_default().push(execution.server);
    }
    let mut lines = Vec::new();
    for request in &history.requests {
        let result = match &request.answer {
            None => "got no answer",
            Some((BAD_GATEWAY, _, _)) => "was answered 502",
            Some((GATEWAY_TIMEOUT, _, _)) if !is_after_server_wait(history, request) => {
                "was answered 504 early"
            }
            Some(_) => continue,
        };
        let Some(servers) = ran.get(&*request.id) else {
            continue;
        };
        let duration = request.ended_at.duration_since(request.sent_at);
        let overlaps = |disturbance| {
            let is_overlapping = |period: &Period| {
                period.disturbance == disturbance
                    && period.begin <= request.ended_at
                    && period.end >= request.sent_at
            };
            history.periods.iter().any(is_overlapping)
        };
        let gateway = request.gateway;
        let is_disturbed = overlaps(Disturbance::Kill(gateway))
            || overlaps(Disturbance::Pause(gateway))
            || servers.iter().any(|&server| {
                overlaps(Disturbance::Link(server)) || overlaps(Disturbance::Server(server))
            });
        if overlaps(Disturbance::Stop(gateway)) && !is_disturbed && duration < history.timeout {
            lines.push(format!(
                "{} {result} of the stopping gateway {gateway} after {} ms, servers {servers:?} had it",
                request.id,
                duration.as_millis()
            ));
        }
    }
    lines
}

/// Returns the requests of callers by id.
fn requests_by_id(history: &History) -> IndexMap<&str, &RequestRecord> {
    let requests = history.requests.iter();
    requests.map(|request| (&*request.id, request)).collect()
}

/// Returns a line for each server that got requests of a VM although it had told this VM that it
/// leaves, or that it wants none for a time. A VM that was killed, stopped or paused meanwhile may
/// have forgotten.
pub fn ignored_notices(history: &History) -> Vec<String> {
    let requests = requests_by_id(history);
    let mut lines = Vec::new();
    for (server, arrivals) in history.arrivals.iter().enumerate() {
        let known = arrivals.iter().filter_map(|arrival| {
            let request = requests.get(&*arrival.id)?;
            Some((arrival, *request))
        });
        let known: Vec<(&Arrival, &RequestRecord)> = known.collect();
        for (arrival, request) in &known {
            let gateway = request.gateway;
            let has_forgotten = |until: Instant| has_restarted(history, gateway, arrival.at, until);
            let is_same_run = |later: Instant| {
                let mut rejoined = history.rejoined[server].iter();
                !rejoined.any(|at| (arrival.at..=later).contains(at))
            };
            let others = || known.iter().filter(|(_, other)| other.gateway == gateway);
            if arrival.said_leaving && request.answer.is_some() {
                let late = others().find(|(late, other)| {
                    other.sent_at > request.ended_at + DRAIN_TIME
                        && is_same_run(late.at)
                        && !has_forgotten(late.at)
                });
                lines.extend(late.map(|(late, _)| {
                    format!(
                        "{} reached server {server} through gateway {gateway}, which passed on that it leaves",
                        late.id
                    )
                }));
            }
            let Some(told_at) = arrival.answered_at.filter(|_| arrival.was_turned_away) else {
                continue;
            };
            let [from, to] = REJECTION.map(|time| told_at + time);
            let count = others()
                .filter(|(other, _)| (from..to).contains(&other.at))
                .count();
            if count > MAX_REJECTED && is_same_run(to) && !has_forgotten(to) {
                lines.push(format!(
                    "{count} requests reached server {server} through gateway {gateway}, to which it had told to wait"
                ));
            }
        }
    }
    lines
}

/// Returns a line for each server that got more requests than its limit allows from the VMs that had
/// passed it on. A VM that was killed, stopped or paused since then does not count.
pub fn exceeded_limits(history: &History) -> Vec<String> {
    let [contact, length, told] = LIMIT_TIMES;
    let requests = requests_by_id(history);
    let mut lines = Vec::new();
    for (server, arrivals) in history.arrivals.iter().enumerate() {
        let limited = arrivals
            .iter()
            .filter(|arrival| arrival.said_limit.is_some());
        let mut limited: Vec<&Arrival> = limited.collect();
        limited.sort_by_key(|arrival| arrival.at);
        let (Some(first), Some(rate)) = (
            limited
                .iter()
                .filter_map(|arrival| arrival.answered_at)
                .min(),
            limited.first().and_then(|arrival| arrival.said_limit),
        ) else {
            continue;
        };
        let mut told_at: IndexMap<usize, Instant> = IndexMap::new();
        for request in limited
            .iter()
            .filter_map(|arrival| requests.get(&*arrival.id))
        {
            if request.answer.is_some() {
                let at = told_at.entry(request.gateway).or_insert(request.ended_at);
                *at = request.ended_at.min(*at);
            }
        }
        let is_counted = |arrival: &&&Arrival| {
            let gateway = requests.get(&*arrival.id).map(|request| request.gateway);
            let since = gateway.and_then(|gateway| told_at.get(&gateway));
            gateway.zip(since).is_some_and(|(gateway, since)| {
                arrival.at >= (first + contact).max(*since + told)
                    && !has_restarted(history, gateway, *since, arrival.at)
            })
        };
        let times: Vec<Instant> = limited.iter().filter(is_counted).map(|a| a.at).collect();
        let in_window = |begin: &Instant| {
            let window = *begin..*begin + length;
            times.iter().filter(|at| window.contains(at)).count()
        };
        let most = times.iter().map(in_window).max().unwrap_or_default();
        if most as f64 > 1.5 * rate * length.as_secs_f64() + 5.0 {
            lines.push(format!(
                "server {server} got {most} requests in 4 s although it had named a limit of {rate} a second"
            ));
        }
    }
    lines
}

/// Returns whether a gateway was killed, stopped or paused within a time.
fn has_restarted(history: &History, gateway: usize, from: Instant, to: Instant) -> bool {
    let restarts = [
        Disturbance::Kill(gateway),
        Disturbance::Stop(gateway),
        Disturbance::Pause(gateway),
    ];
    let is_between = |period: &&Period| period.begin <= to && period.end >= from;
    let mut periods = history.periods.iter().filter(is_between);
    periods.any(|period| restarts.contains(&period.disturbance))
}

/// Returns a line for each usage report that breaks a rule of the platform, and one if none arrived
/// after recovery.
///
/// Reports that a VM sends shortly after it was paused count neither as of a lower token nor as a
/// change of the holder.
pub fn wrong_reports(history: &History) -> Vec<String> {
    let Some(reports) = &history.reports else {
        return Vec::new();
    };
    let mut lines = Vec::new();
    // Reports that count, in the order of their arrival.
    let mut counted: Vec<&Report> = Vec::new();
    for (index, report) in reports.iter().enumerate() {
        let (holder, token) = (&report.holder, report.token);
        let earlier = &reports[..index];
        let window = window(report);
        if window.is_none() {
            lines.push(format!("{holder} sent a usage report without a window"));
        }
        let differs = |other: &&Report| other.body != report.body;
        let mut of_window = earlier.iter().filter(|other| self::window(other) == window);
        if of_window.any(|other| differs(&other)) {
            lines.push(format!(
                "{holder} reported window {window:?} with other counts"
            ));
        }
        let has_token = |other: &Report| other.token == token && other.holder != *holder;
        if earlier.iter().any(has_token) {
            lines.push(format!("{holder} used token {token} of another holder"));
        }
        if is_after_pause(history, report) {
            continue;
        }
        if counted.iter().any(|other| other.token > token) {
            lines.push(format!("{holder} used token {token} after a higher one"));
        }
        let foreign = counted.iter().rposition(|other| other.holder != *holder);
        let before = &counted[..foreign.unwrap_or_default()];
        let own = before.iter().rfind(|other| other.holder == *holder);
        if own.is_some_and(|own| report.at - own.at < history.lease) {
            lines.push(format!(
                "{holder} reported again within the lease after another holder"
            ));
        }
        counted.push(report);
    }
    let recovered_at = history.faults_ended_at + history.recovery_time;
    if !reports.iter().any(|report| report.at > recovered_at) {
        lines.push("no usage was reported at the end".into());
    }
    lines
}

/// Returns the window of a usage report.
fn window(report: &Report) -> Option<u64> {
    let body: serde_json::Value = serde_json::from_slice(&report.body).ok()?;
    body["windowId"].as_u64()
}

/// Returns whether a report arrived shortly after its VM had been paused.
fn is_after_pause(history: &History, report: &Report) -> bool {
    let is_thawing = |period: &Period| match period.disturbance {
        Disturbance::Pause(gateway) => {
            *report.holder == *format!("vm-{gateway}")
                && (period.end..period.end + THAW_SLACK).contains(&report.at)
        }
        _ => false,
    };
    history.periods.iter().any(is_thawing)
}
