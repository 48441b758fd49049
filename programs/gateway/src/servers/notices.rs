//! What servers say of themselves, and the words on it that VMs pass on.

use super::Services;
use super::server::Server;
use super::server_set::State;
use adapter::header::Notice;
use base::id::Server as ServerId;
use base::sync::lock;
use indexmap::IndexMap;
use operators::gateway;
use peers::report::Report;
use std::time::{Duration, Instant};
use steering::intake;
use steering::notice::{self, Origin, PASSING_TIME, Rejection, Word};
use steering::registry::Change;
use steering::warmth::{self, ShortDigest};

/// Most words of one kind in a report.
const MAX_WORDS: usize = 128;
/// Difference up to which two words on a run of a server are not applied again.
const REPEATED: Duration = Duration::from_millis(300);

/// Run of a server: its short digest, and its start in Unix milliseconds.
pub(super) type Run = (ShortDigest, u64);

/// What a word is on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Topic {
    /// Whether a run says that it leaves.
    Departure(Run),
    /// Whether the list has a run.
    Listing(Run),
}

/// Words that a VM knows first-hand, with their times.
#[derive(Debug, Clone, Default)]
pub(super) struct Words {
    pub(super) leaving: IndexMap<Topic, Instant>,
    pub(super) staying: IndexMap<Topic, Instant>,
}

/// Words of other VMs that were applied already, since each report repeats them.
#[derive(Debug, Clone, Default)]
pub(super) struct HeardWords {
    leaving: IndexMap<Topic, Instant>,
    staying: IndexMap<Topic, Instant>,
}

/// Words on runs of servers, as reports pass them on.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PassedWords {
    /// Servers that leave.
    pub leaving: Vec<Word>,
    /// Servers that stay after all.
    pub staying: Vec<Word>,
    /// Limits of requests that servers named or no longer name.
    pub limits: Vec<intake::Word>,
}

impl Server {
    /// Returns the run by which words name it.
    pub(super) fn run(&self) -> Run {
        (warmth::short_digest(self.digest), self.registration.born)
    }

    /// Records what the server said in an answer to a request that was sent at `sent_at`; returns
    /// whether other VMs are to be told.
    pub(super) fn record_notice(&mut self, notice: Notice, sent_at: Instant, now: Instant) -> bool {
        let registration = &self.registration;
        let (server, born) = (&registration.server, registration.born);
        if notice.is_unreadable && !self.is_unreadable_logged {
            self.is_unreadable_logged = true;
            log::warn!("event=notice-unreadable server={server} born={born}");
        }
        if let Some(wait) = notice.rejects_for.filter(|wait| !wait.is_zero()) {
            let settings = notice::Settings::default();
            let rejection = Rejection::new(&settings, wait, now, &mut rand::rng());
            let until = rejection.until().saturating_duration_since(now);
            log::info!(
                "event=server-rejects server={server} born={born} told_ms={} until_ms={}",
                wait.as_millis(),
                until.as_millis()
            );
            match &mut self.rejection {
                Some(known) => known.merge(&rejection),
                None => self.rejection = Some(Box::new(rejection)),
            }
        }
        let is_new = notice.is_leaving && self.record_leaving(now, Origin::Answer, now);
        self.update_pool(now);
        let is_limit_new = match notice.limit {
            Some(_) => self.record_limit(notice.limit, now, Origin::Answer, now),
            None if notice.is_unlimited => self.record_limit(None, sent_at, Origin::Answer, now),
            None => false,
        };
        is_new || is_limit_new
    }

    /// Records how many requests the server takes, if that was said later than what is known; returns
    /// whether it changed.
    fn record_limit(
        &mut self,
        rate: Option<f64>,
        said_at: Instant,
        by: Origin,
        now: Instant,
    ) -> bool {
        let is_new = self.intake.record(rate, said_at, by, &mut rand::rng());
        if is_new {
            let rate = self
                .intake
                .rate()
                .map_or("none".into(), |rate| rate.to_string());
            log::info!(
                "event=server-limit server={} born={} limit={rate} by={by:?} age_ms={}",
                self.registration.server,
                self.registration.born,
                now.saturating_duration_since(said_at).as_millis()
            );
        }
        is_new
    }

    /// Returns the word on its limit that this VM has from the server itself.
    fn limit_word(&self, now: Instant) -> Option<intake::Word> {
        let (rate, said_at, origin) = self.intake.word()?;
        let age = now.saturating_duration_since(said_at);
        let is_passed = origin == Origin::Answer && (rate.is_some() || age < PASSING_TIME);
        let (server, born) = self.run();
        is_passed.then(|| intake::Word {
            server,
            born,
            rate,
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        })
    }

