//! Claims on ids that name no VM, written in batches to rows of the platform's table.
//!
//! There is one [`Batch`] per row `claim/<shard>`. [`Batch::add`] adds requests; [`Batch::start`]
//! takes the row just read and returns the [`Write`] to send. Its answer goes to
//! [`Batch::answered`], or the row read back after a lost answer to [`Batch::settle`]. A request
//! runs only on [`Verdict::Run`].

use super::id;
use crate::attempt::{Attempt, Outcome, Refusal, Uncertainty};
use base::id::Operation;
use indexmap::IndexMap;

/// Number of rows among which claims are divided.
pub const SHARDS: u8 = 64;
/// Maximum number of ids of one row remembered as refused; further ones end as unknown.
const MAX_REFUSED: usize = 4096;

base::message! {
    /// One claim in a row.
    pub struct Claim {
        /// Id of the write that made the claim.
        pub operation: Operation,
        /// Wall-clock seconds since the Unix epoch after which the claim is removed.
        pub expires: u64,
    }

    /// Content of a row: claims by digest.
    #[derive(Default)]
    pub struct Row {
        /// Claims by the digest of workspace and id in hexadecimal.
        pub claims: IndexMap<Box<str>, Claim>,
    }
}

base::value! {
    /// A compare-and-set write to send.
    pub struct Write {
        /// Version that the row must have for the write to take effect.
        pub expected: u64,
        /// Id of the write.
        pub operation: Operation,
        /// New content of the row.
        pub row: Row,
    }

    /// Decision on one request.
    pub enum Verdict {
        /// The claim was written by this VM: run the request.
        Run,
        /// Answer with this outcome.
        Known(Outcome),
    }

    /// Answer to a write.
    pub enum Answer {
        /// The row was written.
        Written,
        /// The row had another version: read it back and settle.
        Conflict,
        /// The write had no effect, and the table is unavailable.
        Unavailable,
    }
}

/// Returns the row of an id, and the digest under which it is claimed.
pub fn locate(workspace: &str, request: &str) -> (u8, Box<str>) {
    let key = id::key(workspace, request);
    let digest: String = key.iter().map(|byte| format!("{byte:02x}")).collect();
    (key[0] % SHARDS, digest.into())
}

#[derive(Debug, Clone, Copy)]
struct Waiting {
    expires: u64,
    resend: bool,
}

/// Claims on one row that wait for a write.
#[derive(Debug, Default)]
pub struct Batch {
    waiting: IndexMap<Box<str>, Waiting>,
    sent: Option<Write>,
    /// Ids refused as not run, until they expire, so that a late copy never runs.
    refused: IndexMap<Box<str>, u64>,
}

/// Verdicts by digest.
pub type Verdicts = Vec<(Box<str>, Verdict)>;

impl Batch {
    /// Adds a claim; returns the outcome if the request must not run.
    ///
    /// `resend` states that the caller sent the id before: then an earlier send may have run at
    /// another VM, and a claim that can't be written ends as unknown instead of not run.
    pub fn add(&mut self, digest: Box<str>, expires: u64, resend: bool) -> Option<Outcome> {
        if self.refused.contains_key(&digest) {
            return Some(if resend {
                Outcome::Unknown(Uncertainty::ClaimsUnavailable)
            } else {
                Attempt::new(false).refuse(Refusal::ClaimExpired)
            });
        }
        if self.waiting.contains_key(&digest) {
            return Some(Outcome::Unknown(Uncertainty::InFlight));
        }
        self.waiting.insert(digest, Waiting { expires, resend });
        None
    }

