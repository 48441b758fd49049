//! Publishes configuration versions through the platform's table and object store.

use crate::metrics::PublicationResult;
use crate::record;
use crate::state::{ControlState, Shared};
use crate::{reader, table};
use base::id::Version;
use indexmap::IndexMap;
use operators::bundle::Files;
use platform::table::Write;
use platform::{Client, Error};
use std::time::{Duration, Instant};
use steering::config::publication::WriteResult;
use steering::config::{Head, Manifest, ObjectHash, Publication, Stage, head};

/// Longest time to determine the outcome of a publication.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(6);
const READ_BACK_INTERVAL: Duration = Duration::from_millis(200);
/// Longest wait for an accepted version to come into force on this VM.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(4);
const IN_FORCE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// With 150 bytes a key, the file reaches 1.5 MB, which gossip carries in 6 messages.
const MAX_KEYS: usize = 10_000;
/// Time for which an expired key stays in the file, in milliseconds: a day tolerates wall clocks
/// that differ.
const ENDED_KEY_RETENTION_MS: u64 = 24 * 60 * 60 * 1_000;
/// Most attempts of an edit of the keys that conflicts with other publications.
const MAX_EDIT_ATTEMPTS: usize = 8;

/// Outcome of a publication.
#[derive(Debug)]
pub enum Outcome {
    /// In force on this VM as this version.
    Accepted(Version),
    /// Another publication came first; the files have to be reviewed against this version.
    Conflict(Version),
    /// Unknown whether it took effect.
    Unknown(Box<str>),
}

/// Publishes operators' files that were reviewed against version `base`; the issued keys stay.
///
/// # Errors
///
/// Fails if the store can't be reached; nothing was published.
pub async fn publish_files(
    shared: &Shared,
    client: &Client,
    base: Version,
    author: Box<str>,
    files: &Files,
) -> Result<Outcome, Error> {
    reader::refresh(shared, client).await?;
    let (base, manifest) = match shared.read(|known| known.publication_base(base)) {
        Ok(base) => base,
        Err(review) => return Ok(Outcome::Conflict(review)),
    };
    let mut next = Manifest::default();
    let mut contents = IndexMap::new();
    for (name, text) in files {
        let hash = head::content_hash(text.as_bytes());
        contents.insert(hash.clone(), text.as_bytes().into());
        next.files.insert(name.clone(), hash);
    }
    if let Some(ring) = manifest.files.get(record::RING) {
        next.files.insert(record::RING.into(), ring.clone());
    }
    write_version(
        shared,
        client,
        base.as_ref(),
        &manifest,
        &next,
        author,
        contents,
    )
    .await
}

/// Publishes a change of the keys, and retries after conflicts with other publications. `change`
/// returns whether the change still applies.
///
/// # Errors
///
/// Fails if the store can't be reached; nothing was published.
pub async fn publish_keys(
    shared: &Shared,
    client: &Client,
    change: impl Fn(&mut steering::keys::Ring) -> bool,
) -> Result<Outcome, Error> {
    let mut outcome = Outcome::Unknown("the key is not in the configuration".into());
    for _ in 0..MAX_EDIT_ATTEMPTS {
        reader::refresh(shared, client).await?;
        let Some((base, manifest, mut ring)) = shared.read(|known| {
            let active = known.active.as_ref()?;
            let (base, manifest) = known.publication_base(active.version).ok()?;
            Some((base, manifest, active.ring.clone()))
        }) else {
            return Err(Error::Unavailable("this VM is not ready yet".into()));
        };
        if !change(&mut ring) {
            return Ok(outcome);
        }
        let now = base::clock::unix_millis();
        let withdrawn = shared.read(|known| known.replica.marks.withdrawn_keys());
        let kept = ring.entries().filter(|entry| {
            let ended = entry
                .until
                .is_some_and(|until| now > until + ENDED_KEY_RETENTION_MS);
            !ended && !withdrawn.contains(&entry.digest)
        });
        let row = record::Ring {
            keys: kept.cloned().collect(),
        };
        if row.keys.len() > MAX_KEYS {
            return Err(Error::Invalid("there are too many keys".into()));
        }
        let content = serde_json::to_vec(&row).map_err(|e| Error::Invalid(e.to_string().into()))?;
        let hash = head::content_hash(&content);
        let mut next = manifest.clone();
        next.files.insert(record::RING.into(), hash.clone());
        let contents = IndexMap::from([(hash, content.into())]);
        let author = "keys".into();
        outcome = write_version(
            shared,
            client,
            base.as_ref(),
            &manifest,
            &next,
            author,
            contents,
        )
        .await?;
        if !matches!(outcome, Outcome::Conflict(_)) {
            break;
        }
    }
    Ok(outcome)
}

