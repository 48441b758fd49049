//! Exchange of suspicions and incarnations with the entries of other VMs.

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

/// Time between two exchanges; half of the hold covers one that is lost.
const INTERVAL: Duration = Duration::from_millis(200);
/// Longest time for one exchange.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which an unchanged report is repeated, for a control process that restarted.
const REPORT: Duration = Duration::from_secs(1);

/// Exchanges until `stop` is cancelled; at once when a suspicion is new.
pub async fn run(
    quarantine: Arc<Quarantine>,
    mut snapshot: watch::Receiver<Arc<Snapshot>>,
    control: SocketAddr,
    stop: CancellationToken,
) {
    let links = Links::default();
    let rounds = async {
        // The first round starts as soon as the list of VMs is known.
        let listed = |known: &Arc<Snapshot>| !known.nodes().is_empty();
        let _ = snapshot.wait_for(listed).await;
        quarantine.news.notify_one();
        loop {
            let _ = tokio::time::timeout(INTERVAL, quarantine.news.notified()).await;
            let known = snapshot.borrow().clone();
            let others = known
                .nodes()
                .iter()
                .filter(|node| node.name != quarantine.vm);
            let calls: FuturesUnordered<_> =
                others.map(|node| tell(&quarantine, &links, node)).collect();
            calls.collect::<Vec<()>>().await;
            quarantine.mark(&known);
            quarantine.started.send_replace(true);
        }
    };
    let reports = report(&quarantine, control);
    stop.run_until_cancelled(async { tokio::join!(rounds, reports) })
        .await;
}

async fn tell(quarantine: &Quarantine, links: &Links<ShareClient>, node: &Node) {
    let (news, revision) = quarantine.news(&node.name);
    let call = |client: ShareClient, context| async move {
        client.suspects(context, Frame::new(news)).await
    };
    let Ok(frame) = links.call(node.share, TIMEOUT, call).await else {
        return;
    };
    let Ok(theirs) = frame.open() else {
        return;
    };
    quarantine.merge_report(&theirs);
    if let Some(peer) = lock(&quarantine.peers).get_mut(&theirs.vm)
        && peer.incarnation == theirs.incarnation
    {
        peer.revision = revision;
    }
}

/// Reports the incarnations to this VM's control process, which passes them to the look-up.
async fn report(quarantine: &Quarantine, control: SocketAddr) {
    let mut client: Option<LocalClient> = None;
    let mut reported: Option<(Runs, Instant)> = None;
    loop {
        tokio::time::sleep(INTERVAL).await;
        let runs = quarantine.runs();
        let fresh = |(last, at): &(Runs, Instant)| *last == runs && at.elapsed() < REPORT;
        if reported.as_ref().is_some_and(fresh) {
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
