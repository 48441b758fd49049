//! Admits requests: a token of the workspace's limit first, then a slot of the service.

pub mod account;
pub mod held;
pub mod line;
pub mod renewal;
pub mod slots;

use crate::authorise::Grant;
use crate::metrics::Metrics;
use crate::receive::Call;
use crate::settings::Settings;
use crate::snapshot::Snapshot;
use account::{Account, COST};
use base::id::{Incarnation, Service, Workspace};
use base::sync::lock;
use indexmap::IndexMap;
use line::{Line, Slot};
use peers::link::Links;
use peers::share::ShareClient;
use peers::wire::Frame;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use steering::attempt::Refusal;
use steering::limits::{Borrow, Lent, LoanRequest};
use steering::membership::rendezvous;
use tokio::sync::watch;

/// Shards of the accounts, each behind its own lock.
const SHARDS: usize = 16;

/// Longest time between two looks at the tokens while a request waits for one.
const LOOK: Duration = Duration::from_millis(50);

/// Longest time for a call to a lender; the holder itself gives up after its `loan_timeout`.
const LOAN_TIMEOUT: Duration = Duration::from_millis(500);

/// Most waiting requests for which tokens are borrowed at once.
const BORROWED: u64 = 16;

/// Workspace under which requests on routes open to all are queued.
const OPEN: &str = "";

/// Admission of requests, with the state of all workspaces and services.
#[derive(Debug)]
pub struct Admission {
    settings: Settings,
    incarnation: Incarnation,
    snapshot: watch::Receiver<Arc<Snapshot>>,
    accounts: [Mutex<IndexMap<Workspace, Arc<Account>>>; SHARDS],
    lines: Mutex<IndexMap<Service, Arc<Line>>>,
    lenders: Arc<Links<ShareClient>>,
    metrics: Arc<Metrics>,
}

