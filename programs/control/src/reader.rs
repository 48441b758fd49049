//! Reads the platform's table and list, and makes growing changes durable.

use crate::record::{self, Growing, Head, Keys};
use crate::state::{Active, Shared};
use crate::table;
use base::id::Version;
use operators::bundle::{self, Bundle, Files};
use platform::table::Row;
use platform::{Client, Error};
use tokio_util::sync::CancellationToken;

/// Reads until `stop` is cancelled.
pub async fn run(shared: Shared, client: Client, stop: CancellationToken) {
    let mut reachable = true;
    while !stop.is_cancelled() {
        let result = read(&shared, &client).await;
        if result.is_ok() != reachable {
            reachable = result.is_ok();
            match &result {
                Ok(()) => log::info!("the platform's table is reachable again"),
                Err(error) => log::warn!("the platform's table can't be read: {error}"),
            }
        }
        if reachable && let Err(error) = record(&shared, &client).await {
            log::warn!("growing changes are not durable yet: {error}");
        }
        let pause = tokio::time::sleep(shared.settings.poll_interval.0);
        stop.run_until_cancelled(pause).await;
    }
}

/// Reads all rows and the list once.
async fn read(shared: &Shared, client: &Client) -> Result<(), Error> {
    let rows = client.scan(record::PREFIX).await?;
    for row in rows {
        match &*row.key {
            record::HEAD => head(shared, client, row).await?,
            record::KEYS => {
                let keys: Keys = table::decode(row.value)?;
                shared.change(|known| known.keys = keys.keys);
            }
            record::GROWING => {
                let growing: Growing = table::decode(row.value)?;
                shared.change(|known| {
                    known.growing.merge(&growing);
                    known.recorded.merge(&growing);
                });
            }
            _ => {}
        }
    }
    let list = client.list().await?;
    shared.change(|known| {
        known.list = list;
        known.confirmed = base::clock::unix_millis();
    });
    Ok(())
}

/// Takes up a head row if it is newer than the configuration in force.
async fn head(shared: &Shared, client: &Client, row: Row) -> Result<(), Error> {
    let in_force = shared.read(|known| known.active.as_ref().map_or(0, |active| active.version));
    if row.version <= in_force {
        return Ok(());
    }
    let head: Head = table::decode(row.value)?;
    let files = fetch(shared, client, &head).await?;
    activate(shared, row.version, files);
    Ok(())
}

/// Fetches the files of a head, except those that are in force already.
async fn fetch(shared: &Shared, client: &Client, head: &Head) -> Result<Files, Error> {
    let known = shared.read(|known| known.active.as_ref().map(|active| active.files.clone()));
    let known = known.unwrap_or_default();
    let mut files = Files::new();
    for (name, hash) in &head.files {
        let text = match known.get(name) {
            Some(text) if bundle::hash(&**text) == *hash => text.clone(),
            _ => object(client, hash).await?,
        };
        files.insert(name.clone(), text);
    }
    Ok(files)
}

async fn object(client: &Client, hash: &str) -> Result<Box<str>, Error> {
    let bytes = client.get(hash).await?;
    if *bundle::hash(&bytes) != *hash {
        return Err(Error::Invalid("the object does not match its hash".into()));
    }
    let text = std::str::from_utf8(&bytes).map_err(|e| Error::Invalid(e.to_string().into()))?;
    Ok(text.into())
}

/// Puts a version in force, unless a higher one is in force or its files don't pass the checks.
pub fn activate(shared: &Shared, version: Version, files: Files) {
    let bundle = match Bundle::parse(&files) {
        Ok(bundle) => bundle,
        Err(findings) => {
            for finding in findings {
                log::error!("configuration version {version} is refused: {finding}");
            }
            return;
        }
    };
    shared.change(|known| {
        let newer = known
            .active
            .as_ref()
            .is_none_or(|active| active.version < version);
        if newer {
            log::info!("configuration version {version} is in force");
            known.active = Some(Active {
                version,
                files,
                bundle,
            });
        }
    });
}

/// Writes growing changes that the table does not hold yet.
async fn record(shared: &Shared, client: &Client) -> Result<(), Error> {
    let (growing, durable) = shared.read(|k| (k.growing.clone(), k.growing == k.recorded));
    if durable {
        return Ok(());
    }
    table::update(client, record::GROWING, |row: &mut Growing| {
        row.merge(&growing);
    })
    .await?;
    shared.change(|known| known.recorded.merge(&growing));
    Ok(())
}

/// Makes growing changes durable now; returns whether that succeeded.
pub async fn record_now(shared: &Shared, client: &Client) -> bool {
    match record(shared, client).await {
        Ok(()) => true,
        Err(error) => {
            log::warn!("growing changes are not durable yet: {error}");
            false
        }
    }
}
