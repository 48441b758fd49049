//! Leases on the rows `granter/<shard>`.

use crate::record::{GRANTER, Lessee};
use crate::state::Shared;
use crate::table;
use base::id::Vm;
use platform::table::{Row, Write};
use platform::{Client, Error};
use std::time::Instant;
use steering::lease::{self, Answer, Held, Holder, Lease, Outcome, Permit, Requested, Vacant};
use steering::membership::rendezvous;

#[derive(Debug)]
enum State {
    Vacant(Lease<Vacant>),
    Requested(Lease<Requested>),
    Held(Lease<Held>),
}

/// This process's leases, by shard.
#[derive(Debug)]
pub struct Leases {
    holder: Holder,
    states: Vec<State>,
}

impl From<Outcome> for State {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Held(lease) => Self::Held(lease),
            Outcome::Vacant(lease) => Self::Vacant(lease),
            Outcome::Expired(lease) => Self::Vacant(lease.restart()),
            Outcome::ReadBack(lease) => Self::Requested(lease),
        }
    }
}

impl Leases {
    /// Makes the state of a process that holds no lease.
    pub fn new(shared: &Shared) -> Self {
        Self {
            holder: Holder {
                vm: shared.settings.vm.clone(),
                incarnation: rand::random(),
            },
            states: Vec::new(),
        }
    }

    /// Reads all rows once, and requests, renews or resolves each lease.
    pub async fn step(&mut self, shared: &Shared, client: &Client) {
        let Some(division) = shared.read(|known| known.division) else {
            return;
        };
        let shards = usize::try_from(division.shards).unwrap_or(0);
        while self.states.len() < shards {
            let lease = Lease::new(self.holder.clone(), lease::Terms::default());
            self.states.push(State::Vacant(lease));
        }
        let rows = client.scan(GRANTER).await.ok();
        if let Some(rows) = &rows {
            let holders = (0..shards).map(|shard| find_row(rows, shard).holder.map(|h| h.vm));
            let holders: Vec<Option<Vm>> = holders.collect();
            shared.update_and_publish(|known| known.granter_holders = holders);
        }
        let states = std::mem::take(&mut self.states);
        let steps = states.into_iter().enumerate().map(|(shard, state)| {
            let row = rows.as_ref().map(|rows| find_row(rows, shard));
            let holder = &self.holder;
            async move { step(shared, client, holder, shard, state, row).await }
        });
        self.states = futures::future::join_all(steps).await;
    }

    /// Releases the held leases before the process stops.
    pub async fn release(self, shared: &Shared, client: &Client) {
        let writes = self
            .states
            .into_iter()
            .enumerate()
            .map(|(shard, state)| async move {
                shared.granters.end_lease(shard);
                let State::Held(lease) = state else { return };
                let operation = base::id::random(&mut rand::rng());
                if let (_, Ok(permit)) = lease.release(operation, Instant::now()) {
                    let _ = write(client, shard, None, &permit).await;
                }
            });
        futures::future::join_all(writes).await;
    }
}

fn row_key(shard: usize) -> String {
    format!("{GRANTER}{shard}")
}

/// Returns the lease row of a shard; a row that doesn't exist has version 0.
fn find_row(rows: &[Row], shard: usize) -> lease::Row {
    let key = row_key(shard);
    let row = rows.iter().find(|row| *row.key == *key);
    row.map_or_else(lease::Row::default, |row| lease::Row {
        version: row.version,
        operation: row.operation.clone(),
        holder: table::decode::<Lessee>(row.value.clone())
            .ok()
            .and_then(|lessee| lessee.holder),
    })
}

async fn step(
    shared: &Shared,
    client: &Client,
    holder: &Holder,
    shard: usize,
    state: State,
    row: Option<lease::Row>,
) -> State {
    let next = match state {
        State::Vacant(mut lease) => {
            if let Some(row) = &row {
                lease.observe(row, Instant::now());
            }
            let rank = shared.read(|known| {
                let names = known.list.nodes.iter().map(|node| &node.name);
                rendezvous::rank(&row_key(shard), &holder.vm, names)
            });
            // A write would probably fail like this read.
            if row.is_none() {
                return State::Vacant(lease);
            }
            let operation = base::id::random(&mut rand::rng());
            match lease.request(rank, operation, Instant::now()) {
                Ok((lease, permit)) => {
                    let answer = write(client, shard, Some(holder), &permit).await;
                    lease
                        .answered(&permit.operation, answer, Instant::now())
                        .into()
                }
                Err(lease) => State::Vacant(lease),
            }
        }
        State::Requested(lease) => {
            match row.map(|row| lease.clone().read_back(&row, Instant::now())) {
                Some(Outcome::ReadBack(lease)) => {
                    let permit = lease.permit().clone();
                    let answer = write(client, shard, Some(holder), &permit).await;
                    lease
                        .answered(&permit.operation, answer, Instant::now())
                        .into()
                }
                Some(outcome) => outcome.into(),
                None => State::Requested(lease),
            }
        }
        State::Held(lease) => renew(client, holder, shard, lease, row).await,
    };
    match &next {
        State::Held(lease) if lease.holds(Instant::now()) => {
            shared
                .granters
                .record_lease(shard, lease.deadline(), Instant::now());
        }
        _ => shared.granters.end_lease(shard),
    }
    next
}

/// Renews a held lease, or resolves a write whose outcome is unknown.
async fn renew(
    client: &Client,
    holder: &Holder,
    shard: usize,
    lease: Lease<Held>,
    row: Option<lease::Row>,
) -> State {
    let settled = match (lease.pending().is_some(), row) {
        (true, Some(row)) => lease.read_back(&row, Instant::now()).into(),
        _ => State::Held(lease),
    };
    let State::Held(mut lease) = settled else {
        return settled;
    };
    let operation = base::id::random(&mut rand::rng());
    let permit = match lease.pending().cloned() {
        Some(pending) => pending,
        None => match lease.write(operation, Instant::now()) {
            Ok(permit) => permit,
            Err(_) => return State::Vacant(lease.expire().restart()),
        },
    };
    let answer = write(client, shard, Some(holder), &permit).await;
    lease
        .answered(&permit.operation, answer, Instant::now())
        .into()
}

async fn write(client: &Client, shard: usize, holder: Option<&Holder>, permit: &Permit) -> Answer {
    let content = Lessee {
        holder: holder.cloned(),
    };
    let Ok(value) = serde_json::to_value(content) else {
        return Answer::Lost;
    };
    let write = Write {
        expected: permit.expected,
        operation: permit.operation.clone(),
        value,
    };
    match client.write(&row_key(shard), &write).await {
        Ok(version) => Answer::Written(version),
        Err(Error::Conflict(_)) => Answer::Conflict,
        Err(_) => Answer::Lost,
    }
}
