//! Reads the platform's table and list, and writes marks to the table.

use crate::record::{self, Growing};
use crate::state::{ControlState, Shared};
use crate::table;
use platform::table::Row;
use platform::{Client, Error};
use std::time::{Duration, Instant};
use steering::config::tracker::{OfferOutcome, ReceiveOutcome};
use steering::config::{Head, PollIntervals};
use steering::membership::Role;
use tokio_util::sync::CancellationToken;

/// Time after which a VM that isn't a reader checks its role again.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
const LIST_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of checks whether objects of a version are overdue.
const FETCH_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Reads until `stop` is cancelled.
pub async fn run(shared: Shared, client: Client, stop: CancellationToken) {
    let tasks = async {
        tokio::join!(
            poll_table(&shared, &client),
            poll_list(&shared, &client),
            fetch_overdue_objects(&shared, &client)
        )
    };
    stop.run_until_cancelled(tasks).await;
}

/// Reads the table while this VM is its data centre's reader or stand-by, or isn't ready yet.
async fn poll_table(shared: &Shared, client: &Client) {
    let poll = PollIntervals {
        reader: shared.settings.poll_interval.0,
        standby: shared.settings.poll_interval.0 * 2,
        ..PollIntervals::default()
    };
    let mut reachable = true;
    loop {
        let now = Instant::now();
        let (role, ready) = shared.read(|known| (known.view.role(now), known.ready()));
        let mut pause = poll.next_delay(role, &mut rand::rng());
        if pause.is_some() || !ready {
            pause = pause.or(Some(poll.standby));
            let result = if role == Role::Reader || !ready {
                refresh(shared, client).await
            } else {
                read_table(shared, client).await
            };
            if result.is_ok() != reachable {
                reachable = result.is_ok();
                match &result {
                    Ok(()) => log::info!("the platform's table is reachable again"),
                    Err(error) => log::warn!("the platform's table can't be read: {error}"),
                }
            }
            if reachable && let Err(error) = write_marks(shared, client).await {
                log::warn!("marks not written to the table yet: {error}");
            }
        }
        tokio::time::sleep(pause.unwrap_or(ROLE_CHECK_INTERVAL)).await;
    }
}

async fn read_table(shared: &Shared, client: &Client) -> Result<(), Error> {
    let sent = Instant::now();
    let rows = read_rows(shared, client).await;
    shared.metrics.record_table_read(rows.is_ok());
    let taken = rows.and_then(|rows| shared.update(|known| apply_rows(shared, known, rows, sent)));
    if taken.is_err() {
        shared.update(|known| known.replica.tracker.record_store_answer(None));
    }
    taken
}

/// Reads all rows once, and fetches the objects of a new version.
///
/// # Errors
///
/// Fails if the table or an object can't be read or is invalid.
pub async fn refresh(shared: &Shared, client: &Client) -> Result<(), Error> {
    read_table(shared, client).await?;
    fetch_objects(shared, client).await
}

/// Reads the head row, and the row of the marks if its version has changed.
async fn read_rows(shared: &Shared, client: &Client) -> Result<Vec<Row>, Error> {
    let mut rows = client.scan(record::PREFIX).await?;
    let Some(row) = rows.iter().find(|row| *row.key == *record::MARKS_VERSION) else {
        return Ok(rows);
    };
    let mark: record::Mark = table::decode(row.value.clone())?;
    if mark.version != shared.read(|known| known.table_marks_version) {
        rows.push(client.read(record::MARKS).await?);
    }
    Ok(rows)
}

fn apply_rows(
    shared: &Shared,
    known: &mut ControlState,
    rows: Vec<Row>,
    sent: Instant,
) -> Result<(), Error> {
    let mut version = 0;
    for row in rows {
        match &*row.key {
            record::HEAD => {
                version = row.version;
                let offer = offer_head(known, row)?;
                shared.metrics.record_offer(&offer);
            }
            record::MARKS => {
                known.table_marks_version = row.version;
                let growing: Growing = table::decode(row.value)?;
                for mark in growing.marks {
                    known.table_marks.add(mark.clone());
                    known.replica.marks.add(mark);
                }
                for (release, reason) in growing.reasons {
                    known.halt_reasons.entry(release).or_insert(reason);
                }
            }
            _ => {}
        }
    }
    // After the marks, so that a VM never becomes ready without them.
    known.replica.tracker.record_store_answer(Some(version));
    known.record_keys_confirmed(sent);
    known.table_read_at = base::clock::unix_millis();
    Ok(())
}

