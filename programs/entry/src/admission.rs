//! Admits requests: each takes a token of its workspace's limit, then a slot of the service.

pub mod account;
pub mod queue;
pub mod renewal;
pub mod slot_body;
pub mod slots;

use crate::authorise::Grant;
use crate::metrics::Metrics;
use crate::receive::Call;
use crate::settings::Settings;
use crate::snapshot::Snapshot;
use account::{Account, REQUEST_COST};
use base::id::{Incarnation, Service, Workspace};
use base::sync::lock;
use indexmap::IndexMap;
use peers::link::Links;
use peers::share::ShareClient;
use peers::wire::Frame;
use queue::{ServiceQueue, Slot};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use steering::attempt::Refusal;
use steering::limits::{Borrow, Lent, LoanRequest};
use steering::membership::rendezvous;
use tokio::sync::watch;

/// Number of shards of the accounts, each behind its own lock.
const SHARDS: usize = 16;

/// Longest time between two checks for a token by a waiting request.
const TOKEN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Longest time for a call to a lender; the holder itself gives up after its `loan_timeout`.
const LOAN_CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Most waiting requests for which tokens are borrowed at once.
const MAX_BORROW_BATCH: u64 = 16;

/// Workspace under which requests on routes without a key are queued.
const NO_WORKSPACE: &str = "";

/// Admission of requests, with the state of all workspaces and services.
#[derive(Debug)]
pub struct Admission {
    settings: Settings,
    incarnation: Incarnation,
    snapshot: watch::Receiver<Arc<Snapshot>>,
    accounts: [Mutex<IndexMap<Workspace, Arc<Account>>>; SHARDS],
    queues: Mutex<IndexMap<Service, Arc<ServiceQueue>>>,
    lenders: Arc<Links<ShareClient>>,
    metrics: Arc<Metrics>,
}

impl Admission {
    /// Creates an admission without tokens and queues.
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
            queues: Mutex::default(),
            lenders: Arc::default(),
            metrics,
        }
    }

    /// Waits until the request may start. The returned slot is in use until it is dropped; it is
    /// none if the service has no servers.
    ///
    /// # Errors
    ///
    /// Returns why the request is refused.
    pub async fn admit(&self, call: &Call, grant: &Grant<'_>) -> Result<Option<Slot>, Refusal> {
        let admitted = self.pay_and_queue(call, grant).await;
        if let (Err(refusal), Some(workspace)) = (&admitted, &grant.workspace) {
            self.metrics.record_refusal(workspace, *refusal);
        }
        admitted
    }

    async fn pay_and_queue(&self, call: &Call, grant: &Grant<'_>) -> Result<Option<Slot>, Refusal> {
        if call.deadline <= Instant::now() {
            return Err(Refusal::DeadlinePassed);
        }
        if let Some(workspace) = &grant.workspace {
            self.pay(workspace, call.deadline).await?;
        }
        let snapshot = self.snapshot.borrow().clone();
        let slots = slots::slots(&snapshot, grant.service, &self.settings);
        // Without servers no slot can become free; `forward` refuses the request.
        if slots == 0 {
            return Ok(None);
        }
        let workspace = grant.workspace.as_deref().unwrap_or(NO_WORKSPACE);
        let digest = grant.digest.as_ref();
        let key = digest
            .map(|digest| digest.to_string().into())
            .unwrap_or_default();
        let queue = self.queue(&grant.service.service.value);
        queue
            .acquire(workspace, key, slots, call.deadline)
            .await
            .map(Some)
    }

    /// Spends a token, waiting for one until the deadline or for at most `token_wait`.
    async fn pay(&self, workspace: &str, deadline: Instant) -> Result<(), Refusal> {
        let arrived = Instant::now();
        let end = deadline.min(arrived + self.settings.token_wait.0);
        let account = self.wait_for_account(workspace, end).await?;
        account.with_holder(|holder| holder.record_demand(REQUEST_COST, arrived));
        account.record_request(arrived);
        // While no request waits, a token is spent without queueing; otherwise a burst that the
        // tokens cover would exceed `token_waiters`.
        if account.waiting() == 0
            && account.with_holder(|holder| holder.spend(REQUEST_COST, arrived))
        {
            self.metrics.record_spent(workspace);
            return Ok(());
        }
        let paid = match account.enqueue(self.settings.token_waiters) {
            Some(waiting) => {
                // The timeout includes the wait for earlier requests.
                let turn = async {
                    let _turn = waiting.turn().await;
                    self.spend_or_borrow(workspace, &account, end).await
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

    /// Returns the account of a workspace, waiting until the control process has sent the division
    /// of limits.
    async fn wait_for_account(
        &self,
        workspace: &str,
        end: Instant,
    ) -> Result<Arc<Account>, Refusal> {
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
            tokio::time::sleep(TOKEN_POLL_INTERVAL.min(end - now)).await;
        }
    }

    /// Spends a token, borrowing from peers until `end`. Only the first waiting request calls this.
    async fn spend_or_borrow(&self, workspace: &str, account: &Arc<Account>, end: Instant) -> bool {
        loop {
            // Registers for changes before the check, so that none between the two is missed.
            let changed = account.changed();
            let now = Instant::now();
            if account.with_holder(|holder| holder.spend(REQUEST_COST, now)) {
                return true;
            }
            if now >= end {
                return false;
            }
            let needed = REQUEST_COST * account.waiting().clamp(1, MAX_BORROW_BATCH);
            while let Some(request) = account.with_holder(|holder| holder.borrow(needed, now)) {
                self.request_loan(workspace, account.clone(), request);
            }
            let ready_at = account.with_holder(|holder| holder.ready_at(REQUEST_COST, now));
            let poll_at = (now + TOKEN_POLL_INTERVAL)
                .min(end)
                .min(ready_at.unwrap_or(end));
            let poll_at = tokio::time::Instant::from_std(poll_at);
            let _ = tokio::time::timeout_at(poll_at, changed).await;
        }
    }

    /// Sends a borrow request; its answer is applied even if the waiting request has left.
    fn request_loan(&self, workspace: &str, account: Arc<Account>, request: LoanRequest) {
        let Some(address) = self.snapshot.borrow().share_address(&request.peer) else {
            return;
        };
        let lenders = self.lenders.clone();
        let metrics = self.metrics.clone();
        let workspace: Workspace = workspace.into();
        tokio::spawn(async move {
            let borrow = Frame::new(request.borrow);
            let answer = lenders
                .call(address, LOAN_CALL_TIMEOUT, |client, context| async move {
                    client.borrow(context, borrow).await
                })
                .await
                .and_then(Frame::open);
            match answer {
                Ok(Some(lent)) => {
                    account.with_holder(|holder| holder.apply_loan(&lent, Instant::now()));
                    metrics.record_borrowed(&workspace, lent.tokens);
                    account.wake();
                }
                Ok(None) => {}
                Err(error) => {
                    log::debug!(
                        "vm {} did not answer a borrow request: {error}",
                        request.peer
                    );
                }
            }
        });
    }

    /// Lends tokens to another entry.
    pub fn lend(&self, borrow: &Borrow) -> Option<Lent> {
        let account = self.account(&borrow.workspace)?;
        let lent = account.with_holder(|holder| holder.lend(borrow, Instant::now()))?;
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
    fn queue(&self, service: &str) -> Arc<ServiceQueue> {
        let mut queues = lock(&self.queues);
        if let Some(queue) = queues.get(service) {
            return queue.clone();
        }
        let queue = Arc::new(ServiceQueue::default());
        queues.insert(service.into(), queue.clone());
        queue
    }
}
