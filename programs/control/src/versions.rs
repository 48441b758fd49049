//! Versions in force on the VMs of the fleet, collected on an operator's request.
//!
//! Sending them with heartbeats would exceed the traffic budget of a VM.

use crate::state::{ControlState, Peer, Shared};
use base::id::{DataCentre, Version, Vm};
use futures::future::join_all;
use indexmap::IndexMap;
use peers::wire::Frame;
use std::time::Duration;

/// Timeout of a call inside the data centre.
const VM_TIMEOUT: Duration = Duration::from_millis(500);
/// Exceeds [`VM_TIMEOUT`], for which the called VM waits for its own calls.
const DATA_CENTRE_TIMEOUT: Duration = Duration::from_secs(1);
/// Most VMs of another data centre that are called, one after another.
const MAX_PEERS: usize = 2;

/// Returns the versions on the VMs of all data centres, without VMs that don't answer.
pub async fn fleet_versions(shared: &Shared) -> IndexMap<Vm, Version> {
    let centres = shared.read(remote_peers);
    let asked = join_all(centres.values().map(|peers| remote_versions(shared, peers)));
    let (own, others) = tokio::join!(data_centre_versions(shared), asked);
    others.into_iter().flatten().chain(own).collect()
}

/// Returns the versions on the VMs of the own data centre.
pub async fn data_centre_versions(shared: &Shared) -> IndexMap<Vm, Version> {
    let (vm, version, peers) = shared.read(|known| {
        let identity = known.view.identity();
        let nodes = known.list.nodes.iter();
        let local = nodes.filter(|node| node.data_centre == identity.data_centre);
        let local = local.filter(|node| node.name != identity.vm);
        let peers: Vec<Peer> = local.map(Peer::from_node).collect();
        (identity.vm.clone(), known.version(), peers)
    });
    let asked = join_all(peers.into_iter().map(|peer| version_of(shared, peer))).await;
    asked.into_iter().flatten().chain([(vm, version)]).collect()
}

/// Returns the VMs to call in each other data centre, the contact first.
fn remote_peers(known: &ControlState) -> IndexMap<DataCentre, Vec<Peer>> {
    let own = &known.view.identity().data_centre;
    let mut centres: IndexMap<DataCentre, Vec<Peer>> = IndexMap::new();
    for node in known.list.nodes.iter().filter(|n| n.data_centre != *own) {
        let centre = centres.entry(node.data_centre.clone()).or_default();
        centre.push(Peer::from_node(node));
    }
    for (name, peers) in &mut centres {
        let contact = known.view.contacts().get(name).map(|contact| &contact.vm);
        peers.sort_by_key(|peer| Some(&peer.vm) != contact);
        peers.truncate(MAX_PEERS);
    }
    centres
}

async fn version_of(shared: &Shared, peer: Peer) -> Option<(Vm, Version)> {
    let answer = shared
        .links
        .call(peer.address, VM_TIMEOUT, |client, context| async move {
            client.version(context).await
        });
    let version = answer.await.and_then(Frame::open).ok()?;
    Some((peer.vm, version))
}

async fn remote_versions(shared: &Shared, peers: &[Peer]) -> IndexMap<Vm, Version> {
    for peer in peers {
        let answer = shared.links.call(
            peer.address,
            DATA_CENTRE_TIMEOUT,
            |client, context| async move { client.versions(context).await },
        );
        if let Ok(versions) = answer.await.and_then(Frame::open) {
            return versions;
        }
    }
    IndexMap::new()
}
