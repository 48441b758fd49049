//! Reads the store: orders by a feed, registrations by polling, and the member table.

mod registrations;

use crate::crashes;
use crate::fleet::MemberEntry;
use crate::shared::{Orders, Shared};
use adapter::desired;
use adapter::store::{self, Client, OPERATIONS, Put, Row, RowVersion, Rows, TransactionResult};
use base::id::{DataCentre, Label, Service};
use base::sync::lock;
use peers::report::Phase;
use rand::RngExt;
use registrations::{RegistrationTable, log_changes};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use steering::reading;
use steering::registry::Registry;
use steering::routing::{DesiredState, Registration, Table};

/// Longest wait of the orders feed for a change. A dead connection is detected after this plus the
/// call's time-out, within the time limit for applying a configuration.
const MAX_FEED_WAIT: Duration = Duration::from_millis(2_000);
/// Wait of a VM that starts together with all others between the write of its member entry and its
/// first read of the table; all start within 300 ms.
const FIRST_START_WAIT: Duration = Duration::from_millis(450);
/// Delay after a failed call for the member table.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Time between two checks whether this VM's turn to read has come, and between the write
/// of this VM's member entry and the next read.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two checks whether the VM that reads the store for this one still does.
const DELEGATE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time without a read after which the store counts as having been unavailable.
const MIN_OUTAGE: Duration = Duration::from_millis(2_500);
/// Member table: store table in which VMs find each other. It also holds the record of crashing
/// requests ([`crashes::RECORD_KEY`]), which VMs read with it.
pub const MEMBER_TABLE: &str = "members";
/// Longest time from the start in which a VM that has not read the record of crashing requests is
/// not ready. A store that is 100 times slower than usual answers after 460 ms.
const RECORD_WAIT: Duration = Duration::from_millis(600);
/// Time between two reads of the member table; VMs that join in between send reports themselves.
const MEMBER_READ_INTERVAL: Duration = Duration::from_secs(10);
/// Greatest age of the copy from which the store may come back; older entries are in it.
const MAX_COPY_AGE: Duration = Duration::from_secs(20);
/// Longest time after the store's return until a VM checks whether its entry is lost; each waits for a
/// part of it, so that they don't call together.
const MAX_REENTRY_DELAY: Duration = Duration::from_millis(1_500);
/// Time without a report after which a delegate removes a VM's member entry.
const MEMBER_RETENTION: Duration = Duration::from_secs(20);

/// Reads orders, registrations and members, and applies them.
#[derive(Debug)]
pub struct StoreReader {
    shared: Arc<Shared>,
    client: Client,
    registry: Mutex<Registry>,
    /// Newest era of the store of which this VM has a list of registrations; none before the first.
    list_era: Mutex<Option<u64>>,
    /// When a read of the store failed last.
    failed_at: Mutex<Option<Instant>>,
    /// Whether this VM's turn to read has come since it knew of another reader.
    has_turn: AtomicBool,
    /// Whether the first read of the record of crashing requests has ended, or took too long.
    has_tried_record: AtomicBool,
}

impl StoreReader {
    /// Creates a reader that has read nothing yet.
    pub fn new(shared: Arc<Shared>, client: Client) -> Self {
        Self {
            shared,
            client,
            registry: Mutex::default(),
            list_era: Mutex::default(),
            failed_at: Mutex::default(),
            has_turn: AtomicBool::new(false),
            has_tried_record: AtomicBool::new(false),
        }
    }

    /// Returns the state that the reader updates.
    pub fn shared(&self) -> &Shared {
        &self.shared
    }

    /// Returns whether the delegate reads the store for this VM, which doesn't take that over.
    fn delegate_reads(&self) -> bool {
        let now = Instant::now();
        let own = self.shared.settings.link_mbps();
        let failed_at = *lock(&self.failed_at);
        let settings = reading::Settings::default();
        let delegate = self.shared.delegate(now).filter(|d| d.known.reads);
        let is_leaving = self.shared.phase() == Phase::Leaving;
        delegate.is_some_and(|delegate| {
            let reader_mbps = delegate.link_mbps;
            is_leaving || !reading::takes_over(&settings, own, reader_mbps, failed_at, now)
        })
    }

    /// Returns how long this VM waits after a failed read of the store.
    fn retry_delay(&self) -> Duration {
        let place = self.shared.reading_place(Instant::now());
        reading::retry_delay(&reading::Settings::default(), place)
    }

    /// Records and logs whether a read of the store succeeded.
    fn record_access(&self, is_lost: &mut bool, name: &str, error: Option<&store::Error>) {
        if error.is_some() {
            *lock(&self.failed_at) = Some(Instant::now());
        }
        log_store_access(is_lost, name, error);
    }

