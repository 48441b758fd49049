//! Rate limit of requests to cold servers over all VMs.

use base::id::Vm;
use std::time::{Duration, Instant};
use steering::warmup::{Warmup, is_owner};

/// Requests a second that a cold server tolerates.
const RATE: f64 = 2.6;
/// Operator's limit of requests in any second.
const LIMIT: f64 = RATE * 1.5 + 5.0;

fn vms(count: usize) -> Vec<Vm> {
    (0..count)
        .map(|index| format!("vm-{index}").into())
        .collect()
}

/// Guards against a cold server that gets a share of the traffic from every VM at once.
#[test]
fn all_vms_together_keep_the_rate() {
    let start = Instant::now();
    let all = vms(11);
    let mut states: Vec<Warmup> = all
        .iter()
        .map(|_| Warmup::new(start + Duration::from_secs(3), start))
        .collect();
    let mut sent = Vec::new();
    for step in 0..3_000 {
        let now = start + Duration::from_millis(step);
        for (vm, state) in all.iter().zip(&mut states) {
            let owner = is_owner("server", vm, &all, all.len());
            if state.is_cold(now) && owner && state.allows(now) {
                state.record_send(RATE, now);
                sent.push(step);
            }
        }
    }
    assert!(!sent.is_empty());
    for begin in 0..2_000 {
        let count = sent
            .iter()
            .filter(|at| (begin..begin + 1_000).contains(*at))
            .count();
        assert!(count as f64 <= LIMIT, "{count} from {begin} ms");
    }
}

/// Guards against two owners on the two sides of a network partition.
#[test]
fn minority_owns_nothing() {
    let all = vms(11);
    let (few, many) = all.split_at(4);
    for server in (0..50).map(|index| format!("server-{index}")) {
        let owners = |side: &[Vm]| {
            side.iter()
                .filter(|vm| is_owner(&server, vm, side, all.len()))
                .count()
        };
        assert_eq!(owners(few), 0);
        assert_eq!(owners(many), 1);
    }
}

/// Guards against a warm server that is still limited to the rate of its warm-up.
#[test]
fn warm_server_is_not_limited() {
    let start = Instant::now();
    let mut warmup = Warmup::new(start + Duration::from_secs(3), start);
    warmup.record_send(RATE, start);
    assert!(!warmup.allows(start));
    assert!(warmup.allows(start + Duration::from_secs(3)));
}
