//! Answers after a restart of the control process.

use lookup::index::Index;
use peers::local::State;
use platform::list::{self, List, Node};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;

const CLIENT: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

fn node(name: &str) -> Node {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    Node {
        name: name.into(),
        region: "north".into(),
        data_centre: "north-1".into(),
        state: list::State::Live,
        entry: address,
        share: address,
        lookup: address,
        gossip: address,
        admin: address,
    }
}

fn state(version: u64, names: &[&str]) -> State {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/atlas");
    let text = std::fs::read_to_string(directory.join("fleet.yaml")).expect("example");
    State {
        version,
        files: [("fleet.yaml".into(), text.into())].into(),
        list: List {
            nodes: names.iter().map(|name| node(name)).collect(),
            backends: Vec::new(),
        },
        ..State::default()
    }
}

/// Guards against a look-up that loses its answers or applies an older version after its control
/// process restarted with empty memory.
#[test]
fn restarted_control_process_keeps_answers() {
    let index = Index::default();
    assert!(index.answer(CLIENT).is_none());
    let index = index.next(&state(2, &["vm-01"]), "north-1", 0);
    let answer = index.answer(CLIENT);
    assert!(answer.is_some());
    let index = index.next(&State::default(), "north-1", 0);
    assert_eq!(index.answer(CLIENT), answer);
    let mut older = state(1, &["vm-01"]);
    older.files[0] = older.files[0].replace("north-1", "north-9").into();
    let index = index.next(&older, "north-1", 0);
    assert_eq!(index.answer(CLIENT), answer);
    let index = index.next(&state(3, &["vm-01", "vm-02"]), "north-1", 0);
    assert_ne!(index.answer(CLIENT), answer);
}