    /// Records that the server leaves; returns whether it counts as leaving only since now.
    fn record_leaving(&mut self, said_at: Instant, by: Origin, now: Instant) -> bool {
        let is_new = self.departure.record_leaving(said_at, by);
        if is_new {
            self.log("server-leaves", by, said_at, now);
        }
        self.update_pool(now);
        is_new
    }

    /// Records that the list lacks the server, as another VM says.
    fn record_missing(&mut self, at: Instant, now: Instant) -> bool {
        let is_new = self.departure.record_missing(at, Origin::Peer);
        if is_new {
            self.log("server-unlisted", Origin::Peer, at, now);
        }
        self.update_pool(now);
        is_new
    }

    fn log(&self, event: &str, by: Origin, said_at: Instant, now: Instant) {
        log::info!(
            "event={event} server={} born={} by={by:?} age_ms={} sequence={}",
            self.registration.server,
            self.registration.born,
            now.saturating_duration_since(said_at).as_millis(),
            self.registration.sequence
        );
    }
}

impl Services {
    /// Records that the store says that a server leaves or is gone, for other VMs.
    pub fn record_left(&self, change: &Change, now: Instant) {
        let (server, topic): (&ServerId, fn(Run) -> Topic) = match change {
            Change::Joined(_) => return,
            Change::Leaving(server) => (server, Topic::Departure),
            Change::Gone(server) => (server, Topic::Listing),
        };
        for set in self.read().values() {
            let mut state = lock(&set.state);
            if let Some(run) = state.servers.get(server).map(Server::run) {
                state.words.leaving.insert(topic(run), now);
            }
        }
    }

    /// Records that this VM read the list from the store: servers that are back in it, and those whose
    /// later reports say that they stay, are used again.
    pub fn record_list_read(&self, now: Instant) {
        for set in self.read().values() {
            let mut state = lock(&set.state);
            let State { servers, words, .. } = &mut *state;
            for server in servers.values_mut() {
                if server.registration.leaving {
                    continue;
                }
                let listing = Topic::Listing(server.run());
                let was_missing = words.leaving.swap_remove(&listing).is_some();
                if server.departure.record_listed(now) || was_missing {
                    words.staying.insert(listing, now);
                    server.log("server-listed", Origin::Store, now, now);
                    server.update_pool(now);
                }
                let sequence = server.registration.sequence;
                if server.departure.record_report(sequence) {
                    let departure = Topic::Departure(server.run());
                    words.leaving.swap_remove(&departure);
                    words.staying.insert(departure, now);
                    server.log("server-stays", Origin::Store, now, now);
                    server.update_pool(now);
                }
            }
        }
    }

    /// Returns the servers that leave by their own word, and those that want nothing from this VM.
    pub fn notices(&self, now: Instant) -> Vec<gateway::Notice> {
        let mut notices = Vec::new();
        for set in self.read().values() {
            for server in lock(&set.state).servers.values() {
                let known = server.departure.known();
                let until = server.rejection.as_ref().map(|rejection| rejection.until());
                let left = until.map(|until| until.saturating_duration_since(now));
                let limit = server.intake.word();
                let limit = limit.and_then(|(rate, at, origin)| Some((rate?, at, origin)));
                if known.is_none() && left.is_none() && limit.is_none() {
                    continue;
                }
                notices.push(gateway::Notice {
                    server: server.registration.server.clone(),
                    leaves: known.map(|(said_at, origin)| gateway::Departure {
                        origin,
                        age_ms: millis(now.saturating_duration_since(said_at)),
                    }),
                    rejects_ms: left.map(millis),
                    limit: limit.map(|(rate, said_at, origin)| gateway::Intake {
                        rate,
                        origin,
                        age_ms: millis(now.saturating_duration_since(said_at)),
                    }),
                });
            }
        }
        notices
    }

    /// Returns the words that this VM knows first-hand and passes on.
    pub fn words(&self, now: Instant) -> PassedWords {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < PASSING_TIME;
        let mut passed = PassedWords::default();
        for set in self.read().values() {
            let mut state = lock(&set.state);
            let limits = state.servers.values();
            passed
                .limits
                .extend(limits.filter_map(|server| server.limit_word(now)));
            let words = &mut state.words;
            words.leaving.retain(|_, at| is_recent(at));
            words.staying.retain(|_, at| is_recent(at));
            passed.leaving.extend(to_words(&words.leaving, now));
            passed.staying.extend(to_words(&words.staying, now));
        }
        passed.limit();
        passed
    }

