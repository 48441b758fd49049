//! The leader of takeovers: stages, and what the store holds of them.

use super::{Active, Begin};
use crate::shared::Shared;
use adapter::status;
use adapter::store::{self, Client, Put, Row, RowVersion, STATUS, Transacted};
use base::id::{Service, Vm};
use base::sync::lock;
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::membership::rendezvous;
use steering::routing::TakeoverOrder;
use steering::takeover::{self, Evidence, Settings, Stage};

/// Table of when takeovers began.
const TABLE: &str = "takeovers";
/// Time between two looks at the evidence.
const PERIOD: Duration = Duration::from_millis(250);
/// Time between two lines with the evidence of a takeover.
const EVIDENCE_PERIOD: Duration = Duration::from_secs(2);

/// Judges takeovers and, where this VM leads, tells the operator, until the task is dropped.
pub async fn drive(shared: Arc<Shared>, client: Client) {
    let mut next_line = Instant::now();
    loop {
        let now = Instant::now();
        let due = shared.takeovers.next_due(now);
        let look = due.map_or(now + PERIOD, |due| due.min(now + PERIOD));
        tokio::time::sleep_until(look.into()).await;
        let now = Instant::now();
        let is_line_due = now >= next_line;
        if is_line_due {
            next_line = now + EVIDENCE_PERIOD;
        }
        if shared.takeovers.judge(now) {
            shared.urgent.notify_one();
        }
        for service in shared.takeovers.unsettled() {
            if !leads(&shared, &service) {
                continue;
            }
            if is_line_due {
                shared.takeovers.log_evidence(&service, now);
            }
            if let Err(error) = lead(&shared, &client, &service).await {
                log::warn!("event=takeover-status-failed service={service} error={error:?}");
            }
            shared.urgent.notify_one();
        }
    }
}

/// Whether this VM is the first, in the order for the service, of the delegates that read the
/// store.
fn leads(shared: &Shared, service: &str) -> bool {
    let now = Instant::now();
    if !shared.reads(now) || shared.delegate(now).is_some() {
        return false;
    }
    let fleet = lock(&shared.fleet);
    let others: Vec<Vm> = fleet
        .far(now)
        .filter(|peer| peer.report.known.reads)
        .map(|peer| peer.report.vm.clone())
        .collect();
    rendezvous::rank(service, &shared.settings.vm, &others) == 0
}

/// Does the leader's next step for a service.
async fn lead(shared: &Shared, client: &Client, service: &Service) -> Result<(), store::Error> {
    let (order, known) = {
        let active = lock(&shared.takeovers.active);
        let Some(takeover) = active.get(service) else {
            return Ok(());
        };
        let known = takeover.stage.zip(takeover.deadline);
        (takeover.order.clone(), known)
    };
    let Some((stage, deadline)) = known else {
        return recall(shared, client, &order).await;
    };
    let (next, row) = {
        let active = lock(&shared.takeovers.active);
        let Some(takeover) = active.get(service) else {
            return Ok(());
        };
        let settings = Settings::default();
        let evidence = takeover.evidence();
        let now = Instant::now();
        let next = takeover::advance(&settings, stage, &evidence, &takeover.recent, deadline, now);
        (next, takeover.row)
    };
    match next {
        Stage::Completed | Stage::RolledBack => {
            let put = status_put(&order, next, row);
            match client.transact(&[put]).await? {
                Transacted::Applied(version) => {
                    log::info!(
                        "event=takeover-written service={service} order={} stage={next:?} row_version={version}",
                        order.order
                    );
                    learn(shared, service, next, true);
                }
                // Another leader wrote, or an earlier write of this one was applied late.
                Transacted::Conflict => recall(shared, client, &order).await?,
            }
        }
        _ => {
            learn(shared, service, next, false);
            save(shared, client, &order).await?;
        }
    }
    Ok(())
}

