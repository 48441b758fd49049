//! VMs that a look-up names, and what callers get from them.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use std::time::Duration;
use steering::entrance::{Candidate, TimerLag, advertised};

/// Idle connections are closed after this time, in seconds.
const IDLE: f64 = 8.0;

fn vms(wide: usize, narrow: usize) -> Vec<Candidate> {
    let vm = |link_mbps| Candidate {
        link_mbps,
        is_busy: false,
    };
    let links = std::iter::repeat_n(200, wide).chain(std::iter::repeat_n(10, narrow));
    links.map(vm).collect()
}

fn number(candidates: &[Candidate]) -> usize {
    advertised(candidates)
        .into_iter()
        .filter(|named| *named)
        .count()
}

/// Guards against VMs of a tenth of a core that get as many callers as those of half a core, and
/// against a site that hangs on one or two VMs.
#[rstest]
#[case::wide_ones_suffice(4, 25, 4)]
#[case::two_wide_ones_are_too_few(2, 25, 27)]
#[case::narrow_ones_carry_more(4, 100, 104)]
#[case::all_alike(0, 11, 11)]
#[case::none(0, 0, 0)]
fn narrow_vms_are_left_out_where_wide_ones_suffice(
    #[case] wide: usize,
    #[case] narrow: usize,
    #[case] expected: usize,
) {
    assert_eq!(number(&vms(wide, narrow)), expected);
}

/// Guards against wide VMs that are overloaded while narrow ones idle.
#[test]
fn busy_wide_vms_get_help() {
    let mut candidates = vms(4, 25);
    candidates[2].is_busy = true;
    assert_eq!(number(&candidates), 29);
}

/// Guards against a VM that counts as busy after one late timer, and against one that never does.
#[test]
fn lasting_lateness_is_noticed() {
    let mut lateness = TimerLag::default();
    lateness.record(Duration::from_millis(200));
    assert!(!lateness.is_busy());
    (0..20).for_each(|_| lateness.record(Duration::from_millis(100)));
    assert!(lateness.is_busy());
    (0..40).for_each(|_| lateness.record(Duration::from_millis(1)));
    assert!(!lateness.is_busy());
}

/// Plays 30 s of a region of permis-parcs-grown, 500 requests a second to 130 servers, and returns
/// the share that find an open connection to their server.
fn open_share(entrances: &[usize], seed: u64) -> f64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let servers = 130;
    let mut used = vec![f64::NEG_INFINITY; entrances.len() * servers];
    let (mut now, mut found, mut asked) = (0.0, 0, 0);
    while now < 30.0 {
        now += -(1.0 - rng.random::<f64>()).ln() / 500.0;
        let entrance = rng.random_range(0..entrances.len());
        let pair = entrance * servers + rng.random_range(0..servers);
        if now > IDLE {
            asked += 1;
            found += u32::from(now - used[pair] < IDLE);
        }
        used[pair] = now;
    }
    f64::from(found) / f64::from(asked)
}

/// Guards against a connection anew for most requests: each costs a way to the server and back, 24 ms
/// to another region, and 1 ms of the server. At least nine of ten requests find one open, where
/// callers of all VMs find fewer.
#[rstest]
#[case(1)]
#[case(2)]
fn callers_find_open_connections(#[case] seed: u64) {
    let candidates = vms(4, 25);
    let all: Vec<usize> = (0..candidates.len()).collect();
    let chosen = advertised(&candidates);
    let entrances: Vec<usize> = all.iter().copied().filter(|vm| chosen[*vm]).collect();
    let share = open_share(&entrances, seed);
    let baseline = open_share(&all, seed);
    assert!(share >= 0.9, "share {share}");
    assert!(share > baseline + 0.2, "share {share}, baseline {baseline}");
}
