//! Rows of the usage reports in the store.

use adapter::store::{Client, Error, Put, TransactionResult};
use base::http::client;
use steering::usage::{Fixed, Row, Stored, Transaction, Written};

/// Table of the holder's row.
const DUTIES: &str = "duties";
/// Key of the holder's row.
const HOLDER: &str = "usage";
/// Table of the fixed reports, by window.
const REPORTS: &str = "usage";

/// Reads the holder's row, then the fixed reports.
pub async fn read(client: &Client) -> Result<Stored, Error> {
    let duties = client.rows(DUTIES).await?;
    let holder = duties.rows.iter().find(|row| &*row.key == HOLDER);
    let row = holder.and_then(|row| decode(row.value.as_deref()?));
    let reports = client.rows(REPORTS).await?;
    let fixed = reports.rows.into_iter().filter_map(|row| {
        let window = row.key.parse().ok()?;
        let bytes = row.value?;
        Some(Fixed { window, bytes })
    });
    let mut fixed: Vec<Fixed> = fixed.collect();
    fixed.sort_by_key(|fixed| fixed.window);
    Ok(Stored {
        version: holder.map_or(0, |row| row.version),
        row,
        fixed,
    })
}

fn decode(bytes: &[u8]) -> Option<Row> {
    let parsed = serde_json::from_slice(bytes);
    parsed
        .inspect_err(|error| log::warn!("event=usage-row-unreadable error=\"{error}\""))
        .ok()
}

/// Makes a transaction.
pub async fn write(client: &Client, transaction: &Transaction) -> Written {
    // Names and numbers always encode.
    let row = serde_json::to_vec(&transaction.row).unwrap_or_default();
    let holder = Put {
        table: DUTIES,
        key: HOLDER.into(),
        expected: Some(transaction.expected),
        value: Some(row),
    };
    let fix = transaction.fix.iter().map(|fixed| Put {
        table: REPORTS,
        key: fixed.window.to_string().into(),
        expected: Some(0),
        value: Some(fixed.bytes.clone()),
    });
    let removed = transaction.remove.iter().map(|window| Put {
        table: REPORTS,
        key: window.to_string().into(),
        expected: None,
        value: None,
    });
    let puts: Vec<Put> = [holder].into_iter().chain(fix).chain(removed).collect();
    match client.transact(&puts).await {
        Ok(TransactionResult::Applied(version)) => Written::Applied(version),
        Ok(TransactionResult::Conflict) => Written::Conflict,
        Err(error) => {
            log::warn!("event=usage-unwritten error=\"{error}\"");
            match error {
                Error::Refused(status) if status.is_client_error() => Written::Refused,
                Error::Call(client::Error::Connect(_)) => Written::Refused,
                _ => Written::Unknown,
            }
        }
    }
}
