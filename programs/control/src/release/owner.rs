//! Tasks of the owner of a release, and of the VM that advances the drains.

use super::ConfiguredRelease;
use crate::state::{ControlState, Shared};
use crate::{drain, table};
use base::clock;
use base::id::{Operation, Release, Vm};
use indexmap::{IndexMap, IndexSet};
use platform::table::Write;
use platform::{Client, Error};
use std::time::{Duration, Instant};
use steering::membership::rendezvous;
use steering::release::{
    Decision, DecisionInput, HaltSet, OwnedRelease, PendingWrite, Record, RowReply, State, Verdict,
    WaitReason, WriteOutcome,
};
use tokio_util::sync::CancellationToken;

const ROW_PREFIX: &str = "release/";

const DECISION_INTERVAL: Duration = Duration::from_millis(250);

/// Remaining lease time at which the lease is renewed, in milliseconds.
const RENEW_BEFORE_MS: clock::Millis = 1_500;

/// Delay of a take-over by an expired lease per rank in the rendezvous order.
const TAKEOVER_DELAY: Duration = Duration::from_millis(500);

/// Release that this VM owns, or a write to it whose outcome is not known yet.
enum Ownership {
    Owned(OwnedRelease),
    Pending(PendingWrite),
}

struct Owner<'a> {
    shared: &'a Shared,
    client: &'a Client,
    held: IndexMap<Release, Ownership>,
    /// Releases without a row, with the time since when.
    absent_since: IndexMap<Release, Instant>,
}

/// Acquires and advances releases, and advances drains, until `stop` is cancelled.
pub async fn run(shared: &Shared, client: &Client, stop: &CancellationToken) {
    let mut owner = Owner {
        shared,
        client,
        held: IndexMap::new(),
        absent_since: IndexMap::new(),
    };
    let mut next_read = Instant::now();
    let mut reachable = false;
    while !stop.is_cancelled() {
        if next_read <= Instant::now() {
            reachable = owner.read_rows().await.is_ok();
            next_read = Instant::now() + shared.settings.poll_interval.0;
        }
        let configured = shared.read(ControlState::configured_releases);
        owner
            .held
            .retain(|id, _| configured.iter().any(|p| p.id == *id));
        owner
            .absent_since
            .retain(|id, _| configured.iter().any(|p| p.id == *id));
        for configured in &configured {
            owner.advance(configured, reachable).await;
        }
        let owned: IndexSet<Release> = owner.held.keys().cloned().collect();
        shared.update(|known| known.progress.owned = owned);
        if reachable {
            drain::advance(shared, client).await;
        }
        stop.run_until_cancelled(tokio::time::sleep(DECISION_INTERVAL))
            .await;
    }
}

fn new_operation() -> Operation {
    base::id::random(&mut rand::rng())
}

