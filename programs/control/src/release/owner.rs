//! The part of a release's owner, and of the VM that moves the drains on.

use super::Planned;
use crate::state::{Known, Shared};
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

/// Prefix of the rows of releases.
const PREFIX: &str = "release/";

/// Time between two decisions.
const TICK: Duration = Duration::from_millis(250);

/// Part of the lease that is left when it is renewed, in milliseconds.
const RENEW_BEFORE: clock::Millis = 1_500;

/// Time by which each further VM of the rendezvous order waits longer before it takes over.
const TURN: Duration = Duration::from_millis(500);

/// What this VM holds of a release that it owns.
enum Held {
    Owned(OwnedRelease),
    Pending(PendingWrite),
}

struct Owner<'a> {
    shared: &'a Shared,
    client: &'a Client,
    held: IndexMap<Release, Held>,
    /// Time at which the row of a release was first found absent.
    absent: IndexMap<Release, Instant>,
}

/// Runs until `stop` is cancelled.
pub async fn run(shared: &Shared, client: &Client, stop: &CancellationToken) {
    let mut owner = Owner {
        shared,
        client,
        held: IndexMap::new(),
        absent: IndexMap::new(),
    };
    let mut next_read = Instant::now();
    let mut reachable = false;
    while !stop.is_cancelled() {
        if next_read <= Instant::now() {
            reachable = owner.read().await.is_ok();
            next_read = Instant::now() + shared.settings.poll_interval.0;
        }
        let planned = shared.read(Known::planned);
        owner
            .held
            .retain(|id, _| planned.iter().any(|p| p.id == *id));
        owner
            .absent
            .retain(|id, _| planned.iter().any(|p| p.id == *id));
        for planned in &planned {
            owner.act(planned, reachable).await;
        }
        let owned: IndexSet<Release> = owner.held.keys().cloned().collect();
        shared.touch(|known| known.board.owned = owned);
        if reachable {
            drain::advance(shared, client).await;
        }
        stop.run_until_cancelled(tokio::time::sleep(TICK)).await;
    }
}

fn operation() -> Operation {
    base::id::random(&mut rand::rng())
}

