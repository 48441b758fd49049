//! Rendezvous order of servers for an object.

use indexmap::IndexMap;
use steering::affinity::{digest, rank};

fn first(object: u64, servers: &[(u64, f64)]) -> u64 {
    let ranked = servers
        .iter()
        .map(|(server, weight)| (rank(object, *server, *weight), *server));
    ranked
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, server)| server)
        .expect("there is a server")
}

fn servers(count: usize) -> Vec<(u64, f64)> {
    (0..count)
        .map(|index| (digest(&format!("server-{index}")), 3.0))
        .collect()
}

/// Guards against objects that move to a cold server when another server leaves.
#[test]
fn only_objects_of_a_leaving_server_move() {
    let all = servers(12);
    let gone = all[5].0;
    let rest: Vec<_> = all.iter().copied().filter(|(s, _)| *s != gone).collect();
    for object in 0..2_000 {
        let object = digest(&format!("object-{object}"));
        let before = first(object, &all);
        let after = first(object, &rest);
        assert!(before == gone || before == after);
    }
}

/// Guards against servers that get more objects than their weight allows.
#[test]
fn objects_are_shared_by_weight() {
    let mut all = servers(4);
    all[0].1 = 9.0;
    let mut counts: IndexMap<u64, u32> = IndexMap::new();
    for object in 0..6_000 {
        let object = digest(&format!("object-{object}"));
        *counts.entry(first(object, &all)).or_default() += 1;
    }
    let heavy = f64::from(counts[&all[0].0]) / 6_000.0;
    // 9 of 18; 0.03 is more than four standard deviations.
    assert!((heavy - 0.5).abs() < 0.03, "share {heavy}");
}
