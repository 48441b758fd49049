//! Halted releases.

use base::id::{Release, Route};
use indexmap::IndexMap;
use indexmap::map::Entry;
use std::fmt;

base::message! {
    /// Why a release was halted or rolled back.
    #[derive(Eq, PartialOrd, Ord)]
    #[serde(rename_all = "kebab-case")]
    pub enum Reason {
        /// Requests of this route fail more often on the new version.
        Failures(Route),
        /// Requests of this route exceed this number of milliseconds more often.
        Latency(Route, u64),
        /// The remaining steps don't fit before the finish time; names the missing condition.
        CannotFinish(Box<str>),
        /// Not every VM confirmed the last step before the finish time.
        NotConfirmed,
        /// An operator halted it.
        Operator(Box<str>),
        /// The reason has not arrived yet. Every other reason is smaller, so it replaces this one.
        Unknown,
    }

    /// Grow-only set of halted releases.
    ///
    /// Releases are never removed. Of different reasons for the same release the smallest is kept,
    /// so the result does not depend on the order of merging.
    #[derive(Default)]
    #[serde(transparent, rename = "Halt")]
    pub struct HaltSet {
        reasons: IndexMap<Release, Reason>,
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Failures(route) => write!(f, "route `{route}` fails more often"),
            Self::Latency(route, millis) => {
                write!(f, "route `{route}` exceeds {millis} ms more often")
            }
            Self::CannotFinish(condition) => write!(f, "can't finish in time: {condition}"),
            Self::NotConfirmed => write!(f, "not every VM confirmed the last step in time"),
            Self::Operator(text) => write!(f, "halted by an operator: {text}"),
            Self::Unknown => write!(f, "halted, the reason has not arrived yet"),
        }
    }
}

impl HaltSet {
    /// Adds a release; returns whether the set changed.
    pub fn add(&mut self, release: &Release, reason: &Reason) -> bool {
        match self.reasons.entry(release.clone()) {
            Entry::Vacant(entry) => {
                entry.insert(reason.clone());
                true
            }
            Entry::Occupied(mut entry) if reason < entry.get() => {
                entry.insert(reason.clone());
                true
            }
            Entry::Occupied(_) => false,
        }
    }

    /// Merges `other` into the set; returns whether the set changed.
    pub fn merge(&mut self, other: &Self) -> bool {
        other
            .reasons
            .iter()
            .fold(false, |changed, (release, reason)| {
                self.add(release, reason) || changed
            })
    }

    /// Returns the halted releases with their reasons.
    pub fn reasons(&self) -> impl Iterator<Item = (&Release, &Reason)> {
        self.reasons.iter()
    }

    /// Returns why a release is halted, if it is.
    pub fn reason(&self, release: &str) -> Option<&Reason> {
        self.reasons.get(release)
    }

    /// Returns the reason of a roll-back: the recorded one, or that of this set if the owner
    /// recorded the roll-back before the reason reached it.
    pub fn rollback_reason<'a>(&'a self, release: &str, recorded: &'a Reason) -> &'a Reason {
        match recorded {
            Reason::Unknown => self.reason(release).unwrap_or(recorded),
            _ => recorded,
        }
    }
}
