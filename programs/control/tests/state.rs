//! Lists, start-up peers and halts in the state of a control process.

use control::settings::Settings;
use control::state::{ControlState, Peer};
use platform::list::{List, Node, State};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use steering::config::Mark;
use steering::release::{HaltSet, Reason};

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn settings() -> Settings {
    Settings {
        vm: "vm-01".into(),
        region: "north".into(),
        data_centre: "north-1".into(),
        gossip: address(1),
        seeds: vec![address(1), address(2)],
        ..Settings::default()
    }
}

fn list(names: &[&str]) -> List {
    let node = |(n, name): (usize, &&str)| Node {
        name: (*name).into(),
        region: "north".into(),
        data_centre: "north-1".into(),
        state: State::Live,
        entry: address(3),
        share: address(3),
        lookup: address(3),
        gossip: address(u16::try_from(100 + n).expect("a port")),
        admin: address(3),
    };
    List {
        nodes: names.iter().enumerate().map(node).collect(),
        backends: Vec::new(),
    }
}

/// A VM asks the seeds until the list was read: else it would ask no one, itself, or continue to
/// ask the seeds instead of listed VMs.
#[test]
fn seeds_are_asked_until_the_list_is_read() {
    let (settings, now) = (settings(), Instant::now());
    let mut known = ControlState::new(&settings, now);
    let peers = known.startup_peers(3, &settings, &mut rand::rng());
    assert_eq!(peers, [Peer::from_seed(address(2))]);
    known.apply_list(list(&["vm-01", "vm-02"]), now, now);
    let peers = known.startup_peers(3, &settings, &mut rand::rng());
    assert_eq!(peers.len(), 1);
    assert_eq!((&*peers[0].vm, peers[0].address), ("vm-02", address(101)));
}

/// An older or empty list must not replace the current one.
#[test]
fn older_and_empty_lists_are_refused() {
    let (settings, now) = (settings(), Instant::now());
    let later = now + Duration::from_secs(1);
    let mut known = ControlState::new(&settings, now);
    known.apply_list(list(&["vm-01", "vm-02"]), later, later);
    known.apply_list(list(&["vm-01"]), now, later);
    known.apply_list(List::default(), later + Duration::from_secs(1), later);
    assert_eq!(known.list.nodes.len(), 2);
}

/// Guards against a roll-back with a wrong reason: a halt is gossiped as a mark without its reason,
/// which arrives later. The placeholder must neither be stored nor hide the later reason.
#[test]
fn reason_that_arrives_after_a_halt_is_used() {
    let now = Instant::now();
    let mut known = ControlState::new(&settings(), now);
    known.add_marks([Mark::Halted("r1".into())]);
    known.evaluate_releases(now);
    assert!(known.progress.halt.reason("r1").is_some());
    assert!(known.halt_reasons.is_empty(), "{:?}", known.halt_reasons);
    let mut halt = HaltSet::default();
    halt.add(&"r1".into(), &Reason::Failures("read".into()));
    known.progress.halt.merge(&halt);
    known.evaluate_releases(now);
    let text = &known.describe_releases()["r1"];
    assert!(text.contains("fails more often"), "{text}");
    assert!(known.halt_reasons["r1"].contains("failures"));
}
