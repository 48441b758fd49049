//! Keeps the crashes of requests in the store, and records a suspect before it is sent on.
//!
//! The rows are in the member table, which each VM reads at its start anyway. Each VM writes the
//! crashes that it observed to its own row. The requests that are refused are also written by one
//! VM for all, for those that can't write: the delegate that leads, or the first of all VMs while
//! none is known to read the store.

use crate::reader::MEMBER_TABLE;
use crate::shared::Shared;
use adapter::store::{self, Client, Put, Row as StoreRow, Rows, TransactionResult};
use base::http::{Body, json, text};
use base::id::Vm;
use base::sync::lock;
use hyper::{Response, StatusCode};
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::affinity::Digest;
use steering::crashes::record::{Entry, Row};
use steering::crashes::{SUSPECT_CRASHES, Trial};
use steering::membership::rendezvous;
use tokio::time::timeout_at;

/// Beginning of the keys of the rows; no VM has such a name, and their content is no member entry.
/// Earlier versions kept one row with this key alone.
pub const RECORD_KEY: &str = "crashes";
/// Minimum time between two writes if no request is a suspect.
const MIN_WRITE_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two checks while requests are refused: another VM may have to write them now.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time to the next attempt after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Longest time for which a suspect waits until it is on record.
const RECORD_TIMEOUT: Duration = Duration::from_millis(300);

/// Returns the key of a VM's row.
fn row_key(vm: &Vm) -> Box<str> {
    format!("{RECORD_KEY}/{vm}").into()
}

/// Writes the row of this VM when it has to change, until the task is dropped.
pub async fn run(shared: Arc<Shared>, client: Client) {
    let mut is_quiet = true;
    loop {
        let changed = shared.crashes_changed.notified();
        match is_quiet {
            true => changed.await,
            false => {
                let _ = tokio::time::timeout(CHECK_INTERVAL, changed).await;
            }
        }
        is_quiet = lock(&shared.crashes)
            .refused(Instant::now())
            .next()
            .is_none();
        match write(&shared, &client).await {
            Ok(true) => {
                let suspected = shared.suspect_changed.notified();
                let _ = tokio::time::timeout(MIN_WRITE_INTERVAL, suspected).await;
                is_quiet = false;
            }
            Ok(false) => {}
            Err(error) => {
                log::warn!("event=crashes-unrecorded error=\"{error}\"");
                tokio::time::sleep(RETRY_DELAY).await;
                is_quiet = false;
            }
        }
    }
}

/// Returns whether this VM also writes what all VMs refuse.
fn is_second_writer(shared: &Shared) -> bool {
    if shared.is_leader(RECORD_KEY) {
        return true;
    }
    let now = Instant::now();
    let delegate = shared.delegate(now);
    if shared.reads_store(now) || delegate.is_some_and(|delegate| delegate.known.reads) {
        return false;
    }
    let fleet = lock(&shared.fleet);
    if fleet.remote(now).any(|peer| peer.report.known.reads) {
        return false;
    }
    let others: Vec<Vm> = fleet.alive(now).map(|alive| alive.vm.clone()).collect();
    rendezvous::rank(RECORD_KEY, &shared.settings.vm, &others) == 0
}

/// Writes the row if it has to change; returns whether it was written.
async fn write(shared: &Shared, client: &Client) -> Result<bool, store::Error> {
    let is_second = is_second_writer(shared);
    let change = || {
        let crashes = lock(&shared.crashes);
        lock(&shared.crash_record).change(&crashes, is_second, Instant::now())
    };
    let Some(mut entries) = change() else {
        return Ok(false);
    };
    if !lock(&shared.crash_record).is_read() {
        let rows = client.rows(MEMBER_TABLE).await?;
        apply(shared, &rows, Instant::now());
        let Some(changed) = change() else {
            return Ok(false);
        };
        entries = changed;
    }
    let put = Put {
        table: MEMBER_TABLE,
        key: row_key(&shared.settings.vm),
        expected: Some(lock(&shared.crash_record).row().version),
        // Numbers always encode.
        value: (!entries.is_empty()).then(|| serde_json::to_vec(&entries).unwrap_or_default()),
    };
    match client.transact(&[put]).await? {
        TransactionResult::Applied(version) => {
            let count = entries.len();
            log::info!("event=crashes-recorded entries={count} row_version={version}");
            let version = if entries.is_empty() { 0 } else { version };
            lock(&shared.crash_record).written(Row { entries, version });
            shared.crashes_recorded.notify_waiters();
            Ok(true)
        }
        // A delayed write of an earlier run; the row is read again before the next attempt.
        TransactionResult::Conflict => {
            lock(&shared.crash_record).forget();
            shared.crashes_changed.notify_one();
            Ok(false)
        }
    }
}

