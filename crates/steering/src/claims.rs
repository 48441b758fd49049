//! At-most-once execution per request id.
//!
//! [`Register::claim`] is called before a request on a non-idempotent route is queued, and
//! [`Register::finish`] with its outcome. A VM answers queries about an id that was first sent to
//! it with [`Register::settle`]. Ids that name no VM are claimed through [`table::Batch`].

mod id;
pub mod table;

pub use id::{Id, Key, prefix};

use crate::attempt::{Attempt, Outcome, Refusal, Uncertainty};
use base::id::{Incarnation, Vm};
use indexmap::IndexMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

base::value! {
    /// Bounds of a register.
    pub struct Settings {
        /// Number of shards, each with its own lock.
        pub shards: usize,
        /// Maximum number of claims in one shard; further first sends are refused as not run.
        pub per_shard: usize,
        /// Maximum time until the expiry of an id.
        pub retention: Duration,
    }

    /// State of a claimed id.
    pub enum State {
        /// The request is queued or with a backend server.
        InFlight,
        /// The request has ended with this outcome.
        Finished(Outcome),
        /// The id was closed before its request arrived and never runs.
        Closed,
    }

    /// Result of a claim: how to handle the request.
    pub enum Claim {
        /// The id is claimed by this call: run the request.
        Run,
        /// The id was used before: answer with this outcome.
        Known(Outcome),
        /// Query this VM, which settles the id; if it is unreachable, the outcome is
        /// [`Uncertainty::VmUnreachable`].
        Query(Vm),
        /// The id names no VM: claim a row of the table.
        Table,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            shards: 16,
            per_shard: 16_384,
            retention: Duration::from_secs(900),
        }
    }
}

impl State {
    /// Returns the outcome that answers a resend of the id.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::InFlight => Outcome::Unknown(Uncertainty::InFlight),
            Self::Finished(Outcome::Served) => Outcome::ServedBefore,
            Self::Finished(outcome) => outcome.clone(),
            Self::Closed => Attempt::new(false).refuse(Refusal::ClaimExpired),
        }
    }
}

#[derive(Debug)]
struct Record {
    state: State,
    expires: u64,
}

type Shard = IndexMap<Key, Record>;

/// Claims on the ids that name this incarnation of this VM.
///
/// A record is removed only once its id has expired, and an expired id is never run. So an id
/// that is absent and not expired has never run here.
#[derive(Debug)]
pub struct Register {
    vm: Vm,
    incarnation: Incarnation,
    settings: Settings,
    shards: Box<[Mutex<Shard>]>,
    /// Latest wall-clock time seen, in seconds; never decreases, so that no expired id becomes
    /// valid when the clock is set back.
    latest_time: AtomicU64,
}

impl Register {
    /// Creates an empty register.
    pub fn new(vm: Vm, incarnation: Incarnation, settings: Settings) -> Self {
        let shards = (0..settings.shards.max(1)).map(|_| Mutex::default());
        Self {
            vm,
            incarnation,
            shards: shards.collect(),
            settings,
            latest_time: AtomicU64::new(0),
        }
    }

    /// Advances the time to `unix_seconds`, unless it is later already, and returns it.
    fn advance(&self, unix_seconds: u64) -> u64 {
        let before = self.latest_time.fetch_max(unix_seconds, Ordering::AcqRel);
        before.max(unix_seconds)
    }

    fn shard(&self, key: &Key) -> MutexGuard<'_, Shard> {
        let index = usize::from(key[0]) % self.shards.len();
        let shard = self.shards[index].lock();
        shard.unwrap_or_else(PoisonError::into_inner)
    }

    /// Claims the id of a request. `incarnation_of` returns the live incarnation of another VM,
    /// or none if it is unknown to the membership view.
    pub fn claim(
        &self,
        workspace: &str,
        request: &str,
        incarnation_of: impl Fn(&str) -> Option<Incarnation>,
        unix_seconds: u64,
    ) -> Claim {
        let Some(id) = Id::parse(request) else {
            return Claim::Table;
        };
        if *id.vm != *self.vm {
            return match incarnation_of(&id.vm) {
                Some(live) if live == id.incarnation => Claim::Query(id.vm),
                Some(_) => Claim::Known(Outcome::Unknown(Uncertainty::IncarnationDead)),
                None => Claim::Known(Outcome::Unknown(Uncertainty::VmUnreachable)),
            };
        }
        if id.incarnation != self.incarnation {
            return Claim::Known(Outcome::Unknown(Uncertainty::IncarnationDead));
        }
        let key = id::key(workspace, request);
        match self.insert(key, id.expires, State::InFlight, unix_seconds) {
            None => Claim::Run,
            Some(outcome) => Claim::Known(outcome),
        }
    }

    /// Records `state` for a new id, or returns the outcome of the existing record.
    fn insert(&self, key: Key, expires: u64, state: State, unix_seconds: u64) -> Option<Outcome> {
        let now = self.advance(unix_seconds);
        let mut shard = self.shard(&key);
        if let Some(record) = shard.get(&key) {
            return Some(record.state.outcome());
        }
        if expires <= now {
            return Some(Outcome::Unknown(Uncertainty::OutcomeLost));
        }
        let refuse = |reason| Some(Attempt::new(false).refuse(reason));
        if expires > now.saturating_add(self.settings.retention.as_secs()) {
            return refuse(Refusal::Invalid);
        }
        if shard.len() >= self.settings.per_shard {
            shard.retain(|_, r| r.expires > now || r.state == State::InFlight);
        }
        if shard.len() >= self.settings.per_shard {
            return refuse(Refusal::ClaimsFull);
        }
        shard.insert(key, Record { state, expires });
        None
    }

    /// Records the outcome of a request that was claimed here.
    ///
    /// "Not run" also uses up the id: otherwise a late copy of the request could run after that
    /// answer. The caller sends the request with a new id.
    pub fn finish(&self, workspace: &str, request: &str, outcome: &Outcome) {
        let key = id::key(workspace, request);
        if let Some(record) = self.shard(&key).get_mut(&key) {
            record.state = State::Finished(outcome.clone());
        }
    }

    /// Answers another VM's query about an id of this incarnation.
    ///
    /// An unknown id is closed first, so that "not run" stays true when the first send arrives
    /// late.
    pub fn settle(&self, workspace: &str, request: &str, unix_seconds: u64) -> Outcome {
        let own = |id: &Id| *id.vm == *self.vm && id.incarnation == self.incarnation;
        let Some(id) = Id::parse(request).filter(own) else {
            return Outcome::Unknown(Uncertainty::IncarnationDead);
        };
        let key = id::key(workspace, request);
        self.insert(key, id.expires, State::Closed, unix_seconds)
            .unwrap_or_else(|| State::Closed.outcome())
    }
}
