//! Exchange of release state with the control processes of other VMs.

use crate::state::Shared;
use futures::future::join_all;
use peers::gossip::{GossipClient, Releases};
use peers::link::Links;
use peers::wire::Frame;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;

const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);

const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(450);

/// Exchanges release state with all listed VMs until `stop` is cancelled.
///
/// NOTE: every VM calls every other one. At the target size, evidence has to be summed per data
/// centre before it is sent to another.
pub async fn run(shared: &Shared, stop: &CancellationToken) {
    let links = Links::<GossipClient>::default();
    while !stop.is_cancelled() {
        let others: Vec<SocketAddr> = shared.read(|known| {
            let own = &shared.settings.vm;
            let others = known.list.nodes.iter().filter(|node| node.name != *own);
            others.map(|node| node.gossip).collect()
        });
        let calls = others
            .iter()
            .map(|address| exchange(shared, &links, *address));
        join_all(calls).await;
        stop.run_until_cancelled(tokio::time::sleep(EXCHANGE_INTERVAL))
            .await;
    }
}

async fn exchange(shared: &Shared, links: &Links<GossipClient>, address: SocketAddr) {
    let message = shared.read(|known| known.progress.message(&shared.settings.vm));
    let leaving = message.leaving;
    let call = |client: GossipClient, context| async move {
        client.releases(context, Frame::new(message)).await
    };
    let answer = links.call(address, EXCHANGE_TIMEOUT, call).await;
    match answer.and_then(Frame::open) {
        Ok(message) => {
            let vm = message.vm.clone();
            merge_message(shared, message);
            shared.update(|known| {
                if let Some(peer) = known.progress.peers.get_mut(&vm) {
                    peer.knows_of_shutdown = leaving;
                }
            });
        }
        Err(error) => log::debug!("release exchange with {address} failed: {error}"),
    }
}

/// Merges a message of another VM; a new halt, drain or shutdown is published at once.
pub fn merge_message(shared: &Shared, message: Releases) {
    let now = Instant::now();
    let act = shared.update(|known| {
        let before = (known.progress.halt.clone(), known.progress.drains.0);
        let was_leaving = known
            .progress
            .peers
            .get(&message.vm)
            .is_some_and(|peer| peer.leaving);
        let leaving = message.leaving;
        known.progress.merge_message(message, now);
        before != (known.progress.halt.clone(), known.progress.drains.0) || leaving != was_leaving
    });
    if act {
        shared.update_and_publish(|known| known.evaluate_releases(now));
    }
}
