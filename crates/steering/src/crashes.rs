//! Counter of crashes per request, for fleets whose callers use a new request id for each send.
//!
//! A caller may repeat a request that crashes one server after the other. Each process counts the
//! crashes at which a request was in flight and reports them to the others, so that the request is
//! refused after a bounded number of crashes; an answer clears it. Counts only grow and are kept for
//! each server, where a crash counts once however many copies of the request it ended: so they can be
//! merged in any order and any number of times.
//! A [`record`] in the store outlives the processes.

pub mod record;

use crate::affinity::Digest;
use indexmap::IndexMap;
use std::cmp::Reverse;
use std::time::{Duration, Instant};

/// Crashes from which a request is refused. One crash may be caused by another request, and two may
/// be chance while many servers crash.
pub const MAX_CRASHES: u32 = 3;
/// Crashes from which each further send is counted as a crash until it ends otherwise.
pub const SUSPECT_CRASHES: u32 = MAX_CRASHES - 1;
/// Time for which fewer crashes than [`MAX_CRASHES`] are remembered without a further one.
const RETENTION: Duration = Duration::from_secs(600);
/// Time for which a request is refused after [`MAX_CRASHES`] and each further crash.
const REFUSAL_TIMES: [Duration; 3] = [
    Duration::from_secs(60),
    Duration::from_secs(240),
    Duration::from_secs(960),
];
/// Time for which a request is refused after more crashes, and for which refused ones are
/// remembered.
const LONGEST_REFUSAL: Duration = Duration::from_secs(24 * 60 * 60);
/// Maximum number of requests; those with the fewest crashes are evicted first.
const MAX_REQUESTS: usize = 1024;
/// Time for which the count of a request with fewer crashes than [`SUSPECT_CRASHES`] is reported.
const REPORT_TIME: Duration = Duration::from_secs(60);
/// Time for which a change has precedence in reports.
const NEWS_TIME: Duration = Duration::from_secs(2);

base::message! {
    /// Crashes of one server by one request.
    #[derive(Copy)]
    pub struct Count {
        /// Digest of the server; 0 if it is not known.
        #[serde(default)]
        pub origin: Digest,
        /// Digest of the request.
        pub request: Digest,
        /// Number of crashes.
        pub crashes: u32,
        /// Number of these that an answer has cleared.
        #[serde(default)]
        pub cleared: u32,
    }

    /// Count in a report.
    #[derive(Copy)]
    pub struct ReportedCount {
        /// The count.
        pub count: Count,
        /// Time since the last crash in milliseconds.
        pub age_ms: u32,
    }
}

impl Count {
    /// Returns the number of crashes that no answer has cleared.
    pub fn left(&self) -> u32 {
        self.crashes.saturating_sub(self.cleared)
    }
}

/// Count with its times.
#[derive(Debug, Clone, Copy)]
struct Tally {
    count: Count,
    crashed_at: Instant,
    changed_at: Instant,
    /// Whether this process observed it.
    is_own: bool,
}

/// Counts of one request, by their origin.
#[derive(Debug, Clone, Default)]
struct Suspect(IndexMap<Digest, Tally>);

impl Suspect {
    /// Returns the number of crashes that no answer has cleared.
    fn left(&self) -> u32 {
        self.0.values().map(|tally| tally.count.left()).sum()
    }

    /// Returns the number of all crashes.
    fn all(&self) -> u32 {
        self.0.values().map(|tally| tally.count.crashes).sum()
    }

    /// Returns when the last crash came.
    fn crashed_at(&self) -> Option<Instant> {
        self.0.values().map(|tally| tally.crashed_at).max()
    }

    /// Returns the end of the time in which the request is refused; none if it has too few crashes.
    fn refused_until(&self) -> Option<Instant> {
        let beyond = self.left().checked_sub(MAX_CRASHES)?;
        let time = usize::try_from(beyond)
            .ok()
            .and_then(|i| REFUSAL_TIMES.get(i));
        Some(self.crashed_at()? + *time.unwrap_or(&LONGEST_REFUSAL))
    }

    fn is_expired(&self, now: Instant) -> bool {
        let retention = match self.left() >= MAX_CRASHES {
            true => LONGEST_REFUSAL,
            false => RETENTION,
        };
        self.crashed_at()
            .is_none_or(|at| now.saturating_duration_since(at) >= retention)
    }
}

/// Returns whether a count with its last crash at `crashed_at` may still matter.
pub fn is_remembered(count: &Count, crashed_at: Instant, now: Instant) -> bool {
    count.left() > 0 && now.saturating_duration_since(crashed_at) < LONGEST_REFUSAL
}