/// Writes the evidence to the store, where it outlives the VMs.
async fn save(shared: &Shared, client: &Client, order: &TakeoverOrder) -> Result<(), store::Error> {
    let unsaved = lock(&shared.takeovers.active)
        .get(&order.service)
        .and_then(Active::unsaved);
    let Some((begin, row)) = unsaved else {
        return Ok(());
    };
    match client.transact(&[begin_put(order, &begin, row)]).await? {
        Transacted::Applied(version) => {
            let mut active = lock(&shared.takeovers.active);
            if let Some(takeover) = active.get_mut(&order.service) {
                takeover.begun(begin, version);
            }
            Ok(())
        }
        // Another leader wrote.
        Transacted::Conflict => recall(shared, client, order).await,
    }
}

fn learn(shared: &Shared, service: &Service, stage: Stage, settled: bool) {
    if let Some(takeover) = lock(&shared.takeovers.active).get_mut(service) {
        takeover.learn(stage, settled, &shared.settings.vm);
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
        table: TABLE,
        key: order.service.clone(),
        expected: Some(expected),
        // Encoding numbers can't fail.
        value: Some(serde_json::to_vec(begin).unwrap_or_default()),
    }
}

/// Reads what the store holds of a takeover, and begins it if the store holds nothing.
async fn recall(
    shared: &Shared,
    client: &Client,
    order: &TakeoverOrder,
) -> Result<(), store::Error> {
    let statuses = client.rows(STATUS).await?;
    let begins = client.rows(TABLE).await?;
    let status_key = status::key(&order.service);
    let status = statuses.rows.iter().find(|row| row.key == status_key);
    let begin = begins.rows.iter().find(|row| row.key == order.service);
    let told = status
        .filter(|row| row.version > order.order)
        .and_then(|row| told(row, order));
    let began = begin.and_then(begun).filter(|b| b.order == order.order);
    let began = match (&told, began, begin) {
        (Some(_), Some(began), Some(row)) => (began, row.version),
        _ => {
            let since = {
                let active = lock(&shared.takeovers.active);
                let takeover = active.get(&order.service);
                takeover.map_or(Duration::ZERO, |takeover| takeover.learned.elapsed())
            };
            let since_ms = u64::try_from(since.as_millis()).unwrap_or(u64::MAX);
            let began = Begin {
                order: order.order,
                began_ms: begins.now_ms.saturating_sub(since_ms),
                evidence: Evidence::default(),
            };
            let puts = [
                status_put(order, Stage::Sampling, status.map_or(0, |row| row.version)),
                begin_put(order, &began, begin.map_or(0, |row| row.version)),
            ];
            if let Transacted::Applied(version) = client.transact(&puts).await? {
                let left = order.term.saturating_sub(since);
                apply(
                    shared,
                    order,
                    Stage::Sampling,
                    version,
                    (began, version),
                    left,
                );
            }
            return Ok(());
        }
    };
    if let (Some(stage), Some(row)) = (told, status) {
        let passed = begins.now_ms.saturating_sub(began.0.began_ms);
        let left = order.term.saturating_sub(Duration::from_millis(passed));
        apply(shared, order, stage, row.version, began, left);
    }
    Ok(())
}

/// Returns the stage that the operator was told for this order.
fn told(row: &Row, order: &TakeoverOrder) -> Option<Stage> {
    match status::decode(row.value.as_deref()?) {
        Ok((label, stage)) => (label == order.label).then_some(stage),
        Err(reason) => {
            log::warn!("event=status-unreadable key={} reason={reason:?}", row.key);
            None
        }
    }
}

fn begun(row: &Row) -> Option<Begin> {
    let parsed = serde_json::from_slice(row.value.as_deref()?);
    parsed
        .inspect_err(|error| log::warn!("event=begin-unreadable key={} error={error}", row.key))
        .ok()
}

fn apply(
    shared: &Shared,
    order: &TakeoverOrder,
    stage: Stage,
    row: RowVersion,
    (begin, begin_row): (Begin, RowVersion),
    left: Duration,
) {
    let mut active = lock(&shared.takeovers.active);
    let known = active.get_mut(&order.service);
    if let Some(takeover) = known.filter(|t| t.order.order == order.order) {
        takeover.row = row;
        takeover.begun(begin, begin_row);
        takeover.deadline = Some(Instant::now() + left);
        let is_final = stage >= Stage::Completed;
        takeover.learn(stage, is_final, "store");
    }
}
