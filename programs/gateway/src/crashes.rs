//! Keeps the requests that are refused for their crashes in the store.
//!
//! They are a row of the member table, which each VM reads at its start anyway. One VM writes the row:
//! the delegate that leads, or the first of all VMs while none is known to read the store.

use crate::reader::MEMBER_TABLE;
use crate::shared::Shared;
use adapter::store::{self, Client, Put, Rows, TransactionResult};
use base::id::Vm;
use base::sync::lock;
use indexmap::IndexSet;
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::affinity::Digest;
use steering::crashes::Count;
use steering::crashes::record::Row;
use steering::membership::rendezvous;

/// Key of the row; no VM has this name, and its content is not a member entry.
pub const RECORD_KEY: &str = "crashes";
/// Minimum time between two writes.
const MIN_WRITE_INTERVAL: Duration = Duration::from_secs(1);
/// Time between a change and its write, in which further requests join it.
const BATCH_TIME: Duration = Duration::from_millis(100);
/// Time between two checks while requests are refused: another VM may have to write them now.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time to the next attempt after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Writes the record of crashing requests where it is this VM's turn, until the task is dropped.
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
        tokio::time::sleep(BATCH_TIME).await;
        let (refused, answered) = {
            let crashes = lock(&shared.crashes);
            (crashes.refused(Instant::now()), crashes.answered().clone())
        };
        is_quiet = refused.is_empty() && answered.is_empty();
        let refused = match is_writer(&shared) {
            true => refused,
            false => Vec::new(),
        };
        match write(&shared, &client, &refused, &answered).await {
            Ok(true) => tokio::time::sleep(MIN_WRITE_INTERVAL).await,
            Ok(false) => {}
            Err(error) => {
                log::warn!("event=crashes-unrecorded error=\"{error}\"");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Returns whether this VM writes what all VMs refuse.
fn is_writer(shared: &Shared) -> bool {
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

/// Adds and removes requests; returns whether the row was written. The row as last read is tried
/// first where requests are only added: the leader reads it regularly.
async fn write(
    shared: &Shared,
    client: &Client,
    refused: &[Count],
    answered: &IndexSet<Digest>,
) -> Result<bool, store::Error> {
    if refused.is_empty() && answered.is_empty() {
        return Ok(false);
    }
    let is_current = answered.is_empty() && lock(&shared.crash_record).is_read();
    if !is_current {
        let rows = client.rows(MEMBER_TABLE).await?;
        apply(shared, &rows, Instant::now());
    }
    let (version, change) = {
        let record = lock(&shared.crash_record);
        let change = record.change(refused, answered, Instant::now());
        (record.row().version, change)
    };
    let Some(entries) = change else {
        lock(&shared.crashes).settle_answered(answered);
        return Ok(false);
    };
    let put = Put {
        table: MEMBER_TABLE,
        key: RECORD_KEY.into(),
        expected: Some(version),
        // Numbers always encode.
        value: Some(serde_json::to_vec(&entries).unwrap_or_default()),
    };
    match client.transact(&[put]).await? {
        TransactionResult::Applied(version) => {
            let count = entries.len();
            log::info!("event=crashes-recorded entries={count} row_version={version}");
            lock(&shared.crash_record).written(Row { entries, version });
            lock(&shared.crashes).settle_answered(answered);
            Ok(true)
        }
        // Another VM wrote the row; it is read again before the next attempt.
        TransactionResult::Conflict => {
            lock(&shared.crash_record).forget();
            Ok(false)
        }
    }
}

/// Applies the record in the member table, which is none before the first crashing request.
pub fn apply(shared: &Shared, rows: &Rows, now: Instant) {
    let stored = rows.rows.iter().find(|row| &*row.key == RECORD_KEY);
    let decoded = stored.and_then(|row| {
        let parsed = serde_json::from_slice(row.value.as_deref()?);
        parsed
            .inspect_err(|error| log::warn!("event=crash-record-unreadable error=\"{error}\""))
            .ok()
    });
    let row = Row {
        entries: decoded.unwrap_or_default(),
        version: stored.map_or(0, |row| row.version),
    };
    let mut record = lock(&shared.crash_record);
    record.read(row, rows.version, rows.now_ms, now);
    let counts: Vec<(Count, Instant)> = record.fresh(now).collect();
    drop(record);
    let mut crashes = lock(&shared.crashes);
    if crashes.restore(counts) {
        log::info!(
            "event=crashes-restored requests={}",
            crashes.refused(now).len()
        );
    }
}