/// What the crashes of a request mean for its next send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is sent.
    Clear,
    /// It is sent alone, once this is on record.
    Suspect,
    /// It is not sent until then.
    Refused(Instant),
}

/// A send of a suspect, which counts as a crash until it ends otherwise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Trial {
    /// Digest of the server to which it is sent.
    pub origin: Digest,
    /// Crashes that are counted for it, with this one.
    pub crashes: u32,
    /// Whether the request was refused before.
    pub was_refused: bool,
}

/// Counts of the own process and of others, by request.
#[derive(Debug, Clone, Default)]
pub struct CrashCounter {
    requests: IndexMap<Digest, Suspect>,
}

impl CrashCounter {
    /// Returns what the crashes of a request mean for its next send.
    pub fn verdict(&self, request: Digest, now: Instant) -> Verdict {
        let known = self.requests.get(&request);
        let Some(suspect) = known.filter(|suspect| !suspect.is_expired(now)) else {
            return Verdict::Clear;
        };
        match suspect.refused_until() {
            Some(until) if now < until => Verdict::Refused(until),
            Some(_) => Verdict::Suspect,
            None if suspect.left() >= SUSPECT_CRASHES => Verdict::Suspect,
            None => Verdict::Clear,
        }
    }

    /// Returns the number of crashes of a request that no answer has cleared.
    pub fn left(&self, request: Digest) -> u32 {
        self.requests.get(&request).map_or(0, Suspect::left)
    }

    /// Returns whether a request is refused.
    pub fn is_refused(&self, request: Digest, now: Instant) -> bool {
        matches!(self.verdict(request, now), Verdict::Refused(_))
    }

    /// Returns the refused requests with their crashes and the end of the refusal.
    pub fn refused(&self, now: Instant) -> impl Iterator<Item = (Digest, u32, Instant)> {
        let requests = self.requests.keys();
        requests.filter_map(move |request| match self.verdict(*request, now) {
            Verdict::Refused(until) => Some((*request, self.left(*request), until)),
            Verdict::Clear | Verdict::Suspect => None,
        })
    }

    /// Begins a send of a request to a server; the send of a suspect is a trial.
    ///
    /// # Errors
    ///
    /// Fails with the end of the refusal if the request is refused.
    pub fn begin_send(
        &mut self,
        request: Digest,
        origin: Digest,
        now: Instant,
    ) -> Result<Option<Trial>, Instant> {
        match self.verdict(request, now) {
            Verdict::Clear => Ok(None),
            Verdict::Suspect => {
                let was_refused = self.left(request) >= MAX_CRASHES;
                let crashes = self.record_crash(request, origin, now, now);
                Ok(Some(Trial {
                    origin,
                    crashes,
                    was_refused,
                }))
            }
            Verdict::Refused(until) => Err(until),
        }
    }

    /// Counts a crash of a server with the request in flight, sent at `sent_at`; returns the crashes
    /// that are counted for the server. A send before the last of them ended by the same crash.
    pub fn record_crash(
        &mut self,
        request: Digest,
        origin: Digest,
        sent_at: Instant,
        now: Instant,
    ) -> u32 {
        let known = self.requests.get(&request);
        if known.is_some_and(|suspect| suspect.is_expired(now)) {
            self.requests.shift_remove(&request);
        }
        let tallies = &mut self.requests.entry(request).or_default().0;
        let tally = tallies.entry(origin).or_insert(Tally {
            count: Count {
                origin,
                request,
                crashes: 0,
                cleared: 0,
            },
            crashed_at: now,
            changed_at: now,
            is_own: true,
        });
        tally.is_own = true;
        if tally.count.crashes == 0 || sent_at >= tally.crashed_at {
            tally.count.crashes += 1;
            tally.crashed_at = now;
            tally.changed_at = now;
        }
        let crashes = tally.count.crashes;
        self.evict(request);
        crashes
    }

    /// Takes back the crash that a trial was counted as: it ended without one.
    pub fn revert_trial(&mut self, request: Digest, trial: Trial, now: Instant) {
        let tallies = self.requests.get_mut(&request);
        if let Some(tally) = tallies.and_then(|tallies| tallies.0.get_mut(&trial.origin)) {
            tally.count.cleared = tally.count.crashes.min(tally.count.cleared + 1);
            tally.changed_at = now;
        }
    }