    /// Applies the words of another VM.
    pub fn apply_words(&self, leaving: &[Word], staying: &[Word], now: Instant) {
        if leaving.is_empty() && staying.is_empty() {
            return;
        }
        let mut heard = lock(&self.heard_words);
        let HeardWords {
            leaving: heard_leaving,
            staying: heard_staying,
        } = &mut *heard;
        self.apply_new(leaving, heard_leaving, now, |server, topic, said_at| {
            match topic {
                Topic::Departure(_) => server.record_leaving(said_at, Origin::Peer, now),
                Topic::Listing(_) => server.record_missing(said_at, now),
            };
        });
        self.apply_new(staying, heard_staying, now, |server, topic, said_at| {
            let (event, stays) = match topic {
                Topic::Departure(_) => ("server-stays", server.departure.record_staying(said_at)),
                Topic::Listing(_) => ("server-listed", server.departure.record_listed(said_at)),
            };
            if stays {
                server.log(event, Origin::Peer, said_at, now);
                server.update_pool(now);
            }
        });
    }

    /// Applies the limits of servers that another VM passes on.
    pub fn apply_limits(&self, words: &[intake::Word], now: Instant) {
        for word in words {
            let age = Duration::from_millis(word.age_ms.into());
            let Some(said_at) = now.checked_sub(age) else {
                continue;
            };
            self.with_server(word.server, |server| {
                if server.registration.born == word.born {
                    server.record_limit(word.rate, said_at, Origin::Peer, now);
                }
            });
        }
    }

    fn apply_new(
        &self,
        words: &[Word],
        heard: &mut IndexMap<Topic, Instant>,
        now: Instant,
        apply: impl Fn(&mut Server, Topic, Instant),
    ) {
        heard.retain(|_, at| now.saturating_duration_since(*at) < PASSING_TIME * 2);
        for word in words {
            let age = Duration::from_millis(word.age_ms.into());
            let Some(said_at) = now.checked_sub(age) else {
                continue;
            };
            let run = (word.server, word.born);
            let topic = match word.is_from_list {
                true => Topic::Listing(run),
                false => Topic::Departure(run),
            };
            if heard
                .get(&topic)
                .is_some_and(|at| said_at <= *at + REPEATED)
            {
                continue;
            }
            let found = self.with_server(word.server, |server| {
                if server.registration.born == word.born {
                    apply(server, topic, said_at);
                }
            });
            if found {
                heard.insert(topic, said_at);
            }
        }
    }
}

impl PassedWords {
    /// Adds the words of another VM of the data centre, heard `passed` ago.
    pub fn merge(&mut self, report: &Report, passed: Duration) {
        let passed_ms = u32::try_from(passed.as_millis()).unwrap_or(u32::MAX);
        let aged = |word: &Word| Word {
            age_ms: word.age_ms.saturating_add(passed_ms),
            ..*word
        };
        self.leaving.extend(report.leaving.iter().map(aged));
        self.staying.extend(report.staying.iter().map(aged));
        self.limits
            .extend(report.limits.iter().map(|word| intake::Word {
                age_ms: word.age_ms.saturating_add(passed_ms),
                ..*word
            }));
    }

    /// Keeps the newest words on each run, and at most [`MAX_WORDS`] of a kind.
    pub fn limit(&mut self) {
        for words in [&mut self.leaving, &mut self.staying] {
            let topic = |word: &Word| (word.server, word.born, word.is_from_list);
            keep_newest(words, topic, |word| word.age_ms);
        }
        let run = |word: &intake::Word| (word.server, word.born);
        keep_newest(&mut self.limits, run, |word| word.age_ms);
    }
}

/// Keeps the newest of the words with the same key, and at most [`MAX_WORDS`].
fn keep_newest<T, K: Ord>(words: &mut Vec<T>, key: impl Fn(&T) -> K, age_ms: impl Fn(&T) -> u32) {
    words.sort_by_key(|word| (key(word), age_ms(word)));
    words.dedup_by_key(|word| key(word));
    words.sort_by_key(|word| age_ms(word));
    words.truncate(MAX_WORDS);
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn to_words(words: &IndexMap<Topic, Instant>, now: Instant) -> impl Iterator<Item = Word> {
    words.iter().map(move |(topic, at)| {
        let age = now.saturating_duration_since(*at).as_millis();
        let ((server, born), is_from_list) = match *topic {
            Topic::Departure(run) => (run, false),
            Topic::Listing(run) => (run, true),
        };
        Word {
            server,
            born,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            is_from_list,
        }
    })
}
