//! What this VM holds of one workspace's limit, and the requests that wait for tokens.

use crate::settings::Settings;
use crate::snapshot::Snapshot;
use base::id::{Incarnation, Vm};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};
use steering::limits::{Allocation, Amount, Holder, Identity, TOKEN};
use tokio::sync::futures::Notified;
use tokio::sync::{MutexGuard, Notify};

/// Tokens that a request costs.
pub const COST: Amount = TOKEN;

/// Time after its last request for which a workspace is renewed. It holds nothing afterwards: its
/// elastic part expires.
const ACTIVE: Duration = Duration::from_secs(10);

/// Time after its last request for which the account of a workspace that is no longer configured is
/// kept. Numbers of renewals and loans start anew in a new account, and granters and lenders ignore
/// numbers that they have seen; granters forget them after 60 s.
const KEPT: Duration = Duration::from_secs(300);

/// Distance of a VM in the same data centre, in the same region, and elsewhere.
const DISTANCES: [u32; 3] = [0, 1, 2];

/// Account of one workspace.
#[derive(Debug)]
pub struct Account {
    holder: Mutex<Holder>,
    /// First in line of the waiting requests.
    turn: tokio::sync::Mutex<()>,
    waiting: AtomicU64,
    changed: Notify,
    seen: Mutex<Instant>,
}

/// A request that waits for a token; counted until it is dropped.
#[derive(Debug)]
pub struct Waiting<'a> {
    account: &'a Account,
}

impl Waiting<'_> {
    /// Waits until the earlier requests have been paid or have left.
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
    /// Opens an account without tokens; none while the workspace or the division isn't known.
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
            seen: Mutex::new(now),
        };
        account.follow(workspace, snapshot, settings, incarnation);
        Some(account)
    }

    /// Takes up the limit, the floor and the peers of a snapshot.
    pub fn follow(
        &self,
        workspace: &str,
        snapshot: &Snapshot,
        settings: &Settings,
        incarnation: Incarnation,
    ) {
        let owned = snapshot.shares.floor == Some(incarnation);
        let division = snapshot.shares.division.filter(|_| owned);
        let floor = match (division, snapshot.limit(workspace)) {
            (Some(division), Some(limit)) => division.settings().floor(limit),
            _ => Allocation::default(),
        };
        let peers = snapshot.nodes().iter().filter(|n| n.name != settings.vm);
        let distances: Vec<(Vm, u32)> = peers
            .map(|node| {
                let near = node.data_centre == settings.data_centre;
                let distance = match (near, node.region == settings.region) {
                    (true, _) => DISTANCES[0],
                    (false, true) => DISTANCES[1],
                    (false, false) => DISTANCES[2],
                };
                (node.name.clone(), distance)
            })
            .collect();
        self.holder(|holder| {
            holder.set_floor(floor, snapshot.version, Instant::now());
            holder.set_peers(distances);
        });
        self.wake();
    }

    /// Uses the holder under its lock.
    pub fn holder<T>(&self, job: impl FnOnce(&mut Holder) -> T) -> T {
        job(&mut self.holder.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Joins the requests that wait; none if `most` wait already.
    pub fn queue(&self, most: u64) -> Option<Waiting<'_>> {
        let waiting = Waiting { account: self };
        (self.waiting.fetch_add(1, Ordering::Relaxed) < most).then_some(waiting)
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> u64 {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Returns a future that ends when tokens may have come.
    pub fn changed(&self) -> Notified<'_> {
        self.changed.notified()
    }

    /// Wakes the first request in line.
    pub fn wake(&self) {
        self.changed.notify_waiters();
    }

    /// Notes a request.
    pub fn mark(&self, now: Instant) {
        *self.seen.lock().unwrap_or_else(PoisonError::into_inner) = now;
    }

    fn idle(&self, now: Instant) -> Duration {
        let seen = *self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        now.saturating_duration_since(seen)
    }

    /// Reports whether the workspace sent requests lately.
    pub fn is_active(&self, now: Instant) -> bool {
        self.idle(now) < ACTIVE
    }

    /// Reports whether the account of an unconfigured workspace may be dropped.
    pub fn is_over(&self, now: Instant) -> bool {
        self.idle(now) > KEPT
    }
}