impl Admission {
    /// Starts without tokens and without queues.
    pub fn new(
        settings: Settings,
        incarnation: Incarnation,
        snapshot: watch::Receiver<Arc<Snapshot>>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            settings,
            incarnation,
            snapshot,
            accounts: std::array::from_fn(|_| Mutex::default()),
            lines: Mutex::default(),
            lenders: Arc::default(),
            metrics,
        }
    }

    /// Waits until the request may start. The slot is taken until the result is dropped.
    ///
    /// # Errors
    ///
    /// Returns why the request is refused.
    pub async fn admit(&self, call: &Call, grant: &Grant<'_>) -> Result<Option<Slot>, Refusal> {
        let admitted = self.wait(call, grant).await;
        if let (Err(refusal), Some(workspace)) = (&admitted, &grant.workspace) {
            self.metrics.record_refusal(workspace, *refusal);
        }
        admitted
    }

    async fn wait(&self, call: &Call, grant: &Grant<'_>) -> Result<Option<Slot>, Refusal> {
        if call.deadline <= Instant::now() {
            return Err(Refusal::DeadlinePassed);
        }
        if let Some(workspace) = &grant.workspace {
            self.pay(workspace, call.deadline).await?;
        }
        let snapshot = self.snapshot.borrow().clone();
        let slots = slots::slots(&snapshot, grant.service, &self.settings);
        // Without servers there is nothing to wait for; forwarding refuses the request.
        if slots == 0 {
            return Ok(None);
        }
        let workspace = grant.workspace.as_deref().unwrap_or(OPEN);
        let digest = grant.digest.as_ref();
        let key = digest
            .map(|digest| digest.to_string().into())
            .unwrap_or_default();
        let line = self.line(&grant.service.service.value);
        line.wait(workspace, key, slots, call.deadline)
            .await
            .map(Some)
    }

    /// Spends a token, or waits for one within the deadline.
    async fn pay(&self, workspace: &str, deadline: Instant) -> Result<(), Refusal> {
        let arrived = Instant::now();
        let end = deadline.min(arrived + self.settings.token_wait.0);
        let account = self.known(workspace, end).await?;
        account.holder(|holder| holder.record_demand(COST, arrived));
        account.mark(arrived);
        // Many requests at once are no queue as long as there are tokens for them.
        if account.waiting() == 0 && account.holder(|holder| holder.spend(COST, arrived)) {
            self.metrics.record_spent(workspace);
            return Ok(());
        }
        let paid = match account.queue(self.settings.token_waiters) {
            Some(waiting) => {
                // The time to wait for the turn counts as well.
                let turn = async {
                    let _turn = waiting.turn().await;
                    self.spend(workspace, &account, end).await
                };
                let end = tokio::time::Instant::from_std(end);
                tokio::time::timeout_at(end, turn).await.unwrap_or(false)
            }
            None => false,
        };
        if paid {
            self.metrics.record_spent(workspace);
            Ok(())
        } else {
            Err(Refusal::RateLimited)
        }
    }

    /// Returns the account of a workspace, or waits for it while the control process has not told
    /// how limits are divided.
    async fn known(&self, workspace: &str, end: Instant) -> Result<Arc<Account>, Refusal> {
        loop {
            if let Some(account) = self.account(workspace) {
                return Ok(account);
            }
            if self.snapshot.borrow().limit(workspace).is_none() {
                return Err(Refusal::Forbidden);
            }
            let now = Instant::now();
            if now >= end {
                return Err(Refusal::RateLimited);
            }
            tokio::time::sleep(LOOK.min(end - now)).await;
        }
    }

    /// Spends a token, borrowing from peers until `end`. The caller is the first in line.
    async fn spend(&self, workspace: &str, account: &Arc<Account>, end: Instant) -> bool {
        loop {
            // Registers for changes before the look, so that none between the two is missed.
            let changed = account.changed();
            let now = Instant::now();
            if account.holder(|holder| holder.spend(COST, now)) {
                return true;
            }
            if now >= end {
                return false;
            }
            let needed = COST * account.waiting().clamp(1, BORROWED);
            while let Some(ask) = account.holder(|holder| holder.borrow(needed, now)) {
                self.ask(workspace, account.clone(), ask);
            }
            let ready = account.holder(|holder| holder.ready_at(COST, now));
            let look = (now + LOOK).min(end).min(ready.unwrap_or(end));
            let look = tokio::time::Instant::from_std(look);
            let _ = tokio::time::timeout_at(look, changed).await;
        }
    }

    /// Sends a borrow request; its answer is applied even if the waiting request has left.
    fn ask(&self, workspace: &str, account: Arc<Account>, ask: LoanRequest) {
        let Some(address) = self.snapshot.borrow().share_address(&ask.peer) else {
            return;
        };
        let lenders = self.lenders.clone();
        let metrics = self.metrics.clone();
        let workspace: Workspace = workspace.into();
        tokio::spawn(async move {
            let borrow = Frame::new(ask.borrow);
            let answer = lenders
                .call(address, LOAN_TIMEOUT, |client, context| async move {
                    client.borrow(context, borrow).await
                })
                .await
                .and_then(Frame::open);
            match answer {
                Ok(Some(lent)) => {
                    account.holder(|holder| holder.apply_loan(&lent, Instant::now()));
                    metrics.record_borrowed(&workspace, lent.tokens);
                    account.wake();
                }
                Ok(None) => {}
                Err(error) => {
                    log::debug!("vm {} did not answer a borrow request: {error}", ask.peer);
                }
            }
        });
    }

    /// Lends tokens to another entry.
    pub fn lend(&self, borrow: &Borrow) -> Option<Lent> {
        let account = self.account(&borrow.workspace)?;
        let lent = account.holder(|holder| holder.lend(borrow, Instant::now()))?;
        self.metrics.record_lent(&borrow.workspace, lent.tokens);
        Some(lent)
    }

    /// Returns the account of a configured workspace.
    fn account(&self, workspace: &str) -> Option<Arc<Account>> {
        let shard = rendezvous::weight("account", workspace) % SHARDS as u64;
        let mut accounts = lock(&self.accounts[shard as usize]);
        if let Some(account) = accounts.get(workspace) {
            return Some(account.clone());
        }
        let snapshot = self.snapshot.borrow().clone();
        let account = Account::open(workspace, &snapshot, &self.settings, self.incarnation)?;
        let account = Arc::new(account);
        accounts.insert(workspace.into(), account.clone());
        Some(account)
    }

    /// Returns the queue of a service.
    fn line(&self, service: &str) -> Arc<Line> {
        let mut lines = lock(&self.lines);
        if let Some(line) = lines.get(service) {
            return line.clone();
        }
        let line = Arc::new(Line::default());
        lines.insert(service.into(), line.clone());
        line
    }
}
