//! Promises, checked by what callers and servers saw.

use crate::caller::Seen;
use indexmap::IndexMap;
use std::time::{Duration, Instant};

/// Statuses that promise that the request did not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];
/// Status that tells that the request may have run.
const UNKNOWN: u16 = 502;
/// Status that tells that the request took too long.
const TIMED_OUT: u16 = 504;
/// Time from SIGTERM before which a gateway with the soak's 2 s of grace ends no request itself: it
/// needs the last 0.8 s at most for its own end.
pub const OWN_END: Duration = Duration::from_millis(1_200);
/// Time after which a withdrawn key works nowhere, once the faults are over.
pub const IN_FORCE: Duration = Duration::from_secs(2);
/// Share of requests that is served at the end.
const SERVED: f64 = 0.95;

base::value! {
    /// What may end requests without an answer.
    #[derive(Copy, Eq, Hash)]
    pub enum Disturbance {
        /// A gateway stops: from SIGTERM until it is started again.
        Stop(usize),
        /// A gateway was killed, until it is started again.
        Kill(usize),
        /// A gateway is paused.
        Pause(usize),
        /// The way to a server is disturbed.
        Way(usize),
        /// A server is silent, refuses or fails. One that is late is sound.
        Server(usize),
    }

    /// Time of a disturbance.
    #[derive(Copy)]
    pub struct Period {
        /// What it was.
        pub disturbance: Disturbance,
        /// When it began.
        pub begin: Instant,
        /// When it ended.
        pub end: Instant,
    }

    /// A request that a server ran.
    pub struct Run {
        /// Id of the request.
        pub id: Box<str>,
        /// Server, by number.
        pub server: usize,
    }

    /// What happened in a run.
    pub struct History {
        /// Requests of callers.
        pub seen: Vec<Seen>,
        /// Requests that servers ran.
        pub runs: Vec<Run>,
        /// Stops, and faults that may end requests.
        pub periods: Vec<Period>,
        /// Time that the route gives a request.
        pub time_out: Duration,
        /// When the last fault ended.
        pub calm: Instant,
        /// When the key was withdrawn.
        pub withdrawn: Option<Instant>,
        /// Time from the last fault from which callers are served again.
        pub recovery: Duration,
    }
}

/// Returns the promises that were broken, a line each.
pub fn broken(history: &History) -> Vec<String> {
    let mut ran: IndexMap<&str, usize> = IndexMap::new();
    for run in &history.runs {
        *ran.entry(&run.id).or_default() += 1;
    }
    let mut broken = Vec::new();
    for seen in &history.seen {
        let times = ran.get(&*seen.id).copied().unwrap_or_default();
        if !seen.repeatable && times > 1 {
            broken.push(format!("{} ran {times} times", seen.id));
        }
        if let Some((status, signature, body)) = &seen.answer {
            if NOT_RUN.contains(status) && !seen.repeatable && times > 0 {
                broken.push(format!("{} was answered {status} and ran", seen.id));
            }
            if *status == 200 {
                let expected = format!("answer to {} from ", seen.id);
                let whole = body.starts_with(expected.as_bytes());
                let signed = signature.as_ref().is_some_and(|s| s.ends_with(&*seen.id));
                if !whole || !signed {
                    broken.push(format!("{} got the answer of another request", seen.id));
                }
            }
        }
        let limit = history.withdrawn.map(|at| at.max(history.calm) + IN_FORCE);
        if seen.old_key && limit.is_some_and(|limit| seen.sent > limit) && times > 0 {
            broken.push(format!("{} ran with a withdrawn key", seen.id));
        }
    }
    broken.extend(cut(history));
    let recovered = history.calm + history.recovery;
    let last = history
        .seen
        .iter()
        .filter(|s| s.sent > recovered && !s.old_key);
    let (mut asked, mut served) = (0_u32, 0_u32);
    for seen in last {
        asked += 1;
        served += u32::from(
            seen.answer
                .as_ref()
                .is_some_and(|(status, _, _)| *status == 200),
        );
    }
    if f64::from(served) < SERVED * f64::from(asked) || asked == 0 {
        broken.push(format!(
            "{served} of {asked} requests were served at the end"
        ));
    }
    broken
}

/// Returns whether the answer came in the last part of the grace time of the gateway.
fn is_own_end(history: &History, seen: &Seen) -> bool {
    let is_end = |period: &Period| {
        period.disturbance == Disturbance::Stop(seen.gateway)
            && (period.begin + OWN_END..=period.end).contains(&seen.ended)
    };
    history.periods.iter().any(is_end)
}

/// Returns the requests that a planned stop cut, a line each.
///
/// A request that is with a gateway while it stops, and that no other fault meets, gets a whole answer: its
/// connection does not end without one after a server got it, and it is not given up (502, or 504 before
/// the end of the grace time) while a server, which is sound, works on it.
pub fn cut(history: &History) -> Vec<String> {
    let mut ran: IndexMap<&str, Vec<usize>> = IndexMap::new();
    for run in &history.runs {
        ran.entry(&run.id).or_default().push(run.server);
    }
    let mut cut = Vec::new();
    for seen in &history.seen {
        let what = match &seen.answer {
            None => "got no answer",
            Some((UNKNOWN, _, _)) => "was answered 502",
            Some((TIMED_OUT, _, _)) if !is_own_end(history, seen) => "was answered 504 early",
            Some(_) => continue,
        };
        let Some(servers) = ran.get(&*seen.id) else {
            continue;
        };
        let took = seen.ended.duration_since(seen.sent);
        let meets = |disturbance| {
            let is_met = |period: &Period| {
                period.disturbance == disturbance
                    && period.begin <= seen.ended
                    && period.end >= seen.sent
            };
            history.periods.iter().any(is_met)
        };
        let gateway = seen.gateway;
        let is_disturbed = meets(Disturbance::Kill(gateway))
            || meets(Disturbance::Pause(gateway))
            || servers.iter().any(|&server| {
                meets(Disturbance::Way(server)) || meets(Disturbance::Server(server))
            });
        if meets(Disturbance::Stop(gateway)) && !is_disturbed && took < history.time_out {
            cut.push(format!(
                "{} {what} of the stopping gateway {gateway} after {} ms, servers {servers:?} had it",
                seen.id,
                took.as_millis()
            ));
        }
    }
    cut
}
