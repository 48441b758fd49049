//! Leader of takeovers: advances stages and keeps them in the store.

use super::{ActiveTakeover, Begin};
use crate::shared::Shared;
use adapter::status;
use adapter::store::{self, Client, Put, Row, RowVersion, STATUS, TransactionResult};
use base::id::Service;
use base::sync::lock;
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::routing::TakeoverOrder;
use steering::takeover::{self, Evidence, Settings, Stage};

/// Store table of the begin rows.
const BEGIN_TABLE: &str = "takeovers";
/// Longest time between two checks of the evidence.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two log lines with the evidence of a takeover.
const EVIDENCE_LOG_INTERVAL: Duration = Duration::from_secs(2);

/// Evaluates takeovers and, where this VM leads, writes their status to the store, until the task
/// is dropped.
pub async fn run(shared: Arc<Shared>, client: Client) {
    let mut next_log = Instant::now();
    loop {
        let now = Instant::now();
        let due = shared.takeovers.next_stage_due(now);
        let wake_at = due.map_or(now + CHECK_INTERVAL, |due| due.min(now + CHECK_INTERVAL));
        tokio::time::sleep_until(wake_at.into()).await;
        let now = Instant::now();
        let is_log_due = now >= next_log;
        if is_log_due {
            next_log = now + EVIDENCE_LOG_INTERVAL;
        }
        if shared.takeovers.roll_back_bad(now) {
            shared.report_requested.notify_one();
        }
        for service in shared.takeovers.unsettled() {
            if !shared.is_leader(&service) {
                continue;
            }
            if is_log_due {
                shared.takeovers.log_evidence(&service, now);
            }
            if let Err(error) = advance(&shared, &client, &service).await {
                log::warn!("event=takeover-status-failed service={service} error={error:?}");
            }
            shared.report_requested.notify_one();
        }
    }
}

/// Advances the takeover of a service by one step as its leader.
async fn advance(shared: &Shared, client: &Client, service: &Service) -> Result<(), store::Error> {
    let (order, known) = {
        let active = lock(&shared.takeovers.active);
        let Some(takeover) = active.get(service) else {
            return Ok(());
        };
        let known = takeover.stage.zip(takeover.deadline);
        (takeover.order.clone(), known)
    };
    let Some((stage, deadline)) = known else {
        return load_or_begin(shared, client, &order).await;
    };
    let (next, row) = {
        let active = lock(&shared.takeovers.active);
        let Some(takeover) = active.get(service) else {
            return Ok(());
        };
        let settings = Settings::default();
        let evidence = takeover.total_evidence();
        let now = Instant::now();
        let next = takeover::advance(&settings, stage, &evidence, &takeover.recent, deadline, now);
        (next, takeover.status_version)
    };
    match next {
        Stage::Completed | Stage::RolledBack => {
            let put = status_put(&order, next, row);
            match client.transact(&[put]).await? {
                TransactionResult::Applied(version) => {
                    log::info!(
                        "event=takeover-written service={service} order={} stage={next:?} row_version={version}",
                        order.order
                    );
                    advance_to(shared, service, next, true);
                }
                // Another leader wrote the row, or an earlier write of this one was applied late.
                TransactionResult::Conflict => load_or_begin(shared, client, &order).await?,
            }
        }
        _ => {
            advance_to(shared, service, next, false);
            save_evidence(shared, client, &order).await?;
        }
    }
    Ok(())
}

/// Writes the evidence to the store, so that it survives a stop of all VMs.
async fn save_evidence(
    shared: &Shared,
    client: &Client,
    order: &TakeoverOrder,
) -> Result<(), store::Error> {
    let pending = lock(&shared.takeovers.active)
        .get(&order.service)
        .and_then(ActiveTakeover::pending_save);
    let Some((begin, row)) = pending else {
        return Ok(());
    };
    match client.transact(&[begin_put(order, &begin, row)]).await? {
        TransactionResult::Applied(version) => {
            let mut active = lock(&shared.takeovers.active);
            if let Some(takeover) = active.get_mut(&order.service) {
                takeover.set_begin(begin, version);
            }
            Ok(())
        }
        // Another leader wrote the row.
        TransactionResult::Conflict => load_or_begin(shared, client, order).await,
    }
}

fn advance_to(shared: &Shared, service: &Service, stage: Stage, settled: bool) {
    if let Some(takeover) = lock(&shared.takeovers.active).get_mut(service) {
        takeover.advance_to(stage, settled, &shared.settings.vm);
    }
}

fn status_put(order: &TakeoverOrder, stage: Stage, expected: RowVersion) -> Put {
    Put {
        table: STATUS,
        key: status::key(&order.service),
        expected: Some(expected),
        value: Some(status::encode(&order.service, &order.label, stage)),
    }
}

