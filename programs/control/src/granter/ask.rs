//! Asks other VMs for the floor of this VM while the table can't be read.

use crate::state::{Known, Peer, Shared};
use base::id::Vm;
use futures::future::join_all;
use peers::gossip::Floor;
use peers::wire::Frame;
use std::time::Duration;

/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Most VMs that are asked at once, those of the own data centre first.
const ASKED: usize = 6;

/// Takes the division of limits and this VM's floor from the VM that read the row `floors` last,
/// unless they are known.
///
/// A copy of the row may be old. A floor is taken back only once its VM is gone, so a copy that
/// names this VM is still right while this VM runs.
pub async fn floor(shared: &Shared) {
    let (vm, peers) = shared.read(|known| (known.view.place().vm.clone(), nearest(known)));
    if shared.read(|known| known.division.is_some()) {
        return;
    }
    let asked = peers.iter().map(|peer| ask(shared, peer, &vm));
    let answers = join_all(asked).await.into_iter().flatten();
    let Some(floor) = answers.max_by_key(|floor| floor.version) else {
        return;
    };
    log::info!("the division of limits is taken from another VM");
    shared.change(|known| {
        if known.division.is_none() {
            known.division = Some(floor.division);
            known.floor = floor.owned;
        }
    });
}

fn nearest(known: &Known) -> Vec<Peer> {
    let place = known.view.place();
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

/// Answers another VM from the row as this VM read it last.
pub fn answer(known: &Known, vm: &Vm) -> Option<Floor> {
    let (version, owners) = known.owners.as_ref()?;
    Some(Floor {
        version: *version,
        division: known.division?,
        owned: owners.contains(vm),
    })
}
