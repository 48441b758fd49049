//! Renews the elastic allocations of active workspaces and applies the configuration.

use super::account::Account;
use super::{Admission, lock};
use base::id::Workspace;
use peers::gossip::GossipClient;
use peers::link::Links;
use peers::wire::Frame;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::limits::Renew;
use tokio_util::sync::CancellationToken;

/// Time between two checks of the accounts; a holder itself paces its renewals.
const RENEWAL_TICK: Duration = Duration::from_millis(25);

/// Longest time for one renewal; the holder itself repeats it after its `answer_timeout`.
const RENEWAL_CALL_TIMEOUT: Duration = Duration::from_millis(500);

impl Admission {
    /// Renews allocations until `stop` is cancelled.
    pub async fn run(&self, stop: CancellationToken) {
        let links = Arc::new(Links::default());
        let mut snapshots = self.snapshot.clone();
        while !stop.is_cancelled() {
            if snapshots.has_changed().unwrap_or(false) {
                snapshots.mark_unchanged();
                self.apply_snapshot();
            }
            self.renew(&links);
            stop.run_until_cancelled(tokio::time::sleep(RENEWAL_TICK))
                .await;
        }
    }

    fn all_accounts(&self) -> impl Iterator<Item = (Workspace, Arc<Account>)> {
        self.accounts.iter().flat_map(|shard| {
            let accounts = lock(shard);
            let all = accounts.iter();
            let all: Vec<_> = all.map(|(w, a)| (w.clone(), a.clone())).collect();
            all
        })
    }

    /// Applies the configuration, the floor and the list of VMs.
    fn apply_snapshot(&self) {
        let snapshot = self.snapshot.borrow().clone();
        for (workspace, account) in self.all_accounts() {
            account.apply_snapshot(&workspace, &snapshot, &self.settings, self.incarnation);
        }
        let now = Instant::now();
        for shard in &self.accounts {
            lock(shard)
                .retain(|name, account| snapshot.limit(name).is_some() || !account.is_expired(now));
        }
        let mut queues = lock(&self.queues);
        queues.retain(|service, queue| {
            queue.retain(|name| snapshot.limit(name).is_some());
            // A queue in use is kept until its requests have ended.
            snapshot.service(service).is_some() || Arc::strong_count(queue) > 1
        });
    }

    fn renew(&self, links: &Arc<Links<GossipClient>>) {
        let snapshot = self.snapshot.borrow().clone();
        let now = Instant::now();
        for (workspace, account) in self.all_accounts() {
            let Some(address) = snapshot.shares.granter(&workspace) else {
                continue;
            };
            if account.is_active(now)
                && let Some(renew) = account.with_holder(|holder| holder.renew(Instant::now()))
            {
                self.send_renewal(links.clone(), address, account, renew);
            }
        }
    }

    fn send_renewal(
        &self,
        links: Arc<Links<GossipClient>>,
        address: SocketAddr,
        account: Arc<Account>,
        renew: Renew,
    ) {
        let metrics = self.metrics.clone();
        tokio::spawn(async move {
            let workspace = renew.workspace.clone();
            let renew = Frame::new(renew);
            let answer = links
                .call(
                    address,
                    RENEWAL_CALL_TIMEOUT,
                    |client, context| async move { client.renew(context, renew).await },
                )
                .await
                .and_then(Frame::open);
            match answer {
                Ok(Some(grant)) => {
                    account.with_holder(|holder| holder.apply_grant(&grant, Instant::now()));
                    account.wake();
                    metrics.record_renewal(&workspace, "granted");
                }
                Ok(None) => metrics.record_renewal(&workspace, "not-granted"),
                Err(error) => {
                    log::debug!("the granter at {address} did not answer: {error}");
                    metrics.record_renewal(&workspace, "no-answer");
                }
            }
        });
    }
}
