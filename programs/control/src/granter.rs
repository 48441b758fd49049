//! Grants allocations of workspace limits for the granter shards whose lease this process holds.

pub mod floor_exchange;
mod floors;
mod leases;

use crate::state::Shared;
use base::id::{Version, Workspace};
use base::sync::lock;
use indexmap::IndexMap;
use peers::local::Division;
use platform::Client;
use std::sync::{Arc, Mutex};
use std::time::Instant;
use steering::limits::{Allocation, Grant, Granter, Renew};
use tokio_util::sync::CancellationToken;

/// Grants of one shard while its lease is held.
#[derive(Debug)]
struct HeldShard {
    /// Grants of a previous holder may still be valid for one grant term from this time.
    wait_from: Instant,
    lease_deadline: Instant,
    /// Floors in the pool, from reads of the table that began under this lease. Earlier reads are
    /// ignored: the previous holder may have given up a pooled floor that was claimed since.
    pooled_floors: usize,
    granters: IndexMap<Workspace, Granter>,
}

/// Held shards by number, each behind its own lock.
#[derive(Debug, Clone, Default)]
pub struct Granters {
    held_shards: Arc<Mutex<IndexMap<usize, Arc<Mutex<HeldShard>>>>>,
}

impl Granters {
    /// Adds a shard whose lease is held until `lease_deadline`, or extends its lease.
    fn record_lease(&self, shard: usize, lease_deadline: Instant, now: Instant) {
        let mut held_shards = lock(&self.held_shards);
        let held = held_shards.entry(shard).or_insert_with(|| {
            log::info!("granter shard {shard}: lease taken");
            Arc::new(Mutex::new(HeldShard {
                wait_from: now,
                lease_deadline,
                pooled_floors: 0,
                granters: IndexMap::new(),
            }))
        });
        let mut held = lock(held);
        held.lease_deadline = held.lease_deadline.max(lease_deadline);
        for granter in held.granters.values_mut() {
            granter.extend(lease_deadline);
        }
    }

    /// Drops a shard; a later lease on it waits until these grants have expired.
    fn end_lease(&self, shard: usize) {
        if lock(&self.held_shards).swap_remove(&shard).is_some() {
            log::info!("granter shard {shard}: lease ended");
        }
    }

    /// Answers a renewal, or returns `None` without the lease of the workspace's shard.
    ///
    /// `limit` is the limit of the workspace in configuration version `version`.
    pub fn renew(
        &self,
        renew: &Renew,
        division: Division,
        limit: Allocation,
        version: Version,
        now: Instant,
    ) -> Option<Grant> {
        let held = lock(&self.held_shards)
            .get(&division.shard(&renew.workspace))
            .cloned()?;
        let mut held = lock(&held);
        let HeldShard {
            wait_from,
            lease_deadline,
            pooled_floors,
            ..
        } = *held;
        let granter = held
            .granters
            .entry(renew.workspace.clone())
            .or_insert_with(|| {
                let mut granter = Granter::new(
                    division.settings(),
                    limit,
                    version,
                    lease_deadline,
                    wait_from,
                );
                granter.set_pooled(pooled_floors, now);
                granter
            });
        granter.set_limit(limit, version, now);
        granter.renew(renew, now)
    }

    fn held_shards(&self) -> Vec<(usize, Arc<Mutex<HeldShard>>)> {
        let held_shards = lock(&self.held_shards);
        held_shards.iter().map(|(s, t)| (*s, t.clone())).collect()
    }

    /// Sets the number of pooled floors from a read of the row `floors` that began at `read_at`.
    fn set_pooled(&self, pooled_floors: usize, read_at: Instant, now: Instant) {
        for (_, held) in self.held_shards() {
            let mut held = lock(&held);
            if held.wait_from <= read_at {
                held.pooled_floors = pooled_floors;
                for granter in held.granters.values_mut() {
                    granter.set_pooled(pooled_floors, now);
                }
            }
        }
    }

    /// Returns the held shards whose valid grants, those of previous holders included, fit the
    /// capacity with at most `pooled_floors` floors in the pool.
    fn fitting_shards(&self, division: Division, pooled_floors: usize, now: Instant) -> Vec<usize> {
        let settings = division.settings();
        let fits = |held: &mut HeldShard| {
            let grants_from = held.wait_from + settings.term + settings.margin;
            (grants_from..held.lease_deadline).contains(&now)
                && held.pooled_floors <= pooled_floors
                && held.granters.values_mut().all(|g| g.fits(now))
        };
        let held_shards = self.held_shards().into_iter();
        held_shards
            .filter(|(_, held)| fits(&mut lock(held)))
            .map(|(shard, _)| shard)
            .collect()
    }

    /// Drops the grants of workspaces that are no longer configured.
    fn retain(&self, configured: impl Fn(&str) -> bool, now: Instant) {
        for (_, held) in self.held_shards() {
            let mut held = lock(&held);
            let before = held.granters.len();
            held.granters.retain(|workspace, _| configured(workspace));
            if held.granters.len() < before {
                // A workspace that is configured again waits until the dropped grants have expired.
                held.wait_from = now;
            }
        }
    }
}

/// Answers a renewal with the limit of the configuration in force.
pub fn renew(shared: &Shared, renew: &Renew) -> Option<Grant> {
    let (division, limit, version) = shared.read(|known| {
        let active = known.active.as_ref()?;
        let workspace = active.bundle.fleet.workspace(&renew.workspace)?;
        Some((known.division?, workspace.limit(), active.version))
    })?;
    // The clock is read last, so that a pause before this line can't make an expired lease look
    // held.
    shared
        .granters
        .renew(renew, division, limit, version, Instant::now())
}

/// Maintains the leases and the floors until `stop` is cancelled, then releases the leases.
pub async fn run(shared: Shared, client: Client, stop: CancellationToken) {
    let mut leases = leases::Leases::new(&shared);
    let mut absent = floors::AbsentOwners::default();
    let mut announced = floor_exchange::Announced::default();
    while !stop.is_cancelled() {
        let floors = floors::update(&shared, &client, &mut absent);
        let (floors, ()) = tokio::join!(floors, leases.step(&shared, &client));
        if let Err(error) = &floors {
            log::debug!("floors can't be read or written: {error}");
            floor_exchange::fetch(&shared).await;
        }
        floor_exchange::announce(&shared, &mut announced, floors.is_err()).await;
        drop_removed_workspaces(&shared);
        let pause = tokio::time::sleep(shared.settings.granter_interval.0);
        tokio::select! {
            () = stop.cancelled() => {}
            () = pause => {}
            () = shared.entry_changed.notified() => {}
        }
    }
    leases.release(&shared, &client).await;
}

fn drop_removed_workspaces(shared: &Shared) {
    let names = shared.read(|known| {
        let fleet = &known.active.as_ref()?.bundle.fleet;
        let names = fleet.workspaces.iter().map(|w| w.value.name.clone());
        Some(names.collect::<indexmap::IndexSet<_>>())
    });
    if let Some(names) = names {
        shared
            .granters
            .retain(|name| names.contains(name), Instant::now());
    }
}