/// Stores the objects that the base version lacks, then writes the head row.
async fn write_version(
    shared: &Shared,
    client: &Client,
    base: Option<&Head>,
    base_manifest: &Manifest,
    manifest: &Manifest,
    author: Box<str>,
    contents: IndexMap<ObjectHash, Box<[u8]>>,
) -> Result<Outcome, Error> {
    let operation = base::id::random(&mut rand::rng());
    let publication = Publication::propose(base, base_manifest, manifest, author, operation);
    for hash in publication.head().changed.values().flatten() {
        if let Some(content) = contents.get(hash) {
            put_object(client, hash, content).await?;
        }
    }
    put_object(client, &publication.head().manifest, &manifest.to_bytes()).await?;
    let outcome = settle(shared, client, publication.clone()).await?;
    if let Outcome::Accepted(_) = outcome {
        shared.update(|known| {
            let head = publication.head().clone();
            let (base, changed) = (head.base, head.changed.clone());
            let tracker = &mut known.replica.tracker;
            tracker.offer_head(head, base, &changed);
            tracker.receive_object(&publication.head().manifest, &manifest.to_bytes());
            for (hash, content) in &contents {
                tracker.receive_object(hash, content);
            }
            known.gossip_to_remote = true;
        });
        wait_in_force(shared, publication.head().version).await;
    }
    Ok(outcome)
}

/// Waits until a version is in force on this VM. A VM that has just started first listens for a
/// later one from its peers.
async fn wait_in_force(shared: &Shared, version: Version) {
    let deadline = Instant::now() + IN_FORCE_TIMEOUT;
    while shared.read(ControlState::version) < version && Instant::now() < deadline {
        tokio::time::sleep(IN_FORCE_CHECK_INTERVAL).await;
    }
}

/// Stores an object; if the answer is lost, reads the object back.
async fn put_object(client: &Client, hash: &str, content: &[u8]) -> Result<(), Error> {
    match client.put(hash, content.to_vec()).await {
        Err(Error::Lost(reason)) => match client.get(hash).await {
            Ok(_) => Ok(()),
            Err(_) => Err(Error::Lost(reason)),
        },
        settled => settled,
    }
}

/// Writes the head row and reads it back until the outcome is known.
async fn settle(
    shared: &Shared,
    client: &Client,
    mut publication: Publication,
) -> Result<Outcome, Error> {
    let deadline = Instant::now() + SETTLE_TIMEOUT;
    let write = Write {
        expected: publication.head().base,
        operation: publication.head().operation.clone(),
        ..table::write(0, publication.head())?
    };
    let mut is_possibly_written = false;
    loop {
        match publication.stage() {
            Stage::Proposed => match client.write(record::HEAD, &write).await {
                Ok(_) => publication.record_write(&WriteResult::Written),
                Err(Error::Conflict(_)) => publication.record_write(&WriteResult::Conflict),
                Err(Error::Unavailable(reason)) if !is_possibly_written => {
                    return Err(Error::Unavailable(reason));
                }
                Err(_) => {
                    is_possibly_written = true;
                    publication.record_write(&WriteResult::Lost);
                }
            },
            Stage::Unknown => {
                shared
                    .metrics
                    .record_publication(PublicationResult::ReadBack);
                let row = match client.read(record::HEAD).await {
                    Ok(row) => Some(Some(table::decode::<Head>(row.value)?)),
                    Err(Error::Absent) => Some(None),
                    Err(_) => None,
                };
                if let Some(row) = &row {
                    publication.read_back(row.as_ref());
                }
                if row.is_none() || *publication.stage() == Stage::Proposed {
                    if Instant::now() >= deadline {
                        return Ok(Outcome::Unknown("the store does not answer".into()));
                    }
                    tokio::time::sleep(READ_BACK_INTERVAL).await;
                }
            }
            Stage::Conflict { review } => return Ok(Outcome::Conflict(*review)),
            Stage::Unsettled { review } => {
                let reason = format!("too many publications followed; compare with {review}");
                return Ok(Outcome::Unknown(reason.into()));
            }
            Stage::Accepted | Stage::InForce(_) | Stage::Done => {
                return Ok(Outcome::Accepted(publication.head().version));
            }
        }
    }
}
