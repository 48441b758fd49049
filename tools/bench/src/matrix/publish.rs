//! Publication of a configuration by one control process while another one may publish too.

use super::{Fault, Injection, require};
use std::time::Instant;
use steering::config::publication::WriteResult;
use steering::config::{FileChanges, Head, Manifest, Publication, Replica, Stage, head};

pub const STEPS: [&str; 5] = [
    "propose",
    "store-objects",
    "write-head",
    "read-answer",
    "spread",
];

/// Most writes of one publication while the store gives no answer.
const MAX_WRITES: usize = 4;

pub fn exclusion_reason(fault: Fault) -> Option<&'static str> {
    match fault {
        Fault::KeyWithdrawn => Some("a publication carries no key"),
        Fault::BadVersion => Some("no request runs on a version"),
        Fault::HolderPaused => Some("a publication needs no lease; the row version fences it"),
        Fault::CrashingRequest | Fault::SilentConnection => Some("no backend server takes part"),
        _ => None,
    }
}

/// Table of the platform with the row `head`.
#[derive(Default)]
struct Table {
    row: Option<Head>,
}

impl Table {
    fn write(&mut self, head: &Head) -> WriteResult {
        let version = self.row.as_ref().map_or(0, |row| row.version);
        if version != head.base {
            return WriteResult::Conflict;
        }
        self.row = Some(head.clone());
        WriteResult::Written
    }
}

fn manifest(text: &str) -> (Manifest, Vec<u8>) {
    let content = text.as_bytes().to_vec();
    let files = FileChanges::from([("fleet.yaml".into(), Some(head::content_hash(&content)))]);
    (Manifest::default().apply(&files), content)
}

fn propose(text: &str, operation: &str) -> Publication {
    Publication::propose(
        None,
        &Manifest::default(),
        &manifest(text).0,
        "operator",
        operation.into(),
    )
}

pub fn run(injection: &Injection) -> Result<(), Box<str>> {
    let mut table = Table::default();
    let mut publication = propose("ours", "operation-1");
    let mut process_dead = false;
    for step in 0..=3 {
        process_dead |= injection.process_dies(step);
        if injection.occurs_at(step, Fault::OperatorRace) {
            table.write(propose("theirs", "operation-2").head());
        }
        if step == 2 && !process_dead {
            write(&mut table, &mut publication, injection);
        }
    }
    let ours = table
        .row
        .as_ref()
        .is_some_and(|row| &*row.operation == "operation-1");
    if !process_dead {
        read_back_row(&table, &mut publication, injection);
        let accepted = *publication.stage() == Stage::Accepted;
        require(!accepted || ours, "an accepted publication is in the table")?;
        let conflict = matches!(publication.stage(), Stage::Conflict { .. });
        require(
            !conflict || !ours,
            "a conflict means that the other one took effect",
        )?;
        require(
            accepted || conflict,
            "the outcome is settled once the store answers",
        )?;
    }
    let version = table.row.as_ref().map_or(0, |row| row.version);
    require(
        version <= 1,
        "of two publications against one base at most one takes effect",
    )?;
    match table.row {
        Some(row) => check_spread(&row, if ours { "ours" } else { "theirs" }, injection),
        None => Ok(()),
    }
}

/// Writes the head row, and repeats the write with the same operation while its outcome is unknown.
fn write(table: &mut Table, publication: &mut Publication, injection: &Injection) {
    let head = publication.head().clone();
    for attempt in 0..MAX_WRITES {
        let is_first = attempt == 0;
        let answer = match () {
            // The write has no effect; the caller can't distinguish this from a lost answer.
            () if is_first && injection.occurs_at(2, Fault::StoreDown) => WriteResult::Lost,
            () if is_first
                && (injection.occurs_at(2, Fault::StoreSlow)
                    || injection.occurs_at(2, Fault::AnswerLost)) =>
            {
                table.write(&head);
                WriteResult::Lost
            }
            () => table.write(&head),
        };
        publication.record_write(&answer);
        read_back_row(table, publication, injection);
        if *publication.stage() != Stage::Proposed {
            return;
        }
    }
}

/// Reads the row back; reads twice if the answer to the first read is lost.
fn read_back_row(table: &Table, publication: &mut Publication, injection: &Injection) {
    let unreachable =
        usize::from(injection.store_unreachable(3) || injection.occurs_at(3, Fault::AnswerLost));
    for _ in unreachable..=1 {
        publication.read_back(table.row.as_ref());
    }
}

/// Checks that the version spreads by gossip to a VM that restarts and to one behind a partition.
fn check_spread(row: &Head, text: &str, injection: &Injection) -> Result<(), Box<str>> {
    let now = Instant::now();
    let (manifest, content) = manifest(text);
    let mut source = Replica::new([], now);
    receive_version(&mut source, row, &manifest, &content);
    require(
        source.tracker.version() == row.version,
        "the VM that published has the version",
    )?;
    let mut others = [Replica::new([], now), Replica::new([], now)];
    let partitioned = injection.occurs_at(4, Fault::Partition);
    for round in 0..4 {
        for (index, other) in others.iter_mut().enumerate() {
            // The second VM is in the other data centre; the partition ends after two rounds.
            if partitioned && index == 1 && round < 2 {
                require(
                    other.tracker.version() == 0,
                    "a VM that is cut off has no version",
                )?;
                continue;
            }
            exchange(&source, other);
        }
    }
    if injection.process_dies(4) {
        others[0] = Replica::new([], now);
        exchange(&source, &mut others[0]);
    }
    let in_force = others
        .iter()
        .all(|other| other.tracker.version() == row.version);
    require(
        in_force,
        "the version is in force on all VMs once they are reachable",
    )?;
    // A peer without any version must not revert it.
    let stale = Replica::new([], now);
    exchange(&stale, &mut others[0]);
    require(
        others[0].tracker.version() == row.version,
        "a version never reverts",
    )
}

fn receive_version(replica: &mut Replica, row: &Head, manifest: &Manifest, content: &[u8]) {
    replica
        .tracker
        .offer_head(row.clone(), 0, &FileChanges::new());
    replica
        .tracker
        .receive_object(&manifest.hash(), &manifest.to_bytes());
    replica
        .tracker
        .receive_object(&head::content_hash(content), content);
}

fn exchange(from: &Replica, to: &mut Replica) {
    for _ in 0..3 {
        let delta = from.delta_for(&to.digest());
        to.apply("peer", delta);
    }
}
