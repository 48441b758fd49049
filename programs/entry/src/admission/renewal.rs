//! Renews the elastic parts of active workspaces and follows the configuration.

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

/// Time between two looks at the accounts; a holder itself paces its renewals.
const LOOK: Duration = Duration::from_millis(25);

/// Longest time for one renewal; the holder itself repeats it after its `patience`.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(500);

impl Admission {
    /// Renews until `stop` is cancelled.
    pub async fn run(&self, stop: CancellationToken) {
        let links = Arc::new(Links::default());
        let mut snapshots = self.snapshot.clone();
        while !stop.is_cancelled() {
            if snapshots.has_changed().unwrap_or(false) {
                snapshots.mark_unchanged();
                self.follow();
            }
            self.renew(&links);
            stop.run_until_cancelled(tokio::time::sleep(LOOK)).await;
        }
    }

    fn all(&self) -> impl Iterator<Item = (Workspace, Arc<Account>)> {
        self.accounts.iter().flat_map(|shard| {
            let accounts = lock(shard);
            let all = accounts.iter();
            let all: Vec<_> = all.map(|(w, a)| (w.clone(), a.clone())).collect();
            all
        })
    }

    /// Takes up the configuration, the floor and the list of VMs.
    fn follow(&self) {
        let snapshot = self.snapshot.borrow().clone();
        for (workspace, account) in self.all() {
            account.follow(&workspace, &snapshot, &self.settings, self.incarnation);
        }
        let now = Instant::now();
        for shard in &self.accounts {
            lock(shard)
                .retain(|name, account| snapshot.limit(name).is_some() || !account.is_over(now));
        }
        let mut lines = lock(&self.lines);
        lines.retain(|service, line| {
            line.retain(|name| snapshot.limit(name).is_some());
            // A line in use is kept until its requests have ended.
            snapshot.service(service).is_some() || Arc::strong_count(line) > 1
        });
    }

    fn renew(&self, links: &Arc<Links<GossipClient>>) {
        let snapshot = self.snapshot.borrow().clone();
        let now = Instant::now();
        for (workspace, account) in self.all() {
            let Some(address) = snapshot.shares.granter(&workspace) else {
                continue;
            };
            if account.is_active(now)
                && let Some(renew) = account.holder(|holder| holder.renew(Instant::now()))
            {
                self.send(links.clone(), address, account, renew);
            }
        }
    }

    fn send(
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
                .call(address, RENEWAL_TIMEOUT, |client, context| async move {
                    client.renew(context, renew).await
                })
                .await
                .and_then(Frame::open);
            match answer {
                Ok(Some(grant)) => {
                    account.holder(|holder| holder.apply_grant(&grant, Instant::now()));
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
