//! Exchange of suspected digests and incarnations with the entries of other VMs.

use super::{Quarantine, lock};
use crate::snapshot::Snapshot;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use peers::link::Links;
use peers::local::{self, LocalClient, Runs};
use peers::share::ShareClient;
use peers::wire::Frame;
use platform::list::Node;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Time between two exchanges; short enough that one may be lost within half of the time for which
/// replies are held after a crash.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time for one exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which unchanged incarnations are reported again, for a restarted control process.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Exchanges reports until `stop` is cancelled: at intervals, and at once after a change.
pub async fn run(
    quarantine: Arc<Quarantine>,
    mut snapshot: watch::Receiver<Arc<Snapshot>>,
    control: SocketAddr,
    stop: CancellationToken,
) {
    let links = Links::default();
    let rounds = async {
        // The first round starts as soon as the list of VMs is known.
        let has_nodes = |snapshot: &Arc<Snapshot>| !snapshot.nodes().is_empty();
        let _ = snapshot.wait_for(has_nodes).await;
        quarantine.exchange_due.notify_one();
        loop {
            let _ =
                tokio::time::timeout(EXCHANGE_INTERVAL, quarantine.exchange_due.notified()).await;
            let current = snapshot.borrow().clone();
            let others = current
                .nodes()
                .iter()
                .filter(|node| node.name != quarantine.vm);
            let calls: FuturesUnordered<_> = others
                .map(|node| exchange_with(&quarantine, &links, node))
                .collect();
            calls.collect::<Vec<()>>().await;
            quarantine.mark_reserved(&current);
            quarantine.first_exchange_done.send_replace(true);
        }
    };
    let reports = report_incarnations(&quarantine, control);
    stop.run_until_cancelled(async { tokio::join!(rounds, reports) })
        .await;
}

async fn exchange_with(quarantine: &Quarantine, links: &Links<ShareClient>, node: &Node) {
    let (report, revision) = quarantine.report_for(&node.name);
    let call = |client: ShareClient, context| async move {
        client.suspects(context, Frame::new(report)).await
    };
    let Ok(frame) = links.call(node.share, EXCHANGE_TIMEOUT, call).await else {
        return;
    };
    let Ok(answer) = frame.open() else {
        return;
    };
    quarantine.merge_report(&answer);
    if let Some(peer) = lock(&quarantine.peers).get_mut(&answer.vm)
        && peer.incarnation == answer.incarnation
    {
        peer.known_revision = revision;
    }
}

/// Reports the incarnations to this VM's control process, which passes them to the look-up.
async fn report_incarnations(quarantine: &Quarantine, control: SocketAddr) {
    let mut client: Option<LocalClient> = None;
    let mut reported: Option<(Runs, Instant)> = None;
    loop {
        tokio::time::sleep(EXCHANGE_INTERVAL).await;
        let runs = quarantine.incarnations();
        let is_current =
            |(last, at): &(Runs, Instant)| *last == runs && at.elapsed() < REPORT_INTERVAL;
        if reported.as_ref().is_some_and(is_current) {
            continue;
        }
        if client.is_none() {
            client = local::connect(control).await.ok();
        }
        let Some(connected) = &client else {
            continue;
        };
        let call = connected.runs(tarpc::context::current(), Frame::new(runs.clone()));
        if call.await.is_ok() {
            reported = Some((runs, Instant::now()));
        } else {
            client = None;
        }
    }
}