fn offer_head(known: &mut ControlState, row: Row) -> Result<OfferOutcome, Error> {
    let head: Head = table::decode(row.value)?;
    if head.version != row.version {
        return Err(Error::Invalid("the head names another version".into()));
    }
    let (base, changed) = (head.base, head.changed.clone());
    let offer = known.replica.tracker.offer_head(head, base, &changed);
    if offer == OfferOutcome::Contradiction {
        log::error!("two different configurations have version {}", row.version);
    }
    Ok(offer)
}

/// Fetches objects from the store that gossip has not brought in time.
async fn fetch_overdue_objects(shared: &Shared, client: &Client) {
    let mut since = None;
    loop {
        tokio::time::sleep(FETCH_CHECK_INTERVAL).await;
        let now = Instant::now();
        let (fetching, role) = shared.read(|known| {
            (
                known.replica.tracker.fetching_version(),
                known.view.role(now),
            )
        });
        if fetching == 0 {
            since = None;
            continue;
        }
        let at = *since.get_or_insert(now);
        if now >= at + PollIntervals::default().fetch_delay(role)
            && let Err(error) = fetch_objects(shared, client).await
        {
            log::debug!("objects of version {fetching} can't be fetched: {error}");
        }
    }
}

/// Fetches the missing objects of a version: its manifest first, then its files.
async fn fetch_objects(shared: &Shared, client: &Client) -> Result<(), Error> {
    loop {
        let missing = shared.read(|known| known.replica.tracker.missing());
        let mut kept = false;
        for hash in &missing {
            let content = client.get(hash).await?;
            let receipt =
                shared.update(|known| known.replica.tracker.receive_object(hash, &content));
            if receipt == ReceiveOutcome::Corrupt {
                shared.metrics.corrupt.inc();
                return Err(Error::Invalid("an object does not match its hash".into()));
            }
            kept |= receipt == ReceiveOutcome::Kept;
        }
        if missing.is_empty() || !kept {
            return Ok(());
        }
    }
}

/// Reads the platform's list at the intervals of the membership view, and more often until the
/// first one was read.
async fn poll_list(shared: &Shared, client: &Client) {
    let mut bytes = 0;
    loop {
        let sent = Instant::now();
        let next = shared.read(|known| known.view.next_list(bytes, sent, &mut rand::rng()));
        let known = shared.read(|known| known.listing(sent).hash != 0);
        let pause = if next.is_none() && known {
            ROLE_CHECK_INTERVAL
        } else {
            let list = client.list().await;
            shared.metrics.record_list_read(list.is_ok());
            match list {
                Ok(list) => {
                    bytes = serde_json::to_vec(&list).map_or(0, |bytes| bytes.len());
                    shared.update_and_publish(|known| known.apply_list(list, sent, Instant::now()));
                    next.unwrap_or(ROLE_CHECK_INTERVAL)
                }
                Err(error) => {
                    log::debug!("the platform's list can't be read: {error}");
                    LIST_RETRY_INTERVAL
                }
            }
        };
        tokio::time::sleep(pause).await;
    }
}

/// Writes marks that the table lacks.
async fn write_marks(shared: &Shared, client: &Client) -> Result<(), Error> {
    let (sets, reasons, durable) = shared.read(|known| {
        let durable = known.replica.marks.summary() == known.table_marks.summary();
        (
            known.replica.marks.clone(),
            known.halt_reasons.clone(),
            durable,
        )
    });
    if durable {
        return Ok(());
    }
    let written = table::update(client, record::MARKS, |row: &mut Growing| {
        row.marks.extend(sets.marks().cloned());
        for (release, reason) in &reasons {
            let reason = || reason.clone();
            row.reasons.entry(release.clone()).or_insert_with(reason);
        }
    });
    let written = match written.await {
        Ok(version) => write_marks_version(client, version).await,
        Err(error) => Err(error),
    };
    shared.metrics.record_marks_write(written.is_ok());
    written?;
    shared.update(|known| known.table_marks.merge(&sets));
    Ok(())
}

/// Announces a new version of the marks to the readers of all data centres.
async fn write_marks_version(client: &Client, version: u64) -> Result<(), Error> {
    let marked = table::update(client, record::MARKS_VERSION, |mark: &mut record::Mark| {
        mark.version = mark.version.max(version);
    });
    marked.await.map(|_| ())
}

/// Writes the marks to the table now; returns whether that succeeded.
pub async fn write_marks_now(shared: &Shared, client: &Client) -> bool {
    match write_marks(shared, client).await {
        Ok(()) => true,
        Err(error) => {
            log::warn!("marks not written to the table yet: {error}");
            false
        }
    }
}