impl Owner<'_> {
    /// Reads the rows of the releases and of the drains.
    async fn read_rows(&self) -> Result<(), Error> {
        let rows = self.client.scan(ROW_PREFIX).await?;
        let drains = drain::read(self.client).await?;
        self.shared.update(|known| {
            for row in rows {
                match table::decode::<Record>(row.value) {
                    Ok(record) => {
                        known
                            .progress
                            .record_row(&record.id.clone(), row.version, record);
                    }
                    Err(error) => log::error!("row {} can't be decoded: {error}", row.key),
                }
            }
            known.progress.record_drains(drains.0, &drains.1);
        });
        Ok(())
    }

    async fn advance(&mut self, configured: &ConfiguredRelease, reachable: bool) {
        let id = &configured.id;
        match self.held.shift_remove(id) {
            Some(Ownership::Pending(pending)) => self.write(id, pending).await,
            Some(Ownership::Owned(owned)) => self.step(configured, owned).await,
            None if reachable => self.acquire(configured).await,
            None => {}
        }
    }

    /// Acquires a release that has no owner; VMs of a higher rank wait longer, which avoids
    /// conflicts.
    async fn acquire(&mut self, configured: &ConfiguredRelease) {
        let id = &configured.id;
        let settings = &self.shared.settings;
        let (row, nodes, leaving) = self.shared.read(|known| {
            let row = known.progress.rows.get(id).cloned();
            let nodes: Vec<Vm> = known.list.nodes.iter().map(|n| n.name.clone()).collect();
            (row, nodes, known.progress.leaving)
        });
        if leaving || nodes.is_empty() {
            return;
        }
        let delay = TAKEOVER_DELAY * rendezvous::rank(id, &settings.vm, &nodes) as u32;
        let (now, owner) = (
            clock::unix_millis(),
            self.shared.read(|known| known.progress.incarnation),
        );
        let pending = match row {
            Some((version, record)) => {
                let ended = matches!(record.state, State::Complete | State::RolledBack(_));
                let waited = now.saturating_sub(delay.as_millis() as u64);
                if ended || !record.is_lease_expired(waited) {
                    return;
                }
                record.acquire(version, owner, now, new_operation())
            }
            None => {
                let since = *self
                    .absent_since
                    .entry(id.clone())
                    .or_insert_with(Instant::now);
                if since.elapsed() < delay {
                    return;
                }
                match self.new_record(configured, now).plan(configured.servers) {
                    Ok(record) => record.acquire(0, owner, now, new_operation()),
                    Err(refusal) => {
                        let text = refusal.to_string().into();
                        self.shared
                            .update(|known| known.progress.refusals.insert(id.clone(), text));
                        return;
                    }
                }
            }
        };
        self.write(id, pending).await;
    }

    fn new_record(&self, configured: &ConfiguredRelease, now: clock::Millis) -> Record {
        let soak = self.shared.settings.release_soak.0.as_millis();
        Record {
            id: configured.id.clone(),
            service: configured.service.clone(),
            old: configured.old.clone(),
            new: configured.new.clone(),
            start: now,
            finish_by: configured.finish_by,
            soak: soak as u64,
            steps: configured.steps.clone(),
            owner: 0,
            leased_until: 0,
            state: State::Planned,
        }
    }

    async fn step(&mut self, configured: &ConfiguredRelease, owned: OwnedRelease) {
        let (id, now) = (&configured.id, clock::unix_millis());
        let own = &self.shared.settings.vm;
        let (halt, verdict, load, confirmed): (HaltSet, _, _, _) = self.shared.read(|known| {
            let progress = &known.progress;
            let verdict = progress.verdicts.get(id).cloned();
            let confirmed = progress.has_all_confirmations(id, own, &known.others(own));
            let waiting = Verdict::Undecided("any".into());
            let verdict = verdict.unwrap_or(waiting);
            (
                progress.halt.clone(),
                verdict,
                progress.load(configured),
                confirmed,
            )
        });
        let (owned, reason, leased) = match owned {
            OwnedRelease::Planned(plan) => match plan.start(now, &halt, new_operation()) {
                Decision::Write(pending) => return self.write(id, pending).await,
                Decision::Wait(plan, reason) => {
                    let leased = plan.record().leased_until;
                    (OwnedRelease::Planned(plan), reason, leased)
                }
            },
            OwnedRelease::Stepping(plan) => {
                let input = DecisionInput {
                    now,
                    verdict: &verdict,
                    halt: &halt,
                    load,
                    confirmed,
                };
                match plan.decide(&input, new_operation()) {
                    Decision::Write(pending) => return self.write(id, pending).await,
                    Decision::Wait(plan, reason) => {
                        let leased = plan.record().leased_until;
                        (OwnedRelease::Stepping(plan), reason, leased)
                    }
                }
            }
            OwnedRelease::Ended(_) => return,
        };
        self.record_wait_reason(id, &reason);
        if leased < now + RENEW_BEFORE_MS {
            let pending = match owned {
                OwnedRelease::Planned(plan) => plan.renew(now, new_operation()),
                OwnedRelease::Stepping(plan) => plan.renew(now, new_operation()),
                OwnedRelease::Ended(_) => return,
            };
            return self.write(id, pending).await;
        }
        self.held.insert(id.clone(), Ownership::Owned(owned));
    }

    fn record_wait_reason(&self, id: &Release, reason: &WaitReason) {
        let text = reason.to_string().into();
        self.shared.update(|known| {
            known
                .progress
                .owner_status
                .entry(id.clone())
                .or_default()
                .waits = text;
        });
    }

    /// Sends a write and applies its outcome.
    async fn write(&mut self, id: &Release, pending: PendingWrite) {
        let answer = self.send(id, &pending).await;
        let put = pending.put().clone();
        match pending.resolve(&answer) {
            WriteOutcome::Applied(owned) => {
                let version = put.expected + 1;
                let new = self
                    .shared
                    .update(|known| known.progress.owned.insert(id.clone()));
                if new {
                    log::info!("release {id}: owner is this run, {}", put.record.owner);
                }
                self.shared.update_and_publish(|known| {
                    known.progress.record_row(id, version, put.record);
                    // Heartbeats of a new owner order after those of all earlier ones.
                    let status = known.progress.owner_status.entry(id.clone()).or_default();
                    if version > status.beat.version {
                        status.beat.version = version;
                        status.beat.count = 0;
                    }
                    known.evaluate_releases(Instant::now());
                });
                self.held.insert(id.clone(), Ownership::Owned(owned));
            }
            WriteOutcome::Retry(pending) => {
                self.held.insert(id.clone(), Ownership::Pending(pending));
            }
            WriteOutcome::Superseded => log::info!("release {id}: another VM is the owner"),
        }
    }

    async fn send(&self, id: &Release, pending: &PendingWrite) -> RowReply {
        let key = format!("{ROW_PREFIX}{id}");
        let put = pending.put();
        let Ok(value) = serde_json::to_value(&put.record) else {
            return RowReply::Unknown;
        };
        let write = Write {
            expected: put.expected,
            operation: put.operation.clone(),
            value,
        };
        match self.client.write(&key, &write).await {
            Ok(version) => RowReply::Row(version, put.operation.clone()),
            // The conflict may be with an earlier attempt of the same write.
            Err(Error::Conflict(_)) => match self.client.read(&key).await {
                Ok(row) => RowReply::Row(row.version, row.operation),
                Err(_) => RowReply::Unknown,
            },
            Err(error) => {
                log::debug!("release {id}: outcome of a write is unknown: {error}");
                RowReply::Unknown
            }
        }
    }
}
