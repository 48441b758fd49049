//! Table of the registered servers, as one VM reads it from the store.

use adapter::registration;
use adapter::store::{self, Client, REGISTRATIONS, Row, RowVersion, Rows};
use base::id::Server;
use indexmap::IndexMap;
use std::time::{Duration, Instant};
use steering::registry::Change;
use steering::routing::Registration;

/// Age up to which the list of registrations is brought up to date by its changes. The store keeps
/// more history than this.
const MAX_FEED_AGE: Duration = Duration::from_secs(5);
/// Most servers that join at once with a line of their own in the log.
const MAX_JOINED_LINES: usize = 8;

/// Registrations as last read from the store.
pub(super) struct RegistrationTable {
    registrations: IndexMap<Server, Registration>,
    version: RowVersion,
    read_at: Instant,
}

impl RegistrationTable {
    /// Reads the table, or what changed in it since the last read.
    pub(super) async fn read(client: &Client, last: Option<Self>) -> Result<Self, store::Error> {
        if let Some(mut table) = last.filter(|last| last.read_at.elapsed() < MAX_FEED_AGE) {
            match table.update(client).await {
                Ok(()) => return Ok(table),
                Err(store::Error::HistoryGone) => {}
                Err(error) => return Err(error),
            }
        }
        let rows = client.rows(REGISTRATIONS).await?;
        let mut table = Self {
            registrations: IndexMap::with_capacity(rows.rows.len()),
            version: rows.version,
            read_at: Instant::now(),
        };
        table.apply(&rows);
        Ok(table)
    }

    /// Returns the registrations.
    pub(super) fn registrations(&self) -> Vec<Registration> {
        self.registrations.values().cloned().collect()
    }

    /// Returns the version of the store up to which its changes are known.
    pub(super) fn version(&self) -> RowVersion {
        self.version
    }

    /// Reads what changed since the last read: about half of the rows in one period, while a whole
    /// read of a large table takes several calls.
    async fn update(&mut self, client: &Client) -> Result<(), store::Error> {
        loop {
            let rows = client
                .changes(REGISTRATIONS, self.version, Duration::ZERO)
                .await?;
            let is_last = rows.rows.len() < store::PAGE_ROWS;
            self.apply(&rows);
            self.version = rows.version;
            if is_last {
                self.read_at = Instant::now();
                return Ok(());
            }
        }
    }

    fn apply(&mut self, rows: &Rows) {
        for row in &rows.rows {
            // A row that can't be read names no server.
            match decode_registration(row) {
                Some(registration) => self.registrations.insert(row.key.clone(), registration),
                None => self.registrations.swap_remove(&row.key),
            };
        }
    }
}

/// Decodes a registration; none if the row was removed, or if it can't be decoded, which is logged.
fn decode_registration(row: &Row) -> Option<Registration> {
    if row.removed {
        return None;
    }
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
}

/// Logs the changes of the list of servers. Servers that join together are counted in one line: a
/// fleet that starts would fill the logs with its list.
pub(super) fn log_changes(changes: &[Change], is_from_store: bool) {
    let by = if is_from_store { "store" } else { "peer" };
    let is_joined = |change: &&Change| matches!(change, Change::Joined(_));
    let joined = changes.iter().filter(is_joined).count();
    if joined > MAX_JOINED_LINES {
        log::info!("event=servers-joined count={joined} by={by}");
    }
    for change in changes {
        match change {
            Change::Joined(_) if joined > MAX_JOINED_LINES => {}
            Change::Joined(server) => log::info!("event=server-joined server={server} by={by}"),
            Change::Leaving(server) => log::info!("event=server-leaving server={server} by={by}"),
            Change::Gone(server) => log::info!("event=server-gone server={server} by={by}"),
        }
    }
}