    /// Clears a request after the answer of a server that ran it; returns whether it was a suspect.
    pub fn record_answer(&mut self, request: Digest, now: Instant) -> bool {
        let Some(suspect) = self.requests.get_mut(&request) else {
            return false;
        };
        let was_suspect = suspect.left() >= SUSPECT_CRASHES;
        let tallies = suspect.0.values_mut();
        for tally in tallies.filter(|tally| tally.count.left() > 0) {
            tally.count.cleared = tally.count.crashes;
            tally.changed_at = now;
        }
        was_suspect
    }

    /// Returns counts for a report, `most` at the maximum: recent changes, and all others in turn
    /// over several reports.
    pub fn report(&self, most: usize, turn: u64, now: Instant) -> Vec<ReportedCount> {
        let age = |at| now.saturating_duration_since(at);
        let is_reported = |suspect: &Suspect, tally: &Tally| {
            let is_recent = age(tally.changed_at) < REPORT_TIME;
            let is_news = age(tally.changed_at) < NEWS_TIME;
            suspect.left() >= SUSPECT_CRASHES || (tally.is_own && is_recent) || is_news
        };
        let live = self.requests.values().filter(|s| !s.is_expired(now));
        let (news, others): (Vec<&Tally>, Vec<&Tally>) = live
            .flat_map(|suspect| suspect.0.values().map(move |tally| (suspect, tally)))
            .filter(|(suspect, tally)| is_reported(suspect, tally))
            .map(|(_, tally)| tally)
            .partition(|tally| age(tally.changed_at) < NEWS_TIME);
        let news = news.into_iter().rev().take(most.div_ceil(2));
        let room = most - news.len();
        let pages = others.len().div_ceil(room.max(1)).max(1);
        let page = usize::try_from(turn).unwrap_or_default() % pages;
        let others = others.into_iter().skip(page * room).take(room);
        news.chain(others)
            .map(|tally| ReportedCount {
                count: tally.count,
                age_ms: u32::try_from(age(tally.crashed_at).as_millis()).unwrap_or(u32::MAX),
            })
            .collect()
    }

    /// Merges counts of a report; returns whether there was news among them.
    pub fn merge_report(&mut self, counts: &[ReportedCount], now: Instant) -> bool {
        counts.iter().fold(false, |has_news, reported| {
            let age = Duration::from_millis(reported.age_ms.into());
            let crashed_at = now.checked_sub(age).unwrap_or(now);
            self.merge(reported.count, crashed_at, now) || has_news
        })
    }

    /// Merges a count whose last crash came at `crashed_at`; of two counts of one origin the higher
    /// figures hold. Returns whether it is news.
    pub fn merge(&mut self, count: Count, crashed_at: Instant, now: Instant) -> bool {
        let Count {
            origin, request, ..
        } = count;
        let tallies = &mut self.requests.entry(request).or_default().0;
        let is_new = !tallies.contains_key(&origin);
        let known = tallies.entry(origin).or_insert(Tally {
            count,
            crashed_at,
            changed_at: now,
            is_own: false,
        });
        let has_more = count.crashes > known.count.crashes;
        if has_more {
            known.count.crashes = count.crashes;
            known.crashed_at = crashed_at.max(known.crashed_at);
        }
        let is_cleared = count.cleared > known.count.cleared;
        if is_cleared {
            known.count.cleared = count.cleared;
        }
        if has_more || is_cleared {
            known.changed_at = now;
        }
        if self.requests[&request].is_expired(now) {
            self.requests.shift_remove(&request);
            return false;
        }
        self.evict(request);
        is_new || has_more || is_cleared
    }

    /// Evicts a request if there are too many, but not `kept`: that with the fewest crashes, of
    /// several the oldest.
    fn evict(&mut self, kept: Digest) {
        if self.requests.len() <= MAX_REQUESTS {
            return;
        }
        let others = self.requests.iter().filter(|(digest, _)| **digest != kept);
        let evicted = others.min_by_key(|(_, suspect)| (suspect.left(), suspect.crashed_at()));
        if let Some(digest) = evicted.map(|(digest, _)| *digest) {
            self.requests.shift_remove(&digest);
        }
    }

    /// Returns the requests with crashes that are remembered, with the most crashes first, and for
    /// each of its counts the time of the last crash.
    fn remembered(&self, now: Instant) -> impl Iterator<Item = (&Suspect, &Tally)> {
        let live = self.requests.values().filter(move |s| !s.is_expired(now));
        let mut live: Vec<&Suspect> = live.collect();
        live.sort_by_key(|suspect| Reverse((suspect.left(), suspect.crashed_at())));
        live.into_iter()
            .flat_map(|suspect| suspect.0.values().map(move |tally| (suspect, tally)))
    }
}
