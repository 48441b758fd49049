//! Promises, checked by what callers and servers saw.

use crate::caller::Seen;
use indexmap::IndexMap;
use standin_site::server::Run;
use std::time::{Duration, Instant};

/// Statuses that promise that the request did not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];
/// Time after which a withdrawn key works nowhere, once the faults are over.
pub const IN_FORCE: Duration = Duration::from_secs(2);
/// Share of requests that is served at the end.
const SERVED: f64 = 0.95;

base::value! {
    /// What happened in a run.
    pub struct History {
        /// Requests of callers.
        pub seen: Vec<Seen>,
        /// Requests that servers ran.
        pub runs: Vec<Run>,
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
