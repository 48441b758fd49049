//! Rate limit of requests to cold servers over all VMs.

use std::time::{Duration, Instant};
use steering::affinity::{Digest, digest};
use steering::warmup::{Ownership, Warmup};

/// Requests a second that a cold server tolerates.
const RATE: f64 = 2.6;
/// Operator's limit of requests in any second.
const LIMIT: f64 = RATE * 1.5 + 5.0;

/// Time after which a view of the live VMs has to be renewed.
const MAX_VIEW_AGE: Duration = Duration::from_millis(100);

fn vms(count: usize) -> Vec<String> {
    (0..count).map(|index| format!("vm-{index}")).collect()
}

/// Returns what a VM owns that hears of the VMs `alive` out of `members`.
fn ownership(own: &str, alive: &[String], members: usize, now: Instant) -> Ownership {
    let digests: Vec<Digest> = alive.iter().map(|vm| digest(vm)).collect();
    let mut ownership = Ownership::new(own);
    ownership.set_view(&digests, members, now);
    ownership
}

fn is_owner(server: &str, own: &str, alive: &[String], members: usize) -> bool {
    ownership(own, alive, members, Instant::now()).owns(digest(server))
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
        let owners = |side: &[String]| {
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

/// Guards against two VMs of a large fleet that both send to a cold server, and against a server
/// without an owner, when VMs go and come back.
#[test]
fn each_cold_server_of_a_large_fleet_has_one_owner() {
    let now = Instant::now();
    let all = vms(300);
    let mut states: Vec<Ownership> = all
        .iter()
        .map(|vm| ownership(vm, &all, all.len(), now))
        .collect();
    let servers: Vec<Digest> = (0..100).map(|i| digest(&format!("server-{i}"))).collect();
    let rounds = [all.as_slice(), &all[40..], &all[..260], all.as_slice()];
    for alive in rounds {
        let digests: Vec<Digest> = alive.iter().map(|vm| digest(vm)).collect();
        for state in &mut states {
            state.set_view(&digests, all.len(), now);
        }
        for server in &servers {
            let is_alive = |vm: &String| alive.contains(vm);
            let live = all.iter().zip(&mut states).filter(|(vm, _)| is_alive(vm));
            let owners = live.filter_map(|(_, state)| state.owns(*server).then_some(()));
            assert_eq!(owners.count(), 1, "{} VMs", alive.len());
        }
    }
}

/// Guards against a process that was paused and sends to a cold server because of what it owned
/// before the pause.
#[test]
fn view_of_the_live_vms_expires() {
    let now = Instant::now();
    let all = vms(3);
    assert!(Ownership::new("vm-0").is_expired(now));
    let state = ownership("vm-0", &all, all.len(), now);
    assert!(!state.is_expired(now));
    assert!(state.is_expired(now + MAX_VIEW_AGE));
}
