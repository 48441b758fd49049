//! Selection of the advertised VMs, and its effect on callers.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use std::time::Duration;
use steering::entrance::{Candidate, TimerLag, advertised};

/// Idle timeout of connections, in seconds.
const IDLE_TIMEOUT_S: f64 = 8.0;

fn vms(fast: usize, slow: usize) -> Vec<Candidate> {
    let vm = |link_mbps| Candidate {
        link_mbps,
        is_busy: false,
    };
    let links = std::iter::repeat_n(200, fast).chain(std::iter::repeat_n(10, slow));
    links.map(vm).collect()
}

fn number(candidates: &[Candidate]) -> usize {
    advertised(candidates)
        .into_iter()
        .filter(|named| *named)
        .count()
}

/// Guards against VMs with a tenth of a core that get as many callers as those with half a core,
/// and against a fleet that depends on one or two VMs.
#[rstest]
#[case::fast_ones_suffice(4, 25, 4)]
#[case::two_fast_ones_are_too_few(2, 25, 27)]
#[case::slow_ones_hold_more_bandwidth(4, 100, 104)]
#[case::all_alike(0, 11, 11)]
#[case::none(0, 0, 0)]
fn slow_vms_are_left_out_where_fast_ones_suffice(
    #[case] fast: usize,
    #[case] slow: usize,
    #[case] expected: usize,
) {
    assert_eq!(number(&vms(fast, slow)), expected);
}

/// Guards against fast VMs that are overloaded while slow ones are idle.
#[test]
fn all_vms_are_advertised_when_a_fast_one_is_busy() {
    let mut candidates = vms(4, 25);
    candidates[2].is_busy = true;
    assert_eq!(number(&candidates), 29);
}

/// Guards against a VM that counts as busy after one late timer, and against one that never does.
#[test]
fn lasting_timer_lag_counts_as_busy() {
    let mut lag = TimerLag::default();
    lag.record(Duration::from_millis(200));
    assert!(!lag.is_busy());
    (0..20).for_each(|_| lag.record(Duration::from_millis(100)));
    assert!(lag.is_busy());
    (0..40).for_each(|_| lag.record(Duration::from_millis(1)));
    assert!(!lag.is_busy());
}

/// Simulates 30 s with 500 requests a second to 130 servers, and returns the share of requests that
/// find an open connection to their server.
fn open_share(entry_vms: &[usize], seed: u64) -> f64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let servers = 130;
    let mut used = vec![f64::NEG_INFINITY; entry_vms.len() * servers];
    let (mut now, mut found, mut sent) = (0.0, 0, 0);
    while now < 30.0 {
        now += -(1.0 - rng.random::<f64>()).ln() / 500.0;
        let entry_vm = rng.random_range(0..entry_vms.len());
        let pair = entry_vm * servers + rng.random_range(0..servers);
        if now > IDLE_TIMEOUT_S {
            sent += 1;
            found += u32::from(now - used[pair] < IDLE_TIMEOUT_S);
        }
        used[pair] = now;
    }
    f64::from(found) / f64::from(sent)
}

/// Guards against a new connection for most requests: each costs a network round trip, 24 ms to
/// another region, and 1 ms of the server's time. At least nine of ten requests find an open one,
/// fewer if all VMs are advertised.
#[rstest]
#[case(1)]
#[case(2)]
fn callers_find_open_connections(#[case] seed: u64) {
    let candidates = vms(4, 25);
    let all: Vec<usize> = (0..candidates.len()).collect();
    let chosen = advertised(&candidates);
    let entry_vms: Vec<usize> = all.iter().copied().filter(|vm| chosen[*vm]).collect();
    let share = open_share(&entry_vms, seed);
    let baseline = open_share(&all, seed);
    assert!(share >= 0.9, "share {share}");
    assert!(share > baseline + 0.2, "share {share}, baseline {baseline}");
}
