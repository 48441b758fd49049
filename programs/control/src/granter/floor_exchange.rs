//! Exchange of floor ownership between VMs, for restarts while the table can't be read.

use crate::state::{ControlState, Peer, Shared};
use base::id::{Incarnation, Vm};
use futures::future::join_all;
use peers::gossip::{Floor, Owned};
use peers::wire::Frame;
use std::time::Duration;

const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Most VMs that are called at once, those of the own data centre first.
const MAX_PEERS: usize = 6;

/// Incarnation of the entry whose floor was last announced to another VM.
pub type Announced = Option<Incarnation>;

/// Fetches the division of limits and this VM's floor from other VMs, unless they are known. The
/// answer with the latest version of the row `floors` is used.
///
/// An answer without the floor isn't final: the VMs that know of it may not have answered.
pub async fn fetch(shared: &Shared) {
    if shared.read(|known| known.division.is_some() && known.owns_floor) {
        return;
    }
    let (vm, peers) = shared.read(|known| (known.vm.clone(), closest_peers(known)));
    let asked = peers.iter().map(|peer| request_floor(shared, peer, &vm));
    let answers = join_all(asked).await.into_iter().flatten();
    if let Some(floor) = answers.max_by_key(|floor| floor.version) {
        shared.update_and_publish(|known| apply_floor(known, &floor));
    }
}

fn apply_floor(known: &mut ControlState, floor: &Floor) {
    if known.division.is_none() {
        log::info!("limit division adopted from another VM");
        known.division = Some(floor.division);
    }
    if floor.owned {
        known.floor_owners.record_owner(&known.vm, floor.version);
    }
    let owned = known.floor_owners.floor(&known.vm);
    let owned = owned.is_some_and(|(_, owned)| owned);
    if owned && !known.owns_floor {
        log::info!("floor confirmed by another VM");
    }
    known.owns_floor = owned;
}

/// Announces this VM's floor to other VMs: once when it is owned, and repeatedly while the table
/// can't be read, since VMs that restart in that time have no other source.
pub async fn announce(shared: &Shared, announced: &mut Announced, is_table_unreadable: bool) {
    let (entry, owned, peers) = shared.read(|known| {
        let floor = known
            .floor_owners
            .floor(&known.vm)
            .filter(|_| known.owns_floor);
        let owned = floor.map(|(version, _)| Owned {
            vm: known.vm.clone(),
            version,
        });
        (known.entry_incarnation, owned, closest_peers(known))
    });
    let Some(owned) = owned else {
        return;
    };
    if *announced == entry && !is_table_unreadable {
        return;
    }
    let answers = peers.iter().map(|peer| {
        shared
            .links
            .call(peer.address, CALL_TIMEOUT, |client, context| {
                let owned = owned.clone();
                async move { client.owns(context, Frame::new(owned)).await }
            })
    });
    if join_all(answers).await.iter().any(Result::is_ok) {
        *announced = entry;
    }
}

fn closest_peers(known: &ControlState) -> Vec<Peer> {
    let identity = known.view.identity();
    let nodes = known.list.nodes.iter();
    let mut others: Vec<_> = nodes.filter(|node| node.name != identity.vm).collect();
    others.sort_by_key(|node| {
        (
            node.data_centre != identity.data_centre,
            node.region != identity.region,
        )
    });
    others
        .into_iter()
        .take(MAX_PEERS)
        .map(Peer::from_node)
        .collect()
}

async fn request_floor(shared: &Shared, peer: &Peer, vm: &Vm) -> Option<Floor> {
    let call = shared
        .links
        .call(peer.address, CALL_TIMEOUT, |client, context| {
            let vm = vm.clone();
            async move { client.floor(context, Frame::new(vm)).await }
        });
    call.await.and_then(Frame::open).ok()?
}

/// Answers another VM's request from the row as last read here, or from that VM's own announcement.
pub fn handle(known: &ControlState, vm: &Vm) -> Option<Floor> {
    let (version, owned) = known.floor_owners.floor(vm)?;
    Some(Floor {
        version,
        division: known.division?,
        owned,
    })
}
