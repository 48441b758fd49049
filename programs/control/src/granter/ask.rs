//! Floors between VMs: each tells others of its floor, and asks them for it while the table can't be
//! read.

use crate::state::{Known, Peer, Shared};
use base::id::{Incarnation, Vm};
use futures::future::join_all;
use peers::gossip::{Floor, Owned};
use peers::wire::Frame;
use std::time::Duration;

/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Most VMs that are asked or told at once, those of the own data centre first.
const ASKED: usize = 6;

/// Entry of whose floor another VM has been told.
pub type Told = Option<Incarnation>;

/// Takes the division of limits and this VM's floor from the VM that knows the latest version of the
/// row `floors`, unless they are known.
///
/// An answer without the floor isn't final: the VMs that know of it may not have answered.
pub async fn floor(shared: &Shared) {
    if shared.read(|known| known.division.is_some() && known.floor) {
        return;
    }
    let (vm, peers) = shared.read(|known| (known.vm.clone(), nearest(known)));
    let asked = peers.iter().map(|peer| ask(shared, peer, &vm));
    let answers = join_all(asked).await.into_iter().flatten();
    if let Some(floor) = answers.max_by_key(|floor| floor.version) {
        shared.change(|known| take(known, &floor));
    }
}

fn take(known: &mut Known, floor: &Floor) {
    if known.division.is_none() {
        log::info!("the division of limits is taken from another VM");
        known.division = Some(floor.division);
    }
    if floor.owned {
        known.owners.record_owner(&known.vm, floor.version);
    }
    let owned = known.owners.floor(&known.vm);
    let owned = owned.is_some_and(|(_, owned)| owned);
    if owned && !known.floor {
        log::info!("the floor is confirmed by another VM");
    }
    known.floor = owned;
}

/// Tells other VMs of this VM's floor: once it has one, and while the table can't be read (`blind`),
/// as those that have restarted since know it from nowhere else.
pub async fn tell(shared: &Shared, told: &mut Told, blind: bool) {
    let (entry, owned, peers) = shared.read(|known| {
        let floor = known.owners.floor(&known.vm).filter(|_| known.floor);
        let owned = floor.map(|(version, _)| Owned {
            vm: known.vm.clone(),
            version,
        });
        (known.entry, owned, nearest(known))
    });
    let Some(owned) = owned else {
        return;
    };
    if *told == entry && !blind {
        return;
    }
    let answers = peers.iter().map(|peer| {
        shared.links.call(peer.address, TIMEOUT, |client, context| {
            let owned = owned.clone();
            async move { client.owns(context, Frame::new(owned)).await }
        })
    });
    if join_all(answers).await.iter().any(Result::is_ok) {
        *told = entry;
    }
}

fn nearest(known: &Known) -> Vec<Peer> {
    let place = known.view.identity();
    let nodes = known.list.nodes.iter();
    let mut others: Vec<_> = nodes.filter(|node| node.name != place.vm).collect();
    others.sort_by_key(|node| {
        (
            node.data_centre != place.data_centre,
            node.region != place.region,
        )
    });
    others.into_iter().take(ASKED).map(Peer::of).collect()
}

async fn ask(shared: &Shared, peer: &Peer, vm: &Vm) -> Option<Floor> {
    let call = shared.links.call(peer.address, TIMEOUT, |client, context| {
        let vm = vm.clone();
        async move { client.floor(context, Frame::new(vm)).await }
    });
    call.await.and_then(Frame::open).ok()?
}

/// Answers another VM from the row as this VM read it last, or from that VM's own word.
pub fn answer(known: &Known, vm: &Vm) -> Option<Floor> {
    let (version, owned) = known.owners.floor(vm)?;
    Some(Floor {
        version,
        division: known.division?,
        owned,
    })
}
