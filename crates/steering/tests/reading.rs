//! Turns of the VMs of a data centre to read the store.

use rstest::rstest;
use std::time::{Duration, Instant};
use steering::reading::{Place, Settings, begins_at};

/// Operator's limit for sends to a leaving server, the shortest of the sites.
const DRAIN_LIMIT: Duration = Duration::from_millis(2_000);
/// Time after which a silent VM counts as down.
const SILENCE: Duration = Duration::from_millis(1_100);

/// Time until the others know that a VM reads: its read and its report.
const READ: Duration = Duration::from_millis(140);

/// Plays a data centre in which the first `refused` VMs can't read; returns how many VMs call the
/// store, and when the first one has read.
fn play(vms: usize, refused: usize) -> (usize, Duration) {
    let start = Instant::now();
    let began = |place| begins_at(&Settings::default(), Place::After(place), start, start);
    let read_at = (refused..vms).map(|place| began(place) + READ).min();
    let read_at = read_at.expect("a VM that can read");
    let calling = (0..vms).filter(|place| began(*place) < read_at).count();
    (calling, read_at - start)
}

/// Guards against a data centre whose VMs all call the store when the one that read it is lost: at
/// 33 VMs, each loss cost over a hundred calls.
#[rstest]
#[case::all_reach_the_store(0, 1)]
#[case::two_are_turned_away(2, 3)]
fn one_vm_after_the_other_begins_to_read(#[case] refused: usize, #[case] most: usize) {
    let (calling, _) = play(33, refused);
    assert!(calling <= most, "{calling} VMs");
}

/// Guards against a data centre that learns too late of a leaving server because its reader is lost
/// and the first VMs in the order are turned away.
#[rstest]
#[case(0)]
#[case(2)]
#[case(5)]
fn the_next_reader_is_in_time(#[case] refused: usize) {
    let (_, took) = play(33, refused);
    let limit = if refused == 0 {
        DRAIN_LIMIT
    } else {
        DRAIN_LIMIT + Duration::from_millis(900)
    };
    assert!(SILENCE + took <= limit, "{took:?}");
}

/// Guards against a VM that never reads since it got no list of VMs.
#[test]
fn vm_without_a_list_reads_after_a_while() {
    let start = Instant::now();
    let settings = Settings::default();
    let at = begins_at(&settings, Place::Unlisted, start, start);
    assert_eq!(at, start + settings.max_list_wait);
    let late = start + Duration::from_secs(60);
    assert_eq!(begins_at(&settings, Place::Unlisted, start, late), late);
}