/// Waits until a trial is on record; returns whether the request may be sent.
///
/// A suspect is also sent if the store does not answer in time: callers of a request that was
/// interrupted twice by chance would otherwise wait for the store. A request that was refused
/// before is not.
pub async fn wait_recorded(shared: &Shared, request: Digest, trial: Trial) -> bool {
    let until = Instant::now() + RECORD_TIMEOUT;
    shared.suspect_changed.notify_one();
    shared.crashes_changed.notify_one();
    loop {
        let recorded = shared.crashes_recorded.notified();
        tokio::pin!(recorded);
        recorded.as_mut().enable();
        if lock(&shared.crash_record).holds(trial.origin, request, trial.crashes) {
            return true;
        }
        if timeout_at(until.into(), recorded).await.is_err() {
            log::warn!(
                "event=trial-unrecorded request={request:x} crashes={} sent={}",
                trial.crashes,
                !trial.was_refused
            );
            return !trial.was_refused;
        }
    }
}

/// Whether a row of the member table holds crashes.
fn is_record(row: &StoreRow) -> bool {
    row.key
        .strip_prefix(RECORD_KEY)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

fn decode(row: &StoreRow) -> Vec<Entry> {
    let parsed = row.value.as_deref().map(serde_json::from_slice);
    let entries = parsed.transpose().inspect_err(|error| {
        log::warn!(
            "event=crash-record-unreadable key={} error=\"{error}\"",
            row.key
        );
    });
    entries.ok().flatten().unwrap_or_default()
}

/// Applies the crashes in the member table.
pub fn apply(shared: &Shared, rows: &Rows, now: Instant) {
    let own_key = row_key(&shared.settings.vm);
    let own = rows.rows.iter().find(|row| row.key == own_key);
    let row = Row {
        entries: own.map(decode).unwrap_or_default(),
        version: own.map_or(0, |row| row.version),
    };
    let record = {
        let mut record = lock(&shared.crash_record);
        record.read(row, rows.version, rows.now_ms, now);
        record.clone()
    };
    let mut crashes = lock(&shared.crashes);
    let before = crashes.refused(now).count();
    for row in rows.rows.iter().filter(|row| is_record(row)) {
        let entries = decode(row);
        for (count, at) in record.counts(&entries, now) {
            crashes.merge(count, at, now);
        }
    }
    let refused = crashes.refused(now).count();
    if refused > before {
        log::info!("event=crashes-restored requests={refused}");
    }
}

/// Returns the rows of the member table without an entry that still counts, to be removed.
pub fn expired_rows(shared: &Shared, rows: &Rows, now: Instant) -> Vec<Put> {
    if !shared.is_leader(RECORD_KEY) {
        return Vec::new();
    }
    let own_key = row_key(&shared.settings.vm);
    let record = lock(&shared.crash_record).clone();
    let records = rows
        .rows
        .iter()
        .filter(|row| is_record(row) && row.key != own_key);
    let expired = records.filter(|row| {
        let entries = decode(row);
        let mut counts = record.counts(&entries, now);
        !counts.any(|(count, at)| steering::crashes::is_remembered(&count, at, now))
    });
    expired
        .map(|row| Put {
            table: MEMBER_TABLE,
            key: row.key.clone(),
            expected: Some(row.version),
            value: None,
        })
        .collect()
}

/// Answers an operator who allows a request again.
pub fn allow(digest: &str, shared: &Shared) -> Response<Body> {
    let Ok(request) = Digest::from_str_radix(digest, 16) else {
        return text(StatusCode::BAD_REQUEST, "the digest is not hexadecimal\n");
    };
    let was_suspect = shared.clear(request, Instant::now());
    log::info!("event=crashes-cleared request={request:x} known={was_suspect}");
    json(StatusCode::OK, &was_suspect)
}

/// What the end of a send says about the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// A server ran it and answered.
    Ran,
    /// The server ended while it had the request.
    Crashed,
    /// Neither.
    Open,
}

impl Shared {
    /// Clears a request; returns whether it was a suspect. The other VMs learn of it.
    pub fn clear(&self, request: Digest, now: Instant) -> bool {
        let was_suspect = lock(&self.crashes).record_answer(request, now);
        if was_suspect {
            self.report_requested.notify_one();
            self.crashes_changed.notify_one();
        }
        was_suspect
    }

    /// Records the end of a send. A trial is counted as a crash already.
    pub fn record_end(
        &self,
        request: Digest,
        (server, sent_at, trial): (Digest, Instant, Option<Trial>),
        ending: Ending,
        now: Instant,
    ) {
        if trial.is_some() {
            self.metrics.record_trial(ending);
        }
        let is_suspect = {
            let mut crashes = lock(&self.crashes);
            match (ending, trial) {
                (Ending::Ran, _) => {
                    drop(crashes);
                    self.clear(request, now);
                    return;
                }
                (Ending::Open, None) => return,
                (Ending::Open, Some(trial)) => crashes.revert_trial(request, trial, now),
                (Ending::Crashed, Some(_)) => {}
                (Ending::Crashed, None) => {
                    crashes.record_crash(request, server, sent_at, now);
                }
            }
            trial.is_some() || crashes.left(request) >= SUSPECT_CRASHES
        };
        // The other VMs learn of a suspect at once.
        if is_suspect {
            self.report_requested.notify_one();
            self.suspect_changed.notify_one();
        }
        self.crashes_changed.notify_one();
    }
}
