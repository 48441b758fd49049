//! Grants parts of workspaces' limits for the granter shards whose lease this process holds.

pub mod ask;
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
struct Tenure {
    /// Time from which the wait for a predecessor's grants counts.
    since: Instant,
    /// Deadline of the lease.
    until: Instant,
    /// Floors in the pool, as read from the table during the tenure. An older reading doesn't count:
    /// a predecessor may have done without a floor that was claimed since.
    pooled: usize,
    granters: IndexMap<Workspace, Granter>,
}

/// Tenures by shard, each behind its own lock.
#[derive(Debug, Clone, Default)]
pub struct Granters {
    tenures: Arc<Mutex<IndexMap<usize, Arc<Mutex<Tenure>>>>>,
}

impl Granters {
    /// Begins or extends the tenure of a shard whose lease is held until `until`.
    fn hold(&self, shard: usize, until: Instant, now: Instant) {
        let mut tenures = lock(&self.tenures);
        let tenure = tenures.entry(shard).or_insert_with(|| {
            log::info!("granter shard {shard}: lease taken");
            Arc::new(Mutex::new(Tenure {
                since: now,
                until,
                pooled: 0,
                granters: IndexMap::new(),
            }))
        });
        let mut tenure = lock(tenure);
        tenure.until = tenure.until.max(until);
        for granter in tenure.granters.values_mut() {
            granter.extend(until);
        }
    }

    /// Ends the tenure of a shard; a later one waits for its grants to run out.
    fn end(&self, shard: usize) {
        if lock(&self.tenures).swap_remove(&shard).is_some() {
            log::info!("granter shard {shard}: lease ended");
        }
    }

    /// Answers a renewal; none without the lease of the workspace's shard.
    ///
    /// `limit` is the workspace's limit and `version` the configuration version that it is from.
    pub fn renew(
        &self,
        renew: &Renew,
        division: Division,
        limit: Allocation,
        version: Version,
        now: Instant,
    ) -> Option<Grant> {
        let tenure = lock(&self.tenures)
            .get(&division.shard(&renew.workspace))
            .cloned()?;
        let mut tenure = lock(&tenure);
        let Tenure {
            since,
            until,
            pooled,
            ..
        } = *tenure;
        let granter = tenure
            .granters
            .entry(renew.workspace.clone())
            .or_insert_with(|| {
                let mut fresh = Granter::new(division.settings(), limit, version, until, since);
                fresh.set_pooled(pooled, now);
                fresh
            });
        granter.set_limit(limit, version, now);
        granter.renew(renew, now)
    }

    fn tenures(&self) -> Vec<(usize, Arc<Mutex<Tenure>>)> {
        let tenures = lock(&self.tenures);
        tenures.iter().map(|(s, t)| (*s, t.clone())).collect()
    }

    /// Sets the number of pooled floors that the row `floors` allows; its reading began at `read`.
    fn set_pooled(&self, pooled: usize, read: Instant, now: Instant) {
        for (_, tenure) in self.tenures() {
            let mut tenure = lock(&tenure);
            if tenure.since <= read {
                tenure.pooled = pooled;
                for granter in tenure.granters.values_mut() {
                    granter.set_pooled(pooled, now);
                }
            }
        }
    }

    /// Lists the shards that are held and whose grants, a predecessor's too, fit the capacity with
    /// at most `pooled` floors.
    fn fitted(&self, division: Division, pooled: usize, now: Instant) -> Vec<usize> {
        let settings = division.settings();
        let fits = |tenure: &mut Tenure| {
            let opens = tenure.since + settings.term + settings.margin;
            (opens..tenure.until).contains(&now)
                && tenure.pooled <= pooled
                && tenure.granters.values_mut().all(|g| g.fits(now))
        };
        let tenures = self.tenures().into_iter();
        tenures
            .filter(|(_, tenure)| fits(&mut lock(tenure)))
            .map(|(shard, _)| shard)
            .collect()
    }

    /// Drops the grants of workspaces that are no longer configured.
    fn retain(&self, configured: impl Fn(&str) -> bool, now: Instant) {
        for (_, tenure) in self.tenures() {
            let mut tenure = lock(&tenure);
            let before = tenure.granters.len();
            tenure.granters.retain(|workspace, _| configured(workspace));
            if tenure.granters.len() < before {
                // A workspace that is configured again waits until the dropped grants are over.
                tenure.since = now;
            }
        }
    }
}

/// Answers a renewal from what the control process knows.
pub fn renew(shared: &Shared, renew: &Renew) -> Option<Grant> {
    let (division, limit, version) = shared.read(|known| {
        let active = known.active.as_ref()?;
        let tenant = active.bundle.fleet.workspace(&renew.workspace)?;
        Some((known.division?, tenant.limit(), active.version))
    })?;
    // The clock is read last: a pause before this line can't make a lapsed lease look held.
    shared
        .granters
        .renew(renew, division, limit, version, Instant::now())
}

/// Follows the leases and the floors until `stop` is cancelled.
pub async fn run(shared: Shared, client: Client, stop: CancellationToken) {
    let mut leases = leases::Leases::new(&shared);
    let mut absent = floors::Absent::default();
    let mut told = ask::Told::default();
    while !stop.is_cancelled() {
        let floors = floors::settle(&shared, &client, &mut absent);
        let (floors, ()) = tokio::join!(floors, leases.step(&shared, &client));
        if let Err(error) = &floors {
            log::debug!("floors can't be read or written: {error}");
            ask::floor(&shared).await;
        }
        ask::tell(&shared, &mut told, floors.is_err()).await;
        forget(&shared);
        let pause = tokio::time::sleep(shared.settings.granter_interval.0);
        tokio::select! {
            () = stop.cancelled() => {}
            () = pause => {}
            () = shared.reported.notified() => {}
        }
    }
    leases.give_back(&shared, &client).await;
}

fn forget(shared: &Shared) {
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