    /// Waits until no delegate reads the store for this VM and its turn has come.
    async fn wait_turn(&self) {
        let mut lost_at = None;
        loop {
            let now = Instant::now();
            if self.delegate_reads() {
                self.shared.set_store_read(None);
                self.has_turn.store(false, Ordering::Relaxed);
                lost_at = None;
                tokio::time::sleep(DELEGATE_CHECK_INTERVAL).await;
                continue;
            }
            if self.shared.reads_store(now) {
                return;
            }
            let lost_at = *lost_at.get_or_insert(now);
            if now >= self.shared.reads_from(lost_at, now) {
                if !self.has_turn.swap(true, Ordering::Relaxed) {
                    let waited = now.saturating_duration_since(lost_at);
                    log::info!("event=store-turn waited_ms={}", waited.as_millis());
                }
                return;
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Watches the operator's orders until the task is dropped.
    pub async fn watch_desired_state(&self) {
        let mut is_lost = false;
        // Version of the newest change in the feed; a removed order leaves no row to read it from.
        let mut changed_at = 0;
        // When the feed last failed.
        let mut feed_failed_at: Option<Instant> = None;
        loop {
            self.wait_turn().await;
            let result = self.read_orders(changed_at).await;
            let mut version = match result {
                Ok(version) => version,
                Err(error) => {
                    self.record_access(&mut is_lost, "orders", Some(&error));
                    tokio::time::sleep(self.retry_delay()).await;
                    continue;
                }
            };
            self.record_access(&mut is_lost, "orders", None);
            loop {
                let wait = self.feed_wait();
                if wait.is_zero() {
                    tokio::time::sleep(CHECK_INTERVAL).await;
                    break;
                }
                let feed = self.client.changes(OPERATIONS, version, wait);
                let changed = tokio::select! {
                    changed = feed => changed,
                    // Another VM reported a newer order.
                    () = self.shared.orders_outdated.notified() => break,
                };
                match changed {
                    Ok(rows) if rows.rows.is_empty() => {
                        version = rows.version;
                        self.confirm_snapshot(version);
                    }
                    Ok(rows) => {
                        // The version is not published before the orders are read: a VM that
                        // requested them in between would store the old orders under it.
                        let versions = rows.rows.iter().map(|row| row.version);
                        changed_at = versions.max().unwrap_or_default();
                        break;
                    }
                    Err(store::Error::HistoryGone) => break,
                    Err(error) => {
                        self.record_access(&mut is_lost, "orders", Some(&error));
                        // A store that moves ends all feeds but answers again at once, so the
                        // first failure has no delay: it would postpone an order given meanwhile.
                        let has_failed_before =
                            feed_failed_at.is_some_and(|at| at.elapsed() < MAX_FEED_WAIT);
                        feed_failed_at = Some(Instant::now());
                        if has_failed_before {
                            tokio::time::sleep(self.retry_delay()).await;
                        }
                        break;
                    }
                }
                if self.delegate_reads() {
                    break;
                }
            }
        }
    }

    /// Returns how long the feed may wait for a change; zero if the orders are to be read anyway.
    fn feed_wait(&self) -> Duration {
        let rewritten_at = lock(&self.shared.orders).rewritten_at;
        let left = rewritten_at.map(|at| at.saturating_duration_since(Instant::now()));
        left.map_or(MAX_FEED_WAIT, |left| left.min(MAX_FEED_WAIT))
    }

    async fn read_orders(&self, changed_at: RowVersion) -> Result<RowVersion, store::Error> {
        let Rows { rows, version, .. } = self.client.rows(OPERATIONS).await?;
        let newest = rows
            .iter()
            .map(|row| row.version)
            .fold(changed_at, u64::max);
        let operations = desired::decode(&rows);
        self.apply_orders(operations, newest, version, "store");
        self.confirm_snapshot(version);
        Ok(version)
    }

    fn confirm_snapshot(&self, snapshot: RowVersion) {
        let mut orders = lock(&self.shared.orders);
        let now = Instant::now();
        orders.read_at = Some(now);
        self.advance(&mut orders, snapshot, now);
    }

    /// Records the version of the store up to which the orders are known.
    fn advance(&self, orders: &mut Orders, snapshot: RowVersion, now: Instant) {
        if orders.advance(snapshot, now) {
            self.shared.record_return();
        }
    }

    /// Records that the orders did not change up to `snapshot`; the newest has `version`.
    pub fn confirm_unchanged(&self, version: RowVersion, snapshot: RowVersion) {
        let mut orders = lock(&self.shared.orders);
        orders.version = orders.version.max(version);
        self.advance(&mut orders, snapshot, Instant::now());
    }

    /// Applies orders read at `snapshot`, of which the newest has `version`.
    pub fn apply_orders(
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
            orders.rewritten_at = orders.rewritten_at.map(|at| at.max(now));
            return;
        }
        self.advance(&mut orders, snapshot, now);
        orders.version = orders.version.max(version);
        let mut operations = operations.with_newer_configuration(&orders.operations);
        match orders.rewritten_at {
            Some(at) if now < at => operations = operations.with_orders_of(&orders.operations),
            _ => orders.rewritten_at = None,
        }
        if *orders.operations != operations {
            orders.changed_at = snapshot;
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
            shared.report_requested.notify_one();
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
        shared.services.end_evacuation(&returned, now);
        orders.evacuated.clone_from(&operations.evacuated);
        let members = shared.coverage(now).members;
        let settings = &shared.settings;
        shared.takeovers.apply_orders(
            &operations.takeovers,
            &settings.bounds,
            &settings.vm,
            members,
        );
        orders.operations = Arc::new(operations);
        drop(orders);
        self.check_ready();
    }

    /// Polls the registrations until the task is dropped.
    pub async fn poll_registrations(&self) {
        let mut is_lost = false;
        let mut table = None;
        loop {
            self.wait_turn().await;
            let began = Instant::now();
            match RegistrationTable::read(&self.client, table.take()).await {
                Ok(read) => {
                    self.record_access(&mut is_lost, "registrations", None);
                    self.shared.set_store_read(Some(Instant::now()));
                    let registrations = read.registrations();
                    if self.confirm_list_era(read.version()) {
                        lock(&self.registry).store_restored(Instant::now());
                    }
                    self.apply_registrations(registrations, Some(Instant::now()));
                    table = Some(read);
                }
                Err(error) => {
                    self.shared.set_store_read(None);
                    self.record_access(&mut is_lost, "registrations", Some(&error));
                }
            }
            let period = match is_lost {
                true => self.retry_delay(),
                false => self.shared.settings.list_period(),
            };
            tokio::time::sleep_until((began + period).into()).await;
        }
    }

    /// Records that this VM has a list as of a version of the store; returns whether the store came
    /// back from an older copy since the last one.
    pub fn confirm_list_era(&self, version: RowVersion) -> bool {
        let mut known = lock(&self.list_era);
        let last = *known;
        *known = last.max(Some(store::era(version)));
        last.is_some() && *known > last
    }

    /// Applies the full list of registrations; `read_at` is when it was read from the store, none
    /// if it came from another VM.
    pub fn apply_registrations(&self, registrations: Vec<Registration>, read_at: Option<Instant>) {
        let now = Instant::now();
        let shared = &self.shared;
        let mut registry = lock(&self.registry);
        let mut listing = lock(&shared.listing);
        let last = listing.read_at;
        if read_at.is_some()
            && last.is_some_and(|last| now.saturating_duration_since(last) > MIN_OUTAGE)
        {
            registry.store_recovered(now);
        }
        let changes = match read_at {
            Some(_) => registry.update(registrations, now),
            None => registry.follow(registrations, now),
        };
        log_changes(&changes, read_at.is_some());
        if read_at.is_some() {
            for change in &changes {
                shared.services.record_left(change, now);
            }
        }
        listing.replace(registry.entries().map(|entry| &entry.registration));
        listing.read_at = read_at.or(last);
        if read_at.is_some() {
            listing.source_position = None;
        }
        drop(listing);
        shared.services.update(&registry, now);
        let has_servers = |service: &Service, label: &Label| shared.services.knows(service, label);
        shared.takeovers.retain_withdrawn(has_servers);
        if read_at.is_some() {
            shared.services.record_list_read(now);
        }
        drop(registry);
        self.check_ready();
    }

    /// Enters the phase `Ready` once there are a configuration and servers, and the record of crashing
    /// requests was tried: such a request may come at once after a restart of all VMs.
    fn check_ready(&self) {
        let has_table = lock(&self.shared.orders).table.is_some();
        let has_list = !lock(&self.shared.listing).is_empty();
        let has_tried = self.has_tried_record.load(Ordering::Relaxed);
        if has_table && has_list && has_tried && self.shared.phase() == Phase::Starting {
            self.shared.enter(Phase::Ready);
        }
    }

    /// Records that the first read of the record of crashing requests has ended, or took too long.
    fn end_record_wait(&self) {
        if !self.has_tried_record.swap(true, Ordering::Relaxed) {
            self.check_ready();
        }
    }

    /// Maintains this VM's member entry and reads those of the others until the task is dropped.
    pub async fn maintain_membership(&self) {
        let limit = async {
            tokio::time::sleep(RECORD_WAIT).await;
            self.end_record_wait();
        };
        tokio::join!(limit, self.keep_membership());
    }

    async fn keep_membership(&self) {
        let mut is_entered = false;
        // When this VM last wrote its entry, or may have.
        let mut entered_at = Instant::now();
        if self.shared.settings.first_start {
            // The others start at the same time; after the wait, one read finds all their entries.
            match self.write_member_entry().await {
                Ok(_) => tokio::time::sleep(FIRST_START_WAIT).await,
                Err(error) => log::debug!("event=member-unwritten error=\"{error}\""),
            }
        }
        loop {
            let read = self.read_members().await;
            self.end_record_wait();
            let period = match read {
                Ok(true) => {
                    is_entered = true;
                    MEMBER_READ_INTERVAL
                }
                // Of two VMs that enter at once, at least one reads after both wrote their entries,
                // and reports to the other.
                Ok(false) => {
                    entered_at = Instant::now();
                    CHECK_INTERVAL
                }
                Err(error) => {
                    log::debug!("event=members-unread error=\"{error}\"");
                    RETRY_DELAY * 2
                }
            };
            let next = async {
                tokio::time::sleep(period).await;
                if is_entered {
                    // The delegate maintains the table; the others learn of VMs from reports.
                    self.wait_turn().await;
                }
            };
            tokio::select! {
                () = next => {}
                () = self.shared.store_returned.notified() => {
                    match entered_at.elapsed() < MAX_COPY_AGE {
                        true => {
                            let spread = rand::rng().random_range(Duration::ZERO..MAX_REENTRY_DELAY);
                            tokio::time::sleep(spread).await;
                        }
                        false => self.wait_turn().await,
                    }
                }
            }
        }
    }

    /// Returns this VM's member entry: address for reports, data centre and link bandwidth.
    fn member_entry(&self) -> String {
        let settings = &self.shared.settings;
        let (address, data_centre) = (settings.listen.peers, &settings.data_centre);
        format!("{address} {data_centre} {}", settings.link_mbps())
    }

    async fn write_member_entry(&self) -> Result<TransactionResult, store::Error> {
        let put = Put {
            table: MEMBER_TABLE,
            key: self.shared.settings.vm.clone(),
            expected: None,
            value: Some(self.member_entry().into_bytes()),
        };
        self.client.transact(&[put]).await
    }

    /// Reads the member table and writes this VM's entry if it is missing or out of date; returns
    /// whether it was current. A delegate also removes the entries of lost VMs.
    async fn read_members(&self) -> Result<bool, store::Error> {
        let shared = &self.shared;
        let own = &shared.settings.vm;
        let entry = self.member_entry();
        let read = self.client.rows(MEMBER_TABLE).await?;
        crashes::apply(shared, &read, Instant::now());
        self.end_record_wait();
        for put in crashes::expired_rows(shared, &read, Instant::now()) {
            self.client.transact(&[put]).await?;
        }
        let rows = read.rows;
        let mine = rows.iter().find(|row| row.key == *own);
        let is_current = |value: &Option<Vec<u8>>| value.as_deref() == Some(entry.as_bytes());
        let is_entered = mine.is_some_and(|row| is_current(&row.value));
        if !is_entered {
            self.write_member_entry().await?;
        }
        let members = rows
            .iter()
            .filter(|row| row.key != *own)
            .filter_map(|row| Some((row.key.clone(), decode_member(row)?)))
            .collect();
        let now = Instant::now();
        shared.set_members(members);
        let lost = lock(&shared.fleet).lost_members(MEMBER_RETENTION, now);
        let is_delegate = shared.delegate(now).is_none();
        for vm in lost.into_iter().filter(|_| is_delegate) {
            let Some(row) = rows.iter().find(|row| row.key == vm) else {
                continue;
            };
            let put = Put {
                table: MEMBER_TABLE,
                key: vm.clone(),
                expected: Some(row.version),
                value: None,
            };
            if let TransactionResult::Applied(version) = self.client.transact(&[put]).await? {
                log::info!("event=member-removed vm={vm} row_version={version}");
            }
        }
        Ok(is_entered)
    }
}

/// Decodes a member entry; entries of earlier versions have no link bandwidth.
fn decode_member(row: &Row) -> Option<MemberEntry> {
    let text = std::str::from_utf8(row.value.as_deref()?).ok()?;
    let mut parts = text.split(' ');
    Some(MemberEntry {
        address: parts.next()?.parse().ok()?,
        data_centre: parts.next()?.into(),
        link_mbps: parts.next().map_or(Some(0), |link| link.parse().ok())?,
    })
}

/// Logs once per change that reading the store began to fail or works again.
fn log_store_access(is_lost: &mut bool, name: &str, error: Option<&store::Error>) {
    match (error, *is_lost) {
        (Some(error), false) => log::warn!("event=store-lost for={name} error=\"{error}\""),
        (None, true) => log::info!("event=store-regained for={name}"),
        _ => {}
    }
    *is_lost = error.is_some();
}
