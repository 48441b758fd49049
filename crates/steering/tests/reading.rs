//! Turns of the VMs of a data centre to read the store.

use rstest::rstest;
use std::time::{Duration, Instant};
use steering::reading::{Place, Settings, begins_at, retry_delay};

/// Operator's limit for sends to a leaving server, the shortest of the sites.
const DRAIN_LIMIT: Duration = Duration::from_millis(2_000);
/// Time after which a silent VM counts as down.
const SILENCE: Duration = Duration::from_millis(1_100);

/// Time until a call to a silent store ends.
const SILENT_CALL: Duration = Duration::from_millis(1_200);
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

/// Plays a silent store that returns after `outage`; returns how many calls its VMs make until one has
/// read, and how long that takes from the return.
fn play_outage(settings: &Settings, vms: usize, outage: Duration) -> (usize, Duration) {
    let attempts = |place| {
        let first = (settings.step * place as u32).min(settings.max_wait);
        let cycle = SILENT_CALL + retry_delay(settings, Place::After(place));
        (0..).map(move |number| first + cycle * number)
    };
    let calls = (0..vms).map(|place| attempts(place).find(|at| *at >= outage));
    let read_at = calls.flatten().min().expect("an attempt") + READ;
    let count = (0..vms).map(|place| attempts(place).take_while(|at| *at < read_at).count());
    (count.sum(), read_at - outage)
}

/// Guards against VMs of a data centre that all call a silent store again and again, and all read
/// it whole when it returns (large, trouble-3: 285 of 295).
#[rstest]
#[case::short(Duration::from_millis(2_300))]
#[case::as_in_the_day(Duration::from_millis(4_500))]
#[case::long(Duration::from_secs(20))]
fn few_vms_call_a_silent_store_and_notice_its_return(#[case] outage: Duration) {
    let former = Settings {
        eager: usize::MAX,
        ..Settings::default()
    };
    let (calls, took) = play_outage(&Settings::default(), 36, outage);
    let (former_calls, _) = play_outage(&former, 36, outage);
    assert!(calls * 4 < former_calls * 3, "{calls} of {former_calls}");
    assert!(took <= SILENT_CALL + first_retry() + READ, "{took:?}");
}

/// Returns the delay of the first VM.
fn first_retry() -> Duration {
    retry_delay(&Settings::default(), Place::After(0))
}
