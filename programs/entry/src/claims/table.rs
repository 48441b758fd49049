//! Claims on ids that name no VM, stored in rows of the platform's table.

use base::id;
use indexmap::IndexMap;
use platform::{Client, Error, table};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use steering::attempt::{Attempt, Outcome, Refusal, Uncertainty};
use steering::claims::table::{Answer, Batch, Row, SHARDS, Verdict, Verdicts, Write, locate};
use tokio::sync::oneshot;

/// Most claims in one row; further ones are refused, so that a row stays below 1 MB.
const MAX_ROW_CLAIMS: usize = 4096;

/// Attempts to write a row before its claims are given up.
const MAX_WRITE_ATTEMPTS: usize = 3;

/// All rows of the table; each row is written by one task at a time.
#[derive(Debug)]
pub struct ClaimTable {
    client: Client,
    shards: Box<[Arc<Mutex<Shard>>]>,
}

#[derive(Debug, Default)]
struct Shard {
    batch: Batch,
    waiters: IndexMap<Box<str>, oneshot::Sender<Verdict>>,
    writing: bool,
}

impl Shard {
    fn deliver(&mut self, verdicts: Verdicts) {
        for (digest, verdict) in verdicts {
            if let Some(waiter) = self.waiters.swap_remove(&digest) {
                // If the caller has left, nobody receives the verdict, and its id stays claimed.
                let _ = waiter.send(verdict);
            }
        }
    }
}

fn lock(shard: &Mutex<Shard>) -> MutexGuard<'_, Shard> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ClaimTable {
    /// Creates one empty batch for each row.
    pub fn new(client: Client) -> Self {
        let shards = (0..SHARDS).map(|_| Arc::default()).collect();
        Self { client, shards }
    }

    /// Waits until the id is claimed for this request.
    ///
    /// # Errors
    ///
    /// Returns the outcome if the request must not run.
    pub async fn claim(
        &self,
        workspace: &str,
        request: &str,
        expires: u64,
        resend: bool,
    ) -> Result<(), Outcome> {
        let (number, digest) = locate(workspace, request);
        let shard = &self.shards[usize::from(number)];
        let verdict = {
            let mut state = lock(shard);
            if state.waiters.len() >= MAX_ROW_CLAIMS {
                return Err(Attempt::new(false).refuse(Refusal::ClaimsFull));
            }
            if let Some(outcome) = state.batch.add(digest.clone(), expires, resend) {
                return Err(outcome);
            }
            let (sender, verdict) = oneshot::channel();
            state.waiters.insert(digest, sender);
            if !std::mem::replace(&mut state.writing, true) {
                let writer = Writer {
                    client: self.client.clone(),
                    key: format!("claim/{number}").into(),
                    shard: shard.clone(),
                };
                tokio::spawn(writer.run());
            }
            verdict
        };
        match verdict.await {
            Ok(Verdict::Run) => Ok(()),
            Ok(Verdict::Known(outcome)) => Err(outcome),
            Err(_) => Err(Outcome::Unknown(Uncertainty::ClaimsUnavailable)),
        }
    }
}

/// Writes the claims of one row until no request waits.
struct Writer {
    client: Client,
    key: Box<str>,
    shard: Arc<Mutex<Shard>>,
}

impl Writer {
    async fn run(self) {
        loop {
            {
                let mut shard = lock(&self.shard);
                if shard.waiters.is_empty() {
                    shard.writing = false;
                    return;
                }
            }
            self.write_batch().await;
        }
    }

    async fn write_batch(&self) {
        let read = self.read().await;
        let operation = id::random(&mut rand::rng());
        let (write, has_room) = {
            let mut shard = lock(&self.shard);
            let seconds = base::clock::unix_millis() / 1000;
            let live = |row: &Row| row.claims.values().filter(|c| c.expires > seconds).count();
            let fits = |row: &Row| live(row) + shard.waiters.len() <= MAX_ROW_CLAIMS;
            let has_room = read.as_ref().is_ok_and(|(row, _)| fits(row));
            let (row, version) = read.unwrap_or_default();
            let (write, verdicts) = shard.batch.start(row, version, operation.clone(), seconds);
            shard.deliver(verdicts);
            (write, has_room)
        };
        let Some(write) = write else {
            return;
        };
        if has_room {
            self.write(write).await;
        } else {
            // The row could not be read or has no room, so the write is never sent.
            self.record_answer(&operation, &Answer::Unavailable);
        }
    }

    async fn write(&self, write: Write) {
        let mut next = write;
        for _ in 0..MAX_WRITE_ATTEMPTS {
            match self.send(&next).await {
                Ok(_) => return self.record_answer(&next.operation, &Answer::Written),
                Err(Error::Unavailable(_)) => {
                    return self.record_answer(&next.operation, &Answer::Unavailable);
                }
                Err(error) => log::debug!("claim row {}: {error}", self.key),
            }
            let Ok((row, version)) = self.read().await else {
                continue;
            };
            let mut shard = lock(&self.shard);
            let (retry, verdicts) = shard.batch.settle(&row, version);
            shard.deliver(verdicts);
            match retry {
                Some(retry) => next = retry,
                None => return,
            }
        }
        let mut shard = lock(&self.shard);
        let verdicts = shard.batch.abandon();
        shard.deliver(verdicts);
    }

    fn record_answer(&self, operation: &str, answer: &Answer) {
        let mut shard = lock(&self.shard);
        let verdicts = shard.batch.answered(operation, answer);
        shard.deliver(verdicts);
    }

    async fn read(&self) -> Result<(Row, u64), Error> {
        match self.client.read(&self.key).await {
            Ok(row) => match serde_json::from_value(row.value) {
                Ok(claims) => Ok((claims, row.version)),
                Err(error) => Err(Error::Invalid(error.to_string().into())),
            },
            Err(Error::Absent) => Ok((Row::default(), 0)),
            Err(error) => Err(error),
        }
    }

    async fn send(&self, write: &Write) -> Result<u64, Error> {
        let value = serde_json::to_value(&write.row);
        let write = table::Write {
            expected: write.expected,
            operation: write.operation.clone(),
            value: value.map_err(|error| Error::Invalid(error.to_string().into()))?,
        };
        self.client.write(&self.key, &write).await
    }
}
