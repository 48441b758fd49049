//! Ways of datagrams to the VMs of a data centre, in simulated time.

use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;
use std::collections::HashSet;
use std::time::{Duration, Instant};
use steering::fanout::{Pace, Settings};

/// VMs of the largest data centre, of which the first speaks for it.
const VMS: usize = 36;
/// Summaries of eight other data centres in a second, and their size.
const SUMMARIES_PER_S: u32 = 16;
const BYTES: usize = 8_000;
/// Time for which orders may wait behind summaries in the queue of a link.
const MAX_WAIT: Duration = Duration::from_millis(200);
/// Time without a summary after which a data centre counts as down.
const TIMEOUT: Duration = Duration::from_millis(1_800);

/// Links of the VMs in simulated time.
struct Links {
    mbps: Vec<u32>,
    /// When what was sent so far has passed each link.
    free_at: Vec<Duration>,
    longest_wait: Duration,
}

impl Links {
    fn send(&mut self, vm: usize, datagrams: usize, now: Duration) -> Duration {
        let bytes = (datagrams * BYTES) as f64;
        let time = Duration::from_secs_f64(bytes / (f64::from(self.mbps[vm]) * 125_000.0));
        self.free_at[vm] = self.free_at[vm].max(now) + time;
        self.longest_wait = self.longest_wait.max(self.free_at[vm] - now);
        self.free_at[vm]
    }
}

/// Plays 10 s; returns the longest queue of a link and the longest time without a summary at a VM.
fn play(mbps: Vec<u32>, settings: &Settings, lost: &HashSet<usize>) -> (Duration, Duration) {
    let mut random = StdRng::seed_from_u64(7);
    let mut links = Links {
        free_at: vec![Duration::ZERO; VMS],
        longest_wait: Duration::ZERO,
        mbps,
    };
    let mut heard_at = vec![Duration::ZERO; VMS];
    let mut longest_gap = Duration::ZERO;
    for number in 0..SUMMARIES_PER_S * 10 {
        let now = Duration::from_secs(1) * number / SUMMARIES_PER_S;
        let others: Vec<_> = (1..VMS).map(|vm| (vm, links.mbps[vm])).collect();
        let relays = settings.relays(BYTES * (VMS - 1), links.mbps[0], &others, &mut random);
        let mut arrivals = Vec::new();
        if relays.is_empty() {
            let at = links.send(0, VMS - 1, now);
            arrivals.extend((1..VMS).map(|vm| (vm, at)));
        }
        for (part, relay) in relays.iter().enumerate() {
            let sent_at = links.send(0, 1, now);
            if lost.contains(relay) {
                continue;
            }
            let targets: Vec<usize> = (1..VMS).filter(|vm| vm % relays.len() == part).collect();
            let at = links.send(*relay, targets.len(), sent_at);
            arrivals.extend(targets.into_iter().map(|vm| (vm, at)));
        }
        // One of the data centres; the others fare alike.
        if number % 8 == 0 {
            for (vm, at) in arrivals {
                longest_gap = longest_gap.max(at.saturating_sub(heard_at[vm]));
                heard_at[vm] = at;
            }
        }
    }
    (links.longest_wait, longest_gap)
}

/// Guards against summaries that fill the link of the VM that passes them on (large, trouble-3).
#[rstest]
#[case::all_narrow(vec![12; VMS])]
#[case::wide_vms_read_nothing([vec![12; VMS - 3], vec![120; 3]].concat())]
#[case::wide_speaker([vec![120; 3], vec![12; VMS - 3]].concat())]
fn summaries_wait_shortly_and_reach_all_vms(#[case] mbps: Vec<u32>) {
    let none = HashSet::new();
    let (wait, gap) = play(mbps.clone(), &Settings::default(), &none);
    assert!(wait < MAX_WAIT && gap < TIMEOUT, "{wait:?}, {gap:?}");
    let former = Settings {
        max_time: Duration::MAX,
        ..Settings::default()
    };
    let (wait, _) = play(mbps.clone(), &former, &none);
    let fills = mbps[0] == 12;
    assert_eq!(wait > TIMEOUT, fills, "each sent by the speaker: {wait:?}");
}

/// Guards against VMs that take a data centre for lost since one of those that pass on is.
#[test]
fn lost_relay_delays_one_summary_only() {
    let (_, gap) = play(vec![12; VMS], &Settings::default(), &HashSet::from([5]));
    assert!(gap < TIMEOUT, "{gap:?}");
}

/// Reports of a VM to 35 others, and the bytes of one round.
const ROUND: usize = 35 * 2_600;
/// Time between two reports that nothing asks for.
const INTERVAL: Duration = Duration::from_millis(300);

/// Plays a second in which `asks` is always pending; returns the bytes that are sent.
fn play_requests(mbps: u32, asks: impl Fn(&Pace) -> Instant) -> usize {
    let start = Instant::now();
    let mut pace = Pace::new(Settings::default(), mbps, start);
    let mut now = start;
    let mut sent = 0;
    while now < start + Duration::from_secs(1) {
        pace.record(ROUND, now);
        sent += ROUND;
        let next = asks(&pace).min(pace.next_at(INTERVAL));
        now = next.max(now + Duration::from_millis(50));
    }
    sent
}

/// Guards against reports that fill a narrow link while many VMs start or many things change, and
/// against a wide link that holds reports back.
#[rstest]
#[case::narrow(12, 0.35)]
#[case::wide(120, 0.5)]
fn requested_reports_keep_to_a_share_of_the_link(#[case] mbps: u32, #[case] most: f64) {
    let link = f64::from(mbps) * 125_000.0;
    let greeted = play_requests(mbps, Pace::greets_at);
    assert!(greeted as f64 / link < most, "{greeted}");
    let urgent = play_requests(mbps, Pace::hurries_at);
    assert!(urgent as f64 / link < most + 0.1, "{urgent}");
    assert!(urgent / ROUND >= 4, "{urgent}");
}

/// Guards against urgent news that wait for the share of earlier reports, and against reports that
/// come so late that their sender counts as down.
#[test]
fn urgent_news_wait_for_no_report_that_nothing_asked_for() {
    let start = Instant::now();
    let mut pace = Pace::new(Settings::default(), 12, start);
    pace.record(ROUND, start);
    assert!(pace.hurries_at() <= start, "{pace:?}");
    pace.record(100 * ROUND, start);
    let silent = pace.next_at(INTERVAL) - start;
    assert!(silent <= Settings::default().max_pause, "{silent:?}");
}
