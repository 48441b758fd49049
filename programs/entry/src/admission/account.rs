//! Tokens that this VM holds for one workspace, and the requests that wait for them.

use crate::settings::Settings;
use crate::snapshot::Snapshot;
use base::id::{Incarnation, Vm};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};
use steering::limits::{Allocation, Amount, Holder, Identity, TOKEN};
use tokio::sync::futures::Notified;
use tokio::sync::{MutexGuard, Notify};

/// Cost of a request.
pub const REQUEST_COST: Amount = TOKEN;

/// Time after its last request for which a workspace's elastic allocation is renewed; then the
/// allocation expires.
const ACTIVE_WINDOW: Duration = Duration::from_secs(10);

/// Time after its last request for which the account of an unconfigured workspace is kept.
///
/// A new account numbers its renewals and loans from the start, and granters and lenders ignore
/// numbers that they have seen. Granters forget them after 60 s.
const ACCOUNT_RETENTION: Duration = Duration::from_secs(300);

/// Distance of a peer in the same data centre, in the same region, and in another region.
const PEER_DISTANCES: [u32; 3] = [0, 1, 2];

/// Tokens and waiting requests of one workspace.
#[derive(Debug)]
pub struct Account {
    holder: Mutex<Holder>,
    /// Held by the first of the waiting requests; the others wait for it in order.
    turn: tokio::sync::Mutex<()>,
    waiting: AtomicU64,
    changed: Notify,
    last_request_at: Mutex<Instant>,
}

/// A request that waits for a token; counted until dropped.
#[derive(Debug)]
pub struct Waiting<'a> {
    account: &'a Account,
}

impl Waiting<'_> {
    /// Waits until the earlier requests have got a token or have left.
    pub async fn turn(&self) -> MutexGuard<'_, ()> {
        self.account.turn.lock().await
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.account.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Account {
    /// Opens an account without tokens; none while the workspace or the division of limits is
    /// unknown.
    pub fn open(
        workspace: &str,
        snapshot: &Snapshot,
        settings: &Settings,
        incarnation: Incarnation,
    ) -> Option<Self> {
        snapshot.limit(workspace)?;
        let identity = Identity {
            workspace: workspace.into(),
            vm: settings.vm.clone(),
            incarnation,
        };
        let now = Instant::now();
        let limits = snapshot.shares.division?.settings();
        let account = Self {
            holder: Mutex::new(Holder::new(limits, identity, now)),
            turn: tokio::sync::Mutex::default(),
            waiting: AtomicU64::new(0),
            changed: Notify::new(),
            last_request_at: Mutex::new(now),
        };
        account.apply_snapshot(workspace, snapshot, settings, incarnation);
        Some(account)
    }

    /// Applies the limit, the floor and the peers of a snapshot.
    pub fn apply_snapshot(
        &self,
        workspace: &str,
        snapshot: &Snapshot,
        settings: &Settings,
        incarnation: Incarnation,
    ) {
        let is_owned = snapshot.shares.floor == Some(incarnation);
        let division = snapshot.shares.division.filter(|_| is_owned);
        let floor = match (division, snapshot.limit(workspace)) {
            (Some(division), Some(limit)) => division.settings().floor(limit),
            _ => Allocation::default(),
        };
        let peers = snapshot.nodes().iter().filter(|n| n.name != settings.vm);
        let distances: Vec<(Vm, u32)> = peers
            .map(|node| {
                let is_local = node.data_centre == settings.data_centre;
                let distance = match (is_local, node.region == settings.region) {
                    (true, _) => PEER_DISTANCES[0],
                    (false, true) => PEER_DISTANCES[1],
                    (false, false) => PEER_DISTANCES[2],
                };
                (node.name.clone(), distance)
            })
            .collect();
        self.with_holder(|holder| {
            holder.set_floor(floor, snapshot.version, Instant::now());
            holder.set_peers(distances);
        });
        self.wake();
    }

    /// Uses the holder under its lock.
    pub fn with_holder<T>(&self, action: impl FnOnce(&mut Holder) -> T) -> T {
        action(&mut self.holder.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Adds a waiting request; none if `max_waiting` wait already.
    pub fn enqueue(&self, max_waiting: u64) -> Option<Waiting<'_>> {
        let waiting = Waiting { account: self };
        (self.waiting.fetch_add(1, Ordering::Relaxed) < max_waiting).then_some(waiting)
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> u64 {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Returns a future that completes when tokens may have arrived.
    pub fn changed(&self) -> Notified<'_> {
        self.changed.notified()
    }

    /// Wakes the first waiting request.
    pub fn wake(&self) {
        self.changed.notify_waiters();
    }

    /// Records the time of a request.
    pub fn record_request(&self, now: Instant) {
        *self
            .last_request_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = now;
    }

    fn idle_time(&self, now: Instant) -> Duration {
        let last = *self
            .last_request_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        now.saturating_duration_since(last)
    }

    /// Returns whether the workspace sent requests lately.
    pub fn is_active(&self, now: Instant) -> bool {
        self.idle_time(now) < ACTIVE_WINDOW
    }

    /// Returns whether the account may be dropped if its workspace is no longer configured.
    pub fn is_expired(&self, now: Instant) -> bool {
        self.idle_time(now) > ACCOUNT_RETENTION
    }
}
