//! Row `floors`: the division of limits and the owners of floors.

use crate::record::{FLOORS, Ledger};
use crate::state::Shared;
use crate::table;
use base::id::{Incarnation, Vm};
use indexmap::{IndexMap, IndexSet};
use peers::local::Division;
use platform::{Client, Error};
use std::time::Instant;
use steering::limits::Floors;
use steering::limits::floors::Claim;

/// Owners of floors that are missing from the platform's list, with the time since when.
pub type AbsentOwners = IndexMap<Vm, Instant>;

/// All VMs write the row when they start, so conflicts with other writers are frequent then.
const MAX_ATTEMPTS: usize = 8;

/// Updates the row and retries after conflicts with other writers.
pub async fn update(
    shared: &Shared,
    client: &Client,
    absent: &mut AbsentOwners,
) -> Result<(), Error> {
    for _ in 1..MAX_ATTEMPTS {
        match try_update(shared, client, absent).await {
            Err(Error::Conflict(_)) => {}
            settled => return settled,
        }
    }
    try_update(shared, client, absent).await
}

/// Reads the row, writes the necessary changes, and publishes the state that the table confirmed.
///
/// A claim counts only once it was read or its write was confirmed, so the next read resolves a
/// write whose answer was lost.
async fn try_update(
    shared: &Shared,
    client: &Client,
    absent: &mut AbsentOwners,
) -> Result<(), Error> {
    let read_at = Instant::now();
    let (version, ledger) = match client.read(FLOORS).await {
        Ok(row) => (row.version, Some(table::decode::<Ledger>(row.value)?)),
        Err(Error::Absent) => (0, None),
        Err(error) => return Err(error),
    };
    let Some(known) = ledger.clone().or_else(|| initial_ledger(shared)) else {
        return Ok(());
    };
    if ledger.is_some() {
        publish(shared, &known, version, read_at);
    }
    let next = updated_ledger(shared, known.clone(), absent, Instant::now());
    if ledger.is_some() && next == known {
        return Ok(());
    }
    let write = table::write(version, &next)?;
    let version = client.write(FLOORS, &write).await?;
    publish(shared, &next, version, read_at);
    Ok(())
}

/// Returns the initial row by the configuration in force, if there is one.
///
/// NOTE: a later change of `floor_share` or `floor_units` doesn't change the row, since VMs that
/// compute floors and grants from different divisions could exceed the limit together.
fn initial_ledger(shared: &Shared) -> Option<Ledger> {
    let limits = shared.read(|known| Some(known.active.as_ref()?.bundle.fleet.limits))?;
    Some(Ledger {
        division: Division {
            floor_percent: limits.floor_percent(),
            floor_units: limits.floor_units.into(),
            shards: shared.settings.granter_shards,
        },
        floors: Floors::new(usize::try_from(limits.floor_units).unwrap_or(1)),
        freeing: false,
        fitted: IndexSet::new(),
    })
}

/// Returns the number of pooled floors that granters may use.
fn usable_pooled_floors(ledger: &Ledger) -> usize {
    let pooled = ledger.floors.pooled();
    pooled.saturating_sub(usize::from(ledger.freeing))
}

/// Claims a floor for this VM's entry, reclaims the floors of VMs that left the list, and moves
/// unneeded floors to the granters' pool.
fn updated_ledger(
    shared: &Shared,
    mut ledger: Ledger,
    absent: &mut AbsentOwners,
    now: Instant,
) -> Ledger {
    let vm = &shared.settings.vm;
    let (listed, entry) = shared.read(|known| {
        let nodes = known.list.nodes.iter().map(|node| node.name.clone());
        (nodes.collect::<IndexSet<Vm>>(), known.entry_incarnation)
    });
    // The list is empty until it was first read.
    if !listed.is_empty() {
        let gone: IndexSet<Vm> = ledger
            .floors
            .owners()
            .map(|claim| claim.vm.clone())
            .filter(|owner| owner != vm && !listed.contains(owner))
            .collect();
        absent.retain(|owner, _| gone.contains(owner));
        for owner in gone {
            absent.entry(owner).or_insert(now);
        }
        let wait = shared.settings.list_lag.0;
        ledger.floors.reclaim(|claim| {
            let since = absent.get(&claim.vm);
            since.is_some_and(|&since| now >= since + wait)
        });
    }
    free_pooled_floor(shared, &mut ledger, now);
    if let Some(entry) = entry {
        claim_floor(vm, entry, &mut ledger);
    }
    if ledger.floors.free() == 0 && ledger.floors.pooled() > 0 && !ledger.freeing {
        // Asks all granters to do with one pooled floor less, so that the next VM can claim it.
        ledger.freeing = true;
        ledger.fitted.clear();
    }
    if !listed.is_empty() && !ledger.freeing {
        let owners: IndexSet<&Vm> = ledger.floors.owners().map(|claim| &claim.vm).collect();
        let without = listed.iter().filter(|vm| !owners.contains(vm)).count();
        // One further floor stays free for a VM that isn't listed yet.
        ledger.floors.pool(without + 1);
    }
    ledger
}

/// Claims a floor for this VM's entry, unless it has one.
fn claim_floor(vm: &str, entry: Incarnation, ledger: &mut Ledger) {
    let own = |claim: &Claim| claim.incarnation == entry && *claim.vm == *vm;
    let owned = ledger.floors.owners().any(own) || ledger.floors.claim(vm, entry).is_some();
    if !owned && ledger.floors.pooled() == 0 {
        log::warn!("no floor is free; set `floor_units` to at least the number of VMs");
    }
}

/// Records the shards whose grants fit without one of the pooled floors, and frees it once all fit.
fn free_pooled_floor(shared: &Shared, ledger: &mut Ledger, now: Instant) {
    if !ledger.freeing {
        return;
    }
    let fitted = shared
        .granters
        .fitting_shards(ledger.division, usable_pooled_floors(ledger), now);
    ledger.fitted.extend(fitted);
    let shards = usize::try_from(ledger.division.shards).unwrap_or(usize::MAX);
    if (0..shards).all(|shard| ledger.fitted.contains(&shard)) {
        ledger.floors.unpool();
        ledger.freeing = false;
        ledger.fitted.clear();
    }
}

fn publish(shared: &Shared, ledger: &Ledger, version: u64, read_at: Instant) {
    shared
        .granters
        .set_pooled(usable_pooled_floors(ledger), read_at, Instant::now());
    let vm = &shared.settings.vm;
    let owners: IndexSet<Vm> = ledger.floors.owners().map(|c| c.vm.clone()).collect();
    shared.update_and_publish(|known| {
        if known.division.is_none() {
            warn_if_division_differs(shared, known.active.as_ref(), ledger);
        }
        known.division = Some(ledger.division);
        known.owns_floor = owners.contains(vm);
        known.floor_owners.record_row(version, owners);
    });
}

fn warn_if_division_differs(
    shared: &Shared,
    active: Option<&crate::state::Active>,
    ledger: &Ledger,
) {
    let division = ledger.division;
    let limits = active.map(|active| active.bundle.fleet.limits);
    let same = limits.is_none_or(|limits| {
        limits.floor_percent() == division.floor_percent
            && u64::from(limits.floor_units) == division.floor_units
    });
    if !same || shared.settings.granter_shards != division.shards {
        log::warn!(
            "row `{FLOORS}` overrides the configured limit division: {}% in {} floors, {} shards",
            division.floor_percent,
            division.floor_units,
            division.shards
        );
    }
}
