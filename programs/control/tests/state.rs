//! Peers of a control process at its start.

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

/// Guards against a VM that asks no one while the list can't be read, asks itself, or goes on
/// asking seeds instead of the listed VMs.
#[test]
fn seeds_stand_in_for_a_missing_list() {
    let (settings, now) = (settings(), Instant::now());
    let mut known = ControlState::new(&settings, now);
    let peers = known.startup_peers(3, &settings, &mut rand::rng());
    assert_eq!(peers, [Peer::from_seed(address(2))]);
    known.apply_list(list(&["vm-01", "vm-02"]), now, now);
    let peers = known.startup_peers(3, &settings, &mut rand::rng());
    assert_eq!(peers.len(), 1);
    assert_eq!((&*peers[0].vm, peers[0].address), ("vm-02", address(101)));
}

/// Guards against a list that is replaced by an empty or an older one.
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

/// Guards against a roll-back for a made-up reason: a halt spreads as a mark without its reason, which
/// arrives later, and a placeholder must neither be recorded nor hide it.
#[test]
fn halt_without_its_reason_waits_for_it() {
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