fn begin_put(order: &TakeoverOrder, begin: &Begin, expected: RowVersion) -> Put {
    Put {
        table: BEGIN_TABLE,
        key: order.service.clone(),
        expected: Some(expected),
        // Numbers always encode.
        value: Some(serde_json::to_vec(begin).unwrap_or_default()),
    }
}

/// Reads the state of a takeover from the store; writes its begin if the store has none.
async fn load_or_begin(
    shared: &Shared,
    client: &Client,
    order: &TakeoverOrder,
) -> Result<(), store::Error> {
    let statuses = client.rows(STATUS).await?;
    let begins = client.rows(BEGIN_TABLE).await?;
    let status_key = status::key(&order.service);
    let status = statuses.rows.iter().find(|row| row.key == status_key);
    let begin = begins.rows.iter().find(|row| row.key == order.service);
    let stored_stage = status
        .filter(|row| row.version > order.order)
        .and_then(|row| decode_stage(row, order));
    let last = begin.and_then(decode_begin);
    let began = last
        .clone()
        .filter(|begin| store::is_same(begin.order, order.order));
    let began = match (&stored_stage, began, begin) {
        (Some(_), Some(began), Some(row)) => (began, row.version),
        _ => {
            // A takeover that the store has lost goes on where it was.
            let (since, stage) = {
                let active = lock(&shared.takeovers.active);
                let takeover = active.get(&order.service);
                let since = takeover.map(|takeover| takeover.received_at.elapsed());
                let stage = takeover.and_then(|takeover| takeover.stage);
                (since.unwrap_or_default(), stage.unwrap_or(Stage::Sampling))
            };
            // Versions that were rolled back before, by what the store has of the last order.
            let mut withdrawn = last.map(|last| last.withdrawn).unwrap_or_default();
            let last_status = status.and_then(|row| status::decode(row.value.as_deref()?).ok());
            withdrawn.extend(
                last_status
                    .filter(|(_, stage)| *stage == Stage::RolledBack)
                    .map(|(label, _)| label),
            );
            let takeovers = &shared.takeovers;
            takeovers.withdraw(&order.service, &order.label, &withdrawn);
            let since_ms = u64::try_from(since.as_millis()).unwrap_or(u64::MAX);
            let began = Begin {
                order: order.order,
                began_ms: begins.now_ms.saturating_sub(since_ms),
                evidence: Evidence::default(),
                withdrawn: takeovers.withdrawn(&order.service),
            };
            let puts = [
                status_put(order, stage, status.map_or(0, |row| row.version)),
                begin_put(order, &began, begin.map_or(0, |row| row.version)),
            ];
            if let TransactionResult::Applied(version) = client.transact(&puts).await? {
                let left = order.term.saturating_sub(since);
                apply_stored(shared, order, stage, version, (began, version), left);
            }
            return Ok(());
        }
    };
    let takeovers = &shared.takeovers;
    takeovers.withdraw(&order.service, &order.label, &began.0.withdrawn);
    if let (Some(stage), Some(row)) = (stored_stage, status) {
        let passed = begins.now_ms.saturating_sub(began.0.began_ms);
        let left = order.term.saturating_sub(Duration::from_millis(passed));
        apply_stored(shared, order, stage, row.version, began, left);
    }
    Ok(())
}

/// Returns the stage in a status row if the row is for this order's version.
fn decode_stage(row: &Row, order: &TakeoverOrder) -> Option<Stage> {
    match status::decode(row.value.as_deref()?) {
        Ok((label, stage)) => (label == order.label).then_some(stage),
        Err(reason) => {
            log::warn!("event=status-unreadable key={} reason={reason:?}", row.key);
            None
        }
    }
}

fn decode_begin(row: &Row) -> Option<Begin> {
    let parsed = serde_json::from_slice(row.value.as_deref()?);
    parsed
        .inspect_err(|error| log::warn!("event=begin-unreadable key={} error={error}", row.key))
        .ok()
}

/// Applies the stage, deadline and evidence that the store holds.
fn apply_stored(
    shared: &Shared,
    order: &TakeoverOrder,
    stage: Stage,
    status_version: RowVersion,
    (begin, begin_version): (Begin, RowVersion),
    left: Duration,
) {
    let mut active = lock(&shared.takeovers.active);
    let known = active.get_mut(&order.service);
    if let Some(takeover) = known.filter(|t| t.order.order == order.order) {
        takeover.status_version = status_version;
        takeover.set_begin(begin, begin_version);
        takeover.deadline = Some(Instant::now() + left);
        let is_final = stage >= Stage::Completed;
        takeover.advance_to(stage, is_final, "store");
    }
}
