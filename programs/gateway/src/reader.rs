//! Reading of the store: orders by a feed, registrations by a poll, and this VM's own entry.

use crate::fleet::Listed;
use crate::shared::Shared;
use adapter::store::{
    self, Client, OPERATIONS, Put, REGISTRATIONS, Row, RowVersion, Rows, Transacted,
};
use adapter::{desired, registration};
use base::id::DataCentre;
use base::sync::lock;
use peers::report::Phase;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use steering::registry::{Change, Registry};
use steering::routing::{DesiredState, Registration, Table};

/// Longest wait of the feed of orders for a change. A connection that fell silent is noticed after
/// this and the call's own time-out, within the bound for putting a configuration in force.
const FEED_WAIT: Duration = Duration::from_millis(2_000);
/// Pause after a failed call.
const PAUSE: Duration = Duration::from_millis(250);
/// Time between two looks at whether another VM reads the store for this one, and between the write
/// of this VM's entry and the next read.
const LOOK: Duration = Duration::from_millis(100);
/// Time without a read after which the store counts as having been away.
const AWAY: Duration = Duration::from_millis(2_500);
/// Table in which VMs find each other.
const MEMBERS: &str = "members";
/// Time between two reads of that table; VMs that appear meanwhile send reports themselves.
const MEMBERS_PERIOD: Duration = Duration::from_secs(10);
/// Time without a report after which a VM's entry is removed by a delegate.
const LOST: Duration = Duration::from_secs(20);

/// Reads orders and registrations and puts them in force.
#[derive(Debug)]
pub struct Reader {
    shared: Arc<Shared>,
    client: Client,
    registry: Mutex<Registry>,
}

impl Reader {
    /// Makes a reader; nothing is read yet.
    pub fn new(shared: Arc<Shared>, client: Client) -> Self {
        Self {
            shared,
            client,
            registry: Mutex::default(),
        }
    }

    /// Returns the state that the reader keeps.
    pub fn shared(&self) -> &Shared {
        &self.shared
    }

    /// Returns whether the delegate reads the store for this VM.
    fn is_served(&self) -> bool {
        let delegate = self.shared.delegate(Instant::now());
        delegate.is_some_and(|delegate| delegate.known.reads)
    }