    /// Starts a write of all waiting claims to the row at `version`; ids that the row contains are
    /// answered at once. Starts nothing while the outcome of a write is unknown.
    pub fn start(
        &mut self,
        mut row: Row,
        version: u64,
        operation: Operation,
        unix_seconds: u64,
    ) -> (Option<Write>, Verdicts) {
        if self.sent.is_some() {
            return (None, Vec::new());
        }
        row.claims.retain(|_, claim| claim.expires > unix_seconds);
        self.refused.retain(|_, expires| *expires > unix_seconds);
        let known = |digest: &str| row.claims.contains_key(digest);
        let taken: Vec<_> = self.waiting.keys().filter(|d| known(d)).cloned().collect();
        let lost = || Verdict::Known(Outcome::Unknown(Uncertainty::OutcomeLost));
        taken.iter().for_each(|digest| {
            self.waiting.swap_remove(digest);
        });
        let verdicts = taken.into_iter().map(|digest| (digest, lost())).collect();
        if self.waiting.is_empty() {
            return (None, verdicts);
        }
        row.claims
            .extend(self.waiting.iter().map(|(digest, waiting)| {
                let operation = operation.clone();
                let expires = waiting.expires;
                (digest.clone(), Claim { operation, expires })
            }));
        let write = Write {
            expected: version,
            operation,
            row,
        };
        self.sent = Some(write.clone());
        (Some(write), verdicts)
    }

    /// Applies the answer to the write `operation`; an answer to an earlier write changes nothing.
    ///
    /// After a conflict the row must be read and passed to [`Batch::settle`]: the conflict may be
    /// with an earlier copy of the same write.
    pub fn answered(&mut self, operation: &str, answer: &Answer) -> Verdicts {
        let current = |write: &mut Write| *write.operation == *operation;
        if *answer == Answer::Conflict {
            return Vec::new();
        }
        match (self.sent.take_if(current), answer) {
            (Some(write), Answer::Written) => self.confirm(&write),
            (Some(write), _) => self.refuse(&write),
            (None, _) => Vec::new(),
        }
    }

    /// Determines the outcome of a write after a lost answer or a conflict, from the row read back.
    ///
    /// If the row is unchanged, the write may still take effect; sending it again is safe, because
    /// only one write can follow a version. Returns the write to send again.
    pub fn settle(&mut self, row: &Row, version: u64) -> (Option<Write>, Verdicts) {
        let Some(write) = self.sent.take() else {
            return (None, Vec::new());
        };
        if version == write.expected {
            self.sent = Some(write.clone());
            return (Some(write), Vec::new());
        }
        let ours = |claim: &Claim| claim.operation == write.operation;
        if row.claims.values().any(ours) {
            return (None, self.confirm(&write));
        }
        // Another write came first, so this one never takes effect: its claims wait for the next.
        (None, Vec::new())
    }

    /// Abandons a write whose outcome isn't known in time: its first sends are refused as not run.
    ///
    /// The write may take effect later; its ids are then used up without having run.
    pub fn abandon(&mut self) -> Verdicts {
        match self.sent.take() {
            Some(write) => self.refuse(&write),
            None => Vec::new(),
        }
    }

    fn refuse(&mut self, write: &Write) -> Verdicts {
        let mut capacity = MAX_REFUSED.saturating_sub(self.refused.len());
        let mut verdicts = Vec::new();
        for (digest, waiting) in self.take_claims(write) {
            let outcome = if waiting.resend || capacity == 0 {
                Outcome::Unknown(Uncertainty::ClaimsUnavailable)
            } else {
                capacity -= 1;
                self.refused.insert(digest.clone(), waiting.expires);
                Attempt::new(false).refuse(Refusal::ClaimsUnavailable)
            };
            verdicts.push((digest, Verdict::Known(outcome)));
        }
        verdicts
    }

    fn confirm(&mut self, write: &Write) -> Verdicts {
        let ended = self.take_claims(write).into_keys();
        ended.map(|digest| (digest, Verdict::Run)).collect()
    }

    /// Removes the claims of one write from the waiting ones; those added since keep waiting.
    fn take_claims(&mut self, write: &Write) -> IndexMap<Box<str>, Waiting> {
        let ours = |digest: &str| {
            let claim = write.row.claims.get(digest);
            claim.is_some_and(|claim| claim.operation == write.operation)
        };
        let waiting = std::mem::take(&mut self.waiting);
        let (taken, rest) = waiting.into_iter().partition(|(digest, _)| ours(digest));
        self.waiting = rest;
        taken
    }
}
