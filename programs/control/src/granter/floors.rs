//! Row `floors`: how limits are divided and which VM owns a floor.

use crate::record::{FLOORS, Ledger};
use crate::state::Shared;
use crate::table;
use base::id::Vm;
use indexmap::{IndexMap, IndexSet};
use peers::local::Division;
use platform::{Client, Error};
use std::time::Instant;
use steering::limits::Floors;

/// Owners of floors that the platform's list doesn't name, and since when.
pub type Absent = IndexMap<Vm, Instant>;

/// Reads the row, writes what has to change, and publishes what the table confirms.
///
/// A claim counts only once it was read or its write was answered, so a lost answer is settled by
/// the next read.
pub async fn step(shared: &Shared, client: &Client, absent: &mut Absent) -> Result<(), Error> {
    let (version, ledger) = match client.read(FLOORS).await {
        Ok(row) => (row.version, Some(table::decode::<Ledger>(row.value)?)),
        Err(Error::Absent) => (0, None),
        Err(error) => return Err(error),
    };
    let Some(known) = ledger.clone().or_else(|| first(shared)) else {
        return Ok(());
    };
    if ledger.is_some() {
        publish(shared, &known);
    }
    let wanted = change(shared, known.clone(), absent, Instant::now());
    if ledger.is_some() && wanted == known {
        return Ok(());
    }
    client
        .write(FLOORS, &table::write(version, &wanted)?)
        .await?;
    publish(shared, &wanted);
    Ok(())
}

/// Makes the first row from the configuration; none while there is no configuration.
///
/// NOTE: a later change of `floor_share` or `floor_units` doesn't change the row, since VMs that
/// compute floors and grants from different divisions could exceed the limit together.
fn first(shared: &Shared) -> Option<Ledger> {
    let limits = shared.read(|known| Some(known.active.as_ref()?.bundle.fleet.limits))?;
    Some(Ledger {
        division: Division {
            floor_percent: limits.floor_percent(),
            floor_units: limits.floor_units.into(),
            shards: shared.settings.granter_shards,
        },
        floors: Floors::new(usize::try_from(limits.floor_units).unwrap_or(1)),
    })
}

/// Claims a floor for this VM's entry and frees the floors of VMs that are gone.
fn change(shared: &Shared, mut ledger: Ledger, absent: &mut Absent, now: Instant) -> Ledger {
    let vm = &shared.settings.vm;
    let (listed, entry) = shared.read(|known| {
        let nodes = known.list.nodes.iter().map(|node| node.name.clone());
        (nodes.collect::<IndexSet<Vm>>(), known.entry)
    });
    // An empty list comes from a process that has not read it yet.
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
    if let Some(entry) = entry {
        let owned = |ledger: &Ledger| {
            let mut owners = ledger.floors.owners();
            owners.any(|claim| claim.incarnation == entry && claim.vm == *vm)
        };
        if !owned(&ledger) && ledger.floors.claim(vm, entry).is_none() {
            log::warn!("no floor is free; raise `floor_units` to at least the number of VMs");
        }
    }
    ledger
}

fn publish(shared: &Shared, ledger: &Ledger) {
    let vm = &shared.settings.vm;
    let owned = ledger.floors.owners().any(|claim| claim.vm == *vm);
    shared.change(|known| {
        if known.division.is_none() {
            warn_of_difference(shared, known.active.as_ref(), ledger);
        }
        known.division = Some(ledger.division);
        known.floor = owned;
    });
}

fn warn_of_difference(shared: &Shared, active: Option<&crate::state::Active>, ledger: &Ledger) {
    let division = ledger.division;
    let limits = active.map(|active| active.bundle.fleet.limits);
    let same = limits.is_none_or(|limits| {
        limits.floor_percent() == division.floor_percent
            && u64::from(limits.floor_units) == division.floor_units
    });
    if !same || shared.settings.granter_shards != division.shards {
        log::warn!(
            "limits are divided as the row `{FLOORS}` says: {}% in {} floors, {} shards",
            division.floor_percent,
            division.floor_units,
            division.shards
        );
    }
}