    /// Waits until this VM has to read the store itself.
    async fn must_read(&self) {
        while self.is_served() {
            self.shared.set_read(None);
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Follows the operator's orders until the task is dropped.
    pub async fn follow_orders(&self) {
        let mut is_lost = false;
        // Version of the newest change that the feed told of; a removed order leaves no row.
        let mut changed_at = 0;
        // When the feed was lost last.
        let mut lost_at: Option<Instant> = None;
        loop {
            self.must_read().await;
            let result = self.read_orders(changed_at).await;
            let mut version = match result {
                Ok(version) => version,
                Err(error) => {
                    dependency(&mut is_lost, "orders", Some(&error));
                    tokio::time::sleep(PAUSE).await;
                    continue;
                }
            };
            dependency(&mut is_lost, "orders", None);
            loop {
                let feed = self.client.changes(OPERATIONS, version, FEED_WAIT);
                let changed = tokio::select! {
                    changed = feed => changed,
                    // Another VM knows of a newer order.
                    () = self.shared.stale.notified() => break,
                };
                match changed {
                    Ok(rows) if rows.rows.is_empty() => {
                        version = rows.version;
                        self.confirmed(version);
                    }
                    Ok(rows) => {
                        // Told to nobody before the orders themselves are read: a VM that asked in
                        // between would take the old orders for the new ones.
                        let versions = rows.rows.iter().map(|row| row.version);
                        changed_at = versions.max().unwrap_or_default();
                        break;
                    }
                    Err(store::Error::HistoryGone) => break,
                    Err(error) => {
                        dependency(&mut is_lost, "orders", Some(&error));
                        // A store that moves ends all feeds and answers again at once; an order
                        // given meanwhile is learned the later, the longer the pause.
                        let again = lost_at.is_some_and(|at| at.elapsed() < FEED_WAIT);
                        lost_at = Some(Instant::now());
                        if again {
                            tokio::time::sleep(PAUSE).await;
                        }
                        break;
                    }
                }
                if self.is_served() {
                    break;
                }
            }
        }
    }

    async fn read_orders(&self, changed_at: RowVersion) -> Result<RowVersion, store::Error> {
        let Rows { rows, version, .. } = self.client.rows(OPERATIONS).await?;
        let newest = rows
            .iter()
            .map(|row| row.version)
            .fold(changed_at, u64::max);
        let operations = desired::decode(&rows);
        self.put_in_force(operations, newest, version, "store");
        self.confirmed(version);
        Ok(version)
    }

    fn confirmed(&self, snapshot: RowVersion) {
        let mut orders = lock(&self.shared.orders);
        orders.read = Some(Instant::now());
        orders.snapshot = orders.snapshot.max(snapshot);
    }

    /// Takes in that the orders did not change up to `snapshot`; the newest has `version`.
    pub fn unchanged(&self, version: RowVersion, snapshot: RowVersion) {
        let mut orders = lock(&self.shared.orders);
        orders.version = orders.version.max(version);
        orders.snapshot = orders.snapshot.max(snapshot);
    }

    /// Puts orders in force, of which the newest has `version` and which were read at `snapshot`.
    pub fn put_in_force(
        &self,
        operations: DesiredState,
        version: RowVersion,
        snapshot: RowVersion,
        from: &str,
    ) {
        let now = Instant::now();
        let shared = &self.shared;
        let mut orders = lock(&shared.orders);
        if snapshot < orders.snapshot {
            return;
        }
        orders.snapshot = snapshot;
        orders.version = orders.version.max(version);
        if *orders.operations != operations {
            orders.changed = snapshot;
        }
        let known = orders
            .table
            .as_ref()
            .map_or(0, |t| t.configuration().version);
        let next = operations.configuration.as_ref();
        if let Some(next) = next.filter(|next| next.version > known || orders.table.is_none()) {
            log::info!(
                "event=configuration from_version={known} to_version={} row_version={version} by={from} routes={} workspaces={} services={}",
                next.version,
                next.routes.len(),
                next.accounts.len(),
                next.services.len()
            );
            shared.services.configure(next);
            let mut ledger = lock(&shared.ledger);
            for account in &next.accounts {
                ledger.open(&account.name, now);
            }
            orders.table = Some(Arc::new(Table::new(next.clone())));
            shared.urgent.notify_one();
        }
        let returned: Vec<DataCentre> = orders
            .evacuated
            .iter()
            .filter(|d| !operations.evacuated.contains(*d))
            .cloned()
            .collect();
        if orders.evacuated != operations.evacuated {
            log::info!(
                "event=evacuation evacuated={:?} returned={returned:?} row_version={version} by={from}",
                operations.evacuated
            );
        }
        shared.services.returned(&returned, now);
        orders.evacuated.clone_from(&operations.evacuated);
        let members = shared.reach(now).members;
        let settings = &shared.settings;
        shared.takeovers.order(
            &operations.takeovers,
            &settings.bounds,
            &settings.vm,
            members,
        );
        orders.operations = Arc::new(operations);
        drop(orders);
        self.ready();
    }

    /// Reads the registrations again and again until the task is dropped.
    pub async fn follow_registrations(&self) {
        let mut is_lost = false;
        loop {
            self.must_read().await;
            let began = Instant::now();
            match self.client.rows(REGISTRATIONS).await {
                Ok(rows) => {
                    dependency(&mut is_lost, "registrations", None);
                    self.shared.set_read(Some(Instant::now()));
                    self.list(decode(&rows), Some(Instant::now()));
                }
                Err(error) => {
                    self.shared.set_read(None);
                    dependency(&mut is_lost, "registrations", Some(&error));
                }
            }
            let period = match is_lost {
                true => PAUSE,
                false => self.shared.settings.list_period(),
            };
            tokio::time::sleep_until((began + period).into()).await;
        }
    }

    /// Takes in all registrations; `read` is when they came from the store, none if they came from
    /// another VM.
    pub fn list(&self, registrations: Vec<Registration>, read: Option<Instant>) {
        let now = Instant::now();
        let shared = &self.shared;
        let mut registry = lock(&self.registry);
        let mut listing = lock(&shared.listing);
        let last = listing.read;
        if read.is_some() && last.is_some_and(|last| now.saturating_duration_since(last) > AWAY) {
            registry.store_recovered(now);
        }
        for change in registry.update(registrations, now) {
            match change {
                Change::Joined(server) => log::info!("event=server-joined server={server}"),
                Change::Leaving(server) => log::info!("event=server-leaving server={server}"),
                Change::Gone(server) => log::info!("event=server-gone server={server}"),
            }
        }
        listing.replace(registry.entries().map(|entry| &entry.registration));
        listing.read = read.or(last);
        if read.is_some() {
            listing.followed = None;
        }
        drop(listing);
        shared.services.update(&registry, now);
        drop(registry);
        self.ready();
    }

    /// Becomes ready when there are a configuration and a list of servers.
    fn ready(&self) {
        let has_table = lock(&self.shared.orders).table.is_some();
        let has_list = !lock(&self.shared.listing).is_empty();
        if has_table && has_list && self.shared.phase() == Phase::Starting {
            self.shared.enter(Phase::Ready);
        }
    }

    /// Keeps this VM's entry in the table of VMs, and reads those of the others.
    pub async fn follow_members(&self) {
        let mut is_entered = false;
        loop {
            let period = match self.read_members().await {
                Ok(true) => {
                    is_entered = true;
                    MEMBERS_PERIOD
                }
                // Of two VMs that enter together, at least one reads after both entries stand; it
                // reports to the other.
                Ok(false) => LOOK,
                Err(error) => {
                    log::debug!("event=members-unread error=\"{error}\"");
                    PAUSE * 2
                }
            };
            tokio::time::sleep(period).await;
            if is_entered {
                // The delegate keeps the table; the others hear of VMs from it.
                self.must_read().await;
            }
        }
    }

    /// Reads the table; returns whether this VM's entry stood in it before.
    async fn read_members(&self) -> Result<bool, store::Error> {
        let shared = &self.shared;
        let own = &shared.settings.vm;
        let entry = format!(
            "{} {}",
            shared.settings.listen.peers, shared.settings.data_centre
        );
        let rows = self.client.rows(MEMBERS).await?.rows;
        let mine = rows.iter().find(|row| row.key == *own);
        let is_current = |value: &Option<Vec<u8>>| value.as_deref() == Some(entry.as_bytes());
        let is_entered = mine.is_some_and(|row| is_current(&row.value));
        if !is_entered {
            let put = Put {
                table: MEMBERS,
                key: own.clone(),
                expected: None,
                value: Some(entry.into_bytes()),
            };
            self.client.transact(&[put]).await?;
        }
        let listed = rows
            .iter()
            .filter(|row| row.key != *own)
            .filter_map(|row| Some((row.key.clone(), member(row)?)))
            .collect();
        let now = Instant::now();
        let lost = {
            let mut fleet = lock(&shared.fleet);
            fleet.list(listed);
            fleet.lost(LOST, now)
        };
        let is_delegate = shared.delegate(now).is_none();
        for vm in lost.into_iter().filter(|_| is_delegate) {
            let Some(row) = rows.iter().find(|row| row.key == vm) else {
                continue;
            };
            let put = Put {
                table: MEMBERS,
                key: vm.clone(),
                expected: Some(row.version),
                value: None,
            };
            if let Transacted::Applied(version) = self.client.transact(&[put]).await? {
                log::info!("event=member-removed vm={vm} row_version={version}");
            }
        }
        Ok(is_entered)
    }
}

/// Reads an entry of the table of VMs: address for reports and data centre.
fn member(row: &Row) -> Option<Listed> {
    let text = std::str::from_utf8(row.value.as_deref()?).ok()?;
    let (address, data_centre) = text.split_once(' ')?;
    Some(Listed {
        address: address.parse().ok()?,
        data_centre: data_centre.into(),
    })
}

fn decode(rows: &Rows) -> Vec<Registration> {
    let decoded = rows.rows.iter().filter_map(|row| {
        let result = registration::decode(row);
        result
            .inspect_err(|reason| {
                log::warn!(
                    "event=registration-unreadable server={} row_version={} reason={reason:?}",
                    row.key,
                    row.version
                );
            })
            .ok()
    });
    decoded.collect()
}

/// Logs that a dependency was lost or regained, once for each change.
fn dependency(is_lost: &mut bool, name: &str, error: Option<&store::Error>) {
    match (error, *is_lost) {
        (Some(error), false) => log::warn!("event=store-lost for={name} error=\"{error}\""),
        (None, true) => log::info!("event=store-regained for={name}"),
        _ => {}
    }
    *is_lost = error.is_some();
}
