//! Start of a VM with empty memory while another VM of its data centre is ready.

use super::{Fault, Injection, require};
use std::time::{Duration, Instant};
use steering::config::{FileChanges, Head, Manifest, Mark, Readiness, Replica, head};

pub const STEPS: [&str; 4] = ["begin", "hear-store", "hear-peers", "serve"];

/// Version in force in the fleet.
const CURRENT_VERSION: u64 = 7;
/// Version that a stale read of the store returns.
const STALE_VERSION: u64 = 5;
/// Time between two rounds in which the VM queries the store and its peer.
const QUERY_INTERVAL: Duration = Duration::from_millis(500);

pub fn exclusion_reason(fault: Fault) -> Option<&'static str> {
    match fault {
        Fault::BadVersion => Some("no request runs on a version"),
        Fault::OperatorRace => Some("operators take no part in a start"),
        Fault::CrashingRequest | Fault::SilentConnection => Some("no backend server takes part"),
        Fault::AnswerLost => Some("a start writes nothing that its readiness waits for"),
        _ => None,
    }
}

pub fn run(injection: &Injection) -> Result<(), Box<str>> {
    let begin = Instant::now();
    let mut peer = ready_peer(begin);
    if injection.faults.contains(&Fault::KeyWithdrawn) {
        peer.marks.add(Mark::Halted("withdrawn-meanwhile".into()));
    }
    let mut vm = Replica::new(["peer".into()], begin);
    let mut served_at = None;
    for round in 0..24_u32 {
        let now = begin + QUERY_INTERVAL * round;
        let step = usize::try_from(round).unwrap_or(0);
        if injection.process_dies(step) {
            vm = Replica::new(["peer".into()], now);
            served_at = None;
        }
        let fault_active = step >= injection.step && step < injection.step + 6;
        let faulty = |fault| fault_active && injection.faults.contains(&fault);
        let store_reachable =
            !(faulty(Fault::StoreDown) || faulty(Fault::StoreSlow) || faulty(Fault::Partition));
        // The read is stale, so the VM must not become ready by it alone.
        vm.tracker
            .record_store_answer(store_reachable.then_some(STALE_VERSION));
        // In a partition this VM can't reach the platform but still reaches its own data centre.
        if round > 0 {
            let delta = peer.delta_for(&vm.digest());
            vm.apply("peer", delta);
        }
        vm.tracker.tick(now);
        if let Readiness::Ready(version) = vm.tracker.readiness() {
            require(
                version >= CURRENT_VERSION,
                "a VM serves no lower version than a peer has",
            )?;
            require(
                vm.marks.summary() == peer.marks.summary(),
                "a VM serves only once it knows the withdrawals of its peers",
            )?;
            served_at = served_at.or(Some(now));
        }
    }
    require(
        served_at.is_some(),
        "the VM serves, with the store up and with the store down",
    )
}

/// Returns a VM that has the version in force.
fn ready_peer(now: Instant) -> Replica {
    let mut peer = Replica::new([], now);
    let content = b"fleet: test\n".to_vec();
    let files = FileChanges::from([("fleet.yaml".into(), Some(head::content_hash(&content)))]);
    let manifest = Manifest::default().apply(&files);
    let head = Head {
        version: CURRENT_VERSION,
        operation: "operation-7".into(),
        author: "operator".into(),
        base: CURRENT_VERSION - 1,
        manifest: manifest.hash(),
        changed: files,
        earlier: Box::default(),
    };
    peer.tracker.record_store_answer(Some(CURRENT_VERSION));
    peer.tracker.offer_head(head, 0, &FileChanges::new());
    peer.tracker
        .receive_object(&manifest.hash(), &manifest.to_bytes());
    peer.tracker
        .receive_object(&head::content_hash(&content), &content);
    peer.tracker.tick(now + Duration::from_secs(60));
    peer
}
