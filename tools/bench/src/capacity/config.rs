//! Cost of one configuration change on one VM.

use super::{Point, Slope, wire_size};
use base::id::Version;
use indexmap::IndexMap;
use std::time::Instant;
use steering::config::head::content_hash;
use steering::config::{FileChanges, Head, Manifest, Replica};

/// Numbers of steering files; the last one is one file for each site.
const FILE_COUNTS: [usize; 3] = [575, 1_150, 2_300];

/// Bytes of a steering file.
const FILE_BYTES: usize = 600;

/// Changes per measurement.
const CHANGES: u64 = 20;

pub fn measure() -> Vec<Slope> {
    let (mut millis, mut bytes) = (Vec::new(), Vec::new());
    for size in FILE_COUNTS {
        let (time, sent) = measure_change(size);
        millis.push(Point { size, value: time });
        bytes.push(Point { size, value: sent });
    }
    let slope = |quantity, points| Slope {
        quantity,
        unit: "steering file",
        points,
    };
    vec![
        slope(
            "configuration change by gossip, ms on sender and receiver",
            millis,
        ),
        slope("configuration change by gossip, bytes", bytes),
    ]
}

fn content(file: usize, version: Version) -> Vec<u8> {
    let mut text = format!("service: s{file}\nversion: {version}\n").into_bytes();
    text.resize(FILE_BYTES, b'#');
    text
}

/// Returns the average milliseconds and bytes of one change among `size` files between two VMs.
fn measure_change(size: usize) -> (f64, f64) {
    let now = Instant::now();
    let (mut sender, mut receiver) = (Replica::new([], now), Replica::new([], now));
    let mut manifest = Manifest::default();
    let mut objects = IndexMap::new();
    let mut version = 1;
    let all: Vec<usize> = (0..size).collect();
    let head = publish(&mut manifest, &mut objects, version, &all);
    for replica in [&mut sender, &mut receiver] {
        receive_version(replica, head.clone(), &objects);
    }
    let (mut seconds, mut bytes) = (0.0, 0.0);
    for _ in 0..CHANGES {
        version += 1;
        let changed = [version as usize % size];
        let head = publish(&mut manifest, &mut objects, version, &changed);
        receive_version(&mut sender, head, &objects);
        let begin = Instant::now();
        loop {
            let digest = receiver.digest();
            let delta = sender.delta_for(&digest);
            bytes += wire_size(&digest) + wire_size(&delta);
            if receiver.apply("peer", delta).in_force {
                break;
            }
        }
        seconds += begin.elapsed().as_secs_f64();
    }
    (seconds * 1e3 / CHANGES as f64, bytes / CHANGES as f64)
}

fn publish(
    manifest: &mut Manifest,
    objects: &mut IndexMap<Box<str>, Vec<u8>>,
    version: Version,
    files: &[usize],
) -> Head {
    let mut changed = FileChanges::new();
    for file in files {
        let text = content(*file, version);
        changed.insert(format!("s{file}.yaml").into(), Some(content_hash(&text)));
        objects.insert(content_hash(&text), text);
    }
    *manifest = manifest.apply(&changed);
    objects.insert(manifest.hash(), manifest.to_bytes().into());
    let changed = if version == 1 {
        FileChanges::new()
    } else {
        changed
    };
    Head {
        version,
        operation: format!("operation-{version}").into(),
        author: "bench".into(),
        base: version - 1,
        manifest: manifest.hash(),
        changed,
        earlier: Box::default(),
    }
}

fn receive_version(replica: &mut Replica, head: Head, objects: &IndexMap<Box<str>, Vec<u8>>) {
    replica.tracker.offer_head(head, 0, &FileChanges::new());
    loop {
        let missing = replica.tracker.missing();
        if missing.is_empty() {
            return;
        }
        for hash in missing {
            if let Some(object) = objects.get(&hash) {
                replica.tracker.receive_object(&hash, object);
            }
        }
    }
}