impl Owner<'_> {
    /// Reads the rows of the releases and of the drains.
    async fn read(&self) -> Result<(), Error> {
        let rows = self.client.scan(PREFIX).await?;
        let drains = drain::read(self.client).await?;
        self.shared.touch(|known| {
            for row in rows {
                match table::decode::<Record>(row.value) {
                    Ok(record) => known.board.row(&record.id.clone(), row.version, record),
                    Err(error) => log::error!("row {} can't be read: {error}", row.key),
                }
            }
            known.board.drains(drains.0, &drains.1);
        });
        Ok(())
    }

    async fn act(&mut self, planned: &Planned, reachable: bool) {
        let id = &planned.id;
        match self.held.shift_remove(id) {
            Some(Held::Pending(pending)) => self.write(id, pending).await,
            Some(Held::Owned(owned)) => self.step(planned, owned).await,
            None if reachable => self.acquire(planned).await,
            None => {}
        }
    }

    /// Takes over a release without an owner; VMs further down the order leave time to the others.
    async fn acquire(&mut self, planned: &Planned) {
        let id = &planned.id;
        let settings = &self.shared.settings;
        let (row, nodes, leaving) = self.shared.read(|known| {
            let row = known.board.rows.get(id).cloned();
            let nodes: Vec<Vm> = known.list.nodes.iter().map(|n| n.name.clone()).collect();
            (row, nodes, known.board.leaving)
        });
        if leaving || nodes.is_empty() {
            return;
        }
        let delay = TURN * rendezvous::rank(id, &settings.vm, &nodes) as u32;
        let (now, owner) = (
            clock::unix_millis(),
            self.shared.read(|known| known.board.incarnation),
        );
        let pending = match row {
            Some((version, record)) => {
                let ended = matches!(record.state, State::Complete | State::RolledBack(_));
                let waited = now.saturating_sub(delay.as_millis() as u64);
                if ended || !record.is_lease_expired(waited) {
                    return;
                }
                record.acquire(version, owner, now, operation())
            }
            None => {
                let since = *self.absent.entry(id.clone()).or_insert_with(Instant::now);
                if since.elapsed() < delay {
                    return;
                }
                match self.record(planned, now).plan(planned.servers) {
                    Ok(record) => record.acquire(0, owner, now, operation()),
                    Err(refusal) => {
                        let text = refusal.to_string().into();
                        self.shared
                            .touch(|known| known.board.refused.insert(id.clone(), text));
                        return;
                    }
                }
            }
        };
        self.write(id, pending).await;
    }

    fn record(&self, planned: &Planned, now: clock::Millis) -> Record {
        let soak = self.shared.settings.release_soak.0.as_millis();
        Record {
            id: planned.id.clone(),
            service: planned.service.clone(),
            old: planned.old.clone(),
            new: planned.new.clone(),
            start: now,
            finish_by: planned.finish_by,
            soak: soak as u64,
            steps: planned.steps.clone(),
            owner: 0,
            leased_until: 0,
            state: State::Planned,
        }
    }

    async fn step(&mut self, planned: &Planned, owned: OwnedRelease) {
        let (id, now) = (&planned.id, clock::unix_millis());
        let own = &self.shared.settings.vm;
        let (halt, verdict, load, confirmed): (HaltSet, _, _, _) = self.shared.read(|known| {
            let board = &known.board;
            let verdict = board.verdicts.get(id).cloned();
            let confirmed = board.all_confirmed(id, own, &known.others(own));
            let waiting = Verdict::Undecided("any".into());
            let verdict = verdict.unwrap_or(waiting);
            (board.halt.clone(), verdict, board.load(planned), confirmed)
        });
        let (rest, hold, leased) = match owned {
            OwnedRelease::Planned(plan) => match plan.start(now, &halt, operation()) {
                Decision::Write(pending) => return self.write(id, pending).await,
                Decision::Wait(plan, hold) => {
                    let leased = plan.record().leased_until;
                    (OwnedRelease::Planned(plan), hold, leased)
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
                match plan.decide(&input, operation()) {
                    Decision::Write(pending) => return self.write(id, pending).await,
                    Decision::Wait(plan, hold) => {
                        let leased = plan.record().leased_until;
                        (OwnedRelease::Stepping(plan), hold, leased)
                    }
                }
            }
            OwnedRelease::Ended(_) => return,
        };
        self.tell(id, &hold);
        if leased < now + RENEW_BEFORE {
            let pending = match rest {
                OwnedRelease::Planned(plan) => plan.renew(now, operation()),
                OwnedRelease::Stepping(plan) => plan.renew(now, operation()),
                OwnedRelease::Ended(_) => return,
            };
            return self.write(id, pending).await;
        }
        self.held.insert(id.clone(), Held::Owned(rest));
    }

    fn tell(&self, id: &Release, hold: &WaitReason) {
        let text = hold.to_string().into();
        self.shared.touch(|known| {
            known.board.signs.entry(id.clone()).or_default().waits = text;
        });
    }

    /// Sends a write and settles its outcome.
    async fn write(&mut self, id: &Release, pending: PendingWrite) {
        let answer = self.send(id, &pending).await;
        let put = pending.put().clone();
        match pending.resolve(&answer) {
            WriteOutcome::Applied(owned) => {
                let version = put.expected + 1;
                let new = self
                    .shared
                    .touch(|known| known.board.owned.insert(id.clone()));
                if new {
                    log::info!("release {id}: owner is this run, {}", put.record.owner);
                }
                self.shared.change(|known| {
                    known.board.row(id, version, put.record);
                    // The beat of this owner continues above all beats of earlier ones.
                    let sign = known.board.signs.entry(id.clone()).or_default();
                    if version > sign.beat.version {
                        sign.beat.version = version;
                        sign.beat.count = 0;
                    }
                    known.look(Instant::now());
                });
                self.held.insert(id.clone(), Held::Owned(owned));
            }
            WriteOutcome::Retry(pending) => {
                self.held.insert(id.clone(), Held::Pending(pending));
            }
            WriteOutcome::Superseded => log::info!("release {id}: another VM is the owner"),
        }
    }

    async fn send(&self, id: &Release, pending: &PendingWrite) -> RowReply {
        let key = format!("{PREFIX}{id}");
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
            // An earlier attempt of the same write may be what it conflicts with.
            Err(Error::Conflict(_)) => match self.client.read(&key).await {
                Ok(row) => RowReply::Row(row.version, row.operation),
                Err(_) => RowReply::Unknown,
            },
            Err(error) => {
                log::debug!("release {id}: write not settled: {error}");
                RowReply::Unknown
            }
        }
    }
}
